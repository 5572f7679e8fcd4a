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

constexpr int kDepth = 64;              // nesting in a call
constexpr std::size_t kMembers = 4096;  // of one object: ordered objects are searched from the front
constexpr double kMinuteMs = 60000;

constexpr std::string_view kCall = R"json({
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

constexpr std::string_view kReplace = R"json({
  "description": "an object", "type": "object", "required": ["resourceList"],
  "properties": {"resourceList": {"description": "a list of items", "type": "array"}}
})json";

constexpr std::string_view kModify = R"json({
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

// `specification` stands for an object of that form.
Schema* ItemSchema(std::string_view specification, bool named) {
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

constexpr std::string_view kRoute = R"json({
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

constexpr std::string_view kService = R"json({
  "description": "an object", "type": "object",
  "properties": {
    "healthPath": {"description": "a path", "type": "string"},
    "connectionLimit": {
      "description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 2e9
    }
  }
})json";

constexpr std::string_view kTenant = R"json({
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

constexpr std::string_view kLimits = R"json({
  "description": "an object", "type": "object",
  "properties": {
    "maximumHeaderBytes": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e15},
    "maximumBodyBytes": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e15},
    "headerTimeoutMs": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12},
    "idleTimeoutMs": {"description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12}
  }
})json";

absl::Status Invalid(const std::string& path, const std::string& found, const std::string& wanted) {
  return absl::InvalidArgumentError(absl::StrCat(path, ": found ", found, ", wanted ", wanted));
}

std::string Quote(const std::string& text) { return absl::StrCat("\"", settings::PrintableLine(text), "\""); }

// Null if there is no such member.
const json* Member(const json& object, const char* name) {
  const auto at = object.find(name);
  return at == object.end() ? nullptr : &*at;
}

double Number(const json& object, const char* name, double otherwise) {
  const json* at = Member(object, name);
  return at == nullptr ? otherwise : at->get<double>();
}

std::string Text(const json& object, const char* name) {
  const json* at = Member(object, name);
  return at == nullptr ? std::string() : at->get<std::string>();
}

// The rules between the fields of one route.
absl::Status CheckRoute(const json& route, const std::string& path) {
  const std::string prefix = Text(route, "pathPrefix");
  if (prefix.front() != '/' || prefix.back() != '/') {
    return Invalid(path + ".pathPrefix", Quote(prefix), "a path that begins and ends with a slash");
  }
  const double target = Number(route, "targetLatencyMs", 0);
  if (route.contains("timeoutMs") && target >= Number(route, "timeoutMs", 0) + kMinuteMs) {
    return Invalid(path + ".targetLatencyMs", route["targetLatencyMs"].dump(),
                   absl::StrCat("less than a minute over its timeoutMs of ", route["timeoutMs"].dump()));
  }
  const json* split = Member(route, "trafficSplit");
  if (split == nullptr || split->empty()) {
    if (route.contains("service")) return absl::OkStatus();
    return split == nullptr ? Invalid(path + ".service", "nothing", "a service, or a trafficSplit")
                            : Invalid(path + ".trafficSplit", "an empty list", "services and weights");
  }
  for (const json& target_of_split : *split) {
    if (Number(target_of_split, "weight", 1) > 0) return absl::OkStatus();
  }
  return Invalid(path + ".trafficSplit", "weights that are all 0", "one above 0");
}

// `ids`: gains the item's.
absl::Status CheckItem(const json& item, const std::string& path, std::unordered_set<std::string>& ids) {
  static const auto* const kinds =
      new std::map<std::string, const Schema*, std::less<>>{{"routes", ItemSchema(kRoute, true)},
                                                            {"services", ItemSchema(kService, true)},
                                                            {"tenants", ItemSchema(kTenant, true)},
                                                            {"limits", ItemSchema(kLimits, false)}};
  if (!item.is_object()) return Invalid(path, item.is_array() ? "a list" : "a plain value", "an item");
  const json* kind = Member(item, "resourceKind");
  constexpr char kWanted[] = "routes, services, tenants or limits";
  if (kind == nullptr) return Invalid(path + ".resourceKind", "nothing", kWanted);
  const auto schema =
      kind->is_string() ? kinds->find(std::string_view(kind->get_ref<const std::string&>())) : kinds->end();
  if (schema == kinds->end()) {
    return Invalid(path + ".resourceKind", kind->is_string() ? Quote(kind->get<std::string>()) : "no string",
                   kWanted);
  }
  auto checked = schema->second->Check(item, path);
  if (!checked.ok()) return checked;
  if (schema->first == "routes") {
    auto route = CheckRoute(item["specification"], path + ".specification");
    if (!route.ok()) return route;
  }
  std::string id = ResourceId(item);
  if (ids.contains(id)) return Invalid(path, "a second " + settings::PrintableLine(id, 80), "each once");
  ids.insert(std::move(id));
  return absl::OkStatus();
}

// Guard for all that recurses over a value.
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
      if (++depth > kDepth) return true;
    } else if (c == '}' || c == ']') {
      --depth;
    }
  }
  return false;
}

bool IsTooWide(const json& value) {
  if (!value.is_structured()) return false;
  return (value.is_object() && value.size() > kMembers) || std::any_of(value.begin(), value.end(), IsTooWide);
}

