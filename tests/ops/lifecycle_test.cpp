// Tests the lifecycle of the sidecar in virtual time.
#include "ops/lifecycle.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../core/virtual_loop.hpp"
#include "../harness.hpp"

namespace merlinrun::ops {
namespace {

using namespace core::testing;       // NOLINT(google-build-using-namespace)
using namespace merlinrun::testing;  // NOLINT(google-build-using-namespace)
using State = Lifecycle::State;

class FakeListener : public core::ProtocolListener {
 public:
  void SetDraining(bool on) override {
    steps += on ? "drain " : "back ";
    draining = on;
  }
  void StopAccepting() override {
    steps += "stop ";
    accepting = false;
  }
  void PauseAccepting() override {
    steps += "pause ";
    accepting = false;
  }
  void ResumeAccepting() override {
    steps += "resume ";
    accepting = true;
  }
  void CloseIdle(Micros min_idle) override {
    if (min_idle == 0) steps += "idle ";
    idle_limits.push_back(min_idle);
  }
  std::size_t sessions() const override { return open; }

  std::string steps;
  std::vector<Micros> idle_limits;
  std::size_t open = 0;
  bool draining = false;
  bool accepting = true;
};

Settings SettingsWithLateWorth() {  // makes the balancer wait past the target latency
  Settings settings = MakeSettings();
  for (RequestClass& c : settings.classes) c.late_value = 0.5;
  return settings;
}

struct Fixture {
  Fixture()
      : request_manager(
            loop, SettingsWithLateWorth(), 7, [] {}, [](std::string_view) {}),
        lifecycle(loop, request_manager) {
    request_manager.OnServers({ListUpdate::Kind::kFull, 1, MakeServers(4)});
    lifecycle.Add(listener);
    lifecycle.Add(other);
  }
  void Submit(const std::string& id) {
    core::IncomingRequest incoming;
    incoming.id = id;
    incoming.request = std::make_unique<TextMessage>(id);
    incoming.response_sink = responses.NewResponseSink(id);
    incoming.egress = &egress;
    request_manager.Submit(std::move(incoming));
  }
  void Stop() {
    lifecycle.Stop([this] { ++finished; });
  }

