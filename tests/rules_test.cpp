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
  RuleChecker(Settings settings, Micros slack) : settings_(std::move(settings)), slack_(slack) {}

  void RecordListed(Micros now, const ServerInfo& info) {
    ServerRecord& record = servers_[info.id];
    const bool usable = info.state == ServerInfo::State::kHealthy;
    if (!usable && (record.usable || !record.seen)) record.unusable_since = now;
    record = {info, record.unusable_since, usable, true};
  }
  void RecordMissing(Micros now, const std::string& id) {
    ServerRecord& record = servers_[id];
    if (record.usable) record.unusable_since = now;
    record.usable = false;
  }
  void RecordArrival(Micros now, const std::string& id, int request_class, Micros budget,
                     const std::string& key) {
    requests_[id] = {request_class, now + budget, false, {}};
    if (settings_.classes[static_cast<std::size_t>(request_class)].sequential && !key.empty()) {
      requests_[id].key = key;
      ids_by_key_[key].push_back(id);
    }
  }
  void RecordOutcome(Micros now, const std::string& id, int attempt, Result result, bool request_done) {
    RequestRecord& request_record = requests_.at(id);
    AttemptRecord& sent_attempt = request_record.sent_attempts.at(static_cast<std::size_t>(attempt));
    sent_attempt.in_flight = false;
    sent_attempt.may_have_run = (result != Result::kRefused || settings_.refused_may_have_run) &&
                                result != Result::kUnreachable && result != Result::kNeverSent;
    if (result == Result::kTimeout || result == Result::kReset || result == Result::kCancelled)
      request_record.key_held_until = now + settings_.hold_after_uncertain_outcome;
    if (request_done) request_record.ended = true;
  }
  void RecordClientGone(const std::string& id) { requests_.at(id).ended = true; }

  void CheckAction(Micros now, const Action& action) {
    if (action.kind == Kind::kTimer || action.kind == Kind::kSubscribe || action.kind == Kind::kCancel)
      return;
    const auto it = requests_.find(action.request);
    if (it == requests_.end()) return AddViolation("an action names an unknown request");
    RequestRecord& request_record = it->second;
    if (request_record.ended) return AddViolation("an action for an ended request");
    const RequestClass& c = settings_.classes[static_cast<std::size_t>(request_record.request_class)];
    const AttemptRecord* executed = nullptr;
    for (const AttemptRecord& sent_attempt : request_record.sent_attempts)
      if (executed == nullptr && sent_attempt.may_have_run) executed = &sent_attempt;
    if (action.kind == Kind::kSend) {
      const ServerRecord& server = servers_[action.server];
      if (!server.seen) AddViolation("sent to a server that was never listed");
      if (server.seen && !server.usable && now > server.unusable_since + settings_.drain_grace)
        AddViolation("sent to a draining server");
      for (const AttemptRecord& sent_attempt : request_record.sent_attempts)
        if (sent_attempt.in_flight && !settings_.parallel_attempts) AddViolation("two attempts at once");
      if (static_cast<int>(request_record.sent_attempts.size()) >= settings_.max_attempts)
        AddViolation("too many attempts");
      if (now > request_record.deadline) AddViolation("sent after the deadline");
      for (const std::string& earlier_id : ids_by_key_[request_record.key]) {
        if (earlier_id == action.request) break;
        const RequestRecord& earlier = requests_.at(earlier_id);
        for (const AttemptRecord& sent_attempt : earlier.sent_attempts)
          if (sent_attempt.in_flight) AddViolation("sent while an earlier request of the key was in flight");
        if (!earlier.ended) AddViolation("sent before an earlier request of the key had ended");
        if (now < earlier.key_held_until) AddViolation("sent during the hold of the key");
      }
      if (executed != nullptr && c.retry_safety == RetrySafety::kNever)
        AddViolation("a request may be executed twice");
      if (executed != nullptr && c.retry_safety == RetrySafety::kDeduplicated) {
        if (now >= executed->sent + c.dedup_window) AddViolation("retried after the dedup window");
        if (c.dedup_scope == DedupScope::kZone && executed->zone != server.info.zone)
          AddViolation("retried outside the dedup scope");
        if (c.dedup_scope == DedupScope::kCell && executed->cell != server.info.cell)
          AddViolation("retried outside the dedup scope");
      }
      request_record.sent_attempts.push_back({now, server.info.zone, server.info.cell, true, true});
      return;
    }
    if (now > request_record.deadline + slack_) AddViolation("ended after the deadline");
    if (action.kind == Kind::kRefuse && executed != nullptr && c.retry_safety != RetrySafety::kSafe &&
        !(c.retry_safety == RetrySafety::kDeduplicated && c.dedup_scope == DedupScope::kAll))
      AddViolation("refused a request that may have been executed");
    request_record.ended = true;
  }
  void Finish() {
    for (const auto& [id, request_record] : requests_)
      if (!request_record.ended) AddViolation("a request that never ended");
  }
  const std::set<std::string>& violations() const { return violations_; }

 private:
  struct ServerRecord {
    ServerInfo info;
    Micros unusable_since = 0;
    bool usable = false;
    bool seen = false;
  };
  struct AttemptRecord {
    Micros sent;
    int zone;
    std::int64_t cell;
    bool in_flight;
    bool may_have_run;
  };
  struct RequestRecord {
    int request_class;
    Micros deadline;
    bool ended;
    std::vector<AttemptRecord> sent_attempts;
    std::string key = {};
    Micros key_held_until = 0;
  };
  void AddViolation(const std::string& violation) { violations_.insert(violation); }

  Settings settings_;
  Micros slack_;
  std::map<std::string, ServerRecord> servers_;
  std::map<std::string, RequestRecord> requests_;
  std::map<std::string, std::vector<std::string>> ids_by_key_;
  std::set<std::string> violations_;
};

