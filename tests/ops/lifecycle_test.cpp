// The sidecar's phase, in virtual time.
#include "ops/lifecycle.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "../core/virtual_loop.hpp"
#include "../harness.hpp"

namespace merlinrun::ops {
namespace {

using namespace core::testing;       // NOLINT(google-build-using-namespace)
using namespace merlinrun::testing;  // NOLINT(google-build-using-namespace)
using State = Phase::State;

class ScriptedFront : public core::ProtocolListener {
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
  void CloseIdle(Micros rested) override {
    if (rested == 0) steps += "idle ";
    rests.push_back(rested);
  }
  std::size_t sessions() const override { return open; }

  std::string steps;
  std::vector<Micros> rests;
  std::size_t open = 0;
  bool draining = false;
  bool accepting = true;
};

Settings LateCounts() {  // so that the module waits past the aim
  Settings settings = MakeSettings();
  for (RequestClass& c : settings.classes) c.late_value = 0.5;
  return settings;
}

struct Fixture {
  Fixture()
      : request_manager(
            loop, LateCounts(), 7, [] {}, [](std::string_view) {}),
        phase(loop, request_manager) {
    request_manager.OnServers({ListUpdate::Kind::kFull, 1, MakeServers(4)});
    phase.Add(front);
    phase.Add(other);
  }
  void Take(const std::string& id) {
    core::IncomingRequest arrival;
    arrival.id = id;
    arrival.request = std::make_unique<Note>(id);
    arrival.response_sink = ledger.NewResponseSink(id);
    arrival.egress = &egress;
    request_manager.Submit(std::move(arrival));
  }
  void Stop() {
    phase.Stop([this] { ++finished; });
  }

  VirtualLoop loop;
  Ledger ledger;
  HeldEgress egress;
  ScriptedFront front;
  ScriptedFront other;
  core::RequestManager request_manager;
  Phase phase;
  int finished = 0;
};

class PhaseTest : public ::testing::Test, protected Fixture {};

TEST_F(PhaseTest, TakesNobodyBeforeItCanServe) {
  EXPECT_FALSE(phase.TakesClients());
  EXPECT_FALSE(phase.CanServe());
  phase.Started();
  EXPECT_TRUE(phase.TakesClients());
  EXPECT_TRUE(phase.CanServe());
}

TEST_F(PhaseTest, EvacuatedItSaysNoToClientsAndEndsWhatRestsTheLongestFirst) {
  phase.Started();
  EXPECT_TRUE(phase.Evacuate());
  EXPECT_FALSE(phase.TakesClients());
  EXPECT_TRUE(phase.CanServe());
  EXPECT_TRUE(front.draining && other.draining);
  loop.Run(Phase::kEvacuated);
  EXPECT_TRUE(std::is_sorted(front.rests.rbegin(), front.rests.rend()));
  EXPECT_EQ(front.rests.front(), Phase::kEvacuated);
  EXPECT_LE(front.rests.back(), 200 * kMs);
  EXPECT_TRUE(front.accepting);
}

TEST_F(PhaseTest, RejoinsAtOnceAlsoAmidADrain) {
  phase.Started();
  phase.Evacuate();
  loop.Run(300 * kMs);
  EXPECT_TRUE(phase.Rejoin());
  EXPECT_TRUE(phase.TakesClients());
  EXPECT_FALSE(front.draining);
  const auto looks = front.rests.size();
  loop.Run(10 * kSec);
  EXPECT_EQ(front.rests.size(), looks) << "it went on closing connections after its return";
}

TEST_F(PhaseTest, ASecondCallOfAKindChangesNothing) {
  phase.Started();
  EXPECT_TRUE(phase.Rejoin());
  EXPECT_EQ(front.steps, "");
  phase.Evacuate();
  loop.Run(1 * kSec);
  phase.Evacuate();
  EXPECT_EQ(front.steps, "drain ");
  loop.Run(1 * kSec);
  EXPECT_LE(front.rests.back(), 200 * kMs) << "the second call began the drain anew";
}

TEST_F(PhaseTest, EvacuatedBeforeItCouldServeItStaysSoUntilItRejoins) {
  phase.Evacuate();
  phase.Started();
  EXPECT_FALSE(phase.TakesClients());
  phase.Rejoin();
  EXPECT_TRUE(phase.TakesClients());
}

TEST_F(PhaseTest, StoppingOutranksBothCalls) {
  phase.Started();
  phase.Evacuate();
  Stop();
  EXPECT_FALSE(phase.Rejoin());
  EXPECT_FALSE(phase.Evacuate());
  EXPECT_FALSE(phase.CanServe());
  loop.Run(10 * kSec);
  EXPECT_EQ(finished, 1);
}

TEST_F(PhaseTest, StoppingTakesEveryFrontThroughTheStepsAndEndsOnce) {
  Stop();
  Stop();
  EXPECT_EQ(front.steps, "drain ");
  loop.Run(500 * kMs);
  EXPECT_EQ(front.steps, "drain ");
  loop.Run(100 * kMs);
  EXPECT_EQ(front.steps, "drain stop ");
  EXPECT_EQ(finished, 0);
  loop.Run(200 * kMs);
  EXPECT_EQ(front.steps, "drain stop idle ");
  EXPECT_EQ(other.steps, front.steps);
  EXPECT_EQ(finished, 1);
  loop.Run(10 * kSec);
  EXPECT_EQ(finished, 1);
}

TEST_F(PhaseTest, AnswersWhatWouldOutlastTheKill) {
  Stop();
  loop.Run(400 * kMs);
  Take("r1");  // has 5 s by its class, and the end is in 2.8 s
  loop.Run(2700 * kMs);
  EXPECT_TRUE(ledger.For("r1").empty());
  loop.Run(200 * kMs);
  EXPECT_EQ(ledger.For("r1").size(), 1U);
  EXPECT_EQ(finished, 1);
}

TEST_F(PhaseTest, WaitsForTheAnswersToBeReadButNotForEver) {
  Take("r1");
  front.open = 1;
  Stop();
  loop.Run(1 * kSec);
  egress.Resolve(0, Result::kSuccess, "ok");
  loop.Run(1 * kSec);
  EXPECT_EQ(finished, 0);
  loop.Run(2 * kSec);
  EXPECT_EQ(finished, 1);
}

// Whatever is called in whatever order: the phase is what the last call that counts asked for, and the fronts
// have been told so.
RC_GTEST_PROP(PhaseProperty, FollowsTheLastCallThatCounts, (const std::vector<std::uint8_t>& calls)) {
  Fixture f;
  bool started = false;
  bool away = false;
  bool stopping = false;
  for (const std::uint8_t call : calls) {
    switch (call % 5) {
      case 0:
        f.phase.Started();
        started = true;
        break;
      case 1:
        RC_ASSERT(f.phase.Evacuate() == !stopping);
        away = true;
        break;
      case 2:
        RC_ASSERT(f.phase.Rejoin() == !stopping);
        away = false;
        break;
      case 3:
        f.loop.Run((call / 5) * 40 * kMs);
        break;
      default:
        if (call % 2 == 0) break;  // so that not every row ends at once
        f.Stop();
        stopping = true;
    }
    RC_ASSERT(f.phase.TakesClients() == (started && !away && !stopping));
    RC_ASSERT(f.phase.CanServe() == (!stopping && (started || away)));
    RC_ASSERT(f.front.draining == (stopping || away));
  }
  f.loop.Run(10 * kSec);
  RC_ASSERT(f.finished == (stopping ? 1 : 0));
}

}  // namespace
}  // namespace merlinrun::ops
