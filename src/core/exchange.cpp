#include "core/exchange.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace merlinrun::core {
namespace {

constexpr Micros kMs = 1000;

// A final answer leaves this long before the client gives up, as other sidecars share the core and a busy
// loop is late; a short budget gives up no more than this part of itself.
constexpr Micros kAnswerMargin = 40 * kMs;
constexpr double kMostMarginShare = 0.2;

}  // namespace

bool Exchanges::Call::AnyOut() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

Exchanges::Exchanges(Loop& loop, const Settings& settings, std::uint64_t seed,
                     std::function<void()> subscribe, std::function<void(std::string_view)> log)
    : loop_(loop), settings_(settings), subscribe_(std::move(subscribe)), log_(std::move(log)) {
  std::string error;
  balancer_ = Balancer::Create(settings_, seed, loop_.Now(), *this, error);
  if (balancer_ == nullptr) throw std::invalid_argument(error);
}

Exchanges::~Exchanges() = default;

void Exchanges::OnServers(const ListUpdate& update) { balancer_->OnServers(loop_.Now(), update); }

// ---- A request's life ----

// How long there is for the final answer: what the client says, its class's deadline at most.
Micros Exchanges::BudgetOf(const Arrival& arrival) const {
  Micros budget = settings_.classes[static_cast<std::size_t>(arrival.request_class)].deadline;
  if (arrival.deadline) budget = budget > 0 ? std::min(budget, *arrival.deadline) : *arrival.deadline;
  budget -= std::min(kAnswerMargin, static_cast<Micros>(kMostMarginShare * static_cast<double>(budget)));
  return end_ > 0 ? std::clamp<Micros>(end_ - loop_.Now(), 0, budget) : budget;
}

void Exchanges::Take(Arrival arrival) {
  const Micros now = loop_.Now();
  const Micros budget = BudgetOf(arrival);
  const std::string& id = arrival.id;

  Call& call = calls_[id];
  call.request = std::move(arrival.request);
  call.caller = std::move(arrival.caller);
  call.egress = arrival.egress;
  call.request_class = arrival.request_class;
  call.deadline = now + arrival.upload + budget;
  call.budget = budget;
  call.timer = loop_.NewTimer();
  Watch(id, call);
  if (on_ended_) {
    call.story = std::make_unique<Story>();
    call.story->key = arrival.key;
    Ended& ended = call.story->ended;
    ended.request_class = arrival.request_class;
    ended.front = arrival.front;
    ended.repeated = arrival.repeated;
    ended.arrived = now;
    ended.budget = budget;
  }

  Request in;
  in.id = id;
  in.request_class = arrival.request_class;
  in.tenant = arrival.tenant;
  in.budget = budget;
  in.upload = arrival.upload;
  in.repeated = arrival.repeated;
  in.write = arrival.write;
  in.cost = arrival.cost;
  in.key = arrival.key;
  in.front = arrival.front;
  balancer_->OnRequest(now, in);
  EraseIfOver(id);
}

void Exchanges::OnWhole(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.caller == nullptr) return;
  Call& call = it->second;
  const Micros now = loop_.Now();
  if (end_ > 0) call.budget = std::clamp<Micros>(end_ - now, 0, call.budget);
  call.deadline = now + call.budget;
  for (Attempt& attempt : call.attempts) {
    if (!attempt.out) continue;
    attempt.sent = now;
    attempt.expires = call.deadline;
  }
  Watch(id, call);
  balancer_->OnRequestWhole(now, id, call.budget);
}

void Exchanges::OnClientGone(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Release(it->second, Ended::End::kLeft);
  balancer_->OnClientGone(loop_.Now(), id);
  EraseIfOver(id);
}

void Exchanges::OnAnswer(const std::string& id, int attempt, Answer answer) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (answer.result == Result::kSuccess && it->second.caller != nullptr)
    Release(it->second, Ended::End::kServed)->Serve(std::move(answer.message));
  else if (answer.result == Result::kError)
    it->second.error = std::move(answer.message);
  Conclude(id, attempt, answer.result, answer.spent);
}

// Tells the module, once, what became of an attempt.
void Exchanges::Conclude(const std::string& id, int attempt, Result result, bool spent) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Attempt& ended = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(ended.out, false)) return;
  ended.may_have_run = result != Result::kUnreachable && result != Result::kNeverSent &&
                       (result != Result::kRefused || settings_.refused_may_have_run);
  const Micros now = loop_.Now();
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed = std::max<Micros>(now - ended.sent, 0);
  outcome.settled = it->second.caller == nullptr;
  outcome.spent = spent;
  if (on_attempt_) on_attempt_({ended.server, result, outcome.elapsed, it->second.request_class});
  balancer_->OnOutcome(now, outcome);
  EraseIfOver(id);
}

