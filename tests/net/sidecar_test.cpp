// Tests the whole sidecar with scripted clients, servers and discovery.
#include "net/sidecar.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class SidecarTest : public ::testing::Test {
 protected:
  SidecarTest()
      : discovery(io, [this](Peer& peer) {
          if (peer.requests() == 1 && watching == nullptr) {
            watching = &peer;
            peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
          }
        }) {}

  void Start(const std::vector<nlohmann::json>& instances) {
    Start(instances, [](nlohmann::json&) {});
  }
  void Start(const std::vector<nlohmann::json>& instances,
             const std::function<void(nlohmann::json&)>& change) {
    nlohmann::json json = ConfigJson(discovery.address, instances);
    change(json);
    Config config = ParseConfig(json.dump(), "", "");
    config.listen = Loopback();
    sidecar = std::make_unique<Sidecar>(io, std::move(config));
    sidecar->Start();
    ASSERT_TRUE(RunUntil(io, [&] { return watching != nullptr; }));
  }
  void SendList(const nlohmann::json& list) {
    const std::string text = list.dump() + "\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    watching->Write(size + text + "\r\n");
  }
  static std::string Get(const std::string& id, const std::string& headers = "") {
    return "GET /api?obj=k1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
           "\r\nReq-Kind: look\r\nReq-Deadline: 5.0\r\n" + headers + "\r\n";
  }
  static std::string Post(const std::string& kind, const std::string& id,
                          const std::string& deadline = "5.0") {
    return "POST /api HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id + "\r\nReq-Kind: " + kind +
           "\r\nReq-Deadline: " + deadline + (kind == "pay" ? "\r\nIdempotency-Key: k" + id : "") +
           "\r\nContent-Length: 4\r\n\r\nbody";
  }
  std::shared_ptr<Peer> Client(const std::string& text) {
    auto client = Connect(io, sidecar->address());
    client->Write(text);
    return client;
  }
  // The status of the client's n-th response; empty on timeout.
  std::string Status(Peer& client, int n = 1) {
    if (!RunUntil(io, [&] { return client.requests() >= n; })) return "";
    std::size_t at = 0;
    for (int i = 1; i < n; ++i) at = client.received.find("HTTP/1.1 ", at + 1);
    return client.received.substr(at + 9, 3);
  }
  std::string StatusOf(const std::string& text) { return Status(*Client(text)); }
  // Keeps `out` requests in flight until `count` have been answered, one by one. `waiting`: the servers'
  // connections with a pending request.
  void KeepInFlight(std::size_t out, int count, std::vector<Peer*>& waiting) {
    std::vector<int> answered(out, 0);
    for (std::size_t i = 0; i < out; ++i) kept.push_back(Client(Get("c" + std::to_string(i))));
    for (int i = 0; i < count; ++i) {
      ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == out; })) << i;
      waiting.front()->Write(Reply("200 OK", "ok"));
      waiting.erase(waiting.begin());
      std::size_t next = 0;
      const auto has_answer = [&](std::size_t client) { return kept[client]->requests() > answered[client]; };
      ASSERT_TRUE(RunUntil(io, [&] {
        for (next = 0; next < out && !has_answer(next); ++next) continue;
        return next < out;
      }));
      ASSERT_EQ(Status(*kept[next], ++answered[next]), "200");
      kept[next]->Write(Get("d" + std::to_string(i)));
    }
    ASSERT_TRUE(RunUntil(io, [&] { return waiting.size() == out; }));
  }

  asio::io_context io;
  Peer* watching = nullptr;
  ScriptedServer discovery;
  std::unique_ptr<Sidecar> sidecar;
  std::vector<std::shared_ptr<Peer>> kept;
};

TEST_F(SidecarTest, IsReadyOnceItKnowsAServer) {
  ScriptedServer server(io, Serves("ok"));
  Start(std::vector<nlohmann::json>());
  EXPECT_EQ(StatusOf("GET /ready HTTP/1.1\r\n\r\n"), "503");
  SendList(List(2, true, {Entry("s1", server.address)}));
  ASSERT_TRUE(RunUntil(io, [&] { return StatusOf("GET /ready HTTP/1.1\r\n\r\n") == "200"; }));
  EXPECT_EQ(StatusOf(Get("r1")), "200");
}

