// Queue of the attempts that wait for one server: earliest due first, with a minimum share for each flow.
//
// Under pure earliest-due-first order, flows with late due times (a long latency target or a low priority)
// starve while others saturate the server. A fraction of the service, kMinimumShare, is therefore assigned by
// start-time fair queueing (Goyal, Vin, Cheng 1996), which serves the flow with the least service so far.
// Unused fair service accumulates as credit, up to a bound, so that a rare request is served promptly.
//
// No I/O.
#ifndef FENNELHOLLOW_MESH_INGRESS_FAIR_QUEUE_HPP_
#define FENNELHOLLOW_MESH_INGRESS_FAIR_QUEUE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/ingress/attempt_protocol.hpp"
#include "mesh/ingress/flow.hpp"

namespace fennelhollow::ingress {

using merlinrun::Micros;

class FairQueue {
 public:
  struct Entry {
    AttemptKey attempt_key;
    Flow flow;
    Micros due = 0;             // when the response misses its latency target
    Micros queue_deadline = 0;  // when the attempt stops waiting
    double cost = 1;            // expected duration relative to the server's mean; above 0
  };
  // Identifies a queued entry. Handles sort by due time, then by arrival.
  using Handle = std::pair<Micros, std::uint64_t>;

  // How many queued entries would be served before a new entry of this flow, due time and cost.
  std::size_t CountAhead(const Flow& flow, Micros due, double cost) const;
  Handle Push(Entry entry);
  void Erase(const Handle& handle);
  // Removes the entry to serve next; nothing if all entries are past their queue deadline.
  std::optional<Entry> Pop(Micros now);
  // The entry to evict if more than `max_queued` wait: the one due last of the flows that exceed their
  // minimum share of the queue. Nothing if the queue fits.
  std::optional<AttemptKey> PickEviction(std::size_t max_queued) const;
  // Entries past their queue deadline.
  std::vector<AttemptKey> Expired(Micros now) const;
  std::vector<AttemptKey> Keys() const;
  // The handle must be of a queued entry.
  const Flow& FlowOf(const Handle& handle) const { return entries_.at(handle).flow; }

  bool empty() const { return entries_.empty(); }

 private:
  struct FlowState {
    std::size_t queued = 0;
    double cost = 1;                // of the flow's latest request
    double finish = 0;              // virtual finish time of the last served request
    std::uint64_t last_served = 0;  // value of served_count_ at that time
  };
  using Entries = std::map<Handle, Entry>;

  double StartTime(const FlowState& flow_state) const;
  const std::pair<const Flow, FlowState>& LeastServedFlow() const;
  Entries::iterator FirstOfFlow(const Flow& flow, Micros now);
  Entries::iterator EarliestDue(Micros now);
  Entry Remove(Entries::iterator at);
  void ExpireIdleFlows();

  Entries entries_;
  std::map<Flow, FlowState> flows_;
  double virtual_time_ = 0;  // never decreases
  double credit_ = 0;        // unused fair service, in mean request durations
  std::uint64_t arrival_count_ = 0;
  std::uint64_t served_count_ = 0;
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FAIR_QUEUE_HPP_
