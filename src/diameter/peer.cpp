#include "diameter/peer.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::diameter {
namespace {

// RFC 6733, section 3: the high 12 bits from the time, the low 20 random, so that ids differ across restarts.
std::uint32_t FirstEndToEnd(std::uint32_t state_id, std::uint64_t seed) {
  return state_id << 20 | static_cast<std::uint32_t>(seed & 0xfffff);
}

}  // namespace

Peer::Peer(const Identity& self, const Dictionary& dictionary, Settings settings, PeerSink& sink)
    : self_(self),
      dictionary_(dictionary),
      settings_(std::move(settings)),
      sink_(sink),
      watchdog_(settings_.watchdog, settings_.seed),
      hop_by_hop_(static_cast<std::uint32_t>(settings_.seed >> 32)),
      end_to_end_(FirstEndToEnd(self.state_id, settings_.seed)) {}

Micros Peer::due() const {
  const Micros watchdog = Open() ? watchdog_.due() : 0;
  if (due_ == 0 || watchdog == 0) return std::max(due_, watchdog);
  return std::min(due_, watchdog);
}

void Peer::Await(Micros now, Micros time) { due_ = now + time; }

void Peer::WriteMessage(Side side, const Message& message) {
  sink_.Write(side, Encode(message.header, message.avps));
}

void Peer::Ask(Side side, Message request) {
  request.header.hop_by_hop = ++hop_by_hop_;
  request.header.end_to_end = ++end_to_end_;
  WriteMessage(side, request);
}

void Peer::Obey(Watchdog::Order order) {
  if (order == Watchdog::Order::kSend) Ask(side_, MakeDwr(self_));
  if (order != Watchdog::Order::kClose) return;
  sink_.Close(side_);
  GoClosed();
}

// ---- Coming up ----

void Peer::Start(Micros now) {
  if (state_ != State::kClosed) return;
  state_ = State::kWaitConnAck;
  Await(now, settings_.connect);
  sink_.Dial();
}

void Peer::OnDialed(Micros now) {
  if (state_ != State::kWaitConnAck && state_ != State::kWaitConnAckElect) return;
  Ask(Side::kInitiator, MakeCer(self_));
  cer_id_ = hop_by_hop_;
  if (state_ == State::kWaitConnAck) {
    state_ = State::kWaitICea;
    return;
  }
  Elect(now);
}

void Peer::OnDialFailed(Micros now) {
  if (state_ == State::kWaitConnAckElect) return AcceptResponder(now);
  if (state_ == State::kWaitConnAck) GoClosed();
}

// Section 5.6.4: the node whose name comes later keeps the connection that the other one opened.
bool Peer::WinsElection() const { return LowerName(self_.host) > LowerName(remote_.host); }

void Peer::Elect(Micros now) {
  state_ = State::kWaitReturns;
  if (!WinsElection()) return;  // the peer closes its own connection and answers the CER on this node's
  sink_.Close(Side::kInitiator);
  AcceptResponder(now);
}

void Peer::AcceptResponder(Micros now) {
  WriteMessage(Side::kResponder, MakeCea(self_, cer_));
  GoOpen(now, Side::kResponder);
}

Peer::Verdict Peer::OnIncoming(Micros now, const Message& cer, const PeerCapabilities& remote) {
  const auto take = [&] {
    cer_ = cer;
    remote_ = remote;
  };
  switch (state_) {
    case State::kClosed:
      take();
      AcceptResponder(now);
      return Verdict::kTaken;
    case State::kWaitConnAck:
      take();
      state_ = State::kWaitConnAckElect;
      return Verdict::kTaken;
    case State::kWaitICea:
      take();
      Elect(now);
      return Verdict::kTaken;
    case State::kROpen:
    case State::kIOpen:
    case State::kDraining:
    case State::kClosing:
      // It has started anew, so the connection that stands here is dead, whether or not its end has come.
      // Guards against turning away a client or server that restarts until its old connection is found out.
      if (remote.state_id > remote_.state_id && remote_.state_id != 0) {
        sink_.Close(side_);
        GoClosed();
        take();
        AcceptResponder(now);
        return Verdict::kReplaced;
      }
      return Verdict::kRejected;
    case State::kWaitConnAckElect:
    case State::kWaitReturns:
      return Verdict::kRejected;
  }
  return Verdict::kRejected;
}

