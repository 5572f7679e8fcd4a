// Random event sequences, checked against the retry and ordering rules by a model that sees only events and
// actions.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

using Kind = Action::Kind;

// Records rule violations.
class RuleChecker {
 public:
  RuleChecker(Settings settings, Micros slack) : set_(std::move(settings)), slack_(slack) {}

  void Listed(Micros now, const ServerInfo& info) {
    Known& known = servers_[info.id];
    const bool usable = info.state == ServerInfo::State::kHealthy;
    if (!usable && (known.usable || !known.observed)) known.told = now;
    known = {info, known.told, usable, true};
  }
  void Missing(Micros now, const std::string& id) {
    Known& known = servers_[id];
    if (known.usable) known.told = now;
    known.usable = false;
  }
  void Arrived(Micros now, const std::string& id, int request_class, Micros budget, const std::string& key) {
    requests_[id] = {request_class, now + budget, false, {}};
    if (set_.classes[static_cast<std::size_t>(request_class)].sequential && !key.empty()) {
      requests_[id].key = key;
      in_order_[key].push_back(id);
    }
  }
  void Resolved(Micros now, const std::string& id, int attempt, Result result, bool settled) {
    Observed& observed = requests_.at(id);
    Try& tried = observed.tries.at(static_cast<std::size_t>(attempt));
    tried.out = false;
    tried.ran = (result != Result::kRefused || set_.refused_may_have_run) && result != Result::kUnreachable &&
                result != Result::kNeverSent;
    if (result == Result::kTimeout || result == Result::kReset || result == Result::kCancelled)
      observed.settled_at = now + set_.hold_after_uncertain_outcome;
    if (settled) observed.ended = true;
  }
  void Gone(const std::string& id) { requests_.at(id).ended = true; }

  void Acted(Micros now, const Action& action) {
    if (action.kind == Kind::kTimer || action.kind == Kind::kSubscribe || action.kind == Kind::kCancel)
      return;
    const auto it = requests_.find(action.request);
    if (it == requests_.end()) return AddViolation("an action names an unknown request");
    Observed& observed = it->second;
    if (observed.ended) return AddViolation("an action for an ended request");
    const RequestClass& c = set_.classes[static_cast<std::size_t>(observed.request_class)];
    const Try* ran = nullptr;
    for (const Try& tried : observed.tries)
      if (ran == nullptr && tried.ran) ran = &tried;
    if (action.kind == Kind::kSend) {
      const Known& server = servers_[action.server];
      if (!server.observed) AddViolation("sent to a server that was never listed");
      if (server.observed && !server.usable && now > server.told + set_.drain_grace)
        AddViolation("sent to a draining server");
      for (const Try& tried : observed.tries)
        if (tried.out && !set_.parallel_attempts) AddViolation("two attempts at once");
      if (static_cast<int>(observed.tries.size()) >= set_.max_attempts) AddViolation("too many attempts");
      if (now > observed.deadline) AddViolation("sent after the deadline");
      for (const std::string& before : in_order_[observed.key]) {
        if (before == action.request) break;
        const Observed& earlier = requests_.at(before);
        for (const Try& tried : earlier.tries)
          if (tried.out) AddViolation("sent while an earlier one of the key was out");
        if (!earlier.ended) AddViolation("sent before an earlier one of the key was over");
        if (now < earlier.settled_at) AddViolation("sent before the key had settled");
      }
      if (ran != nullptr && c.retry_safety == RetrySafety::kNever) AddViolation("an effect may happen twice");
      if (ran != nullptr && c.retry_safety == RetrySafety::kDeduplicated) {
        if (now >= ran->sent + c.dedup_window) AddViolation("repeated after the window");
        if (c.dedup_scope == DedupScope::kZone && ran->zone != server.info.zone)
          AddViolation("repeated outside the group");
        if (c.dedup_scope == DedupScope::kCell && ran->cell != server.info.cell)
          AddViolation("repeated outside the group");
      }
      observed.tries.push_back({now, server.info.zone, server.info.cell, true, true});
      return;
    }
    if (now > observed.deadline + slack_) AddViolation("answered late");
    if (action.kind == Kind::kRefuse && ran != nullptr && c.retry_safety != RetrySafety::kSafe &&
        !(c.retry_safety == RetrySafety::kDeduplicated && c.dedup_scope == DedupScope::kAll))
      AddViolation("refused what may have run");
    observed.ended = true;
  }
  void Finish() {
    for (const auto& [id, observed] : requests_)
      if (!observed.ended) AddViolation("a request without an answer");
  }
  const std::set<std::string>& violations() const { return violations_; }

