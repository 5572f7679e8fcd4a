#include <algorithm>
#include <catch2/catch.hpp>

#include "loopback.hpp"
#include "mesh/egress/http_server.hpp"

namespace fennelhollow::egress {
namespace {

using loopback::RawConnection;
using loopback::RawConnectionPtr;
using loopback::RunFor;
using loopback::RunUntil;

using AccountLimits = memory::BufferAccount::Limits;
const AccountLimits kAmple = memory::BufferAccount::LimitsFor(std::size_t{256} << 20);

struct ServerFixture {
  explicit ServerFixture(const HttpServer::Limits& limits = {}, const AccountLimits& memory = kAmple)
      : ServerFixture(
            limits, [](auto&, auto&) {}, memory) {}
  // `handler` is called for each request.
  ServerFixture(const HttpServer::Limits& limits,
                std::function<void(const HttpServer::SessionPtr&, const HttpRequest&)> handler,
                const AccountLimits& memory = kAmple)
      : port(loopback::FreePort(io)),
        account(memory),
        server(io, {"127.0.0.1", port}, limits, account,
               {[this, handler](const HttpServer::SessionPtr& session, HttpRequest in) {
                  sessions.push_back(session);
                  requests.push_back(in);
                  handler(session, requests.back());
                },
                [this](const HttpServer::SessionPtr&) { ++disconnects; }}) {}
  RawConnectionPtr Connect() { return RawConnection::Connect(io, port); }
  RawConnectionPtr SendBytes(const std::string& bytes) {
    auto connection = Connect();
    connection->Write(bytes);
    return connection;
  }
  // Sends the bytes and returns what is received until the connection ends.
  std::string SendAndReceive(const std::string& bytes) {
    const auto connection = SendBytes(bytes);
    REQUIRE(RunUntil(io, [&] { return connection->ended; }));
    return connection->received;
  }
  // Waits until the text has been received.
  bool WaitForText(const RawConnectionPtr& connection, const std::string& text) {
    return RunUntil(io, [&] { return connection->received.find(text) != std::string::npos; });
  }
  asio::io_context io;
  std::uint16_t port;
  std::vector<HttpServer::SessionPtr> sessions;
  std::vector<HttpRequest> requests;
  int disconnects = 0;
  memory::BufferAccount account;
  HttpServer server;
};

void Echo(const HttpServer::SessionPtr& session, const HttpRequest& in) {
  HttpServer::Respond(session, 200, {{"X-Own", "1"}}, in.method + " " + in.target + " " + in.body);
}

std::string Get(const std::string& target, const std::string& extra_headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + extra_headers + "\r\n";
}

int Count(const std::string& text, const std::string& part) {
  int n = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

TEST_CASE("a connection serves several requests, and hop-by-hop headers are removed") {
  ServerFixture fixture({}, Echo);
  const auto connection = fixture.SendBytes(Get(
      "/a",
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Own: 2\r\nTE: trailers\r\n"));
  REQUIRE(fixture.WaitForText(connection, "GET /a "));
  CHECK(connection->received.find("HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 7\r\n\r\n") == 0);
  CHECK(fixture.requests[0].headers == Headers{{"Host", "h"}, {"X-Own", "2"}});
  CHECK(fixture.requests[0].host == "h");
  connection->Write("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(fixture.WaitForText(connection, "POST /b body"));
  connection->Write(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nch\r\n3;x=y\r\nunk\r\n0\r\n\r\n");
  REQUIRE(fixture.WaitForText(connection, "POST /c chunk"));
  for (const HttpRequest& in : fixture.requests)
    for (const auto& [name, value] : in.headers) CHECK((name == "Host" || name == "X-Own"));
  CHECK_FALSE(connection->ended);
  CHECK(fixture.server.sessions() == 1);
  CHECK(fixture.server.busy() == 0);
}

TEST_CASE("pipelined requests are handled one at a time and in order") {
  ServerFixture fixture;
  const auto connection =
      fixture.SendBytes("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + Get("/2") + Get("/3"));
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == i + 1; }));
    RunFor(fixture.io, 20);
    REQUIRE(fixture.requests.size() == i + 1);  // the next one waits for this response
    HttpServer::Respond(fixture.sessions[i], 200, {}, "<" + fixture.requests[i].target + ">");
  }
  REQUIRE(fixture.WaitForText(connection, "</3>"));
  CHECK(connection->received.find("</1>") < connection->received.find("</2>"));
  CHECK(connection->received.find("</2>") < connection->received.find("</3>"));
  CHECK(Count(connection->received, "HTTP/1.1 200") == 3);
}

TEST_CASE("a request may be split at any byte") {
  const std::string bytes =
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nch\r\n3\r\nunk\r\n0\r\n\r\n";
  ServerFixture fixture({}, Echo);
  for (std::size_t split_at = 1; split_at < bytes.size(); ++split_at) {
    const auto connection = fixture.Connect();
    connection->WriteNow(bytes.substr(0, split_at));
    for (int turn = 0; turn < 4; ++turn) fixture.io.restart(), fixture.io.poll();
    connection->WriteNow(bytes.substr(split_at));
    REQUIRE(fixture.WaitForText(connection, "POST /c chunk"));
    connection->Close();
  }
  CHECK(fixture.requests.size() == bytes.size() - 1);
}

TEST_CASE("an ambiguous request is rejected, and what follows it is not taken for a request") {
  const std::string smuggled = Get("/smuggled");
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"both framings", post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"both framings, other order",
       post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n"},
      {"two lengths", post + "Content-Length: 5\r\nContent-Length: 0\r\n\r\n"},
      {"the same length twice", post + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n"},
      {"a list of lengths", post + "Content-Length: 0, 5\r\n\r\n"},
      {"a length with a sign", post + "Content-Length: +0\r\n\r\n"},
      {"a length that is none", post + "Content-Length: 0x5\r\n\r\n"},
      {"two codings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"a coding unknown", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
      {"chunked not last", post + "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n"},
      {"identity", post + "Transfer-Encoding: identity\r\n\r\n"},
      {"chunked in HTTP/1.0", "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
      {"a bad chunk", post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n"},
      {"a chunk too long", post + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"},
      {"two Hosts", "GET /x HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n"},
      {"no Host", "GET /x HTTP/1.1\r\n\r\n"},
      {"a space before the colon", "GET /x HTTP/1.1\r\nHost: h\r\nContent-Length : 5\r\n\r\n"},
      {"a field without a name", "GET /x HTTP/1.1\r\nHost: h\r\n: 5\r\n\r\n"},
      {"a zero byte", "GET /x HTTP/1.1\r\nHost: h\r\nX-Own: a" + std::string(1, 0) + "b\r\n\r\n"},
      {"a bare return", "GET /x HTTP/1.1\r\nHost: h\r\nX-Own: a\rX: b\r\n\r\n"},
      {"bare line feeds", "GET /x HTTP/1.1\nHost: h\n\n"},
      {"a bare line feed in a field", "GET /x HTTP/1.1\r\nHost: h\r\nX-Own: a\nContent-Length: 5\r\n\r\n"},
      {"no path", "GET x HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"a tunnel", "CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n"},
      {"no HTTP", "\x16\x03\x01 garbage\r\n\r\n"},
      {"another version", "GET /x HTTP/2.0\r\nHost: h\r\n\r\n"},
  };
  for (const auto& [name, bytes] : cases) {
    INFO(name);
    ServerFixture fixture({}, Echo);
    const auto connection = fixture.SendBytes(bytes + smuggled);
    REQUIRE(fixture.WaitForText(connection, "HTTP/1.1 "));
    CHECK(connection->received.find("HTTP/1.1 400 ") == 0);
    CHECK(connection->received.find("Connection: close\r\n") != std::string::npos);
    REQUIRE(RunUntil(fixture.io, [&] { return connection->ended; }));
    CHECK(fixture.requests.empty());
    CHECK(Count(connection->received, "HTTP/1.1 ") == 1);
  }
}

// RFC 9112, section 6.3 allows both ways of handling a list of equal lengths.
TEST_CASE("a list of equal lengths is accepted as that length or rejected") {
  ServerFixture fixture({}, Echo);
  const auto connection =
      fixture.SendBytes("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc" + Get("/2"));
  REQUIRE(fixture.WaitForText(connection, "\r\n\r\n"));
  if (connection->received.find("HTTP/1.1 400 ") == 0) {
    CHECK(fixture.requests.empty());
  } else {
    REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 2; }));
    CHECK(fixture.requests[0].body == "abc");
    CHECK(fixture.requests[1].target == "/2");
    CHECK(fixture.requests[0].headers == Headers{{"Host", "h"}});  // the list is not forwarded
  }
}

TEST_CASE("a folded header is rejected or unfolded, and never becomes a header of its own") {
  ServerFixture fixture({}, Echo);
  const auto connection =
      fixture.SendBytes("GET /x HTTP/1.1\r\nHost: h\r\nX-Own: a\r\n Content-Length: 5\r\n\r\n" + Get("/2"));
  REQUIRE(fixture.WaitForText(connection, "\r\n\r\n"));
  if (!fixture.requests.empty()) {
    CHECK(fixture.requests[0].body.empty());
    for (const auto& [name, value] : fixture.requests[0].headers)
      CHECK(value.find_first_of(std::string("\r\n\0", 3)) == std::string::npos);
  } else {
    CHECK(connection->received.find("HTTP/1.1 400 ") == 0);
  }
}

TEST_CASE("oversized headers and bodies are rejected with 431 and 413") {
  HttpServer::Limits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 1000;
  ServerFixture fixture(limits, Echo);
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  CHECK(
      fixture.SendAndReceive(Get("/x", "X-Own: " + std::string(2000, 'x') + "\r\n")).find("HTTP/1.1 431 ") ==
      0);
  CHECK(fixture.SendAndReceive("GET /" + std::string(5000, 'x')).find("HTTP/1.1 431 ") == 0);  // incomplete
  CHECK(fixture.SendAndReceive(post + "Content-Length: 1001\r\n\r\n").find("HTTP/1.1 413 ") == 0);
  CHECK(fixture.SendAndReceive(post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x'))
            .find("HTTP/1.1 413 ") == 0);
  // Neither ends, so that the parser takes nothing of them.
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n1";
  CHECK(fixture.SendAndReceive(chunked + ";name=" + std::string(2000, 'x')).find("HTTP/1.1 431 ") == 0);
  CHECK(
      fixture.SendAndReceive(chunked + "\r\nx\r\n0\r\nA: " + std::string(2000, 'x')).find("HTTP/1.1 431 ") ==
      0);
  std::string many;
  for (int i = 0; i < 150; ++i) many += "A: \r\n";
  CHECK(fixture.SendAndReceive(Get("/x", many)).find("HTTP/1.1 431 ") == 0);
  CHECK(fixture.requests.empty());
  const auto connection = fixture.SendBytes(post + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
  REQUIRE(fixture.WaitForText(connection, "POST /x x"));
}

TEST_CASE("the buffered bodies of all connections are bounded, and finished requests release theirs") {
  constexpr std::size_t kBody = 100'000;
  ServerFixture fixture({}, AccountLimits{.small = 1 << 20, .large = 3 * kBody});
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kBody) +
                           "\r\n\r\n" + std::string(kBody, 'x');
  const auto first = fixture.SendBytes(post);
  const auto second = fixture.SendBytes(post);
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 2; }));
  CHECK(fixture.SendAndReceive(post).find("HTTP/1.1 503 ") == 0);
  CHECK(fixture.server.counters().refused_bodies == 1);
  const auto small = fixture.SendBytes(Get("/small"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 3; }));
  HttpServer::Respond(fixture.sessions[0], 200, {}, "");
  REQUIRE(fixture.WaitForText(first, "200 OK"));
  const auto third = fixture.SendBytes(post);
  CHECK(RunUntil(fixture.io, [&] { return fixture.requests.size() == 4; }));
  CHECK(fixture.account.IsWithinLimits());
}

TEST_CASE("what connections hold is charged while they hold it") {
  ServerFixture fixture({}, Echo);
  const auto charged = [&] {
    return fixture.account.charged(memory::BufferAccount::Pool::kSmall) +
           fixture.account.charged(memory::BufferAccount::Pool::kLarge);
  };
  constexpr std::size_t kBody = 300'000;
  const auto connection =
      fixture.SendBytes("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kBody) +
                        "\r\n\r\n" + std::string(kBody - 1, 'x'));
  REQUIRE(RunUntil(fixture.io, [&] { return charged() >= kBody - 1; }));
  connection->Write("x");
  REQUIRE(fixture.WaitForText(connection, "POST /x"));
  REQUIRE(RunUntil(fixture.io, [&] { return connection->received.size() > kBody; }));
  CHECK(RunUntil(fixture.io, [&] { return charged() < 1000; }));
}

// Guards against responses that are kept for clients that do not read them.
TEST_CASE("a client that reads nothing is evicted in favor of another response") {
  constexpr std::size_t kBody = std::size_t{24} << 20;
  ServerFixture fixture(
      {},
      [](const auto& session, const auto&) {
        HttpServer::Respond(session, 200, {}, std::string(kBody, 'x'));
      },
      AccountLimits{.small = 1 << 20, .large = kBody + (std::size_t{1} << 20)});
  const auto stalled = RawConnection::ConnectWithoutReading(fixture.io, fixture.port);
  stalled->Write(Get("/first"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
  RunFor(fixture.io, 400);
  const auto reader = RawConnection::ConnectWithoutReading(fixture.io, fixture.port);
  reader->Write(Get("/second"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.server.counters().evicted == 1; }));
  reader->Read();
  CHECK(RunUntil(fixture.io, [&] { return reader->received.size() > kBody; }));
  CHECK(fixture.account.IsWithinLimits());
}

// Guards against responses that wait for their client without an end of time.
TEST_CASE("a client that reads nothing is given up after the grace period") {
  constexpr std::size_t kBody = std::size_t{24} << 20;
  HttpServer::Limits limits;
  limits.response_grace_ms = 1;
  ServerFixture fixture(limits, [](const auto& session, const auto&) {
    HttpServer::Begin(session, 200, {}, kBody);
    HttpServer::Write(session, std::string(kBody, 'x'));
  });
  const auto connection = RawConnection::ConnectWithoutReading(fixture.io, fixture.port);
  connection->Write(Get("/x"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
  // What was read until the response blocked counts for the rate; nothing is read afterwards.
  CHECK(RunUntil(fixture.io, [&] { return fixture.server.counters().too_slow == 1; }));
  CHECK(fixture.disconnects == 1);
  CHECK(fixture.server.sessions() == 0);
}

TEST_CASE("Expect: 100-continue is answered") {
  ServerFixture fixture({}, Echo);
  const auto connection =
      fixture.SendBytes("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  REQUIRE(fixture.WaitForText(connection, "HTTP/1.1 100 Continue\r\n\r\n"));
  CHECK(fixture.requests.empty());
  connection->Write("body");
  REQUIRE(fixture.WaitForText(connection, "POST /x body"));
  CHECK(Count(connection->received, "HTTP/1.1 100") == 1);
  CHECK(fixture.requests[0].headers == Headers{{"Host", "h"}});
}

TEST_CASE("a response to HEAD has a length and no body, whether sent whole or streamed") {
  ServerFixture fixture({}, [](const auto& session, const HttpRequest& in) {
    if (in.target == "/whole") return HttpServer::Respond(session, 200, {}, "hello");
    HttpServer::Begin(session, 200, {}, in.target == "/chunks" ? -1 : 5);
    HttpServer::Write(session, "hello");
    HttpServer::Finish(session);
  });
  for (const char* target : {"/whole", "/length", "/chunks"}) {
    INFO(target);
    const auto connection = fixture.SendBytes("HEAD " + std::string(target) + " HTTP/1.1\r\nHost: h\r\n\r\n" +
                                              "HEAD /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(RunUntil(fixture.io, [&] { return connection->ended; }));
    CHECK(Count(connection->received, "HTTP/1.1 200 OK") == 2);
    CHECK(connection->received.find("hello") == std::string::npos);
    CHECK(connection->received.find("0\r\n\r\nH") == std::string::npos);
  }
}

TEST_CASE("responses are streamed in chunks or with Content-Length, without waiting for the end") {
  ServerFixture fixture;
  const auto connection = fixture.SendBytes(Get("/1") + Get("/2", "Connection: close\r\n"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
  HttpServer::Begin(fixture.sessions[0], 200, {}, -1);
  HttpServer::Write(fixture.sessions[0], "abc");
  HttpServer::Write(fixture.sessions[0], "");  // must not be sent as the final chunk
  REQUIRE(fixture.WaitForText(connection, "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
  CHECK(fixture.requests.size() == 1);
  HttpServer::Write(fixture.sessions[0], std::string(20, 'd'));
  HttpServer::Finish(fixture.sessions[0]);
  REQUIRE(fixture.WaitForText(connection, "14\r\n" + std::string(20, 'd') + "\r\n0\r\n\r\n"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 2; }));
  HttpServer::Begin(fixture.sessions[1], 200, {}, 6);
  HttpServer::Write(fixture.sessions[1], "abc");
  HttpServer::Write(fixture.sessions[1], "def");
  HttpServer::Finish(fixture.sessions[1]);
  REQUIRE(RunUntil(fixture.io, [&] { return connection->ended; }));
  CHECK(connection->received.find("Content-Length: 6\r\nConnection: close\r\n\r\nabcdef") !=
        std::string::npos);
  CHECK_FALSE(connection->reset);
}

TEST_CASE("an HTTP/1.0 response of unknown length ends with the connection and is not chunked") {
  ServerFixture fixture({}, [](const auto& session, const HttpRequest&) {
    HttpServer::Begin(session, 200, {}, -1);
    HttpServer::Write(session, "abc");
    HttpServer::Finish(session);
  });
  const std::string got =
      fixture.SendAndReceive("GET /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
  CHECK(got.substr(got.size() - 7) == "\r\n\r\nabc");
  CHECK(got.find("chunked") == std::string::npos);
}

TEST_CASE("the client can detect an aborted response") {
  for (const std::int64_t length : {std::int64_t{-1}, std::int64_t{100}}) {
    for (const char* version : {"1.1", "1.0"}) {
      INFO(length << ' ' << version);
      ServerFixture fixture;
      const auto connection =
          fixture.SendBytes(std::string("GET /x HTTP/") + version + "\r\nHost: h\r\n\r\n");
      REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
      HttpServer::Begin(fixture.sessions[0], 200, {}, length);
      HttpServer::Write(fixture.sessions[0], "abc");
      REQUIRE(fixture.WaitForText(connection, "abc"));
      HttpServer::Abort(fixture.sessions[0]);
      REQUIRE(RunUntil(fixture.io, [&] { return connection->ended; }));
      CHECK(connection->received.find("0\r\n\r\n", connection->received.find("abc")) == std::string::npos);
      CHECK(connection->reset);
      CHECK(fixture.disconnects == 0);
      CHECK(fixture.server.sessions() == 0);
      HttpServer::Finish(fixture.sessions[0]);  // has no effect any more
    }
  }
}

TEST_CASE("a disconnect with a response pending is reported once, and later responses have no effect") {
  ServerFixture fixture;
  const auto connection = fixture.SendBytes(Get("/x"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
  CHECK(fixture.server.busy() == 1);
  connection->Close();
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.disconnects > 0; }));
  HttpServer::Respond(fixture.sessions[0], 200, {}, "late");
  HttpServer::Abort(fixture.sessions[0]);
  RunFor(fixture.io, 20);
  CHECK(fixture.disconnects == 1);
  CHECK(fixture.server.busy() == 0);
  CHECK(fixture.server.sessions() == 0);

  // Not reported without a pending response.
  const auto incomplete = fixture.SendBytes("GET /x HT");
  const auto done = fixture.SendBytes(Get("/y"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 2; }));
  HttpServer::Respond(fixture.sessions[1], 200, {}, "");
  REQUIRE(fixture.WaitForText(done, "200 OK"));
  incomplete->Close();
  done->Close();
  CHECK(RunUntil(fixture.io, [&] { return fixture.server.sessions() == 0; }));
  CHECK(fixture.disconnects == 1);
}

TEST_CASE("a slow header is rejected with 408, and an idle connection is closed silently") {
  HttpServer::Limits limits;
  limits.header_timeout_ms = limits.idle_timeout_ms = 1;
  ServerFixture fixture(limits, Echo);
  const auto slow_header = fixture.SendBytes("GET /x HTTP/1.1\r\nHo");
  const auto idle = fixture.Connect();
  REQUIRE(RunUntil(fixture.io, [&] { return slow_header->ended && idle->ended; }));
  CHECK(slow_header->received.find("HTTP/1.1 408 ") == 0);
  CHECK(idle->received.empty());
  CHECK(fixture.requests.empty());
  CHECK(RunUntil(fixture.io, [&] { return fixture.server.sessions() == 0; }));
}

TEST_CASE("the timeouts don't apply while a response is pending") {
  HttpServer::Limits limits;
  limits.header_timeout_ms = limits.idle_timeout_ms = 1;
  ServerFixture fixture(limits);
  const auto connection = fixture.SendBytes(Get("/x"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
  RunFor(fixture.io, 600);  // two sweeps
  HttpServer::Respond(fixture.sessions[0], 200, {}, "slow");
  CHECK(fixture.WaitForText(connection, "slow"));
}

TEST_CASE("at the connection limit the oldest idle connection is closed, but never a busy one") {
  HttpServer::Limits limits;
  limits.max_connections = 2;
  ServerFixture fixture(limits);
  const auto busy = fixture.SendBytes(Get("/x"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 1; }));
  const auto idle = fixture.Connect();
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.server.sessions() == 2; }));
  const auto third = fixture.SendBytes(Get("/y"));
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.requests.size() == 2; }));
  CHECK(RunUntil(fixture.io, [&] { return idle->ended; }));
  const auto fourth = fixture.Connect();
  CHECK(RunUntil(fixture.io, [&] { return fourth->ended; }));
  HttpServer::Respond(fixture.sessions[0], 200, {}, "x");
  CHECK(fixture.WaitForText(busy, "200 OK"));
}

TEST_CASE("requests that have arrived by the end are answered, on kept connections and on new ones") {
  ServerFixture fixture({}, Echo);
  const auto kept = fixture.SendBytes(Get("/first"));
  REQUIRE(fixture.WaitForText(kept, "GET /first"));
  fixture.server.SetDraining();
  kept->WriteNow(Get("/kept"));
  const auto fresh = fixture.Connect();  // in the listener's queue, as the loop does not run
  fresh->WriteNow(Get("/fresh"));
  fixture.server.HandleArrived();
  REQUIRE(fixture.requests.size() == 3);
  CHECK(fixture.server.busy() == 0);
  CHECK(fixture.WaitForText(kept, "GET /kept"));
  CHECK(fixture.WaitForText(fresh, "GET /fresh"));
}

TEST_CASE("responses carry Connection: close while draining") {
  ServerFixture fixture({}, Echo);
  const auto connection = fixture.SendBytes(Get("/1"));
  REQUIRE(fixture.WaitForText(connection, "GET /1"));
  fixture.server.SetDraining();
  CHECK_FALSE(connection->ended);
  connection->Write(Get("/2"));
  REQUIRE(fixture.WaitForText(connection, "GET /2"));
  CHECK(connection->received.find("Connection: close\r\n") != std::string::npos);
  CHECK(RunUntil(fixture.io, [&] { return connection->ended; }));
}

}  // namespace
}  // namespace fennelhollow::egress
