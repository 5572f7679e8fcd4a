// The planned end, in virtual time.
#include "core/drain.hpp"

#include <gtest/gtest.h>

#include "../harness.hpp"
#include "virtual_loop.hpp"

namespace merlinrun::core {
namespace {

using namespace testing;             // NOLINT(google-build-using-namespace)
using namespace merlinrun::testing;  // NOLINT(google-build-using-namespace)

class ScriptedFront : public Front {
 public:
  void Drain() override { steps += "drain "; }
  void StopAccepting() override { steps += "stop "; }
  void CloseIdle() override { steps += "idle "; }
  std::size_t sessions() const override { return open; }
  std::string steps;
  std::size_t open = 0;
};

class DrainTest : public ::testing::Test {
 protected:
  DrainTest()
      : exchanges(
            loop, LateCounts(), 7, [] {}, [](std::string_view) {}),
        drain(loop, exchanges) {
    exchanges.OnServers({ListUpdate::Kind::kFull, 1, MakeServers(4)});
    drain.Add(front);
    drain.Add(other);
  }
  static Settings LateCounts() {  // so that the module waits past the aim
    Settings settings = MakeSettings();
    for (RequestClass& c : settings.classes) c.late_worth = 0.5;
    return settings;
  }
  void Take(const std::string& id) {
    Arrival arrival;
    arrival.id = id;
    arrival.request = std::make_unique<Note>(id);
    arrival.caller = ledger.NewCaller(id);
    arrival.egress = &egress;
    exchanges.Take(std::move(arrival));
  }
  void Start() {
    drain.Start([this] { ++finished; });
  }

  VirtualLoop loop;
  Ledger ledger;
  HeldEgress egress;
  ScriptedFront front;
  ScriptedFront other;
  Exchanges exchanges;
  Drain drain;
  int finished = 0;
};

TEST_F(DrainTest, TakesEveryFrontThroughTheStepsAndEndsOnce) {
  Start();
  Start();
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

TEST_F(DrainTest, AnswersWhatWouldOutlastTheKill) {
  Start();
  loop.Run(400 * kMs);
  Take("r1");  // has 5 s by its class, and the drain ends in 2.8 s
  loop.Run(2700 * kMs);
  EXPECT_TRUE(ledger.For("r1").empty());
  loop.Run(200 * kMs);
  EXPECT_EQ(ledger.For("r1").size(), 1U);
  EXPECT_EQ(finished, 1);
}

TEST_F(DrainTest, WaitsForTheAnswersToBeReadButNotForEver) {
  Take("r1");
  front.open = 1;
  Start();
  loop.Run(1 * kSec);
  egress.Resolve(0, Result::kSuccess, "ok");
  loop.Run(1 * kSec);
  EXPECT_EQ(finished, 0);
  loop.Run(2 * kSec);
  EXPECT_EQ(finished, 1);
}

}  // namespace
}  // namespace merlinrun::core
