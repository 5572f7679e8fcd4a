#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "loopback.hpp"
#include "mesh/ingress/server_connection_pool.hpp"

namespace fennelhollow::ingress {
namespace {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using Failure = ServerConnectionPool::Failure;
using loopback::HeaderValue;
using loopback::RawConnection;
using loopback::RunFor;
using loopback::RunUntil;
using loopback::ScriptedHttpServer;

struct Outcome {
  int status = 0, heads = 0, ends = 0, failures = 0;
  std::int64_t length = -2;
  Headers headers;
  std::string body;
  std::optional<Failure> failure;
  bool done() const { return ends + failures > 0; }
};

std::string OkResponse(const std::string& id, const std::string& body,
                       const std::string& extra_headers = "") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct PoolFixture {
  explicit PoolFixture(ScriptedHttpServer::Script script) : server(io, std::move(script)) {}
  std::shared_ptr<Outcome> Send(const std::string& id, const std::string& method = "GET",
                                const std::string& body = "") {
    return SendTo(server.address(), id, method, body);
  }
  std::shared_ptr<Outcome> SendTo(const std::string& address, const std::string& id,
                                  const std::string& method = "GET", const std::string& body = "") {
    auto out = std::make_shared<Outcome>();
    ServerConnectionPool::Events events;
    events.on_head = [out](std::uint16_t status, Headers headers, std::int64_t length) {
      ++out->heads;
      out->status = status;
      out->headers = std::move(headers);
      out->length = length;
    };
    events.on_body = [out](std::string bytes) { out->body += bytes; };
    events.on_end = [out] { ++out->ends; };
    events.on_failure = [out](Failure kind) { ++out->failures, out->failure = kind; };
    handle =
        pool.Send(address, {id, method, "/x", {{"Host", "h"}, {"Attempt-Id", id}}, body}, std::move(events));
    CHECK_FALSE(out->done());  // no event from within the call
    return out;
  }
  // Sends a request and waits for its only end.
  Outcome SendAndWait(const std::string& id, const std::string& method = "GET",
                      const std::string& body = "") {
    const auto out = Send(id, method, body);
    REQUIRE(RunUntil(io, [&] { return out->done(); }));
    RunFor(io, 5);
    CHECK(out->ends + out->failures == 1);
    return *out;
  }
  asio::io_context io;
  ScriptedHttpServer server;
  ServerConnectionPool pool{io};
  ServerConnectionPool::Handle handle = 0;
};

Outcome SendToStub(const std::string& response, bool close = false, const std::string& method = "GET") {
  PoolFixture fixture([&](RawConnection& peer, const std::string&) {
    peer.Write(response);
    if (close) peer.CloseWhenWritten();
  });
  return fixture.SendAndWait("a", method);
}

TEST_CASE("responses with Content-Length and in chunks over one keep-alive connection") {
  PoolFixture fixture([](RawConnection& peer, const std::string& request) {
    if (HeaderValue(request, "Attempt-Id") == "a")
      return peer.Write(OkResponse("a", "hello", "X-Own: 1\r\nConnection: keep-alive\r\n"));
    peer.Write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nServer-Seal: s\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n");
    peer.Write("2\r\nde\r\n0\r\n\r\n");
  });
  const Outcome a = fixture.SendAndWait("a", "POST", "the body");
  CHECK(a.ends == 1);
  CHECK(a.status == 200);
  CHECK(a.length == 5);
  CHECK(a.body == "hello");
  CHECK(a.headers ==
        Headers{{"Attempt-Id", "a"}, {"Server-Seal", "s"}, {"X-Own", "1"}});  // without framing headers
  REQUIRE(fixture.server.requests.size() == 1);
  CHECK(fixture.server.requests[0].find("POST /x HTTP/1.1\r\n") == 0);
  CHECK(fixture.server.requests[0].find("\r\n\r\nthe body") != std::string::npos);
  const Outcome b = fixture.SendAndWait("b");
  CHECK(b.ends == 1);
  CHECK(b.length == -1);
  CHECK(b.body == "abcde");
  CHECK(fixture.pool.connections_opened() == 1);
  CHECK(fixture.server.connections.size() == 1);
}

// Writes the bytes in pieces of this size, each of which the peer reads by itself.
void WritePieces(asio::io_context& io, const std::shared_ptr<RawConnection>& peer, const std::string& bytes,
                 std::size_t piece_bytes) {
  peer->WriteNow(bytes.substr(0, piece_bytes));
  if (bytes.size() <= piece_bytes) return;
  const auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(1));
  timer->async_wait([&io, peer, timer, rest = bytes.substr(piece_bytes), piece_bytes](ErrorCode) {
    WritePieces(io, peer, rest, piece_bytes);
  });
}

// Guards against the refusal of a response whose head arrives apart from its body.
TEST_CASE("a response may arrive in pieces of any size") {
  struct Kind {
    std::string name, method, response, body;
  };
  const std::string head = "Attempt-Id: a\r\nServer-Seal: s\r\n";
  const Kind kind = GENERATE_COPY(
      Kind{"length", "GET", OkResponse("a", "hello"), "hello"},
      Kind{
          "chunked", "GET",
          "HTTP/1.1 200 OK\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
          "abcde"},
      Kind{"an interim response before", "POST", "HTTP/1.1 100 Continue\r\n\r\n" + OkResponse("a", "hello"),
           "hello"},
      Kind{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\n" + head + "Content-Length: 5\r\n\r\n", ""},
      Kind{"a stray response before", "GET", OkResponse("z", "stray") + OkResponse("a", "hello"), "hello"},
      Kind{"an error", "GET", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy",
           "busy"});
  const std::size_t head_bytes = kind.response.find("\r\n\r\n") + 4;
  const std::size_t piece_bytes = GENERATE_COPY(std::size_t{1}, std::size_t{7}, head_bytes);
  INFO(kind.name << " in pieces of " << piece_bytes);
  asio::io_context* io = nullptr;
  PoolFixture fixture([&](RawConnection& peer, const std::string&) {
    WritePieces(*io, peer.shared_from_this(), kind.response, piece_bytes);
  });
  io = &fixture.io;
  const Outcome outcome = fixture.SendAndWait("a", kind.method);
  CHECK(outcome.failures == 0);
  CHECK(outcome.ends == 1);
  CHECK(outcome.body == kind.body);
}

TEST_CASE("concurrent requests use a connection each, and both are kept alive") {
  PoolFixture fixture([](RawConnection& peer, const std::string& request) {
    peer.Write(OkResponse(HeaderValue(request, "Attempt-Id"), "x"));
  });
  const auto a = fixture.Send("a"), b = fixture.Send("b");
  REQUIRE(RunUntil(fixture.io, [&] { return a->done() && b->done(); }));
  CHECK(fixture.pool.connections_opened() == 2);
  const auto c = fixture.Send("c"), d = fixture.Send("d");
  REQUIRE(RunUntil(fixture.io, [&] { return c->done() && d->done(); }));
  CHECK(fixture.pool.connections_opened() == 2);
  CHECK(c->ends + d->ends == 2);
}

// An unsolicited second response may arrive together with the first, after it, or after the next request.
TEST_CASE("an unsolicited second response is discarded, and the next request gets its own") {
  const int when = GENERATE(0, 1, 2);
  INFO(when);
  PoolFixture fixture([&](RawConnection& peer, const std::string& request) {
    const std::string id = HeaderValue(request, "Attempt-Id");
    if (id == "a" && when == 0) return peer.Write(OkResponse("a", "first") + OkResponse("a", "stale"));
    if (id == "b" && when == 2) peer.Write(OkResponse("a", "stale"));
    peer.Write(OkResponse(id, id == "a" ? "first" : "own"));
  });
  CHECK(fixture.SendAndWait("a").body == "first");
  if (when == 1) {
    fixture.server.connections[0]->Write(OkResponse("a", "stale"));
    REQUIRE(RunUntil(fixture.io, [&] { return fixture.pool.stray_responses() > 0; }));
  }
  const Outcome b = fixture.SendAndWait("b");
  CHECK(b.ends == 1);
  CHECK(b.body == "own");
  CHECK(fixture.pool.stray_responses() == 1);
  CHECK(fixture.SendAndWait("c").body == "own");
}

TEST_CASE("a late response that is already in the socket buffer is not taken for the next request's") {
  PoolFixture fixture([](RawConnection& peer, const std::string& request) {
    peer.Write(OkResponse(HeaderValue(request, "Attempt-Id"), HeaderValue(request, "Attempt-Id")));
  });
  CHECK(fixture.SendAndWait("a").body == "a");
  fixture.server.connections[0]->WriteNow(OkResponse("a", "stale"));
  const Outcome b = fixture.SendAndWait("b");  // the event loop has not run in between
  CHECK((b.failures == 1 || b.body == "b"));
  CHECK(b.body != "stale");
  CHECK(fixture.SendAndWait("c").body == "c");
}

TEST_CASE("responses with another id are skipped until the matching one") {
  const Outcome out = SendToStub(OkResponse("z", "other") +
                                 "HTTP/1.1 500 No\r\nAttempt-Id: y\r\nContent-Length: 2\r\n\r\nno" +
                                 "HTTP/1.1 103 Early\r\n\r\n" + OkResponse("a", "mine"));
  CHECK(out.ends == 1);
  CHECK(out.heads == 1);
  CHECK(out.body == "mine");
  CHECK(out.status == 200);
}

TEST_CASE("too many responses with another id are a failure") {
  std::string many;
  for (int i = 0; i < 20; ++i) many += OkResponse("z", "other");
  CHECK(SendToStub(many + OkResponse("a", "mine")).failure == Failure::kMalformed);
}

TEST_CASE("invalid and incomplete responses are reported with their kind of failure") {
  const std::string sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n";
  struct Case {
    const char* name;
    std::string response;
    Failure expected;
    int heads;
  };
  const std::vector<Case> cases = {
      {"no seal", "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 1\r\n\r\nx", Failure::kMalformed, 0},
      {"coded", sealed + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", Failure::kMalformed, 0},
      {"no id", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", Failure::kReset, 0},
      {"two ids",
       "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx",
       Failure::kReset, 0},
      {"end not told", sealed + "\r\nbody", Failure::kMalformed, 0},
      {"both framings", sealed + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       Failure::kMalformed, 0},
      {"no HTTP", "\x16\x03garbage\r\n\r\n", Failure::kMalformed, 0},
      {"bad chunk", sealed + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", Failure::kMalformed, 1},
      // The parser takes a chunk's head and the trailer only as a whole: without a bound they fill the
      // memory.
      {"endless chunk extension",
       sealed + "Transfer-Encoding: chunked\r\n\r\n1;name=" + std::string(40'000, 'a'), Failure::kMalformed,
       1},
      {"endless trailer",
       sealed + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: " + std::string(40'000, 'a'),
       Failure::kMalformed, 1},
      {"body cut short", sealed + "Content-Length: 10\r\n\r\nfour", Failure::kReset, 1},
      {"chunks cut short", sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", Failure::kReset, 1},
      {"head cut short", sealed, Failure::kReset, 0},
      {"nothing", "", Failure::kReset, 0},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const Outcome out = SendToStub(c.response, true);
    CHECK(out.ends == 0);
    REQUIRE(out.failure.has_value());
    CHECK(*out.failure == c.expected);
    CHECK(out.heads <= c.heads);  // 1 if a valid head precedes the failure
  }
}

// The server responds after the request head and keeps the connection. It still expects the rest of the body,
// so the connection must not be reused.
TEST_CASE("a connection is closed if the response arrives before the request body is written") {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  struct Connection {
    explicit Connection(asio::io_context& loop) : socket(loop) {}
    asio::ip::tcp::socket socket;
    std::string in;
  };
  std::vector<std::unique_ptr<Connection>> connections;
  std::array<char, 4096> buffer{};
  const auto respond = [&](Connection& connection) {
    connection.socket.async_read_some(asio::buffer(buffer), [&](ErrorCode error, std::size_t n) {
      if (error) return;
      connection.in.append(buffer.data(), n);
      const std::string id = HeaderValue(connection.in, "Attempt-Id");
      asio::write(connection.socket, asio::buffer(OkResponse(id, "early")));
    });
  };
  const std::function<void()> accept = [&] {
    connections.push_back(std::make_unique<Connection>(io));
    acceptor.async_accept(connections.back()->socket, [&](ErrorCode error) {
      if (error) return;
      respond(*connections.back());
      accept();
    });
  };
  accept();
  ServerConnectionPool pool(io);
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  int ends = 0;
  const auto send_request = [&](const std::string& id, const std::string& body) {
    ServerConnectionPool::Events events;
    events.on_head = [](std::uint16_t, Headers, std::int64_t) {};
    events.on_body = [](std::string) {};
    events.on_end = [&] { ++ends; };
    events.on_failure = [&](Failure) { ++ends; };
    pool.Send(address, {id, "POST", "/x", {{"Host", "h"}, {"Attempt-Id", id}}, body}, std::move(events));
  };
  send_request("a", std::string(std::size_t{64} << 20, 'x'));
  REQUIRE(RunUntil(io, [&] { return ends == 1; }));
  send_request("b", "");
  REQUIRE(RunUntil(io, [&] { return ends == 2; }));
  REQUIRE(connections.size() == 3);  // the third one is waiting to be accepted
  // The first connection has received nothing but its own request.
  Connection& first = *connections[0];
  ErrorCode error;
  while (!error) {
    const std::size_t n = first.socket.read_some(asio::buffer(buffer), error);
    first.in.append(buffer.data(), n);
  }
  CHECK(first.in.find("Attempt-Id: b") == std::string::npos);
}

TEST_CASE("a response without a body ends with its head") {
  CHECK(SendToStub("HTTP/1.1 204 No Content\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n").ends == 1);
  const Outcome head = SendToStub(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\n", false, "HEAD");
  CHECK(head.ends == 1);
  CHECK(head.body.empty());
}

TEST_CASE("an error response needs no Server-Seal") {
  const Outcome out = SendToStub("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  CHECK(out.ends == 1);
  CHECK(out.status == 503);
}

TEST_CASE("a failed connect is reported as not sent") {
  PoolFixture fixture([](RawConnection&, const std::string&) {});
  for (const std::string& address : {"127.0.0.1:" + std::to_string(loopback::FreePort(fixture.io)),
                                     std::string("no address"), std::string("127.0.0.1:0")}) {
    INFO(address);
    const auto out = fixture.SendTo(address, "a");
    REQUIRE(RunUntil(fixture.io, [&] { return out->done(); }));
    CHECK(out->failure == Failure::kNotSent);
  }
}

TEST_CASE("a connection that the server closes is not reused") {
  const bool announces_close = GENERATE(true, false);
  PoolFixture fixture([&](RawConnection& peer, const std::string& request) {
    peer.Write(
        OkResponse(HeaderValue(request, "Attempt-Id"), "x", announces_close ? "Connection: close\r\n" : ""));
    if (!announces_close) peer.CloseWhenWritten();
  });
  CHECK(fixture.SendAndWait("a").ends == 1);
  RunFor(fixture.io, 10);
  CHECK(fixture.SendAndWait("b").ends == 1);
  CHECK(fixture.pool.connections_opened() == 2);
}

TEST_CASE("a request may have run if the server closes the keep-alive connection on receiving it") {
  PoolFixture fixture([](RawConnection& peer, const std::string& request) {
    if (HeaderValue(request, "Attempt-Id") == "b") return peer.Close();
    peer.Write(OkResponse(HeaderValue(request, "Attempt-Id"), "x"));
  });
  CHECK(fixture.SendAndWait("a").ends == 1);
  CHECK(fixture.SendAndWait("b").failure == Failure::kReset);
  CHECK(fixture.SendAndWait("c").ends == 1);
}

TEST_CASE("a cancelled request calls no event, and its connection is closed") {
  PoolFixture fixture([](RawConnection&, const std::string&) {});
  const auto out = fixture.Send("a");
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.server.requests.size() == 1; }));
  fixture.pool.Cancel(fixture.handle);
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.server.connections[0]->ended; }));
  CHECK_FALSE(out->done());
  CHECK(RunUntil(fixture.io, [&] { return fixture.pool.open_connections() == 0; }));
}

// For the sanitizers: pending handlers of a connection must not access a destroyed pool.
TEST_CASE("a pool may be destroyed before its event loop, with requests in flight") {
  asio::io_context io;
  ScriptedHttpServer server(io, [](RawConnection& peer, const std::string& request) {
    if (HeaderValue(request, "Attempt-Id") == "a") peer.Write(OkResponse("a", "x"));
  });
  auto pool = std::make_unique<ServerConnectionPool>(io);
  int ends = 0;
  const auto send = [&](const std::string& id) {
    pool->Send(server.address(), {id, "GET", "/", {{"Host", "h"}, {"Attempt-Id", id}}, ""},
               {{}, {}, [&] { ++ends; }, [&](Failure) { ++ends; }});
  };
  send("a");
  REQUIRE(RunUntil(io, [&] { return ends == 1; }));
  send("b");
  send("c");
  REQUIRE(RunUntil(io, [&] { return server.requests.size() == 3; }));
  pool.reset();
  RunFor(io, 20);
  CHECK(ends == 1);
}

TEST_CASE("a paused response stops, and is completed after Resume") {
  const std::string big(std::size_t{8} * 1024 * 1024, 'x');
  PoolFixture fixture([&](RawConnection& peer, const std::string&) { peer.Write(OkResponse("a", big)); });
  const auto out = fixture.Send("a");
  REQUIRE(RunUntil(fixture.io, [&] { return out->heads == 1; }));
  fixture.pool.Pause(fixture.handle);
  RunFor(fixture.io, 50);
  const std::size_t held = out->body.size();
  RunFor(fixture.io, 50);
  CHECK(out->body.size() == held);
  REQUIRE_FALSE(out->done());
  fixture.pool.Resume(fixture.handle);
  REQUIRE(RunUntil(fixture.io, [&] { return out->done(); }));
  CHECK(out->ends == 1);
  CHECK(out->body.size() == big.size());
}

}  // namespace
}  // namespace fennelhollow::ingress
