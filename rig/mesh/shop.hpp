// Example application of the mesh tests: one host with two routes to two services.
#ifndef FENNELHOLLOW_RIG_MESH_SHOP_HPP_
#define FENNELHOLLOW_RIG_MESH_SHOP_HPP_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig {

inline constexpr const char* kHost = "shop.example";
inline constexpr const char* kPlanService = "tariffs";
inline constexpr const char* kOrderService = "activation";

// An item of a configuration's resourceList, without a name if `name` is empty.
nlohmann::json ConfigurationItem(const char* kind, const std::string& name, nlohmann::json specification);
// A route /NAME/ with a target latency of 300 ms, priority 1 and two attempts within 2 s.
nlohmann::json ConfigurationRoute(const std::string& name, const char* kind, const std::string& service);
// The initial configuration, version 3: safe /plans/ and unsafe /orders/.
nlohmann::json FirstConfiguration();

// A unique id for the n-th request.
std::string AttemptId(std::uint64_t n);
// A request on /plans/, /orders/ or another path.
Request ShopRequest(bool unsafe, const std::string& path, const std::string& id, milliseconds deadline);

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_SHOP_HPP_