 private:
  struct Known {
    ServerInfo info;
    Micros told = 0;
    bool usable = false;
    bool observed = false;
  };
  struct Try {
    Micros sent;
    int zone;
    std::int64_t cell;
    bool out;
    bool ran;
  };
  struct Observed {
    int request_class;
    Micros deadline;
    bool ended;
    std::vector<Try> tries;
    std::string key = {};
    Micros settled_at = 0;
  };
  void AddViolation(const std::string& what) { violations_.insert(what); }

  Settings set_;
  Micros slack_;
  std::map<std::string, Known> servers_;
  std::map<std::string, Observed> requests_;
  std::map<std::string, std::vector<std::string>> in_order_;
  std::set<std::string> violations_;
};

// Modifies actions before the checker sees them.
using Mutator = std::function<void(Action&)>;

struct RunResult {
  std::set<std::string> violations;
  int sends = 0, retries = 0, refusals = 0, failures = 0;
  std::size_t held = 0;
};

// Runs one random event sequence. The checker applies `rules` if given, else `settings`.
RunResult Play(std::uint64_t seed, const Settings& settings, const Mutator& mutate,
               const Settings* rules = nullptr) {
  std::mt19937_64 random(seed);
  const auto below = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  struct Pending {
    Micros at;
    int order;
    Action action;
    int attempt;
    bool operator<(const Pending& o) const { return std::pair(at, order) < std::pair(o.at, o.order); }
  };
  RunResult run;
  Recorder sink;
  std::string error;
  Micros now = 50 * kSec;
  auto balancer = Balancer::Create(settings, seed, now, sink, error);
  RuleChecker checker(rules != nullptr ? *rules : settings, 20 * kMs);
  std::set<Pending> pending;
  std::map<std::string, Micros> deadline;
  std::map<std::string, int> attempts;
  std::set<std::string> settled;
  int order = 0;
  const auto collect = [&] {
    for (Action action : sink.Take()) {
      if (mutate) mutate(action);
      checker.Acted(now, action);
      if (action.kind == Kind::kSend) {
        ++run.sends;
        const int attempt = attempts[action.request]++;
        run.retries += attempt > 0;
        Micros at = now + 1 * kMs + below(3000) * kMs;
        if (action.time > 0) at = std::min(at, now + action.time);
        pending.insert({std::min(at, deadline[action.request]), order++, action, attempt});
      } else if (action.kind == Kind::kTimer) {
        pending.insert({now + action.time + 5 * kMs, order++, action, 0});
      } else if (action.kind == Kind::kRefuse || action.kind == Kind::kFail) {
        ++(action.kind == Kind::kRefuse ? run.refusals : run.failures);
        settled.insert(action.request);
      }
    }
  };
  std::vector<ServerInfo> servers = MakeServers(12);
  const auto list = [&](ListUpdate::Kind kind, const std::vector<ServerInfo>& entries) {
    for (const ServerInfo& info : entries) checker.Listed(now, info);
    balancer->OnServers(now, {kind, 1, entries});
    collect();
  };
  list(ListUpdate::Kind::kStale, servers);
  std::vector<std::string> alive;
  for (int i = 0; i < 600; ++i) {
    now += below(20) * kMs;
    while (!pending.empty() && pending.begin()->at <= now) {
      const Pending next = *pending.begin();
      pending.erase(pending.begin());
      const Micros resume = now;
      now = std::max(next.at, now);
      if (next.action.kind == Kind::kTimer) {
        balancer->OnTimer(now, next.action.token);
      } else {
        static constexpr Result kResults[] = {
            Result::kSuccess, Result::kSuccess, Result::kSuccess,     Result::kRefused, Result::kRefused,
            Result::kError,   Result::kReset,   Result::kUnreachable, Result::kTimeout, Result::kCancelled};
        const std::string& id = next.action.request;
        const Result result = next.at >= deadline[id] ? Result::kTimeout : kResults[below(10)];
        if (result == Result::kSuccess) settled.insert(id);
        const bool done = settled.count(id) > 0;
        checker.Resolved(now, id, next.attempt, result, done);
        balancer->OnOutcome(now, {id, next.attempt, result, 10 * kMs, done});
      }
      collect();
      now = std::max(now, resume);
    }
    const int what = below(20);
    if (what == 0) {  // a server drains, leaves or returns cold
      ServerInfo& info = servers[static_cast<std::size_t>(below(12))];
      info.state = static_cast<ServerInfo::State>(below(3));
      if (info.state == ServerInfo::State::kHealthy) info.started = now - below(3000) * kMs;
      list(ListUpdate::Kind::kDelta, {info});
    } else if (what == 1) {  // a full list, without removed servers
      std::vector<ServerInfo> present;
      for (const ServerInfo& info : servers) {
        if (info.state == ServerInfo::State::kGone) {
          checker.Missing(now, info.id);
        } else {
          present.push_back(info);
        }
      }
      list(ListUpdate::Kind::kFull, present);
    } else if (what == 2) {
      balancer->OnServers(now, {ListUpdate::Kind::kFailed, 0, {}});
      collect();
    } else if (what == 3 && !alive.empty()) {
      const std::string& id = alive[static_cast<std::size_t>(below(static_cast<int>(alive.size())))];
      if (settled.insert(id).second) {
        checker.Gone(id);
        balancer->OnClientGone(now, id);
        collect();
      }
    } else {
      const std::string id = "r" + std::to_string(i);
      Request request;
      request.id = id;
      request.request_class = below(4);
      request.budget = (1 + below(4000)) * kMs;
      deadline[id] = now + request.budget;
      alive.push_back(id);
      const std::string key = below(4) == 0 ? "" : "k" + std::to_string(below(6));
      request.key = key;
      checker.Arrived(now, id, request.request_class, request.budget, key);
      balancer->OnRequest(now, request);
      collect();
    }
  }
  while (!pending.empty()) {  // deliver the remaining outcomes and timers
    const Pending next = *pending.begin();
    pending.erase(pending.begin());
    now = std::max(now, next.at);
    if (next.action.kind == Kind::kTimer) {
      balancer->OnTimer(now, next.action.token);
    } else {
      const std::string& id = next.action.request;
      const bool done = settled.count(id) > 0;
      checker.Resolved(now, id, next.attempt, Result::kTimeout, done);
      balancer->OnOutcome(now, {id, next.attempt, Result::kTimeout, 10 * kMs, done});
    }
    collect();
  }
  checker.Finish();
  run.violations = checker.violations();
  run.held = balancer->requests_held();
  return run;
}

