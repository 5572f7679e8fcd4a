// Operation of the real program under constant load: drain and resume, upgrade by a second process, crashes
// during an upgrade. Clients must not notice.
#include <csignal>
#include <nlohmann/json.hpp>

#include "fixture.hpp"
#include "rig/process.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

constexpr std::uint64_t kUnlimitedRequests = 1'000'000;

class OperationTest : public ::testing::Test {
 protected:
  OperationTest()
      : env(ShortClasses(), 4, {}, ExampleFile()),
        traffic(env.classes, kUnlimitedRequests, 7),
        listen(FreeAddress()),
        tmpdir(MakeTempDirectory()) {}
  ~OperationTest() override { std::filesystem::remove_all(tmpdir); }

  std::unique_ptr<Process> Start(const std::string& ops) {
    return std::make_unique<Process>(FENNELHOLLOW_PROGRAM, env,
                                     Process::Options{listen, "", ops, tmpdir.string()});
  }
  // Waits until it is ready; null on timeout.
  std::unique_ptr<Process> StartReady(const std::string& ops) {
    auto process = Start(ops);
    return WaitForReady(env, ops) ? std::move(process) : nullptr;
  }
  void StartClients(int count) {
    for (int i = 0; i < count; ++i) {
      clients.push_back(std::make_unique<HttpClient>(env.io, env.loop, env.checker, traffic,
                                                     ParseEndpoint(listen), "c" + std::to_string(i)));
      clients.back()->Start();
    }
  }
  // Waits until this many more requests have been issued; false if the clients are stuck.
  bool WaitForRequests(std::uint64_t more) {
    const auto until = traffic.issued() + more;
    return env.RunUntil([&] { return traffic.issued() >= until; }, std::chrono::seconds(20));
  }
  // Stops the traffic and returns all violations; empty if there are none.
  std::string Problems() {
    traffic.Stop();
    const bool idle = env.RunUntil([&] {
      return std::all_of(clients.begin(), clients.end(), [](const auto& client) { return client->idle(); });
    });
    std::string out = idle ? "" : "a client waits for a response\n";
    for (const std::string& line : env.checker.violations()) out += line + "\n";
    for (const std::string& id : env.checker.Overdue(env.loop.Now() + 60'000'000))
      out += "overdue: " + id + "\n";
    return out;
  }
  unsigned ClientsReady() { return HttpCall(listen, "GET", "/ready").status; }

  TestEnvironment env;
  TrafficGenerator traffic;
  std::vector<std::unique_ptr<HttpClient>> clients;
  const std::string listen;
  const std::filesystem::path tmpdir;
};

TEST_F(OperationTest, ClientsDoNotNoticeTenUpgradesUnderLoad) {
  std::string ops = FreeAddress();
  auto process = StartReady(ops);
  ASSERT_TRUE(process);
  StartClients(12);
  ASSERT_TRUE(WaitForRequests(200));
  const std::size_t limit = env.Config().at("limits").at("sockets");
  for (int i = 0; i < 10; ++i) {
    const std::string next_ops = FreeAddress();
    auto next = Start(next_ops);
    ASSERT_TRUE(WaitForReady(env, next_ops)) << i;
    EXPECT_LE(process->descriptors() + next->descriptors(), limit);
    process->Signal(SIGTERM);
    ASSERT_EQ(process->Wait(env), 0) << i;
    ASSERT_TRUE(WaitForRequests(100)) << i;
    process = std::move(next);
  }
  EXPECT_EQ(Problems(), "");
}

TEST_F(OperationTest, DrainsAndResumesTenTimesUnderLoad) {
  const std::string ops = FreeAddress();
  const auto process = StartReady(ops);
  ASSERT_TRUE(process);
  StartClients(8);
  for (int i = 0; i < 10; ++i) {
    const auto idle = std::make_shared<Tcp::socket>(env.io);
    idle->connect(ParseEndpoint(listen));
    ASSERT_EQ(HttpCall(ops, "PUT", "/api/evacuate").status, 200U);
    EXPECT_EQ(ClientsReady(), 503U);
    if (i % 2 == 0) {  // otherwise it resumes during the drain
      bool ended = false;
      char byte = 0;
      idle->async_read_some(boost::asio::buffer(&byte, 1),
                            [&ended, idle](boost::system::error_code, std::size_t) { ended = true; });
      EXPECT_TRUE(env.RunUntil([&] { return ended; }, std::chrono::seconds(10)))
          << "idle connection stays open";
    }
    ASSERT_EQ(HttpCall(ops, "PUT", "/api/rejoin").status, 200U);
    EXPECT_EQ(ClientsReady(), 200U);
    ASSERT_TRUE(WaitForRequests(50)) << i;
  }
  EXPECT_EQ(Problems(), "");
}

TEST_F(OperationTest, TheOldProcessKeepsServingIfTheNewOneDies) {
  const std::string ops = FreeAddress();
  const auto process = StartReady(ops);
  ASSERT_TRUE(process);
  StartClients(4);
  Start(FreeAddress()).reset();  // killed at once
  ASSERT_TRUE(WaitForRequests(50));
  EXPECT_EQ(Problems(), "");
  // Once it is ready, its clients lose their connections; the old process accepts again.
  const std::string next_ops = FreeAddress();
  auto next = StartReady(next_ops);
  ASSERT_TRUE(next);
  next.reset();
  EXPECT_TRUE(env.RunUntil([&] { return ClientsReady() == 200U; }, std::chrono::seconds(10)));
}

