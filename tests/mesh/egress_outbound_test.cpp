#include <prometheus/text_serializer.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cerrno>
#include <optional>
#include <set>

#include "loopback.hpp"
#include "mesh/egress/outbound_proxy.hpp"
#include "mesh/ingress/inbound_proxy.hpp"
#include "net/asio_loop.hpp"

namespace {

bool socket_fails = false;

}  // namespace

// Stands before the C library's function for the whole test program.
extern "C" int socket(int domain, int type, int protocol) noexcept {
  if (!socket_fails) return static_cast<int>(::syscall(SYS_socket, domain, type, protocol));
  errno = EMFILE;
  return -1;
}

namespace fennelhollow::egress {
namespace {

using ingress::Decode;
using ingress::Encode;
using ingress::FrameType;
using ingress::RejectReason;
using loopback::HeaderValue;
using loopback::RawConnection;
using loopback::RawConnectionPtr;
using loopback::RunFor;
using loopback::RunUntil;
using loopback::ScriptedHttpServer;

// Scripted inbound proxy. Answers the first frame on a link, the Hello, with its own Hello.
struct FakeInboundProxy {
  using Script = std::function<void(transport::Link&, FrameType, std::string_view)>;
  FakeInboundProxy(asio::io_context& io, Script script)
      : port(loopback::FreePort(io)), listener(io, "127.0.0.1", port, {}, [this, script](auto link) {
          auto hello_received = std::make_shared<bool>(false);
          link->Start({[this, raw_link = link.get(), script, hello_received](std::string_view frame) {
                         if (std::exchange(*hello_received, true))
                           return script(*raw_link, ingress::TypeOf(frame), frame);
                         if (!sends_hello) return;
                         transport::Hello own_hello;
                         own_hello.incarnation = incarnation;
                         raw_link->Send(Encode(FrameType::kHello, own_hello));
                       },
                       [] {},
                       {}});
          links.push_back(std::move(link));
        }) {}
  ~FakeInboundProxy() {
    for (const auto& link : links) link->Close();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
  std::uint64_t incarnation = 77;
  bool sends_hello = true;
  std::uint16_t port;
  std::vector<std::shared_ptr<transport::Link>> links;
  transport::Listener listener;
};

struct Outcome {
  std::optional<RejectReason> rejected;
  std::optional<bool> never_ran;  // from on_reset
  int heads = 0, ends = 0;
  std::string body;
};

struct ClientFixture {
  explicit ClientFixture(FakeInboundProxy::Script script) : inbound_proxy(io, std::move(script)) {}
  std::shared_ptr<Outcome> StartAttempt(bool unsafe, const std::string& address) {
    auto out = std::make_shared<Outcome>();
    ingress::Attempt attempt;
    attempt.unsafe = unsafe;
    attempt.server = "s";
    handle =
        client.Send(address, attempt, std::make_shared<const std::string>(),
                    {[out](ingress::ResponseHead head) {
                       ++out->heads;
                       out->body += head.body;
                       out->ends += head.end;
                     },
                     [out](ingress::BodyChunk chunk) { out->body += chunk.bytes, out->ends += chunk.end; },
                     [out](RejectReason reason) { out->rejected = reason, ++out->ends; },
                     [out](bool never_ran, bool) { out->never_ran = never_ran, ++out->ends; }});
    CHECK(out->ends == 0);  // no event from within the call
    return out;
  }
  Outcome SendAndWait(bool unsafe) {
    const auto out = StartAttempt(unsafe, inbound_proxy.address());
    REQUIRE(RunUntil(io, [&] { return out->ends > 0; }));
    RunFor(io, 5);
    CHECK(out->ends == 1);
    return *out;
  }
  asio::io_context io;
  merlinrun::net::AsioLoop loop{io};
  FakeInboundProxy inbound_proxy;
  InboundProxyClient client{io, loop, {"me", "127.0.0.1:1", 5, 300, 100}};
  InboundProxyClient::Handle handle = 0;
};

TEST_CASE(
    "an unsafe attempt on a lost link is reported as never run only if the same inbound proxy confirms it") {
  enum { kForwarded, kNotForwarded, kRestarted, kNoReply, kLinkLostAgain, kDown };
  const int scenario = GENERATE(range(0, 6));
  INFO(scenario);
  std::optional<ingress::AttemptKey> sent, queried;
  ClientFixture* client_fixture = nullptr;
  ClientFixture fixture([&](transport::Link& link, FrameType type, std::string_view frame) {
    if (type == FrameType::kAttempt) {
      sent = Decode<ingress::Attempt>(frame)->attempt_key;
      if (scenario == kRestarted) ++client_fixture->inbound_proxy.incarnation;
      if (scenario == kDown) client_fixture->inbound_proxy.listener.Close();
      return link.Close();
    }
    REQUIRE(type == FrameType::kStatusQuery);
    queried = Decode<ingress::StatusQuery>(frame)->attempt_key;
    if (scenario == kLinkLostAgain) return link.Close();
    if (scenario == kForwarded || scenario == kNotForwarded)
      link.Send(Encode(FrameType::kStatusReply, ingress::StatusReply{scenario == kForwarded}));
  });
  client_fixture = &fixture;
  const Outcome out = fixture.SendAndWait(true);
  CHECK_FALSE(out.rejected.has_value());
  REQUIRE(out.never_ran.has_value());
  CHECK(*out.never_ran == (scenario == kNotForwarded));
  CHECK(sent->incarnation == 5);
  // A restarted process can't know, so it is not queried.
  CHECK(queried.has_value() == (scenario != kRestarted && scenario != kDown));
  if (queried) CHECK(*queried == *sent);
}

TEST_CASE("a safe attempt on a lost link ends without a status query") {
  ClientFixture fixture([](transport::Link& link, FrameType, std::string_view) { link.Close(); });
  CHECK(fixture.SendAndWait(false).never_ran == false);
  CHECK(fixture.client.status_queries() == 0);
}

TEST_CASE("no status query is sent for an unsafe attempt once its response has started") {
  ClientFixture fixture([](transport::Link& link, FrameType, std::string_view) {
    ingress::ResponseHead head;
    head.status = 200;
    link.Send(Encode(FrameType::kResponseHead, head));
    link.Send(Encode(FrameType::kHello, transport::Hello{}));  // unexpected here
  });
  const auto out = fixture.StartAttempt(true, fixture.inbound_proxy.address());
  REQUIRE(RunUntil(fixture.io, [&] { return out->ends > 0; }));
  CHECK(out->never_ran == false);
  CHECK(fixture.client.status_queries() == 0);
}

TEST_CASE("an attempt that was not sent is rejected: connection refused, or no Hello") {
  ClientFixture fixture([](transport::Link&, FrameType, std::string_view) {});
  auto out = fixture.StartAttempt(true, "127.0.0.1:" + std::to_string(loopback::FreePort(fixture.io)));
  REQUIRE(RunUntil(fixture.io, [&] { return out->ends > 0; }));
  CHECK(out->rejected == RejectReason::kUnreachable);
  fixture.inbound_proxy.sends_hello = false;
  out = fixture.StartAttempt(true, fixture.inbound_proxy.address());
  REQUIRE(RunUntil(fixture.io, [&] { return fixture.inbound_proxy.links.size() == 1; }));
  fixture.inbound_proxy.links[0]->Close();
  REQUIRE(RunUntil(fixture.io, [&] { return out->ends > 0; }));
  CHECK(out->rejected == RejectReason::kUnreachable);
}

TEST_CASE("a link is reused, unless its attempt was cancelled") {
  int attempts = 0;
  ClientFixture fixture([&](transport::Link& link, FrameType type, std::string_view) {
    if (type != FrameType::kAttempt || ++attempts == 3) return;
    ingress::ResponseHead head;
    head.end = true;
    link.Send(Encode(FrameType::kResponseHead, head));
  });
  fixture.SendAndWait(true);
  fixture.SendAndWait(true);
  CHECK(fixture.client.links_dialed() == 1);
  const auto out = fixture.StartAttempt(true, fixture.inbound_proxy.address());
  REQUIRE(RunUntil(fixture.io, [&] { return attempts == 3; }));
  fixture.client.Cancel(fixture.handle);
  RunFor(fixture.io, 20);
  CHECK(out->ends == 0);
  fixture.SendAndWait(true);
  CHECK(fixture.client.links_dialed() == 2);
}

// An inbound proxy and its server.
struct Machine {
  Machine(asio::io_context& io, merlinrun::core::Loop& loop, const std::string& id,
          ScriptedHttpServer::Script script)
      : server(io, std::move(script)),
        port(loopback::FreePort(io)),
        proxy(
            io, loop, {port, {}}, account,
            {[this](const std::string& requested) { return requested == instance.id ? &instance : nullptr; },
             [this](const std::string&) { ++unreachable_reports; },
             [this](const ingress::Attempt&) { return accepts_new; },
             {}}),
        listener(io, "127.0.0.1", port, {}, [this](std::shared_ptr<transport::Link> link) {
          transport::Link* raw_link = link.get();
          links.push_back(std::move(link));
          raw_link->Start({[this, raw_link](std::string_view frame) {
                             REQUIRE(transport::Unpack<transport::Hello>(frame).ok());
                             proxy.Serve(raw_link->shared_from_this());
                           },
                           [] {},
                           {}});
        }) {
    instance.id = id;
    instance.service = "a";
    instance.address = server.address();
    instance.slots = 4;
    instance.sidecar_address = "127.0.0.1:" + std::to_string(port);
  }
  ScriptedHttpServer server;
  std::uint16_t port;
  registry::Server instance;
  bool accepts_new = true;
  int unreachable_reports = 0;
  memory::BufferAccount account{memory::BufferAccount::LimitsFor(std::size_t{256} << 20)};
  ingress::InboundProxy proxy;
  std::vector<std::shared_ptr<transport::Link>> links;
  transport::Listener listener;
};

void WriteResponse(RawConnection& connection, const std::string& request, const std::string& status,
                   const std::string& extra_headers = "", const std::string& body = "done") {
  connection.Write("HTTP/1.1 " + status + "\r\nAttempt-Id: " + HeaderValue(request, "Attempt-Id") +
                   "\r\nServer-Seal: s\r\n" + extra_headers +
                   "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

// ---- Inbound proxy, driven by frames from the test ----

struct InboundProxyFixture {
  asio::io_context io;
  merlinrun::net::AsioLoop loop{io};
  Machine machine{io, loop, "s", [](RawConnection& connection, const std::string& request) {
                    WriteResponse(connection, request, "200 OK");
                  }};
  struct Peer {
    std::shared_ptr<transport::Link> link;
    std::vector<std::string> frames;
  };
  std::vector<std::shared_ptr<Peer>> peers;
  ~InboundProxyFixture() {
    for (const auto& peer : peers) peer->link->Close();
  }
  std::shared_ptr<Peer> Dial() {
    auto peer = std::make_shared<Peer>();
    peers.push_back(peer);
    peer->link = transport::Link::Dial(io, {asio::ip::address_v4::loopback(), machine.port}, 1000, {});
    peer->link->Start(
        {[raw_peer = peer.get()](std::string_view data) { raw_peer->frames.emplace_back(data); }, [] {}, {}});
    peer->link->Send(transport::Pack(transport::Hello{}));
    ExpectFrame(peer, FrameType::kHello);
    REQUIRE(Decode<transport::Hello>(peer->frames[0])->incarnation == machine.port);
    peer->frames.clear();
    return peer;
  }
  // Waits for the first frame and checks its type.
  void ExpectFrame(const std::shared_ptr<Peer>& peer, FrameType type) {
    REQUIRE(RunUntil(io, [&] { return !peer->frames.empty(); }));
    REQUIRE(static_cast<int>(ingress::TypeOf(peer->frames[0])) == static_cast<int>(type));
  }
  RejectReason RejectionOf(const ingress::Attempt& attempt) {
    const auto peer = Dial();
    peer->link->Send(Encode(FrameType::kAttempt, attempt));
    ExpectFrame(peer, FrameType::kRejected);
    return static_cast<RejectReason>(Decode<ingress::Rejected>(peer->frames[0])->reason);
  }
  bool IsForwarded(const ingress::AttemptKey& attempt_key) {
    const auto peer = Dial();
    peer->link->Send(Encode(FrameType::kStatusQuery, ingress::StatusQuery{attempt_key}));
    ExpectFrame(peer, FrameType::kStatusReply);
    return Decode<ingress::StatusReply>(peer->frames[0])->forwarded;
  }
  static ingress::Attempt Attempt(std::uint64_t number) {
    ingress::Attempt out;
    out.attempt_key = {5, number};
    out.server = "s";
    out.method = "GET";
    out.target = "/";
    out.headers = {{"Host", "h"}, {"Attempt-Id", std::to_string(number)}};
    out.remaining_ms = 10'000;
    out.max_queue_ms = 5'000;
    return out;
  }
};

TEST_CASE("a rejected attempt has a reason and never reaches the server") {
  InboundProxyFixture fixture;
  auto test_attempt = fixture.Attempt(1);
  SECTION("status query before its arrival") {
    CHECK_FALSE(fixture.IsForwarded({5, 1}));
    CHECK(fixture.RejectionOf(test_attempt) == RejectReason::kQueueFull);
  }
  SECTION("the process is shutting down") {
    fixture.machine.accepts_new = false;
    CHECK(fixture.RejectionOf(test_attempt) == RejectReason::kShuttingDown);
  }
  SECTION("for another instance of the server") {
    test_attempt.server = "s-before";
    CHECK(fixture.RejectionOf(test_attempt) == RejectReason::kUnknownInstance);
  }
  SECTION("the server is draining") {
    fixture.machine.instance.state = registry::State::kDraining;
    CHECK(fixture.RejectionOf(test_attempt) == RejectReason::kDraining);
  }
  SECTION("its deadline has passed") {
    test_attempt.remaining_ms = 0;
    CHECK(fixture.RejectionOf(test_attempt) == RejectReason::kDeadlineExceeded);
  }
  SECTION("the server does not listen") {
    fixture.machine.instance.address = "127.0.0.1:" + std::to_string(loopback::FreePort(fixture.io));
    CHECK(fixture.RejectionOf(test_attempt) == RejectReason::kUnreachable);
    CHECK(fixture.machine.unreachable_reports == 1);
  }
  fixture.machine.accepts_new = true;
  fixture.machine.instance.state = registry::State::kReady;
  test_attempt.server = "s";
  test_attempt.remaining_ms = 10'000;
  fixture.RejectionOf(test_attempt);  // the same attempt key again
  RunFor(fixture.io, 20);
  CHECK(fixture.machine.server.requests.empty());
}

// Makes each attempt to open a socket fail as if this process had no descriptor left, while it exists.
// A limit of descriptors would do the same to the undefined-behaviour sanitizer, which opens a pipe to check
// a pointer and reports it as invalid if it can't.
class NoDescriptors {
 public:
  NoDescriptors() { socket_fails = true; }
  ~NoDescriptors() { socket_fails = false; }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;
};

// Guards against a live server that nobody is sent to, as its own sidecar had run out of descriptors.
TEST_CASE("a sidecar without descriptors does not report its server as unreachable") {
  InboundProxyFixture fixture;
  const auto peer = fixture.Dial();
  {
    const NoDescriptors none;
    REQUIRE(::socket(AF_INET, SOCK_STREAM, 0) == -1);
    peer->link->Send(Encode(FrameType::kAttempt, fixture.Attempt(1)));
    fixture.ExpectFrame(peer, FrameType::kRejected);
  }
  CHECK(static_cast<RejectReason>(Decode<ingress::Rejected>(peer->frames[0])->reason) ==
        RejectReason::kQueueFull);
  CHECK(fixture.machine.unreachable_reports == 0);
  CHECK(fixture.machine.server.requests.empty());
}

// Guards against a bound on frames that is below what the configured limit of the header allows.
TEST_CASE("an attempt with large headers is forwarded") {
  InboundProxyFixture fixture;
  const auto peer = fixture.Dial();
  ingress::Attempt attempt = fixture.Attempt(1);
  attempt.headers.emplace_back("X-Large", std::string(std::size_t{2} << 20, 'h'));
  peer->link->Send(Encode(FrameType::kAttempt, attempt));
  fixture.ExpectFrame(peer, FrameType::kResponseHead);
  CHECK(fixture.machine.server.requests.size() == 1);
}

TEST_CASE("a forwarded attempt is reported as forwarded and reaches the server once") {
  InboundProxyFixture fixture;
  const auto peer = fixture.Dial();
  peer->link->Send(Encode(FrameType::kAttempt, fixture.Attempt(1)));
  fixture.ExpectFrame(peer, FrameType::kResponseHead);
  const auto head = Decode<ingress::ResponseHead>(peer->frames[0]);
  CHECK(head->status == 200);
  CHECK(head->end);
  CHECK(head->body == "done");
  CHECK(fixture.IsForwarded({5, 1}));
  CHECK_FALSE(fixture.IsForwarded({6, 1}));  // another incarnation
  fixture.RejectionOf(fixture.Attempt(1));
  REQUIRE(fixture.machine.server.requests.size() == 1);
  CHECK(HeaderValue(fixture.machine.server.requests[0], "Expected-Instance") == "s");
  CHECK(std::stol(HeaderValue(fixture.machine.server.requests[0], "Deadline-Remaining")) <= 10'000);
}

// ---- Outbound and inbound proxies with scripted servers ----

struct MeshFixture {
  // `nth`: number of the request at any server, from 1.
  using Script = std::function<void(std::size_t nth, RawConnection&, const std::string& request)>;
  MeshFixture(int servers, Script script, int attempts = 2) : port(loopback::FreePort(io)) {
    registry::Snapshot snapshot;
    snapshot.revision = 1;
    for (int i = 0; i < servers; ++i) {
      machines.push_back(
          std::make_unique<Machine>(io, loop, "s" + std::to_string(i),
                                    [this, script, i](RawConnection& connection, const std::string& request) {
                                      arrivals.push_back(i);
                                      script(arrivals.size(), connection, request);
                                    }));
      snapshot.servers.push_back(machines.back()->instance);
    }
    outbound_proxy =
        std::make_unique<OutboundProxy>(loop, OutboundProxy::Settings{"me", "z", {{"z", "r"}}, 1, {}, 0.5, 0},
                                        proxy_client, limiter, request_metrics);
    http_server = std::make_unique<HttpServer>(
        io, settings::Address{"127.0.0.1", port}, HttpServer::Limits{}, account,
        HttpServer::Handler{[this](const auto& session, HttpRequest in) {
                              outbound_proxy->OnRequest(session, std::move(in));
                            },
                            [this](const auto& session) { outbound_proxy->OnClientDisconnect(session); }});
    const std::string route =
        R"({"resourceKind":"routes","metadata":{"name":"NAME"},"specification":{"host":"h",
      "pathPrefix":"/NAME/","kind":"NAME","timeoutMs":5000,"targetLatencyMs":500,"service":"a","attempts":)" +
        std::to_string(attempts) + "}}";
    std::string text =
        R"({"version":1,"resourceList":[{"resourceKind":"services","metadata":{"name":"a"},"specification":{}})";
    for (const std::string name : {"safe", "unsafe"}) {
      std::string route_json = route;
      for (auto at = route_json.find("NAME"); at != std::string::npos; at = route_json.find("NAME"))
        route_json.replace(at, 4, name);
      text += "," + route_json;
    }
    const auto change_result = configuration::ReplicatedState().Evaluate(false, text + "]}");
    INFO(change_result.error);
    REQUIRE(change_result.kind == configuration::ChangeResult::Kind::kAccepted);
    outbound_proxy->OnConfiguration(*configuration::RoutingTables::Build(
        configuration::ReplicatedState::Parse(change_result.next_state)->newest()));
    outbound_proxy->OnEndpoints(snapshot, 0, 1);
  }
  RawConnectionPtr Send(const std::string& kind, int deadline_ms = 4000) {
    const auto connection = RawConnection::Connect(io, port);
    connection->Write("POST /" + kind + "/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id-" + std::to_string(++sent) +
                      "\r\nDeadline-Remaining: " + std::to_string(deadline_ms) +
                      "\r\nContent-Length: 4\r\n\r\nbody");
    return connection;
  }
  // Returns the status of the only response.
  int SendAndWait(const std::string& kind, int deadline_ms = 4000) {
    const auto connection = Send(kind, deadline_ms);
    REQUIRE(RunUntil(io, [&] { return connection->received.find("\r\n\r\n") != std::string::npos; }));
    RunFor(io, 30);
    response = connection->received;
    CHECK(response.find("HTTP/1.1", 1) == std::string::npos);  // a single response
    return std::stoi(response.substr(9, 3));
  }
  asio::io_context io;
  merlinrun::net::AsioLoop loop{io};
  std::uint16_t port;
  int sent = 0;
  std::vector<int> arrivals;
  std::string response;
  std::vector<std::unique_ptr<Machine>> machines;
  quota::Limiter limiter{{}};
  InboundProxyClient proxy_client{io, loop, {"me", "127.0.0.1:1", 5, 300, 400}};
  memory::BufferAccount account{memory::BufferAccount::LimitsFor(std::size_t{256} << 20)};
  prometheus::Registry registry;
  metrics::RequestMetrics request_metrics{registry};
  std::unique_ptr<OutboundProxy> outbound_proxy;
  std::unique_ptr<HttpServer> http_server;
};

void Serve(std::size_t, RawConnection& connection, const std::string& request) {
  WriteResponse(connection, request, "200 OK");
}

TEST_CASE("a request reaches the server with the headers that the proxies add") {
  MeshFixture mesh(1, Serve);
  CHECK(mesh.SendAndWait("unsafe") == 200);
  CHECK(mesh.response.substr(mesh.response.size() - 8) == "\r\n\r\ndone");
  const std::string request = mesh.machines[0]->server.requests.at(0);
  CHECK(HeaderValue(request, "Attempt-Id") == "id-1");
  CHECK(HeaderValue(request, "Calling-Service") == "me");
  CHECK(HeaderValue(request, "Expected-Instance") == "s0");
  CHECK(request.substr(request.size() - 8) == "\r\n\r\nbody");
}

// The server may still execute the request, and 503 would state that it was not executed.
TEST_CASE("an unsafe request that times out at a silent server is not refused with 503 and not retried") {
  MeshFixture mesh(2, [](std::size_t, RawConnection&, const std::string&) {});
  const int status = mesh.SendAndWait("unsafe", 300);
  CHECK((status == 502 || status == 504));
  CHECK(mesh.arrivals.size() == 1);
}

// Regression test: a request that arrived late in the shutdown was cut off when the process ended.
TEST_CASE("a shutdown responds to all requests in flight and refuses new ones with 503") {
  MeshFixture mesh(1, [](std::size_t, RawConnection&, const std::string&) {});
  const auto safe = mesh.Send("safe"), unsafe = mesh.Send("unsafe");
  REQUIRE(RunUntil(mesh.io, [&] { return mesh.arrivals.size() == 2; }));
  mesh.outbound_proxy->BeginShutdown({.accept_all_until = mesh.loop.Now(), .deadline = mesh.loop.Now()});
  mesh.outbound_proxy->RefuseNewRequests();
  mesh.outbound_proxy->TerminateInFlight();
  const auto answered = [](const RawConnectionPtr& connection) {
    return connection->received.find("\r\n\r\n") != std::string::npos;
  };
  REQUIRE(RunUntil(mesh.io, [&] { return answered(safe) && answered(unsafe); }));
  CHECK(safe->received.substr(9, 3) == "503");
  CHECK(unsafe->received.substr(9, 3) == "504");
  CHECK(mesh.SendAndWait("unsafe") == 503);
  CHECK(mesh.arrivals.size() == 2);
}

// Guards against bodies that an inbound proxy takes beyond its memory.
TEST_CASE("an unsafe request whose body finds no memory at the last hop is refused and has not run") {
  MeshFixture mesh(1, Serve);
  memory::BufferAccount& account = mesh.machines[0]->account;
  memory::BufferCharge small, large;
  REQUIRE(small.Set(account, memory::kSmallChargeBytes));
  REQUIRE(large.Set(account, account.limits().large));
  const auto send = [&](std::size_t body_bytes) {
    const auto connection = RawConnection::Connect(mesh.io, mesh.port);
    connection->Write("POST /unsafe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id-" + std::to_string(++mesh.sent) +
                      "\r\nDeadline-Remaining: 4000\r\nContent-Length: " + std::to_string(body_bytes) +
                      "\r\n\r\n" + std::string(body_bytes, 'b'));
    REQUIRE(RunUntil(mesh.io, [&] { return connection->received.find("\r\n\r\n") != std::string::npos; }));
    return connection->received.substr(9, 3);
  };
  for (const std::size_t body_bytes :
       {std::size_t{100'000}, std::size_t{1'000'000}}) {  // in one frame, in several
    INFO(body_bytes);
    CHECK(send(body_bytes) == "503");
    CHECK(mesh.arrivals.empty());
  }
  CHECK(mesh.SendAndWait("unsafe") == 200);  // a small body finds room
  large.Release();
  CHECK(send(1'000'000) == "200");
  CHECK(RunUntil(mesh.io, [&] { return account.charged(memory::BufferAccount::Pool::kLarge) == 0; }));
}

TEST_CASE("an unsafe request that exceeds its deadline gets 504") {
  MeshFixture mesh(2, [](std::size_t, RawConnection&, const std::string&) {});
  CHECK(mesh.SendAndWait("unsafe", 300) == 504);
}

TEST_CASE("an unsafe request on a connection that the server closes gets 502 and is not retried") {
  MeshFixture mesh(3, [](std::size_t, RawConnection& connection, const std::string&) { connection.Close(); });
  CHECK(mesh.SendAndWait("unsafe") == 502);
  CHECK(mesh.arrivals.size() == 1);
}

TEST_CASE("a safe request is retried at another server after a reset") {
  MeshFixture mesh(2, [](std::size_t nth, RawConnection& connection, const std::string& request) {
    nth == 1 ? connection.Close() : WriteResponse(connection, request, "200 OK");
  });
  CHECK(mesh.SendAndWait("safe") == 200);
  REQUIRE(mesh.arrivals.size() == 2);
  CHECK(mesh.arrivals[0] != mesh.arrivals[1]);
}

TEST_CASE("an unsafe request is retried if the server states that it was not executed") {
  const char* status = GENERATE("503 Busy", "421 Not Here");
  MeshFixture mesh(2, [&](std::size_t nth, RawConnection& connection, const std::string& request) {
    const bool first = nth == 1;
    WriteResponse(connection, request, first ? status : "200 OK", first ? "Not-Executed: 1\r\n" : "");
  });
  CHECK(mesh.SendAndWait("unsafe") == 200);
  REQUIRE(mesh.arrivals.size() == 2);
  CHECK(mesh.arrivals[0] != mesh.arrivals[1]);
}

TEST_CASE("an unsafe request that no server executed is refused with 503") {
  MeshFixture mesh(2, [](std::size_t, RawConnection& connection, const std::string& request) {
    WriteResponse(connection, request, "503 Busy", "Not-Executed: 1\r\n");
  });
  CHECK(mesh.SendAndWait("unsafe") == 503);
}

TEST_CASE("a 503 without Not-Executed is returned as 502 and not retried") {
  MeshFixture mesh(2, [](std::size_t, RawConnection& connection, const std::string& request) {
    WriteResponse(connection, request, "503 Busy");
  });
  CHECK(mesh.SendAndWait("unsafe") == 502);
  CHECK(mesh.arrivals.size() == 1);
}

TEST_CASE("an unsafe request's 500 is returned unchanged") {
  MeshFixture mesh(2, [](std::size_t, RawConnection& connection, const std::string& request) {
    WriteResponse(connection, request, "500 Broken", "X-Own: 1\r\n", "why");
  });
  CHECK(mesh.SendAndWait("unsafe") == 500);
  CHECK(HeaderValue(mesh.response, "X-Own") == "1");
  CHECK(mesh.response.substr(mesh.response.size() - 7) == "\r\n\r\nwhy");
  CHECK(mesh.arrivals.size() == 1);
}

TEST_CASE("the route limits how many servers receive a request") {
  const int attempts = GENERATE(1, 2, 3);
  INFO(attempts);
  MeshFixture mesh(
      5, [](std::size_t, RawConnection& connection, const std::string&) { connection.Close(); }, attempts);
  CHECK(mesh.SendAndWait("safe") >= 500);
  CHECK(static_cast<int>(mesh.arrivals.size()) == attempts);
  CHECK(std::set<int>(mesh.arrivals.begin(), mesh.arrivals.end()).size() == mesh.arrivals.size());
}

TEST_CASE("a request avoids proxies that are shutting down, or is refused with 503") {
  MeshFixture mesh(2, Serve);
  mesh.machines[0]->accepts_new = false;
  for (int i = 0; i < 6; ++i) CHECK(mesh.SendAndWait("unsafe") == 200);
  CHECK(std::set<int>(mesh.arrivals.begin(), mesh.arrivals.end()) == std::set<int>{1});
  mesh.machines[1]->accepts_new = false;
  CHECK(mesh.SendAndWait("unsafe", 500) == 503);
  CHECK(mesh.arrivals.size() == 6);
}

TEST_CASE("refusals are counted by route, class, hop and cause") {
  MeshFixture mesh(2, Serve);
  mesh.machines[0]->accepts_new = mesh.machines[1]->accepts_new = false;
  REQUIRE(mesh.SendAndWait("unsafe", 500) == 503);
  mesh.Send("none");
  RunFor(mesh.io, 30);
  const std::string text = prometheus::TextSerializer().Serialize(mesh.registry.Collect());
  INFO(text);
  const auto counted = [&](const std::string& series) { return text.find(series) != std::string::npos; };
  CHECK(counted(
      "refusals_total{cause=\"leaving\",class=\"unsafe-0-500\",hop=\"last_hop\",route=\"unsafe\"} 1"));
  CHECK(counted("refusals_total{cause=\"no_route\",class=\"\",hop=\"outbound\",route=\"\"} 1"));
}

TEST_CASE("a client disconnect cancels a safe request, while an unsafe one runs to its end") {
  const bool safe = GENERATE(true, false);
  MeshFixture mesh(1, [](std::size_t, RawConnection&, const std::string&) {});
  const auto connection = mesh.Send(safe ? "safe" : "unsafe");
  REQUIRE(RunUntil(mesh.io, [&] { return mesh.arrivals.size() == 1; }));
  connection->Close();
  REQUIRE(RunUntil(mesh.io, [&] { return mesh.outbound_proxy->in_flight() == 0; }));
  RunFor(mesh.io, 50);
  CHECK(mesh.machines[0]->server.connections[0]->ended == safe);
}

TEST_CASE("a client that leaves a large response midway costs nothing afterwards") {
  const bool safe = GENERATE(true, false);
  const bool reset = GENERATE(true, false);
  constexpr std::size_t kResponseBytes = std::size_t{24} << 20;  // more than fits into all buffers
  MeshFixture mesh(1, [](std::size_t, RawConnection& connection, const std::string& request) {
    WriteResponse(connection, request, "200 OK", "", std::string(kResponseBytes, 'x'));
  });
  loopback::Tcp::socket client(mesh.io);  // never reads
  client.connect({asio::ip::make_address("127.0.0.1"), mesh.port});
  const std::string kind = safe ? "safe" : "unsafe";
  asio::write(client, asio::buffer("POST /" + kind + "/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id\r\n" +
                                   "Deadline-Remaining: 4000\r\nContent-Length: 0\r\n\r\n"));
  REQUIRE(RunUntil(mesh.io, [&] { return mesh.outbound_proxy->streams() == 1; }));
  RunFor(mesh.io, 300);  // until each hop has stopped reading
  if (reset) client.set_option(asio::socket_base::linger(true, 0));
  client.close();
  REQUIRE(RunUntil(mesh.io, [&] { return mesh.outbound_proxy->streams() == 0; }));
  CHECK(RunUntil(mesh.io, [&] { return mesh.machines[0]->proxy.in_flight() == 0; }));
  CHECK(mesh.proxy_client.in_flight() == 0);
  RunFor(mesh.io, 50);
  CHECK(mesh.machines[0]->server.connections[0]->ended == safe);
}

// For the sanitizers.
TEST_CASE("the proxy may be destroyed with requests in flight") {
  MeshFixture mesh(2, [](std::size_t, RawConnection&, const std::string&) {});
  const auto first = mesh.Send("safe"), second = mesh.Send("unsafe");
  REQUIRE(RunUntil(mesh.io, [&] { return mesh.arrivals.size() == 2; }));
  mesh.http_server.reset();
  mesh.outbound_proxy.reset();
}

}  // namespace
}  // namespace fennelhollow::egress
