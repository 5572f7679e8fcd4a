// The names that the protocol fixes, and the message types that its parts share.
#ifndef MERLINRUN_NET_PROTOCOL_HPP_
#define MERLINRUN_NET_PROTOCOL_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <string>
#include <utility>

namespace merlinrun::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

inline constexpr std::size_t kMostBody = std::size_t{64} * 1024;
inline constexpr std::size_t kMostHeader = std::size_t{8} * 1024;
inline constexpr std::size_t kReadSize = std::size_t{8} * 1024;
// What a connection holds unparsed: one header and one read.
inline constexpr std::size_t kMostUnparsed = kMostHeader + kReadSize;

inline constexpr const char* kIdHeader = "Req-Id";
inline constexpr const char* kClassHeader = "Req-Kind";
inline constexpr const char* kTenantHeader = "Req-Owner";
inline constexpr const char* kDeadlineHeader = "Req-Deadline";
inline constexpr const char* kRepeatHeader = "Req-Retry";
inline constexpr const char* kCostHeader = "Req-Cost";
inline constexpr const char* kExtraHeader = "Req-Extra";
inline constexpr const char* kIdempotencyHeader = "Idempotency-Key";
// What a request brings that the protocol names: passed on, and never more than once in a request.
inline constexpr const char* kRequestHeaders[] = {"Host",        kIdHeader,       kClassHeader,
                                                  kTenantHeader, kDeadlineHeader, kRepeatHeader,
                                                  kCostHeader,   kExtraHeader,    kIdempotencyHeader};
inline constexpr const char* kDeclinedHeader = "Srv-Declined";
inline constexpr const char* kKeyParameter = "obj";
inline constexpr const char* kReadyPath = "/ready";

// An answer of the sidecar's own.
inline HttpResponse Plain(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_PROTOCOL_HPP_
