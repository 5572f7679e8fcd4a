// One soak run: storms of drawn faults, and after each a calm time in which everything has to hold again.
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
  bool talkative = false;
};

// Prints what was broken, with the story of the run and its logs. True if nothing was.
bool Run(const RunOptions& options);

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_RUN_HPP_
