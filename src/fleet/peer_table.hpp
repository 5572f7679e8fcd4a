// Who of the fleet is heard, and what they say together. Free of I/O and clock.
//
// Membership is by silence alone: heard lately, not heard, back with a new incarnation. Of each sender the
// newest word counts and no other, so that the same words leave the same picture in whatever order they come,
// and however often (a join over incarnation and sequence). Memory: a word a sibling at most.
#ifndef MERLINRUN_FLEET_PEER_TABLE_HPP_
#define MERLINRUN_FLEET_PEER_TABLE_HPP_

#include <cstdint>
#include <map>
#include <vector>

#include "fleet/report.hpp"

namespace merlinrun::fleet {

class PeerTable {
 public:
  // A word counts for so long after it came. Guards against old words that hold a decision up, or make one.
  static constexpr Micros kFresh = 2'500'000;
  // What a sender met last speaks for so long, whether it was an answer or none: some attempts' distance of a
  // quiet one. The same for both, or healthy zones with some dead servers would look lost.
  static constexpr Micros kSpeaksFor = 1'000'000;
  // One that has left it meets nothing there until its next trial, which comes within this time.
  static constexpr Micros kLeftSpeaksFor = 4'000'000;
  // From so many dead servers in a row on a sender tells at once: one is the server's own trouble.
  static constexpr unsigned kNews = 2;

  enum class Heard {
    kNew,
    kOld,     // a newer word of this sender has come before, or this one has
    kFuture,  // it claims to have started later than the clocks' difference can explain
    kOwn,     // it claims to be this sidecar
  };

  explicit PeerTable(std::uint32_t own) : own_(own) {}
  PeerTable(const PeerTable&) = delete;
  PeerTable& operator=(const PeerTable&) = delete;
  Heard Hear(Micros now, const PeerReport& words);
  // What others say of the zone now, those alone who are heard and believed.
  ZonePeerReport Of(Micros now, int zone) const;
  // Senders heard lately.
  std::size_t RecentPeerCount(Micros now) const;
  // Starts of others that were seen: words of a new incarnation after an older one.
  std::uint64_t returns() const { return returns_; }
  std::size_t known() const { return known_.size(); }
  // The word in force of a sender; null if there is none.
  const PeerReport* LatestReport(std::uint32_t sender) const;

 private:
  struct Member {
    PeerReport words;
    Micros heard_at = 0;
    double belief = 1;  // falls with each word that goes against what everybody else says
    bool lately = false;
  };
  ZonePeerReport Without(Micros now, int zone, const Member* member) const;
  void Believe(Micros now, Member& member) const;

  const std::uint32_t own_;
  void Forget(Micros now);

  std::map<std::uint32_t, Member> known_;  // its nodes stay put
  // Those heard lately, and some that were until now: what a look costs follows from the words that come,
  // which are bounded, and not from the size of the fleet.
  std::vector<Member*> lately_;
  std::uint64_t returns_ = 0;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_PEER_TABLE_HPP_
