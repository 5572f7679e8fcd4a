#include "fleet/report_exchange.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::fleet {

ReportExchange::ReportExchange(ReportSettings settings, std::uint32_t own, std::uint32_t siblings,
                               std::uint64_t incarnation, Micros now, ReportScheduler::Draw draw)
    : own_(own),
      siblings_(siblings),
      incarnation_(incarnation),
      peer_table_(own),
      scheduler_(settings, own, siblings, now, std::move(draw)) {}

void ReportExchange::Hear(Micros now, std::optional<std::uint32_t> from, std::string_view bytes) {
  if (!from) return void(++counters_.wrong_address);
  const auto read = Decode(bytes, siblings_);
  const auto* words = std::get_if<PeerReport>(&read);
  if (words == nullptr) return void(++counters_.malformed);
  if (words->sender != *from) return void(++counters_.wrong_address);
  switch (peer_table_.Hear(now, *words)) {
    case PeerTable::Heard::kNew:
      return void(++counters_.accepted);
    case PeerTable::Heard::kOld:
      return void(++counters_.stale);
    case PeerTable::Heard::kFuture:
      return void(++counters_.future_incarnation);
    case PeerTable::Heard::kOwn:
      return void(++counters_.wrong_address);
  }
}

ReportExchange::Saying ReportExchange::Say(Micros now, const std::vector<BalancerSnapshot::Zone>& own,
                                           std::uint64_t epoch, std::int64_t generation) {
  PeerReport words = Own(own, epoch, generation);
  const bool news = News(now, words);
  if (!scheduler_.Due(now, news)) return {};  // twenty times for each that is: nothing is written for it
  Saying out;
  out.bytes = Encode(words);
  out.to = scheduler_.Round(now, news, out.bytes.size());
  if (out.to.empty()) return out;
  ++sequence_;
  counters_.sent += out.to.size();
  counters_.sent_bytes += out.to.size() * out.bytes.size();
  said_ = std::move(words);
  return out;
}

PeerReport ReportExchange::Own(const std::vector<BalancerSnapshot::Zone>& own, std::uint64_t epoch,
                               std::int64_t generation) const {
  PeerReport words{own_, incarnation_, sequence_ + 1, generation, {}};
  for (const BalancerSnapshot::Zone& zone : own) {
    if (words.zones.size() == kMaxZones) break;
    words.zones.push_back(
        {zone.zone, zone.stage, epoch, static_cast<unsigned>(zone.dead_servers),
         zone.since_last_evidence < 0 ? kMaxAgeMs : std::min(zone.since_last_evidence / 1000, kMaxAgeMs),
         std::min(zone.time_in_stage / 1000, kMaxAgeMs)});
  }
  return words;
}

bool ReportExchange::News(Micros now, const PeerReport& own) const {
  if (sequence_ == 0) return true;  // all hear at once that this sidecar is there
  return std::any_of(own.zones.begin(), own.zones.end(), [&](const ZoneReport& word) {
    const ZoneReport* before = said_.Of(word.zone);
    const bool was_lost = before != nullptr && before->dead >= PeerTable::kNews;
    const bool was_back = before != nullptr && before->stage == zones::Stage::kReturning;
    const bool lost = word.dead >= PeerTable::kNews;
    const bool back = word.stage == zones::Stage::kReturning;
    // A loss is told over and over for a while: most have to hear it from several, and words get lost.
    const bool still = lost && word.stage != zones::Stage::kProbing && word.last_ms * 1000 < kTellFor;
    // Whoever sees otherwise says so as loudly. Guards against a zone with some dead servers that looks lost,
    // as those alone speak up who have just met them.
    const bool otherwise = word.dead == 0 && word.last_ms * 1000 < PeerTable::kSpeaksFor &&
                           peer_table_.Of(now, word.zone).reporting_lost >= zones::kQuorum;
    return still || otherwise || lost != was_lost || (back && !was_back);
  });
}

}  // namespace merlinrun::fleet
