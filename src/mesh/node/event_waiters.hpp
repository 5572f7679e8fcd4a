// Readers of a core's events (GET /-/Events.Read) that wait for the next one. Free of I/O; one thread.
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

  // Answered at once if there is an event, the call doesn't wait, or too many wait.
  void OnCall(Micros now, const control::ReadEvents& call, Reply reply);
  void OnTick(Micros now);
  // Answers all, now and from now on at once.
  void Stop();

 private:
  struct Waiter {
    std::uint64_t epoch = 0, since = 0;
    Micros until = 0;
    Reply reply;
  };
  const push::EventLog& events_;
  std::list<Waiter> waiters_;
  bool stopped_ = false;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_EVENT_WAITERS_HPP_
