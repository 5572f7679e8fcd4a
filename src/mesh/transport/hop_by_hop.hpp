// Hop-by-hop header fields, which are not forwarded (RFC 9110, section 7.6.1), and those of message framing.
#ifndef FENNELHOLLOW_MESH_TRANSPORT_HOP_BY_HOP_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_HOP_BY_HOP_HPP_

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>

namespace fennelhollow::transport {

// Fields common to requests and responses; callers check further ones for each direction.
inline bool IsHopByHop(boost::beast::string_view name) {
  static constexpr std::array<const char*, 8> kNames = {
      "connection", "keep-alive", "transfer-encoding", "content-length",
      "te",         "trailer",    "upgrade",           "proxy-connection"};
  return std::any_of(kNames.begin(), kNames.end(),
                     [&](const char* field) { return boost::beast::iequals(name, field); });
}

}  // namespace fennelhollow::transport

#endif  // FENNELHOLLOW_MESH_TRANSPORT_HOP_BY_HOP_HPP_
