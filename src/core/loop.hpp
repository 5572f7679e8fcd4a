// The clock and the callbacks of the one thread that the sidecar runs on. The core and the decisions of other
// parts know time only through this, so that tests run them in virtual time.
#ifndef MERLINRUN_CORE_LOOP_HPP_
#define MERLINRUN_CORE_LOOP_HPP_

#include <functional>
#include <memory>

#include "merlinrun/balancer.hpp"

namespace merlinrun::core {

// One callback that is awaited. Destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
  // Calls `due` once, `delay` microseconds from now (at once in the next turn if that is not positive). What
  // was awaited before is not called any more, also if its time has come already.
  virtual void Start(Micros delay, std::function<void()> due) = 0;
};

class Loop {
 public:
  virtual ~Loop() = default;
  // Microseconds of a clock that never goes back; it stands for Unix time.
  virtual Micros Now() const = 0;
  // Calls `next` in a later turn of the loop, never from in here.
  virtual void Post(std::function<void()> next) = 0;
  // A timer that nobody stops.
  virtual void After(Micros delay, std::function<void()> due) = 0;
  // The loop must outlive it.
  virtual std::unique_ptr<Timer> NewTimer() = 0;
};

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_LOOP_HPP_
