#include "rig/mesh/shop.hpp"

#include <cstdio>
#include <utility>

namespace fennelhollow::rig {

nlohmann::json ConfigurationItem(const char* kind, const std::string& name, nlohmann::json specification) {
  nlohmann::json metadata = nlohmann::json::object();
  if (!name.empty()) metadata["name"] = name;
  return {{"resourceKind", kind}, {"metadata", metadata}, {"specification", std::move(specification)}};
}

nlohmann::json ConfigurationRoute(const std::string& name, const char* kind, const std::string& service) {
  return ConfigurationItem("routes", name,
                           {{"host", kHost},
                            {"pathPrefix", "/" + name + "/"},
                            {"kind", kind},
                            {"timeoutMs", 2000},
                            {"targetLatencyMs", 300},
                            {"priority", 1},
                            {"service", service},
                            {"attempts", 2}});
}

nlohmann::json FirstConfiguration() {
  const nlohmann::json service = {
      {"healthPath", "/health"}, {"connectionLimit", 100}, {"protocol", "h1"}, {"transportSecurity", false}};
  const nlohmann::json limits = {{"maximumHeaderBytes", 16384},
                                 {"maximumBodyBytes", 1 << 20},
                                 {"headerTimeoutMs", 3000},
                                 {"idleTimeoutMs", 15000}};
  const nlohmann::json list = {ConfigurationRoute("plans", "safe", kPlanService),
                               ConfigurationRoute("orders", "unsafe", kOrderService),
                               ConfigurationItem("services", kPlanService, service),
                               ConfigurationItem("services", kOrderService, service),
                               ConfigurationItem("limits", "", limits)};
  return {{"version", 3}, {"baseVersion", 0}, {"resourceList", list}};
}

std::string AttemptId(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016lx", 0x9e3779b97f4a7c15UL * n);
  return text;
}

Request ShopRequest(bool unsafe, const std::string& path, const std::string& id, milliseconds deadline) {
  Request request = MakeRequest(unsafe ? http::verb::post : http::verb::get, path, kHost,
                                unsafe ? "{\"line\":\"" + id + "\"}" : "");
  request.set("Attempt-Id", id);
  request.set("Deadline-Remaining", std::to_string(deadline.count()));
  return request;
}

}  // namespace fennelhollow::rig
