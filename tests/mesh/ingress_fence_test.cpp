#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "mesh/ingress/fence.hpp"

namespace fennelhollow::ingress {
namespace {

using Decision = Fence::Decision;
constexpr Micros kLong = 1'000'000'000'000;
constexpr Fence::Room kRoom{2, 2};

// All of it in plain lists, nothing forgotten. How long runs take is known to it from the shortest to the
// longest, which bound every average of them.
struct Model {
  struct Waits {
    Ticket ticket;
    Micros due, until;
  };
  struct Lane {
    int slots = 1;
    std::map<Ticket, Micros> passed;  // and when
    std::vector<Waits> waiting;       // oldest first
    Micros shortest = 0, longest = 0;
    int most() const { return slots + kRoom.beyond_slots; }
    std::ptrdiff_t most_waiting() const {
      return static_cast<std::ptrdiff_t>(kRoom.waiting_per_slot * slots);
    }
    bool room() const { return static_cast<int>(passed.size()) < most(); }
    // The one due first, and of those the oldest.
    std::vector<Waits>::iterator First() {
      return std::min_element(waiting.begin(), waiting.end(),
                              [](const Waits& a, const Waits& b) { return a.due < b.due; });
    }
  };
  std::map<std::string, Lane> lanes;
  std::set<Ticket> known, ever_passed, never;

