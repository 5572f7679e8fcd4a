// What becomes of attempts on real connections, and which connections are kept.
#include "net/upstream.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class UpstreamTest : public ::testing::Test {
 protected:
  UpstreamTest() {
    limits.dial_timeout = 2'000'000;
    limits.rest = 0;  // but for the test of it
  }

  Upstream& upstream() {
    if (upstream_ == nullptr) upstream_ = std::make_unique<Upstream>(io, limits, budget, counters);
    return *upstream_;
  }
  void Tell(const Tcp::endpoint& address, const std::string& lifecycle = "up", std::int64_t started_ms = 0,
            const std::string& id = "s1") {
    std::string error;
    const auto list = ParseList(List(1, false, {Entry(id, address, lifecycle, started_ms)}), {}, error);
    ASSERT_TRUE(list) << error;
    upstream().Apply(*list);
  }
  Upstream::AttemptId Send(const std::string& id = "s1", std::size_t body = 0) {
    HttpRequest request(body > 0 ? http::verb::post : http::verb::get, "/api", 11);
    request.body() = std::string(body, 'x');
    request.prepare_payload();
    return upstream().Send(id, {request},
                           [this](UpstreamAnswer answer) { answers.push_back(std::move(answer)); });
  }
  // The result of one attempt.
  Result Try(const std::string& id = "s1", std::size_t body = 0) {
    const std::size_t before = answers.size();
    Send(id, body);
    EXPECT_EQ(answers.size(), before) << "the module was called from inside its sink";
    EXPECT_TRUE(RunUntil(io, [&] { return answers.size() > before; }));
    return answers.size() > before ? answers.back().result : Result::kNeverSent;
  }
  // The result when the server answers with this text.
  Result TryReply(const std::string& text, bool close = false) {
    ScriptedServer server(io, [&](Peer& peer) {
      peer.Write(text);
      if (close) peer.Close();
    });
    Tell(server.address);
    const Result result = Try();
    Tell(server.address, "removed");
    return result;
  }

  asio::io_context io;
  Upstream::Limits limits;
  MemoryBudget budget{std::size_t{1} << 20};
  stats::Counters counters;
  std::vector<UpstreamAnswer> answers;

 private:
  std::unique_ptr<Upstream> upstream_;
};

TEST_F(UpstreamTest, StatusesMeanWhatTheProtocolSays) {
  EXPECT_EQ(TryReply(Reply("200 OK", "hello")), Result::kSuccess);
  EXPECT_EQ(answers.back().response.body(), "hello");
  EXPECT_EQ(TryReply(Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")), Result::kRefused);
  EXPECT_EQ(TryReply(Reply("504 Gateway Timeout", "", "Srv-Declined: 1\r\n")), Result::kRefused);
  EXPECT_EQ(TryReply(Reply("503 Service Unavailable", "")), Result::kError);
  EXPECT_EQ(TryReply(Reply("504 Gateway Timeout", "")), Result::kError);
  EXPECT_EQ(TryReply(Reply("500 Internal Server Error", "")), Result::kError);
  EXPECT_EQ(TryReply(Reply("500 Internal Server Error", "", "Srv-Declined: 1\r\n")), Result::kError);
  EXPECT_EQ(TryReply("no HTTP at all\r\n\r\n"), Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 100 Continue\r\n\r\n" + Reply("200 OK", "later")), Result::kSuccess);
  EXPECT_EQ(answers.back().response.body(), "later");
}

// Boost 1.74 forgets the body limit of an answer when it parses eagerly: such an answer was read until memory
// ran out.
TEST_F(UpstreamTest, AnAnswerThatIsTooLongEndsTheAttemptAtOnce) {
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

// A connection that carried a large request is used again: what broke off of the next one can be sent again.
TEST_F(UpstreamTest, WhatOneRequestSpentIsNotTheNextOnes) {
  constexpr std::size_t kSize = 70'000;
  bool answered = false;
  ScriptedServer server(io, [&](Peer& peer) {
    if (answered) return peer.Write("too early");
    answered = peer.received.size() > kSize;
    if (answered) peer.Write(Reply("200 OK", "ok"));
  });
  Tell(server.address);
  const auto body = std::make_shared<Pipe>(kSize);
  body->Write(std::string(kSize, 'x'));
  body->End();
  upstream().Send("s1", {HttpRequest(http::verb::post, "/api", 11), body, kSize},
                  [this](UpstreamAnswer answer) { answers.push_back(std::move(answer)); });
  ASSERT_TRUE(RunUntil(io, [&] { return !answers.empty(); }));
  EXPECT_EQ(answers[0].result, Result::kSuccess);
  EXPECT_TRUE(body->spent());
  EXPECT_EQ(Try("s1", 64U << 20), Result::kUnreachable);
  EXPECT_EQ(server.peers.size(), 1U);
  EXPECT_FALSE(answers.back().spent);
}

// RFC 9112, 6.3: without a length it ends with its connection, if it says so and the end is in order.
TEST_F(UpstreamTest, AnAnswerMayEndWithItsConnection) {
  const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
  EXPECT_EQ(TryReply(head + "whole", /*close=*/true), Result::kSuccess);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\n\r\nwhole", /*close=*/true), Result::kReset);
  ScriptedServer server(io, [&](Peer& peer) {
    peer.Write(head + "half");
    peer.Reset();
  });
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kReset);
}

TEST_F(UpstreamTest, WhatBreaksAfterTheLastByteMayHaveRun) {
  EXPECT_EQ(TryReply("", /*close=*/true), Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", /*close=*/true), Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", /*close=*/true),
            Result::kReset);
  EXPECT_EQ(TryReply("HTTP/1.1 200 OK\r\nContent-Le", /*close=*/true), Result::kReset);
}

TEST_F(UpstreamTest, ARefusedConnectionNeverRan) {
  ScriptedServer server(io);
  server.StopListening();
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kUnreachable);
  EXPECT_EQ(Try("unknown"), Result::kUnreachable);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, ADialThatNeverComesUpTimesOutAndNeverRan) {
  limits.dial_timeout = 100'000;
  Tcp::acceptor full(io, Tcp::v4());
  full.bind(Loopback());
  full.listen(0);
  Tcp::socket filler(io);
  filler.connect(full.local_endpoint());  // the queue holds it; the next one gets no answer
  Tcp::socket filler2(io);
  filler2.async_connect(full.local_endpoint(), [](ErrorCode) {});
  RunFor(io, 20ms);
  Tell(full.local_endpoint());
  EXPECT_EQ(Try(), Result::kUnreachable);
}

TEST_F(UpstreamTest, WhatBreaksBeforeTheLastByteNeverRan) {
  Tcp::acceptor acceptor(io, Loopback());
  std::unique_ptr<Peer> peer;
  acceptor.async_accept(
      [&](ErrorCode, Tcp::socket socket) { peer = std::make_unique<Peer>(std::move(socket)); });
  Tell(acceptor.local_endpoint());
  Send("s1", 64U * 1024 * 1024);  // far more than the kernel buffers; nobody reads it
  ASSERT_TRUE(RunUntil(io, [&] { return peer != nullptr; }));
  RunFor(io, 50ms);
  EXPECT_TRUE(answers.empty());
  peer->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return !answers.empty(); }));
  EXPECT_EQ(answers.back().result, Result::kUnreachable);
}

