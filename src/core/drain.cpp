#include "core/drain.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::core {
namespace {

constexpr Micros kMs = 1000;

// After SIGTERM: connections still come for up to 0.4 s, and the kill comes no sooner than 3.7 s.
constexpr Micros kAcceptAfterDrain = 550 * kMs;
constexpr Micros kIdleAfterDrain = 150 * kMs;  // and then so long for what was accepted last to speak
constexpr Micros kMostDrain = 3200 * kMs;
constexpr Micros kLastWords = 100 * kMs;  // for the answers given at that moment to be read
constexpr Micros kDrainPoll = 20 * kMs;

}  // namespace

Drain::Drain(Loop& loop, Exchanges& exchanges)
    : loop_(loop), exchanges_(exchanges), timer_(loop.NewTimer()) {}

void Drain::Start(std::function<void()> finished) {
  if (end_ > 0) return;
  finished_ = std::move(finished);
  end_ = loop_.Now() + kMostDrain;
  exchanges_.EndBy(end_);
  for (Front* front : fronts_) front->Drain();
  timer_->Start(kAcceptAfterDrain, [this] { StopAccepting(); });
}

void Drain::StopAccepting() {
  for (Front* front : fronts_) front->StopAccepting();
  timer_->Start(kIdleAfterDrain, [this] { CloseIdle(); });
}

void Drain::CloseIdle() {
  closing_ = true;
  for (Front* front : fronts_) front->CloseIdle();
  exchanges_.OnEmpty([this] { CheckFinished(); });
  // What would outlast the time before the kill: an answer now, if only a failure, is better than none.
  timer_->Start(std::max<Micros>(end_ - loop_.Now(), 0), [this] { exchanges_.Hurry(); });
  CheckFinished();
}

std::size_t Drain::sessions() const {
  std::size_t sum = 0;
  for (const Front* front : fronts_) sum += front->sessions();
  return sum;
}

// Guards against ending with answers still unsent: each session goes when its client has read its answer.
void Drain::CheckFinished() {
  if (!closing_ || exchanges_.held() > 0 || !finished_) return;
  if (sessions() == 0 || loop_.Now() >= end_ + kLastWords) return std::exchange(finished_, nullptr)();
  timer_->Start(kDrainPoll, [this] { CheckFinished(); });
}

}  // namespace merlinrun::core
