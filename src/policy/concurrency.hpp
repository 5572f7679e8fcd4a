// Concurrency limit: the share of the arriving work to admit, given the attempts in flight. It applies to
// busy sidecars, and to all while part of the server capacity is lost.
#ifndef MERLINRUN_POLICY_CONCURRENCY_HPP_
#define MERLINRUN_POLICY_CONCURRENCY_HPP_

#include "base/baseline.hpp"
#include "policy/cold_start.hpp"
#include "policy/records.hpp"

namespace merlinrun {

class Concurrency {  // per pool
 public:
  Concurrency(PolicyContext& common, std::size_t pool) : c_(common), pool_(common.pools[pool]) {}

  // `admitted`: the share admitted by latency. Baselines are learned while it is at least 1.
  void OnSent(double admitted);
  void OnAttemptEnded(Micros sent) { baseline_.OnEnded(sent, c_.now); }
  void OnResponse(double admitted);
  // Learns the rate of timely responses and the attempt duration.
  void LearnLatency(const RequestClass& c, const Outcome& outcome, double admitted);
  // Recomputes the reachable capacity if it is due.
  void RefreshCapacity(const ColdStart& cold_start);

  // Share of the arriving work that the limit admits, up to 1. Below 1 there is pressure, whatever the cause.
  double LimitShare() const;
  // Lower bound during a capacity loss, whatever the latency.
  double MinShare() const;
  // A baseline exists and is high enough for a limit.
  bool limited() const { return limited_; }
  double in_flight_per_server() const { return baseline_.in_flight_per_server(); }

 private:
  bool CapacityLost() const;
  double Expected() const;
  double Reachable() const { return std::max(pool_.in_flight - unreachable_, 0); }
  double Recent() const;
  double Typical() const { return baseline_.in_flight_per_server() * static_cast<double>(pool_.ring.size()); }

  PolicyContext& c_;
  Pool& pool_;
  Baseline baseline_;
  bool limited_ = false;
  int unreachable_ = 0;  // attempts in flight at ejected zones or at servers outside of the ring
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_CONCURRENCY_HPP_
