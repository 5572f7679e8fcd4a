// Fixture for tests with several sidecar processes.
#ifndef MERLINRUN_TESTS_CLUSTER_CLUSTER_TEST_HPP_
#define MERLINRUN_TESTS_CLUSTER_CLUSTER_TEST_HPP_

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "rig/cluster/cluster.hpp"

namespace merlinrun::rig {

class ClusterTest : public ::testing::Test {
 protected:
  void Build(ClusterOptions options = {}) {
    cluster_ = std::make_unique<Cluster>(FENNELHOLLOW_PROGRAM, options);
    // Waits until all sidecars use both zones.
    ASSERT_TRUE(
        WaitUntil([&] { return Count(West(), "serving") == Size() && Count(East(), "serving") == Size(); }));
  }
  // Polls every 50 ms: reading all traces at each event would delay servers and clients.
  bool WaitUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      WaitFor(std::chrono::milliseconds(50));
    }
    return true;
  }
  void WaitFor(std::chrono::milliseconds time) { cluster_->env().RunFor(time); }
  DataCentre& East() { return cluster_->env().east; }
  DataCentre& West() { return cluster_->env().west; }
  std::size_t Size() const { return cluster_->size(); }
  std::size_t Count(const DataCentre& zone, const std::string& stage) const {
    return cluster_->Count(zone, stage);
  }
  std::size_t Ejected(const DataCentre& zone) const { return cluster_->Ejected(zone); }
  std::size_t InUse(const DataCentre& zone) const { return cluster_->InUse(zone); }
  // Fails the zone for all sidecars, expects that all eject it and no other, then recovers it.
  void FailAndRecover(DataCentre& zone, FaultProxy::Mode mode = FaultProxy::Mode::kRefuse) {
    cluster_->SetLinks(zone, mode);
    EXPECT_TRUE(WaitUntil([&] { return Ejected(zone) == Size(); }));
    std::size_t others = 0;
    for (const DataCentre* other : cluster_->env().zones) others += other != &zone ? Ejected(*other) : 0;
    EXPECT_EQ(others, 0U);
    cluster_->SetLinks(zone, FaultProxy::Mode::kPass);
    EXPECT_TRUE(WaitUntil([&] { return InUse(zone) == Size(); }));
  }
  void ExpectEpochs(std::uint64_t epoch) const {
    for (std::size_t i = 0; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), epoch) << i;
  }
  void StopAndVerify() {
    EXPECT_TRUE(cluster_->StopTraffic());
    EXPECT_EQ(cluster_->Violations(), "");
    for (std::size_t i = 0; i < Size(); ++i) EXPECT_TRUE(cluster_->Runs(i)) << i;
  }

  std::unique_ptr<Cluster> cluster_;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_TESTS_CLUSTER_CLUSTER_TEST_HPP_
