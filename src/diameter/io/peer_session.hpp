// Runs a Peer state machine on its connections and timer.
#ifndef MERLINRUN_DIAMETER_IO_PEER_SESSION_HPP_
#define MERLINRUN_DIAMETER_IO_PEER_SESSION_HPP_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/loop.hpp"
#include "diameter/io/connection.hpp"
#include "diameter/peer.hpp"

namespace merlinrun::diameter {

// Opens a connection; `done` is called once, from the event loop, with null on failure. The returned function
// cancels the dial; destroying it doesn't.
using Dialer = std::function<std::function<void()>(std::function<void(ConnectionPtr)> done)>;

class PeerSession : private PeerSink {
 public:
  struct Events {
    std::function<void(Message)> on_message;  // application messages
    // A malformed message was received; it has been answered if it was a request.
    std::function<void(const MalformedMessage&)> on_malformed;
    // The peer's state may have changed. Called from the event loop and from within the calls below.
    std::function<void()> on_change;
  };

  PeerSession(core::Loop& loop, const Identity& self, const Dictionary& dictionary, Peer::Settings settings,
              Dialer dialer, Events events);
  ~PeerSession() override;
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  void Start();
  // Takes over an incoming connection after its CER, unless the result is kRejected.
  Peer::IncomingResult Adopt(const ConnectionPtr& connection, const Message& cer,
                             const PeerCapabilities& remote);
  void Stop(DisconnectCause cause);
  void Drained();
  // Returns the end offset of the message in the connection's stream; none if there is no open connection.
  std::optional<std::uint64_t> Send(const Message& message);

  Peer& peer() { return peer_; }
  const Peer& peer() const { return peer_; }
  // The open connection; null if there is none.
  const ConnectionPtr& open_connection() const;

 private:
  void Dial() override;
  void Write(Side side, std::string bytes) override;
  void Close(Side side) override;

  ConnectionPtr& ConnectionAt(Side side) { return connections_[side == Side::kInitiator ? 0 : 1]; }
  void Attach(Side side);
  void OnFrame(Side side, std::string_view frame);
  void OnPeerChanged();

  core::Loop& loop_;
  const Dialer dialer_;
  const Events events_;
  Peer peer_;
  std::unique_ptr<core::Timer> timer_;
  Micros timer_due_ = 0;
  std::array<ConnectionPtr, 2> connections_;
  ConnectionPtr replaced_;  // during Adopt: the connection that may be replaced
  bool adopting_ = false;
  std::uint64_t last_write_end_ = 0;
  std::function<void()> cancel_dial_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_PEER_SESSION_HPP_
