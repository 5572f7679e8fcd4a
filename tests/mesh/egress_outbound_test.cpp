#include <prometheus/text_serializer.h>

#include <catch2/catch.hpp>
#include <optional>
#include <set>

#include "loopback.hpp"
#include "mesh/egress/outbound_proxy.hpp"
#include "mesh/ingress/inbound_proxy.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::egress {
namespace {

using ingress::Heard;
using ingress::Say;
using ingress::Why;
using ingress::Word;
using loopback::HeaderValue;
using loopback::RawConnection;
using loopback::RawConnectionPtr;
using loopback::RunFor;
using loopback::RunUntil;
using loopback::ScriptedHttpServer;

// A last hop as the test writes it. Its Hello is sent to whoever says his.
struct FakeHop {
  using Script = std::function<void(transport::Link&, Word, std::string_view)>;
  FakeHop(asio::io_context& io, Script script)
      : port(loopback::FreePort(io)), listener(io, "127.0.0.1", port, {}, [this, script](auto link) {
          auto hello = std::make_shared<bool>(false);
          link->Start({[this, raw = link.get(), script, hello](std::string_view frame) {
                         if (std::exchange(*hello, true)) return script(*raw, ingress::WordOf(frame), frame);
                         if (!greets) return;
                         transport::Hello mine;
                         mine.incarnation = life;
                         raw->Send(Say(Word::kHello, mine));
                       },
                       [] {},
                       {}});
          links.push_back(std::move(link));
        }) {}
  ~FakeHop() {
    for (const auto& link : links) link->Close();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(port); }
  std::uint64_t life = 77;
  bool greets = true;
  std::uint16_t port;
  std::vector<std::shared_ptr<transport::Link>> links;
  transport::Listener listener;
};

struct Outcome {
  std::optional<Why> turned;
  std::optional<bool> never_ran;  // of `broken`
  int heads = 0, ends = 0;
  std::string body;
};

struct HopBench {
  explicit HopBench(FakeHop::Script script) : hop(io, std::move(script)) {}
  std::shared_ptr<Outcome> Start(bool unsafe, const std::string& address) {
    auto out = std::make_shared<Outcome>();
    ingress::Attempt attempt;
    attempt.unsafe = unsafe;
    attempt.server = "s";
    handle = client.Send(address, attempt,
                         {[out](ingress::Head head) {
                            ++out->heads;
                            out->body += head.body;
                            out->ends += head.end;
                          },
                          [out](ingress::Piece piece) { out->body += piece.bytes, out->ends += piece.end; },
                          [out](Why why) { out->turned = why, ++out->ends; },
                          [out](bool never_ran, bool) { out->never_ran = never_ran, ++out->ends; }});
    CHECK(out->ends == 0);  // never from inside the call
    return out;
  }
  Outcome Ask(bool unsafe) {
    const auto out = Start(unsafe, hop.address());
    REQUIRE(RunUntil(io, [&] { return out->ends > 0; }));
    RunFor(io, 5);
    CHECK(out->ends == 1);
    return *out;
  }
  asio::io_context io;
  merlinrun::net::AsioLoop loop{io};
  FakeHop hop;
  InboundProxyClient client{io, loop, {"me", "127.0.0.1:1", 5, 300, 100}};
  InboundProxyClient::Handle handle = 0;
};

TEST_CASE("an unsafe attempt whose link dies never ran only if the same last hop promises it") {
  enum { kPassedOn, kNever, kAnotherLife, kSilent, kDiesAgain, kGone };
  const int what = GENERATE(range(0, 6));
  INFO(what);
  std::optional<ingress::Ticket> sent, asked;
  HopBench* mine = nullptr;
  HopBench bench([&](transport::Link& link, Word word, std::string_view frame) {
    if (word == Word::kAttempt) {
      sent = Heard<ingress::Attempt>(frame)->ticket;
      if (what == kAnotherLife) ++mine->hop.life;
      if (what == kGone) mine->hop.listener.Close();
      return link.Close();
    }
    REQUIRE(word == Word::kAsk);
    asked = Heard<ingress::Ask>(frame)->ticket;
    if (what == kDiesAgain) return link.Close();
    if (what == kPassedOn || what == kNever) link.Send(Say(Word::kTold, ingress::Told{what == kPassedOn}));
  });
  mine = &bench;
  const Outcome out = bench.Ask(true);
  CHECK_FALSE(out.turned.has_value());
  REQUIRE(out.never_ran.has_value());
  CHECK(*out.never_ran == (what == kNever));
  CHECK(sent->life == 5);
  // Another life does not know: it isn't even asked.
  CHECK(asked.has_value() == (what != kAnotherLife && what != kGone));
  if (asked) CHECK(*asked == *sent);
}

TEST_CASE("a safe attempt whose link dies is over at once") {
  HopBench bench([](transport::Link& link, Word, std::string_view) { link.Close(); });
  CHECK(bench.Ask(false).never_ran == false);
  CHECK(bench.client.status_queries() == 0);
}

TEST_CASE("an unsafe attempt is not asked after once its answer has begun") {
  HopBench bench([](transport::Link& link, Word, std::string_view) {
    ingress::Head head;
    head.status = 200;
    link.Send(Say(Word::kHead, head));
    link.Send(Say(Word::kHello, transport::Hello{}));  // out of place
  });
  const auto out = bench.Start(true, bench.hop.address());
  REQUIRE(RunUntil(bench.io, [&] { return out->ends > 0; }));
  CHECK(out->never_ran == false);
  CHECK(bench.client.status_queries() == 0);
}

TEST_CASE("an attempt that has not left is turned away: nobody listens, or says no Hello") {
  HopBench bench([](transport::Link&, Word, std::string_view) {});
  auto out = bench.Start(true, "127.0.0.1:" + std::to_string(loopback::FreePort(bench.io)));
  REQUIRE(RunUntil(bench.io, [&] { return out->ends > 0; }));
  CHECK(out->turned == Why::kUnreachable);
  bench.hop.greets = false;
  out = bench.Start(true, bench.hop.address());
  REQUIRE(RunUntil(bench.io, [&] { return bench.hop.links.size() == 1; }));
  bench.hop.links[0]->Close();
  REQUIRE(RunUntil(bench.io, [&] { return out->ends > 0; }));
  CHECK(out->turned == Why::kUnreachable);
}

TEST_CASE("a link is used again, but not one whose attempt was given up") {
  int attempts = 0;
  HopBench bench([&](transport::Link& link, Word word, std::string_view) {
    if (word != Word::kAttempt || ++attempts == 3) return;
    ingress::Head head;
    head.end = true;
    link.Send(Say(Word::kHead, head));
  });
  bench.Ask(true);
  bench.Ask(true);
  CHECK(bench.client.links_dialed() == 1);
  const auto out = bench.Start(true, bench.hop.address());
  REQUIRE(RunUntil(bench.io, [&] { return attempts == 3; }));
  bench.client.GiveUp(bench.handle);
  RunFor(bench.io, 20);
  CHECK(out->ends == 0);
  bench.Ask(true);
  CHECK(bench.client.links_dialed() == 2);
}

// A machine: a last hop and its server.
struct Machine {
  Machine(asio::io_context& io, merlinrun::core::Loop& loop, const std::string& id,
          ScriptedHttpServer::Script script)
      : server(io, std::move(script)),
        port(loopback::FreePort(io)),
        last_hop(io, loop, {port, {}},
                 {[this](const std::string& wanted) { return wanted == told.id ? &told : nullptr; },
                  [this](const std::string&) { ++dead; },
                  [this] { return takes; },
                  {}}),
        listener(io, "127.0.0.1", port, {}, [this](std::shared_ptr<transport::Link> link) {
          transport::Link* raw = link.get();
          links.push_back(std::move(link));
          raw->Start({[this, raw](std::string_view frame) {
                        REQUIRE(transport::Unpack<transport::Hello>(frame).ok());
                        last_hop.Serve(raw->shared_from_this());
                      },
                      [] {},
                      {}});
        }) {
    told.id = id;
    told.service = "a";
    told.address = server.address();
    told.slots = 4;
    told.sidecar_address = "127.0.0.1:" + std::to_string(port);
  }
  ScriptedHttpServer server;
  std::uint16_t port;
  registry::Server told;
  bool takes = true;
  int dead = 0;
  ingress::InboundProxy last_hop;
  std::vector<std::shared_ptr<transport::Link>> links;
  transport::Listener listener;
};

void Answer(RawConnection& raw, const std::string& request, const std::string& status,
            const std::string& more = "", const std::string& body = "done") {
  raw.Write("HTTP/1.1 " + status + "\r\nAttempt-Id: " + HeaderValue(request, "Attempt-Id") +
            "\r\nServer-Seal: s\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
            body);
}

// ---- the last hop, to frames that the test writes ----

struct LastHopBench {
  asio::io_context io;
  merlinrun::net::AsioLoop loop{io};
  Machine machine{io, loop, "s",
                  [](RawConnection& raw, const std::string& request) { Answer(raw, request, "200 OK"); }};
  struct End {
    std::shared_ptr<transport::Link> link;
    std::vector<std::string> frames;
  };
  std::vector<std::shared_ptr<End>> ends;
  ~LastHopBench() {
    for (const auto& end : ends) end->link->Close();
  }
  std::shared_ptr<End> Dial() {
    auto end = std::make_shared<End>();
    ends.push_back(end);
    end->link = transport::Link::Dial(io, {asio::ip::address_v4::loopback(), machine.port}, 1000, {});
    end->link->Start({[raw = end.get()](std::string_view f) { raw->frames.emplace_back(f); }, [] {}, {}});
    end->link->Send(transport::Pack(transport::Hello{}));
    Next(end, Word::kHello);
    REQUIRE(Heard<transport::Hello>(end->frames[0])->incarnation == machine.port);
    end->frames.clear();
    return end;
  }
  // The frame that comes first is such a one.
  void Next(const std::shared_ptr<End>& end, Word word) {
    REQUIRE(RunUntil(io, [&] { return !end->frames.empty(); }));
    REQUIRE(static_cast<int>(ingress::WordOf(end->frames[0])) == static_cast<int>(word));
  }
  Why Turned(const ingress::Attempt& attempt) {
    const auto end = Dial();
    end->link->Send(Say(Word::kAttempt, attempt));
    Next(end, Word::kTurned);
    return static_cast<Why>(Heard<ingress::Turned>(end->frames[0])->why);
  }
  bool PassedOn(const ingress::Ticket& ticket) {
    const auto end = Dial();
    end->link->Send(Say(Word::kAsk, ingress::Ask{ticket}));
    Next(end, Word::kTold);
    return Heard<ingress::Told>(end->frames[0])->passed_on;
  }
  static ingress::Attempt Attempt(std::uint64_t number) {
    ingress::Attempt out;
    out.ticket = {5, number};
    out.server = "s";
    out.method = "GET";
    out.target = "/";
    out.headers = {{"Host", "h"}, {"Attempt-Id", std::to_string(number)}};
    out.left_ms = 10'000;
    out.wait_ms = 5'000;
    return out;
  }
};

TEST_CASE("what is turned away is said why, and is not at the server, now or later") {
  LastHopBench bench;
  auto wanted = bench.Attempt(1);
  SECTION("asked after before it came") {
    CHECK_FALSE(bench.PassedOn({5, 1}));
    CHECK(bench.Turned(wanted) == Why::kFull);
  }
  SECTION("this process is about to end") {
    bench.machine.takes = false;
    CHECK(bench.Turned(wanted) == Why::kLeaving);
  }
  SECTION("for another life of the server") {
    wanted.server = "s-before";
    CHECK(bench.Turned(wanted) == Why::kNotHere);
  }
  SECTION("the server is draining") {
    bench.machine.told.state = registry::State::kDraining;
    CHECK(bench.Turned(wanted) == Why::kDraining);
  }
  SECTION("its time is over") {
    wanted.left_ms = 0;
    CHECK(bench.Turned(wanted) == Why::kLate);
  }
  SECTION("nothing listens") {
    bench.machine.told.address = "127.0.0.1:" + std::to_string(loopback::FreePort(bench.io));
    CHECK(bench.Turned(wanted) == Why::kUnreachable);
    CHECK(bench.machine.dead == 1);
  }
  bench.machine.takes = true;
  bench.machine.told.state = registry::State::kReady;
  wanted.server = "s";
  wanted.left_ms = 10'000;
  bench.Turned(wanted);  // the same ticket again
  RunFor(bench.io, 20);
  CHECK(bench.machine.server.requests.empty());
}

TEST_CASE("what is passed on is said to be, from then on, and goes to the server once") {
  LastHopBench bench;
  const auto end = bench.Dial();
  end->link->Send(Say(Word::kAttempt, bench.Attempt(1)));
  bench.Next(end, Word::kHead);
  const auto head = Heard<ingress::Head>(end->frames[0]);
  CHECK(head->status == 200);
  CHECK(head->end);
  CHECK(head->body == "done");
  CHECK(bench.PassedOn({5, 1}));
  CHECK_FALSE(bench.PassedOn({6, 1}));  // another life's
  bench.Turned(bench.Attempt(1));
  REQUIRE(bench.machine.server.requests.size() == 1);
  CHECK(HeaderValue(bench.machine.server.requests[0], "Expected-Instance") == "s");
  CHECK(std::stol(HeaderValue(bench.machine.server.requests[0], "Deadline-Remaining")) <= 10'000);
}

// ---- the whole way ----

struct World {
  // `nth`: of all that have arrived at servers, from 1.
  using Script = std::function<void(std::size_t nth, RawConnection&, const std::string& request)>;
  World(int servers, Script script, int attempts = 2) : port(loopback::FreePort(io)) {
    registry::Snapshot listing;
    listing.revision = 1;
    for (int i = 0; i < servers; ++i) {
      machines.push_back(
          std::make_unique<Machine>(io, loop, "s" + std::to_string(i),
                                    [this, script, i](RawConnection& raw, const std::string& request) {
                                      arrived.push_back(i);
                                      script(arrived.size(), raw, request);
                                    }));
      listing.servers.push_back(machines.back()->told);
    }
    outbound = std::make_unique<OutboundProxy>(
        loop, OutboundProxy::Settings{"me", "z", {{"z", "r"}}, 1, {}, 0.5, 0}, hops, gauge, request_metrics);
    front = std::make_unique<HttpServer>(
        io, settings::Address{"127.0.0.1", port}, HttpServer::Limits{},
        HttpServer::Handler{
            [this](const auto& session, HttpRequest in) { outbound->OnRequest(session, std::move(in)); },
            [this](const auto& session) { outbound->OnClientDisconnect(session); }});
    const std::string route =
        R"({"resourceKind":"routes","metadata":{"name":"NAME"},"specification":{"host":"h",
      "pathPrefix":"/NAME/","kind":"NAME","timeoutMs":5000,"targetLatencyMs":500,"service":"a","attempts":)" +
        std::to_string(attempts) + "}}";
    std::string text =
        R"({"version":1,"resourceList":[{"resourceKind":"services","metadata":{"name":"a"},"specification":{}})";
    for (const std::string name : {"safe", "unsafe"}) {
      std::string one = route;
      for (auto at = one.find("NAME"); at != std::string::npos; at = one.find("NAME"))
        one.replace(at, 4, name);
      text += "," + one;
    }
    const auto verdict = configuration::ReplicatedState().Evaluate(false, text + "]}");
    INFO(verdict.error);
    REQUIRE(verdict.kind == configuration::ChangeResult::Kind::kAccepted);
    outbound->OnConfiguration(*configuration::RoutingTables::Build(
        configuration::ReplicatedState::Parse(verdict.next_state)->newest()));
    outbound->OnEndpoints(listing, 0, 1);
  }
  RawConnectionPtr Send(const std::string& kind, int deadline_ms = 4000) {
    const auto raw = RawConnection::Connect(io, port);
    raw->Write("POST /" + kind + "/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id-" + std::to_string(++sent) +
               "\r\nDeadline-Remaining: " + std::to_string(deadline_ms) +
               "\r\nContent-Length: 4\r\n\r\nbody");
    return raw;
  }
  // The status, after which nothing more comes.
  int Ask(const std::string& kind, int deadline_ms = 4000) {
    const auto raw = Send(kind, deadline_ms);
    REQUIRE(RunUntil(io, [&] { return raw->received.find("\r\n\r\n") != std::string::npos; }));
    RunFor(io, 30);
    answer = raw->received;
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);  // one
    return std::stoi(answer.substr(9, 3));
  }
  asio::io_context io;
  merlinrun::net::AsioLoop loop{io};
  std::uint16_t port;
  int sent = 0;
  std::vector<int> arrived;
  std::string answer;
  std::vector<std::unique_ptr<Machine>> machines;
  quota::Limiter gauge{{}};
  InboundProxyClient hops{io, loop, {"me", "127.0.0.1:1", 5, 300, 400}};
  prometheus::Registry registry;
  metrics::RequestMetrics request_metrics{registry};
  std::unique_ptr<OutboundProxy> outbound;
  std::unique_ptr<HttpServer> front;
};

