// Diameter clients that send invalid messages, stay silent, don't read, or are not allowed.
#include <set>

#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ClientFaultTest : public RigTest {
 protected:
  // Result code of the response to the first bytes of a connection, which must then be closed.
  ResultCode HandshakeResult(const std::string& bytes) {
    RawPeer peer(*env, DiameterEndpoint(), "backoffice-1.franchise.example");
    peer.Write(bytes);
    EXPECT_TRUE(peer.WaitForClose());
    return peer.received.empty() ? ResultCode::kNone : diameter::ResultCodeOf(peer.received[0]);
  }
  ResultCode HandshakeResult(const Message& message) {
    return HandshakeResult(diameter::Encode(message.header, message.avps));
  }
  diameter::Identity MakeIdentity(const std::string& host) {
    diameter::Identity identity;
    identity.host = host;
    identity.realm = "franchise.example";
    identity.addresses = {diameter::AddressData(std::string("\177\0\0\1", 4))};
    identity.applications = {env->application.id};
    return identity;
  }
};

TEST_F(ClientFaultTest, CapabilitiesExchangeRejectsInvalidPeers) {
  Build(1);
  EXPECT_EQ(HandshakeResult(diameter::MakeCer(MakeIdentity("stranger.example"))), ResultCode::kUnknownPeer);
  diameter::Identity listed = MakeIdentity("backoffice-1.franchise.example");
  listed.applications = {4};
  EXPECT_EQ(HandshakeResult(diameter::MakeCer(listed)), ResultCode::kNoCommonApplication);
  Message cer = diameter::MakeCer(MakeIdentity("backoffice-1.franchise.example"));
  cer.avps.clear();
  EXPECT_EQ(HandshakeResult(cer), ResultCode::kMissingAvp);
  EXPECT_EQ(HandshakeResult(diameter::MakeDwr(MakeIdentity("backoffice-1.franchise.example"))),
            ResultCode::kUnknownPeer);
  EXPECT_EQ(HandshakeResult(std::string("\2\0\0\24\200\0\1\1\0\0\0\0\0\0\0\1\0\0\0\1", 20)),
            ResultCode::kUnsupportedVersion);
  EXPECT_EQ(HandshakeResult(std::string("\1\377\377\374\200\0\1\1\0\0\0\0\0\0\0\1\0\0\0\1", 20)),
            ResultCode::kInvalidMessageLength);
  EXPECT_EQ(HandshakeResult("GET / HTTP/1.1\r\n\r\n......"), ResultCode::kNone);
  EXPECT_EQ(TotalArrivals(), 0U);
}

TEST_F(ClientFaultTest, SilentConnectionsDoNotBlockOthers) {
  Build(1);
  std::vector<std::unique_ptr<RawPeer>> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(std::make_unique<RawPeer>(*env, DiameterEndpoint(), "x"));
    silent.back()->Write(std::string("\1\0\0", 3));  // half a message
  }
  auto peer = ConnectPeer();
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 1)), ResultCode::kSuccess);
  const auto ended = std::count_if(silent.begin(), silent.end(), [](const auto& p) { return p->ended; });
  EXPECT_GE(ended, 60);
}

TEST_F(ClientFaultTest, InvalidRequestsGetErrorsAndKeepTheConnection) {
  Build(1);
  auto peer = ConnectPeer();
  const auto changed = [&](const std::function<void(Message&)>& change) {
    Message request = peer->Request("sim-lookup", 100);
    change(request);
    return peer->Exchange(request);
  };
  EXPECT_EQ(changed([](Message& m) { m.header.command = 8388001; }), ResultCode::kCommandUnsupported);
  EXPECT_EQ(changed([](Message& m) { m.header.application = 4; }), ResultCode::kApplicationUnsupported);
  EXPECT_EQ(changed([](Message& m) { m.header.flags |= diameter::kErrorBit; }),
            ResultCode::kInvalidHeaderBits);
  EXPECT_EQ(changed([](Message& m) { m.header.flags |= 1; }), ResultCode::kInvalidBitInHeader);
  EXPECT_EQ(changed([](Message& m) { m.avps.replace(5, 3, std::string(3, '\0')); }),
            ResultCode::kInvalidAvpLength);
  EXPECT_EQ(changed([](Message& m) { m.avps.replace(5, 3, "\xff\xff\xff"); }), ResultCode::kInvalidAvpLength);
  EXPECT_EQ(changed([](Message& m) {
              m.avps += AvpWriter().Add(diameter::avp::kRouteRecord, "n0.sidecars.example").Take();
            }),
            ResultCode::kLoopDetected);
  EXPECT_EQ(changed([](Message& m) {
              m.avps +=
                  AvpWriter().Add(diameter::avp::kDestinationHost, "s-0.servers.activation.example").Take();
            }),
            ResultCode::kUnableToDeliver);
  EXPECT_EQ(
      changed([](Message& m) { m.avps += AvpWriter().Add(diameter::avp::kOriginHost, "b.example").Take(); }),
      ResultCode::kAvpOccursTooManyTimes);
  EXPECT_EQ(TotalArrivals(), 0U);
  peer->Send(diameter::MakeCer(peer->identity));  // repeated
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  EXPECT_EQ(peer->Exchange(peer->Request("sim-lookup", 1)), ResultCode::kSuccess);
}

