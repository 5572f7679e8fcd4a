// HTTP/1.1 client: one call per connection.
#ifndef FENNELHOLLOW_TOOLS_MESH_HTTP_CLIENT_HPP_
#define FENNELHOLLOW_TOOLS_MESH_HTTP_CLIENT_HPP_

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "net/protocol.hpp"

namespace fennelhollow::tools {

namespace asio = merlinrun::net::asio;
using merlinrun::net::Tcp;
using std::chrono::milliseconds;

struct HttpCall {
  std::string method = "GET";
  std::string target;
  std::string body;
};
struct HttpReply {
  unsigned status = 0;
  std::string body;
  std::string location;
  std::string retry_after;
};
struct HttpLimits {
  milliseconds connect_timeout{1000};
  milliseconds response_timeout{2000};  // from connecting until the complete response is read
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
};

// Calls `done` once, on `io`, never from within Exchange. kUnavailable, with a one-line message, if no
// complete response was received.
void Exchange(asio::io_context& io, const Tcp::endpoint& core, HttpCall call, const HttpLimits& limits,
              std::function<void(absl::StatusOr<HttpReply>)> done);

// Parses "ip:port,ip:port,...", dropping duplicates. kInvalidArgument, with a one-line message, if an address
// is invalid or there are none or more than 64.
absl::StatusOr<std::vector<Tcp::endpoint>> ParseCores(std::string_view text);

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_HTTP_CLIENT_HPP_
