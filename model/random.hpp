// Chance that depends on what it is for and not on how often it was asked: each draw is a function of the
// day's seed, its purpose and the things it concerns. So two sides of a comparison that act differently still
// meet the same world. All of it is integer arithmetic and IEEE 754's exact operations, without the C
// library's logarithms, so that a day is the same to the digit on every machine.
#ifndef MERLINRUN_MODEL_RANDOM_HPP_
#define MERLINRUN_MODEL_RANDOM_HPP_

#include <bit>
#include <cmath>
#include <cstdint>

namespace merlinrun::model {

// What a draw is for. The numbers are part of what a seed means: new ones go to the end.
enum class Purpose : std::uint64_t {
  kScenario = 1,
  kServer,
  kSidecar,
  kArrivals,
  kRequest,
  kAttempt,
  kRetry,
  kNetwork,
  kTrouble,
  kNotice,
  kShape,
  kEngine,
  kBootstrap,
  kRecording,
  kKey,
  kPause,
};

// The finishing steps of SplitMix64.
constexpr std::uint64_t Mix(std::uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

constexpr std::uint64_t Hash(std::uint64_t a, std::uint64_t b) {
  return Mix(a + 0x9e3779b97f4a7c15ULL * (b + 1));
}

// The natural logarithm of a positive normal number, by the series of artanh after reduction to
// [sqrt(1/2), sqrt(2)): within some units of the last place.
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
  // The odd numbers' reciprocals; the next term is under 1e-17.
  constexpr double kTerms[] = {1.0 / 21, 1.0 / 19, 1.0 / 17, 1.0 / 15, 1.0 / 13, 1.0 / 11,
                               1.0 / 9,  1.0 / 7,  1.0 / 5,  1.0 / 3,  1.0};
  double sum = 0;
  for (const double term : kTerms) sum = sum * s2 + term;
  return exponent * kLn2 + 2 * s * sum;
}

// e to the x, for x within +-700, by Taylor's series after reduction by powers of two.
inline double Exp(double x) {
  constexpr double kLn2 = 0.6931471805599453094;
  const double k = std::floor(x * (1 / kLn2) + 0.5);
  const double r = x - k * kLn2;
  // The factorials' reciprocals, from 13 down.
  constexpr double kTerms[] = {
      1.0 / 6227020800, 1.0 / 479001600, 1.0 / 39916800, 1.0 / 3628800, 1.0 / 362880, 1.0 / 40320, 1.0 / 5040,
      1.0 / 720,        1.0 / 120,       1.0 / 24,       1.0 / 6,       1.0 / 2,      1.0,         1.0};
  double sum = 0;
  for (const double term : kTerms) sum = sum * r + term;
  return sum * std::bit_cast<double>(static_cast<std::uint64_t>(1023 + static_cast<std::int64_t>(k)) << 52);
}

class Draws {
 public:
  Draws(std::uint64_t seed, Purpose purpose, std::uint64_t a = 0, std::uint64_t b = 0)
      : state_(Hash(Hash(Hash(seed, static_cast<std::uint64_t>(purpose)), a), b)) {}

  std::uint64_t Next() { return Mix(state_ += 0x9e3779b97f4a7c15ULL); }
  double Unit() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }  // [0, 1)
  double Between(double low, double high) { return low + (high - low) * Unit(); }
  std::uint64_t Below(std::uint64_t n) { return static_cast<std::uint64_t>(Unit() * static_cast<double>(n)); }
  bool Chance(double p) { return Unit() < p; }
  double Exponential(double mean) { return -mean * Log(1 - Unit()); }
  // Marsaglia's polar method.
  double Normal() {
    for (;;) {
      const double u = 2 * Unit() - 1;
      const double v = 2 * Unit() - 1;
      const double s = u * u + v * v;
      if (s > 0 && s < 1) return u * std::sqrt(-2 * Log(s) / s);
    }
  }

 private:
  std::uint64_t state_;
};

// A lognormal law by its mean and its coefficient of variation.
class Lognormal {
 public:
  Lognormal() = default;
  Lognormal(double mean, double cv)
      : sigma_(std::sqrt(Log(1 + cv * cv))),
        mu_(mean > 0 ? Log(mean) - sigma_ * sigma_ / 2 : 0),
        zero_(mean <= 0) {}
  double operator()(Draws& draws) const { return zero_ ? 0 : Exp(mu_ + sigma_ * draws.Normal()); }

 private:
  double sigma_ = 0;
  double mu_ = 0;
  bool zero_ = true;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_RANDOM_HPP_
