// Keeps the latest report of each peer and aggregates the recent ones per zone. Does no I/O and reads no
// clock.
//
// Of each sender only the newest report counts, ordered by incarnation and sequence, so the result doesn't
// depend on the order or duplication of datagrams. A peer is present while its reports arrive; there is no
// explicit membership. Memory: at most one report per peer.
#ifndef MERLINRUN_FLEET_PEER_TABLE_HPP_
#define MERLINRUN_FLEET_PEER_TABLE_HPP_

#include <cstdint>
#include <map>
#include <vector>

#include "fleet/report.hpp"

namespace merlinrun::fleet {

class PeerTable {
 public:
  // A report is ignored once it is this old, so that outdated reports neither cause nor delay a decision.
  static constexpr Micros kReportTtl = 2'500'000;
  // Evidence from a sender's own attempts is ignored once it is this old. The same for healthy and lost,
  // since otherwise healthy zones with some dead servers would look lost.
  static constexpr Micros kEvidenceTtl = 1'000'000;
  // A sender that ejected the zone has new evidence only at its next probe, which comes within this time.
  static constexpr Micros kEjectedEvidenceTtl = 4'000'000;
  // A sender reports at once from this many dead servers in a row; a single one may be the server's own
  // failure.
  static constexpr unsigned kUrgentDeadServers = 2;

  enum class ReportOutcome {
    kAccepted,
    kStale,              // this or a newer report of the sender was already accepted
    kFutureIncarnation,  // the claimed start time exceeds the permitted clock skew
    kFromSelf,           // carries this sidecar's own number
  };

  explicit PeerTable(std::uint32_t self) : self_(self) {}
  PeerTable(const PeerTable&) = delete;
  PeerTable& operator=(const PeerTable&) = delete;
  ReportOutcome OnReport(Micros now, const PeerReport& report);
  // Aggregates what recent, credible peers report about the zone.
  ZonePeerSummary Summarize(Micros now, int zone) const;
  // Number of peers with a report younger than kReportTtl.
  std::size_t RecentPeerCount(Micros now) const;
  // Peer restarts seen: reports with a newer incarnation than the one before.
  std::uint64_t restarts() const { return restarts_; }
  std::size_t known_peers() const { return peers_.size(); }
  // Null if there is no report of this sender.
  const PeerReport* LatestReport(std::uint32_t sender) const;

 private:
  struct Peer {
    PeerReport report;
    Micros received_at = 0;
    double credibility = 1;  // falls with each report that contradicts most others
    bool recent = false;
  };
  ZonePeerSummary SummarizeExcept(Micros now, int zone, const Peer* peer) const;
  void UpdateCredibility(Micros now, Peer& peer) const;

  const std::uint32_t self_;
  void ExpireRecent(Micros now);

  std::map<std::uint32_t, Peer> peers_;  // `recent_` points into it
  // Recent peers, and some that have just expired. Bounds the cost of an aggregation by the rate of reports
  // instead of the size of the fleet.
  std::vector<Peer*> recent_;
  std::uint64_t restarts_ = 0;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_PEER_TABLE_HPP_
