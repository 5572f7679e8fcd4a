// Simulates days of one scenario with several sides, paired by seed and on several threads, until a
// sequential test has a verdict on each side (better, worse, or no difference that matters) or the pair
// limit is reached. The result depends only on the scenario, the sides and the first seed, not on the number
// of threads or on resumed days.
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

#include "model/scoring.hpp"
#include "model/simulation.hpp"
#include "model/statistics.hpp"

namespace merlinrun::model {

struct ComparisonPlan {
  Scenario scenario;
  std::optional<Replay> replay;  // recorded traffic in place of synthetic traffic
  std::vector<Side> sides;       // the first is the baseline
  std::uint64_t first_seed = 1;
  std::size_t first_look = 8;  // pairs of days before the first look (interim analysis)
  std::size_t max_pairs = 64;
  double level = 0.05;        // family-wise error rate
  double min_effect = 0.002;  // smaller differences in service count as none
  unsigned threads = 1;
};

struct Difference {  // of a side to the baseline
  Verdict verdict = Verdict::kUnclear;
  std::size_t pairs = 0;
  double mean = 0;
  Interval t_interval;           // 95%, not corrected for repeated looks
  Interval bootstrap_interval;   // likewise
  Interval sequential_interval;  // valid across all looks and sides
  double p_value = 1;
  bool significant_after_holm = false;  // after Holm's correction for the number of sides
};

struct Comparison {
  std::vector<std::vector<DayResult>> days;  // by side, ordered by seed
  std::vector<Difference> differences;       // of each side after the first to the baseline
  bool stopped = false;                      // stopped before a verdict
};

// Days already simulated, by side and seed.
using CompletedDays = std::map<std::pair<std::size_t, std::uint64_t>, DayResult>;

struct RunHooks {
  const std::atomic<bool>* stop = nullptr;  // once it is true, the run ends after the days in progress
  // Called for each finished day, from one thread at a time, in no particular order.
  std::function<void(std::size_t side, const DayResult& day)> on_day;
};

Comparison Compare(const ComparisonPlan& plan, const CompletedDays& completed, const RunHooks& hooks);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_COMPARE_HPP_
