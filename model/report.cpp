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

std::vector<double> Of(const std::vector<DayResult>& days,
                       const std::function<double(const DayResult&)>& figure) {
  std::vector<double> out;
  out.reserve(days.size());
  for (const DayResult& day : days) out.push_back(figure(day));
  return out;
}

double MeanOf(const std::vector<DayResult>& days, const std::function<double(const DayResult&)>& figure) {
  return Mean(Of(days, figure));
}

std::uint64_t Broken(const std::vector<DayResult>& days) {
  return static_cast<std::uint64_t>(std::count_if(days.begin(), days.end(), [](const DayResult& day) {
    return std::any_of(day.broken.begin(), day.broken.end(), [](auto n) { return n > 0; });
  }));
}

std::uint64_t Faults(const std::vector<DayResult>& days) {
  return static_cast<std::uint64_t>(
      std::count_if(days.begin(), days.end(), [](const DayResult& day) { return !day.fault.empty(); }));
}

// The first line that says why a side's days count for nothing; empty if none does.
std::string Why(const std::vector<DayResult>& days) {
  for (const DayResult& day : days) {
    if (!day.fault.empty()) return "seed " + std::to_string(day.seed) + ": " + day.fault;
    if (!day.lines.empty()) return "seed " + std::to_string(day.seed) + ": " + day.lines.front();
  }
  return "";
}

struct Part {  // a difference of a window or a class
  std::string name;
  double mean = 0;
  Interval bar;
};

using Shares = std::vector<Share> DayResult::*;

// The differences by window or by class, with their usual intervals; not corrected for their number.
std::vector<Part> Parts(const Comparison& comparison, std::size_t side, Shares shares,
                        const std::function<std::string(std::size_t)>& name) {
  std::vector<Part> out;
  const auto& base = comparison.days[0];
  const auto& its = comparison.days[side];
  const std::size_t pairs = std::min(base.size(), its.size());
  if (pairs < 2) return out;
  std::size_t count = (base[0].*shares).size();
  for (std::size_t i = 0; i < pairs; ++i)
    count = std::min({count, (base[i].*shares).size(), (its[i].*shares).size()});
  for (std::size_t part = 0; part < count; ++part) {
    std::vector<double> differences;
    for (std::size_t i = 0; i < pairs; ++i)
      differences.push_back((its[i].*shares)[part].of() - (base[i].*shares)[part].of());
    out.push_back({name(part), Mean(differences), TInterval(differences, kUsualLevel)});
  }
  return out;
}

std::vector<Part> ByWindow(const Plan& plan, const Comparison& comparison, std::size_t side) {
  return Parts(comparison, side, &DayResult::windows, [&](std::size_t i) {
    return Format("%.0f s", static_cast<double>(i) * plan.scenario.window_s.low);
  });
}
std::vector<Part> ByClass(const Plan& plan, const Comparison& comparison, std::size_t side) {
  return Parts(comparison, side, &DayResult::classes,
               [&](std::size_t i) { return plan.scenario.classes[i].name; });
}

