// Text form of TCP endpoints in configurations and server lists.
#ifndef MERLINRUN_NET_ADDRESS_HPP_
#define MERLINRUN_NET_ADDRESS_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace merlinrun::net {

// Parses "127.0.0.1:80"; returns nullopt for anything else. Port 0 is only allowed in addresses to listen on.
inline std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view text,
                                                                  bool to_listen_on = false) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  boost::system::error_code address_error;
  const auto host = boost::asio::ip::make_address(std::string(text.substr(0, colon)), address_error);
  std::uint16_t port = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
  if (address_error || error != std::errc() || end != last || (port == 0 && !to_listen_on))
    return std::nullopt;
  return boost::asio::ip::tcp::endpoint(host, port);
}

// The inverse of ParseAddress.
inline std::string FormatAddress(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_ADDRESS_HPP_
