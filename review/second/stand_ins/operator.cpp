#include "stand_ins/operator.hpp"

namespace review {
namespace {

using fennelhollow::rig::HttpConnection;
using fennelhollow::rig::MakeRequest;
using fennelhollow::rig::Sleep;
namespace http = boost::beast::http;

constexpr milliseconds kCallTimeout{1000};
constexpr milliseconds kPause{100};

nlohmann::json Item(const char* kind, const std::string& name, nlohmann::json specification) {
  nlohmann::json metadata = nlohmann::json::object();
  if (!name.empty()) metadata["name"] = name;
  return {{"resourceKind", kind}, {"metadata", metadata}, {"specification", std::move(specification)}};
}

}  // namespace

nlohmann::json RouteItem(const RouteOptions& route) {
  return Item("routes", route.name,
              {{"host", kHost},
               {"pathPrefix", route.path_prefix},
               {"kind", route.kind},
               {"timeoutMs", route.timeout_ms},
               {"targetLatencyMs", route.target_latency_ms},
               {"priority", route.priority},
               {"service", route.service},
               {"attempts", route.attempts}});
}

nlohmann::json ServiceItem(const std::string& name) {
  return Item("services", name,
              {{"healthPath", "/health"},
               {"connectionLimit", 130},
               {"protocol", "h1"},
               {"transportSecurity", false}});
}

nlohmann::json TenantItem(const std::string& name, const std::string& key, double rate_per_s, double burst) {
  return Item("tenants", name,
              {{"accessKeys", {key}}, {"priority", 1}, {"ratePerS", rate_per_s}, {"burst", burst}});
}

nlohmann::json FirstConfiguration(std::vector<nlohmann::json> items) {
  items.push_back(Item("limits", "",
                       {{"maximumHeaderBytes", 16384},
                        {"maximumBodyBytes", 67108864},
                        {"headerTimeoutMs", 3000},
                        {"idleTimeoutMs", 15000}}));
  return {{"version", 3}, {"baseVersion", 0}, {"resourceList", items}};
}

asio::awaitable<bool> Replace(asio::io_context& io, const Deployment& deployment, std::string configuration,
                              milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  for (std::size_t i = 0; Clock::now() < until; ++i) {
    const auto cores = deployment.Cores();
    const Address core = cores[i % cores.size()]->control();
    HttpConnection connection(io, core);
    const auto answer = co_await connection.Call(
        MakeRequest(http::verb::post, "/-/Configuration.Replace", core.Text(), configuration), kCallTimeout);
    if (answer && answer->result_int() == 200) co_return true;
    co_await Sleep(io, kPause);
  }
  co_return false;
}

asio::awaitable<bool> WaitUntilReady(asio::io_context& io, const Deployment& deployment,
                                     milliseconds timeout) {
  const auto until = Clock::now() + timeout;
  for (const Machine* machine : deployment.Sidecars()) {
    bool ready = false;
    while (!ready && Clock::now() < until) {
      HttpConnection connection(io, machine->readiness());
      const auto answer = co_await connection.Call(
          MakeRequest(http::verb::get, "/-/readiness", machine->readiness().Text()), kCallTimeout);
      ready = answer && answer->result_int() == 200;
      if (!ready) co_await Sleep(io, kPause);
    }
    if (!ready) co_return false;
  }
  co_return true;
}

}  // namespace review
