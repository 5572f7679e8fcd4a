// Tests the watch, reconnects and invalid lists.
#include "net/discovery.hpp"

#include "loopback.hpp"

namespace merlinrun::net {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

class DiscoveryTest : public ::testing::Test {
 protected:
  // The n-th connection is answered with the n-th of `scripts`; the last one is repeated.
  void Start(std::vector<std::string> scripts, Discovery::Timing timing = {}) {
    server = std::make_unique<ScriptedServer>(io, [this, scripts](Peer& peer) {
      if (peer.requests() != 1) return;
      const std::size_t n = std::min(connections++, scripts.size() - 1);
      peer.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + scripts[n]);
      if (scripts[n].empty()) peer.Close();
    });
    timing.backoff_base = timing.backoff_max = 2'000;
    discovery = std::make_unique<Discovery>(
        io, server->address, names, timing, 1,
        Discovery::Events{[this](const EndpointList& list) { lists.push_back(list); },
                          [this] { ++failures; }});
    discovery->Watch(41);
  }
  static std::string Line(std::int64_t generation, const std::string& id) {
    return List(generation, false, {Entry(id, {asio::ip::make_address("127.0.0.1"), 80})}).dump() + "\n";
  }

  asio::io_context io;
  drill::WireSettings names{{}, {"west", "east"}, {"std"}};
  std::unique_ptr<ScriptedServer> server;
  std::unique_ptr<Discovery> discovery;
  std::size_t connections = 0;
  std::vector<EndpointList> lists;
  int failures = 0;
};

TEST_F(DiscoveryTest, DeliversEachLineInAnyChunks) {
  const std::string line = Line(43, "s-b");
  Start({Chunk(Line(42, "s-a")) + Chunk("\n") + Chunk(line.substr(0, 20)) + Chunk(line.substr(20) + "\n")});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_NE(server->peers[0]->received.find("GET /v1/endpoints?stream=1&index=41 HTTP/1.1"),
            std::string::npos);
  EXPECT_EQ(lists[0].generation, 42);
  EXPECT_EQ(lists[1].endpoints[0].info.id, "s-b");
  EXPECT_EQ(lists[1].endpoints[0].info.zone, 1);
  EXPECT_FALSE(lists[1].is_full);
  EXPECT_EQ(failures, 0);
}

