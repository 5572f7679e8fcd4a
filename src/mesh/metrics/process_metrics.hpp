// What the process takes of the resources that the kernel may limit, under the names that Prometheus clients
// use.
#ifndef FENNELHOLLOW_MESH_METRICS_PROCESS_METRICS_HPP_
#define FENNELHOLLOW_MESH_METRICS_PROCESS_METRICS_HPP_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstdint>

namespace fennelhollow::metrics {

// In bytes and descriptors. A limit of 0: unlimited; other values of 0: unknown.
struct ProcessUsage {
  std::uint64_t resident_bytes = 0, address_space_bytes = 0, descriptors = 0;
  std::uint64_t address_space_limit = 0, descriptor_limit = 0, file_size_limit = 0;
};
ProcessUsage ReadProcessUsage();

class ProcessMetrics {
 public:
  // `registry` must outlive it.
  explicit ProcessMetrics(prometheus::Registry& registry);
  // Reads the usage; to be called before each scrape.
  void Update();

 private:
  prometheus::Gauge& resident_bytes_;
  prometheus::Gauge& address_space_bytes_;
  prometheus::Gauge& descriptors_;
  prometheus::Gauge& address_space_limit_;
  prometheus::Gauge& descriptor_limit_;
  prometheus::Gauge& file_size_limit_;
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_PROCESS_METRICS_HPP_
