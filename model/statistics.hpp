// Statistics of paired runs: confidence intervals, sequential testing and correction for multiple
// comparisons.
#ifndef MERLINRUN_MODEL_STATISTICS_HPP_
#define MERLINRUN_MODEL_STATISTICS_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace merlinrun::model {

// Error level of the reported 95% intervals, which are not corrected for repeated looks.
constexpr double kReportLevel = 0.05;

struct Interval {
  double low = 0;
  double high = 0;
  bool Contains(double value) const { return low <= value && value <= high; }
};

double Mean(const std::vector<double>& values);

// Student's t confidence interval for the population mean. `level`: the probability of not containing it,
// above 0. Needs at least two values.
Interval TInterval(const std::vector<double>& values, double level);

// Bootstrap-t confidence interval (Efron and Tibshirani, An Introduction to the Bootstrap, 12.5), which
// doesn't assume normal values. The plain percentile bootstrap has too little coverage for few values. The
// same seed gives the same interval.
Interval BootstrapInterval(const std::vector<double>& values, double level, std::uint64_t seed);

// Two-sided p-value of the hypothesis that the mean is 0. 1 if all values are 0.
double PValue(const std::vector<double>& values);

// Holm's step-down procedure (1979): which hypotheses are rejected at a family-wise error rate of `level`.
std::vector<bool> Holm(const std::vector<double>& p_values, double level);

// Group-sequential testing of paired differences: when to look, and the significance level of each look, such
// that the overall type I error rate stays at `level`. Uses the O'Brien-Fleming spending function (Lan and
// DeMets 1983); adding up the levels of the looks is conservative and needs no integration.
class SequentialLooks {
 public:
  // Looks after `first_look` pairs, then after each increase by half, the last after `max_pairs`.
  SequentialLooks(std::size_t first_look, std::size_t max_pairs, double level);

  std::size_t count() const { return pairs_.size(); }
  std::size_t pairs(std::size_t look) const { return pairs_[look]; }
  // Significance level of this look; above 0.
  double level(std::size_t look) const { return levels_[look]; }

 private:
  std::vector<std::size_t> pairs_;
  std::vector<double> levels_;
};

enum class Verdict {
  kBetter,  // than the baseline
  kWorse,
  kSame,     // the confidence interval lies within +-min_effect
  kUnclear,  // none of the others could be shown, so far or at all
};

// The verdict of a look from the differences (side minus baseline).
Verdict Decide(const std::vector<double>& differences, double level, double min_effect);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_STATISTICS_HPP_