// Modifies actions before the checker sees them.
using Mutator = std::function<void(Action&)>;

struct RunResult {
  std::set<std::string> violations;
  int sends = 0, retries = 0, refusals = 0, failures = 0;
  std::size_t requests_left = 0;
};

// Runs one random event sequence. The checker applies `rules` if given, else `settings`.
RunResult RunRandomEvents(std::uint64_t seed, const Settings& settings, const Mutator& mutate,
                          const Settings* rules = nullptr) {
  std::mt19937_64 random(seed);
  const auto below = [&](int n) { return static_cast<int>(random() % static_cast<std::uint64_t>(n)); };
  struct Pending {
    Micros at;
    int sequence;
    Action action;
    int attempt;
    bool operator<(const Pending& o) const { return std::pair(at, sequence) < std::pair(o.at, o.sequence); }
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
  std::set<std::string> ended_requests;
  int sequence = 0;
  const auto collect = [&] {
    for (Action action : sink.Take()) {
      if (mutate) mutate(action);
      checker.CheckAction(now, action);
      if (action.kind == Kind::kSend) {
        ++run.sends;
        const int attempt = attempts[action.request]++;
        run.retries += attempt > 0;
        Micros at = now + 1 * kMs + below(3000) * kMs;
        if (action.time > 0) at = std::min(at, now + action.time);
        pending.insert({std::min(at, deadline[action.request]), sequence++, action, attempt});
      } else if (action.kind == Kind::kTimer) {
        pending.insert({now + action.time + 5 * kMs, sequence++, action, 0});
      } else if (action.kind == Kind::kRefuse || action.kind == Kind::kFail) {
        ++(action.kind == Kind::kRefuse ? run.refusals : run.failures);
        ended_requests.insert(action.request);
      }
    }
  };
  std::vector<ServerInfo> servers = MakeServers(12);
  const auto deliver_list = [&](ListUpdate::Kind kind, const std::vector<ServerInfo>& entries) {
    for (const ServerInfo& info : entries) checker.RecordListed(now, info);
    balancer->OnServers(now, {kind, 1, entries});
    collect();
  };
  deliver_list(ListUpdate::Kind::kStale, servers);
  std::vector<std::string> request_ids;
  for (int i = 0; i < 600; ++i) {
    now += below(20) * kMs;
    while (!pending.empty() && pending.begin()->at <= now) {
      const Pending next = *pending.begin();
      pending.erase(pending.begin());
      const Micros resume_at = now;
      now = std::max(next.at, now);
      if (next.action.kind == Kind::kTimer) {
        balancer->OnTimer(now, next.action.token);
      } else {
        static constexpr Result kResults[] = {
            Result::kSuccess, Result::kSuccess, Result::kSuccess,     Result::kRefused, Result::kRefused,
            Result::kError,   Result::kReset,   Result::kUnreachable, Result::kTimeout, Result::kCancelled};
        const std::string& id = next.action.request;
        const Result result = next.at >= deadline[id] ? Result::kTimeout : kResults[below(10)];
        if (result == Result::kSuccess) ended_requests.insert(id);
        const bool done = ended_requests.count(id) > 0;
        checker.RecordOutcome(now, id, next.attempt, result, done);
        balancer->OnOutcome(now, {id, next.attempt, result, 10 * kMs, done});
      }
      collect();
      now = std::max(now, resume_at);
    }
    const int event_kind = below(20);
    if (event_kind == 0) {  // a server drains, leaves or returns cold
      ServerInfo& info = servers[static_cast<std::size_t>(below(12))];
      info.state = static_cast<ServerInfo::State>(below(3));
      if (info.state == ServerInfo::State::kHealthy) info.started = now - below(3000) * kMs;
      deliver_list(ListUpdate::Kind::kDelta, {info});
    } else if (event_kind == 1) {  // a full list, without removed servers
      std::vector<ServerInfo> present;
      for (const ServerInfo& info : servers) {
        if (info.state == ServerInfo::State::kGone) {
          checker.RecordMissing(now, info.id);
        } else {
          present.push_back(info);
        }
      }
      deliver_list(ListUpdate::Kind::kFull, present);
    } else if (event_kind == 2) {
      balancer->OnServers(now, {ListUpdate::Kind::kFailed, 0, {}});
      collect();
    } else if (event_kind == 3 && !request_ids.empty()) {
      const std::string& id =
          request_ids[static_cast<std::size_t>(below(static_cast<int>(request_ids.size())))];
      if (ended_requests.insert(id).second) {
        checker.RecordClientGone(id);
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
      request_ids.push_back(id);
      const std::string key = below(4) == 0 ? "" : "k" + std::to_string(below(6));
      request.key = key;
      checker.RecordArrival(now, id, request.request_class, request.budget, key);
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
      const bool done = ended_requests.count(id) > 0;
      checker.RecordOutcome(now, id, next.attempt, Result::kTimeout, done);
      balancer->OnOutcome(now, {id, next.attempt, Result::kTimeout, 10 * kMs, done});
    }
    collect();
  }
  checker.Finish();
  run.violations = checker.violations();
  run.requests_left = balancer->requests_held();
  return run;
}

std::vector<Settings> Variants() {
  Settings defaults = MakeSettings();
  Settings subscribe = MakeSettings();
  subscribe.must_subscribe = true;
  subscribe.zone = 0;
  subscribe.cost_cross_zone = 0.2;
  for (RequestClass& c : subscribe.classes) c.value = 3;
  Settings cell_scope = MakeSettings();
  cell_scope.classes[1].dedup_scope = DedupScope::kCell;
  cell_scope.max_attempts = 2;
  cell_scope.max_retry_after = 0;
  Settings ambiguous_refusals = MakeSettings();
  ambiguous_refusals.refused_may_have_run = true;
  Settings sequential_keys = MakeSettings();
  sequential_keys.hold_after_uncertain_outcome = 40 * kMs;
  sequential_keys.classes[0].sequential = sequential_keys.classes[1].sequential =
      sequential_keys.classes[2].sequential = true;
  Settings all_rules = sequential_keys;
  all_rules.refused_may_have_run = true;
  all_rules.classes[1].dedup_scope = DedupScope::kCell;
  all_rules.hold_after_uncertain_outcome = 0;
  all_rules.must_subscribe = true;
  Settings key_affinity = subscribe;
  key_affinity.warm_keys = true;
  key_affinity.weights = Settings::Weights::kRough;
  return {defaults, subscribe, cell_scope, ambiguous_refusals, key_affinity, sequential_keys, all_rules};
}

TEST(Rules, HoldInRandomRuns) {
  RunResult sum;
  for (const Settings& settings : Variants()) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
      const RunResult run = RunRandomEvents(seed, settings, nullptr);
      ASSERT_TRUE(run.violations.empty()) << "seed " << seed << ": " << *run.violations.begin();
      ASSERT_EQ(run.requests_left, 0u) << "seed " << seed;
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
  for (std::uint64_t seed = 1; seed <= 60; ++seed)
    all.merge(RunRandomEvents(seed, settings, mutate, rules).violations);
  return all;
}

// Each mutator violates one rule.
TEST(Rules, TheCheckerDetectsEachViolation) {
  const auto violations = [](const Mutator& mutate) { return Violations(MakeSettings(), mutate); };
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kRefuse;
              }).count("refused a request that may have been executed"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kSend) a.server = "s03";
              }).count("sent to a draining server"));
  EXPECT_TRUE(violations([n = 0](Action& a) mutable {
                if (a.kind == Kind::kSend) a.server = n++ % 2 == 0 ? "s02" : "s03";
              }).count("retried outside the dedup scope"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) a.kind = Kind::kCancel;
              }).count("a request that never ended"));
  EXPECT_TRUE(violations([](Action& a) {
                if (a.kind == Kind::kFail) {
                  a.kind = Kind::kSend;
                  a.server = "s01";
                }
              }).count("a request may be executed twice"));
}

