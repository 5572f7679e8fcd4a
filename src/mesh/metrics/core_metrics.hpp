// Gauges of a core: where its replica of the configuration stands.
#ifndef FENNELHOLLOW_MESH_METRICS_CORE_METRICS_HPP_
#define FENNELHOLLOW_MESH_METRICS_CORE_METRICS_HPP_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace fennelhollow::metrics {

struct CoreMetrics {
  // `registry` must outlive it.
  explicit CoreMetrics(prometheus::Registry& registry);

  prometheus::Gauge& is_leader;              // 1 while this replica is the leader, else 0
  prometheus::Gauge& term;                   // of the consensus
  prometheus::Gauge& committed_entry;        // the last one committed
  prometheus::Gauge& configuration_version;  // of the configuration in that entry
  prometheus::Gauge& sidecars;               // that have been heard of lately
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_CORE_METRICS_HPP_
