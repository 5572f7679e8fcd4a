#include "wire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <map>
#include <utility>

namespace merlinrun::drill {
namespace {

constexpr std::int64_t kMaxMicros = std::int64_t{1} << 60;  // the sum of two such times does not overflow

[[noreturn]] void ThrowInvalid(std::string_view what, std::string_view value, std::string_view reason) {
  std::string text(what);
  text.append(" '").append(value.substr(0, 80)).append("': ").append(reason);
  throw WireError(text);
}

template <typename T>
T Parse(std::string_view word, std::string_view what, std::string_view kind) {
  T value{};
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error != std::errc() || end != word.data() + word.size()) ThrowInvalid(what, word, kind);
  return value;
}

// Maps a word to its value.
template <typename T>
T LookUp(std::string_view word, std::string_view what, std::string_view reason,
         std::initializer_list<std::pair<std::string_view, T>> choices) {
  for (const auto& [name, value] : choices)
    if (word == name) return value;
  ThrowInvalid(what, word, reason);
}

// Space-separated path=value pairs. Values are parsed on access; unknown keys are ignored.
class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      const std::size_t space = text.find(' ');
      const std::string_view pair = text.substr(0, space);
      text.remove_prefix(space == std::string_view::npos ? text.size() : space + 1);
      const std::size_t equals = pair.find('=');
      if (equals == std::string_view::npos || equals == 0) ThrowInvalid("setting", pair, "not path=value");
      values_[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
  }
  std::string_view Text(const std::string& path, std::string_view fallback) const {
    const auto it = values_.find(path);
    return it == values_.end() || it->second == "-" ? fallback : it->second;
  }
  double Number(const std::string& path, double fallback) const {
    const std::string_view text = Text(path, "");
    if (text.empty()) return fallback;
    const double value = Parse<double>(text, path, "not a number");
    if (!std::isfinite(value)) ThrowInvalid(path, text, "not a finite number");
    return value;
  }
  std::int64_t Int(const std::string& path, std::int64_t fallback) const {
    const std::string_view text = Text(path, "");
    if (text.empty()) return fallback;
    const auto value = Parse<std::int64_t>(text, path, "not a whole number");
    if (value > kMaxMicros || value < -kMaxMicros) ThrowInvalid(path, text, "out of range");
    return value;
  }
  // A count from 0 to 10^9.
  int Count(const std::string& path, int fallback) const {
    const std::int64_t value = Int(path, fallback);
    if (value < 0 || value > 1'000'000'000) ThrowInvalid(path, Text(path, ""), "out of range");
    return static_cast<int>(value);
  }
  bool Bool(const std::string& path, bool fallback) const {
    const std::string_view text = Text(path, "");
    if (text.empty()) return fallback;
    if (text == "true" || text == "1") return true;
    if (text == "false" || text == "0") return false;
    ThrowInvalid(path, text, "not a bool");
  }

 private:
  std::map<std::string_view, std::string_view> values_;
};

std::vector<std::string> SplitCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    text.remove_prefix(comma == std::string_view::npos ? text.size() : comma + 1);
  }
  return parts;
}

RequestClass ParseClass(const Pairs& pairs, const std::string& prefix) {
  RequestClass c;
  c.name = pairs.Text(prefix + "name", "");
  if (c.name.empty()) ThrowInvalid(prefix + "name", "", "a class needs a name");
  c.latency_target = pairs.Int(prefix + "aim_us", 0);
  c.latency_target_work_factor = pairs.Number(prefix + "aim_stretch", 0);
  c.deadline = pairs.Int(prefix + "hard_limit_us", 0);
  c.value = pairs.Number(prefix + "importance", 1);
  c.late_value = pairs.Number(prefix + "late_value", 0);
  c.dedup_window = pairs.Int(prefix + "window_us", 0);
  c.streamed = pairs.Bool(prefix + "stream", false);
  c.sequential = pairs.Bool(prefix + "sequential", false);
  c.retry_safety =
      LookUp<RetrySafety>(pairs.Text(prefix + "repeat", ""), prefix + "repeat", "unknown repeat kind",
                          {{"idempotent", RetrySafety::kSafe},
                           {"deduplicated", RetrySafety::kDeduplicated},
                           {"at_most_once", RetrySafety::kNever}});
  c.dedup_scope = LookUp<DedupScope>(
      pairs.Text(prefix + "group", "all"), prefix + "group", "unknown group",
      {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}});
  return c;
}

constexpr std::pair<std::string_view, std::optional<double> LoadReport::*> kLoadFields[] = {
    {"busy_reqs", &LoadReport::busy},         {"pending", &LoadReport::waiting},
    {"cpu_share", &LoadReport::cpu},          {"svc_ms", &LoadReport::service_ms},
    {"served_ps", &LoadReport::served_per_s}, {"failed_ps", &LoadReport::failed_per_s}};

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

