#include "zones/zones.hpp"

#include <algorithm>
#include <utility>

#include "base/random.hpp"

namespace merlinrun::zones {
namespace {

// Distinct servers that must fail without a response in between. Lower values would eject zones in which only
// some servers are down.
constexpr std::size_t kDeadToEject = 3;
// Evidence from a window with fewer servers of the zone is ignored.
constexpr std::size_t kMinWindowServers = 2;
// A zone is ejected only if at least this share of the window is in other zones. Below it, ejection on mere
// suspicion could leave no servers to send to.
constexpr double kMinRemainingShare = 0.25;
// Timeouts are evidence only if no server of the zone has responded for this long. Guards against slow
// requests and short network interruptions.
constexpr Micros kSilenceThreshold = 500'000;
// Backoff before a probe: random(0, min(cap, base * 2^n)) after n consecutive ejections and failed probes.
// The cap bounds the time to detect a recovery.
constexpr Micros kProbeBase = 500'000;
constexpr Micros kProbeCap = 4'000'000;

// Factor on the evidence needed while a quorum of peers has responses from the zone.
constexpr std::size_t kDoubtFactor = 2;
// Peer reports of a loss that replace most or all of the own evidence, and their minimum ratio to peers with
// responses. Fewer could come from partial failures of a zone.
constexpr int kManyReports = 5;
constexpr int kOverwhelmingReports = 8;
constexpr int kLostToHealthyRatio = 8;
// A zone that responded this recently is not ejected without own evidence.
constexpr Micros kRecentResponse = 500'000;
// While peers report, this many sidecars probe an ejected zone in each round, chosen by hash, so that a
// starting zone is not flooded. After kMaxProbeWait a sidecar probes in any case.
constexpr std::uint64_t kProbersPerRound = 3;
constexpr Micros kProbeRound = 1'000'000;
constexpr Micros kMaxProbeWait = 16'000'000;
// Once a quorum has returned, the others probe at random within this time.
constexpr Micros kReturnSpread = 1'000'000;

}  // namespace

Evidence EvidenceOf(Result result) {
  switch (result) {
    case Result::kSuccess:
    case Result::kError:
    case Result::kRefused:
      return Evidence::kResponse;
    case Result::kUnreachable:
    case Result::kReset:
      return Evidence::kNoConnection;
    case Result::kTimeout:
      return Evidence::kNoResponse;
    case Result::kCancelled:
    case Result::kNeverSent:
      return Evidence::kIgnored;
  }
  return Evidence::kIgnored;
}

Zones::Zones(Draw draw, Micros warmup_time, std::uint32_t sidecar_index, std::uint32_t sidecar_count)
    : draw_(std::move(draw)),
      warmup_time_(warmup_time),
      sidecar_index_(sidecar_index),
      sidecar_count_(sidecar_count) {}

void Zones::Enter(Micros now, Zone& zone, Stage stage) {
  zone.stage = stage;
  zone.stage_since = now;
}

const Zones::Zone* Zones::Find(int zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second;
}

void Zones::OnSent(Micros now, int id) {
  if (id < 0) return;
  Zone& zone = zones_[id];
  ++zone.in_flight;
  if (zone.stage == Stage::kEjected && now >= zone.probe_after) Enter(now, zone, Stage::kProbing);
}

bool Zones::OnOutcome(Micros now, int id, std::uint64_t server, Evidence evidence, const Window& window) {
  if (id < 0) return false;
  Zone& zone = zones_[id];
  zone.in_flight = std::max(zone.in_flight - 1, 0);
  if (zone.stage == Stage::kReturning && now - zone.returned_at >= warmup_time_) {
    Enter(now, zone, Stage::kServing);
    zone.backoff = 0;
  }
  if (evidence == Evidence::kResponse) {
    if (zone.dead_servers.size() >= kDeadToEject) ClearEvidence();
    zone.dead_servers.clear();
    zone.last_response_at = now;
    // Responses to attempts sent before an evacuation change nothing.
    const bool evacuated = zone.override_kind == ZoneOverride::Kind::kEvacuate;
    const bool returned = !evacuated && IsEjected(zone.stage);
    if (returned) {
      Enter(now, zone, Stage::kReturning);
      // Starts with the warm-up progress reported by the peers.
      zone.returned_at = now - CurrentReport(now, zone).returned_for;
      ++epoch_;
    } else if (zone.stage == Stage::kSuspected) {
      Enter(now, zone, Stage::kServing);
    }
    bool other_ejected = false;
    for (auto& [other, other_zone] : zones_) other_ejected |= other != id && EjectIfLost(now, other_zone);
    return returned || other_ejected;
  }
  if (zone.stage == Stage::kProbing) {  // the probe failed
    Eject(now, zone);
    return false;
  }
  return Suspect(now, zone, server, evidence, window);
}

bool Zones::OnLate(Micros now, int id, std::uint64_t server, const Window& window) {
  return id >= 0 && Suspect(now, zones_[id], server, Evidence::kNoResponse, window);
}

bool Zones::Suspect(Micros now, Zone& zone, std::uint64_t server, Evidence evidence, const Window& window) {
  if (evidence == Evidence::kIgnored || IsEjected(zone.stage)) return false;
  if (evidence == Evidence::kNoResponse && now - zone.last_response_at < kSilenceThreshold) return false;
  if (zone.dead_servers.empty()) zone.suspected_at = now;
  zone.last_failure_at = now;
  if (zone.dead_servers.size() < std::max(kDeadToEject, DeadServersNeeded(now, zone)) &&
      std::find(zone.dead_servers.begin(), zone.dead_servers.end(), server) == zone.dead_servers.end())
    zone.dead_servers.push_back(server);
  if (zone.stage == Stage::kServing) Enter(now, zone, Stage::kSuspected);
  zone.window = window;
  return EjectIfLost(now, zone);
}

void Zones::OnListed(Micros now, int id, std::uint64_t server, bool started) {
  const auto it = zones_.find(id);
  if (it == zones_.end()) return;
  std::erase(it->second.dead_servers, server);
  if (started && it->second.stage == Stage::kEjected)
    it->second.probe_after = std::min(it->second.probe_after, now);
}

// Called when a zone with enough failures for ejection responds: the connectivity of this sidecar was at
// fault, so the failures in other zones prove nothing either.
void Zones::ClearEvidence() {
  for (auto& [id, zone] : zones_) zone.dead_servers.clear();
}

bool Zones::OnPeerReport(Micros now, const ZonePeerSummary& report, const Window& window) {
  if (report.zone < 0) return false;
  Zone& zone = zones_[report.zone];
  zone.peer_report = report;
  zone.report_at = now;
  zone.window = window;
  if (zone.stage == Stage::kEjected && report.reporting_healthy >= kQuorum &&
      !std::exchange(zone.probe_hastened, true))
    zone.probe_after = std::min(zone.probe_after, now + draw_(kReturnSpread));
  return EjectIfLost(now, zone);
}

void Zones::OnOverrides(Micros now, std::span<const ZoneOverride> overrides) {
  std::map<int, ZoneOverride::Kind> kinds;
  for (const ZoneOverride& override_entry : overrides) kinds[override_entry.zone] = override_entry.kind;
  for (const auto& [id, kind] : kinds) zones_.try_emplace(id);
  for (auto& [id, zone] : zones_) {
    const auto it = kinds.find(id);
    const ZoneOverride::Kind before =
        std::exchange(zone.override_kind, it == kinds.end() ? ZoneOverride::Kind::kNone : it->second);
    if (before == zone.override_kind) continue;
    const bool was_ejected = IsEjected(zone.stage);
    if (zone.override_kind == ZoneOverride::Kind::kEvacuate && !was_ejected) {
      Eject(now, zone);
      ++epoch_;
    } else if (was_ejected) {
      zone.probe_after = now;
    }
  }
}

ZonePeerSummary Zones::CurrentReport(Micros now, const Zone& zone) const {
  return now - zone.report_at < kReportLifetime ? zone.peer_report : ZonePeerSummary();
}

// Number of failed servers needed for ejection: 1 if many peers report the loss, 0 if even more do and this
// sidecar has no recent response either, and more than usual if a quorum of peers has responses.
std::size_t Zones::DeadServersNeeded(Micros now, const Zone& zone) const {
  const ZonePeerSummary report = CurrentReport(now, zone);
  if (report.reporting_lost >= kManyReports &&
      report.reporting_lost >= kLostToHealthyRatio * report.reporting_healthy)
    return report.reporting_lost >= kOverwhelmingReports && now - zone.last_response_at >= kRecentResponse
               ? 0
               : 1;
  return report.reporting_healthy >= kQuorum && report.reporting_lost < kQuorum ? kDoubtFactor * kDeadToEject
                                                                                : kDeadToEject;
}

// Requires enough failed servers, a response from another zone since the first failure (otherwise this
// sidecar may be disconnected), and enough servers in other zones.
bool Zones::EjectIfLost(Micros now, Zone& zone) {
  if (IsEjected(zone.stage)) return false;
  if (zone.override_kind == ZoneOverride::Kind::kKeep) return false;
  const Window& w = zone.window;
  const std::size_t needed = DeadServersNeeded(now, zone);
  if (w.here == 0 || (needed > 0 && w.here < kMinWindowServers) ||
      zone.dead_servers.size() < std::min(needed, w.here))
    return false;
  const auto all = static_cast<double>(w.here + w.elsewhere);
  if (static_cast<double>(w.elsewhere) < kMinRemainingShare * all) return false;
  Micros since = zone.dead_servers.empty() ? now : zone.suspected_at;
  // With many reports a recent response from another zone is sufficient.
  if (needed < kDeadToEject) since = std::min(since, now - kReportLifetime);
  if (!AnotherZoneResponded(zone, since)) return false;
  Eject(now, zone);
  ++epoch_;
  return true;
}

void Zones::Eject(Micros now, Zone& zone) {
  Enter(now, zone, Stage::kEjected);
  zone.probe_hastened = false;
  zone.backoff = std::clamp(2 * zone.backoff, kProbeBase, kProbeCap);
  zone.probe_after = now + draw_(zone.backoff);
}

bool Zones::AnotherZoneResponded(const Zone& excluded, Micros since) const {
  return std::any_of(zones_.begin(), zones_.end(), [&](const auto& entry) {
    return &entry.second != &excluded && entry.second.last_response_at >= since;
  });
}

bool Zones::MaySend(Micros now, int id) const {
  const Zone* zone = Find(id);
  if (zone == nullptr || !IsEjected(zone->stage)) return true;
  if (zone->override_kind == ZoneOverride::Kind::kEvacuate) return false;
  return now >= zone->probe_after && zone->in_flight == 0 && IsMyProbeRound(now, id, *zone);
}

bool Zones::IsMyProbeRound(Micros now, int id, const Zone& zone) const {
  const ZonePeerSummary report = CurrentReport(now, zone);
  if (report.reporting < kQuorum || report.reporting_healthy >= kQuorum ||
      now - zone.stage_since >= kMaxProbeWait)
    return true;
  if (zone.stage_since / kProbeRound == now / kProbeRound)
    return false;  // already ejected or probed in this round
  const auto round = static_cast<std::uint64_t>(now / kProbeRound);
  return MixBits(MixBits(round << 20 ^ static_cast<std::uint64_t>(id)) ^ sidecar_index_) % sidecar_count_ <
         kProbersPerRound;
}

bool Zones::IsZoneEjected(int id) const {
  const Zone* zone = Find(id);
  return zone != nullptr && IsEjected(zone->stage);
}

Micros Zones::ReturnedAt(Micros now, int id) const {
  const Zone* zone = Find(id);
  const bool warming_up =
      zone != nullptr && zone->stage == Stage::kReturning && now - zone->returned_at < warmup_time_;
  return warming_up ? zone->returned_at : 0;
}

Stage Zones::StageOf(Micros now, int id) const {
  const Zone* zone = Find(id);
  if (zone == nullptr) return Stage::kServing;
  return zone->stage == Stage::kReturning && ReturnedAt(now, id) == 0 ? Stage::kServing : zone->stage;
}

std::vector<BalancerSnapshot::Zone> Zones::TakeSnapshot(Micros now) const {
  std::vector<BalancerSnapshot::Zone> out;
  for (const auto& [id, zone] : zones_) {
    // A returning zone becomes serving when its warm-up time has passed.
    const Micros in_stage = now - zone.stage_since;
    const Micros seen =
        std::max(zone.last_response_at, zone.dead_servers.empty() ? -1 : zone.last_failure_at);
    out.push_back({id, StageOf(now, id), in_stage, zone.dead_servers.size(), seen < 0 ? -1 : now - seen,
                   CurrentReport(now, zone)});
  }
  return out;
}

}  // namespace merlinrun::zones
