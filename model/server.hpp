// A modelled activation server: slots, a queue, cores that are shared evenly among what wants them, a cold
// start, and the ways in which it grows slow. It knows attempts by number alone; who they are is the world's.
#ifndef MERLINRUN_MODEL_SERVER_HPP_
#define MERLINRUN_MODEL_SERVER_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

// Times in microseconds.
struct ServerFigures {
  double cores = 4;
  double speed = 1;
  std::size_t slots = 68;
  std::size_t queue = 88;
  double thrash = 0;
  double thrash_at = 0;
  double cold_share = 1;
  Micros cold_for = 0;
  std::uint32_t connections = 76;
  bool chokes = false;
  double choke_at = 0;  // requests that wait for each core
  Micros choke_over = 0;
  double choke_slower = 1;
  Micros choke_rest = 0;
  double choke_below = 0;  // requests held for each core
  Micros choke_most = 0;
};

class Server {
 public:
  explicit Server(const ServerFigures& figures, Micros started) : figures_(figures), started_(started) {}

  // Warmth and capacity: of its full speed, 0 to 1; standard core microseconds a microsecond.
  double Warmth(Micros now) const;
  double Capacity(Micros now) const { return figures_.cores * figures_.speed * Warmth(now); }

  enum class Place { kSlot, kQueue, kNone };
  // An attempt has arrived. kNone: it is full, and keeps nothing of it.
  Place Take(Micros now, std::uint64_t attempt);
  // An attempt that has a slot wants the cores for `work`, in microseconds of a standard one.
  void Work(Micros now, std::uint64_t attempt, double work);
  // An attempt leaves its slot, on the cores or not. The one that gets the slot, if one waits for it; `alive`
  // says whether a waiting one is still wanted.
  template <typename Alive>
  std::optional<std::uint64_t> Leave(Micros now, bool on_cores, const Alive& alive) {
    Advance(now);
    --held_;
    if (on_cores) --on_cores_;
    std::optional<std::uint64_t> next;
    while (!queue_.empty() && !next) {
      if (alive(queue_.front())) next = queue_.front();
      queue_.pop_front();
    }
    if (next) {
      --queued_;
      ++held_;
    }
    Reckon(now);
    return next;
  }
  // A waiting attempt is not wanted any more; Leave passes over it when its turn comes.
  void LeaveQueue(Micros now);
  // What the cores have finished by now. Calls Leave for none of them.
  template <typename Alive>
  void Finished(Micros now, const Alive& alive, std::vector<std::uint64_t>& out) {
    Advance(now);
    while (!work_.empty() && (work_.front().end <= done_ + kEnough || !alive(work_.front().attempt))) {
      if (alive(work_.front().attempt)) out.push_back(work_.front().attempt);
      PopWork();
    }
  }
  // When Finished is next worth a call; 0 = never, unless something changes.
  Micros due(Micros now) const;
  // It stands still until then: nothing on its cores goes on. A longer standstill under way is kept. Refresh
  // it when it is over.
  void Pause(Micros now, Micros until);
  // Its speed changes by itself while it is cold or choked: brings it up to date.
  void Refresh(Micros now);
  bool choked() const { return choked_; }
  std::size_t held() const { return held_ + queued_; }

  const ServerFigures& figures() const { return figures_; }
  Micros started() const { return started_; }

 private:
  struct Item {
    double end = 0;  // it is done when each has been given so much work
    std::uint64_t attempt = 0;
  };
  static constexpr double kEnough = 1e-3;  // a nanosecond of work: what rounding may leave

  void Advance(Micros now);
  void Reckon(Micros now);
  void Choke(Micros now);
  void PopWork();

  const ServerFigures figures_;
  const Micros started_;
  std::deque<std::uint64_t> queue_;
  std::size_t queued_ = 0;  // of them, those that are still wanted
  std::size_t held_ = 0;    // slots in use
  std::size_t on_cores_ = 0;
  std::vector<Item> work_;  // a heap, the earliest end first
  double done_ = 0;         // work that each on the cores has been given since the start
  double rate_ = 0;         // ... a microsecond
  Micros at_ = 0;
  Micros crowded_since_ = -1;  // -1 = is not
  Micros calm_since_ = -1;
  Micros choked_at_ = 0;
  bool choked_ = false;
  Micros paused_until_ = 0;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SERVER_HPP_