TEST_F(SidecarTest, ForwardsRequestAndResponse) {
  ScriptedServer server(io, Serves("the body"));
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1", "Connection: keep-alive\r\nTE: trailers\r\n"));
  EXPECT_EQ(Status(*client), "200");
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.find("the body") != std::string::npos; }));
  const std::string& sent = server.peers[0]->received;
  EXPECT_EQ(sent.rfind("GET /api?obj=k1 HTTP/1.1\r\n", 0), 0U);
  EXPECT_NE(sent.find("Req-Id: r1\r\n"), std::string::npos);
  EXPECT_NE(sent.find("Req-Deadline: 4.9"), std::string::npos)
      << sent;  // the remaining time without the margin
  EXPECT_EQ(sent.find("TE: "), std::string::npos);
  client->Write(Get("r2"));
  EXPECT_EQ(Status(*client, 2), "200");
  EXPECT_EQ(sidecar->active_requests(), 0U);
}

TEST_F(SidecarTest, AnswersPipelinedRequestsInOrder) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  auto client = Client(Post("pay", "r1") + Get("r2") + Get("r3"));
  EXPECT_EQ(Status(*client, 3), "200");
  EXPECT_EQ(server.requests(), 3);
}

TEST_F(SidecarTest, RejectsMalformedAndTooLargeRequests) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  const std::pair<std::string, std::string> cases[] = {
      {"nonsense\r\n\r\n", "400"},
      {"GET /api HTTP/1.1\r\nno colon\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nContent-Length: -4\r\n\r\n", "400"},
      {"POST /api HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n" + std::string(70000, 'x'), "413"},
      {"GET /api HTTP/1.1\r\nX: " + std::string(30000, 'x') + "\r\n\r\n", "431"}};
  for (const auto& [text, status] : cases) {
    auto client = Client(text);
    EXPECT_EQ(Status(*client), status) << text.substr(0, 40);
    EXPECT_TRUE(RunUntil(io, [&] { return client->ended; })) << "not closed: " << text.substr(0, 40);
  }
  EXPECT_EQ(StatusOf("GET /api HTTP/1.1\r\nReq-Kind: look\r\n\r\n"), "400");
  EXPECT_EQ(StatusOf("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: other\r\n\r\n"), "404");
  EXPECT_EQ(StatusOf("GET /api HTTP/1.1\r\nReq-Id: r1\r\nReq-Kind: look\r\nReq-Deadline: soon\r\n\r\n"),
            "400");
  EXPECT_EQ(server.requests(), 0);
  EXPECT_EQ(StatusOf(Get("r2")), "200");
}

TEST_F(SidecarTest, ForwardsOnlyTheHeadersOfTheProtocol) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)});
  EXPECT_EQ(StatusOf(Get("r1", "Req-Extra: a=1\r\nX-Other: x\r\nCookie: c\r\nUpgrade: h2c\r\n")), "200");
  const std::string& sent = server.peers[0]->received;
  EXPECT_NE(sent.find("Req-Extra: a=1\r\n"), std::string::npos);
  EXPECT_NE(sent.find("Host: origin.svc\r\n"), std::string::npos);
  for (const char* other : {"X-Other", "Cookie", "Upgrade"})
    EXPECT_EQ(sent.find(other), std::string::npos) << sent;
}

// After an invalid response the request may have run: only safe requests are retried.
TEST_F(SidecarTest, AnInvalidResponseIsRetriedOnlyIfSafe) {
  int seen = 0;
  const auto spoils_first = [&](Peer& peer) {
    peer.Write(seen++ == 0 ? "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nxx"
                           : Reply("200 OK", "ok"));
  };
  ScriptedServer one(io, spoils_first);
  ScriptedServer two(io, spoils_first);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  EXPECT_EQ(StatusOf(Get("r1")), "200");
  EXPECT_EQ(seen, 2);
  seen = 0;
  EXPECT_EQ(StatusOf(Post("port", "r2")), "502");
  EXPECT_EQ(seen, 1);
}