std::string Verdicts(const Difference& d) {
  std::string out = NameOf(d.verdict);
  if (d.verdict == Verdict::kBetter || d.verdict == Verdict::kWorse)
    out += d.holds_after_holm ? "" : " (not after correction for the number of sides)";
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

// A frame with a value axis; `y` maps a value to its place.
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

std::string ServiceOverTime(const Plan& plan, const Comparison& comparison) {
  std::vector<std::vector<double>> lines(plan.sides.size());
  double low = 1;
  std::size_t windows = 0;
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    const auto& days = comparison.days[side];
    std::size_t count = days.empty() ? 0 : days[0].windows.size();
    for (const DayResult& day : days) count = std::min(count, day.windows.size());
    for (std::size_t w = 0; w < count; ++w) {
      lines[side].push_back(MeanOf(days, [w](const DayResult& day) { return day.windows[w].of(); }));
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

std::string Bars(const std::vector<Part>& parts, std::size_t side) {
  double reach = 0.005;  // no finer: else chance would fill the picture
  for (const Part& part : parts) reach = std::max({reach, -part.bar.low, part.bar.high});
  Plot plot{-reach, reach, ""};
  plot.Axis();
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const double x = plot.X(i, parts.size());
    plot.body += Format("<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' stroke='%s' stroke-width='2'/>", x, x,
                        plot.Y(parts[i].bar.low), plot.Y(parts[i].bar.high), Colour(side));
    plot.body +=
        Format("<circle cx='%.1f' cy='%.1f' r='4' fill='%s'/>", x, plot.Y(parts[i].mean), Colour(side));
    if (parts.size() <= 20 || i % (parts.size() / 10) == 0) plot.Label(i, parts.size(), parts[i].name);
  }
  return plot.Svg();
}

nlohmann::json PartsJson(const std::vector<Part>& parts) {
  nlohmann::json out = nlohmann::json::array();
  for (const Part& part : parts)
    out.push_back({{"name", part.name}, {"mean", part.mean}, {"low", part.bar.low}, {"high", part.bar.high}});
  return out;
}

nlohmann::json SharesJson(const std::vector<Share>& shares) {
  nlohmann::json out = nlohmann::json::array();
  for (const Share& share : shares) out.push_back({share.asked, share.served});
  return out;
}

std::vector<Share> SharesFrom(const nlohmann::json& json) {
  std::vector<Share> out;
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

std::string TextReport(const Plan& plan, const Comparison& comparison) {
  std::string out = Format("scenario %s, seeds from %lu\n\n", plan.scenario.name.c_str(), plan.first_seed);
  out += Format("%-16s %5s %8s %8s %8s %8s %7s %6s %8s\n", "side", "days", "service", "whole", "window",
                "class", "tries", "rules", "att/req");
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    const auto& days = comparison.days[side];
    const auto per_asked = [](std::uint64_t n, const DayResult& day) {
      return static_cast<double>(n) / static_cast<double>(std::max<std::uint64_t>(day.asked, 1));
    };
    out += Format("%-16s %5zu %8.4f %8.4f %8.4f %8.4f %7.3f %6lu %8.3f\n", plan.sides[side].name.c_str(),
                  days.size(), MeanOf(days, [](const DayResult& d) { return d.service; }),
                  MeanOf(days, [](const DayResult& d) { return d.whole.of(); }),
                  MeanOf(days, [](const DayResult& d) { return Least(d.windows); }),
                  MeanOf(days, [](const DayResult& d) { return Least(d.classes); }),
                  MeanOf(days, [&](const DayResult& d) { return per_asked(d.tries, d); }), Broken(days),
                  MeanOf(days, [&](const DayResult& d) { return per_asked(d.attempts, d); }));
  }
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    const std::string why = Why(comparison.days[side]);
    if (!why.empty())
      out += Format("%s: %lu days failed, %lu broke a rule; ", plan.sides[side].name.c_str(),
                    Faults(comparison.days[side]), Broken(comparison.days[side])) +
             why + "\n";
  }
  for (std::size_t side = 1; side < plan.sides.size(); ++side) {
    const Difference& d = comparison.differences[side - 1];
    out += "\n" + plan.sides[side].name + " against " + plan.sides[0].name + ": " + Verdicts(d) + "\n";
    out += Format("  difference in service %+.4f, %zu pairs, p %.2g\n", d.mean, d.pairs, d.p);
    out += Format(
        "  95 in 100: t %+.4f to %+.4f, bootstrap %+.4f to %+.4f; kept through all looks and sides: %+.4f to "
        "%+.4f\n",
        d.t.low, d.t.high, d.bootstrap.low, d.bootstrap.high, d.kept.low, d.kept.high);
    for (const Part& part : ByClass(plan, comparison, side))
      out += Format("  %-16s %+.4f  (%+.4f to %+.4f)\n", part.name.c_str(), part.mean, part.bar.low,
                    part.bar.high);
  }
  if (comparison.stopped) out += "\nstopped before it was clear\n";
  return out;
}

std::string JsonReport(const Plan& plan, const Comparison& comparison) {
  nlohmann::json out = {{"format", "fennelhollow-model-report"},
                        {"version", 1},
                        {"scenario", PrintScenario(plan.scenario)},
                        {"first_seed", plan.first_seed},
                        {"level", plan.level},
                        {"matters", plan.matters},
                        {"stopped", comparison.stopped}};
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    nlohmann::json its = {{"name", plan.sides[side].name}, {"days", nlohmann::json::array()}};
    for (const DayResult& day : comparison.days[side]) its["days"].push_back(ToJson(day));
    if (side > 0) {
      const Difference& d = comparison.differences[side - 1];
      const auto pair = [](const Interval& i) { return nlohmann::json::array({i.low, i.high}); };
      its["difference"] = {{"verdict", NameOf(d.verdict)},
                           {"pairs", d.pairs},
                           {"mean", d.mean},
                           {"t", pair(d.t)},
                           {"p", d.p},
                           {"bootstrap", pair(d.bootstrap)},
                           {"kept", pair(d.kept)},
                           {"holds_after_correction", d.holds_after_holm},
                           {"by_class", PartsJson(ByClass(plan, comparison, side))},
                           {"by_window", PartsJson(ByWindow(plan, comparison, side))}};
    }
    out["sides"].push_back(std::move(its));
  }
  return out.dump(1) + "\n";
}

