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

struct Bench {
  explicit Bench(const HttpServer::Limits& limits = {}) : Bench(limits, [](auto&, auto&) {}) {}
  // `answer`: what is done with each request as it comes.
  Bench(const HttpServer::Limits& limits,
        std::function<void(const HttpServer::SessionPtr&, const HttpRequest&)> answer)
      : port(loopback::FreePort(io)),
        server(io, {"127.0.0.1", port}, limits,
               {[this, answer](const HttpServer::SessionPtr& session, HttpRequest in) {
                  sessions.push_back(session);
                  requests.push_back(in);
                  answer(session, requests.back());
                },
                [this](const HttpServer::SessionPtr&) { ++gone; }}) {}
  RawConnectionPtr Dial() { return RawConnection::Connect(io, port); }
  RawConnectionPtr Say(const std::string& bytes) {
    auto raw = Dial();
    raw->Write(bytes);
    return raw;
  }
  // What is answered to these bytes, up to the connection's end.
  std::string Answer(const std::string& bytes) {
    const auto raw = Say(bytes);
    REQUIRE(RunUntil(io, [&] { return raw->ended; }));
    return raw->received;
  }
  bool Got(const RawConnectionPtr& raw, const std::string& text) {
    return RunUntil(io, [&] { return raw->received.find(text) != std::string::npos; });
  }
  asio::io_context io;
  std::uint16_t port;
  std::vector<HttpServer::SessionPtr> sessions;
  std::vector<HttpRequest> requests;
  int gone = 0;
  HttpServer server;
};

void Echo(const HttpServer::SessionPtr& session, const HttpRequest& in) {
  HttpServer::Respond(session, 200, {{"X-Own", "1"}}, in.method + " " + in.target + " " + in.body);
}

std::string Get(const std::string& target, const std::string& more = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
}

int Count(const std::string& text, const std::string& part) {
  int n = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++n;
  return n;
}

TEST_CASE("requests follow each other on a connection, what concerns the connection is not handed on") {
  Bench bench({}, Echo);
  const auto raw = bench.Say(Get(
      "/a",
      "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Own: 2\r\nTE: trailers\r\n"));
  REQUIRE(bench.Got(raw, "GET /a "));
  CHECK(raw->received.find("HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 7\r\n\r\n") == 0);
  CHECK(bench.requests[0].headers == Headers{{"Host", "h"}, {"X-Own", "2"}});
  CHECK(bench.requests[0].host == "h");
  raw->Write("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
  REQUIRE(bench.Got(raw, "POST /b body"));
  raw->Write(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n2\r\nch\r\n3;x=y\r\nunk\r\n0\r\n\r\n");
  REQUIRE(bench.Got(raw, "POST /c chunk"));
  for (const HttpRequest& in : bench.requests)
    for (const auto& [name, value] : in.headers) CHECK((name == "Host" || name == "X-Own"));
  CHECK_FALSE(raw->ended);
  CHECK(bench.server.sessions() == 1);
  CHECK(bench.server.busy() == 0);
}

TEST_CASE("pipelined requests are handed over one at a time and answered in order") {
  Bench bench;
  const auto raw =
      bench.Say("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx" + Get("/2") + Get("/3"));
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == i + 1; }));
    RunFor(bench.io, 20);
    REQUIRE(bench.requests.size() == i + 1);  // none before the one ahead has its answer
    HttpServer::Respond(bench.sessions[i], 200, {}, "<" + bench.requests[i].target + ">");
  }
  REQUIRE(bench.Got(raw, "</3>"));
  CHECK(raw->received.find("</1>") < raw->received.find("</2>"));
  CHECK(raw->received.find("</2>") < raw->received.find("</3>"));
  CHECK(Count(raw->received, "HTTP/1.1 200") == 3);
}

TEST_CASE("a request cut at any byte is the same request") {
  const std::string bytes =
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nch\r\n3\r\nunk\r\n0\r\n\r\n";
  Bench bench({}, Echo);
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    const auto raw = bench.Dial();
    raw->WriteNow(bytes.substr(0, cut));
    for (int turn = 0; turn < 4; ++turn) bench.io.restart(), bench.io.poll();
    raw->WriteNow(bytes.substr(cut));
    REQUIRE(bench.Got(raw, "POST /c chunk"));
    raw->Close();
  }
  CHECK(bench.requests.size() == bytes.size() - 1);
}