TEST_F(SidecarTest, AnUnsafeRequestThatMayHaveRunIsNotRetried) {
  const auto reset = [](Peer& peer) { peer.Reset(); };
  ScriptedServer one(io, reset);
  ScriptedServer two(io, reset);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  EXPECT_EQ(StatusOf(Post("port", "r1")), "502");
  RunFor(io, 300ms);
  EXPECT_EQ(one.requests() + two.requests(), 1);
}

TEST_F(SidecarTest, AnUnsafeRequestThatWasDeclinedIsRetried) {
  int seen = 0;
  const auto decline_first = [&](Peer& peer) {
    peer.Write(seen++ == 0 ? Reply("503 Service Unavailable", "", "Srv-Declined: 1\r\n")
                           : Reply("200 OK", "ok"));
  };
  ScriptedServer one(io, decline_first);
  ScriptedServer two(io, decline_first);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  EXPECT_EQ(StatusOf(Post("port", "r1")), "200");
  EXPECT_EQ(one.requests(), 1);
  EXPECT_EQ(two.requests(), 1);
}

TEST_F(SidecarTest, ASilentServerIsLimitedByTheClientsDeadline) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(StatusOf(Post("port", "r1", "0.6")), "502");
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 600ms);
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }))
      << "the connection of the attempt is still open";
  EXPECT_EQ(sidecar->active_requests(), 0U);
}

TEST_F(SidecarTest, AClientDisconnectCancelsTheAttempt) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return server.peers[0]->ended; }));
  EXPECT_TRUE(RunUntil(io, [&] { return sidecar->active_requests() == 0; }));
}

TEST_F(SidecarTest, ATruncatedResponseIsNeverForwarded) {
  int seen = 0;
  ScriptedServer server(io, [&](Peer& peer) {
    if (seen++ > 0) return peer.Write(Reply("200 OK", "whole"));
    peer.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
    peer.Close();
  });
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  EXPECT_EQ(Status(*client), "200");  // safe, so it is retried
  ASSERT_TRUE(RunUntil(io, [&] { return client->received.find("whole") != std::string::npos; }));
  EXPECT_EQ(client->received.find("short"), std::string::npos);
}

TEST_F(SidecarTest, RefusesWithRetryAfterIfNoServerIsReachable) {
  ScriptedServer server(io);
  server.StopListening();
  Start({Entry("s1", server.address)});
  auto client = Client(Get("r1"));
  EXPECT_EQ(Status(*client), "503");
  EXPECT_NE(client->received.find("Retry-After: "), std::string::npos);
}

TEST_F(SidecarTest, SendsNothingToADrainingServer) {
  ScriptedServer one(io, Serves("one"));
  ScriptedServer two(io, Serves("two"));
  Start({Entry("s1", one.address)});
  EXPECT_EQ(StatusOf(Get("r1")), "200");
  SendList(List(2, false, {Entry("s1", one.address, "draining"), Entry("s2", two.address)}));
  ASSERT_TRUE(RunUntil(io, [&] { return one.peers[0]->ended; }));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(StatusOf(Get("d" + std::to_string(i))), "200");
  EXPECT_EQ(one.requests(), 1);
  EXPECT_EQ(two.requests(), 5);
}

// One invalid response must not eject a server that serves other requests: with several servers ejected the
// rest would be overloaded.
TEST_F(SidecarTest, OneInvalidResponseDoesNotEjectAHealthyServer) {
  const auto holds_one = [](Peer& peer) {
    if (peer.received.find("Req-Id: held", peer.received.rfind("Req-Id: ")) == std::string::npos)
      peer.Write(Reply("200 OK", "ok"));
  };
  ScriptedServer one(io, holds_one);
  ScriptedServer two(io, holds_one);
  Start({Entry("s1", one.address), Entry("s2", two.address)});
  auto held = Client(Post("port", "held"));
  ASSERT_TRUE(RunUntil(io, [&] { return one.requests() + two.requests() == 1; }));
  ScriptedServer& holder = one.requests() == 1 ? one : two;
  for (int i = 0; holder.requests() < 5; ++i) ASSERT_EQ(StatusOf(Get("g" + std::to_string(i))), "200");
  holder.peers[0]->Write("noise\r\n\r\n");
  EXPECT_EQ(Status(*held), "502");
  const int before = holder.requests();
  for (int i = 0; i < 40; ++i) EXPECT_EQ(StatusOf(Get("n" + std::to_string(i))), "200");
  EXPECT_GT(holder.requests(), before + 2);
}

