#include "common/operator.hpp"

#include <utility>

namespace fennelhollow::review {
namespace {

using nlohmann::json;
using rig::milliseconds;
namespace http = rig::http;

constexpr milliseconds kCallTimeout{1000}, kCallPause{100};

json Item(const char* kind, const std::string& name, json specification) {
  json metadata = json::object();
  if (!name.empty()) metadata["name"] = name;
  return {{"resourceKind", kind}, {"metadata", metadata}, {"specification", std::move(specification)}};
}

}  // namespace

json RouteItem(const RouteTerms& route) {
  return Item("routes", route.name,
              {{"host", kHost},
               {"pathPrefix", "/" + route.name + "/"},
               {"kind", route.kind},
               {"timeoutMs", route.timeout_ms},
               {"targetLatencyMs", route.target_latency_ms},
               {"priority", 1},
               {"service", route.service},
               {"attempts", 2}});
}

json ServiceItem(const std::string& name) {
  return Item("services", name,
              {{"healthPath", "/health"},
               {"connectionLimit", 110},
               {"protocol", "h1"},
               {"transportSecurity", false}});
}

json LimitsItem() {
  return Item("limits", "",
              {{"maximumHeaderBytes", 16384},
               {"maximumBodyBytes", 67108864},
               {"headerTimeoutMs", 3000},
               {"idleTimeoutMs", 15000}});
}

json Replace(int version, int base_version, const json& items) {
  return {{"version", version}, {"baseVersion", base_version}, {"resourceList", items}};
}

rig::asio::awaitable<bool> SendReplace(rig::asio::io_context& io, Mesh& mesh, std::string body,
                                       milliseconds patience) {
  const auto until = rig::Clock::now() + patience;
  for (std::size_t i = 0; rig::Clock::now() < until; ++i) {
    const Address at = mesh.control(mesh.core(i % Mesh::kCores));
    rig::HttpConnection connection(io, at);
    const auto answer = co_await connection.Call(
        rig::MakeRequest(http::verb::post, "/-/Configuration.Replace", at.Text(), body), kCallTimeout);
    if (answer && answer->result_int() == 200) co_return true;
    if (answer && answer->result_int() / 100 == 4) co_return false;
    co_await rig::Sleep(io, kCallPause);
  }
  co_return false;
}

rig::asio::awaitable<std::optional<rig::Response>> SendRequest(rig::asio::io_context& io, Address outbound,
                                                               ClientRequest request) {
  rig::Request message = rig::MakeRequest(request.post ? http::verb::post : http::verb::get, request.path,
                                          kHost, request.post ? "{\"attempt\":1}" : "");
  message.set("Attempt-Id", request.attempt_id);
  message.set("Deadline-Remaining", std::to_string(request.deadline.count()));
  rig::HttpConnection connection(io, std::move(outbound));
  co_return co_await connection.Call(std::move(message), request.deadline);
}

rig::asio::awaitable<bool> WaitUntilServed(rig::asio::io_context& io, Address outbound, ClientRequest request,
                                           milliseconds patience) {
  const auto until = rig::Clock::now() + patience;
  const std::string id = request.attempt_id;
  for (int i = 0; rig::Clock::now() < until; ++i) {
    request.attempt_id = id + "-" + std::to_string(i);
    const auto answer = co_await SendRequest(io, outbound, request);
    if (answer && answer->result_int() == 200) co_return true;
    co_await rig::Sleep(io, kCallPause);
  }
  co_return false;
}

}  // namespace fennelhollow::review
