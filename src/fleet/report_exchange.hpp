// A sidecar's part in what the fleet tells one another: puts words, members and speaker together. Free of I/O
// and clock; what it decides is said by datagrams that it returns, and by what zones are told.
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

// What became of datagrams that came. Each is counted once.
struct DatagramCounters {
  std::uint64_t accepted = 0;
  std::uint64_t stale = 0;          // late, doubled or out of order
  std::uint64_t wrong_address = 0;  // not from the address of the peer that it names
  std::uint64_t future_incarnation = 0;
  std::uint64_t malformed = 0;  // cut, too long, of another version, or no words at all
  std::uint64_t sent = 0;
  std::uint64_t sent_bytes = 0;
};

class ReportExchange {
 public:
  struct Saying {
    std::vector<std::uint32_t> to;
    std::string bytes;
  };

  // `incarnation`: Unix time of this start, milliseconds.
  ReportExchange(ReportSettings settings, std::uint32_t own, std::uint32_t siblings,
                 std::uint64_t incarnation, Micros now, ReportScheduler::Draw draw);

  // A datagram from the address of that peer; none: from no peer's.
  void Hear(Micros now, std::optional<std::uint32_t> from, std::string_view bytes);
  // What is to be said now, given what this sidecar itself has met; nobody to say it to if nothing is.
  Saying Say(Micros now, const std::vector<BalancerSnapshot::Zone>& own, std::uint64_t epoch,
             std::int64_t generation);
  // What others say of a zone.
  ZonePeerReport Of(Micros now, int zone) const { return peer_table_.Of(now, zone); }

  const PeerTable& peer_table() const { return peer_table_; }
  const DatagramCounters& counters() const { return counters_; }

 private:
  PeerReport Own(const std::vector<BalancerSnapshot::Zone>& own, std::uint64_t epoch,
                 std::int64_t generation) const;
  // What others act on: who calls which zone lost, and which stage it is in.
  bool News(Micros now, const PeerReport& own) const;
  // A loss is told again and again for so long after its last sign.
  static constexpr Micros kTellFor = 1'000'000;

  const std::uint32_t own_;
  const std::uint32_t siblings_;
  const std::uint64_t incarnation_;
  PeerTable peer_table_;
  ReportScheduler scheduler_;
  PeerReport said_;
  std::uint64_t sequence_ = 0;
  DatagramCounters counters_;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_REPORT_EXCHANGE_HPP_
