#include "tools/mesh/http_client.hpp"

#include <absl/status/status.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::tools {
namespace {

namespace beast = merlinrun::net::beast;
namespace http = merlinrun::net::http;
using merlinrun::net::ErrorCode;

class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  HttpExchange(asio::io_context& io, const Tcp::endpoint& core, HttpCall call, const HttpLimits& limits,
               std::function<void(absl::StatusOr<HttpReply>)> done)
      : stream_(io), core_(core), limits_(limits), done_(std::move(done)) {
    request_.method_string(call.method);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, merlinrun::net::FormatAddress(core));
    request_.keep_alive(false);
    if (!call.body.empty()) request_.set(http::field::content_type, "application/json");
    request_.body() = std::move(call.body);
    request_.prepare_payload();
    parser_.body_limit(limits.max_body_bytes);
  }

  void Start() {
    stream_.expires_after(limits_.connect_timeout);
    stream_.async_connect(core_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->Fail("cannot connect", error);
      self->Write();
    });
  }

 private:
  void Write() {
    stream_.expires_after(limits_.response_timeout);
    http::async_write(stream_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      // A core that rejects a call early may close before reading it all; its response is still read.
      if (error == beast::error::timeout) return self->Fail("no response", error);
      self->Read();
    });
  }
  void Read() {
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Fail("incomplete response", error);
      HttpReply result;
      auto& message = self->parser_.get();
      result.status = message.result_int();
      result.location = std::string(message[http::field::location]);
      result.retry_after = std::string(message[http::field::retry_after]);
      result.body = std::move(message.body());
      self->done_(std::move(result));
    });
  }
  void Fail(const std::string& what, ErrorCode error) {
    done_(absl::UnavailableError(absl::StrCat(what, ": ", error.message())));
  }

  beast::tcp_stream stream_;
  const Tcp::endpoint core_;
  const HttpLimits limits_;
  const std::function<void(absl::StatusOr<HttpReply>)> done_;
  merlinrun::net::HttpRequest request_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
};

}  // namespace

void Exchange(asio::io_context& io, const Tcp::endpoint& core, HttpCall call, const HttpLimits& limits,
              std::function<void(absl::StatusOr<HttpReply>)> done) {
  std::make_shared<HttpExchange>(io, core, std::move(call), limits, std::move(done))->Start();
}

absl::StatusOr<std::vector<Tcp::endpoint>> ParseCores(std::string_view text) {
  std::vector<Tcp::endpoint> result;
  const std::vector<std::string> addresses = absl::StrSplit(std::string(text), ',', absl::SkipWhitespace());
  for (const std::string& part : addresses) {
    const auto address = merlinrun::net::ParseAddress(part);
    if (!address)
      return absl::InvalidArgumentError(absl::StrCat("not an address of the form ip:port: ", part));
    if (std::find(result.begin(), result.end(), *address) == result.end()) result.push_back(*address);
  }
  if (result.empty()) return absl::InvalidArgumentError("no cores given");
  if (result.size() > 64) return absl::InvalidArgumentError("more than 64 cores given");
  return result;
}

}  // namespace fennelhollow::tools
