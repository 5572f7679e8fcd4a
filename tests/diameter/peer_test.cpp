// Tests the peer state machine and its watchdog in virtual time, with connections that fail, stall and cross.
#include "diameter/peer.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <vector>

namespace merlinrun::diameter {
namespace {

constexpr Micros kSec = 1'000'000;
constexpr std::uint32_t kApplication = 16777999;

Identity MakeIdentity(const std::string& host) {
  Identity self;
  self.host = host;
  self.realm = "example";
  self.state_id = 1;
  self.addresses = {AddressData(std::string("\177\0\0\1", 4))};
  self.applications = {kApplication};
  return self;
}

// A node with its state machine, recording what it does.
struct Node : PeerSink {
  explicit Node(const std::string& host, Micros watchdog = 30 * kSec) : self(MakeIdentity(host)) {
    Peer::Settings settings;
    settings.watchdog_interval = watchdog;
    settings.seed = 7;
    peer = std::make_unique<Peer>(self, base, settings, *this);
  }
  void Dial() override { ++dials; }
  void Write(Side side, std::string bytes) override {
    written.emplace_back(side, std::get<Message>(Decode(bytes)));
  }
  void Close(Side side) override { closed.push_back(side); }

  // Removes and returns the first message written on a side; fails if there is none.
  Message Take(Side side) {
    for (auto it = written.begin(); it != written.end(); ++it)
      if (it->first == side) {
        const Message message = it->second;
        written.erase(it);
        return message;
      }
    ADD_FAILURE() << "nothing was written";
    return {};
  }
  // Opens the connection as initiator, to a peer with this identity.
  void Open(Micros now, const Identity& other) {
    peer->Start(now);
    peer->OnDialed(now);
    const Message cer = Take(Side::kInitiator);
    peer->OnMessage(now, Side::kInitiator, MakeCea(other, cer));
    ASSERT_EQ(peer->state(), Peer::State::kIOpen);
  }
  std::optional<Message> Receive(Micros now, const Message& message) {
    return peer->OnMessage(now, Side::kInitiator, message);
  }

