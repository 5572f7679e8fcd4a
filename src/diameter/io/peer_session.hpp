// A peer machine with its connections and its timer: carries out what the machine decides.
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

// Opens a connection; `done` is called once, from the loop, with null if none could be had. Destroying the
// function that it gives back does nothing; calling it gives up.
using Dialer = std::function<std::function<void()>(std::function<void(ConnectionPtr)> done)>;

class PeerSession : private PeerSink {
 public:
  struct Events {
    std::function<void(Message)> on_message;  // the application's
    // A message that could not be read came; it has been answered if it was a request.
    std::function<void(const MalformedMessage&)> on_malformed;
    // Something about the machine may have changed. Called from the loop, and from inside the calls below.
    std::function<void()> on_change;
  };

  PeerSession(core::Loop& loop, const Identity& self, const Dictionary& dictionary, Peer::Settings settings,
              Dialer dialer, Events events);
  ~PeerSession() override;
  PeerSession(const PeerSession&) = delete;
  PeerSession& operator=(const PeerSession&) = delete;

  void Start();
  // A peer that has connected and said who it is. If it is not rejected the connection is this one's now.
  Peer::Verdict Adopt(const ConnectionPtr& connection, const Message& cer, const PeerCapabilities& remote);
  void Stop(DisconnectCause cause);
  void Drained();
  // Where the message ends on the open connection; none if there is no open one.
  std::optional<std::uint64_t> Send(const Message& message);

  Peer& peer() { return peer_; }
  const Peer& peer() const { return peer_; }
  // The connection that is open; null if none is.
  const ConnectionPtr& open() const;

 private:
  void Dial() override;
  void Write(Side side, std::string bytes) override;
  void Close(Side side) override;

  ConnectionPtr& At(Side side) { return connections_[side == Side::kInitiator ? 0 : 1]; }
  void Listen(Side side);
  void OnFrame(Side side, std::string_view frame);
  void Changed();

  core::Loop& loop_;
  const Dialer dialer_;
  const Events events_;
  Peer peer_;
  std::unique_ptr<core::Timer> timer_;
  Micros armed_ = 0;
  std::array<ConnectionPtr, 2> connections_;
  ConnectionPtr replaced_;  // while a connection is adopted: the one in whose place it stands
  bool adopting_ = false;
  std::uint64_t last_end_ = 0;
  std::function<void()> give_up_dial_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_PEER_SESSION_HPP_
