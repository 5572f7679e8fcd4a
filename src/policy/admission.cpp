#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/health.hpp"
#include "policy/retry.hpp"
#include "policy/window.hpp"

namespace merlinrun {
namespace {

// Tuning::admit_target where servers report their load; there within kRoom of what idle servers take.
constexpr double kAdmitTargetReported = 0.45;
constexpr double kRoom = 0.22;
// What an outcome moves admission by for each aim that it came before or after the target.
constexpr double kAdmitStep = 0.2;
// An attempt that was turned away or timed out counts as this many aims.
constexpr double kAdmitWorst = 1.5;
// The n-th late outcome in a row counts n times, to this many; each server's once in a row.
constexpr double kLatesMost = 4;
// Where attempts are given up at the aim the first counts so much and the n-th n - 1 times, to kGivenUpMost.
constexpr double kLoneLate = 0.3;
constexpr double kGivenUpMost = 8;
// The target stays this far above the least pressure that was usual, averaged over kUsualMemory answers.
constexpr double kHeadroom = 1.6;
constexpr double kUsualMemory = 30;
// The same, and the target, for sidecars with kBusyFrom to kBusyFull out: they hear of overload at once.
constexpr double kHeadroomBusy = 2.0;
constexpr double kAdmitTargetBusy = 0.34;
constexpr double kBusyFrom = 32;
constexpr double kBusyFull = 48;
// One good answer recovers no more than it would at this level: a lucky one must not wake choked servers.
constexpr double kRecoverAt = 0.15;
// An overload is forgotten over this time, however few outcomes come: by then queues have emptied.
constexpr double kForget = 2 * kSecond;
// Good answers save up to this level, so that one bad answer by chance refuses nobody.
constexpr double kAdmitMost = 1.5;

}  // namespace

// What is let in after so long without an outcome.
double Admission::Aged(double admit, Micros time) {
  return admit < 1 ? 1 - (1 - admit) * std::exp(-static_cast<double>(time) / kForget) : admit;
}

// What was fit for all is too much for those that are left. Squared, so that what good answers have saved
// makes up for one server of eight and not for half of them.
void Admission::Rescale(std::size_t pool, std::size_t before) {
  const std::size_t servers = c_.pools[pool].ring.size();
  if (before == 0 || servers == 0) return;
  double& admit = loads_[pool].admit;
  const double share = static_cast<double>(servers) / static_cast<double>(before);
  admit = std::clamp(admit * share * share, kAdmitLeast, std::max(admit, 1.0));
}

bool Admission::LetIn(Held& held) {
  const std::size_t own = held.request_class;
  held.obstacle = Cause::kOverload;
  for (held.pool = 0; held.pool < loads_.size(); ++held.pool) {
    Load& load = loads_[held.pool];
    load.concurrency.Reckon(cold_start_);
    // A crossing has to be worth its price: requests of least worth stay at home or are refused.
    if (held.pool > 0 && mix_.Worth(own) < c_.set.cost_cross_zone * mix_.mean_worth()) break;
    if (c_.pools[held.pool].ring.empty()) continue;
    if (Admits(load, own, held.late)) return true;
    if (load.concurrency.Room() < load.admit) held.obstacle = Cause::kConcurrencyLimit;
  }
  held.pool = 0;
  // A server may yet be listed while it waits.
  return c_.pools[0].ring.empty() && c_.pools[1].ring.empty();
}

bool Admission::Admits(const Load& load, std::size_t own, bool late) {
  const double admit = std::max(std::min(load.admit, load.concurrency.Room()), load.concurrency.Unpressed());
  if (admit >= 1) return true;
  return c_.random.Unit() * mix_.arriving(own) <
         admit * mix_.Arriving(0) -
             mix_.Arriving(mix_.Density(own) * (late ? c_.set.classes[own].late_value : 1));
}

void Admission::OnOver(const Held& held, const Server& server, Micros sent, const Outcome& outcome) {
  Load& load = loads_[server.pool];
  load.concurrency.OnOver(sent);
  load.concurrency.LearnTime(c_.ClassOf(held), outcome, load.admit);
}

double Admission::AdmitTarget(const Load& load) const {
  return c_.set.load_reporting == Settings::LoadReporting::kNone
             ? c_.set.tuning.admission_target
             : std::min(kAdmitTargetReported, load.unloaded + kRoom);
}

// The target goes no lower than some way above the least pressure that was usual.
double Admission::LeastTarget(const Load& load, const Pool& pool) const {
  const double busy = std::clamp((pool.out_peak - kBusyFrom) / (kBusyFull - kBusyFrom), 0.0, 1.0);
  const double headroom = kHeadroom + busy * (kHeadroomBusy - kHeadroom);
  const double most = AdmitTarget(load) + busy * std::max(kAdmitTargetBusy - AdmitTarget(load), 0.0);
  return std::min(headroom * load.unloaded, most);
}

// It follows the worth of the work at the margin, the least that is still let in: cheap work goes while
// servers are far from choking, dear work only when answers come late.
double Admission::Target(const Load& load) const {
  const double total = mix_.Arriving(0);
  if (total <= 0) return AdmitTarget(load);
  double margin = 0;
  double mean = 0;
  for (std::size_t i = 0; i < mix_.size(); ++i) {
    const double density = mix_.Density(i);
    mean += density * mix_.arriving(i) / total;
    if (mix_.arriving(i) > 0 && mix_.Arriving(density) < load.admit * total &&
        (margin <= 0 || density < margin))
      margin = density;
  }
  return AdmitTarget(load) * std::sqrt(std::min(margin / mean, 1.0));
}

void Admission::Feel(const Held& held, Server& server, const Outcome& outcome) {
  Pool& pool = c_.pools[server.pool];
  Load& load = loads_[server.pool];
  const RequestClass& c = c_.ClassOf(held);
  // Where the limit tells of load, no answer tells of few servers that stall, or of what got lost.
  if (outcome.result == Result::kTimeout && load.concurrency.limited()) return;
  const auto elapsed = static_cast<double>(outcome.elapsed);
  double aims = std::min(elapsed / static_cast<double>(std::max<Micros>(c.latency_target, 1)), kAdmitWorst);
  if (outcome.result == Result::kSuccess) {
    mix_.OnAnswer(held.request_class, elapsed);
    pool.elapsed += (elapsed - pool.elapsed) / (pool.elapsed > 0 ? kMixMemory : 1);
  } else if (outcome.result == Result::kTimeout ||
             (outcome.result == Result::kRefused && !RefusesOneClass(server))) {
    aims = kAdmitWorst;
  } else {
    return;  // says nothing of load
  }
  load.concurrency.OnAnswer(load.admit);
  load.answers = std::min(load.answers + 1, kUsualMemory);
  const bool given_up = GivenUpAtAim(c);
  const double lates_most = given_up ? kGivenUpMost : kLatesMost;
  if (aims < 1) {
    load.lates = 0;
    load.NextRow();
  } else if (std::exchange(server.late_row, load.row) != load.row) {
    load.lates = std::min(load.lates + 1, lates_most);
    if (++load.row_servers >= std::min(static_cast<double>(Width(pool, c_.set)), lates_most)) load.NextRow();
  } else if (given_up) {
    return;
  }
  const double in_a_row =
      given_up && load.lates > 0 ? std::max(load.lates - 1, kLoneLate) : std::max(load.lates, 1.0);
  load.usual += (aims - load.usual) / load.answers;
  if (load.answers >= kUsualMemory / 2) load.unloaded = std::min(load.unloaded, load.usual);
  const double least = load.unloaded < kAdmitWorst ? LeastTarget(load, pool) : 0;
  const double gain = kAdmitStep * std::min(1.0, kSteadyOut / std::max(pool.out_peak, 1.0));
  const double step = gain * (std::max(Target(load), least) - aims * in_a_row);
  // The less is let in, the fewer outcomes there are to recover by: each counts for more then.
  load.admit = std::clamp(load.admit + (step > 0 ? step / std::max(load.admit, kRecoverAt) : step),
                          kAdmitLeast, kAdmitMost);
}

BalancerSnapshot::Pool Admission::TakeSnapshot(std::size_t i, Micros now) const {
  const Pool& pool = c_.pools[i];
  const Load& load = loads_[i];
  return {pool.ring.size(),
          Width(pool, c_.set),
          pool.out,
          load.concurrency.limited() ? load.concurrency.out_each() : 0,
          Aged(load.admit, std::max<Micros>(now - c_.now, 0)),
          load.concurrency.Room(),
          load.usual,
          load.unloaded < kAdmitWorst ? load.unloaded : 0};
}

}  // namespace merlinrun
