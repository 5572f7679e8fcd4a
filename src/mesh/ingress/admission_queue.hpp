// Admission control of an inbound proxy: decides which attempts are forwarded to the server, which wait in a
// queue and which are rejected. Keeps a record of each attempt, so that "not forwarded" is a binding answer
// to a status query.
//
// No I/O.
#ifndef FENNELHOLLOW_MESH_INGRESS_ADMISSION_QUEUE_HPP_
#define FENNELHOLLOW_MESH_INGRESS_ADMISSION_QUEUE_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/ingress/attempt_protocol.hpp"
#include "mesh/ingress/fair_queue.hpp"
#include "mesh/ingress/flow.hpp"
#include "mesh/ingress/flow_stats.hpp"

namespace fennelhollow::ingress {

using merlinrun::Micros;

// Bounds of the attempt records. The lifetime exceeds the time in which an outbound proxy sends status
// queries.
inline constexpr std::size_t kMaxRecords = 16384;
inline constexpr Micros kRecordTtl = 30'000'000;

class AdmissionQueue {
 public:
  enum class Decision { kForward, kQueue, kReject };

  struct Limits {
    int extra_in_flight = 0;     // attempts in flight beyond the server's slots
    double queued_per_slot = 2;  // queued attempts for each of the server's slots
  };
  struct Attempt {
    AttemptKey attempt_key;
    std::string server;  // id of a server instance that is ready
    int slots = 1;       // of that server
    Flow flow;
    Micros due = 0;             // when the response misses its latency target
    Micros queue_deadline = 0;  // when the attempt stops waiting
  };
  struct Rejection {
    AttemptKey attempt_key;
    RejectReason reason = RejectReason::kQueueFull;
    bool operator==(const Rejection&) const = default;
  };

  explicit AdmissionQueue(Limits limits) : limits_(limits) {}
  // Sets a callback for each finished interval of a flow's statistics.
  void OnInterval(std::function<void(const FlowInterval&)> on_interval) {
    on_interval_ = std::move(on_interval);
  }

  // An attempt that is not expected to leave the queue in time is rejected at once, while its caller can
  // still try another server. An attempt of a starving flow may wait until it is due.
  Decision OnAttempt(Micros now, const Attempt& attempt);
  // The server has ended its response; frees the slot. The duration without `waited_for_caller` counts for
  // the time that later attempts are expected to wait.
  void OnDone(Micros now, const AttemptKey& attempt_key, Micros waited_for_caller = 0);
  // Frees the slot of an attempt that could not be sent, or was given up by either side. Its duration counts
  // only if it was longer than the mean: callers that leave early say nothing about the server.
  void OnAbandoned(Micros now, const AttemptKey& attempt_key, Micros waited_for_caller = 0);
  // The caller has cancelled the attempt. True if it was queued, and is now never forwarded.
  bool OnCancel(const AttemptKey& attempt_key);
  // Whether the attempt was forwarded. False is binding: the attempt is never forwarded afterwards. True may
  // also mean that the record has expired.
  bool OnStatusQuery(Micros now, const AttemptKey& attempt_key);
  // Removes the next queued attempt that has a free slot, if any; call until nothing is returned.
  std::optional<AttemptKey> NextToForward(Micros now);
  // Removes the queued attempts that have timed out or were evicted. Call after each OnAttempt.
  std::vector<Rejection> TakeRejected(Micros now);
  // The server instance accepts no more work. Returns the attempts that were queued for it, to be rejected.
  std::vector<AttemptKey> OnServerNotReady(const std::string& server);
  std::size_t in_flight(const std::string& server) const;
  bool HasFreeSlot(const std::string& server) const;
  std::size_t queued() const { return queued_; }
  std::size_t records() const { return records_.size(); }

 private:
  // State of a server instance.
  struct Upstream {
    int slots = 1;
    int in_flight = 0;
    double mean_duration = 0;  // of its requests in microseconds; 0 if none has finished
    FairQueue queue;
    FlowStats stats;
  };
  enum class State { kQueued, kForwarded, kNeverForwarded };
  struct Record {
    State state = State::kNeverForwarded;
    std::string server;
    Flow flow;
    Micros forwarded_at = 0;
    std::optional<FairQueue::Handle> handle;
    bool done = false;
  };
  struct Hash {
    std::size_t operator()(const AttemptKey& k) const {
      return static_cast<std::size_t>(k.incarnation * 0x9e3779b97f4a7c15ULL ^ k.sequence);
    }
  };
  int MaxInFlight(const Upstream& upstream) const { return upstream.slots + limits_.extra_in_flight; }
  // Mean duration of the flow's requests relative to the server's mean.
  static double RelativeCost(const Upstream& upstream, const Flow& flow);
  std::size_t MaxQueued(const Upstream& upstream) const;
  bool LeavesQueueInTime(Micros now, const Upstream& upstream, const FairQueue::Entry& entry) const;
  static void CountDuration(Upstream& upstream, const Flow& flow, Micros took);
  void MarkForwarded(Micros now, Upstream& upstream, Record& record, const Flow& flow);
  void CountCapacityRejection(Upstream& upstream, const Flow& flow);
  Record& FindOrAddRecord(Micros now, const AttemptKey& attempt_key);
  void ExpireRecords(Micros now);
  bool IsQueued(const AttemptKey& attempt_key) const;
  bool MayHaveExpired(const AttemptKey& attempt_key) const;
  // Frees the slot. Null if the attempt holds none.
  Upstream* FreeSlot(Record& record);
  void EraseIfIdle(const std::string& server);

  const Limits limits_;
  std::function<void(const FlowInterval&)> on_interval_;
  std::size_t queued_ = 0;
  std::vector<AttemptKey> evicted_;  // returned by the next TakeRejected
  std::map<std::string, Upstream> upstreams_;
  std::unordered_map<AttemptKey, Record, Hash> records_;
  std::deque<std::pair<Micros, AttemptKey>> records_by_age_;
  std::map<std::uint64_t, std::uint64_t> expired_through_;  // incarnation -> highest expired sequence
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_ADMISSION_QUEUE_HPP_
