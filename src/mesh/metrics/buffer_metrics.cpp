#include "mesh/metrics/buffer_metrics.hpp"

#include "mesh/metrics/gauge.hpp"

namespace fennelhollow::metrics {

BufferMetrics::BufferMetrics(prometheus::Registry& registry)
    : small_bytes_(AddGauge(registry, "fennelhollow_small_buffer_bytes",
                            "Memory of connections that buffer little, as ordinary requests do")),
      large_bytes_(AddGauge(registry, "fennelhollow_large_buffer_bytes",
                            "Memory of connections and attempts that buffer more")),
      small_limit_(AddGauge(registry, "fennelhollow_small_buffer_limit_bytes", "Limit of the small buffers")),
      large_limit_(AddGauge(registry, "fennelhollow_large_buffer_limit_bytes", "Limit of the large buffers")),
      evicted_connections_(
          AddGauge(registry, "fennelhollow_evicted_connections",
                   "Client connections reset for lack of memory or places, since the start")) {}

void BufferMetrics::Update(const memory::BufferAccount& account, std::uint64_t evicted_connections) {
  small_bytes_.Set(static_cast<double>(account.charged(memory::BufferAccount::Pool::kSmall)));
  large_bytes_.Set(static_cast<double>(account.charged(memory::BufferAccount::Pool::kLarge)));
  small_limit_.Set(static_cast<double>(account.limits().small));
  large_limit_.Set(static_cast<double>(account.limits().large));
  evicted_connections_.Set(static_cast<double>(evicted_connections));
}

}  // namespace fennelhollow::metrics