// A draining server must not cause load shedding on the others.
TEST_F(SidecarTest, ReplacingAServerRefusesNoRequests) {
  bool answers = true;
  ScriptedServer server(io, [&](Peer& peer) {
    if (answers) peer.Write(Reply("200 OK", "ok"));
  });
  std::vector<nlohmann::json> servers;
  for (int i = 0; i < 8; ++i) servers.push_back(Entry("s" + std::to_string(i), server.address));
  Start(servers);
  for (int i = 0; i < 40; ++i) ASSERT_EQ(StatusOf(Get("a" + std::to_string(i))), "200");
  answers = false;
  SendList(List(2, false, {Entry("s3", server.address, "draining")}));
  RunFor(io, 50ms);
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 80; ++i) clients.push_back(Client(Get("b" + std::to_string(i))));
  EXPECT_TRUE(RunUntil(
      io, [&] { return server.requests() == 120; }, 5s));
  for (const auto& client : clients) EXPECT_EQ(client->received, "");
}

// When servers stall, the attempts in flight show the overload before any response does.
TEST_F(SidecarTest, MoreAttemptsInFlightThanUsualCauseLoadShedding) {
  std::vector<Peer*> waiting;
  ScriptedServer server(io, [&](Peer& peer) { waiting.push_back(&peer); });
  Start({Entry("s1", server.address), Entry("s2", server.address)});
  KeepInFlight(32, 700, waiting);
  std::vector<std::shared_ptr<Peer>> more;
  for (int i = 0; i < 80; ++i) more.push_back(Client(Get("e" + std::to_string(i))));
  const auto refused = [&] {
    return std::count_if(more.begin(), more.end(), [](const auto& c) { return c->requests() > 0; });
  };
  EXPECT_TRUE(RunUntil(io, [&] { return waiting.size() + static_cast<std::size_t>(refused()) == 112; }));
  EXPECT_GT(refused(), 30);
  EXPECT_LT(waiting.size(), 70U);
}

// A stalled server must not receive many requests before the first of them is late.
TEST_F(SidecarTest, AStalledServerWithRequestsInFlightGetsFewMore) {
  bool stalls = false;
  const auto delayed = [&](Peer& peer) {
    const auto timer = std::make_shared<asio::steady_timer>(io, 40ms);
    timer->async_wait(
        [timer, kept = peer.shared_from_this()](ErrorCode) { kept->Write(Reply("200 OK", "ok")); });
  };
  ScriptedServer good(io, delayed);
  ScriptedServer stalled(io, [&](Peer& peer) {
    if (!stalls) delayed(peer);
  });
  std::vector<nlohmann::json> servers = {Entry("s0", stalled.address)};
  for (int i = 1; i < 7; ++i) servers.push_back(Entry("s" + std::to_string(i), good.address));
  Start(servers);
  std::vector<std::shared_ptr<Peer>> clients;
  const auto send = [&](int count) {
    for (int i = 0; i < count; ++i) clients.push_back(Client(Get("r" + std::to_string(clients.size()))));
    return RunUntil(io,
                    [&] { return good.requests() + stalled.requests() == static_cast<int>(clients.size()); });
  };
  ASSERT_TRUE(send(60));  // establishes the usual response time
  for (const auto& client : clients) ASSERT_EQ(Status(*client), "200");
  stalls = true;
  const int before = stalled.requests();
  ASSERT_TRUE(send(40));
  const int held = stalled.requests() - before;
  ASSERT_GT(held, 0);
  RunFor(io, 500ms);  // half of the target latency
  ASSERT_TRUE(send(150));
  EXPECT_LT(stalled.requests() - before - held, 10);
}

