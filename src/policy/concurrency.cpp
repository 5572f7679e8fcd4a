#include "policy/concurrency.hpp"

#include <algorithm>
#include <cmath>

namespace merlinrun {
namespace {

// Usual number of attempts in flight from which the limit applies; below, random variation dominates.
constexpr double kLimitFrom = 8;
// Lower bound of the expected attempts, as a share of the usual ones; a pause does not lower the limit.
constexpr double kMinUsualShare = 0.75;
// Below this share of the usual servers capacity counts as lost: one zone of three is, a release is not.
constexpr double kIntactShare = 0.7;
// Load shedding then starts at Tuning::capacity_loss_shed_start and is complete this much above.
constexpr double kLossShedSpan = 0.6;
// Below this share of the expected attempts in flight, latency causes no refusals.
constexpr double kMinShareFactor = 0.8;
// Lower bound of the expected attempts in flight, for sidecars that are mostly idle.
constexpr double kMinExpected = 0.25;
// Multiple of the usual duration after which an attempt counts as stuck and is left out; by chance 1 in 50.
constexpr double kStuckAfter = 4;

}  // namespace

void Concurrency::OnSent(double admitted) {
  baseline_.OnSent(c_.now);
  if (admitted >= 1 && pool_.capacity.Share() >= kIntactShare) baseline_.OnNormalArrival(pool_.in_flight - 1);
}

void Concurrency::OnResponse(double admitted) {
  if (admitted < 1 || pool_.ring.empty()) return;
  baseline_.OnResponse(pool_.in_flight, pool_.ring.size());
  limited_ = baseline_.has_baseline() && Typical() >= kLimitFrom;
}

void Concurrency::LearnLatency(const RequestClass& c, const Outcome& outcome, double admitted) {
  if (outcome.result == Result::kSuccess && outcome.elapsed < c.latency_target)
    baseline_.OnServedInTime(c_.now);
  if (admitted >= 1 && LimitShare() >= 1) baseline_.OnAttemptTime(outcome.elapsed);
}

void Concurrency::RefreshCapacity(const ColdStart& cold_start) {
  if (!pool_.capacity.NeedsRefresh(c_.now)) return;
  double servers = 0;
  int reached = 0;
  for (const Server* server : pool_.ring) {
    if (c_.zones.IsZoneEjected(server->info.zone)) continue;
    servers += cold_start.CapacityShare(*server);
    reached += server->in_flight;
  }
  unreachable_ = pool_.in_flight - reached;
  pool_.capacity.Update(c_.now, servers);
}

// Little's law: the expected attempts in flight are the rate of timely responses times the attempt duration.
double Concurrency::LimitShare() const {
  if (pool_.ring.empty()) return 1;
  if (CapacityLost()) {
    const double expected = Expected();
    const double from = std::max(c_.set.tuning.capacity_loss_shed_start, 1 + 1 / std::sqrt(expected));
    return std::clamp(1 - (Reachable() / expected - from) / kLossShedSpan, kMinAdmitted, 1.0);
  }
  if (!limited_) return 1;
  const double expected =
      std::max(baseline_.Rate(c_.now) * baseline_.attempt_time(), kMinUsualShare * Typical());
  const Tuning& t = c_.set.tuning;
  const double from = std::max(t.in_flight_shed_start, 1 + 2 / std::sqrt(expected));
  const double full = from + t.in_flight_shed_full - t.in_flight_shed_start;
  return std::clamp((full - Recent() / expected) / (full - from), kMinAdmitted, 1.0);
}

double Concurrency::MinShare() const {
  return CapacityLost() ? std::clamp(2 - Reachable() / (kMinShareFactor * Expected()), 0.0, 1.0) : 0;
}

bool Concurrency::CapacityLost() const {
  return baseline_.has_normal() && pool_.capacity.Share() < kIntactShare && !pool_.ring.empty();
}

// At the remaining servers, so that the traffic of a lost zone is not pushed onto them at once.
double Concurrency::Expected() const {
  return std::max(baseline_.normal_in_flight() * pool_.capacity.Share(), kMinExpected);
}

// Without attempts that are lost or stuck at their server.
double Concurrency::Recent() const { return baseline_.CountYounger(kStuckAfter, c_.now); }

}  // namespace merlinrun
