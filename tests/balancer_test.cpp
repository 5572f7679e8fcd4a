// Tests of the balancer, by kind of failure.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <utility>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

using Kind = Action::Kind;

TEST_F(BalancerTest, SendsAtOnceAndErasesServedRequests) {
  Start(MakeSettings(), 20);
  const auto sent = Arrive("r1");
  ASSERT_EQ(sent.size(), 1u);
  EXPECT_EQ(sent[0].kind, Kind::kSend);
  EXPECT_TRUE(Resolve("r1", 0, Result::kSuccess, true).empty());
  EXPECT_EQ(balancer_->requests_held(), 0u);
}

TEST_F(BalancerTest, RetriesARefusalAtAnotherServerAfterABackoff) {
  Start(MakeSettings(), 20);
  const std::string first = Arrive("r1")[0].server;
  const auto wait = Resolve("r1", 0, Result::kRefused);
  ASSERT_EQ(wait.size(), 1u);
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  const auto again = Fire(wait[0]);
  ASSERT_EQ(again.size(), 1u);
  ASSERT_EQ(again[0].kind, Kind::kSend);
  EXPECT_NE(again[0].server, first);
}

TEST_F(BalancerTest, RefusesWithRetryAfterAtTheAttemptLimit) {
  Settings settings = MakeSettings();
  settings.max_attempts = 3;
  Start(settings, 20);
  auto actions = Arrive("r1");
  for (int attempt = 0;; ++attempt) {
    ASSERT_EQ(actions.size(), 1u);
    ASSERT_EQ(actions[0].kind, Kind::kSend);
    actions = Resolve("r1", attempt, Result::kRefused);
    ASSERT_EQ(actions.size(), 1u);
    if (attempt == 2) break;
    ASSERT_EQ(actions[0].kind, Kind::kTimer);
    actions = Fire(actions[0]);
  }
  EXPECT_EQ(actions[0].kind, Kind::kRefuse);
  EXPECT_GT(actions[0].time, 0);
  EXPECT_LE(actions[0].time, settings.max_retry_after);
  EXPECT_EQ(balancer_->requests_held(), 0u);
}

TEST_F(BalancerTest, RefusesWhenTheBackoffExceedsTheDeadline) {
  Start(MakeSettings(), 20);
  Arrive("r1", 0, 6 * kMs);
  now_ += 5 * kMs;
  const auto end = Resolve("r1", 0, Result::kRefused);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kRefuse);
}

TEST_F(BalancerTest, RefusesWithoutAnyServer) {
  Start(MakeSettings(), 0);
  auto actions = Arrive("r1");
  while (actions.size() == 1 && actions[0].kind == Kind::kTimer) actions = Fire(actions[0]);
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kRefuse);
  EXPECT_LT(now_, 105 * kSec);
  EXPECT_EQ(balancer_->requests_held(), 0u);
}

TEST_F(BalancerTest, NeverRetriesANonIdempotentRequestThatMayHaveRun) {
  for (const Result result : {Result::kReset, Result::kError, Result::kTimeout, Result::kCancelled}) {
    Start(MakeSettings(), 20);
    Arrive("r", 2);
    const auto end = Resolve("r", 0, result);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kFail);
  }
  Arrive("r", 2);  // certainly not executed, so it may be retried
  const auto wait = Resolve("r", 0, Result::kUnreachable);
  ASSERT_EQ(wait.size(), 1u);
  EXPECT_EQ(wait[0].kind, Kind::kTimer);
}

// Some servers refuse requests that they had begun to execute.
TEST_F(BalancerTest, AnAmbiguousRefusalIsNotRetried) {
  Settings settings = MakeSettings();
  settings.refused_may_have_run = true;
  Start(settings, 20);
  Arrive("unsafe", 2);
  const auto end = Resolve("unsafe", 0, Result::kRefused);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kFail);
}

// The window may hold no other server of the dedup scope.
TEST_F(BalancerTest, ARetryReachesItsDedupScopeOutsideTheWindow) {
  Settings settings = MakeSettings();
  settings.refused_may_have_run = true;
  settings.classes[1].dedup_scope = DedupScope::kCell;
  auto servers = MakeServers(20);
  for (std::size_t i = 0; i < servers.size(); ++i) servers[i].cell = static_cast<std::int64_t>(i % 10);
  Start(settings, 0);
  // The other server of the cell is 10 positions further on, and the window is 4 wide.
  List(ListUpdate::Kind::kFull, servers);
  const std::string first = Arrive("r", 1)[0].server;
  const auto wait = Resolve("r", 0, Result::kRefused);
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  const auto again = Fire(wait[0]);
  ASSERT_EQ(again[0].kind, Kind::kSend);
  EXPECT_EQ(std::abs(std::stoi(again[0].server.substr(1)) - std::stoi(first.substr(1))), 10);
}

