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

TEST_CASE("calls are decoded by method and path") {
  const Command beat = ParseCommand("POST", "/-/Instances.Heartbeat/i-7f?x=1", "{}");
  REQUIRE(std::holds_alternative<InstanceHeartbeat>(beat));
  CHECK(std::get<InstanceHeartbeat>(beat).id == "i-7f");
  CHECK(std::get<InstanceHeartbeat>(beat).body == "{}");
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

// An order and a ledger as plain as can be: a body is "base>version", the state is the versions taken.
struct World : ConfigurationServiceHost {
  struct Out {
    std::uint64_t call;
    bool propose;
    std::uint64_t on_top_of;
    std::string state;
  };
  bool leads = true;
  std::uint64_t number = 1;
  std::vector<std::string> taken;  // bodies; the state in the order
  std::deque<std::pair<std::uint64_t, ChangeResult>> verdicts;
  std::deque<Out> outs;
  std::uint64_t in_force = 1000;
  Micros now = 0;
  ConfigurationService service{*this, {}};
  std::map<int, std::optional<Response>> answers;

  int version() const {
    return taken.empty() ? 0 : std::stoi(taken.back().substr(taken.back().find('>') + 1));
  }
  bool IsLeader() const override { return leads; }
  std::uint64_t CommittedIndex() const override { return number; }
  std::string ConfigurationText() const override { return taken.empty() ? "" : taken.back(); }
  bool IsActiveOnSidecars(std::uint64_t n) const override { return in_force >= n; }
  bool EvaluateChange(std::uint64_t call, bool, std::shared_ptr<const std::string> body) override {
    const int base = std::stoi(*body), next = std::stoi(body->substr(body->find('>') + 1));
    ChangeResult verdict;
    if (std::find(taken.begin(), taken.end(), *body) != taken.end()) {
      verdict.kind = ChangeResult::Kind::kAlreadyApplied;
    } else if (base != version()) {
      verdict.kind = ChangeResult::Kind::kConflict;
    } else if (next <= version()) {
      verdict.kind = ChangeResult::Kind::kInvalid;
    } else {
      verdict.kind = ChangeResult::Kind::kAccepted;
      verdict.next_state = *body;
    }
    verdicts.emplace_back(call, verdict);
    return true;
  }
  void Propose(std::uint64_t call, std::uint64_t on_top_of, std::string state) override {
    outs.push_back({call, true, on_top_of, std::move(state)});
  }
  void ConfirmLeadership(std::uint64_t call) override { outs.push_back({call, false, 0, ""}); }

  void Submit(int id, const std::string& body, Micros within = 900'000) {
    service.Submit(now, now + within, false, std::make_shared<const std::string>(body), Take(id));
  }
  void Read(int id) { service.Read(now, now + 900'000, Take(id)); }
  ConfigurationService::Done Take(int id) {
    return [this, id](std::optional<Response> answer) {
      REQUIRE(answers.count(id) == 0);
      answers[id] = std::move(answer);
    };
  }
  void Judge() {
    const auto [call, verdict] = verdicts.front();
    verdicts.pop_front();
    service.OnChangeResult(now, call, verdict);
  }
  // The order does what it is asked, or says that it can't.
  void Resolve(Outcome outcome = Outcome::kSuccess) {
    const Out out = outs.front();
    outs.pop_front();
    if (!leads) outcome = Outcome::kNotLeader;
    if (out.propose && outcome == Outcome::kSuccess) {
      if (out.on_top_of == number) {
        taken.push_back(out.state);
        ++number;
      } else {
        outcome = Outcome::kNotLeader;
      }
    }
    service.OnOutcome(now, out.call, outcome);
  }
  void Pump() {
    while (!verdicts.empty() || !outs.empty()) verdicts.empty() ? Resolve() : Judge();
  }
  void Tick(Micros step) { service.OnTick(now += step); }
  unsigned status(int id) const { return answers.count(id) && answers.at(id) ? answers.at(id)->status : 0; }
};

TEST_CASE("of two changes on one version one wins, and nothing is said before it is settled") {
  World world;
  world.Submit(1, "0>3");
  world.Submit(2, "0>5");
  world.Judge();
  CHECK(world.answers.empty());
  world.Resolve();
  CHECK(world.status(1) == 200);
  world.Judge();
  CHECK(world.answers.size() == 1);  // 412 rests on the majority's word
  world.Resolve();
  CHECK(world.status(2) == 412);
  world.Submit(3, "3>2");
  world.Pump();
  CHECK(world.status(3) == 400);
  CHECK(world.taken == std::vector<std::string>{"0>3"});
  CHECK(world.service.empty());
}

TEST_CASE("a repeat while the first is out is answered after it, and confirmed") {
  World world;
  world.Submit(1, "0>3");
  world.Submit(2, "0>3");
  world.Judge();
  CHECK(world.verdicts.empty());  // one at a time
  world.Resolve();
  world.Judge();
  CHECK(world.status(2) == 0);
  CHECK_FALSE(world.outs.front().propose);
  world.Resolve();
  CHECK(world.status(1) == 200);
  CHECK(world.status(2) == 200);
  CHECK(world.taken.size() == 1);
}

TEST_CASE("a judgment by an entry that is no longer newest is made anew") {
  World world;
  world.taken = {"0>3"};
  world.Submit(1, "5>7");
  world.Judge();
  world.taken.push_back("3>5");  // a stale holder's conflict
  ++world.number;
  world.Resolve();
  CHECK(world.answers.empty());
  world.Pump();
  CHECK(world.status(1) == 200);
}

TEST_CASE("a lost order: 503 for what may have begun, another core for the rest") {
  World world;
  world.Submit(1, "0>3");
  world.Submit(2, "0>4");
  world.Read(3);
  world.Judge();
  world.leads = false;
  world.service.OnLeadership(world.now);
  CHECK(world.answers.size() == 2);
  CHECK_FALSE(world.answers[2]);
  CHECK_FALSE(world.answers[3]);
  const std::uint64_t proposal = world.outs.back().call;
  world.service.OnOutcome(world.now, proposal, Outcome::kUnknown);
  CHECK(world.status(1) == 503);
  world.Submit(4, "0>4");
  REQUIRE(world.answers.count(4));
  CHECK_FALSE(world.answers[4]);
  CHECK(world.service.empty());
}

TEST_CASE("a proposal that another entry overtook is decided again") {
  World world;
  world.Submit(1, "0>3");
  world.Judge();
  world.Resolve(Outcome::kNotLeader);  // a change of members is under way
  CHECK(world.outs.empty());           // not asked again at once
  world.Tick(25'000);
  REQUIRE(world.outs.size() == 1);
  ++world.number;
  world.Resolve();
  world.Pump();
  CHECK(world.status(1) == 200);
}

TEST_CASE("the sidecars are awaited, within a bound") {
  World world;
  world.in_force = 1;
  world.Submit(1, "0>3");
  world.Submit(2, "3>4", 2'000'000);
  world.Pump();
  CHECK(world.answers.empty());
  CHECK(world.taken.size() == 2);  // the wait leads up no other change
  world.in_force = 2;
  world.service.OnAcks(world.now);
  CHECK(world.status(1) == 200);
  CHECK(world.answers.size() == 1);
  world.Tick(599'000);
  CHECK(world.answers.size() == 1);
  world.Tick(1'000);
  CHECK(world.status(2) == 200);
  CHECK(world.service.counters().missing_acks == 1);
}

TEST_CASE("what is not settled in time is answered 503, what had not begun never begins") {
  World world;
  world.Submit(1, "0>3");
  world.Submit(2, "3>4");
  world.Read(3);
  world.Judge();
  world.Tick(900'000);
  for (const int id : {1, 2, 3}) CHECK(world.status(id) == 503);
  world.Pump();
  CHECK(world.taken == std::vector<std::string>{"0>3"});
  CHECK(world.service.empty());
  world.Submit(4, "3>4");
  world.Judge();
  world.outs.clear();  // the order says nothing at all
  world.Submit(5, "3>6", 9'000'000);
  world.Tick(4'500'000);
  world.Pump();
  CHECK(world.status(4) == 503);
  CHECK(world.status(5) == 200);
}

TEST_CASE("reads: after a majority's word that began after them") {
  World world;
  world.Read(1);
  world.Read(2);  // the word under way is no proof for it
  CHECK(world.outs.size() == 1);
  world.Resolve();
  CHECK(world.status(1) == 404);
  CHECK(world.status(2) == 0);
  world.taken = {"0>3"};
  world.Pump();
  CHECK(world.answers[2]->body == "0>3");
  for (int id = 10; id < 75; ++id) world.Read(id);
  CHECK(world.status(74) == 503);
}

TEST_CASE("random runs keep the promises") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    World world;
    std::map<int, std::string> bodies;
    int ids = 0;
    for (int step = 0; step < 200; ++step) {
      switch (random() % 8) {
        case 0:
        case 1: {
          const int base = std::max(0, world.version() - static_cast<int>(random() % 2));
          bodies[++ids] = std::to_string(base) + ">" + std::to_string(base + static_cast<int>(random() % 3));
          world.Submit(ids, bodies[ids]);
          break;
        }
        case 2:
        case 3:
          if (!world.verdicts.empty()) world.Judge();
          break;
        case 4:
        case 5:
          if (!world.outs.empty()) world.Resolve(random() % 6 ? Outcome::kSuccess : Outcome::kUnknown);
          break;
        case 6:
          world.Tick(static_cast<Micros>(random() % 200'000));
          break;
        default:
          if (random() % 4 == 0) {
            world.leads = !world.leads;
            world.service.OnLeadership(world.now);
          }
          if (random() % 4 == 0) ++world.number;
      }
      for (const auto& [id, answer] : world.answers) {
        if (!answer || answer->status != 200) continue;
        REQUIRE(std::find(world.taken.begin(), world.taken.end(), bodies[id]) != world.taken.end());
      }
    }
    std::set<int> bases;
    for (const std::string& body : world.taken) REQUIRE(bases.insert(std::stoi(body)).second);
    world.leads = true;
    world.service.OnLeadership(world.now);
    world.Pump();
    world.Tick(5'000'000);
    world.Pump();
    world.Tick(1);
    REQUIRE(world.service.empty());
    REQUIRE(world.answers.size() == static_cast<std::size_t>(ids));
  }
}

}  // namespace
}  // namespace fennelhollow::control
