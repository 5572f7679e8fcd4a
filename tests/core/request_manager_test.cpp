// Tests in virtual time that each request gets exactly one response, whatever servers and clients do.
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

class RequestManagerTest : public ::testing::Test {
 protected:
  RequestManagerTest()
      : request_manager(
            loop, SettingsWithCancel(), 7, [] {}, [](std::string_view) {}) {
    request_manager.OnServers({ListUpdate::Kind::kFull, 1, MakeServers(4)});
  }
  static Settings SettingsWithCancel() {
    Settings settings = MakeSettings();
    settings.cancel = true;
    return settings;
  }
  void Submit(const std::string& id, int request_class, std::optional<Micros> deadline = {}) {
    IncomingRequest incoming;
    incoming.id = id;
    incoming.request_class = request_class;
    incoming.client_timeout = deadline;
    incoming.request = std::make_unique<TextMessage>("ask " + id);
    incoming.response_sink = responses.NewResponseSink(id);
    incoming.egress = &egress;
    request_manager.Submit(std::move(incoming));
  }
  using Responses = std::vector<std::string>;

  VirtualLoop loop;
  ResponseLog responses;
  FakeEgress egress;
  RequestManager request_manager;
};

TEST_F(RequestManagerTest, DeliversTheServersResponseOnce) {
  Submit("r1", kSafeClass);
  ASSERT_EQ(egress.sent.size(), 1U);
  EXPECT_EQ(egress.sent[0].request, "ask r1");
  EXPECT_TRUE(request_manager.Contains("r1"));
  egress.Resolve(0, Result::kSuccess, "hello");
  EXPECT_EQ(responses.For("r1"), Responses{"served hello"});
  loop.Run(10 * kSec);
  EXPECT_EQ(responses.For("r1").size(), 1U);
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

// Without the margin the response would arrive after the client has given up.
TEST_F(RequestManagerTest, FailsBeforeTheClientsDeadlineIfServersAreSilent) {
  Submit("r1", kPortClass, 1 * kSec);
  loop.Run(959 * kMs);
  EXPECT_TRUE(responses.For("r1").empty());
  loop.Run(2 * kMs);
  EXPECT_EQ(responses.For("r1"), Responses{"failed"});
  EXPECT_TRUE(egress.sent[0].cancelled);
  loop.Run(10 * kSec);
  EXPECT_EQ(responses.For("r1").size(), 1U);
  EXPECT_EQ(egress.sent.size(), 1U);
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

TEST_F(RequestManagerTest, AnUnsafeRequestIsRetriedOnlyIfItHasNotRun) {
  Submit("refused", kPortClass);
  egress.Resolve(0, Result::kRefused);
  loop.Run(300 * kMs);
  ASSERT_EQ(egress.sent.size(), 2U);
  EXPECT_FALSE(egress.sent[1].options.may_have_run);
  egress.Resolve(1, Result::kReset);
  loop.Run(2 * kSec);
  EXPECT_EQ(egress.sent.size(), 2U);
  EXPECT_EQ(responses.For("refused"), Responses{"failed"});
}

TEST_F(RequestManagerTest, MarksRetriesAfterAnAttemptThatMayHaveRun) {
  Submit("r1", kSafeClass);
  egress.Resolve(0, Result::kReset);
  loop.Run(300 * kMs);
  ASSERT_EQ(egress.sent.size(), 2U);
  EXPECT_TRUE(egress.sent[1].options.may_have_run);
  EXPECT_FALSE(egress.sent[0].options.may_have_run);
}

TEST_F(RequestManagerTest, AFailureCarriesTheServersErrorResponse) {
  Submit("r1", kPortClass);
  egress.Resolve(0, Result::kError, "no such number");
  EXPECT_EQ(responses.For("r1"), Responses{"failed no such number"});
}

TEST_F(RequestManagerTest, AClientDisconnectCancelsTheAttempts) {
  Submit("r1", kSafeClass);
  request_manager.OnClientGone("r1");
  loop.Run(1);
  EXPECT_TRUE(egress.sent[0].cancelled);
  EXPECT_TRUE(responses.For("r1").empty());
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

TEST_F(RequestManagerTest, ARequestRefusedWhileItWaitsToBeRetriedIsComplete) {
  std::size_t completed = 0;
  request_manager.SetCompletionObserver([&](const CompletedRequest&) { ++completed; });
  request_manager.OnServers({ListUpdate::Kind::kFull, 2, {}});
  Submit("r1", kSafeClass);
  loop.Run(60 * kSec);
  EXPECT_EQ(responses.For("r1").size(), 1U);
  EXPECT_EQ(completed, 1U);
  EXPECT_EQ(request_manager.active_requests(), 0U);
}

TEST_F(RequestManagerTest, AResultAfterTheFinalResponseIsIgnored) {
  Submit("r1", kPortClass, 1 * kSec);
  auto done = egress.sent[0].done;
  loop.Run(2 * kSec);
  done({Result::kSuccess, std::make_unique<TextMessage>("late")});
  EXPECT_EQ(responses.For("r1"), Responses{"failed"});
}

TEST(RequestManagerSettingsTest, InvalidSettingsThrow) {
  VirtualLoop loop;
  Settings settings = MakeSettings();
  settings.max_attempts = 0;
  EXPECT_THROW(RequestManager(
                   loop, settings, 7, [] {}, [](std::string_view) {}),
               std::invalid_argument);
}

}  // namespace
}  // namespace merlinrun::core
