// Stages of zones: what lets a zone be left, tried and returned to, and what must not.
#include "zones/zones.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "zones/capacity.hpp"

namespace merlinrun::zones {
namespace {

constexpr Micros kSec = 1'000'000;
constexpr Zones::Window kHalf = {.here = 5, .elsewhere = 5};

class ZonesTest : public ::testing::Test {
 protected:
  // An attempt from its start to its outcome. Waits are drawn at their longest.
  bool Meet(int zone, std::uint64_t server, Sign sign, const Zones::Window& window = kHalf) {
    zones_.OnSent(now_, zone);
    return zones_.OnOutcome(now_, zone, server, sign, window);
  }
  // Zone 0 answers and zone 1 is lost.
  void Lose() {
    for (std::uint64_t server = 1; server <= 3; ++server) Meet(1, server, Sign::kNoWay);
    Meet(0, 9, Sign::kAnswer);
    ASSERT_TRUE(zones_.Left(1));
  }

  Micros now_ = 100 * kSec;
  Micros drawn_ = 0;
  Zones zones_{[this](Micros most) { return drawn_ = most; }, 8 * kSec};
};

TEST_F(ZonesTest, ThreeServersWithNoWayToThemAreTheZonesLoss) {
  Meet(0, 9, Sign::kAnswer);
  EXPECT_FALSE(Meet(1, 1, Sign::kNoWay));
  EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kSuspected);
  EXPECT_FALSE(Meet(1, 2, Sign::kNoWay));
  EXPECT_TRUE(Meet(1, 3, Sign::kNoWay));
  EXPECT_TRUE(zones_.Left(1));
  EXPECT_FALSE(zones_.MayTry(now_, 1));
  EXPECT_TRUE(zones_.MayTry(now_, 0));
  EXPECT_EQ(zones_.epoch(), 1U);
}

TEST_F(ZonesTest, OneBadServerIsNoLoss) {
  Meet(0, 9, Sign::kAnswer);
  for (int i = 0; i < 20; ++i) EXPECT_FALSE(Meet(1, 1, Sign::kNoWay));
  EXPECT_FALSE(zones_.Left(1));
}

TEST_F(ZonesTest, AnAnswerInBetweenClearsTheZone) {
  Meet(0, 9, Sign::kAnswer);
  for (int round = 0; round < 5; ++round) {
    Meet(1, 1, Sign::kNoWay);
    Meet(1, 2, Sign::kNoWay);
    Meet(1, 3, Sign::kAnswer);
    EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kServing);
  }
  EXPECT_EQ(zones_.epoch(), 0U);
}

TEST_F(ZonesTest, OwnLinkBeingTheTroubleAccusesNobody) {
  Meet(0, 9, Sign::kAnswer);
  now_ += kSec;
  for (std::uint64_t server = 1; server <= 5; ++server) {
    Meet(0, 10 + server, Sign::kNoWay);
    Meet(1, server, Sign::kNoWay);
  }
  EXPECT_FALSE(zones_.Left(0));
  EXPECT_FALSE(zones_.Left(1));
  Meet(0, 9, Sign::kAnswer);  // the link works again, and zone 1 has had no chance to answer
  EXPECT_FALSE(zones_.Left(1));
  for (std::uint64_t server = 1; server <= 3; ++server) Meet(1, server, Sign::kNoWay);
  Meet(0, 9, Sign::kAnswer);
  EXPECT_FALSE(zones_.Left(0));
  EXPECT_TRUE(zones_.Left(1));
}

TEST_F(ZonesTest, TheLastZoneAndMostOfTheWindowAreNeverLeft) {
  Meet(0, 9, Sign::kAnswer);
  for (std::uint64_t server = 1; server <= 8; ++server)
    Meet(1, server, Sign::kNoWay, {.here = 8, .elsewhere = 0});
  EXPECT_FALSE(zones_.Left(1));
  for (std::uint64_t server = 1; server <= 8; ++server)
    Meet(1, server, Sign::kNoWay, {.here = 8, .elsewhere = 1});
  EXPECT_FALSE(zones_.Left(1));
}

