#include "mesh/ingress/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace fennelhollow::ingress {
namespace {

// Bounds of a request's relative cost.
constexpr double kMaxCost = 4;
constexpr double kMinCost = 0.1;
// Enough credit to serve a request of the highest cost.
constexpr double kMaxCredit = kMaxCost;
// Bounds how far a flow's start time runs ahead of virtual time, and with it how long a flow that was served
// beyond its fair share waits for the others.
constexpr double kMaxLead = 8;
// Flows without queued entries whose state is kept.
constexpr std::size_t kMaxIdleFlows = 256;

}  // namespace

// Virtual start time of the flow's next request. An idle flow accumulates no claim to past service.
double FairQueue::StartTime(const FlowState& flow_state) const {
  return std::clamp(flow_state.finish, virtual_time_, virtual_time_ + kMaxLead);
}

std::size_t FairQueue::CountAhead(const Flow& flow, Micros due, double cost) const {
  cost = std::clamp(cost, kMinCost, kMaxCost);
  std::size_t due_earlier = 0, same_flow_earlier = 0;
  for (const auto& [handle, entry] : entries_) {
    if (handle.first > due) break;
    ++due_earlier;
    same_flow_earlier += entry.flow == flow;
  }
  const auto existing = flows_.find(flow);
  const FlowState this_flow = existing == flows_.end() ? FlowState{} : existing->second;
  const double start_time = StartTime(this_flow) + static_cast<double>(same_flow_earlier) * cost;
  std::size_t fair_turns = same_flow_earlier;
  double credit_needed = static_cast<double>(same_flow_earlier + 1) * cost;
  for (const auto& [other, flow_state] : flows_) {
    if (other == flow || flow_state.queued == 0) continue;
    const double lead = start_time - StartTime(flow_state);
    const bool before = lead > 0 || (lead == 0 && flow_state.last_served < this_flow.last_served);
    if (!before) continue;
    const double turns_due = std::max(1.0, std::ceil(lead / flow_state.cost));
    const std::size_t served_before = std::min(flow_state.queued, static_cast<std::size_t>(turns_due));
    fair_turns += served_before;
    credit_needed += static_cast<double>(served_before) * flow_state.cost;
  }
  // Credit grows by kMinimumShare for each served request of mean duration.
  const double turns_until_credit = std::ceil((credit_needed - credit_) / kMinimumShare) - 1;
  const std::size_t turns_by_share =
      std::max(fair_turns, static_cast<std::size_t>(std::max(turns_until_credit, 0.0)));
  return std::min(due_earlier, turns_by_share);
}

FairQueue::Handle FairQueue::Push(Entry entry) {
  const Handle handle{entry.due, ++arrival_count_};
  entry.cost = std::clamp(entry.cost, kMinCost, kMaxCost);
  FlowState& flow_state = flows_[entry.flow];
  ++flow_state.queued;
  flow_state.cost = entry.cost;
  entries_.emplace(handle, std::move(entry));
  ExpireIdleFlows();
  return handle;
}

void FairQueue::Erase(const Handle& handle) {
  const auto at = entries_.find(handle);
  if (at == entries_.end()) return;
  --flows_[at->second.flow].queued;
  entries_.erase(at);
}

FairQueue::Entries::iterator FairQueue::EarliestDue(Micros now) {
  return std::find_if(entries_.begin(), entries_.end(),
                      [&](const auto& entry) { return entry.second.queue_deadline > now; });
}

FairQueue::Entries::iterator FairQueue::FirstOfFlow(const Flow& flow, Micros now) {
  return std::find_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry.second.flow == flow && entry.second.queue_deadline > now;
  });
}

// The queued flow with the lowest start time; ties go to the one served longest ago. Requires a queued entry.
const std::pair<const Flow, FairQueue::FlowState>& FairQueue::LeastServedFlow() const {
  auto least_flow = flows_.end();
  const auto key = [&](const FlowState& flow_state) {
    return std::pair(StartTime(flow_state), flow_state.last_served);
  };
  for (auto it = flows_.begin(); it != flows_.end(); ++it) {
    if (it->second.queued == 0) continue;
    if (least_flow == flows_.end() || key(it->second) < key(least_flow->second)) least_flow = it;
  }
  return *least_flow;
}

std::optional<FairQueue::Entry> FairQueue::Pop(Micros now) {
  const auto earliest_due = EarliestDue(now);
  if (earliest_due == entries_.end()) return std::nullopt;
  const auto& [least_flow, flow_state] = LeastServedFlow();
  const double least_start = StartTime(flow_state);
  const auto fair_choice = FirstOfFlow(least_flow, now);
  const bool use_credit = fair_choice != entries_.end() && !(least_flow == earliest_due->second.flow) &&
                          credit_ + kMinimumShare >= fair_choice->second.cost;
  if (use_credit) credit_ -= fair_choice->second.cost;
  Entry served = Remove(use_credit ? fair_choice : earliest_due);
  credit_ = std::min(credit_ + kMinimumShare * served.cost, kMaxCredit);
  virtual_time_ = least_start;  // the lowest start time before this request was served
  return served;
}

FairQueue::Entry FairQueue::Remove(Entries::iterator at) {
  Entry entry = std::move(at->second);
  entries_.erase(at);
  FlowState& flow_state = flows_.at(entry.flow);
  flow_state.finish = StartTime(flow_state) + entry.cost;
  flow_state.last_served = ++served_count_;
  --flow_state.queued;
  return entry;
}

std::optional<AttemptKey> FairQueue::PickEviction(std::size_t max_queued) const {
  if (entries_.size() <= max_queued) return std::nullopt;
  const auto queued_flows = static_cast<std::size_t>(std::count_if(
      flows_.begin(), flows_.end(), [](const auto& flow_state) { return flow_state.second.queued > 0; }));
  const double fair_places = kMinimumShare * static_cast<double>(max_queued) /
                             static_cast<double>(std::max<std::size_t>(queued_flows, 1));
  const auto places_per_flow = std::max<std::size_t>(static_cast<std::size_t>(fair_places), 1);
  const auto evicted = std::find_if(entries_.rbegin(), entries_.rend(), [&](const auto& entry) {
    return flows_.at(entry.second.flow).queued > places_per_flow;
  });
  // If every flow has a single entry, the one due last is evicted.
  return evicted == entries_.rend() ? entries_.rbegin()->second.attempt_key : evicted->second.attempt_key;
}

std::vector<AttemptKey> FairQueue::Expired(Micros now) const {
  std::vector<AttemptKey> out;
  for (const auto& [handle, entry] : entries_)
    if (entry.queue_deadline <= now) out.push_back(entry.attempt_key);
  return out;
}

std::vector<AttemptKey> FairQueue::Keys() const {
  std::vector<AttemptKey> out;
  out.reserve(entries_.size());
  for (const auto& [handle, entry] : entries_) out.push_back(entry.attempt_key);
  return out;
}

// Drops the flows served longest ago first.
void FairQueue::ExpireIdleFlows() {
  while (flows_.size() > kMaxIdleFlows) {
    auto oldest = flows_.end();
    for (auto it = flows_.begin(); it != flows_.end(); ++it)
      if (it->second.queued == 0 &&
          (oldest == flows_.end() || it->second.last_served < oldest->second.last_served))
        oldest = it;
    if (oldest == flows_.end()) return;
    flows_.erase(oldest);
  }
}

}  // namespace fennelhollow::ingress
