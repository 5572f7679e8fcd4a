#include "ops/lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::ops {
namespace {

constexpr Micros kMs = 1000;

// After SIGTERM new connections arrive for up to 0.4 s; SIGKILL follows after 3.7 s at the earliest.
constexpr Micros kAcceptAfterStop = 550 * kMs;
constexpr Micros kIdleAfterStop = 150 * kMs;  // for the last accepted connections to send a request
constexpr Micros kMaxStopTime = 3200 * kMs;
constexpr Micros kResponseReadTime = 100 * kMs;  // for clients to read the last responses
constexpr Micros kStopPoll = 20 * kMs;

// While draining: interval of the check for idle connections, and how long a new connection may stay idle.
constexpr Micros kIdlePoll = 50 * kMs;
constexpr Micros kMinIdleTime = 200 * kMs;

}  // namespace

Lifecycle::Lifecycle(core::Loop& loop, core::RequestManager& request_manager)
    : loop_(loop), request_manager_(request_manager), timer_(loop.NewTimer()) {}

void Lifecycle::SetDraining(bool draining) {
  for (core::ProtocolListener* listener : listeners_) listener->SetDraining(draining);
}

void Lifecycle::MarkReady() {
  if (state_ == State::kStarting) state_ = State::kServing;
  ready_ = true;
}

bool Lifecycle::Evacuate() {
  if (state_ == State::kStopping) return false;
  if (std::exchange(evacuated_, true) || yielded_) return true;
  state_ = State::kEvacuated;
  BeginDrain();
  return true;
}

bool Lifecycle::Rejoin() {
  if (state_ == State::kStopping) return false;
  if (!std::exchange(evacuated_, false) || yielded_) return true;
  EndDrain();
  return true;
}

void Lifecycle::EndDrain() {
  state_ = ready_ ? State::kServing : State::kStarting;
  timer_ = loop_.NewTimer();  // cancels closing idle connections
  SetDraining(false);
}

void Lifecycle::Yield() {
  if (state_ == State::kStopping || std::exchange(yielded_, true)) return;
  state_ = State::kYielding;
  for (core::ProtocolListener* listener : listeners_) listener->PauseAccepting();
  BeginDrain();
}

void Lifecycle::Resume() {
  if (state_ != State::kYielding) return;
  yielded_ = false;
  for (core::ProtocolListener* listener : listeners_) listener->ResumeAccepting();
  if (!evacuated_) return EndDrain();
  state_ = State::kEvacuated;
}

void Lifecycle::BeginDrain() {
  drain_start_ = loop_.Now();
  SetDraining(true);
  CloseIdleWhileDraining();
}

// Closes the connections that have been idle longest first. Clients reuse the most recently used connection,
// so this rarely closes one on which a request is on its way.
void Lifecycle::CloseIdleWhileDraining() {
  const Micros min_idle = std::max<Micros>(drain_start_ + kEvacuationTime - loop_.Now(), 0);
  for (core::ProtocolListener* listener : listeners_) listener->CloseIdle(std::max(min_idle, kMinIdleTime));
  if (state_ == State::kStopping &&
      (min_idle == 0 || (sessions() == 0 && request_manager_.active_requests() == 0)))
    return CloseAllIdle();
  timer_->Start(kIdlePoll, [this] { CloseIdleWhileDraining(); });
}

void Lifecycle::Stop(std::function<void()> finished) {
  if (state_ == State::kStopping) return;
  state_ = State::kStopping;
  finished_ = std::move(finished);
  stop_deadline_ = loop_.Now() + kMaxStopTime;
  request_manager_.SetShutdownDeadline(stop_deadline_);
  // The successor accepts, so there are no new connections.
  if (yielded_) return CloseIdleWhileDraining();
  SetDraining(true);
  timer_->Start(kAcceptAfterStop, [this] { StopAccepting(); });
}

void Lifecycle::StopAccepting() {
  for (core::ProtocolListener* listener : listeners_) listener->StopAccepting();
  timer_->Start(kIdleAfterStop, [this] { CloseAllIdle(); });
}

void Lifecycle::CloseAllIdle() {
  closing_idle_ = true;
  for (core::ProtocolListener* listener : listeners_) listener->CloseIdle(0);
  request_manager_.OnEmpty([this] { CheckFinished(); });
  // Requests that would outlast the kill are answered now, even if with a failure.
  timer_->Start(std::max<Micros>(stop_deadline_ - loop_.Now(), 0),
                [this] { request_manager_.EnforceShutdownDeadline(); });
  CheckFinished();
}

std::size_t Lifecycle::sessions() const {
  std::size_t sum = 0;
  for (const core::ProtocolListener* listener : listeners_) sum += listener->sessions();
  return sum;
}

// Waits until clients have read their responses, which ends their sessions.
void Lifecycle::CheckFinished() {
  if (!closing_idle_ || request_manager_.active_requests() > 0 || !finished_) return;
  if (sessions() == 0 || loop_.Now() >= stop_deadline_ + kResponseReadTime)
    return std::exchange(finished_, nullptr)();
  timer_->Start(kStopPoll, [this] { CheckFinished(); });
}

}  // namespace merlinrun::ops
