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
constexpr std::int64_t kMinIntervalMs = 100;
constexpr std::int64_t kMaxIntervalMs = 3'600'000;

constexpr std::array<const char*, kResults> kResultNames = {
    "ok", "error", "refused", "timeout", "unreachable", "reset", "cancelled", "never-sent"};

double Rounded(double value) { return std::round(value * 1000) / 1000; }

template <std::size_t N, typename Names>
Json CountsJson(const std::array<std::int64_t, N>& counts, const Names& names) {
  Json out = Json::object();
  for (std::size_t i = 0; i < N; ++i)
    if (counts[i] > 0) out[std::string(names[i])] = counts[i];
  return out;
}

Json ClassJson(const ClassStats& c) {
  Json out = {{"served", c.served},           {"late", c.late},
              {"left", c.client_gone},        {"tries", c.attempt_count},
              {"untried", c.without_attempt}, {"out_of_time", c.deadline_exceeded}};
  if (Json refused = CountsJson(c.refused, kCauseNames); !refused.empty())
    out["refused"] = std::move(refused);
  if (Json failed = CountsJson(c.failed, kCauseNames); !failed.empty()) out["failed"] = std::move(failed);
  return out;
}

Json PoolJson(const BalancerSnapshot::Pool& p) {
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

Json ServersJson(const IntervalStats& interval_stats, const BalancerSnapshot& snapshot) {
  Json out = Json::object();
  for (const BalancerSnapshot::Server& s : snapshot.servers) {
    if (!s.in_window && interval_stats.servers.find(s.id) == interval_stats.servers.end()) continue;
    out[std::string(s.id)] = {
        {"state", NameOf(s.state)},           {"out", s.in_flight},
        {"slow", Rounded(s.latency_ratio)},   {"failing", Rounded(s.error_rate)},
        {"strikes", s.consecutive_ejections}, {"left_alone", s.ejected_for / kMillisecond},
        {"warmth", Rounded(s.capacity_share)}};
  }
  for (const auto& [id, s] : interval_stats.servers) {
    Json& to = out[id];
    to["results"] = CountsJson(s.results, kResultNames);
    const auto ok = s.results[static_cast<std::size_t>(Result::kSuccess)];
    to["mean_ms"] = ok > 0 ? s.total_duration / ok / kMillisecond : 0;
    to["longest_ms"] = s.max_duration / kMillisecond;
  }
  return out;
}

Json PeerMessagesJson(const RuntimeCounts::PeerMessages& w) {
  return {{"heard", w.heard},   {"taken", w.accepted},   {"old", w.outdated}, {"foreign", w.foreign},
          {"future", w.future}, {"broken", w.malformed}, {"sent", w.sent},    {"sent_bytes", w.sent_bytes}};
}

using config::FormatTomlError;

}  // namespace

std::variant<TraceSettings, std::string> ParseTraceSettings(std::string_view text, const std::string& file) {
  try {
    const toml::table root = toml::parse(text, file);
    TraceSettings out;
    for (const auto& [key, node] : root) {
      if (key == "every_ms" && node.is_integer()) {
        const auto interval = node.value_or(std::int64_t{0});
        if (interval < kMinIntervalMs || interval > kMaxIntervalMs)
          return FormatTomlError(node.source(), file,
                                 "every_ms: a whole number from 100 to 3600000 is needed");
        out.interval = interval * kMillisecond;
      } else if (key == "servers" && node.is_boolean()) {
        out.servers = node.value_or(true);
      } else {
        return FormatTomlError(node.source(), file,
                               "'" + std::string(key.str()) + "' is unknown or of the wrong kind");
      }
    }
    if (out.interval == 0) return FormatTomlError(root.source(), file, "every_ms is needed");
    return out;
  } catch (const toml::parse_error& error) {
    return FormatTomlError(error.source(), file, error.description());
  }
}

std::string TraceLine(Micros at, const Settings& settings, const IntervalStats& interval_stats,
                      const BalancerSnapshot& snapshot, const RuntimeCounts& runtime, bool servers) {
  Json line = {{"at", at},
               {"held", runtime.requests},
               {"clients", runtime.clients},
               {"connections", runtime.connections}};
  Json& classes = line["classes"] = Json::object();
  for (std::size_t i = 0; i < interval_stats.classes.size(); ++i)
    classes[settings.classes[i].name] = ClassJson(interval_stats.classes[i]);
  Json& pools = line["pools"] = Json::array();
  for (const BalancerSnapshot::Pool& pool : snapshot.pools)
    if (pool.servers > 0) pools.push_back(PoolJson(pool));
  Json& zones = line["zones"] = {{"epoch", snapshot.zones_epoch}};
  for (const BalancerSnapshot::Zone& zone : snapshot.zones) {
    zones["stages"][std::to_string(zone.zone)] = kZoneStageNames[static_cast<std::size_t>(zone.stage)];
    if (const ZonePeerSummary& report = zone.peer_report; report.reporting > 0)
      zones["told"][std::to_string(zone.zone)] = {
          {"heard", report.reporting}, {"lost", report.reporting_lost}, {"well", report.reporting_healthy}};
  }
  if (runtime.peer_messages) line["words"] = PeerMessagesJson(*runtime.peer_messages);
  if (servers) line["servers"] = ServersJson(interval_stats, snapshot);
  return line.dump(-1, ' ', true, Json::error_handler_t::replace);
}

Trace::Trace(core::Loop& loop, core::RequestManager& request_manager, TraceSettings settings,
             std::function<RuntimeCounts()> read_counts)
    : loop_(loop),
      request_manager_(request_manager),
      settings_(settings),
      read_counts_(std::move(read_counts)),
      collector_(request_manager.settings()),
      timer_(loop.NewTimer()) {
  request_manager_.OnAttemptCompleted(
      [this](const core::CompletedAttempt& attempt) { collector_.Add(attempt); });
  ScheduleNext();
}

void Trace::ScheduleNext() {
  timer_->Start(settings_.interval, [this] {
    const std::string line = TraceLine(loop_.Now(), request_manager_.settings(), collector_.Take(),
                                       request_manager_.TakeSnapshot(), read_counts_(), settings_.servers);
    std::fprintf(stderr, "trace: %s\n", line.c_str());
    ScheduleNext();
  });
}

}  // namespace merlinrun::stats
