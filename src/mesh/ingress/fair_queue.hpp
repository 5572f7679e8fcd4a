// The queue of attempts that wait for room at one server: earliest due first, with a least share for each
// flow.
//
// Ordered by due time alone, a flow whose requests are due late (a long aim, a low priority) is overtaken for
// as long as others keep the server full, and gets nothing. So a part of the turns, kLeastShare, is reserved
// for start-time fair queueing (Goyal, Vin, Cheng 1996): such a turn goes to the flow with the least service.
// Reserved turns that nobody needs are saved, up to a bound, so that a rare request has one at once.
//
// Free of I/O.
#ifndef FENNELHOLLOW_MESH_INGRESS_FAIR_QUEUE_HPP_
#define FENNELHOLLOW_MESH_INGRESS_FAIR_QUEUE_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/ingress/flow.hpp"
#include "mesh/ingress/proxy_protocol.hpp"

namespace fennelhollow::ingress {

using merlinrun::Micros;

class FairQueue {
 public:
  struct Entry {
    Ticket ticket;
    Flow flow;
    Micros due = 0;    // its answer is late from then on
    Micros until = 0;  // it may wait until then
    double cost = 1;   // how long it is expected to run, in usual runs of this server; above 0
  };
  // Names an entry while it waits. Entries in order of their handles are in order of due time, then of
  // arrival.
  using Handle = std::pair<Micros, std::uint64_t>;

  // How many would be passed on before one of this flow that is due then and costs so much, as things stand.
  std::size_t Ahead(const Flow& flow, Micros due, double cost) const;
  Handle Push(Entry entry);
  void Erase(const Handle& handle);
  // Takes out whose turn it is; nothing if all that wait have waited too long.
  std::optional<Entry> Pop(Micros now);
  // Who has to give way where only `most` may wait: the one due last of the flows that have more than their
  // least share of the places. Nothing if there is room.
  std::optional<Ticket> Overflow(std::size_t most) const;
  // Those that have waited too long.
  std::vector<Ticket> Overdue(Micros now) const;
  std::vector<Ticket> All() const;
  // Of one that waits.
  const Flow& FlowOf(const Handle& handle) const { return entries_.at(handle).flow; }

  bool empty() const { return entries_.empty(); }

 private:
  // What a flow has been given, in virtual time.
  struct Service {
    std::size_t waiting = 0;
    double cost = 1;              // of one of its requests, as told last
    double finish = 0;            // of its last turn, in usual runs
    std::uint64_t last_turn = 0;  // which turn of the queue that was
  };
  using Entries = std::map<Handle, Entry>;

  double StartOf(const Service& service) const;
  const std::pair<const Flow, Service>& LeastServed() const;
  Entries::iterator FirstOf(const Flow& flow, Micros now);
  Entries::iterator FirstDue(Micros now);
  Entry Take(Entries::iterator at);
  void ForgetIdleFlows();

  Entries entries_;
  std::map<Flow, Service> services_;
  double virtual_time_ = 0;  // never goes back
  double reserve_ = 0;       // saved for the least share, in usual runs
  std::uint64_t order_ = 0;
  std::uint64_t turns_ = 0;
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FAIR_QUEUE_HPP_
