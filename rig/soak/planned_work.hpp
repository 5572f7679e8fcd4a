// Planned work on a soak run's nodes: SIGTERM and restart, SIGHUP, in series and overlapping.
#ifndef FENNELHOLLOW_RIG_SOAK_PLANNED_WORK_HPP_
#define FENNELHOLLOW_RIG_SOAK_PLANNED_WORK_HPP_

#include <cstdint>
#include <random>

#include "rig/soak/cluster.hpp"
#include "rig/soak/event_log.hpp"
#include "rig/soak/task_group.hpp"

namespace fennelhollow::rig::soak {

class PlannedWork {
 public:
  // The references must outlive it.
  PlannedWork(asio::io_context& io, Cluster& cluster, ConsistencyChecker& checker, std::uint64_t seed,
              EventLog& log);

  // Works for `length`; returns when all nodes run again.
  asio::awaitable<void> Run(milliseconds length);
  // Sends SIGTERM to a node, waits for its end and starts it again. A node that is still there at the end of
  // the grace period is killed and, if `strict`, reported.
  asio::awaitable<void> TerminateAndRestart(std::size_t machine, bool strict);
  // Gives nodes a settings file with their seeds in another order, and SIGHUP.
  void ReloadSomeSettings();

  std::uint64_t terminations() const { return terminations_; }
  std::uint64_t reloads() const { return reloads_; }
  // Of the terminated nodes, those that were started again before they had ended.
  std::uint64_t successors() const { return successors_; }

 private:
  // Waits until the process handles signals or has ended. False, and a violation, if it takes too long.
  asio::awaitable<bool> HandlesSignalsInTime(std::size_t machine);
  // Restarts sidecars in waves, one after the other, until the time is over.
  asio::awaitable<void> TerminateSidecars();
  asio::awaitable<void> TerminateCores();
  asio::awaitable<void> ReloadSettings();
  asio::awaitable<void> RestartBeforeEnd(std::size_t machine, Clock::time_point end);
  asio::awaitable<void> Wave(std::size_t count);
  milliseconds RandomTime(milliseconds max) { return milliseconds(random_() % max.count()); }

  asio::io_context& io_;
  Cluster& cluster_;
  ConsistencyChecker& checker_;
  std::mt19937_64 random_;
  EventLog& log_;
  Clock::time_point until_;
  TaskGroup tasks_;
  std::uint64_t terminations_ = 0, reloads_ = 0, successors_ = 0;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_PLANNED_WORK_HPP_
