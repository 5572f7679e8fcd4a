// HTTP/1.1 client of the test programs, as coroutines on one thread.
#ifndef FENNELHOLLOW_RIG_MESH_HTTP_HPP_
#define FENNELHOLLOW_RIG_MESH_HTTP_HPP_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>  // Asio 1.74's awaitable.hpp needs it earlier: see -include in CMakeLists.txt

namespace fennelhollow::rig {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  std::string Text() const { return ip + ":" + std::to_string(port); }
  Tcp::endpoint Endpoint() const { return {asio::ip::make_address(ip), port}; }
};

asio::awaitable<void> Sleep(asio::io_context& io, milliseconds time);

// A keep-alive connection to one address.
class HttpConnection {
 public:
  HttpConnection(asio::io_context& io, Address address) : io_(io), address_(std::move(address)) {}
  // Returns nullopt without a complete response within `timeout`; the next call reconnects.
  asio::awaitable<std::optional<Response>> Call(Request request, milliseconds timeout);
  const Address& address() const { return address_; }

 private:
  asio::io_context& io_;
  const Address address_;
  std::unique_ptr<beast::tcp_stream> stream_;  // null: not connected
  beast::flat_buffer buffer_;
};

Request MakeRequest(http::verb method, const std::string& target, const std::string& host,
                    std::string body = {});

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_HTTP_HPP_
