#include "mesh/node/metrics_endpoint.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <prometheus/text_serializer.h>

#include <boost/system/system_error.hpp>
#include <chrono>
#include <utility>

namespace fennelhollow::node {
namespace {

constexpr std::uint32_t kMaxPort = 65'535;
constexpr const char* kTextContentType = "text/plain; version=0.0.4; charset=utf-8";
constexpr std::size_t kMaxSessions = 16;
// For what all scrapes together buffer.
constexpr memory::BufferAccount::Limits kBufferLimits{.small = std::size_t{256} * 1024,
                                                      .large = std::size_t{8} * 1024 * 1024};
constexpr auto kOpenRetryInterval = std::chrono::seconds(1);

egress::HttpServer::Limits ServerLimits() {
  egress::HttpServer::Limits limits;
  limits.max_connections = kMaxSessions;
  limits.max_body_bytes = 0;
  return limits;
}

}  // namespace

absl::StatusOr<MetricsAddress> ParseMetricsAddress(std::string_view text) {
  const auto slash = text.find('/');
  std::uint32_t port = 0;
  const bool valid = slash != std::string_view::npos &&
                     absl::SimpleAtoi(absl::string_view(text.data(), slash), &port) && port > 0 &&
                     port <= kMaxPort;
  if (!valid)
    return absl::InvalidArgumentError(
        absl::StrCat("--metrics takes PORT/PATH, as 19464/metrics, not \"", std::string(text), "\""));
  return MetricsAddress{static_cast<std::uint16_t>(port), std::string(text.substr(slash))};
}

MetricsEndpoint::MetricsEndpoint(egress::asio::io_context& io, const std::string& ip, MetricsAddress address,
                                 const prometheus::Registry& registry, std::function<void()> before_scrape)
    : address_(std::move(address)),
      registry_(registry),
      before_scrape_(std::move(before_scrape)),
      buffers_(kBufferLimits),
      server_(io, settings::Address{ip, address_.port}, ServerLimits(), buffers_,
              {[this](const egress::HttpServer::SessionPtr& session, const egress::HttpRequest& request) {
                 OnRequest(session, request);
               },
               {}}) {}

void MetricsEndpoint::OnRequest(const egress::HttpServer::SessionPtr& session,
                                const egress::HttpRequest& request) const {
  const bool found = request.method == "GET" && request.target == address_.path;
  if (!found)
    return egress::HttpServer::Respond(session, 404, {{"Content-Type", "text/plain"}}, "no such path\n");
  if (before_scrape_) before_scrape_();
  const std::string text = prometheus::TextSerializer().Serialize(registry_.Collect());
  egress::HttpServer::Respond(session, 200, {{"Content-Type", kTextContentType}}, text);
}

MetricsEndpointOpener::MetricsEndpointOpener(egress::asio::io_context& io, std::string ip,
                                             MetricsAddress address, const prometheus::Registry& registry,
                                             std::function<void()> before_scrape)
    : io_(io),
      retry_timer_(io),
      ip_(std::move(ip)),
      address_(std::move(address)),
      registry_(registry),
      before_scrape_(std::move(before_scrape)) {
  if (address_.port != 0) Open();
}

void MetricsEndpointOpener::Open() {
  try {
    endpoint_ = std::make_unique<MetricsEndpoint>(io_, ip_, address_, registry_, before_scrape_);
  } catch (const boost::system::system_error& error) {
    if (!std::exchange(failure_logged_, true)) LOG(WARNING) << "metrics are not served yet: " << error.what();
    retry_timer_.expires_after(kOpenRetryInterval);
    retry_timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (!stopped) Open();
    });
  }
}

}  // namespace fennelhollow::node
