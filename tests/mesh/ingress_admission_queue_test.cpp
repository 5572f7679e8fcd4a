#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "mesh/ingress/admission_queue.hpp"
#include "plain_fair_queue.hpp"

namespace fennelhollow::ingress {
namespace {

using Decision = AdmissionQueue::Decision;
constexpr Micros kLong = 1'000'000'000'000;
constexpr AdmissionQueue::Room kRoom{2, 2};

AdmissionQueue::Attempt AttemptOf(const Ticket& ticket, const std::string& server, int slots, Micros due,
                                  Micros until, Flow flow = {"route", 1}) {
  return {ticket, server, slots, std::move(flow), due, until};
}

// All of it in plain lists, nothing forgotten. How long runs take is known to it from the shortest to the
// longest, which bound every average of them.
struct Model {
  struct Upstream {
    int slots = 1;
    std::map<Ticket, Micros> passed;  // and when
    PlainFairQueue queue;
    FlowAccount account;
    std::map<Ticket, Flow> flows;  // of those passed on
    Micros shortest = 0, longest = 0;
    double run = 0;  // the average, for what a flow costs
    double Cost(const Flow& flow) const {
      const double own = account.RunOf(flow);
      return own > 0 && run > 0 ? own / run : 1;
    }
    int most() const { return slots + kRoom.beyond_slots; }
    std::size_t most_waiting() const { return static_cast<std::size_t>(kRoom.waiting_per_slot * slots); }
    bool room() const { return static_cast<int>(passed.size()) < most(); }
  };
  std::map<std::string, Upstream> upstreams;
  std::set<Ticket> known, ever_passed, never;

