// Tests when reports are sent and how datagrams are counted, and simulates a fleet of up to a thousand
// sidecars.
#include "fleet/report_exchange.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <set>

#include "base/random.hpp"

namespace merlinrun::fleet {
namespace {

constexpr Micros kNow = 1'796'000'000'000'000;

ReportScheduler::Draw DrawFrom(std::uint64_t seed) {
  return [random = Random(seed)](std::uint64_t bound) mutable { return random.Below(bound); };
}

TEST(ReportSchedulerTest, ARoundHasDistinctRecipientsAndNeverItself) {
  ReportScheduler scheduler({.fanout = 4, .urgent_fanout = 16, .bytes_per_s = 1e6}, 7, 40, kNow, DrawFrom(1));
  std::set<std::uint32_t> reached;
  for (Micros at = kNow; at < kNow + 400'000'000; at += 100'000) {
    const auto round = scheduler.StartRound(at, false, 60);
    EXPECT_EQ(std::set<std::uint32_t>(round.begin(), round.end()).size(), round.size());
    EXPECT_EQ(std::count(round.begin(), round.end(), 7U), 0);
    reached.insert(round.begin(), round.end());
  }
  EXPECT_EQ(reached.size(), 39U);  // every peer is reached eventually
  EXPECT_EQ(*reached.rbegin(), 39U);
}

TEST(ReportSchedulerTest, SendRateStaysBoundedForAnyUrgencyAndFleetSize) {
  for (const std::uint32_t sidecar_count : {2U, 100U, 5000U}) {
    ReportScheduler scheduler({}, 1, sidecar_count, kNow, DrawFrom(2));
    std::size_t bytes = 0;
    for (Micros at = kNow; at < kNow + 60'000'000; at += 10'000)
      bytes += 200 * scheduler.StartRound(at, true, 200).size();
    EXPECT_LE(bytes, 62U * 2000U) << sidecar_count;
    EXPECT_GT(bytes, sidecar_count > 2 ? 55U * 2000U : 0U);
  }
}

TEST(ReportSchedulerTest, RoundsOfAFleetThatStartedTogetherAreJittered) {
  std::vector<int> by_tenth(20);
  for (std::uint32_t self = 0; self < 500; ++self) {
    ReportScheduler scheduler({}, self, 500, kNow, DrawFrom(self));
    for (Micros at = kNow; at < kNow + 2'000'000; at += 10'000)
      if (!scheduler.StartRound(at, false, 60).empty())
        ++by_tenth[static_cast<std::size_t>((at - kNow) / 100'000)];
  }
  // 500 rounds a second on average: no 0.1 s slot gets more than twice its share.
  EXPECT_LE(*std::max_element(by_tenth.begin(), by_tenth.end()), 100);
}

class ReportExchangeTest : public ::testing::Test {
 protected:
  std::vector<BalancerSnapshot::Zone> Zones(std::size_t dead, ZoneStage stage = ZoneStage::kServing) {
    BalancerSnapshot::Zone healthy;
    healthy.zone = 0;
    healthy.since_last_evidence = 20'000;
    BalancerSnapshot::Zone other = healthy;
    other.zone = 1;
    other.stage = stage;
    other.dead_servers = dead;
    other.since_last_evidence = since_evidence_;
    return {healthy, other};
  }
  std::string Bytes(std::uint32_t sender, std::uint64_t sequence = 1) {
    return Encode({sender, kNow / 1000, sequence, 1, {}});
  }
  Micros since_evidence_ = 20'000;
  ReportExchange exchange_{{}, 0, 8, kNow / 1000, kNow, DrawFrom(3)};
};

TEST_F(ReportExchangeTest, InvalidDatagramsAreCountedAndDropped) {
  exchange_.OnDatagram(kNow, std::nullopt, Bytes(3));
  exchange_.OnDatagram(kNow, 4, Bytes(3));
  exchange_.OnDatagram(kNow, 3, "noise");
  exchange_.OnDatagram(kNow, 3, std::string(300, 'x'));
  exchange_.OnDatagram(kNow, 3, Encode({3, kNow / 1000 + 3'600'000, 1, 1, {}}));
  exchange_.OnDatagram(kNow, 3, Bytes(3));
  exchange_.OnDatagram(kNow, 3, Bytes(3));
  EXPECT_EQ(exchange_.counters().wrong_address, 2U);
  EXPECT_EQ(exchange_.counters().malformed, 2U);
  EXPECT_EQ(exchange_.counters().future_incarnation, 1U);
  EXPECT_EQ(exchange_.counters().accepted, 1U);
  EXPECT_EQ(exchange_.counters().stale, 1U);
  EXPECT_EQ(exchange_.peer_table().RecentPeerCount(kNow), 1U);
}

TEST_F(ReportExchangeTest, ALossIsReportedAtOnceAndRepeated) {
  Micros now = kNow + 2'000'000;
  EXPECT_EQ(exchange_.NextReport(now, Zones(0), 0, 1).recipients.size(),
            7U);  // the first report goes to many
  now += 350'000;
  EXPECT_EQ(exchange_.NextReport(now, Zones(2, ZoneStage::kSuspected), 0, 1).recipients.size(), 7U);
  now += 350'000;
  EXPECT_EQ(exchange_.NextReport(now, Zones(3, ZoneStage::kEjected), 1, 1).recipients.size(), 7U);
  since_evidence_ = 1'100'000;
  now += 350'000;
  EXPECT_TRUE(exchange_.NextReport(now, Zones(3, ZoneStage::kEjected), 1, 1).recipients.empty());
  now += 350'000;
  EXPECT_EQ(exchange_.NextReport(now, Zones(0, ZoneStage::kReturning), 2, 1).recipients.size(), 7U);
}

// Simulates a fleet whose zone 1 fails at once. Each sidecar sends to it every 0.7 s on average. Records the
// time from the loss until half and 99 % of the sidecars have ejected the zone, and the largest send rate.
struct Fleet {
  struct Sidecar {
    Sidecar(std::uint32_t number, std::uint32_t size, std::uint64_t seed)
        : self(number),
          random(seed),
          zones([this](Micros bound) { return random.Upto(bound); }, 8'000'000, number, size),
          exchange({}, number, size, kNow / 1000, kNow, DrawFrom(seed + 1)) {}
    const std::uint32_t self;
    bool retry = false;
    Random random;
    zones::Zones zones;
    ReportExchange exchange;
  };
  Fleet(std::uint32_t size, bool with_reports, double datagram_loss, std::uint64_t dead_count = 8,
        Micros extra_time = 0) {
    std::vector<std::unique_ptr<Sidecar>> sidecars;
    for (std::uint32_t i = 0; i < size; ++i) sidecars.push_back(std::make_unique<Sidecar>(i, size, 1000 + i));
    Random chance(5);
    const zones::Zones::Window window{.here = 8, .elsewhere = 8};
    constexpr Micros kTick = 50'000;
    constexpr Micros kLoss = 3'000'000;
    std::vector<Micros> ejection_times;
    for (Micros at = 0;
         at < kLoss + 12'000'000 + extra_time && (ejection_times.size() < size || extra_time > 0);
         at += kTick) {
      const Micros now = kNow + at;
      for (auto& sidecar : sidecars) {
        const bool was_ejected = sidecar->zones.IsZoneEjected(1);
        for (const int zone : {0, 1}) {
          const bool retry = sidecar->retry && sidecar->random.Unit() < 0.5;
          if ((!retry && sidecar->random.Unit() > 0.07) || !sidecar->zones.MaySend(now, zone)) continue;
          sidecar->retry = false;
          sidecar->zones.OnSent(now, zone);
          late_attempts += zone == 1 && at >= kLoss + 12'000'000;
          const std::uint64_t server = 1 + sidecar->random.Below(8);
          const bool dead = zone == 1 && at >= kLoss && server <= dead_count;
          sidecar->retry = dead;  // the request is retried in either zone
          sidecar->zones.OnOutcome(
              now, zone, server, dead ? zones::Evidence::kNoConnection : zones::Evidence::kResponse, window);
        }
        if (with_reports) {
          for (const int zone : {0, 1})
            sidecar->zones.OnPeerReport(now, sidecar->exchange.Summarize(now, zone), window);
          const auto outgoing =
              sidecar->exchange.NextReport(now, sidecar->zones.TakeSnapshot(now), sidecar->zones.epoch(), 1);
          for (const std::uint32_t to : outgoing.recipients)
            if (chance.Unit() >= datagram_loss)
              sidecars[to]->exchange.OnDatagram(now, sidecar->self, outgoing.bytes);
        }
        if (!was_ejected && sidecar->zones.IsZoneEjected(1)) {
          if (at < kLoss || dead_count < 8) ++wrong_ejections;
          ejection_times.push_back(at - kLoss);
        }
        if (sidecar->zones.IsZoneEjected(0)) ++wrong_ejections;
      }
    }
    duration_s = 3 + static_cast<double>(ejection_times.empty() ? 0 : ejection_times.back()) / 1e6;
    if (ejection_times.size() < size) return;
    median = ejection_times[size / 2];
    p99 = ejection_times[size * 99 / 100];
    for (auto& sidecar : sidecars)
      send_rate =
          std::max(send_rate, static_cast<double>(sidecar->exchange.counters().sent_bytes) / duration_s);
  }
  Micros median = 0;
  Micros p99 = 0;
  double send_rate = 0;
  double duration_s = 0;
  int wrong_ejections = 0;
  int late_attempts = 0;  // attempts at the lost zone, later than 12 s after its loss
};

TEST(FleetTest, ReportsCutTheTimeToEjectALostZoneToAThird) {
  const Fleet alone(1000, /*with_reports=*/false, 0);
  const Fleet exchanging(1000, /*with_reports=*/true, 0);
  EXPECT_EQ(alone.wrong_ejections, 0);
  EXPECT_EQ(exchanging.wrong_ejections, 0);
  EXPECT_LE(10 * exchanging.median, 6 * alone.median) << alone.median;
  EXPECT_LE(3 * exchanging.p99, alone.p99) << alone.p99;
  EXPECT_LE(exchanging.send_rate, 2.0 * 2000);
}

// Without reports each sidecar probes by itself, every two seconds on average.
TEST(FleetTest, AnEjectedZoneIsProbedByFewButSome) {
  constexpr Micros kExtraTime = 10'000'000;
  const Fleet alone(300, /*with_reports=*/false, 0, 8, kExtraTime);
  const Fleet exchanging(300, /*with_reports=*/true, 0, 8, kExtraTime);
  EXPECT_LE(3 * exchanging.late_attempts, alone.late_attempts) << exchanging.late_attempts;
  EXPECT_GE(exchanging.late_attempts, 10);
}

TEST(FleetTest, LosingEveryReportEqualsSendingNone) {
  const Fleet alone(200, /*with_reports=*/false, 0);
  const Fleet all_lost(200, /*with_reports=*/true, 1);
  EXPECT_EQ(all_lost.wrong_ejections, 0);
  EXPECT_EQ(all_lost.p99, alone.p99);
}

TEST(FleetTest, HalfOfTheReportsAreEnough) {
  const Fleet alone(1000, /*with_reports=*/false, 0);
  const Fleet lossy(1000, /*with_reports=*/true, 0.5);
  EXPECT_EQ(lossy.wrong_ejections, 0);
  EXPECT_LE(2 * lossy.p99, alone.p99);
}

// Guards against false ejections: only the sidecars that have just met dead servers would report if healthy
// evidence weren't reported as urgently.
TEST(FleetTest, ReportsDontEjectAHealthyZoneWithSomeDeadServers) {
  for (const std::uint64_t dead : {2U, 3U}) {
    const Fleet alone(300, /*with_reports=*/false, 0, dead);
    const Fleet exchanging(300, /*with_reports=*/true, 0, dead);
    EXPECT_LE(exchanging.wrong_ejections, alone.wrong_ejections + 5) << dead;
  }
}

}  // namespace
}  // namespace merlinrun::fleet