TEST_F(BalancerTest, RequestsWithTheSameKeyRunSequentially) {
  Settings settings = MakeSettings();
  settings.classes[0].sequential = true;
  settings.hold_after_uncertain_outcome = 300 * kMs;
  Start(settings, 20);
  EXPECT_EQ(Arrive("a", 0, 5 * kSec, "k")[0].kind, Kind::kSend);
  EXPECT_EQ(Arrive("b", 0, 5 * kSec, "k")[0].kind, Kind::kTimer);
  EXPECT_EQ(Arrive("c", 0, 5 * kSec, "k")[0].kind, Kind::kTimer);
  EXPECT_EQ(Arrive("other", 0, 5 * kSec, "j")[0].kind, Kind::kSend);
  EXPECT_EQ(Arrive("free", 0)[0].kind, Kind::kSend);
  const auto next = Resolve("a", 0, Result::kSuccess, true);
  ASSERT_EQ(next.size(), 1u);
  EXPECT_EQ(next[0].kind, Kind::kSend);
  EXPECT_EQ(next[0].request, "b");
  // The first client leaves; its attempt may be running until the reset and its hold.
  balancer_->OnClientGone(now_, "b");
  EXPECT_TRUE(sink_.Take().empty());
  const auto settle = Resolve("b", 0, Result::kReset, true);
  ASSERT_EQ(settle.size(), 1u);
  ASSERT_EQ(settle[0].kind, Kind::kTimer);
  EXPECT_EQ(settle[0].time, 300 * kMs);
  const auto last = Fire(settle[0]);
  ASSERT_EQ(last.size(), 1u);
  EXPECT_EQ(last[0].request, "c");
  Resolve("c", 0, Result::kSuccess, true);
  Resolve("other", 0, Result::kSuccess, true);
  Resolve("free", 0, Result::kSuccess, true);
  EXPECT_EQ(balancer_->requests_held(), 0u);
}

TEST_F(BalancerTest, ARequestQueuedBehindItsKeyEndsByItsDeadline) {
  Settings settings = MakeSettings();
  settings.classes[2].sequential = true;
  Start(settings, 20);
  Arrive("a", 2, 5 * kSec, "k");
  const auto wait = Arrive("b", 2, 1 * kSec, "k");
  ASSERT_EQ(wait[0].kind, Kind::kTimer);
  EXPECT_LT(wait[0].time, 1 * kSec);
  const auto end = Fire(wait[0]);
  ASSERT_EQ(end.size(), 1u);
  EXPECT_EQ(end[0].kind, Kind::kRefuse);  // it was never sent
  EXPECT_EQ(end[0].request, "b");
}

TEST_F(BalancerTest, RetriesADeduplicatedRequestOnlyInItsScopeAndWindow) {
  Start(MakeSettings(), 20);
  std::map<std::string, int> zone;
  for (const ServerInfo& info : MakeServers(20)) zone[info.id] = info.zone;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sent = Arrive(id, 1);
    ASSERT_EQ(sent[0].kind, Kind::kSend);
    const auto wait = Resolve(id, 0, Result::kReset);
    ASSERT_EQ(wait[0].kind, Kind::kTimer);
    const auto again = Fire(wait[0]);
    ASSERT_EQ(again[0].kind, Kind::kSend);
    EXPECT_EQ(zone[again[0].server], zone[sent[0].server]);
    now_ += 3 * kSec;  // past the dedup window
    const auto end = Resolve(id, 1, Result::kReset);
    ASSERT_EQ(end.size(), 1u);
    EXPECT_EQ(end[0].kind, Kind::kFail);
  }
}

TEST_F(BalancerTest, SendsNothingToADrainingOrGoneServer) {
  Start(MakeSettings(), 4);
  Arrive("waits");
  const auto wait = Resolve("waits", 0, Result::kRefused);
  auto servers = MakeServers(4);
  servers[0].state = ServerInfo::State::kDraining;
  servers[1].state = ServerInfo::State::kGone;
  List(ListUpdate::Kind::kDelta, {servers[0], servers[1]});
  std::set<std::string> used;
  used.insert(Fire(wait[0])[0].server);
  for (int i = 0; i < 100; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id);
    if (actions[0].kind == Kind::kSend) used.insert(actions[0].server);
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_EQ(used, (std::set<std::string>{"s02", "s03"}));
}

// Guards against cold servers that get a share of attempts instead of successes, and crash under overload.
TEST_F(BalancerTest, AColdServerGetsItsShareOfServedRequests) {
  Start(MakeSettings(), 10);
  auto servers = MakeServers(10);
  servers[0].started = now_;
  List(ListUpdate::Kind::kDelta, {servers[0]});
  int sent_to_cold = 0;
  int served = 0;
  for (int i = 0; i < 4000; ++i) {
    const std::string id = "r" + std::to_string(i);
    const auto sent = Arrive(id);
    if (sent.empty() || sent[0].kind != Kind::kSend) continue;
    if (sent[0].server == "s00") ++sent_to_cold;
    const bool serve = i % 4 == 0;  // every fourth attempt succeeds
    served += serve;
    // Slow responses: no spare capacity.
    const Micros elapsed = (sent[0].server == "s00" ? 200 : 100) * kMs;
    balancer_->OnOutcome(now_, {id, 0, serve ? Result::kSuccess : Result::kError, elapsed, serve, {}});
    TakeActions();
  }
  // kOverloadShare of the overload factor, times a third of the successes: the window has 3 servers.
  const double share =
      served / 3.0 * MakeSettings().cold_start_capacity * MakeSettings().overload_factor * 0.75;
  EXPECT_GT(sent_to_cold, 0.5 * share);  // the server is not chosen in every draw
  EXPECT_LE(sent_to_cold, 1 + share);
}

