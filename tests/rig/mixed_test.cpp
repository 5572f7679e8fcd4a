// HTTP and Diameter together through one sidecar to stand-in servers that die, restart and stall: the ledger
// says what was broken.
#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class MixedTest : public RigTest {};

TEST_F(MixedTest, ServesADiameterRequestWithTheServersOwnAnswer) {
  Build(2);
  Traffic none(world->classes, 0, 1);
  const auto client = Client(none, 1);
  client->Ask(Class("number-port"));
  ASSERT_TRUE(world->RunUntil([&] { return client->answers() == 1; }));
  EXPECT_EQ(diameter::ResultCodeOf(client->last()), ResultCode::kSuccess);
  EXPECT_EQ(Broken() + Owed(), "");
  EXPECT_EQ(world->ledger.Rows()["number-port"].served, 1U);
  EXPECT_EQ(sidecar->active_requests(), 0U);
}

// 20,000 requests, one in ten a port. A server dies with a port begun, one restarts, the back office restarts
// with requests under way.
TEST_F(MixedTest, EveryRequestHasOneOutcomeAndNoPortRunsTwice) {
  Build(6);
  Traffic traffic(world->classes, 20'000, 42);
  bool killed = false;
  world->servers[1]->set_script([&](const std::string&, const std::string& name) {
    if (killed || name != "number-port" || traffic.asked() < 5'000) return Server::Fault::kNone;
    killed = true;
    world->loop.Post([&] { world->discovery.Set(*world->servers[1], "removed"); });
    return Server::Fault::kDie;
  });
  std::vector<std::unique_ptr<HttpClient>> http;
  for (int i = 0; i < 16; ++i) {
    http.push_back(std::make_unique<HttpClient>(world->io, world->loop, world->ledger, traffic,
                                                sidecar->address(), "h" + std::to_string(i)));
    http.back()->Start();
  }
  const auto one = Client(traffic, 10, 1);
  const auto two = Client(traffic, 6, 2);
  ASSERT_TRUE(world->RunUntil([&] { return traffic.asked() >= 10'000; }));
  world->servers[2]->Restart();
  world->discovery.Set(*world->servers[2], "up");
  ASSERT_TRUE(world->RunUntil([&] { return traffic.asked() >= 15'000; }));
  ASSERT_FALSE(one->idle());
  one->Restart();
  const auto all_idle = [&] {
    bool idle = traffic.left() == 0 && one->idle() && two->idle();
    for (const auto& client : http) idle = idle && client->idle();
    return idle;
  };
  EXPECT_TRUE(world->RunUntil(all_idle));
  EXPECT_TRUE(killed);
  EXPECT_EQ(Broken() + Owed(), "");
  std::uint64_t asked = 0;
  std::uint64_t served = 0;
  for (const auto& [name, row] : world->ledger.Rows()) {
    asked += row.asked;
    served += row.served;
    EXPECT_EQ(row.served + row.refused + row.failed + row.left, row.asked) << name;
  }
  EXPECT_EQ(asked, 20'000U);
  EXPECT_GT(served, 19'000U);
}

}  // namespace
}  // namespace merlinrun::rig