  std::size_t waiting() const {
    std::size_t n = 0;
    for (const auto& [id, upstream] : upstreams) n += upstream.queue.entries.size();
    return n;
  }
  bool Remove(const Ticket& ticket) {
    for (auto& [id, upstream] : upstreams)
      if (upstream.queue.Remove(ticket)) return never.insert(ticket).second;
    return false;
  }
  void Pass(Micros now, Upstream& upstream, const Ticket& ticket, const Flow& flow) {
    REQUIRE(upstream.room());
    REQUIRE(never.count(ticket) == 0);
    REQUIRE(ever_passed.insert(ticket).second);  // once
    upstream.passed[ticket] = now;
    upstream.flows[ticket] = flow;
    upstream.account.OnPassed(flow);
  }
  void OnDone(Micros now, const Ticket& ticket) {
    for (auto& [id, upstream] : upstreams) {
      const auto it = upstream.passed.find(ticket);
      if (it == upstream.passed.end()) continue;
      const Micros took = now - it->second;
      upstream.shortest = upstream.longest == 0 ? took : std::min(upstream.shortest, took);
      upstream.longest = std::max(upstream.longest, took);
      upstream.account.OnRan(upstream.flows.at(ticket), took);
      upstream.run += (static_cast<double>(took) - upstream.run) / (upstream.run > 0 ? 50 : 1);
      upstream.passed.erase(it);
    }
  }
  // Takes the queue's decision, which is the queue's own only where it depends on an average.
  void OnAttempt(Micros now, const AdmissionQueue::Attempt& attempt, Decision decision) {
    if (!known.insert(attempt.ticket).second) {
      REQUIRE(decision == Decision::kTurnAway);
      return;
    }
    Upstream& upstream = upstreams[attempt.server];
    upstream.slots = attempt.slots;
    upstream.account.OnAsked(now, attempt.flow);
    if (upstream.queue.entries.empty() && upstream.room()) {
      REQUIRE(decision == Decision::kPass);
      return Pass(now, upstream, attempt.ticket, attempt.flow);
    }
    const bool starves = upstream.account.Starves(attempt.flow);
    const Micros until = starves ? std::max(attempt.until, attempt.due) : attempt.until;
    const double cost = upstream.Cost(attempt.flow);
    const std::size_t ahead = upstream.queue.Ahead(attempt.flow, attempt.due, cost);
    const auto wait = [&](Micros run) { return static_cast<Micros>(ahead + 1) * run / upstream.most(); };
    if (ahead >= upstream.most_waiting() || now + wait(upstream.shortest) >= until)
      REQUIRE(decision == Decision::kTurnAway);
    else if (now + wait(upstream.longest) + 1 < until)
      REQUIRE(decision == Decision::kWait);
    else
      REQUIRE(decision != Decision::kPass);
    if (decision == Decision::kWait) {
      upstream.queue.Push({attempt.ticket, attempt.flow, attempt.due, until, cost});
    } else {
      upstream.account.OnTurnedAway(attempt.flow);
      never.insert(attempt.ticket);
    }
  }
};

TEST_CASE("the admission queue does what a plain model does, whatever comes") {
  std::map<Decision, int> decisions;
  int left_waiting = 0, gave_way = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](std::size_t n) { return random() % n; };
    AdmissionQueue queue(kRoom);
    Model model;
    std::vector<Ticket> tickets;
    const std::vector<std::string> servers = {"a", "b", "c"};
    const std::map<std::string, int> slots = {{"a", 1}, {"b", 3}, {"c", 8}};
    Micros now = 1'000'000;
    for (std::size_t step = 0; step < 2000; ++step) {
      now += static_cast<Micros>(draw(4000));
      const auto any = [&] {
        return tickets.empty() || draw(20) == 0 ? Ticket{9, draw(50)} : tickets[draw(tickets.size())];
      };
      const std::string& server = servers[draw(3)];
      const auto overdue = [&] {
        std::map<Ticket, Why> expected;
        for (auto& [id, upstream] : model.upstreams) {
          for (const auto& entry : upstream.queue.entries)
            if (entry.until <= now) expected[entry.ticket] = Why::kWaitedOut;
          if (const auto evicted = upstream.queue.Overflow(upstream.most_waiting()))
            expected[*evicted] = Why::kEvicted;
        }
        std::map<Ticket, Why> told;
        for (const auto& turned : queue.Overdue(now)) REQUIRE(told.emplace(turned.ticket, turned.why).second);
        REQUIRE(told == expected);
        for (const auto& [ticket, why] : told) {
          for (auto& [id, upstream] : model.upstreams)
            if (const auto flow = upstream.queue.FlowOf(ticket)) upstream.account.OnTurnedAway(*flow);
          gave_way += why == Why::kEvicted;
          model.Remove(ticket);
        }
      };
      switch (draw(9)) {
        case 0:
        case 1:
        case 2:
        case 3: {
          const Ticket ticket = draw(10) == 0 ? any() : Ticket{1 + draw(2), step};
          const Micros due = now + static_cast<Micros>(draw(4) * 100'000);
          const Micros until = now + static_cast<Micros>(draw(400'000)) - 1000;
          tickets.push_back(ticket);
          const Flow flow{std::string(1, static_cast<char>('r' + draw(3))), static_cast<int>(draw(5))};
          const auto attempt = AttemptOf(ticket, server, slots.at(server), due, until, flow);
          const Decision decision = queue.OnAttempt(now, attempt);
          model.OnAttempt(now, attempt, decision);
          ++decisions[decision];
          overdue();
          break;
        }
        case 4:
        case 5: {
          const auto& passed = model.upstreams[server].passed;
          const Ticket ticket = passed.empty() || draw(4) == 0 ? any() : passed.begin()->first;
          queue.OnDone(now, ticket);
          model.OnDone(now, ticket);
          break;
        }
        case 6: {
          const Ticket ticket = any();
          REQUIRE(queue.OnCancel(ticket) == model.Remove(ticket));
          break;
        }
        case 7: {
          const Ticket ticket = any();
          model.Remove(ticket);
          if (model.known.insert(ticket).second) model.never.insert(ticket);
          REQUIRE(queue.OnAsk(now, ticket) == (model.ever_passed.count(ticket) > 0));
          break;
        }
        case 8: {
          if (draw(20) > 0) break;
          const auto gone = queue.OnServerNotReady(server);
          REQUIRE(gone.size() == model.upstreams[server].queue.entries.size());
          for (const Ticket& ticket : gone) REQUIRE(model.Remove(ticket));
          break;
        }
      }
      if (draw(2) == 0) {
        overdue();
        while (const auto next = queue.Next(now)) {
          const auto at = std::find_if(model.upstreams.begin(), model.upstreams.end(), [&](auto& entry) {
            return entry.second.queue.FlowOf(*next).has_value();
          });
          REQUIRE(at != model.upstreams.end());
          const auto expected = at->second.queue.Pop(now);
          REQUIRE(expected.has_value());
          REQUIRE(expected->ticket == *next);
          model.Pass(now, at->second, *next, expected->flow);
          ++left_waiting;
        }
        for (auto& [id, upstream] : model.upstreams)
          REQUIRE((upstream.queue.entries.empty() || !upstream.room()));
      }
      REQUIRE(queue.waiting() == model.waiting());
      for (const auto& id : servers) REQUIRE(queue.passed(id) == model.upstreams[id].passed.size());
    }
  }
  // All of it has happened.
  CHECK(decisions[Decision::kPass] > 1000);
  CHECK(decisions[Decision::kWait] > 1000);
  CHECK(decisions[Decision::kTurnAway] > 1000);
  CHECK(left_waiting > 1000);
  CHECK(gave_way > 1000);
}

TEST_CASE("what would not have room in time is turned away at once, by the time that runs take") {
  AdmissionQueue queue({0, 2});
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kLong)) == Decision::kPass);
  queue.OnDone(100'000, {1, 1});
  REQUIRE(queue.OnAttempt(100'000, AttemptOf({1, 2}, "a", 1, 0, kLong)) == Decision::kPass);
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 3}, "a", 1, 0, 200'000)) == Decision::kTurnAway);
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 4}, "a", 1, 5, 200'001)) == Decision::kWait);
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 5}, "a", 1, 9, 300'000)) ==
        Decision::kTurnAway);  // behind the one before
  CHECK(queue.OnAttempt(100'000, AttemptOf({1, 6}, "a", 1, 1, 300'000)) == Decision::kWait);  // before it
  queue.OnDone(150'000, {1, 2});
  CHECK(queue.Next(150'000) == Ticket{1, 6});
}

TEST_CASE("what waits beyond its time is never passed on") {
  AdmissionQueue queue({0, 2});
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kLong)) == Decision::kPass);
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 2}, "a", 1, 0, 10)) == Decision::kWait);
  queue.OnDone(5, {1, 1});
  CHECK_FALSE(queue.Next(10).has_value());
  CHECK(queue.Overdue(10) == std::vector<AdmissionQueue::TurnedAway>{{{1, 2}, Why::kWaitedOut}});
  CHECK_FALSE(queue.OnAsk(10, {1, 2}));
}