TEST_F(ZonesTest, SilenceBesideAnswersIsNoLoss) {
  Meet(0, 9, Sign::kAnswer);
  for (std::uint64_t server = 1; server <= 20; ++server) {
    now_ += kSec / 10;
    Meet(1, server, Sign::kSilent);
    if (server % 3 == 0) Meet(1, 30, Sign::kAnswer);
    EXPECT_FALSE(zones_.Left(1));
  }
}

TEST_F(ZonesTest, AZoneThatSwallowsEverythingIsLost) {
  Meet(0, 9, Sign::kAnswer);
  Meet(1, 30, Sign::kAnswer);
  now_ += kSec;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    EXPECT_FALSE(zones_.Left(1));
    zones_.OnSent(now_, 1);
    zones_.OnLate(now_, 1, server, kHalf);
  }
  EXPECT_FALSE(zones_.Left(1));  // nobody else has answered since
  EXPECT_TRUE(Meet(0, 9, Sign::kAnswer));
  EXPECT_TRUE(zones_.Left(1));
}

TEST_F(ZonesTest, UnknownZonesAreNeverLeft) {
  Meet(0, 9, Sign::kAnswer);
  for (std::uint64_t server = 1; server <= 9; ++server) Meet(-1, server, Sign::kNoWay);
  EXPECT_TRUE(zones_.MayTry(now_, -1));
}

TEST_F(ZonesTest, ALeftZoneIsTriedByOneAttemptAtATime) {
  Lose();
  now_ += drawn_;
  EXPECT_TRUE(zones_.MayTry(now_, 1));
  zones_.OnSent(now_, 1);
  EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kProbing);
  EXPECT_FALSE(zones_.MayTry(now_, 1));
  EXPECT_TRUE(zones_.Left(1));
}

TEST_F(ZonesTest, AFailedTrialWaitsTwiceAsLongUpToACap) {
  Lose();
  Micros before = drawn_;
  for (int i = 0; i < 3; ++i) {
    now_ += drawn_;
    Meet(1, 1, i == 1 ? Sign::kSilent : Sign::kNoWay);
    EXPECT_EQ(drawn_, 2 * before);
    before = drawn_;
  }
  for (int i = 0; i < 10; ++i) {
    now_ += drawn_;
    Meet(1, 1, Sign::kNoWay);
  }
  EXPECT_EQ(drawn_, before);
}

TEST_F(ZonesTest, AnAnsweredTrialReturnsAsIfJustStarted) {
  Lose();
  now_ += drawn_;
  EXPECT_TRUE(Meet(1, 1, Sign::kAnswer));
  EXPECT_FALSE(zones_.Left(1));
  EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kReturning);
  EXPECT_EQ(zones_.ReturnedAt(now_ + 7 * kSec, 1), now_);
  EXPECT_EQ(zones_.ReturnedAt(now_ + 8 * kSec, 1), 0);
  EXPECT_EQ(zones_.StageOf(now_ + 8 * kSec, 1), Stage::kServing);
  EXPECT_EQ(zones_.epoch(), 2U);
}

TEST_F(ZonesTest, LostAgainOnTheWayBackItIsHeldOffForTwiceAsLong) {
  Lose();
  const Micros first = drawn_;
  now_ += drawn_;
  Meet(1, 1, Sign::kAnswer);
  Lose();
  EXPECT_EQ(drawn_, 2 * first);
  now_ += drawn_;
  Meet(1, 1, Sign::kAnswer);
  now_ += 9 * kSec;  // it has served since: what was is forgotten
  Meet(1, 1, Sign::kAnswer);
  Lose();
  EXPECT_EQ(drawn_, first);
}

TEST_F(ZonesTest, AServerThatTheListSaysHasStartedLetsItsZoneBeTried) {
  Lose();
  EXPECT_FALSE(zones_.MayTry(now_, 1));
  zones_.OnListed(now_, 1, 1, /*started=*/false);
  EXPECT_FALSE(zones_.MayTry(now_, 1));
  zones_.OnListed(now_, 1, 2, /*started=*/true);
  EXPECT_TRUE(zones_.MayTry(now_, 1));
  EXPECT_TRUE(zones_.Left(1));  // tried, and no more than that
}

