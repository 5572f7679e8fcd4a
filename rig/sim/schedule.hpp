// A simulated run as a value: one seed and a list of faults give one history, byte for byte.
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
  kKill,      // SIGKILL of a core, back after `lasts`
  kPower,     // a core loses power
  kWipe,      // and its disk
  kFreeze,    // a core stands still
  kCutCores,  // a core is cut off from the other cores, both ways
  kCutAll,    // and from all sidecars
  kCutIn,     // hears no other core
  kCutOut,    // is not heard by any
  kCutPair,   // one core and the next are cut off from the others
  kReset,     // half of a core's links are reset
  kDiskSlow,  // 30 times as slow
  kDiskStall,
  kDiskFull,
  kTerminate,       // SIGTERM, starts again after `lasts`
  kReplacePlanned,  // a new core, SIGTERM to an old one after `lasts`, which never comes back
  kReplaceGone,     // a core goes for good, a new one comes after `lasts`
  kKillAll,
  kPowerAll,
  kPowerOnAck,  // the core that acknowledges next loses power
  kWipeOnAck,   // a core loses its disk when the next acknowledgement is given
  kSidecarKill,
  kSidecarFreeze,
  kAnswersLost,  // of operators
  kSlowLinks,    // between all machines: 20 ms and more each way
  kCount,        // not a kind
};
inline constexpr int kFaultKinds = static_cast<int>(FaultKind::kCount);
const char* NameOf(FaultKind kind);

struct Fault {
  Micros at = 0;  // from the start of the run
  FaultKind kind = FaultKind::kKill;
  int target =
      0;  // of the cores (or sidecars) that there are then, modulo their number; kAtLeader: the leader
  Micros lasts = 0;
};
inline constexpr int kAtLeader = -1;

struct Schedule {
  std::uint64_t seed = 1;
  int cores = 3;
  int sidecars = 6;
  int operators = 3;
  Micros length = 30 * kSecond;
  std::vector<Fault> faults;  // by time
};

// A swarm: each seed draws which kinds of faults it has at all, then their times.
Schedule Draw(std::uint64_t seed);

// One line a fault, "at_ms kind target lasts_ms"; first "seed N cores N sidecars N operators N length_ms N".
std::string Write(const Schedule& schedule);
std::optional<Schedule> Read(std::string_view text);

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_SCHEDULE_HPP_
