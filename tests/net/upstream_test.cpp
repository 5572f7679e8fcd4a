// Tests the results of attempts on real connections, and the reuse of connections.
#include "net/upstream.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class UpstreamTest : public ::testing::Test {
 protected:
  UpstreamTest() {
    limits.connect_timeout = 2'000'000;
    limits.reuse_delay = 0;  // except in its own test
  }

  Upstream& upstream() {
    if (upstream_ == nullptr) upstream_ = std::make_unique<Upstream>(io, limits, budget, counters);
    return *upstream_;
  }
  void UpdateServer(const Tcp::endpoint& address, const std::string& lifecycle = "up",
                    std::int64_t started_ms = 0, const std::string& id = "s1") {
    std::string error;
    const auto list =
        ParseEndpointList(List(1, false, {Entry(id, address, lifecycle, started_ms)}), {}, error);
    ASSERT_TRUE(list) << error;
    upstream().UpdateEndpoints(*list);
  }
  Upstream::AttemptId Send(const std::string& id = "s1", std::size_t body = 0) {
    HttpRequest request(body > 0 ? http::verb::post : http::verb::get, "/api", 11);
    request.body() = std::string(body, 'x');
    request.prepare_payload();
    return upstream().Send(id, {request},
                           [this](UpstreamResult result) { results.push_back(std::move(result)); });
  }
  // The result of one attempt.
  Result Try(const std::string& id = "s1", std::size_t body = 0) {
    const std::size_t before = results.size();
    Send(id, body);
    EXPECT_EQ(results.size(), before) << "the result was reported inside Send";
    EXPECT_TRUE(RunUntil(io, [&] { return results.size() > before; }));
    return results.size() > before ? results.back().result : Result::kNeverSent;
  }
  // The result if the server sends this response.
  Result TryReply(const std::string& text, bool close = false) {
    ScriptedServer server(io, [&](Peer& peer) {
      peer.Write(text);
      if (close) peer.Close();
    });
    UpdateServer(server.address);
    const Result result = Try();
    UpdateServer(server.address, "removed");
    return result;
  }

  asio::io_context io;
  Upstream::Limits limits;
  MemoryBudget budget{std::size_t{1} << 20};
  stats::Counters counters;
  std::vector<UpstreamResult> results;

 private:
  std::unique_ptr<Upstream> upstream_;
};

TEST_F(UpstreamTest, MapsStatusesToResults) {
  EXPECT_EQ(TryReply(Reply("200 OK", "hello")), Result::kSuccess);
  EXPECT_EQ(results.back().response.body(), "hello");
  EXPECT_EQ(TryReply(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")), Result::kRefused);
  EXPECT_EQ(TryReply(Reply("504 Gateway Timeout", "", "Srv-Declined: 1\r\n")), Result::kRefused);
  EXPECT_EQ(TryReply(Reply("503 Service Unavailable", "")), Result::kError);
  EXPECT_EQ(TryReply(Reply("504 Gateway Timeout", "")), Result::kError);
  EXPECT_EQ(TryReply(Reply("500 Internal Server Error", "")), Result::kError);
  EXPECT_EQ(TryReply(Reply("500 Internal Server Error", "", "Srv-Declined: 1\r\n")), Result::kError);
  EXPECT_EQ(TryReply("no HTTP at all\r\n\r\n"), Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 100 Continue\r\n\r\n" + Reply("200 OK", "later")), Result::kSuccess);
  EXPECT_EQ(results.back().response.body(), "later");
}

// Boost 1.74 does not enforce the body limit of a response when parsing eagerly.
TEST_F(UpstreamTest, ATooLargeResponseEndsTheAttemptImmediately) {
  for (const std::string head :
       {"Content-Length: 3221225472", "Content-Length: 33554433", "Transfer-Encoding: chunked"}) {
    const std::string chunk = head[0] == 'T' ? "C0000000\r\n" : "";
    EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n" + chunk + std::string(70'000, 'x')),
              Result::kReset)
        << head;
    EXPECT_EQ(upstream().open_connections(), 0U) << head;
  }
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nX: " + std::string(40'000, 'x')), Result::kReset);
  std::string interim;
  for (int i = 0; i < 1000; ++i) interim += "HTTP/1.1 102 Processing\r\n\r\n";
  EXPECT_EQ(TryReply(interim), Result::kReset);
}

// The state of a streamed request must not affect the next request on the connection.
TEST_F(UpstreamTest, ConsumedBodiesDoNotAffectTheNextRequest) {
  constexpr std::size_t kSize = 70'000;
  bool answered = false;
  ScriptedServer server(io, [&](Peer& peer) {
    if (answered) return peer.Write("too early");
    answered = peer.received.size() > kSize;
    if (answered) peer.Write(Reply("200 OK", "ok"));
  });
  UpdateServer(server.address);
  const auto body = std::make_shared<Pipe>(kSize);
  body->Write(std::string(kSize, 'x'));
  body->End();
  upstream().Send("s1", {HttpRequest(http::verb::post, "/api", 11), body, kSize},
                  [this](UpstreamResult result) { results.push_back(std::move(result)); });
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results[0].result, Result::kSuccess);
  EXPECT_TRUE(body->consumed());
  EXPECT_EQ(Try("s1", 64U << 20), Result::kUnreachable);
  EXPECT_EQ(server.peers.size(), 1U);
  EXPECT_FALSE(results.back().cannot_retry);
}

// RFC 9112, 6.3: a response without a length ends with its connection, if announced and closed cleanly.
TEST_F(UpstreamTest, AResponseMayEndWithItsConnection) {
  const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  EXPECT_EQ(TryReply(head + "whole", /*close=*/true), Result::kSuccess);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\n\r\nwhole", /*close=*/true), Result::kReset);
  ScriptedServer server(io, [&](Peer& peer) {
    peer.Write(head + "half");
    peer.Reset();
  });
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kReset);
}

