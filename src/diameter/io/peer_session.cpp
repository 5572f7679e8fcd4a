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
  if (give_up_dial_) give_up_dial_();
  for (const ConnectionPtr& connection : connections_)
    if (connection != nullptr) connection->Close();
}

const ConnectionPtr& PeerSession::open() const {
  static const ConnectionPtr none;
  if (!peer_.Connected()) return none;
  return connections_[peer_.side() == Side::kInitiator ? 0 : 1];
}

void PeerSession::Changed() {
  // The timer is set anew only when it is due earlier: each message moves the watchdog's end a little, and a
  // timer that comes too early sets itself again.
  const Micros due = peer_.due();
  if (due > 0 && (armed_ == 0 || due < armed_)) {
    armed_ = due;
    timer_->Start(std::max<Micros>(due - loop_.Now(), 0), [this] {
      armed_ = 0;
      peer_.OnTimer(loop_.Now());
      Changed();
    });
  }
  events_.on_change();
}

void PeerSession::Start() {
  peer_.Start(loop_.Now());
  Changed();
}

void PeerSession::Dial() {
  give_up_dial_ = dialer_([this, alive = alive_](ConnectionPtr connection) {
    if (!*alive) {
      if (connection != nullptr) connection->Close();
      return;
    }
    give_up_dial_ = nullptr;
    if (connection == nullptr) {
      peer_.OnDialFailed(loop_.Now());
      return Changed();
    }
    At(Side::kInitiator) = std::move(connection);
    Listen(Side::kInitiator);
    peer_.OnDialed(loop_.Now());
    Changed();
  });
}

void PeerSession::Listen(Side side) {
  Connection::Events events;
  events.on_frame = [this, side, alive = alive_](std::string_view frame) {
    if (*alive) OnFrame(side, frame);
  };
  events.on_framing_error = [this, side, alive = alive_](const MalformedMessage& bad) {
    if (!*alive) return;
    peer_.OnBad(loop_.Now(), side, bad, /*fatal=*/true);
    if (*alive) Changed();
  };
  events.on_closed = [this, side, alive = alive_] {
    if (!*alive) return;
    At(side) = nullptr;
    peer_.OnClosed(loop_.Now(), side);
    Changed();
  };
  At(side)->Start(std::move(events));
}

void PeerSession::OnFrame(Side side, std::string_view frame) {
  const auto alive = alive_;
  auto decoded = Decode(frame);
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded)) {
    peer_.OnBad(loop_.Now(), side, *bad, /*fatal=*/false);
    events_.on_malformed(*bad);
  } else if (auto message = peer_.OnMessage(loop_.Now(), side, std::move(std::get<Message>(decoded)))) {
    events_.on_message(std::move(*message));
  }
  if (*alive) Changed();
}

Peer::Verdict PeerSession::Adopt(const ConnectionPtr& connection, const Message& cer,
                                 const PeerCapabilities& remote) {
  replaced_ = std::exchange(At(Side::kResponder), connection);
  adopting_ = true;
  const Peer::Verdict verdict = peer_.OnIncoming(loop_.Now(), cer, remote);
  adopting_ = false;
  const ConnectionPtr before = std::exchange(replaced_, nullptr);
  if (verdict == Peer::Verdict::kRejected) {
    At(Side::kResponder) = before;
    return verdict;
  }
  if (At(Side::kResponder) == connection) Listen(Side::kResponder);
  Changed();
  return verdict;
}

void PeerSession::Stop(DisconnectCause cause) {
  if (!peer_.Open()) return;
  peer_.Stop(loop_.Now(), cause);
  Changed();
}

void PeerSession::Drained() {
  if (peer_.state() != Peer::State::kDraining) return;
  peer_.Drained(loop_.Now());
  Changed();
}

std::optional<std::uint64_t> PeerSession::Send(const Message& message) {
  if (!peer_.Send(message)) return std::nullopt;
  return last_end_;
}

void PeerSession::Write(Side side, std::string bytes) {
  if (const ConnectionPtr& connection = At(side); connection != nullptr) last_end_ = connection->Write(bytes);
}

void PeerSession::Close(Side side) {
  if (side == Side::kInitiator && give_up_dial_) std::exchange(give_up_dial_, nullptr)();
  // While one is adopted, what is closed on its side is the one before it.
  ConnectionPtr& at = adopting_ && side == Side::kResponder ? replaced_ : At(side);
  if (const ConnectionPtr connection = std::exchange(at, nullptr); connection != nullptr) connection->Close();
}

}  // namespace merlinrun::diameter
