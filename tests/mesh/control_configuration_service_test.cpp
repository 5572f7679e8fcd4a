#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "mesh/control/command.hpp"
#include "mesh/control/configuration_service.hpp"

namespace fennelhollow::control {
namespace {

using configuration::ChangeResult;
using consensus::Outcome;

TEST_CASE("requests are parsed by method and path") {
  const Command heartbeat = ParseCommand("POST", "/-/Instances.Heartbeat/i-7f?x=1", "{}");
  REQUIRE(std::holds_alternative<InstanceHeartbeat>(heartbeat));
  CHECK(std::get<InstanceHeartbeat>(heartbeat).id == "i-7f");
  CHECK(std::get<InstanceHeartbeat>(heartbeat).json == "{}");
  const Command departure = ParseCommand("POST", "/-/Instances.Departure/i-7f", "");
  REQUIRE(std::holds_alternative<InstanceDeparture>(departure));
  CHECK(std::get<InstanceDeparture>(departure).id == "i-7f");
  CHECK(std::holds_alternative<Replace>(ParseCommand("POST", "/-/Configuration.Replace", "a")));
  CHECK(std::get<Modify>(ParseCommand("POST", "/-/Configuration.Modify", "b")).body == "b");
  CHECK(std::holds_alternative<Read>(ParseCommand("GET", "/-/Configuration.Read", "")));
  CHECK(std::holds_alternative<Status>(ParseCommand("GET", "/-/Status", "")));
  CHECK(std::get<Unknown>(ParseCommand("GET", "/-/Configuration.Replace", "")).method_not_allowed);
  CHECK(std::get<Unknown>(ParseCommand("GET", "/-/Instances.Heartbeat/i-7f", "")).method_not_allowed);
  for (const std::string path :
       {"/-/Instances.Heartbeat/", "/-/Instances.Heartbeat/a/b", "/", "", "/-/Configuration"}) {
    CHECK_FALSE(std::get<Unknown>(ParseCommand("POST", path, "")).method_not_allowed);
  }
  CHECK(std::holds_alternative<Unknown>(
      ParseCommand("POST", "/-/Instances.Departure/" + std::string(kMaxInstanceIdBytes + 1, 'a'), "")));
  CHECK(ErrorResponse(400, "not \xff UTF-8").body.starts_with("{\"error\":"));
}

// A minimal replicated state: a request body is "base>version", and the state is the last committed body.
struct TestHost : ConfigurationServiceHost {
  struct Request {
    std::uint64_t request_id;
    bool propose;
    std::uint64_t base_index;
    std::string state;
  };
  bool is_leader = true;
  std::uint64_t committed_index = 1;
  std::vector<std::string> committed;  // request bodies
  std::deque<std::pair<std::uint64_t, ChangeResult>> results;
  std::deque<Request> requests;
  std::uint64_t applied_index = 1000;
  Micros now = 0;
  ConfigurationService service{*this, {}};
  std::map<int, std::optional<Response>> responses;

  int version() const {
    return committed.empty() ? 0 : std::stoi(committed.back().substr(committed.back().find('>') + 1));
  }
  bool IsLeader() const override { return is_leader; }
  std::uint64_t CommittedIndex() const override { return committed_index; }
  std::string ConfigurationText() const override { return committed.empty() ? "" : committed.back(); }
  bool IsAppliedBySidecars(std::uint64_t n) const override { return applied_index >= n; }
  bool EvaluateChange(std::uint64_t request_id, bool, std::shared_ptr<const std::string> body) override {
    const int base = std::stoi(*body), next = std::stoi(body->substr(body->find('>') + 1));
    ChangeResult result;
    if (std::find(committed.begin(), committed.end(), *body) != committed.end()) {
      result.kind = ChangeResult::Kind::kAlreadyApplied;
    } else if (base != version()) {
      result.kind = ChangeResult::Kind::kConflict;
    } else if (next <= version()) {
      result.kind = ChangeResult::Kind::kInvalid;
    } else {
      result.kind = ChangeResult::Kind::kAccepted;
      result.next_state = *body;
    }
    results.emplace_back(request_id, result);
    return true;
  }
  void Propose(std::uint64_t request_id, std::uint64_t base_index, std::string state) override {
    requests.push_back({request_id, true, base_index, std::move(state)});
  }
  void ConfirmLeadership(std::uint64_t request_id) override {
    requests.push_back({request_id, false, 0, ""});
  }

