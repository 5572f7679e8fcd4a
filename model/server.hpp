// A simulated activation server: request slots, a bounded queue, processor sharing among its cores, a cold
// start, and several ways to slow down under load. It knows attempts only by number.
#ifndef MERLINRUN_MODEL_SERVER_HPP_
#define MERLINRUN_MODEL_SERVER_HPP_

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

// Times are in microseconds.
struct ServerParameters {
  double cores = 4;
  double speed = 1;
  std::size_t slots = 68;
  std::size_t queue = 88;
  double thrash = 0;  // relative increase of work per request above thrash_at
  double thrash_at = 0;
  double cold_share = 1;  // of full speed at the start
  Micros warmup_time = 0;
  std::uint32_t connections = 76;
  bool chokes = false;     // enters a slow state under sustained load
  double choke_at = 0;     // waiting requests per core
  Micros choke_after = 0;  // time above choke_at before it chokes
  double choke_slowdown = 1;
  Micros choke_recovery = 0;  // time at or below choke_below before it recovers
  double choke_below = 0;     // requests in the server per core
  Micros choke_max = 0;       // longest duration
};

class Server {
 public:
  explicit Server(const ServerParameters& parameters, Micros started)
      : parameters_(parameters), started_at_(started) {}

  // WarmupFactor: the share of full speed reached since the start, 0 to 1. Capacity: work per microsecond,
  // in microseconds of a standard core.
  double WarmupFactor(Micros now) const;
  double Capacity(Micros now) const { return parameters_.cores * parameters_.speed * WarmupFactor(now); }

  enum class Admission { kSlot, kQueue, kRejected };
  // Admits an attempt to a slot or the queue; kRejected when both are full.
  Admission Admit(Micros now, std::uint64_t attempt);
  // An attempt in a slot starts `work` microseconds of work on a standard core.
  void StartWork(Micros now, std::uint64_t attempt, double work);
  // Frees an attempt's slot and gives it to the next live attempt in the queue, if any, which is returned.
  // `on_core`: the attempt was running.
  template <typename IsLive>
  std::optional<std::uint64_t> ReleaseSlot(Micros now, bool on_core, const IsLive& is_live) {
    Advance(now);
    --slots_in_use_;
    if (on_core) --running_;
    std::optional<std::uint64_t> next;
    while (!queue_.empty() && !next) {
      if (is_live(queue_.front())) next = queue_.front();
      queue_.pop_front();
    }
    if (next) {
      --waiting_;
      ++slots_in_use_;
    }
    UpdateRate(now);
    return next;
  }
  // A queued attempt was cancelled. ReleaseSlot skips it later.
  void AbandonQueue(Micros now);
  // Appends the attempts whose work is complete. Doesn't release their slots.
  template <typename IsLive>
  void CollectFinished(Micros now, const IsLive& is_live, std::vector<std::uint64_t>& finished) {
    Advance(now);
    while (!work_.empty() &&
           (work_.front().finish <= work_per_item_ + kWorkTolerance || !is_live(work_.front().attempt))) {
      if (is_live(work_.front().attempt)) finished.push_back(work_.front().attempt);
      PopWork();
    }
  }
  // When CollectFinished should be called next; 0 if not before the state changes.
  Micros NextCompletion(Micros now) const;
  // Stops all work until `until`, or until a longer pause in progress ends. Call Refresh at the end.
  void Pause(Micros now, Micros until);
  // Recomputes the speed, which changes with time while the server is cold or choked.
  void Refresh(Micros now);
  bool choked() const { return choked_; }
  std::size_t occupancy() const { return slots_in_use_ + waiting_; }

  const ServerParameters& parameters() const { return parameters_; }
  Micros started() const { return started_at_; }

 private:
  struct WorkItem {
    double finish = 0;  // value of work_per_item_ at which it is complete
    std::uint64_t attempt = 0;
  };
  static constexpr double kWorkTolerance = 1e-3;  // tolerance for rounding: a nanosecond of work

  void Advance(Micros now);
  void UpdateRate(Micros now);
  void UpdateChoke(Micros now);
  void PopWork();

  const ServerParameters parameters_;
  const Micros started_at_;
  std::deque<std::uint64_t> queue_;
  std::size_t waiting_ = 0;  // live attempts in queue_
  std::size_t slots_in_use_ = 0;
  std::size_t running_ = 0;
  std::vector<WorkItem> work_;  // min-heap by finish
  double work_per_item_ = 0;    // work done so far per running item (virtual time of processor sharing)
  double rate_ = 0;             // rate of work_per_item_ per microsecond
  Micros updated_at_ = 0;
  Micros crowded_since_ = -1;  // -1 if it is not
  Micros calm_since_ = -1;
  Micros choked_at_ = 0;
  bool choked_ = false;
  Micros paused_until_ = 0;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SERVER_HPP_
