// Parsing and validation of the JSON configuration document and of the calls that change it. Internal to this
// folder.
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

// All resources of one configuration, including targets of weight 0.
struct Resources {
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<Tenant> tenants;
  Limits limits;
};

// Parses a JSON object; its members are sorted. kInvalidArgument if it is malformed, no object, or exceeds
// the limits on nesting and members (dumping and copying recurse).
absl::StatusOr<nlohmann::json> ParseObject(std::string_view text);

// Validates a call by itself; kInvalidArgument with a one-line reason. Expects the output of
// settings::Normalize.
absl::Status CheckCall(bool modify, const nlohmann::json& call);

// Expects a validated and normalized configuration; throws nlohmann::json::exception otherwise.
Resources ParseResources(const nlohmann::json& configuration);

// Validates across resources: routes name existing services; access keys, and pairs of host and prefix, are
// unique. kInvalidArgument with a one-line reason.
absl::Status CheckReferences(const Resources& resources);

// The id of a resource, unique over all kinds: "kind/name", or "limits", of which there is only one. `Json`:
// json or ordered_json.
template <class Json>
std::string ResourceId(const Json& resource) {
  const std::string kind = resource.at("resourceKind").template get<std::string>();
  return kind == "limits" ? kind
                          : kind + "/" + resource.at("metadata").at("name").template get<std::string>();
}

std::string_view HostWithoutPort(std::string_view host);

}  // namespace fennelhollow::configuration

#endif  // FENNELHOLLOW_MESH_CONFIGURATION_DOCUMENT_HPP_
