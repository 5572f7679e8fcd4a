// The operators' form, inside configuration only: read, checked, and its items as values. Free of I/O.
#ifndef FENNELHOLLOW_MESH_CONFIGURATION_DOCUMENT_HPP_
#define FENNELHOLLOW_MESH_CONFIGURATION_DOCUMENT_HPP_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/configuration.hpp"

namespace fennelhollow::configuration {

// All items of one configuration; targets of weight 0 are still in.
struct Resources {
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;
  Limits limits;
};

// A JSON object, its members sorted. kInvalidArgument if it is none, is cut short, or is nested or filled
// beyond what any configuration is (dumping and copying recurse).
absl::StatusOr<nlohmann::json> ParseObject(std::string_view text);

// All that can be said of a call by itself; kInvalidArgument with one plain line. `call` has been through
// settings::Normalize.
absl::Status CheckCall(bool modify, const nlohmann::json& call);

// The items of a configuration whose form was checked (and normalized); throws nlohmann::json::exception if
// it was not.
Resources ParseResources(const nlohmann::json& configuration);

// What joins items: services that routes name, keys, hosts and prefixes. kInvalidArgument with one plain
// line.
absl::Status CheckReferences(const Resources& items);

// The name of an item in one list with all others; "limits" has one item whatever its name. `Json` may be
// ordered.
template <class Json>
std::string ResourceId(const Json& item) {
  const std::string kind = item.at("resourceKind").template get<std::string>();
  return kind == "limits" ? kind : kind + "/" + item.at("metadata").at("name").template get<std::string>();
}

// Without its port.
std::string_view HostWithoutPort(std::string_view host);

}  // namespace fennelhollow::configuration

#endif  // FENNELHOLLOW_MESH_CONFIGURATION_DOCUMENT_HPP_