// Overdue requests must not cause load shedding while the servers are idle.
TEST_F(SidecarTest, UnansweredRequestsCauseNoLoadSheddingAtLowLoad) {
  std::vector<Peer*> waiting;
  bool answers = true;
  ScriptedServer server(io, [&](Peer& peer) {
    if (peer.received.find("Req-Id: lost", peer.received.rfind("Req-Id: ")) == std::string::npos)
      answers ? waiting.push_back(&peer) : peer.Write(Reply("200 OK", "ok"));
  });
  Start({Entry("s1", server.address), Entry("s2", server.address)});
  KeepInFlight(32, 700, waiting);
  answers = false;
  for (Peer* peer : std::exchange(waiting, {})) peer->Write(Reply("200 OK", "ok"));
  std::vector<std::shared_ptr<Peer>> lost;
  for (int i = 0; i < 20; ++i) {
    const std::string id = "lost" + std::to_string(i);
    lost.push_back(Client("GET /api HTTP/1.1\r\nHost: o\r\nReq-Id: " + id +
                          "\r\nReq-Kind: look\r\nReq-Deadline: 2.0\r\n\r\n"));
  }
  for (const auto& client : lost) EXPECT_EQ(Status(*client), "503");
  int served = 0;
  for (int i = 0; i < 20; ++i) served += StatusOf(Get("n" + std::to_string(i))) == "200";
  EXPECT_EQ(served, 20);
}

TEST_F(SidecarTest, RejectsARequestIdInUse) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto first = Client(Post("port", "r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  EXPECT_EQ(StatusOf(Post("port", "r1")), "409");
  EXPECT_EQ(server.requests(), 1);
  server.peers[0]->Write(Reply("200 OK", "ok"));
  EXPECT_EQ(Status(*first), "200");
}

TEST_F(SidecarTest, ClosesIdleConnectionsForNewClients) {
  ScriptedServer server(io, Serves("ok"));
  Start({Entry("s1", server.address)}, [](nlohmann::json& json) { json["limits"]["sockets"] = 64; });
  std::vector<std::shared_ptr<Peer>> clients;
  for (int i = 0; i < 60; ++i) {  // three times the limit with 64 descriptors
    clients.push_back(Client(Get("r" + std::to_string(i))));
    EXPECT_EQ(Status(*clients.back()), "200") << i;
  }
  EXPECT_TRUE(clients.front()->ended);
  EXPECT_FALSE(clients.back()->ended);
}

TEST_F(SidecarTest, ShutdownAcceptsLateRequestsAndFinishesAll) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto idle = Connect(io, sidecar->address());
  auto held = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  bool finished = false;
  sidecar->Stop([&] { finished = true; });
  RunFor(io, 200ms);
  auto late = Client(Get("r2"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 2; }));
  RunFor(io, 800ms);
  EXPECT_FALSE(finished);
  EXPECT_TRUE(idle->ended);
  for (auto& peer : server.peers) peer->Write(Reply("200 OK", "ok"));
  for (const auto& client : {held, late}) {
    EXPECT_EQ(Status(*client), "200");
    EXPECT_NE(client->received.find("Connection: close\r\n"), std::string::npos);
    ASSERT_TRUE(RunUntil(io, [&] { return client->ended; }));
    client->Close();
  }
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
}

TEST_F(SidecarTest, ShutdownEndsInTimeEvenIfServersAreSilent) {
  ScriptedServer server(io);
  Start({Entry("s1", server.address)});
  auto client = Client(Post("port", "r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return server.requests() == 1; }));
  bool finished = false;
  const auto begin = std::chrono::steady_clock::now();
  sidecar->Stop([&] { finished = true; });
  EXPECT_EQ(Status(*client), "502");
  EXPECT_TRUE(RunUntil(io, [&] { return finished; }));
  EXPECT_LT(std::chrono::steady_clock::now() - begin, 3700ms);  // the earliest SIGKILL
}

}  // namespace
}  // namespace merlinrun::net