void Serve(std::size_t, RawConnection& raw, const std::string& request) { Answer(raw, request, "200 OK"); }

TEST_CASE("a request goes the whole way, with what the system adds and without what it keeps") {
  World world(1, Serve);
  CHECK(world.Ask("unsafe") == 200);
  CHECK(world.answer.substr(world.answer.size() - 8) == "\r\n\r\ndone");
  const std::string request = world.machines[0]->server.requests.at(0);
  CHECK(HeaderValue(request, "Attempt-Id") == "id-1");
  CHECK(HeaderValue(request, "Calling-Service") == "me");
  CHECK(HeaderValue(request, "Expected-Instance") == "s0");
  CHECK(request.substr(request.size() - 8) == "\r\n\r\nbody");
}

// The server may be at work on it: 503 would promise that it never ran.
TEST_CASE("the deadline of an unsafe request passes at a silent server: no promise, and nobody else has it") {
  World world(2, [](std::size_t, RawConnection&, const std::string&) {});
  const int status = world.Ask("unsafe", 300);
  CHECK((status == 502 || status == 504));
  CHECK(world.arrived.size() == 1);
}

// Found on the bench: a request that came 4 s after SIGTERM was cut with the process.
TEST_CASE("a sidecar that ends answers all that it has taken, and what still comes by a promise") {
  World world(1, [](std::size_t, RawConnection&, const std::string&) {});
  const auto safe = world.Send("safe"), unsafe = world.Send("unsafe");
  REQUIRE(RunUntil(world.io, [&] { return world.arrived.size() == 2; }));
  world.outbound->SetShutdownDeadline(world.loop.Now());
  world.outbound->RefuseNewRequests();
  world.outbound->FinishInFlight();
  const auto answered = [](const RawConnectionPtr& raw) {
    return raw->received.find("\r\n\r\n") != std::string::npos;
  };
  REQUIRE(RunUntil(world.io, [&] { return answered(safe) && answered(unsafe); }));
  CHECK(safe->received.substr(9, 3) == "503");
  CHECK(unsafe->received.substr(9, 3) == "504");
  CHECK(world.Ask("unsafe") == 503);
  CHECK(world.arrived.size() == 2);
}