std::string_view Fields::Word(const char* what) {
  if (!has_more_) throw WireError(std::string(what) + ": missing");
  const std::size_t space = rest_.find(' ');
  const std::string_view word = rest_.substr(0, space);
  if (word.empty()) throw WireError(std::string(what) + ": empty");
  has_more_ = space != std::string_view::npos;
  rest_.remove_prefix(has_more_ ? space + 1 : rest_.size());
  return word;
}

std::optional<std::int64_t> Fields::OptionalInt(const char* what) {
  const std::string_view word = Word(what);
  if (word == "-") return std::nullopt;
  return Parse<std::int64_t>(word, what, "not a whole number");
}

std::int64_t Fields::Int(const char* what) {
  return Parse<std::int64_t>(Word(what), what, "not a whole number");
}

std::int64_t Fields::NonNegative(const char* what) {
  const std::string_view word = Word(what);
  const auto value = Parse<std::int64_t>(word, what, "not a whole number");
  if (value < 0) ThrowInvalid(what, word, "negative");
  if (value > kMaxMicros) ThrowInvalid(what, word, "out of range");
  return value;
}

std::uint64_t Fields::Unsigned(const char* what) {
  return Parse<std::uint64_t>(Word(what), what, "not a whole number from 0");
}

double Fields::Number(const char* what) {
  const std::string_view word = Word(what);
  const auto value = Parse<double>(word, what, "not a number");
  if (!std::isfinite(value)) ThrowInvalid(what, word, "not a finite number");
  return value;
}

bool Fields::Bool(const char* what) {
  const std::string_view word = Word(what);
  if (word == "1") return true;
  if (word == "0") return false;
  ThrowInvalid(what, word, "not 1 or 0");
}

std::string_view Fields::Rest() {
  has_more_ = false;
  return std::exchange(rest_, std::string_view());
}

void Fields::End() {
  if (has_more_) ThrowInvalid("line", rest_, "more than it should hold");
}

