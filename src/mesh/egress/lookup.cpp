#include "mesh/egress/lookup.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cmath>
#include <map>

namespace fennelhollow::egress {
namespace {

using merlinrun::Repeat;

constexpr std::int64_t kAims[] = {50, 75, 100, 150, 200, 250, 300, 400, 500, 700, 1000, 1500, 2500, 5000};
constexpr int kAimCount = static_cast<int>(std::size(kAims));
constexpr int kPriorities = 4;
// Worth of a request by its priority: the module refuses what is worth least first.
constexpr double kWorth[kPriorities] = {4, 2, 1, 0.5};
// Of the worth, after the aim. Above 0: an attempt is not given up at its aim.
constexpr double kLateWorth = 0.3;
constexpr std::int64_t kMostDeadlineMs = 600'000;

bool Same(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* Only(const Headers& headers, std::string_view name, bool& twice) {
  const std::string* found = nullptr;
  for (const auto& [key, value] : headers)
    if (Same(key, name)) {
      twice |= found != nullptr;
      found = &value;
    }
  return found;
}

// The key of "Token KEY"; empty if it is anything else.
std::string_view KeyOf(std::string_view authorization) {
  const auto space = authorization.find(' ');
  if (space == std::string_view::npos || !Same(authorization.substr(0, space), "token")) return {};
  const auto key = authorization.find_first_not_of(' ', space);
  return key == std::string_view::npos ? std::string_view() : authorization.substr(key);
}

}  // namespace

Found Find(const configuration::RoutingTables& tables, std::string_view host, std::string_view target,
           const Headers& headers) {
  Found out;
  bool twice = false;
  const std::string* id = Only(headers, "Attempt-Id", twice);
  const std::string* deadline = Only(headers, "Deadline-Remaining", twice);
  const std::string* key = Only(headers, "Authorization", twice);
  if (id == nullptr || id->empty() || id->size() > 128 || twice) {
    out.kind = Found::Kind::kMalformed;
    return out;
  }
  out.id = *id;
  if (deadline != nullptr) {
    double value = 0;
    const auto [end, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), value);
    if (error != std::errc() || end != deadline->data() + deadline->size() || !std::isfinite(value) ||
        value < 0) {
      out.kind = Found::Kind::kMalformed;
      return out;
    }
    out.deadline_ms = static_cast<std::int64_t>(std::min(value, static_cast<double>(kMostDeadlineMs)));
  }
  out.route = tables.FindRoute(host, target);
  if (out.route == nullptr || out.route->targets.empty()) return out;
  if (tables.has_tenants()) {
    const std::string_view said = key == nullptr ? std::string_view() : KeyOf(*key);
    if (!said.empty()) out.tenant = tables.FindTenantByKey(said);
    if (!out.route->is_public && out.tenant == nullptr) {
      out.kind = Found::Kind::kNoKey;
      return out;
    }
  }
  out.kind = Found::Kind::kGo;
  out.safe = out.route->kind != configuration::RouteKind::kUnsafe;
  out.priority =
      out.tenant != nullptr && out.tenant->priority >= 0 ? out.tenant->priority : out.route->priority;
  return out;
}

Headers Forwarded(const Headers& headers, std::string_view host, const Found& found,
                  std::string_view calling_service) {
  Headers out;
  out.reserve(headers.size() + 3);
  out.emplace_back("Host", std::string(host));
  out.emplace_back("Attempt-Id", found.id);
  if (!calling_service.empty()) out.emplace_back("Calling-Service", std::string(calling_service));
  if (found.tenant != nullptr) out.emplace_back("Tenant-Name", found.tenant->name);
  for (const auto& [name, value] : headers) {
    bool ours = false;
    for (const char* own :
         {"Host", "Attempt-Id", "Calling-Service", "Tenant-Name", "Expected-Instance", "Deadline-Remaining"})
      ours |= Same(name, own);
    ours |= Same(name, "Authorization") && !KeyOf(value).empty();  // a server is not shown the key
    if (!ours) out.emplace_back(name, value);
  }
  return out;
}

const std::string& PickService(const configuration::Route& route, double unit) {
  double sum = 0;
  for (const configuration::Target& target : route.targets) sum += target.weight;
  double at = unit * sum;
  for (const configuration::Target& target : route.targets) {
    at -= target.weight;
    if (at < 0) return target.service;
  }
  return route.targets.back().service;
}

std::size_t InterleavedRank(const std::vector<registry::Sidecar>& sidecars, std::string_view name) {
  std::map<std::string_view, std::pair<std::size_t, std::size_t>>
      services;  // all of it, and those met so far
  for (const registry::Sidecar& sidecar : sidecars) ++services[sidecar.service].first;
  std::vector<std::pair<double, const registry::Sidecar*>> order;
  order.reserve(sidecars.size());
  for (const registry::Sidecar& sidecar : sidecars) {
    auto& [all, met] = services[sidecar.service];
    order.emplace_back((static_cast<double>(met++) + 0.5) / static_cast<double>(all), &sidecar);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (std::size_t i = 0; i < order.size(); ++i)
    if (order[i].second->name == name) return i;
  return sidecars.size();
}

std::vector<merlinrun::RequestClass> ClassGrid() {
  std::vector<merlinrun::RequestClass> out;
  for (const Repeat repeat : {Repeat::kSafe, Repeat::kNever})
    for (int priority = 0; priority < kPriorities; ++priority)
      for (const std::int64_t aim : kAims) {
        merlinrun::RequestClass c;
        c.name = std::string(repeat == Repeat::kSafe ? "safe" : "unsafe") + "-" + std::to_string(priority) +
                 "-" + std::to_string(aim);
        c.aim = aim * 1000;
        c.deadline = kMostDeadlineMs * 1000;
        c.worth = kWorth[priority];
        c.late_worth = kLateWorth;
        c.repeat = repeat;
        out.push_back(c);
      }
  return out;
}

int ClassOf(const Found& found) {
  const std::int64_t aim = found.route->target_latency_ms > 0 ? found.route->target_latency_ms : 1000;
  int best = 0;
  for (int i = 1; i < kAimCount; ++i)
    if (std::llabs(kAims[i] - aim) < std::llabs(kAims[best] - aim)) best = i;
  const int priority = std::clamp(found.priority, 0, kPriorities - 1);
  return ((found.safe ? 0 : 1) * kPriorities + priority) * kAimCount + best;
}

const std::string& ClassName(int request_class) {
  static const std::vector<merlinrun::RequestClass> grid = ClassGrid();
  return grid[static_cast<std::size_t>(request_class)].name;
}

}  // namespace fennelhollow::egress
