#include "rig/mesh/http.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>

namespace fennelhollow::rig {
namespace {

constexpr std::uint64_t kMaxResponseBytes = std::uint64_t{64} << 20;

}  // namespace

asio::awaitable<void> Sleep(asio::io_context& io, milliseconds time) {
  asio::steady_timer timer(io, time);
  boost::system::error_code ignored;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Request MakeRequest(http::verb method, const std::string& target, const std::string& host, std::string body) {
  Request request(method, target, 11);
  request.set(http::field::host, host);
  if (!body.empty()) request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

asio::awaitable<std::optional<Response>> HttpConnection::Call(Request request, milliseconds timeout) {
  boost::system::error_code error;
  if (stream_ == nullptr) {
    stream_ = std::make_unique<beast::tcp_stream>(io_.get_executor());
    buffer_.clear();
    stream_->expires_after(timeout);
    co_await stream_->async_connect(address_.Endpoint(), asio::redirect_error(asio::use_awaitable, error));
  }
  stream_->expires_after(timeout);
  if (!error) co_await http::async_write(*stream_, request, asio::redirect_error(asio::use_awaitable, error));
  http::response_parser<Response::body_type> parser;
  parser.body_limit(kMaxResponseBytes);
  if (!error)
    co_await http::async_read(*stream_, buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
  if (error || !parser.get().keep_alive()) stream_.reset();
  if (error) co_return std::nullopt;
  co_return parser.release();
}

}  // namespace fennelhollow::rig
