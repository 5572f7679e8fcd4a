#include "policy/concurrency.hpp"

#include <algorithm>
#include <cmath>

namespace merlinrun {
namespace {

// A sidecar that usually has so many attempts out has a limit. With fewer, chance is most of it.
constexpr double kLimitFrom = 8;
// The limit goes no lower than for this share of what is usually out, so that a pause does not lower it.
constexpr double kLeastOfUsual = 0.75;
// Under this share of the usual servers a part is lost, as a zone of three is, and not in a release.
constexpr double kWhole = 0.7;
// Then less is let in from Tuning::loss_from on, to kLossSpan further on.
constexpr double kLossSpan = 0.6;
// And with less than this share of what is expected out, late answers are no reason to refuse.
constexpr double kUnpressed = 0.8;
// No less is expected to be out: a sidecar that asks every few seconds has none out as a rule.
constexpr double kLeastExpected = 0.25;
// An attempt that is out for so many usual times is no part of the crowd. By chance one of fifty is.
constexpr double kLost = 4;

}  // namespace

void Concurrency::OnSent(double admit) {
  usual_.Sent(c_.now);
  if (admit >= 1 && pool_.capacity.Share() >= kWhole) usual_.OnCalm(pool_.out - 1);
}

void Concurrency::OnAnswer(double admit) {
  if (admit < 1 || pool_.ring.empty()) return;
  usual_.OnAnswer(pool_.out, pool_.ring.size());
  limited_ = usual_.learnt() && UsualOut() >= kLimitFrom;
}

void Concurrency::LearnTime(const RequestClass& c, const Outcome& outcome, double admit) {
  if (outcome.result == Result::kSuccess && outcome.elapsed < c.latency_target) usual_.OnGood(c_.now);
  if (admit >= 1 && Room() >= 1) usual_.OnTime(outcome.elapsed);
}

void Concurrency::Reckon(const ColdStart& cold_start) {
  if (!pool_.capacity.Due(c_.now)) return;
  double servers = 0;
  int reached = 0;
  for (const Server* server : pool_.ring) {
    if (c_.zones.Left(server->info.zone)) continue;
    servers += cold_start.Warmth(*server);
    reached += server->out;
  }
  astray_ = pool_.out - reached;
  pool_.capacity.Set(c_.now, servers);
}

// What is expected to be out is what is served in time, by the time that an attempt is usually out (Little).
// It could harm where the work turns dearer for good; the usual time follows.
double Concurrency::Room() const {
  if (pool_.ring.empty()) return 1;
  if (Lost()) {
    const double expected = Expected();
    const double from = std::max(c_.set.tuning.capacity_loss_shed_start, 1 + 1 / std::sqrt(expected));
    return std::clamp(1 - (Reaching() / expected - from) / kLossSpan, kAdmitLeast, 1.0);
  }
  if (!limited_) return 1;
  const double expected = std::max(usual_.Rate(c_.now) * usual_.out_time(), kLeastOfUsual * UsualOut());
  const Tuning& t = c_.set.tuning;
  const double from = std::max(t.in_flight_shed_start, 1 + 2 / std::sqrt(expected));
  const double full = from + t.in_flight_shed_full - t.in_flight_shed_start;
  return std::clamp((full - Crowd() / expected) / (full - from), kAdmitLeast, 1.0);
}

double Concurrency::Unpressed() const {
  return Lost() ? std::clamp(2 - Reaching() / (kUnpressed * Expected()), 0.0, 1.0) : 0;
}

// A part of the fleet is lost, and it is known what is usually out.
bool Concurrency::Lost() const {
  return usual_.calm_learnt() && pool_.capacity.Share() < kWhole && !pool_.ring.empty();
}

// At the servers that are left. Guards against a lost zone's work that is pushed at once onto the others.
double Concurrency::Expected() const {
  return std::max(usual_.calm_out() * pool_.capacity.Share(), kLeastExpected);
}

// Own attempts out that may still wait for their turn: not those that are lost or stuck with their server.
double Concurrency::Crowd() const { return usual_.Younger(kLost, c_.now); }

}  // namespace merlinrun
