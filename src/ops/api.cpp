#include "ops/api.hpp"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace merlinrun::ops {
namespace {

constexpr std::string_view kReady = "/api/ready";
constexpr std::string_view kTelemetry = "/api/telemetry";
constexpr std::string_view kEvacuate = "/api/evacuate";
constexpr std::string_view kRejoin = "/api/rejoin";

struct Route {
  std::string_view path;
  std::string_view method;
};
constexpr std::array<Route, 4> kRoutes = {Route{kReady, "GET"}, Route{kTelemetry, "GET"},
                                          Route{kEvacuate, "PUT"}, Route{kRejoin, "PUT"}};

}  // namespace

std::string MetricsJson(const stats::Counters& counters, const Settings& settings,
                        const BalancerSnapshot& snapshot) {
  using Json = nlohmann::ordered_json;
  Json responses = Json::object();
  for (std::size_t i = 0; i < counters.classes.size(); ++i) {
    const stats::ClassCounters& c = counters.classes[i];
    responses[settings.classes[i].name] = {{"ok", c.ok}, {"shed", c.shed}, {"errors", c.errors}};
  }
  const auto ejected =
      std::count_if(snapshot.servers.begin(), snapshot.servers.end(),
                    [](const BalancerSnapshot::Server& server) { return server.ejected_for > 0; });
  const Json out = {{"responses", std::move(responses)},
                    {"tries", counters.attempts_sent},
                    {"active", counters.active},
                    {"pool_size", snapshot.servers.size()},
                    {"pool_ejected", ejected}};
  return out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Reply Api::Handle(std::string_view method, std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const auto route =
      std::find_if(kRoutes.begin(), kRoutes.end(), [&](const Route& r) { return r.path == path; });
  if (route == kRoutes.end()) return {404, "no such call\n"};
  if (route->method != method) return {405, "not this call's method\n", "text/plain", route->method};
  return Execute(path);
}

Reply Api::Execute(std::string_view path) {
  if (path == kReady) return lifecycle_.CanServe() ? Reply{200, "ready\n"} : Reply{503, "not ready\n"};
  if (path == kTelemetry)
    return {200, MetricsJson(counters_, request_manager_.settings(), request_manager_.TakeSnapshot()) + "\n",
            "application/json"};
  const bool done = path == kEvacuate ? lifecycle_.Evacuate() : lifecycle_.Rejoin();
  return done ? Reply{200, "done\n"} : Reply{409, "the sidecar stops\n"};
}

}  // namespace merlinrun::ops
