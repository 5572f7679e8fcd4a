#include "model/judge.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace merlinrun::model {
double Least(const std::vector<Share>& shares) {
  double least = 1;
  for (const Share& share : shares) least = std::min(least, share.of());
  return least;
}

Judge::Judge(const Scenario& day) : day_(day), window_(static_cast<Micros>(day.window_s.low * kSecond)) {
  // What is left over after the last whole window belongs to that one: a short one would be worst by chance.
  const auto windows = static_cast<std::size_t>(std::max(1.0, day.length_s.low / day.window_s.low));
  result_.windows.resize(windows);
  result_.classes.resize(day.classes.size());
}

std::size_t Judge::WindowOf(Micros at) const {
  return std::min(static_cast<std::size_t>(at / window_), result_.windows.size() - 1);
}

void Judge::Asked(std::size_t its_class, Micros at) {
  const double worth = day_.classes[its_class].worth.low;
  ++result_.asked;
  result_.classes[its_class].asked += worth;
  result_.windows[WindowOf(at)].asked += worth;
}

void Judge::Served(std::size_t its_class, Micros asked, Micros now) {
  const TrafficClass& c = day_.classes[its_class];
  const double took = static_cast<double>(now - asked) / kMillisecond;
  ++result_.served;
  const bool late = took > c.aim_ms.low;
  result_.late += late ? 1 : 0;
  const double worth = c.worth.low * (late ? c.late_worth.low : 1);
  result_.classes[its_class].served += worth;
  result_.windows[WindowOf(asked)].served += worth;
}

void Judge::Break(int rule, std::string what) {
  ++result_.broken[static_cast<std::size_t>(rule - 1)];
  if (result_.lines.size() < kMostLines)
    result_.lines.push_back("rule " + std::to_string(rule) + ": " + std::move(what));
}

DayResult Judge::Finish() {
  for (const Share& share : result_.windows) {
    result_.whole.asked += share.asked;
    result_.whole.served += share.served;
  }
  const double weights = day_.whole.low + day_.worst_window.low + day_.worst_class.low;
  const double sum = day_.whole.low * result_.whole.of() + day_.worst_window.low * Least(result_.windows) +
                     day_.worst_class.low * Least(result_.classes);
  const bool kept = std::all_of(result_.broken.begin(), result_.broken.end(), [](auto n) { return n == 0; });
  result_.service = kept && result_.fault.empty() && weights > 0 ? sum / weights : 0;
  return result_;
}

}  // namespace merlinrun::model
