#include "mesh/egress/lookup.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <charconv>
#include <cmath>
#include <map>

namespace fennelhollow::egress {
namespace {

using merlinrun::RetrySafety;

constexpr std::int64_t kLatencyTargetsMs[] = {50,  75,  100, 150,  200,  250,  300,
                                              400, 500, 700, 1000, 1500, 2500, 5000};
constexpr int kLatencyTargetCount = static_cast<int>(std::size(kLatencyTargetsMs));
constexpr int kPriorities = 4;
// Value of a request by its priority; the balancer refuses requests of the lowest value first.
constexpr double kValueByPriority[kPriorities] = {4, 2, 1, 0.5};
// Fraction of the value that remains after the latency target is missed. Above 0, so that an attempt is not
// abandoned at that point.
constexpr double kLateValue = 0.3;
constexpr std::int64_t kMaxDeadlineMs = 600'000;

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

const std::string* FindUnique(const Headers& headers, std::string_view name, bool& duplicate) {
  const std::string* value_found = nullptr;
  for (const auto& [key, value] : headers)
    if (EqualsIgnoreCase(key, name)) {
      duplicate |= value_found != nullptr;
      value_found = &value;
    }
  return value_found;
}

// The key in an Authorization value of the form "Token KEY"; empty for other schemes.
std::string_view AccessKeyOf(std::string_view authorization) {
  const auto space = authorization.find(' ');
  if (space == std::string_view::npos || !EqualsIgnoreCase(authorization.substr(0, space), "token"))
    return {};
  const auto key = authorization.find_first_not_of(' ', space);
  return key == std::string_view::npos ? std::string_view() : authorization.substr(key);
}

}  // namespace

RouteMatch MatchRoute(const configuration::RoutingTables& tables, std::string_view host,
                      std::string_view target, const Headers& headers) {
  RouteMatch out;
  bool duplicate = false;
  const std::string* id = FindUnique(headers, "Attempt-Id", duplicate);
  const std::string* deadline = FindUnique(headers, "Deadline-Remaining", duplicate);
  const std::string* key = FindUnique(headers, "Authorization", duplicate);
  if (id == nullptr || id->empty() || id->size() > 128 || duplicate) {
    out.kind = RouteMatch::Kind::kMalformed;
    return out;
  }
  out.id = *id;
  if (deadline != nullptr) {
    double value = 0;
    const auto [end, error] = std::from_chars(deadline->data(), deadline->data() + deadline->size(), value);
    if (error != std::errc() || end != deadline->data() + deadline->size() || !std::isfinite(value) ||
        value < 0) {
      out.kind = RouteMatch::Kind::kMalformed;
      return out;
    }
    out.deadline_ms = static_cast<std::int64_t>(std::min(value, static_cast<double>(kMaxDeadlineMs)));
  }
  out.route = tables.FindRoute(host, target);
  if (out.route == nullptr || out.route->targets.empty()) return out;
  if (tables.has_tenants()) {
    const std::string_view access_key = key == nullptr ? std::string_view() : AccessKeyOf(*key);
    if (!access_key.empty()) out.tenant = tables.FindTenantByKey(access_key);
    if (!out.route->is_public && out.tenant == nullptr) {
      out.kind = RouteMatch::Kind::kNoKey;
      return out;
    }
  }
  out.kind = RouteMatch::Kind::kMatched;
  out.safe = out.route->kind != configuration::RouteKind::kUnsafe;
  out.priority =
      out.tenant != nullptr && out.tenant->priority >= 0 ? out.tenant->priority : out.route->priority;
  return out;
}

Headers ForwardedHeaders(const Headers& headers, std::string_view host, const RouteMatch& match,
                         std::string_view calling_service) {
  Headers out;
  out.reserve(headers.size() + 3);
  out.emplace_back("Host", std::string(host));
  out.emplace_back("Attempt-Id", match.id);
  if (!calling_service.empty()) out.emplace_back("Calling-Service", std::string(calling_service));
  if (match.tenant != nullptr) out.emplace_back("Tenant-Name", match.tenant->name);
  for (const auto& [name, value] : headers) {
    bool drop_header = false;
    for (const char* reserved_name :
         {"Host", "Attempt-Id", "Calling-Service", "Tenant-Name", "Expected-Instance", "Deadline-Remaining"})
      drop_header |= EqualsIgnoreCase(name, reserved_name);
    drop_header |= EqualsIgnoreCase(name, "Authorization") &&
                   !AccessKeyOf(value).empty();  // servers don't see access keys
    if (!drop_header) out.emplace_back(name, value);
  }
  return out;
}

const std::string& PickService(const configuration::Route& route, double unit) {
  double sum = 0;
  for (const configuration::Target& target : route.targets) sum += target.weight;
  double remaining = unit * sum;
  for (const configuration::Target& target : route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.back().service;
}

std::size_t InterleavedRank(const std::vector<registry::Sidecar>& sidecars, std::string_view name) {
  std::map<std::string_view, std::pair<std::size_t, std::size_t>>
      services;  // total and seen so far, by service
  for (const registry::Sidecar& sidecar : sidecars) ++services[sidecar.service].first;
  std::vector<std::pair<double, const registry::Sidecar*>> order;
  order.reserve(sidecars.size());
  for (const registry::Sidecar& sidecar : sidecars) {
    auto& [total, seen] = services[sidecar.service];
    order.emplace_back((static_cast<double>(seen++) + 0.5) / static_cast<double>(total), &sidecar);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const auto& a, const auto& b) { return a.first < b.first; });
  for (std::size_t i = 0; i < order.size(); ++i)
    if (order[i].second->name == name) return i;
  return sidecars.size();
}

std::vector<merlinrun::RequestClass> RequestClasses() {
  std::vector<merlinrun::RequestClass> out;
  for (const RetrySafety repeat : {RetrySafety::kSafe, RetrySafety::kNever})
    for (int priority = 0; priority < kPriorities; ++priority)
      for (const std::int64_t target_ms : kLatencyTargetsMs) {
        merlinrun::RequestClass c;
        c.name = std::string(repeat == RetrySafety::kSafe ? "safe" : "unsafe") + "-" +
                 std::to_string(priority) + "-" + std::to_string(target_ms);
        c.latency_target = target_ms * 1000;
        c.deadline = kMaxDeadlineMs * 1000;
        c.value = kValueByPriority[priority];
        c.late_value = kLateValue;
        c.retry_safety = repeat;
        out.push_back(c);
      }
  return out;
}

int RequestClassOf(const RouteMatch& match) {
  const std::int64_t target_ms = match.route->target_latency_ms > 0 ? match.route->target_latency_ms : 1000;
  int best = 0;
  for (int i = 1; i < kLatencyTargetCount; ++i)
    if (std::llabs(kLatencyTargetsMs[i] - target_ms) < std::llabs(kLatencyTargetsMs[best] - target_ms))
      best = i;
  const int priority = std::clamp(match.priority, 0, kPriorities - 1);
  return ((match.safe ? 0 : 1) * kPriorities + priority) * kLatencyTargetCount + best;
}

const std::string& RequestClassName(int request_class) {
  static const std::vector<merlinrun::RequestClass> grid = RequestClasses();
  return grid[static_cast<std::size_t>(request_class)].name;
}

}  // namespace fennelhollow::egress
