// Plays days of one scenario with several sides on all cores, in pairs of the same seed, until it is clear
// which serves better or that it can't be told. What it says depends on the scenario, the sides and the first
// seed alone: not on how many threads there are, nor on what was resumed.
#ifndef MERLINRUN_MODEL_COMPARE_HPP_
#define MERLINRUN_MODEL_COMPARE_HPP_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "model/judge.hpp"
#include "model/statistics.hpp"
#include "model/world.hpp"

namespace merlinrun::model {

struct Plan {
  Scenario scenario;
  std::optional<Replay> replay;  // the traffic, in place of the scenario's own
  std::vector<Side> sides;       // the first is the base, which the others are compared with
  std::uint64_t first_seed = 1;
  std::size_t first_look = 8;  // pairs
  std::size_t most_pairs = 64;
  double level = 0.05;     // chance of calling any side different that is not
  double matters = 0.002;  // a difference in service below it is none
  unsigned threads = 1;
};

struct Difference {  // of a side to the base
  Verdict verdict = Verdict::kUnclear;
  std::size_t pairs = 0;
  double mean = 0;
  Interval t;          // 95 in 100, as if no look had been taken before
  Interval bootstrap;  // the same
  Interval kept;       // holds through all looks, and for all sides compared, at once
  double p = 1;
  bool holds_after_holm = false;  // p, corrected for the number of sides
};

struct Comparison {
  std::vector<std::vector<DayResult>> days;  // by side, in the order of the seeds
  std::vector<Difference> differences;       // of the sides after the base
  bool stopped = false;                      // it was asked to end before it was clear
};

// Days that were played already, by side and seed.
using Known = std::map<std::pair<std::size_t, std::uint64_t>, DayResult>;

struct Watching {
  const std::atomic<bool>* stop = nullptr;  // set: ends as soon as the days under way are over
  // Called for each day as it ends, from one thread at a time, in no particular order.
  std::function<void(std::size_t side, const DayResult& day)> on_day;
};

Comparison Compare(const Plan& plan, const Known& known, const Watching& watching);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_COMPARE_HPP_
