// Retry rules: whether, where and when a request may be sent again.
#ifndef MERLINRUN_POLICY_RETRY_HPP_
#define MERLINRUN_POLICY_RETRY_HPP_

#include "base/backoff.hpp"
#include "policy/records.hpp"

namespace merlinrun {

// Whether the attempt was certainly not executed. A refusal proves that only if servers refuse before
// execution.
bool ProvesNeverRan(Result result, bool refused_may_have_run);
// Whether the failure does not depend on the request itself.
bool MayTryAnother(Result result);
Cause CauseOf(Result result);
// Delay before the next attempt after n retries: exponential backoff with jitter.
Micros RetryWait(const Tuning& tuning, int n, Random& random);
// Limit of attempts per request; a delay because no server was usable counts as one.
int AttemptLimit(const Settings& set);
// Whether late responses have no value. Attempts then time out at the target, which also detects hangs.
bool TimesOutAtTarget(const RequestClass& c);
// Whether a request that may have been executed can be sent again.
bool MayRetry(const ActiveRequest& active, const RequestClass& c, Micros now);
// Whether the server would recognize a duplicate of the earlier attempt.
bool InDedupScope(const ActiveRequest& active, const RequestClass& c, const ServerInfo& server);
// Whether a retry by the client is safe.
bool ClientMayRetry(const ActiveRequest& active, const RequestClass& c, Micros now);

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_RETRY_HPP_
