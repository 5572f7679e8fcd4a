// Admission control. Under overload the least valuable work is refused first, before it queues at the
// servers. Otherwise all responses would be late, and each be retried by its client on top of the load.
#ifndef MERLINRUN_POLICY_ADMISSION_HPP_
#define MERLINRUN_POLICY_ADMISSION_HPP_

#include <array>
#include <optional>

#include "base/traffic_mix.hpp"
#include "policy/concurrency.hpp"
#include "policy/records.hpp"

namespace merlinrun {

class Admission {
 public:
  Admission(PolicyContext& common, const ColdStart& cold_start) : c_(common), cold_start_(cold_start) {}

  // Lets the effect of a past overload decay.
  void Decay(Micros time) {
    for (Load& load : loads_) load.admitted_share = Decayed(load.admitted_share, time);
  }
  // The pool had `before` servers until its list changed.
  void OnPoolResized(std::size_t pool, std::size_t before);
  void OnArrival(const ActiveRequest& active, std::optional<Micros> cost) {
    mix_.OnArrival(active.request_class, cost);
  }
  // Whether the request may be sent; sets its pool, and the cause if it may not.
  bool Admit(ActiveRequest& active);
  void OnSent(std::size_t pool) { loads_[pool].concurrency.OnSent(loads_[pool].admitted_share); }
  void OnAttemptEnded(const ActiveRequest& active, const Server& server, Micros sent, const Outcome& outcome);
  // Adjusts admission to the latency or failure of an attempt.
  void RecordPressure(const ActiveRequest& active, Server& server, const Outcome& outcome);
  BalancerSnapshot::Pool TakeSnapshot(std::size_t pool, Micros now) const;

 private:
  struct Load {  // per pool
    Concurrency concurrency;
    double admitted_share = 1;    // share of the arriving work admitted by latency
    double latency_ratio = 0;     // average latency divided by the latency target
    double unloaded = 1e9;        // lowest latency_ratio seen
    double samples = 0;           // number of latencies averaged
    double late_streak = 0;       // consecutive late or refused outcomes, one per server and streak
    std::uint64_t streak_id = 1;  // ends when all servers have been counted
    double in_streak = 0;         // servers counted in this streak
    void NextStreak() {
      ++streak_id;
      in_streak = 0;
    }
  };
  static double Decayed(double admitted, Micros time);
  bool Admits(const Load& load, std::size_t class_index, bool late);
  double BaseTarget(const Load& load) const;
  double MinTarget(const Load& load, const Pool& pool) const;
  double Target(const Load& load) const;

  PolicyContext& c_;
  const ColdStart& cold_start_;
  std::array<Load, std::tuple_size_v<Pools>> loads_{Load{{c_, 0}}, Load{{c_, 1}}};
  TrafficMix mix_{c_.set};
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_ADMISSION_HPP_
