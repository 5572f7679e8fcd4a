// Tests the handover channel with both ends in one process.
#include "handover/channel.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>

#include "../net/loopback.hpp"

namespace merlinrun::handover {
namespace {

using namespace net::testing;  // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;

class ChannelTest : public ::testing::Test {
 protected:
  ChannelTest() : folder(::testing::TempDir() + "handover-" + std::to_string(::getpid())) {
    std::filesystem::create_directory(folder);
    path = SocketPath(folder, "127.0.0.1:80");
  }
  ~ChannelTest() override { std::filesystem::remove_all(folder); }
  void Open() {
    server = std::make_unique<HandoverServer>(
        io, path, listener.native_handle(),
        HandoverServer::Events{[this] { return held_resources; }, [this] { ++successors; },
                               [this] { ++serving; }, [this] { ++lost; }});
  }
  // RequestHandover blocks, so it runs on a thread of its own while this one runs the server's loop.
  std::optional<InheritedState> RequestFromThread() {
    std::optional<InheritedState> inherited;
    std::atomic<bool> done = false;
    std::thread requester([&] {
      inherited = RequestHandover(path);
      done = true;
    });
    RunUntil(io, [&] { return done.load(); });
    requester.join();
    return inherited;
  }
  // A successor that has received the listener and reports that it serves; null on failure.
  std::unique_ptr<Channel> Serving() {
    Open();
    auto inherited = RequestFromThread();
    if (!inherited) return nullptr;
    auto channel = Join(*inherited);
    channel->Send(kServing);
    return RunUntil(io, [&] { return serving == 1; }) ? std::move(channel) : nullptr;
  }
  std::unique_ptr<Channel> Join(InheritedState& inherited) {
    return std::make_unique<Channel>(
        io, std::move(inherited.channel),
        Channel::Events{[this](std::string_view text) { messages.emplace_back(text); },
                        [this] { ++closed; }});
  }

  asio::io_context io;
  net::Tcp::acceptor listener{io, Loopback()};
  const std::string folder;
  std::string path;
  HeldResources held_resources{false, 12, 34};
  std::unique_ptr<HandoverServer> server;
  int successors = 0;
  int serving = 0;
  int lost = 0;
  int closed = 0;
  std::vector<std::string> messages;
};

TEST_F(ChannelTest, WithoutARunningProcessNothingIsInherited) {
  EXPECT_FALSE(RequestHandover(""));
  EXPECT_FALSE(RequestHandover(path));
  EXPECT_FALSE(RequestHandover(folder + "/no/such/folder.sock"));
}

TEST_F(ChannelTest, PassesAListenerThatAcceptsTheSameConnections) {
  Open();
  auto inherited = RequestFromThread();
  ASSERT_TRUE(inherited);
  EXPECT_EQ(inherited->held_resources.descriptors, 12U);
  EXPECT_EQ(successors, 1);
  auto client = Connect(io, listener.local_endpoint());  // waits in the backlog
  net::Tcp::acceptor other(io);
  other.assign(net::Tcp::v4(), inherited->listener.Release());
  net::ErrorCode error;
  listener.close(error);  // does not affect the passed descriptor
  other.non_blocking(true);
  net::Tcp::socket taken = other.accept(error);
  EXPECT_FALSE(error) << error.message();
}

TEST_F(ChannelTest, ServingIsReportedOnceAndThePathIsFree) {
  Open();
  auto inherited = RequestFromThread();
  ASSERT_TRUE(inherited);
  auto channel = Join(*inherited);
  channel->Send("nonsense");
  channel->Send(kServing);
  channel->Send(kServing);
  ASSERT_TRUE(RunUntil(io, [&] { return serving > 0; }));
  held_resources.descriptors = 5;
  server->SendHeldResources();
  ASSERT_TRUE(RunUntil(io, [&] { return !messages.empty(); }));
  EXPECT_NE(messages[0].find("\"sockets\":5"), std::string::npos);
  EXPECT_EQ(serving, 1);
  EXPECT_FALSE(RequestHandover(path)) << "the first process still listens at the path";
  HandoverServer mine(io, path, listener.native_handle(),
                      HandoverServer::Events{[this] { return held_resources; }, [] {}, [] {}, [] {}});
  EXPECT_TRUE(RequestFromThread());
}

TEST_F(ChannelTest, ALostSuccessorLeavesThePathToTheFirstProcess) {
  auto channel = Serving();
  ASSERT_TRUE(channel);
  channel = nullptr;
  ASSERT_TRUE(RunUntil(io, [&] { return lost == 1; }));
  EXPECT_TRUE(RequestFromThread());
}

// Two restarts in a row: the second process is replaced by a third and ends while the first still runs.
TEST_F(ChannelTest, ASuccessorThatWasReplacedItselfIsNotLost) {
  auto channel = Serving();
  ASSERT_TRUE(channel);
  int asked = 0;
  const HandoverServer third(
      io, path, listener.native_handle(),
      HandoverServer::Events{[this] { return held_resources; }, [&] { ++asked; }, [] {}, [] {}});
  channel = nullptr;
  ASSERT_TRUE(RunUntil(io, [&] { return asked == 1; }));
  RunFor(io, 50ms);
  EXPECT_EQ(lost, 0);
}

TEST_F(ChannelTest, OneSuccessorAtATime) {
  Open();
  auto first = RequestFromThread();
  ASSERT_TRUE(first);
  EXPECT_FALSE(RequestFromThread());
  EXPECT_EQ(successors, 1);
  first.reset();
  ASSERT_TRUE(RunUntil(io, [&] { return lost == 1; }));
  EXPECT_TRUE(RequestFromThread());
}

TEST_F(ChannelTest, TheEndOfTheRunningProcessIsNoticed) {
  Open();
  auto inherited = RequestFromThread();
  ASSERT_TRUE(inherited);
  auto channel = Join(*inherited);
  server = nullptr;
  EXPECT_TRUE(RunUntil(io, [&] { return closed == 1; }));
}

TEST_F(ChannelTest, ASocketFileOfAKilledProcessIsReplaced) {
  Open();
  server = nullptr;  // the socket file stays, as after a kill
  ASSERT_TRUE(std::filesystem::exists(path));
  EXPECT_FALSE(RequestHandover(path));
  Open();
  EXPECT_TRUE(RequestFromThread());
}

TEST_F(ChannelTest, OtherFilesAtThePathAreNotReplaced) {
  std::ofstream(path) << "somebody's";
  Open();
  EXPECT_FALSE(RequestHandover(path));
  std::ifstream file(path);
  EXPECT_EQ(std::string((std::istreambuf_iterator<char>(file)), {}), "somebody's");
}

TEST_F(ChannelTest, InvalidResponsesAreRejected) {
  const int socket = ::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  ASSERT_EQ(::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  ASSERT_EQ(::listen(socket, 4), 0);
  for (const std::string& text :
       {std::string("{\"program\":\"fenn"), Serialize(held_resources), std::string(4000, 'x')}) {
    std::thread impostor([&] {
      const int peer = ::accept(socket, nullptr, nullptr);
      EXPECT_EQ(::send(peer, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
      char end = 0;
      EXPECT_EQ(::recv(peer, &end, 1, 0), 0);
      ::close(peer);
    });
    EXPECT_FALSE(RequestHandover(path));  // the second message lacks only the listener
    impostor.join();
  }
  ::close(socket);
}

}  // namespace
}  // namespace merlinrun::handover
