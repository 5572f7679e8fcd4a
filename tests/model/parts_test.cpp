// Components of the model: random numbers, event queue, server, key cache, discovery.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "model/discovery_list.hpp"
#include "model/events.hpp"
#include "model/keys.hpp"
#include "model/random.hpp"
#include "model/server.hpp"

namespace merlinrun::model {
namespace {

TEST(RandomTest, LogAndExpMatchTheStandardLibrary) {
  for (double x = 1e-9; x < 1e9; x *= 1.37) {
    EXPECT_NEAR(Log(x), std::log(x), 1e-13 * std::max(1.0, std::fabs(std::log(x)))) << x;
  }
  for (double x = -30; x < 30; x += 0.371) EXPECT_NEAR(Exp(x) / std::exp(x), 1, 1e-13) << x;
}

// Recorded days depend on these values: they must be equal on every machine and compiler.
TEST(RandomTest, DrawsAreReproducible) {
  RandomStream draws(42, Purpose::kRequest, 7, 1);
  EXPECT_EQ(draws.Next(), 8752422022283795638ULL);
  EXPECT_EQ(draws.Uniform(), 0x1.4857021db9a26p-2);
  EXPECT_EQ(draws.Normal(), 0x1.76cfd4a312ae7p-1);
  EXPECT_EQ(draws.Exponential(1), 0x1.4158e1c9fe92fp-2);
}

TEST(RandomTest, DrawsDependOnlyOnSeedPurposeAndObjects) {
  std::set<std::uint64_t> seen;
  for (const Purpose purpose : {Purpose::kRequest, Purpose::kAttempt})
    for (std::uint64_t a = 0; a < 10; ++a)
      for (std::uint64_t b = 0; b < 10; ++b) seen.insert(RandomStream(1, purpose, a, b).Next());
  EXPECT_EQ(seen.size(), 200U);
  EXPECT_EQ(RandomStream(1, Purpose::kRetry, 3).Next(), RandomStream(1, Purpose::kRetry, 3).Next());
}

TEST(RandomTest, LognormalHasMeanAndVariation) {
  RandomStream draws(5, Purpose::kRequest);
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

// Events pushed while the queue is emptied, near and far, leave ordered by time and insertion.
TEST(EventQueueTest, PopsInOrder) {
  for (const int shift : {0, 5, 14}) {
    EventQueue queue(shift);
    RandomStream draws(3, Purpose::kSidecarSeed, static_cast<std::uint64_t>(shift));
    std::uint32_t put = 0;
    const auto push = [&](Micros from) {
      const Micros ahead =
          draws.Bernoulli(0.1) ? 0 : static_cast<Micros>(std::pow(10.0, draws.UniformBetween(0, 8)));
      queue.Push({from + ahead, 0, 0, ++put});
    };
    for (int i = 0; i < 500; ++i) push(0);
    Event last;
    std::size_t taken = 0;
    while (!queue.empty()) {
      const Event event = queue.Pop();
      ASSERT_TRUE(event.at > last.at || (event.at == last.at && event.b > last.b)) << shift;
      last = event;
      if (++taken < 20'000 && draws.Bernoulli(0.99)) push(event.at);
    }
    EXPECT_EQ(taken, put);
  }
}

ServerParameters SingleCore() {
  ServerParameters parameters;
  parameters.cores = 1;
  parameters.slots = 4;
  parameters.queue = 1;
  parameters.thrash_at = 1e9;
  return parameters;
}

bool AlwaysLive(std::uint64_t) { return true; }

// Runs the server until idle; returns the completion times.
std::vector<std::pair<Micros, std::uint64_t>> RunToCompletion(Server& server, Micros now) {
  std::vector<std::pair<Micros, std::uint64_t>> out;
  for (Micros due = server.NextCompletion(now); due != 0; due = server.NextCompletion(now)) {
    now = due;
    std::vector<std::uint64_t> done;
    server.CollectFinished(now, AlwaysLive, done);
    for (const std::uint64_t attempt : done) {
      out.emplace_back(now, attempt);
      server.ReleaseSlot(now, true, AlwaysLive);
    }
  }
  return out;
}

TEST(ServerTest, CoresAreSharedEvenly) {
  Server server(SingleCore(), 0);
  server.Admit(0, 1);
  server.StartWork(0, 1, 10'000);
  server.Admit(4'000, 2);
  server.StartWork(4'000, 2, 3'000);  // each gets half: 2 completes at 10,000 with 3,000 left of 1
  const auto done = RunToCompletion(server, 4'000);
  ASSERT_EQ(done.size(), 2U);
  EXPECT_EQ(done[0], std::make_pair(Micros{10'000}, std::uint64_t{2}));
  EXPECT_EQ(done[1], std::make_pair(Micros{13'000}, std::uint64_t{1}));
}

TEST(ServerTest, QueuesBeyondSlotsAndRejectsBeyondQueue) {
  Server server(SingleCore(), 0);
  for (std::uint64_t i = 1; i <= 4; ++i) EXPECT_EQ(server.Admit(0, i), Server::Admission::kSlot);
  EXPECT_EQ(server.Admit(0, 5), Server::Admission::kQueue);
  EXPECT_EQ(server.Admit(0, 6), Server::Admission::kRejected);
  EXPECT_EQ(server.ReleaseSlot(10, false, AlwaysLive), std::optional<std::uint64_t>(5));
  EXPECT_EQ(server.occupancy(), 4U);
}

TEST(ServerTest, SkipsCancelledAttemptsInQueue) {
  ServerParameters parameters = SingleCore();
  parameters.queue = 2;
  Server server(parameters, 0);
  for (std::uint64_t i = 1; i <= 6; ++i) server.Admit(0, i);
  server.AbandonQueue(5);
  EXPECT_EQ(server.ReleaseSlot(10, false, [](std::uint64_t attempt) { return attempt != 5; }),
            std::optional<std::uint64_t>(6));
  EXPECT_EQ(server.occupancy(), 4U);
}

TEST(ServerTest, ColdServerIsSlow) {
  ServerParameters parameters = SingleCore();
  parameters.cold_share = 0.25;
  parameters.warmup_time = 1'000'000'000;
  Server server(parameters, 0);
  EXPECT_DOUBLE_EQ(server.WarmupFactor(500'000'000), 0.625);
  server.Admit(0, 1);
  server.StartWork(0, 1, 1'000);
  EXPECT_EQ(RunToCompletion(server, 0).at(0).first, 4'000);
}

TEST(ServerTest, ThrashesAboveThreshold) {
  ServerParameters parameters = SingleCore();
  parameters.thrash = 0.5;
  parameters.thrash_at = 2;
  Server server(parameters, 0);
  for (std::uint64_t i = 1; i <= 4; ++i) server.Admit(0, i);  // two above thrash_at: work takes twice as long
  server.StartWork(0, 1, 1'000);
  EXPECT_EQ(server.NextCompletion(0), 2'000);
}

TEST(ServerTest, ChokesUnderSustainedLoadAndRecovers) {
  ServerParameters parameters = SingleCore();
  parameters.slots = 100;
  parameters.chokes = true;
  parameters.choke_at = 3;
  parameters.choke_after = 2'000'000;
  parameters.choke_slowdown = 4;
  parameters.choke_below = 0.25;
  parameters.choke_recovery = 1'000'000;
  parameters.choke_max = 60'000'000;
  Server server(parameters, 0);
  for (std::uint64_t i = 1; i <= 10; ++i) {
    server.Admit(0, i);
    server.StartWork(0, i, 1e9);
  }
  server.Refresh(1'900'000);
  EXPECT_FALSE(server.choked());
  server.Refresh(2'000'000);
  EXPECT_TRUE(server.choked());
  for (int i = 0; i < 10; ++i) server.ReleaseSlot(3'000'000, true, AlwaysLive);
  server.Refresh(3'900'000);
  EXPECT_TRUE(server.choked());
  server.Refresh(4'100'000);
  EXPECT_FALSE(server.choked());
}

TEST(ServerTest, PauseStopsWork) {
  Server server(SingleCore(), 0);
  server.Admit(0, 1);
  server.StartWork(0, 1, 1'000);
  EXPECT_EQ(server.NextCompletion(0), 1'000);
  server.Pause(400, 2'400);
  server.Pause(500, 900);  // a shorter pause doesn't end the longer one
  EXPECT_EQ(server.NextCompletion(500), 0);
  server.Refresh(900);
  EXPECT_EQ(server.NextCompletion(900), 0);
  server.Refresh(2'400);
  EXPECT_EQ(server.NextCompletion(2'400), 3'000);
}

TEST(KeysTest, CacheEvictsByRecencyAndAge) {
  WarmKeyCache keys(2, 1'000);
  EXPECT_FALSE(keys.Access(1, 0));
  EXPECT_FALSE(keys.Access(2, 100));
  EXPECT_TRUE(keys.Access(1, 200));
  EXPECT_FALSE(keys.Access(3, 300));  // evicts 2, the least recently used
  EXPECT_FALSE(keys.Access(2, 400));  // evicts 1
  EXPECT_TRUE(keys.Access(3, 1'300));
  EXPECT_FALSE(keys.Access(3, 2'301));
  EXPECT_EQ(keys.size(), 2U);
  WarmKeyCache none(0, 1'000);
  none.Access(1, 0);
  EXPECT_FALSE(none.Access(1, 1));
  EXPECT_EQ(none.size(), 0U);
}

TEST(KeysTest, DrawsFollowZipf) {
  const ZipfKeys law(100, 1);
  std::vector<int> draw_counts(101);
  RandomStream draws(9, Purpose::kKey);
  constexpr int kDrawn = 200'000;
  for (int i = 0; i < kDrawn; ++i) ++draw_counts[law(draws)];
  EXPECT_EQ(draw_counts[0], 0);
  const double first = draw_counts[1];
  EXPECT_NEAR(draw_counts[2] / first, 0.5, 0.02);
  EXPECT_NEAR(draw_counts[10] / first, 0.1, 0.01);
  EXPECT_NEAR(first / kDrawn, 1 / 5.1874, 0.005);  // the 100th harmonic number
  EXPECT_EQ(ZipfKeys(0, 1)(draws), 0U);
}

ServerInfo MakeServerInfo(const char* id, ServerInfo::State state, Micros started = 0) {
  ServerInfo info;
  info.id = id;
  info.state = state;
  info.started = started;
  return info;
}
using State = ServerInfo::State;

TEST(DiscoveryListTest, PublishesChangesOfOnePeriodTogether) {
  DiscoveryList listing(100);
  listing.Initialize({MakeServerInfo("a", State::kHealthy), MakeServerInfo("b", State::kHealthy)});
  EXPECT_EQ(listing.Schedule({0, MakeServerInfo("a", State::kDraining), 10}, 110), 200);
  EXPECT_EQ(listing.Schedule({1, MakeServerInfo("b", State::kGone), 20}, 180), 200);
  ASSERT_EQ(listing.Publish(200, 0), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.DeltaBetween(0, 1).size(), 2U);
  EXPECT_EQ(listing.FullList(1).size(), 1U);
  EXPECT_EQ(listing.FullList(0).size(), 2U);
  EXPECT_EQ(listing.Publish(200, 0), std::nullopt);
}

TEST(DiscoveryListTest, DiscardsOlderChangeThatArrivesLate) {
  DiscoveryList listing(100);
  listing.Initialize({MakeServerInfo("a", State::kHealthy)});
  listing.Schedule({0, MakeServerInfo("a", State::kGone), 10}, 900);
  listing.Schedule({0, MakeServerInfo("a", State::kHealthy, 500), 500}, 600);
  EXPECT_EQ(listing.Publish(700, 0), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.Publish(1'000, 0), std::nullopt);
  EXPECT_EQ(listing.FullList(1).at(0).started, 500);
  EXPECT_TRUE(listing.KnowsIncarnation(0, 500, 1));
  EXPECT_FALSE(listing.KnowsIncarnation(0, 500, 0));
}

TEST(DiscoveryListTest, PublishesEverythingAfterAnOutage) {
  DiscoveryList listing(100);
  listing.Initialize({MakeServerInfo("a", State::kHealthy), MakeServerInfo("b", State::kHealthy)});
  listing.Schedule({0, MakeServerInfo("a", State::kDraining), 10}, 10);
  EXPECT_EQ(listing.Publish(100, 5'000), std::nullopt);
  listing.Schedule({1, MakeServerInfo("b", State::kDraining), 210}, 210);
  EXPECT_EQ(listing.Publish(300, 5'000), std::nullopt);
  ASSERT_EQ(listing.Publish(5'000, 5'000), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.DeltaBetween(0, 1).size(), 2U);
}

TEST(DiscoveryListTest, ReportsSinceWhenAServerIsOutOfService) {
  DiscoveryList listing(100);
  listing.Initialize({MakeServerInfo("a", State::kHealthy)});
  listing.Schedule({0, MakeServerInfo("a", State::kDraining), 10}, 10);
  listing.Publish(100, 0);
  listing.Schedule({0, MakeServerInfo("a", State::kGone), 110}, 110);
  listing.Publish(200, 0);
  listing.Schedule({0, MakeServerInfo("a", State::kHealthy, 210), 210}, 210);
  listing.Publish(300, 0);
  EXPECT_EQ(listing.OutOfServiceSince(0, 0), std::nullopt);
  EXPECT_EQ(listing.OutOfServiceSince(0, 2), std::optional<std::size_t>(1));
  EXPECT_EQ(listing.OutOfServiceSince(0, 3), std::nullopt);
}

}  // namespace
}  // namespace merlinrun::model