  std::size_t waiting() const {
    std::size_t n = 0;
    for (const auto& [id, lane] : lanes) n += lane.waiting.size();
    return n;
  }
  bool Remove(const Ticket& ticket) {
    for (auto& [id, lane] : lanes)
      if (std::erase_if(lane.waiting, [&](const Waits& w) { return w.ticket == ticket; }) > 0)
        return never.insert(ticket).second;
    return false;
  }
  void Pass(Micros now, Lane& lane, const Ticket& ticket) {
    REQUIRE(lane.room());
    REQUIRE(never.count(ticket) == 0);
    REQUIRE(ever_passed.insert(ticket).second);  // once
    lane.passed[ticket] = now;
  }
  void OnDone(Micros now, const Ticket& ticket) {
    for (auto& [id, lane] : lanes) {
      const auto it = lane.passed.find(ticket);
      if (it == lane.passed.end()) continue;
      const Micros took = now - it->second;
      lane.shortest = lane.longest == 0 ? took : std::min(lane.shortest, took);
      lane.longest = std::max(lane.longest, took);
      lane.passed.erase(it);
    }
  }
  // Takes the fence's decision, which is the fence's own only where it depends on an average.
  void OnAttempt(Micros now, const Ticket& ticket, const std::string& server, int slots, Micros due,
                 Micros until, Decision decision) {
    if (!known.insert(ticket).second) {
      REQUIRE(decision == Decision::kTurnAway);
      return;
    }
    Lane& lane = lanes[server];
    lane.slots = slots;
    if (lane.waiting.empty() && lane.room()) {
      REQUIRE(decision == Decision::kPass);
      return Pass(now, lane, ticket);
    }
    const auto ahead = 1 + std::count_if(lane.waiting.begin(), lane.waiting.end(),
                                         [&](const Waits& w) { return w.due <= due; });
    const bool full = ahead > lane.most_waiting();  // of what is due no later
    if (full || now + ahead * lane.shortest / lane.most() >= until)
      REQUIRE(decision == Decision::kTurnAway);
    else if (now + ahead * lane.longest / lane.most() + 1 < until)
      REQUIRE(decision == Decision::kWait);
    else
      REQUIRE(decision != Decision::kPass);
    if (decision == Decision::kWait)
      lane.waiting.push_back({ticket, due, until});
    else
      never.insert(ticket);
  }
};

TEST_CASE("the fence does what a plain model does, whatever comes") {
  std::map<Decision, int> decisions;
  int left_waiting = 0, gave_way = 0;
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](std::size_t n) { return random() % n; };
    Fence fence(kRoom);
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
        std::set<Ticket> over, last;  // of each lane that is too full, those due last: one of them gives way
        std::size_t too_many = 0;
        for (auto& [id, lane] : model.lanes) {
          const bool too_full = std::ssize(lane.waiting) > lane.most_waiting();
          too_many += too_full;
          Micros due = 0;
          for (const auto& w : lane.waiting) due = std::max(due, w.due);
          for (const auto& w : lane.waiting) {
            if (w.until <= now) over.insert(w.ticket);
            if (too_full && w.due == due) last.insert(w.ticket);
          }
        }
        const auto list = fence.Overdue(now);
        const std::set<Ticket> told(list.begin(), list.end());
        REQUIRE(told.size() == list.size());
        REQUIRE(std::includes(told.begin(), told.end(), over.begin(), over.end()));
        REQUIRE(told.size() <= over.size() + too_many);
        for (const Ticket& ticket : told) {
          REQUIRE(over.count(ticket) + last.count(ticket) > 0);
          gave_way += over.count(ticket) == 0;
          model.Remove(ticket);
        }
        for (auto& [id, lane] : model.lanes) REQUIRE(std::ssize(lane.waiting) <= lane.most_waiting());
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
          const Decision decision = fence.OnAttempt(now, ticket, server, slots.at(server), due, until);
          model.OnAttempt(now, ticket, server, slots.at(server), due, until, decision);
          ++decisions[decision];
          overdue();
          break;
        }
        case 4:
        case 5: {
          const auto& passed = model.lanes[server].passed;
          const Ticket ticket = passed.empty() || draw(4) == 0 ? any() : passed.begin()->first;
          fence.OnDone(now, ticket);
          model.OnDone(now, ticket);
          break;
        }
        case 6: {
          const Ticket ticket = any();
          REQUIRE(fence.OnCancel(ticket) == model.Remove(ticket));
          break;
        }
        case 7: {
          const Ticket ticket = any();
          model.Remove(ticket);
          if (model.known.insert(ticket).second) model.never.insert(ticket);
          REQUIRE(fence.OnAsk(now, ticket) == (model.ever_passed.count(ticket) > 0));
          break;
        }
        case 8: {
          if (draw(20) > 0) break;
          const auto gone = fence.OnServerGone(server);
          REQUIRE(gone.size() == model.lanes[server].waiting.size());
          for (const Ticket& ticket : gone) REQUIRE(model.Remove(ticket));
          break;
        }
      }
      if (draw(2) == 0) {
        overdue();
        while (const auto next = fence.Next(now)) {
          const auto at = std::find_if(model.lanes.begin(), model.lanes.end(), [&](auto& entry) {
            return !entry.second.waiting.empty() && entry.second.First()->ticket == *next;
          });
          REQUIRE(at != model.lanes.end());
          at->second.waiting.erase(at->second.First());
          model.Pass(now, at->second, *next);
          ++left_waiting;
        }
        for (auto& [id, lane] : model.lanes) REQUIRE((lane.waiting.empty() || !lane.room()));
      }
      REQUIRE(fence.waiting() == model.waiting());
      for (const auto& id : servers) REQUIRE(fence.passed(id) == model.lanes[id].passed.size());
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
  Fence fence({0, 2});
  REQUIRE(fence.OnAttempt(0, {1, 1}, "a", 1, 0, kLong) == Decision::kPass);
  fence.OnDone(100'000, {1, 1});
  REQUIRE(fence.OnAttempt(100'000, {1, 2}, "a", 1, 0, kLong) == Decision::kPass);
  CHECK(fence.OnAttempt(100'000, {1, 3}, "a", 1, 0, 200'000) == Decision::kTurnAway);
  CHECK(fence.OnAttempt(100'000, {1, 4}, "a", 1, 5, 200'001) == Decision::kWait);
  CHECK(fence.OnAttempt(100'000, {1, 5}, "a", 1, 9, 300'000) ==
        Decision::kTurnAway);                                                      // behind the one before
  CHECK(fence.OnAttempt(100'000, {1, 6}, "a", 1, 1, 300'000) == Decision::kWait);  // before it
  fence.OnDone(150'000, {1, 2});
  CHECK(fence.Next(150'000) == Ticket{1, 6});
}

TEST_CASE("what waits beyond its time is never passed on") {
  Fence fence({0, 2});
  REQUIRE(fence.OnAttempt(0, {1, 1}, "a", 1, 0, kLong) == Decision::kPass);
  REQUIRE(fence.OnAttempt(0, {1, 2}, "a", 1, 0, 10) == Decision::kWait);
  fence.OnDone(5, {1, 1});
  CHECK_FALSE(fence.Next(10).has_value());
  CHECK(fence.Overdue(10) == std::vector<Ticket>{{1, 2}});
  CHECK_FALSE(fence.OnAsk(10, {1, 2}));
}

TEST_CASE("an attempt withdrawn before it came is turned away") {
  Fence fence(kRoom);
  CHECK_FALSE(fence.OnAsk(0, {1, 5}));
  CHECK(fence.OnAttempt(1, {1, 5}, "a", 4, 0, kLong) == Decision::kTurnAway);
  CHECK(fence.OnAttempt(1, {2, 5}, "a", 4, 0, kLong) == Decision::kPass);  // another life's number
}

TEST_CASE("records are bounded in number and time, and what is under way stays on record") {
  Fence fence(kRoom);
  REQUIRE(fence.OnAttempt(0, {1, 1}, "long", 1, 0, kLong) == Decision::kPass);
  for (std::uint64_t n = 2; n < 4 * kMostRecords; ++n) {
    fence.OnAttempt(1, {1, n}, "a", 1, 0, kLong);
    fence.OnDone(1, {1, n});
    REQUIRE(fence.records() <= kMostRecords + 1);
  }
  CHECK(fence.OnAsk(1, {1, 1}));
  CHECK(fence.passed("long") == 1);
  for (std::uint64_t n = 0; n < kMostRecords; ++n) fence.OnAsk(kRecordFor + 2, {2, n % 2});
  CHECK(fence.records() <= 3);
  CHECK(fence.OnAsk(3 * kRecordFor, {1, 1}));
}

// "Was it passed on? If not it never will be": a no has to be known, not guessed.
TEST_CASE("what was passed on and has lost its record for want of room is not said to be never") {
  Fence fence(kRoom);
  REQUIRE(fence.OnAttempt(0, {1, 1}, "a", 1, 0, kLong) == Decision::kPass);
  fence.OnDone(0, {1, 1});
  for (std::uint64_t n = 2; n < 2 * kMostRecords; ++n) fence.OnAsk(1, {1, n});
  CHECK(fence.OnAsk(2, {1, 1}));
}

}  // namespace
}  // namespace fennelhollow::ingress
