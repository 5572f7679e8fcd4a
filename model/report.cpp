#include "model/report.hpp"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <functional>
#include <nlohmann/json.hpp>

namespace merlinrun::model {
namespace {

std::string Format(const char* format, ...) __attribute__((format(printf, 1, 2)));
std::string Format(const char* format, ...) {
  char text[400];
  va_list arguments;
  va_start(arguments, format);
  // NOLINTNEXTLINE(clang-analyzer-valist.Uninitialized): it is; the analyser loses sight of va_start
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  return text;
}

std::vector<double> Collect(const std::vector<DayResult>& days,
                            const std::function<double(const DayResult&)>& metric) {
  std::vector<double> out;
  out.reserve(days.size());
  for (const DayResult& day : days) out.push_back(metric(day));
  return out;
}

double MeanOver(const std::vector<DayResult>& days, const std::function<double(const DayResult&)>& metric) {
  return Mean(Collect(days, metric));
}

std::uint64_t DaysWithViolations(const std::vector<DayResult>& days) {
  return static_cast<std::uint64_t>(std::count_if(days.begin(), days.end(), [](const DayResult& day) {
    return std::any_of(day.violations.begin(), day.violations.end(), [](auto n) { return n > 0; });
  }));
}

std::uint64_t DaysWithFault(const std::vector<DayResult>& days) {
  return static_cast<std::uint64_t>(
      std::count_if(days.begin(), days.end(), [](const DayResult& day) { return !day.fault.empty(); }));
}

// The first reason why a day of this side scores zero; empty if there is none.
std::string FirstFailure(const std::vector<DayResult>& days) {
  for (const DayResult& day : days) {
    if (!day.fault.empty()) return "seed " + std::to_string(day.seed) + ": " + day.fault;
    if (!day.violation_messages.empty())
      return "seed " + std::to_string(day.seed) + ": " + day.violation_messages.front();
  }
  return "";
}

struct PartDifference {  // the difference in one window or class
  std::string name;
  double mean = 0;
  Interval interval;
};

using ShareListMember = std::vector<ServiceShare> DayResult::*;

// Differences by window or class with 95% intervals, not corrected for multiple comparisons.
std::vector<PartDifference> PartDifferences(const Comparison& comparison, std::size_t side,
                                            ShareListMember shares,
                                            const std::function<std::string(std::size_t)>& name) {
  std::vector<PartDifference> out;
  const auto& base = comparison.days[0];
  const auto& other = comparison.days[side];
  const std::size_t pairs = std::min(base.size(), other.size());
  if (pairs < 2) return out;
  std::size_t count = (base[0].*shares).size();
  for (std::size_t i = 0; i < pairs; ++i)
    count = std::min({count, (base[i].*shares).size(), (other[i].*shares).size()});
  for (std::size_t part = 0; part < count; ++part) {
    std::vector<double> differences;
    for (std::size_t i = 0; i < pairs; ++i)
      differences.push_back((other[i].*shares)[part].ratio() - (base[i].*shares)[part].ratio());
    out.push_back({name(part), Mean(differences), TInterval(differences, kReportLevel)});
  }
  return out;
}

std::vector<PartDifference> ByWindow(const ComparisonPlan& plan, const Comparison& comparison,
                                     std::size_t side) {
  return PartDifferences(comparison, side, &DayResult::windows, [&](std::size_t i) {
    return Format("%.0f s", static_cast<double>(i) * plan.scenario.window_s.low);
  });
}
std::vector<PartDifference> ByClass(const ComparisonPlan& plan, const Comparison& comparison,
                                    std::size_t side) {
  return PartDifferences(comparison, side, &DayResult::classes,
                         [&](std::size_t i) { return plan.scenario.classes[i].name; });
}

std::string VerdictText(const Difference& d) {
  std::string out = NameOf(d.verdict);
  if (d.verdict == Verdict::kBetter || d.verdict == Verdict::kWorse)
    out += d.significant_after_holm ? "" : " (not after correction for the number of sides)";
  return out;
}

// ---- HTML ----

constexpr double kWidth = 640;
constexpr double kHeight = 220;
constexpr double kMargin = 52;

std::string Escape(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '<')
      out += "&lt;";
    else if (c == '>')
      out += "&gt;";
    else if (c == '&')
      out += "&amp;";
    else if (c == '"')
      out += "&quot;";
    else
      out += c;
  }
  return out;
}

