// Prometheus metrics of requests: results by route and traffic class, and refusals by the hop that refused
// and the cause. Not thread-safe.
#ifndef FENNELHOLLOW_MESH_METRICS_REQUEST_METRICS_HPP_
#define FENNELHOLLOW_MESH_METRICS_REQUEST_METRICS_HPP_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/registry.h>

#include <cstddef>
#include <set>
#include <string>
#include <string_view>

namespace fennelhollow::metrics {

// Bounds the number of series: routes beyond this number share the label value kOtherRoutes.
inline constexpr std::size_t kMaxRoutes = 256;
inline constexpr std::string_view kOtherRoutes = "other";

// Where a request was refused: at the outbound proxy, at the inbound proxy in front of the server, or by the
// server itself.
enum class Hop { kOutbound, kLastHop, kServer };
std::string_view NameOf(Hop hop);

// Labels of a request; empty if it matched no route.
struct RequestLabels {
  std::string route;          // name of the route in the configuration
  std::string request_class;  // name of its traffic class in the load balancer
};

class RequestMetrics {
 public:
  // `registry` must outlive it.
  explicit RequestMetrics(prometheus::Registry& registry);

  // Counts a finished request. `result`: one of a small fixed set, such as "served".
  void OnEnded(const RequestLabels& request, std::string_view result);
  // Counts a refusal, in addition to OnEnded. `cause`: one of a small fixed set.
  void OnRefused(const RequestLabels& request, Hop hop, std::string_view cause);

 private:
  std::string RouteLabel(const std::string& route);

  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  std::set<std::string> routes_;  // at most kMaxRoutes
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_REQUEST_METRICS_HPP_
