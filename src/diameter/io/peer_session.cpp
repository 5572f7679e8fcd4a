#include "diameter/io/peer_session.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace merlinrun::diameter {

PeerSession::PeerSession(core::Loop& loop, const Identity& self, const Dictionary& dictionary,
                         Peer::Settings settings, Dialer dialer, Events events)
    : loop_(loop),
      dialer_(std::move(dialer)),
      events_(std::move(events)),
      peer_(self, dictionary, std::move(settings), *this),
      timer_(loop.NewTimer()) {}

PeerSession::~PeerSession() {
  *alive_ = false;
  if (cancel_dial_) cancel_dial_();
  for (const ConnectionPtr& connection : connections_)
    if (connection != nullptr) connection->Close();
}

const ConnectionPtr& PeerSession::open_connection() const {
  static const ConnectionPtr none;
  if (!peer_.Connected()) return none;
  return connections_[peer_.side() == Side::kInitiator ? 0 : 1];
}

void PeerSession::OnPeerChanged() {
  // Restarted only for an earlier deadline: each message moves the watchdog a little, and a timer that fires
  // early restarts itself.
  const Micros due = peer_.due();
  if (due > 0 && (timer_due_ == 0 || due < timer_due_)) {
    timer_due_ = due;
    timer_->Start(std::max<Micros>(due - loop_.Now(), 0), [this] {
      timer_due_ = 0;
      peer_.OnTimer(loop_.Now());
      OnPeerChanged();
    });
  }
  events_.on_change();
}

void PeerSession::Start() {
  peer_.Start(loop_.Now());
  OnPeerChanged();
}

void PeerSession::Dial() {
  cancel_dial_ = dialer_([this, alive = alive_](ConnectionPtr connection) {
    if (!*alive) {
      if (connection != nullptr) connection->Close();
      return;
    }
    cancel_dial_ = nullptr;
    if (connection == nullptr) {
      peer_.OnDialFailed(loop_.Now());
      return OnPeerChanged();
    }
    ConnectionAt(Side::kInitiator) = std::move(connection);
    Attach(Side::kInitiator);
    peer_.OnDialed(loop_.Now());
    OnPeerChanged();
  });
}

void PeerSession::Attach(Side side) {
  Connection::Events events;
  events.on_frame = [this, side, alive = alive_](std::string_view frame) {
    if (*alive) OnFrame(side, frame);
  };
  events.on_framing_error = [this, side, alive = alive_](const MalformedMessage& bad) {
    if (!*alive) return;
    peer_.OnMalformed(loop_.Now(), side, bad, /*fatal=*/true);
    if (*alive) OnPeerChanged();
  };
  events.on_closed = [this, side, alive = alive_] {
    if (!*alive) return;
    ConnectionAt(side) = nullptr;
    peer_.OnClosed(loop_.Now(), side);
    OnPeerChanged();
  };
  ConnectionAt(side)->Start(std::move(events));
}

void PeerSession::OnFrame(Side side, std::string_view frame) {
  const auto alive = alive_;
  auto decoded = Decode(frame);
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded)) {
    peer_.OnMalformed(loop_.Now(), side, *bad, /*fatal=*/false);
    events_.on_malformed(*bad);
  } else if (auto message = peer_.OnMessage(loop_.Now(), side, std::move(std::get<Message>(decoded)))) {
    events_.on_message(std::move(*message));
  }
  if (*alive) OnPeerChanged();
}

Peer::IncomingResult PeerSession::Adopt(const ConnectionPtr& connection, const Message& cer,
                                        const PeerCapabilities& remote) {
  replaced_ = std::exchange(ConnectionAt(Side::kResponder), connection);
  adopting_ = true;
  const Peer::IncomingResult result = peer_.OnIncoming(loop_.Now(), cer, remote);
  adopting_ = false;
  const ConnectionPtr previous = std::exchange(replaced_, nullptr);
  if (result == Peer::IncomingResult::kRejected) {
    ConnectionAt(Side::kResponder) = previous;
    return result;
  }
  if (ConnectionAt(Side::kResponder) == connection) Attach(Side::kResponder);
  OnPeerChanged();
  return result;
}

void PeerSession::Stop(DisconnectCause cause) {
  if (!peer_.Open()) return;
  peer_.Stop(loop_.Now(), cause);
  OnPeerChanged();
}

void PeerSession::Drained() {
  if (peer_.state() != Peer::State::kDraining) return;
  peer_.Drained(loop_.Now());
  OnPeerChanged();
}

std::optional<std::uint64_t> PeerSession::Send(const Message& message) {
  if (!peer_.Send(message)) return std::nullopt;
  return last_write_end_;
}

void PeerSession::Write(Side side, std::string bytes) {
  if (const ConnectionPtr& connection = ConnectionAt(side); connection != nullptr)
    last_write_end_ = connection->Write(bytes);
}

void PeerSession::Close(Side side) {
  if (side == Side::kInitiator && cancel_dial_) std::exchange(cancel_dial_, nullptr)();
  // During Adopt the connection to close on the responder side is the previous one.
  ConnectionPtr& slot = adopting_ && side == Side::kResponder ? replaced_ : ConnectionAt(side);
  if (const ConnectionPtr connection = std::exchange(slot, nullptr); connection != nullptr)
    connection->Close();
}

}  // namespace merlinrun::diameter
