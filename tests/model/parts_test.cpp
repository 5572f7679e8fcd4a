// The parts of the model by themselves: chance, the order of events, a server, discovery.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "model/events.hpp"
#include "model/keys.hpp"
#include "model/listing.hpp"
#include "model/random.hpp"
#include "model/server.hpp"

namespace merlinrun::model {
namespace {

TEST(RandomTest, LogAndExpAgreeWithTheLibrarys) {
  for (double x = 1e-9; x < 1e9; x *= 1.37) {
    EXPECT_NEAR(Log(x), std::log(x), 1e-13 * std::max(1.0, std::fabs(std::log(x)))) << x;
  }
  for (double x = -30; x < 30; x += 0.371) EXPECT_NEAR(Exp(x) / std::exp(x), 1, 1e-13) << x;
}

// The numbers are part of what a seed means: another machine or compiler has to find the same.
TEST(RandomTest, DrawsAreTheSameToTheDigitEverywhere) {
  Draws draws(42, Purpose::kRequest, 7, 1);
  EXPECT_EQ(draws.Next(), 8752422022283795638ULL);
  EXPECT_EQ(draws.Unit(), 0x1.4857021db9a26p-2);
  EXPECT_EQ(draws.Normal(), 0x1.76cfd4a312ae7p-1);
  EXPECT_EQ(draws.Exponential(1), 0x1.4158e1c9fe92fp-2);
}

TEST(RandomTest, ADrawDependsOnWhatItIsForAlone) {
  std::set<std::uint64_t> seen;
  for (const Purpose purpose : {Purpose::kRequest, Purpose::kAttempt})
    for (std::uint64_t a = 0; a < 10; ++a)
      for (std::uint64_t b = 0; b < 10; ++b) seen.insert(Draws(1, purpose, a, b).Next());
  EXPECT_EQ(seen.size(), 200U);
  EXPECT_EQ(Draws(1, Purpose::kRetry, 3).Next(), Draws(1, Purpose::kRetry, 3).Next());
}

TEST(RandomTest, ALognormalHasItsMeanAndSpread) {
  Draws draws(5, Purpose::kRequest);
  const Lognormal law(80, 2);
  double sum = 0;
  double squares = 0;
  constexpr int kDrawn = 400'000;
  for (int i = 0; i < kDrawn; ++i) {
    const double x = law(draws);
    sum += x;
    squares += x * x;
  }
  const double mean = sum / kDrawn;
  EXPECT_NEAR(mean, 80, 1);
  EXPECT_NEAR(std::sqrt(squares / kDrawn - mean * mean) / mean, 2, 0.15);
}

// Whatever is put in while it is emptied, near and far, comes out in order, and in order of putting at one
// time.
TEST(EventQueueTest, ComesOutInOrder) {
  for (const int shift : {0, 5, 14}) {
    EventQueue queue(shift);
    Draws draws(3, Purpose::kEngine, static_cast<std::uint64_t>(shift));
    std::uint32_t put = 0;
    const auto push = [&](Micros from) {
      const Micros ahead = draws.Chance(0.1) ? 0 : static_cast<Micros>(std::pow(10.0, draws.Between(0, 8)));
      queue.Push({from + ahead, 0, 0, ++put});
    };
    for (int i = 0; i < 500; ++i) push(0);
    Event last;
    std::size_t taken = 0;
    while (!queue.empty()) {
      const Event event = queue.Pop();
      ASSERT_TRUE(event.at > last.at || (event.at == last.at && event.b > last.b)) << shift;
      last = event;
      if (++taken < 20'000 && draws.Chance(0.99)) push(event.at);
    }
    EXPECT_EQ(taken, put);
  }
}

ServerFigures OneCore() {
  ServerFigures figures;
  figures.cores = 1;
  figures.slots = 4;
  figures.queue = 1;
  figures.thrash_at = 1e9;
  return figures;
}

bool Always(std::uint64_t) { return true; }

// When the server's work is done, each with its time.
std::vector<std::pair<Micros, std::uint64_t>> RunOut(Server& server, Micros now) {
  std::vector<std::pair<Micros, std::uint64_t>> out;
  for (Micros due = server.due(now); due != 0; due = server.due(now)) {
    now = due;
    std::vector<std::uint64_t> done;
    server.Finished(now, Always, done);
    for (const std::uint64_t attempt : done) {
      out.emplace_back(now, attempt);
      server.Leave(now, true, Always);
    }
  }
  return out;
}

TEST(ServerTest, CoresAreSharedEvenly) {
  Server server(OneCore(), 0);
  server.Take(0, 1);
  server.Work(0, 1, 10'000);
  server.Take(4'000, 2);
  server.Work(4'000, 2, 3'000);  // from now on each has half: 2 is done at 10,000, with 3,000 left of 1
  const auto done = RunOut(server, 4'000);
  ASSERT_EQ(done.size(), 2U);
  EXPECT_EQ(done[0], std::make_pair(Micros{10'000}, std::uint64_t{2}));
  EXPECT_EQ(done[1], std::make_pair(Micros{13'000}, std::uint64_t{1}));
}

TEST(ServerTest, MoreThanItsSlotsWaitAndMoreThanItsQueueAreTurnedAway) {
  Server server(OneCore(), 0);
  for (std::uint64_t i = 1; i <= 4; ++i) EXPECT_EQ(server.Take(0, i), Server::Place::kSlot);
  EXPECT_EQ(server.Take(0, 5), Server::Place::kQueue);
  EXPECT_EQ(server.Take(0, 6), Server::Place::kNone);
  EXPECT_EQ(server.Leave(10, false, Always), std::optional<std::uint64_t>(5));
  EXPECT_EQ(server.held(), 4U);
}

TEST(ServerTest, WhoHasLeftTheQueueIsPassedOver) {
  ServerFigures figures = OneCore();
  figures.queue = 2;
  Server server(figures, 0);
  for (std::uint64_t i = 1; i <= 6; ++i) server.Take(0, i);
  server.LeaveQueue(5);
  EXPECT_EQ(server.Leave(10, false, [](std::uint64_t attempt) { return attempt != 5; }),
            std::optional<std::uint64_t>(6));
  EXPECT_EQ(server.held(), 4U);
}

TEST(ServerTest, AColdOneIsSlow) {
  ServerFigures figures = OneCore();
  figures.cold_share = 0.25;
  figures.cold_for = 1'000'000'000;
  Server server(figures, 0);
  EXPECT_DOUBLE_EQ(server.Warmth(500'000'000), 0.625);
  server.Take(0, 1);
  server.Work(0, 1, 1'000);
  EXPECT_EQ(RunOut(server, 0).at(0).first, 4'000);
}

TEST(ServerTest, ManyHeldRequestsMakeItThrash) {
  ServerFigures figures = OneCore();
  figures.thrash = 0.5;
  figures.thrash_at = 2;
  Server server(figures, 0);
  for (std::uint64_t i = 1; i <= 4; ++i) server.Take(0, i);  // two too many: everything takes twice as long
  server.Work(0, 1, 1'000);
  EXPECT_EQ(server.due(0), 2'000);
}

TEST(ServerTest, ItChokesWhenCrowdedAndRecoversWhenLeftAlone) {
  ServerFigures figures = OneCore();
  figures.slots = 100;
  figures.chokes = true;
  figures.choke_at = 3;
  figures.choke_over = 2'000'000;
  figures.choke_slower = 4;
  figures.choke_below = 0.25;
  figures.choke_rest = 1'000'000;
  figures.choke_most = 60'000'000;
  Server server(figures, 0);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    server.Take(0, i);
    server.Work(0, i, 1e9);
  }
  server.Refresh(1'900'000);
  EXPECT_FALSE(server.choked());
  server.Refresh(2'000'000);
  EXPECT_TRUE(server.choked());
  for (int i = 0; i < 10; ++i) server.Leave(3'000'000, true, Always);
  server.Refresh(3'900'000);
  EXPECT_TRUE(server.choked());
  server.Refresh(4'100'000);
  EXPECT_FALSE(server.choked());
}

TEST(ServerTest, NothingGoesOnWhileItStandsStill) {
  Server server(OneCore(), 0);
  server.Take(0, 1);
  server.Work(0, 1, 1'000);
  EXPECT_EQ(server.due(0), 1'000);
  server.Pause(400, 2'400);
  server.Pause(500, 900);  // a shorter one on top ends nothing
  EXPECT_EQ(server.due(500), 0);
  server.Refresh(900);
  EXPECT_EQ(server.due(900), 0);
  server.Refresh(2'400);
  EXPECT_EQ(server.due(2'400), 3'000);
}

TEST(KeysTest, AServerKeepsWarmWhatItMetLastAndForSoLong) {
  WarmKeys keys(2, 1'000);
  EXPECT_FALSE(keys.Meet(1, 0));
  EXPECT_FALSE(keys.Meet(2, 100));
  EXPECT_TRUE(keys.Meet(1, 200));
  EXPECT_FALSE(keys.Meet(3, 300));  // no room for three: 2 was met longest ago
  EXPECT_FALSE(keys.Meet(2, 400));  // ... and 1 goes now
  EXPECT_TRUE(keys.Meet(3, 1'300));
  EXPECT_FALSE(keys.Meet(3, 2'301));
  EXPECT_EQ(keys.size(), 2U);
  WarmKeys none(0, 1'000);
  none.Meet(1, 0);
  EXPECT_FALSE(none.Meet(1, 1));
  EXPECT_EQ(none.size(), 0U);
}

TEST(KeysTest, ThePopularOnesComeInProportion) {
  const KeyLaw law(100, 1);
  std::vector<int> met(101);
  Draws draws(9, Purpose::kKey);
  constexpr int kDrawn = 200'000;
  for (int i = 0; i < kDrawn; ++i) ++met[law(draws)];
  EXPECT_EQ(met[0], 0);
  const double first = met[1];
  EXPECT_NEAR(met[2] / first, 0.5, 0.02);
  EXPECT_NEAR(met[10] / first, 0.1, 0.01);
  EXPECT_NEAR(first / kDrawn, 1 / 5.1874, 0.005);  // the hundredth harmonic number
  EXPECT_EQ(KeyLaw(0, 1)(draws), 0U);
}

ServerInfo Named(const char* id, ServerInfo::State state, Micros started = 0) {
  ServerInfo info;
  info.id = id;
  info.state = state;
  info.started = started;
  return info;
}
using State = ServerInfo::State;

TEST(ListingTest, TellsTogetherWhatBecomesKnownInOnePeriod) {
  Listing listing(100);
  listing.Begin({Named("a", State::kHealthy), Named("b", State::kHealthy)});
  EXPECT_EQ(listing.Add({0, Named("a", State::kDraining), 10}, 110), 200);
  EXPECT_EQ(listing.Add({1, Named("b", State::kGone), 20}, 180), 200);
  ASSERT_EQ(listing.Publish(200, 0), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.Between(0, 1).size(), 2U);
  EXPECT_EQ(listing.Whole(1).size(), 1U);
  EXPECT_EQ(listing.Whole(0).size(), 2U);
  EXPECT_EQ(listing.Publish(200, 0), std::nullopt);
}

TEST(ListingTest, AnOlderChangeThatComesLaterIsNotTold) {
  Listing listing(100);
  listing.Begin({Named("a", State::kHealthy)});
  listing.Add({0, Named("a", State::kGone), 10}, 900);
  listing.Add({0, Named("a", State::kHealthy, 500), 500}, 600);
  EXPECT_EQ(listing.Publish(700, 0), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.Publish(1'000, 0), std::nullopt);
  EXPECT_EQ(listing.Whole(1).at(0).started, 500);
  EXPECT_TRUE(listing.KnowsStart(0, 500, 1));
  EXPECT_FALSE(listing.KnowsStart(0, 500, 0));
}

TEST(ListingTest, WhileItIsDownNothingIsToldAndAfterwardsAllIs) {
  Listing listing(100);
  listing.Begin({Named("a", State::kHealthy), Named("b", State::kHealthy)});
  listing.Add({0, Named("a", State::kDraining), 10}, 10);
  EXPECT_EQ(listing.Publish(100, 5'000), std::nullopt);
  listing.Add({1, Named("b", State::kDraining), 210}, 210);
  EXPECT_EQ(listing.Publish(300, 5'000), std::nullopt);
  ASSERT_EQ(listing.Publish(5'000, 5'000), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.Between(0, 1).size(), 2U);
}

TEST(ListingTest, KnowsSinceWhenAServerIsParked) {
  Listing listing(100);
  listing.Begin({Named("a", State::kHealthy)});
  listing.Add({0, Named("a", State::kDraining), 10}, 10);
  listing.Publish(100, 0);
  listing.Add({0, Named("a", State::kGone), 110}, 110);
  listing.Publish(200, 0);
  listing.Add({0, Named("a", State::kHealthy, 210), 210}, 210);
  listing.Publish(300, 0);
  EXPECT_EQ(listing.ParkedIn(0, 0), std::nullopt);
  EXPECT_EQ(listing.ParkedIn(0, 2), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.ParkedIn(0, 3), std::nullopt);
}

}  // namespace
}  // namespace merlinrun::model
