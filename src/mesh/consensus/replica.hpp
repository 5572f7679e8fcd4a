// A replicated register by Paxos, with an elected leader and membership changes by joint consensus. Does no
// I/O: the owner passes in messages, completed writes and ticks, and implements Sink.
//
// Every entry holds the whole replicated state (a configuration is small), so a replica needs only the newest
// entry, and there is no log to truncate.
//
// Single-threaded. Times are microseconds of a steady clock. Sink must not call back into Replica.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_REPLICA_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_REPLICA_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace fennelhollow::consensus {

using merlinrun::Micros;
using ReplicaId = std::string;  // "ip:port" of the internal address; stable across restarts

// The replicated state with the voters that decide on it. A voter is a replica together with its storage: a
// replica that lost its disk has lost its promises, so it must not vote until a membership change adds it
// again.
struct Entry {
  std::uint64_t term = 0;         // of the leader that replicated it
  std::uint64_t index = 0;        // 0 = no entry; incremented by each change of state or voters
  std::vector<ReplicaId> voters;  // sorted
  std::vector<std::uint64_t> voter_storage_ids;  // PersistentState::storage_id of each voter
  // Set while the voters change (joint consensus): a majority of these is required as well.
  std::vector<ReplicaId> previous_voters;
  std::vector<std::uint64_t> previous_voter_storage_ids;
  std::string state;
};

// What a replica keeps on disk.
struct PersistentState {
  std::uint64_t storage_id = 0;     // random for each new storage; 0 = of an initial voter at bootstrap
  std::uint64_t promised_term = 0;  // rejects messages of older terms
  Entry accepted;
};

inline constexpr std::size_t kMaxStateBytes = std::size_t{4} * 1024 * 1024;

// Result of Propose or ConfirmLeadership.
enum class Outcome {
  kSuccess,        // the proposal is committed, or leadership is confirmed
  kNotLeader,      // rejected without effect
  kIndeterminate,  // leadership lost or timeout: a proposal may still be committed
};

// Implemented by the owner of a Replica.
class Sink {
 public:
  virtual ~Sink() = default;
  // Sends a serialized message to the process at that address. Messages may be lost.
  virtual void Send(const ReplicaId& to, std::string message) = 0;
  // Writes to disk and syncs, then calls OnWritten(token, ok). At most one write is in progress.
  virtual void Write(const PersistentState& durable, std::uint64_t token) = 0;
  // `entry` is committed. The index increases strictly within an incarnation; indexes may be skipped.
  virtual void Apply(const Entry& entry) = 0;
  virtual void OnRequestDone(std::uint64_t request_id, Outcome outcome) = 0;
  // `leader` is empty if unknown.
  virtual void OnLeaderChange(const ReplicaId& leader, std::uint64_t term) = 0;
};

struct ReplicaSettings {
  ReplicaId self;
  std::uint64_t incarnation = 0;  // random, new at each start
  std::uint64_t seed = 1;
  std::vector<ReplicaId> initial_voters;  // sorted; used only with bootstrap and without persisted state
  bool bootstrap = false;
  std::optional<PersistentState> persisted;  // absent: no storage, or corrupt
  std::vector<ReplicaId> seed_peers;         // asked for the members of the cluster
  std::size_t max_voters = 5;
  Micros heartbeat_interval = 150'000;
  Micros election_timeout = 600'000;  // randomized between 1 and 2 times this value
  // A voter that is silent for this long is replaced by a learner. Well below the setting catchUpS, after
  // which a second machine may fail.
  Micros replace_after = 2'000'000;
  // A voter that is silent for this long is removed if no learner can replace it; at least three remain.
  Micros remove_after = 12'000'000;
};

class Replica {
 public:
  Replica(const ReplicaSettings& settings, Micros now, Sink& sink);
  ~Replica();

  void OnMessage(Micros now, const ReplicaId& from, const std::string& message);
  void OnWritten(Micros now, std::uint64_t token, bool ok);
  void OnTick(Micros now);  // every 20 to 50 ms
  // Replaces ReplicaSettings::seed_peers.
  void SetSeedPeers(std::vector<ReplicaId> seed_peers);

  // Replicates `state` as the entry after `base_index`. Rejected with kNotLeader unless this replica leads,
  // the last committed entry is `base_index`, no other entry (possibly a membership change) is being
  // replicated, and `state` is within kMaxStateBytes. OnRequestDone is called within 4 s, possibly before
  // this returns.
  void Propose(Micros now, std::uint64_t request_id, std::uint64_t base_index, std::string state);
  // Confirms with a majority that this replica still leads, so that last_committed() is the newest committed
  // entry (linearizable read). OnRequestDone is called within 1 s, possibly before this returns.
  void ConfirmLeadership(Micros now, std::uint64_t request_id);
  // Hands leadership to a caught-up voter, if this replica leads, and starts no election for a while.
  void TransferLeadership(Micros now);
  // To be called before the process shuts down: transfers leadership and asks the leader to replace this
  // voter by a learner. The replica keeps voting until ReadyForShutdown.
  void PrepareShutdown(Micros now);
  // After PrepareShutdown: this replica is no voter any more, or no learner is available and all other voters
  // are caught up. May stay false without a leader, so the owner has to bound the wait.
  bool ReadyForShutdown(Micros now) const;
  // The host of `peer` refused a connection, so its process is probably down. Only a hint: if `peer` was the
  // leader, an election starts early, and its pre-vote fails if a majority still hears the leader.
  void OnConnectionRefused(Micros now, const ReplicaId& peer);

  bool is_leader() const;  // and has committed an entry of its own term
  // Leads with a majority reachable, or has received a leader's message within the election timeout.
  bool is_connected() const;
  const ReplicaId& leader() const;  // empty if unknown
  std::uint64_t term() const;
  const Entry& last_committed() const;
  bool replicating() const;                       // an entry is being replicated by this leader
  std::vector<ReplicaId> known_replicas() const;  // voters and learners
  std::uint64_t malformed_messages() const;       // dropped

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_REPLICA_HPP_
