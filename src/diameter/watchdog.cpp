#include "diameter/watchdog.hpp"

#include <algorithm>

namespace merlinrun::diameter {
namespace {

constexpr Micros kMaxJitter = 2'000'000;  // RFC 3539, section 3.4.1: Tw is Twinit +- 2 s
constexpr int kAnswersToReopen = 3;

}  // namespace

void Watchdog::StartTimer(Micros now) {
  const Micros jitter = std::min(kMaxJitter, interval_ / 3);
  const double unit = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  due_ = now + interval_ - jitter + static_cast<Micros>(unit * 2 * static_cast<double>(jitter));
}

Watchdog::Action Watchdog::SendRequest(Micros now) {
  pending_ = true;
  StartTimer(now);
  return Action::kSendRequest;
}

Watchdog::Action Watchdog::OnUp(Micros now) {
  pending_ = false;
  if (state_ == State::kDown) {
    state_ = State::kReopen;
    answers_ = 0;
    return SendRequest(now);
  }
  state_ = State::kOkay;
  StartTimer(now);
  return Action::kNone;
}

void Watchdog::OnDown() {
  // A peer that never was up starts without probation.
  if (state_ != State::kInitial) state_ = State::kDown;
  pending_ = false;
  due_ = 0;
}

void Watchdog::OnReceived(Micros now, bool watchdog_answer) {
  if (watchdog_answer) pending_ = false;
  switch (state_) {
    case State::kOkay:
    case State::kSuspect:
      state_ = State::kOkay;
      return StartTimer(now);
    case State::kReopen:
      if (!watchdog_answer) return;
      answers_ = std::max(answers_, 0) + 1;
      if (answers_ < kAnswersToReopen) return;  // the next DWR is sent when the timer expires
      state_ = State::kOkay;
      return StartTimer(now);
    case State::kInitial:
    case State::kDown:
      return;
  }
}

Watchdog::Action Watchdog::OnTimer(Micros now) {
  if (due_ == 0 || now < due_) return Action::kNone;
  switch (state_) {
    case State::kOkay:
      if (!pending_) return SendRequest(now);
      state_ = State::kSuspect;
      StartTimer(now);
      return Action::kNone;
    case State::kReopen:
      if (!pending_) return SendRequest(now);
      if (answers_ >= 0) {
        answers_ = -1;
        StartTimer(now);
        return Action::kNone;
      }
      break;
    case State::kSuspect:
      break;
    case State::kInitial:
    case State::kDown:
      return Action::kNone;
  }
  OnDown();
  return Action::kClose;
}

}  // namespace merlinrun::diameter
