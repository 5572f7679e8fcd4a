// The watchdog of RFC 3539, section 3.4.1, as a state machine without clock or socket: it tells early of a
// peer that has stopped while its connection still stands, and keeps one that has come back out of use until
// it has shown that it stays.
#ifndef MERLINRUN_DIAMETER_WATCHDOG_HPP_
#define MERLINRUN_DIAMETER_WATCHDOG_HPP_

#include <cstdint>
#include <random>

#include "merlinrun/balancer.hpp"

namespace merlinrun::diameter {

class Watchdog {
 public:
  enum class State { kInitial, kOkay, kSuspect, kDown, kReopen };
  // What its owner has to do after an event; at most one of them at a time.
  enum class Order {
    kNothing,
    kSend,   // a DWR
    kClose,  // the connection: it counts as down already
  };

  // `interval` is Tw without its jitter, in microseconds: a second at least, or six where the RFC is kept to
  // the letter (Twinit); each wait has up to two seconds of jitter, or a third of a shorter interval.
  Watchdog(Micros interval, std::uint64_t seed) : interval_(interval), random_(seed) {}

  Order OnUp(Micros now);
  void OnDown();
  // Any message that came whole.
  void OnReceived(Micros now, bool watchdog_answer);
  Order OnTimer(Micros now);
  // When OnTimer is due; 0 = never.
  Micros due() const { return due_; }

  State state() const { return state_; }
  // Whether requests may be sent: not to one that is suspect, and after it was down not before it has
  // answered three watchdogs.
  bool usable() const { return state_ == State::kOkay; }

 private:
  void Set(Micros now);
  Order Ask(Micros now);

  Micros interval_;
  std::mt19937_64 random_;
  State state_ = State::kInitial;
  bool pending_ = false;  // a DWR is out
  int answers_ = 0;       // since it was reopened; -1: the one that is out is late
  Micros due_ = 0;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_WATCHDOG_HPP_
