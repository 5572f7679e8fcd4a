// Flows: the classes of requests between which a server's capacity is shared fairly.
#ifndef FENNELHOLLOW_MESH_INGRESS_FLOW_HPP_
#define FENNELHOLLOW_MESH_INGRESS_FLOW_HPP_

#include <compare>
#include <string>

namespace fennelhollow::ingress {

// Requests of one route and one priority. A tenant's priority may override the route's.
struct Flow {
  std::string route;  // its name in the configuration
  int priority = 0;   // 0 is highest
  auto operator<=>(const Flow&) const = default;
};

// Fraction of the queue's capacity that is divided fairly between the waiting flows. The rest is served
// earliest due first.
inline constexpr double kMinimumShare = 0.125;

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_FLOW_HPP_
