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
  double least;
  double most;
  const char* text;
  double (*get)(const Side&);
  void (*set)(Side&, double);
  bool tuning = true;  // of the module, and so of this build alone
};

constexpr Setting kSettings[] = {
    {"window_width", 1, 1'000, "servers in the window",
     [](const Side& s) { return static_cast<double>(s.tuning.window_width); },
     [](Side& s, double v) { s.tuning.window_width = static_cast<std::size_t>(v); }},
    {"windows_per_server", 0, 1000, "windows that a server is in, where sidecars are few next to servers",
     [](const Side& s) { return s.tuning.windows_per_server; },
     [](Side& s, double v) { s.tuning.windows_per_server = v; }},
    {"servers_per_out", 0, 10, "window servers for each attempt that is out at once",
     [](const Side& s) { return s.tuning.servers_per_in_flight; },
     [](Side& s, double v) { s.tuning.servers_per_in_flight = v; }},
    {"retry_base_ms", 0, 60'000, "the first wait's most",
     [](const Side& s) { return static_cast<double>(s.tuning.retry_base) / kMillisecond; },
     [](Side& s, double v) { s.tuning.retry_base = static_cast<Micros>(v * kMillisecond); }},
    {"retry_cap_ms", 0, 600'000, "the longest wait's most",
     [](const Side& s) { return static_cast<double>(s.tuning.retry_cap) / kMillisecond; },
     [](Side& s, double v) { s.tuning.retry_cap = static_cast<Micros>(v * kMillisecond); }},
    {"jitter", 0, 1, "share of a wait that chance decides", [](const Side& s) { return s.tuning.jitter; },
     [](Side& s, double v) { s.tuning.jitter = v; }},
    {"out_from", 0.1, 100, "times the usual attempts out from which less is let in",
     [](const Side& s) { return s.tuning.in_flight_shed_start; },
     [](Side& s, double v) { s.tuning.in_flight_shed_start = v; }},
    {"out_full", 0.2, 1'000, "... and at which the least is",
     [](const Side& s) { return s.tuning.in_flight_shed_full; },
     [](Side& s, double v) { s.tuning.in_flight_shed_full = v; }},
    {"most_away", 0, 1, "share of the window that may be left alone; 0: no outlier ejection",
     [](const Side& s) { return s.tuning.max_ejected_share; },
     [](Side& s, double v) { s.tuning.max_ejected_share = v; }},
    {"cold_care", 0, 1, "0: not told that servers start cold",
     [](const Side& s) { return s.cold_care ? 1.0 : 0.0; }, [](Side& s, double v) { s.cold_care = v != 0; },
     false},
    {"warm_care", 0, 1, "0: not told that servers keep keys warm",
     [](const Side& s) { return s.warm_care ? 1.0 : 0.0; }, [](Side& s, double v) { s.warm_care = v != 0; },
     false},
    {"salt", 0, 1e9, "of the sidecars' own chance: sides that differ in it alone are equal",
     [](const Side& s) { return static_cast<double>(s.salt); },
     [](Side& s, double v) { s.salt = static_cast<std::uint64_t>(v); }, false},
};

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= 40 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

// The program of a side that is another build.
constexpr std::string_view kProgram = "program=";

// Sets what "setting=value" says; what is wrong with it, or nothing.
std::string Set(std::string_view item, Side& side) {
  if (item.substr(0, kProgram.size()) == kProgram) {
    const std::string program(item.substr(kProgram.size()));
    if (program.empty()) return "program: a path is needed";
    side.make = [program](Actions& actions) { return Adapter(actions, program); };
    return "";
  }
  const auto equals = item.find('=');
  const std::string_view name = item.substr(0, equals);
  const auto* const setting = std::find_if(std::begin(kSettings), std::end(kSettings),
                                           [&](const Setting& s) { return name == s.name; });
  if (setting == std::end(kSettings)) return "unknown setting '" + std::string(name) + "'";
  const std::string_view value = equals == std::string_view::npos ? "" : item.substr(equals + 1);
  double number = 0;
  const auto read = std::from_chars(value.data(), value.data() + value.size(), number);
  if (read.ec != std::errc() || read.ptr != value.data() + value.size() || !(number >= setting->least) ||
      !(number <= setting->most)) {
    char text[80];
    std::snprintf(text, sizeof text, "a number from %g to %g is needed", setting->least, setting->most);
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
  if (!IsName(side.name)) return fail("a name of letters, digits and -_. is needed, 40 at most");
  std::string_view rest = colon == std::string_view::npos ? "" : text.substr(colon + 1);
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    const std::string wrong = Set(rest.substr(0, comma), side);
    if (!wrong.empty()) return fail(wrong);
    rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
  }
  // The wire has no names for the module's tuning: guards against a comparison of what was never set.
  const bool other = text.find(kProgram) != std::string_view::npos;
  if (other && std::any_of(std::begin(kSettings), std::end(kSettings),
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