TEST_CASE("an unsafe request that runs out of time is answered 504") {
  World world(2, [](std::size_t, RawConnection&, const std::string&) {});
  CHECK(world.Ask("unsafe", 300) == 504);
}

TEST_CASE("an unsafe request that a server has and does not answer: 502, and nobody else has it") {
  World world(3, [](std::size_t, RawConnection& raw, const std::string&) { raw.Close(); });
  CHECK(world.Ask("unsafe") == 502);
  CHECK(world.arrived.size() == 1);
}

TEST_CASE("a safe request after a reset goes to another server, and is served once") {
  World world(2, [](std::size_t nth, RawConnection& raw, const std::string& request) {
    nth == 1 ? raw.Close() : Answer(raw, request, "200 OK");
  });
  CHECK(world.Ask("safe") == 200);
  REQUIRE(world.arrived.size() == 2);
  CHECK(world.arrived[0] != world.arrived[1]);
}

TEST_CASE("a server's word that it did not run a request sends it elsewhere, also an unsafe one") {
  const char* status = GENERATE("503 Busy", "421 Not Here");
  World world(2, [&](std::size_t nth, RawConnection& raw, const std::string& request) {
    const bool first = nth == 1;
    Answer(raw, request, first ? status : "200 OK", first ? "Not-Executed: 1\r\n" : "");
  });
  CHECK(world.Ask("unsafe") == 200);
  REQUIRE(world.arrived.size() == 2);
  CHECK(world.arrived[0] != world.arrived[1]);
}