// An SVG plot with a value axis.
struct Plot {
  double low;
  double high;
  std::string body;

  double Y(double value) const {
    return kHeight - kMargin + (value - low) / (high - low) * (2 * kMargin - kHeight - 12);
  }
  double X(std::size_t i, std::size_t n) const {
    return kMargin + (static_cast<double>(i) + 0.5) * (kWidth - kMargin - 10) /
                         static_cast<double>(std::max<std::size_t>(n, 1));
  }
  void Axis() {
    for (int i = 0; i <= 4; ++i) {
      const double value = low + (high - low) * i / 4;
      body += Format("<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' stroke='#ddd'/>", kMargin, kWidth - 10,
                     Y(value), Y(value));
      body +=
          Format("<text x='%.1f' y='%.1f' text-anchor='end'>%.3f</text>", kMargin - 5, Y(value) + 4, value);
    }
  }
  void Label(std::size_t i, std::size_t n, const std::string& text) {
    body += Format("<text x='%.1f' y='%.1f' text-anchor='middle'>", X(i, n), kHeight - kMargin + 18) +
            Escape(text) + "</text>";
  }
  std::string Svg() const {
    return Format("<svg viewBox='0 0 %.0f %.0f' width='%.0f' height='%.0f'>", kWidth, kHeight, kWidth,
                  kHeight) +
           body + "</svg>\n";
  }
};

const char* const kColours[] = {"#1f4e79", "#c55a11", "#2e7d32", "#7b1fa2",
                                "#b71c1c", "#00695c", "#5d4037", "#455a64"};
const char* Colour(std::size_t side) { return kColours[side % std::size(kColours)]; }

std::string ServiceOverTime(const ComparisonPlan& plan, const Comparison& comparison) {
  std::vector<std::vector<double>> lines(plan.sides.size());
  double low = 1;
  std::size_t windows = 0;
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    const auto& days = comparison.days[side];
    std::size_t count = days.empty() ? 0 : days[0].windows.size();
    for (const DayResult& day : days) count = std::min(count, day.windows.size());
    for (std::size_t w = 0; w < count; ++w) {
      lines[side].push_back(MeanOver(days, [w](const DayResult& day) { return day.windows[w].ratio(); }));
      low = std::min(low, lines[side].back());
    }
    windows = std::max(windows, count);
  }
  Plot plot{std::max(0.0, low - 0.02), 1, ""};
  plot.Axis();
  for (std::size_t w = 0; w < windows; ++w)
    if (windows <= 20 || w % (windows / 10) == 0)
      plot.Label(w, windows, Format("%.0f s", static_cast<double>(w) * plan.scenario.window_s.low));
  for (std::size_t side = 0; side < lines.size(); ++side) {
    std::string points;
    for (std::size_t w = 0; w < lines[side].size(); ++w)
      points += Format("%.1f,%.1f ", plot.X(w, windows), plot.Y(lines[side][w]));
    plot.body += "<polyline fill='none' stroke-width='2' stroke='" + std::string(Colour(side)) +
                 "' points='" + points + "'/>";
    plot.body += Format("<text x='%.0f' y='%.0f' fill='%s'>", kMargin + 10 + 120 * static_cast<double>(side),
                        kHeight - 12, Colour(side)) +
                 Escape(plan.sides[side].name) + "</text>";
  }
  return plot.Svg();
}

std::string DifferencePlot(const std::vector<PartDifference>& parts, std::size_t side) {
  double range = 0.005;  // minimum range, so that noise doesn't fill the plot
  for (const PartDifference& part : parts) range = std::max({range, -part.interval.low, part.interval.high});
  Plot plot{-range, range, ""};
  plot.Axis();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const double x = plot.X(i, parts.size());
    plot.body += Format("<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' stroke='%s' stroke-width='2'/>", x, x,
                        plot.Y(parts[i].interval.low), plot.Y(parts[i].interval.high), Colour(side));
    plot.body +=
        Format("<circle cx='%.1f' cy='%.1f' r='4' fill='%s'/>", x, plot.Y(parts[i].mean), Colour(side));
    if (parts.size() <= 20 || i % (parts.size() / 10) == 0) plot.Label(i, parts.size(), parts[i].name);
  }
  return plot.Svg();
}

