// Flows: the kinds of requests that share a server fairly.
#ifndef FENNELHOLLOW_MESH_INGRESS_FLOW_HPP_
#define FENNELHOLLOW_MESH_INGRESS_FLOW_HPP_

#include <compare>
#include <string>

namespace fennelhollow::ingress {

// Requests of one route and one priority. A tenant's priority may differ from the route's.
struct Flow {
  std::string route;  // its name in the configuration
  int priority = 0;   // 0 is highest
  auto operator<=>(const Flow&) const = default;
};

// Of the time of a server's slots that its queue gives out, the part that is shared out fairly between the
// flows that wait. The rest goes to whoever is due first.
inline constexpr double kLeastShare = 0.125;

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FLOW_HPP_
