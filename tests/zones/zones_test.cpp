// Ejection, probing and return of zones.
#include "zones/zones.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "zones/capacity.hpp"

namespace merlinrun::zones {
namespace {

constexpr Micros kSec = 1'000'000;
constexpr Zones::Window kEvenWindow = {.here = 5, .elsewhere = 5};

class ZonesTest : public ::testing::Test {
 protected:
  // Runs an attempt to its outcome. Backoffs are as long as possible.
  bool RunAttempt(int zone, std::uint64_t server, Evidence evidence,
                  const Zones::Window& window = kEvenWindow) {
    zones_.OnSent(now_, zone);
    return zones_.OnOutcome(now_, zone, server, evidence, window);
  }
  // Zone 0 responds and zone 1 is ejected.
  void EjectZone() {
    for (std::uint64_t server = 1; server <= 3; ++server) RunAttempt(1, server, Evidence::kNoConnection);
    RunAttempt(0, 9, Evidence::kResponse);
    ASSERT_TRUE(zones_.IsZoneEjected(1));
  }

  Micros now_ = 100 * kSec;
  Micros last_bound_ = 0;
  Zones zones_{[this](Micros bound) { return last_bound_ = bound; }, 8 * kSec};
};

TEST_F(ZonesTest, ThreeUnreachableServersEjectTheZone) {
  RunAttempt(0, 9, Evidence::kResponse);
  EXPECT_FALSE(RunAttempt(1, 1, Evidence::kNoConnection));
  EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kSuspected);
  EXPECT_FALSE(RunAttempt(1, 2, Evidence::kNoConnection));
  EXPECT_TRUE(RunAttempt(1, 3, Evidence::kNoConnection));
  EXPECT_TRUE(zones_.IsZoneEjected(1));
  EXPECT_FALSE(zones_.MaySend(now_, 1));
  EXPECT_TRUE(zones_.MaySend(now_, 0));
  EXPECT_EQ(zones_.epoch(), 1U);
}

TEST_F(ZonesTest, OneUnreachableServerIsNotEnough) {
  RunAttempt(0, 9, Evidence::kResponse);
  for (int i = 0; i < 20; ++i) EXPECT_FALSE(RunAttempt(1, 1, Evidence::kNoConnection));
  EXPECT_FALSE(zones_.IsZoneEjected(1));
}

TEST_F(ZonesTest, AResponseClearsTheEvidence) {
  RunAttempt(0, 9, Evidence::kResponse);
  for (int round = 0; round < 5; ++round) {
    RunAttempt(1, 1, Evidence::kNoConnection);
    RunAttempt(1, 2, Evidence::kNoConnection);
    RunAttempt(1, 3, Evidence::kResponse);
    EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kServing);
  }
  EXPECT_EQ(zones_.epoch(), 0U);
}

TEST_F(ZonesTest, ADisconnectedSidecarEjectsNoZone) {
  RunAttempt(0, 9, Evidence::kResponse);
  now_ += kSec;
  for (std::uint64_t server = 1; server <= 5; ++server) {
    RunAttempt(0, 10 + server, Evidence::kNoConnection);
    RunAttempt(1, server, Evidence::kNoConnection);
  }
  EXPECT_FALSE(zones_.IsZoneEjected(0));
  EXPECT_FALSE(zones_.IsZoneEjected(1));
  RunAttempt(0, 9,
             Evidence::kResponse);  // the sidecar is connected again, and zone 1 had no chance to respond
  EXPECT_FALSE(zones_.IsZoneEjected(1));
  for (std::uint64_t server = 1; server <= 3; ++server) RunAttempt(1, server, Evidence::kNoConnection);
  RunAttempt(0, 9, Evidence::kResponse);
  EXPECT_FALSE(zones_.IsZoneEjected(0));
  EXPECT_TRUE(zones_.IsZoneEjected(1));
}

TEST_F(ZonesTest, MostOfTheWindowIsNeverEjected) {
  RunAttempt(0, 9, Evidence::kResponse);
  for (std::uint64_t server = 1; server <= 8; ++server)
    RunAttempt(1, server, Evidence::kNoConnection, {.here = 8, .elsewhere = 0});
  EXPECT_FALSE(zones_.IsZoneEjected(1));
  for (std::uint64_t server = 1; server <= 8; ++server)
    RunAttempt(1, server, Evidence::kNoConnection, {.here = 8, .elsewhere = 1});
  EXPECT_FALSE(zones_.IsZoneEjected(1));
}

