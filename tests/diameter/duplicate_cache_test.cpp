// What is remembered of requests: one outcome, whatever is sent again and whenever, within bounds.
#include "diameter/duplicate_cache.hpp"

#include <gtest/gtest.h>

#include "diameter/dictionary.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

constexpr Micros kSec = 1'000'000;
const RequestKey kKey{"a.example", 7};

DuplicateCache::Limits Small() {
  DuplicateCache::Limits limits;
  limits.entries = 3;
  limits.bytes = 100;
  limits.keep = 240 * kSec;
  limits.waiters = 2;
  return limits;
}

Message Answer(const std::string& data) { return {{0, 1, 1, 1, 7}, AvpWriter().Add(1, data).Take()}; }

class RecallTest : public ::testing::Test {
 protected:
  DuplicateCache::Found Look(Micros now, const RequestKey& key, std::uint64_t digest = 1,
                             std::uint64_t from = 1) {
    return recall.Look(now, key, digest, {from, 5, ""}, [this](std::uint64_t c) { return c != dead; });
  }
  bool Begin(Micros now, const RequestKey& key) { return recall.Begin(now, key, 1, {1, 4, ""}); }

  DuplicateCache recall{Small()};
  std::uint64_t dead = 0;
};

TEST_F(RecallTest, WhoSendsAgainWaitsWithTheFirstAndThenHasTheSameAnswer) {
  EXPECT_EQ(Look(0, kKey), DuplicateCache::Found::kNew);
  ASSERT_TRUE(Begin(0, kKey));
  EXPECT_EQ(Look(1, kKey), DuplicateCache::Found::kPending);
  EXPECT_EQ(recall.Finish(2, kKey, Answer("ok"), true).size(), 2U);
  EXPECT_EQ(Look(3, kKey), DuplicateCache::Found::kAnswered);
  EXPECT_EQ(recall.Answer(kKey), Answer("ok"));
  EXPECT_TRUE(recall.Finish(4, kKey, Answer("other"), true).empty());
  EXPECT_EQ(recall.Answer(kKey), Answer("ok"));
}

TEST_F(RecallTest, AnotherRequestUnderTheSameIdIsToldApart) {
  ASSERT_TRUE(Begin(0, kKey));
  EXPECT_EQ(Look(1, kKey, 2), DuplicateCache::Found::kOther);
  recall.Finish(2, kKey, Answer("ok"), true);
  EXPECT_EQ(Look(3, kKey, 2), DuplicateCache::Found::kOther);
}

TEST_F(RecallTest, RemembersForItsTimeAndNoLonger) {
  Begin(0, kKey);
  recall.Finish(kSec, kKey, Answer("ok"), true);
  EXPECT_EQ(Look(240 * kSec, kKey), DuplicateCache::Found::kAnswered);
  EXPECT_EQ(Look(241 * kSec, kKey), DuplicateCache::Found::kNew);
  EXPECT_EQ(recall.entries(), 0U);
  EXPECT_EQ(recall.bytes(), 0U);
}

TEST_F(RecallTest, WhatNeedNotBeKeptIsForgotten) {
  Begin(0, kKey);
  EXPECT_EQ(recall.Finish(1, kKey, Answer("refused"), false).size(), 1U);
  EXPECT_EQ(Look(2, kKey), DuplicateCache::Found::kNew);
}

// Full: never a silent second run. What is new is not begun, what is known stays known.
TEST_F(RecallTest, AFullMemoryBeginsNothingNew) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    ASSERT_TRUE(Begin(0, {"a.example", i}));
    recall.Finish(0, {"a.example", i}, Answer("ok"), true);
  }
  EXPECT_FALSE(Begin(1, {"a.example", 4}));
  for (std::uint32_t i = 1; i <= 3; ++i)
    EXPECT_EQ(Look(1, {"a.example", i}), DuplicateCache::Found::kAnswered);
  EXPECT_TRUE(Begin(241 * kSec, {"a.example", 4}));
}

TEST_F(RecallTest, TooManyAnswersLoseTheOldestAnswerAndNotThatItIsOver) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    Begin(0, {"a.example", i});
    recall.Finish(i, {"a.example", i}, Answer(std::string(30, 'x')), true);
    EXPECT_LE(recall.bytes(), 100U);
  }
  EXPECT_EQ(Look(9, {"a.example", 1}), DuplicateCache::Found::kAnswered);
  EXPECT_FALSE(recall.Answer({"a.example", 1}).has_value());
  EXPECT_TRUE(recall.Answer({"a.example", 3}).has_value());
  // The bookkeeping holds as they go.
  EXPECT_EQ(Look(300 * kSec, {"a.example", 3}), DuplicateCache::Found::kNew);
  EXPECT_EQ(recall.bytes(), 0U);
  Begin(301 * kSec, kKey);
  recall.Finish(301 * kSec, kKey, Answer("ok"), true);
  EXPECT_TRUE(recall.Answer(kKey).has_value());
}

