// One HTTP/1.1 call over a connection of its own (standard term: HTTP client).
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
  milliseconds connect{1000};
  milliseconds answer{2000};  // from when it is connected until the whole answer has come
  std::size_t body_bytes = std::size_t{16} * 1024 * 1024;
};

// `done` is called once, from a later turn of `io`. Not OK, with one line: no whole answer came.
void Exchange(asio::io_context& io, const Tcp::endpoint& core, HttpCall call, const HttpLimits& limits,
              std::function<void(absl::StatusOr<HttpReply>)> done);

// "ip:port,ip:port,..."; kInvalidArgument with one line. At most 64.
absl::StatusOr<std::vector<Tcp::endpoint>> ParseCores(std::string_view text);

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_HTTP_CLIENT_HPP_
