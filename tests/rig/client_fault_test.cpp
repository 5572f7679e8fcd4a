// Clients that say what makes no sense, say nothing, do not read, or are not welcome.
#include <set>

#include "fixture.hpp"

namespace merlinrun::rig {
namespace {

using namespace testing;  // NOLINT(google-build-using-namespace)

class ClientFaultTest : public RigTest {
 protected:
  // What a connection is told that says this first; it is closed in any case.
  ResultCode Greeting(const std::string& bytes) {
    RawPeer peer(*world, Port(), "backoffice-1.franchise.example");
    peer.Write(bytes);
    EXPECT_TRUE(peer.Ends());
    return peer.received.empty() ? ResultCode::kNone : diameter::ResultCodeOf(peer.received[0]);
  }
  ResultCode Greeting(const Message& message) {
    return Greeting(diameter::Encode(message.header, message.avps));
  }
  diameter::Identity Somebody(const std::string& host) {
    diameter::Identity identity;
    identity.host = host;
    identity.realm = "franchise.example";
    identity.addresses = {diameter::AddressData(std::string("\177\0\0\1", 4))};
    identity.applications = {world->application.id};
    return identity;
  }
};

TEST_F(ClientFaultTest, WhoIsNotWelcomeIsToldSoAtTheCapabilitiesExchange) {
  Build(1);
  EXPECT_EQ(Greeting(diameter::MakeCer(Somebody("stranger.example"))), ResultCode::kUnknownPeer);
  diameter::Identity listed = Somebody("backoffice-1.franchise.example");
  listed.applications = {4};
  EXPECT_EQ(Greeting(diameter::MakeCer(listed)), ResultCode::kNoCommonApplication);
  Message cer = diameter::MakeCer(Somebody("backoffice-1.franchise.example"));
  cer.avps.clear();
  EXPECT_EQ(Greeting(cer), ResultCode::kMissingAvp);
  EXPECT_EQ(Greeting(diameter::MakeDwr(Somebody("backoffice-1.franchise.example"))),
            ResultCode::kUnknownPeer);
  EXPECT_EQ(Greeting(std::string("\2\0\0\24\200\0\1\1\0\0\0\0\0\0\0\1\0\0\0\1", 20)),
            ResultCode::kUnsupportedVersion);
  EXPECT_EQ(Greeting(std::string("\1\377\377\374\200\0\1\1\0\0\0\0\0\0\0\1\0\0\0\1", 20)),
            ResultCode::kInvalidMessageLength);
  EXPECT_EQ(Greeting("GET / HTTP/1.1\r\n\r\n......"), ResultCode::kNone);
  EXPECT_EQ(Arrived(), 0U);
}

TEST_F(ClientFaultTest, ManyThatSayNothingShutNobodyOut) {
  Build(1);
  std::vector<std::unique_ptr<RawPeer>> silent;
  for (int i = 0; i < 100; ++i) {
    silent.push_back(std::make_unique<RawPeer>(*world, Port(), "x"));
    silent.back()->Write(std::string("\1\0\0", 3));  // half a message and silence
  }
  auto peer = Raw();
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 1)), ResultCode::kSuccess);
  const auto ended = std::count_if(silent.begin(), silent.end(), [](const auto& p) { return p->ended; });
  EXPECT_GE(ended, 60);
}

