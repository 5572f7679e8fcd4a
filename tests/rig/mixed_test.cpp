// HTTP and Diameter traffic through one sidecar to servers that crash, restart and stall.
#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class MixedTest : public RigTest {};

TEST_F(MixedTest, ForwardsTheServersDiameterAnswer) {
  Build(2);
  TrafficGenerator none(env->classes, 0, 1);
  const auto client = Client(none, 1);
  client->SendRequest(FindClass("number-port"));
  ASSERT_TRUE(env->RunUntil([&] { return client->answers() == 1; }));
  EXPECT_EQ(diameter::ResultCodeOf(client->last()), ResultCode::kSuccess);
  EXPECT_EQ(Violations() + Overdue(), "");
  EXPECT_EQ(env->checker.Summary()["number-port"].served, 1U);
  EXPECT_EQ(sidecar->active_requests(), 0U);
}

// 20,000 requests, one in ten not repeatable (number-port). A server crashes while it executes one, another
// server restarts, and a Diameter client restarts with pending requests.
TEST_F(MixedTest, EveryRequestHasOneOutcomeAndNoUnsafeRequestRunsTwice) {
  Build(6);
  TrafficGenerator traffic(env->classes, 20'000, 42);
  bool killed = false;
  env->servers[1]->set_script([&](const std::string&, const std::string& name) {
    if (killed || name != "number-port" || traffic.issued() < 5'000) return Server::Fault::kNone;
    killed = true;
    env->loop.Post([&] { env->discovery.Set(*env->servers[1], "removed"); });
    return Server::Fault::kCrash;
  });
  std::vector<std::unique_ptr<HttpClient>> http;
  for (int i = 0; i < 16; ++i) {
    http.push_back(std::make_unique<HttpClient>(env->io, env->loop, env->checker, traffic, sidecar->address(),
                                                "h" + std::to_string(i)));
    http.back()->Start();
  }
  const auto one = Client(traffic, 10, 1);
  const auto two = Client(traffic, 6, 2);
  ASSERT_TRUE(env->RunUntil([&] { return traffic.issued() >= 10'000; }));
  env->servers[2]->Restart();
  env->discovery.Set(*env->servers[2], "up");
  ASSERT_TRUE(env->RunUntil([&] { return traffic.issued() >= 15'000; }));
  ASSERT_FALSE(one->idle());
  one->Restart();
  const auto all_idle = [&] {
    bool idle = traffic.remaining() == 0 && one->idle() && two->idle();
    for (const auto& client : http) idle = idle && client->idle();
    return idle;
  };
  EXPECT_TRUE(env->RunUntil(all_idle));
  EXPECT_TRUE(killed);
  EXPECT_EQ(Violations() + Overdue(), "");
  std::uint64_t sent = 0;
  std::uint64_t served = 0;
  for (const auto& [name, row] : env->checker.Summary()) {
    sent += row.sent;
    served += row.served;
    EXPECT_EQ(row.served + row.refused + row.failed + row.abandoned, row.sent) << name;
  }
  EXPECT_EQ(sent, 20'000U);
  EXPECT_GT(served, 19'000U);
}

}  // namespace
}  // namespace merlinrun::rig
