// Callers of the second address that do not behave, and those that share it with them.
#include "ops/listener.hpp"

#include <gtest/gtest.h>

#include "../core/virtual_loop.hpp"
#include "../harness.hpp"
#include "../net/loopback.hpp"

namespace merlinrun::ops {
namespace {

namespace asio = boost::asio;
using namespace net::testing;  // NOLINT(google-build-using-namespace)

class ListenerTest : public ::testing::Test {
 protected:
  ListenerTest()
      : request_manager(
            loop, merlinrun::testing::MakeSettings(), 7, [] {}, [](std::string_view) {}),
        phase(loop, request_manager),
        api(phase, request_manager, counters) {
    phase.Started();
  }
  void Start() { listener = std::make_unique<Listener>(io, Loopback(), limits, api); }
  std::shared_ptr<Peer> Call(const std::string& text) {
    auto caller = Connect(io, listener->address());
    if (!text.empty()) caller->Write(text);
    return caller;
  }
  // The status of the one answer; empty if the connection ended without one.
  std::string Status(Peer& caller) {
    EXPECT_TRUE(RunUntil(io, [&] { return caller.ended; }));
    EXPECT_LE(caller.requests(), 1);
    return caller.requests() > 0 ? caller.received.substr(9, 3) : "";
  }

  core::testing::VirtualLoop loop;
  core::RequestManager request_manager;
  Phase phase;
  stats::Counters counters;
  Api api;
  asio::io_context io;
  Listener::Limits limits;
  std::unique_ptr<Listener> listener;
};

constexpr const char* kReadyCall = "GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n";

TEST_F(ListenerTest, AnswersOneCallAndCloses) {
  Start();
  auto caller = Call(std::string(kReadyCall) + kReadyCall);
  EXPECT_EQ(Status(*caller), "200");
  EXPECT_NE(caller->received.find("Connection: close"), std::string::npos);
  caller->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return listener->callers() == 0; }));
}

TEST_F(ListenerTest, TakesACallInPiecesAndABodyThatItHasNoUseFor) {
  Start();
  auto caller = Call("");
  for (const char c : std::string("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")) {
    caller->Write(std::string(1, c));
    RunFor(io, 1ms);
  }
  EXPECT_EQ(Status(*caller), "200");
  EXPECT_FALSE(phase.TakesClients());
}

TEST_F(ListenerTest, TellsWhatIsWrongWithACall) {
  Start();
  EXPECT_EQ(Status(*Call("GET /nothing HTTP/1.1\r\n\r\n")), "404");
  auto wrong_method = Call("DELETE /api/rejoin HTTP/1.1\r\n\r\n");
  EXPECT_EQ(Status(*wrong_method), "405");
  EXPECT_NE(wrong_method->received.find("Allow: PUT"), std::string::npos);
  EXPECT_EQ(Status(*Call("nonsense\r\n\r\n")), "400");
  EXPECT_EQ(Status(*Call("GET /api/ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n")), "431");
  EXPECT_EQ(Status(*Call("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 999999\r\n\r\n")), "413");
  EXPECT_TRUE(phase.TakesClients());
}

TEST_F(ListenerTest, CallersThatSayNothingGoInTime) {
  limits.call = 50'000;
  Start();
  auto silent = Call("");
  auto half = Call("GET /api/re");
  EXPECT_EQ(Status(*silent), "");
  EXPECT_EQ(Status(*half), "");
  EXPECT_EQ(listener->callers(), 0U);
}

// A hundred callers say nothing or half a call, in two goes, and stay; one that asks is answered all the
// same, and never more than the bound are held.
TEST_F(ListenerTest, SilentCallersKeepNobodyOut) {
  limits.call = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> silent;
  for (int go = 0; go < 2; ++go) {
    for (int i = 0; i < 50; ++i) silent.push_back(Call(i % 2 == 0 ? "" : "GET /api/re"));
    EXPECT_EQ(Status(*Call(kReadyCall)), "200");
    EXPECT_LE(listener->callers(), limits.callers);
  }
}

TEST_F(ListenerTest, AnAddressThatIsTakenIsAnError) {
  Start();
  EXPECT_THROW(Listener(io, listener->address(), limits, api), boost::system::system_error);
}

}  // namespace
}  // namespace merlinrun::ops
