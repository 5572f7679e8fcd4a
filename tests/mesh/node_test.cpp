#include <prometheus/counter.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "loopback.hpp"
#include "mesh/control/command.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/node/metrics_endpoint.hpp"
#include "mesh/node/peer_links.hpp"
#include "mesh/node/worker.hpp"

namespace fennelhollow::node {
namespace {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

TEST_CASE("a worker works in order, says so on the loop, and is bounded") {
  asio::io_context io;
  std::vector<int> worked, done;
  {
    Worker worker(io, 3);
    for (int i = 0; i < 3; ++i) {
      REQUIRE(worker.Run([&worked, i] { worked.push_back(i); }, [&done, i] { done.push_back(i); }));
    }
    CHECK_FALSE(worker.Run([] {}, [] {}));  // none is done before the loop runs
    while (done.size() < 3) io.run_one();
    CHECK(worker.pending() == 0);
    REQUIRE(worker.Run([] {}, [&done] { done.push_back(99); }));
  }
  io.run();
  CHECK(worked == std::vector<int>{0, 1, 2});
  CHECK(done == worked);
}

struct Server {
  asio::io_context io;
  std::vector<Command> commands;
  std::vector<ControlListener::Reply> replies;  // kept back while `hold`
  bool hold = false;
  std::unique_ptr<ControlListener> listener;

