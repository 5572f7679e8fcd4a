// Simulated disk of a core: synced state survives; a write in progress at a crash is kept or lost.
#ifndef FENNELHOLLOW_RIG_SIM_DISK_HPP_
#define FENNELHOLLOW_RIG_SIM_DISK_HPP_

#include <optional>

#include "mesh/consensus/replica.hpp"
#include "rig/sim/event_queue.hpp"

namespace fennelhollow::sim {

struct Disk {
  static constexpr Micros kWriteTime = 2 * kMillisecond;  // two commits

  std::optional<consensus::PersistentState> synced;
  std::optional<consensus::PersistentState> in_progress;
  Micros write_time = kWriteTime;
  Micros stalled_until = 0;
  bool full = false;

  // The process was killed or lost power.
  void InterruptWrite(bool kept) {
    if (kept && in_progress) synced = in_progress;
    in_progress.reset();
  }
  void Wipe() {
    synced.reset();
    in_progress.reset();
  }
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_DISK_HPP_
