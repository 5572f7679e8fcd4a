// Header names, limits and message types of the HTTP protocol between clients, sidecar and servers.
#ifndef MERLINRUN_NET_PROTOCOL_HPP_
#define MERLINRUN_NET_PROTOCOL_HPP_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
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

// Larger bodies are streamed through a pipe, up to kMaxStreamedBody. Sizes are in bytes.
inline constexpr std::size_t kMaxBufferedBody = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxStreamedBody = std::size_t{32} * 1024 * 1024;
// The reservation includes the buffers with which both ends read and write.
inline constexpr std::size_t kPipeCapacity = kMaxBufferedBody;
inline constexpr std::size_t kPipeReservation = 2 * kPipeCapacity;
// For a body of unknown length.
inline constexpr std::size_t kInitialReservation = std::size_t{8} * 1024;
// The reservation for a body of which `received` bytes have been read; doubled, so that it grows rarely.
inline constexpr std::size_t ReservationFor(std::size_t received) {
  return std::min(kMaxBufferedBody, std::max(kInitialReservation, 2 * received));
}
// Socket send buffer for streamed bodies. Small, as a writer is only woken when a third of the buffer is
// free: with a large buffer a slow reader seems to stall.
inline constexpr int kStreamSendBuffer = 128 * 1024;
inline constexpr std::size_t kMaxHeader = std::size_t{8} * 1024;
inline constexpr std::size_t kReadSize = std::size_t{8} * 1024;
// Unparsed input of a connection: one header and one read.
inline constexpr std::size_t kMaxUnparsed = kMaxHeader + kReadSize;

inline constexpr const char* kIdHeader = "Req-Id";
inline constexpr const char* kClassHeader = "Req-Kind";
inline constexpr const char* kTenantHeader = "Req-Owner";
inline constexpr const char* kDeadlineHeader = "Req-Deadline";
inline constexpr const char* kRetryHeader = "Req-Retry";
inline constexpr const char* kCostHeader = "Req-Cost";
inline constexpr const char* kExtraHeader = "Req-Extra";
inline constexpr const char* kIdempotencyHeader = "Idempotency-Key";
// Request headers that are forwarded to servers. None may be repeated in a request.
inline constexpr const char* kRequestHeaders[] = {"Host",        kIdHeader,       kClassHeader,
                                                  kTenantHeader, kDeadlineHeader, kRetryHeader,
                                                  kCostHeader,   kExtraHeader,    kIdempotencyHeader};
inline constexpr const char* kDeclinedHeader = "Srv-Declined";
inline constexpr const char* kKeyParameter = "obj";
inline constexpr const char* kReadyPath = "/ready";

// A string body for parsers that grows as data arrives. Beast's string_body reserves the whole Content-Length
// at once.
struct IncrementalBody {
  using value_type = std::string;
  class reader {
   public:
    template <bool kRequest, class Fields>
    reader(http::header<kRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>& length, ErrorCode& error) {
      error = {};
      if (length) body_.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, kMaxBufferedBody)));
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, ErrorCode& error) {
      error = {};
      std::size_t sum = 0;
      for (auto it = asio::buffer_sequence_begin(buffers); it != asio::buffer_sequence_end(buffers); ++it) {
        const asio::const_buffer part = *it;
        body_.append(static_cast<const char*>(part.data()), part.size());
        sum += part.size();
      }
      return sum;
    }
    static void finish(ErrorCode& error) { error = {}; }

   private:
    value_type& body_;
  };
};

// Moves the message out of a parser, with the body as far as it has been read.
template <bool kRequest>
http::message<kRequest, http::string_body> TakeMessage(http::parser<kRequest, IncrementalBody>& parser) {
  http::message<kRequest, http::string_body> out(std::move(parser.get().base()));
  out.body() = std::move(parser.get().body());
  return out;
}

// A response by the sidecar itself.
inline HttpResponse TextResponse(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_PROTOCOL_HPP_