TEST_CASE("what is in doubt is turned away, and nothing behind it is taken for a request") {
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
    Bench bench({}, Echo);
    const auto raw = bench.Say(bytes + smuggled);
    REQUIRE(bench.Got(raw, "HTTP/1.1 "));
    CHECK(raw->received.find("HTTP/1.1 400 ") == 0);
    CHECK(raw->received.find("Connection: close\r\n") != std::string::npos);
    REQUIRE(RunUntil(bench.io, [&] { return raw->ended; }));
    CHECK(bench.requests.empty());
    CHECK(Count(raw->received, "HTTP/1.1 ") == 1);
  }
}

// RFC 9112, 6.3 lets a list of one and the same length be taken as that length.
TEST_CASE("a list of equal lengths is that length, or turned away") {
  Bench bench({}, Echo);
  const auto raw = bench.Say("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\nabc" + Get("/2"));
  REQUIRE(bench.Got(raw, "\r\n\r\n"));
  if (raw->received.find("HTTP/1.1 400 ") == 0) {
    CHECK(bench.requests.empty());
  } else {
    REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 2; }));
    CHECK(bench.requests[0].body == "abc");
    CHECK(bench.requests[1].target == "/2");
    CHECK(bench.requests[0].headers == Headers{{"Host", "h"}});  // the list goes no further
  }
}

TEST_CASE("a folded field is turned away or one line, and no field of its own") {
  Bench bench({}, Echo);
  const auto raw =
      bench.Say("GET /x HTTP/1.1\r\nHost: h\r\nX-Own: a\r\n Content-Length: 5\r\n\r\n" + Get("/2"));
  REQUIRE(bench.Got(raw, "\r\n\r\n"));
  if (!bench.requests.empty()) {
    CHECK(bench.requests[0].body.empty());
    for (const auto& [name, value] : bench.requests[0].headers)
      CHECK(value.find_first_of(std::string("\r\n\0", 3)) == std::string::npos);
  } else {
    CHECK(raw->received.find("HTTP/1.1 400 ") == 0);
  }
}

TEST_CASE("headers and bodies beyond their limit are turned away by their own status") {
  HttpServer::Limits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 1000;
  Bench bench(limits, Echo);
  const std::string post = "POST /x HTTP/1.1\r\nHost: h\r\n";
  CHECK(bench.Answer(Get("/x", "X-Own: " + std::string(2000, 'x') + "\r\n")).find("HTTP/1.1 431 ") == 0);
  CHECK(bench.Answer("GET /" + std::string(5000, 'x')).find("HTTP/1.1 431 ") == 0);  // without an end
  CHECK(bench.Answer(post + "Content-Length: 1001\r\n\r\n").find("HTTP/1.1 413 ") == 0);
  CHECK(bench.Answer(post + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x'))
            .find("HTTP/1.1 413 ") == 0);
  std::string many;
  for (int i = 0; i < 150; ++i) many += "A: \r\n";
  CHECK(bench.Answer(Get("/x", many)).find("HTTP/1.1 431 ") == 0);
  CHECK(bench.requests.empty());
  const auto raw = bench.Say(post + "Content-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
  REQUIRE(bench.Got(raw, "POST /x x"));
}

TEST_CASE("bodies of all connections together are bounded, and what is over gives its room back") {
  HttpServer::Limits limits;
  limits.max_buffered_bytes = 1500;
  Bench bench(limits);
  const std::string post =
      "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
  const auto first = bench.Say(post);
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 1; }));
  CHECK(bench.Answer(post).find("HTTP/1.1 503 ") == 0);
  HttpServer::Respond(bench.sessions[0], 200, {}, "");
  REQUIRE(bench.Got(first, "200 OK"));
  const auto third = bench.Say(post);
  CHECK(RunUntil(bench.io, [&] { return bench.requests.size() == 2; }));
}

