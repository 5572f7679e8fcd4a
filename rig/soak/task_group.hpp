// Coroutines that run beside their owner, which waits for all of them. Not thread-safe.
#ifndef FENNELHOLLOW_RIG_SOAK_TASK_GROUP_HPP_
#define FENNELHOLLOW_RIG_SOAK_TASK_GROUP_HPP_

#include <cstddef>
#include <string>

#include "rig/soak/consistency_checker.hpp"

namespace fennelhollow::rig::soak {

class TaskGroup {
 public:
  // The references must outlive it, and it must outlive its tasks.
  TaskGroup(asio::io_context& io, ConsistencyChecker& checker) : io_(io), checker_(checker) {}

  // Starts `task`. If it ends with an exception, that is a violation, which names it.
  void Spawn(const std::string& name, asio::awaitable<void> task);
  std::size_t running() const { return running_; }
  // Returns once no task runs.
  asio::awaitable<void> Wait();

 private:
  asio::io_context& io_;
  ConsistencyChecker& checker_;
  std::size_t running_ = 0;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_TASK_GROUP_HPP_
