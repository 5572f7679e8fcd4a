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

class Conversation : public std::enable_shared_from_this<Conversation> {
 public:
  Conversation(asio::io_context& io, const Tcp::endpoint& core, HttpCall call, const HttpLimits& limits,
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
    parser_.body_limit(limits.body_bytes);
  }

  void Begin() {
    stream_.expires_after(limits_.connect);
    stream_.async_connect(core_, [self = shared_from_this()](ErrorCode error) {
      if (error) return self->Fail("no connection", error);
      self->Write();
    });
  }

 private:
  void Write() {
    stream_.expires_after(limits_.answer);
    http::async_write(stream_, request_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      // A core that refuses a call early may close before it has read all; its answer is there.
      if (error == beast::error::timeout) return self->Fail("no answer", error);
      self->Read();
    });
  }
  void Read() {
    http::async_read(stream_, buffer_, parser_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      if (error) return self->Fail("no whole answer", error);
      HttpReply out;
      auto& message = self->parser_.get();
      out.status = message.result_int();
      out.location = std::string(message[http::field::location]);
      out.retry_after = std::string(message[http::field::retry_after]);
      out.body = std::move(message.body());
      self->done_(std::move(out));
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
  std::make_shared<Conversation>(io, core, std::move(call), limits, std::move(done))->Begin();
}

absl::StatusOr<std::vector<Tcp::endpoint>> ParseCores(std::string_view text) {
  std::vector<Tcp::endpoint> out;
  const std::vector<std::string> parts = absl::StrSplit(std::string(text), ',', absl::SkipWhitespace());
  for (const std::string& part : parts) {
    const auto address = merlinrun::net::ParseAddress(part);
    if (!address) return absl::InvalidArgumentError(absl::StrCat("no address of the form ip:port: ", part));
    if (std::find(out.begin(), out.end(), *address) == out.end()) out.push_back(*address);
  }
  if (out.empty()) return absl::InvalidArgumentError("no cores are named");
  if (out.size() > 64) return absl::InvalidArgumentError("more than 64 cores are named");
  return out;
}

}  // namespace fennelhollow::tools
