#include "policy/requests.hpp"

#include <algorithm>
#include <utility>

#include "policy/retry.hpp"

namespace merlinrun {

Requests::Requests(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink)
    : c_(settings, seed, now), sink_(sink), longest_budget_(settings.classes.size()) {}

void Requests::Advance(Micros now) {
  if (now <= c_.now) return;
  admission_.Decay(now - c_.now);
  c_.now = now;
}

void Requests::OnServers(const ListUpdate& update) {
  if (const auto wait = list_retry_.OnUpdate(update.kind, c_.set)) sink_.SetTimer(*wait, kListTimerToken);
  if (update.kind == ListUpdate::Kind::kFailed) return;
  const std::array<std::size_t, 2> before{c_.pools[0].ring.size(), c_.pools[1].ring.size()};
  servers_.Apply(update, cold_start_);
  for (std::size_t i = 0; i < before.size(); ++i) admission_.OnPoolResized(i, before[i]);
}

void Requests::OnRequest(const Request& in) {
  if (in.request_class < 0 || static_cast<std::size_t>(in.request_class) >= longest_budget_.size())
    return sink_.Fail(in.id, Cause::kUnknownClass);
  auto [it, inserted] = requests_.try_emplace(std::string(in.id));
  if (!inserted) return;
  ActiveRequest& active = it->second;
  active.request_class = static_cast<std::size_t>(in.request_class);
  active.protocol = in.protocol;
  if (c_.set.warm_keys && !in.key.empty()) active.affinity_hash = StableHash(in.key);
  active.arrived_at = c_.now;
  active.deadline = c_.now + in.upload_time + in.budget;
  active.uploading = in.upload_time > 0;
  const RequestClass& c = c_.ClassOf(active);
  Micros& longest = longest_budget_[active.request_class];
  longest = std::max(longest, in.budget);
  active.past_target = in.budget < longest - c_.set.tick && c.deadline - in.budget >= c.latency_target;
  admission_.OnArrival(active, in.cost);
  if (c.sequential && !in.key.empty()) key_queues_[active.key = in.key].push_back(it->first);
  if (!admission_.Admit(active)) return End(it);
  SendOrWait(it);
}

void Requests::OnOutcome(const Outcome& outcome) {
  auto it = requests_.find(std::string(outcome.request));
  if (it == requests_.end()) return;
  ActiveRequest& active = it->second;
  if (outcome.attempt < 0 || static_cast<std::size_t>(outcome.attempt) >= active.attempts.size()) return;
  Attempt& attempt = active.attempts[static_cast<std::size_t>(outcome.attempt)];
  if (!attempt.in_flight) return;
  Server& server = *attempt.server;
  attempt.in_flight = false;
  attempt.may_have_run = !ProvesNeverRan(outcome.result, c_.set.refused_may_have_run);
  --server.in_flight;
  --c_.pools[server.pool].in_flight;
  if (outcome.result == Result::kSuccess) cold_start_.OnServed();
  admission_.OnAttemptEnded(active, server, attempt.sent, outcome);
  UpdateZone(server, outcome.result);
  if (health_.IsFast(active, outcome)) cold_start_.OnFastResponse(server);
  health_.RecordOutcome(active, server, attempt.sent, outcome);
  if (!attempt.late_counted) admission_.RecordPressure(active, server, outcome);
  if (outcome.result == Result::kTimeout || outcome.result == Result::kReset ||
      outcome.result == Result::kCancelled)
    active.key_held_until = c_.now + c_.set.hold_after_uncertain_outcome;
  if (outcome.request_done) active.ended = true;
  active.last_cause = CauseOf(outcome.result);
  if (active.ended || active.AnyInFlight()) return EraseIfDone(it);
  if (outcome.body_consumed) return End(it);
  if (MayTryAnother(outcome.result)) return RetryLater(it);
  End(it);
}

void Requests::OnUploadComplete(std::string_view request, Micros budget) {
  auto it = requests_.find(std::string(request));
  if (it == requests_.end() || !std::exchange(it->second.uploading, false) || it->second.ended) return;
  it->second.arrived_at = c_.now;
  it->second.deadline = c_.now + budget;
  if (it->second.AnyInFlight()) StartTimer(it, c_.ClassOf(it->second).latency_target);
}

void Requests::OnClientGone(std::string_view request) {
  auto it = requests_.find(std::string(request));
  if (it == requests_.end()) return;
  it->second.ended = true;
  EraseIfDone(it);
}

void Requests::OnTimer(std::uint64_t token) {
  if (token == kListTimerToken) {
    list_retry_.OnDelayPassed();
    return sink_.Subscribe();
  }
  auto timer = timers_.find(token);
  if (timer == timers_.end()) return;
  auto it = requests_.find(timer->second);
  timers_.erase(timer);
  if (it == requests_.end() || it->second.timer != token) return;
  if (it->second.ended) return EraseIfDone(it);
  if (it->second.AnyInFlight()) return OnTargetMissed(it->second);
  if (!IsFirstForKey(it)) {  // its deadline passed in the queue
    it->second.last_cause = Cause::kKeyQueueTimeout;
    return End(it);
  }
  SendOrWait(it);
}

void Requests::OnZonePeerSummary(const ZonePeerSummary& report) {
  if (c_.zones.OnPeerReport(c_.now, report, WindowOf(report.zone, c_))) c_.InvalidateCapacity();
}

// Requests with the same key run in order of arrival.
bool Requests::IsFirstForKey(RequestIt it) const {
  return it->second.key.empty() || key_queues_.at(it->second.key).front() == it->first;
}

void Requests::SendOrWait(RequestIt it) {
  ActiveRequest& active = it->second;
  active.timer = 0;  // cancels the queue timeout
  if (!IsFirstForKey(it))
    return StartTimer(it, std::max<Micros>(active.deadline - c_.now - 2 * c_.set.tick, 0));
  Server* server = active.deadline > c_.now ? selector_.Select(active) : nullptr;
  if (server == nullptr) {
    if (active.deadline > c_.now) active.last_cause = selector_.CauseOfNone(active);
    return RetryLater(it);
  }
  if (server->in_flight++ == 0) server->responded_at = c_.now;
  Pool& pool = c_.pools[server->pool];
  c_.zones.OnSent(c_.now, server->info.zone);
  pool.peak_in_flight =
      std::max(static_cast<double>(++pool.in_flight), pool.peak_in_flight * (1 - 1 / kAverageRequests));
  active.attempts.push_back({server, server->info.zone, server->info.cell, c_.now});
  admission_.OnSent(server->pool);
  sink_.Send(it->first, server->info.id, AttemptTimeout(active));
  if (active.uploading) return;
  if (const Micros late = active.arrived_at + c_.ClassOf(active).latency_target - c_.now; late > 0)
    StartTimer(it, late);
}

Micros Requests::AttemptTimeout(const ActiveRequest& active) const {
  const RequestClass& c = c_.ClassOf(active);
  if (!TimesOutAtTarget(c) || active.uploading) return 0;
  return std::max<Micros>(active.arrived_at + c.latency_target - c_.now, c_.set.tick);
}

void Requests::UpdateZone(Server& server, Result result) {
  const zones::Evidence evidence = zones::EvidenceOf(result);
  if (evidence == zones::Evidence::kResponse) server.responded_at = c_.now;
  const auto window =
      evidence == zones::Evidence::kResponse ? zones::Zones::Window() : WindowOf(server.info.zone, c_);
  if (c_.zones.OnOutcome(c_.now, server.info.zone, server.hash, evidence, window)) c_.InvalidateCapacity();
}

// A missed latency target counts as overload at once, before the response arrives.
void Requests::OnTargetMissed(ActiveRequest& active) {
  Attempt& attempt = active.attempts.back();
  if (!attempt.in_flight || std::exchange(attempt.late_counted, true)) return;
  Server& server = *attempt.server;
  admission_.RecordPressure(active, server, {.request = {}, .result = Result::kTimeout});
  health_.RecordFailure(server, attempt.sent, /*dead=*/false);
  if (server.responded_at <= attempt.sent &&
      c_.zones.OnLate(c_.now, server.info.zone, server.hash, WindowOf(server.info.zone, c_)))
    c_.InvalidateCapacity();
}

// Ends the request if no further attempt is possible.
void Requests::RetryLater(RequestIt it) {
  ActiveRequest& active = it->second;
  const Micros wait = RetryWait(c_.set.tuning, active.retries++, c_.random);
  if (active.retries >= AttemptLimit(c_.set) || c_.now + wait + c_.set.tick >= active.deadline ||
      !MayRetry(active, c_.ClassOf(active), c_.now))
    return End(it);
  StartTimer(it, wait);
}

void Requests::StartTimer(RequestIt it, Micros wait) {
  it->second.timer = ++last_timer_;
  timers_.emplace(last_timer_, it->first);
  sink_.SetTimer(wait, last_timer_);
}

// A refusal tells the client that a retry is safe; otherwise the request fails.
void Requests::End(RequestIt it) {
  const RequestClass& c = c_.ClassOf(it->second);
  it->second.ended = true;
  if (ClientMayRetry(it->second, c, c_.now)) {
    // A longer delay would leave the client too little time.
    const Micros max_delay = std::min(c_.set.max_retry_after, c.latency_target / 2);
    sink_.Refuse(it->first, max_delay > 0 ? 1 + c_.random.Upto(max_delay) : 0, it->second.last_cause);
  } else {
    sink_.Fail(it->first, it->second.last_cause);
  }
  EraseIfDone(it);
}

// Remaining attempts of an ended request are useless, and block its key.
void Requests::CancelInFlight(RequestIt it) {
  if (!c_.set.cancel || std::exchange(it->second.cancelled, true)) return;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
    if (it->second.attempts[i].in_flight) sink_.Cancel(it->first, static_cast<int>(i));
}

// Then the next request of its key is sent, unless an attempt may still be running.
void Requests::EraseIfDone(RequestIt it) {
  ActiveRequest& active = it->second;
  if (!active.ended) return;
  if (active.AnyInFlight()) return CancelInFlight(it);
  auto queue = key_queues_.find(active.key);
  if (queue == key_queues_.end()) return void(requests_.erase(it));
  if (c_.now < active.key_held_until) return StartTimer(it, active.key_held_until - c_.now);
  auto& ids = queue->second;
  const bool first = ids.front() == it->first;
  ids.erase(std::find(ids.begin(), ids.end(), it->first));
  requests_.erase(it);
  if (ids.empty()) return void(key_queues_.erase(queue));
  if (first) SendOrWait(requests_.find(ids.front()));
}

}  // namespace merlinrun
