// Share of the usual server capacity that is currently reachable. Servers count by their warm-up progress;
// those in ejected zones do not count.
#ifndef MERLINRUN_ZONES_CAPACITY_HPP_
#define MERLINRUN_ZONES_CAPACITY_HPP_

#include <algorithm>
#include <cmath>

#include "merlinrun/balancer.hpp"

namespace merlinrun::zones {

class Capacity {
 public:
  // Maximum age of the value.
  static constexpr Micros kRefreshInterval = 50'000;

  bool NeedsRefresh(Micros now) const { return invalidated_ || now - updated_at_ >= kRefreshInterval; }
  // Forces a refresh: the server list or a zone stage has changed.
  void Invalidate() { invalidated_ = true; }

  void Update(Micros now, double servers) {
    // The usual capacity is the maximum, decayed over kUsualDecay as fleets also shrink intentionally.
    const double decayed =
        updated_at_ < 0 ? 0 : usual_ * std::exp(-static_cast<double>(now - updated_at_) / kUsualDecay);
    usual_ = std::max(servers, decayed);
    reachable_ = servers;
    updated_at_ = now;
    invalidated_ = false;
  }
  // From 0 to 1; 1 before the first update.
  double Share() const { return usual_ > 0 ? reachable_ / usual_ : 1; }

 private:
  // Longer than an outage, so that reduced capacity does not become the usual value during it.
  static constexpr double kUsualDecay = 60e6;
  bool invalidated_ = true;
  Micros updated_at_ = -1;
  double reachable_ = 0;
  double usual_ = 0;
};

}  // namespace merlinrun::zones

#endif  // MERLINRUN_ZONES_CAPACITY_HPP_
