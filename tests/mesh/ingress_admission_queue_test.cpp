#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "mesh/ingress/admission_queue.hpp"
#include "reference_fair_queue.hpp"

namespace fennelhollow::ingress {
namespace {

using Decision = AdmissionQueue::Decision;
constexpr Micros kNoDeadline = 1'000'000'000'000;
constexpr AdmissionQueue::Limits kLimits{2, 2};

AdmissionQueue::Attempt AttemptOf(const AttemptKey& attempt_key, const std::string& server, int slots,
                                  Micros due, Micros queue_deadline, Flow flow = {"route", 1}) {
  return {attempt_key, server, slots, std::move(flow), due, queue_deadline};
}

// Reference model: plain containers, no expiry. It knows the shortest and longest duration of the requests,
// which bound any mean duration.
struct ReferenceModel {
  struct Upstream {
    int slots = 1;
    std::map<AttemptKey, Micros> forwarded;  // -> when it was forwarded
    ReferenceFairQueue queue;
    FlowStats stats;
    std::map<AttemptKey, Flow> flows;  // of the forwarded attempts
    Micros shortest = 0, longest = 0;
    double mean_duration = 0;  // for the relative cost of a flow
    double Cost(const Flow& flow) const {
      const double flow_mean = stats.MeanDuration(flow);
      return flow_mean > 0 && mean_duration > 0 ? flow_mean / mean_duration : 1;
    }
    int max_in_flight() const { return slots + kLimits.extra_in_flight; }
    std::size_t max_queued() const { return static_cast<std::size_t>(kLimits.queued_per_slot * slots); }
    bool has_capacity() const { return static_cast<int>(forwarded.size()) < max_in_flight(); }
  };
  std::map<std::string, Upstream> upstreams;
  std::set<AttemptKey> seen, ever_forwarded, never_forwarded;

