#include "model/side.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <iterator>

#include "model/adapter.hpp"

namespace merlinrun::model {
namespace {

struct Setting {
  const char* name;
  double min;
  double max;
  const char* text;
  double (*get)(const Side&);
  void (*set)(Side&, double);
  bool tuning = true;  // a tuning parameter of this build's balancer
};

constexpr Setting kSettings[] = {
    {"window_width", 1, 1'000, "servers in a sidecar's window",
     [](const Side& s) { return static_cast<double>(s.tuning.window_width); },
     [](Side& s, double v) { s.tuning.window_width = static_cast<std::size_t>(v); }},
    {"windows_per_server", 0, 1000, "minimum windows per server, if sidecars are few",
     [](const Side& s) { return s.tuning.windows_per_server; },
     [](Side& s, double v) { s.tuning.windows_per_server = v; }},
    {"servers_per_out", 0, 10, "window servers per attempt in flight",
     [](const Side& s) { return s.tuning.servers_per_in_flight; },
     [](Side& s, double v) { s.tuning.servers_per_in_flight = v; }},
    {"retry_base_ms", 0, 60'000, "largest first backoff",
     [](const Side& s) { return static_cast<double>(s.tuning.retry_base) / kMillisecond; },
     [](Side& s, double v) { s.tuning.retry_base = static_cast<Micros>(v * kMillisecond); }},
    {"retry_cap_ms", 0, 600'000, "largest backoff",
     [](const Side& s) { return static_cast<double>(s.tuning.retry_cap) / kMillisecond; },
     [](Side& s, double v) { s.tuning.retry_cap = static_cast<Micros>(v * kMillisecond); }},
    {"jitter", 0, 1, "random share of a backoff", [](const Side& s) { return s.tuning.jitter; },
     [](Side& s, double v) { s.tuning.jitter = v; }},
    {"out_from", 0.1, 100, "multiple of the usual attempts in flight at which load shedding starts",
     [](const Side& s) { return s.tuning.in_flight_shed_start; },
     [](Side& s, double v) { s.tuning.in_flight_shed_start = v; }},
    {"out_full", 0.2, 1'000, "... and reaches its maximum",
     [](const Side& s) { return s.tuning.in_flight_shed_full; },
     [](Side& s, double v) { s.tuning.in_flight_shed_full = v; }},
    {"most_away", 0, 1, "largest ejected share of the window; 0: no outlier ejection",
     [](const Side& s) { return s.tuning.max_ejected_share; },
     [](Side& s, double v) { s.tuning.max_ejected_share = v; }},
    {"cold_care", 0, 1, "0: not told that servers start cold",
     [](const Side& s) { return s.cold_care ? 1.0 : 0.0; }, [](Side& s, double v) { s.cold_care = v != 0; },
     false},
    {"warm_care", 0, 1, "0: not told that servers keep keys warm",
     [](const Side& s) { return s.warm_care ? 1.0 : 0.0; }, [](Side& s, double v) { s.warm_care = v != 0; },
     false},
    {"salt", 0, 1e9, "of the sidecars' random seeds; sides that differ only here are equivalent",
     [](const Side& s) { return static_cast<double>(s.salt); },
     [](Side& s, double v) { s.salt = static_cast<std::uint64_t>(v); }, false},
};

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= 40 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

constexpr std::string_view kProgramPrefix = "program=";

// Applies "setting=value"; returns an error message, or an empty string.
std::string ApplySetting(std::string_view assignment, Side& side) {
  if (assignment.substr(0, kProgramPrefix.size()) == kProgramPrefix) {
    const std::string program(assignment.substr(kProgramPrefix.size()));
    if (program.empty()) return "program: a path is needed";
    side.make_sidecars = [program](Actions& actions) { return MakeAdapterSidecars(actions, program); };
    return "";
  }
  const auto equals = assignment.find('=');
  const std::string_view name = assignment.substr(0, equals);
  const auto* const setting = std::find_if(std::begin(kSettings), std::end(kSettings),
                                           [&](const Setting& s) { return name == s.name; });
  if (setting == std::end(kSettings)) return "unknown setting '" + std::string(name) + "'";
  const std::string_view value = equals == std::string_view::npos ? "" : assignment.substr(equals + 1);
  double number = 0;
  const auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size() || !(number >= setting->min) ||
      !(number <= setting->max)) {
    char text[80];
    std::snprintf(text, sizeof text, "a number from %g to %g is needed", setting->min, setting->max);
    return std::string(name) + ": " + text;
  }
  setting->set(side, number);
  return "";
}

}  // namespace

std::variant<Side, std::string> ParseSide(std::string_view text) {
  const auto fail = [&](const std::string& what) {
    return "side '" + std::string(text.substr(0, 200)) + "': " + what;
  };
  Side side;
  const auto colon = text.find(':');
  side.name = text.substr(0, colon);
  if (!IsValidName(side.name)) return fail("a name of letters, digits and -_. is needed, 40 at most");
  std::string_view rest = colon == std::string_view::npos ? "" : text.substr(colon + 1);
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    const std::string error = ApplySetting(rest.substr(0, comma), side);
    if (!error.empty()) return fail(error);
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
  }
  // The adapter protocol doesn't carry tuning parameters, so they would have no effect.
  const bool is_program = text.find(kProgramPrefix) != std::string_view::npos;
  if (is_program && std::any_of(std::begin(kSettings), std::end(kSettings),
                                [&](const Setting& s) { return s.tuning && s.get(side) != s.get(Side()); }))
    return fail("a program's tuning can't be set");
  if (!(side.tuning.in_flight_shed_full > side.tuning.in_flight_shed_start))
    return fail("out_full has to be above out_from");
  return side;
}

std::string SideSettings() {
  std::string out = "  program=PATH              another build's adapter program (merlinrun_drill)\n";
  const Side side;
  for (const Setting& setting : kSettings) {
    char line[200];
    std::snprintf(line, sizeof line, "  %-16s %8g  %s\n", setting.name, setting.get(side), setting.text);
    out += line;
  }
  return out;
}

}  // namespace merlinrun::model
