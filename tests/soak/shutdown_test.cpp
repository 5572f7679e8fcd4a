// Requests around the SIGTERM of a sidecar: cores, sidecars and servers on loopback.
#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <optional>
#include <string>

#include "rig/mesh/await.hpp"
#include "rig/soak/cluster.hpp"

namespace fennelhollow::rig::soak {
namespace {

constexpr int kGracePeriodS = 6;
// Requests that are sent later than this after SIGTERM must be served or refused, never given up.
constexpr milliseconds kLastExcusedRequest{3000};
constexpr milliseconds kLongTimeLimit{10'000}, kShortTimeLimit{1000};
constexpr milliseconds kResponseTimeout{12'000};
constexpr milliseconds kSetupTimeout{15'000};
constexpr milliseconds kPollInterval{50};

// The program of the installation under test, or the one that was built.
std::string Program() {
  const char* program = std::getenv("FENNELHOLLOW_TEST_PROGRAM");
  return program != nullptr ? program : FENNELHOLLOW_NODE;
}

// A configuration whose routes /unsafe/ and /safe/ may take kLongTimeLimit.
std::string ConfigurationWithSlowRoutes() {
  nlohmann::json configuration = FirstConfiguration();
  for (const char* kind : {"unsafe", "safe"}) {
    nlohmann::json route = ConfigurationRoute(kind, kind, kOrderService);
    route["specification"]["timeoutMs"] = kLongTimeLimit.count();
    configuration["resourceList"].push_back(route);
  }
  return configuration.dump();
}

// Two sidecars; the second one's server serves both routes, and requests are sent to the first one.
struct ShutdownFixture {
  ShutdownFixture()
      : cluster(io, {.program = Program(), .cores = 3, .sidecars = 2, .grace_period_s = kGracePeriodS},
                checker) {
    REQUIRE(cluster.Start());
    REQUIRE(Await(ApplyConfiguration()));
    REQUIRE(Await(WaitUntilServed()));
  }

  template <class T>
  T Await(asio::awaitable<T> task) {
    return rig::Await(io, std::move(task));
  }
  void WaitUntil(Clock::time_point time) {
    while (Clock::now() < time) io.run_one_for(std::chrono::milliseconds(1));
  }

  asio::awaitable<bool> ApplyConfiguration() {
    const std::string body = ConfigurationWithSlowRoutes();
    const auto until = Clock::now() + kSetupTimeout;
    while (Clock::now() < until) {
      HttpConnection connection(io, cluster.node(0).control());
      const auto response = co_await connection.Call(
          MakeRequest(http::verb::post, "/-/Configuration.Replace", connection.address().Text(), body),
          milliseconds(1000));
      if (response && response->result_int() == 200) co_return true;
      co_await Sleep(io, kPollInterval);
    }
    co_return false;
  }
  asio::awaitable<bool> WaitUntilServed() {
    const auto until = Clock::now() + kSetupTimeout;
    while (Clock::now() < until) {
      HttpConnection connection(io, sidecar().outbound());
      const auto response = co_await Send(connection, kShortTimeLimit);
      if (response && response->result_int() == 200) co_return true;
      co_await Sleep(io, kPollInterval);
    }
    co_return false;
  }
  asio::awaitable<std::optional<Response>> Send(HttpConnection& connection, milliseconds time_limit) {
    last_id = AttemptId(++sent);
    return connection.Call(ShopRequest(unsafe, unsafe ? "/unsafe/x" : "/safe/x", last_id, time_limit),
                           kResponseTimeout);
  }
  // Status of the response to a request on a new connection; 0: none.
  int SendAndWait(milliseconds time_limit) {
    HttpConnection connection(io, sidecar().outbound());
    const auto response = Await(Send(connection, time_limit));
    return response ? static_cast<int>(response->result_int()) : 0;
  }
  int Executions() const {
    const auto found = cluster.runs().find(last_id);
    return found == cluster.runs().end() ? 0 : found->second;
  }
  NodeProcess& sidecar() { return cluster.sidecar(0); }

  asio::io_context io{1};
  ConsistencyChecker checker;
  Cluster cluster;
  bool unsafe = true;  // the kind of the next requests
  std::uint64_t sent = 0;
  std::string last_id;
};

TEST_CASE("a request that is sent long after SIGTERM is refused if its server may outlast the shutdown") {
  ShutdownFixture fixture;
  fixture.cluster.SlowDownServers(400);
  // A process that handles the signal late must still keep to the time of the signal.
  fixture.sidecar().Signal(SIGSTOP);
  fixture.sidecar().Signal(SIGTERM);
  const auto signalled_at = Clock::now();
  fixture.WaitUntil(signalled_at + milliseconds(500));
  fixture.sidecar().Signal(SIGCONT);
  fixture.WaitUntil(signalled_at + kLastExcusedRequest + milliseconds(100));
  CHECK(fixture.SendAndWait(kLongTimeLimit) == 503);
  CHECK(fixture.Executions() == 0);
}

TEST_CASE("a request that is sent long after SIGTERM is served if its time limit ends before the shutdown") {
  ShutdownFixture fixture;
  HttpConnection kept(fixture.io, fixture.sidecar().outbound());
  // Keeps the process from ending early: its server takes 1.2 to 3.6 s.
  fixture.cluster.SlowDownServers(60);
  fixture.sidecar().Signal(SIGTERM);
  const auto signalled_at = Clock::now();
  fixture.WaitUntil(signalled_at + milliseconds(1000));
  std::optional<Response> slow;
  asio::co_spawn(fixture.io, fixture.Send(kept, kLongTimeLimit),
                 [&](std::exception_ptr, std::optional<Response> response) { slow = std::move(response); });
  fixture.WaitUntil(signalled_at + milliseconds(2500));
  fixture.cluster.SlowDownServers(1);
  CHECK(fixture.SendAndWait(kShortTimeLimit) == 200);
  fixture.WaitUntil(signalled_at + std::chrono::seconds(kGracePeriodS));
  REQUIRE(slow.has_value());
  CHECK(slow->result_int() == 200);
  CHECK(fixture.sidecar().Ended());
  CHECK(fixture.sidecar().status() == 0);
}

TEST_CASE("a request is not passed on to a server whose sidecar may end before it") {
  ShutdownFixture fixture;
  fixture.unsafe = GENERATE(true, false);
  INFO(fixture.unsafe);
  fixture.cluster.SlowDownServers(400);
  fixture.cluster.sidecar(1).Signal(SIGTERM);
  fixture.WaitUntil(Clock::now() + milliseconds(500));
  CHECK(fixture.SendAndWait(kLongTimeLimit) == 503);
  CHECK(fixture.Executions() == 0);
}

TEST_CASE("SIGHUP does not kill a process that is ending") {
  ShutdownFixture fixture;
  for (const std::size_t machine : {fixture.cluster.cores(), std::size_t{0}}) {
    NodeProcess& node = fixture.cluster.node(machine);
    INFO(node.name());
    node.Signal(SIGTERM);
    const auto until = Clock::now() + std::chrono::seconds(kGracePeriodS);
    while (!node.Ended() && Clock::now() < until) {
      node.Signal(SIGHUP);
      fixture.WaitUntil(Clock::now() + milliseconds(1));
    }
    CHECK(node.EndText() == "status 0");
  }
}

}  // namespace
}  // namespace fennelhollow::rig::soak
