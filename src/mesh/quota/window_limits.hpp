// What the Limiter and the ShareAllocator have to agree on.
#ifndef FENNELHOLLOW_MESH_QUOTA_WINDOW_LIMITS_HPP_
#define FENNELHOLLOW_MESH_QUOTA_WINDOW_LIMITS_HPP_

#include <algorithm>
#include <cstddef>

#include "mesh/quota/quota.hpp"

namespace fennelhollow::quota {

// Kept from the bound: for numbers of sidecars that are told late, and for a process killed at its fullest.
inline constexpr double kKept = 0.06;
// Of the bound, for all sidecars together, without a lease. More would serve longer without a holder, but
// leave less than the limit to a single sidecar that has all of the demand.
inline constexpr double kBasePart = 0.2;
// A window into which a predecessor may have put requests opens with this part, the rest by the clock.
inline constexpr double kFreshPart = 0.1;

// Requests of a tenant that all sidecars may let in within a window.
inline double WindowBound(const QuotaBounds& bounds, const TenantLimit& limit) {
  const double bound =
      (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.overshoot) + bounds.slack;
  return bound * (1 - kKept);
}

inline double BasePart(const QuotaBounds& bounds, const TenantLimit& limit, std::size_t sidecars) {
  return WindowBound(bounds, limit) * kBasePart / static_cast<double>(std::max<std::size_t>(sidecars, 1));
}

inline double FreshPart(Micros age, Micros window) {
  return std::clamp(kFreshPart + (1 - kFreshPart) * static_cast<double>(age) / static_cast<double>(window),
                    0.0, 1.0);
}

}  // namespace fennelhollow::quota

#endif  // FENNELHOLLOW_MESH_QUOTA_WINDOW_LIMITS_HPP_