std::string HtmlReport(const Plan& plan, const Comparison& comparison) {
  std::string out =
      "<!DOCTYPE html>\n<html lang='en'><head><meta charset='utf-8'><title>" + Escape(plan.scenario.name) +
      "</title><style>body{font:15px sans-serif;max-width:720px;margin:2em auto}svg text{font:11px "
      "sans-serif}pre{background:#f6f6f6;padding:1em;overflow:auto}</style></head><body>\n<h1>" +
      Escape(plan.scenario.name) + "</h1>\n<pre>" + Escape(TextReport(plan, comparison)) + "</pre>\n";
  out += "<h2>Service over time</h2>\n" + ServiceOverTime(plan, comparison);
  for (std::size_t side = 1; side < plan.sides.size(); ++side) {
    out += "<h2>" + Escape(plan.sides[side].name) + " less " + Escape(plan.sides[0].name) +
           "</h2>\n<h3>by window (95 in 100)</h3>\n" + Bars(ByWindow(plan, comparison, side), side) +
           "<h3>by class (95 in 100)</h3>\n" + Bars(ByClass(plan, comparison, side), side);
  }
  return out + "</body></html>\n";
}

nlohmann::json ToJson(const DayResult& day) {
  return {{"seed", day.seed},
          {"service", day.service},
          {"windows", SharesJson(day.windows)},
          {"classes", SharesJson(day.classes)},
          {"broken", day.broken},
          {"lines", day.lines},
          {"fault", day.fault},
          {"asked", day.asked},
          {"tries", day.tries},
          {"served", day.served},
          {"late", day.late},
          {"refused", day.refused},
          {"failed", day.failed},
          {"attempts", day.attempts},
          {"connections", day.connections},
          {"crossings", day.crossings},
          {"fell", day.fell},
          {"events", day.events},
          {"whole", {day.whole.asked, day.whole.served}}};
}

DayResult FromJson(const nlohmann::json& json) {
  DayResult day;
  json.at("seed").get_to(day.seed);
  json.at("service").get_to(day.service);
  day.windows = SharesFrom(json.at("windows"));
  day.classes = SharesFrom(json.at("classes"));
  json.at("broken").get_to(day.broken);
  json.at("lines").get_to(day.lines);
  json.at("fault").get_to(day.fault);
  json.at("asked").get_to(day.asked);
  json.at("tries").get_to(day.tries);
  json.at("served").get_to(day.served);
  json.at("late").get_to(day.late);
  json.at("refused").get_to(day.refused);
  json.at("failed").get_to(day.failed);
  json.at("attempts").get_to(day.attempts);
  json.at("connections").get_to(day.connections);
  json.at("crossings").get_to(day.crossings);
  json.at("fell").get_to(day.fell);
  json.at("events").get_to(day.events);
  day.whole = {json.at("whole").at(0).get<double>(), json.at("whole").at(1).get<double>()};
  return day;
}

}  // namespace merlinrun::model