WireSettings ParseSettings(std::string_view text) {
  const Pairs pairs(text);
  WireSettings out;
  Settings& s = out.settings;
  out.zones = SplitCommas(pairs.Text("azs", ""));
  out.machines = SplitCommas(pairs.Text("host_types", ""));
  const int classes = pairs.Count("grades.count", 0);
  for (int i = 0; i < classes; ++i)
    s.classes.push_back(ParseClass(pairs, "grades." + std::to_string(i) + "."));
  const int tenants = pairs.Count("tenants.count", 0);
  for (int i = 0; i < tenants; ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    Tenant tenant;
    tenant.name = pairs.Text(prefix + "name", "");
    if (tenant.name.empty()) ThrowInvalid(prefix + "name", "", "a tenant needs a name");
    tenant.share = pairs.Number(prefix + "share", 0);
    tenant.quota_per_s = pairs.Number(prefix + "quota_per_s", 0);
    s.tenants.push_back(std::move(tenant));
  }
  s.zone = IndexOf(out.zones, pairs.Text("my_zone", ""));
  s.sidecar_index = static_cast<std::uint32_t>(pairs.Count("rank", 0));
  s.sidecar_count = static_cast<std::uint32_t>(pairs.Count("siblings", 1));
  s.tick = pairs.Int("quantum_us", 0);
  s.max_attempts = pairs.Count("allowed.max_attempts", 1);
  s.parallel_attempts = pairs.Bool("allowed.parallel_tries", false);
  s.cancel = pairs.Bool("allowed.cancel", false);
  s.peers = pairs.Bool("allowed.peers", false);
  s.probes = pairs.Bool("allowed.probes", false);
  s.max_retry_after =
      pairs.Bool("allowed.retry_after", false) ? pairs.Int("allowed.max_retry_after_us", 0) : 0;
  s.streams_per_connection = pairs.Count("allowed.streams_per_conn", 1);
  s.connection_idle_timeout = pairs.Int("allowed.conn_idle_us", 0);
  s.dial_timeout = pairs.Int("allowed.dial_timeout_us", 0);
  s.max_open_requests = pairs.Int("allowed.open_cap", 0);
  s.cpu_per_s = pairs.Int("allowed.cpu_us_per_s", 0);
  s.cpu_per_request = pairs.Number("allowed.cpu_us_per_request", 0);
  s.clients_mark_retries = pairs.Bool("callers.marks_retry", false);
  s.load_reporting =
      LookUp<Settings::LoadReporting>(pairs.Text("telemetry.via", "none"), "telemetry.via", "unknown",
                                      {{"none", Settings::LoadReporting::kNone},
                                       {"answers", Settings::LoadReporting::kInResponses},
                                       {"probe", Settings::LoadReporting::kInProbes}});
  s.report_fields = SplitCommas(pairs.Text("telemetry.fields", ""));
  s.weights = LookUp<Settings::Weights>(pairs.Text("weights", "none"), "weights", "unknown",
                                        {{"none", Settings::Weights::kNone},
                                         {"nominal", Settings::Weights::kNominal},
                                         {"rough", Settings::Weights::kRough},
                                         {"live", Settings::Weights::kLive}});
  s.warm_keys = pairs.Bool("domain.warm_keys", false);
  s.must_subscribe = pairs.Text("membership_mode", "automatic") == "subscribe";
  s.list_retry_cap = pairs.Int("rules.ask_within_us", 0);
  s.drain_grace = pairs.Int("rules.drain_grace_us", 0);
  s.cold_start_capacity = pairs.Number("rules.cold_from", 1);
  s.warmup_time = pairs.Int("rules.warm_after_us", 0);
  s.overload_factor = pairs.Number("rules.overload_factor", 1);
  s.overload_crash_time = pairs.Int("rules.fall_us", 0);
  s.refused_may_have_run = pairs.Bool("rules.late_shedding", false);
  s.hold_after_uncertain_outcome = pairs.Int("rules.settle_after_doubt_us", 0);
  s.cost_cross_zone = pairs.Number("costs.cross_zone", 0);
  s.cost_wasted_work = pairs.Number("costs.waste", 0);
  s.cost_connection = pairs.Number("costs.connection", 0);
  s.cost_late_failure = pairs.Number("costs.late_fail", 0);
  s.cost_handshake = pairs.Number("costs.handshake", 0);
  s.cost_probe = pairs.Number("costs.probe", 0);
  s.cost_peer_traffic = pairs.Number("costs.peer", 0);
  s.cost_discovery = pairs.Number("costs.membership_mode", 0);
  s.cost_moves = pairs.Number("costs.moves", 0);
  s.cost_origin = pairs.Number("costs.origin", 0);
  s.goal_total = pairs.Number("goal.whole", 1);
  s.goal_worst_window = pairs.Number("goal.worst_window", 0);
  s.goal_worst_class = pairs.Number("goal.worst_class", 0);
  s.goal_worst_tenant = pairs.Number("goal.worst_tenant", 0);
  s.value_by_work = pairs.Text("value_by", "request") == "work";
  s.over_share_value = pairs.Number("over_share_worth", 1);
  return out;
}

Result ParseResult(std::string_view word) {
  return LookUp<Result>(word, "outcome", "unknown",
                        {{"success", Result::kSuccess},
                         {"failure", Result::kError},
                         {"overloaded", Result::kRefused},
                         {"timed_out", Result::kTimeout},
                         {"unreachable", Result::kUnreachable},
                         {"broken", Result::kReset},
                         {"withdrawn", Result::kCancelled},
                         {"void", Result::kNeverSent}});
}

LoadReport ParseLoad(std::string_view text) {
  LoadReport load;
  if (text == "-") return load;
  for (const std::string& pair : SplitCommas(text)) {
    const std::size_t colon = pair.find(':');
    if (colon == std::string::npos || colon == 0) ThrowInvalid("stats", pair, "not name:value");
    const std::string_view value = std::string_view(pair).substr(colon + 1);
    if (value == "-") continue;
    const double number = Parse<double>(value, "stats", "not a number");
    if (!std::isfinite(number) || number < 0) ThrowInvalid("stats", pair, "not a finite number from 0");
    for (const auto& [name, field] : kLoadFields)
      if (std::string_view(pair).substr(0, colon) == name) load.*field = number;
  }
  return load;
}

std::string ParseHex(std::string_view digits) {
  std::string bytes;
  if (digits == "-") return bytes;
  if (digits.size() % 2 != 0) ThrowInvalid("blob", digits, "not whole bytes in hex");
  for (std::size_t i = 0; i < digits.size(); i += 2) {
    const int high = HexDigit(digits[i]);
    const int low = HexDigit(digits[i + 1]);
    if (high < 0 || low < 0) ThrowInvalid("blob", digits, "not hex digits");
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

ServerInfo::State ParseState(std::string_view word) {
  return LookUp<ServerInfo::State>(word, "readiness", "unknown",
                                   {{"healthy", ServerInfo::State::kHealthy},
                                    {"cordoned", ServerInfo::State::kDraining},
                                    {"deregistered", ServerInfo::State::kGone}});
}

int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace merlinrun::drill
