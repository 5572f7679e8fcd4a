// When a sidecar speaks, and to whom: few random others once in a while, more at once when there is news,
// under a bound of its own on bytes whatever the size of the fleet. Free of I/O, clock and chance of its own.
#ifndef MERLINRUN_FLEET_REPORT_SCHEDULER_HPP_
#define MERLINRUN_FLEET_REPORT_SCHEDULER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::fleet {

struct ReportSettings {
  Micros every = 1'000'000;   // between two rounds without news, in the mean
  std::size_t usual = 4;      // others that a round goes to
  std::size_t news = 16;      // the same, of a round with news
  double bytes_per_s = 2000;  // at most, in the long run; a burst of two seconds' worth may come first
};

class ReportScheduler {
 public:
  // Returns a number from 0 to under the given one.
  using Draw = std::function<std::uint64_t(std::uint64_t)>;
  ReportScheduler(ReportSettings settings, std::uint32_t own, std::uint32_t siblings, Micros now, Draw draw);

  bool Due(Micros now, bool news) const;
  // A round begins now if it is due. Returns those it goes to, distinct and never this sidecar;
  // none if it is not due, or the bytes are spent.
  std::vector<std::uint32_t> Round(Micros now, bool news, std::size_t bytes_each);

 private:
  // Two rounds with news are so far apart at least: what changes within is told together.
  static constexpr Micros kBreath = 300'000;
  static constexpr double kBurst = 2;  // seconds

  const ReportSettings manners_;
  const std::uint32_t own_;
  const std::uint32_t siblings_;
  const Draw draw_;
  Micros next_;       // the next round without news
  Micros last_ = -1;  // the last round; -1 = none yet
  Micros filled_at_;  // of the purse
  double purse_;      // bytes that may be spent
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_REPORT_SCHEDULER_HPP_
