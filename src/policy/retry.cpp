#include "policy/retry.hpp"

#include <algorithm>

namespace merlinrun {
namespace {

// Upper bound of Settings::max_attempts.
constexpr int kMaxAttempts = 5;

}  // namespace

bool ProvesNeverRan(Result result, bool refused_may_have_run) {
  return (result == Result::kRefused && !refused_may_have_run) || result == Result::kUnreachable ||
         result == Result::kNeverSent;
}

bool MayTryAnother(Result result) {
  return result == Result::kRefused || result == Result::kUnreachable || result == Result::kReset;
}

Cause CauseOf(Result result) {
  if (result == Result::kRefused) return Cause::kRejected;
  if (result == Result::kUnreachable) return Cause::kUnreachable;
  if (result == Result::kReset) return Cause::kReset;
  return result == Result::kError ? Cause::kServerError : Cause::kTimedOut;
}

Micros RetryWait(const Tuning& tuning, int n, Random& random) {
  const auto bound = static_cast<double>(ExponentialBackoff(tuning.retry_base, n, tuning.retry_cap));
  return static_cast<Micros>(bound * (1 - tuning.jitter)) +
         random.Upto(static_cast<Micros>(bound * tuning.jitter));
}

int AttemptLimit(const Settings& set) { return std::min(kMaxAttempts, set.max_attempts); }

bool TimesOutAtTarget(const RequestClass& c) {
  return c.latency_target > 0 && c.late_value <= 0 && c.latency_target_work_factor <= 0;
}

bool MayRetry(const ActiveRequest& active, const RequestClass& c, Micros now) {
  const Attempt* ran = active.MayHaveRun();
  return ran == nullptr || c.retry_safety == RetrySafety::kSafe ||
         (c.retry_safety == RetrySafety::kDeduplicated && now < ran->sent + c.dedup_window);
}

bool InDedupScope(const ActiveRequest& active, const RequestClass& c, const ServerInfo& server) {
  const Attempt* ran = active.MayHaveRun();
  if (ran == nullptr || c.retry_safety == RetrySafety::kSafe) return true;
  if (c.dedup_scope == DedupScope::kZone) return ran->zone == server.zone;
  if (c.dedup_scope == DedupScope::kCell) return ran->cell == server.cell;
  return true;
}

bool ClientMayRetry(const ActiveRequest& active, const RequestClass& c, Micros now) {
  return active.MayHaveRun() == nullptr || c.retry_safety == RetrySafety::kSafe ||
         (c.dedup_scope == DedupScope::kAll && MayRetry(active, c, now));
}

}  // namespace merlinrun