// Guards against cold servers that stay idle while the warm ones are overloaded.
TEST_F(BalancerTest, AFastColdServerGetsTheNextRequest) {
  const auto count_sent_to_cold = [&](Micros cold_latency) {
    Start(MakeSettings(), 3);
    auto servers = MakeServers(3);
    servers[0].started = now_;
    List(ListUpdate::Kind::kDelta, {servers[0]});
    int sent_to_cold = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "r" + std::to_string(i);
      const auto sent = Arrive(id);
      if (sent.at(0).kind != Kind::kSend) continue;
      const bool to_cold = sent[0].server == "s00";
      sent_to_cold += to_cold;
      // The others do not respond, so the cold server earns no credit from them.
      if (to_cold || i < 20)
        balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, to_cold ? cold_latency : 100 * kMs, true, {}});
      TakeActions();
    }
    return sent_to_cold;
  };
  EXPECT_GT(count_sent_to_cold(100 * kMs), 3 * count_sent_to_cold(500 * kMs));
}

// After a restart many servers in the list may be cold.
TEST_F(BalancerTest, ARestartedSidecarDoesNotOverloadColdServers) {
  auto servers = MakeServers(4);
  servers[0].started = servers[1].started = now_ - 100 * kMs;
  std::string error;
  balancer_ = Balancer::Create(MakeSettings(), 3, now_, sink_, error);
  List(ListUpdate::Kind::kStale, servers);
  std::map<std::string, int> sent;
  for (int i = 0; i < 300; ++i) {
    const auto actions = Arrive("r" + std::to_string(i), 2);
    if (actions[0].kind == Kind::kSend) ++sent[actions[0].server];
  }
  EXPECT_LE(sent["s00"], 1);
  EXPECT_LE(sent["s01"], 1);
  EXPECT_GT(sent["s02"] + sent["s03"], 200);
}

TEST_F(BalancerTest, ColdServersAreDrawnByCapacityShare) {
  Start(MakeSettings(), 4);
  auto servers = MakeServers(4);
  for (auto& server : servers) server.started = now_;
  List(ListUpdate::Kind::kDelta, servers);
  int sent = 0;
  for (int i = 0; i < 400; ++i) sent += Arrive("r" + std::to_string(i))[0].kind == Kind::kSend;
  EXPECT_GT(sent, 100);
}

// Guards against serving everything late, with client retries on top.
TEST_F(BalancerTest, OverloadRefusesTheLeastValuableWorkFirst) {
  Settings settings = MakeSettings();
  settings.classes[3].value = 10;
  Start(settings, 10);
  std::map<int, int> refused;
  for (int i = 0; i < 600; ++i) {
    const int request_class = i % 2 == 0 ? 0 : 3;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, request_class);
    if (actions[0].kind == Kind::kRefuse) {
      EXPECT_GT(actions[0].time, 0);
      ++refused[request_class];
      continue;
    }
    // Latency is proportional to the admitted load; servers can carry half of it.
    const Micros elapsed = refused[0] * 2 < i / 2 ? 900 * kMs : 200 * kMs;
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(refused[0], 100);
  EXPECT_LT(refused[3], refused[0] / 5);
  // Without overload everything is admitted again.
  for (int i = 0; i < 400; ++i) {
    const std::string id = "q" + std::to_string(i);
    if (Arrive(id)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 50 * kMs, true});
  }
  for (int i = 0; i < 20; ++i) EXPECT_EQ(Arrive("z" + std::to_string(i))[0].kind, Kind::kSend);
}

// Guards against refusing cheap work although the servers are idle.
TEST_F(BalancerTest, UnloadedLatencyIsNoOverload) {
  Settings settings = MakeSettings();
  settings.classes[3].value = 10;
  Start(settings, 10);
  int refused = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, i % 2 == 0 ? 0 : 3)[0].kind != Kind::kSend) {
      ++refused;
      continue;
    }
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 200 * kMs, true});
  }
  EXPECT_LT(refused, 4);
}

// Guards against refusals by a quiet sidecar after a single slow request.
TEST_F(BalancerTest, ASingleLateResponseCausesNoRefusal) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 50; ++i) {
    const std::string id = "r" + std::to_string(i);
    ASSERT_EQ(Arrive(id)[0].kind, Kind::kSend);
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (i == 45 ? 3000 : 50) * kMs, true});
  }
}