TEST_F(UpstreamTest, AResetAfterTheLastByteMayHaveRun) {
  EXPECT_EQ(TryReply("", /*close=*/true), Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", /*close=*/true), Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", /*close=*/true),
            Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nContent-Le", /*close=*/true), Result::kReset);
}

TEST_F(UpstreamTest, ARefusedConnectionNeverRan) {
  ScriptedServer server(io);
  server.StopListening();
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kUnreachable);
  EXPECT_EQ(Try("unknown"), Result::kUnreachable);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, AConnectTimeoutNeverRan) {
  limits.connect_timeout = 100'000;
  Tcp::acceptor full(io, Tcp::v4());
  full.bind(Loopback());
  full.listen(0);
  Tcp::socket filler(io);
  filler.connect(full.local_endpoint());  // fills the backlog; the next connection is not accepted
  Tcp::socket filler2(io);
  filler2.async_connect(full.local_endpoint(), [](ErrorCode) {});
  RunFor(io, 20ms);
  UpdateServer(full.local_endpoint());
  EXPECT_EQ(Try(), Result::kUnreachable);
}

TEST_F(UpstreamTest, AResetBeforeTheLastByteNeverRan) {
  Tcp::acceptor acceptor(io, Loopback());
  std::unique_ptr<Peer> peer;
  acceptor.async_accept(
      [&](ErrorCode, Tcp::socket socket) { peer = std::make_unique<Peer>(std::move(socket)); });
  UpdateServer(acceptor.local_endpoint());
  Send("s1", 64U * 1024 * 1024);  // far more than the kernel buffers
  ASSERT_TRUE(RunUntil(io, [&] { return peer != nullptr; }));
  RunFor(io, 50ms);
  EXPECT_TRUE(results.empty());
  peer->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results.back().result, Result::kUnreachable);
}

TEST_F(UpstreamTest, ReusesTheMostRecentlyUsedConnection) {
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  Send();
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(server.peers.size(), 2U);  // one request at a time on each
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
  EXPECT_EQ(std::max(server.peers[0]->requests(), server.peers[1]->requests()), 4);
}

TEST_F(UpstreamTest, AResetOnAReusedConnectionIsNotRetried) {
  ScriptedServer server(io, [](Peer& peer) {
    if (peer.requests() == 1) return peer.Write(Reply("200 OK", "first"));
    peer.Reset();
  });
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(Try(), Result::kReset);
  RunFor(io, 100ms);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, IdleConnectionsClosedByTheServerAreNotReused) {
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  server.peers[0]->Close();  // not yet noticed by the loop
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(UpstreamTest, AConnectionWithASurplusResponseIsNotReused) {
  ScriptedServer server(io, [](Peer& peer) { peer.Write(Reply("200 OK", "a") + Reply("200 OK", "stray")); });
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(results.back().response.body(), "a");
  EXPECT_EQ(upstream().open_connections(), 0U);
}

// A duplicate response must not be taken for the response to the next request.
TEST_F(UpstreamTest, ADuplicateResponseIsNotTakenForTheNextRequest) {
  limits.reuse_delay = 60'000'000;
  int asked = 0;
  ScriptedServer server(io, [&](Peer& peer) { peer.Write(Reply("200 OK", std::to_string(++asked))); });
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(Try(), Result::kSuccess);  // on a new connection, as the reuse delay has not passed
  EXPECT_EQ(results.back().response.body(), "2");
  EXPECT_EQ(server.peers.size(), 2U);
  server.peers[0]->Write(Reply("200 OK", "1"));
  EXPECT_TRUE(RunUntil(io, [&] { return upstream().open_connections() == 1; }))
      << "the connection is still open";
}

TEST_F(UpstreamTest, AResponseBeforeTheEndOfTheRequestIsRejected) {
  Tcp::acceptor acceptor(io, Loopback());
  std::unique_ptr<Peer> peer;
  acceptor.async_accept(
      [&](ErrorCode, Tcp::socket socket) { peer = std::make_unique<Peer>(std::move(socket)); });
  UpdateServer(acceptor.local_endpoint());
  Send("s1", 64U * 1024 * 1024);
  ASSERT_TRUE(RunUntil(io, [&] { return peer != nullptr; }));
  peer->Write(Reply("200 OK", "early"));
  ASSERT_TRUE(RunUntil(io, [&] { return !results.empty(); }));
  EXPECT_EQ(results.back().result, Result::kUnreachable);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, AResetDoesNotEndABody) {
  ScriptedServer server(io, [](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncut of");
    peer.Reset();
  });
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kReset);
}

