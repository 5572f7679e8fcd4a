#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mesh/control/call_forwarder.hpp"

namespace fennelhollow::control {
namespace {

constexpr Micros kMs = 1000;

struct TestHost : CallForwarderHost {
  bool IsLeader() const override { return is_leader; }
  ReplicaId KnownLeader() const override { return leader; }
  void Serve(Call call) override { served.push_back(std::move(call)); }
  bool IsPartitioned() const override { return partitioned; }
  std::optional<Response> RedirectToPeer(CallKind kind) override {
    if (other_core.empty()) return std::nullopt;
    return RedirectResponse(other_core, kind == CallKind::kRead ? kReadPath : kReplacePath);
  }
  bool SendCall(const ReplicaId& to, const ForwardedCall& call) override {
    if (!connected) return false;
    sent_calls.emplace_back(to, call);
    return true;
  }
  void SendResponse(const ReplicaId& to, const ForwardedResponse& response) override {
    sent_responses.emplace_back(to, response);
  }

  void Submit(int id, const std::string& body = "{}") {
    forwarder.Submit(now, CallKind::kReplace, body, [this, id](Response response) {
      REQUIRE(responses.emplace(id, std::move(response)).second);  // exactly one response
    });
  }
  void Run(Micros time) {
    for (const Micros end = now + time; now < end;) {
      now += 25 * kMs;
      forwarder.OnTick(now);
    }
  }
  unsigned Status(int id) { return responses.count(id) > 0 ? responses[id].status : 0; }

  bool is_leader = false, connected = true, partitioned = false;
  ReplicaId leader;
  std::string other_core;
  Micros now = 1'000'000;
  std::vector<Call> served;
  std::vector<std::pair<ReplicaId, ForwardedCall>> sent_calls;
  std::vector<std::pair<ReplicaId, ForwardedResponse>> sent_responses;
  std::map<int, Response> responses;
  CallForwarder forwarder{*this, {}};
};

TEST_CASE("a call waits for a leader, but not beyond its timeout") {
  TestHost host;
  host.Submit(1);
  host.Run(300 * kMs);
  REQUIRE(host.sent_calls.empty());
  host.leader = "b";
  host.Run(100 * kMs);
  REQUIRE(host.sent_calls.size() == 1);
  host.forwarder.OnResponse(host.now, "c", {1, false, 200, "{}"});  // from the wrong core: ignored
  CHECK(host.Status(1) == 0);
  host.forwarder.OnResponse(host.now, "b", {1, false, 200, "{}"});
  CHECK(host.Status(1) == 200);
  host.leader.clear();
  host.Submit(2);
  host.Run(750 * kMs);
  CHECK(host.Status(2) == 503);
  CHECK(host.forwarder.empty());
}

TEST_CASE("a call is forwarded again after a leader change, a lost connection or a rejection") {
  TestHost host;
  host.leader = "b";
  host.Submit(1);
  SECTION("another core is the leader") {
    host.leader = "c";
    host.forwarder.OnLeaderChange(host.now, "c");
  }
  SECTION("the connection is lost") {
    host.leader = "c";
    host.forwarder.OnPeerDown(host.now, "b");
  }
  SECTION("the core responds that it is not the leader") {
    host.leader = "c";
    host.forwarder.OnResponse(host.now, "b", {1, true, 0, ""});
  }
  host.Run(100 * kMs);
  REQUIRE(host.sent_calls.size() == 2);
  CHECK(host.sent_calls[1].first == "c");
  CHECK(host.sent_calls[1].second.body == host.sent_calls[0].second.body);
  host.forwarder.OnResponse(host.now, "b", {1, false, 412, "{}"});  // late response to the first attempt
  CHECK(host.Status(1) == 0);
  host.forwarder.OnResponse(host.now, "c", {2, false, 200, "{}"});
  CHECK(host.Status(1) == 200);
}

TEST_CASE("callers are redirected to another core while this one is partitioned or the leader unresponsive") {
  TestHost host;
  host.other_core = "10.0.0.2:80";
  host.partitioned = true;
  host.Submit(1);
  CHECK(host.Status(1) == 307);
  CHECK(host.responses[1].headers.at(0).second == "http://10.0.0.2:80/-/Configuration.Replace");
  host.partitioned = false;
  host.leader = "b";
  host.Submit(2);
  host.Run(850 * kMs);
  CHECK(host.Status(2) == 503);  // the outcome is unknown
  host.Submit(3);
  CHECK(host.Status(3) == 307);
  host.Run(3000 * kMs);
  host.Submit(4);
  CHECK(host.Status(4) == 0);  // the redirect period is over
  host.forwarder.OnResponse(host.now, "b", {2, false, 200, "{}"});
  CHECK(host.Status(4) == 200);
  host.other_core.clear();
  host.partitioned = true;
  host.leader.clear();
  host.Submit(5);
  CHECK(host.Status(5) == 0);  // no other core to redirect to
}

TEST_CASE("forwarded calls are served only by the leader") {
  TestHost host;
  host.leader = "c";
  host.forwarder.OnCall(host.now, "b", {7, 0, 500, "{}"});
  REQUIRE(host.sent_responses.size() == 1);
  CHECK((host.sent_responses[0].second.not_leader && host.sent_responses[0].second.call_id == 7));
  host.is_leader = true;
  host.forwarder.OnCall(host.now, "b", {8, 1, 500, "{}"});
  REQUIRE(host.served.size() == 1);
  CHECK(host.served[0].kind == CallKind::kModify);
  CHECK(host.served[0].deadline == host.now + 500 * kMs);
  host.forwarder.OnCall(host.now, "b", {9, 77, 500, "{}"});
  CHECK(host.sent_responses.back().second.status == 400);
  CHECK(host.forwarder.counters().malformed == 1);
}

TEST_CASE("pending calls are bounded, and a call larger than a frame is rejected") {
  TestHost host;
  for (int id = 0; id < 100; ++id) host.Submit(id);
  int rejected = 0;
  for (int id = 0; id < 100; ++id) rejected += host.Status(id) == 503;
  CHECK(rejected == 36);
  host.Submit(100, std::string(std::size_t{4} << 20, 'x'));
  CHECK(host.Status(100) == 413);
}

}  // namespace
}  // namespace fennelhollow::control
