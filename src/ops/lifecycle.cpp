#include "ops/lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::ops {
namespace {

constexpr Micros kMs = 1000;

// After SIGTERM: connections still come for up to 0.4 s, and the kill comes no sooner than 3.7 s.
constexpr Micros kAcceptAfterStop = 550 * kMs;
constexpr Micros kIdleAfterStop = 150 * kMs;  // and then so long for what was accepted last to speak
constexpr Micros kMostStop = 3200 * kMs;
constexpr Micros kLastWords = 100 * kMs;  // for the answers given at that moment to be read
constexpr Micros kStopPoll = 20 * kMs;

// While evacuated: how often idle connections are looked at, and how long one that has just come may say
// nothing, as new ones still come for a moment.
constexpr Micros kIdlePoll = 50 * kMs;
constexpr Micros kLeastRest = 200 * kMs;

}  // namespace

Phase::Phase(core::Loop& loop, core::RequestManager& request_manager)
    : loop_(loop), request_manager_(request_manager), timer_(loop.NewTimer()) {}

void Phase::SetDraining(bool draining) {
  for (core::ProtocolListener* front : fronts_) front->SetDraining(draining);
}

void Phase::Started() {
  if (state_ == State::kStarting) state_ = State::kServing;
  started_ = true;
}

bool Phase::Evacuate() {
  if (state_ == State::kStopping) return false;
  if (std::exchange(away_, true) || yielded_) return true;
  state_ = State::kEvacuated;
  BeginEnding();
  return true;
}

bool Phase::Rejoin() {
  if (state_ == State::kStopping) return false;
  if (!std::exchange(away_, false) || yielded_) return true;
  LeaveDrain();
  return true;
}

void Phase::LeaveDrain() {
  state_ = started_ ? State::kServing : State::kStarting;
  timer_ = loop_.NewTimer();  // nothing more is closed
  SetDraining(false);
}

void Phase::Yield() {
  if (state_ == State::kStopping || std::exchange(yielded_, true)) return;
  state_ = State::kYielding;
  for (core::ProtocolListener* front : fronts_) front->PauseAccepting();
  BeginEnding();
}

void Phase::Resume() {
  if (state_ != State::kYielding) return;
  yielded_ = false;
  for (core::ProtocolListener* front : fronts_) front->ResumeAccepting();
  if (!away_) return LeaveDrain();
  state_ = State::kEvacuated;
}

void Phase::BeginEnding() {
  ending_ = loop_.Now();
  SetDraining(true);
  EndIdle();
}

// Those that have rested longest go first: guards against closes that cross a request, as clients use the
// connection that they used last.
void Phase::EndIdle() {
  const Micros left = std::max<Micros>(ending_ + kEvacuated - loop_.Now(), 0);
  for (core::ProtocolListener* front : fronts_) front->CloseIdle(std::max(left, kLeastRest));
  if (state_ == State::kStopping &&
      (left == 0 || (sessions() == 0 && request_manager_.active_requests() == 0)))
    return CloseIdle();
  timer_->Start(kIdlePoll, [this] { EndIdle(); });
}

void Phase::Stop(std::function<void()> finished) {
  if (state_ == State::kStopping) return;
  state_ = State::kStopping;
  finished_ = std::move(finished);
  end_ = loop_.Now() + kMostStop;
  request_manager_.SetShutdownDeadline(end_);
  // The queue is the other process's, and nothing new comes.
  if (yielded_) return EndIdle();
  SetDraining(true);
  timer_->Start(kAcceptAfterStop, [this] { StopAccepting(); });
}

void Phase::StopAccepting() {
  for (core::ProtocolListener* front : fronts_) front->StopAccepting();
  timer_->Start(kIdleAfterStop, [this] { CloseIdle(); });
}

void Phase::CloseIdle() {
  closing_ = true;
  for (core::ProtocolListener* front : fronts_) front->CloseIdle(0);
  request_manager_.OnEmpty([this] { CheckFinished(); });
  // What would outlast the time before the kill: an answer now, if only a failure, is better than none.
  timer_->Start(std::max<Micros>(end_ - loop_.Now(), 0),
                [this] { request_manager_.EnforceShutdownDeadline(); });
  CheckFinished();
}

std::size_t Phase::sessions() const {
  std::size_t sum = 0;
  for (const core::ProtocolListener* front : fronts_) sum += front->sessions();
  return sum;
}

// Guards against ending with answers still unsent: each session goes when its client has read its answer.
void Phase::CheckFinished() {
  if (!closing_ || request_manager_.active_requests() > 0 || !finished_) return;
  if (sessions() == 0 || loop_.Now() >= end_ + kLastWords) return std::exchange(finished_, nullptr)();
  timer_->Start(kStopPoll, [this] { CheckFinished(); });
}

}  // namespace merlinrun::ops
