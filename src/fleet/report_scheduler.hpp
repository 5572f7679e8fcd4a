// Decides when reports are sent and to which peers: a few random ones at an interval, more at once for urgent
// reports, within a token bucket of bytes. Does no I/O and reads no clock.
#ifndef MERLINRUN_FLEET_REPORT_SCHEDULER_HPP_
#define MERLINRUN_FLEET_REPORT_SCHEDULER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::fleet {

struct ReportSettings {
  Micros interval = 1'000'000;     // mean time between regular rounds
  std::size_t fanout = 4;          // recipients of a regular round
  std::size_t urgent_fanout = 16;  // recipients of an urgent round
  double bytes_per_s = 2000;       // token bucket rate; the burst is two seconds' worth
};

class ReportScheduler {
 public:
  // Returns a random number in [0, bound).
  using Draw = std::function<std::uint64_t(std::uint64_t)>;
  ReportScheduler(ReportSettings settings, std::uint32_t self, std::uint32_t sidecar_count, Micros now,
                  Draw draw);

  bool Due(Micros now, bool urgent) const;
  // Starts a round if one is due. Returns distinct recipients, never this sidecar; none if no round is due or
  // the bytes are used up.
  std::vector<std::uint32_t> StartRound(Micros now, bool urgent, std::size_t bytes_each);

 private:
  // Minimum time between urgent rounds; changes within it go out together.
  static constexpr Micros kMinUrgentInterval = 300'000;
  static constexpr double kBurstSeconds = 2;

  const ReportSettings settings_;
  const std::uint32_t self_;
  const std::uint32_t sidecar_count_;
  const Draw draw_;
  Micros next_round_;       // next regular round
  Micros last_round_ = -1;  // last round; -1 if none yet
  Micros refilled_at_;      // last refill of `tokens_`
  double tokens_;           // bytes that may be sent
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_REPORT_SCHEDULER_HPP_