TEST_CASE("a client that waits to be told to go on is") {
  Bench bench({}, Echo);
  const auto raw =
      bench.Say("POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  REQUIRE(bench.Got(raw, "HTTP/1.1 100 Continue\r\n\r\n"));
  CHECK(bench.requests.empty());
  raw->Write("body");
  REQUIRE(bench.Got(raw, "POST /x body"));
  CHECK(Count(raw->received, "HTTP/1.1 100") == 1);
  CHECK(bench.requests[0].headers == Headers{{"Host", "h"}});
}

TEST_CASE("an answer to HEAD has a length and no body, whole or in pieces") {
  Bench bench({}, [](const auto& session, const HttpRequest& in) {
    if (in.target == "/whole") return HttpServer::Respond(session, 200, {}, "hello");
    HttpServer::Begin(session, 200, {}, in.target == "/chunks" ? -1 : 5);
    HttpServer::Write(session, "hello");
    HttpServer::Finish(session);
  });
  for (const char* target : {"/whole", "/length", "/chunks"}) {
    INFO(target);
    const auto raw = bench.Say("HEAD " + std::string(target) + " HTTP/1.1\r\nHost: h\r\n\r\n" +
                               "HEAD /whole HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    REQUIRE(RunUntil(bench.io, [&] { return raw->ended; }));
    CHECK(Count(raw->received, "HTTP/1.1 200 OK") == 2);
    CHECK(raw->received.find("hello") == std::string::npos);
    CHECK(raw->received.find("0\r\n\r\nH") == std::string::npos);
  }
}

TEST_CASE("an answer in pieces, in chunks and with a length, none of it before its time") {
  Bench bench;
  const auto raw = bench.Say(Get("/1") + Get("/2", "Connection: close\r\n"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 1; }));
  HttpServer::Begin(bench.sessions[0], 200, {}, -1);
  HttpServer::Write(bench.sessions[0], "abc");
  HttpServer::Write(bench.sessions[0], "");  // would be the end
  REQUIRE(bench.Got(raw, "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"));
  CHECK(bench.requests.size() == 1);
  HttpServer::Write(bench.sessions[0], std::string(20, 'd'));
  HttpServer::Finish(bench.sessions[0]);
  REQUIRE(bench.Got(raw, "14\r\n" + std::string(20, 'd') + "\r\n0\r\n\r\n"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 2; }));
  HttpServer::Begin(bench.sessions[1], 200, {}, 6);
  HttpServer::Write(bench.sessions[1], "abc");
  HttpServer::Write(bench.sessions[1], "def");
  HttpServer::Finish(bench.sessions[1]);
  REQUIRE(RunUntil(bench.io, [&] { return raw->ended; }));
  CHECK(raw->received.find("Content-Length: 6\r\nConnection: close\r\n\r\nabcdef") != std::string::npos);
  CHECK_FALSE(raw->reset);
}

TEST_CASE("to HTTP/1.0 a body of unknown length ends with its connection, without chunks") {
  Bench bench({}, [](const auto& session, const HttpRequest&) {
    HttpServer::Begin(session, 200, {}, -1);
    HttpServer::Write(session, "abc");
    HttpServer::Finish(session);
  });
  const std::string got = bench.Answer("GET /x HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
  CHECK(got.substr(got.size() - 7) == "\r\n\r\nabc");
  CHECK(got.find("chunked") == std::string::npos);
}

TEST_CASE("an answer that is given up can be seen to be cut") {
  for (const std::int64_t length : {std::int64_t{-1}, std::int64_t{100}}) {
    for (const char* version : {"1.1", "1.0"}) {
      INFO(length << ' ' << version);
      Bench bench;
      const auto raw = bench.Say(std::string("GET /x HTTP/") + version + "\r\nHost: h\r\n\r\n");
      REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 1; }));
      HttpServer::Begin(bench.sessions[0], 200, {}, length);
      HttpServer::Write(bench.sessions[0], "abc");
      REQUIRE(bench.Got(raw, "abc"));
      HttpServer::Abort(bench.sessions[0]);
      REQUIRE(RunUntil(bench.io, [&] { return raw->ended; }));
      CHECK(raw->received.find("0\r\n\r\n", raw->received.find("abc")) == std::string::npos);
      CHECK(raw->reset);
      CHECK(bench.gone == 0);
      CHECK(bench.server.sessions() == 0);
      HttpServer::Finish(bench.sessions[0]);  // what is late does nothing
    }
  }
}

