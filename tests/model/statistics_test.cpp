// The statistics on cases whose truth is known.
#include "model/statistics.hpp"

#include <gtest/gtest.h>

#include <numeric>

#include "model/random.hpp"

namespace merlinrun::model {
namespace {

TEST(StatisticsTest, StudentsIntervalIsThatOfTheTables) {
  // Mean 3, standard deviation sqrt(2.5), five values: t(4; 0.975) is 2.776.
  const Interval interval = TInterval({1, 2, 3, 4, 5}, 0.05);
  EXPECT_NEAR(interval.low, 3 - 2.7764 * 0.70711, 1e-4);
  EXPECT_NEAR(interval.high, 3 + 2.7764 * 0.70711, 1e-4);
  // t of 3 / 0.70711 = 4.2426 with four degrees of freedom.
  EXPECT_NEAR(PValue({1, 2, 3, 4, 5}), 0.01324, 1e-4);
  EXPECT_EQ(PValue({0, 0, 0}), 1);
}

// Service is skewed, so the trials are too: each value 1 less an exponential one.
TEST(StatisticsTest, IntervalsCoverTheTruthInNinetyToNinetyNineOfAHundred) {
  constexpr int kTrials = 1'000;
  constexpr double kTruth = 0.95;
  int by_t = 0;
  int by_bootstrap = 0;
  for (std::uint64_t trial = 0; trial < kTrials; ++trial) {
    Draws draws(trial, Purpose::kEngine);
    std::vector<double> values;
    while (values.size() < 24) values.push_back(1 - draws.Exponential(0.05));
    by_t += TInterval(values, 0.05).Holds(kTruth) ? 1 : 0;
    by_bootstrap += BootstrapInterval(values, 0.05, trial).Holds(kTruth) ? 1 : 0;
  }
  EXPECT_GE(by_t, 900);
  EXPECT_LE(by_t, 990);
  EXPECT_GE(by_bootstrap, 900);
  EXPECT_LE(by_bootstrap, 990);
}

TEST(StatisticsTest, HolmGivesUpTheSmallestFirst) {
  EXPECT_EQ(Holm({0.01, 0.04, 0.03, 0.005}, 0.05), (std::vector<bool>{true, false, false, true}));
  EXPECT_EQ(Holm({0.03, 0.02}, 0.05), (std::vector<bool>{true, true}));
  EXPECT_EQ(Holm({}, 0.05), std::vector<bool>{});
}

TEST(StatisticsTest, LooksSpendNoMoreThanTheyHave) {
  const Looks looks(8, 64, 0.05);
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
  EXPECT_LT(looks.level(0), 0.001);  // little is spent while little is known
}

// How often a comparison of two equal sides ends with a difference, over all its looks.
int CalledDifferent(int trials, bool at_each_look_anew) {
  const Looks looks(8, 64, 0.05);
  int different = 0;
  for (int trial = 0; trial < trials; ++trial) {
    Draws draws(static_cast<std::uint64_t>(trial), Purpose::kTrouble);
    std::vector<double> values;
    for (std::size_t look = 0; look < looks.count(); ++look) {
      while (values.size() < looks.pairs(look)) values.push_back(0.01 * draws.Normal());
      const Verdict verdict = Decide(values, at_each_look_anew ? 0.05 : looks.level(look), 0.0001);
      if (verdict == Verdict::kUnclear) continue;
      different += verdict == Verdict::kSame ? 0 : 1;
      break;
    }
  }
  return different;
}

TEST(StatisticsTest, LookingOftenDoesNotMakeEqualSidesDifferent) {
  EXPECT_LE(CalledDifferent(1'000, false), 50);
  EXPECT_GT(CalledDifferent(1'000, true), 100);  // what the spending guards against
}

TEST(StatisticsTest, ADifferenceThatIsThereIsFoundAndASmallOneIsNone) {
  Draws draws(1, Purpose::kEngine);
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
