// Limits on requests in a window, shared by Limiter and ShareAllocator.
#ifndef FENNELHOLLOW_MESH_QUOTA_WINDOW_LIMITS_HPP_
#define FENNELHOLLOW_MESH_QUOTA_WINDOW_LIMITS_HPP_

#include <algorithm>
#include <cstddef>

#include "mesh/quota/quota.hpp"

namespace fennelhollow::quota {

// Fraction of the bound that is left unused, to cover outdated sidecar counts and killed processes.
inline constexpr double kSafetyMargin = 0.06;
// Fraction of the bound that all sidecars together may admit without a lease. A higher value would serve more
// requests while there is no leader, but leave less for a single sidecar that has all of the demand.
inline constexpr double kBaseFraction = 0.2;
// Fraction of the allowance available right after a start. It grows to the whole within a window, because a
// previous process may have admitted requests in the current one.
inline constexpr double kInitialFraction = 0.1;

// Requests of a tenant that all sidecars together may admit in a window.
inline double WindowBound(const QuotaBounds& bounds, const TenantLimit& limit) {
  const double bound =
      (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.overshoot) + bounds.slack;
  return bound * (1 - kSafetyMargin);
}

// Requests that each sidecar may admit in a window without a lease.
inline double BaseAllowance(const QuotaBounds& bounds, const TenantLimit& limit, std::size_t sidecars) {
  return WindowBound(bounds, limit) * kBaseFraction / static_cast<double>(std::max<std::size_t>(sidecars, 1));
}

// Fraction of the allowance that is available at this age of the process or leadership.
inline double StartupFraction(Micros age, Micros window) {
  return std::clamp(
      kInitialFraction + (1 - kInitialFraction) * static_cast<double>(age) / static_cast<double>(window), 0.0,
      1.0);
}

}  // namespace fennelhollow::quota

#endif  // FENNELHOLLOW_MESH_QUOTA_WINDOW_LIMITS_HPP_
