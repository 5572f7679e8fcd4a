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
using Failure = ServerPool::Failure;
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
  bool over() const { return ends + failures > 0; }
};

std::string Whole(const std::string& id, const std::string& body, const std::string& more = "") {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nServer-Seal: s\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Bench {
  explicit Bench(ScriptedHttpServer::Script script) : server(io, std::move(script)) {}
  std::shared_ptr<Outcome> Send(const std::string& id, const std::string& method = "GET",
                                const std::string& body = "") {
    return SendTo(server.address(), id, method, body);
  }
  std::shared_ptr<Outcome> SendTo(const std::string& address, const std::string& id,
                                  const std::string& method = "GET", const std::string& body = "") {
    auto out = std::make_shared<Outcome>();
    ServerPool::Events events;
    events.head = [out](std::uint16_t status, Headers headers, std::int64_t length) {
      ++out->heads;
      out->status = status;
      out->headers = std::move(headers);
      out->length = length;
    };
    events.piece = [out](std::string bytes) { out->body += bytes; };
    events.end = [out] { ++out->ends; };
    events.failed = [out](Failure why) { ++out->failures, out->failure = why; };
    handle =
        pool.Send(address, {id, method, "/x", {{"Host", "h"}, {"Attempt-Id", id}}, body}, std::move(events));
    CHECK_FALSE(out->over());  // never from inside the call
    return out;
  }
  // Sends, and runs until its one end.
  Outcome Ask(const std::string& id, const std::string& method = "GET", const std::string& body = "") {
    const auto out = Send(id, method, body);
    REQUIRE(RunUntil(io, [&] { return out->over(); }));
    RunFor(io, 5);
    CHECK(out->ends + out->failures == 1);
    return *out;
  }
  asio::io_context io;
  ScriptedHttpServer server;
  ServerPool pool{io};
  ServerPool::Handle handle = 0;
};

Outcome AskOne(const std::string& answer, bool close = false, const std::string& method = "GET") {
  Bench bench([&](RawConnection& raw, const std::string&) {
    raw.Write(answer);
    if (close) raw.CloseWhenWritten();
  });
  return bench.Ask("a", method);
}

TEST_CASE("whole answers, with a length and in chunks, over one kept connection") {
  Bench bench([](RawConnection& raw, const std::string& request) {
    if (HeaderValue(request, "Attempt-Id") == "a")
      return raw.Write(Whole("a", "hello", "X-Own: 1\r\nConnection: keep-alive\r\n"));
    raw.Write(
        "HTTP/1.1 200 OK\r\nAttempt-Id: b\r\nServer-Seal: s\r\nTransfer-Encoding: "
        "chunked\r\n\r\n3\r\nabc\r\n");
    raw.Write("2\r\nde\r\n0\r\n\r\n");
  });
  const Outcome a = bench.Ask("a", "POST", "the body");
  CHECK(a.ends == 1);
  CHECK(a.status == 200);
  CHECK(a.length == 5);
  CHECK(a.body == "hello");
  CHECK(a.headers ==
        Headers{{"Attempt-Id", "a"}, {"Server-Seal", "s"}, {"X-Own", "1"}});  // none of the framing
  REQUIRE(bench.server.requests.size() == 1);
  CHECK(bench.server.requests[0].find("POST /x HTTP/1.1\r\n") == 0);
  CHECK(bench.server.requests[0].find("\r\n\r\nthe body") != std::string::npos);
  const Outcome b = bench.Ask("b");
  CHECK(b.ends == 1);
  CHECK(b.length == -1);
  CHECK(b.body == "abcde");
  CHECK(bench.pool.connections_opened() == 1);
  CHECK(bench.server.connections.size() == 1);
}

TEST_CASE("two at a time have a connection each, and both are kept") {
  Bench bench([](RawConnection& raw, const std::string& request) {
    raw.Write(Whole(HeaderValue(request, "Attempt-Id"), "x"));
  });
  const auto a = bench.Send("a"), b = bench.Send("b");
  REQUIRE(RunUntil(bench.io, [&] { return a->over() && b->over(); }));
  CHECK(bench.pool.connections_opened() == 2);
  const auto c = bench.Send("c"), d = bench.Send("d");
  REQUIRE(RunUntil(bench.io, [&] { return c->over() && d->over(); }));
  CHECK(bench.pool.connections_opened() == 2);
  CHECK(c->ends + d->ends == 2);
}

// A surplus answer is another's, whether it comes with the first, after it, or once the next has been sent.
TEST_CASE("a second answer is nobody's, and the next request gets its own") {
  const int when = GENERATE(0, 1, 2);
  INFO(when);
  Bench bench([&](RawConnection& raw, const std::string& request) {
    const std::string id = HeaderValue(request, "Attempt-Id");
    if (id == "a" && when == 0) return raw.Write(Whole("a", "first") + Whole("a", "stale"));
    if (id == "b" && when == 2) raw.Write(Whole("a", "stale"));
    raw.Write(Whole(id, id == "a" ? "first" : "own"));
  });
  CHECK(bench.Ask("a").body == "first");
  if (when == 1) {
    bench.server.connections[0]->Write(Whole("a", "stale"));
    REQUIRE(RunUntil(bench.io, [&] { return bench.pool.stray_responses() > 0; }));
  }
  const Outcome b = bench.Ask("b");
  CHECK(b.ends == 1);
  CHECK(b.body == "own");
  CHECK(bench.pool.stray_responses() == 1);
  CHECK(bench.Ask("c").body == "own");
}

TEST_CASE("a late answer that is already in the socket when the next request is sent is nobody's") {
  Bench bench([](RawConnection& raw, const std::string& request) {
    raw.Write(Whole(HeaderValue(request, "Attempt-Id"), HeaderValue(request, "Attempt-Id")));
  });
  CHECK(bench.Ask("a").body == "a");
  bench.server.connections[0]->WriteNow(Whole("a", "stale"));
  const Outcome b = bench.Ask("b");  // the loop has not turned in between
  CHECK((b.failures == 1 || b.body == "b"));
  CHECK(b.body != "stale");
  CHECK(bench.Ask("c").body == "c");
}

TEST_CASE("answers of others are read over up to the right one") {
  const Outcome out =
      AskOne(Whole("z", "other") + "HTTP/1.1 500 No\r\nAttempt-Id: y\r\nContent-Length: 2\r\n\r\nno" +
             "HTTP/1.1 103 Early\r\n\r\n" + Whole("a", "mine"));
  CHECK(out.ends == 1);
  CHECK(out.heads == 1);
  CHECK(out.body == "mine");
  CHECK(out.status == 200);
}

TEST_CASE("answers of others without end are no answer") {
  std::string many;
  for (int i = 0; i < 20; ++i) many += Whole("z", "other");
  CHECK(AskOne(many + Whole("a", "mine")).failure == Failure::kGarbled);
}

TEST_CASE("what is no whole answer of this request's is told for what it is") {
  const std::string sealed = "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\n";
  struct Case {
    const char* name;
    std::string answer;
    Failure want;
    int heads;
  };
  const std::vector<Case> cases = {
      {"no seal", "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nContent-Length: 1\r\n\r\nx", Failure::kGarbled, 0},
      {"coded", sealed + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx", Failure::kGarbled, 0},
      {"no id", "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx", Failure::kBroken, 0},
      {"two ids",
       "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 1\r\n\r\nx",
       Failure::kBroken, 0},
      {"end not told", sealed + "\r\nbody", Failure::kGarbled, 0},
      {"both framings", sealed + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       Failure::kGarbled, 0},
      {"no HTTP", "\x16\x03garbage\r\n\r\n", Failure::kGarbled, 0},
      {"bad chunk", sealed + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", Failure::kGarbled, 1},
      {"body cut short", sealed + "Content-Length: 10\r\n\r\nfour", Failure::kBroken, 1},
      {"chunks cut short", sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", Failure::kBroken, 1},
      {"head cut short", sealed, Failure::kBroken, 0},
      {"nothing", "", Failure::kBroken, 0},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    const Outcome out = AskOne(c.answer, true);
    CHECK(out.ends == 0);
    REQUIRE(out.failure.has_value());
    CHECK(*out.failure == c.want);
    CHECK(out.heads <= c.heads);  // 1: the cut comes after a good head
  }
}

// It answers when it has the head, keeps the connection and reads on later: what is due there is the rest of
// the first body and nothing else.
TEST_CASE("an answer that comes before a long body is written ends the connection") {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  struct Connection {
    explicit Connection(asio::io_context& loop) : socket(loop) {}
    asio::ip::tcp::socket socket;
    std::string in;
  };
  std::vector<std::unique_ptr<Connection>> connections;
  std::array<char, 4096> buffer{};
  const auto answer = [&](Connection& connection) {
    connection.socket.async_read_some(asio::buffer(buffer), [&](ErrorCode error, std::size_t n) {
      if (error) return;
      connection.in.append(buffer.data(), n);
      const std::string id = HeaderValue(connection.in, "Attempt-Id");
      asio::write(connection.socket, asio::buffer(Whole(id, "early")));
    });
  };
  const std::function<void()> accept = [&] {
    connections.push_back(std::make_unique<Connection>(io));
    acceptor.async_accept(connections.back()->socket, [&](ErrorCode error) {
      if (error) return;
      answer(*connections.back());
      accept();
    });
  };
  accept();
  ServerPool pool(io);
  const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  int ends = 0;
  const auto ask = [&](const std::string& id, const std::string& body) {
    ServerPool::Events events;
    events.head = [](std::uint16_t, Headers, std::int64_t) {};
    events.piece = [](std::string) {};
    events.end = [&] { ++ends; };
    events.failed = [&](Failure) { ++ends; };
    pool.Send(address, {id, "POST", "/x", {{"Host", "h"}, {"Attempt-Id", id}}, body}, std::move(events));
  };
  ask("a", std::string(std::size_t{64} << 20, 'x'));
  REQUIRE(RunUntil(io, [&] { return ends == 1; }));
  ask("b", "");
  REQUIRE(RunUntil(io, [&] { return ends == 2; }));
  REQUIRE(connections.size() == 3);  // the last one waits
  // All that the first connection ever got is its own request.
  Connection& first = *connections[0];
  ErrorCode error;
  while (!error) {
    const std::size_t n = first.socket.read_some(asio::buffer(buffer), error);
    first.in.append(buffer.data(), n);
  }
  CHECK(first.in.find("Attempt-Id: b") == std::string::npos);
}

TEST_CASE("answers without a body end with their head") {
  CHECK(AskOne("HTTP/1.1 204 No Content\r\nAttempt-Id: a\r\nServer-Seal: s\r\n\r\n").ends == 1);
  const Outcome head = AskOne(
      "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\nServer-Seal: s\r\nContent-Length: 5\r\n\r\n", false, "HEAD");
  CHECK(head.ends == 1);
  CHECK(head.body.empty());
}

TEST_CASE("an error answer needs no seal") {
  const Outcome out = AskOne("HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
  CHECK(out.ends == 1);
  CHECK(out.status == 503);
}

TEST_CASE("where nothing listens nothing is sent") {
  Bench bench([](RawConnection&, const std::string&) {});
  for (const std::string& address : {"127.0.0.1:" + std::to_string(loopback::FreePort(bench.io)),
                                     std::string("no address"), std::string("127.0.0.1:0")}) {
    INFO(address);
    const auto out = bench.SendTo(address, "a");
    REQUIRE(RunUntil(bench.io, [&] { return out->over(); }));
    CHECK(out->failure == Failure::kNotSent);
  }
}

TEST_CASE("a connection that the server closes is not used again") {
  const bool says_so = GENERATE(true, false);
  Bench bench([&](RawConnection& raw, const std::string& request) {
    raw.Write(Whole(HeaderValue(request, "Attempt-Id"), "x", says_so ? "Connection: close\r\n" : ""));
    if (!says_so) raw.CloseWhenWritten();
  });
  CHECK(bench.Ask("a").ends == 1);
  RunFor(bench.io, 10);
  CHECK(bench.Ask("b").ends == 1);
  CHECK(bench.pool.connections_opened() == 2);
}

TEST_CASE("a request on a kept connection that the server closes at it may have run") {
  Bench bench([](RawConnection& raw, const std::string& request) {
    if (HeaderValue(request, "Attempt-Id") == "b") return raw.Close();
    raw.Write(Whole(HeaderValue(request, "Attempt-Id"), "x"));
  });
  CHECK(bench.Ask("a").ends == 1);
  CHECK(bench.Ask("b").failure == Failure::kBroken);
  CHECK(bench.Ask("c").ends == 1);
}

TEST_CASE("what is cancelled tells nothing, and its connection ends") {
  Bench bench([](RawConnection&, const std::string&) {});
  const auto out = bench.Send("a");
  REQUIRE(RunUntil(bench.io, [&] { return bench.server.requests.size() == 1; }));
  bench.pool.Cancel(bench.handle);
  REQUIRE(RunUntil(bench.io, [&] { return bench.server.connections[0]->ended; }));
  CHECK_FALSE(out->over());
  CHECK(RunUntil(bench.io, [&] { return bench.pool.open() == 0; }));
}

// For the sanitizers: what the loop still holds of a connection must not reach for a pool that is no more.
TEST_CASE("a pool may end before its loop, whatever is under way") {
  asio::io_context io;
  ScriptedHttpServer server(io, [](RawConnection& raw, const std::string& request) {
    if (HeaderValue(request, "Attempt-Id") == "a") raw.Write(Whole("a", "x"));
  });
  auto pool = std::make_unique<ServerPool>(io);
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

TEST_CASE("a paused answer is held up, and comes whole after") {
  const std::string big(std::size_t{8} * 1024 * 1024, 'x');
  Bench bench([&](RawConnection& raw, const std::string&) { raw.Write(Whole("a", big)); });
  const auto out = bench.Send("a");
  REQUIRE(RunUntil(bench.io, [&] { return out->heads == 1; }));
  bench.pool.Pause(bench.handle);
  RunFor(bench.io, 50);
  const std::size_t held = out->body.size();
  RunFor(bench.io, 50);
  CHECK(out->body.size() == held);
  REQUIRE_FALSE(out->over());
  bench.pool.Resume(bench.handle);
  REQUIRE(RunUntil(bench.io, [&] { return out->over(); }));
  CHECK(out->ends == 1);
  CHECK(out->body.size() == big.size());
}

}  // namespace
}  // namespace fennelhollow::ingress
