// Clients that do not behave, and those that share the sidecar with them.
#include "net/downstream.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class InboundTest : public ::testing::Test {
 protected:
  InboundTest() {
    limits.head = limits.body_grace = 200'000;
    limits.idle = 300'000;
    limits.idle_least = 0;
    limits.linger = 100'000;
    limits.sweep = 20'000;
  }
  void Start() {
    Inbound::Events events;
    events.on_request = [this](const Inbound::SessionPtr& session, Inbound::Request request, int) {
      requests.push_back(std::move(request.head));
      pipes.push_back(std::move(request.rest));
      if (answers) Inbound::Respond(session, TextResponse(http::status::ok, body));
    };
    events.on_whole = [this](const std::string& id) { whole.push_back(id); };
    events.on_gone = [this](const std::string& id) { gone.push_back(id); };
    events.class_of = [](const RequestHeader&) { return 0; };
    events.ready = [] { return true; };
    inbound = std::make_unique<Inbound>(io, Inbound::Listening{Loopback()}, limits, budget, counters,
                                        std::move(events));
  }
  std::shared_ptr<Peer> Client(const std::string& text = "") {
    auto client = Connect(io, inbound->address());
    if (!text.empty()) client->Write(text);
    return client;
  }
  static std::string Get(const std::string& id) { return "GET /api HTTP/1.1\r\nReq-Id: " + id + "\r\n\r\n"; }
  std::string Status(Peer& client) {
    RunUntil(io, [&] { return client.requests() > 0 || client.ended; });
    return client.requests() > 0 ? client.received.substr(9, 3) : "";
  }
  bool Ends(Peer& client) {
    return RunUntil(io, [&] { return client.ended; });
  }

  asio::io_context io;
  Inbound::Limits limits;
  MemoryBudget budget{std::size_t{1} << 20};
  stats::Counters counters{{{}}};
  std::unique_ptr<Inbound> inbound;
  std::vector<HttpRequest> requests;
  std::vector<std::shared_ptr<Pipe>> pipes;
  std::vector<std::string> whole;
  std::vector<std::string> gone;
  bool answers = true;
  std::string body = "ok";
};

TEST_F(InboundTest, ClosesASilentConnectionAndToldHalfARequestOffInTime) {
  Start();
  auto silent = Client();
  auto half = Client("GET /api HTTP/1.1\r\nReq-Id: r1\r\n");
  auto body_missing = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_TRUE(Ends(*silent));
  EXPECT_EQ(silent->received, "");
  EXPECT_EQ(Status(*half), "408");
  EXPECT_EQ(Status(*body_missing), "408");
  EXPECT_TRUE(Ends(*half) && Ends(*body_missing));
  EXPECT_TRUE(RunUntil(io, [&] { return inbound->sessions() == 0; }));
  EXPECT_TRUE(requests.empty());
}

TEST_F(InboundTest, TricklingExtendsNothing) {
  Start();
  auto client = Client("GET /api HTTP/1.1\r\nX: ");
  const auto begin = std::chrono::steady_clock::now();
  while (!client->ended && client->received.empty() && std::chrono::steady_clock::now() - begin < 10s) {
    client->Write("x");
    RunFor(io, 10ms);
  }
  EXPECT_EQ(Status(*client), "408");
}

TEST_F(InboundTest, AKeptConnectionAgesOutOnlyWhenIdle) {
  answers = false;
  Start();
  auto busy = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 1; }));
  answers = true;
  auto kept = Client(Get("r2"));
  EXPECT_EQ(Status(*kept), "200");
  EXPECT_TRUE(Ends(*kept));
  EXPECT_FALSE(busy->ended) << "closed while its request is held";
}

TEST_F(InboundTest, AClientThatDoesNotReadItsAnswerIsLetGo) {
  limits.answer = 200'000;
  body = std::string(16U << 20, 'x');  // far more than the kernel buffers
  Start();
  Tcp::socket client(io);
  client.connect(inbound->address());
  asio::write(client, asio::buffer(Get("r1")));
  ASSERT_TRUE(RunUntil(io, [&] { return !requests.empty(); }));
  EXPECT_TRUE(RunUntil(io, [&] { return inbound->sessions() == 0; }));
}

// Silent connections used to fill all places until accepting stopped.
TEST_F(InboundTest, SilentConnectionsMakeRoomForOthersAtOnce) {
  limits.sessions = 4;
  limits.head = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> silent;
  for (int i = 0; i < 20; ++i) silent.push_back(Client());
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Status(*Client(Get("r" + std::to_string(i)))), "200");
  EXPECT_TRUE(Ends(*silent.front()));
}

TEST_F(InboundTest, FullOfWorkItTurnsNewConnectionsAwayAndKeepsTheWork) {
  limits.sessions = 4;
  answers = false;
  Start();
  std::vector<std::shared_ptr<Peer>> working;
  for (int i = 0; i < 4; ++i) working.push_back(Client(Get("r" + std::to_string(i))));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 4; }));
  std::vector<std::shared_ptr<Peer>> more;
  for (int i = 0; i < 30; ++i) more.push_back(Client(Get("m" + std::to_string(i))));
  EXPECT_EQ(Status(*more.front()), "503");
  for (const auto& client : more) EXPECT_TRUE(Ends(*client));
  EXPECT_EQ(requests.size(), 4U);
  for (const auto& client : working) EXPECT_FALSE(client->ended);
}

TEST_F(InboundTest, WhatIsBehindARejectedRequestIsNeverRead) {
  Start();
  const std::string hidden = Get("hidden");
  auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\nContent-Length: " +
                       std::to_string(hidden.size()) + "\r\n\r\n0\r\n\r\n" + hidden);
  EXPECT_EQ(Status(*client), "400");
  EXPECT_TRUE(Ends(*client));
  EXPECT_TRUE(requests.empty());
}

TEST_F(InboundTest, ABodyWithoutEndIsToldOffAtItsHeadAndNotKept) {
  Start();
  auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 60000000\r\n\r\n");
  EXPECT_EQ(Status(*client), "413");
  auto chunked = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3938700\r\n");
  EXPECT_EQ(Status(*chunked), "413");
  EXPECT_TRUE(Ends(*client) && Ends(*chunked));
  EXPECT_EQ(budget.reserved(), 0U);
}

TEST_F(InboundTest, BodiesBeyondTheMemoryBudgetAreRefusedAndTheBudgetComesBack) {
  const std::string head = "POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 65536\r\n\r\n";
  limits.head = limits.body_grace = limits.body_pause = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> clients;  // 8 bodies, counted twice, are the whole megabyte
  for (int i = 0; i < 8; ++i) clients.push_back(Client(head));
  ASSERT_TRUE(RunUntil(io, [&] { return budget.reserved() == std::size_t{1} << 20; }));
  EXPECT_EQ(Status(*Client(head)), "503");
  clients[0]->Write(std::string(65536, 'x'));
  EXPECT_EQ(Status(*clients[0]), "200");
  for (const auto& client : clients) client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return budget.reserved() == 0; }));
}

TEST_F(InboundTest, TellsWhichRequestsClientHasGone) {
  answers = false;
  Start();
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 1; }));
  client->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return !gone.empty(); }));
  EXPECT_EQ(gone[0], "r1");
}

}  // namespace
}  // namespace merlinrun::net