TEST_F(OperationTest, TheNewProcessKeepsTheListenerIfTheOldOneIsKilled) {
  const std::string ops = FreeAddress();
  auto process = StartReady(ops);
  ASSERT_TRUE(process);
  const std::string next_ops = FreeAddress();
  const auto next = StartReady(next_ops);
  ASSERT_TRUE(next);
  process.reset();
  StartClients(4);
  ASSERT_TRUE(WaitForRequests(100));
  EXPECT_EQ(Problems(), "");
}

TEST_F(OperationTest, StaysEvacuatedThroughAnUpgrade) {
  const std::string ops = FreeAddress();
  const auto process = StartReady(ops);
  ASSERT_TRUE(process);
  ASSERT_EQ(HttpCall(ops, "PUT", "/api/evacuate").status, 200U);
  const std::string next_ops = FreeAddress();
  const auto next = StartReady(next_ops);
  ASSERT_TRUE(next);
  EXPECT_EQ(ClientsReady(), 503U);
  process->Signal(SIGTERM);
  EXPECT_EQ(process->Wait(env), 0);
  EXPECT_EQ(ClientsReady(), 503U);
  EXPECT_EQ(HttpCall(next_ops, "PUT", "/api/rejoin").status, 200U);
  EXPECT_EQ(ClientsReady(), 200U);
}

// The peer report address can't be handed over: both processes must be able to hold it during the upgrade.
TEST_F(OperationTest, ClientsDoNotNoticeAnUpgradeWithPeerReports) {
  const std::string report_address = FreeAddress();
  nlohmann::json config = env.Config();
  config["settings"]["allowed"]["peers"] = true;
  config["peer_listen"] = report_address;
  config["peers"] = {report_address};
  config["settings"]["siblings"] = 1;
  const auto start = [&](const std::string& ops) {
    auto process = std::make_unique<Process>(
        FENNELHOLLOW_PROGRAM, env,
        Process::Options{listen, "", ops, tmpdir.string(), config, "", "# words\n"});
    return WaitForReady(env, ops) ? std::move(process) : nullptr;
  };
  auto process = start(FreeAddress());
  ASSERT_TRUE(process);
  StartClients(4);
  ASSERT_TRUE(WaitForRequests(100));
  auto next = start(FreeAddress());
  ASSERT_TRUE(next);
  process->Signal(SIGTERM);
  EXPECT_EQ(process->Wait(env), 0);
  ASSERT_TRUE(WaitForRequests(100));
  EXPECT_EQ(Problems(), "");
}

TEST_F(OperationTest, InvalidPeersFailTheStartOnlyWithPeerReports) {
  nlohmann::json config = env.Config();
  config["settings"]["allowed"]["peers"] = true;
  config["settings"]["siblings"] = 4;
  config["peer_listen"] = FreeAddress();
  const auto status = [&](const nlohmann::json& peers, const std::string& fleet) {
    config["peers"] = peers;
    Process process(FENNELHOLLOW_PROGRAM, env, {listen, "", "", "", config, "", fleet});
    return process.Wait(env);
  };
  const nlohmann::json four = {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "somewhere"};
  EXPECT_EQ(status(four, "# words\n"), 2);
  EXPECT_EQ(status(nlohmann::json::array({"127.0.0.1:1"}), "# words\n"), 2);  // fewer than sidecars
  EXPECT_EQ(status(nlohmann::json::array(), "loud = true\n"), 2);
  config["peers"] = four;
  const std::string ops = FreeAddress();
  const Process off(FENNELHOLLOW_PROGRAM, env, {listen, "", ops, tmpdir.string(), config});
  EXPECT_TRUE(WaitForReady(env, ops));
}

TEST_F(OperationTest, ASecondProcessStartsWithoutATemporaryDirectory) {
  const std::string ops[] = {FreeAddress(), FreeAddress()};
  const Process first(FENNELHOLLOW_PROGRAM, env, {listen, "", ops[0], "/nonexistent"});
  ASSERT_TRUE(WaitForReady(env, ops[0]));
  const Process second(FENNELHOLLOW_PROGRAM, env, {listen, "", ops[1], "/nonexistent"});
  EXPECT_TRUE(WaitForReady(env, ops[1]));
  EXPECT_EQ(ClientsReady(), 200U);
}

TEST_F(OperationTest, TelemetryMatchesTheInvariantChecker) {
  const std::string ops = FreeAddress();
  const auto process = StartReady(ops);
  ASSERT_TRUE(process);
  for (const auto& server : env.servers)
    server->set_script([n = 0](const std::string&, const std::string&) mutable {
      ++n;
      if (n % 17 == 0) return Server::Fault::kError;
      if (n % 13 == 0) return Server::Fault::kDecline;
      return n % 19 == 0 ? Server::Fault::kTruncate : Server::Fault::kNone;
    });
  StartClients(10);
  ASSERT_TRUE(WaitForRequests(1500));
  EXPECT_EQ(Problems(), "");
  const auto figures = nlohmann::json::parse(HttpCall(ops, "GET", "/api/telemetry").body);
  std::uint64_t arrived = 0;
  for (const auto& server : env.servers) arrived += server->arrived();
  EXPECT_EQ(figures.at("active"), 0);
  EXPECT_EQ(figures.at("tries"), arrived);
  EXPECT_EQ(figures.at("pool_size"), env.servers.size());
  for (const auto& [name, row] : env.checker.Summary()) {
    const auto& of = figures.at("responses").at(name);
    EXPECT_EQ(of.at("ok"), row.served) << name;
    EXPECT_EQ(of.at("shed"), row.refused) << name;
    EXPECT_EQ(of.at("errors"), row.failed) << name;
    EXPECT_GT(row.served, 0U) << name;
  }
}

}  // namespace
}  // namespace merlinrun::rig
