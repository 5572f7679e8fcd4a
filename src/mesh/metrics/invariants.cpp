#include "mesh/metrics/invariants.hpp"

#include <glog/logging.h>

#include <cstdlib>

namespace fennelhollow::metrics {

std::string_view NameOf(Invariant invariant) {
  switch (invariant) {
    case Invariant::kAdmissionMinimumShare:
      return "admission_least_share";
    case Invariant::kConfigurationMonotonic:
      return "configuration_monotonic";
    case Invariant::kCommittedEntryMonotonic:
      return "committed_entry_monotonic";
    case Invariant::kBuffersWithinLimits:
      return "buffers_within_limits";
  }
  return "unknown";
}

Invariants::Invariants(prometheus::Registry& registry, OnViolation on_violation)
    : on_violation_(on_violation) {
  auto& family = prometheus::BuildCounter()
                     .Name("fennelhollow_invariant_violations_total")
                     .Help("Violations of conditions that must hold")
                     .Register(registry);
  for (std::size_t i = 0; i < kInvariantCount; ++i)
    counters_[i] = &family.Add({{"invariant", std::string(NameOf(static_cast<Invariant>(i)))}});
}

void Invariants::Check(Invariant invariant, bool holds, const std::function<std::string()>& describe) {
  if (holds) return;
  prometheus::Counter& counter = *counters_[static_cast<std::size_t>(invariant)];
  const bool first = counter.Value() == 0;
  counter.Increment();
  if (first) LOG(ERROR) << "invariant " << NameOf(invariant) << " is violated: " << describe();
  if (on_violation_ == OnViolation::kAbort) std::abort();
}

double Invariants::violations(Invariant invariant) const {
  return counters_[static_cast<std::size_t>(invariant)]->Value();
}

}  // namespace fennelhollow::metrics
