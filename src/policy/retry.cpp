#include "policy/retry.hpp"

#include <algorithm>

namespace merlinrun {
namespace {

// The design's stop; the deployment may set a lower limit.
constexpr int kMaxAttempts = 5;

}  // namespace

bool ProvesNeverRan(Result result, bool refused_may_have_run) {
  return (result == Result::kRefused && !refused_may_have_run) || result == Result::kUnreachable ||
         result == Result::kNeverSent;
}

bool AnotherMayAnswer(Result result) {
  return result == Result::kRefused || result == Result::kUnreachable || result == Result::kReset;
}

Cause ObstacleOf(Result result) {
  if (result == Result::kRefused) return Cause::kRejected;
  if (result == Result::kUnreachable) return Cause::kUnreachable;
  if (result == Result::kReset) return Cause::kReset;
  return result == Result::kError ? Cause::kServerError : Cause::kTimedOut;
}

Micros RetryWait(const Tuning& tuning, int n, Random& random) {
  const auto most = static_cast<double>(ExponentialBackoff(tuning.retry_base, n, tuning.retry_cap));
  return static_cast<Micros>(most * (1 - tuning.jitter)) +
         random.Upto(static_cast<Micros>(most * tuning.jitter));
}

int MostAttempts(const Settings& set) { return std::min(kMaxAttempts, set.max_attempts); }

bool GivenUpAtAim(const RequestClass& c) {
  return c.latency_target > 0 && c.late_value <= 0 && c.latency_target_work_factor <= 0;
}

bool MayRepeat(const Held& held, const RequestClass& c, Micros now) {
  const Attempt* ran = held.MayHaveRun();
  return ran == nullptr || c.retry_safety == RetrySafety::kSafe ||
         (c.retry_safety == RetrySafety::kDeduplicated && now < ran->sent + c.dedup_window);
}

bool InGroup(const Held& held, const RequestClass& c, const ServerInfo& server) {
  const Attempt* ran = held.MayHaveRun();
  if (ran == nullptr || c.retry_safety == RetrySafety::kSafe) return true;
  if (c.dedup_scope == DedupScope::kZone) return ran->zone == server.zone;
  if (c.dedup_scope == DedupScope::kCell) return ran->cell == server.cell;
  return true;
}

bool Harmless(const Held& held, const RequestClass& c, Micros now) {
  return held.MayHaveRun() == nullptr || c.retry_safety == RetrySafety::kSafe ||
         (c.dedup_scope == DedupScope::kAll && MayRepeat(held, c, now));
}

}  // namespace merlinrun