// Guards against paying for cross-zone traffic without need.
TEST_F(BalancerTest, PrefersItsOwnZoneAndSpillsOverUnderLoad) {
  Settings settings = MakeSettings();
  settings.zone = 0;
  settings.cost_cross_zone = 0.2;
  settings.classes[0].value = 0.1;  // below the cost of crossing zones, as the mean is near 1
  Start(settings, 20);
  std::map<std::string, int> zone;
  for (const ServerInfo& info : MakeServers(20)) zone[info.id] = info.zone;
  int local = 0;
  int remote = 0;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "r" + std::to_string(i);
    const int request_class = i % 6 == 0 ? 0 : 2;
    const auto actions = Arrive(id, request_class);
    if (actions[0].kind != Kind::kSend) continue;
    const bool cross_zone = zone[actions[0].server] == 1;
    if (i < 100) {
      EXPECT_FALSE(cross_zone);
    } else if (cross_zone) {
      EXPECT_NE(request_class, 0) << "worth less than the cost of crossing zones";
    }
    ++(cross_zone ? remote : local);
    const Micros elapsed = !cross_zone && i >= 100 ? 2000 * kMs : 50 * kMs;  // the sidecar's zone slows down
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(local, 100);
  EXPECT_GT(remote, 200);
}

// Servers may limit the rate of a single class.
TEST_F(BalancerTest, RefusalsOfOneClassDoNotAffectOthers) {
  Start(MakeSettings(), 4);
  int refused = 0;
  int others = 0;
  for (int i = 0; i < 800; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const int request_class = i % 2 == 0 ? 2 : 0;
    const auto sent = Arrive(id, request_class);
    ASSERT_EQ(sent[0].kind, Kind::kSend);
    if (request_class == 2 && sent[0].server == "s01") {
      ++refused;
      Resolve(id, 0, Result::kRefused);
      balancer_->OnClientGone(now_, id);
    } else {
      others += sent[0].server == "s01";
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_LT(refused, 25);  // 100 without ejection
  EXPECT_GT(refused, 2);   // so that the end of the limit is noticed
  EXPECT_GT(others, 60);   // 100 of the other class on average
}

// Guards against keys that stay blocked until the attempt of a disconnected client times out.
TEST_F(BalancerTest, CancelsTheAttemptsOfAnEndedRequest) {
  Settings settings = MakeSettings();
  settings.cancel = true;
  Start(settings, 4);
  Arrive("r1");
  balancer_->OnClientGone(now_, "r1");
  const auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_EQ(actions[0].kind, Kind::kCancel);
  balancer_->OnClientGone(now_, "r1");
  EXPECT_TRUE(sink_.Take().empty());  // only once
  EXPECT_TRUE(Resolve("r1", 0, Result::kCancelled, true).empty());
  EXPECT_EQ(balancer_->requests_held(), 0u);
}

// Guards against losing attempts at a dead server until the list drops it.
TEST_F(BalancerTest, ADeadServerIsEjectedWithExponentialBackoff) {
  Start(MakeSettings(), 4);
  int sent_to_dead = 0;
  for (int i = 0; i < 400; ++i) {
    now_ += 50 * kMs;
    const std::string id = "r" + std::to_string(i);
    const std::string server = Arrive(id)[0].server;
    if (server == "s01") {
      ++sent_to_dead;
      Resolve(id, 0, Result::kUnreachable);
      balancer_->OnClientGone(now_, id);
    } else {
      Resolve(id, 0, Result::kSuccess, true);
    }
  }
  EXPECT_LT(sent_to_dead, 25);  // 100 without ejection
  EXPECT_GT(sent_to_dead, 2);
  int after_recovery = 0;
  for (int i = 0; i < 4000; ++i) {  // the server recovers; one probe ends the ejection
    now_ += 50 * kMs;
    const std::string id = "q" + std::to_string(i);
    after_recovery += Arrive(id)[0].server == "s01";
    Resolve(id, 0, Result::kSuccess, true);
  }
  EXPECT_GT(after_recovery, 100);
}

TEST_F(BalancerTest, ACommonFailureDoesNotEjectTheWholeWindow) {
  Start(MakeSettings(), 4);
  for (int i = 0; i < 100; ++i) {
    now_ += 10 * kMs;
    const std::string id = "r" + std::to_string(i);
    const auto actions = Arrive(id, 2);
    ASSERT_EQ(actions[0].kind, Kind::kSend);
    Resolve(id, 0, Result::kReset);  // no indication of load
  }
}

TEST_F(BalancerTest, TimesOutAtTheLatencyTargetOnlyIfLateResponsesHaveNoValue) {
  Settings settings = MakeSettings();
  settings.classes[3].late_value = 0.25;
  Start(settings, 4);
  EXPECT_EQ(Arrive("r1", 0)[0].time, settings.classes[0].latency_target);
  EXPECT_EQ(Arrive("r2", 3)[0].time, 0);
}

TEST_F(BalancerTest, ABusySidecarHasAWiderWindow) {
  Settings settings = MakeSettings();
  settings.cost_connection = 0.05;
  Start(settings, 40);
  std::set<std::string> used;
  for (int i = 0; i < 12; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
  EXPECT_LE(used.size(), 4u);
  for (int i = 12; i < 120; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
  EXPECT_GT(used.size(), 10u);
  EXPECT_LE(used.size(), 31u);
}

// Guards against narrow windows that lie in a single zone. With many sidecars per server the window stays
// narrow, as servers accept a limited number of connections.
TEST_F(BalancerTest, TheWindowFollowsTheRatioOfSidecarsToServers) {
  const auto used = [&](std::uint32_t sidecars, int servers) {
    Settings settings = MakeSettings();
    settings.cost_connection = 0.05;
    settings.tuning = {};
    settings.sidecar_count = sidecars;
    Start(settings, servers);
    std::set<std::string> selected;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "r" + std::to_string(i);
      selected.insert(Arrive(id)[0].server);
      Resolve(id, 0, Result::kSuccess, true);
    }
    return selected.size();
  };
  EXPECT_EQ(used(300, 60), 3u);
  EXPECT_EQ(used(100, 60), 9u);
  EXPECT_EQ(used(50, 30), 9u);
  EXPECT_EQ(used(8, 60), 16u);
}

// Guards against busy sidecars that overload the few servers of their window.
TEST_F(BalancerTest, WithFreeConnectionsTheWindowFollowsTheAttemptsInFlight) {
  Start(MakeSettings(), 40);
  std::set<std::string> used;
  for (int i = 0; i < 20; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
  EXPECT_GT(used.size(), 8u);
}

// Guards against detecting an overload only when the late responses arrive.
TEST_F(BalancerTest, AMissedLatencyTargetCountsAsOverloadAtOnce) {
  Settings settings = MakeSettings();
  settings.classes[2].late_value = 0.5;
  Start(settings, 10);
  std::vector<std::uint64_t> target_timers;
  for (int i = 0; i < 12; ++i) {
    Deliver("r" + std::to_string(i), 2);
    for (const Action& action : sink_.Take())
      if (action.kind == Kind::kTimer) {
        EXPECT_EQ(action.time, settings.classes[2].latency_target);
        target_timers.push_back(action.token);
      }
  }
  ASSERT_EQ(target_timers.size(), 12u);
  now_ += settings.classes[2].latency_target;
  for (const std::uint64_t token : target_timers) {
    balancer_->OnTimer(now_, token);
    balancer_->OnTimer(now_, token);  // only once
  }
  EXPECT_TRUE(sink_.Take().empty());  // the attempts stay in flight
  int refused = 0;
  for (int i = 0; i < 20; ++i) refused += Arrive("q" + std::to_string(i), 2)[0].kind == Kind::kRefuse;
  EXPECT_GT(refused, 10);  // none of the twelve has got a response yet
}

// Some responses are late at any load. They time out and leave no work behind.
TEST_F(BalancerTest, IsolatedTimeoutsCauseNoRefusals) {
  const auto refused = [&](double late_share, int late_interval, int consecutive) {
    Settings settings = MakeSettings();
    settings.classes[0].late_value = late_share;
    settings.cancel = true;
    Start(settings, 10);
    int count = 0;
    for (int i = 0; i < 2000; ++i) {
      // Ten per second, as an overload decays with time.
      now_ += 100 * kMs;
      const std::string id = "r" + std::to_string(i);
      const auto actions = Arrive(id, 0);
      if (actions.at(0).kind != Kind::kSend) {
        ++count;
        continue;
      }
      const bool late = i > 100 && i % late_interval < consecutive;
      const Result result = late ? Result::kTimeout : Result::kSuccess;
      balancer_->OnOutcome(now_, {id, 0, result, (late ? 1000 : 220) * kMs, true, {}});
    }
    return count;
  };
  EXPECT_EQ(refused(0, 12, 1), 0);
  EXPECT_GT(refused(0.5, 12, 1), 100);  // late attempts pile up if they do not time out
  EXPECT_GT(refused(0, 24, 6), 100);    // many in a row indicate an overload
}

TEST_F(BalancerTest, ConsecutiveLateResponsesShedFasterThanIsolatedOnes) {
  std::map<bool, int> sent;
  for (const bool consecutive : {false, true}) {
    Settings settings = MakeSettings();
    settings.classes[2].late_value = 0.5;  // late attempts do not time out
    Start(settings, 10);
    for (int i = 0; i < 8; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
      const bool late = consecutive ? i >= 4 : i % 2 == 1;
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, (late ? 1500 : 200) * kMs, true, {}});
    }
    for (int i = 0; i < 100; ++i)
      sent[consecutive] += Arrive("z" + std::to_string(i), 2)[0].kind == Kind::kSend;
  }
  EXPECT_GT(sent[false], 50);
  EXPECT_LT(sent[true], 30);
}

// Guards against ejecting healthy servers for isolated resets.
TEST_F(BalancerTest, AServerIsEjectedForConsecutiveResetsAndNotForOne) {
  for (const Result failure : {Result::kReset, Result::kUnreachable}) {
    Settings settings = MakeSettings();
    settings.tuning.window_width = 2;
    Start(settings, 2);
    int request_count = 0;
    // The servers of the next requests, one at a time. All succeed, or all sent to s00 are reset.
    const auto used = [&](bool fails) {
      std::map<std::string, int> to;
      for (int i = 0; i < 20; ++i) {
        now_ += 1 * kMs;
        const std::string id = "r" + std::to_string(++request_count);
        const std::string server = Arrive(id).at(0).server;
        ++to[server];
        Resolve(id, 0, fails && server == "s00" ? failure : Result::kSuccess, true);
      }
      return to;
    };
    used(false);
    std::string id;
    std::string server;
    while (server != "s00") {
      id = "b" + std::to_string(++request_count);
      server = Arrive(id).at(0).server;
      if (server != "s00") Resolve(id, 0, Result::kSuccess, true);
    }
    Resolve(id, 0, failure, true);
    EXPECT_GT(used(false)["s00"], 0);
    // It stops serving; two attempts detect that.
    EXPECT_EQ(used(true)["s00"], 2);
  }
}

// Guards against readmitting all load after a single fast response.
TEST_F(BalancerTest, OneFastResponseDoesNotEndLoadShedding) {
  Start(MakeSettings(), 10);
  for (int i = 0; i < 300; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (Arrive(id, 2)[0].kind == Kind::kSend)
      balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 4 * kSec, true, {}});
  }
  std::string id;
  for (int i = 0; i < 1000; ++i) {
    id = "q" + std::to_string(i);
    if (Arrive(id, 2)[0].kind == Kind::kSend) break;
  }
  balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 10 * kMs, true, {}});
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += Arrive("z" + std::to_string(i), 2)[0].kind == Kind::kSend;
  EXPECT_GT(sent, 10);
  EXPECT_LT(sent, 70);
}

