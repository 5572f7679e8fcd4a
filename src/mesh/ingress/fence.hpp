// The last hop's decisions (standard term: admission control beside the server), free of I/O: what may be
// passed on to a server, what waits for room, what is turned away, and the record of attempts that makes "not
// passed on, and never will be" a promise.
#ifndef FENNELHOLLOW_MESH_INGRESS_FENCE_HPP_
#define FENNELHOLLOW_MESH_INGRESS_FENCE_HPP_

#include <boost/heap/fibonacci_heap.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/ingress/hop.hpp"

namespace fennelhollow::ingress {

using merlinrun::Micros;

// Attempts on record, and for how long: longer than an outbound sidecar asks after one.
inline constexpr std::size_t kMostRecords = 16384;
inline constexpr Micros kRecordFor = 30'000'000;

class Fence {
 public:
  enum class Decision { kPass, kWait, kTurnAway };

  // Attempts that are passed on at once to a server of so many slots, and wait for room, at most.
  struct Room {
    int beyond_slots = 0;
    double waiting_per_slot = 2;
  };
  explicit Fence(Room room) : room_(room) {}

  // An attempt for a server that is here and takes work. `due`: its answer is late from then on; of those
  // that wait the one due first is passed on first, so a short call of a run under way goes before what has
  // time. `until`: it is turned away if it has no room by then; and at once if it would not, by the time that
  // runs take here: what is going to be refused is refused while its caller can still go elsewhere.
  Decision OnAttempt(Micros now, const Ticket& ticket, const std::string& server, int slots, Micros due,
                     Micros until);
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
  std::vector<Ticket> Overdue(Micros now);
  std::vector<Ticket> OnServerGone(const std::string& server);
  std::size_t passed(const std::string& server) const;
  std::size_t waiting() const { return waiting_; }
  std::size_t records() const { return records_.size(); }

 private:
  struct Waiting {
    Ticket ticket;
    Micros due = 0;
    std::uint64_t order = 0;
    Micros until = 0;
    // The one due first is at the top, and of those the oldest.
    bool operator<(const Waiting& other) const {
      return due != other.due ? due > other.due : order > other.order;
    }
  };
  using Heap = boost::heap::fibonacci_heap<Waiting>;
  struct Lane {  // of a server's life
    int slots = 1;
    int passed = 0;
    double run = 0;  // microseconds that a run takes, averaged; 0 = none has ended
    Heap heap;
  };
  enum class State { kWaiting, kPassed, kNever };
  struct Record {
    State state = State::kNever;
    std::string server;
    Micros passed_at = 0;
    std::optional<Heap::handle_type> handle;
    bool over = false;
  };
  struct Hash {
    std::size_t operator()(const Ticket& t) const {
      return static_cast<std::size_t>(t.life * 0x9e3779b97f4a7c15ULL ^ t.number);
    }
  };
  int Most(const Lane& lane) const { return lane.slots + room_.beyond_slots; }
  Record& Keep(Micros now, const Ticket& ticket);
  void Forget(Micros now);
  bool Waits(const Ticket& ticket) const;
  bool Forgotten(const Ticket& ticket) const;
  void DropIfEmpty(const std::string& server);

  const Room room_;
  std::uint64_t order_ = 0;
  std::size_t waiting_ = 0;
  std::vector<Ticket> evicted_;  // gave way to others that are due sooner; Overdue's
  std::map<std::string, Lane> lanes_;
  std::unordered_map<Ticket, Record, Hash> records_;
  std::deque<std::pair<Micros, Ticket>> ages_;
  std::map<std::uint64_t, std::uint64_t> forgotten_;  // life -> the highest number whose record has gone
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FENCE_HPP_
