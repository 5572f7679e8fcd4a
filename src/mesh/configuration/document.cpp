#include "mesh/configuration/document.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>
#include <unordered_set>

#include "mesh/settings/schema.hpp"

namespace fennelhollow::configuration {
namespace {

using nlohmann::json;
using settings::Schema;

constexpr int kMaxDepth = 64;              // nesting in a call
constexpr std::size_t kMaxMembers = 4096;  // of one object: lookup in ordered objects is linear
constexpr double kMaxTargetOverTimeoutMs = 60000;

constexpr std::string_view kCallSchema = R"json({
  "description": "an object", "type": "object", "required": ["version"],
  "properties": {
    "version": {
      "description": "a whole number of 1 or more", "type": "integer", "minimum": 1, "maximum": 9007199254740992
    },
    "baseVersion": {
      "description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 9007199254740992
    }
  }
})json";

constexpr std::string_view kReplaceSchema = R"json({
  "description": "an object", "type": "object", "required": ["resourceList"],
  "properties": {"resourceList": {"description": "a list of items", "type": "array"}}
})json";

constexpr std::string_view kModifySchema = R"json({
  "description": "an object", "type": "object",
  "properties": {
    "upsert": {
      "description": "an object with a resourceList", "type": "object",
      "properties": {"resourceList": {"description": "a list of items", "type": "array"}}
    },
    "remove": {
      "description": "an object of lists of names", "type": "object",
      "additionalProperties": {
        "description": "a list of names", "type": "array", "items": {"description": "a name", "type": "string"}
      }
    }
  }
})json";

// The schema of a resource whose specification has the schema `specification`.
Schema* ResourceSchema(std::string_view specification, bool named) {
  json schema = json::parse(R"json({
    "description": "an object", "type": "object", "required": ["specification"],
    "properties": {
      "metadata": {
        "description": "an object with a name", "type": "object",
        "properties": {"name": {"description": "a name", "type": "string", "minLength": 1}}
      }
    }
  })json");
  schema["properties"]["specification"] = json::parse(specification);
  if (named) {
    schema["required"].push_back("metadata");
    schema["properties"]["metadata"]["required"] = {"name"};
  }
  return new Schema(schema.dump());
}

constexpr std::string_view kRouteSchema = R"json({
  "description": "an object", "type": "object", "required": ["host", "pathPrefix"],
  "properties": {
    "host": {"description": "a host name", "type": "string", "minLength": 1},
    "pathPrefix": {"description": "a path that begins and ends with a slash", "type": "string", "minLength": 1},
    "kind": {"description": "safe, unsafe or download", "enum": ["safe", "unsafe", "download"]},
    "timeoutMs": {
      "description": "a number from 0 to 600000 (ten minutes)", "type": "number", "minimum": 0, "maximum": 600000
    },
    "targetLatencyMs": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12},
    "priority": {"description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 1e9},
    "attempts": {"description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 1e9},
    "public": {"description": "true or false", "type": "boolean"},
    "service": {"description": "a name", "type": "string", "minLength": 1},
    "trafficSplit": {
      "description": "a list of services and weights", "type": "array",
      "items": {
        "description": "an object with a service and a weight", "type": "object", "required": ["service"],
        "properties": {
          "service": {"description": "a name", "type": "string", "minLength": 1},
          "weight": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12}
        }
      }
    }
  }
})json";

constexpr std::string_view kServiceSchema = R"json({
  "description": "an object", "type": "object",
  "properties": {
    "healthPath": {"description": "a path", "type": "string"},
    "connectionLimit": {
      "description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 2e9
    }
  }
})json";

constexpr std::string_view kTenantSchema = R"json({
  "description": "an object", "type": "object",
  "properties": {
    "accessKeys": {
      "description": "a list of keys", "type": "array", "writeOnly": true,
      "items": {"description": "a key", "type": "string", "minLength": 1}
    },
    "priority": {"description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 1e9},
    "ratePerS": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12},
    "burst": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12}
  }
})json";

