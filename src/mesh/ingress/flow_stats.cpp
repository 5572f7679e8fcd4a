#include "mesh/ingress/flow_stats.hpp"

#include <algorithm>

namespace fennelhollow::ingress {
namespace {

// A flow without arrivals for this long has no minimum share.
constexpr Micros kIdleTimeout = 10'000'000;
constexpr Micros kExpiryInterval = 1'000'000;
constexpr std::size_t kMaxFlows = 256;
// Requests over which the mean duration is taken (exponentially weighted).
constexpr double kMeanWindow = 20;
// An interval is checked once both the flow's attempts and its minimum share have reached this number.
constexpr double kMinSamples = 16;
// Fraction of the minimum share that still passes the check; allows for random variation.
constexpr double kMinShareFraction = 0.25;
// A flow starves after this many consecutive rejections ...
constexpr std::uint64_t kStarvingRejections = 2;
// ... while at least this many attempts of other flows were forwarded.
constexpr std::uint64_t kStarvingOthersForwarded = 16;

}  // namespace

bool FlowInterval::ReceivedMinimumShare() const {
  const double expected = std::min(static_cast<double>(arrivals), minimum_share);
  return capacity_rejections == 0 || static_cast<double>(forwarded) >= kMinShareFraction * expected;
}

void FlowStats::BeginInterval(Record& record) const {
  record.arrivals = record.forwarded = record.capacity_rejections = 0;
  record.interval_start = forwarded_total_;
  record.max_flows = records_.size();
}

void FlowStats::OnArrival(Micros now, const Flow& flow) {
  const auto [it, is_new] = records_.try_emplace(flow);
  Record& record = it->second;
  if (is_new) {
    record.forwarded_total_before = forwarded_total_;
    BeginInterval(record);
  }
  record.last_arrival = now;
  ++record.arrivals;
  record.max_flows = std::max(record.max_flows, records_.size());
  if (is_new || now - last_expiry_ > kExpiryInterval) ExpireIdle(now);
}

void FlowStats::OnForwarded(const Flow& flow) {
  ++forwarded_total_;
  const auto it = records_.find(flow);
  if (it == records_.end()) return;
  ++it->second.forwarded;
  it->second.consecutive_rejections = 0;
  it->second.forwarded_total_before = forwarded_total_;
}

void FlowStats::OnFinished(const Flow& flow, Micros took) {
  const auto it = records_.find(flow);
  if (it == records_.end()) return;
  double& mean_duration = it->second.mean_duration;
  mean_duration += (static_cast<double>(took) - mean_duration) / (mean_duration > 0 ? kMeanWindow : 1);
}

double FlowStats::MeanDuration(const Flow& flow) const {
  const auto it = records_.find(flow);
  return it == records_.end() ? 0 : it->second.mean_duration;
}

std::optional<FlowInterval> FlowStats::OnCapacityRejection(const Flow& flow) {
  const auto it = records_.find(flow);
  if (it == records_.end()) return std::nullopt;
  Record& record = it->second;
  ++record.consecutive_rejections;
  ++record.capacity_rejections;
  FlowInterval interval;
  interval.flow = flow;
  interval.arrivals = record.arrivals;
  interval.forwarded = record.forwarded;
  interval.capacity_rejections = record.capacity_rejections;
  interval.forwarded_total = forwarded_total_ - record.interval_start;
  interval.minimum_share =
      kMinimumShare * static_cast<double>(interval.forwarded_total) / static_cast<double>(record.max_flows);
  if (static_cast<double>(interval.arrivals) < kMinSamples || interval.minimum_share < kMinSamples)
    return std::nullopt;
  BeginInterval(record);
  return interval;
}

bool FlowStats::IsStarving(const Flow& flow) const {
  const auto it = records_.find(flow);
  if (it == records_.end()) return false;
  const Record& record = it->second;
  return record.consecutive_rejections >= kStarvingRejections &&
         forwarded_total_ - record.forwarded_total_before >= kStarvingOthersForwarded;
}

void FlowStats::ExpireIdle(Micros now) {
  last_expiry_ = now;
  std::erase_if(records_, [&](const auto& entry) { return now - entry.second.last_arrival > kIdleTimeout; });
  while (records_.size() > kMaxFlows) {
    const auto oldest = std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
      return a.second.last_arrival < b.second.last_arrival;
    });
    records_.erase(oldest);
  }
}

}  // namespace fennelhollow::ingress
