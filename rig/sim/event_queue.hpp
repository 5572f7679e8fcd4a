// Virtual time: runs events in order of time, then of insertion.
#ifndef FENNELHOLLOW_RIG_SIM_EVENT_QUEUE_HPP_
#define FENNELHOLLOW_RIG_SIM_EVENT_QUEUE_HPP_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace fennelhollow::sim {

using merlinrun::Micros;

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1'000'000;

class EventQueue {
 public:
  Micros now() const { return now_; }

  void At(Micros when, std::function<void()> what) {
    events_.push({std::max(when, now_), ++sequence_, std::move(what)});
  }

  void RunUntil(Micros end) {
    while (!events_.empty() && events_.top().when <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      event.what();
    }
    now_ = end;
  }

 private:
  struct Event {
    Micros when;
    std::uint64_t sequence;
    std::function<void()> what;
    bool operator<(const Event& other) const {
      return std::pair(when, sequence) > std::pair(other.when, other.sequence);
    }
  };
  Micros now_ = kSecond;
  std::uint64_t sequence_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_EVENT_QUEUE_HPP_
