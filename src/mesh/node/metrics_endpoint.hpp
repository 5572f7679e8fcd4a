// HTTP endpoint that serves a process's metrics in the Prometheus text format.
#ifndef FENNELHOLLOW_MESH_NODE_METRICS_ENDPOINT_HPP_
#define FENNELHOLLOW_MESH_NODE_METRICS_ENDPOINT_HPP_

#include <absl/status/statusor.h>
#include <prometheus/registry.h>

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mesh/egress/http_server.hpp"
#include "mesh/settings/settings.hpp"

namespace fennelhollow::node {

// Where metrics are served, written "PORT/PATH" on the command line and in deploy/system.toml.
struct MetricsAddress {
  std::uint16_t port = 0;  // 0: metrics are not served
  std::string path;        // begins with a slash
};

// kInvalidArgument, with a one-line message, if `text` is not PORT/PATH.
absl::StatusOr<MetricsAddress> ParseMetricsAddress(std::string_view text);

// Answers GET at one path and 404 elsewhere. Not thread-safe: runs on the thread of `io`.
class MetricsEndpoint {
 public:
  // `registry` must outlive it. `before_scrape` updates gauges before each scrape; may be empty.
  // Throws boost::system::system_error if the address cannot be bound.
  MetricsEndpoint(egress::asio::io_context& io, const std::string& ip, MetricsAddress address,
                  const prometheus::Registry& registry, std::function<void()> before_scrape);

 private:
  void OnRequest(const egress::HttpServer::SessionPtr& session, const egress::HttpRequest& request) const;

  const MetricsAddress address_;
  const prometheus::Registry& registry_;
  const std::function<void()> before_scrape_;
  memory::BufferAccount buffers_;
  egress::HttpServer server_;
};

// Opens the endpoint, and retries if it cannot be bound: the process runs without metrics meanwhile.
class MetricsEndpointOpener {
 public:
  // No endpoint if `address` has no port. `registry` must outlive it.
  MetricsEndpointOpener(egress::asio::io_context& io, std::string ip, MetricsAddress address,
                        const prometheus::Registry& registry, std::function<void()> before_scrape = {});
  bool open() const { return endpoint_ != nullptr; }

 private:
  void Open();

  egress::asio::io_context& io_;
  egress::asio::steady_timer retry_timer_;
  const std::string ip_;
  const MetricsAddress address_;
  const prometheus::Registry& registry_;
  const std::function<void()> before_scrape_;
  bool failure_logged_ = false;
  std::unique_ptr<MetricsEndpoint> endpoint_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_METRICS_ENDPOINT_HPP_
