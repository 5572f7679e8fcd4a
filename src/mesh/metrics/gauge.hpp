// Gauges without labels.
#ifndef FENNELHOLLOW_MESH_METRICS_GAUGE_HPP_
#define FENNELHOLLOW_MESH_METRICS_GAUGE_HPP_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <string>

namespace fennelhollow::metrics {

// Owned by `registry`.
inline prometheus::Gauge& AddGauge(prometheus::Registry& registry, const std::string& name,
                                   const std::string& help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_GAUGE_HPP_
