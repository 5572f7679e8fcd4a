// Matches a request to its route and tenant, and derives what the proxy needs from them. No I/O.
#ifndef FENNELHOLLOW_MESH_EGRESS_LOOKUP_HPP_
#define FENNELHOLLOW_MESH_EGRESS_LOOKUP_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/configuration/configuration.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::egress {

using merlinrun::Micros;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct RouteMatch {
  enum class Kind {
    kMatched,
    kMalformed,  // 400
    kNoRoute,    // 404
    kNoKey,      // 401
  } kind = Kind::kNoRoute;
  const configuration::Route* route = nullptr;    // set with kMatched; owned by the tables
  const configuration::Tenant* tenant = nullptr;  // null if the request has no tenant
  std::string id;                                 // value of Attempt-Id
  std::optional<std::int64_t> deadline_ms;        // value of Deadline-Remaining
  bool safe = false;                              // safe to execute more than once
  int priority = 0;                               // 0 is highest
};

RouteMatch MatchRoute(const configuration::RoutingTables& tables, std::string_view host,
                      std::string_view target, const Headers& headers);

// The headers to send to the server. Headers that the proxies set themselves are removed or replaced.
Headers ForwardedHeaders(const Headers& headers, std::string_view host, const RouteMatch& match,
                         std::string_view calling_service);

// Picks a target by weight; `unit` is a random number in [0, 1).
const std::string& PickService(const configuration::Route& route, double unit);

// The rank of a sidecar for the balancer's subset selection, with the sidecars of each service spread evenly
// over all ranks. Ranks by name alone would give the sidecars of a service adjacent, overlapping subsets and
// overload some servers. `sidecars` is sorted by name; a sidecar that is not in it ranks last.
std::size_t InterleavedRank(const std::vector<registry::Sidecar>& sidecars, std::string_view name);

// The balancer's request classes. They are fixed at its start, while routes change, so the classes form a
// grid over repeatability, priority and latency target. A route belongs to the class with the nearest target.
std::vector<merlinrun::RequestClass> RequestClasses();
int RequestClassOf(const RouteMatch& match);
// For example "safe-2-300": repeatability, priority and latency target in milliseconds.
const std::string& RequestClassName(int request_class);

}  // namespace fennelhollow::egress

#endif  // FENNELHOLLOW_MESH_EGRESS_LOOKUP_HPP_