  const Identity self;
  const Dictionary base = Dictionary::Base();
  std::vector<std::pair<Side, Message>> written;
  std::vector<Side> closed;
  int dials = 0;
  std::unique_ptr<Peer> peer;
};

Message AppRequest() { return {{kRequestBit | kProxiableBit, 8388000, kApplication, 1, 2}, {}}; }

PeerCapabilities CapabilitiesOf(const Identity& other) {
  return {other.host, other.realm, other.state_id, other.applications};
}

TEST(PeerTest, OpensByCapabilitiesExchangeAndAnswersWatchdogs) {
  Node a("a.example");
  const Identity b = MakeIdentity("b.example");
  EXPECT_FALSE(a.peer->Send(AppRequest()));
  a.Open(0, b);
  EXPECT_EQ(a.dials, 1);
  EXPECT_TRUE(a.peer->usable());
  EXPECT_EQ(a.peer->remote().host, "b.example");
  Message dwr = MakeDwr(b);
  dwr.header.hop_by_hop = 99;
  EXPECT_FALSE(a.Receive(1, dwr).has_value());
  const Message dwa = a.Take(Side::kInitiator);
  EXPECT_EQ(ResultCodeOf(dwa), ResultCode::kSuccess);
  EXPECT_EQ(dwa.header.hop_by_hop, 99U);
  EXPECT_TRUE(a.Receive(2, AppRequest()).has_value());
}

TEST(PeerTest, AnyAnswerButASuccessfulCeaFailsTheDial) {
  const Identity b = MakeIdentity("b.example");
  const auto fails_with = [&](const std::function<Message(const Message&)>& answer) {
    Node a("a.example");
    a.peer->Start(0);
    a.peer->OnDialed(0);
    a.peer->OnMessage(0, Side::kInitiator, answer(a.Take(Side::kInitiator)));
    return a.peer->state() == Peer::State::kClosed && a.closed == std::vector{Side::kInitiator};
  };
  EXPECT_TRUE(fails_with([&](const Message& cer) {
    return MakeError(b, cer, {ResultCode::kUnknownPeer, {}, "who?"});
  }));
  EXPECT_TRUE(fails_with([&](const Message& cer) {
    Message cea = MakeCea(b, cer);
    ++cea.header.hop_by_hop;
    return cea;
  }));
  EXPECT_TRUE(fails_with([&](const Message&) { return AppRequest(); }));
  EXPECT_TRUE(fails_with([&](const Message& cer) {
    Identity other = b;
    other.applications = {4};
    return MakeCea(other, cer);
  }));
}

TEST(PeerTest, ASilentPeerTimesOut) {
  Node a("a.example");
  a.peer->Start(0);
  a.peer->OnDialed(0);
  a.peer->OnTimer(a.peer->due() - 1);
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitICea);
  a.peer->OnTimer(a.peer->due());
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(a.closed.size(), 1U);
}

// Both dial at once: exactly one connection remains, and both sides keep the same one.
TEST(PeerTest, ElectionKeepsTheConnectionOpenedByTheLowerName) {
  Node a("a.example");
  Node b("b.example");
  a.peer->Start(0);
  b.peer->Start(0);
  a.peer->OnDialed(0);
  b.peer->OnDialed(0);
  const Message from_a = a.Take(Side::kInitiator);
  const Message from_b = b.Take(Side::kInitiator);
  EXPECT_EQ(a.peer->OnIncoming(1, from_b, CapabilitiesOf(b.self)), Peer::IncomingResult::kAccepted);
  EXPECT_EQ(b.peer->OnIncoming(1, from_a, CapabilitiesOf(a.self)), Peer::IncomingResult::kAccepted);
  EXPECT_EQ(b.peer->state(), Peer::State::kROpen);  // b sorts higher
  EXPECT_EQ(b.closed, std::vector{Side::kInitiator});
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitReturns);
  a.peer->OnMessage(2, Side::kInitiator, b.Take(Side::kResponder));
  EXPECT_EQ(a.peer->state(), Peer::State::kIOpen);
  EXPECT_EQ(a.closed, std::vector{Side::kResponder});
  // The same, but a sees the close of b's connection first.
  Node c("a.example");
  c.peer->Start(0);
  c.peer->OnDialed(0);
  c.peer->OnIncoming(1, from_b, CapabilitiesOf(b.self));
  c.peer->OnClosed(2, Side::kResponder);
  const Message cer = c.Take(Side::kInitiator);
  c.peer->OnMessage(2, Side::kInitiator, MakeCea(b.self, cer));
  EXPECT_EQ(c.peer->state(), Peer::State::kIOpen);
}

TEST(PeerTest, AnElectionEndsWhenTheOtherConnectionFails) {
  const Identity b = MakeIdentity("b.example");
  Node a("a.example");
  a.peer->Start(0);
  EXPECT_EQ(a.peer->OnIncoming(0, MakeCer(b), CapabilitiesOf(b)), Peer::IncomingResult::kAccepted);
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitConnAckElect);
  EXPECT_EQ(a.peer->OnIncoming(0, MakeCer(b), CapabilitiesOf(b)), Peer::IncomingResult::kRejected);
  a.peer->OnDialFailed(1);
  EXPECT_EQ(a.peer->state(), Peer::State::kROpen);
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kResponder)), ResultCode::kSuccess);
  Node later("a.example");
  later.peer->Start(0);
  later.peer->OnDialed(0);
  later.peer->OnIncoming(0, MakeCer(b), CapabilitiesOf(b));
  later.peer->OnClosed(1, Side::kInitiator);
  EXPECT_EQ(later.peer->state(), Peer::State::kROpen);
}