  explicit Server(ControlListener::Limits limits = {}) {
    listener =
        std::make_unique<ControlListener>(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), limits,
                                          [this](Command command, ControlListener::Reply reply) {
                                            commands.push_back(std::move(command));
                                            if (hold) return replies.push_back(std::move(reply));
                                            reply(Response{200, "{\"n\":1}", {{"Location", "here"}}});
                                          });
  }
  Tcp::socket Dial() {
    Tcp::socket socket(io);
    socket.connect(listener->address());
    return socket;
  }
  static void Say(Tcp::socket& socket, const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  // Reads until it has come `times`, or the connection has ended.
  std::string Hear(Tcp::socket& socket, const std::string& until, std::size_t times = 1) {
    std::string heard, part(4096, '\0');
    const auto count = [&] {
      std::size_t n = 0;
      for (std::size_t at = heard.find(until); at != std::string::npos; at = heard.find(until, at + 1)) ++n;
      return n;
    };
    bool ended = false;
    while (!ended && count() < times) {
      bool read = false;
      socket.async_read_some(asio::buffer(part), [&](ErrorCode error, std::size_t bytes) {
        heard.append(part, 0, bytes);
        ended = static_cast<bool>(error);
        read = true;
      });
      while (!read) io.run_one();
    }
    return ended ? heard + "<end>" : heard;
  }
};

TEST_CASE("links to peers: refused is told apart from down, and what was sent comes once, in order") {
  asio::io_context io;
  merlinrun::net::AsioLoop loop(io);
  std::vector<std::string> down, refused;
  PeerLinks links(io, loop, {.purpose = transport::Purpose::kCore, .from = "core", .address = "127.0.0.1:1"},
                  {[&](const std::string& peer) { down.push_back(peer); },
                   [&](const std::string& peer) { refused.push_back(peer); }});
  const auto run = [&](const std::function<bool()>& condition) { return loopback::RunUntil(io, condition); };
  const std::string dead = "127.0.0.1:" + std::to_string(loopback::FreePort(io));
  links.Send(dead, "x");
  REQUIRE(run([&] { return refused.size() == 1; }));
  CHECK((refused[0] == dead && down == refused));
  CHECK_FALSE(links.Send(dead, "x"));  // in its pause
  CHECK_FALSE(links.Send("127.0.0.1:1", "to itself"));

  std::vector<std::string> frames;
  std::shared_ptr<transport::Link> accepted;
  const std::uint16_t port = loopback::FreePort(io);
  transport::Listener listener(io, "127.0.0.1", port, {}, [&](std::shared_ptr<transport::Link> link) {
    accepted = std::move(link);
    accepted->Start({[&](std::string_view frame) { frames.emplace_back(frame); }, [] {}, nullptr});
  });
  const std::string peer = "127.0.0.1:" + std::to_string(port);
  REQUIRE(links.Send(peer, "first"));
  REQUIRE(links.Send(peer, "second"));
  REQUIRE(run([&] { return frames.size() == 3; }));
  CHECK(transport::Unpack<transport::Hello>(frames[0])->purpose == transport::Purpose::kCore);
  CHECK((frames[1] == "first" && frames[2] == "second"));
  CHECK(links.dials() == 2);
  accepted->Close();
  REQUIRE(run([&] { return down.size() == 2; }));
  CHECK((down[1] == peer && refused.size() == 1));
}

TEST_CASE("calls over HTTP: kept connections, several at once, chunks, 100-continue") {
  Server server;
  Tcp::socket socket = server.Dial();
  const std::string beat =
      "POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
  Server::Say(socket, beat + beat);
  const std::string two = server.Hear(socket, "{\"n\":1}", 2);
  CHECK(two.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK(two.find("Content-Length: 7\r\n") != std::string::npos);
  CHECK(two.find("Location: here\r\n") != std::string::npos);
  Server::Say(socket,
              "POST /-/Configuration.Replace HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  server.Hear(socket, "{\"n\":1}");
  CHECK(std::get<control::Replace>(server.commands.back()).body == "abcde");
  const std::string large(200'000, 'x');
  Server::Say(socket,
              "POST /-/Configuration.Modify HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
              "200000\r\n\r\n");
  CHECK(server.Hear(socket, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  bool written = false;
  asio::async_write(socket, asio::buffer(large), [&](ErrorCode, std::size_t) { written = true; });
  server.Hear(socket, "{\"n\":1}");
  CHECK(written);
  CHECK(std::get<control::Modify>(server.commands.back()).body == large);
  CHECK(server.listener->counters().calls == 4);
  CHECK(server.listener->counters().bad == 0);
}

TEST_CASE("bad input is answered and ends the connection") {
  ControlListener::Limits limits;
  limits.body_bytes = 1000;
  limits.header_bytes = 2000;
  Server server(limits);
  const auto answer = [&](const std::string& bytes) {
    Tcp::socket socket = server.Dial();
    Server::Say(socket, bytes);
    return server.Hear(socket, "never");
  };
  CHECK(answer("NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(answer("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(answer("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n").starts_with("HTTP/1.1 413"));
  const std::string chunk = "3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n";
  CHECK(answer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk).starts_with("HTTP/1.1 413"));
  CHECK(answer("GET / HTTP/1.1\r\nA: " + std::string(3000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
  CHECK(server.listener->counters().bad == 5);
  CHECK(server.commands.empty());
}

TEST_CASE("room for one more: the one that has been idle longest goes, never a call under way") {
  ControlListener::Limits limits;
  limits.connections = 2;
  Server server(limits);
  server.hold = true;
  const std::string read = "GET /-/Configuration.Read HTTP/1.1\r\nHost: a\r\n\r\n";
  Tcp::socket busy = server.Dial();
  Server::Say(busy, read);
  while (server.replies.empty()) server.io.run_one();
  Tcp::socket idle = server.Dial();
  Tcp::socket next = server.Dial();
  Server::Say(next, read);
  CHECK(server.Hear(idle, "never") == "<end>");
  while (server.replies.size() < 2) server.io.run_one();
  Tcp::socket refused = server.Dial();
  CHECK(server.Hear(refused, "never") == "<end>");

  // The end: calls under way are answered first, and a second answer is nobody's.
  bool stopped = false;
  server.listener->Stop([&] { stopped = true; });
  server.replies[0](Response{});
  server.replies[0](Response{500, "twice", {}});
  CHECK(server.Hear(busy, "never").find("Connection: close") != std::string::npos);
  CHECK_FALSE(stopped);
  next.close();  // a caller that has gone
  server.replies[1](Response{});
  busy.close();
  while (!stopped) server.io.run_one();
  CHECK(server.listener->connections() == 0);
}

TEST_CASE("an address of metrics is PORT/PATH") {
  const auto good = ParseMetricsAddress("9464/metrics");
  REQUIRE(good.ok());
  CHECK(good->port == 9464);
  CHECK(good->path == "/metrics");
  for (const char* bad : {"", "9464", "/metrics", "0/metrics", "65536/metrics", "x/metrics", "-1/m"}) {
    INFO(bad);
    CHECK(ParseMetricsAddress(bad).status().code() == absl::StatusCode::kInvalidArgument);
  }
}

TEST_CASE("metrics are told as Prometheus text at their path, and at no other") {
  asio::io_context io;
  prometheus::Registry registry;
  prometheus::BuildCounter().Name("tests_total").Register(registry).Add({}).Increment(3);
  const std::uint16_t port = loopback::FreePort(io);
  const auto endpoint = OpenMetricsEndpoint(io, "127.0.0.1", {port, "/metrics"}, registry);
  REQUIRE(endpoint != nullptr);
  const auto ask = [&](const std::string& path) {
    const auto raw = loopback::RawConnection::Connect(io, port);
    raw->Write("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    loopback::RunUntil(io, [&] { return raw->received.find("\r\n\r\n") != std::string::npos; });
    loopback::RunFor(io, 10);
    return raw->received;
  };
  const std::string told = ask("/metrics");
  CHECK(told.find("HTTP/1.1 200") == 0);
  CHECK(told.find("\ntests_total 3\n") != std::string::npos);
  CHECK(ask("/other").find("HTTP/1.1 404") == 0);
  // A process serves also where its metrics can't be read.
  CHECK(OpenMetricsEndpoint(io, "127.0.0.1", {port, "/metrics"}, registry) == nullptr);
  CHECK(OpenMetricsEndpoint(io, "127.0.0.1", {}, registry) == nullptr);
}

}  // namespace
}  // namespace fennelhollow::node