// Guards against quiet sidecars that refuse long after an overload has ended.
TEST_F(BalancerTest, AnOverloadDecaysWithTimeAndNotPerResponse) {
  Start(MakeSettings(), 8);
  int request_count = 0;
  const auto send_forty = [&] {
    int sent = 0;
    for (int i = 0; i < 40; ++i) {
      const std::string id = "r" + std::to_string(++request_count);
      if (Arrive(id)[0].kind != Kind::kSend) continue;
      ++sent;
      Resolve(id, 0, Result::kTimeout);
    }
    return sent;
  };
  send_forty();
  EXPECT_LT(send_forty(), 20);
  EXPECT_LT(balancer_->TakeSnapshot(now_).pools[0].admitted_share, 0.5);
  now_ += 10 * kSec;
  EXPECT_GT(balancer_->TakeSnapshot(now_).pools[0].admitted_share, 0.95);  // as shown to operators
  const std::string id = "late" + std::to_string(request_count);
  EXPECT_EQ(Arrive(id)[0].kind, Kind::kSend);
  int sent = 0;
  for (int i = 0; i < 20; ++i) sent += Arrive("s" + std::to_string(i))[0].kind == Kind::kSend;
  EXPECT_GE(sent, 19);
}

// Guards against sending a full share to a slow server.
TEST_F(BalancerTest, AServerThatMissesTheLatencyTargetIsEjectedThenProbed) {
  Settings settings = MakeSettings();
  settings.classes[0].late_value = 0.5;
  Start(settings, 3);
  std::string id;
  std::uint64_t target_timer = 0;
  for (int i = 0; target_timer == 0; ++i) {
    id = "r" + std::to_string(i);
    Deliver(id);
    const auto actions = sink_.Take();
    if (actions[0].server == "s01") target_timer = actions[1].token;
    if (target_timer == 0) Resolve(id, 0, Result::kSuccess, true);
  }
  balancer_->OnTimer(now_ += 1 * kSec, target_timer);
  const auto count_sent = [&](const std::string& server, const std::string& prefix) {
    int n = 0;
    for (int i = 0; i < 40; ++i) n += Arrive(prefix + std::to_string(i))[0].server == server;
    return n;
  };
  balancer_->OnOutcome(
      now_, {id, 0, Result::kSuccess, 1100 * kMs, true, {}});  // late, so the failures are not reset
  EXPECT_EQ(count_sent("s01", "a"), 0);
  now_ += 500 * kMs;  // the backoff is over
  EXPECT_EQ(count_sent("s01", "b"), 1);
}

