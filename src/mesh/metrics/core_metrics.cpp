#include "mesh/metrics/core_metrics.hpp"

#include "mesh/metrics/gauge.hpp"

namespace fennelhollow::metrics {

CoreMetrics::CoreMetrics(prometheus::Registry& registry)
    : is_leader(AddGauge(registry, "fennelhollow_core_leads", "1 while this replica is the leader")),
      term(AddGauge(registry, "fennelhollow_core_term", "Term of the consensus")),
      committed_entry(
          AddGauge(registry, "fennelhollow_core_committed_entry", "Number of the last committed entry")),
      configuration_version(AddGauge(registry, "fennelhollow_core_configuration_version",
                                     "Version in the last committed entry")),
      sidecars(AddGauge(registry, "fennelhollow_core_sidecars", "Sidecars that were heard of lately")) {}

}  // namespace fennelhollow::metrics
