// Reference implementation of ingress::FairQueue for tests: a single list in order of arrival, with all
// values recomputed on each call.
#ifndef FENNELHOLLOW_TESTS_MESH_REFERENCE_FAIR_QUEUE_HPP_
#define FENNELHOLLOW_TESTS_MESH_REFERENCE_FAIR_QUEUE_HPP_

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <vector>

#include "mesh/ingress/fair_queue.hpp"

namespace fennelhollow::ingress {

struct ReferenceFairQueue {
  using Entry = FairQueue::Entry;
  struct FlowState {
    double finish = 0;
    std::uint64_t last_served = 0;
  };
  std::vector<Entry> entries;  // oldest first
  std::map<Flow, FlowState> flow_states;
  std::map<Flow, double> costs;
  double virtual_time = 0, credit = 0;
  std::uint64_t served_count = 0;

  std::size_t CountQueued(const Flow& flow) const {
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(),
                                                  [&](const Entry& entry) { return entry.flow == flow; }));
  }
  FlowState StateOf(const Flow& flow) const {
    const auto it = flow_states.find(flow);
    return it == flow_states.end() ? FlowState{} : it->second;
  }
  double StartTime(const Flow& flow) const {
    return std::clamp(StateOf(flow).finish, virtual_time, virtual_time + 8);
  }
  std::vector<Flow> QueuedFlows() const {
    std::vector<Flow> out;
    for (const Entry& entry : entries)
      if (std::find(out.begin(), out.end(), entry.flow) == out.end()) out.push_back(entry.flow);
    return out;
  }
  static bool DueEarlier(const Entry& a, const Entry& b) { return a.due < b.due; }

  // Cost of the flow's latest request.
  double CostOf(const Flow& flow) const { return costs.at(flow); }
  static double ClampCost(double cost) { return std::clamp(cost, 0.1, 4.0); }

  std::size_t CountAhead(const Flow& flow, Micros due, double cost) const {
    std::size_t due_earlier = 0, same_flow = 0;
    for (const Entry& entry : entries) {
      due_earlier += entry.due <= due;
      same_flow += entry.due <= due && entry.flow == flow;
    }
    cost = ClampCost(cost);
    const double start_time = StartTime(flow) + static_cast<double>(same_flow) * cost;
    std::size_t fair_turns = same_flow;
    double credit_needed = static_cast<double>(same_flow + 1) * cost;
    for (const Flow& other : QueuedFlows()) {
      if (other == flow) continue;
      const double lead = start_time - StartTime(other);
      if (lead < 0 || (lead == 0 && StateOf(other).last_served >= StateOf(flow).last_served)) continue;
      const double turns_due = std::max(1.0, std::ceil(lead / CostOf(other)));
      const std::size_t served_before = std::min(CountQueued(other), static_cast<std::size_t>(turns_due));
      fair_turns += served_before;
      credit_needed += static_cast<double>(served_before) * CostOf(other);
    }
    // Requests served until the credit suffices; each adds an eighth of a mean duration.
    std::size_t turns_until_credit = 0;
    while (static_cast<double>(turns_until_credit + 1) < (credit_needed - credit) / 0.125)
      ++turns_until_credit;
    return std::min(due_earlier, std::max(turns_until_credit, fair_turns));
  }
  void Push(Entry entry) {
    entry.cost = costs[entry.flow] = ClampCost(entry.cost);
    entries.push_back(std::move(entry));
  }
  bool Remove(const AttemptKey& attempt_key) {
    return std::erase_if(entries, [&](const Entry& entry) { return entry.attempt_key == attempt_key; }) > 0;
  }
  std::optional<Flow> FlowOf(const AttemptKey& attempt_key) const {
    for (const Entry& entry : entries)
      if (entry.attempt_key == attempt_key) return entry.flow;
    return std::nullopt;
  }
  std::optional<Entry> Pop(Micros now) {
    std::vector<Entry> eligible;
    for (const Entry& entry : entries)
      if (entry.queue_deadline > now) eligible.push_back(entry);
    if (eligible.empty()) return std::nullopt;
    Entry served = *std::min_element(eligible.begin(), eligible.end(), DueEarlier);
    std::vector<Flow> flows = QueuedFlows();
    std::sort(flows.begin(), flows.end());
    const Flow least = *std::min_element(flows.begin(), flows.end(), [&](const Flow& a, const Flow& b) {
      return std::pair(StartTime(a), StateOf(a).last_served) <
             std::pair(StartTime(b), StateOf(b).last_served);
    });
    std::erase_if(eligible, [&](const Entry& entry) { return !(entry.flow == least); });
    if (!(served.flow == least) && !eligible.empty()) {
      const Entry fair_choice = *std::min_element(eligible.begin(), eligible.end(), DueEarlier);
      if (credit + 0.125 >= fair_choice.cost) {
        credit -= fair_choice.cost;
        served = fair_choice;
      }
    }
    credit = std::min(credit + 0.125 * served.cost, 4.0);
    double lowest_start = StartTime(served.flow);
    Remove(served.attempt_key);
    for (const Flow& flow : QueuedFlows()) lowest_start = std::min(lowest_start, StartTime(flow));
    flow_states[served.flow] = {StartTime(served.flow) + served.cost, ++served_count};
    virtual_time = std::max(virtual_time, lowest_start);
    return served;
  }
  std::optional<AttemptKey> PickEviction(std::size_t max_queued) const {
    if (entries.size() <= max_queued) return std::nullopt;
    const auto places_per_flow =
        std::max<std::size_t>(static_cast<std::size_t>(0.125 * static_cast<double>(max_queued) /
                                                       static_cast<double>(QueuedFlows().size())),
                              1);
    std::optional<Entry> latest_due;
    for (const Entry& entry : entries)
      if (CountQueued(entry.flow) > places_per_flow && (!latest_due || entry.due >= latest_due->due))
        latest_due = entry;
    if (!latest_due)
      for (const Entry& entry : entries)
        if (!latest_due || entry.due >= latest_due->due) latest_due = entry;
    return latest_due->attempt_key;
  }
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_TESTS_MESH_REFERENCE_FAIR_QUEUE_HPP_
