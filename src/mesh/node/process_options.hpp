// Command line options of a node process.
#ifndef FENNELHOLLOW_MESH_NODE_PROCESS_OPTIONS_HPP_
#define FENNELHOLLOW_MESH_NODE_PROCESS_OPTIONS_HPP_

#include "mesh/metrics/invariants.hpp"
#include "mesh/node/metrics_endpoint.hpp"

namespace fennelhollow::node {

struct ProcessOptions {
  MetricsAddress metrics;
  int report_interval_s = 0;  // of the status in the log; 0: never
  metrics::Invariants::OnViolation on_violation = metrics::Invariants::OnViolation::kCount;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_PROCESS_OPTIONS_HPP_
