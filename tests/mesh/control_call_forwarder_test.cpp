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

struct Bench : CallForwarderHost {
  bool IsLeader() const override { return leads; }
  ReplicaId KnownLeader() const override { return leader; }
  void Serve(Call call) override { served.push_back(std::move(call)); }
  bool IsPartitioned() const override { return out_of_contact; }
  std::optional<Response> RedirectToPeer(CallKind kind) override {
    if (another.empty()) return std::nullopt;
    return RedirectResponse(another, kind == CallKind::kRead ? kReadPath : kReplacePath);
  }
  bool SendCall(const ReplicaId& to, const ForwardedCall& call) override {
    if (!linked) return false;
    calls.emplace_back(to, call);
    return true;
  }
  void SendResponse(const ReplicaId& to, const ForwardedResponse& answer) override {
    answers_sent.emplace_back(to, answer);
  }

  void Submit(int id, const std::string& body = "{}") {
    forwarder.Submit(now, CallKind::kReplace, body, [this, id](Response answer) {
      REQUIRE(answers.emplace(id, std::move(answer)).second);  // one answer
    });
  }
  void Run(Micros time) {
    for (const Micros end = now + time; now < end;) {
      now += 25 * kMs;
      forwarder.OnTick(now);
    }
  }
  unsigned Status(int id) { return answers.count(id) > 0 ? answers[id].status : 0; }

  bool leads = false, linked = true, out_of_contact = false;
  ReplicaId leader;
  std::string another;
  Micros now = 1'000'000;
  std::vector<Call> served;
  std::vector<std::pair<ReplicaId, ForwardedCall>> calls;
  std::vector<std::pair<ReplicaId, ForwardedResponse>> answers_sent;
  std::map<int, Response> answers;
  CallForwarder forwarder{*this, {}};
};

TEST_CASE("a call waits for a leader, and no longer than its caller does") {
  Bench bench;
  bench.Submit(1);
  bench.Run(300 * kMs);
  REQUIRE(bench.calls.empty());
  bench.leader = "b";
  bench.Run(100 * kMs);
  REQUIRE(bench.calls.size() == 1);
  bench.forwarder.OnResponse(bench.now, "c", {1, false, 200, "{}"});  // of another core: nobody's
  CHECK(bench.Status(1) == 0);
  bench.forwarder.OnResponse(bench.now, "b", {1, false, 200, "{}"});
  CHECK(bench.Status(1) == 200);
  bench.leader.clear();
  bench.Submit(2);
  bench.Run(750 * kMs);
  CHECK(bench.Status(2) == 503);
  CHECK(bench.forwarder.empty());
}

TEST_CASE("a new leader, a lost link and a core that leads no longer: the same call is passed on anew") {
  Bench bench;
  bench.leader = "b";
  bench.Submit(1);
  SECTION("another leads") {
    bench.leader = "c";
    bench.forwarder.OnLeaderChange(bench.now, "c");
  }
  SECTION("the link is lost") {
    bench.leader = "c";
    bench.forwarder.OnPeerDown(bench.now, "b");
  }
  SECTION("it says that it does not lead") {
    bench.leader = "c";
    bench.forwarder.OnResponse(bench.now, "b", {1, true, 0, ""});
  }
  bench.Run(100 * kMs);
  REQUIRE(bench.calls.size() == 2);
  CHECK(bench.calls[1].first == "c");
  CHECK(bench.calls[1].second.body == bench.calls[0].second.body);
  bench.forwarder.OnResponse(bench.now, "b", {1, false, 412, "{}"});  // late, of the first sending
  CHECK(bench.Status(1) == 0);
  bench.forwarder.OnResponse(bench.now, "c", {2, false, 200, "{}"});
  CHECK(bench.Status(1) == 200);
}

TEST_CASE("out of contact, or not heard by the leader: callers are sent to another core at once") {
  Bench bench;
  bench.another = "10.0.0.2:80";
  bench.out_of_contact = true;
  bench.Submit(1);
  CHECK(bench.Status(1) == 307);
  CHECK(bench.answers[1].headers.at(0).second == "http://10.0.0.2:80/-/Configuration.Replace");
  bench.out_of_contact = false;
  bench.leader = "b";
  bench.Submit(2);
  bench.Run(850 * kMs);
  CHECK(bench.Status(2) == 503);  // may have been begun
  bench.Submit(3);
  CHECK(bench.Status(3) == 307);
  bench.Run(3000 * kMs);
  bench.Submit(4);
  CHECK(bench.Status(4) == 0);  // tried again after a while
  bench.forwarder.OnResponse(bench.now, "b", {2, false, 200, "{}"});
  CHECK(bench.Status(4) == 200);
  bench.another.clear();
  bench.out_of_contact = true;
  bench.leader.clear();
  bench.Submit(5);
  CHECK(bench.Status(5) == 0);  // nowhere else to go: it waits here
}

TEST_CASE("calls of other cores are served by a leader and by nobody else") {
  Bench bench;
  bench.leader = "c";
  bench.forwarder.OnCall(bench.now, "b", {7, 0, 500, "{}"});
  REQUIRE(bench.answers_sent.size() == 1);
  CHECK((bench.answers_sent[0].second.not_leader && bench.answers_sent[0].second.id == 7));
  bench.leads = true;
  bench.forwarder.OnCall(bench.now, "b", {8, 1, 500, "{}"});
  REQUIRE(bench.served.size() == 1);
  CHECK(bench.served[0].kind == CallKind::kModify);
  CHECK(bench.served[0].deadline == bench.now + 500 * kMs);
  bench.forwarder.OnCall(bench.now, "b", {9, 77, 500, "{}"});
  CHECK(bench.answers_sent.back().second.status == 400);
  CHECK(bench.forwarder.counters().malformed == 1);
}

TEST_CASE("what waits is bounded, and a call that would fit into no frame is refused") {
  Bench bench;
  for (int id = 0; id < 100; ++id) bench.Submit(id);
  int refused = 0;
  for (int id = 0; id < 100; ++id) refused += bench.Status(id) == 503;
  CHECK(refused == 36);
  bench.Submit(100, std::string(std::size_t{4} << 20, 'x'));
  CHECK(bench.Status(100) == 413);
}

}  // namespace
}  // namespace fennelhollow::control
