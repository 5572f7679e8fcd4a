// Diameter clients that restart and retransmit requests before, after or without a response.
#include <array>

#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ResendTest : public RigTest {};

TEST_F(ResendTest, ARetransmissionBeforeTheResponseJoinsTheOriginal) {
  Build(2);
  auto before = ConnectPeer();
  const Message port = before->Request("number-port", 7);
  before->Send(port);
  ASSERT_TRUE(env->RunUntil([&] { return Executions("number-port") == 1; }));
  before->Reset();
  auto after = ConnectPeer(1, 2);
  EXPECT_EQ(after->Exchange(after->Request("number-port", 7, "", true)), ResultCode::kSuccess);
  EXPECT_EQ(after->Last().header.end_to_end, 7U);
  EXPECT_EQ(Executions("number-port"), 1U);
  EXPECT_EQ(Violations(), "");
}

// The new Origin-State-Id proves that the old connection is dead, even if it was not seen to end.
TEST_F(ResendTest, ANewConnectionReplacesAnOldOneThatIsStillOpen) {
  Build(2);
  auto before = ConnectPeer();
  before->Send(before->Request("number-port", 7));
  ASSERT_TRUE(env->RunUntil([&] { return Executions("number-port") == 1; }));
  auto after = ConnectPeer(1, 2);
  EXPECT_EQ(after->Exchange(after->Request("number-port", 7, "", true)), ResultCode::kSuccess);
  EXPECT_TRUE(before->WaitForClose());
  EXPECT_EQ(Executions("number-port"), 1U);
  RawPeer same(*env, DiameterEndpoint(), after->identity.host, 2);
  EXPECT_FALSE(same.ExchangeCapabilities());
  EXPECT_EQ(same.Code(), ResultCode::kElectionLost);
}

TEST_F(ResendTest, ARetransmissionAfterTheResponseGetsTheSameResponse) {
  Build(2);
  auto before = ConnectPeer();
  EXPECT_EQ(before->Exchange(before->Request("number-port", 7)), ResultCode::kSuccess);
  const std::string first = before->Last().avps;
  before->Reset();
  auto after = ConnectPeer(1, 2);
  for (const bool marked : {true, false}) {
    EXPECT_EQ(after->Exchange(after->Request("number-port", 7, marked ? "" : "raw-7", true)),
              ResultCode::kSuccess);
    EXPECT_EQ(after->Last().avps, first);
  }
  EXPECT_EQ(Executions("number-port"), 1U);
}

TEST_F(ResendTest, ARetransmissionWithUnknownOutcomeGetsTheOriginalFailure) {
  Build(2);
  SetScript([](const std::string&, const std::string&) { return Server::Fault::kCrash; });
  auto before = ConnectPeer();
  EXPECT_EQ(before->Exchange(before->Request("number-port", 7)), ResultCode::kUnableToComply);
  before->Reset();
  SetScript({});
  auto after = ConnectPeer(1, 2);
  EXPECT_EQ(after->Exchange(after->Request("number-port", 7, "", true)), ResultCode::kUnableToComply);
  EXPECT_EQ(Executions("number-port"), 1U);
  EXPECT_EQ(Violations(), "");
}

// Sent before over another path or to an earlier process: it may have been executed.
TEST_F(ResendTest, UnknownRetransmissionsAreExecutedOnlyIfSafe) {
  Build(2);
  auto peer = ConnectPeer();
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 1, "", true)), ResultCode::kUnableToComply);
  EXPECT_EQ(peer->Exchange(peer->Request("activate", 2, "", true)), ResultCode::kUnableToComply);
  EXPECT_EQ(TotalArrivals(), 0U);
  peer->Request("sim-lookup", 3);  // registers it with the checker
  EXPECT_EQ(peer->Exchange(peer->Request("sim-lookup", 3, "", true)), ResultCode::kSuccess);
}

TEST_F(ResendTest, AnEndToEndIdBelongsToOneRequest) {
  Build(2);
  auto peer = ConnectPeer();
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 7)), ResultCode::kSuccess);
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 7, "other")), ResultCode::kUnableToComply);
  auto other = ConnectPeer(2);  // the same end-to-end id of another host is another request
  EXPECT_EQ(other->Exchange(other->Request("number-port", 7, "others")), ResultCode::kSuccess);
}

TEST_F(ResendTest, ARefusedRequestMayBeSentAgain) {
  Build(1);
  SetScript([](const std::string&, const std::string&) { return Server::Fault::kDecline; });
  auto peer = ConnectPeer();
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 7)), ResultCode::kTooBusy);
  EXPECT_NE(peer->Last().header.flags & diameter::kErrorBit, 0);
  SetScript({});
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 7, "", true)),
            ResultCode::kUnableToComply);  // with the T flag
  Message again = peer->Request("number-port", 7, "", true);
  again.header.flags &= static_cast<std::uint8_t>(~diameter::kRetransmitBit);
  EXPECT_EQ(peer->Exchange(again), ResultCode::kSuccess);
}

// A full duplicate cache must not lead to a second execution.
TEST_F(ResendTest, UnsafeRequestsAreRefusedWhenTheDuplicateCacheIsFull) {
  std::string file = ExampleFile();
  Replace(file, "remember_requests = 65536", "remember_requests = 2");
  Build(2, {}, file);
  auto peer = ConnectPeer();
  for (const std::uint32_t id : {1, 2})
    EXPECT_EQ(peer->Exchange(peer->Request("number-port", id)), ResultCode::kSuccess);
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 3)), ResultCode::kTooBusy);
  EXPECT_EQ(Executions("number-port"), 2U);
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 1, "", true)), ResultCode::kSuccess);
  EXPECT_EQ(Executions("number-port"), 2U);
  EXPECT_EQ(sidecar->diameter()->downstream().cached_requests(), 2U);
}

// A request that is active over Diameter is rejected over HTTP if it has the same id.
TEST_F(ResendTest, AnActiveRequestIsNotExecutedOverTheOtherProtocol) {
  Build(2);
  auto peer = ConnectPeer();
  const Message port = peer->Request("number-port", 7, "shared-1");
  peer->Send(port);
  ASSERT_TRUE(env->RunUntil([&] { return Executions("number-port") == 1; }));
  Tcp::socket http(env->io);
  http.connect(sidecar->address());
  const std::string text =
      "POST /api HTTP/1.1\r\nHost: a\r\nReq-Id: shared-1\r\nReq-Kind: number-port\r\nContent-Length: "
      "0\r\n\r\n";
  boost::asio::write(http, boost::asio::buffer(text));
  std::array<char, 256> answer{};
  std::size_t got = 0;
  http.async_read_some(boost::asio::buffer(answer), [&](auto, std::size_t n) { got = n; });
  ASSERT_TRUE(env->RunUntil([&] { return got > 0; }));
  EXPECT_EQ(std::string(answer.data(), 12), "HTTP/1.1 409");
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  EXPECT_EQ(Executions("number-port"), 1U);
}

}  // namespace
}  // namespace merlinrun::rig
