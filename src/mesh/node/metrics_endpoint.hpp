// HTTP endpoint that tells a process's metrics in the Prometheus text format.
#ifndef FENNELHOLLOW_MESH_NODE_METRICS_ENDPOINT_HPP_
#define FENNELHOLLOW_MESH_NODE_METRICS_ENDPOINT_HPP_

#include <absl/status/statusor.h>
#include <prometheus/registry.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mesh/egress/http_server.hpp"
#include "mesh/settings/settings.hpp"

namespace fennelhollow::node {

// Where metrics are told, as the command line and deploy/system.toml have it: "PORT/PATH".
struct MetricsAddress {
  std::uint16_t port = 0;  // 0: metrics are not told
  std::string path;        // begins with a slash
};

// kInvalidArgument, with one plain line, if `text` is not PORT/PATH.
absl::StatusOr<MetricsAddress> ParseMetricsAddress(std::string_view text);

// Answers GET at one path, 404 elsewhere. Threading: all of it on the thread of `io`.
class MetricsEndpoint {
 public:
  // `registry` must outlive it. `before`: called before each reading, to bring gauges up to date; may be
  // empty. Throws boost::system::system_error if the address can't be listened on.
  MetricsEndpoint(egress::asio::io_context& io, const std::string& ip, MetricsAddress address,
                  const prometheus::Registry& registry, std::function<void()> before);

 private:
  void Answer(const egress::HttpServer::SessionPtr& session, const egress::HttpRequest& request) const;

  const MetricsAddress address_;
  const prometheus::Registry& registry_;
  const std::function<void()> before_;
  egress::HttpServer server_;
};

// Null, with a line in the log, if it can't listen: a process serves also where its metrics can't be read.
std::unique_ptr<MetricsEndpoint> OpenMetricsEndpoint(egress::asio::io_context& io, const std::string& ip,
                                                     const MetricsAddress& address,
                                                     const prometheus::Registry& registry,
                                                     std::function<void()> before = {});

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_METRICS_ENDPOINT_HPP_
