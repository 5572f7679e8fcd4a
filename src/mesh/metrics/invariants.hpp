// Runtime invariants. A violation is counted in a metric, the first one of each kind is logged with details,
// and in tests the process is aborted. Not thread-safe.
#ifndef FENNELHOLLOW_MESH_METRICS_INVARIANTS_HPP_
#define FENNELHOLLOW_MESH_METRICS_INVARIANTS_HPP_

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace fennelhollow::metrics {

enum class Invariant {
  // Admission control: while a server admits requests, a kind of request that keeps being rejected for lack
  // of capacity still gets at least a part of its minimum share.
  kAdmissionMinimumShare,
  // Within one incarnation of a sidecar the configuration in force never goes back.
  kConfigurationMonotonic,
  // Within one incarnation of a core the committed entry never goes back.
  kCommittedEntryMonotonic,
  // The buffers that peers can fill take no more than their share of the process's memory.
  kBuffersWithinLimits,
};
inline constexpr std::size_t kInvariantCount = 4;
std::string_view NameOf(Invariant invariant);

class Invariants {
 public:
  enum class OnViolation { kCount, kAbort };

  // `registry` must outlive it.
  Invariants(prometheus::Registry& registry, OnViolation on_violation);

  // `describe`: details for the log; called only for the first violation of each kind.
  void Check(Invariant invariant, bool holds, const std::function<std::string()>& describe);
  double violations(Invariant invariant) const;

 private:
  const OnViolation on_violation_;
  std::array<prometheus::Counter*, kInvariantCount> counters_{};
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_INVARIANTS_HPP_
