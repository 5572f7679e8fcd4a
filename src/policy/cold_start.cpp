#include "policy/cold_start.hpp"

#include <algorithm>

#include "policy/window.hpp"

namespace merlinrun {
namespace {

// The part of the multiple that a young server bears which it may be given: one may be a third slower.
constexpr double kYoungPart = 0.75;

}  // namespace

double ColdStart::Warmth(const Server& server) const {
  // A zone that answers again may have started anew before the list tells it.
  const Micros started = std::max(server.info.started, c_.zones.ReturnedAt(c_.now, server.info.zone));
  const Micros age = c_.now - started;
  if (started == 0 || age >= c_.set.warmup_time) return 1;
  const double grown =
      static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(c_.set.warmup_time);
  return c_.set.cold_start_capacity + (1 - c_.set.cold_start_capacity) * grown;
}

// Its share of what this sidecar is *served* by a server on average, and one more for each quick answer of
// its own. Guards against an idle newcomer that every sidecar prefers at once.
bool ColdStart::Accept(Server& server) {
  const double warmth = Warmth(server);
  if (warmth >= 1) return true;
  const double served_each = static_cast<double>(served_ - server.served_then) /
                             static_cast<double>(Width(c_.pools[server.pool], c_.set));
  server.young_credit = std::min(
      1.0, server.young_credit + warmth * served_each * std::max(1.0, kYoungPart * c_.set.overload_factor));
  server.served_then = served_;
  if (server.young_credit < 1) return false;
  server.young_credit -= 1;
  return true;
}

}  // namespace merlinrun
