// Outlier detection and ejection of whole zones, from the outcomes of this sidecar's attempts. It pools the
// evidence of all servers of a zone, so that a zone outage is detected after a few failures. States:
// docs/design/zones.md.
//
// Does no I/O and has no clock or random source of its own: each call passes the time, and delays are drawn
// by `Draw`. Memory is bounded: one record per zone, with a few servers each.
//
// A zone is ejected only if another zone has responded since its failures began and at least
// kMinRemainingShare of the window is in other zones. Retry rules of requests are not affected.
#ifndef MERLINRUN_ZONES_ZONES_HPP_
#define MERLINRUN_ZONES_ZONES_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::zones {

// Number of independent reports that can change a decision; fewer could be faulty.
inline constexpr int kQuorum = 3;

using Stage = ZoneStage;
// Ejected or half-open: receives nothing but probes.
constexpr bool IsEjected(Stage stage) { return stage == Stage::kEjected || stage == Stage::kProbing; }

// What the outcome of an attempt shows about the zone of its server.
enum class Evidence {
  kResponse,      // of any kind: the network path and the process work
  kNoConnection,  // could not connect, or the connection broke
  kNoResponse,    // timed out: the server may be slow or lost
  kIgnored,       // cancelled or never sent by this sidecar
};

Evidence EvidenceOf(Result result);

class Zones {
 public:
  // Returns a time between 0 and the given one, in microseconds.
  using Draw = std::function<Micros(Micros)>;
  // Servers of the window in the given zone, and in other zones that are not ejected.
  struct Window {
    std::size_t here = 0;
    std::size_t elsewhere = 0;
  };

  // `warmup_time`: a returning zone is treated as just started for this long. `sidecar_index` of
  // `sidecar_count` determines when this sidecar probes a zone while peers report on it.
  Zones(Draw draw, Micros warmup_time, std::uint32_t sidecar_index = 0, std::uint32_t sidecar_count = 1);

  // An attempt was sent to a server of the zone. Negative zones are unknown and ignored.
  void OnSent(Micros now, int zone);
  // The attempt has ended. Returns true if the set of reachable zones has changed.
  bool OnOutcome(Micros now, int zone, std::uint64_t server, Evidence evidence, const Window& window);
  // The attempt is late and its server has not responded since it was sent; its outcome follows. Returns as
  // above.
  bool OnLate(Micros now, int zone, std::uint64_t server, const Window& window);
  // The server is new, restarted or removed from the list, which clears the evidence about it. A restarted
  // server lets an ejected zone be probed at once.
  void OnListed(Micros now, int zone, std::uint64_t server, bool started);

  // Stores a peer report for one second. Own responses outweigh it, and below a quorum it has no effect.
  // Returns as above.
  bool OnPeerReport(Micros now, const ZonePeerSummary& report, const Window& window);

  // Replaces the operator overrides, which take precedence. A zone whose override ends may be probed at once.
  void OnOverrides(Micros now, std::span<const ZoneOverride> overrides);

  // Whether a request may be sent there now.
  bool MaySend(Micros now, int zone) const;
  // Whether the zone is ejected or half-open.
  bool IsZoneEjected(int zone) const;
  // Time of the return if the zone is still treated as just started, else 0.
  Micros ReturnedAt(Micros now, int zone) const;
  Stage StageOf(Micros now, int zone) const;
  // All zones that were ever sent to.
  std::vector<BalancerSnapshot::Zone> TakeSnapshot(Micros now) const;
  // Incremented whenever a zone is ejected or restored.
  std::uint64_t epoch() const { return epoch_; }

 private:
  struct Zone {
    Stage stage = Stage::kServing;
    // Distinct servers that failed since the last response; at most as many as ejection needs.
    std::vector<std::uint64_t> dead_servers;
    Micros suspected_at = 0;
    Micros last_response_at = -1;
    Micros last_failure_at = -1;
    Micros probe_after = 0;  // end of the backoff, while ejected
    Micros returned_at = 0;
    Micros backoff = 0;  // upper bound of the current backoff, doubled by each ejection
    Micros stage_since = 0;
    int in_flight = 0;
    Window window;  // as of the last failure or peer report
    ZoneOverride::Kind override_kind = ZoneOverride::Kind::kNone;
    ZonePeerSummary peer_report;
    Micros report_at = -kReportLifetime;
    bool probe_hastened = false;  // a peer quorum has responses, so the probe was moved forward
  };

  // Expiry of a peer report; without one this sidecar decides alone.
  static constexpr Micros kReportLifetime = 1'000'000;

  static void Enter(Micros now, Zone& zone, Stage stage);
  ZonePeerSummary CurrentReport(Micros now, const Zone& zone) const;
  std::size_t DeadServersNeeded(Micros now, const Zone& zone) const;
  bool IsMyProbeRound(Micros now, int id, const Zone& zone) const;
  void ClearEvidence();
  void Eject(Micros now, Zone& zone);
  bool Suspect(Micros now, Zone& zone, std::uint64_t server, Evidence evidence, const Window& window);
  bool EjectIfLost(Micros now, Zone& zone);
  bool AnotherZoneResponded(const Zone& excluded, Micros since) const;
  const Zone* Find(int zone) const;

  const Draw draw_;
  const Micros warmup_time_;
  const std::uint32_t sidecar_index_;
  const std::uint32_t sidecar_count_;
  std::map<int, Zone> zones_;
  std::uint64_t epoch_ = 0;
};

}  // namespace merlinrun::zones

#endif  // MERLINRUN_ZONES_ZONES_HPP_