TEST_F(ZonesTest, TimeoutsAmongResponsesAreNotEnough) {
  RunAttempt(0, 9, Evidence::kResponse);
  for (std::uint64_t server = 1; server <= 20; ++server) {
    now_ += kSec / 10;
    RunAttempt(1, server, Evidence::kNoResponse);
    if (server % 3 == 0) RunAttempt(1, 30, Evidence::kResponse);
    EXPECT_FALSE(zones_.IsZoneEjected(1));
  }
}

TEST_F(ZonesTest, AZoneThatOnlyTimesOutIsEjected) {
  RunAttempt(0, 9, Evidence::kResponse);
  RunAttempt(1, 30, Evidence::kResponse);
  now_ += kSec;
  for (std::uint64_t server = 1; server <= 3; ++server) {
    EXPECT_FALSE(zones_.IsZoneEjected(1));
    zones_.OnSent(now_, 1);
    zones_.OnLate(now_, 1, server, kEvenWindow);
  }
  EXPECT_FALSE(zones_.IsZoneEjected(1));  // no other zone has responded since
  EXPECT_TRUE(RunAttempt(0, 9, Evidence::kResponse));
  EXPECT_TRUE(zones_.IsZoneEjected(1));
}

TEST_F(ZonesTest, UnknownZonesAreNeverEjected) {
  RunAttempt(0, 9, Evidence::kResponse);
  for (std::uint64_t server = 1; server <= 9; ++server) RunAttempt(-1, server, Evidence::kNoConnection);
  EXPECT_TRUE(zones_.MaySend(now_, -1));
}

TEST_F(ZonesTest, AnEjectedZoneIsProbedByOneAttemptAtATime) {
  EjectZone();
  now_ += last_bound_;
  EXPECT_TRUE(zones_.MaySend(now_, 1));
  zones_.OnSent(now_, 1);
  EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kProbing);
  EXPECT_FALSE(zones_.MaySend(now_, 1));
  EXPECT_TRUE(zones_.IsZoneEjected(1));
}

TEST_F(ZonesTest, AFailedProbeDoublesTheBackoffUpToACap) {
  EjectZone();
  Micros before = last_bound_;
  for (int i = 0; i < 3; ++i) {
    now_ += last_bound_;
    RunAttempt(1, 1, i == 1 ? Evidence::kNoResponse : Evidence::kNoConnection);
    EXPECT_EQ(last_bound_, 2 * before);
    before = last_bound_;
  }
  for (int i = 0; i < 10; ++i) {
    now_ += last_bound_;
    RunAttempt(1, 1, Evidence::kNoConnection);
  }
  EXPECT_EQ(last_bound_, before);
}

TEST_F(ZonesTest, ASuccessfulProbeReturnsTheZoneAsJustStarted) {
  EjectZone();
  now_ += last_bound_;
  EXPECT_TRUE(RunAttempt(1, 1, Evidence::kResponse));
  EXPECT_FALSE(zones_.IsZoneEjected(1));
  EXPECT_EQ(zones_.StageOf(now_, 1), Stage::kReturning);
  EXPECT_EQ(zones_.ReturnedAt(now_ + 7 * kSec, 1), now_);
  EXPECT_EQ(zones_.ReturnedAt(now_ + 8 * kSec, 1), 0);
  EXPECT_EQ(zones_.StageOf(now_ + 8 * kSec, 1), Stage::kServing);
  EXPECT_EQ(zones_.epoch(), 2U);
}

TEST_F(ZonesTest, AnEjectionDuringTheReturnDoublesTheBackoff) {
  EjectZone();
  const Micros first = last_bound_;
  now_ += last_bound_;
  RunAttempt(1, 1, Evidence::kResponse);
  EjectZone();
  EXPECT_EQ(last_bound_, 2 * first);
  now_ += last_bound_;
  RunAttempt(1, 1, Evidence::kResponse);
  now_ += 9 * kSec;  // it has served since, so the backoff is reset
  RunAttempt(1, 1, Evidence::kResponse);
  EjectZone();
  EXPECT_EQ(last_bound_, first);
}