TEST_CASE("an unsafe request that no server ran is refused by a promise") {
  World world(2, [](std::size_t, RawConnection& raw, const std::string& request) {
    Answer(raw, request, "503 Busy", "Not-Executed: 1\r\n");
  });
  CHECK(world.Ask("unsafe") == 503);
}

TEST_CASE("a 503 without that word is no promise, and is not passed on as one") {
  World world(2, [](std::size_t, RawConnection& raw, const std::string& request) {
    Answer(raw, request, "503 Busy");
  });
  CHECK(world.Ask("unsafe") == 502);
  CHECK(world.arrived.size() == 1);
}

TEST_CASE("an unsafe request's 500 is its answer, unchanged") {
  World world(2, [](std::size_t, RawConnection& raw, const std::string& request) {
    Answer(raw, request, "500 Broken", "X-Own: 1\r\n", "why");
  });
  CHECK(world.Ask("unsafe") == 500);
  CHECK(HeaderValue(world.answer, "X-Own") == "1");
  CHECK(world.answer.substr(world.answer.size() - 7) == "\r\n\r\nwhy");
  CHECK(world.arrived.size() == 1);
}

TEST_CASE("the route bounds how many servers have a request") {
  const int attempts = GENERATE(1, 2, 3);
  INFO(attempts);
  World world(
      5, [](std::size_t, RawConnection& raw, const std::string&) { raw.Close(); }, attempts);
  CHECK(world.Ask("safe") >= 500);
  CHECK(static_cast<int>(world.arrived.size()) == attempts);
  CHECK(std::set<int>(world.arrived.begin(), world.arrived.end()).size() == world.arrived.size());
}