// Requests admitted of the last 100 if the latency rises from `unloaded_ms` to `later_ms`.
class AdmissionTarget : public BalancerTest {
 protected:
  int CountAdmitted(Settings::LoadReporting reports, int unloaded_ms, int later_ms) {
    Settings settings = MakeSettings();
    settings.load_reporting = reports;
    Start(settings, 10);
    int sent = 0;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 2)[0].kind != Kind::kSend) continue;
      sent += i >= 200;
      balancer_->OnOutcome(now_,
                           {id, 0, Result::kSuccess, (i < 60 ? unloaded_ms : later_ms) * kMs, true, {}});
    }
    return sent;
  }
};

TEST_F(AdmissionTarget, IsHigherWithLoadReports) {
  EXPECT_EQ(CountAdmitted(Settings::LoadReporting::kInResponses, 200, 350), 100);
  EXPECT_LT(CountAdmitted(Settings::LoadReporting::kNone, 150, 350), 60);
}

TEST_F(AdmissionTarget, StaysNearTheUnloadedLatency) {
  EXPECT_LT(CountAdmitted(Settings::LoadReporting::kInResponses, 50, 400), 60);
  EXPECT_EQ(CountAdmitted(Settings::LoadReporting::kInResponses, 250, 400), 100);
}

// Guards against preferring a server that fails fast because it has the fewest attempts in flight.
TEST_F(BalancerTest, AServerThatFailsFastIsSkippedUntilItRecovers) {
  Start(MakeSettings(), 2);
  bool broken = true;
  const auto served_by_s00 = [&](const std::string& round, int count) {
    int n = 0;
    for (int i = 0; i < count; ++i) {
      const std::string id = round + std::to_string(i);
      const auto actions = Arrive(id);
      if (actions[0].kind != Kind::kSend) continue;
      const bool error = broken && actions[0].server == "s00";
      n += actions[0].server == "s00";
      balancer_->OnOutcome(
          now_, {id, 0, error ? Result::kError : Result::kSuccess, (error ? 1 : 100) * kMs, !error, {}});
    }
    return n;
  };
  served_by_s00("a", 100);
  EXPECT_LT(served_by_s00("b", 200), 40);
  broken = false;
  served_by_s00("c", 800);
  EXPECT_GT(served_by_s00("d", 200), 60);
}

