// Simulates one day of the fleet in virtual time: clients, network, servers, service discovery and incidents,
// with the sidecars of one side in between. The same scenario and seed give every side the same random
// events; see random.hpp.
#ifndef MERLINRUN_MODEL_SIMULATION_HPP_
#define MERLINRUN_MODEL_SIMULATION_HPP_

#include "model/replay.hpp"
#include "model/scenario.hpp"
#include "model/scoring.hpp"
#include "model/sidecars.hpp"

namespace merlinrun::model {

// One side of a comparison. Sides may differ in the balancer's tuning, in whether sidecars are told about
// cold starts (`cold_care`) and warm keys (`warm_care`), and in the build that decides (`make_sidecars`).
struct Side {
  std::string name = "now";
  SidecarsFactory make_sidecars = MakeInProcessSidecars;
  Tuning tuning;
  bool cold_care = true;
  bool warm_care = true;
  std::uint64_t salt = 0;  // of the sidecars' random seeds: sides that differ only here are equivalent
};

// Simulates the day with this seed. `replay`: recorded traffic in place of synthetic traffic; null for
// synthetic.
DayResult SimulateDay(const Scenario& scenario, std::uint64_t seed, const Side& side,
                      const Replay* replay = nullptr);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SIMULATION_HPP_
