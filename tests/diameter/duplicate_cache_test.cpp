// Tests duplicate detection (one outcome per request, within bounds) and the relay's message processing.
#include "diameter/duplicate_cache.hpp"

#include <gtest/gtest.h>

#include "diameter/dictionary.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

constexpr Micros kSec = 1'000'000;
const RequestKey kKey{"a.example", 7};

DuplicateCache::Limits ToLower() {
  DuplicateCache::Limits limits;
  limits.max_entries = 3;
  limits.max_answer_bytes = 100;
  limits.ttl = 240 * kSec;
  limits.max_waiters = 2;
  return limits;
}

Message Answer(const std::string& data) { return {{0, 1, 1, 1, 7}, AvpWriter().Add(1, data).Take()}; }

class DuplicateCacheTest : public ::testing::Test {
 protected:
  DuplicateCache::LookupResult Lookup(Micros now, const RequestKey& key, std::uint64_t digest = 1,
                                      std::uint64_t from = 1) {
    return cache.Lookup(now, key, digest, {from, 5, ""},
                        [this](std::uint64_t c) { return c != closed_connection; });
  }
  bool Begin(Micros now, const RequestKey& key) { return cache.Begin(now, key, 1, {1, 4, ""}); }

  DuplicateCache cache{ToLower()};
  std::uint64_t closed_connection = 0;
};

TEST_F(DuplicateCacheTest, ARetransmissionGetsTheAnswerOfTheFirst) {
  EXPECT_EQ(Lookup(0, kKey), DuplicateCache::LookupResult::kNew);
  ASSERT_TRUE(Begin(0, kKey));
  EXPECT_EQ(Lookup(1, kKey), DuplicateCache::LookupResult::kPending);
  EXPECT_EQ(cache.Finish(2, kKey, Answer("ok"), true).size(), 2U);
  EXPECT_EQ(Lookup(3, kKey), DuplicateCache::LookupResult::kAnswered);
  EXPECT_EQ(cache.Answer(kKey), Answer("ok"));
  EXPECT_TRUE(cache.Finish(4, kKey, Answer("other"), true).empty());
  EXPECT_EQ(cache.Answer(kKey), Answer("ok"));
}

TEST_F(DuplicateCacheTest, ADifferentRequestWithTheSameIdIsAConflict) {
  ASSERT_TRUE(Begin(0, kKey));
  EXPECT_EQ(Lookup(1, kKey, 2), DuplicateCache::LookupResult::kConflict);
  cache.Finish(2, kKey, Answer("ok"), true);
  EXPECT_EQ(Lookup(3, kKey, 2), DuplicateCache::LookupResult::kConflict);
}

TEST_F(DuplicateCacheTest, EntriesExpireAfterTheirTtl) {
  Begin(0, kKey);
  cache.Finish(kSec, kKey, Answer("ok"), true);
  EXPECT_EQ(Lookup(240 * kSec, kKey), DuplicateCache::LookupResult::kAnswered);
  EXPECT_EQ(Lookup(241 * kSec, kKey), DuplicateCache::LookupResult::kNew);
  EXPECT_EQ(cache.entries(), 0U);
  EXPECT_EQ(cache.answer_bytes(), 0U);
}

TEST_F(DuplicateCacheTest, AnswersThatNeedNotBeKeptAreRemoved) {
  Begin(0, kKey);
  EXPECT_EQ(cache.Finish(1, kKey, Answer("refused"), false).size(), 1U);
  EXPECT_EQ(Lookup(2, kKey), DuplicateCache::LookupResult::kNew);
}

// Guards against running a request twice when the cache is full: new requests are refused, known ones stay
// known.
TEST_F(DuplicateCacheTest, AFullCacheRefusesNewRequests) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    ASSERT_TRUE(Begin(0, {"a.example", i}));
    cache.Finish(0, {"a.example", i}, Answer("ok"), true);
  }
  EXPECT_FALSE(Begin(1, {"a.example", 4}));
  for (std::uint32_t i = 1; i <= 3; ++i)
    EXPECT_EQ(Lookup(1, {"a.example", i}), DuplicateCache::LookupResult::kAnswered);
  EXPECT_TRUE(Begin(241 * kSec, {"a.example", 4}));
}

