#include "mesh/node/metrics_endpoint.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <prometheus/text_serializer.h>

#include <boost/system/system_error.hpp>
#include <utility>

namespace fennelhollow::node {
namespace {

constexpr std::uint32_t kHighestPort = 65'535;
constexpr const char* kTextFormat = "text/plain; version=0.0.4; charset=utf-8";
// Readers of metrics are few.
constexpr std::size_t kMostSessions = 16;

egress::HttpServer::Limits ServerLimits() {
  egress::HttpServer::Limits limits;
  limits.max_connections = kMostSessions;
  limits.max_body_bytes = 0;
  return limits;
}

}  // namespace

absl::StatusOr<MetricsAddress> ParseMetricsAddress(std::string_view text) {
  const auto slash = text.find('/');
  std::uint32_t port = 0;
  const bool good = slash != std::string_view::npos &&
                    absl::SimpleAtoi(absl::string_view(text.data(), slash), &port) && port > 0 &&
                    port <= kHighestPort;
  if (!good)
    return absl::InvalidArgumentError(
        absl::StrCat("--metrics takes PORT/PATH, as 19464/metrics, not \"", std::string(text), "\""));
  return MetricsAddress{static_cast<std::uint16_t>(port), std::string(text.substr(slash))};
}

MetricsEndpoint::MetricsEndpoint(egress::asio::io_context& io, const std::string& ip, MetricsAddress address,
                                 const prometheus::Registry& registry, std::function<void()> before)
    : address_(std::move(address)),
      registry_(registry),
      before_(std::move(before)),
      server_(io, settings::Address{ip, address_.port}, ServerLimits(),
              {[this](const egress::HttpServer::SessionPtr& session, const egress::HttpRequest& request) {
                 Answer(session, request);
               },
               {}}) {}

void MetricsEndpoint::Answer(const egress::HttpServer::SessionPtr& session,
                             const egress::HttpRequest& request) const {
  const bool found = request.method == "GET" && request.target == address_.path;
  if (!found)
    return egress::HttpServer::Respond(session, 404, {{"Content-Type", "text/plain"}}, "no such path\n");
  if (before_) before_();
  const std::string text = prometheus::TextSerializer().Serialize(registry_.Collect());
  egress::HttpServer::Respond(session, 200, {{"Content-Type", kTextFormat}}, text);
}

std::unique_ptr<MetricsEndpoint> OpenMetricsEndpoint(egress::asio::io_context& io, const std::string& ip,
                                                     const MetricsAddress& address,
                                                     const prometheus::Registry& registry,
                                                     std::function<void()> before) {
  if (address.port == 0) return nullptr;
  try {
    return std::make_unique<MetricsEndpoint>(io, ip, address, registry, std::move(before));
  } catch (const boost::system::system_error& error) {
    LOG(WARNING) << "metrics are not told: " << error.what();
    return nullptr;
  }
}

}  // namespace fennelhollow::node
