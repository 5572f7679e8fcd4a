// A soak run: rounds of planned work and of random faults, each followed by a fault-free interval.
#ifndef FENNELHOLLOW_RIG_SOAK_RUN_HPP_
#define FENNELHOLLOW_RIG_SOAK_RUN_HPP_

#include <cstdint>
#include <string>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig::soak {

struct RunOptions {
  std::string program;
  std::uint64_t seed = 1;
  milliseconds length{60'000};
  std::size_t sidecars = 0;   // 0: drawn with the seed
  bool planned_only = false;  // no faults, only planned work: signals, restarts and changes
  bool verbose = false;
};

// Prints the violations with the fault history and logs. True if there were none.
bool Run(const RunOptions& options);

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_RUN_HPP_