TEST(PeerTest, ASecondConnectionIsRejectedUnlessThePeerHasRestarted) {
  Identity b = MakeIdentity("b.example");
  Node a("a.example");
  a.Open(0, b);
  EXPECT_EQ(a.peer->OnIncoming(1, MakeCer(b), CapabilitiesOf(b)), Peer::IncomingResult::kRejected);
  EXPECT_TRUE(a.closed.empty());
  const auto opens_before = a.peer->open_generation();
  b.state_id = 2;
  EXPECT_EQ(a.peer->OnIncoming(2, MakeCer(b), CapabilitiesOf(b)), Peer::IncomingResult::kReplaced);
  EXPECT_EQ(a.closed, std::vector{Side::kInitiator});
  EXPECT_EQ(a.peer->state(), Peer::State::kROpen);
  EXPECT_EQ(a.peer->open_generation(), opens_before + 1);
  EXPECT_EQ(a.peer->remote().state_id, 2U);
}

TEST(PeerTest, DrainsOnAPeersDpr) {
  const Identity b = MakeIdentity("b.example");
  Node a("a.example");
  a.Open(0, b);
  ASSERT_TRUE(a.peer->Send(AppRequest()));
  a.Take(Side::kInitiator);
  a.Receive(1, MakeDpr(b, DisconnectCause::kRebooting));
  EXPECT_FALSE(a.peer->usable());
  EXPECT_FALSE(a.peer->Send(AppRequest()));  // no new requests
  EXPECT_TRUE(a.written.empty());            // the DPA is delayed
  Message answer = AppRequest();
  answer.header.flags = kProxiableBit;
  EXPECT_TRUE(a.Receive(2, answer).has_value());  // pending requests are still answered
  EXPECT_FALSE(a.Receive(3, AppRequest()).has_value());
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kUnableToDeliver);
  a.peer->Drained(4);
  const Message dpa = a.Take(Side::kInitiator);
  EXPECT_EQ(dpa.header.command, kDisconnectPeer);
  EXPECT_FALSE(dpa.header.request());
  a.peer->OnClosed(5, Side::kInitiator);
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

TEST(PeerTest, ADrainTimesOut) {
  const Identity b = MakeIdentity("b.example");
  Node a("a.example");
  a.Open(0, b);
  a.Receive(1, MakeDpr(b, DisconnectCause::kRebooting));
  a.peer->OnTimer(a.peer->due());
  EXPECT_EQ(a.Take(Side::kInitiator).header.command, kDisconnectPeer);
  a.peer->OnTimer(a.peer->due());  // the peer never closes
  EXPECT_EQ(a.closed, std::vector{Side::kInitiator});
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

TEST(PeerTest, DisconnectsByDpr) {
  const Identity b = MakeIdentity("b.example");
  Node a("a.example");
  a.Open(0, b);
  a.peer->Stop(1, DisconnectCause::kBusy);
  const Message dpr = a.Take(Side::kInitiator);
  EXPECT_EQ(ToU32(Find(dpr.avps, avp::kDisconnectCause)->data), 1U);
  // Crossing DPRs are both answered.
  a.Receive(2, MakeDpr(b, DisconnectCause::kBusy));
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kSuccess);
  a.Receive(3, MakeAnswer(b, dpr, ResultCode::kSuccess));
  EXPECT_EQ(a.closed, std::vector{Side::kInitiator});
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

TEST(PeerTest, InvalidRequestsAreAnswered) {
  const Identity b = MakeIdentity("b.example");
  Node a("a.example");
  a.Open(0, b);
  Message unknown = AppRequest();
  unknown.header.application = 0;
  unknown.header.command = 999;
  a.Receive(1, unknown);
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kCommandUnsupported);
  Message dwr = MakeDwr(b);
  dwr.avps.clear();
  a.Receive(1, dwr);
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kMissingAvp);
  a.Receive(1, MakeCer(b));  // repeated
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kSuccess);
  a.Receive(1, MakeCer(MakeIdentity("c.example")));
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kUnknownPeer);
  EXPECT_TRUE(a.peer->usable());
  a.peer->OnMalformed(1, Side::kInitiator, {AppRequest().header, {ResultCode::kInvalidAvpLength, {}, ""}},
                      false);
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kInvalidAvpLength);
  EXPECT_TRUE(a.peer->usable());
  a.peer->OnMalformed(1, Side::kInitiator, {AppRequest().header, {ResultCode::kUnsupportedVersion, {}, ""}},
                      true);
  EXPECT_EQ(ResultCodeOf(a.Take(Side::kInitiator)), ResultCode::kUnsupportedVersion);
  EXPECT_EQ(a.closed, std::vector{Side::kInitiator});
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