TEST_F(ZonesTest, ARestartedServerLetsItsZoneBeProbed) {
  EjectZone();
  EXPECT_FALSE(zones_.MaySend(now_, 1));
  zones_.OnListed(now_, 1, 1, /*started=*/false);
  EXPECT_FALSE(zones_.MaySend(now_, 1));
  zones_.OnListed(now_, 1, 2, /*started=*/true);
  EXPECT_TRUE(zones_.MaySend(now_, 1));
  EXPECT_TRUE(zones_.IsZoneEjected(1));  // probing is allowed, nothing more
}

TEST_F(ZonesTest, ARemovedServerIsNoEvidence) {
  RunAttempt(0, 9, Evidence::kResponse);
  RunAttempt(1, 1, Evidence::kNoConnection);
  RunAttempt(1, 2, Evidence::kNoConnection);
  zones_.OnListed(now_, 1, 1, /*started=*/false);
  RunAttempt(1, 3, Evidence::kNoConnection);
  EXPECT_FALSE(zones_.IsZoneEjected(1));
}

TEST(CapacityTest, IsRelativeToTheDecayingMaximum) {
  Capacity capacity;
  EXPECT_EQ(capacity.Share(), 1);
  EXPECT_TRUE(capacity.NeedsRefresh(0));
  capacity.Update(0, 60);
  EXPECT_FALSE(capacity.NeedsRefresh(Capacity::kRefreshInterval - 1));
  EXPECT_TRUE(capacity.NeedsRefresh(Capacity::kRefreshInterval));
  capacity.Invalidate();
  EXPECT_TRUE(capacity.NeedsRefresh(1));
  capacity.Update(1, 30);
  EXPECT_NEAR(capacity.Share(), 0.5, 1e-6);
  capacity.Update(kSec, 45);
  EXPECT_GT(capacity.Share(), 0.75);
  for (Micros at = 2 * kSec; at < 100 * kSec; at += kSec) capacity.Update(at, 30);
  EXPECT_EQ(capacity.Share(), 1);
}

// ---- Peer reports ----

class PeerReportTest : public ZonesTest {
 protected:
  bool Report(int lost, int healthy, Micros returned_for = 0) {
    return zones_.OnPeerReport(now_, {1, lost + healthy, lost, healthy, returned_for}, kEvenWindow);
  }
};

TEST_F(PeerReportTest, FiveReportsReduceTheEvidenceToOneServer) {
  RunAttempt(0, 9, Evidence::kResponse);
  RunAttempt(1, 1, Evidence::kNoConnection);
  EXPECT_FALSE(Report(4, 0));
  EXPECT_FALSE(Report(5, 1));  // one of six reports responses
  EXPECT_TRUE(Report(5, 0));
  EXPECT_TRUE(zones_.IsZoneEjected(1));
}

TEST_F(PeerReportTest, EightReportsSufficeWithoutARecentResponse) {
  RunAttempt(0, 9, Evidence::kResponse);
  RunAttempt(1, 1, Evidence::kResponse);
  EXPECT_FALSE(Report(8, 0));
  now_ += kSec / 2;
  EXPECT_FALSE(Report(7, 0));
  EXPECT_TRUE(Report(8, 0));
}

TEST_F(PeerReportTest, ReportsAloneEjectNothingWithoutAnotherRespondingZone) {
  RunAttempt(0, 9, Evidence::kResponse);
  now_ += 2 * kSec;
  EXPECT_FALSE(Report(50, 0));
}

TEST_F(PeerReportTest, ReportsNeverEjectMostOfTheWindow) {
  RunAttempt(0, 9, Evidence::kResponse);
  EXPECT_FALSE(zones_.OnPeerReport(now_, {1, 50, 50, 0, 0}, {.here = 9, .elsewhere = 2}));
}

TEST_F(PeerReportTest, AHealthyQuorumDoublesTheEvidenceNeeded) {
  RunAttempt(0, 9, Evidence::kResponse);
  Report(0, 3);
  const Zones::Window wide{.here = 8, .elsewhere = 8};
  for (std::uint64_t server = 1; server <= 5; ++server)
    EXPECT_FALSE(RunAttempt(1, server, Evidence::kNoConnection, wide));
  EXPECT_TRUE(RunAttempt(1, 6, Evidence::kNoConnection, wide));
}

TEST_F(PeerReportTest, AReportExpiresAfterASecond) {
  RunAttempt(0, 9, Evidence::kResponse);
  Report(5, 0);
  now_ += kSec;
  RunAttempt(0, 9, Evidence::kResponse);
  EXPECT_FALSE(RunAttempt(1, 1, Evidence::kNoConnection));
  EXPECT_FALSE(RunAttempt(1, 2, Evidence::kNoConnection));
}

