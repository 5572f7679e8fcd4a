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

  Settings Wide() const {
    Settings settings = MakeSettings();
    settings.tuning.window_width = kServers;
    return settings;
  }

  struct Observed {
    int arrived = 0;
    int refused = 0;
    int sent_to_lost = 0;
    int peak_in_flight = 0;  // at the servers of zone 0
  };

  // Sends a request every `gap` for `length`. Servers of zone 1 are unreachable from `outage_start` on; the
  // others respond after `takes(attempts in flight)`.
  template <typename Takes>
  Observed Play(Micros gap, Micros length, Micros outage_start, Takes takes) {
    Observed observed;
    const Micros end = now_ + length;
    for (Micros next = now_; next < end; next += gap) {
      Answer(next);
      now_ = next;
      ++observed.arrived;
      Deliver("r" + std::to_string(++last_));
      Act(observed, outage_start, takes);
    }
    return observed;
  }

 private:
  struct Due {
    Micros at;
    std::string id;
    int attempt;
    Micros took;
    Result result;
    std::uint64_t timer;  // if not 0, a timer instead of an outcome
    bool operator<(const Due& other) const { return at > other.at; }
  };

  template <typename Takes>
  void Act(Observed& observed, Micros outage_start, Takes takes) {
    for (const Action& action : sink_.Take()) {
      if (action.kind == Kind::kRefuse) ++observed.refused;
      if (action.kind == Kind::kTimer) due_.push({now_ + action.time, "", 0, 0, {}, action.token});
      if (action.kind != Kind::kSend) continue;
      const bool lost = now_ >= outage_start && std::stoi(action.server.substr(1)) % 2 == 1;
      if (lost) ++observed.sent_to_lost;
      if (!lost) observed.peak_in_flight = std::max(observed.peak_in_flight, ++out_);
      const Micros took = lost ? 1 * kMs : takes(out_);
      due_.push({now_ + took, action.request, attempts_[action.request]++, took,
                 lost ? Result::kUnreachable : Result::kSuccess, 0});
    }
    act_ = [this, &observed, outage_start, takes] { Act(observed, outage_start, takes); };
  }
  void Answer(Micros until) {
    while (!due_.empty() && due_.top().at <= until) {
      const Due due = due_.top();
      due_.pop();
      now_ = due.at;
      if (due.timer != 0) {
        balancer_->OnTimer(now_, due.timer);
      } else {
        if (due.result == Result::kSuccess) --out_;
        balancer_->OnOutcome(now_,
                             {due.id, due.attempt, due.result, due.took, due.result == Result::kSuccess});
      }
      if (act_) act_();
    }
  }

  std::priority_queue<Due> due_;
  std::map<std::string, int> attempts_;
  std::function<void()> act_;
  int out_ = 0;
  int last_ = 0;
};

constexpr Micros kNever = 1'000'000 * kSec;
const auto kFast = [](int) { return 50 * kMs; };

TEST_F(LostZoneTest, TheZoneIsEjectedAsAWhole) {
  Start(Wide(), kServers);
  Play(20 * kMs, 10 * kSec, kNever, kFast);
  const Observed observed = Play(20 * kMs, 20 * kSec, now_, kFast);
  // Three failures, then single probes with a backoff of up to 0.5, 1, 2 and 4 s. Ejecting six servers one by
  // one would take some sixty attempts.
  EXPECT_LE(observed.sent_to_lost, 25);
  EXPECT_GE(observed.sent_to_lost, 5);  // probing continues
  EXPECT_LE(observed.refused, observed.arrived / 20);
}

TEST_F(LostZoneTest, ASingleDeadServerDoesNotEjectItsZone) {
  Start(Wide(), kServers);
  Play(20 * kMs, 10 * kSec, kNever, kFast);
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
  Start(Wide(), kServers);
  const auto takes = [](int) { return 200 * kMs; };
  Play(50 * kMs, 20 * kSec, kNever, takes);  // four in flight: below the concurrency limit of busy sidecars
  // The zone is lost, and the latency of the others grows with their load.
  const auto strained = [](int out) { return 200 * kMs + std::max(out - 3, 0) * 100 * kMs; };
  const Observed observed = Play(50 * kMs, 10 * kSec, now_, strained);
  EXPECT_LE(observed.peak_in_flight, 6);  // two usual ones, 2.6 times, and the one that exceeds the limit
  EXPECT_GT(observed.refused, 0);
}

}  // namespace
}  // namespace merlinrun::testing
