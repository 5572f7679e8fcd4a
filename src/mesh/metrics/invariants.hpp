// Invariants of the running program: named conditions that must hold. A violation is counted as a metric, the
// first of each kind is logged with what was seen, and under tests the process is aborted.
//
// Threading: as prometheus::Counter, and one thread for the rest.
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
  // Admission to a server: while others are passed on, a kind of request that keeps being turned away for
  // want of room gets at least a part of its least share.
  kAdmissionLeastShare,
  // Within one life of a sidecar the configuration in force never gets older.
  kConfigurationMonotonic,
  // Within one life of a core the committed entry never gets older.
  kCommittedEntryMonotonic,
};
inline constexpr std::size_t kInvariantCount = 3;
std::string_view NameOf(Invariant invariant);

class Invariants {
 public:
  enum class OnViolation { kCount, kAbort };

  // `registry` must outlive it.
  Invariants(prometheus::Registry& registry, OnViolation on_violation);

  // `saw`: what was seen, for the log; called for the first violation of each kind alone.
  void Check(Invariant invariant, bool holds, const std::function<std::string()>& saw);
  double violations(Invariant invariant) const;

 private:
  const OnViolation on_violation_;
  std::array<prometheus::Counter*, kInvariantCount> counters_{};
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_INVARIANTS_HPP_
