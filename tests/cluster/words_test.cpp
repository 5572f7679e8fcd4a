// Eight processes of the program that tell one another what they meet, and what becomes of that when words
// are lost, held back, forged or old.
#include <gtest/gtest.h>

#include <csignal>

#include "fleet/report.hpp"
#include "tests/cluster/trial.hpp"

namespace merlinrun::rig {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ClusterWordsTest : public ClusterTrial {
 protected:
  void Build() {
    ClusterOptions options;
    options.words = true;
    ClusterTrial::Build(options);
    ASSERT_TRUE(Until([&] { return AllHear(kEnough); }));
  }
  std::uint64_t Word(std::size_t sidecar, const char* figure) const {
    const nlohmann::json trace = cluster_->Trace(sidecar);
    return trace.is_null() ? 0 : trace.at("words").at(figure).get<std::uint64_t>();
  }
  bool AllHear(std::size_t least) const {
    for (std::size_t i = 0; i < Size(); ++i)
      if (Word(i, "heard") < least) return false;
    return true;
  }
  // What the sidecar would say if it stood with both zones like this, or had started then.
  std::string Forged(std::size_t sender, zones::Stage stage, unsigned dead, std::uint64_t sequence,
                     std::uint64_t incarnation) const {
    fleet::PeerReport words{static_cast<std::uint32_t>(sender), incarnation, sequence, 1, {}};
    for (int zone = 0; zone < 2; ++zone) words.zones.push_back({zone, stage, 9, dead, 10, 1'000});
    return fleet::Encode(words);
  }
  std::uint64_t NowMs() const { return static_cast<std::uint64_t>(cluster_->world().loop.Now() / 1000); }
  // The rig speaks as the last sidecar, louder and newer than it does itself.
  void LieFor(milliseconds time, zones::Stage stage, unsigned dead) {
    const std::uint64_t incarnation = NowMs() + 5'000;
    for (milliseconds at{0}; at < time; at += milliseconds(50)) {
      cluster_->mesh().SayAs(Size() - 1, Forged(Size() - 1, stage, dead, ++lies_, incarnation));
      For(milliseconds(50));
    }
  }
  // Others that are heard by all from then on: words of so many move a zone.
  static constexpr std::size_t kEnough = 5;
  std::uint64_t lies_ = 0;
};

TEST_F(ClusterWordsTest, ALostZoneIsLeftOnceByAllAndReturnedToOnceByAll) {
  Build();
  LoseAndReturn(West());
  ExpectEpochs(2);  // one leave, one return, and none of the other zone
  End();
}

TEST_F(ClusterWordsTest, WithEveryWordLostItIsLeftAndReturnedToAllTheSame) {
  Build();
  cluster_->mesh().SetAll({.lose = 1});
  EXPECT_TRUE(Until([&] {
    for (std::size_t i = 0; i < Size(); ++i)
      if (Word(i, "heard") > 0) return false;
    return true;
  }));
  LoseAndReturn(West());
  ExpectEpochs(2);
  End();
}

TEST_F(ClusterWordsTest, DoubledHeldBackAndOvertakenWordsLeaveTheSamePicture) {
  Build();
  cluster_->mesh().SetAll({.lose = 0.2, .twice = 0.5, .hold = 1'500'000});
  For(seconds(3));
  LoseAndReturn(West());
  ExpectEpochs(2);
  std::uint64_t old = 0;
  for (std::size_t i = 0; i < Size(); ++i) old += Word(i, "old");
  EXPECT_GT(old, 0U);
  End();
}

TEST_F(ClusterWordsTest, OneThatSaysAllDeadWithoutEndMovesNobody) {
  Build();
  LieFor(seconds(4), zones::Stage::kEjected, 9);
  ExpectEpochs(0);
  End();
}

TEST_F(ClusterWordsTest, OneThatSaysAllWellWithoutEndKeepsNobodyInALostZone) {
  Build();
  LieFor(seconds(1), zones::Stage::kServing, 0);
  cluster_->SetLinks(West(), Link::Mode::kRefuse);
  LieFor(seconds(4), zones::Stage::kServing, 0);
  EXPECT_EQ(Away(West()), Size());
  End();
}

TEST_F(ClusterWordsTest, AFleetInHalvesThatSeeAnotherPictureLeavesByHalvesAndJoinsAgain) {
  Build();
  const auto split = [&](double lose) {
    for (std::size_t i = 0; i < Size(); i += 2)
      for (std::size_t j = 1; j < Size(); j += 2) cluster_->mesh().SetBetween(i, j, {.lose = lose});
  };
  split(1);
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->SetLinks(i, West(), Link::Mode::kRefuse);
  EXPECT_TRUE(Until([&] { return Away(West()) == Size() / 2; }));
  split(0);  // they hear of each other's picture: neither half takes it over
  For(seconds(3));
  for (std::size_t i = 0; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), i % 2 == 0 ? 1U : 0U) << i;
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->SetLinks(i, West(), Link::Mode::kPass);
  EXPECT_TRUE(Until([&] { return Back(West()) == Size(); }));
  for (std::size_t i = 0; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), i % 2 == 0 ? 2U : 0U) << i;
  End();
}

// Seven are heard and can't reach the zone; the eighth reaches it and goes by its own answers.
TEST_F(ClusterWordsTest, OneThatIsAnsweredStaysWhateverAllOthersSay) {
  Build();
  for (std::size_t i = 1; i < Size(); ++i) cluster_->SetLinks(i, West(), Link::Mode::kRefuse);
  EXPECT_TRUE(Until([&] { return Away(West()) == Size() - 1; }));
  For(seconds(2));
  EXPECT_EQ(cluster_->Epoch(0), 0U);
  End();
}

TEST_F(ClusterWordsTest, NoiseForeignAndOldWordsAreCountedAndDropped) {
  Build();
  const std::uint64_t before = Word(0, "broken") + Word(0, "foreign") + Word(0, "future") + Word(0, "old");
  EXPECT_EQ(before, 0U);
  cluster_->mesh().SayAs(3, "noise");
  cluster_->mesh().SayAs(3, std::string(400, 'x'));
  cluster_->mesh().SayAs(3, Forged(5, zones::Stage::kEjected, 9, 1, NowMs()));  // in another's name
  cluster_->mesh().SayAs(3, Forged(3, zones::Stage::kEjected, 9, 1, NowMs() + 3'600'000));  // from the future
  cluster_->mesh().SayAs(3,
                         Forged(3, zones::Stage::kEjected, 9, 99, NowMs() - 3'600'000));  // from an old life
  EXPECT_TRUE(Until([&] { return Word(0, "old") == 1; }));
  EXPECT_EQ(Word(0, "broken"), 2U);
  EXPECT_EQ(Word(0, "foreign"), 1U);
  EXPECT_EQ(Word(0, "future"), 1U);
  End();
}

TEST_F(ClusterWordsTest, HalfKilledInTheMidstOfLeavingAreHeardAgainAndLeaveToo) {
  Build();
  cluster_->SetLinks(West(), Link::Mode::kRefuse);
  ASSERT_TRUE(Until([&] { return Away(West()) > 0; }));
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->Kill(i);
  For(milliseconds(500));
  for (std::size_t i = 0; i < Size(); i += 2) cluster_->Start(i);
  EXPECT_TRUE(Until([&] { return Away(West()) == Size(); }));
  EXPECT_TRUE(Until([&] { return AllHear(kEnough); }));
  cluster_->SetLinks(West(), Link::Mode::kPass);
  EXPECT_TRUE(Until([&] { return Back(West()) == Size(); }));
  End();
}

TEST_F(ClusterWordsTest, ASidecarThatSleptWakesWithOldWordsAndMovesNobody) {
  Build();
  cluster_->SetLinks(West(), Link::Mode::kRefuse);
  ASSERT_TRUE(Until([&] { return Away(West()) == Size(); }));
  cluster_->Signal(0, SIGSTOP);
  cluster_->SetLinks(West(), Link::Mode::kPass);
  EXPECT_TRUE(Until([&] { return Back(West()) == Size() - 1; }));
  For(seconds(3));
  cluster_->Signal(0, SIGCONT);
  EXPECT_TRUE(Until([&] { return Back(West()) == Size(); }));
  For(seconds(2));
  for (std::size_t i = 1; i < Size(); ++i) EXPECT_EQ(cluster_->Epoch(i), 2U) << i;
  // What it held while it slept is late, through no fault of its own, so that the ledger is not asked.
  for (std::size_t i = 0; i < Size(); ++i) EXPECT_TRUE(cluster_->Runs(i)) << i;
}

}  // namespace
}  // namespace merlinrun::rig
