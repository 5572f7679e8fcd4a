#include "core/request_manager.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace merlinrun::core {
namespace {

constexpr Micros kMs = 1000;

// The final response is sent this long before the client's deadline, so that it arrives in time even if the
// loop is busy. For short budgets the margin is limited to this share of the budget.
constexpr Micros kResponseMargin = 40 * kMs;
constexpr double kMaxMarginShare = 0.2;

}  // namespace

bool RequestManager::ActiveRequest::HasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
}

RequestManager::RequestManager(Loop& loop, const Settings& settings, std::uint64_t seed,
                               std::function<void()> subscribe, std::function<void(std::string_view)> log)
    : loop_(loop), settings_(settings), subscribe_(std::move(subscribe)), log_(std::move(log)) {
  std::string error;
  balancer_ = Balancer::Create(settings_, seed, loop_.Now(), *this, error);
  if (balancer_ == nullptr) throw std::invalid_argument(error);
}

RequestManager::~RequestManager() = default;

void RequestManager::OnServers(const ListUpdate& update) { balancer_->OnServers(loop_.Now(), update); }

// ---- Requests ----

// Time left for the final response: the client's timeout, at most the deadline of the request class.
Micros RequestManager::BudgetOf(const IncomingRequest& incoming) const {
  Micros budget = settings_.classes[static_cast<std::size_t>(incoming.request_class)].deadline;
  if (incoming.client_timeout)
    budget = budget > 0 ? std::min(budget, *incoming.client_timeout) : *incoming.client_timeout;
  budget -= std::min(kResponseMargin, static_cast<Micros>(kMaxMarginShare * static_cast<double>(budget)));
  return shutdown_deadline_ > 0 ? std::clamp<Micros>(shutdown_deadline_ - loop_.Now(), 0, budget) : budget;
}

void RequestManager::Submit(IncomingRequest incoming) {
  const Micros now = loop_.Now();
  const Micros budget = BudgetOf(incoming);
  const std::string& id = incoming.id;

  ActiveRequest& active = requests_[id];
  active.request = std::move(incoming.request);
  active.response_sink = std::move(incoming.response_sink);
  active.egress = incoming.egress;
  active.request_class = incoming.request_class;
  active.deadline = now + incoming.upload_time + budget;
  active.budget = budget;
  active.timer = loop_.NewTimer();
  ArmTimer(id, active);
  if (on_request_completed_) {
    active.record = std::make_unique<CompletionRecord>();
    active.record->key = incoming.key;
    CompletedRequest& completed = active.record->completed;
    completed.request_class = incoming.request_class;
    completed.protocol = incoming.protocol;
    completed.is_retry = incoming.is_retry;
    completed.arrival_time = now;
    completed.budget = budget;
  }

  Request in;
  in.id = id;
  in.request_class = incoming.request_class;
  in.tenant = incoming.tenant;
  in.budget = budget;
  in.upload_time = incoming.upload_time;
  in.is_retry = incoming.is_retry;
  in.write = incoming.write;
  in.cost = incoming.cost;
  in.key = incoming.key;
  in.protocol = incoming.protocol;
  balancer_->OnRequest(now, in);
  EraseEnded();
}

void RequestManager::OnUploadComplete(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.response_sink == nullptr) return;
  ActiveRequest& active = it->second;
  const Micros now = loop_.Now();
  if (shutdown_deadline_ > 0) active.budget = std::clamp<Micros>(shutdown_deadline_ - now, 0, active.budget);
  active.deadline = now + active.budget;
  for (Attempt& attempt : active.attempts) {
    if (!attempt.in_flight) continue;
    attempt.sent = now;
    attempt.expires = active.deadline;
  }
  ArmTimer(id, active);
  balancer_->OnUploadComplete(now, id, active.budget);
  EraseEnded();
}

void RequestManager::OnClientGone(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  TakeSink(it->second, CompletedRequest::Disposition::kClientGone);
  balancer_->OnClientGone(loop_.Now(), id);
  EraseEnded();
  EraseIfComplete(id);
}

void RequestManager::OnAttemptResult(const std::string& id, int attempt, AttemptResult attempt_result) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  if (attempt_result.result == Result::kSuccess && it->second.response_sink != nullptr)
    TakeSink(it->second, CompletedRequest::Disposition::kServed)->Deliver(std::move(attempt_result.message));
  else if (attempt_result.result == Result::kError)
    it->second.error = std::move(attempt_result.message);
  FinishAttempt(id, attempt, attempt_result.result, attempt_result.cannot_retry);
}

// Reports the result of an attempt to the balancer, once.
void RequestManager::FinishAttempt(const std::string& id, int attempt, Result result, bool cannot_retry) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  Attempt& ended = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(ended.in_flight, false)) return;
  ended.may_have_run = result != Result::kUnreachable && result != Result::kNeverSent &&
                       (result != Result::kRefused || settings_.refused_may_have_run);
  const Micros now = loop_.Now();
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed = std::max<Micros>(now - ended.sent, 0);
  outcome.request_done = it->second.response_sink == nullptr;
  outcome.body_consumed = cannot_retry;
  if (on_attempt_completed_)
    on_attempt_completed_({ended.server, result, outcome.elapsed, it->second.request_class});
  balancer_->OnOutcome(now, outcome);
  EraseEnded();
  EraseIfComplete(id);
}

// Sets the request's timer to the earliest attempt timeout or to its deadline.
void RequestManager::ArmTimer(const std::string& id, ActiveRequest& active) {
  Micros due = active.deadline;
  for (const Attempt& attempt : active.attempts)
    if (attempt.in_flight) due = std::min(due, attempt.expires);
  active.timer->Start(std::max<Micros>(due - loop_.Now(), 0), [this, id] { OnTimerExpired(id); });
}

