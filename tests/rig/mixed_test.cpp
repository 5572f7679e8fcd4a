// HTTP and Diameter together through one sidecar to stand-in servers that die, restart and stall: the ledger
// says what was broken.
#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

#include "net/config.hpp"
#include "net/sidecar.hpp"
#include "rig/world.hpp"

namespace merlinrun::rig {
namespace {

using diameter::ResultCode;

// The example that operators are given, on a port that the kernel chooses.
std::string ExampleFile() {
  std::ifstream file(FENNELHOLLOW_SOURCE "/deploy/diameter.example.toml");
  std::ostringstream text;
  text << file.rdbuf();
  std::string out = text.str();
  const std::string port = "127.0.0.1:3868";
  out.replace(out.find(port), port.size(),
              "127.0.0.1:" + std::to_string([] {
                boost::asio::io_context io;
                Tcp::acceptor free_port(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
                return free_port.local_endpoint().port();
              }()));
  return out;
}

class MixedTest : public ::testing::Test {
 protected:
  void Build(int servers, ServerOptions options = {}) {
    const std::string text = ExampleFile();
    world = std::make_unique<World>(ShortClasses(), servers, options, text);
    path = ::testing::TempDir() + "diameter-" + std::to_string(::getpid()) + ".toml";
    std::ofstream(path, std::ios::trunc) << text;
    net::Config config = net::ParseConfig(world->Config().dump(), "", "");
    config.listen = {boost::asio::ip::make_address("127.0.0.1"), 0};
    config.diameter = path;
    sidecar = std::make_unique<net::Sidecar>(world->io, std::move(config));
    sidecar->Start();
  }
  ~MixedTest() override {
    if (!path.empty()) std::remove(path.c_str());
  }
  std::unique_ptr<DiameterClient> Client(Traffic& traffic, std::size_t window, int number = 1) {
    auto client = std::make_unique<DiameterClient>(
        world->io, world->loop, world->ledger, traffic, sidecar->diameter()->front().address(),
        "backoffice-" + std::to_string(number) + ".franchise.example", world->application.id, window);
    client->Start();
    EXPECT_TRUE(world->RunUntil([&] { return client->up(); }));
    return client;
  }
  std::string Verdict() const {
    std::string out;
    for (const std::string& line : world->ledger.broken()) out += line + "\n";
    for (const std::string& id : world->ledger.Owed(world->loop.Now() + 60'000'000)) out += id + " is owed\n";
    return out;
  }
  const WorkClass& Class(const std::string& name) const {
    return *std::find_if(world->classes.begin(), world->classes.end(),
                         [&](const WorkClass& c) { return c.name == name; });
  }
  std::string Server0Heard() const {
    std::string out;
    for (const auto& message : world->servers[0]->heard())
      out += std::to_string(message.header.command) + " ";
    return out;
  }

  std::string path;
  std::unique_ptr<World> world;
  std::unique_ptr<net::Sidecar> sidecar;
};

TEST_F(MixedTest, ServesADiameterRequestWithTheServersOwnAnswer) {
  Build(2);
  Traffic none(world->classes, 0, 1);
  const auto client = Client(none, 1);
  client->Ask(Class("number-port"));
  ASSERT_TRUE(world->RunUntil([&] { return client->answers() == 1; }));
  EXPECT_EQ(diameter::ResultOf(client->last()), ResultCode::kSuccess);
  EXPECT_EQ(Verdict(), "");
  EXPECT_EQ(world->ledger.Rows()["number-port"].served, 1U);
  EXPECT_EQ(sidecar->requests_held(), 0U);
}

// 20,000 requests, one in ten a port. A server dies with a port begun, one restarts, the back office restarts
// with requests under way.
TEST_F(MixedTest, EveryRequestHasOneOutcomeAndNoPortRunsTwice) {
  Build(6);
  Traffic traffic(world->classes, 20'000, 42);
  bool killed = false;
  bool port_killed_over_diameter = false;
  world->servers[1]->set_script([&](const std::string& id, const std::string& name) {
    if (killed || name != "number-port" || traffic.asked() < 5'000) return Server::Fault::kNone;
    killed = true;
    port_killed_over_diameter = id[0] == 'D';
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
  EXPECT_EQ(Verdict(), "");
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
