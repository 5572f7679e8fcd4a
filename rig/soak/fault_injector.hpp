// Injects random faults into a soak run, up to three at a time.
#ifndef FENNELHOLLOW_RIG_SOAK_FAULT_INJECTOR_HPP_
#define FENNELHOLLOW_RIG_SOAK_FAULT_INJECTOR_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/cluster.hpp"
#include "rig/soak/event_log.hpp"
#include "rig/soak/planned_work.hpp"
#include "rig/soak/task_group.hpp"

namespace fennelhollow::rig::soak {

class FaultInjector {
 public:
  // The references must outlive it.
  FaultInjector(asio::io_context& io, Cluster& cluster, ConsistencyChecker& checker,
                PlannedWork& planned_work, std::uint64_t seed, EventLog& log);

  // Injects faults for `fault_time`; returns when all are over and all processes run and are connected again.
  asio::awaitable<void> InjectFaults(milliseconds fault_time);
  // Kills and restarts all processes.
  asio::awaitable<void> KillEverything();
  std::uint64_t count() const { return count_; }

 private:
  enum class Kind {
    kKillCore,
    kKillAllCores,
    kPauseCore,
    kIsolateCore,         // from all other cores
    kIsolateCoreAll,      // from all machines
    kLoseOneWay,          // drops traffic from one core to another
    kSplitHalves,         // partitions the cores; sidecars reach both halves
    kWipeDisk,            // one core restarts with an empty disk
    kWipeDiskKillOthers,  // and all other nodes are killed at the same time
    kKillSidecar,
    kKillMostSidecars,
    kPauseSidecar,
    kCutSidecar,  // from all cores, in one or both directions
    kReplaceServer,
    kTerminateCore,
    kTerminateSidecar,
    kReloadSettings,
    kFillDisk,  // of one core: its writes fail
    kKillEverything,
  };
  static constexpr int kKinds = static_cast<int>(Kind::kKillEverything) + 1;

  asio::awaitable<void> Inject(Kind kind, milliseconds fault_time);
  asio::awaitable<void> KeepDown(std::vector<std::size_t> machines, milliseconds fault_time, bool wipe_first);
  asio::awaitable<void> KeepPaused(std::size_t machine, milliseconds fault_time);
  // Drops traffic of each pair (from, to).
  asio::awaitable<void> DropTraffic(std::vector<std::pair<std::size_t, std::size_t>> directions,
                                    milliseconds fault_time);
  asio::awaitable<void> WipeDisk(milliseconds fault_time, bool kill_others);
  asio::awaitable<bool> AllDisksRecovered();

  std::size_t AnyCore() { return random_() % cluster_.cores(); }
  std::size_t AnySidecar() { return cluster_.cores() + random_() % cluster_.sidecars(); }
  std::vector<std::size_t> Cores() const;

  asio::io_context& io_;
  Cluster& cluster_;
  PlannedWork& planned_work_;
  std::mt19937_64 random_;
  EventLog& log_;
  std::uint64_t count_ = 0;
  TaskGroup faults_;
  bool wiping_ = false;
  std::optional<std::size_t> wiped_;  // core whose disk was wiped last, until it has caught up
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_FAULT_INJECTOR_HPP_