  void Submit(int id, const std::string& body, Micros within = 900'000) {
    service.Submit(now, now + within, false, std::make_shared<const std::string>(body), Collect(id));
  }
  void Read(int id) { service.Read(now, now + 900'000, Collect(id)); }
  ConfigurationService::Done Collect(int id) {
    return [this, id](std::optional<Response> response) {
      REQUIRE(responses.count(id) == 0);
      responses[id] = std::move(response);
    };
  }
  void FinishEvaluation() {
    const auto [request_id, result] = results.front();
    results.pop_front();
    service.OnChangeResult(now, request_id, result);
  }
  // Completes the oldest proposal or confirmation.
  void FinishRequest(Outcome outcome = Outcome::kSuccess) {
    const Request request = requests.front();
    requests.pop_front();
    if (!is_leader) outcome = Outcome::kNotLeader;
    if (request.propose && outcome == Outcome::kSuccess) {
      if (request.base_index == committed_index) {
        committed.push_back(request.state);
        ++committed_index;
      } else {
        outcome = Outcome::kNotLeader;
      }
    }
    service.OnOutcome(now, request.request_id, outcome);
  }
  void RunAll() {
    while (!results.empty() || !requests.empty()) results.empty() ? FinishRequest() : FinishEvaluation();
  }
  void Tick(Micros step) { service.OnTick(now += step); }
  unsigned status(int id) const {
    return responses.count(id) && responses.at(id) ? responses.at(id)->status : 0;
  }
};

TEST_CASE("one of two changes to the same version succeeds, and responses wait for the commit") {
  TestHost host;
  host.Submit(1, "0>3");
  host.Submit(2, "0>5");
  host.FinishEvaluation();
  CHECK(host.responses.empty());
  host.FinishRequest();
  CHECK(host.status(1) == 200);
  host.FinishEvaluation();
  CHECK(host.responses.size() == 1);  // 412 waits for a confirmation
  host.FinishRequest();
  CHECK(host.status(2) == 412);
  host.Submit(3, "3>2");
  host.RunAll();
  CHECK(host.status(3) == 400);
  CHECK(host.committed == std::vector<std::string>{"0>3"});
  CHECK(host.service.empty());
}

TEST_CASE("a repeated call waits for the first one and is confirmed") {
  TestHost host;
  host.Submit(1, "0>3");
  host.Submit(2, "0>3");
  host.FinishEvaluation();
  CHECK(host.results.empty());  // one at a time
  host.FinishRequest();
  host.FinishEvaluation();
  CHECK(host.status(2) == 0);
  CHECK_FALSE(host.requests.front().propose);
  host.FinishRequest();
  CHECK(host.status(1) == 200);
  CHECK(host.status(2) == 200);
  CHECK(host.committed.size() == 1);
}

TEST_CASE("a change is evaluated again if another entry was committed meanwhile") {
  TestHost host;
  host.committed = {"0>3"};
  host.Submit(1, "5>7");
  host.FinishEvaluation();
  host.committed.push_back("3>5");  // resolves the conflict
  ++host.committed_index;
  host.FinishRequest();
  CHECK(host.responses.empty());
  host.RunAll();
  CHECK(host.status(1) == 200);
}

TEST_CASE("on loss of leadership a proposed change gets 503, the others are retried elsewhere") {
  TestHost host;
  host.Submit(1, "0>3");
  host.Submit(2, "0>4");
  host.Read(3);
  host.FinishEvaluation();
  host.is_leader = false;
  host.service.OnLeadership(host.now);
  CHECK(host.responses.size() == 2);
  CHECK_FALSE(host.responses[2]);
  CHECK_FALSE(host.responses[3]);
  const std::uint64_t proposal = host.requests.back().request_id;
  host.service.OnOutcome(host.now, proposal, Outcome::kIndeterminate);
  CHECK(host.status(1) == 503);
  host.Submit(4, "0>4");
  REQUIRE(host.responses.count(4));
  CHECK_FALSE(host.responses[4]);
  CHECK(host.service.empty());
}

TEST_CASE("a rejected proposal is evaluated again once another entry is committed") {
  TestHost host;
  host.Submit(1, "0>3");
  host.FinishEvaluation();
  host.FinishRequest(Outcome::kNotLeader);  // a membership change is in progress
  CHECK(host.requests.empty());             // not retried immediately
  host.Tick(25'000);
  REQUIRE(host.requests.size() == 1);
  ++host.committed_index;
  host.FinishRequest();
  host.RunAll();
  CHECK(host.status(1) == 200);
}

TEST_CASE("a response waits for sidecars for a limited time") {
  TestHost host;
  host.applied_index = 1;
  host.Submit(1, "0>3");
  host.Submit(2, "3>4", 2'000'000);
  host.RunAll();
  CHECK(host.responses.empty());
  CHECK(host.committed.size() == 2);  // the wait does not delay other changes
  host.applied_index = 2;
  host.service.OnSidecarAck(host.now);
  CHECK(host.status(1) == 200);
  CHECK(host.responses.size() == 1);
  host.Tick(599'000);
  CHECK(host.responses.size() == 1);
  host.Tick(1'000);
  CHECK(host.status(2) == 200);
  CHECK(host.service.counters().missing_acks == 1);
}

TEST_CASE("calls get 503 after their deadline, and changes that were not proposed are dropped") {
  TestHost host;
  host.Submit(1, "0>3");
  host.Submit(2, "3>4");
  host.Read(3);
  host.FinishEvaluation();
  host.Tick(900'000);
  for (const int id : {1, 2, 3}) CHECK(host.status(id) == 503);
  host.RunAll();
  CHECK(host.committed == std::vector<std::string>{"0>3"});
  CHECK(host.service.empty());
  host.Submit(4, "3>4");
  host.FinishEvaluation();
  host.requests.clear();  // the proposal is never completed
  host.Submit(5, "3>6", 9'000'000);
  host.Tick(4'500'000);
  host.RunAll();
  CHECK(host.status(4) == 503);
  CHECK(host.status(5) == 200);
}

TEST_CASE("a read is covered only by a confirmation that started after it") {
  TestHost host;
  host.Read(1);
  host.Read(2);  // the pending confirmation started before it
  CHECK(host.requests.size() == 1);
  host.FinishRequest();
  CHECK(host.status(1) == 404);
  CHECK(host.status(2) == 0);
  host.committed = {"0>3"};
  host.RunAll();
  CHECK(host.responses[2]->body == "0>3");
  for (int id = 10; id < 75; ++id) host.Read(id);
  CHECK(host.status(74) == 503);
}

TEST_CASE("random runs: acknowledged changes are committed, and every call gets one response") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    TestHost host;
    std::map<int, std::string> bodies;
    int ids = 0;
    for (int step = 0; step < 200; ++step) {
      switch (random() % 8) {
        case 0:
        case 1: {
          const int base = std::max(0, host.version() - static_cast<int>(random() % 2));
          bodies[++ids] = std::to_string(base) + ">" + std::to_string(base + static_cast<int>(random() % 3));
          host.Submit(ids, bodies[ids]);
          break;
        }
        case 2:
        case 3:
          if (!host.results.empty()) host.FinishEvaluation();
          break;
        case 4:
        case 5:
          if (!host.requests.empty())
            host.FinishRequest(random() % 6 ? Outcome::kSuccess : Outcome::kIndeterminate);
          break;
        case 6:
          host.Tick(static_cast<Micros>(random() % 200'000));
          break;
        default:
          if (random() % 4 == 0) {
            host.is_leader = !host.is_leader;
            host.service.OnLeadership(host.now);
          }
          if (random() % 4 == 0) ++host.committed_index;
      }
      for (const auto& [id, response] : host.responses) {
        if (!response || response->status != 200) continue;
        REQUIRE(std::find(host.committed.begin(), host.committed.end(), bodies[id]) != host.committed.end());
      }
    }
    std::set<int> bases;
    for (const std::string& body : host.committed) REQUIRE(bases.insert(std::stoi(body)).second);
    host.is_leader = true;
    host.service.OnLeadership(host.now);
    host.RunAll();
    host.Tick(5'000'000);
    host.RunAll();
    host.Tick(1);
    REQUIRE(host.service.empty());
    REQUIRE(host.responses.size() == static_cast<std::size_t>(ids));
  }
}

}  // namespace
}  // namespace fennelhollow::control
