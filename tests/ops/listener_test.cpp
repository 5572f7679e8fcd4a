// Tests the operators' listener with clients that send invalid requests or nothing.
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
        lifecycle(loop, request_manager),
        api(lifecycle, request_manager, counters) {
    lifecycle.MarkReady();
  }
  void Start() { listener = std::make_unique<Listener>(io, Loopback(), limits, api); }
  std::shared_ptr<Peer> Send(const std::string& text) {
    auto connection = Connect(io, listener->address());
    if (!text.empty()) connection->Write(text);
    return connection;
  }
  // The status of the only response; empty if the connection ended without one.
  std::string Status(Peer& connection) {
    EXPECT_TRUE(RunUntil(io, [&] { return connection.ended; }));
    EXPECT_LE(connection.requests(), 1);
    return connection.requests() > 0 ? connection.received.substr(9, 3) : "";
  }

  core::testing::VirtualLoop loop;
  core::RequestManager request_manager;
  Lifecycle lifecycle;
  stats::Counters counters;
  Api api;
  asio::io_context io;
  Listener::Limits limits;
  std::unique_ptr<Listener> listener;
};

constexpr const char* kReadyRequest = "GET /api/ready HTTP/1.1\r\nHost: ops\r\n\r\n";

TEST_F(ListenerTest, AnswersOneRequestAndCloses) {
  Start();
  auto connection = Send(std::string(kReadyRequest) + kReadyRequest);
  EXPECT_EQ(Status(*connection), "200");
  EXPECT_NE(connection->received.find("Connection: close"), std::string::npos);
  connection->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return listener->connections() == 0; }));
}

TEST_F(ListenerTest, ReadsARequestInPiecesAndIgnoresItsBody) {
  Start();
  auto connection = Send("");
  for (const char c : std::string("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody")) {
    connection->Write(std::string(1, c));
    RunFor(io, 1ms);
  }
  EXPECT_EQ(Status(*connection), "200");
  EXPECT_FALSE(lifecycle.AcceptsClients());
}

TEST_F(ListenerTest, RejectsInvalidRequests) {
  Start();
  EXPECT_EQ(Status(*Send("GET /nothing HTTP/1.1\r\n\r\n")), "404");
  auto wrong_method = Send("DELETE /api/rejoin HTTP/1.1\r\n\r\n");
  EXPECT_EQ(Status(*wrong_method), "405");
  EXPECT_NE(wrong_method->received.find("Allow: PUT"), std::string::npos);
  EXPECT_EQ(Status(*Send("nonsense\r\n\r\n")), "400");
  EXPECT_EQ(Status(*Send("GET /api/ready HTTP/1.1\r\nX: " + std::string(9000, 'x') + "\r\n\r\n")), "431");
  EXPECT_EQ(Status(*Send("PUT /api/evacuate HTTP/1.1\r\nContent-Length: 999999\r\n\r\n")), "413");
  EXPECT_TRUE(lifecycle.AcceptsClients());
}

TEST_F(ListenerTest, SilentConnectionsTimeOut) {
  limits.io_timeout = 50'000;
  Start();
  auto silent = Send("");
  auto half = Send("GET /api/re");
  EXPECT_EQ(Status(*silent), "");
  EXPECT_EQ(Status(*half), "");
  EXPECT_EQ(listener->connections(), 0U);
}

// A hundred clients send nothing or half a request and stay connected; another one is still served, and the
// connection limit holds.
TEST_F(ListenerTest, SilentConnectionsDoNotBlockOthers) {
  limits.io_timeout = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> silent;
  for (int go = 0; go < 2; ++go) {
    for (int i = 0; i < 50; ++i) silent.push_back(Send(i % 2 == 0 ? "" : "GET /api/re"));
    EXPECT_EQ(Status(*Send(kReadyRequest)), "200");
    EXPECT_LE(listener->connections(), limits.max_connections);
  }
}

TEST_F(ListenerTest, AnAddressInUseIsAnError) {
  Start();
  EXPECT_THROW(Listener(io, listener->address(), limits, api), boost::system::system_error);
}

}  // namespace
}  // namespace merlinrun::ops