void RequestManager::OnTimerExpired(const std::string& id) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  const Micros now = loop_.Now();
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    const Attempt& attempt = it->second.attempts[i];
    if (!attempt.in_flight || now < attempt.expires) continue;
    it->second.egress->CancelAttempt(attempt.egress_id);
    FinishAttempt(id, static_cast<int>(i), Result::kTimeout);
    it = requests_.find(id);
    if (it == requests_.end()) return;
  }
  if (now >= it->second.deadline && it->second.response_sink != nullptr) {
    // The balancer normally ends requests before this. Ensures a response if it does not.
    TakeSink(it->second, CompletedRequest::Disposition::kFailed)
        ->Fail(FailureReason::kDeadlineExceeded, nullptr);
    balancer_->OnClientGone(now, id);
    EraseEnded();
    return EraseIfComplete(id);
  }
  if (now < it->second.deadline) ArmTimer(id, it->second);
}

std::unique_ptr<ResponseSink> RequestManager::TakeSink(ActiveRequest& active,
                                                       CompletedRequest::Disposition disposition,
                                                       std::optional<Cause> why) {
  if (active.record != nullptr && active.response_sink != nullptr) {
    active.record->completed.disposition = disposition;
    active.record->completed.end_cause = why;
    active.record->completed.duration = loop_.Now() - active.record->completed.arrival_time;
  }
  return std::exchange(active.response_sink, nullptr);
}

void RequestManager::EraseIfComplete(const std::string& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.response_sink != nullptr || it->second.HasAttemptInFlight()) return;
  if (const auto& record = it->second.record; record != nullptr) {
    record->completed.id = id;
    record->completed.key = record->key;
    record->completed.attempts = it->second.attempts.size();
    on_request_completed_(record->completed);
  }
  requests_.erase(it);
  if (requests_.empty() && on_empty_) on_empty_();
}

void RequestManager::EraseEnded() {
  for (const std::string& id : std::exchange(ended_, {})) EraseIfComplete(id);
}

// ---- ActionSink; must not call back into the balancer ----

void RequestManager::Send(std::string_view request, const std::string& server, Micros timeout) {
  const std::string id(request);
  const auto it = requests_.find(id);
  if (it == requests_.end()) return;
  ActiveRequest& active = it->second;
  const Micros now = loop_.Now();
  const int number = static_cast<int>(active.attempts.size());
  Attempt attempt;
  attempt.sent = now;
  if (on_attempt_completed_) attempt.server = server;
  attempt.expires = timeout > 0 ? std::min(active.deadline, now + timeout) : active.deadline;
  if (active.response_sink == nullptr || now >= attempt.expires) {
    active.attempts.push_back(attempt);
    loop_.Post([this, id, number] { FinishAttempt(id, number, Result::kNeverSent); });
    return;
  }
  Egress::SendOptions options;
  options.response_timeout = std::min(attempt.expires - now, active.budget);
  options.may_have_run = std::any_of(active.attempts.begin(), active.attempts.end(),
                                     [](const Attempt& earlier) { return earlier.may_have_run; });
  attempt.egress_id =
      active.egress->Send(server, *active.request, options, [this, id, number](AttemptResult attempt_result) {
        OnAttemptResult(id, number, std::move(attempt_result));
      });
  active.attempts.push_back(attempt);
  if (attempt.expires < active.deadline) ArmTimer(id, active);
}

void RequestManager::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const auto it = requests_.find(id);
  if (it == requests_.end() || attempt < 0 || static_cast<std::size_t>(attempt) >= it->second.attempts.size())
    return;
  it->second.egress->CancelAttempt(it->second.attempts[static_cast<std::size_t>(attempt)].egress_id);
  loop_.Post([this, id, attempt] { FinishAttempt(id, attempt, Result::kCancelled); });
}

void RequestManager::Refuse(std::string_view request, Micros retry_after, Cause why) {
  const auto it = requests_.find(std::string(request));
  if (it == requests_.end() || it->second.response_sink == nullptr) return;
  ended_.push_back(it->first);
  TakeSink(it->second, CompletedRequest::Disposition::kRefused, why)->Refuse(retry_after);
}

void RequestManager::Fail(std::string_view request, Cause why) {
  const auto it = requests_.find(std::string(request));
  if (it == requests_.end() || it->second.response_sink == nullptr) return;
  ended_.push_back(it->first);
  TakeSink(it->second, CompletedRequest::Disposition::kFailed, why)
      ->Fail(FailureReason::kNoSafeRetry, std::move(it->second.error));
}

void RequestManager::SetTimer(Micros delay, std::uint64_t token) {
  loop_.After(std::max<Micros>(delay, 0), [this, token] {
    balancer_->OnTimer(loop_.Now(), token);
    EraseEnded();
  });
}

void RequestManager::Subscribe() { loop_.Post(subscribe_); }

void RequestManager::Log(std::string_view text) { log_(text); }

// ---- Shutdown ----

void RequestManager::SetShutdownDeadline(Micros deadline) { shutdown_deadline_ = deadline; }

void RequestManager::EnforceShutdownDeadline() {
  std::vector<std::string> ids;
  for (auto& [id, active] : requests_) {
    active.deadline = shutdown_deadline_;
    for (Attempt& attempt : active.attempts) attempt.expires = std::min(attempt.expires, shutdown_deadline_);
    ids.push_back(id);
  }
  for (const std::string& id : ids) OnTimerExpired(id);
}

}  // namespace merlinrun::core