constexpr std::string_view kLimitsSchema = R"json({
  "description": "an object", "type": "object",
  "properties": {
    "maximumHeaderBytes": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e15},
    "maximumBodyBytes": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e15},
    "headerTimeoutMs": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12},
    "idleTimeoutMs": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12}
  }
})json";

absl::Status Invalid(const std::string& path, const std::string& found, const std::string& expected) {
  return absl::InvalidArgumentError(absl::StrCat(path, ": found ", found, ", wanted ", expected));
}

std::string Quote(const std::string& text) { return absl::StrCat("\"", settings::PrintableLine(text), "\""); }

// Null if there is no such member.
const json* FindMember(const json& object, const char* name) {
  const auto at = object.find(name);
  return at == object.end() ? nullptr : &*at;
}

double NumberOr(const json& object, const char* name, double fallback) {
  const json* at = FindMember(object, name);
  return at == nullptr ? fallback : at->get<double>();
}

std::string StringOrEmpty(const json& object, const char* name) {
  const json* at = FindMember(object, name);
  return at == nullptr ? std::string() : at->get<std::string>();
}

// Validates what a JSON schema can't express: rules between the fields of one route.
absl::Status CheckRoute(const json& route, const std::string& path) {
  const std::string prefix = StringOrEmpty(route, "pathPrefix");
  if (prefix.front() != '/' || prefix.back() != '/') {
    return Invalid(path + ".pathPrefix", Quote(prefix), "a path that begins and ends with a slash");
  }
  const double target = NumberOr(route, "targetLatencyMs", 0);
  if (route.contains("timeoutMs") && target >= NumberOr(route, "timeoutMs", 0) + kMaxTargetOverTimeoutMs) {
    return Invalid(path + ".targetLatencyMs", route["targetLatencyMs"].dump(),
                   absl::StrCat("less than a minute over its timeoutMs of ", route["timeoutMs"].dump()));
  }
  const json* split = FindMember(route, "trafficSplit");
  if (split == nullptr || split->empty()) {
    if (route.contains("service")) return absl::OkStatus();
    return split == nullptr ? Invalid(path + ".service", "nothing", "a service, or a trafficSplit")
                            : Invalid(path + ".trafficSplit", "an empty list", "services and weights");
  }
  for (const json& target_of_split : *split) {
    if (NumberOr(target_of_split, "weight", 1) > 0) return absl::OkStatus();
  }
  return Invalid(path + ".trafficSplit", "weights that are all 0", "one above 0");
}

// Adds the id of the resource to `ids`.
absl::Status CheckResource(const json& resource, const std::string& path,
                           std::unordered_set<std::string>& ids) {
  static const auto* const kinds = new std::map<std::string, const Schema*, std::less<>>{
      {"routes", ResourceSchema(kRouteSchema, true)},
      {"services", ResourceSchema(kServiceSchema, true)},
      {"tenants", ResourceSchema(kTenantSchema, true)},
      {"limits", ResourceSchema(kLimitsSchema, false)}};
  if (!resource.is_object())
    return Invalid(path, resource.is_array() ? "a list" : "a plain value", "an item");
  const json* kind = FindMember(resource, "resourceKind");
  constexpr char kExpectedKinds[] = "routes, services, tenants or limits";
  if (kind == nullptr) return Invalid(path + ".resourceKind", "nothing", kExpectedKinds);
  const auto schema =
      kind->is_string() ? kinds->find(std::string_view(kind->get_ref<const std::string&>())) : kinds->end();
  if (schema == kinds->end()) {
    return Invalid(path + ".resourceKind", kind->is_string() ? Quote(kind->get<std::string>()) : "no string",
                   kExpectedKinds);
  }
  auto checked = schema->second->Check(resource, path);
  if (!checked.ok()) return checked;
  if (schema->first == "routes") {
    auto route = CheckRoute(resource["specification"], path + ".specification");
    if (!route.ok()) return route;
  }
  std::string id = ResourceId(resource);
  if (ids.contains(id)) return Invalid(path, "a second " + settings::PrintableLine(id, 80), "each once");
  ids.insert(std::move(id));
  return absl::OkStatus();
}

