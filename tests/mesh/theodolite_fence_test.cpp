#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>

#include "mesh/theodolite/fence.hpp"

namespace fennelhollow::theodolite {
namespace {

using Decision = Fence::Decision;
constexpr Micros kLong = 1'000'000'000'000;
constexpr Fence::Room kRoom{2, 2};

// All of it in plain lists, nothing forgotten.
struct Model {
  struct Waits {
    Ticket ticket;
    int priority;
    Micros until;
  };
  struct Lane {
    int slots = 1;
    std::set<Ticket> passed;
    std::vector<Waits> waiting;  // oldest first
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
  void Pass(const std::string& server, const Ticket& ticket) {
    Lane& lane = lanes[server];
    lane.passed.insert(ticket);
    CHECK(static_cast<int>(lane.passed.size()) <= lane.slots + kRoom.beyond_slots);
    CHECK(never.count(ticket) == 0);
    CHECK(ever_passed.insert(ticket).second);  // once
  }
  Decision OnAttempt(Micros now, const Ticket& ticket, const std::string& server, int slots, int priority,
                     Micros until) {
    if (!known.insert(ticket).second) return Decision::kTurnAway;
    Lane& lane = lanes[server];
    lane.slots = slots;
    if (lane.waiting.empty() && static_cast<int>(lane.passed.size()) < slots + kRoom.beyond_slots)
      return Pass(server, ticket), Decision::kPass;
    if (until > now && static_cast<double>(lane.waiting.size()) < kRoom.waiting_per_slot * slots)
      return lane.waiting.push_back({ticket, priority, until}), Decision::kWait;
    never.insert(ticket);
    return Decision::kTurnAway;
  }
  // The server at which `ticket` is the next; empty if it is nobody's.
  std::string NextAt(const Ticket& ticket) {
    for (auto& [id, lane] : lanes)
      if (!lane.waiting.empty() && First(lane)->ticket == ticket) return id;
    return {};
  }
  // The least priority number, and of those the oldest.
  static std::vector<Waits>::iterator First(Lane& lane) {
    return std::min_element(lane.waiting.begin(), lane.waiting.end(),
                            [](const Waits& a, const Waits& b) { return a.priority < b.priority; });
  }
};

TEST_CASE("the fence does what a plain model does, whatever comes") {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto draw = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    Fence fence(kRoom);
    Model model;
    std::vector<Ticket> tickets;
    const std::vector<std::string> servers = {"a", "b", "c"};
    std::map<std::string, int> slots = {{"a", 1}, {"b", 3}, {"c", 8}};
    Micros now = 1'000'000;
    for (int step = 0; step < 2000; ++step) {
      now += draw(4000);
      const auto any = [&] {
        return tickets.empty() || draw(20) == 0
                   ? Ticket{9, static_cast<std::uint64_t>(draw(50))}
                   : tickets[static_cast<std::size_t>(draw(static_cast<int>(tickets.size())))];
      };
      switch (draw(9)) {
        case 0:
        case 1:
        case 2:
        case 3: {
          const Ticket ticket = draw(10) == 0 ? any()
                                              : Ticket{1 + static_cast<std::uint64_t>(draw(2)),
                                                       static_cast<std::uint64_t>(step)};
          const std::string& server = servers[static_cast<std::size_t>(draw(3))];
          const int priority = draw(4);
          const Micros until = now + draw(60'000) - 1000;
          tickets.push_back(ticket);
          REQUIRE(fence.OnAttempt(now, ticket, server, slots[server], priority, until) ==
                  model.OnAttempt(now, ticket, server, slots[server], priority, until));
          break;
        }
        case 4:
        case 5: {
          const Ticket ticket = any();
          fence.OnDone(ticket);
          for (auto& [id, lane] : model.lanes) lane.passed.erase(ticket);
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
          const std::string& server = servers[static_cast<std::size_t>(draw(3))];
          auto gone = fence.OnServerGone(server);
          REQUIRE(gone.size() == model.lanes[server].waiting.size());
          for (const Ticket& ticket : gone) REQUIRE(model.Remove(ticket));
          break;
        }
      }
      if (draw(2) == 0) {
        std::set<Ticket> due;
        for (auto& [id, lane] : model.lanes)
          for (const auto& w : lane.waiting)
            if (w.until <= now) due.insert(w.ticket);
        const auto over = fence.Overdue(now);
        REQUIRE(std::set<Ticket>(over.begin(), over.end()) == due);
        REQUIRE(over.size() == due.size());
        for (const Ticket& ticket : due) model.Remove(ticket);
        while (const auto next = fence.Next(now)) {
          const std::string server = model.NextAt(*next);
          REQUIRE(!server.empty());
          Model::Lane& lane = model.lanes[server];
          lane.waiting.erase(Model::First(lane));
          model.Pass(server, *next);
        }
        for (auto& [id, lane] : model.lanes)
          REQUIRE((lane.waiting.empty() ||
                   static_cast<int>(lane.passed.size()) >= lane.slots + kRoom.beyond_slots));
      }
      REQUIRE(fence.waiting() == model.waiting());
      for (const auto& server : servers) REQUIRE(fence.passed(server) == model.lanes[server].passed.size());
    }
  }
}

TEST_CASE("what waits beyond its time is never passed on") {
  Fence fence({0, 2});
  REQUIRE(fence.OnAttempt(0, {1, 1}, "a", 1, 0, kLong) == Decision::kPass);
  REQUIRE(fence.OnAttempt(0, {1, 2}, "a", 1, 0, 10) == Decision::kWait);
  fence.OnDone({1, 1});
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
    fence.OnDone({1, n});
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
  fence.OnDone({1, 1});
  for (std::uint64_t n = 2; n < 2 * kMostRecords; ++n) fence.OnAsk(1, {1, n});
  CHECK(fence.OnAsk(2, {1, 1}));
}

}  // namespace
}  // namespace fennelhollow::theodolite