std::vector<Settings> Variants() {
  Settings push = MakeSettings();
  Settings ask = MakeSettings();
  ask.must_subscribe = true;
  ask.zone = 0;
  ask.cost_cross_zone = 0.2;
  for (RequestClass& c : ask.classes) c.value = 3;
  Settings cell = MakeSettings();
  cell.classes[1].dedup_scope = DedupScope::kCell;
  cell.max_attempts = 2;
  cell.max_retry_after = 0;
  Settings full = MakeSettings();
  full.refused_may_have_run = true;
  Settings order = MakeSettings();
  order.hold_after_uncertain_outcome = 40 * kMs;
  order.classes[0].sequential = order.classes[1].sequential = order.classes[2].sequential = true;
  Settings both = order;
  both.refused_may_have_run = true;
  both.classes[1].dedup_scope = DedupScope::kCell;
  both.hold_after_uncertain_outcome = 0;
  both.must_subscribe = true;
  Settings warm = ask;
  warm.warm_keys = true;
  warm.weights = Settings::Weights::kRough;
  return {push, ask, cell, full, warm, order, both};
}

TEST(Rules, HoldInRandomRuns) {
  RunResult sum;
  for (const Settings& settings : Variants()) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      const RunResult run = Play(seed, settings, nullptr);
      ASSERT_TRUE(run.violations.empty()) << "seed " << seed << ": " << *run.violations.begin();
      ASSERT_EQ(run.held, 0u) << "seed " << seed;
      sum.sends += run.sends;
      sum.retries += run.retries;
      sum.refusals += run.refusals;
      sum.failures += run.failures;
    }
  }
  // Guards against sequences that do not exercise the rules.
  EXPECT_GT(sum.sends, 10000);
  EXPECT_GT(sum.retries, 1000);
  EXPECT_GT(sum.refusals, 1000);
  EXPECT_GT(sum.failures, 1000);
}