nlohmann::json PartsJson(const std::vector<PartDifference>& parts) {
  nlohmann::json out = nlohmann::json::array();
  for (const PartDifference& part : parts)
    out.push_back(
        {{"name", part.name}, {"mean", part.mean}, {"low", part.interval.low}, {"high", part.interval.high}});
  return out;
}

nlohmann::json SharesJson(const std::vector<ServiceShare>& shares) {
  nlohmann::json out = nlohmann::json::array();
  for (const ServiceShare& share : shares) out.push_back({share.requested, share.served});
  return out;
}

std::vector<ServiceShare> SharesFrom(const nlohmann::json& json) {
  std::vector<ServiceShare> out;
  for (const auto& item : json) out.push_back({item.at(0).get<double>(), item.at(1).get<double>()});
  return out;
}

}  // namespace

const char* NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kBetter:
      return "better";
    case Verdict::kWorse:
      return "worse";
    case Verdict::kSame:
      return "no difference that matters";
    case Verdict::kUnclear:
      return "not told apart";
  }
  return "";
}

std::string TextReport(const ComparisonPlan& plan, const Comparison& comparison) {
  std::string out = Format("scenario %s, seeds from %lu\n\n", plan.scenario.name.c_str(), plan.first_seed);
  out += Format("%-16s %5s %8s %8s %8s %8s %7s %6s %8s\n", "side", "days", "service", "whole", "window",
                "class", "tries", "rules", "att/req");
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    const auto& days = comparison.days[side];
    const auto per_request = [](std::uint64_t n, const DayResult& day) {
      return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(day.requests, 1));
    };
    out += Format("%-16s %5zu %8.4f %8.4f %8.4f %8.4f %7.3f %6lu %8.3f\n", plan.sides[side].name.c_str(),
                  days.size(), MeanOver(days, [](const DayResult& d) { return d.service; }),
                  MeanOver(days, [](const DayResult& d) { return d.total.ratio(); }),
                  MeanOver(days, [](const DayResult& d) { return LowestRatio(d.windows); }),
                  MeanOver(days, [](const DayResult& d) { return LowestRatio(d.classes); }),
                  MeanOver(days, [&](const DayResult& d) { return per_request(d.tries, d); }),
                  DaysWithViolations(days),
                  MeanOver(days, [&](const DayResult& d) { return per_request(d.attempts, d); }));
  }
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    const std::string failure = FirstFailure(comparison.days[side]);
    if (!failure.empty())
      out += Format("%s: %lu days failed, %lu broke a rule; ", plan.sides[side].name.c_str(),
                    DaysWithFault(comparison.days[side]), DaysWithViolations(comparison.days[side])) +
             failure + "\n";
  }
  for (std::size_t side = 1; side < plan.sides.size(); ++side) {
    const Difference& d = comparison.differences[side - 1];
    out += "\n" + plan.sides[side].name + " against " + plan.sides[0].name + ": " + VerdictText(d) + "\n";
    out += Format("  difference in service %+.4f, %zu pairs, p %.2g\n", d.mean, d.pairs, d.p_value);
    out += Format(
        "  95 in 100: t %+.4f to %+.4f, bootstrap %+.4f to %+.4f; kept through all looks and sides: %+.4f to "
        "%+.4f\n",
        d.t_interval.low, d.t_interval.high, d.bootstrap_interval.low, d.bootstrap_interval.high,
        d.sequential_interval.low, d.sequential_interval.high);
    for (const PartDifference& part : ByClass(plan, comparison, side))
      out += Format("  %-16s %+.4f  (%+.4f to %+.4f)\n", part.name.c_str(), part.mean, part.interval.low,
                    part.interval.high);
  }
  if (comparison.stopped) out += "\nstopped before it was clear\n";
  return out;
}

