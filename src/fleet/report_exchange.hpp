// Exchange of zone reports with the other sidecars: decodes and aggregates what arrives, decides when to send
// and to whom. Does no I/O and reads no clock.
#ifndef MERLINRUN_FLEET_REPORT_EXCHANGE_HPP_
#define MERLINRUN_FLEET_REPORT_EXCHANGE_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/peer_table.hpp"
#include "fleet/report.hpp"
#include "fleet/report_scheduler.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::fleet {

// Received datagrams, each counted once, and sent ones.
struct DatagramCounters {
  std::uint64_t accepted = 0;
  std::uint64_t stale = 0;          // duplicated or out of order
  std::uint64_t wrong_address = 0;  // source address isn't that of the peer it names
  std::uint64_t future_incarnation = 0;
  std::uint64_t malformed = 0;  // not a valid report of this version
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
};

class ReportExchange {
 public:
  struct Outgoing {
    std::vector<std::uint32_t> recipients;
    std::string bytes;
  };

  // `self` is this sidecar's number; `incarnation` its start time, Unix time in milliseconds.
  ReportExchange(ReportSettings settings, std::uint32_t self, std::uint32_t sidecar_count,
                 std::uint64_t incarnation, Micros now, ReportScheduler::Draw draw);

  // `from` is the peer that the source address belongs to, if any.
  void OnDatagram(Micros now, std::optional<std::uint32_t> from, std::string_view bytes);
  // The report to send now and the peers to send it to; no recipients if none is due.
  Outgoing NextReport(Micros now, const std::vector<BalancerSnapshot::Zone>& zone_snapshots,
                      std::uint64_t epoch, std::int64_t generation);
  // What the peers report about a zone.
  ZonePeerSummary Summarize(Micros now, int zone) const { return peer_table_.Summarize(now, zone); }

  const PeerTable& peer_table() const { return peer_table_; }
  const DatagramCounters& counters() const { return counters_; }

 private:
  PeerReport MakeReport(const std::vector<BalancerSnapshot::Zone>& zone_snapshots, std::uint64_t epoch,
                        std::int64_t generation) const;
  // Whether the report can't wait for a regular round: it is the first one, a zone is lost (repeated for
  // kRepeatLossFor), no longer lost or returned to, or a zone answers that peers call lost.
  bool IsUrgent(Micros now, const PeerReport& current) const;
  // A loss is repeated for this long after its last evidence.
  static constexpr Micros kRepeatLossFor = 1'000'000;

  const std::uint32_t self_;
  const std::uint32_t sidecar_count_;
  const std::uint64_t incarnation_;
  PeerTable peer_table_;
  ReportScheduler scheduler_;
  PeerReport last_sent_;
  std::uint64_t sequence_ = 0;
  DatagramCounters counters_;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_REPORT_EXCHANGE_HPP_