TEST_F(ClientFaultTest, EveryFaultOfARequestHasItsAnswerAndTheConnectionStands) {
  Build(1);
  auto peer = Raw();
  const auto changed = [&](const std::function<void(Message&)>& change) {
    Message request = peer->Request("sim-lookup", 100);
    change(request);
    return peer->Ask(request);
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
  EXPECT_EQ(Arrived(), 0U);
  peer->Send(diameter::MakeCer(peer->identity));  // once more
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  EXPECT_EQ(peer->Ask(peer->Request("sim-lookup", 1)), ResultCode::kSuccess);
}

TEST_F(ClientFaultTest, AMessageThatIsTooLargeEndsTheConnectionWithAnAnswer) {
  Build(1);
  auto peer = Raw();
  Message large = peer->Request("sim-lookup", 1);
  large.avps += AvpWriter().Add(kTokenCode, std::string(70'000, 'x'), 0, kVendor).Take();
  EXPECT_EQ(peer->Ask(large), ResultCode::kInvalidMessageLength);
  EXPECT_TRUE(peer->Ends());
}

// Watchdogs are between two peers: no request, no load, no attempt.
TEST_F(ClientFaultTest, WatchdogsInAnyNumberAreNoLoad) {
  Build(2);
  auto peer = Raw();
  for (int i = 0; i < 5'000; ++i) peer->Send(diameter::MakeDwr(peer->identity));
  ASSERT_TRUE(world->RunUntil([&] { return peer->received.size() == 5'001; }));
  EXPECT_EQ(Arrived(), 0U);
  EXPECT_EQ(sidecar->active_requests(), 0U);
  EXPECT_EQ(sidecar->diameter()->downstream().cached_requests(), 0U);
  peer->looked_at = peer->received.size();
  EXPECT_EQ(peer->Ask(peer->Request("number-port", 1)), ResultCode::kSuccess);
}

// 10,000 requests at once over one connection: each has its answer, most of them that this is too much.
TEST_F(ClientFaultTest, AFloodOverOneConnectionIsAnsweredToTheLast) {
  Build(4);
  auto peer = Raw();
  std::string flood;
  for (std::uint32_t i = 1; i <= 10'000; ++i) {
    const Message request = peer->Request("number-port", i);
    flood += diameter::Encode(request.header, request.avps);
  }
  for (std::size_t at = 0; at < flood.size(); at += 1 << 20) {
    peer->Write(flood.substr(at, 1 << 20));
    world->RunFor(std::chrono::milliseconds(1));
  }
  EXPECT_TRUE(world->RunUntil([&] { return peer->received.size() == 10'001; }));
  std::set<std::uint32_t> ids;
  for (const Message& answer : peer->received) ids.insert(answer.header.hop_by_hop);
  EXPECT_EQ(ids.size(), 10'001U);
  EXPECT_EQ(Broken(), "");
}

// It does not read: it is not read from either, and in the end it goes. Nobody else suffers.
TEST_F(ClientFaultTest, WhoDoesNotReadIsHeldToABound) {
  Build(2);
  Tcp::socket deaf(world->io);
  deaf.connect(Port());
  deaf.set_option(boost::asio::socket_base::receive_buffer_size(4096));
  auto other = Raw(2);
  diameter::Identity identity = Somebody("backoffice-1.franchise.example");
  std::string text;
  const auto add = [&](const Message& message) { text += diameter::Encode(message.header, message.avps); };
  add(diameter::MakeCer(identity));
  // What has an answer of its own size many times over; what the sidecar reads of it is the bound's to say.
  for (int i = 0; i < 100'000; ++i) add(diameter::MakeDwr(identity));
  bool ended = false;
  boost::asio::async_write(deaf, boost::asio::buffer(text),
                           [&](auto error, std::size_t) { ended = !!error; });
  world->RunFor(std::chrono::milliseconds(300));
  EXPECT_EQ(other->Ask(other->Request("number-port", 1)), ResultCode::kSuccess);
  EXPECT_TRUE(world->RunUntil([&] { return ended; })) << "kept, though it never reads";
  EXPECT_EQ(other->Ask(other->Request("number-port", 2)), ResultCode::kSuccess);
}

TEST_F(ClientFaultTest, AClientThatPartsHasItsAnswersFirst) {
  Build(1);
  auto peer = Raw();
  peer->Send(peer->Request("number-port", 1));
  peer->Send(diameter::MakeDpr(peer->identity, diameter::DisconnectCause::kRebooting));
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Last().header.command, kCommand);
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Last().header.command, diameter::kDisconnectPeer);
}

TEST_F(ClientFaultTest, ASidecarThatDrainsPartsFromItsClientsInOrder) {
  auto classes = ShortClasses();
  for (WorkClass& c : classes) c.work = 1'500'000;
  Build(1, {}, ExampleFile(), classes);
  auto peer = Raw();
  auto idle = Raw(2);
  peer->Send(peer->Request("number-port", 1));
  ASSERT_TRUE(world->RunUntil([&] { return Ran("number-port") == 1; }));
  bool finished = false;
  sidecar->Stop([&] { finished = true; });
  ASSERT_TRUE(idle->Next());
  EXPECT_EQ(idle->Last().header.command, diameter::kDisconnectPeer);
  idle->Send(diameter::MakeAnswer(idle->identity, idle->Last(), ResultCode::kSuccess));
  EXPECT_TRUE(idle->Ends());
  EXPECT_FALSE(finished);
  ASSERT_TRUE(peer->Next());
  EXPECT_EQ(peer->Code(), ResultCode::kSuccess);
  ASSERT_TRUE(peer->Next());
  peer->Send(diameter::MakeAnswer(peer->identity, peer->Last(), ResultCode::kSuccess));
  EXPECT_TRUE(world->RunUntil([&] { return finished; }));
}

}  // namespace
}  // namespace merlinrun::rig