// ---- The watchdog (RFC 3539, section 3.4.1) ----

class WatchdogTest : public ::testing::Test {
 protected:
  WatchdogTest() : a("a.example"), b(MakeIdentity("b.example")) { a.Open(0, b); }
  Micros Due() {
    const Micros due = a.peer->due();
    a.peer->OnTimer(due);
    return due;
  }
  void AnswerWatchdog(Micros now) {
    a.Receive(now, MakeAnswer(b, a.Take(Side::kInitiator), ResultCode::kSuccess));
  }
  Node a;
  const Identity b;
};

TEST_F(WatchdogTest, SendsOnlyWhenIdleAndWithJitter) {
  const Micros first = a.peer->due();
  EXPECT_GE(first, 28 * kSec);
  EXPECT_LE(first, 32 * kSec);
  a.Receive(20 * kSec, AppRequest());
  EXPECT_GE(a.peer->due(), 48 * kSec);
  Due();
  EXPECT_EQ(a.Take(Side::kInitiator).header.command, kDeviceWatchdog);
}

TEST_F(WatchdogTest, ASilentPeerIsSuspectThenDownAndAnAnswerRestoresIt) {
  Due();
  EXPECT_TRUE(a.peer->usable());
  const Micros late = Due();
  EXPECT_EQ(a.peer->watchdog(), Watchdog::State::kSuspect);
  EXPECT_FALSE(a.peer->usable());
  AnswerWatchdog(late + 1);
  EXPECT_TRUE(a.peer->usable());
  Due(), Due(), Due();
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(a.peer->watchdog(), Watchdog::State::kDown);
  EXPECT_EQ(a.closed, std::vector{Side::kInitiator});
}

TEST_F(WatchdogTest, AReopenedPeerIsUsedAfterThreeAnswers) {
  a.peer->OnClosed(kSec, Side::kInitiator);
  a.written.clear();
  a.Open(2 * kSec, b);
  EXPECT_EQ(a.peer->watchdog(), Watchdog::State::kReopen);
  Micros now = 3 * kSec;
  for (int answered = 0; answered < 3; ++answered) {
    EXPECT_FALSE(a.peer->usable()) << answered;
    AnswerWatchdog(now);
    if (answered < 2) now = Due();
  }
  EXPECT_TRUE(a.peer->usable());
}

TEST_F(WatchdogTest, AReopenedPeerThatStaysSilentIsClosed) {
  a.peer->OnClosed(kSec, Side::kInitiator);
  a.Open(2 * kSec, b);
  Due();
  EXPECT_EQ(a.peer->state(), Peer::State::kIOpen);
  Due();
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

TEST_F(WatchdogTest, OtherMessagesDoNotReopen) {
  a.peer->OnClosed(kSec, Side::kInitiator);
  a.Open(2 * kSec, b);
  for (int i = 0; i < 10; ++i) a.Receive(3 * kSec, AppRequest());
  EXPECT_FALSE(a.peer->usable());
}

TEST_F(WatchdogTest, APeerThatNeverWasUpNeedsNoProbation) {
  Node fresh("a.example");
  fresh.peer->Start(0);
  fresh.peer->OnDialFailed(1);
  fresh.Open(2, b);
  EXPECT_TRUE(fresh.peer->usable());
}

}  // namespace
}  // namespace merlinrun::diameter
