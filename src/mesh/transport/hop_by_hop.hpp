// Header fields that concern one connection and are not passed on (RFC 9110, 7.6.1), and a body's framing.
#ifndef FENNELHOLLOW_MESH_TRANSPORT_HOP_BY_HOP_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_HOP_BY_HOP_HPP_

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace fennelhollow::transport {

// Those of requests and answers alike; each side has some of its own besides.
inline bool IsHopByHop(boost::beast::string_view name) {
  static constexpr std::array<const char*, 8> kNames = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "te",         "trailer",    "upgrade",           "proxy-connection"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](const char* own) { return boost::beast::iequals(name, own); });
}

}  // namespace fennelhollow::transport

#endif  // FENNELHOLLOW_MESH_TRANSPORT_HOP_BY_HOP_HPP_
