// Stand-in of the operator: builds configurations and sends them to the cores; and a client's plain request.
#ifndef FENNELHOLLOW_REVIEW_COMMON_OPERATOR_HPP_
#define FENNELHOLLOW_REVIEW_COMMON_OPERATOR_HPP_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "common/mesh.hpp"
#include "rig/mesh/http.hpp"

namespace fennelhollow::review {

inline constexpr const char* kHost = "review.example";

struct RouteTerms {
  std::string name, kind, service;
  int timeout_ms = 0, target_latency_ms = 0;
};
nlohmann::json RouteItem(const RouteTerms& route);
nlohmann::json ServiceItem(const std::string& name);
nlohmann::json LimitsItem();
nlohmann::json Replace(int version, int base_version, const nlohmann::json& items);

// Sends the configuration to one core after the other until it is acknowledged or `patience` has passed.
rig::asio::awaitable<bool> SendReplace(rig::asio::io_context& io, Mesh& mesh, std::string body,
                                       rig::milliseconds patience);

struct ClientRequest {
  bool post = false;
  std::string path, attempt_id;
  rig::milliseconds deadline{2500};
};
// One try of a client on a connection of its own; nullopt without a whole answer by the deadline.
rig::asio::awaitable<std::optional<rig::Response>> SendRequest(rig::asio::io_context& io, Address outbound,
                                                               ClientRequest request);
// Waits until the sidecar answers 200 on this path.
rig::asio::awaitable<bool> WaitUntilServed(rig::asio::io_context& io, Address outbound, ClientRequest request,
                                           rig::milliseconds patience);

}  // namespace fennelhollow::review

#endif  // FENNELHOLLOW_REVIEW_COMMON_OPERATOR_HPP_