TEST_F(ZonesTest, AServerThatTheListDropsIsNoEvidence) {
  Meet(0, 9, Sign::kAnswer);
  Meet(1, 1, Sign::kNoWay);
  Meet(1, 2, Sign::kNoWay);
  zones_.OnListed(now_, 1, 1, /*started=*/false);
  Meet(1, 3, Sign::kNoWay);
  EXPECT_FALSE(zones_.Left(1));
}

TEST(CapacityTest, IsTheShareOfWhatWasUsualAndForgetsItInAMinute) {
  Capacity capacity;
  EXPECT_EQ(capacity.Share(), 1);
  EXPECT_TRUE(capacity.Due(0));
  capacity.Set(0, 60);
  EXPECT_FALSE(capacity.Due(Capacity::kEvery - 1));
  EXPECT_TRUE(capacity.Due(Capacity::kEvery));
  capacity.Expire();
  EXPECT_TRUE(capacity.Due(1));
  capacity.Set(1, 30);
  EXPECT_NEAR(capacity.Share(), 0.5, 1e-6);
  capacity.Set(kSec, 45);
  EXPECT_GT(capacity.Share(), 0.75);
  for (Micros at = 2 * kSec; at < 100 * kSec; at += kSec) capacity.Set(at, 30);
  EXPECT_EQ(capacity.Share(), 1);
}

// ---- What others say ----

class ToldTest : public ZonesTest {
 protected:
  bool Tell(int lost, int well, Micros returned_for = 0) {
    return zones_.OnTold(now_, {1, lost + well, lost, well, returned_for}, kHalf);
  }
};

TEST_F(ToldTest, FiveWitnessesMakeOneDeadServerEnoughAndFourDoNot) {
  Meet(0, 9, Sign::kAnswer);
  Meet(1, 1, Sign::kNoWay);
  EXPECT_FALSE(Tell(4, 0));
  EXPECT_FALSE(Tell(5, 1));  // one in six was answered
  EXPECT_TRUE(Tell(5, 0));
  EXPECT_TRUE(zones_.Left(1));
}

TEST_F(ToldTest, EightWitnessesMakeNoneNeededUnlessItHasJustAnswered) {
  Meet(0, 9, Sign::kAnswer);
  Meet(1, 1, Sign::kAnswer);
  EXPECT_FALSE(Tell(8, 0));
  now_ += kSec / 2;
  EXPECT_FALSE(Tell(7, 0));
  EXPECT_TRUE(Tell(8, 0));
}

TEST_F(ToldTest, NobodyLeavesOnWordsAloneWhoIsAnsweredByNoZoneHimself) {
  Meet(0, 9, Sign::kAnswer);
  now_ += 2 * kSec;
  EXPECT_FALSE(Tell(50, 0));
}

TEST_F(ToldTest, WordsNeverEmptyTheWindow) {
  Meet(0, 9, Sign::kAnswer);
  EXPECT_FALSE(zones_.OnTold(now_, {1, 50, 50, 0, 0}, {.here = 9, .elsewhere = 2}));
}

TEST_F(ToldTest, AZoneThatAnswersAQuorumIsLeftOnTwiceTheEvidence) {
  Meet(0, 9, Sign::kAnswer);
  Tell(0, 3);
  const Zones::Window wide{.here = 8, .elsewhere = 8};
  for (std::uint64_t server = 1; server <= 5; ++server) EXPECT_FALSE(Meet(1, server, Sign::kNoWay, wide));
  EXPECT_TRUE(Meet(1, 6, Sign::kNoWay, wide));
}

TEST_F(ToldTest, WhatWasToldIsForgottenAfterASecond) {
  Meet(0, 9, Sign::kAnswer);
  Tell(5, 0);
  now_ += kSec;
  Meet(0, 9, Sign::kAnswer);
  EXPECT_FALSE(Meet(1, 1, Sign::kNoWay));
  EXPECT_FALSE(Meet(1, 2, Sign::kNoWay));
}

