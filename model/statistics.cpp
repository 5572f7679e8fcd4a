#include "model/statistics.hpp"

#include <algorithm>
#include <boost/math/distributions/normal.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <numeric>

#include "model/random.hpp"

namespace merlinrun::model {
namespace {

constexpr std::size_t kResamples = 2'000;
// Below this a spread is rounding and no chance; guards against dividing by it.
constexpr double kNoSpread = 1e-12;

// The standard error of the mean.
double ErrorOf(const std::vector<double>& values, double mean) {
  double sum = 0;
  for (const double value : values) sum += (value - mean) * (value - mean);
  const auto n = static_cast<double>(values.size());
  return std::sqrt(sum / (n - 1) / n);
}

double At(const std::vector<double>& sorted, double q) {
  const double place = q * static_cast<double>(sorted.size() - 1);
  const auto below = static_cast<std::size_t>(place);
  const std::size_t above = std::min(below + 1, sorted.size() - 1);
  return sorted[below] + (place - static_cast<double>(below)) * (sorted[above] - sorted[below]);
}

}  // namespace

double Mean(const std::vector<double>& values) {
  if (values.empty()) return 0;
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

Interval TInterval(const std::vector<double>& values, double level) {
  const double mean = Mean(values);
  const boost::math::students_t law(static_cast<double>(values.size() - 1));
  const double reach = boost::math::quantile(boost::math::complement(law, level / 2)) * ErrorOf(values, mean);
  return {mean - reach, mean + reach};
}

Interval BootstrapInterval(const std::vector<double>& values, double level, std::uint64_t seed) {
  const double mean = Mean(values);
  const double error = ErrorOf(values, mean);
  if (error < kNoSpread) return {mean, mean};
  Draws draws(seed, Purpose::kBootstrap, values.size());
  std::vector<double> studentized;
  std::vector<double> sample(values.size());
  while (studentized.size() < kResamples) {
    for (double& value : sample) value = values[draws.Below(values.size())];
    const double its_mean = Mean(sample);
    const double its_error = ErrorOf(sample, its_mean);
    // One value drawn each time: it has no spread to divide by. Rare, and drawn again.
    if (its_error >= kNoSpread) studentized.push_back((its_mean - mean) / its_error);
  }
  std::sort(studentized.begin(), studentized.end());
  return {mean - error * At(studentized, 1 - level / 2), mean - error * At(studentized, level / 2)};
}

double PValue(const std::vector<double>& values) {
  const double mean = Mean(values);
  const double error = ErrorOf(values, mean);
  if (error < kNoSpread) return std::fabs(mean) < kNoSpread ? 1 : 0;
  const boost::math::students_t law(static_cast<double>(values.size() - 1));
  return 2 * boost::math::cdf(boost::math::complement(law, std::fabs(mean) / error));
}

std::vector<bool> Holm(const std::vector<double>& p_values, double level) {
  std::vector<std::size_t> order(p_values.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return p_values[a] < p_values[b]; });
  std::vector<bool> out(p_values.size(), false);
  for (std::size_t i = 0; i < order.size(); ++i) {
    if (p_values[order[i]] > level / static_cast<double>(order.size() - i)) break;
    out[order[i]] = true;
  }
  return out;
}

Looks::Looks(std::size_t first, std::size_t most, double level) {
  for (std::size_t n = std::max<std::size_t>(first, 2); n < most; n += std::max<std::size_t>(n / 2, 1))
    pairs_.push_back(n);
  pairs_.push_back(std::max<std::size_t>(most, 2));
  const boost::math::normal law;
  const double z = boost::math::quantile(boost::math::complement(law, level / 2));
  double spent = 0;
  for (const std::size_t n : pairs_) {
    const double part = static_cast<double>(n) / static_cast<double>(pairs_.back());
    const double upto = 2 * boost::math::cdf(boost::math::complement(law, z / std::sqrt(part)));
    levels_.push_back(std::max(upto - spent, 1e-12));
    spent = upto;
  }
}

Verdict Decide(const std::vector<double>& differences, double level, double matters) {
  if (PValue(differences) < level) return Mean(differences) > 0 ? Verdict::kBetter : Verdict::kWorse;
  const Interval interval = TInterval(differences, level);
  return interval.low > -matters && interval.high < matters ? Verdict::kSame : Verdict::kUnclear;
}

}  // namespace merlinrun::model
