#include "fleet/peer_table.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace merlinrun::fleet {
namespace {

// Clocks of one platform differ by less. Guards against a word that no later one could replace.
constexpr std::uint64_t kClocksApartMs = 60'000;
// A sender under this belief is not counted. It loses kAgainst with each word against everybody and wins
// kWith back with each other, so that six words in a second silence one that errs, and half a minute of
// ordinary ones hears it again.
constexpr double kBelieved = 0.5;
constexpr double kAgainst = 0.1;
constexpr double kWith = 0.02;
// So many dead servers in a row are met by chance in a zone that is well.
constexpr unsigned kMostByChance = 2;

enum class Says { kNothing, kLost, kWell };

// What a word said `since` ago says of the zone now.
Says SaysOf(const ZoneReport& word, Micros since) {
  if (word.last_ms * 1000 + since >=
      (zones::IsEjected(word.stage) ? PeerTable::kLeftSpeaksFor : PeerTable::kSpeaksFor))
    return Says::kNothing;
  return word.dead > 0 ? Says::kLost : Says::kWell;
}

}  // namespace

PeerTable::Heard PeerTable::Hear(Micros now, const PeerReport& words) {
  if (words.sender == own_) return Heard::kOwn;
  if (words.incarnation > static_cast<std::uint64_t>(std::max<Micros>(now, 0)) / 1000 + kClocksApartMs)
    return Heard::kFuture;
  const auto [it, first] = known_.try_emplace(words.sender);
  Member& member = it->second;
  if (!first) {
    if (std::tie(words.incarnation, words.sequence) <=
        std::tie(member.words.incarnation, member.words.sequence))
      return Heard::kOld;
    if (words.incarnation > member.words.incarnation) ++returns_;
  }
  Forget(now);
  if (!std::exchange(member.lately, true)) lately_.push_back(&member);
  member.words = words;
  member.heard_at = now;
  Believe(now, member);
  return Heard::kNew;
}

void PeerTable::Forget(Micros now) {
  std::erase_if(lately_, [&](Member* member) {
    member->lately = now - member->heard_at < kFresh;
    return !member->lately;
  });
}

const PeerReport* PeerTable::LatestReport(std::uint32_t sender) const {
  const auto it = known_.find(sender);
  return it == known_.end() ? nullptr : &it->second.words;
}

std::size_t PeerTable::RecentPeerCount(Micros now) const {
  return static_cast<std::size_t>(std::count_if(
      lately_.begin(), lately_.end(), [&](const Member* member) { return now - member->heard_at < kFresh; }));
}

ZonePeerReport PeerTable::Of(Micros now, int zone) const { return Without(now, zone, nullptr); }

ZonePeerReport PeerTable::Without(Micros now, int zone, const Member* without) const {
  ZonePeerReport out;
  out.zone = zone;
  std::vector<Micros> returned;
  for (const Member* member : lately_) {
    const Micros since = now - member->heard_at;
    if (member == without || member->belief < kBelieved || since >= kFresh) continue;
    const ZoneReport* word = member->words.Of(zone);
    if (word == nullptr) continue;
    ++out.reporting;
    const Says says = SaysOf(*word, since);
    out.reporting_lost += says == Says::kLost;
    out.reporting_healthy += says == Says::kWell;
    if (word->stage == zones::Stage::kReturning) returned.push_back(word->in_stage_ms * 1000 + since);
  }
  // What a quorum has outlived: one that lies can't make a cold zone warm.
  if (returned.size() >= static_cast<std::size_t>(zones::kQuorum)) {
    std::nth_element(returned.begin(), returned.begin() + zones::kQuorum - 1, returned.end(),
                     std::greater<>());
    out.returned_for = returned[zones::kQuorum - 1];
  }
  return out;
}

// Against everybody: it calls lost what a quorum was just answered by, and hardly anybody else calls lost; or
// the reverse. In a fleet that is split into halves nobody is against everybody.
void PeerTable::Believe(Micros now, Member& member) const {
  bool against = false;
  for (const ZoneReport& word : member.words.zones) {
    const ZonePeerReport others = Without(now, word.zone, &member);
    const Says says = SaysOf(word, 0);
    against |= says == Says::kLost && others.reporting_healthy >= zones::kQuorum &&
               others.reporting_healthy > 4 * others.reporting_lost && word.dead > kMostByChance;
    against |= says == Says::kWell && others.reporting_lost >= zones::kQuorum &&
               others.reporting_lost > 4 * others.reporting_healthy;
  }
  member.belief = std::clamp(member.belief + (against ? -kAgainst : kWith), 0.0, 1.0);
}

}  // namespace merlinrun::fleet
