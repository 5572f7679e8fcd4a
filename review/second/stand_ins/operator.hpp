// Stand-in of the operator: builds configurations as PROTOCOL.md writes them, and sends one until it is
// taken.
#ifndef SECOND_REVIEW_STAND_INS_OPERATOR_HPP_
#define SECOND_REVIEW_STAND_INS_OPERATOR_HPP_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "stand_ins/deployment.hpp"

namespace review {

namespace asio = boost::asio;

inline constexpr char kHost[] = "shop.example";

struct RouteOptions {
  std::string name, path_prefix, kind, service;
  int timeout_ms = 2500, target_latency_ms = 400, priority = 1, attempts = 2;
};

nlohmann::json RouteItem(const RouteOptions& route);
nlohmann::json ServiceItem(const std::string& name);
nlohmann::json TenantItem(const std::string& name, const std::string& key, double rate_per_s, double burst);
nlohmann::json FirstConfiguration(std::vector<nlohmann::json> items);

// True once a core has acknowledged the configuration.
asio::awaitable<bool> Replace(asio::io_context& io, const Deployment& deployment, std::string configuration,
                              milliseconds timeout);
// True once every sidecar answers 200 at its readiness address.
asio::awaitable<bool> WaitUntilReady(asio::io_context& io, const Deployment& deployment,
                                     milliseconds timeout);

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_OPERATOR_HPP_
