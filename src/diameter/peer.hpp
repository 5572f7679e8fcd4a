// The peer state machine of RFC 6733, section 5.6, with the watchdog of RFC 3539. Has no socket, clock or
// thread. The owner reports events of up to two connections to one peer (one opened by each side) and carries
// out the calls to the sink. After each call the owner has to look at `usable`, `open_generation` and `due`,
// which may have changed.
#ifndef MERLINRUN_DIAMETER_PEER_HPP_
#define MERLINRUN_DIAMETER_PEER_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "diameter/messages.hpp"
#include "diameter/watchdog.hpp"

namespace merlinrun::diameter {

enum class Side { kInitiator, kResponder };  // opened by this node, or by the peer

// Actions of the state machine. Implementations must not call back into it.
class PeerSink {
 public:
  virtual ~PeerSink() = default;
  // Connect as initiator; OnDialed or OnDialFailed follows.
  virtual void Dial() = 0;
  virtual void Write(Side side, std::string bytes) = 0;
  // Close the connection after pending writes; no OnClosed follows.
  virtual void Close(Side side) = 0;
};

class Peer {
 public:
  enum class State {
    kClosed,
    kWaitConnAck,       // dialling
    kWaitICea,          // CER sent, waiting for the CEA
    kWaitConnAckElect,  // dialling, and the peer has connected meanwhile
    kWaitReturns,       // both connections are open; this node lost the election and waits for the CEA
    kROpen,
    kIOpen,
    kDraining,  // DPR received; the DPA is sent when pending requests are answered
    kClosing,   // DPR sent, or the peer's DPR answered
  };
  struct Settings {
    std::string host;                       // required Origin-Host; empty if not known in advance
    Micros watchdog_interval = 30'000'000;  // see Watchdog
    Micros connect_timeout = 5'000'000;     // for dialling and receiving the CEA
    Micros drain_timeout = 5'000'000;       // for delaying a DPA, or waiting for one
    // Whether a reopened connection has to pass the watchdog's REOPEN state (RFC 3539) before it is used.
    // Clients don't: nothing is sent to them, and their requests would be lost meanwhile.
    bool probation = true;
    std::uint64_t seed = 0;
  };
  // Result for a connection whose CER has been read.
  enum class IncomingResult {
    kAccepted,  // used as the responder connection
    kReplaced,  // the same, and the previously open connection is closed
    kRejected,  // the owner answers 4003 and closes it
  };

  // `self`, `dictionary` and `sink` must outlive the peer.
  Peer(const Identity& self, const Dictionary& dictionary, Settings settings, PeerSink& sink);
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  // Dials if closed.
  void Start(Micros now);
  void OnDialed(Micros now);
  void OnDialFailed(Micros now);
  // The peer has connected; `remote` is the result of ReadCapabilities for `cer`.
  IncomingResult OnIncoming(Micros now, const Message& cer, const PeerCapabilities& remote);
  // A connection was closed by the peer or failed.
  void OnClosed(Micros now, Side side);
  // Handles messages of the base protocol; returns the others for the application.
  std::optional<Message> OnMessage(Micros now, Side side, Message message);
  // A malformed message; `fatal` if the stream can't be parsed any further. A request is answered.
  void OnMalformed(Micros now, Side side, const MalformedMessage& bad, bool fatal);
  void OnTimer(Micros now);
  // When OnTimer is due; 0 = never.
  Micros due() const;

  // Sends a DPR if open. No new requests are sent from then on; answers are still sent and received.
  void Stop(Micros now, DisconnectCause cause);
  // All requests pending when the peer's DPR arrived have been answered.
  void Drained(Micros now);

  // Sends an application message. Returns false, with nothing sent, if there is no suitable connection.
  bool Send(const Message& message);
  // A hop-by-hop id that no pending request to this peer uses.
  std::uint32_t NextHopByHop() { return ++hop_by_hop_; }

  State state() const { return state_; }
  Side side() const { return side_; }  // of the open connection
  Watchdog::State watchdog() const { return watchdog_.state(); }
  // Whether requests may be sent.
  bool usable() const { return Open() && watchdog_.usable(); }
  bool Open() const { return state_ == State::kROpen || state_ == State::kIOpen; }
  // Whether there is a connection on which answers may be sent and received.
  bool Connected() const { return Open() || state_ == State::kDraining || state_ == State::kClosing; }
  // Number of connections opened so far; requests sent on an earlier one get no answer.
  std::uint64_t open_generation() const { return open_count_; }
  // The peer's capabilities when it was last opened.
  const PeerCapabilities& remote() const { return remote_; }

 private:
  void StartTimeout(Micros now, Micros timeout);
  void EnterOpen(Micros now, Side side);
  void EnterClosed();
  void AcceptResponder(Micros now);
  bool WinsElection() const;
  void Elect(Micros now);
  void OnCea(Micros now, const Message& cea);
  std::optional<Message> OnOpenMessage(Micros now, Message message);
  bool OnBaseRequest(Micros now, const Message& message);
  void WriteMessage(Side side, const Message& message);
  void SendRequest(Side side, Message request);
  void RunWatchdogAction(Watchdog::Action action);

  const Identity& self_;
  const Dictionary& dictionary_;
  const Settings settings_;
  PeerSink& sink_;
  Watchdog watchdog_;
  State state_ = State::kClosed;
  Side side_ = Side::kInitiator;  // of the open connection
  PeerCapabilities remote_;
  Message pending_request_;  // the peer's CER until the CEA is sent, or its DPR until the DPA is sent
  std::uint32_t hop_by_hop_;
  std::uint32_t end_to_end_;
  std::uint32_t cer_hop_by_hop_ = 0;  // hop-by-hop id of the pending CER
  std::uint64_t open_count_ = 0;
  Micros due_ = 0;  // timeout of the state; 0 = none
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_PEER_HPP_
