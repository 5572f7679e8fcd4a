// Loss of a zone: it is ejected as a whole, and the remaining servers are not overloaded.
#include <gtest/gtest.h>

#include <map>
#include <queue>
#include <string>

#include "harness.hpp"

namespace merlinrun::testing {
namespace {

using Kind = Action::Kind;

class LostZoneTest : public BalancerTest {
 protected:
  static constexpr int kServers = 12;  // six in each of two zones, all in the window

  Settings AllServersInWindow() const {
    Settings settings = MakeSettings();
    settings.tuning.window_width = kServers;
    return settings;
  }

  struct Counts {
    int arrived = 0;
    int refused = 0;
    int sent_to_lost = 0;
    int peak_in_flight = 0;  // at the servers of zone 0
  };

  // Sends a request every `interval` for `length`. Servers of zone 1 are unreachable from `outage_start` on;
  // the others respond after `latency_of(attempts in flight)`.
  template <typename LatencyFunction>
  Counts SendRequests(Micros interval, Micros length, Micros outage_start, LatencyFunction latency_of) {
    Counts counts;
    const Micros end = now_ + length;
    for (Micros next = now_; next < end; next += interval) {
      DeliverEventsUntil(next);
      now_ = next;
      ++counts.arrived;
      Deliver("r" + std::to_string(++last_id_));
      ProcessActions(counts, outage_start, latency_of);
    }
    return counts;
  }

 private:
  struct PendingEvent {
    Micros at;
    std::string id;
    int attempt;
    Micros latency;
    Result result;
    std::uint64_t timer;  // if not 0, a timer instead of an outcome
    bool operator<(const PendingEvent& other) const { return at > other.at; }
  };

  template <typename LatencyFunction>
  void ProcessActions(Counts& counts, Micros outage_start, LatencyFunction latency_of) {
    for (const Action& action : sink_.Take()) {
      if (action.kind == Kind::kRefuse) ++counts.refused;
      if (action.kind == Kind::kTimer) pending_.push({now_ + action.time, "", 0, 0, {}, action.token});
      if (action.kind != Kind::kSend) continue;
      const bool lost = now_ >= outage_start && std::stoi(action.server.substr(1)) % 2 == 1;
      if (lost) ++counts.sent_to_lost;
      if (!lost) counts.peak_in_flight = std::max(counts.peak_in_flight, ++in_flight_);
      const Micros latency = lost ? 1 * kMs : latency_of(in_flight_);
      pending_.push({now_ + latency, action.request, attempts_[action.request]++, latency,
                     lost ? Result::kUnreachable : Result::kSuccess, 0});
    }
    process_actions_ = [this, &counts, outage_start, latency_of] {
      ProcessActions(counts, outage_start, latency_of);
    };
  }
  void DeliverEventsUntil(Micros until) {
    while (!pending_.empty() && pending_.top().at <= until) {
      const PendingEvent event = pending_.top();
      pending_.pop();
      now_ = event.at;
      if (event.timer != 0) {
        balancer_->OnTimer(now_, event.timer);
      } else {
        if (event.result == Result::kSuccess) --in_flight_;
        balancer_->OnOutcome(
            now_, {event.id, event.attempt, event.result, event.latency, event.result == Result::kSuccess});
      }
      if (process_actions_) process_actions_();
    }
  }

  std::priority_queue<PendingEvent> pending_;
  std::map<std::string, int> attempts_;
  std::function<void()> process_actions_;
  int in_flight_ = 0;
  int last_id_ = 0;
};

constexpr Micros kNever = 1'000'000 * kSec;
const auto kFast = [](int) { return 50 * kMs; };

TEST_F(LostZoneTest, TheZoneIsEjectedAsAWhole) {
  Start(AllServersInWindow(), kServers);
  SendRequests(20 * kMs, 10 * kSec, kNever, kFast);
  const Counts counts = SendRequests(20 * kMs, 20 * kSec, now_, kFast);
  // Three failures, then single probes with a backoff of up to 0.5, 1, 2 and 4 s. Ejecting six servers one by
  // one would take some sixty attempts.
  EXPECT_LE(counts.sent_to_lost, 25);
  EXPECT_GE(counts.sent_to_lost, 5);  // probing continues
  EXPECT_LE(counts.refused, counts.arrived / 20);
}

TEST_F(LostZoneTest, ASingleDeadServerDoesNotEjectItsZone) {
  Start(AllServersInWindow(), kServers);
  SendRequests(20 * kMs, 10 * kSec, kNever, kFast);
  for (int i = 0; i < 200; ++i) {
    const std::string id = "x" + std::to_string(i);
    for (const Action& action : Arrive(id))
      if (action.kind == Kind::kSend)
        Resolve(id, 0, action.server == "s01" ? Result::kUnreachable : Result::kSuccess,
                action.server != "s01");
  }
  int elsewhere = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "y" + std::to_string(i);
    for (const Action& action : Arrive(id))
      if (action.kind == Kind::kSend) {
        elsewhere += action.server != "s01" && std::stoi(action.server.substr(1)) % 2 == 1;
        Resolve(id, 0, Result::kSuccess, true);
      }
  }
  EXPECT_GT(elsewhere, 25);
}

TEST_F(LostZoneTest, RemainingServersAreNotOverloaded) {
  Start(AllServersInWindow(), kServers);
  const auto latency_of = [](int) { return 200 * kMs; };
  SendRequests(50 * kMs, 20 * kSec, kNever,
               latency_of);  // four in flight: below the concurrency limit of busy sidecars
  // The zone is lost, and the latency of the others grows with their load.
  const auto growing_latency = [](int in_flight) {
    return 200 * kMs + std::max(in_flight - 3, 0) * 100 * kMs;
  };
  const Counts counts = SendRequests(50 * kMs, 10 * kSec, now_, growing_latency);
  EXPECT_LE(counts.peak_in_flight,
            6);  // usually two; all is shed at 2.6 times that, after one above the limit
  EXPECT_GT(counts.refused, 0);
}

}  // namespace
}  // namespace merlinrun::testing
