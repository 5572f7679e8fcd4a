// Tests the downstream side with misbehaving clients, and that they do not affect others.
#include "net/downstream.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class DownstreamTest : public ::testing::Test {
 protected:
  DownstreamTest() {
    limits.header_timeout = limits.body_grace = 200'000;
    limits.idle_timeout = 300'000;
    limits.min_idle_time = 0;
    limits.linger_timeout = 100'000;
    limits.sweep_interval = 20'000;
  }
  void Start() {
    Downstream::Events events;
    events.on_request = [this](const Downstream::SessionPtr& session, Downstream::Request request, int) {
      requests.push_back(std::move(request.message));
      pipes.push_back(std::move(request.body_pipe));
      if (respond) Downstream::Respond(session, TextResponse(http::status::ok, body));
    };
    events.on_request_complete = [this](const std::string& id) { completed.push_back(id); };
    events.on_client_gone = [this](const std::string& id) { disconnected.push_back(id); };
    events.class_of = [](const RequestHeader&) { return 0; };
    events.ready = [] { return true; };
    downstream = std::make_unique<Downstream>(io, Downstream::ListenOptions{Loopback()}, limits, budget,
                                              counters, std::move(events));
  }
  std::shared_ptr<Peer> Client(const std::string& text = "") {
    auto client = Connect(io, downstream->address());
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
  Downstream::Limits limits;
  MemoryBudget budget{std::size_t{1} << 20};
  stats::Counters counters{{{}}};
  std::unique_ptr<Downstream> downstream;
  std::vector<HttpRequest> requests;
  std::vector<std::shared_ptr<Pipe>> pipes;
  std::vector<std::string> completed;
  std::vector<std::string> disconnected;
  bool respond = true;
  std::string body = "ok";
};

TEST_F(DownstreamTest, ClosesSilentConnectionsAndRejectsIncompleteRequestsInTime) {
  Start();
  auto silent = Client();
  auto half = Client("GET /api HTTP/1.1\r\nReq-Id: r1\r\n");
  auto body_missing = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_TRUE(Ends(*silent));
  EXPECT_EQ(silent->received, "");
  EXPECT_EQ(Status(*half), "408");
  EXPECT_EQ(Status(*body_missing), "408");
  EXPECT_TRUE(Ends(*half) && Ends(*body_missing));
  EXPECT_TRUE(RunUntil(io, [&] { return downstream->sessions() == 0; }));
  EXPECT_TRUE(requests.empty());
}

TEST_F(DownstreamTest, SlowBytesDoNotExtendTheTimeout) {
  Start();
  auto client = Client("GET /api HTTP/1.1\r\nX: ");
  const auto begin = std::chrono::steady_clock::now();
  while (!client->ended && client->received.empty() && std::chrono::steady_clock::now() - begin < 10s) {
    client->Write("x");
    RunFor(io, 10ms);
  }
  EXPECT_EQ(Status(*client), "408");
}

TEST_F(DownstreamTest, OnlyIdleConnectionsTimeOut) {
  respond = false;
  Start();
  auto busy = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 1; }));
  respond = true;
  auto kept = Client(Get("r2"));
  EXPECT_EQ(Status(*kept), "200");
  EXPECT_TRUE(Ends(*kept));
  EXPECT_FALSE(busy->ended) << "closed while its request is in progress";
}

TEST_F(DownstreamTest, AClientThatDoesNotReadItsResponseIsDisconnected) {
  limits.response_timeout = 200'000;
  body = std::string(16U << 20, 'x');  // far more than the kernel buffers
  Start();
  Tcp::socket client(io);
  client.connect(downstream->address());
  asio::write(client, asio::buffer(Get("r1")));
  ASSERT_TRUE(RunUntil(io, [&] { return !requests.empty(); }));
  EXPECT_TRUE(RunUntil(io, [&] { return downstream->sessions() == 0; }));
}

// Silent connections must not occupy all sessions.
TEST_F(DownstreamTest, SilentConnectionsAreReplacedByNewOnes) {
  limits.max_sessions = 4;
  limits.header_timeout = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> silent;
  for (int i = 0; i < 20; ++i) silent.push_back(Client());
  for (int i = 0; i < 3; ++i) EXPECT_EQ(Status(*Client(Get("r" + std::to_string(i)))), "200");
  EXPECT_TRUE(Ends(*silent.front()));
}

TEST_F(DownstreamTest, RejectsNewConnectionsWhenAllSessionsAreBusy) {
  limits.max_sessions = 4;
  respond = false;
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

TEST_F(DownstreamTest, DataAfterARejectedRequestIsNeverParsed) {
  Start();
  const std::string hidden = Get("hidden");
  auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\nContent-Length: " +
                       std::to_string(hidden.size()) + "\r\n\r\n0\r\n\r\n" + hidden);
  EXPECT_EQ(Status(*client), "400");
  EXPECT_TRUE(Ends(*client));
  EXPECT_TRUE(requests.empty());
}

TEST_F(DownstreamTest, TooLargeBodiesAreRejectedAtTheHeaderAndNotBuffered) {
  Start();
  auto client = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 60000000\r\n\r\n");
  EXPECT_EQ(Status(*client), "413");
  auto chunked = Client("POST /api HTTP/1.1\r\nReq-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n3938700\r\n");
  EXPECT_EQ(Status(*chunked), "413");
  EXPECT_TRUE(Ends(*client) && Ends(*chunked));
  EXPECT_EQ(budget.reserved(), 0U);
}

TEST_F(DownstreamTest, BodiesBeyondTheMemoryBudgetAreRejectedAndTheBudgetIsReleased) {
  const std::string head = "POST /api HTTP/1.1\r\nReq-Id: r1\r\nContent-Length: 65536\r\n\r\n";
  limits.header_timeout = limits.body_grace = limits.body_idle_timeout = 60'000'000;
  Start();
  std::vector<std::shared_ptr<Peer>> clients;  // 8 bodies, reserved twice each, use the whole budget
  for (int i = 0; i < 8; ++i) clients.push_back(Client(head));
  ASSERT_TRUE(RunUntil(io, [&] { return budget.reserved() == std::size_t{1} << 20; }));
  EXPECT_EQ(Status(*Client(head)), "503");
  clients[0]->Write(std::string(65536, 'x'));
  EXPECT_EQ(Status(*clients[0]), "200");
  for (const auto& client : clients) client->Close();
  EXPECT_TRUE(RunUntil(io, [&] { return budget.reserved() == 0; }));
}

TEST_F(DownstreamTest, ReportsRequestsWhoseClientDisconnected) {
  respond = false;
  Start();
  auto client = Client(Get("r1"));
  ASSERT_TRUE(RunUntil(io, [&] { return requests.size() == 1; }));
  client->Reset();
  ASSERT_TRUE(RunUntil(io, [&] { return !disconnected.empty(); }));
  EXPECT_EQ(disconnected[0], "r1");
}

}  // namespace
}  // namespace merlinrun::net
