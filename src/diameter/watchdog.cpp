#include "diameter/watchdog.hpp"

#include <algorithm>

namespace merlinrun::diameter {
namespace {

constexpr Micros kMostJitter = 2'000'000;  // RFC 3539, section 3.4.1: Tw is Twinit and 2 s more or less
constexpr int kAnswersToReopen = 3;

}  // namespace

void Watchdog::Set(Micros now) {
  const Micros jitter = std::min(kMostJitter, interval_ / 3);
  const double unit = static_cast<double>(random_() >> 11) * 0x1.0p-53;
  due_ = now + interval_ - jitter + static_cast<Micros>(unit * 2 * static_cast<double>(jitter));
}

Watchdog::Order Watchdog::Ask(Micros now) {
  pending_ = true;
  Set(now);
  return Order::kSend;
}

Watchdog::Order Watchdog::OnUp(Micros now) {
  pending_ = false;
  if (state_ == State::kDown) {
    state_ = State::kReopen;
    answers_ = 0;
    return Ask(now);
  }
  state_ = State::kOkay;
  Set(now);
  return Order::kNothing;
}

void Watchdog::OnDown() {
  // One that never was up is not one that went down: it has nothing to make good.
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
      return Set(now);
    case State::kReopen:
      if (!watchdog_answer) return;
      answers_ = std::max(answers_, 0) + 1;
      if (answers_ < kAnswersToReopen) return;  // the next is asked for when the interval is over
      state_ = State::kOkay;
      return Set(now);
    case State::kInitial:
    case State::kDown:
      return;
  }
}

Watchdog::Order Watchdog::OnTimer(Micros now) {
  if (due_ == 0 || now < due_) return Order::kNothing;
  switch (state_) {
    case State::kOkay:
      if (!pending_) return Ask(now);
      state_ = State::kSuspect;
      Set(now);
      return Order::kNothing;
    case State::kReopen:
      if (!pending_) return Ask(now);
      if (answers_ >= 0) {
        answers_ = -1;
        Set(now);
        return Order::kNothing;
      }
      break;
    case State::kSuspect:
      break;
    case State::kInitial:
    case State::kDown:
      return Order::kNothing;
  }
  OnDown();
  return Order::kClose;
}

}  // namespace merlinrun::diameter