TEST_F(UpstreamTest, CancellingClosesTheConnection) {
  ScriptedServer server(io);
  UpdateServer(server.address);
  const auto attempt = Send();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  upstream().CancelAttempt(attempt);
  EXPECT_EQ(upstream().open_connections(), 0U);
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(results.empty());
  server.on_data = Serves("ok");
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
}

// An attempt may be cancelled after its write has completed and before the handler runs: the request must
// stay valid until then. Fails reliably under the address sanitizer.
TEST_F(UpstreamTest, CancellingInTheTurnOfTheWriteAccessesNoFreedMemory) {
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Try(), Result::kSuccess);  // leaves an idle connection, so the next write completes immediately
    upstream().CancelAttempt(Send("s1", 100));
    RunFor(io, 5ms);
  }
  EXPECT_EQ(results.size(), 20U);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, APendingFailureCanBeCancelled) {
  upstream().CancelAttempt(Send("unknown"));
  RunFor(io, 30ms);
  EXPECT_TRUE(results.empty());
}

TEST_F(UpstreamTest, ADrainingServerFinishesItsAttempts) {
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  server.on_data = {};
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  UpdateServer(server.address, "draining");
  EXPECT_EQ(upstream().open_connections(), 1U);
  server.peers[0]->Write(Reply("200 OK", "finished"));
  ASSERT_TRUE(RunUntil(io, [&] { return results.size() == 2; }));
  EXPECT_EQ(results.back().response.body(), "finished");
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(Try(), Result::kUnreachable);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, IdleConnectionsAreClosedWhenTheServerDrains) {
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(upstream().open_connections(), 1U);
  UpdateServer(server.address, "draining");
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
}

TEST_F(UpstreamTest, WritesNothingIfTheServerChangesWhileConnecting) {
  ScriptedServer server(io, Serves("ok"));
  ScriptedServer moved(io, Serves("ok"));
  const std::function<void()> changes[] = {
      [&] { UpdateServer(server.address, "draining"); }, [&] { UpdateServer(server.address, "removed"); },
      [&] { UpdateServer(server.address, "up", 1'700'000'000'000); }, [&] { UpdateServer(moved.address); }};
  for (const auto& change : changes) {
    UpdateServer(server.address);
    const std::size_t before = results.size();
    Send();
    change();
    ASSERT_TRUE(RunUntil(io, [&] { return results.size() > before; }));
    EXPECT_EQ(results.back().result, Result::kUnreachable);
  }
  EXPECT_EQ(server.requests() + moved.requests(), 0);
}

TEST_F(UpstreamTest, AFullListRemovesMissingServers) {
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  upstream().UpdateEndpoints({true, 2, {}});
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(Try(), Result::kUnreachable);
}

TEST_F(UpstreamTest, FollowsAServerToItsNewAddress) {
  ScriptedServer before(io, Serves("before"));
  ScriptedServer after(io, Serves("after"));
  UpdateServer(before.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  UpdateServer(after.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(results.back().response.body(), "after");
  EXPECT_EQ(upstream().open_connections(), 1U);
}

TEST_F(UpstreamTest, ClosesConnectionsThatStayIdle) {
  limits.idle_timeout = 60'000;
  ScriptedServer server(io, Serves("ok"));
  UpdateServer(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, RespectsTheConnectionLimit) {
  limits.max_connections = 1;
  ScriptedServer one(io, Serves("ok"));
  ScriptedServer two(io);
  UpdateServer(one.address);
  UpdateServer(two.address, "up", 0, "s2");
  EXPECT_EQ(Try(), Result::kSuccess);
  Send("s2");  // the idle connection is closed for it
  ASSERT_TRUE(RunUntil(io, [&] { return two.requests() == 1; }));
  EXPECT_EQ(upstream().open_connections(), 1U);
  EXPECT_EQ(Try(), Result::kUnreachable);  // all connections are busy
  EXPECT_EQ(one.requests(), 1);
}

}  // namespace
}  // namespace merlinrun::net
