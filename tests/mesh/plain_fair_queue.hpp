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

  std::size_t Ahead(const Flow& flow, Micros due) const {
    std::size_t sooner = 0, own = 0;
    for (const Entry& entry : entries) {
      sooner += entry.due <= due;
      own += entry.due <= due && entry.flow == flow;
    }
    const double start = Start(flow) + static_cast<double>(own);
    std::size_t turns_before = own;
    for (const Flow& other : Flows()) {
      if (other == flow) continue;
      const double lead = start - Start(other);
      if (lead < 0 || (lead == 0 && Of(other).last_turn >= Of(flow).last_turn)) continue;
      const double its_turns = std::max(1.0, std::ceil(lead));
      turns_before += std::min(Waiting(other), static_cast<std::size_t>(its_turns));
    }
    // Passes until enough reserved turns have come: one in four.
    std::size_t passes = 0;
    while (reserve + 0.25 * static_cast<double>(passes + 1) < static_cast<double>(turns_before) + 1) ++passes;
    return std::min(sooner, std::max(passes, turns_before));
  }
  void Push(Entry entry) { entries.push_back(std::move(entry)); }
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
    reserve = std::min(reserve + 0.25, 2.0);
    Entry taken = *std::min_element(in_time.begin(), in_time.end(), Sooner);
    std::vector<Flow> flows = Flows();
    std::sort(flows.begin(), flows.end());
    const Flow least = *std::min_element(flows.begin(), flows.end(), [&](const Flow& a, const Flow& b) {
      return std::pair(Start(a), Of(a).last_turn) < std::pair(Start(b), Of(b).last_turn);
    });
    std::erase_if(in_time, [&](const Entry& entry) { return !(entry.flow == least); });
    if (reserve >= 1 && !(taken.flow == least) && !in_time.empty()) {
      reserve -= 1;
      taken = *std::min_element(in_time.begin(), in_time.end(), Sooner);
    }
    double lowest = Start(taken.flow);
    Remove(taken.ticket);
    for (const Flow& flow : Flows()) lowest = std::min(lowest, Start(flow));
    given[taken.flow] = {Start(taken.flow) + 1, ++turns};
    virtual_time = std::max(virtual_time, lowest);
    return taken;
  }
  std::optional<Ticket> Overflow(std::size_t most) const {
    if (entries.size() <= most) return std::nullopt;
    const std::size_t part = most / Flows().size();
    std::optional<Entry> last;
    for (const Entry& entry : entries)
      if (Waiting(entry.flow) > part && (!last || entry.due >= last->due)) last = entry;
    return last->ticket;
  }
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_TESTS_MESH_PLAIN_FAIR_QUEUE_HPP_