TEST_F(DiscoveryTest, ReopensAnEndedWatchAtItsGeneration) {
  Start({Chunk(Line(42, "s-a")) + "0\r\n\r\n", Chunk(Line(43, "s-b"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_NE(server->peers[1]->received.find("index=42 "), std::string::npos);
  EXPECT_EQ(failures, 1);
}

TEST_F(DiscoveryTest, ReopensASilentWatch) {
  Discovery::Timing timing;
  timing.silence_timeout = 100'000;
  Start({Chunk(Line(42, "s-a")), Chunk(Line(43, "s-b"))}, timing);
  EXPECT_TRUE(RunUntil(io, [&] { return lists.size() >= 2; }));
}

TEST_F(DiscoveryTest, KeepsTheListOnInvalidInputAndReconnects) {
  const nlohmann::json sideways = {{"instanceId", "s"}, {"lifecycle", "sideways"}};
  const nlohmann::json nowhere = {{"instanceId", "s"}, {"lifecycle", "up"}, {"hostPort", "there"}};
  const nlohmann::json number = {{"instanceId", 7}, {"lifecycle", "up"}};
  std::vector<std::string> bad = {"{nonsense\n", "[]\n", "{\"generation\":1}\n"};
  for (const auto& entry : {sideways, nowhere, number}) bad.push_back(List(50, false, {entry}).dump() + "\n");
  std::vector<std::string> scripts;
  for (const std::string& line : bad) scripts.push_back(Chunk(line));
  scripts.push_back(Chunk(Line(51, "s-a")));
  Start(scripts);
  ASSERT_TRUE(RunUntil(io, [&] { return !lists.empty(); }));
  EXPECT_EQ(lists[0].generation, 51);
  EXPECT_EQ(failures, static_cast<int>(bad.size()));
}

TEST_F(DiscoveryTest, RequestsTheFullListOfANewAddressAndThenWatches) {
  Start({Chunk(Line(42, "s-a"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  ScriptedServer other(io, [](Peer& peer) {
    const bool watch = peer.received.find("stream=1&index=7 ") != std::string::npos;
    const std::string full = List(7, true, {Entry("s-w", {asio::ip::make_address("127.0.0.1"), 80})}).dump();
    peer.Write(watch ? "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(Line(8, "s-b"))
                     : Reply("200 OK", full));
  });
  discovery->SetAddress(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 3; }));
  EXPECT_EQ(other.peers[0]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
  EXPECT_TRUE(lists[1].is_full);  // a lower generation is valid from another address
  EXPECT_EQ(lists[2].generation, 8);
  EXPECT_TRUE(RunUntil(io, [&] { return server->peers[0]->ended; }));
  EXPECT_EQ(failures, 0);
  discovery->SetAddress(other.address);  // unchanged: the watch stays open
  RunFor(io, 30ms);
  EXPECT_EQ(other.peers.size(), 2U);
}

TEST_F(DiscoveryTest, SwitchesAgainWhileTheFirstNewAddressIsSilent) {
  Start({Chunk(Line(42, "s-a"))});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 1; }));
  ScriptedServer silent(io);
  ScriptedServer other(io, [](Peer& peer) { peer.Write(Reply("200 OK", List(3, true, {}).dump())); });
  discovery->SetAddress(silent.address);
  discovery->SetAddress(other.address);
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() >= 2; }));
  EXPECT_EQ(lists[1].generation, 3);
}

// After a restart of discovery its changes do not apply to the current list.
TEST_F(DiscoveryTest, ALowerGenerationCausesARequestForTheFullList) {
  Start({Chunk(Line(42, "s-a")) + Chunk(Line(3, "s-b")),
         Chunk(List(4, true, {Entry("s-c", {asio::ip::make_address("127.0.0.1"), 80})}).dump() + "\n")});
  ASSERT_TRUE(RunUntil(io, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[1].generation, 4);
  EXPECT_EQ(server->peers[1]->received.rfind("GET /v1/endpoints HTTP/1.1\r\n", 0), 0U);
}

TEST_F(DiscoveryTest, DoesNotReconnectWithoutAutoReconnect) {
  Discovery::Timing timing;
  timing.auto_reconnect = false;
  Start({"0\r\n\r\n"}, timing);
  ASSERT_TRUE(RunUntil(io, [&] { return failures == 1; }));
  RunFor(io, 50ms);
  EXPECT_EQ(connections, 1U);
  discovery->Watch(41);
  EXPECT_TRUE(RunUntil(io, [&] { return connections == 2; }));
}

// A start time that varied from list to list would look like repeated restarts of the server.
TEST(ParseEndpointList, TheStartTimeIsTheSameInEachList) {
  std::string error;
  const Tcp::endpoint at(asio::ip::make_address("127.0.0.1"), 80);
  for (int i = 0; i < 2; ++i) {
    const auto list = ParseEndpointList(
        List(i, true, {Entry("s", at, "up", 1'700'000'000'123), Entry("t", at)}), {}, error);
    ASSERT_TRUE(list) << error;
    EXPECT_EQ(list->endpoints[0].info.started, 1'700'000'000'123'000);
    EXPECT_EQ(list->endpoints[1].info.started, 0);
  }
}

TEST(ParseAddress, AcceptsOnlyAddressesWithAPort) {
  EXPECT_TRUE(ParseAddress("127.0.0.1:80"));
  for (const char* bad :
       {"", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:8x", "host:80", ":80"})
    EXPECT_FALSE(ParseAddress(bad)) << bad;
}

}  // namespace
}  // namespace merlinrun::net
