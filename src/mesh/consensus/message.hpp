// What members of the order send each other.
#ifndef FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_
#define FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_

#include <compare>
#include <cstdint>
#include <vector>

#include "mesh/consensus/order.hpp"
#include "mesh/transport/codec.hpp"

namespace fennelhollow::consensus {

// Names an entry: one epoch has one holder, and that one puts one entry at each number.
struct Stamp {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Stamp&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(epoch, number);
  }
};

inline Stamp StampOf(const Entry& e) { return {e.epoch, e.number}; }

template <class Archive>
void serialize(Archive& a, Entry& e) {
  a(e.epoch, e.number, e.members, e.stores, e.before, e.before_stores, e.state);
}

template <class Archive>
void serialize(Archive& a, Durable& d) {
  a(d.store, d.promised, d.accepted);
}

enum class Kind : std::uint8_t {
  kBeat = 1,      // holder: settled, round, learners
  kAccept = 2,    // holder: a beat with an entry
  kAck = 3,       // to the holder: what is on disk, the round of the beat
  kAskVote = 4,   // before a candidacy, binds nobody (pre-vote): round
  kVote = 5,      // answer: yes or no, the holder heard
  kPrepare = 6,   // candidate: epoch, accepted; yes = the holder before it agrees
  kPromise = 7,   // answer: yes, the entry accepted if it is newer than the candidate's; or no
  kTakeOver = 8,  // holder to its successor
  kJoin = 9,      // asks to be sent the entries
  kView = 10,     // answer of one that isn't the holder: whom else to ask
};

struct Message {
  Kind kind = Kind::kBeat;
  std::uint64_t life = 0;  // of the sender
  std::uint64_t store = 0;
  std::uint64_t epoch = 0;     // that it is about
  std::uint64_t promised = 0;  // of the sender, perhaps not yet on disk
  Stamp accepted;              // on the sender's disk; that of the candidate or the promise
  Stamp held;                  // in the sender's memory
  Stamp settled;
  std::uint64_t round = 0;
  bool yes = false;
  MemberId holder;
  std::vector<MemberId> others;  // learners (kBeat, kAccept); all known (kView)
  std::vector<Entry> entry;      // none or one

  template <class Archive>
  void serialize(Archive& a) {
    a(kind, life, store, epoch, promised, accepted, held, settled, round, yes, holder, others, entry);
  }
};

}  // namespace fennelhollow::consensus

#endif  // FENNELHOLLOW_MESH_CONSENSUS_MESSAGE_HPP_
