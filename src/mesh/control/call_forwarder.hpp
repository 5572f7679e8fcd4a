// Operators' calls on their way to the leader: served here if this replica leads, passed on to the leader if
// another does, kept pending for a while if none is known. Free of I/O; one thread; steady microseconds.
#ifndef FENNELHOLLOW_MESH_CONTROL_CALL_FORWARDER_HPP_
#define FENNELHOLLOW_MESH_CONTROL_CALL_FORWARDER_HPP_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "mesh/consensus/replica.hpp"
#include "mesh/control/command.hpp"

namespace fennelhollow::control {

using consensus::ReplicaId;
using merlinrun::Micros;

enum class CallKind : std::uint8_t { kReplace = 0, kModify = 1, kRead = 2 };

// A call as one core passes it on to another (for cereal).
struct ForwardedCall {
  std::uint64_t id = 0;   // the sender's own number of it
  std::uint8_t kind = 0;  // CallKind
  std::int64_t timeout_ms = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(id, kind, timeout_ms, body);
  }
};
struct ForwardedResponse {
  std::uint64_t id = 0;
  bool not_leader = false;  // nothing was begun
  std::uint32_t status = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(id, not_leader, status, body);
  }
};

// An operator's call, or one that another core passed on.
struct Call {
  // Absent: this core does not lead, and nothing was begun (to one that was passed on).
  using Done = std::function<void(std::optional<Response>)>;

  CallKind kind = CallKind::kRead;
  std::shared_ptr<const std::string> body;
  Micros deadline = 0;
  Micros leader_by = 0;  // waits so long for a leader
  bool forwarded = false;
  Done done;
  std::size_t size() const { return body ? body->size() : 0; }
};

// What the forwarder needs of its core. None of these may call back into the forwarder before it returns.
class CallForwarderHost {
 public:
  virtual ~CallForwarderHost() = default;
  virtual bool IsLeader() const = 0;
  virtual ReplicaId KnownLeader() const = 0;  // empty: unknown
  virtual void Serve(Call call) = 0;          // this core leads
  // No leader has been in contact with this core for so long that calls don't wait for one.
  virtual bool IsPartitioned() const = 0;
  // Sends a caller to another core, in turn; absent: none is known.
  virtual std::optional<Response> RedirectToPeer(CallKind kind) = 0;
  // False: there is no link now. A call that was sent may be lost all the same.
  virtual bool SendCall(const ReplicaId& to, const ForwardedCall& call) = 0;
  virtual void SendResponse(const ReplicaId& to, const ForwardedResponse& answer) = 0;
};

class CallForwarder {
 public:
  struct Limits {
    // A caller gives up after a second of silence: it has an answer before.
    Micros answer_within = 900'000;
    Micros forwarded_within = 800'000;
    Micros leader_within = 700'000;
    Micros retry_every = 50'000;  // a call that another core turned away unbegun
    // A leader that is heard and did not answer a call may not hear this core: for so long callers are sent
    // elsewhere.
    Micros deaf_for = 3'000'000;
    std::size_t pending = 64;
    std::size_t pending_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t call_bytes = std::size_t{3584} * 1024;  // has to fit into a frame, as the state after it
  };
  struct Counters {
    std::uint64_t forwarded = 0, received = 0, queued = 0, no_leader = 0, redirected = 0, malformed = 0;
  };

  // `host` must outlive it.
  CallForwarder(CallForwarderHost& host, const Limits& limits) : host_(host), limits_(limits) {}

  // Of an operator. `reply` is called once, with 503 at the latest after `answer_within`.
  void Submit(Micros now, CallKind kind, std::string body, std::function<void(Response)> reply);
  // Of another core.
  void OnCall(Micros now, const ReplicaId& from, ForwardedCall forwarded);
  void OnResponse(Micros now, const ReplicaId& from, ForwardedResponse answer);
  // The core that began to serve it does not lead any more.
  void Retry(Micros now, Call call) { Hold(now, std::move(call), now); }
  // `leader` leads now: calls that were passed on to others are passed on anew. The same call again is the
  // same change, whether the first came through or not.
  void OnLeaderChange(Micros now, const ReplicaId& leader);
  // The link to `core` is gone, and what was sent over it may be lost.
  void OnPeerDown(Micros now, const ReplicaId& core);
  void OnTick(Micros now);

  bool empty() const { return pending_.empty() && forwarded_.empty(); }
  const Counters& counters() const { return counters_; }

 private:
  struct Pending {
    Micros retry_at = 0;
    Call call;
  };
  struct Forwarded {
    ReplicaId to;
    Micros until = 0;
    Call call;
  };

  void Dispatch(Micros now, Call call);
  void Hold(Micros now, Call call, Micros retry_at);
  void ForwardAgain(Micros now, const std::function<bool(const ReplicaId&)>& sent_to, Micros retry_at);
  void ExpireForwarded(Micros now);
  void RetryPending(Micros now);

  CallForwarderHost& host_;
  const Limits limits_;
  std::list<Pending> pending_;
  std::size_t pending_bytes_ = 0;
  std::map<std::uint64_t, Forwarded> forwarded_;  // by count
  std::uint64_t count_ = 0;
  Micros deaf_until_ = 0;
  Counters counters_;
};

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_CALL_FORWARDER_HPP_