TEST_F(DuplicateCacheTest, TooManyAnswersDropTheOldestAnswerAndKeepItsEntry) {
  for (std::uint32_t i = 1; i <= 3; ++i) {
    Begin(0, {"a.example", i});
    cache.Finish(i, {"a.example", i}, Answer(std::string(30, 'x')), true);
    EXPECT_LE(cache.answer_bytes(), 100U);
  }
  EXPECT_EQ(Lookup(9, {"a.example", 1}), DuplicateCache::LookupResult::kAnswered);
  EXPECT_FALSE(cache.Answer({"a.example", 1}).has_value());
  EXPECT_TRUE(cache.Answer({"a.example", 3}).has_value());
  // The sizes stay consistent as entries expire.
  EXPECT_EQ(Lookup(300 * kSec, {"a.example", 3}), DuplicateCache::LookupResult::kNew);
  EXPECT_EQ(cache.answer_bytes(), 0U);
  Begin(301 * kSec, kKey);
  cache.Finish(301 * kSec, kKey, Answer("ok"), true);
  EXPECT_TRUE(cache.Answer(kKey).has_value());
}

TEST_F(DuplicateCacheTest, WaitersAreBoundedAndClosedConnectionsMakeRoom) {
  Begin(0, kKey);
  EXPECT_EQ(Lookup(1, kKey, 1, 2), DuplicateCache::LookupResult::kPending);
  EXPECT_EQ(Lookup(2, kKey, 1, 3), DuplicateCache::LookupResult::kTooManyWaiters);
  closed_connection = 1;
  EXPECT_EQ(Lookup(3, kKey, 1, 3), DuplicateCache::LookupResult::kPending);
  EXPECT_EQ(cache.Finish(4, kKey, Answer("ok"), true).size(), 2U);
}

// ---- Relaying ----

Message Request(const std::string& more = "") {
  AvpWriter avps;
  avps.Add(avp::kSessionId, "s;1").Add(avp::kOriginHost, "A.example").Add(avp::kOriginRealm, "example");
  avps.Add(avp::kDestinationRealm, "activation.example").Add(77777, "unknown", 0, 999);
  return {{kRequestBit | kProxiableBit, 8388000, 16777999, 5, 6}, avps.Take() + more};
}

TEST(RelayTest, TheDigestIgnoresRouteAndProxyAvps) {
  const std::string way = AvpWriter().Add(avp::kRouteRecord, "r.example").Add(avp::kProxyInfo, "p").Take();
  EXPECT_EQ(ComputeDigest(Request()), ComputeDigest(Request(way)));
  EXPECT_NE(ComputeDigest(Request()), ComputeDigest(Request(AvpWriter().Add(1, "x").Take())));
  Message again = Request();
  again.header.flags |= kRetransmitBit;
  again.header.hop_by_hop = 99;
  EXPECT_EQ(ComputeDigest(Request()), ComputeDigest(again));
}

TEST(RelayTest, ForwardsUnknownAvps) {
  AvpWriter budget;
  budget.AddU32(5, 3000, 0, 32473);
  ForwardOptions options{100, "c.example", true, 5, 32473, 250};
  const Message sent = Forward(Request(budget.bytes()), options);
  EXPECT_EQ(sent.header.hop_by_hop, 100U);
  EXPECT_EQ(sent.header.end_to_end, 6U);
  EXPECT_EQ(sent.header.flags, kRequestBit | kProxiableBit | kRetransmitBit);
  EXPECT_EQ(Find(sent.avps, 77777, 999)->data, "unknown");
  EXPECT_EQ(ToU32(Find(sent.avps, 5, 32473)->data), 250U);
  EXPECT_EQ(Find(sent.avps, avp::kRouteRecord)->data, "c.example");
  options.retransmit = false;
  EXPECT_EQ(Forward(Request(), options).header.flags & kRetransmitBit, 0);
}

TEST(RelayTest, RejectsLoopsUnservedRealmsAndNamedHosts) {
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

TEST(RelayTest, AnAnswerIsRelayedUnderTheSendersIds) {
  const Message request = Request();
  Message answer{{kProxiableBit, 8388000, 16777999, 100, 6},
                 AvpWriter().Add(avp::kProxyInfo, "first").Take()};
  EXPECT_TRUE(IsAnswerTo(answer, request.header));
  EXPECT_EQ(RelayAnswer(answer, 5).header.hop_by_hop, 5U);
  EXPECT_EQ(RelayAnswer(answer, 5).avps, answer.avps);
  const std::string own = AvpWriter().Add(avp::kProxyInfo, "second").Take();
  EXPECT_EQ(RelayAnswerTo(answer, 5, own).avps, own);
  answer.header.end_to_end = 7;
  EXPECT_FALSE(IsAnswerTo(answer, request.header));
}

}  // namespace
}  // namespace merlinrun::diameter