void Peer::OnCea(Micros now, const Message& cea) {
  const bool answers = !cea.header.request() && cea.header.command == kCapabilitiesExchange &&
                       cea.header.hop_by_hop == cer_id_;
  auto read = ReadCapabilities(self_, dictionary_, cea);
  const PeerCapabilities* const remote = std::get_if<PeerCapabilities>(&read);
  const bool good = answers && remote != nullptr && ResultCodeOf(cea) == ResultCode::kSuccess &&
                    (settings_.host.empty() || SameName(remote->host, settings_.host));
  if (good) {
    if (state_ == State::kWaitReturns) sink_.Close(Side::kResponder);
    remote_ = *remote;
    return GoOpen(now, Side::kInitiator);
  }
  sink_.Close(Side::kInitiator);
  if (state_ == State::kWaitReturns) return AcceptResponder(now);
  GoClosed();
}

void Peer::GoOpen(Micros now, Side side) {
  side_ = side;
  state_ = side == Side::kInitiator ? State::kIOpen : State::kROpen;
  due_ = 0;
  ++lives_;
  if (!settings_.probation) watchdog_ = Watchdog(settings_.watchdog, settings_.seed + lives_);
  Obey(watchdog_.OnUp(now));
}

void Peer::GoClosed() {
  state_ = State::kClosed;
  due_ = 0;
  watchdog_.OnDown();
}

// ---- What comes in ----

std::optional<Message> Peer::OnMessage(Micros now, Side side, Message message) {
  switch (state_) {
    case State::kWaitICea:
    case State::kWaitReturns:
      // Before the exchange is over nothing but its answer is of use, and the responder waits for its own.
      if (side == Side::kInitiator) OnCea(now, message);
      return std::nullopt;
    case State::kROpen:
    case State::kIOpen:
    case State::kDraining:
    case State::kClosing:
      if (side != side_) return std::nullopt;
      return OnOpenMessage(now, std::move(message));
    case State::kClosed:
    case State::kWaitConnAck:
    case State::kWaitConnAckElect:
      return std::nullopt;
  }
  return std::nullopt;
}

std::optional<Message> Peer::OnOpenMessage(Micros now, Message message) {
  const Header& header = message.header;
  const bool watchdog_answer = !header.request() && header.command == kDeviceWatchdog;
  watchdog_.OnReceived(now, watchdog_answer);
  if (header.request()) {
    if (OnBaseRequest(now, message)) return std::nullopt;
    if (Open()) return message;
    // Section 5.4: who parts sends nothing new. It was not sent on, so the peer may try elsewhere.
    WriteMessage(side_, MakeError(self_, message, {ResultCode::kUnableToDeliver, {}, "parting"}));
    return std::nullopt;
  }
  if (watchdog_answer || header.command == kCapabilitiesExchange) return std::nullopt;
  if (header.command == kDisconnectPeer) {
    if (state_ == State::kClosing) {
      sink_.Close(side_);
      GoClosed();
    }
    return std::nullopt;
  }
  return message;
}

