// A sidecar's part in what the fleet tells one another: puts words, members and speaker together. Free of I/O
// and clock; what it decides is said by datagrams that it returns, and by what zones are told.
#ifndef MERLINRUN_FLEET_CONVERSATION_HPP_
#define MERLINRUN_FLEET_CONVERSATION_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/members.hpp"
#include "fleet/speaker.hpp"
#include "fleet/words.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::fleet {

// What became of datagrams that came. Each is counted once.
struct Tally {
  std::uint64_t taken = 0;
  std::uint64_t old = 0;      // late, doubled or out of order
  std::uint64_t foreign = 0;  // not from the address of the peer that it names
  std::uint64_t future = 0;
  std::uint64_t broken = 0;  // cut, too long, of another version, or no words at all
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
};

class Conversation {
 public:
  struct Saying {
    std::vector<std::uint32_t> to;
    std::string bytes;
  };

  // `incarnation`: Unix time of this start, milliseconds.
  Conversation(Manners manners, std::uint32_t own, std::uint32_t siblings, std::uint64_t incarnation,
               Micros now, Speaker::Draw draw);

  // A datagram from the address of that peer; none: from no peer's.
  void Hear(Micros now, std::optional<std::uint32_t> from, std::string_view bytes);
  // What is to be said now, given what this sidecar itself has met; nobody to say it to if nothing is.
  Saying Say(Micros now, const std::vector<BalancerSnapshot::Zone>& own, std::uint64_t epoch,
             std::int64_t generation);
  // What others say of a zone.
  ZonePeerReport Of(Micros now, int zone) const { return members_.Of(now, zone); }

  const Members& members() const { return members_; }
  const Tally& tally() const { return tally_; }

 private:
  Words Own(const std::vector<BalancerSnapshot::Zone>& own, std::uint64_t epoch,
            std::int64_t generation) const;
  // What others act on: who calls which zone lost, and which stage it is in.
  bool News(Micros now, const Words& own) const;
  // A loss is told again and again for so long after its last sign.
  static constexpr Micros kTellFor = 1'000'000;

  const std::uint32_t own_;
  const std::uint32_t siblings_;
  const std::uint64_t incarnation_;
  Members members_;
  Speaker speaker_;
  Words said_;
  std::uint64_t sequence_ = 0;
  Tally tally_;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_CONVERSATION_HPP_
