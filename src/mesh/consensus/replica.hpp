// A replicated register by consensus (Paxos with whole entries; a configuration of voters as in
// viewstamped replication). Free of I/O: fed with messages, ends of writes and ticks; what it wants done goes
// to its Sink.
//
// What is ordered is whole: every entry is the whole replicated state (a configuration is small), so a member
// needs the newest entry alone and there is no log to trim.
//
// Threading: one thread. Time: steady microseconds. No call of the Sink may call back into Order.
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
using ReplicaId = std::string;  // "ip:port" of the member's internal address; the same over all its lives

// A voter is a member with the disk that it votes from. One whose disk was lost has forgotten what it
// promised: it is another voter, and counts only once it was given the place of the old one (a change of
// members).
struct Entry {
  std::uint64_t term = 0;         // of the leader that replicated it
  std::uint64_t index = 0;        // 0 = none yet; one more with each change of state or members
  std::vector<ReplicaId> voters;  // sorted
  std::vector<std::uint64_t> voter_storage_ids;  // PersistentState::store of each of `voters`
  // The voters before, if this entry changes them: a majority of both has to have it (joint consensus).
  std::vector<ReplicaId> previous_voters;
  std::vector<std::uint64_t> previous_voter_storage_ids;
  std::string state;
};

// What a member keeps on its disk.
struct PersistentState {
  std::uint64_t storage_id =
      0;  // names this disk's content; 0 = a founder's first, else drawn when it was begun
  std::uint64_t promised_term = 0;  // takes nothing from older terms
  Entry accepted;
};

// Bytes of the largest state that is taken.
inline constexpr std::size_t kMaxStateBytes = std::size_t{4} * 1024 * 1024;

// What came of Propose or ConfirmLeadership.
enum class Outcome {
  kSuccess,    // committed: on the disks of a majority (Propose), or the state is the newest there is
               // (ConfirmLeadership)
  kNotLeader,  // another replica leads, or none; nothing was begun
  kUnknown,    // leadership was lost on the way: it may still come into force
};

class Sink {
 public:
  virtual ~Sink() = default;
  // A message for another member (any process with that internal address), as bytes; may be lost.
  virtual void Send(const ReplicaId& to, std::string message) = 0;
  // Write this to disk and sync; then OnWritten(token, ok). One is out at a time.
  virtual void Write(const PersistentState& durable, std::uint64_t token) = 0;
  // A newer entry is committed. Strictly rising numbers within a life.
  virtual void Apply(const Entry& entry) = 0;
  virtual void OnRequestDone(std::uint64_t call, Outcome outcome) = 0;
  // The leader is another one from now on; empty: unknown.
  virtual void OnLeaderChange(const ReplicaId& leader, std::uint64_t term) = 0;
};

struct ReplicaSettings {
  ReplicaId self;
  std::uint64_t incarnation = 0;  // random, drawn anew at each start
  std::uint64_t seed = 1;
  std::vector<ReplicaId> initial_voters;  // sorted; only looked at with bootstrap and no store
  bool bootstrap = false;
  std::optional<PersistentState>
      persisted;                      // what the disk had; absent: empty or not to be trusted = has forgotten
  std::vector<ReplicaId> seed_peers;  // whom to ask first for a view when it is in none
  std::size_t max_voters = 5;
  Micros heartbeat_interval = 150'000;  // of a leader
  Micros election_timeout =
      600'000;  // without a leader's heartbeat before a change of view; drawn from 1 to 2 times this
  // A voter silent for so long gives its place to a learner that is heard. Well below the time in which a
  // successor has to stand in for a machine that is gone (catchUpS): a second loss may follow right after.
  Micros replace_after = 2'000'000;
  Micros remove_after = 12'000'000;  // silent, with nobody to take its place; never below three voters
};

class Replica {
 public:
  Replica(const ReplicaSettings& settings, Micros now, Sink& sink);
  ~Replica();

  void OnMessage(Micros now, const ReplicaId& from, const std::string& message);
  void OnWritten(Micros now, std::uint64_t token, bool ok);
  void OnTick(Micros now);  // every 20 to 50 ms
  // More to ask; those of the settings file now.
  void SetSeedPeers(std::vector<ReplicaId> seed_peers);

  // Replicates `state` on top of entry `on_top_of`; fails with kNotLeader if another is newest or under
  // way (also a change of members, which is an entry too: read last_committed() again), or if the state is
  // too large. Done may come before this returns; kUnknown after 4 s at the latest.
  void Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state);
  // That what last_committed() gives is the newest committed state: asks a majority. Done within 1 s, perhaps
  // before this returns.
  void ConfirmLeadership(Micros now, std::uint64_t call);
  // Ends this member's duty, naming a successor if there is one that has all (a disk that is bad).
  void TransferLeadership(Micros now);
  // This process is about to end (SIGTERM): transfers leadership, and asks the leader to give its vote to a
  // learner. It goes on voting until ReadyForShutdown.
  void PrepareShutdown(Micros now);
  // After Leave: its vote has been given away; or nobody is there to take it, and all other voters have what
  // it has. A leader that is not heard lets nobody go: the owner sets a bound.
  bool ReadyForShutdown(Micros now) const;
  // The process of `peer` doesn't run: its machine refuses connections. A hint that hastens an election, as a
  // pre-vote comes first.
  void OnConnectionRefused(Micros now, const ReplicaId& peer);

  bool is_leader() const;  // is the leader, and has committed an entry of its own term
  // Leads and hears a majority, or has heard its leader within the election timeout.
  bool is_connected() const;
  const ReplicaId& leader() const;  // as far as known; empty = unknown
  std::uint64_t term() const;
  const Entry& last_committed() const;            // committed
  bool replicating() const;                       // a proposal is under way
  std::vector<ReplicaId> known_replicas() const;  // all members and learners that it knows of
  std::uint64_t malformed_messages() const;       // messages that were dropped, as they couldn't be read

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_REPLICA_HPP_