// Guards against refusing cheap work at a moderate latency that is normal for busy servers.
TEST_F(BalancerTest, ABusySidecarToleratesMoreLatencyThanAQuietOne) {
  const auto count_admitted = [&](int max_in_flight) {
    Start(MakeSettings(), 10);
    int sent = 0;
    std::vector<std::string> in_flight;
    for (int i = 0; i < 600; ++i) {
      const std::string id = "r" + std::to_string(i);
      if (Arrive(id, 0)[0].kind == Kind::kSend) {
        sent += i >= 300;
        in_flight.push_back(id);
      }
      if (static_cast<int>(in_flight.size()) < max_in_flight) continue;
      balancer_->OnOutcome(now_,
                           {in_flight.front(), 0, Result::kSuccess, (i < 200 ? 150 : 295) * kMs, true, {}});
      in_flight.erase(in_flight.begin());
    }
    return sent;
  };
  EXPECT_EQ(count_admitted(60), 300);
  EXPECT_LT(count_admitted(5), 285);
}

// Guards against overloading the remaining servers after a large removal.
TEST_F(BalancerTest, AdmitsLessAtOnceWhenServersLeave) {
  const auto count_admitted = [&](int remaining, Micros idle_time = 0) {
    Settings settings = MakeSettings();
    settings.classes[3].value = 10;
    Start(settings, 8);
    for (int i = 0; i < 100; ++i) {
      const std::string id = "a" + std::to_string(i);
      if (Arrive(id, i % 2 == 0 ? 0 : 3)[0].kind == Kind::kSend)
        balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, 100 * kMs, true, {}});
    }
    now_ += idle_time;
    List(ListUpdate::Kind::kFull, MakeServers(remaining));
    int sent = 0;
    for (int i = 0; i < 200; ++i)
      sent += Arrive("b" + std::to_string(i), i % 2 == 0 ? 0 : 3)[0].kind == Kind::kSend;
    return sent;
  };
  EXPECT_EQ(count_admitted(8), 200);
  EXPECT_LT(count_admitted(4), 150);
  EXPECT_LT(count_admitted(4, 10 * kSec), 150) << "the idle time must not hide the removal";
}

// Refusals of a single class are a limit on it; refusals of all classes are overload.
TEST_F(BalancerTest, RefusalsOfOneClassAreNoOverload) {
  for (const bool all : {false, true}) {
    Start(MakeSettings(), 4, 9);
    int refused = 0;
    for (int i = 0; i < 400; ++i) {
      now_ += 20 * kMs;
      const std::string id = (all ? "a" : "r") + std::to_string(i);
      const auto actions = Arrive(id, i % 2 == 0 ? 2 : 0);
      if (actions[0].kind != Kind::kSend) {
        ++refused;
        continue;
      }
      const bool refuses = all || i % 2 == 0;
      balancer_->OnOutcome(now_,
                           {id, 0, refuses ? Result::kRefused : Result::kSuccess, 10 * kMs, !refuses, {}});
      if (refuses) balancer_->OnClientGone(now_, id);
      sink_.Take();
    }
    if (all) {
      EXPECT_GT(refused, 100);
    } else {
      EXPECT_EQ(refused, 0);
    }
  }
}

// Guards against serving retries of clients that are late already before first tries.
TEST_F(BalancerTest, OverloadRefusesClientRetriesBeforeFirstTries) {
  Settings settings = MakeSettings();
  settings.classes[0].late_value = 0.25;
  Start(settings, 10);
  int fresh = 0;
  int late = 0;
  for (int i = 0; i < 900; ++i) {
    const std::string id = "r" + std::to_string(i);
    // The budget is 3 s of the deadline of 5 s; a budget of 1 s means that 4 s have passed, past the target
    // of 1 s.
    const bool is_late = i % 3 == 0;
    const auto actions = Arrive(id, 0, is_late && i > 3 ? 1 * kSec : 3 * kSec);
    if (actions[0].kind != Kind::kSend) continue;
    ++(is_late ? late : fresh);
    const Micros elapsed =
        (late + fresh) * 2 > i ? 900 * kMs : 100 * kMs;  // the servers can carry half of the load
    balancer_->OnOutcome(now_, {id, 0, Result::kSuccess, elapsed, true});
  }
  EXPECT_GT(fresh, 250);
  EXPECT_LT(late * 2, fresh / 2) << late << " late, " << fresh << " fresh";  // half as many retries arrive
}

