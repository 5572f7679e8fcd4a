// A fault schedule: the seed and the list of faults determine the history of a run exactly.
#ifndef FENNELHOLLOW_RIG_SIM_SCHEDULE_HPP_
#define FENNELHOLLOW_RIG_SIM_SCHEDULE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rig/sim/event_queue.hpp"

namespace fennelhollow::sim {

enum class FaultKind {
  kKill,      // SIGKILL of a core, restarted after `duration`
  kPower,     // a core loses power
  kWipe,      // a core loses power and its disk
  kFreeze,    // a core is paused
  kCutCores,  // a core is partitioned from the other cores
  kCutAll,    // and from all sidecars
  kCutIn,     // inbound traffic from other cores is cut
  kCutOut,    // outbound traffic to other cores is cut
  kCutPair,   // one core and the next are partitioned from the others
  kReset,     // half of a core's links are reset
  kDiskSlow,  // 30 times slower
  kDiskStall,
  kDiskFull,
  kTerminate,       // SIGTERM, restarted after `duration`
  kReplacePlanned,  // a new core joins, an old one gets SIGTERM after `duration` and does not return
  kReplaceGone,     // a core is lost for good, a new one joins after `duration`
  kKillAll,
  kPowerAll,
  kPowerOnAck,  // the next core to acknowledge a change loses power
  kWipeOnAck,   // a core loses its disk at the next acknowledgement
  kSidecarKill,
  kSidecarFreeze,
  kResponsesLost,  // responses to operators
  kSlowLinks,      // 20 ms and more in each direction between all machines
  kCount,          // number of kinds
};
inline constexpr int kFaultKinds = static_cast<int>(FaultKind::kCount);
const char* NameOf(FaultKind kind);

struct Fault {
  Micros at = 0;  // from the start of the run
  FaultKind kind = FaultKind::kKill;
  int target = 0;  // index into the current cores (or sidecars), modulo their number; or kAtLeader
  Micros duration = 0;
};
inline constexpr int kAtLeader = -1;

struct Schedule {
  std::uint64_t seed = 1;
  int cores = 3;
  int sidecars = 6;
  int operators = 3;
  Micros length = 30 * kSecond;
  std::vector<Fault> faults;  // ordered by time
};

// Generates a schedule: the seed selects a subset of fault kinds, then their times.
Schedule Draw(std::uint64_t seed);

// Text format: a line "seed N cores N sidecars N operators N length_ms N", then one line per fault:
// "at_ms kind target duration_ms".
std::string Write(const Schedule& schedule);
std::optional<Schedule> Read(std::string_view text);

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_SCHEDULE_HPP_
