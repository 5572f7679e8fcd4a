// The event loop: clock, timers and callbacks of the sidecar's thread. Tests replace it by one with virtual
// time.
#ifndef MERLINRUN_CORE_LOOP_HPP_
#define MERLINRUN_CORE_LOOP_HPP_

#include <functional>
#include <memory>

#include "merlinrun/balancer.hpp"

namespace merlinrun::core {

// A one-shot timer. Destroying it cancels the callback.
class Timer {
 public:
  virtual ~Timer() = default;
  // Calls `due` once after `delay` microseconds (in the next turn of the loop if that is not positive).
  // Replaces the pending callback, even if that is already due.
  virtual void Start(Micros delay, std::function<void()> due) = 0;
};

class Loop {
 public:
  virtual ~Loop() = default;
  // Unix time in microseconds; never goes back.
  virtual Micros Now() const = 0;
  // Calls `next` in a later turn of the loop.
  virtual void Post(std::function<void()> next) = 0;
  // A timer that can't be cancelled.
  virtual void After(Micros delay, std::function<void()> due) = 0;
  // The loop must outlive the timer.
  virtual std::unique_ptr<Timer> NewTimer() = 0;
};

}  // namespace merlinrun::core

#endif  // MERLINRUN_CORE_LOOP_HPP_