  VirtualLoop loop;
  ResponseLog responses;
  FakeEgress egress;
  FakeListener listener;
  FakeListener other;
  core::RequestManager request_manager;
  Lifecycle lifecycle;
  int finished = 0;
};

class LifecycleTest : public ::testing::Test, protected Fixture {};

TEST_F(LifecycleTest, AcceptsNoClientsBeforeItIsReady) {
  EXPECT_FALSE(lifecycle.AcceptsClients());
  EXPECT_FALSE(lifecycle.CanServe());
  lifecycle.MarkReady();
  EXPECT_TRUE(lifecycle.AcceptsClients());
  EXPECT_TRUE(lifecycle.CanServe());
}

TEST_F(LifecycleTest, EvacuationClosesTheLongestIdleConnectionsFirst) {
  lifecycle.MarkReady();
  EXPECT_TRUE(lifecycle.Evacuate());
  EXPECT_FALSE(lifecycle.AcceptsClients());
  EXPECT_TRUE(lifecycle.CanServe());
  EXPECT_TRUE(listener.draining && other.draining);
  loop.Run(Lifecycle::kEvacuationTime);
  EXPECT_TRUE(std::is_sorted(listener.idle_limits.rbegin(), listener.idle_limits.rend()));
  EXPECT_EQ(listener.idle_limits.front(), Lifecycle::kEvacuationTime);
  EXPECT_LE(listener.idle_limits.back(), 200 * kMs);
  EXPECT_TRUE(listener.accepting);
}

TEST_F(LifecycleTest, RejoinsImmediatelyAlsoWhileDraining) {
  lifecycle.MarkReady();
  lifecycle.Evacuate();
  loop.Run(300 * kMs);
  EXPECT_TRUE(lifecycle.Rejoin());
  EXPECT_TRUE(lifecycle.AcceptsClients());
  EXPECT_FALSE(listener.draining);
  const auto checks = listener.idle_limits.size();
  loop.Run(10 * kSec);
  EXPECT_EQ(listener.idle_limits.size(), checks) << "connections are still closed after Rejoin";
}

TEST_F(LifecycleTest, RepeatedCallsChangeNothing) {
  lifecycle.MarkReady();
  EXPECT_TRUE(lifecycle.Rejoin());
  EXPECT_EQ(listener.steps, "");
  lifecycle.Evacuate();
  loop.Run(1 * kSec);
  lifecycle.Evacuate();
  EXPECT_EQ(listener.steps, "drain ");
  loop.Run(1 * kSec);
  EXPECT_LE(listener.idle_limits.back(), 200 * kMs) << "the second call restarted the drain";
}

TEST_F(LifecycleTest, EvacuatedBeforeReadyStaysEvacuatedUntilRejoin) {
  lifecycle.Evacuate();
  lifecycle.MarkReady();
  EXPECT_FALSE(lifecycle.AcceptsClients());
  lifecycle.Rejoin();
  EXPECT_TRUE(lifecycle.AcceptsClients());
}

TEST_F(LifecycleTest, StoppingTakesPrecedence) {
  lifecycle.MarkReady();
  lifecycle.Evacuate();
  Stop();
  EXPECT_FALSE(lifecycle.Rejoin());
  EXPECT_FALSE(lifecycle.Evacuate());
  EXPECT_FALSE(lifecycle.CanServe());
  loop.Run(10 * kSec);
  EXPECT_EQ(finished, 1);
}

TEST_F(LifecycleTest, StoppingTakesEveryListenerThroughTheStepsAndFinishesOnce) {
  Stop();
  Stop();
  EXPECT_EQ(listener.steps, "drain ");
  loop.Run(500 * kMs);
  EXPECT_EQ(listener.steps, "drain ");
  loop.Run(100 * kMs);
  EXPECT_EQ(listener.steps, "drain stop ");
  EXPECT_EQ(finished, 0);
  loop.Run(200 * kMs);
  EXPECT_EQ(listener.steps, "drain stop idle ");
  EXPECT_EQ(other.steps, listener.steps);
  EXPECT_EQ(finished, 1);
  loop.Run(10 * kSec);
  EXPECT_EQ(finished, 1);
}

TEST_F(LifecycleTest, AnswersAllRequestsBeforeTheKill) {
  Stop();
  loop.Run(400 * kMs);
  Submit("r1");  // its deadline is in 5 s, that of the shutdown in 2.8 s
  loop.Run(2700 * kMs);
  EXPECT_TRUE(responses.For("r1").empty());
  loop.Run(200 * kMs);
  EXPECT_EQ(responses.For("r1").size(), 1U);
  EXPECT_EQ(finished, 1);
}

TEST_F(LifecycleTest, WaitsALimitedTimeForResponsesToBeRead) {
  Submit("r1");
  listener.open = 1;
  Stop();
  loop.Run(1 * kSec);
  egress.Resolve(0, Result::kSuccess, "ok");
  loop.Run(1 * kSec);
  EXPECT_EQ(finished, 0);
  loop.Run(2 * kSec);
  EXPECT_EQ(finished, 1);
}

// After any sequence of calls the state follows from the last effective call, also in the listeners.
RC_GTEST_PROP(LifecycleProperty, FollowsTheLastEffectiveCall, (const std::vector<std::uint8_t>& calls)) {
  Fixture f;
  bool started = false;
  bool evacuated = false;
  bool stopping = false;
  for (const std::uint8_t call : calls) {
    switch (call % 5) {
      case 0:
        f.lifecycle.MarkReady();
        started = true;
        break;
      case 1:
        RC_ASSERT(f.lifecycle.Evacuate() == !stopping);
        evacuated = true;
        break;
      case 2:
        RC_ASSERT(f.lifecycle.Rejoin() == !stopping);
        evacuated = false;
        break;
      case 3:
        f.loop.Run((call / 5) * 40 * kMs);
        break;
      default:
        if (call % 2 == 0) break;  // stops less often than the other calls
        f.Stop();
        stopping = true;
    }
    RC_ASSERT(f.lifecycle.AcceptsClients() == (started && !evacuated && !stopping));
    RC_ASSERT(f.lifecycle.CanServe() == (!stopping && (started || evacuated)));
    RC_ASSERT(f.listener.draining == (stopping || evacuated));
  }
  f.loop.Run(10 * kSec);
  RC_ASSERT(f.finished == (stopping ? 1 : 0));
}

}  // namespace
}  // namespace merlinrun::ops
