// Clients that restart and send again, before the answer, after it, and while the outcome is in doubt.
#include <array>

#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ResendTest : public RigTest {};

TEST_F(ResendTest, BeforeTheAnswerItJoinsTheFirst) {
  Build(2);
  auto before = Raw();
  const Message port = before->Request("number-port", 7);
  before->Send(port);
  ASSERT_TRUE(world->RunUntil([&] { return Ran("number-port") == 1; }));
  before->Reset();
  auto after = Raw(1, 2);
  EXPECT_EQ(after->Ask(after->Request("number-port", 7, "", true)), ResultCode::kSuccess);
  EXPECT_EQ(after->Last().header.end_to_end, 7U);
  EXPECT_EQ(Ran("number-port"), 1U);
  EXPECT_EQ(Broken(), "");
}

// The old connection need not have been seen to end: the state id proves that it has.
TEST_F(ResendTest, TheNewConnectionTakesThePlaceOfAnOldOneThatStillStands) {
  Build(2);
  auto before = Raw();
  before->Send(before->Request("number-port", 7));
  ASSERT_TRUE(world->RunUntil([&] { return Ran("number-port") == 1; }));
  auto after = Raw(1, 2);
  EXPECT_EQ(after->Ask(after->Request("number-port", 7, "", true)), ResultCode::kSuccess);
  EXPECT_TRUE(before->Ends());
  EXPECT_EQ(Ran("number-port"), 1U);
  RawPeer same(*world, Port(), after->identity.host, 2);
  EXPECT_FALSE(same.Introduce());
  EXPECT_EQ(same.Code(), ResultCode::kElectionLost);
}

TEST_F(ResendTest, AfterTheAnswerItHasTheSameAnswer) {
  Build(2);
  auto before = Raw();
  EXPECT_EQ(before->Ask(before->Request("number-port", 7)), ResultCode::kSuccess);
  const std::string first = before->Last().avps;
  before->Reset();
  auto after = Raw(1, 2);
  for (const bool marked : {true, false}) {
    EXPECT_EQ(after->Ask(after->Request("number-port", 7, marked ? "" : "raw-7", true)),
              ResultCode::kSuccess);
    EXPECT_EQ(after->Last().avps, first);
  }
  EXPECT_EQ(Ran("number-port"), 1U);
}

TEST_F(ResendTest, InDoubtItHasTheFirstsFailure) {
  Build(2);
  Script([](const std::string&, const std::string&) { return Server::Fault::kDie; });
  auto before = Raw();
  EXPECT_EQ(before->Ask(before->Request("number-port", 7)), ResultCode::kUnableToComply);
  before->Reset();
  Script({});
  auto after = Raw(1, 2);
  EXPECT_EQ(after->Ask(after->Request("number-port", 7, "", true)), ResultCode::kUnableToComply);
  EXPECT_EQ(Ran("number-port"), 1U);
  EXPECT_EQ(Broken(), "");
}

// By another way, or before this sidecar began: it may have run.
TEST_F(ResendTest, WhatIsMarkedAndNotKnownHereIsRunOnlyIfThatIsSafe) {
  Build(2);
  auto peer = Raw();
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 1, "", true)), ResultCode::kUnableToComply);
  EXPECT_EQ(peer->Ask(peer->Request("activate", 2, "", true)), ResultCode::kUnableToComply);
  EXPECT_EQ(Arrived(), 0U);
  peer->Request("sim-lookup", 3);  // known to the ledger
  EXPECT_EQ(peer->Ask(peer->Request("sim-lookup", 3, "", true)), ResultCode::kSuccess);
}

TEST_F(ResendTest, AnIdIsOneRequests) {
  Build(2);
  auto peer = Raw();
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 7)), ResultCode::kSuccess);
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 7, "other")), ResultCode::kUnableToComply);
  auto other = Raw(2);  // another host's 7 is another request
  EXPECT_EQ(other->Ask(other->Request("number-port", 7, "others")), ResultCode::kSuccess);
}

TEST_F(ResendTest, WhatWasRefusedMayBeSentAgain) {
  Build(1);
  Script([](const std::string&, const std::string&) { return Server::Fault::kDecline; });
  auto peer = Raw();
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 7)), ResultCode::kTooBusy);
  EXPECT_NE(peer->Last().header.flags & diameter::kErrorBit, 0);
  Script({});
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 7, "", true)), ResultCode::kUnableToComply);  // marked
  Message again = peer->Request("number-port", 7, "", true);
  again.header.flags &= static_cast<std::uint8_t>(~diameter::kRetransmitBit);
  EXPECT_EQ(peer->Ask(again), ResultCode::kSuccess);
}

// A full memory never means a silent second run.
TEST_F(ResendTest, WithNoRoomToRememberAPortIsRefused) {
  std::string file = ExampleFile();
  Replace(file, "remember_requests = 65536", "remember_requests = 2");
  Build(2, {}, file);
  auto peer = Raw();
  for (const std::uint32_t id : {1, 2})
    EXPECT_EQ(peer->Ask(peer->Request("number-port", id)), ResultCode::kSuccess);
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 3)), ResultCode::kTooBusy);
  EXPECT_EQ(Ran("number-port"), 2U);
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 1, "", true)), ResultCode::kSuccess);
  EXPECT_EQ(Ran("number-port"), 2U);
  EXPECT_EQ(sidecar->diameter()->downstream().cached_requests(), 2U);
}

// What the sidecar promises of one request that comes over both: while it is under way under the id that the
// two share, the second is turned away. Afterwards HTTP has no memory of ids.
TEST_F(ResendTest, APortUnderWayOverOneProtocolIsNotBegunOverTheOther) {
  Build(2);
  auto peer = Raw();
  const Message port = peer->Request("number-port", 7, "shared-1");
  peer->Send(port);
  ASSERT_TRUE(world->RunUntil([&] { return Ran("number-port") == 1; }));
  Tcp::socket http(world->io);
  http.connect(sidecar->address());
  const std::string text =
      "POST /api HTTP/1.1\r\nHost: a\r\nReq-Id: shared-1\r\nReq-Kind: number-port\r\nContent-Length: "
      "0\r\n\r\n";
  boost::asio::write(http, boost::asio::buffer(text));
  std::array<char, 256> answer{};
  std::size_t got = 0;
  http.async_read_some(boost::asio::buffer(answer), [&](auto, std::size_t n) { got = n; });
  ASSERT_TRUE(world->RunUntil([&] { return got > 0; }));
  EXPECT_EQ(std::string(answer.data(), 12), "HTTP/1.1 409");
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  EXPECT_EQ(Ran("number-port"), 1U);
}

}  // namespace
}  // namespace merlinrun::rig
