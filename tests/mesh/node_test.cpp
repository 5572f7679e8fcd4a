#include <prometheus/counter.h>
#include <pthread.h>
#include <unistd.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <new>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <system_error>
#include <vector>

#include "loopback.hpp"
#include "mesh/control/command.hpp"
#include "mesh/metrics/process_metrics.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/node/metrics_endpoint.hpp"
#include "mesh/node/peer_links.hpp"
#include "mesh/node/pending_acknowledgements.hpp"
#include "mesh/node/record_quorum.hpp"
#include "mesh/node/tombstone_writer.hpp"
#include "mesh/node/worker.hpp"

namespace fennelhollow::node {
namespace {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

registry::Server ServerOf(const std::string& id, registry::State state, std::uint64_t sequence = 1) {
  return {id, "s", "h:1", "z", "v1", 4, state, 0, sequence, "hop"};
}

// Guards against an acknowledgement that is lost with the sidecar, as nobody else knew of it.
TEST_CASE("draining and departures are acknowledged once the cores have recorded them") {
  registry::State recorded = registry::State::kReady;
  PendingAcknowledgements acknowledgements(
      [&](const std::string& id, registry::State state) { return id == "a" && recorded >= state; });
  std::vector<unsigned> replies;
  const auto add = [&](registry::State state) {
    acknowledgements.Add(0, "a", state,
                         [&](const control::Response& response) { replies.push_back(response.status); });
  };
  const auto record = [&](registry::State state) {
    recorded = state;
    acknowledgements.ReplyToRecorded();
  };
  SECTION("draining") {
    add(registry::State::kDraining);
    record(registry::State::kReady);
    CHECK(replies.empty());
    record(registry::State::kDraining);
    add(registry::State::kDraining);
    CHECK(replies == std::vector<unsigned>{200, 200});
  }
  SECTION("departed") {
    add(registry::State::kGone);
    record(registry::State::kDraining);
    CHECK(replies.empty());
    record(registry::State::kGone);
    CHECK(replies == std::vector<unsigned>{200});
  }
  SECTION("the cores do not answer in time") {
    add(registry::State::kGone);
    acknowledgements.OnTick(kRecordTimeout - 1);
    CHECK(replies.empty());
    acknowledgements.OnTick(kRecordTimeout);
    CHECK(replies == std::vector<unsigned>{503});
    record(registry::State::kGone);
    CHECK(replies.size() == 1);
  }
}

push::ServerRecords RecordsOf(registry::State state, bool on_disk, bool complete = true) {
  push::ServerRecords records;
  records.complete = complete;
  records.servers = {{"a", state, on_disk}};
  return records;
}

// Guards against a departure that one core knows of, and which is lost with that core.
TEST_CASE("a state is recorded once a majority of the cores has it on disk") {
  using registry::State;
  const std::vector<std::string> cores{"c1", "c2", "c3"};
  RecordQuorum quorum;
  CHECK_FALSE(quorum.IsRecorded("a", State::kGone, cores));
  quorum.OnRecords("c1", RecordsOf(State::kGone, true));
  quorum.OnRecords("c2", RecordsOf(State::kGone, false));
  quorum.OnRecords("elsewhere", RecordsOf(State::kGone, true));
  CHECK_FALSE(quorum.IsRecorded("a", State::kGone, cores));
  quorum.OnRecords("c2", RecordsOf(State::kDraining, true));
  CHECK_FALSE(quorum.IsRecorded("a", State::kGone, cores));
  CHECK(quorum.IsRecorded("a", State::kDraining, cores));
  quorum.OnRecords("c2", RecordsOf(State::kGone, true));
  CHECK(quorum.IsRecorded("a", State::kGone, cores));
  CHECK_FALSE(quorum.IsRecorded("b", State::kGone, cores));
  CHECK_FALSE(quorum.IsRecorded("a", State::kGone, {}));
  quorum.Retain({"b"});
  CHECK_FALSE(quorum.IsRecorded("a", State::kGone, cores));
}

// Guards against a late heartbeat that a minority without the tombstone, or a core without its disk, lets
// pass.
TEST_CASE("a server is unknown once a majority of the cores that can tell says so") {
  using registry::State;
  const std::vector<std::string> cores{"c1", "c2", "c3"};
  RecordQuorum quorum;
  quorum.OnRecords("c1", RecordsOf(State::kReady, false));
  CHECK_FALSE(quorum.IsUnknown("a", cores));
  quorum.OnRecords("c2", RecordsOf(State::kReady, false, false));
  CHECK_FALSE(quorum.IsUnknown("a", cores));
  quorum.OnRecords("c3", RecordsOf(State::kGone, false));
  CHECK_FALSE(quorum.IsUnknown("a", cores));
  quorum.OnRecords("c2", RecordsOf(State::kReady, false));
  CHECK(quorum.IsUnknown("a", cores));
}

// Guards against tombstones that are lost with the processes of all cores.
TEST_CASE("tombstones are written after a change, and a failed write is repeated") {
  namespace fs = std::filesystem;
  const fs::path folder = fs::temp_directory_path() / ("tombstones-" + std::to_string(::getpid()));
  fs::remove_all(folder);
  asio::io_context io;
  Worker worker(io, "test");
  std::uint64_t written = 0;
  TombstoneWriter writer(worker, folder.string(), [&](std::uint64_t version) { written = version; });
  registry::Tombstones tombstones;
  Micros now = 0;
  const auto update = [&] {
    now += 2'000'000;  // beyond all pauses between writes
    writer.Update(now, tombstones);
    while (worker.pending() > 0) io.run_one();
  };
  CHECK(ReadTombstones(folder.string())->empty());
  tombstones.Record(0, ServerOf("a", registry::State::kGone, registry::kFinalSequence));
  update();
  CHECK(ReadTombstones(folder.string())->empty());  // there is no such directory
  CHECK(written == 0);
  fs::create_directories(folder);
  update();
  REQUIRE(ReadTombstones(folder.string())->size() == 1);
  CHECK(ReadTombstones(folder.string())->front() == *tombstones.Find("a"));
  CHECK(written == tombstones.version());
  tombstones.Record(0, ServerOf("b", registry::State::kDraining));
  writer.Update(now, tombstones);  // too soon after the write
  CHECK(worker.pending() == 0);
  CHECK(written < tombstones.version());
  update();
  CHECK(ReadTombstones(folder.string())->size() == 2);
  CHECK(written == tombstones.version());
  fs::remove_all(folder);
}

TEST_CASE("a worker runs jobs in order, completes them on the loop and bounds its queue") {
  asio::io_context io;
  std::vector<int> executed, done;
  {
    Worker worker(io, "test", 3);
    for (int i = 0; i < 3; ++i) {
      REQUIRE(worker.Run([&executed, i] { executed.push_back(i); },
                         [&done, i](const absl::Status& ran) {
                           CHECK(ran.ok());
                           done.push_back(i);
                         }));
    }
    // The queue is full, as none completes before the loop runs.
    CHECK_FALSE(worker.Run([] {}, [](const absl::Status&) {}));
    while (done.size() < 3) io.run_one();
    CHECK(worker.pending() == 0);
    REQUIRE(worker.Run([] {}, [&done](const absl::Status&) { done.push_back(99); }));
  }
  io.run();
  CHECK(executed == std::vector<int>{0, 1, 2});
  CHECK(done == executed);
}

TEST_CASE("a job that throws on a worker fails alone and does not end the process") {
  asio::io_context io;
  Worker worker(io, "test");
  std::vector<absl::Status> ended;
  const auto done = [&ended](const absl::Status& ran) { ended.push_back(ran); };
  REQUIRE(worker.Run([] { throw std::bad_alloc(); }, done));
  REQUIRE(worker.Run([] { throw std::runtime_error("broken"); }, done));
  REQUIRE(worker.Run([] { throw 1; }, done));
  REQUIRE(worker.Run([] {}, done));
  while (ended.size() < 4) io.run_one();
  CHECK(absl::IsResourceExhausted(ended[0]));
  CHECK(ended[1] == absl::InternalError("broken"));
  CHECK(absl::IsInternal(ended[2]));
  CHECK(ended[3].ok());
}

TEST_CASE("a completion that throws on the loop does not stop the worker or lose other completions") {
  asio::io_context io;
  Worker worker(io, "test");
  int completed = 0;
  REQUIRE(worker.Run([] {}, [](const absl::Status&) { throw std::runtime_error("broken"); }));
  for (int i = 0; i < 3; ++i) REQUIRE(worker.Run([] {}, [&completed](const absl::Status&) { ++completed; }));
  const auto run_one = [&io] {
    try {
      io.run_one_for(std::chrono::seconds(2));
    } catch (const std::runtime_error&) {
    }
  };
  for (int i = 0; i < 100 && completed < 3; ++i) run_one();
  CHECK(completed == 3);
  REQUIRE(worker.Run([] {}, [&completed](const absl::Status&) { ++completed; }));
  for (int i = 0; i < 100 && completed < 4; ++i) run_one();
  CHECK(completed == 4);
}

// Makes the creation of threads fail, as a limit of the system does.
class NoMoreThreads {
 public:
  NoMoreThreads() {
    REQUIRE(::pthread_attr_init(&previous_) == 0);
    REQUIRE(::pthread_getattr_default_np(&previous_) == 0);
    pthread_attr_t unavailable;
    REQUIRE(::pthread_getattr_default_np(&unavailable) == 0);
    REQUIRE(::pthread_attr_setstacksize(&unavailable, std::size_t{1} << 46) == 0);
    REQUIRE(::pthread_setattr_default_np(&unavailable) == 0);
    ::pthread_attr_destroy(&unavailable);
  }
  ~NoMoreThreads() {
    ::pthread_setattr_default_np(&previous_);
    ::pthread_attr_destroy(&previous_);
  }
  NoMoreThreads(const NoMoreThreads&) = delete;
  NoMoreThreads& operator=(const NoMoreThreads&) = delete;