std::string JsonReport(const ComparisonPlan& plan, const Comparison& comparison) {
  nlohmann::json out = {{"format", "fennelhollow-model-report"},
                        {"version", 1},
                        {"scenario", PrintScenario(plan.scenario)},
                        {"first_seed", plan.first_seed},
                        {"level", plan.level},
                        {"matters", plan.min_effect},
                        {"stopped", comparison.stopped}};
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    nlohmann::json side_json = {{"name", plan.sides[side].name}, {"days", nlohmann::json::array()}};
    for (const DayResult& day : comparison.days[side]) side_json["days"].push_back(ToJson(day));
    if (side > 0) {
      const Difference& d = comparison.differences[side - 1];
      const auto pair = [](const Interval& i) { return nlohmann::json::array({i.low, i.high}); };
      side_json["difference"] = {{"verdict", NameOf(d.verdict)},
                                 {"pairs", d.pairs},
                                 {"mean", d.mean},
                                 {"t", pair(d.t_interval)},
                                 {"p", d.p_value},
                                 {"bootstrap", pair(d.bootstrap_interval)},
                                 {"kept", pair(d.sequential_interval)},
                                 {"holds_after_correction", d.significant_after_holm},
                                 {"by_class", PartsJson(ByClass(plan, comparison, side))},
                                 {"by_window", PartsJson(ByWindow(plan, comparison, side))}};
    }
    out["sides"].push_back(std::move(side_json));
  }
  return out.dump(1) + "\n";
}

std::string HtmlReport(const ComparisonPlan& plan, const Comparison& comparison) {
  std::string out =
      "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'><title>" + Escape(plan.scenario.name) +
      "</title><style>body{font:15px sans-serif;max-width:720px;margin:2em auto}svg text{font:11px "
      "sans-serif}pre{background:#f6f6f6;padding:1em;overflow:auto}</style></head><body>\n<h1>" +
      Escape(plan.scenario.name) + "</h1>\n<pre>" + Escape(TextReport(plan, comparison)) + "</pre>\n";
  out += "<h2>Service over time</h2>\n" + ServiceOverTime(plan, comparison);
  for (std::size_t side = 1; side < plan.sides.size(); ++side) {
    out += "<h2>" + Escape(plan.sides[side].name) + " less " + Escape(plan.sides[0].name) +
           "</h2>\n<h3>by window (95 in 100)</h3>\n" +
           DifferencePlot(ByWindow(plan, comparison, side), side) + "<h3>by class (95 in 100)</h3>\n" +
           DifferencePlot(ByClass(plan, comparison, side), side);
  }
  return out + "</body></html>\n";
}

nlohmann::json ToJson(const DayResult& day) {
  return {{"seed", day.seed},
          {"service", day.service},
          {"windows", SharesJson(day.windows)},
          {"classes", SharesJson(day.classes)},
          {"broken", day.violations},
          {"lines", day.violation_messages},
          {"fault", day.fault},
          {"asked", day.requests},
          {"tries", day.tries},
          {"served", day.served},
          {"late", day.late},
          {"refused", day.refused},
          {"failed", day.failed},
          {"attempts", day.attempts},
          {"connections", day.connections},
          {"crossings", day.cross_zone_attempts},
          {"fell", day.overload_crashes},
          {"events", day.events},
          {"whole", {day.total.requested, day.total.served}}};
}

DayResult FromJson(const nlohmann::json& json) {
  DayResult day;
  json.at("seed").get_to(day.seed);
  json.at("service").get_to(day.service);
  day.windows = SharesFrom(json.at("windows"));
  day.classes = SharesFrom(json.at("classes"));
  json.at("broken").get_to(day.violations);
  json.at("lines").get_to(day.violation_messages);
  json.at("fault").get_to(day.fault);
  json.at("asked").get_to(day.requests);
  json.at("tries").get_to(day.tries);
  json.at("served").get_to(day.served);
  json.at("late").get_to(day.late);
  json.at("refused").get_to(day.refused);
  json.at("failed").get_to(day.failed);
  json.at("attempts").get_to(day.attempts);
  json.at("connections").get_to(day.connections);
  json.at("crossings").get_to(day.cross_zone_attempts);
  json.at("fell").get_to(day.overload_crashes);
  json.at("events").get_to(day.events);
  day.total = {json.at("whole").at(0).get<double>(), json.at("whole").at(1).get<double>()};
  return day;
}

}  // namespace merlinrun::model
