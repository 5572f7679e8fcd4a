// Statistics, checked against known results.
#include "model/statistics.hpp"

#include <gtest/gtest.h>

#include <numeric>

#include "model/random.hpp"

namespace merlinrun::model {
namespace {

TEST(StatisticsTest, TIntervalMatchesTables) {
  // Mean 3, standard deviation sqrt(2.5), n = 5; t(4; 0.975) = 2.776.
  const Interval interval = TInterval({1, 2, 3, 4, 5}, 0.05);
  EXPECT_NEAR(interval.low, 3 - 2.7764 * 0.70711, 1e-4);
  EXPECT_NEAR(interval.high, 3 + 2.7764 * 0.70711, 1e-4);
  // t = 3 / 0.70711 = 4.2426 with 4 degrees of freedom.
  EXPECT_NEAR(PValue({1, 2, 3, 4, 5}), 0.01324, 1e-4);
  EXPECT_EQ(PValue({0, 0, 0}), 1);
}

// Service is skewed, so the samples are too: 1 minus an exponential value.
TEST(StatisticsTest, IntervalsCoverTheTruthInNinetyToNinetyNinePercent) {
  constexpr int kTrials = 1'000;
  constexpr double kTruth = 0.95;
  int t_covered = 0;
  int bootstrap_covered = 0;
  for (std::uint64_t trial = 0; trial < kTrials; ++trial) {
    RandomStream draws(trial, Purpose::kSidecarSeed);
    std::vector<double> values;
    while (values.size() < 24) values.push_back(1 - draws.Exponential(0.05));
    t_covered += TInterval(values, 0.05).Contains(kTruth) ? 1 : 0;
    bootstrap_covered += BootstrapInterval(values, 0.05, trial).Contains(kTruth) ? 1 : 0;
  }
  EXPECT_GE(t_covered, 900);
  EXPECT_LE(t_covered, 990);
  EXPECT_GE(bootstrap_covered, 900);
  EXPECT_LE(bootstrap_covered, 990);
}

TEST(StatisticsTest, HolmRejectsSmallestFirst) {
  EXPECT_EQ(Holm({0.01, 0.04, 0.03, 0.005}, 0.05), (std::vector<bool>{true, false, false, true}));
  EXPECT_EQ(Holm({0.03, 0.02}, 0.05), (std::vector<bool>{true, true}));
  EXPECT_EQ(Holm({}, 0.05), std::vector<bool>{});
}

TEST(StatisticsTest, LooksSpendTheWholeLevel) {
  const SequentialLooks looks(8, 64, 0.05);
  double sum = 0;
  for (std::size_t i = 0; i < looks.count(); ++i) {
    sum += looks.level(i);
    if (i > 0) {
      EXPECT_GT(looks.pairs(i), looks.pairs(i - 1));
    }
  }
  EXPECT_NEAR(sum, 0.05, 1e-9);
  EXPECT_EQ(looks.pairs(0), 8U);
  EXPECT_EQ(looks.pairs(looks.count() - 1), 64U);
  EXPECT_LT(looks.level(0), 0.001);  // the first look spends little
}

// The number of trials in which a sequential comparison of equal sides reports a difference.
int CountFalseDifferences(int trials, bool uncorrected) {
  const SequentialLooks looks(8, 64, 0.05);
  int different = 0;
  for (int trial = 0; trial < trials; ++trial) {
    RandomStream draws(static_cast<std::uint64_t>(trial), Purpose::kIncident);
    std::vector<double> values;
    for (std::size_t look = 0; look < looks.count(); ++look) {
      while (values.size() < looks.pairs(look)) values.push_back(0.01 * draws.Normal());
      const Verdict verdict = Decide(values, uncorrected ? 0.05 : looks.level(look), 0.0001);
      if (verdict == Verdict::kUnclear) continue;
      different += verdict == Verdict::kSame ? 0 : 1;
      break;
    }
  }
  return different;
}

TEST(StatisticsTest, RepeatedLooksKeepTheErrorRate) {
  EXPECT_LE(CountFalseDifferences(1'000, false), 50);
  EXPECT_GT(CountFalseDifferences(1'000, true), 100);  // the inflation that the spending function prevents
}

TEST(StatisticsTest, FindsRealDifferencesAndIgnoresSmallOnes) {
  RandomStream draws(1, Purpose::kSidecarSeed);
  std::vector<double> better;
  std::vector<double> same;
  while (better.size() < 16) {
    better.push_back(0.01 + 0.004 * draws.Normal());
    same.push_back(0.0005 * draws.Normal());
  }
  EXPECT_EQ(Decide(better, 0.01, 0.002), Verdict::kBetter);
  for (double& value : better) value = -value;
  EXPECT_EQ(Decide(better, 0.01, 0.002), Verdict::kWorse);
  EXPECT_EQ(Decide(same, 0.01, 0.002), Verdict::kSame);
}

}  // namespace
}  // namespace merlinrun::model
