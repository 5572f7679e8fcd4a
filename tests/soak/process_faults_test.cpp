// Node processes that meet a limit of the kernel, an address in use or unfinished settings must not end.
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "nodes.hpp"

namespace fennelhollow::rig {
namespace {

constexpr milliseconds kExitTimeout{6'000};
// Longer than a process takes to give up when it does not wait.
constexpr milliseconds kHeldFor{1'500};
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr int kRoutes = 200;  // what a core evaluates within a call's time there, without a memory limit
#else
constexpr int kRoutes = 1000;
#endif
constexpr const char* kReplacePath = "/-/Configuration.Replace";

Tcp::acceptor Hold(asio::io_context& io, const Address& address) {
  return Tcp::acceptor(io, address.Endpoint(), true);
}

TEST_CASE("a core waits for an address that another process holds") {
  Nodes nodes;
  NodeProcess& core = nodes.Add(NodeProcess::Role::kCore);
  for (const Address& address : {core.control(), core.internal()}) {
    auto held = std::make_unique<Tcp::acceptor>(Hold(nodes.io, address));
    REQUIRE(core.Start());
    nodes.Pause(kHeldFor);
    INFO(address.Text() << ": " << core.Log());
    REQUIRE_FALSE(core.Ended());
    held.reset();
    REQUIRE(nodes.Until(kStartTimeout, [&] { return nodes.Serves(core); }));
    core.Kill();
  }
}

TEST_CASE("a sidecar waits for an address that another process holds") {
  Nodes nodes;
  NodeProcess& sidecar = nodes.Add(NodeProcess::Role::kSidecar);
  for (const Address& address :
       {sidecar.outbound(), sidecar.readiness(), sidecar.control(), sidecar.internal()}) {
    auto held = std::make_unique<Tcp::acceptor>(Hold(nodes.io, address));
    REQUIRE(sidecar.Start());
    nodes.Pause(kHeldFor);
    INFO(address.Text() << ": " << sidecar.Log());
    REQUIRE_FALSE(sidecar.Ended());
    held.reset();
    REQUIRE(
        nodes.Until(kStartTimeout, [&] { return nodes.Get(sidecar.readiness(), "/-/readiness") == 503; }));
    REQUIRE(nodes.Serves(sidecar));
    sidecar.Kill();
  }
}

TEST_CASE("SIGTERM ends a node that waits for an address") {
  Nodes nodes;
  for (const auto role : {NodeProcess::Role::kCore, NodeProcess::Role::kSidecar}) {
    NodeProcess& node = nodes.Add(role);
    const auto held = Hold(nodes.io, node.control());
    REQUIRE(node.Start());
    nodes.Pause(kHeldFor);
    node.Signal(SIGTERM);
    REQUIRE(nodes.Until(kExitTimeout, [&] { return node.Ended(); }));
    CHECK(node.EndText() == "status 0");
  }
}

#if !defined(__SANITIZE_THREAD__)  // whose runtime writes a file before main
TEST_CASE("a core outlives a limit on the size of its files") {
  Nodes nodes;
  ProcessLimits limits;
  limits.file_size_bytes = 1;
  NodeProcess& core = nodes.Add(NodeProcess::Role::kCore, limits);
  REQUIRE(core.Start());
  const bool reported = nodes.Until(kStartTimeout, [&] {
    return core.Ended() || nodes.StatusText(core).find("\"diskBad\":true") != std::string::npos;
  });
  CHECK(core.EndText() == "status -1");
  CHECK(reported);
}
#endif

TEST_CASE("cores outlive a large configuration within their memory limit") {
  Nodes nodes;
  ProcessLimits limits;
  limits.address_space_bytes = kCoreMemoryMb * kMebibyte;
  for (int i = 0; i < kCores; ++i) REQUIRE(nodes.Add(NodeProcess::Role::kCore, limits).Start());
  nlohmann::json configuration = FirstConfiguration();
  for (int i = 0; i < kRoutes; ++i)
    configuration["resourceList"].push_back(
        ConfigurationRoute("large-" + std::to_string(i), "safe", kPlanService));
  const Request change = MakeRequest(http::verb::post, kReplacePath, kHost, configuration.dump());
  const bool taken = nodes.Until(kStartTimeout, [&] {
    for (const auto& core : nodes.processes)
      if (nodes.Call(core->control(), change) == 200) return true;
    return false;
  });
  for (const auto& core : nodes.processes) {
    INFO(core->Log());
    CHECK_FALSE(core->Ended());
    CHECK(core->EndText() == "status -1");
  }
  CHECK(taken);
}

TEST_CASE("a node waits for settings that are still being written") {
  Nodes nodes;
  for (const auto role : {NodeProcess::Role::kCore, NodeProcess::Role::kSidecar}) {
    NodeProcess& node = nodes.Add(role);
    const std::string settings = node.Settings();
    for (const std::size_t written : {std::size_t{0}, settings.size() / 3, settings.size() / 2}) {
      REQUIRE(node.StartWithSettings(settings.substr(0, written)));
      nodes.Pause(kHeldFor);
      node.WriteSettings(settings);
      INFO(written << " bytes: " << node.Log());
      REQUIRE(nodes.Until(kStartTimeout, [&] { return node.Ended() || nodes.Serves(node); }));
      REQUIRE_FALSE(node.Ended());
      node.Kill();
    }
  }
}

TEST_CASE("settings that stay incomplete are reported as an error") {
  Nodes nodes;
  NodeProcess& node = nodes.Add(NodeProcess::Role::kSidecar);
  REQUIRE(node.StartWithSettings("selfNode: {"));
  REQUIRE(nodes.Until(kExitTimeout, [&] { return node.Ended(); }));
  CHECK(node.EndText() == "status 2");
}

}  // namespace
}  // namespace fennelhollow::rig
