// Pending long polls of a core's events (GET /-/Events.Read). No I/O; not thread-safe.
#ifndef FENNELHOLLOW_MESH_NODE_EVENT_WAITERS_HPP_
#define FENNELHOLLOW_MESH_NODE_EVENT_WAITERS_HPP_

#include <cstdint>
#include <functional>
#include <list>

#include "mesh/control/command.hpp"
#include "mesh/push/events.hpp"

namespace fennelhollow::node {

using merlinrun::Micros;

class EventWaiters {
 public:
  using Reply = std::function<void(control::Response)>;

  // `events` must outlive it.
  explicit EventWaiters(const push::EventLog& events) : events_(events) {}

  // Replies at once if there is a newer event, the call sets no wait, or too many calls are already waiting.
  void OnCall(Micros now, const control::ReadEvents& call, Reply reply);
  // Replies to the calls that have a newer event or whose wait is over.
  void OnTick(Micros now);
  // Replies to all waiting calls; later calls are answered at once.
  void Stop();

 private:
  struct Waiter {
    std::uint64_t epoch = 0, since = 0;
    Micros deadline = 0;
    Reply reply;
  };
  const push::EventLog& events_;
  std::list<Waiter> waiters_;
  bool stopped_ = false;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_EVENT_WAITERS_HPP_
