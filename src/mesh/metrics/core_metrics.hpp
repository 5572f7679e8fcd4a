// Gauges of a core: the state of its replica of the configuration.
#ifndef FENNELHOLLOW_MESH_METRICS_CORE_METRICS_HPP_
#define FENNELHOLLOW_MESH_METRICS_CORE_METRICS_HPP_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

namespace fennelhollow::metrics {

struct CoreMetrics {
  // `registry` must outlive it.
  explicit CoreMetrics(prometheus::Registry& registry);

  prometheus::Gauge& is_leader;              // 1 while this replica is the leader, else 0
  prometheus::Gauge& term;                   // consensus term
  prometheus::Gauge& committed_entry;        // log index of the last committed entry
  prometheus::Gauge& configuration_version;  // version in that entry
  prometheus::Gauge& sidecars;               // that reported recently
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_CORE_METRICS_HPP_