TEST_F(ClientFaultTest, AnOversizedMessageIsAnsweredAndClosesTheConnection) {
  Build(1);
  auto peer = ConnectPeer();
  Message large = peer->Request("sim-lookup", 1);
  large.avps += AvpWriter().Add(kTokenCode, std::string(70'000, 'x'), 0, kVendor).Take();
  EXPECT_EQ(peer->Exchange(large), ResultCode::kInvalidMessageLength);
  EXPECT_TRUE(peer->WaitForClose());
}

// Watchdogs must not count as requests or load.
TEST_F(ClientFaultTest, WatchdogsDoNotCountAsLoad) {
  Build(2);
  auto peer = ConnectPeer();
  for (int i = 0; i < 5'000; ++i) peer->Send(diameter::MakeDwr(peer->identity));
  ASSERT_TRUE(env->RunUntil([&] { return peer->received.size() == 5'001; }));
  EXPECT_EQ(TotalArrivals(), 0U);
  EXPECT_EQ(sidecar->active_requests(), 0U);
  EXPECT_EQ(sidecar->diameter()->downstream().cached_requests(), 0U);
  peer->consumed = peer->received.size();
  EXPECT_EQ(peer->Exchange(peer->Request("number-port", 1)), ResultCode::kSuccess);
}

// Each of 10,000 concurrent requests on one connection gets a response, most of them a refusal.
TEST_F(ClientFaultTest, EveryRequestOfAFloodIsAnswered) {
  Build(4);
  auto peer = ConnectPeer();
  std::string flood;
  for (std::uint32_t i = 1; i <= 10'000; ++i) {
    const Message request = peer->Request("number-port", i);
    flood += diameter::Encode(request.header, request.avps);
  }
  for (std::size_t at = 0; at < flood.size(); at += 1 << 20) {
    peer->Write(flood.substr(at, 1 << 20));
    env->RunFor(std::chrono::milliseconds(1));
  }
  EXPECT_TRUE(env->RunUntil([&] { return peer->received.size() == 10'001; }));
  std::set<std::uint32_t> ids;
  for (const Message& answer : peer->received) ids.insert(answer.header.hop_by_hop);
  EXPECT_EQ(ids.size(), 10'001U);
  EXPECT_EQ(Violations(), "");
}

// A client that doesn't read is bounded in memory and finally disconnected, without effect on other clients.
TEST_F(ClientFaultTest, AClientThatDoesNotReadIsBoundedAndDisconnected) {
  Build(2);
  Tcp::socket deaf(env->io);
  deaf.connect(DiameterEndpoint());
  deaf.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  auto other = ConnectPeer(2);
  diameter::Identity identity = MakeIdentity("backoffice-1.franchise.example");
  std::string text;
  const auto add = [&](const Message& message) { text += diameter::Encode(message.header, message.avps); };
  add(diameter::MakeCer(identity));
  // Each message produces a response of its own size; the sidecar must stop reading at its limit.
  for (int i = 0; i < 100'000; ++i) add(diameter::MakeDwr(identity));
  bool ended = false;
  boost::asio::async_write(deaf, boost::asio::buffer(text),
                           [&](auto error, std::size_t) { ended = !!error; });
  env->RunFor(std::chrono::milliseconds(300));
  EXPECT_EQ(other->Exchange(other->Request("number-port", 1)), ResultCode::kSuccess);
  EXPECT_TRUE(env->RunUntil([&] { return ended; })) << "still connected, though it never reads";
  EXPECT_EQ(other->Exchange(other->Request("number-port", 2)), ResultCode::kSuccess);
}

TEST_F(ClientFaultTest, ADisconnectingClientGetsPendingResponsesFirst) {
  Build(1);
  auto peer = ConnectPeer();
  peer->Send(peer->Request("number-port", 1));
  peer->Send(diameter::MakeDpr(peer->identity, diameter::DisconnectCause::kRebooting));
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Last().header.command, kCommand);
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Last().header.command, diameter::kDisconnectPeer);
}

TEST_F(ClientFaultTest, ADrainingSidecarDisconnectsItsClientsGracefully) {
  auto classes = ShortClasses();
  for (TrafficClass& c : classes) c.service_time = 1'500'000;
  Build(1, {}, ExampleFile(), classes);
  auto peer = ConnectPeer();
  auto idle = ConnectPeer(2);
  peer->Send(peer->Request("number-port", 1));
  ASSERT_TRUE(env->RunUntil([&] { return Executions("number-port") == 1; }));
  bool finished = false;
  sidecar->Stop([&] { finished = true; });
  ASSERT_TRUE(idle->Next());
  EXPECT_EQ(idle->Last().header.command, diameter::kDisconnectPeer);
  idle->Send(diameter::MakeAnswer(idle->identity, idle->Last(), ResultCode::kSuccess));
  EXPECT_TRUE(idle->WaitForClose());
  EXPECT_FALSE(finished);
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  ASSERT_TRUE(peer->Next());
  peer->Send(diameter::MakeAnswer(peer->identity, peer->Last(), ResultCode::kSuccess));
  EXPECT_TRUE(env->RunUntil([&] { return finished; }));
}

}  // namespace
}  // namespace merlinrun::rig
