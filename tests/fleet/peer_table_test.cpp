// Who counts, for how long, and that the same words leave the same picture whatever became of them on the
// way.
#include "fleet/peer_table.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace merlinrun::fleet {
namespace {

constexpr Micros kNow = 1'796'000'000'000'000;  // the clock stands for Unix time
constexpr std::uint64_t kStart = kNow / 1000 - 10'000;

ZoneReport Lost(int zone = 1) { return {zone, zones::Stage::kEjected, 1, 3, 20, 500}; }
ZoneReport Well(int zone = 1) { return {zone, zones::Stage::kServing, 0, 0, 20, 9'000}; }

class MembersTest : public ::testing::Test {
 protected:
  PeerTable::Heard Say(std::uint32_t sender, const ZoneReport& zone, std::uint64_t incarnation = kStart) {
    return peer_table_.Hear(now_, {sender, incarnation, ++sequence_, 1, {zone}});
  }
  PeerTable peer_table_{0};
  Micros now_ = kNow;
  std::uint64_t sequence_ = 0;
};

TEST_F(MembersTest, OneSenderCountsOnceHoweverOftenItSpeaks) {
  for (int i = 0; i < 100; ++i) Say(5, Lost());
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_lost, 1);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting, 1);
  EXPECT_EQ(peer_table_.Of(now_, 0).reporting, 0);
}

TEST_F(MembersTest, WordsCountForThePresentAlone) {
  Say(1, Lost());
  Say(2, Well());
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_healthy, 1);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_lost, 1);
  now_ += PeerTable::kSpeaksFor;  // what it met is not of the present any more, though the word is
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_healthy, 0);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_lost,
            1);  // it has left the zone, and meets nothing there till its trial
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting, 2);
  now_ += PeerTable::kFresh;
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting, 0);
  EXPECT_EQ(peer_table_.RecentPeerCount(now_), 0U);
}

TEST_F(MembersTest, WhoIsBackWithANewIncarnationIsNotHeldToItsOldWords) {
  Say(1, Lost());
  EXPECT_EQ(peer_table_.Hear(now_, {1, kStart + 500, 1, 1, {Well()}}), PeerTable::Heard::kNew);
  EXPECT_EQ(peer_table_.returns(), 1U);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_healthy, 1);
  // What it said before it went, held back on the way.
  EXPECT_EQ(peer_table_.Hear(now_, {1, kStart, 900, 1, {Lost()}}), PeerTable::Heard::kOld);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_lost, 0);
}

TEST_F(MembersTest, FromTheFutureOrUnderThisSidecarsNumberIsDropped) {
  EXPECT_EQ(Say(1, Lost(), kNow / 1000 + 3'600'000), PeerTable::Heard::kFuture);
  EXPECT_EQ(Say(0, Lost()), PeerTable::Heard::kOwn);
  EXPECT_EQ(peer_table_.known(), 0U);
}

TEST_F(MembersTest, ASenderThatGoesAgainstEverybodyIsNotCountedUntilItErrsNoMore) {
  for (int round = 0; round < 10; ++round) {
    for (std::uint32_t other = 1; other <= 4; ++other) Say(other, Well());
    Say(9, Lost());
    now_ += 100'000;
  }
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_lost, 0);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting, 4);
  for (int round = 0; round < 60; ++round) Say(9, Well());
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting, 5);
}

TEST_F(MembersTest, InAFleetSplitIntoHalvesNobodyIsAgainstEverybody) {
  for (int round = 0; round < 20; ++round) {
    for (std::uint32_t other = 1; other <= 4; ++other) Say(other, Well());
    for (std::uint32_t other = 5; other <= 8; ++other) Say(other, Lost());
    now_ += 100'000;
  }
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting_lost, 4);
  EXPECT_EQ(peer_table_.Of(now_, 1).reporting, 8);
}

TEST_F(MembersTest, AZoneIsAsWarmAsAQuorumHasFoundIt) {
  const auto back = [](Micros for_ms) { return ZoneReport{1, zones::Stage::kReturning, 2, 0, 20, for_ms}; };
  Say(1, back(600'000));  // one that lies
  Say(2, back(1'500));
  EXPECT_EQ(peer_table_.Of(now_, 1).returned_for, 0);
  Say(3, back(900));
  EXPECT_EQ(peer_table_.Of(now_, 1).returned_for, 900'000);
  now_ += 100'000;
  EXPECT_EQ(peer_table_.Of(now_, 1).returned_for, 1'000'000);
}

PeerReport AnyWords() {
  PeerReport words;
  words.sender = *rc::gen::inRange<std::uint32_t>(1, 6);
  words.incarnation = kStart + *rc::gen::inRange<std::uint64_t>(0, 3);
  words.sequence = *rc::gen::inRange<std::uint64_t>(1, 9);
  // One sender says one thing under one number: what it is follows from the number.
  const bool lost = (words.sender + words.incarnation + words.sequence) % 2 == 0;
  words.zones.push_back(lost ? Lost() : Well());
  return words;
}

// Merging is a join: any order, any doubling, and the loss of whatever is not the newest of its sender.
RC_GTEST_PROP(MembersProperty, TheSameWordsLeaveTheSamePicture, ()) {
  const auto said = *rc::gen::container<std::vector<PeerReport>>(rc::gen::exec(AnyWords));
  std::vector<PeerReport> other = said;
  for (const PeerReport& words : said)
    if (*rc::gen::arbitrary<bool>()) other.push_back(words);
  for (std::size_t i = other.size(); i > 1; --i)
    std::swap(other[i - 1], other[*rc::gen::inRange<std::size_t>(0, i)]);
  PeerTable one(0);
  PeerTable two(0);
  for (const PeerReport& words : said) one.Hear(kNow, words);
  for (const PeerReport& words : other) {
    const bool newest = std::none_of(said.begin(), said.end(), [&](const PeerReport& than) {
      return than.sender == words.sender &&
             std::tie(than.incarnation, than.sequence) > std::tie(words.incarnation, words.sequence);
    });
    if (newest || *rc::gen::arbitrary<bool>()) two.Hear(kNow, words);
  }
  for (std::uint32_t sender = 1; sender < 6; ++sender) {
    const PeerReport* a = one.LatestReport(sender);
    const PeerReport* b = two.LatestReport(sender);
    RC_ASSERT((a == nullptr) == (b == nullptr));
    if (a != nullptr) RC_ASSERT(*a == *b);
  }
}

}  // namespace
}  // namespace merlinrun::fleet