TEST_F(BalancerTest, PrefersTheServerWithFewerAttemptsInFlight) {
  Start(MakeSettings(), 2);
  std::map<std::string, int> in_flight;
  for (int i = 0; i < 400; ++i) ++in_flight[Arrive("r" + std::to_string(i))[0].server];
  EXPECT_NEAR(in_flight["s00"], 200, 20);
}

TEST_F(BalancerTest, TheWindowsOfAllSidecarsCoverTheRing) {
  std::map<std::string, int> hits;
  for (std::uint32_t index = 0; index < 40; ++index) {
    Settings settings = MakeSettings();
    settings.sidecar_index = index;
    settings.sidecar_count = 40;
    Start(settings, 20, index);
    std::set<std::string> used;
    for (int i = 0; i < 300; ++i) used.insert(Arrive("r" + std::to_string(i))[0].server);
    for (const std::string& server : used) ++hits[server];
  }
  ASSERT_EQ(hits.size(), 20u);
  for (const auto& [server, n] : hits) EXPECT_EQ(n, hits["s00"]) << server;
}

TEST_F(BalancerTest, SubscribesAgainAfterAFailureWithinTheCap) {
  Settings settings = MakeSettings();
  settings.must_subscribe = true;
  std::string error;
  balancer_ = Balancer::Create(settings, 7, now_, sink_, error);
  List(ListUpdate::Kind::kStale, MakeServers(4));
  auto actions = sink_.Take();
  ASSERT_EQ(actions.size(), 1u);
  EXPECT_LT(actions[0].time, settings.list_retry_cap);
  for (int i = 0; i < 20; ++i) {
    ASSERT_EQ(actions[0].kind, Kind::kTimer);
    const auto ask = Fire(actions[0]);
    ASSERT_EQ(ask.size(), 1u);
    EXPECT_EQ(ask[0].kind, Kind::kSubscribe);
    List(ListUpdate::Kind::kFailed, {});
    actions = sink_.Take();
    ASSERT_EQ(actions.size(), 1u);
    EXPECT_LE(actions[0].time, settings.list_retry_cap);
  }
}

TEST_F(BalancerTest, IgnoresUnknownRequestsAttemptsAndTimers) {
  Start(MakeSettings(), 4);
  EXPECT_TRUE(Resolve("nobody", 0, Result::kRefused).empty());
  Arrive("r1");
  EXPECT_TRUE(Resolve("r1", 3, Result::kRefused).empty());
  EXPECT_TRUE(Resolve("r1", -1, Result::kRefused).empty());
  EXPECT_TRUE(Arrive("r1").empty());
  balancer_->OnTimer(now_, 999);
  balancer_->OnClientGone(now_, "nobody");
  balancer_->OnResponseStarted(now_, "nobody", 0);
  EXPECT_TRUE(sink_.Take().empty());
  EXPECT_EQ(Arrive("r2", 99)[0].kind, Kind::kFail);
  EXPECT_EQ(Resolve("r1", 0, Result::kRefused).size(), 1u);
  EXPECT_TRUE(Resolve("r1", 0, Result::kRefused).empty());  // duplicate outcome
}

TEST_F(BalancerTest, ErasesAnAbandonedRequestOnceItsAttemptEnds) {
  Start(MakeSettings(), 4);
  Arrive("r1");
  balancer_->OnClientGone(now_, "r1");
  EXPECT_EQ(balancer_->requests_held(), 1u);
  EXPECT_TRUE(Resolve("r1", 0, Result::kReset).empty());
  EXPECT_EQ(balancer_->requests_held(), 0u);
}

TEST(BalancerSettings, RejectsInvalidSettings) {
  const std::vector<std::pair<std::string, void (*)(Settings&)>> cases = {
      {"no request classes", [](Settings& s) { s.classes.clear(); }},
      {"negative time in class c", [](Settings& s) { s.classes[1].deadline = -1; }},
      {"unknown repeat kind in class c",
       [](Settings& s) { s.classes[0].retry_safety = static_cast<RetrySafety>(9); }},
      {"max_attempts under 1", [](Settings& s) { s.max_attempts = 0; }},
      {"rank outside the number of sidecars", [](Settings& s) { s.sidecar_index = s.sidecar_count; }},
      {"cold_share outside (0, 1]", [](Settings& s) { s.cold_start_capacity = 0; }},
      {"negative time", [](Settings& s) { s.warmup_time = -1; }},
      {"tuning: windows_per_server under 0", [](Settings& s) { s.tuning.windows_per_server = -1; }},
  };
  for (const auto& [expected, mutate] : cases) {
    Settings settings = MakeSettings();
    mutate(settings);
    Recorder sink;
    std::string error;
    EXPECT_EQ(Balancer::Create(settings, 1, 0, sink, error), nullptr);
    EXPECT_EQ(error, expected);
  }
}

}  // namespace
}  // namespace merlinrun::testing
