// A plain, slow model of ingress::FairQueue: one list in order of arrival, everything worked out anew each
// time.
#ifndef FENNELHOLLOW_TESTS_MESH_PLAIN_FAIR_QUEUE_HPP_
#define FENNELHOLLOW_TESTS_MESH_PLAIN_FAIR_QUEUE_HPP_

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <vector>

#include "mesh/ingress/fair_queue.hpp"

namespace fennelhollow::ingress {

struct PlainFairQueue {
  using Entry = FairQueue::Entry;
  struct Given {
    double finish = 0;
    std::uint64_t last_turn = 0;
  };
  std::vector<Entry> entries;  // oldest first
  std::map<Flow, Given> given;
  std::map<Flow, double> costs;
  double virtual_time = 0, reserve = 0;
  std::uint64_t turns = 0;

  std::size_t Waiting(const Flow& flow) const {
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(),
                                                  [&](const Entry& entry) { return entry.flow == flow; }));
  }
  Given Of(const Flow& flow) const {
    const auto it = given.find(flow);
    return it == given.end() ? Given{} : it->second;
  }
  double Start(const Flow& flow) const { return std::clamp(Of(flow).finish, virtual_time, virtual_time + 8); }
  std::vector<Flow> Flows() const {
    std::vector<Flow> out;
    for (const Entry& entry : entries)
      if (std::find(out.begin(), out.end(), entry.flow) == out.end()) out.push_back(entry.flow);
    return out;
  }
  // Earliest due, and of those the oldest.
  static bool Sooner(const Entry& a, const Entry& b) { return a.due < b.due; }

  // What one of the flow that waits costs, as told last.
  double Cost(const Flow& flow) const { return costs.at(flow); }
  static double Bounded(double cost) { return std::clamp(cost, 0.1, 4.0); }

  std::size_t Ahead(const Flow& flow, Micros due, double cost) const {
    std::size_t sooner = 0, own = 0;
    for (const Entry& entry : entries) {
      sooner += entry.due <= due;
      own += entry.due <= due && entry.flow == flow;
    }
    cost = Bounded(cost);
    const double start = Start(flow) + static_cast<double>(own) * cost;
    std::size_t turns_before = own;
    double needed = static_cast<double>(own + 1) * cost;
    for (const Flow& other : Flows()) {
      if (other == flow) continue;
      const double lead = start - Start(other);
      if (lead < 0 || (lead == 0 && Of(other).last_turn >= Of(flow).last_turn)) continue;
      const double its_turns = std::max(1.0, std::ceil(lead / Cost(other)));
      const std::size_t before = std::min(Waiting(other), static_cast<std::size_t>(its_turns));
      turns_before += before;
      needed += static_cast<double>(before) * Cost(other);
    }
    // Passes until enough is reserved: an eighth of each.
    std::size_t passes = 0;
    while (static_cast<double>(passes + 1) < (needed - reserve) / 0.125) ++passes;
    return std::min(sooner, std::max(passes, turns_before));
  }
  void Push(Entry entry) {
    entry.cost = costs[entry.flow] = Bounded(entry.cost);
    entries.push_back(std::move(entry));
  }
  bool Remove(const Ticket& ticket) {
    return std::erase_if(entries, [&](const Entry& entry) { return entry.ticket == ticket; }) > 0;
  }
  std::optional<Flow> FlowOf(const Ticket& ticket) const {
    for (const Entry& entry : entries)
      if (entry.ticket == ticket) return entry.flow;
    return std::nullopt;
  }
  std::optional<Entry> Pop(Micros now) {
    std::vector<Entry> in_time;
    for (const Entry& entry : entries)
      if (entry.until > now) in_time.push_back(entry);
    if (in_time.empty()) return std::nullopt;
    Entry taken = *std::min_element(in_time.begin(), in_time.end(), Sooner);
    std::vector<Flow> flows = Flows();
    std::sort(flows.begin(), flows.end());
    const Flow least = *std::min_element(flows.begin(), flows.end(), [&](const Flow& a, const Flow& b) {
      return std::pair(Start(a), Of(a).last_turn) < std::pair(Start(b), Of(b).last_turn);
    });
    std::erase_if(in_time, [&](const Entry& entry) { return !(entry.flow == least); });
    if (!(taken.flow == least) && !in_time.empty()) {
      const Entry fair = *std::min_element(in_time.begin(), in_time.end(), Sooner);
      if (reserve + 0.125 >= fair.cost) {
        reserve -= fair.cost;
        taken = fair;
      }
    }
    reserve = std::min(reserve + 0.125 * taken.cost, 4.0);
    double lowest = Start(taken.flow);
    Remove(taken.ticket);
    for (const Flow& flow : Flows()) lowest = std::min(lowest, Start(flow));
    given[taken.flow] = {Start(taken.flow) + taken.cost, ++turns};
    virtual_time = std::max(virtual_time, lowest);
    return taken;
  }
  std::optional<Ticket> Overflow(std::size_t most) const {
    if (entries.size() <= most) return std::nullopt;
    const auto part = std::max<std::size_t>(
        static_cast<std::size_t>(0.125 * static_cast<double>(most) / static_cast<double>(Flows().size())), 1);
    std::optional<Entry> last;
    for (const Entry& entry : entries)
      if (Waiting(entry.flow) > part && (!last || entry.due >= last->due)) last = entry;
    if (!last)
      for (const Entry& entry : entries)
        if (!last || entry.due >= last->due) last = entry;
    return last->ticket;
  }
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_TESTS_MESH_PLAIN_FAIR_QUEUE_HPP_