TEST_F(RecallTest, SoManyMayWaitAndTheDeadMakeRoom) {
  Begin(0, kKey);
  EXPECT_EQ(Look(1, kKey, 1, 2), DuplicateCache::Found::kPending);
  EXPECT_EQ(Look(2, kKey, 1, 3), DuplicateCache::Found::kCrowded);
  dead = 1;
  EXPECT_EQ(Look(3, kKey, 1, 3), DuplicateCache::Found::kPending);
  EXPECT_EQ(recall.Finish(4, kKey, Answer("ok"), true).size(), 2U);
}

// ---- Relaying ----

Message Request(const std::string& more = "") {
  AvpWriter avps;
  avps.Add(avp::kSessionId, "s;1").Add(avp::kOriginHost, "A.example").Add(avp::kOriginRealm, "example");
  avps.Add(avp::kDestinationRealm, "activation.example").Add(77777, "unknown", 0, 999);
  return {{kRequestBit | kProxiableBit, 8388000, 16777999, 5, 6}, avps.Take() + more};
}

TEST(RelayTest, ADigestIsThatOfTheRequestAndNotOfItsWay) {
  const std::string way = AvpWriter().Add(avp::kRouteRecord, "r.example").Add(avp::kProxyInfo, "p").Take();
  EXPECT_EQ(DigestOf(Request()), DigestOf(Request(way)));
  EXPECT_NE(DigestOf(Request()), DigestOf(Request(AvpWriter().Add(1, "x").Take())));
  Message again = Request();
  again.header.flags |= kRetransmitBit;
  again.header.hop_by_hop = 99;
  EXPECT_EQ(DigestOf(Request()), DigestOf(again));
}

TEST(RelayTest, PassesOnAllThatItDoesNotKnow) {
  AvpWriter budget;
  budget.AddU32(5, 3000, 0, 32473);
  Onward onward{100, "c.example", true, 5, 32473, 250};
  const Message sent = Forward(Request(budget.bytes()), onward);
  EXPECT_EQ(sent.header.hop_by_hop, 100U);
  EXPECT_EQ(sent.header.end_to_end, 6U);
  EXPECT_EQ(sent.header.flags, kRequestBit | kProxiableBit | kRetransmitBit);
  EXPECT_EQ(Find(sent.avps, 77777, 999)->data, "unknown");
  EXPECT_EQ(ToU32(Find(sent.avps, 5, 32473)->data), 250U);
  EXPECT_EQ(Find(sent.avps, avp::kRouteRecord)->data, "c.example");
  onward.resend = false;
  EXPECT_EQ(Forward(Request(), onward).header.flags & kRetransmitBit, 0);
}

TEST(RelayTest, TellsLoopsForeignRealmsAndHostsAskedForByName) {
  Identity self;
  self.host = "n0.example";
  const std::vector<std::string> realms = {"activation.example"};
  const auto code = [&](const Message& request) {
    const auto fault = CheckRoute(self, realms, request);
    return fault ? fault->code : ResultCode::kNone;
  };
  EXPECT_EQ(code(Request()), ResultCode::kNone);
  EXPECT_EQ(code(Request(AvpWriter().Add(avp::kRouteRecord, "N0.example").Take())),
            ResultCode::kLoopDetected);
  EXPECT_EQ(code(Request(AvpWriter().Add(avp::kDestinationRealm, "other").Take())),
            ResultCode::kRealmNotServed);
  EXPECT_EQ(code(Request(AvpWriter().Add(avp::kDestinationHost, "s-1.example").Take())),
            ResultCode::kUnableToDeliver);
  EXPECT_EQ(code(Request(AvpWriter().Add(avp::kDestinationHost, "n0.example").Take())), ResultCode::kNone);
}

TEST(RelayTest, AnAnswerGoesBackUnderTheAskersIds) {
  const Message request = Request();
  Message answer{{kProxiableBit, 8388000, 16777999, 100, 6},
                 AvpWriter().Add(avp::kProxyInfo, "first").Take()};
  EXPECT_TRUE(Answers(answer, request.header));
  EXPECT_EQ(Backward(answer, 5).header.hop_by_hop, 5U);
  EXPECT_EQ(Backward(answer, 5).avps, answer.avps);
  const std::string own = AvpWriter().Add(avp::kProxyInfo, "second").Take();
  EXPECT_EQ(BackwardTo(answer, 5, own).avps, own);
  answer.header.end_to_end = 7;
  EXPECT_FALSE(Answers(answer, request.header));
}

}  // namespace
}  // namespace merlinrun::diameter