TEST_CASE("an attempt withdrawn before it came is turned away") {
  AdmissionQueue queue(kRoom);
  CHECK_FALSE(queue.OnAsk(0, {1, 5}));
  CHECK(queue.OnAttempt(1, AttemptOf({1, 5}, "a", 4, 0, kLong)) == Decision::kTurnAway);
  CHECK(queue.OnAttempt(1, AttemptOf({2, 5}, "a", 4, 0, kLong)) == Decision::kPass);  // another life's number
}

TEST_CASE("records are bounded in number and time, and what is under way stays on record") {
  AdmissionQueue queue(kRoom);
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "long", 1, 0, kLong)) == Decision::kPass);
  for (std::uint64_t n = 2; n < 4 * kMostRecords; ++n) {
    queue.OnAttempt(1, AttemptOf({1, n}, "a", 1, 0, kLong));
    queue.OnDone(1, {1, n});
    REQUIRE(queue.records() <= kMostRecords + 1);
  }
  CHECK(queue.OnAsk(1, {1, 1}));
  CHECK(queue.passed("long") == 1);
  for (std::uint64_t n = 0; n < kMostRecords; ++n) queue.OnAsk(kRecordFor + 2, {2, n % 2});
  CHECK(queue.records() <= 3);
  CHECK(queue.OnAsk(3 * kRecordFor, {1, 1}));
}

// "Was it passed on? If not it never will be": a no has to be known, not guessed.
TEST_CASE("what was passed on and has lost its record for want of room is not said to be never") {
  AdmissionQueue queue(kRoom);
  REQUIRE(queue.OnAttempt(0, AttemptOf({1, 1}, "a", 1, 0, kLong)) == Decision::kPass);
  queue.OnDone(0, {1, 1});
  for (std::uint64_t n = 2; n < 2 * kMostRecords; ++n) queue.OnAsk(1, {1, n});
  CHECK(queue.OnAsk(2, {1, 1}));
}

}  // namespace
}  // namespace fennelhollow::ingress