// The union of the violations in sixty runs.
std::set<std::string> Violations(const Settings& settings, const Mutator& mutate,
                                 const Settings* rules = nullptr) {
  std::set<std::string> all;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) all.merge(Play(seed, settings, mutate, rules).violations);
  return all;
}

// Each mutator violates one rule.
TEST(Rules, TheCheckerDetectsEachViolation) {
  const auto violations = [](const Mutator& mutate) { return Violations(MakeSettings(), mutate); };
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kRefuse;
              }).count("refused what may have run"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kSend) a.server = "s03";
              }).count("sent to a draining server"));
  EXPECT_TRUE(violations([n = 0](Action& a) mutable {
                if (a.kind == Kind::kSend) a.server = n++ % 2 == 0 ? "s02" : "s03";
              }).count("repeated outside the group"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kCancel;
              }).count("a request without an answer"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) {
                  a.kind = Kind::kSend;
                  a.server = "s01";
                }
              }).count("an effect may happen twice"));
}

// The balancer gets settings without the optional rules, and so violates them.
TEST(Rules, TheCheckerDetectsViolationsOfOptionalRules) {
  Settings both = Variants().back();
  both.hold_after_uncertain_outcome = 500 * kMs;
  Settings untold = both;
  untold.refused_may_have_run = false;
  untold.hold_after_uncertain_outcome = 0;
  std::set<std::string> all = Violations(untold, nullptr, &both);
  EXPECT_TRUE(all.count("refused what may have run"));
  EXPECT_TRUE(all.count("an effect may happen twice"));
  EXPECT_TRUE(all.count("repeated outside the group"));
  EXPECT_TRUE(all.count("sent before the key had settled"));
  for (RequestClass& c : untold.classes) c.sequential = false;
  all.merge(Violations(untold, nullptr, &both));
  EXPECT_TRUE(all.count("sent while an earlier one of the key was out"));
  EXPECT_TRUE(all.count("sent before an earlier one of the key was over"));
}

TEST(Rules, TheSameEventsProduceTheSameActions) {
  const RunResult one = Play(5, MakeSettings(), nullptr);
  const RunResult two = Play(5, MakeSettings(), nullptr);
  EXPECT_EQ(one.sends, two.sends);
  EXPECT_EQ(one.refusals, two.refusals);
  EXPECT_EQ(one.failures, two.failures);
}

}  // namespace
}  // namespace merlinrun::testing
