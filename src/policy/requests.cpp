#include "policy/requests.hpp"

#include <algorithm>
#include <utility>

#include "policy/retry.hpp"

namespace merlinrun {

Requests::Requests(const Settings& settings, std::uint64_t seed, Micros now, ActionSink& sink)
    : c_(settings, seed, now), sink_(sink), longest_budget_(settings.classes.size()) {}

void Requests::Advance(Micros now) {
  if (now <= c_.now) return;
  admission_.Age(now - c_.now);
  c_.now = now;
}

void Requests::OnServers(const ListUpdate& update) {
  if (const auto wait = asking_.OnHeard(update.kind, c_.set)) sink_.SetTimer(*wait, kAskToken);
  if (update.kind == ListUpdate::Kind::kFailed) return;
  const std::array<std::size_t, 2> before{c_.pools[0].ring.size(), c_.pools[1].ring.size()};
  servers_.Apply(update, cold_start_);
  for (std::size_t i = 0; i < before.size(); ++i) admission_.Rescale(i, before[i]);
}

void Requests::OnRequest(const Request& in) {
  if (in.request_class < 0 || static_cast<std::size_t>(in.request_class) >= longest_budget_.size())
    return sink_.Fail(in.id, Cause::kUnknownClass);
  auto [it, fresh] = held_.try_emplace(std::string(in.id));
  if (!fresh) return;
  Held& held = it->second;
  held.request_class = static_cast<std::size_t>(in.request_class);
  held.protocol = in.protocol;
  if (c_.set.warm_keys && !in.key.empty()) held.warm = StableHash(in.key);
  held.arrived = c_.now;
  held.deadline = c_.now + in.upload_time + in.budget;
  held.uploading = in.upload_time > 0;
  const RequestClass& c = c_.ClassOf(held);
  Micros& longest = longest_budget_[held.request_class];
  longest = std::max(longest, in.budget);
  held.late = in.budget < longest - c_.set.tick && c.deadline - in.budget >= c.latency_target;
  admission_.OnArrival(held, in.cost);
  if (c.sequential && !in.key.empty()) lines_[held.key = in.key].push_back(it->first);
  if (!admission_.LetIn(held)) return End(it);
  SendOrWait(it);
}

void Requests::OnOutcome(const Outcome& outcome) {
  auto it = held_.find(std::string(outcome.request));
  if (it == held_.end()) return;
  Held& held = it->second;
  if (outcome.attempt < 0 || static_cast<std::size_t>(outcome.attempt) >= held.attempts.size()) return;
  Attempt& attempt = held.attempts[static_cast<std::size_t>(outcome.attempt)];
  if (!attempt.out) return;
  Server& server = *attempt.server;
  attempt.out = false;
  attempt.may_have_run = !ProvesNeverRan(outcome.result, c_.set.refused_may_have_run);
  --server.out;
  --c_.pools[server.pool].out;
  if (outcome.result == Result::kSuccess) cold_start_.OnServed();
  admission_.OnOver(held, server, attempt.sent, outcome);
  SeeZone(server, outcome.result);
  if (health_.Quick(held, outcome)) cold_start_.OnQuick(server);
  health_.Judge(held, server, attempt.sent, outcome);
  if (!attempt.felt) admission_.Feel(held, server, outcome);
  if (outcome.result == Result::kTimeout || outcome.result == Result::kReset ||
      outcome.result == Result::kCancelled)
    held.settled_at = c_.now + c_.set.hold_after_uncertain_outcome;
  if (outcome.request_done) held.ended = true;
  held.obstacle = ObstacleOf(outcome.result);
  if (held.ended || held.AnyOut()) return Release(it);
  if (outcome.body_consumed) return End(it);
  if (AnotherMayAnswer(outcome.result)) return Wait(it);
  End(it);
}

void Requests::OnUploadComplete(std::string_view request, Micros budget) {
  auto it = held_.find(std::string(request));
  if (it == held_.end() || !std::exchange(it->second.uploading, false) || it->second.ended) return;
  it->second.arrived = c_.now;
  it->second.deadline = c_.now + budget;
  if (it->second.AnyOut()) Alarm(it, c_.ClassOf(it->second).latency_target);
}

void Requests::OnClientGone(std::string_view request) {
  auto it = held_.find(std::string(request));
  if (it == held_.end()) return;
  it->second.ended = true;
  Release(it);
}

void Requests::OnTimer(std::uint64_t token) {
  if (token == kAskToken) {
    asking_.OnAsked();
    return sink_.Subscribe();
  }
  auto timer = timers_.find(token);
  if (timer == timers_.end()) return;
  auto it = held_.find(timer->second);
  timers_.erase(timer);
  if (it == held_.end() || it->second.timer != token) return;
  if (it->second.ended) return Release(it);
  if (it->second.AnyOut()) return FeelLate(it->second);
  if (!HasTurn(it)) {  // it has waited for its turn as long as its client waits
    it->second.obstacle = Cause::kKeyQueueTimeout;
    return End(it);
  }
  SendOrWait(it);
}

void Requests::OnZonePeerReport(const ZonePeerReport& told) {
  if (c_.zones.OnTold(c_.now, told, WindowOf(told.zone, c_))) c_.ExpireCapacity();
}

// Requests with one key go in order of arrival: only the first in line may be sent.
bool Requests::HasTurn(HeldIt it) const {
  return it->second.key.empty() || lines_.at(it->second.key).front() == it->first;
}

void Requests::SendOrWait(HeldIt it) {
  Held& held = it->second;
  held.timer = 0;  // a turn may come before the alarm that was set for its failing to come
  if (!HasTurn(it)) return Alarm(it, std::max<Micros>(held.deadline - c_.now - 2 * c_.set.tick, 0));
  Server* server = held.deadline > c_.now ? choice_.Choose(held) : nullptr;
  if (server == nullptr) {
    if (held.deadline > c_.now) held.obstacle = choice_.WhyNone(held);
    return Wait(it);
  }
  if (server->out++ == 0) server->heard_at = c_.now;
  Pool& pool = c_.pools[server->pool];
  c_.zones.OnSent(c_.now, server->info.zone);
  pool.out_peak = std::max(static_cast<double>(++pool.out), pool.out_peak * (1 - 1 / kMixMemory));
  held.attempts.push_back({server, server->info.zone, server->info.cell, c_.now});
  admission_.OnSent(server->pool);
  sink_.Send(it->first, server->info.id, TimeOut(held));
  if (held.uploading) return;
  if (const Micros late = held.arrived + c_.ClassOf(held).latency_target - c_.now; late > 0) Alarm(it, late);
}

Micros Requests::TimeOut(const Held& held) const {
  const RequestClass& c = c_.ClassOf(held);
  if (!GivenUpAtAim(c) || held.uploading) return 0;
  return std::max<Micros>(held.arrived + c.latency_target - c_.now, c_.set.tick);
}

void Requests::SeeZone(Server& server, Result result) {
  const zones::Sign sign = zones::SignOf(result);
  if (sign == zones::Sign::kAnswer) server.heard_at = c_.now;
  const auto window = sign == zones::Sign::kAnswer ? zones::Zones::Window() : WindowOf(server.info.zone, c_);
  if (c_.zones.OnOutcome(c_.now, server.info.zone, server.hash, sign, window)) c_.ExpireCapacity();
}

// Late is pressure at once, not when the answer comes.
void Requests::FeelLate(Held& held) {
  Attempt& attempt = held.attempts.back();
  if (!attempt.out || std::exchange(attempt.felt, true)) return;
  Server& server = *attempt.server;
  admission_.Feel(held, server, {.request = {}, .result = Result::kTimeout});
  health_.Strike(server, attempt.sent, /*dead=*/false);
  if (server.heard_at <= attempt.sent &&
      c_.zones.OnLate(c_.now, server.info.zone, server.hash, WindowOf(server.info.zone, c_)))
    c_.ExpireCapacity();
}

// Ends the request when nothing more can come of it.
void Requests::Wait(HeldIt it) {
  Held& held = it->second;
  const Micros wait = RetryWait(c_.set.tuning, held.refusals++, c_.random);
  if (held.refusals >= MostAttempts(c_.set) || c_.now + wait + c_.set.tick >= held.deadline ||
      !MayRepeat(held, c_.ClassOf(held), c_.now))
    return End(it);
  Alarm(it, wait);
}

void Requests::Alarm(HeldIt it, Micros wait) {
  it->second.timer = ++last_timer_;
  timers_.emplace(last_timer_, it->first);
  sink_.SetTimer(wait, last_timer_);
}

// A refusal promises that a further try does no harm; where that is not certain it fails.
void Requests::End(HeldIt it) {
  const RequestClass& c = c_.ClassOf(it->second);
  it->second.ended = true;
  if (Harmless(it->second, c, c_.now)) {
    // Advice beyond half the aim would bring the client back too late to be served in time.
    const Micros most = std::min(c_.set.max_retry_after, c.latency_target / 2);
    sink_.Refuse(it->first, most > 0 ? 1 + c_.random.Upto(most) : 0, it->second.obstacle);
  } else {
    sink_.Fail(it->first, it->second.obstacle);
  }
  Release(it);
}

// What is still out of a request that is over serves nobody, and keeps the turn of its key.
void Requests::CancelRest(HeldIt it) {
  if (!c_.set.cancel || std::exchange(it->second.cancelled, true)) return;
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i)
    if (it->second.attempts[i].out) sink_.Cancel(it->first, static_cast<int>(i));
}

// The next in its line has the turn then, and not while an attempt may still be running.
void Requests::Release(HeldIt it) {
  Held& held = it->second;
  if (!held.ended) return;
  if (held.AnyOut()) return CancelRest(it);
  auto line = lines_.find(held.key);
  if (line == lines_.end()) return void(held_.erase(it));
  if (c_.now < held.settled_at) return Alarm(it, held.settled_at - c_.now);
  auto& ids = line->second;
  const bool first = ids.front() == it->first;
  ids.erase(std::find(ids.begin(), ids.end(), it->first));
  held_.erase(it);
  if (ids.empty()) return void(lines_.erase(line));
  if (first) SendOrWait(held_.find(ids.front()));
}

}  // namespace merlinrun
