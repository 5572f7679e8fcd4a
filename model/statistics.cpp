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
// A smaller standard error is rounding; avoids dividing by it.
constexpr double kMinSpread = 1e-12;

double StandardError(const std::vector<double>& values, double mean) {
  double sum = 0;
  for (const double value : values) sum += (value - mean) * (value - mean);
  const auto n = static_cast<double>(values.size());
  return std::sqrt(sum / (n - 1) / n);
}

double Quantile(const std::vector<double>& sorted, double probability) {
  const double position = probability * static_cast<double>(sorted.size() - 1);
  const auto lower = static_cast<std::size_t>(position);
  const std::size_t upper = std::min(lower + 1, sorted.size() - 1);
  return sorted[lower] + (position - static_cast<double>(lower)) * (sorted[upper] - sorted[lower]);
}

}  // namespace

double Mean(const std::vector<double>& values) {
  if (values.empty()) return 0;
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

Interval TInterval(const std::vector<double>& values, double level) {
  const double mean = Mean(values);
  const boost::math::students_t distribution(static_cast<double>(values.size() - 1));
  const double half_width =
      boost::math::quantile(boost::math::complement(distribution, level / 2)) * StandardError(values, mean);
  return {mean - half_width, mean + half_width};
}

Interval BootstrapInterval(const std::vector<double>& values, double level, std::uint64_t seed) {
  const double mean = Mean(values);
  const double error = StandardError(values, mean);
  if (error < kMinSpread) return {mean, mean};
  RandomStream draws(seed, Purpose::kBootstrap, values.size());
  std::vector<double> studentized;
  std::vector<double> sample(values.size());
  while (studentized.size() < kResamples) {
    for (double& value : sample) value = values[draws.UniformBelow(values.size())];
    const double sample_mean = Mean(sample);
    const double sample_error = StandardError(sample, sample_mean);
    // A sample of one repeated value has no spread to divide by: drawn again.
    if (sample_error >= kMinSpread) studentized.push_back((sample_mean - mean) / sample_error);
  }
  std::sort(studentized.begin(), studentized.end());
  return {mean - error * Quantile(studentized, 1 - level / 2),
          mean - error * Quantile(studentized, level / 2)};
}

double PValue(const std::vector<double>& values) {
  const double mean = Mean(values);
  const double error = StandardError(values, mean);
  if (error < kMinSpread) return std::fabs(mean) < kMinSpread ? 1 : 0;
  const boost::math::students_t distribution(static_cast<double>(values.size() - 1));
  return 2 * boost::math::cdf(boost::math::complement(distribution, std::fabs(mean) / error));
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

SequentialLooks::SequentialLooks(std::size_t first_look, std::size_t max_pairs, double level) {
  for (std::size_t n = std::max<std::size_t>(first_look, 2); n < max_pairs;
       n += std::max<std::size_t>(n / 2, 1))
    pairs_.push_back(n);
  pairs_.push_back(std::max<std::size_t>(max_pairs, 2));
  const boost::math::normal distribution;
  const double z = boost::math::quantile(boost::math::complement(distribution, level / 2));
  double spent_level = 0;
  for (const std::size_t n : pairs_) {
    const double information_fraction = static_cast<double>(n) / static_cast<double>(pairs_.back());
    const double cumulative_level =
        2 * boost::math::cdf(boost::math::complement(distribution, z / std::sqrt(information_fraction)));
    levels_.push_back(std::max(cumulative_level - spent_level, 1e-12));
    spent_level = cumulative_level;
  }
}

Verdict Decide(const std::vector<double>& differences, double level, double min_effect) {
  if (PValue(differences) < level) return Mean(differences) > 0 ? Verdict::kBetter : Verdict::kWorse;
  const Interval interval = TInterval(differences, level);
  return interval.low > -min_effect && interval.high < min_effect ? Verdict::kSame : Verdict::kUnclear;
}

}  // namespace merlinrun::model
