// What a server has been told about its draining and its departure must outlive restarts of its sidecar and
// of the cores: a heartbeat that comes late must not bring it back.
#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>

#include "nodes.hpp"

namespace fennelhollow::rig {
namespace {

constexpr const char* kLeaving = "i-leaving";
constexpr const char* kWitness = "i-witness";
// Longer than a core's registry counts as incomplete after its start.
constexpr milliseconds kCoreWarmUp{4'000};

// Three cores and a sidecar; the heartbeats of the servers beside it are sent by the tests.
struct Mesh : Nodes {
  Mesh() {
    for (int i = 0; i < kCores; ++i) REQUIRE(Add(NodeProcess::Role::kCore).Start());
    REQUIRE(Add(NodeProcess::Role::kSidecar).Start());
  }
  NodeProcess& core(std::size_t i) { return *processes[i]; }
  NodeProcess& sidecar() { return *processes.back(); }

  // The status of the response to a heartbeat; `port` tells the addresses of servers apart.
  unsigned SendHeartbeat(const std::string& id, int sequence, const char* state, int port) {
    const nlohmann::json heartbeat = {
        {"address", sidecar().control().ip + ":" + std::to_string(port)},
        {"information", {{"service", kPlanService}, {"version", "v1"}, {"zone", "here"}, {"slots", 4}}},
        {"statusReport", {{"state", state}, {"callSequence", sequence}, {"coldRemainingMs", 0}}}};
    return Call(sidecar().control(),
                MakeRequest(http::verb::post, "/-/Instances.Heartbeat/" + id, kHost, heartbeat.dump()));
  }
  unsigned SendDeparture(const std::string& id) {
    return Call(sidecar().control(),
                MakeRequest(http::verb::post, "/-/Instances.Departure/" + id, kHost, "{}"));
  }
  bool Acknowledged(const std::function<unsigned()>& call) {
    return Until(kStartTimeout, [&] { return call() == 200; });
  }

  // The state of a server by the events of a core; empty if it has had none.
  std::string StateAt(const NodeProcess& at, const std::string& id) {
    std::string state;
    for (const auto& event : EventsOf(at))
      if (event.value("kind", "") == "server" && event.value("id", "") == id)
        state = event.value("state", "");
    return state;
  }
  // Whether the process of a core has ever published this state of a server.
  bool WasEver(const NodeProcess& at, const std::string& id, const char* state) {
    for (const auto& event : EventsOf(at))
      if (event.value("kind", "") == "server" && event.value("id", "") == id &&
          event.value("state", "") == state)
        return true;
    return false;
  }
  bool IsEverywhere(const std::string& id, const char* state) {
    return Until(kStartTimeout, [&] {
      for (std::size_t i = 0; i < kCores; ++i)
        if (StateAt(core(i), id) != state) return false;
      return true;
    });
  }
  nlohmann::json EventsOf(const NodeProcess& at) {
    const std::string body = BodyOf(at.control(), "/-/Events.Read");
    const auto events = nlohmann::json::parse(body, nullptr, false);
    return events.is_object() ? events.value("events", nlohmann::json::array()) : nlohmann::json::array();
  }

  // Whether each core's data directory names the server, so that a kill of the core does not lose it.
  bool AllDisksHold(const std::string& id) {
    return Until(kStartTimeout, [&] {
      for (std::size_t i = 0; i < kCores; ++i)
        if (!HoldsOnDisk(core(i), id)) return false;
      return true;
    });
  }
  bool HoldsOnDisk(const NodeProcess& node, const std::string& id) const {
    std::error_code ignored;
    for (const auto& file : std::filesystem::directory_iterator(folder / (node.name() + ".data"), ignored)) {
      if (!file.is_regular_file()) continue;
      std::ifstream in(file.path(), std::ios::binary);
      const std::string content{std::istreambuf_iterator<char>(in), {}};
      if (content.find(id) != std::string::npos) return true;
    }
    return false;
  }

  void ListServer() {
    REQUIRE(Acknowledged([&] { return SendHeartbeat(kLeaving, 7, "ready", kLeavingPort); }));
    REQUIRE(IsEverywhere(kLeaving, "ready"));
  }
  void RestartSidecar() {
    sidecar().Kill();
    StartSidecar();
  }
  void RestartCoreWithoutDisk() {
    core(0).Kill();
    core(0).LoseDisk();
    REQUIRE(core(0).Start());
    REQUIRE(Until(kStartTimeout, [&] { return Serves(core(0)); }));
  }
  void StartSidecar() {
    REQUIRE(sidecar().Start());
    REQUIRE(Until(kStartTimeout, [&] { return Serves(sidecar()); }));
  }
  // Afterwards the cores have what the sidecar had made of the late heartbeat: reports are in order.
  void SendLateHeartbeat() {
    REQUIRE(SendHeartbeat(kLeaving, 6, "ready", kLeavingPort) == 200);
    REQUIRE(Acknowledged([&] { return SendHeartbeat(kWitness, 1, "ready", kWitnessPort); }));
    REQUIRE(IsEverywhere(kWitness, "ready"));
  }

  static constexpr int kLeavingPort = 9001, kWitnessPort = 9002;
};

// Guards against review/6: requests reached a server long after its departure had been acknowledged.
TEST_CASE("a late heartbeat does not bring back a server that departed before its sidecar was killed") {
  Mesh mesh;
  mesh.ListServer();
  REQUIRE(mesh.Acknowledged([&] { return mesh.SendDeparture(kLeaving); }));
  REQUIRE(mesh.IsEverywhere(kLeaving, "gone"));
  mesh.RestartSidecar();
  mesh.SendLateHeartbeat();
  for (std::size_t i = 0; i < kCores; ++i) CHECK(mesh.StateAt(mesh.core(i), kLeaving) == "gone");
}

// Guards against the same for a server that had reported draining, and still serves.
TEST_CASE("a late heartbeat does not make a draining server ready after its sidecar was killed") {
  Mesh mesh;
  mesh.ListServer();
  REQUIRE(mesh.Acknowledged([&] { return mesh.SendHeartbeat(kLeaving, 8, "draining", Mesh::kLeavingPort); }));
  REQUIRE(mesh.IsEverywhere(kLeaving, "draining"));
  mesh.RestartSidecar();
  mesh.SendLateHeartbeat();
  for (std::size_t i = 0; i < kCores; ++i) CHECK(mesh.StateAt(mesh.core(i), kLeaving) != "ready");
}

// Guards against a departure that is forgotten if all cores are killed beside the sidecar: their disks stay.
TEST_CASE("a late heartbeat does not bring back a server after all nodes were killed") {
  Mesh mesh;
  mesh.ListServer();
  REQUIRE(mesh.Acknowledged([&] { return mesh.SendDeparture(kLeaving); }));
  REQUIRE(mesh.AllDisksHold(kLeaving));
  for (const auto& node : mesh.processes) node->Kill();
  for (std::size_t i = 0; i < kCores; ++i) REQUIRE(mesh.core(i).Start());
  mesh.StartSidecar();
  mesh.SendLateHeartbeat();
  for (std::size_t i = 0; i < kCores; ++i) CHECK(mesh.StateAt(mesh.core(i), kLeaving) != "ready");
}

// Guards against a departure that is forgotten with the disk of a core: the sidecar reports it again.
TEST_CASE("a core that lost its disk learns of a departure from the sidecar") {
  Mesh mesh;
  mesh.ListServer();
  REQUIRE(mesh.Acknowledged([&] { return mesh.SendDeparture(kLeaving); }));
  mesh.RestartCoreWithoutDisk();
  REQUIRE(mesh.AllDisksHold(kLeaving));
  mesh.RestartSidecar();
  mesh.SendLateHeartbeat();
  for (std::size_t i = 0; i < kCores; ++i) CHECK(mesh.StateAt(mesh.core(i), kLeaving) != "ready");
}

// Guards against a departure that is forgotten with the sidecar and the disk of a core: the other cores tell
// the new process of the sidecar, which reports it.
TEST_CASE("a core that lost its disk learns of a departure from the other cores by way of the sidecar") {
  Mesh mesh;
  mesh.ListServer();
  REQUIRE(mesh.Acknowledged([&] { return mesh.SendDeparture(kLeaving); }));
  REQUIRE(mesh.AllDisksHold(kLeaving));
  mesh.Pause(kCoreWarmUp);  // until the other cores are no longer starting
  mesh.sidecar().Kill();
  mesh.RestartCoreWithoutDisk();
  mesh.StartSidecar();
  REQUIRE(mesh.AllDisksHold(kLeaving));
  mesh.SendLateHeartbeat();
  for (std::size_t i = 0; i < kCores; ++i) CHECK(mesh.StateAt(mesh.core(i), kLeaving) != "ready");
}

// Guards against a promise that one core knows of: the loss of that core makes it void.
TEST_CASE("a departure that a minority of the cores has recorded is not acknowledged") {
  Mesh mesh;
  mesh.ListServer();
  const bool disks_full = GENERATE(false, true);
  for (std::size_t i = 0; i + 1 < kCores; ++i) {
    if (disks_full) {
      mesh.core(i).SetDiskFull(true);
    } else {
      mesh.core(i).Signal(SIGSTOP);
    }
  }
  CHECK(mesh.SendDeparture(kLeaving) == 503);
  for (std::size_t i = 0; i + 1 < kCores; ++i) {
    mesh.core(i).SetDiskFull(false);
    mesh.core(i).Signal(SIGCONT);
  }
  CHECK(mesh.Acknowledged([&] { return mesh.SendDeparture(kLeaving); }));
}

// Guards against a departure that some cores have missed: after a kill of all nodes, and the loss of one of
// the disks that had it, the others must not list the server again.
TEST_CASE("cores that missed a departure do not bring the server back") {
  Mesh mesh;
  mesh.ListServer();
  mesh.core(0).Signal(SIGSTOP);
  REQUIRE(mesh.Acknowledged([&] { return mesh.SendDeparture(kLeaving); }));
  for (const auto& node : mesh.processes) node->Kill();
  mesh.core(1).LoseDisk();
  for (std::size_t i = 0; i < kCores; ++i) REQUIRE(mesh.core(i).Start());
  mesh.StartSidecar();
  mesh.SendLateHeartbeat();
  for (std::size_t i = 0; i < kCores; ++i) CHECK_FALSE(mesh.WasEver(mesh.core(i), kLeaving, "ready"));
}

// Guards against an acknowledgement that one kill makes void: nobody but the sidecar knew of it.
TEST_CASE("a sidecar without a core does not acknowledge a departure") {
  Nodes nodes;
  NodeProcess& sidecar = nodes.Add(NodeProcess::Role::kSidecar);
  REQUIRE(sidecar.Start());
  REQUIRE(nodes.Until(kStartTimeout, [&] { return nodes.Serves(sidecar); }));
  const Request departure =
      MakeRequest(http::verb::post, std::string("/-/Instances.Departure/") + kLeaving, kHost, "{}");
  CHECK(nodes.Call(sidecar.control(), departure) == 503);
}

}  // namespace
}  // namespace fennelhollow::rig