TEST_F(ToldTest, AQuorumThatIsBackHastensTheTrialAndSaysHowWarmTheZoneIs) {
  Lose();
  Meet(1, 1, Sign::kNothing);  // waits are drawn at their longest: half a second, then more
  Tell(0, 2);
  EXPECT_FALSE(zones_.MayTry(now_ + kSec / 4, 1));
  drawn_ = 0;
  Tell(0, 3, 3 * kSec);
  EXPECT_EQ(drawn_, kSec);  // each at its own moment within a second
  now_ += kSec;
  Tell(0, 3, 3 * kSec);
  ASSERT_TRUE(zones_.MayTry(now_, 1));
  EXPECT_TRUE(Meet(1, 1, Sign::kAnswer));
  EXPECT_EQ(zones_.ReturnedAt(now_, 1), now_ - 3 * kSec);
}

// Of a hundred that hear one another few have their turn in a second, and all have it after sixteen.
TEST(TurnTest, FewTryALeftZoneInASecondAndNobodyIsLeftOutForEver) {
  constexpr Zones::Window window{.here = 8, .elsewhere = 8};
  Micros now = 1000 * kSec;
  std::vector<Zones> all;
  for (std::uint32_t rank = 0; rank < 100; ++rank) {
    all.emplace_back([](Micros) { return 0; }, 8 * kSec, rank, 100U);
    Zones& zones = all.back();
    zones.OnOutcome(now, 0, 9, Sign::kAnswer, window);
    for (std::uint64_t server = 1; server <= 3; ++server)
      zones.OnOutcome(now, 1, server, Sign::kNoWay, window);
    ASSERT_TRUE(zones.Left(1));
  }
  const auto may = [&] {
    int count = 0;
    for (Zones& zones : all) {
      zones.OnTold(now, {1, 10, 10, 0, 0}, window);
      count += zones.MayTry(now, 1);
    }
    return count;
  };
  int sum = 0;
  for (int second = 1; second < 16; ++second) {
    now += kSec;
    const int count = may();
    EXPECT_LE(count, 12) << second;
    sum += count;
  }
  EXPECT_GE(sum, 15);  // three a second are meant
  EXPECT_LE(sum, 90);
  now += kSec;
  EXPECT_EQ(may(), 100);
}

// ---- What the operator orders ----

TEST_F(ZonesTest, AnOrderToLeaveHoldsWhateverAnswers) {
  const ZoneOverride leave[] = {{1, ZoneOverride::Kind::kEvacuate}};
  Meet(0, 9, Sign::kAnswer);
  zones_.OnSent(now_, 1);
  zones_.OnOrders(now_, leave);
  EXPECT_TRUE(zones_.Left(1));
  EXPECT_FALSE(zones_.OnOutcome(now_, 1, 1, Sign::kAnswer, kHalf));  // it was out before
  now_ += 60 * kSec;
  EXPECT_FALSE(zones_.MayTry(now_, 1));
  zones_.OnOrders(now_, leave);  // the same once more
  EXPECT_EQ(zones_.epoch(), 1U);
  zones_.OnOrders(now_, {});
  EXPECT_TRUE(zones_.MayTry(now_, 1));
  EXPECT_TRUE(Meet(1, 1, Sign::kAnswer));
  EXPECT_FALSE(zones_.Left(1));
}

TEST_F(ZonesTest, AnOrderToKeepHoldsWhateverIsMetAndHeard) {
  const ZoneOverride keep[] = {{1, ZoneOverride::Kind::kKeep}};
  zones_.OnOrders(now_, keep);
  Meet(0, 9, Sign::kAnswer);
  for (std::uint64_t server = 1; server <= 5; ++server) EXPECT_FALSE(Meet(1, server, Sign::kNoWay));
  EXPECT_FALSE(zones_.OnTold(now_, {1, 20, 20, 0, 0}, kHalf));
  EXPECT_TRUE(zones_.MayTry(now_, 1));
  zones_.OnOrders(now_, {});
  EXPECT_TRUE(Meet(1, 6, Sign::kNoWay));
}

}  // namespace
}  // namespace merlinrun::zones
