#include "mesh/ingress/flow_stats.hpp"

#include <algorithm>

namespace fennelhollow::ingress {
namespace {

// A flow that has not asked for so long has no part in the least share.
constexpr Micros kSilentAfter = 10'000'000;
constexpr Micros kForgetEvery = 1'000'000;
constexpr std::size_t kMostFlows = 256;
// Runs over which the time of one is averaged.
constexpr double kRunMemory = 20;
// A span is judged from so many attempts of the flow, and so many passes that it was entitled to, on.
constexpr double kLeastToJudge = 16;
// A flow that has this part of what it was entitled to is not starved. Room for chance.
constexpr double kTolerated = 0.25;
// A flow starves after so many attempts turned away in a row ...
constexpr std::uint64_t kStarvesAfter = 2;
// ... while so many of others were passed on.
constexpr std::uint64_t kOthersPassed = 16;

}  // namespace

bool FlowInterval::ReceivedMinimumShare() const {
  const double due = std::min(static_cast<double>(arrivals), minimum_share);
  return capacity_rejections == 0 || static_cast<double>(forwarded) >= kTolerated * due;
}

void FlowAccount::BeginSpan(Record& record) const {
  record.asked = record.passed = record.turned_away = 0;
  record.span_from = passed_total_;
  record.most_flows = records_.size();
}

void FlowAccount::OnAsked(Micros now, const Flow& flow) {
  const auto [it, fresh] = records_.try_emplace(flow);
  Record& record = it->second;
  if (fresh) {
    record.passed_total_then = passed_total_;
    BeginSpan(record);
  }
  record.heard = now;
  ++record.asked;
  record.most_flows = std::max(record.most_flows, records_.size());
  if (fresh || now - forgot_ > kForgetEvery) ForgetSilent(now);
}

void FlowAccount::OnPassed(const Flow& flow) {
  ++passed_total_;
  const auto it = records_.find(flow);
  if (it == records_.end()) return;
  ++it->second.passed;
  it->second.turned_away_in_a_row = 0;
  it->second.passed_total_then = passed_total_;
}

void FlowAccount::OnRan(const Flow& flow, Micros took) {
  const auto it = records_.find(flow);
  if (it == records_.end()) return;
  double& run = it->second.run;
  run += (static_cast<double>(took) - run) / (run > 0 ? kRunMemory : 1);
}

double FlowAccount::RunOf(const Flow& flow) const {
  const auto it = records_.find(flow);
  return it == records_.end() ? 0 : it->second.run;
}

std::optional<FlowInterval> FlowAccount::OnTurnedAway(const Flow& flow) {
  const auto it = records_.find(flow);
  if (it == records_.end()) return std::nullopt;
  Record& record = it->second;
  ++record.turned_away_in_a_row;
  ++record.turned_away;
  FlowInterval span;
  span.flow = flow;
  span.arrivals = record.asked;
  span.forwarded = record.passed;
  span.capacity_rejections = record.turned_away;
  span.forwarded_total = passed_total_ - record.span_from;
  span.minimum_share =
      kLeastShare * static_cast<double>(span.forwarded_total) / static_cast<double>(record.most_flows);
  if (static_cast<double>(span.arrivals) < kLeastToJudge || span.minimum_share < kLeastToJudge)
    return std::nullopt;
  BeginSpan(record);
  return span;
}

bool FlowAccount::Starves(const Flow& flow) const {
  const auto it = records_.find(flow);
  if (it == records_.end()) return false;
  const Record& record = it->second;
  return record.turned_away_in_a_row >= kStarvesAfter &&
         passed_total_ - record.passed_total_then >= kOthersPassed;
}

void FlowAccount::ForgetSilent(Micros now) {
  forgot_ = now;
  std::erase_if(records_, [&](const auto& entry) { return now - entry.second.heard > kSilentAfter; });
  while (records_.size() > kMostFlows) {
    const auto oldest = std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
      return a.second.heard < b.second.heard;
    });
    records_.erase(oldest);
  }
}

}  // namespace fennelhollow::ingress