// Protects code that recurses over a value from stack overflow.
bool IsTooDeep(std::string_view text) {
  int depth = 0;
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char c = text[i];
    if (in_string) {
      if (c == '\\') ++i;
      if (c == '"') in_string = false;
    } else if (c == '"') {
      in_string = true;
    } else if (c == '{' || c == '[') {
      if (++depth > kMaxDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

bool IsTooWide(const json& value) {
  if (!value.is_structured()) return false;
  return (value.is_object() && value.size() > kMaxMembers) ||
         std::any_of(value.begin(), value.end(), IsTooWide);
}

Route ParseRoute(const std::string& name, const json& spec) {
  Route route;
  route.name = name;
  route.host =
      absl::AsciiStrToLower(std::string(HostWithoutPort(spec.at("host").get_ref<const std::string&>())));
  route.path_prefix = spec.at("pathPrefix").get<std::string>();
  if (const std::string kind = StringOrEmpty(spec, "kind"); !kind.empty()) {
    route.kind = kind == "safe"       ? RouteKind::kSafe
                 : kind == "download" ? RouteKind::kDownload
                                      : RouteKind::kUnsafe;
  }
  route.timeout_ms = static_cast<std::int64_t>(std::ceil(NumberOr(spec, "timeoutMs", 0)));
  route.target_latency_ms = static_cast<std::int64_t>(std::ceil(NumberOr(spec, "targetLatencyMs", 0)));
  route.priority = static_cast<int>(NumberOr(spec, "priority", route.priority));
  route.max_attempts = std::max(1, static_cast<int>(NumberOr(spec, "attempts", route.max_attempts)));
  if (const json* open = FindMember(spec, "public")) route.is_public = open->get<bool>();
  if (const json* split = FindMember(spec, "trafficSplit")) {
    for (const json& target : *split) {
      route.targets.push_back({target.at("service").get<std::string>(), NumberOr(target, "weight", 1)});
    }
  }
  if (route.targets.empty()) route.targets.push_back({spec.at("service").get<std::string>(), 1});
  return route;
}

Tenant ParseTenant(const std::string& name, const json& spec) {
  Tenant tenant;
  tenant.name = name;
  if (const json* keys = FindMember(spec, "accessKeys")) tenant.keys = keys->get<std::vector<std::string>>();
  tenant.priority = static_cast<int>(NumberOr(spec, "priority", tenant.priority));
  tenant.rate_per_s = NumberOr(spec, "ratePerS", 0);
  tenant.burst = NumberOr(spec, "burst", 0);
  return tenant;
}

template <class T>
void ReadLimit(const json& spec, const char* name, T& to) {
  if (const double limit = std::ceil(NumberOr(spec, name, 0)); limit > 0) to = static_cast<T>(limit);
}

}  // namespace

absl::StatusOr<json> ParseObject(std::string_view text) {
  if (IsTooDeep(text)) return absl::InvalidArgumentError("the body is nested too deeply");
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded()) return absl::InvalidArgumentError("the body is no JSON, or is cut short");
  if (!value.is_object()) return absl::InvalidArgumentError("the body is no JSON object");
  if (IsTooWide(value)) return absl::InvalidArgumentError("an object of the body has too many members");
  return value;
}

absl::Status CheckCall(bool modify, const json& call) {
  static const Schema* const common_schema = new Schema(kCallSchema);
  static const Schema* const replace_schema = new Schema(kReplaceSchema);
  static const Schema* const modify_schema = new Schema(kModifySchema);
  auto checked = common_schema->Check(call);
  if (checked.ok()) checked = (modify ? modify_schema : replace_schema)->Check(call);
  if (!checked.ok()) return checked;
  // A Modify would silently ignore these resources.
  if (modify && call.contains("resourceList")) return Invalid("resourceList", "a list", "it under upsert");

  const json* container = modify ? FindMember(call, "upsert") : &call;
  const json* resource_list = container == nullptr ? nullptr : FindMember(*container, "resourceList");
  std::unordered_set<std::string> ids;
  if (resource_list != nullptr) {
    for (std::size_t i = 0; i < resource_list->size(); ++i) {
      auto status = CheckResource((*resource_list)[i],
                                  absl::StrCat(modify ? "upsert." : "", "resourceList[", i, "]"), ids);
      if (!status.ok()) return status;
    }
  }
  const json* remove = modify ? FindMember(call, "remove") : nullptr;
  if (remove == nullptr) return absl::OkStatus();
  for (const auto& [kind, names] : remove->items()) {
    if (names.empty()) continue;
    if (kind != "routes" && kind != "services" && kind != "tenants") {
      return Invalid("remove." + settings::PrintableLine(kind), "names", "routes, services or tenants");
    }
    for (const json& name : names) {
      const std::string id = kind + "/" + name.get<std::string>();
      if (ids.contains(id)) return Invalid("remove." + kind, Quote(id), "what is not in upsert as well");
    }
  }
  return absl::OkStatus();
}

Resources ParseResources(const json& configuration) {
  Resources resources;
  for (const json& resource : configuration.at("resourceList")) {
    const std::string kind = resource.at("resourceKind").get<std::string>();
    const json& spec = resource.at("specification");
    const std::string name = kind == "limits" ? kind : resource.at("metadata").at("name").get<std::string>();
    if (kind == "routes") {
      resources.routes.push_back(ParseRoute(name, spec));
    } else if (kind == "services") {
      resources.services.push_back(
          {name, StringOrEmpty(spec, "healthPath"), static_cast<int>(NumberOr(spec, "connectionLimit", 0))});
    } else if (kind == "tenants") {
      resources.tenants.push_back(ParseTenant(name, spec));
    } else if (kind == "limits") {
      ReadLimit(spec, "maximumHeaderBytes", resources.limits.header_bytes);
      ReadLimit(spec, "maximumBodyBytes", resources.limits.body_bytes);
      ReadLimit(spec, "headerTimeoutMs", resources.limits.header_timeout_ms);
      ReadLimit(spec, "idleTimeoutMs", resources.limits.idle_timeout_ms);
    }
  }
  return resources;
}

absl::Status CheckReferences(const Resources& resources) {
  std::unordered_set<std::string_view> services;
  for (const Service& service : resources.services) services.insert(service.name);
  std::map<std::pair<std::string_view, std::string_view>, const Route*> route_by_match;
  for (const Route& route : resources.routes) {
    const std::string path = "routes/" + settings::PrintableLine(route.name, 80);
    for (const Target& target : route.targets) {
      if (!services.contains(target.service)) {
        return Invalid(path, "the unknown service " + Quote(target.service), "one in the list");
      }
    }
    const auto [at, is_new] = route_by_match.try_emplace({route.host, route.path_prefix}, &route);
    if (!is_new) {
      return Invalid(path, "the host and pathPrefix of " + Quote(at->second->name), "others for each route");
    }
  }
  std::unordered_map<std::string_view, const Tenant*> owner_by_key;
  for (const Tenant& tenant : resources.tenants) {
    for (const std::string& key : tenant.keys) {
      const auto [at, is_new] = owner_by_key.try_emplace(key, &tenant);
      if (!is_new && at->second != &tenant) {  // does not name the key, which is a secret
        return Invalid("tenants/" + settings::PrintableLine(tenant.name, 80),
                       "a key of " + Quote(at->second->name), "keys that no other holds");
      }
    }
  }
  return absl::OkStatus();
}

std::string_view HostWithoutPort(std::string_view host) {
  const std::size_t bracket =
      host.starts_with('[') ? host.find(']') : 0;  // skips the colons of an IPv6 address
  return host.substr(0, host.find(':', bracket == std::string_view::npos ? 0 : bracket));
}

}  // namespace fennelhollow::configuration
