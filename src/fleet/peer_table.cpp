#include "fleet/peer_table.hpp"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>
#include <vector>

namespace merlinrun::fleet {
namespace {

// A report from further in the future is dropped, since no later report could replace it.
constexpr std::uint64_t kMaxClockSkewMs = 60'000;
// Senders below kMinCredibility aren't counted. Six contradicting reports exclude a sender, and each takes
// five consistent ones to make up for.
constexpr double kMinCredibility = 0.5;
constexpr double kCredibilityLoss = 0.1;
constexpr double kCredibilityGain = 0.02;
// Up to this many dead servers in a row are expected in a healthy zone.
constexpr unsigned kMaxDeadByChance = 2;

enum class Verdict { kNone, kLost, kHealthy };

// What a zone report received `since` microseconds ago tells about the zone now.
Verdict VerdictOf(const ZoneReport& zone_report, Micros since) {
  if (zone_report.last_ms * 1000 + since >=
      (zones::IsEjected(zone_report.stage) ? PeerTable::kEjectedEvidenceTtl : PeerTable::kEvidenceTtl))
    return Verdict::kNone;
  return zone_report.dead > 0 ? Verdict::kLost : Verdict::kHealthy;
}

}  // namespace

PeerTable::ReportOutcome PeerTable::OnReport(Micros now, const PeerReport& report) {
  if (report.sender == self_) return ReportOutcome::kFromSelf;
  if (report.incarnation > static_cast<std::uint64_t>(std::max<Micros>(now, 0)) / 1000 + kMaxClockSkewMs)
    return ReportOutcome::kFutureIncarnation;
  const auto [it, inserted] = peers_.try_emplace(report.sender);
  Peer& peer = it->second;
  if (!inserted) {
    if (std::tie(report.incarnation, report.sequence) <=
        std::tie(peer.report.incarnation, peer.report.sequence))
      return ReportOutcome::kStale;
    if (report.incarnation > peer.report.incarnation) ++restarts_;
  }
  ExpireRecent(now);
  if (!std::exchange(peer.recent, true)) recent_.push_back(&peer);
  peer.report = report;
  peer.received_at = now;
  UpdateCredibility(now, peer);
  return ReportOutcome::kAccepted;
}

void PeerTable::ExpireRecent(Micros now) {
  std::erase_if(recent_, [&](Peer* peer) {
    peer->recent = now - peer->received_at < kReportTtl;
    return !peer->recent;
  });
}

const PeerReport* PeerTable::LatestReport(std::uint32_t sender) const {
  const auto it = peers_.find(sender);
  return it == peers_.end() ? nullptr : &it->second.report;
}

std::size_t PeerTable::RecentPeerCount(Micros now) const {
  return static_cast<std::size_t>(std::count_if(recent_.begin(), recent_.end(), [&](const Peer* peer) {
    return now - peer->received_at < kReportTtl;
  }));
}

ZonePeerSummary PeerTable::Summarize(Micros now, int zone) const {
  return SummarizeExcept(now, zone, nullptr);
}

ZonePeerSummary PeerTable::SummarizeExcept(Micros now, int zone, const Peer* excluded) const {
  ZonePeerSummary out;
  out.zone = zone;
  std::vector<Micros> return_times;
  for (const Peer* peer : recent_) {
    const Micros since = now - peer->received_at;
    if (peer == excluded || peer->credibility < kMinCredibility || since >= kReportTtl) continue;
    const ZoneReport* zone_report = peer->report.FindZone(zone);
    if (zone_report == nullptr) continue;
    ++out.reporting;
    const Verdict verdict = VerdictOf(*zone_report, since);
    out.reporting_lost += verdict == Verdict::kLost;
    out.reporting_healthy += verdict == Verdict::kHealthy;
    if (zone_report->stage == zones::Stage::kReturning)
      return_times.push_back(zone_report->in_stage_ms * 1000 + since);
  }
  // The time that a quorum has been back for, so that one faulty sender can't declare a cold zone warm.
  if (return_times.size() >= static_cast<std::size_t>(zones::kQuorum)) {
    std::nth_element(return_times.begin(), return_times.begin() + zones::kQuorum - 1, return_times.end(),
                     std::greater<>());
    out.returned_for = return_times[zones::kQuorum - 1];
  }
  return out;
}

// A report contradicts the others if it calls a zone lost that a quorum finds healthy and hardly anyone else
// finds lost, or the reverse. In a fleet that is split in halves nobody's credibility falls.
void PeerTable::UpdateCredibility(Micros now, Peer& peer) const {
  bool contradicts = false;
  for (const ZoneReport& zone_report : peer.report.zones) {
    const ZonePeerSummary others = SummarizeExcept(now, zone_report.zone, &peer);
    const Verdict verdict = VerdictOf(zone_report, 0);
    contradicts |= verdict == Verdict::kLost && others.reporting_healthy >= zones::kQuorum &&
                   others.reporting_healthy > 4 * others.reporting_lost &&
                   zone_report.dead > kMaxDeadByChance;
    contradicts |= verdict == Verdict::kHealthy && others.reporting_lost >= zones::kQuorum &&
                   others.reporting_lost > 4 * others.reporting_healthy;
  }
  peer.credibility =
      std::clamp(peer.credibility + (contradicts ? -kCredibilityLoss : kCredibilityGain), 0.0, 1.0);
}

}  // namespace merlinrun::fleet