// The balancer gets settings without the optional rules, and so violates them.
TEST(Rules, TheCheckerDetectsViolationsOfOptionalRules) {
  Settings all_rules = Variants().back();
  all_rules.hold_after_uncertain_outcome = 500 * kMs;
  Settings unaware = all_rules;
  unaware.refused_may_have_run = false;
  unaware.hold_after_uncertain_outcome = 0;
  std::set<std::string> all = Violations(unaware, nullptr, &all_rules);
  EXPECT_TRUE(all.count("refused a request that may have been executed"));
  EXPECT_TRUE(all.count("a request may be executed twice"));
  EXPECT_TRUE(all.count("retried outside the dedup scope"));
  EXPECT_TRUE(all.count("sent during the hold of the key"));
  for (RequestClass& c : unaware.classes) c.sequential = false;
  all.merge(Violations(unaware, nullptr, &all_rules));
  EXPECT_TRUE(all.count("sent while an earlier request of the key was in flight"));
  EXPECT_TRUE(all.count("sent before an earlier request of the key had ended"));
}

TEST(Rules, TheSameEventsProduceTheSameActions) {
  const RunResult first = RunRandomEvents(5, MakeSettings(), nullptr);
  const RunResult second = RunRandomEvents(5, MakeSettings(), nullptr);
  EXPECT_EQ(first.sends, second.sends);
  EXPECT_EQ(first.refusals, second.refusals);
  EXPECT_EQ(first.failures, second.failures);
}

}  // namespace
}  // namespace merlinrun::testing
