// Request metrics in the Prometheus data model: what became of requests, by route and traffic class, and for
// each refusal which hop refused it and why.
//
// Threading: all of it on one thread.
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

// Routes that have a label value of their own; all further ones share kOtherRoutes. Bounds the number of
// series.
inline constexpr std::size_t kMaxRoutes = 256;
inline constexpr std::string_view kOtherRoutes = "other";

// Where a refusal was decided.
enum class Hop { kOutbound, kLastHop, kServer };
std::string_view NameOf(Hop hop);

// What a request is counted by. Empty for a request that matched no route.
struct RequestLabels {
  std::string route;          // name of the route in the configuration
  std::string request_class;  // name of the class that the decision module knows it by
};

class RequestMetrics {
 public:
  // `registry` must outlive it.
  explicit RequestMetrics(prometheus::Registry& registry);

  // A request is over. `result`: a word from a small fixed set, such as "served".
  void OnEnded(const RequestLabels& request, std::string_view result);
  // Counted beside OnEnded. `cause`: a word from a small fixed set.
  void OnRefused(const RequestLabels& request, Hop hop, std::string_view cause);

 private:
  std::string RouteLabel(const std::string& route);

  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  std::set<std::string> routes_;  // at most kMostRoutes
};

}  // namespace fennelhollow::metrics

#endif  // FENNELHOLLOW_MESH_METRICS_REQUEST_METRICS_HPP_
