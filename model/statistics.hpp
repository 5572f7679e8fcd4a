// What a number of paired runs says: differences with their intervals, when enough has been seen, and what is
// left of it when several things are compared at once. No I/O.
#ifndef MERLINRUN_MODEL_STATISTICS_HPP_
#define MERLINRUN_MODEL_STATISTICS_HPP_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace merlinrun::model {

// Of the intervals that are shown beside the one that holds through all looks: 95 in 100.
constexpr double kUsualLevel = 0.05;

struct Interval {
  double low = 0;
  double high = 0;
  bool Holds(double value) const { return low <= value && value <= high; }
};

double Mean(const std::vector<double>& values);

// Student's interval for the mean of the population that the values are drawn from. `level`: the chance that
// it does not hold the mean, above 0. At least two values.
Interval TInterval(const std::vector<double>& values, double level);

// The same by the bootstrap of the studentized mean (Efron and Tibshirani, An Introduction to the
// Bootstrap, 12.5), which does not take the values to be normal; the plain percentile bootstrap covers too
// little for few values. The same seed gives the same interval.
Interval BootstrapInterval(const std::vector<double>& values, double level, std::uint64_t seed);

// Two-sided: the chance of a mean as far from 0, if it were 0. 1 if all values are 0.
double PValue(const std::vector<double>& values);

// Which of several hypotheses can be given up with a chance of at most `level` that any of them is given up
// wrongly (Holm 1979).
std::vector<bool> Holm(const std::vector<double>& p_values, double level);

// When to look at paired differences that come in one after another, and how sure one has to be at each look,
// so that the chance of ever calling two equal sides different stays at `level`: the spending function of
// O'Brien and Fleming's kind (Lan and DeMets 1983), each look given what is spent since the one before. That
// adds the looks' chances up as if they were disjoint, which they are not: it errs on the safe side, and
// needs no integration.
class Looks {
 public:
  // Looks after `first` pairs, then each time that a half more have come, the last after `most`.
  Looks(std::size_t first, std::size_t most, double level);

  std::size_t count() const { return pairs_.size(); }
  std::size_t pairs(std::size_t look) const { return pairs_[look]; }
  // The level of the test, or of the interval, at this look; above 0.
  double level(std::size_t look) const { return levels_[look]; }

 private:
  std::vector<std::size_t> pairs_;
  std::vector<double> levels_;
};

enum class Verdict {
  kBetter,  // than the base
  kWorse,
  kSame,     // the difference is surely smaller than what matters
  kUnclear,  // not told apart, so far or at all
};

// What the differences seen so far (side minus base) say at a look.
Verdict Decide(const std::vector<double>& differences, double level, double matters);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_STATISTICS_HPP_