// True if the request was the base protocol's; it has been answered then, or will be.
bool Peer::OnBaseRequest(Micros now, const Message& message) {
  if (message.header.application != 0) return false;
  const CommandRule* const rule = dictionary_.FindCommand(message.header.command, 0);
  const auto answer = [&](const Message& out) { WriteMessage(side_, out); };
  if (rule == nullptr) {
    answer(MakeError(self_, message, {ResultCode::kCommandUnsupported, {}, "an unknown command"}));
    return true;
  }
  if (const auto fault = Check(message, dictionary_, *rule, Reader::kEndpoint)) {
    answer(MakeError(self_, message, *fault));
    return true;
  }
  switch (rule->code) {
    case kDeviceWatchdog:
      answer(MakeAnswer(self_, message, ResultCode::kSuccess));
      return true;
    case kDisconnectPeer:
      // A second one, or one that crosses this node's own, changes nothing but has its answer.
      if (!Open()) {
        answer(MakeAnswer(self_, message, ResultCode::kSuccess));
        return true;
      }
      cer_ = message;
      state_ = State::kDraining;
      Await(now, settings_.drain);
      return true;
    default: {
      // CER once more (section 5.3 knows no second exchange): the answer is the same as long as the peer is.
      const auto read = ReadCapabilities(self_, dictionary_, message);
      const PeerCapabilities* const remote = std::get_if<PeerCapabilities>(&read);
      if (remote != nullptr && SameName(remote->host, remote_.host))
        answer(MakeCea(self_, message));
      else
        answer(MakeError(self_, message, {ResultCode::kUnknownPeer, {}, "another peer on one connection"}));
      return true;
    }
  }
}

void Peer::OnBad(Micros now, Side side, const MalformedMessage& bad, bool fatal) {
  const bool open = Connected() && side == side_;
  if (open && bad.header.request()) WriteMessage(side, MakeError(self_, bad.header, {}, bad.fault));
  if (!fatal && open) return;
  if (state_ == State::kWaitICea || state_ == State::kWaitReturns || fatal) {
    sink_.Close(side);
    OnClosed(now, side);
  }
}

void Peer::OnClosed(Micros now, Side side) {
  switch (state_) {
    case State::kWaitConnAck:
    case State::kWaitICea:
      if (side == Side::kInitiator) GoClosed();
      return;
    case State::kWaitConnAckElect:
      if (side == Side::kResponder) state_ = State::kWaitConnAck;
      return;
    case State::kWaitReturns:
      if (side == Side::kInitiator) return AcceptResponder(now);
      state_ = State::kWaitICea;
      return;
    case State::kROpen:
    case State::kIOpen:
    case State::kDraining:
    case State::kClosing:
      if (side == side_) GoClosed();
      return;
    case State::kClosed:
      return;
  }
}

void Peer::OnTimer(Micros now) {
  if (Open()) Obey(watchdog_.OnTimer(now));
  if (due_ == 0 || now < due_) return;
  due_ = 0;
  switch (state_) {
    case State::kWaitConnAck:
    case State::kWaitICea:
      sink_.Close(Side::kInitiator);
      return GoClosed();
    case State::kWaitConnAckElect:  // a dial without end is one that failed
      sink_.Close(Side::kInitiator);
      return AcceptResponder(now);
    case State::kWaitReturns:
      sink_.Close(Side::kInitiator);
      sink_.Close(Side::kResponder);
      return GoClosed();
    case State::kDraining:
      return Drained(now);
    case State::kClosing:
      sink_.Close(side_);
      return GoClosed();
    case State::kClosed:
    case State::kROpen:
    case State::kIOpen:
      return;
  }
}

// ---- Parting ----

void Peer::Stop(Micros now, DisconnectCause cause) {
  if (!Open()) return;
  state_ = State::kClosing;
  Await(now, settings_.drain);
  Ask(side_, MakeDpr(self_, cause));
}

void Peer::Drained(Micros now) {
  if (state_ != State::kDraining) return;
  WriteMessage(side_, MakeAnswer(self_, cer_, ResultCode::kSuccess));
  state_ = State::kClosing;  // the peer closes when it has read the answer
  Await(now, settings_.drain);
}

bool Peer::Send(const Message& message) {
  const bool may = message.header.request() ? Open() : Connected();
  if (may) WriteMessage(side_, message);
  return may;
}

}  // namespace merlinrun::diameter
