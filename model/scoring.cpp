#include "model/scoring.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace merlinrun::model {
double LowestRatio(const std::vector<ServiceShare>& shares) {
  double lowest = 1;
  for (const ServiceShare& share : shares) lowest = std::min(lowest, share.ratio());
  return lowest;
}

DayScorer::DayScorer(const Scenario& scenario)
    : scenario_(scenario), window_length_(static_cast<Micros>(scenario.window_s.low * kSecond)) {
  // A shorter remainder at the end belongs to the last window: a short window would be the worst by chance.
  const auto windows = static_cast<std::size_t>(std::max(1.0, scenario.length_s.low / scenario.window_s.low));
  result_.windows.resize(windows);
  result_.classes.resize(scenario.classes.size());
}

std::size_t DayScorer::WindowOf(Micros at) const {
  return std::min(static_cast<std::size_t>(at / window_length_), result_.windows.size() - 1);
}

void DayScorer::RecordRequest(std::size_t class_index, Micros at) {
  const double worth = scenario_.classes[class_index].worth.low;
  ++result_.requests;
  result_.classes[class_index].requested += worth;
  result_.windows[WindowOf(at)].requested += worth;
}

void DayScorer::RecordResponse(std::size_t class_index, Micros requested, Micros now) {
  const TrafficClass& c = scenario_.classes[class_index];
  const double latency_ms = static_cast<double>(now - requested) / kMillisecond;
  ++result_.served;
  const bool late = latency_ms > c.aim_ms.low;
  result_.late += late ? 1 : 0;
  const double worth = c.worth.low * (late ? c.late_worth.low : 1);
  result_.classes[class_index].served += worth;
  result_.windows[WindowOf(requested)].served += worth;
}

void DayScorer::RecordViolation(int rule, std::string message) {
  ++result_.violations[static_cast<std::size_t>(rule - 1)];
  if (result_.violation_messages.size() < kMaxMessages)
    result_.violation_messages.push_back("rule " + std::to_string(rule) + ": " + std::move(message));
}

DayResult DayScorer::Finish() {
  for (const ServiceShare& share : result_.windows) {
    result_.total.requested += share.requested;
    result_.total.served += share.served;
  }
  const double weight_sum = scenario_.whole.low + scenario_.worst_window.low + scenario_.worst_class.low;
  const double weighted_sum = scenario_.whole.low * result_.total.ratio() +
                              scenario_.worst_window.low * LowestRatio(result_.windows) +
                              scenario_.worst_class.low * LowestRatio(result_.classes);
  const bool clean =
      std::all_of(result_.violations.begin(), result_.violations.end(), [](auto n) { return n == 0; });
  result_.service = clean && result_.fault.empty() && weight_sum > 0 ? weighted_sum / weight_sum : 0;
  return result_;
}

}  // namespace merlinrun::model
