// Random numbers that are functions of the day's seed, a purpose and the objects concerned, not of the number
// of previous draws. Sides that act differently therefore see the same random events. Only integer arithmetic
// and exact IEEE 754 operations are used, not the C library's logarithm, so that results are identical on
// every machine.
#ifndef MERLINRUN_MODEL_RANDOM_HPP_
#define MERLINRUN_MODEL_RANDOM_HPP_

#include <bit>
#include <cmath>
#include <cstdint>

namespace merlinrun::model {

// The purpose of a random stream. The values are part of the meaning of a seed: add new ones at the end.
enum class Purpose : std::uint64_t {
  kScenario = 1,
  kServer,
  kSidecar,
  kArrivals,
  kRequest,
  kAttempt,
  kRetry,
  kNetwork,
  kIncident,
  kListDelivery,
  kLoadPhase,
  kSidecarSeed,
  kBootstrap,
  kRecording,
  kKey,
  kPause,
};

// The finalizer of SplitMix64.
constexpr std::uint64_t Mix(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

constexpr std::uint64_t Hash(std::uint64_t a, std::uint64_t b) {
  return Mix(a + 0x9e3779b97f4a7c15ULL * (b + 1));
}

// Natural logarithm of a positive normal number: artanh series after reduction to [sqrt(1/2), sqrt(2));
// accurate to a few units in the last place.
inline double Log(double x) {
  constexpr double kLn2 = 0.6931471805599453094;
  constexpr double kSqrtHalf = 0.7071067811865475244;
  const auto bits = std::bit_cast<std::uint64_t>(x);
  int exponent = static_cast<int>(bits >> 52 & 0x7ff) - 1022;
  double m = std::bit_cast<double>((bits & 0x000fffffffffffffULL) | 0x3fe0000000000000ULL);  // [0.5, 1)
  if (m < kSqrtHalf) {
    m *= 2;
    --exponent;
  }
  const double s = (m - 1) / (m + 1);
  const double s2 = s * s;
  // Reciprocals of the odd numbers; the next term is below 1e-17.
  constexpr double kTerms[] = {1.0 / 21, 1.0 / 19, 1.0 / 17, 1.0 / 15, 1.0 / 13, 1.0 / 11,
                               1.0 / 9,  1.0 / 7,  1.0 / 5,  1.0 / 3,  1.0};
  double sum = 0;
  for (const double term : kTerms) sum = sum * s2 + term;
  return exponent * kLn2 + 2 * s * sum;
}

// e^x for |x| <= 700: Taylor series after reduction by powers of two.
inline double Exp(double x) {
  constexpr double kLn2 = 0.6931471805599453094;
  const double k = std::floor(x * (1 / kLn2) + 0.5);
  const double r = x - k * kLn2;
  // Reciprocals of the factorials, from 13! down.
  constexpr double kTerms[] = {
      1.0 / 6227020800, 1.0 / 479001600, 1.0 / 39916800, 1.0 / 3628800, 1.0 / 362880, 1.0 / 40320, 1.0 / 5040,
      1.0 / 720,        1.0 / 120,       1.0 / 24,       1.0 / 6,       1.0 / 2,      1.0,         1.0};
  double sum = 0;
  for (const double term : kTerms) sum = sum * r + term;
  return sum * std::bit_cast<double>(static_cast<std::uint64_t>(1023 + static_cast<std::int64_t>(k)) << 52);
}

class RandomStream {
 public:
  RandomStream(std::uint64_t seed, Purpose purpose, std::uint64_t a = 0, std::uint64_t b = 0)
      : state_(Hash(Hash(Hash(seed, static_cast<std::uint64_t>(purpose)), a), b)) {}

  std::uint64_t Next() { return Mix(state_ += 0x9e3779b97f4a7c15ULL); }
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }  // [0, 1)
  double UniformBetween(double low, double high) { return low + (high - low) * Uniform(); }
  std::uint64_t UniformBelow(std::uint64_t n) {
    return static_cast<std::uint64_t>(Uniform() * static_cast<double>(n));
  }
  bool Bernoulli(double p) { return Uniform() < p; }
  double Exponential(double mean) { return -mean * Log(1 - Uniform()); }
  // Marsaglia's polar method.
  double Normal() {
    for (;;) {
      const double u = 2 * Uniform() - 1;
      const double v = 2 * Uniform() - 1;
      const double s = u * u + v * v;
      if (s > 0 && s < 1) return u * std::sqrt(-2 * Log(s) / s);
    }
  }

 private:
  std::uint64_t state_;
};

// Lognormal distribution, given its mean and coefficient of variation.
class Lognormal {
 public:
  Lognormal() = default;
  Lognormal(double mean, double cv)
      : sigma_(std::sqrt(Log(1 + cv * cv))),
        mu_(mean > 0 ? Log(mean) - sigma_ * sigma_ / 2 : 0),
        is_zero_(mean <= 0) {}
  double operator()(RandomStream& draws) const { return is_zero_ ? 0 : Exp(mu_ + sigma_ * draws.Normal()); }

 private:
  double sigma_ = 0;
  double mu_ = 0;
  bool is_zero_ = true;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_RANDOM_HPP_
