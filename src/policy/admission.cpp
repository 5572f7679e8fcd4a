#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/health.hpp"
#include "policy/retry.hpp"
#include "policy/window.hpp"

namespace merlinrun {
namespace {

// Replaces Tuning::admission_target where servers report their load, within kReportedMargin of the unloaded
// latency.
constexpr double kAdmitTargetReported = 0.45;
constexpr double kReportedMargin = 0.22;
// Change of the admitted share per unit of latency ratio above or below the target.
constexpr double kAdmissionGain = 0.2;
// Latency ratio assumed for refused and timed out attempts.
constexpr double kFailedRatio = 1.5;
// The n-th consecutive late outcome counts n times, up to this; a server's only once in such a row.
constexpr double kMaxLateStreak = 4;
// Where attempts time out at the latency target: weight of the first; the n-th counts n - 1, up to this.
constexpr double kFirstTimeout = 0.3;
constexpr double kMaxTimeoutStreak = 8;
// The target stays this far above the unloaded latency, averaged over kLatencySamples responses.
constexpr double kHeadroom = 1.6;
constexpr double kLatencySamples = 30;
// The same for sidecars with kBusyFrom to kBusyFull attempts in flight, which detect overload sooner.
constexpr double kHeadroomBusy = 2.0;
constexpr double kAdmitTargetBusy = 0.34;
constexpr double kBusyFrom = 32;
constexpr double kBusyFull = 48;
// Below this share recovery no longer accelerates, so that one fast response does not cause a new overload.
constexpr double kMinRecovery = 0.15;
// Time constant with which an overload is forgotten, even without outcomes: queues have emptied by then.
constexpr double kOverloadDecay = 2 * kSecond;
// Reserve built up by fast responses, so that a single slow one causes no refusal.
constexpr double kMaxAdmitted = 1.5;

}  // namespace

double Admission::Decayed(double admitted, Micros time) {
  return admitted < 1 ? 1 - (1 - admitted) * std::exp(-static_cast<double>(time) / kOverloadDecay) : admitted;
}

// The remaining servers cannot serve all that was admitted before. Squared, so that the reserve covers the
// loss of one server of eight but not of half of them.
void Admission::OnPoolResized(std::size_t pool, std::size_t before) {
  const std::size_t servers = c_.pools[pool].ring.size();
  if (before == 0 || servers == 0) return;
  double& admitted = loads_[pool].admitted_share;
  const double share = static_cast<double>(servers) / static_cast<double>(before);
  admitted = std::clamp(admitted * share * share, kMinAdmitted, std::max(admitted, 1.0));
}

bool Admission::Admit(ActiveRequest& active) {
  const std::size_t class_index = active.request_class;
  active.last_cause = Cause::kOverload;
  for (active.pool = 0; active.pool < loads_.size(); ++active.pool) {
    Load& load = loads_[active.pool];
    load.concurrency.RefreshCapacity(cold_start_);
    // A request must be worth the cost of leaving the zone.
    if (active.pool > 0 && mix_.Value(class_index) < c_.set.cost_cross_zone * mix_.mean_value()) break;
    if (c_.pools[active.pool].ring.empty()) continue;
    if (Admits(load, class_index, active.past_target)) return true;
    if (load.concurrency.LimitShare() < load.admitted_share) active.last_cause = Cause::kConcurrencyLimit;
  }
  active.pool = 0;
  // With no servers at all the request waits for the list.
  return c_.pools[0].ring.empty() && c_.pools[1].ring.empty();
}

bool Admission::Admits(const Load& load, std::size_t class_index, bool late) {
  const double admitted =
      std::max(std::min(load.admitted_share, load.concurrency.LimitShare()), load.concurrency.MinShare());
  if (admitted >= 1) return true;
  return c_.random.Unit() * mix_.arriving(class_index) <
         admitted * mix_.Arriving(0) -
             mix_.Arriving(mix_.Density(class_index) * (late ? c_.set.classes[class_index].late_value : 1));
}

void Admission::OnAttemptEnded(const ActiveRequest& active, const Server& server, Micros sent,
                               const Outcome& outcome) {
  Load& load = loads_[server.pool];
  load.concurrency.OnAttemptEnded(sent);
  load.concurrency.LearnLatency(c_.ClassOf(active), outcome, load.admitted_share);
}

double Admission::BaseTarget(const Load& load) const {
  return c_.set.load_reporting == Settings::LoadReporting::kNone
             ? c_.set.tuning.admission_target
             : std::min(kAdmitTargetReported, load.unloaded + kReportedMargin);
}

// The target stays above the unloaded latency.
double Admission::MinTarget(const Load& load, const Pool& pool) const {
  const double busy = std::clamp((pool.peak_in_flight - kBusyFrom) / (kBusyFull - kBusyFrom), 0.0, 1.0);
  const double headroom = kHeadroom + busy * (kHeadroomBusy - kHeadroom);
  const double max_target = BaseTarget(load) + busy * std::max(kAdmitTargetBusy - BaseTarget(load), 0.0);
  return std::min(headroom * load.unloaded, max_target);
}

// Scaled by the value of the least valuable work still admitted: cheap work is refused long before servers
// overload, valuable work only once responses are late.
double Admission::Target(const Load& load) const {
  const double total = mix_.Arriving(0);
  if (total <= 0) return BaseTarget(load);
  double lowest_density = 0;
  double mean_density = 0;
  for (std::size_t i = 0; i < mix_.size(); ++i) {
    const double density = mix_.Density(i);
    mean_density += density * mix_.arriving(i) / total;
    if (mix_.arriving(i) > 0 && mix_.Arriving(density) < load.admitted_share * total &&
        (lowest_density <= 0 || density < lowest_density))
      lowest_density = density;
  }
  return BaseTarget(load) * std::sqrt(std::min(lowest_density / mean_density, 1.0));
}

void Admission::RecordPressure(const ActiveRequest& active, Server& server, const Outcome& outcome) {
  Pool& pool = c_.pools[server.pool];
  Load& load = loads_[server.pool];
  const RequestClass& c = c_.ClassOf(active);
  // With a concurrency limit a timeout indicates a stalled server or lost request, not overload.
  if (outcome.result == Result::kTimeout && load.concurrency.limited()) return;
  const auto elapsed = static_cast<double>(outcome.elapsed);
  double ratio = std::min(elapsed / static_cast<double>(std::max<Micros>(c.latency_target, 1)), kFailedRatio);
  if (outcome.result == Result::kSuccess) {
    mix_.OnResponse(active.request_class, elapsed);
    pool.usual_latency += (elapsed - pool.usual_latency) / (pool.usual_latency > 0 ? kAverageRequests : 1);
  } else if (outcome.result == Result::kTimeout ||
             (outcome.result == Result::kRefused && !RefusesOneClass(server))) {
    ratio = kFailedRatio;
  } else {
    return;  // unrelated to load
  }
  load.concurrency.OnResponse(load.admitted_share);
  load.samples = std::min(load.samples + 1, kLatencySamples);
  const bool times_out = TimesOutAtTarget(c);
  const double max_streak = times_out ? kMaxTimeoutStreak : kMaxLateStreak;
  if (ratio < 1) {
    load.late_streak = 0;
    load.NextStreak();
  } else if (std::exchange(server.counted_streak, load.streak_id) != load.streak_id) {
    load.late_streak = std::min(load.late_streak + 1, max_streak);
    if (++load.in_streak >= std::min(static_cast<double>(Width(pool, c_.set)), max_streak)) load.NextStreak();
  } else if (times_out) {
    return;
  }
  const double weight = times_out && load.late_streak > 0 ? std::max(load.late_streak - 1, kFirstTimeout)
                                                          : std::max(load.late_streak, 1.0);
  load.latency_ratio += (ratio - load.latency_ratio) / load.samples;
  if (load.samples >= kLatencySamples / 2) load.unloaded = std::min(load.unloaded, load.latency_ratio);
  const double min_target = load.unloaded < kFailedRatio ? MinTarget(load, pool) : 0;
  const double gain = kAdmissionGain * std::min(1.0, kSteadyInFlight / std::max(pool.peak_in_flight, 1.0));
  const double step = gain * (std::max(Target(load), min_target) - ratio * weight);
  // With less admitted, fewer outcomes drive the recovery, so each counts more.
  load.admitted_share =
      std::clamp(load.admitted_share + (step > 0 ? step / std::max(load.admitted_share, kMinRecovery) : step),
                 kMinAdmitted, kMaxAdmitted);
}

BalancerSnapshot::Pool Admission::TakeSnapshot(std::size_t i, Micros now) const {
  const Pool& pool = c_.pools[i];
  const Load& load = loads_[i];
  return {pool.ring.size(),
          Width(pool, c_.set),
          pool.in_flight,
          load.concurrency.limited() ? load.concurrency.in_flight_per_server() : 0,
          Decayed(load.admitted_share, std::max<Micros>(now - c_.now, 0)),
          load.concurrency.LimitShare(),
          load.latency_ratio,
          load.unloaded < kFailedRatio ? load.unloaded : 0};
}

}  // namespace merlinrun
