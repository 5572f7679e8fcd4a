#include "diameter/peer.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::diameter {
namespace {

// RFC 6733, section 3: high 12 bits from the time, low 20 bits random, so that ids differ across restarts.
std::uint32_t FirstEndToEnd(std::uint32_t state_id, std::uint64_t seed) {
  return state_id << 20 | static_cast<std::uint32_t>(seed & 0xfffff);
}

}  // namespace

Peer::Peer(const Identity& self, const Dictionary& dictionary, Settings settings, PeerSink& sink)
    : self_(self),
      dictionary_(dictionary),
      settings_(std::move(settings)),
      sink_(sink),
      watchdog_(settings_.watchdog_interval, settings_.seed),
      hop_by_hop_(static_cast<std::uint32_t>(settings_.seed >> 32)),
      end_to_end_(FirstEndToEnd(self.state_id, settings_.seed)) {}

Micros Peer::due() const {
  const Micros watchdog_due = Open() ? watchdog_.due() : 0;
  if (due_ == 0 || watchdog_due == 0) return std::max(due_, watchdog_due);
  return std::min(due_, watchdog_due);
}

void Peer::StartTimeout(Micros now, Micros timeout) { due_ = now + timeout; }

void Peer::WriteMessage(Side side, const Message& message) {
  sink_.Write(side, Encode(message.header, message.avps));
}

void Peer::SendRequest(Side side, Message request) {
  request.header.hop_by_hop = ++hop_by_hop_;
  request.header.end_to_end = ++end_to_end_;
  WriteMessage(side, request);
}

void Peer::RunWatchdogAction(Watchdog::Action action) {
  if (action == Watchdog::Action::kSendRequest) SendRequest(side_, MakeDwr(self_));
  if (action != Watchdog::Action::kClose) return;
  sink_.Close(side_);
  EnterClosed();
}

// ---- Connection setup ----

void Peer::Start(Micros now) {
  if (state_ != State::kClosed) return;
  state_ = State::kWaitConnAck;
  StartTimeout(now, settings_.connect_timeout);
  sink_.Dial();
}

void Peer::OnDialed(Micros now) {
  if (state_ != State::kWaitConnAck && state_ != State::kWaitConnAckElect) return;
  SendRequest(Side::kInitiator, MakeCer(self_));
  cer_hop_by_hop_ = hop_by_hop_;
  if (state_ == State::kWaitConnAck) {
    state_ = State::kWaitICea;
    return;
  }
  Elect(now);
}

void Peer::OnDialFailed(Micros now) {
  if (state_ == State::kWaitConnAckElect) return AcceptResponder(now);
  if (state_ == State::kWaitConnAck) EnterClosed();
}

// Section 5.6.4: the node whose name sorts higher keeps the connection that the peer opened.
bool Peer::WinsElection() const { return LowerName(self_.host) > LowerName(remote_.host); }

void Peer::Elect(Micros now) {
  state_ = State::kWaitReturns;
  if (!WinsElection()) return;  // the peer closes its own connection and answers the CER on this node's
  sink_.Close(Side::kInitiator);
  AcceptResponder(now);
}

void Peer::AcceptResponder(Micros now) {
  WriteMessage(Side::kResponder, MakeCea(self_, pending_request_));
  EnterOpen(now, Side::kResponder);
}

Peer::IncomingResult Peer::OnIncoming(Micros now, const Message& cer, const PeerCapabilities& remote) {
  const auto store_peer = [&] {
    pending_request_ = cer;
    remote_ = remote;
  };
  switch (state_) {
    case State::kClosed:
      store_peer();
      AcceptResponder(now);
      return IncomingResult::kAccepted;
    case State::kWaitConnAck:
      store_peer();
      state_ = State::kWaitConnAckElect;
      return IncomingResult::kAccepted;
    case State::kWaitICea:
      store_peer();
      Elect(now);
      return IncomingResult::kAccepted;
    case State::kROpen:
    case State::kIOpen:
    case State::kDraining:
    case State::kClosing:
      // A larger Origin-State-Id means that the peer has restarted, so the existing connection is dead even
      // if its end hasn't been seen. Without this a restarted peer is rejected until the watchdog finds out.
      if (remote.state_id > remote_.state_id && remote_.state_id != 0) {
        sink_.Close(side_);
        EnterClosed();
        store_peer();
        AcceptResponder(now);
        return IncomingResult::kReplaced;
      }
      return IncomingResult::kRejected;
    case State::kWaitConnAckElect:
    case State::kWaitReturns:
      return IncomingResult::kRejected;
  }
  return IncomingResult::kRejected;
}

