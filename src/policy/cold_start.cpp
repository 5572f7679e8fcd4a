#include "policy/cold_start.hpp"

#include <algorithm>

#include "policy/window.hpp"

namespace merlinrun {
namespace {

// Used share of Settings::overload_factor: a server may be a third slower than others.
constexpr double kOverloadShare = 0.75;

}  // namespace

double ColdStart::CapacityShare(const Server& server) const {
  // The servers of a returning zone may have restarted before the list shows it.
  const Micros started = std::max(server.info.started, c_.zones.ReturnedAt(c_.now, server.info.zone));
  const Micros age = c_.now - started;
  if (started == 0 || age >= c_.set.warmup_time) return 1;
  const double progress =
      static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(c_.set.warmup_time);
  return c_.set.cold_start_capacity + (1 - c_.set.cold_start_capacity) * progress;
}

// Grows with the mean successes per server and the capacity share: not all sidecars pick a new idle server.
bool ColdStart::Accept(Server& server) {
  const double capacity = CapacityShare(server);
  if (capacity >= 1) return true;
  const double served = static_cast<double>(served_ - server.served_at_refill) /
                        static_cast<double>(Width(c_.pools[server.pool], c_.set));
  server.cold_start_credit =
      std::min(1.0, server.cold_start_credit +
                        capacity * served * std::max(1.0, kOverloadShare * c_.set.overload_factor));
  server.served_at_refill = served_;
  if (server.cold_start_credit < 1) return false;
  server.cold_start_credit -= 1;
  return true;
}

}  // namespace merlinrun
