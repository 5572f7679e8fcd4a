// The channel between two processes of one sidecar, both ends in this one.
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
    path = PathFor(folder, "127.0.0.1:80");
  }
  ~ChannelTest() override { std::filesystem::remove_all(folder); }
  void Open() {
    door = std::make_unique<Door>(io, path, listener.native_handle(),
                                  Door::Events{[this] { return holding; }, [this] { ++newcomers; },
                                               [this] { ++serving; }, [this] { ++lost; }});
  }
  // Ask waits for its answer: the door's loop runs on a thread of its own meanwhile.
  std::optional<Claim> AskIt() {
    std::optional<Claim> claim;
    std::atomic<bool> done = false;
    std::thread asker([&] {
      claim = Ask(path);
      done = true;
    });
    RunUntil(io, [&] { return done.load(); });
    asker.join();
    return claim;
  }
  // A newcomer that has been given the listener and says that it serves; null if that does not come about.
  std::unique_ptr<Channel> Serving() {
    Open();
    auto claim = AskIt();
    if (!claim) return nullptr;
    auto channel = Join(*claim);
    channel->Send(kServing);
    return RunUntil(io, [&] { return serving == 1; }) ? std::move(channel) : nullptr;
  }
  std::unique_ptr<Channel> Join(Claim& claim) {
    return std::make_unique<Channel>(
        io, std::move(claim.channel),
        Channel::Events{[this](std::string_view text) { told.emplace_back(text); }, [this] { ++closed; }});
  }

  asio::io_context io;
  net::Tcp::acceptor listener{io, Loopback()};
  const std::string folder;
  std::string path;
  HeldResources holding{false, 12, 34};
  std::unique_ptr<Door> door;
  int newcomers = 0;
  int serving = 0;
  int lost = 0;
  int closed = 0;
  std::vector<std::string> told;
};

TEST_F(ChannelTest, NobodyThereIsNoClaim) {
  EXPECT_FALSE(Ask(""));
  EXPECT_FALSE(Ask(path));
  EXPECT_FALSE(Ask(folder + "/no/such/folder.sock"));
}

TEST_F(ChannelTest, HandsOnAListenerThatTakesTheSameConnections) {
  Open();
  auto claim = AskIt();
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->holding.sockets, 12U);
  EXPECT_EQ(newcomers, 1);
  auto client = Connect(io, listener.local_endpoint());  // stands in the queue
  net::Tcp::acceptor other(io);
  other.assign(net::Tcp::v4(), claim->listener.Release());
  net::ErrorCode error;
  listener.close(error);  // and is not lost with the first holder's descriptor
  other.non_blocking(true);
  net::Tcp::socket taken = other.accept(error);
  EXPECT_FALSE(error) << error.message();
}

TEST_F(ChannelTest, ServingIsToldOnceAndThePathIsFree) {
  Open();
  auto claim = AskIt();
  ASSERT_TRUE(claim);
  auto channel = Join(*claim);
  channel->Send("nonsense");
  channel->Send(kServing);
  channel->Send(kServing);
  ASSERT_TRUE(RunUntil(io, [&] { return serving > 0; }));
  holding.sockets = 5;
  door->Tell();
  ASSERT_TRUE(RunUntil(io, [&] { return !told.empty(); }));
  EXPECT_NE(told[0].find("\"sockets\":5"), std::string::npos);
  EXPECT_EQ(serving, 1);
  EXPECT_FALSE(Ask(path)) << "the old process still answers at the path";
  Door mine(io, path, listener.native_handle(),
            Door::Events{[this] { return holding; }, [] {}, [] {}, [] {}});
  EXPECT_TRUE(AskIt());
}

TEST_F(ChannelTest, ANewcomerThatIsLostLeavesThePathToTheFirst) {
  auto channel = Serving();
  ASSERT_TRUE(channel);
  channel = nullptr;
  ASSERT_TRUE(RunUntil(io, [&] { return lost == 1; }));
  EXPECT_TRUE(AskIt());
}

// Two upgrades in a row, the first process not told to stop yet: the second has handed on to a third and
// ends.
TEST_F(ChannelTest, ANewcomerThatHasHandedOnItselfIsNotMissed) {
  auto channel = Serving();
  ASSERT_TRUE(channel);
  int asked = 0;
  const Door third(io, path, listener.native_handle(),
                   Door::Events{[this] { return holding; }, [&] { ++asked; }, [] {}, [] {}});
  channel = nullptr;
  ASSERT_TRUE(RunUntil(io, [&] { return asked == 1; }));
  RunFor(io, 50ms);
  EXPECT_EQ(lost, 0);
}

TEST_F(ChannelTest, OneNewcomerAtATime) {
  Open();
  auto first = AskIt();
  ASSERT_TRUE(first);
  EXPECT_FALSE(AskIt());
  EXPECT_EQ(newcomers, 1);
  first.reset();
  ASSERT_TRUE(RunUntil(io, [&] { return lost == 1; }));
  EXPECT_TRUE(AskIt());
}

TEST_F(ChannelTest, TheEndOfTheOldProcessIsSeen) {
  Open();
  auto claim = AskIt();
  ASSERT_TRUE(claim);
  auto channel = Join(*claim);
  door = nullptr;
  EXPECT_TRUE(RunUntil(io, [&] { return closed == 1; }));
}

TEST_F(ChannelTest, ALeftoverOfAKilledProcessIsReplaced) {
  Open();
  door = nullptr;  // the file stays, as after a kill
  ASSERT_TRUE(std::filesystem::exists(path));
  EXPECT_FALSE(Ask(path));
  Open();
  EXPECT_TRUE(AskIt());
}

TEST_F(ChannelTest, WhatIsNoSocketIsLeftAlone) {
  std::ofstream(path) << "somebody's";
  Open();
  EXPECT_FALSE(Ask(path));
  std::ifstream file(path);
  EXPECT_EQ(std::string((std::istreambuf_iterator<char>(file)), {}), "somebody's");
}

// Whatever stands at the path: no claim, no harm.
TEST_F(ChannelTest, AnAnswerThatMakesNoSenseIsNoClaim) {
  const int socket = ::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0);
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  path.copy(address.sun_path, sizeof address.sun_path - 1);
  ASSERT_EQ(::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address), 0);
  ASSERT_EQ(::listen(socket, 4), 0);
  for (const std::string& text :
       {std::string("{\"program\":\"fenn"), Write(holding), std::string(4000, 'x')}) {
    std::thread impostor([&] {
      const int peer = ::accept(socket, nullptr, nullptr);
      EXPECT_EQ(::send(peer, text.data(), text.size(), 0), static_cast<ssize_t>(text.size()));
      char end = 0;
      EXPECT_EQ(::recv(peer, &end, 1, 0), 0);
      ::close(peer);
    });
    EXPECT_FALSE(Ask(path));  // the second has all but the listener
    impostor.join();
  }
  ::close(socket);
}

}  // namespace
}  // namespace merlinrun::handover
