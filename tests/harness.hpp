// Shared test fixture: records actions and builds settings and server lists.
#ifndef MERLINRUN_TESTS_HARNESS_HPP_
#define MERLINRUN_TESTS_HARNESS_HPP_

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::testing {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSec = 1000 * kMs;

struct Action {
  enum class Kind { kSend, kCancel, kRefuse, kFail, kTimer, kSubscribe } kind;
  std::string request;
  std::string server;
  Micros time = 0;  // timeout, retry-after or delay
  std::uint64_t token = 0;
  Cause why = Cause::kNoServer;  // of a refusal or failure
};

class Recorder : public ActionSink {
 public:
  void Send(std::string_view request, const std::string& server, Micros timeout) override {
    actions.push_back({Action::Kind::kSend, std::string(request), server, timeout});
  }
  void Cancel(std::string_view request, int attempt) override {
    actions.push_back({Action::Kind::kCancel, std::string(request), "", attempt});
  }
  void Refuse(std::string_view request, Micros retry_after, Cause why) override {
    actions.push_back({Action::Kind::kRefuse, std::string(request), "", retry_after, 0, why});
  }
  void Fail(std::string_view request, Cause why) override {
    actions.push_back({Action::Kind::kFail, std::string(request), "", 0, 0, why});
  }
  void SetTimer(Micros delay, std::uint64_t token) override {
    actions.push_back({Action::Kind::kTimer, "", "", delay, token});
  }
  void Subscribe() override { actions.push_back({Action::Kind::kSubscribe, "", ""}); }
  void Log(std::string_view) override {}

  // Returns and clears the recorded actions.
  std::vector<Action> Take() { return std::exchange(actions, {}); }

  std::vector<Action> actions;
};

inline RequestClass MakeClass(RetrySafety safety, DedupScope scope = DedupScope::kAll) {
  RequestClass c;
  c.name = "c";
  c.latency_target = 1 * kSec;
  c.deadline = 5 * kSec;
  c.retry_safety = safety;
  c.dedup_scope = scope;
  c.dedup_window = 3 * kSec;
  return c;
}

// Classes 0, 1 and 2: safe, deduplicated within a zone, never retried. 3: deduplicated everywhere.
inline Settings MakeSettings() {
  Settings s;
  s.classes = {MakeClass(RetrySafety::kSafe), MakeClass(RetrySafety::kDeduplicated, DedupScope::kZone),
               MakeClass(RetrySafety::kNever), MakeClass(RetrySafety::kDeduplicated)};
  s.max_attempts = 5;
  s.max_retry_after = 2 * kSec;
  s.drain_grace = 500 * kMs;
  s.cold_start_capacity = 0.25;
  s.warmup_time = 8 * kSec;
  s.overload_factor = 4;
  s.overload_crash_time = 2 * kSec;
  s.list_retry_cap = 10 * kSec;
  s.tick = 5 * kMs;
  s.tuning.windows_per_server = 0;  // narrow windows, as in large fleets
  return s;
}

// n servers s00, s01, ..., alternating between zones 0 and 1.
inline std::vector<ServerInfo> MakeServers(int n) {
  std::vector<ServerInfo> servers;
  for (int i = 0; i < n; ++i) {
    ServerInfo info;
    info.id = "s" + std::to_string(i / 10) + std::to_string(i % 10);
    info.zone = i % 2;
    info.cell = i / 2;
    servers.push_back(info);
  }
  return servers;
}

// A balancer with servers, driven one event at a time.
class BalancerTest : public ::testing::Test {
 protected:
  // Actions since the last call, without the latency target timer that follows each send.
  std::vector<Action> TakeActions() {
    std::vector<Action> actions = sink_.Take();
    for (std::size_t i = 1; i < actions.size(); ++i)
      if (actions[i - 1].kind == Action::Kind::kSend && actions[i].kind == Action::Kind::kTimer)
        actions.erase(actions.begin() + static_cast<std::ptrdiff_t>(i));
    return actions;
  }
  void Start(const Settings& settings, int servers, std::uint64_t seed = 7) {
    std::string error;
    balancer_ = Balancer::Create(settings, seed, now_, sink_, error);
    ASSERT_NE(balancer_, nullptr) << error;
    List(ListUpdate::Kind::kStale, MakeServers(servers));
    sink_.Take();
  }
  void List(ListUpdate::Kind kind, const std::vector<ServerInfo>& servers) {
    balancer_->OnServers(now_, {kind, 1, servers});
  }
  void Deliver(const std::string& id, int request_class = 0, Micros budget = 5 * kSec,
               const std::string& key = "") {
    Request request;
    request.key = key;
    request.id = id;
    request.request_class = request_class;
    request.budget = budget;
    balancer_->OnRequest(now_, request);
  }
  std::vector<Action> Arrive(const std::string& id, int request_class = 0, Micros budget = 5 * kSec,
                             const std::string& key = "") {
    Deliver(id, request_class, budget, key);
    return TakeActions();
  }
  std::vector<Action> Resolve(const std::string& id, int attempt, Result result, bool done = false) {
    balancer_->OnOutcome(now_, {id, attempt, result, 10 * kMs, done});
    return TakeActions();
  }
  std::vector<Action> Fire(const Action& timer) {
    now_ += timer.time;
    balancer_->OnTimer(now_, timer.token);
    return TakeActions();
  }

  Micros now_ = 100 * kSec;
  Recorder sink_;
  std::unique_ptr<Balancer> balancer_;
};

}  // namespace merlinrun::testing

#endif  // MERLINRUN_TESTS_HARNESS_HPP_
