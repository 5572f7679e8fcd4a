// Tests which reports count and for how long, and that the result doesn't depend on the order, duplication or
// loss of superseded reports.
#include "fleet/peer_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace merlinrun::fleet {
namespace {

constexpr Micros kNow = 1'796'000'000'000'000;  // Unix time in microseconds
constexpr std::uint64_t kStart = kNow / 1000 - 10'000;

ZoneReport Lost(int zone = 1) { return {zone, zones::Stage::kEjected, 1, 3, 20, 500}; }
ZoneReport Healthy(int zone = 1) { return {zone, zones::Stage::kServing, 0, 0, 20, 9'000}; }

class PeerTableTest : public ::testing::Test {
 protected:
  PeerTable::ReportOutcome Receive(std::uint32_t sender, const ZoneReport& zone,
                                   std::uint64_t incarnation = kStart) {
    return peer_table_.OnReport(now_, {sender, incarnation, ++sequence_, 1, {zone}});
  }
  PeerTable peer_table_{0};
  Micros now_ = kNow;
  std::uint64_t sequence_ = 0;
};

TEST_F(PeerTableTest, ASenderCountsOnceHoweverOftenItReports) {
  for (int i = 0; i < 100; ++i) Receive(5, Lost());
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_lost, 1);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting, 1);
  EXPECT_EQ(peer_table_.Summarize(now_, 0).reporting, 0);
}

TEST_F(PeerTableTest, ReportsExpire) {
  Receive(1, Lost());
  Receive(2, Healthy());
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_healthy, 1);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_lost, 1);
  now_ += PeerTable::kEvidenceTtl;  // the evidence has expired, the report hasn't
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_healthy, 0);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_lost,
            1);  // evidence of a sender that ejected the zone lasts longer
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting, 2);
  now_ += PeerTable::kReportTtl;
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting, 0);
  EXPECT_EQ(peer_table_.RecentPeerCount(now_), 0U);
}

TEST_F(PeerTableTest, ANewIncarnationSupersedesOldReports) {
  Receive(1, Lost());
  EXPECT_EQ(peer_table_.OnReport(now_, {1, kStart + 500, 1, 1, {Healthy()}}),
            PeerTable::ReportOutcome::kAccepted);
  EXPECT_EQ(peer_table_.restarts(), 1U);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_healthy, 1);
  // A report from before the restart, delayed in transit.
  EXPECT_EQ(peer_table_.OnReport(now_, {1, kStart, 900, 1, {Lost()}}), PeerTable::ReportOutcome::kStale);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_lost, 0);
}

TEST_F(PeerTableTest, FutureIncarnationsAndOwnReportsAreDropped) {
  EXPECT_EQ(Receive(1, Lost(), kNow / 1000 + 3'600'000), PeerTable::ReportOutcome::kFutureIncarnation);
  EXPECT_EQ(Receive(0, Lost()), PeerTable::ReportOutcome::kFromSelf);
  EXPECT_EQ(peer_table_.known_peers(), 0U);
}

TEST_F(PeerTableTest, AContradictingSenderIsExcludedUntilItAgreesAgain) {
  for (int round = 0; round < 10; ++round) {
    for (std::uint32_t other = 1; other <= 4; ++other) Receive(other, Healthy());
    Receive(9, Lost());
    now_ += 100'000;
  }
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_lost, 0);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting, 4);
  for (int round = 0; round < 60; ++round) Receive(9, Healthy());
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting, 5);
}

TEST_F(PeerTableTest, InASplitFleetNobodyLosesCredibility) {
  for (int round = 0; round < 20; ++round) {
    for (std::uint32_t other = 1; other <= 4; ++other) Receive(other, Healthy());
    for (std::uint32_t other = 5; other <= 8; ++other) Receive(other, Lost());
    now_ += 100'000;
  }
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting_lost, 4);
  EXPECT_EQ(peer_table_.Summarize(now_, 1).reporting, 8);
}

TEST_F(PeerTableTest, ReturnTimeIsThatOfAQuorum) {
  const auto returned = [](Micros for_ms) {
    return ZoneReport{1, zones::Stage::kReturning, 2, 0, 20, for_ms};
  };
  Receive(1, returned(600'000));  // a faulty sender
  Receive(2, returned(1'500));
  EXPECT_EQ(peer_table_.Summarize(now_, 1).returned_for, 0);
  Receive(3, returned(900));
  EXPECT_EQ(peer_table_.Summarize(now_, 1).returned_for, 900'000);
  now_ += 100'000;
  EXPECT_EQ(peer_table_.Summarize(now_, 1).returned_for, 1'000'000);
}

PeerReport GenerateReport() {
  PeerReport report;
  report.sender = *rc::gen::inRange<std::uint32_t>(1, 6);
  report.incarnation = kStart + *rc::gen::inRange<std::uint64_t>(0, 3);
  report.sequence = *rc::gen::inRange<std::uint64_t>(1, 9);
  // The content follows from the identifiers, as one sender sends one report per sequence number.
  const bool lost = (report.sender + report.incarnation + report.sequence) % 2 == 0;
  report.zones.push_back(lost ? Lost() : Healthy());
  return report;
}

// Merging is a join: any order, any duplication, and the loss of any report that isn't its sender's newest.
RC_GTEST_PROP(PeerTableProperty, OrderDuplicationAndLossDontChangeTheResult, ()) {
  const auto reports = *rc::gen::container<std::vector<PeerReport>>(rc::gen::exec(GenerateReport));
  std::vector<PeerReport> shuffled = reports;
  for (const PeerReport& report : reports)
    if (*rc::gen::arbitrary<bool>()) shuffled.push_back(report);
  for (std::size_t i = shuffled.size(); i > 1; --i)
    std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
  PeerTable one(0);
  PeerTable two(0);
  for (const PeerReport& report : reports) one.OnReport(kNow, report);
  for (const PeerReport& report : shuffled) {
    const bool newest = std::none_of(reports.begin(), reports.end(), [&](const PeerReport& newer) {
      return newer.sender == report.sender &&
             std::tie(newer.incarnation, newer.sequence) > std::tie(report.incarnation, report.sequence);
    });
    if (newest || *rc::gen::arbitrary<bool>()) two.OnReport(kNow, report);
  }
  for (std::uint32_t sender = 1; sender < 6; ++sender) {
    const PeerReport* a = one.LatestReport(sender);
    const PeerReport* b = two.LatestReport(sender);
    RC_ASSERT((a == nullptr) == (b == nullptr));
    if (a != nullptr) RC_ASSERT(*a == *b);
  }
}

}  // namespace
}  // namespace merlinrun::fleet