  std::size_t queued() const {
    std::size_t total = 0;
    for (const auto& [id, upstream] : upstreams) total += upstream.queue.entries.size();
    return total;
  }
  bool Remove(const AttemptKey& attempt_key) {
    for (auto& [id, upstream] : upstreams)
      if (upstream.queue.Remove(attempt_key)) return never_forwarded.insert(attempt_key).second;
    return false;
  }
  void Forward(Micros now, Upstream& upstream, const AttemptKey& attempt_key, const Flow& flow) {
    REQUIRE(upstream.has_capacity());
    REQUIRE(never_forwarded.count(attempt_key) == 0);
    REQUIRE(ever_forwarded.insert(attempt_key).second);  // never twice
    upstream.forwarded[attempt_key] = now;
    upstream.flows[attempt_key] = flow;
    upstream.stats.OnForwarded(flow);
  }
  void OnDone(Micros now, const AttemptKey& attempt_key) {
    for (auto& [id, upstream] : upstreams) {
      const auto it = upstream.forwarded.find(attempt_key);
      if (it == upstream.forwarded.end()) continue;
      const Micros duration = now - it->second;
      upstream.shortest = upstream.longest == 0 ? duration : std::min(upstream.shortest, duration);
      upstream.longest = std::max(upstream.longest, duration);
      upstream.stats.OnFinished(upstream.flows.at(attempt_key), duration);
      upstream.mean_duration +=
          (static_cast<double>(duration) - upstream.mean_duration) / (upstream.mean_duration > 0 ? 50 : 1);
      upstream.forwarded.erase(it);
    }
  }
  // Checks the queue's decision, and follows it where the mean duration decides.
  void OnAttempt(Micros now, const AdmissionQueue::Attempt& attempt, Decision decision) {
    if (!seen.insert(attempt.attempt_key).second) {
      REQUIRE(decision == Decision::kReject);
      return;
    }
    Upstream& upstream = upstreams[attempt.server];
    upstream.slots = attempt.slots;
    upstream.stats.OnArrival(now, attempt.flow);
    if (upstream.queue.entries.empty() && upstream.has_capacity()) {
      REQUIRE(decision == Decision::kForward);
      return Forward(now, upstream, attempt.attempt_key, attempt.flow);
    }
    const bool starving = upstream.stats.IsStarving(attempt.flow);
    const Micros queue_deadline =
        starving ? std::max(attempt.queue_deadline, attempt.due) : attempt.queue_deadline;
    const double cost = upstream.Cost(attempt.flow);
    const std::size_t queued_ahead = upstream.queue.CountAhead(attempt.flow, attempt.due, cost);
    const auto expected_wait = [&](Micros mean_duration) {
      return static_cast<Micros>(queued_ahead + 1) * mean_duration / upstream.max_in_flight();
    };
    if (queued_ahead >= upstream.max_queued() || now + expected_wait(upstream.shortest) >= queue_deadline)
      REQUIRE(decision == Decision::kReject);
    else if (now + expected_wait(upstream.longest) + 1 < queue_deadline)
      REQUIRE(decision == Decision::kQueue);
    else
      REQUIRE(decision != Decision::kForward);
    if (decision == Decision::kQueue) {
      upstream.queue.Push({attempt.attempt_key, attempt.flow, attempt.due, queue_deadline, cost});
    } else {
      upstream.stats.OnCapacityRejection(attempt.flow);
      never_forwarded.insert(attempt.attempt_key);
    }
  }
};

TEST_CASE("the admission queue matches the reference model under random operations") {
  std::map<Decision, int> decisions;
  int dequeued = 0, evictions = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto random_below = [&](std::size_t limit) { return random() % limit; };
    AdmissionQueue queue(kLimits);
    ReferenceModel reference;
    std::vector<AttemptKey> attempt_keys;
    const std::vector<std::string> servers = {"a", "b", "c"};
    const std::map<std::string, int> slots = {{"a", 1}, {"b", 3}, {"c", 8}};
    Micros now = 1'000'000;
    for (std::size_t step = 0; step < 2000; ++step) {
      now += static_cast<Micros>(random_below(4000));
      const auto random_key = [&] {
        return attempt_keys.empty() || random_below(20) == 0
                   ? AttemptKey{9, random_below(50)}
                   : attempt_keys[random_below(attempt_keys.size())];
      };
      const std::string& server = servers[random_below(3)];
      const auto check_rejections = [&] {
        std::map<AttemptKey, RejectReason> expected;
        for (auto& [id, upstream] : reference.upstreams) {
          for (const auto& entry : upstream.queue.entries)
            if (entry.queue_deadline <= now) expected[entry.attempt_key] = RejectReason::kQueueTimeout;
          if (const auto evicted = upstream.queue.PickEviction(upstream.max_queued()))
            expected[*evicted] = RejectReason::kEvicted;
        }
        std::map<AttemptKey, RejectReason> rejected;
        for (const auto& rejection : queue.TakeRejected(now))
          REQUIRE(rejected.emplace(rejection.attempt_key, rejection.reason).second);
        REQUIRE(rejected == expected);
        for (const auto& [attempt_key, reason] : rejected) {
          for (auto& [id, upstream] : reference.upstreams)
            if (const auto flow = upstream.queue.FlowOf(attempt_key))
              upstream.stats.OnCapacityRejection(*flow);
          evictions += reason == RejectReason::kEvicted;
          reference.Remove(attempt_key);
        }
      };
      switch (random_below(9)) {
        case 0:
        case 1:
        case 2:
        case 3: {
          const AttemptKey attempt_key =
              random_below(10) == 0 ? random_key() : AttemptKey{1 + random_below(2), step};
          const Micros due = now + static_cast<Micros>(random_below(4) * 100'000);
          const Micros queue_deadline = now + static_cast<Micros>(random_below(400'000)) - 1000;
          attempt_keys.push_back(attempt_key);
          const Flow flow{std::string(1, static_cast<char>('r' + random_below(3))),
                          static_cast<int>(random_below(5))};
          const auto attempt = AttemptOf(attempt_key, server, slots.at(server), due, queue_deadline, flow);
          const Decision decision = queue.OnAttempt(now, attempt);
          reference.OnAttempt(now, attempt, decision);
          ++decisions[decision];
          check_rejections();
          break;
        }
        case 4:
        case 5: {
          const auto& forwarded = reference.upstreams[server].forwarded;
          const AttemptKey attempt_key =
              forwarded.empty() || random_below(4) == 0 ? random_key() : forwarded.begin()->first;
          queue.OnDone(now, attempt_key);
          reference.OnDone(now, attempt_key);
          break;
        }
        case 6: {
          const AttemptKey attempt_key = random_key();
          REQUIRE(queue.OnCancel(attempt_key) == reference.Remove(attempt_key));
          break;
        }
        case 7: {
          const AttemptKey attempt_key = random_key();
          reference.Remove(attempt_key);
          if (reference.seen.insert(attempt_key).second) reference.never_forwarded.insert(attempt_key);
          REQUIRE(queue.OnStatusQuery(now, attempt_key) == (reference.ever_forwarded.count(attempt_key) > 0));
          break;
        }
        case 8: {
          if (random_below(20) > 0) break;
          const auto removed = queue.OnServerNotReady(server);
          REQUIRE(removed.size() == reference.upstreams[server].queue.entries.size());
          for (const AttemptKey& attempt_key : removed) REQUIRE(reference.Remove(attempt_key));
          break;
        }
      }
      if (random_below(2) == 0) {
        check_rejections();
        while (const auto next = queue.NextToForward(now)) {
          const auto at =
              std::find_if(reference.upstreams.begin(), reference.upstreams.end(),
                           [&](auto& entry) { return entry.second.queue.FlowOf(*next).has_value(); });
          REQUIRE(at != reference.upstreams.end());
          const auto expected = at->second.queue.Pop(now);
          REQUIRE(expected.has_value());
          REQUIRE(expected->attempt_key == *next);
          reference.Forward(now, at->second, *next, expected->flow);
          ++dequeued;
        }
        for (auto& [id, upstream] : reference.upstreams)
          REQUIRE((upstream.queue.entries.empty() || !upstream.has_capacity()));
      }
      REQUIRE(queue.queued() == reference.queued());
      for (const auto& id : servers) REQUIRE(queue.in_flight(id) == reference.upstreams[id].forwarded.size());
    }
  }
  // Every kind of event has occurred often.
  CHECK(decisions[Decision::kForward] > 1000);
  CHECK(decisions[Decision::kQueue] > 1000);
  CHECK(decisions[Decision::kReject] > 1000);
  CHECK(dequeued > 1000);
  CHECK(evictions > 1000);
}

TEST_CASE("an attempt that would exceed its queue deadline is rejected at once, based on the mean duration") {
  AdmissionQueue queue({0, 2});
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  queue.OnDone(100'000, {1, 1});
  REQUIRE(queue.OnAttempt(100'000, AttemptOf({1, 2}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 3}, "a", 1, 0, 200'000)) == Decision::kReject);
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 4}, "a", 1, 5, 200'001)) == Decision::kQueue);
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 5}, "a", 1, 9, 300'000)) ==
        Decision::kReject);  // queued behind the previous one
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 6}, "a", 1, 1, 300'000)) ==
        Decision::kQueue);  // queued ahead of it
  queue.OnDone(150'000, {1, 2});
  CHECK(queue.NextToForward(150'000) == AttemptKey{1, 6});
}

// Guards against callers that leave early, or read slowly, and so change how long others are expected to
// wait.
TEST_CASE("callers that give up early or read slowly do not change the mean duration") {
  AdmissionQueue queue({0, 2});
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  queue.OnDone(100'000, {1, 1});
  Micros now = 100'000;
  const bool slow_reader = GENERATE(false, true);
  for (std::uint64_t sequence = 2; sequence < 100; ++sequence) {
    REQUIRE(queue.OnAttempt(now, AttemptOf({1, sequence}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
    if (slow_reader)
      queue.OnDone(now += 10'100'000, {1, sequence}, 10'000'000);
    else
      queue.OnAbandoned(now += 100, {1, sequence});
  }
  REQUIRE(queue.OnAttempt(now, AttemptOf({1, 100}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  CHECK(queue.OnAttempt(now, AttemptOf({1, 101}, "a", 1, 0, now + 100'000)) == Decision::kReject);
  CHECK(queue.OnAttempt(now, AttemptOf({1, 102}, "a", 1, 0, now + 100'001)) == Decision::kQueue);
}

// Guards against a server that is slow for all, and of whose attempts none is waited for to its end.
TEST_CASE("attempts that are given up late count for the mean duration") {
  AdmissionQueue queue({0, 2});
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  queue.OnDone(1'000, {1, 1});
  REQUIRE(queue.OnAttempt(1'000, AttemptOf({1, 2}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  queue.OnAbandoned(1'001'000, {1, 2});
  REQUIRE(queue.OnAttempt(1'001'000, AttemptOf({1, 3}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  CHECK(queue.OnAttempt(1'001'000, AttemptOf({1, 4}, "a", 1, 0, 1'011'000)) == Decision::kReject);
}

TEST_CASE("an attempt past its queue deadline is never forwarded") {
  AdmissionQueue queue({0, 2});
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 2}, "a", 1, 0, 10)) == Decision::kQueue);
  queue.OnDone(5, {1, 1});
  CHECK_FALSE(queue.NextToForward(10).has_value());
  CHECK(queue.TakeRejected(10) ==
        std::vector<AdmissionQueue::Rejection>{{{1, 2}, RejectReason::kQueueTimeout}});
  CHECK_FALSE(queue.OnStatusQuery(10, {1, 2}));
}

TEST_CASE("an attempt withdrawn before its arrival is rejected") {
  AdmissionQueue queue(kLimits);
  CHECK_FALSE(queue.OnStatusQuery(0, {1, 5}));
  CHECK(queue.OnAttempt(1, AttemptOf({1, 5}, "a", 4, 0, kNoDeadline)) == Decision::kReject);
  CHECK(queue.OnAttempt(1, AttemptOf({2, 5}, "a", 4, 0, kNoDeadline)) ==
        Decision::kForward);  // another incarnation
}

TEST_CASE("records are bounded in number and age, and records of attempts in flight are kept") {
  AdmissionQueue queue(kLimits);
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "long", 1, 0, kNoDeadline)) == Decision::kForward);
  for (std::uint64_t sequence = 2; sequence < 4 * kMaxRecords; ++sequence) {
    queue.OnAttempt(1, AttemptOf({1, sequence}, "a", 1, 0, kNoDeadline));
    queue.OnDone(1, {1, sequence});
    REQUIRE(queue.records() <= kMaxRecords + 1);
  }
  CHECK(queue.OnStatusQuery(1, {1, 1}));
  CHECK(queue.in_flight("long") == 1);
  for (std::uint64_t sequence = 0; sequence < kMaxRecords; ++sequence)
    queue.OnStatusQuery(kRecordTtl + 2, {2, sequence % 2});
  CHECK(queue.records() <= 3);
  CHECK(queue.OnStatusQuery(3 * kRecordTtl, {1, 1}));
}

// A negative status reply is binding, so it must not be given for an attempt whose record has expired.
TEST_CASE("a forwarded attempt whose record has expired is not reported as never forwarded") {
  AdmissionQueue queue(kLimits);
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kNoDeadline)) == Decision::kForward);
  queue.OnDone(0, {1, 1});
  for (std::uint64_t sequence = 2; sequence < 2 * kMaxRecords; ++sequence)
    queue.OnStatusQuery(1, {1, sequence});
  CHECK(queue.OnStatusQuery(2, {1, 1}));
}

}  // namespace
}  // namespace fennelhollow::ingress
