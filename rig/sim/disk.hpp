// A core's disk: what was synced stays; a write under way when the power goes is kept or lost.
#ifndef FENNELHOLLOW_RIG_SIM_DISK_HPP_
#define FENNELHOLLOW_RIG_SIM_DISK_HPP_

#include <optional>

#include "mesh/consensus/replica.hpp"
#include "rig/sim/event_queue.hpp"

namespace fennelhollow::sim {

struct Disk {
  static constexpr Micros kWriteTakes = 2 * kMillisecond;  // two commits

  std::optional<consensus::PersistentState> synced;
  std::optional<consensus::PersistentState> under_way;
  Micros write_takes = kWriteTakes;
  Micros stalled_until = 0;
  bool full = false;

  // The process ends in the midst of a write, or the power goes.
  void CutShort(bool kept) {
    if (kept && under_way) synced = under_way;
    under_way.reset();
  }
  void Lose() {
    synced.reset();
    under_way.reset();
  }
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_DISK_HPP_
