// One day of the fleet in virtual time: clients, network, servers, discovery and troubles, with the sidecars
// of one side in between. The same scenario and seed are the same world for every side: whatever chance
// decides is drawn by what it concerns, see random.hpp.
#ifndef MERLINRUN_MODEL_WORLD_HPP_
#define MERLINRUN_MODEL_WORLD_HPP_

#include "model/judge.hpp"
#include "model/replay.hpp"
#include "model/scenario.hpp"
#include "model/sidecars.hpp"

namespace merlinrun::model {

// Plays the day of `seed`. `tuning` goes to the sidecars with their settings; `cold_care` says whether they
// are told that servers start cold, `warm_care` whether that servers keep keys warm; all for sides that
// differ.
struct Side {
  std::string name = "now";
  MakeSidecars make = InProcess;
  Tuning tuning;
  bool cold_care = true;
  bool warm_care = true;
  std::uint64_t salt = 0;  // of the sidecars' own chance: sides that differ in it alone are equal
};

// `replay`: the traffic, in place of the scenario's own; null: that.
DayResult PlayDay(const Scenario& scenario, std::uint64_t seed, const Side& side,
                  const Replay* replay = nullptr);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_WORLD_HPP_