Route RouteOf(const std::string& name, const json& from) {
  Route route;
  route.name = name;
  route.host =
      absl::AsciiStrToLower(std::string(HostWithoutPort(from.at("host").get_ref<const std::string&>())));
  route.path_prefix = from.at("pathPrefix").get<std::string>();
  if (const std::string kind = Text(from, "kind"); !kind.empty()) {
    route.kind = kind == "safe"       ? RouteKind::kSafe
                 : kind == "download" ? RouteKind::kDownload
                                      : RouteKind::kUnsafe;
  }
  route.timeout_ms = static_cast<std::int64_t>(std::ceil(Number(from, "timeoutMs", 0)));
  route.target_latency_ms = static_cast<std::int64_t>(std::ceil(Number(from, "targetLatencyMs", 0)));
  route.priority = static_cast<int>(Number(from, "priority", route.priority));
  route.max_attempts = std::max(1, static_cast<int>(Number(from, "attempts", route.max_attempts)));
  if (const json* open = Member(from, "public")) route.is_public = open->get<bool>();
  if (const json* split = Member(from, "trafficSplit")) {
    for (const json& target : *split) {
      route.targets.push_back({target.at("service").get<std::string>(), Number(target, "weight", 1)});
    }
  }
  if (route.targets.empty()) route.targets.push_back({from.at("service").get<std::string>(), 1});
  return route;
}

Tenant TenantOf(const std::string& name, const json& from) {
  Tenant tenant;
  tenant.name = name;
  if (const json* keys = Member(from, "accessKeys")) tenant.keys = keys->get<std::vector<std::string>>();
  tenant.priority = static_cast<int>(Number(from, "priority", tenant.priority));
  tenant.rate_per_s = Number(from, "ratePerS", 0);
  tenant.burst = Number(from, "burst", 0);
  return tenant;
}

template <class T>
void TakeLimit(const json& from, const char* name, T& to) {
  if (const double told = std::ceil(Number(from, name, 0)); told > 0) to = static_cast<T>(told);
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
  static const Schema* const common = new Schema(kCall);
  static const Schema* const replace_form = new Schema(kReplace);
  static const Schema* const modify_form = new Schema(kModify);
  auto checked = common->Check(call);
  if (checked.ok()) checked = (modify ? modify_form : replace_form)->Check(call);
  if (!checked.ok()) return checked;
  // Items that a Modify would pass over in silence.
  if (modify && call.contains("resourceList")) return Invalid("resourceList", "a list", "it under upsert");

  const json* holder = modify ? Member(call, "upsert") : &call;
  const json* list = holder == nullptr ? nullptr : Member(*holder, "resourceList");
  std::unordered_set<std::string> ids;
  if (list != nullptr) {
    for (std::size_t i = 0; i < list->size(); ++i) {
      auto item = CheckItem((*list)[i], absl::StrCat(modify ? "upsert." : "", "resourceList[", i, "]"), ids);
      if (!item.ok()) return item;
    }
  }
  const json* remove = modify ? Member(call, "remove") : nullptr;
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
  Resources items;
  for (const json& item : configuration.at("resourceList")) {
    const std::string kind = item.at("resourceKind").get<std::string>();
    const json& from = item.at("specification");
    const std::string name = kind == "limits" ? kind : item.at("metadata").at("name").get<std::string>();
    if (kind == "routes") {
      items.routes.push_back(RouteOf(name, from));
    } else if (kind == "services") {
      items.services.push_back(
          {name, Text(from, "healthPath"), static_cast<int>(Number(from, "connectionLimit", 0))});
    } else if (kind == "tenants") {
      items.tenants.push_back(TenantOf(name, from));
    } else if (kind == "limits") {
      TakeLimit(from, "maximumHeaderBytes", items.limits.header_bytes);
      TakeLimit(from, "maximumBodyBytes", items.limits.body_bytes);
      TakeLimit(from, "headerTimeoutMs", items.limits.header_timeout_ms);
      TakeLimit(from, "idleTimeoutMs", items.limits.idle_timeout_ms);
    }
  }
  return items;
}

absl::Status CheckReferences(const Resources& items) {
  std::unordered_set<std::string_view> services;
  for (const Service& service : items.services) services.insert(service.name);
  std::map<std::pair<std::string_view, std::string_view>, const Route*> places;
  for (const Route& route : items.routes) {
    const std::string path = "routes/" + settings::PrintableLine(route.name, 80);
    for (const Target& target : route.targets) {
      if (!services.contains(target.service)) {
        return Invalid(path, "the unknown service " + Quote(target.service), "one in the list");
      }
    }
    const auto [at, is_new] = places.try_emplace({route.host, route.path_prefix}, &route);
    if (!is_new) {
      return Invalid(path, "the host and pathPrefix of " + Quote(at->second->name), "others for each route");
    }
  }
  std::unordered_map<std::string_view, const Tenant*> holders;
  for (const Tenant& tenant : items.tenants) {
    for (const std::string& key : tenant.keys) {
      const auto [at, is_new] = holders.try_emplace(key, &tenant);
      if (!is_new && at->second != &tenant) {  // the key itself is a secret
        return Invalid("tenants/" + settings::PrintableLine(tenant.name, 80),
                       "a key of " + Quote(at->second->name), "keys that no other holds");
      }
    }
  }
  return absl::OkStatus();
}

std::string_view HostWithoutPort(std::string_view host) {
  const std::size_t bracket =
      host.starts_with('[') ? host.find(']') : 0;  // an IPv6 address has colons of its own
  return host.substr(0, host.find(':', bracket == std::string_view::npos ? 0 : bracket));
}

}  // namespace fennelhollow::configuration
