// Messages between replicas.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_

#include <compare>
#include <cstdint>
#include <vector>

#include "mesh/consensus/replica.hpp"
#include "mesh/transport/codec.hpp"

namespace fennelhollow::consensus {

// Names an entry: one term has one leader, and that one puts one entry at each number.
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
  kHeartbeat = 1,      // leader: committed, round, learners
  kAccept = 2,         // leader: a heartbeat with an entry
  kAck = 3,            // to the leader: what is on disk, the round of the heartbeat
  kPreVote = 4,        // before a candidacy, binds nobody (pre-vote): round
  kPreVoteAnswer = 5,  // answer: yes or no, the leader heard
  kPrepare = 6,        // candidate: term, accepted; yes = the leader before it agrees
  kPromise = 7,        // answer: yes, the entry accepted if it is newer than the candidate's; or no
  kTakeOver = 8,       // leader to its successor
  kJoin = 9,           // asks to be sent the entries
  kLeave = 11,         // to the leader, of a voter that is about to end
  kContacts = 10,      // answer of one that isn't the leader: whom else to ask
};

struct Message {
  MessageType type = MessageType::kHeartbeat;
  std::uint64_t incarnation = 0;  // of the sender
  std::uint64_t storage_id = 0;
  std::uint64_t term = 0;           // that it is about
  std::uint64_t promised_term = 0;  // of the sender, perhaps not yet on disk
  EntryId accepted;                 // on the sender's disk; that of the candidate or the promise
  EntryId held;                     // in the sender's memory
  EntryId committed;
  std::uint64_t round = 0;
  bool flag = false;
  ReplicaId leader;
  std::vector<ReplicaId> others;  // learners (kHeartbeat, kAccept); all known (kContacts)
  std::vector<Entry> entry;       // none or one

  template <class Archive>
  void serialize(Archive& a) {
    a(type, incarnation, storage_id, term, promised_term, accepted, held, committed, round, flag, leader,
      others, entry);
  }
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_