void Peer::OnCea(Micros now, const Message& cea) {
  const bool is_answer = !cea.header.request() && cea.header.command == kCapabilitiesExchange &&
                         cea.header.hop_by_hop == cer_hop_by_hop_;
  auto read = ReadCapabilities(self_, dictionary_, cea);
  const PeerCapabilities* const remote = std::get_if<PeerCapabilities>(&read);
  const bool accepted = is_answer && remote != nullptr && ResultCodeOf(cea) == ResultCode::kSuccess &&
                        (settings_.host.empty() || SameName(remote->host, settings_.host));
  if (accepted) {
    if (state_ == State::kWaitReturns) sink_.Close(Side::kResponder);
    remote_ = *remote;
    return EnterOpen(now, Side::kInitiator);
  }
  sink_.Close(Side::kInitiator);
  if (state_ == State::kWaitReturns) return AcceptResponder(now);
  EnterClosed();
}

void Peer::EnterOpen(Micros now, Side side) {
  side_ = side;
  state_ = side == Side::kInitiator ? State::kIOpen : State::kROpen;
  due_ = 0;
  ++open_count_;
  if (!settings_.probation) watchdog_ = Watchdog(settings_.watchdog_interval, settings_.seed + open_count_);
  RunWatchdogAction(watchdog_.OnUp(now));
}

void Peer::EnterClosed() {
  state_ = State::kClosed;
  due_ = 0;
  watchdog_.OnDown();
}

// ---- Incoming messages ----

std::optional<Message> Peer::OnMessage(Micros now, Side side, Message message) {
  switch (state_) {
    case State::kWaitICea:
    case State::kWaitReturns:
      // Until the capabilities exchange is complete only the CEA is accepted.
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
    // Section 5.4: no new requests after a DPR. This one wasn't forwarded, so the peer may use another node.
    WriteMessage(side_, MakeError(self_, message, {ResultCode::kUnableToDeliver, {}, "parting"}));
    return std::nullopt;
  }
  if (watchdog_answer || header.command == kCapabilitiesExchange) return std::nullopt;
  if (header.command == kDisconnectPeer) {
    if (state_ == State::kClosing) {
      sink_.Close(side_);
      EnterClosed();
    }
    return std::nullopt;
  }
  return message;
}

// Returns true if the request belongs to the base protocol; it has been answered or will be.
bool Peer::OnBaseRequest(Micros now, const Message& message) {
  if (message.header.application != 0) return false;
  const CommandRule* const rule = dictionary_.FindCommand(message.header.command, 0);
  const auto answer = [&](const Message& out) { WriteMessage(side_, out); };
  if (rule == nullptr) {
    answer(MakeError(self_, message, {ResultCode::kCommandUnsupported, {}, "an unknown command"}));
    return true;
  }
  if (const auto fault = ValidateMessage(message, dictionary_, *rule, NodeRole::kEndpoint)) {
    answer(MakeError(self_, message, *fault));
    return true;
  }
  switch (rule->code) {
    case kDeviceWatchdog:
      answer(MakeAnswer(self_, message, ResultCode::kSuccess));
      return true;
    case kDisconnectPeer:
      // A repeated DPR, or one that crosses this node's own, is only answered.
      if (!Open()) {
        answer(MakeAnswer(self_, message, ResultCode::kSuccess));
        return true;
      }
      pending_request_ = message;
      state_ = State::kDraining;
      StartTimeout(now, settings_.drain_timeout);
      return true;
    default: {
      // A repeated CER (not defined by section 5.3) gets the same answer if the peer is the same.
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

void Peer::OnMalformed(Micros now, Side side, const MalformedMessage& bad, bool fatal) {
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
      if (side == Side::kInitiator) EnterClosed();
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
      if (side == side_) EnterClosed();
      return;
    case State::kClosed:
      return;
  }
}

void Peer::OnTimer(Micros now) {
  if (Open()) RunWatchdogAction(watchdog_.OnTimer(now));
  if (due_ == 0 || now < due_) return;
  due_ = 0;
  switch (state_) {
    case State::kWaitConnAck:
    case State::kWaitICea:
      sink_.Close(Side::kInitiator);
      return EnterClosed();
    case State::kWaitConnAckElect:  // the dial has timed out
      sink_.Close(Side::kInitiator);
      return AcceptResponder(now);
    case State::kWaitReturns:
      sink_.Close(Side::kInitiator);
      sink_.Close(Side::kResponder);
      return EnterClosed();
    case State::kDraining:
      return Drained(now);
    case State::kClosing:
      sink_.Close(side_);
      return EnterClosed();
    case State::kClosed:
    case State::kROpen:
    case State::kIOpen:
      return;
  }
}

// ---- Disconnect ----

void Peer::Stop(Micros now, DisconnectCause cause) {
  if (!Open()) return;
  state_ = State::kClosing;
  StartTimeout(now, settings_.drain_timeout);
  SendRequest(side_, MakeDpr(self_, cause));
}

void Peer::Drained(Micros now) {
  if (state_ != State::kDraining) return;
  WriteMessage(side_, MakeAnswer(self_, pending_request_, ResultCode::kSuccess));
  state_ = State::kClosing;  // the peer closes the connection after the DPA
  StartTimeout(now, settings_.drain_timeout);
}

bool Peer::Send(const Message& message) {
  const bool allowed = message.header.request() ? Open() : Connected();
  if (allowed) WriteMessage(side_, message);
  return allowed;
}

}  // namespace merlinrun::diameter
