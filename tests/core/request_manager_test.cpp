// A request's life in virtual time: one answer, whatever servers and clients do.
#include "core/request_manager.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

#include "../harness.hpp"
#include "virtual_loop.hpp"

namespace merlinrun::core {
namespace {

using namespace testing;             // NOLINT(google-build-using-namespace)
using namespace merlinrun::testing;  // NOLINT(google-build-using-namespace)

constexpr int kSafeClass = 0;
constexpr int kPortClass = 2;

class ExchangeTest : public ::testing::Test {
 protected:
  ExchangeTest()
      : request_manager(
            loop, WithCancel(), 7, [] {}, [](std::string_view) {}) {
    request_manager.OnServers({ListUpdate::Kind::kFull, 1, MakeServers(4)});
  }
  static Settings WithCancel() {
    Settings settings = MakeSettings();
    settings.cancel = true;
    return settings;
  }
  void Take(const std::string& id, int request_class, std::optional<Micros> deadline = {}) {
    IncomingRequest arrival;
    arrival.id = id;
    arrival.request_class = request_class;
    arrival.client_timeout = deadline;
    arrival.request = std::make_unique<Note>("ask " + id);
    arrival.response_sink = ledger.NewResponseSink(id);
    arrival.egress = &egress;
    request_manager.Submit(std::move(arrival));
  }
  using Told = std::vector<std::string>;

  VirtualLoop loop;
  Ledger ledger;
  HeldEgress egress;
  RequestManager request_manager;
};

TEST_F(ExchangeTest, ServesWithTheServersOwnAnswerOnce) {
  Take("r1", kSafeClass);
  ASSERT_EQ(egress.sent.size(), 1U);
  EXPECT_EQ(egress.sent[0].request, "ask r1");
  EXPECT_TRUE(request_manager.Contains("r1"));
  egress.Resolve(0, Result::kSuccess, "hello");
  EXPECT_EQ(ledger.For("r1"), Told{"served hello"});
  loop.Run(10 * kSec);
  EXPECT_EQ(ledger.For("r1").size(), 1U);
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

// Without the margin the answer would come when the client has stopped waiting.
TEST_F(ExchangeTest, AnswersBeforeTheClientsTimeIsUpWhenServersAreSilent) {
  Take("r1", kPortClass, 1 * kSec);
  loop.Run(959 * kMs);
  EXPECT_TRUE(ledger.For("r1").empty());
  loop.Run(2 * kMs);
  EXPECT_EQ(ledger.For("r1"), Told{"failed"});
  EXPECT_TRUE(egress.sent[0].given_up);
  loop.Run(10 * kSec);
  EXPECT_EQ(ledger.For("r1").size(), 1U);
  EXPECT_EQ(egress.sent.size(), 1U);
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

TEST_F(ExchangeTest, AnUnsafeRequestIsSentAgainOnlyIfItIsKnownNotToHaveRun) {
  Take("refused", kPortClass);
  egress.Resolve(0, Result::kRefused);
  loop.Run(300 * kMs);
  ASSERT_EQ(egress.sent.size(), 2U);
  EXPECT_FALSE(egress.sent[1].order.may_have_run);
  egress.Resolve(1, Result::kReset);
  loop.Run(2 * kSec);
  EXPECT_EQ(egress.sent.size(), 2U);
  EXPECT_EQ(ledger.For("refused"), Told{"failed"});
}

TEST_F(ExchangeTest, TellsTheEgressThatAnEarlierAttemptMayHaveRun) {
  Take("r1", kSafeClass);
  egress.Resolve(0, Result::kReset);
  loop.Run(300 * kMs);
  ASSERT_EQ(egress.sent.size(), 2U);
  EXPECT_TRUE(egress.sent[1].order.may_have_run);
  EXPECT_FALSE(egress.sent[0].order.may_have_run);
}

TEST_F(ExchangeTest, AFailureCarriesWhatTheServerSaid) {
  Take("r1", kPortClass);
  egress.Resolve(0, Result::kError, "no such number");
  EXPECT_EQ(ledger.For("r1"), Told{"failed no such number"});
}

TEST_F(ExchangeTest, AClientThatLeavesIsOwedNothingAndWhatIsOutIsGivenUp) {
  Take("r1", kSafeClass);
  request_manager.OnClientGone("r1");
  loop.Run(1);
  EXPECT_TRUE(egress.sent[0].given_up);
  EXPECT_TRUE(ledger.For("r1").empty());
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

TEST_F(ExchangeTest, AnOutcomeAfterTheEndChangesNothing) {
  Take("r1", kPortClass, 1 * kSec);
  auto done = egress.sent[0].done;
  loop.Run(2 * kSec);
  done({Result::kSuccess, std::make_unique<Note>("late")});
  EXPECT_EQ(ledger.For("r1"), Told{"failed"});
}

TEST(ExchangesTest, SaysWhatIsWrongWithSettings) {
  VirtualLoop loop;
  Settings settings = MakeSettings();
  settings.max_attempts = 0;
  EXPECT_THROW(RequestManager(
                   loop, settings, 7, [] {}, [](std::string_view) {}),
               std::invalid_argument);
}

}  // namespace
}  // namespace merlinrun::core
