// Admission control beside a server (the last hop), free of I/O: what is passed on to it, what waits for
// room, what is turned away, and the record of attempts that makes "not passed on, and never will be" a
// promise.
#ifndef FENNELHOLLOW_MESH_INGRESS_ADMISSION_QUEUE_HPP_
#define FENNELHOLLOW_MESH_INGRESS_ADMISSION_QUEUE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/ingress/fair_queue.hpp"
#include "mesh/ingress/flow.hpp"
#include "mesh/ingress/flow_stats.hpp"
#include "mesh/ingress/proxy_protocol.hpp"

namespace fennelhollow::ingress {

using merlinrun::Micros;

// Attempts on record, and for how long: longer than an outbound sidecar asks after one.
inline constexpr std::size_t kMostRecords = 16384;
inline constexpr Micros kRecordFor = 30'000'000;

class AdmissionQueue {
 public:
  enum class Decision { kPass, kWait, kTurnAway };

  // Attempts that are passed on at once to a server of so many slots, and wait for room, at most.
  struct Room {
    int beyond_slots = 0;
    double waiting_per_slot = 2;
  };
  struct Attempt {
    Ticket ticket;
    std::string server;  // its instance; it is here and takes work
    int slots = 1;       // of that server
    Flow flow;
    Micros due = 0;  // its answer is late from then on
    // It is turned away if it has no room by then, or would not by the time that runs take here.
    Micros until = 0;
  };
  struct TurnedAway {
    Ticket ticket;
    Why why = Why::kFull;
    bool operator==(const TurnedAway&) const = default;
  };

  explicit AdmissionQueue(Room room) : room_(room) {}
  // Called when enough has come of a flow to judge whether it has its least share of a server.
  void OnSpan(std::function<void(const FlowInterval&)> on_span) { on_span_ = std::move(on_span); }

  // Those that wait are passed on by FairQueue's order. What is going to be refused is refused while its
  // caller can still go elsewhere, at once; a flow that starves may wait for longer, until it is due.
  Decision OnAttempt(Micros now, const Attempt& attempt);
  // It is over at the server, or could not be passed on after all: its place is free.
  void OnDone(Micros now, const Ticket& ticket);
  // Nobody waits for it any more; true if it had not been passed on.
  bool OnCancel(const Ticket& ticket);
  // Was it passed on? If not it never will be from here on.
  bool OnAsk(Micros now, const Ticket& ticket);
  // The next that has room now, if any; call until there is none.
  std::optional<Ticket> Next(Micros now);
  // Those whose time for waiting is over, or that gave way: to be turned away. To be asked for after each
  // OnAttempt.
  std::vector<TurnedAway> Overdue(Micros now);
  // A life of a server takes no more work: those that waited for it are to be turned away.
  std::vector<Ticket> OnServerNotReady(const std::string& server);
  std::size_t passed(const std::string& server) const;
  std::size_t waiting() const { return waiting_; }
  std::size_t records() const { return records_.size(); }

 private:
  struct Upstream {  // an instance of a server
    int slots = 1;
    int passed = 0;
    double run = 0;  // microseconds that a run takes, averaged; 0 = none has ended
    FairQueue queue;
    FlowAccount account;
  };
  enum class State { kWaiting, kPassed, kNever };
  struct Record {
    State state = State::kNever;
    std::string server;
    Flow flow;
    Micros passed_at = 0;
    std::optional<FairQueue::Handle> handle;
    bool over = false;
  };
  struct Hash {
    std::size_t operator()(const Ticket& t) const {
      return static_cast<std::size_t>(t.life * 0x9e3779b97f4a7c15ULL ^ t.number);
    }
  };
  int Most(const Upstream& upstream) const { return upstream.slots + room_.beyond_slots; }
  // Of a run of the flow, in usual runs of the server.
  static double CostOf(const Upstream& upstream, const Flow& flow);
  std::size_t MostWaiting(const Upstream& upstream) const;
  bool HasRoomInTime(Micros now, const Upstream& upstream, const FairQueue::Entry& entry) const;
  void Pass(Micros now, Upstream& upstream, Record& record, const Flow& flow);
  void Judge(Upstream& upstream, const Flow& flow);
  Record& Keep(Micros now, const Ticket& ticket);
  void Forget(Micros now);
  bool Waits(const Ticket& ticket) const;
  bool Forgotten(const Ticket& ticket) const;
  void DropIfEmpty(const std::string& server);

  const Room room_;
  std::function<void(const FlowInterval&)> on_span_;
  std::size_t waiting_ = 0;
  std::vector<Ticket> evicted_;  // gave way to others; Overdue's
  std::map<std::string, Upstream> upstreams_;
  std::unordered_map<Ticket, Record, Hash> records_;
  std::deque<std::pair<Micros, Ticket>> ages_;
  std::map<std::uint64_t, std::uint64_t> forgotten_;  // life -> the highest number whose record has gone
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_ADMISSION_QUEUE_HPP_
