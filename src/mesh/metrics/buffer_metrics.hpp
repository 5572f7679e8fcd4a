// What a sidecar's buffers take of the memory that they may take, and the connections that were reset for it.
#ifndef FENNELHOLLOW_MESH_METRICS_BUFFER_METRICS_HPP_
#define FENNELHOLLOW_MESH_METRICS_BUFFER_METRICS_HPP_

#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstdint>

#include "mesh/memory/buffer_account.hpp"

namespace fennelhollow::metrics {

class BufferMetrics {
 public:
  // `registry` must outlive it.
  explicit BufferMetrics(prometheus::Registry& registry);
  // To be called before each scrape.
  void Update(const memory::BufferAccount& account, std::uint64_t evicted_connections);

 private:
  prometheus::Gauge& small_bytes_;
  prometheus::Gauge& large_bytes_;
  prometheus::Gauge& small_limit_;
  prometheus::Gauge& large_limit_;
  prometheus::Gauge& evicted_connections_;
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_BUFFER_METRICS_HPP_
