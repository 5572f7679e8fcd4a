// Routes operators' calls to the leader: serves them here on the leader, forwards them on other cores, and
// queues them for a limited time while no leader is known. No I/O; single-threaded; microseconds of a steady
// clock.
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

// A call as forwarded between cores; serialized with cereal, so the order of the fields is the wire format.
struct ForwardedCall {
  std::uint64_t call_id = 0;  // assigned by the sender
  std::uint8_t kind = 0;      // CallKind
  std::int64_t timeout_ms = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(call_id, kind, timeout_ms, body);
  }
};
struct ForwardedResponse {
  std::uint64_t call_id = 0;
  bool not_leader = false;  // the call had no effect
  std::uint32_t status = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& a) {
    a(call_id, not_leader, status, body);
  }
};

// An operator's call, received directly or forwarded by another core.
struct Call {
  // nullopt: this core is not the leader and the call had no effect.
  using Done = std::function<void(std::optional<Response>)>;

  CallKind kind = CallKind::kRead;
  std::shared_ptr<const std::string> body;
  Micros deadline = 0;
  Micros leader_deadline = 0;  // until when it may wait for a leader
  bool forwarded = false;
  Done done;
  std::size_t size() const { return body ? body->size() : 0; }
};

// Implemented by the core. No function may call back into CallForwarder before it returns.
class CallForwarderHost {
 public:
  virtual ~CallForwarderHost() = default;
  virtual bool IsLeader() const = 0;
  virtual ReplicaId KnownLeader() const = 0;  // empty if unknown
  virtual void Serve(Call call) = 0;          // as the leader
  // No leader has been heard for so long that calls should not wait for one.
  virtual bool IsPartitioned() const = 0;
  // A redirect to another core, round robin; nullopt if none is known.
  virtual std::optional<Response> RedirectToPeer(CallKind kind) = 0;
  // False if not connected. A call that was sent may still be lost.
  virtual bool SendCall(const ReplicaId& to, const ForwardedCall& call) = 0;
  virtual void SendResponse(const ReplicaId& to, const ForwardedResponse& response) = 0;
};

class CallForwarder {
 public:
  struct Limits {
    // Below the timeout of callers, which is one second.
    Micros response_timeout = 900'000;
    Micros forward_timeout = 800'000;
    Micros leader_wait = 700'000;
    Micros retry_interval = 50'000;
    // After a forwarded call times out, the leader may be unreachable from here although its heartbeats
    // arrive: callers are redirected to other cores for this long.
    Micros redirect_period = 3'000'000;
    std::size_t max_pending = 64;
    std::size_t max_pending_bytes = std::size_t{16} * 1024 * 1024;
    std::size_t max_call_bytes =
        std::size_t{3584} * 1024;  // also of the resulting state; must fit into a frame
  };
  struct Counters {
    std::uint64_t forwarded = 0, received = 0, queued = 0, no_leader = 0, redirected = 0, malformed = 0;
  };

  // `host` must outlive it.
  CallForwarder(CallForwarderHost& host, const Limits& limits) : host_(host), limits_(limits) {}

  // Handles an operator's call. Calls `reply` exactly once, with 503 after `response_timeout`.
  void Submit(Micros now, CallKind kind, std::string body, std::function<void(Response)> reply);
  // A call forwarded by another core.
  void OnCall(Micros now, const ReplicaId& from, ForwardedCall forwarded);
  void OnResponse(Micros now, const ReplicaId& from, ForwardedResponse response);
  // This core lost leadership before the call took effect.
  void Retry(Micros now, Call call) { Enqueue(now, std::move(call), now); }
  // Forwards calls again that were sent to other cores. Calls are idempotent, so the earlier attempt may have
  // succeeded.
  void OnLeaderChange(Micros now, const ReplicaId& leader);
  // The connection to `core` was lost, with calls and responses possibly in flight.
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
    Micros forward_deadline = 0;
    Call call;
  };

  void Dispatch(Micros now, Call call);
  void Enqueue(Micros now, Call call, Micros retry_at);
  void ReforwardIf(Micros now, const std::function<bool(const ReplicaId&)>& sent_to, Micros retry_at);
  void ExpireForwarded(Micros now);
  void RetryPending(Micros now);

  CallForwarderHost& host_;
  const Limits limits_;
  std::list<Pending> pending_;
  std::size_t pending_bytes_ = 0;
  std::map<std::uint64_t, Forwarded> forwarded_;  // by call_id
  std::uint64_t last_call_id_ = 0;
  Micros redirect_until_ = 0;
  Counters counters_;
};

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_CALL_FORWARDER_HPP_