TEST_CASE("a client that leaves while its answer is owed is told once, and late answers do nothing") {
  Bench bench;
  const auto raw = bench.Say(Get("/x"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 1; }));
  CHECK(bench.server.busy() == 1);
  raw->Close();
  REQUIRE(RunUntil(bench.io, [&] { return bench.gone > 0; }));
  HttpServer::Respond(bench.sessions[0], 200, {}, "late");
  HttpServer::Abort(bench.sessions[0]);
  RunFor(bench.io, 20);
  CHECK(bench.gone == 1);
  CHECK(bench.server.busy() == 0);
  CHECK(bench.server.sessions() == 0);

  // Before its request is whole, or after its answer, nothing is owed.
  const auto half = bench.Say("GET /x HT");
  const auto done = bench.Say(Get("/y"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 2; }));
  HttpServer::Respond(bench.sessions[1], 200, {}, "");
  REQUIRE(bench.Got(done, "200 OK"));
  half->Close();
  done->Close();
  CHECK(RunUntil(bench.io, [&] { return bench.server.sessions() == 0; }));
  CHECK(bench.gone == 1);
}

TEST_CASE("a header that trickles is ended by 408, a connection that rests without a word") {
  HttpServer::Limits limits;
  limits.header_timeout_ms = limits.idle_timeout_ms = 1;
  Bench bench(limits, Echo);
  const auto trickles = bench.Say("GET /x HTTP/1.1\r\nHo");
  const auto rests = bench.Dial();
  REQUIRE(RunUntil(bench.io, [&] { return trickles->ended && rests->ended; }));
  CHECK(trickles->received.find("HTTP/1.1 408 ") == 0);
  CHECK(rests->received.empty());
  CHECK(bench.requests.empty());
  CHECK(RunUntil(bench.io, [&] { return bench.server.sessions() == 0; }));
}

TEST_CASE("an answer that is owed is not cut by the time limits") {
  HttpServer::Limits limits;
  limits.header_timeout_ms = limits.idle_timeout_ms = 1;
  Bench bench(limits);
  const auto raw = bench.Say(Get("/x"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 1; }));
  RunFor(bench.io, 600);  // two sweeps
  HttpServer::Respond(bench.sessions[0], 200, {}, "slow");
  CHECK(bench.Got(raw, "slow"));
}

TEST_CASE("beyond the most connections the one that rests longest makes room, never a busy one") {
  HttpServer::Limits limits;
  limits.max_connections = 2;
  Bench bench(limits);
  const auto busy = bench.Say(Get("/x"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 1; }));
  const auto rests = bench.Dial();
  REQUIRE(RunUntil(bench.io, [&] { return bench.server.sessions() == 2; }));
  const auto third = bench.Say(Get("/y"));
  REQUIRE(RunUntil(bench.io, [&] { return bench.requests.size() == 2; }));
  CHECK(RunUntil(bench.io, [&] { return rests->ended; }));
  const auto fourth = bench.Dial();
  CHECK(RunUntil(bench.io, [&] { return fourth->ended; }));
  HttpServer::Respond(bench.sessions[0], 200, {}, "x");
  CHECK(bench.Got(busy, "200 OK"));
}

TEST_CASE("draining, answers say that they are the last of their connection") {
  Bench bench({}, Echo);
  const auto raw = bench.Say(Get("/1"));
  REQUIRE(bench.Got(raw, "GET /1"));
  bench.server.SetDraining();
  CHECK_FALSE(raw->ended);
  raw->Write(Get("/2"));
  REQUIRE(bench.Got(raw, "GET /2"));
  CHECK(raw->received.find("Connection: close\r\n") != std::string::npos);
  CHECK(RunUntil(bench.io, [&] { return raw->ended; }));
}

}  // namespace
}  // namespace fennelhollow::egress
