// The peer state machine of RFC 6733, section 5.6, with the watchdog of RFC 3539: no socket, no clock, no
// thread. Its owner brings it what happens on up to two connections to one peer (the one that this node
// opened and the one that the peer opened) and carries out what the sink is told. After each call the owner
// looks at `usable`, `lives` and `due`, which may have changed.
#ifndef MERLINRUN_DIAMETER_PEER_HPP_
#define MERLINRUN_DIAMETER_PEER_HPP_

#include <cstdint>
#include <optional>
#include <string>

#include "diameter/messages.hpp"
#include "diameter/watchdog.hpp"

namespace merlinrun::diameter {

enum class Side { kInitiator, kResponder };  // who opened the connection: this node, or the peer

// What the machine decides. Calls come from inside the machine's; do not call back into it.
class PeerSink {
 public:
  virtual ~PeerSink() = default;
  // Open the initiator's connection; OnDialed or OnDialFailed follows.
  virtual void Dial() = 0;
  virtual void Write(Side side, std::string bytes) = 0;
  // Close the connection once what was written to it is out. Its end is not told to the machine.
  virtual void Close(Side side) = 0;
};

class Peer {
 public:
  enum class State {
    kClosed,
    kWaitConnAck,       // dialling
    kWaitICea,          // the CER is out
    kWaitConnAckElect,  // dialling, and the peer has come by itself meanwhile
    kWaitReturns,       // both connections are there; the election is out
    kROpen,
    kIOpen,
    kDraining,  // the peer asked to part; its DPA waits until what was under way is answered
    kClosing,   // this node asked to part, or has answered the peer's DPR
  };
  struct Settings {
    std::string host;  // the Origin-Host that it has to give; empty: none known before it connects
    Micros watchdog = 30'000'000;  // see Watchdog
    Micros connect = 5'000'000;    // from dialling to the CEA
    Micros drain = 5'000'000;      // how long a DPA is kept back for, or waited for
    // Whether it has to show that it stays after it was down (RFC 3539's REOPEN) before it is used. A client
    // need not: nothing is sent to it of this node's own, and its requests would be thrown away meanwhile.
    bool probation = true;
    std::uint64_t seed = 0;
  };
  // What becomes of a connection whose CER has been read.
  enum class Verdict {
    kTaken,     // it is the responder's connection of this machine from now on
    kReplaced,  // the same, and the one that was open before is closed
    kRejected,  // its owner answers 4003 on it and closes it
  };

  // `self` and `dictionary` outlive it.
  Peer(const Identity& self, const Dictionary& dictionary, Settings settings, PeerSink& sink);
  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  // Dials if it is closed.
  void Start(Micros now);
  void OnDialed(Micros now);
  void OnDialFailed(Micros now);
  // The peer has connected and said who it is; `cer` has been read by ReadCapabilities as `remote`.
  Verdict OnIncoming(Micros now, const Message& cer, const PeerCapabilities& remote);
  // A connection ended of itself.
  void OnClosed(Micros now, Side side);
  // A message came. The base protocol's are dealt with; the others are handed back for the application.
  std::optional<Message> OnMessage(Micros now, Side side, Message message);
  // A message that can't be read; `fatal` if what follows it can't either. A request is answered.
  void OnBad(Micros now, Side side, const MalformedMessage& bad, bool fatal);
  void OnTimer(Micros now);
  // When OnTimer is due; 0 = never.
  Micros due() const;

  // Asks the peer to part; nothing new is sent from then on, answers still go and come. Does nothing unless
  // it is open.
  void Stop(Micros now, DisconnectCause cause);
  // All that was under way when the peer asked to part has been answered.
  void Drained(Micros now);

  // Sends a message of the application's. False, with nothing sent, if there is no open connection.
  bool Send(const Message& message);
  // A hop-by-hop id that none of this node's requests to this peer has at present.
  std::uint32_t NextHopByHop() { return ++hop_by_hop_; }

  State state() const { return state_; }
  Side side() const { return side_; }  // of the connection that is open
  Watchdog::State watchdog() const { return watchdog_.state(); }
  // Whether requests may be sent to it.
  bool usable() const { return Open() && watchdog_.usable(); }
  bool Open() const { return state_ == State::kROpen || state_ == State::kIOpen; }
  // Whether a connection stands on which answers may come and go.
  bool Connected() const { return Open() || state_ == State::kDraining || state_ == State::kClosing; }
  // Open connections that it has had so far: what was sent on an earlier one than the last gets no answer.
  std::uint64_t lives() const { return lives_; }
  // What the peer said of itself when it was last opened.
  const PeerCapabilities& remote() const { return remote_; }

 private:
  void Await(Micros now, Micros time);
  void GoOpen(Micros now, Side side);
  void GoClosed();
  void AcceptResponder(Micros now);
  bool WinsElection() const;
  void Elect(Micros now);
  void OnCea(Micros now, const Message& cea);
  std::optional<Message> OnOpenMessage(Micros now, Message message);
  bool OnBaseRequest(Micros now, const Message& message);
  void WriteMessage(Side side, const Message& message);
  void Ask(Side side, Message request);
  void Obey(Watchdog::Order order);

  const Identity& self_;
  const Dictionary& dictionary_;
  const Settings settings_;
  PeerSink& sink_;
  Watchdog watchdog_;
  State state_ = State::kClosed;
  Side side_ = Side::kInitiator;  // of the open connection
  PeerCapabilities remote_;
  Message cer_;  // the peer's, while its CEA is owed; or its DPR while the DPA is
  std::uint32_t hop_by_hop_;
  std::uint32_t end_to_end_;
  std::uint32_t cer_id_ = 0;  // hop-by-hop id of the CER that is out
  std::uint64_t lives_ = 0;
  Micros due_ = 0;  // of the state; 0 = none
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_PEER_HPP_
