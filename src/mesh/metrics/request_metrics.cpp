#include "mesh/metrics/request_metrics.hpp"

namespace fennelhollow::metrics {

std::string_view NameOf(Hop hop) {
  switch (hop) {
    case Hop::kOutbound:
      return "outbound";
    case Hop::kLastHop:
      return "last_hop";
    case Hop::kServer:
      return "server";
  }
  return "unknown";
}

RequestMetrics::RequestMetrics(prometheus::Registry& registry)
    : requests_(prometheus::BuildCounter()
                    .Name("fennelhollow_requests_total")
                    .Help("Requests that are over, by route, traffic class and result")
                    .Register(registry)),
      refusals_(
          prometheus::BuildCounter()
              .Name("fennelhollow_refusals_total")
              .Help("Refused requests, by route, traffic class, the hop that refused them and its cause")
              .Register(registry)) {}

std::string RequestMetrics::RouteLabel(const std::string& route) {
  if (route.empty() || routes_.contains(route)) return route;
  if (routes_.size() >= kMaxRoutes) return std::string(kOtherRoutes);
  routes_.insert(route);
  return route;
}

void RequestMetrics::OnEnded(const RequestLabels& request, std::string_view result) {
  requests_
      .Add({{"route", RouteLabel(request.route)},
            {"class", request.request_class},
            {"result", std::string(result)}})
      .Increment();
}

void RequestMetrics::OnRefused(const RequestLabels& request, Hop hop, std::string_view cause) {
  refusals_
      .Add({{"route", RouteLabel(request.route)},
            {"class", request.request_class},
            {"hop", std::string(NameOf(hop))},
            {"cause", std::string(cause)}})
      .Increment();
}

}  // namespace fennelhollow::metrics
