#include "fleet/conversation.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::fleet {

Conversation::Conversation(Manners manners, std::uint32_t own, std::uint32_t siblings,
                           std::uint64_t incarnation, Micros now, Speaker::Draw draw)
    : own_(own),
      siblings_(siblings),
      incarnation_(incarnation),
      members_(own),
      speaker_(manners, own, siblings, now, std::move(draw)) {}

void Conversation::Hear(Micros now, std::optional<std::uint32_t> from, std::string_view bytes) {
  if (!from) return void(++tally_.foreign);
  const auto read = Read(bytes, siblings_);
  const auto* words = std::get_if<Words>(&read);
  if (words == nullptr) return void(++tally_.broken);
  if (words->sender != *from) return void(++tally_.foreign);
  switch (members_.Hear(now, *words)) {
    case Members::Heard::kNew:
      return void(++tally_.taken);
    case Members::Heard::kOld:
      return void(++tally_.old);
    case Members::Heard::kFuture:
      return void(++tally_.future);
    case Members::Heard::kOwn:
      return void(++tally_.foreign);
  }
}

Conversation::Saying Conversation::Say(Micros now, const std::vector<BalancerSnapshot::Zone>& own,
                                       std::uint64_t epoch, std::int64_t generation) {
  Words words = Own(own, epoch, generation);
  const bool news = News(now, words);
  if (!speaker_.Due(now, news)) return {};  // twenty times for each that is: nothing is written for it
  Saying out;
  out.bytes = Write(words);
  out.to = speaker_.Round(now, news, out.bytes.size());
  if (out.to.empty()) return out;
  ++sequence_;
  tally_.sent += out.to.size();
  tally_.sent_bytes += out.to.size() * out.bytes.size();
  said_ = std::move(words);
  return out;
}

Words Conversation::Own(const std::vector<BalancerSnapshot::Zone>& own, std::uint64_t epoch,
                        std::int64_t generation) const {
  Words words{own_, incarnation_, sequence_ + 1, generation, {}};
  for (const BalancerSnapshot::Zone& zone : own) {
    if (words.zones.size() == kMostZones) break;
    words.zones.push_back(
        {zone.zone, zone.stage, epoch, static_cast<unsigned>(zone.dead_servers),
         zone.since_last_evidence < 0 ? kMostAge : std::min(zone.since_last_evidence / 1000, kMostAge),
         std::min(zone.time_in_stage / 1000, kMostAge)});
  }
  return words;
}

bool Conversation::News(Micros now, const Words& own) const {
  if (sequence_ == 0) return true;  // all hear at once that this sidecar is there
  return std::any_of(own.zones.begin(), own.zones.end(), [&](const ZoneWord& word) {
    const ZoneWord* before = said_.Of(word.zone);
    const bool was_lost = before != nullptr && before->dead >= Members::kNews;
    const bool was_back = before != nullptr && before->stage == zones::Stage::kReturning;
    const bool lost = word.dead >= Members::kNews;
    const bool back = word.stage == zones::Stage::kReturning;
    // A loss is told over and over for a while: most have to hear it from several, and words get lost.
    const bool still = lost && word.stage != zones::Stage::kProbing && word.last_ms * 1000 < kTellFor;
    // Whoever sees otherwise says so as loudly. Guards against a zone with some dead servers that looks lost,
    // as those alone speak up who have just met them.
    const bool otherwise = word.dead == 0 && word.last_ms * 1000 < Members::kSpeaksFor &&
                           members_.Of(now, word.zone).reporting_lost >= zones::kQuorum;
    return still || otherwise || lost != was_lost || (back && !was_back);
  });
}

}  // namespace merlinrun::fleet
