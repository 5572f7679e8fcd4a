#include <absl/strings/ascii.h>

#include <algorithm>
#include <set>

#include "mesh/configuration/configuration.hpp"
#include "mesh/configuration/document.hpp"
#include "mesh/settings/schema.hpp"

namespace fennelhollow::configuration {
namespace {

char Lower(char c) { return absl::ascii_tolower(static_cast<unsigned char>(c)); }

template <class T>
std::map<std::string_view, const T*> ByName(const std::vector<T>& resources) {
  std::map<std::string_view, const T*> by_name;
  for (const T& resource : resources) by_name.emplace(resource.name, &resource);
  return by_name;
}

std::map<std::string_view, const Service*> ByName(
    const std::map<std::string, Service, std::less<>>& services) {
  std::map<std::string_view, const Service*> by_name;
  for (const auto& [name, service] : services) by_name.emplace(name, &service);
  return by_name;
}

// Compares limits for which 0 means unlimited.
bool IsLower(double before, double after) { return after > 0 && (before == 0 || after < before); }

bool Tightens(const Route& before, const Route& after) {
  if (before.host != after.host || before.path_prefix != after.path_prefix)
    return true;  // one match removed, another added
  if (after.kind == RouteKind::kUnsafe && before.kind != RouteKind::kUnsafe) return true;
  if (before.is_public && !after.is_public) return true;
  if (after.max_attempts < before.max_attempts) return true;
  return std::any_of(before.targets.begin(), before.targets.end(), [&](const Target& target) {
    return std::none_of(after.targets.begin(), after.targets.end(),
                        [&](const Target& match) { return match.service == target.service; });
  });
}

bool Tightens(const Tenant& before, const Tenant& after) {
  return std::set<std::string>(before.keys.begin(), before.keys.end()) !=
             std::set<std::string>(after.keys.begin(), after.keys.end()) ||
         IsLower(before.rate_per_s, after.rate_per_s) || (after.rate_per_s > 0 && after.burst < before.burst);
}

bool Tightens(const Service& before, const Service& after) {
  return IsLower(before.connection_limit, after.connection_limit);
}

// `presence_tightens`: whether adding or removing a resource tightens.
template <class T>
void CompareResources(const std::map<std::string_view, const T*>& before,
                      const std::map<std::string_view, const T*>& after, const std::string& kind,
                      bool presence_tightens, Difference& difference) {
  for (const auto& [name, resource] : before) {
    const auto match = after.find(name);
    if (match == after.end()) {
      difference.removed.push_back(kind + std::string(name));
      difference.tightens = difference.tightens || presence_tightens;
    } else if (*resource != *match->second) {
      difference.changed.push_back(kind + std::string(name));
      difference.tightens = difference.tightens || Tightens(*resource, *match->second);
    }
  }
  for (const auto& [name, resource] : after) {
    if (before.contains(name)) continue;
    difference.added.push_back(kind + std::string(name));
    difference.tightens = difference.tightens || presence_tightens;
  }
}

}  // namespace

std::size_t HostHash::operator()(std::string_view host) const {
  std::uint64_t hash = 0xcbf29ce484222325;  // FNV-1a
  for (const char c : host) hash = (hash ^ static_cast<unsigned char>(Lower(c))) * 0x100000001b3;
  return hash;
}

bool HostEqual::operator()(std::string_view a, std::string_view b) const {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

absl::StatusOr<std::shared_ptr<const RoutingTables>> RoutingTables::Build(
    const Configuration& configuration) {
  auto tables = std::make_shared<RoutingTables>();
  if (configuration.version() == 0) return tables;
  try {
    auto object = ParseObject(configuration.text());
    if (!object.ok()) return absl::DataLossError(object.status().message());
    settings::Normalize(*object);
    Resources resources = ParseResources(*object);
    tables->version_ = configuration.version();
    tables->limits_ = resources.limits;
    tables->has_tenants_ = !resources.tenants.empty();
    tables->routes_ = std::move(resources.routes);
    tables->tenants_ = std::move(resources.tenants);
    for (Service& service : resources.services) {
      std::string name = service.name;
      tables->services_.emplace(std::move(name), std::move(service));
    }
  } catch (const std::exception&) {
    return absl::DataLossError("a configuration can't be read");
  }
  for (std::size_t i = 0; i < tables->routes_.size(); ++i) {
    Route& route = tables->routes_[i];
    std::erase_if(route.targets, [](const Target& target) { return target.weight <= 0; });
    tables->by_host_[route.host].push_back(i);
  }
  for (auto& [host, routes] : tables->by_host_) {
    std::sort(routes.begin(), routes.end(), [&](std::size_t a, std::size_t b) {
      return tables->routes_[a].path_prefix.size() > tables->routes_[b].path_prefix.size();
    });
  }
  for (std::size_t i = 0; i < tables->tenants_.size(); ++i) {
    for (const std::string& key : tables->tenants_[i].keys) tables->by_key_.emplace(key, i);
  }
  return tables;
}

const Route* RoutingTables::FindRoute(std::string_view host, std::string_view path) const {
  const auto routes = by_host_.find(HostWithoutPort(host));
  if (routes == by_host_.end()) return nullptr;
  path = path.substr(0, path.find('?'));
  for (const std::size_t i : routes->second) {
    if (path.starts_with(routes_[i].path_prefix)) return &routes_[i];
  }
  return nullptr;
}

const Tenant* RoutingTables::FindTenantByKey(std::string_view key) const {
  const auto at = by_key_.find(key);
  return at == by_key_.end() ? nullptr : &tenants_[at->second];
}

const Service* RoutingTables::FindService(std::string_view name) const {
  const auto at = services_.find(name);
  return at == services_.end() ? nullptr : &at->second;
}

Difference Compare(const RoutingTables& before, const RoutingTables& after) {
  Difference difference;
  CompareResources(ByName(before.routes()), ByName(after.routes()), "routes/", true, difference);
  CompareResources(ByName(before.services()), ByName(after.services()), "services/", false, difference);
  CompareResources(ByName(before.tenants()), ByName(after.tenants()), "tenants/", true, difference);
  const Limits &from = before.limits(), &to = after.limits();
  if (from != to) {
    difference.changed.push_back("limits");
    difference.tightens = difference.tightens || to.header_bytes < from.header_bytes ||
                          to.body_bytes < from.body_bytes || to.header_timeout_ms < from.header_timeout_ms ||
                          to.idle_timeout_ms < from.idle_timeout_ms;
  }
  return difference;
}

}  // namespace fennelhollow::configuration