 private:
  pthread_attr_t previous_;
};

TEST_CASE("a worker whose thread cannot be created leaves no descriptor behind") {
  asio::io_context io;
  const Worker before(io, "test");
  io.poll();
  const std::uint64_t descriptors = metrics::ReadProcessUsage().descriptors;
  {
    const NoMoreThreads limit;
    for (int i = 0; i < 10; ++i) CHECK_THROWS_AS(Worker(io, "test"), std::system_error);
  }
  io.poll();
  CHECK(metrics::ReadProcessUsage().descriptors == descriptors);
}

struct TestServer {
  asio::io_context io;
  std::vector<Command> commands;
  std::vector<ControlListener::Reply> replies;  // withheld while `hold`
  bool hold = false;
  memory::BufferAccount account{memory::BufferAccount::LimitsFor(std::size_t{256} << 20)};
  std::unique_ptr<ControlListener> listener;

  explicit TestServer(ControlListener::Limits limits = {}) {
    listener =
        std::make_unique<ControlListener>(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0), limits,
                                          account, [this](Command command, ControlListener::Reply reply) {
                                            commands.push_back(std::move(command));
                                            if (hold) return replies.push_back(std::move(reply));
                                            reply(Response{200, "{\"n\":1}", {{"Location", "here"}}});
                                          });
  }
  Tcp::socket Connect() {
    Tcp::socket socket(io);
    socket.connect(listener->address());
    return socket;
  }
  static void Write(Tcp::socket& socket, const std::string& bytes) {
    asio::write(socket, asio::buffer(bytes));
  }
  // Reads until `until` was received `times` times or the connection has ended.
  std::string ReadUntil(Tcp::socket& socket, const std::string& until, std::size_t times = 1) {
    std::string received, chunk_buffer(4096, '\0');
    const auto count = [&] {
      std::size_t n = 0;
      for (std::size_t at = received.find(until); at != std::string::npos; at = received.find(until, at + 1))
        ++n;
      return n;
    };
    bool ended = false;
    while (!ended && count() < times) {
      bool read = false;
      socket.async_read_some(asio::buffer(chunk_buffer), [&](ErrorCode error, std::size_t bytes) {
        received.append(chunk_buffer, 0, bytes);
        ended = static_cast<bool>(error);
        read = true;
      });
      while (!read) io.run_one();
    }
    return ended ? received + "<end>" : received;
  }
};

TEST_CASE("peer links tell refused connections from lost ones and deliver frames once and in order") {
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
  CHECK_FALSE(links.Send(dead, "x"));  // backing off
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

TEST_CASE("the control listener handles keep-alive, pipelining, chunked bodies and 100-continue") {
  TestServer server;
  Tcp::socket socket = server.Connect();
  const std::string heartbeat =
      "POST /-/Instances.Heartbeat/i-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}";
  TestServer::Write(socket, heartbeat + heartbeat);
  const std::string responses = server.ReadUntil(socket, "{\"n\":1}", 2);
  CHECK(responses.find("HTTP/1.1 200 OK\r\n") == 0);
  CHECK(responses.find("Content-Length: 7\r\n") != std::string::npos);
  CHECK(responses.find("Location: here\r\n") != std::string::npos);
  TestServer::Write(socket,
                    "POST /-/Configuration.Replace HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  server.ReadUntil(socket, "{\"n\":1}");
  CHECK(std::get<control::Replace>(server.commands.back()).body == "abcde");
  const std::string large(200'000, 'x');
  TestServer::Write(
      socket,
      "POST /-/Configuration.Modify HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: "
      "200000\r\n\r\n");
  CHECK(server.ReadUntil(socket, "\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  bool written = false;
  asio::async_write(socket, asio::buffer(large), [&](ErrorCode, std::size_t) { written = true; });
  server.ReadUntil(socket, "{\"n\":1}");
  CHECK(written);
  CHECK(std::get<control::Modify>(server.commands.back()).body == large);
  CHECK(server.listener->counters().calls == 4);
  CHECK(server.listener->counters().malformed == 0);
}

TEST_CASE("malformed requests are answered and the connection is closed") {
  ControlListener::Limits limits;
  limits.max_body_bytes = 1000;
  limits.max_header_bytes = 2000;
  TestServer server(limits);
  const auto answer = [&](const std::string& bytes) {
    Tcp::socket socket = server.Connect();
    TestServer::Write(socket, bytes);
    return server.ReadUntil(socket, "never");
  };
  CHECK(answer("NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(answer("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n").starts_with("HTTP/1.1 400"));
  CHECK(answer("POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n").starts_with("HTTP/1.1 413"));
  const std::string chunk = "3e9\r\n" + std::string(1001, 'x') + "\r\n0\r\n\r\n";
  CHECK(answer("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk).starts_with("HTTP/1.1 413"));
  CHECK(answer("GET / HTTP/1.1\r\nA: " + std::string(3000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
  CHECK(server.listener->counters().malformed == 5);
  CHECK(server.commands.empty());
}

TEST_CASE("at the connection limit the longest idle connection is closed, never one with a call in flight") {
  ControlListener::Limits limits;
  limits.max_connections = 2;
  TestServer server(limits);
  server.hold = true;
  const std::string read = "GET /-/Configuration.Read HTTP/1.1\r\nHost: a\r\n\r\n";
  Tcp::socket busy = server.Connect();
  TestServer::Write(busy, read);
  while (server.replies.empty()) server.io.run_one();
  Tcp::socket idle = server.Connect();
  Tcp::socket next = server.Connect();
  TestServer::Write(next, read);
  CHECK(server.ReadUntil(idle, "never") == "<end>");
  while (server.replies.size() < 2) server.io.run_one();
  Tcp::socket refused = server.Connect();
  CHECK(server.ReadUntil(refused, "never") == "<end>");

  // Stop answers calls in flight first; a second reply is ignored.
  bool stopped = false;
  server.listener->Stop([&] { stopped = true; });
  server.replies[0](Response{});
  server.replies[0](Response{500, "twice", {}});
  CHECK(server.ReadUntil(busy, "never").find("Connection: close") != std::string::npos);
  CHECK_FALSE(stopped);
  next.close();  // the client has disconnected
  server.replies[1](Response{});
  busy.close();
  while (!stopped) server.io.run_one();
  CHECK(server.listener->connections() == 0);
}

TEST_CASE("a metrics address is PORT/PATH") {
  const auto good = ParseMetricsAddress("9464/metrics");
  REQUIRE(good.ok());
  CHECK(good->port == 9464);
  CHECK(good->path == "/metrics");
  for (const char* bad : {"", "9464", "/metrics", "0/metrics", "65536/metrics", "x/metrics", "-1/m"}) {
    INFO(bad);
    CHECK(ParseMetricsAddress(bad).status().code() == absl::StatusCode::kInvalidArgument);
  }
}

TEST_CASE("metrics are served as Prometheus text at their path only") {
  asio::io_context io;
  prometheus::Registry registry;
  prometheus::BuildCounter().Name("tests_total").Register(registry).Add({}).Increment(3);
  const std::uint16_t port = loopback::FreePort(io);
  const MetricsEndpointOpener endpoint(io, "127.0.0.1", {port, "/metrics"}, registry);
  REQUIRE(endpoint.open());
  const auto get = [&](const std::string& path) {
    const auto raw = loopback::RawConnection::Connect(io, port);
    raw->Write("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    loopback::RunUntil(io, [&] { return raw->received.find("\r\n\r\n") != std::string::npos; });
    loopback::RunFor(io, 10);
    return raw->received;
  };
  const std::string scraped = get("/metrics");
  CHECK(scraped.find("HTTP/1.1 200") == 0);
  CHECK(scraped.find("\ntests_total 3\n") != std::string::npos);
  CHECK(get("/other").find("HTTP/1.1 404") == 0);
  // Without an endpoint the process runs on.
  CHECK_FALSE(MetricsEndpointOpener(io, "127.0.0.1", {port, "/metrics"}, registry).open());
  CHECK_FALSE(MetricsEndpointOpener(io, "127.0.0.1", {}, registry).open());
}

TEST_CASE("metrics are served once their address is free") {
  asio::io_context io;
  prometheus::Registry registry;
  Tcp::acceptor held(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const MetricsEndpointOpener endpoint(io, "127.0.0.1", {held.local_endpoint().port(), "/metrics"}, registry);
  CHECK_FALSE(endpoint.open());
  held.close();
  loopback::RunUntil(io, [&] { return endpoint.open(); });
  CHECK(endpoint.open());
}

}  // namespace
}  // namespace fennelhollow::node
