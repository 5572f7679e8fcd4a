#include "fleet/report_exchange.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::fleet {

ReportExchange::ReportExchange(ReportSettings settings, std::uint32_t self, std::uint32_t sidecar_count,
                               std::uint64_t incarnation, Micros now, ReportScheduler::Draw draw)
    : self_(self),
      sidecar_count_(sidecar_count),
      incarnation_(incarnation),
      peer_table_(self),
      scheduler_(settings, self, sidecar_count, now, std::move(draw)) {}

void ReportExchange::OnDatagram(Micros now, std::optional<std::uint32_t> from, std::string_view bytes) {
  if (!from) return void(++counters_.wrong_address);
  const auto decoded = Decode(bytes, sidecar_count_);
  const auto* report = std::get_if<PeerReport>(&decoded);
  if (report == nullptr) return void(++counters_.malformed);
  if (report->sender != *from) return void(++counters_.wrong_address);
  switch (peer_table_.OnReport(now, *report)) {
    case PeerTable::ReportOutcome::kAccepted:
      return void(++counters_.accepted);
    case PeerTable::ReportOutcome::kStale:
      return void(++counters_.stale);
    case PeerTable::ReportOutcome::kFutureIncarnation:
      return void(++counters_.future_incarnation);
    case PeerTable::ReportOutcome::kFromSelf:
      return void(++counters_.wrong_address);
  }
}

ReportExchange::Outgoing ReportExchange::NextReport(Micros now,
                                                    const std::vector<BalancerSnapshot::Zone>& zone_snapshots,
                                                    std::uint64_t epoch, std::int64_t generation) {
  PeerReport report = MakeReport(zone_snapshots, epoch, generation);
  const bool urgent = IsUrgent(now, report);
  if (!scheduler_.Due(now, urgent)) return {};  // most calls end here, before anything is encoded
  Outgoing out;
  out.bytes = Encode(report);
  out.recipients = scheduler_.StartRound(now, urgent, out.bytes.size());
  if (out.recipients.empty()) return out;
  ++sequence_;
  counters_.sent += out.recipients.size();
  counters_.sent_bytes += out.recipients.size() * out.bytes.size();
  last_sent_ = std::move(report);
  return out;
}

PeerReport ReportExchange::MakeReport(const std::vector<BalancerSnapshot::Zone>& zone_snapshots,
                                      std::uint64_t epoch, std::int64_t generation) const {
  PeerReport report{self_, incarnation_, sequence_ + 1, generation, {}};
  for (const BalancerSnapshot::Zone& zone : zone_snapshots) {
    if (report.zones.size() == kMaxZones) break;
    report.zones.push_back(
        {zone.zone, zone.stage, epoch, static_cast<unsigned>(zone.dead_servers),
         zone.since_last_evidence < 0 ? kMaxAgeMs : std::min(zone.since_last_evidence / 1000, kMaxAgeMs),
         std::min(zone.time_in_stage / 1000, kMaxAgeMs)});
  }
  return report;
}

bool ReportExchange::IsUrgent(Micros now, const PeerReport& current) const {
  if (sequence_ == 0) return true;  // announces this sidecar
  return std::any_of(current.zones.begin(), current.zones.end(), [&](const ZoneReport& zone_report) {
    const ZoneReport* previous = last_sent_.FindZone(zone_report.zone);
    const bool was_lost = previous != nullptr && previous->dead >= PeerTable::kUrgentDeadServers;
    const bool was_returning = previous != nullptr && previous->stage == zones::Stage::kReturning;
    const bool lost = zone_report.dead >= PeerTable::kUrgentDeadServers;
    const bool returning = zone_report.stage == zones::Stage::kReturning;
    // Repeated because peers need several witnesses and datagrams get lost.
    const bool repeat_loss =
        lost && zone_report.stage != zones::Stage::kProbing && zone_report.last_ms * 1000 < kRepeatLossFor;
    // Answers from a zone that peers call lost are reported as urgently. Otherwise a zone with some dead
    // servers looks lost, since only those that have just met them would report.
    const bool contradicts_peers =
        zone_report.dead == 0 && zone_report.last_ms * 1000 < PeerTable::kEvidenceTtl &&
        peer_table_.Summarize(now, zone_report.zone).reporting_lost >= zones::kQuorum;
    return repeat_loss || contradicts_peers || lost != was_lost || (returning && !was_returning);
  });
}

}  // namespace merlinrun::fleet