TEST_CASE("where nothing new is taken a request goes elsewhere, or is refused by a promise") {
  World world(2, Serve);
  world.machines[0]->takes = false;
  for (int i = 0; i < 6; ++i) CHECK(world.Ask("unsafe") == 200);
  CHECK(std::set<int>(world.arrived.begin(), world.arrived.end()) == std::set<int>{1});
  world.machines[1]->takes = false;
  CHECK(world.Ask("unsafe", 500) == 503);
  CHECK(world.arrived.size() == 6);
}

TEST_CASE("a refusal can be told by its route, class, hop and cause") {
  World world(2, Serve);
  world.machines[0]->takes = world.machines[1]->takes = false;
  REQUIRE(world.Ask("unsafe", 500) == 503);
  world.Send("none");
  RunFor(world.io, 30);
  const std::string text = prometheus::TextSerializer().Serialize(world.registry.Collect());
  INFO(text);
  const auto counted = [&](const std::string& series) { return text.find(series) != std::string::npos; };
  CHECK(counted(
      "refusals_total{cause=\"leaving\",class=\"unsafe-0-500\",hop=\"last_hop\",route=\"unsafe\"} 1"));
  CHECK(counted("refusals_total{cause=\"no_route\",class=\"\",hop=\"outbound\",route=\"\"} 1"));
}

TEST_CASE("a client that leaves ends its safe request, an unsafe one runs to its end") {
  const bool safe = GENERATE(true, false);
  World world(1, [](std::size_t, RawConnection&, const std::string&) {});
  const auto raw = world.Send(safe ? "safe" : "unsafe");
  REQUIRE(RunUntil(world.io, [&] { return world.arrived.size() == 1; }));
  raw->Close();
  REQUIRE(RunUntil(world.io, [&] { return world.outbound->in_flight() == 0; }));
  RunFor(world.io, 50);
  CHECK(world.machines[0]->server.connections[0]->ended == safe);
}

// For the sanitizers.
TEST_CASE("it may end with requests under way") {
  World world(2, [](std::size_t, RawConnection&, const std::string&) {});
  const auto first = world.Send("safe"), second = world.Send("unsafe");
  REQUIRE(RunUntil(world.io, [&] { return world.arrived.size() == 2; }));
  world.front.reset();
  world.outbound.reset();
}

}  // namespace
}  // namespace fennelhollow::egress
