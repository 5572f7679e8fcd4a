// Eight sidecar processes that share zone health by datagrams, some of them lost, delayed, forged or stale.
#include <gtest/gtest.h>

#include <csignal>

#include "fleet/report.hpp"
#include "tests/cluster/cluster_test.hpp"

namespace merlinrun::rig {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ClusterReportTest : public ClusterTest {
 protected:
  void Build() {
    ClusterOptions options;
    options.peer_reports = true;
    ClusterTest::Build(options);
    ASSERT_TRUE(WaitUntil([&] { return AllReceiveFrom(kReportQuorum); }));
  }
  std::uint64_t ReportCounter(std::size_t sidecar, const char* figure) const {
    const nlohmann::json trace = cluster_->Trace(sidecar);
    return trace.is_null() ? 0 : trace.at("words").at(figure).get<std::uint64_t>();
  }
  bool AllReceiveFrom(std::size_t least) const {
    for (std::size_t i = 0; i < Size(); ++i)
      if (ReportCounter(i, "heard") < least) return false;
    return true;
  }
  // A datagram that reports this stage of both zones.
  std::string ForgedReport(std::size_t sender, zones::Stage stage, unsigned dead, std::uint64_t sequence,
                           std::uint64_t incarnation) const {
    fleet::PeerReport report{static_cast<std::uint32_t>(sender), incarnation, sequence, 1, {}};
    for (int zone = 0; zone < 2; ++zone) report.zones.push_back({zone, stage, 9, dead, 10, 1'000});
    return fleet::Encode(report);
  }
  std::uint64_t NowMs() const { return static_cast<std::uint64_t>(cluster_->env().loop.Now() / 1000); }
  // Sends forged datagrams in the name of the last sidecar, more frequent and newer than its own.
  void SendForgedFor(milliseconds time, zones::Stage stage, unsigned dead) {
    const std::uint64_t incarnation = NowMs() + 5'000;
    for (milliseconds at{0}; at < time; at += milliseconds(50)) {
      cluster_->report_network().SendAs(Size() - 1,
                                        ForgedReport(Size() - 1, stage, dead, ++forged_count_, incarnation));
      WaitFor(milliseconds(50));
    }
  }
  // Number of heard peers required to move a zone.
  static constexpr std::size_t kReportQuorum = 5;
  std::uint64_t forged_count_ = 0;
};

TEST_F(ClusterReportTest, AllEjectALostZoneOnceAndReturnOnce) {
  Build();
  FailAndRecover(West());
  ExpectEpochs(2);  // one ejection, one return, and none of the other zone
  StopAndVerify();
}

TEST_F(ClusterReportTest, AllEjectALostZoneAndReturnWithoutAnyReports) {
  Build();
  cluster_->report_network().SetAll({.loss = 1});
  EXPECT_TRUE(WaitUntil([&] {
    for (std::size_t i = 0; i < Size(); ++i)
      if (ReportCounter(i, "heard") > 0) return false;
    return true;
  }));
  FailAndRecover(West());
  ExpectEpochs(2);
  StopAndVerify();
}

TEST_F(ClusterReportTest, DuplicatedDelayedAndReorderedReportsGivesTheSameResult) {
  Build();
  cluster_->report_network().SetAll({.loss = 0.2, .duplicate = 0.5, .max_delay = 1'500'000});
  WaitFor(seconds(3));
  FailAndRecover(West());
  ExpectEpochs(2);
  std::uint64_t old = 0;
  for (std::size_t i = 0; i < Size(); ++i) old += ReportCounter(i, "old");
  EXPECT_GT(old, 0U);
  StopAndVerify();
}

TEST_F(ClusterReportTest, OneSidecarThatReportsAllZonesDeadMovesNobody) {
  Build();
  SendForgedFor(seconds(4), zones::Stage::kEjected, 9);
  ExpectEpochs(0);
  StopAndVerify();
}

TEST_F(ClusterReportTest, OneSidecarThatReportsAllZonesHealthyDoesNotPreventEjection) {
  Build();
  SendForgedFor(seconds(1), zones::Stage::kServing, 0);
  cluster_->SetLinks(West(), FaultProxy::Mode::kRefuse);
  SendForgedFor(seconds(4), zones::Stage::kServing, 0);
  EXPECT_EQ(Ejected(West()), Size());
  StopAndVerify();
}

TEST_F(ClusterReportTest, APartitionedFleetEjectsByHalvesAndRecovers) {
  Build();
  const auto split = [&](double loss) {
    for (std::size_t i = 0; i < Size(); i += 2)
      for (std::size_t j = 1; j < Size(); j += 2) cluster_->report_network().SetBetween(i, j, {.loss = loss});
  };
  split(1);
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->SetLinks(i, West(), FaultProxy::Mode::kRefuse);
  EXPECT_TRUE(WaitUntil([&] { return Ejected(West()) == Size() / 2; }));
  split(0);  // they hear of each other's view and neither half adopts it
  WaitFor(seconds(3));
  for (std::size_t i = 0; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), i % 2 == 0 ? 1U : 0U) << i;
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->SetLinks(i, West(), FaultProxy::Mode::kPass);
  EXPECT_TRUE(WaitUntil([&] { return InUse(West()) == Size(); }));
  for (std::size_t i = 0; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), i % 2 == 0 ? 2U : 0U) << i;
  StopAndVerify();
}

// Seven sidecars can't reach the zone; the eighth can and must rely on its own responses.
TEST_F(ClusterReportTest, ASidecarThatGetsResponsesStaysDespiteAllOthers) {
  Build();
  for (std::size_t i = 1; i < Size(); ++i) cluster_->SetLinks(i, West(), FaultProxy::Mode::kRefuse);
  EXPECT_TRUE(WaitUntil([&] { return Ejected(West()) == Size() - 1; }));
  WaitFor(seconds(2));
  EXPECT_EQ(cluster_->Epoch(0), 0U);
  StopAndVerify();
}

TEST_F(ClusterReportTest, InvalidForeignAndStaleDatagramsAreCountedAndDropped) {
  Build();
  const std::uint64_t before = ReportCounter(0, "broken") + ReportCounter(0, "foreign") +
                               ReportCounter(0, "future") + ReportCounter(0, "old");
  EXPECT_EQ(before, 0U);
  cluster_->report_network().SendAs(3, "noise");
  cluster_->report_network().SendAs(3, std::string(400, 'x'));
  cluster_->report_network().SendAs(
      3, ForgedReport(5, zones::Stage::kEjected, 9, 1, NowMs()));  // another sender's name
  cluster_->report_network().SendAs(
      3, ForgedReport(3, zones::Stage::kEjected, 9, 1, NowMs() + 3'600'000));  // from the future
  cluster_->report_network().SendAs(
      3, ForgedReport(3, zones::Stage::kEjected, 9, 99, NowMs() - 3'600'000));  // from an old incarnation
  EXPECT_TRUE(WaitUntil([&] { return ReportCounter(0, "old") == 1; }));
  EXPECT_EQ(ReportCounter(0, "broken"), 2U);
  EXPECT_EQ(ReportCounter(0, "foreign"), 1U);
  EXPECT_EQ(ReportCounter(0, "future"), 1U);
  StopAndVerify();
}

TEST_F(ClusterReportTest, SidecarsRestartedDuringEjectionEjectToo) {
  Build();
  cluster_->SetLinks(West(), FaultProxy::Mode::kRefuse);
  ASSERT_TRUE(WaitUntil([&] { return Ejected(West()) > 0; }));
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->Kill(i);
  WaitFor(milliseconds(500));
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->Start(i);
  EXPECT_TRUE(WaitUntil([&] { return Ejected(West()) == Size(); }));
  EXPECT_TRUE(WaitUntil([&] { return AllReceiveFrom(kReportQuorum); }));
  cluster_->SetLinks(West(), FaultProxy::Mode::kPass);
  EXPECT_TRUE(WaitUntil([&] { return InUse(West()) == Size(); }));
  StopAndVerify();
}

TEST_F(ClusterReportTest, APausedSidecarResumesWithStaleReportsAndMovesNobody) {
  Build();
  cluster_->SetLinks(West(), FaultProxy::Mode::kRefuse);
  ASSERT_TRUE(WaitUntil([&] { return Ejected(West()) == Size(); }));
  cluster_->Signal(0, SIGSTOP);
  cluster_->SetLinks(West(), FaultProxy::Mode::kPass);
  EXPECT_TRUE(WaitUntil([&] { return InUse(West()) == Size() - 1; }));
  WaitFor(seconds(3));
  cluster_->Signal(0, SIGCONT);
  EXPECT_TRUE(WaitUntil([&] { return InUse(West()) == Size(); }));
  WaitFor(seconds(2));
  for (std::size_t i = 1; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), 2U) << i;
  // Requests held by the paused sidecar are late, so that the checker's violations don't apply.
  for (std::size_t i = 0; i < Size(); ++i) EXPECT_TRUE(cluster_->Runs(i)) << i;
}

}  // namespace
}  // namespace merlinrun::rig
