// The watchdog of RFC 3539, section 3.4.1, as a state machine without clock or socket. It detects a peer that
// has stopped responding while its connection is still open, and keeps a reopened one out of use until it has
// proved stable.
#ifndef MERLINRUN_DIAMETER_WATCHDOG_HPP_
#define MERLINRUN_DIAMETER_WATCHDOG_HPP_

#include <cstdint>
#include <random>

#include "merlinrun/balancer.hpp"

namespace merlinrun::diameter {

class Watchdog {
 public:
  enum class State { kInitial, kOkay, kSuspect, kDown, kReopen };
  // What the owner has to do after an event.
  enum class Action {
    kNone,
    kSendRequest,  // send a DWR
    kClose,        // close the connection; the state is kDown already
  };

  // `interval` is Twinit, in microseconds; RFC 3539 requires six seconds or more. Each wait has a jitter of
  // up to two seconds either way, or a third of the interval if that is less.
  Watchdog(Micros interval, std::uint64_t seed) : interval_(interval), random_(seed) {}

  Action OnUp(Micros now);
  void OnDown();
  // Any valid message was received.
  void OnReceived(Micros now, bool watchdog_answer);
  Action OnTimer(Micros now);
  // When OnTimer is due; 0 = never.
  Micros due() const { return due_; }

  State state() const { return state_; }
  // Whether requests may be sent: neither while suspect, nor after a reconnect before three watchdogs have
  // been answered.
  bool usable() const { return state_ == State::kOkay; }

 private:
  void StartTimer(Micros now);
  Action SendRequest(Micros now);

  Micros interval_;
  std::mt19937_64 random_;
  State state_ = State::kInitial;
  bool pending_ = false;  // a DWR is unanswered
  int answers_ = 0;       // answers since the reopen; -1 once a DWR has timed out
  Micros due_ = 0;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_WATCHDOG_HPP_
