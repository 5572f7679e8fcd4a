#include "stats/trace.hpp"

#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/toml_error.hpp"

namespace merlinrun::stats {
namespace {

using Json = nlohmann::ordered_json;

constexpr Micros kMillisecond = 1000;
// Under the least a line costs more than what it tells; over the most nobody waits for it.
constexpr std::int64_t kLeastEvery = 100;
constexpr std::int64_t kMostEvery = 3'600'000;

constexpr std::array<const char*, kResults> kResultNames = {
    "ok", "error", "refused", "timeout", "unreachable", "reset", "cancelled", "never-sent"};

double Rounded(double value) { return std::round(value * 1000) / 1000; }

template <std::size_t N, typename Names>
Json Counts(const std::array<std::int64_t, N>& counts, const Names& names) {
  Json out = Json::object();
  for (std::size_t i = 0; i < N; ++i)
    if (counts[i] > 0) out[std::string(names[i])] = counts[i];
  return out;
}

Json ClassPart(const ClassAccount& c) {
  Json out = {{"served", c.served}, {"late", c.late},       {"left", c.left},
              {"tries", c.tries},   {"untried", c.untried}, {"out_of_time", c.out_of_time}};
  if (Json refused = Counts(c.refused, kCauseNames); !refused.empty()) out["refused"] = std::move(refused);
  if (Json failed = Counts(c.failed, kCauseNames); !failed.empty()) out["failed"] = std::move(failed);
  return out;
}

Json PoolPart(const BalancerSnapshot::Pool& p) {
  return {{"servers", p.servers},
          {"width", p.width},
          {"out", p.in_flight},
          {"out_usual", Rounded(p.usual_in_flight)},
          {"admit", Rounded(p.admitted_share)},
          {"room", Rounded(p.concurrency_share)},
          {"usual", Rounded(p.latency_ratio)},
          {"unloaded", Rounded(p.unloaded_latency_ratio)}};
}

const char* NameOf(ServerInfo::State state) {
  switch (state) {
    case ServerInfo::State::kHealthy:
      return "up";
    case ServerInfo::State::kDraining:
      return "draining";
    case ServerInfo::State::kGone:
      return "gone";
  }
  return "";
}

Json ServersPart(const Stretch& stretch, const BalancerSnapshot& beliefs) {
  Json out = Json::object();
  for (const BalancerSnapshot::Server& s : beliefs.servers) {
    if (!s.in_window && stretch.servers.find(s.id) == stretch.servers.end()) continue;
    out[std::string(s.id)] = {
        {"state", NameOf(s.state)},           {"out", s.in_flight},
        {"slow", Rounded(s.latency_ratio)},   {"failing", Rounded(s.error_rate)},
        {"strikes", s.consecutive_failures},  {"left_alone", s.ejected_for / kMillisecond},
        {"warmth", Rounded(s.capacity_share)}};
  }
  for (const auto& [id, s] : stretch.servers) {
    Json& to = out[id];
    to["results"] = Counts(s.results, kResultNames);
    const auto ok = s.results[static_cast<std::size_t>(Result::kSuccess)];
    to["mean_ms"] = ok > 0 ? s.took / ok / kMillisecond : 0;
    to["longest_ms"] = s.longest / kMillisecond;
  }
  return out;
}

Json WordsPart(const Held::Words& w) {
  return {{"heard", w.heard},   {"taken", w.taken},   {"old", w.old},   {"foreign", w.foreign},
          {"future", w.future}, {"broken", w.broken}, {"sent", w.sent}, {"sent_bytes", w.sent_bytes}};
}

using config::FormatTomlError;

}  // namespace

std::variant<TraceSettings, std::string> ParseTraceSettings(std::string_view text, const std::string& file) {
  try {
    const toml::table root = toml::parse(text, file);
    TraceSettings out;
    for (const auto& [key, node] : root) {
      if (key == "every_ms" && node.is_integer()) {
        const auto every = node.value_or(std::int64_t{0});
        if (every < kLeastEvery || every > kMostEvery)
          return FormatTomlError(node.source(), file,
                                 "every_ms: a whole number from 100 to 3600000 is needed");
        out.every = every * kMillisecond;
      } else if (key == "servers" && node.is_boolean()) {
        out.servers = node.value_or(true);
      } else {
        return FormatTomlError(node.source(), file,
                               "'" + std::string(key.str()) + "' is unknown or of the wrong kind");
      }
    }
    if (out.every == 0) return FormatTomlError(root.source(), file, "every_ms is needed");
    return out;
  } catch (const toml::parse_error& error) {
    return FormatTomlError(error.source(), file, error.description());
  }
}

std::string TraceLine(Micros at, const Settings& settings, const Stretch& stretch,
                      const BalancerSnapshot& beliefs, const Held& held, bool servers) {
  Json line = {
      {"at", at}, {"held", held.requests}, {"clients", held.clients}, {"connections", held.connections}};
  Json& classes = line["classes"] = Json::object();
  for (std::size_t i = 0; i < stretch.classes.size(); ++i)
    classes[settings.classes[i].name] = ClassPart(stretch.classes[i]);
  Json& pools = line["pools"] = Json::array();
  for (const BalancerSnapshot::Pool& pool : beliefs.pools)
    if (pool.servers > 0) pools.push_back(PoolPart(pool));
  Json& zones = line["zones"] = {{"epoch", beliefs.zones_epoch}};
  for (const BalancerSnapshot::Zone& zone : beliefs.zones) {
    zones["stages"][std::to_string(zone.zone)] = kZoneStageNames[static_cast<std::size_t>(zone.stage)];
    if (const ZonePeerReport& told = zone.peer_report; told.reporting > 0)
      zones["told"][std::to_string(zone.zone)] = {
          {"heard", told.reporting}, {"lost", told.reporting_lost}, {"well", told.reporting_healthy}};
  }
  if (held.words) line["words"] = WordsPart(*held.words);
  if (servers) line["servers"] = ServersPart(stretch, beliefs);
  return line.dump(-1, ' ', true, Json::error_handler_t::replace);
}

Trace::Trace(core::Loop& loop, core::RequestManager& request_manager, TraceSettings settings,
             std::function<Held()> held)
    : loop_(loop),
      request_manager_(request_manager),
      settings_(settings),
      held_(std::move(held)),
      account_(request_manager.settings()),
      timer_(loop.NewTimer()) {
  request_manager_.OnAttemptCompleted(
      [this](const core::CompletedAttempt& attempt) { account_.Add(attempt); });
  Next();
}

void Trace::Next() {
  timer_->Start(settings_.every, [this] {
    const std::string line = TraceLine(loop_.Now(), request_manager_.settings(), account_.Take(),
                                       request_manager_.TakeSnapshot(), held_(), settings_.servers);
    std::fprintf(stderr, "trace: %s\n", line.c_str());
    Next();
  });
}

}  // namespace merlinrun::stats
