// Messages between replicas, serialized with cereal: the order of the fields is the wire format.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_

#include <compare>
#include <cstdint>
#include <vector>

#include "mesh/consensus/replica.hpp"
#include "mesh/transport/codec.hpp"

namespace fennelhollow::consensus {

// Identifies an entry: a term has one leader, which replicates one entry per index.
struct EntryId {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  auto operator<=>(const EntryId&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(term, index);
  }
};

inline EntryId IdOf(const Entry& e) { return {e.term, e.index}; }

template <class Archive>
void serialize(Archive& a, Entry& e) {
  a(e.term, e.index, e.voters, e.voter_storage_ids, e.previous_voters, e.previous_voter_storage_ids, e.state);
}

template <class Archive>
void serialize(Archive& a, PersistentState& d) {
  a(d.storage_id, d.promised_term, d.accepted);
}

enum class MessageType : std::uint8_t {
  kHeartbeat = 1,        // from the leader: committed, round, learners; flag: all voters are caught up
  kAccept = 2,           // a heartbeat with an entry to accept
  kAck = 3,              // to the leader: persisted state, round of the heartbeat
  kPreVote = 4,          // non-binding, before an election: round
  kPreVoteResponse = 5,  // flag: granted; leader, if known
  kPrepare = 6,          // from a candidate: term, id of its newest entry; flag: the previous leader agrees
  kPromise = 7,          // flag: granted; accepted entry's id, with the entry if newer than the candidate's
  kTimeoutNow = 8,       // from the leader to its successor: start an election (leadership transfer)
  kJoin = 9,             // asks the leader to be added as a learner
  kShutdownNotice = 11,  // to the leader, from a voter that shuts down: replace it
  kKnownReplicas = 10,   // response to kJoin of a replica that is not the leader: other replicas to ask
};

struct Message {
  MessageType type = MessageType::kHeartbeat;
  std::uint64_t incarnation = 0;  // of the sender
  std::uint64_t storage_id = 0;
  std::uint64_t term = 0;           // the message's term
  std::uint64_t promised_term = 0;  // by the sender, perhaps not persisted yet
  EntryId accepted;                 // persisted by the sender; for kPrepare and kPromise see above
  EntryId accepted_in_memory;       // perhaps not persisted yet
  EntryId committed;
  std::uint64_t round = 0;
  bool flag = false;  // see MessageType
  ReplicaId leader;
  std::vector<ReplicaId> others;  // learners (kHeartbeat, kAccept); all known replicas (kKnownReplicas)
  std::vector<Entry> entry;       // at most one

  template <class Archive>
  void serialize(Archive& a) {
    a(type, incarnation, storage_id, term, promised_term, accepted, accepted_in_memory, committed, round,
      flag, leader, others, entry);
  }
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_