TEST_F(PeerReportTest, AReturnedQuorumHastensTheProbeAndSetsTheWarmup) {
  EjectZone();
  RunAttempt(1, 1, Evidence::kIgnored);  // backoffs are as long as possible: half a second, then more
  Report(0, 2);
  EXPECT_FALSE(zones_.MaySend(now_ + kSec / 4, 1));
  last_bound_ = 0;
  Report(0, 3, 3 * kSec);
  EXPECT_EQ(last_bound_, kSec);  // spread over a second
  now_ += kSec;
  Report(0, 3, 3 * kSec);
  ASSERT_TRUE(zones_.MaySend(now_, 1));
  EXPECT_TRUE(RunAttempt(1, 1, Evidence::kResponse));
  EXPECT_EQ(zones_.ReturnedAt(now_, 1), now_ - 3 * kSec);
}

// Of a hundred connected sidecars a few probe in each round, and all after sixteen.
TEST(ProbeRoundTest, FewSidecarsProbePerRoundAndAllEventually) {
  constexpr Zones::Window window{.here = 8, .elsewhere = 8};
  Micros now = 1000 * kSec;
  std::vector<Zones> all;
  for (std::uint32_t index = 0; index < 100; ++index) {
    all.emplace_back([](Micros) { return 0; }, 8 * kSec, index, 100U);
    Zones& zones = all.back();
    zones.OnOutcome(now, 0, 9, Evidence::kResponse, window);
    for (std::uint64_t server = 1; server <= 3; ++server)
      zones.OnOutcome(now, 1, server, Evidence::kNoConnection, window);
    ASSERT_TRUE(zones.IsZoneEjected(1));
  }
  const auto count_allowed = [&] {
    int count = 0;
    for (Zones& zones : all) {
      zones.OnPeerReport(now, {1, 10, 10, 0, 0}, window);
      count += zones.MaySend(now, 1);
    }
    return count;
  };
  int sum = 0;
  for (int second = 1; second < 16; ++second) {
    now += kSec;
    const int count = count_allowed();
    EXPECT_LE(count, 12) << second;
    sum += count;
  }
  EXPECT_GE(sum, 15);  // three per round on average
  EXPECT_LE(sum, 90);
  now += kSec;
  EXPECT_EQ(count_allowed(), 100);
}

// ---- Operator overrides ----

TEST_F(ZonesTest, AnEvacuationIgnoresResponses) {
  const ZoneOverride evacuate[] = {{1, ZoneOverride::Kind::kEvacuate}};
  RunAttempt(0, 9, Evidence::kResponse);
  zones_.OnSent(now_, 1);
  zones_.OnOverrides(now_, evacuate);
  EXPECT_TRUE(zones_.IsZoneEjected(1));
  EXPECT_FALSE(zones_.OnOutcome(now_, 1, 1, Evidence::kResponse, kEvenWindow));  // sent before the override
  now_ += 60 * kSec;
  EXPECT_FALSE(zones_.MaySend(now_, 1));
  zones_.OnOverrides(now_, evacuate);  // no change
  EXPECT_EQ(zones_.epoch(), 1U);
  zones_.OnOverrides(now_, {});
  EXPECT_TRUE(zones_.MaySend(now_, 1));
  EXPECT_TRUE(RunAttempt(1, 1, Evidence::kResponse));
  EXPECT_FALSE(zones_.IsZoneEjected(1));
}

TEST_F(ZonesTest, AKeepOverrideIgnoresFailuresAndReports) {
  const ZoneOverride keep[] = {{1, ZoneOverride::Kind::kKeep}};
  zones_.OnOverrides(now_, keep);
  RunAttempt(0, 9, Evidence::kResponse);
  for (std::uint64_t server = 1; server <= 5; ++server)
    EXPECT_FALSE(RunAttempt(1, server, Evidence::kNoConnection));
  EXPECT_FALSE(zones_.OnPeerReport(now_, {1, 20, 20, 0, 0}, kEvenWindow));
  EXPECT_TRUE(zones_.MaySend(now_, 1));
  zones_.OnOverrides(now_, {});
  EXPECT_TRUE(RunAttempt(1, 6, Evidence::kNoConnection));
}

}  // namespace
}  // namespace merlinrun::zones