// Sets the call's timer to what is due next: the end of an attempt, or the answer itself.
void Exchanges::Watch(const std::string& id, Call& call) {
  Micros due = call.deadline;
  for (const Attempt& attempt : call.attempts)
    if (attempt.out) due = std::min(due, attempt.expires);
  call.timer->Start(std::max<Micros>(due - loop_.Now(), 0), [this, id] { OnDue(id); });
}

void Exchanges::OnDue(const std::string& id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Micros now = loop_.Now();
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    const Attempt& attempt = it->second.attempts[i];
    if (!attempt.out || now < attempt.expires) continue;
    it->second.egress->GiveUp(attempt.upstream);
    Conclude(id, static_cast<int>(i), Result::kTimeout);
    it = calls_.find(id);
    if (it == calls_.end()) return;
  }
  if (now >= it->second.deadline && it->second.caller != nullptr) {
    // The module ends requests before this. Guards against a client that gets no answer should it not.
    Release(it->second, Ended::End::kFailed)->Fail(Failure::kOutOfTime, nullptr);
    balancer_->OnClientGone(now, id);
    return EraseIfOver(id);
  }
  if (now < it->second.deadline) Watch(id, it->second);
}

std::unique_ptr<Caller> Exchanges::Release(Call& call, Ended::End end, std::optional<Cause> why) {
  if (call.story != nullptr && call.caller != nullptr) {
    call.story->ended.end = end;
    call.story->ended.why = why;
    call.story->ended.took = loop_.Now() - call.story->ended.arrived;
  }
  return std::exchange(call.caller, nullptr);
}

void Exchanges::EraseIfOver(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.caller != nullptr || it->second.AnyOut()) return;
  if (const auto& story = it->second.story; story != nullptr) {
    story->ended.id = id;
    story->ended.key = story->key;
    story->ended.attempts = it->second.attempts.size();
    on_ended_(story->ended);
  }
  calls_.erase(it);
  if (calls_.empty() && empty_) empty_();
}

// ---- The module's actions; none of them may call it back ----

void Exchanges::Send(std::string_view request, const std::string& server, Micros timeout) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  const Micros now = loop_.Now();
  const int number = static_cast<int>(call.attempts.size());
  Attempt attempt;
  attempt.sent = now;
  if (on_attempt_) attempt.server = server;
  attempt.expires = timeout > 0 ? std::min(call.deadline, now + timeout) : call.deadline;
  if (call.caller == nullptr || now >= attempt.expires) {
    call.attempts.push_back(attempt);
    loop_.Post([this, id, number] { Conclude(id, number, Result::kNeverSent); });
    return;
  }
  Egress::Order order;
  order.left = std::min(attempt.expires - now, call.budget);
  order.may_have_run = std::any_of(call.attempts.begin(), call.attempts.end(),
                                   [](const Attempt& earlier) { return earlier.may_have_run; });
  attempt.upstream = call.egress->Send(server, *call.request, order, [this, id, number](Answer answer) {
    OnAnswer(id, number, std::move(answer));
  });
  call.attempts.push_back(attempt);
  if (attempt.expires < call.deadline) Watch(id, call);
}

void Exchanges::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end() || attempt < 0 || static_cast<std::size_t>(attempt) >= it->second.attempts.size())
    return;
  it->second.egress->GiveUp(it->second.attempts[static_cast<std::size_t>(attempt)].upstream);
  loop_.Post([this, id, attempt] { Conclude(id, attempt, Result::kCancelled); });
}

void Exchanges::Refuse(std::string_view request, Micros retry_after, Cause why) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.caller == nullptr) return;
  Release(it->second, Ended::End::kRefused, why)->Refuse(retry_after);
}

void Exchanges::Fail(std::string_view request, Cause why) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.caller == nullptr) return;
  Release(it->second, Ended::End::kFailed, why)->Fail(Failure::kFailed, std::move(it->second.error));
}

void Exchanges::SetTimer(Micros delay, std::uint64_t token) {
  loop_.After(std::max<Micros>(delay, 0), [this, token] { balancer_->OnTimer(loop_.Now(), token); });
}

void Exchanges::Subscribe() { loop_.Post(subscribe_); }

void Exchanges::Log(std::string_view text) { log_(text); }

// ---- The end ----

void Exchanges::EndBy(Micros end) { end_ = end; }

void Exchanges::Hurry() {
  std::vector<std::string> ids;
  for (auto& [id, call] : calls_) {
    call.deadline = end_;
    for (Attempt& attempt : call.attempts) attempt.expires = std::min(attempt.expires, end_);
    ids.push_back(id);
  }
  for (const std::string& id : ids) OnDue(id);
}

}  // namespace merlinrun::core