TEST_F(UpstreamTest, ReusesTheConnectionUsedLast) {
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  Send();
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return answers.size() == 2; }));
  EXPECT_EQ(server.peers.size(), 2U);  // one request on each at a time
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
  EXPECT_EQ(std::max(server.peers[0]->requests(), server.peers[1]->requests()), 4);
}

TEST_F(UpstreamTest, AReusedConnectionThatBreaksIsAResetAndNothingIsResent) {
  ScriptedServer server(io, [](Peer& peer) {
    if (peer.requests() == 1) return peer.Write(Reply("200 OK", "first"));
    peer.Reset();
  });
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(Try(), Result::kReset);
  RunFor(io, 100ms);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, AnIdleConnectionThatThePeerHasClosedIsNotWrittenTo) {
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  server.peers[0]->Close();  // the loop has not seen it yet when the next one is sent
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
}

TEST_F(UpstreamTest, AConnectionWithAnAnswerLeftOverIsNotReused) {
  ScriptedServer server(io, [](Peer& peer) { peer.Write(Reply("200 OK", "a") + Reply("200 OK", "stray")); });
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(answers.back().response.body(), "a");
  EXPECT_EQ(upstream().open_connections(), 0U);
}

// A second copy that came after the connection was used again passed for the next request's answer.
TEST_F(UpstreamTest, AnAnswerThatComesTwiceIsNeverTheNextRequestsAnswer) {
  limits.rest = 60'000'000;
  int asked = 0;
  ScriptedServer server(io, [&](Peer& peer) { peer.Write(Reply("200 OK", std::to_string(++asked))); });
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(Try(), Result::kSuccess);  // on another connection, as the first has not rested
  EXPECT_EQ(answers.back().response.body(), "2");
  EXPECT_EQ(server.peers.size(), 2U);
  server.peers[0]->Write(Reply("200 OK", "1"));
  EXPECT_TRUE(RunUntil(io, [&] { return upstream().open_connections() == 1; })) << "still to be used";
}

