// Stand-in of an application server as PROTOCOL.md describes it: it reports to the sidecar of its machine,
// works on `slots` requests at once, queues a few more and turns the others away. How it writes its answers
// is up to the scenario.
#ifndef FENNELHOLLOW_REVIEW_COMMON_APP_SERVER_HPP_
#define FENNELHOLLOW_REVIEW_COMMON_APP_SERVER_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "rig/mesh/http.hpp"

namespace fennelhollow::review {

namespace asio = rig::asio;
namespace beast = rig::beast;
namespace http = rig::http;
using rig::Address;
using rig::Request;
using rig::Response;

class AppServer : public std::enable_shared_from_this<AppServer> {
 public:
  // Runs the request and writes the whole answer to the stream.
  using Handler = std::function<asio::awaitable<void>(const Request& request, beast::tcp_stream& stream)>;
  struct Options {
    std::string id, service;
    Address address;
    Address control;  // of the sidecar on its machine
    int slots = 18, queue = 72;
  };
  AppServer(asio::io_context& io, Options options, Handler handler);
  void Start();
  // Says that it drains, serves on for `drain_time`, departs and ends.
  asio::awaitable<void> Leave(rig::milliseconds drain_time);
  const Options& options() const { return options_; }

 private:
  static asio::awaitable<void> Accept(std::shared_ptr<AppServer> self);
  static asio::awaitable<void> Serve(std::shared_ptr<AppServer> self, rig::Tcp::socket socket);
  static asio::awaitable<void> SendHeartbeats(std::shared_ptr<AppServer> self);
  asio::awaitable<bool> SendHeartbeat();
  asio::awaitable<void> Answer(const Request& request, beast::tcp_stream& stream);

  asio::io_context& io_;
  const Options options_;
  const Handler handler_;
  rig::Tcp::acceptor acceptor_;
  int busy_ = 0, waiting_ = 0;
  std::uint64_t sequence_ = 0;
  bool draining_ = false, ended_ = false;
};

// Writes `bytes` to the stream; false if the connection is broken.
asio::awaitable<bool> WriteBytes(beast::tcp_stream& stream, const std::string& bytes);
// Head of a 200 with the id and the seal of this request, and its Content-Length.
std::string OkHead(const std::string& attempt_id, std::size_t body_bytes);

}  // namespace fennelhollow::review

#endif  // FENNELHOLLOW_REVIEW_COMMON_APP_SERVER_HPP_
