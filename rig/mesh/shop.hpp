// What the stand-ins around the mesh's real program agree on: one host with two routes to two services, and
// requests on them.
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

// An entry of a configuration's resourceList. `name` empty: it has none.
nlohmann::json ConfigurationItem(const char* kind, const std::string& name, nlohmann::json specification);
// A route /NAME/ with an aim of 300 ms, priority 1, and two attempts within 2 s.
nlohmann::json ConfigurationRoute(const std::string& name, const char* kind, const std::string& service);
// Version 3, the first one: safe /plans/ and unsafe /orders/.
nlohmann::json FirstConfiguration();

// The id of a client's n-th try, unlike those of all others.
std::string AttemptId(std::uint64_t n);
// A request on /plans/ or /orders/, or on another path.
Request ShopRequest(bool unsafe, const std::string& path, const std::string& id, milliseconds deadline);

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_SHOP_HPP_