TEST_F(UpstreamTest, AnAnswerBeforeTheRequestIsWholeIsNone) {
  Tcp::acceptor acceptor(io, Loopback());
  std::unique_ptr<Peer> peer;
  acceptor.async_accept(
      [&](ErrorCode, Tcp::socket socket) { peer = std::make_unique<Peer>(std::move(socket)); });
  Tell(acceptor.local_endpoint());
  Send("s1", 64U * 1024 * 1024);
  ASSERT_TRUE(RunUntil(io, [&] { return peer != nullptr; }));
  peer->Write(Reply("200 OK", "early"));
  ASSERT_TRUE(RunUntil(io, [&] { return !answers.empty(); }));
  EXPECT_EQ(answers.back().result, Result::kUnreachable);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, AResetNeverEndsABody) {
  ScriptedServer server(io, [](Peer& peer) {
    peer.Write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ncut of");
    peer.Reset();
  });
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kReset);
}

TEST_F(UpstreamTest, GivingUpClosesTheConnectionForGood) {
  ScriptedServer server(io);
  Tell(server.address);
  const auto attempt = Send();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  upstream().GiveUp(attempt);
  EXPECT_EQ(upstream().open_connections(), 0U);
  ASSERT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(answers.empty());
  server.on_data = Serves("ok");
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(server.peers.size(), 2U);
}

// Met in a long day: the program died at 146 s. What ends an attempt may come in the very turn of the loop in
// which its request has gone out and nobody has been told yet. Fails for certain under the address sanitizer.
TEST_F(UpstreamTest, GivingUpInTheTurnOfTheWriteTouchesNothingThatIsGone) {
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(Try(), Result::kSuccess);  // leaves an idle connection: the next write is done at once
    upstream().GiveUp(Send("s1", 100));
    RunFor(io, 5ms);
  }
  EXPECT_EQ(answers.size(), 20U);
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, AFailureKnownAtOnceCanBeGivenUpToo) {
  upstream().GiveUp(Send("unknown"));
  RunFor(io, 30ms);
  EXPECT_TRUE(answers.empty());
}

TEST_F(UpstreamTest, ADrainClosesIdleConnectionsAndLetsTheRestFinish) {
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  server.on_data = {};
  Send();
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  Tell(server.address, "draining");
  EXPECT_EQ(upstream().open_connections(), 1U);
  server.peers[0]->Write(Reply("200 OK", "finished"));
  ASSERT_TRUE(RunUntil(io, [&] { return answers.size() == 2; }));
  EXPECT_EQ(answers.back().response.body(), "finished");
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(Try(), Result::kUnreachable);
  EXPECT_EQ(server.requests(), 2);
}

TEST_F(UpstreamTest, IdleConnectionsAreClosedWhenTheServerDrains) {
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(upstream().open_connections(), 1U);
  Tell(server.address, "draining");
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
}

TEST_F(UpstreamTest, WritesNothingWhenTheListChangesDuringTheDial) {
  ScriptedServer server(io, Serves("ok"));
  ScriptedServer moved(io, Serves("ok"));
  const std::function<void()> changes[] = {
      [&] { Tell(server.address, "draining"); }, [&] { Tell(server.address, "removed"); },
      [&] { Tell(server.address, "up", 1'700'000'000'000); }, [&] { Tell(moved.address); }};
  for (const auto& change : changes) {
    Tell(server.address);
    const std::size_t before = answers.size();
    Send();
    change();
    ASSERT_TRUE(RunUntil(io, [&] { return answers.size() > before; }));
    EXPECT_EQ(answers.back().result, Result::kUnreachable);
  }
  EXPECT_EQ(server.requests() + moved.requests(), 0);
}

TEST_F(UpstreamTest, AWholeListRemovesWhatItDoesNotName) {
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  upstream().Apply({true, 2, {}});
  EXPECT_EQ(upstream().open_connections(), 0U);
  EXPECT_EQ(Try(), Result::kUnreachable);
}

TEST_F(UpstreamTest, FollowsAServerToItsNewAddress) {
  ScriptedServer before(io, Serves("before"));
  ScriptedServer after(io, Serves("after"));
  Tell(before.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  Tell(after.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_EQ(answers.back().response.body(), "after");
  EXPECT_EQ(upstream().open_connections(), 1U);
}

TEST_F(UpstreamTest, ClosesConnectionsThatStayIdle) {
  limits.keep_idle = 60'000;
  ScriptedServer server(io, Serves("ok"));
  Tell(server.address);
  EXPECT_EQ(Try(), Result::kSuccess);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_EQ(upstream().open_connections(), 0U);
}

TEST_F(UpstreamTest, StaysWithinItsConnections) {
  limits.connections = 1;
  ScriptedServer one(io, Serves("ok"));
  ScriptedServer two(io);
  Tell(one.address);
  Tell(two.address, "up", 0, "s2");
  EXPECT_EQ(Try(), Result::kSuccess);
  Send("s2");  // the idle one makes room
  ASSERT_TRUE(RunUntil(io, [&] { return two.requests() == 1; }));
  EXPECT_EQ(upstream().open_connections(), 1U);
  EXPECT_EQ(Try(), Result::kUnreachable);  // all are at work
  EXPECT_EQ(one.requests(), 1);
}

}  // namespace
}  // namespace merlinrun::net
