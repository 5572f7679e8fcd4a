// The HTTP/1.1 side towards callers on this machine (standard term: listener of an egress proxy). Reads whole
// requests, one at a time a connection; writes whole answers, or their pieces as they come.
#ifndef FENNELHOLLOW_MESH_EGRESS_HTTP_SERVER_HPP_
#define FENNELHOLLOW_MESH_EGRESS_HTTP_SERVER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/settings/settings.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::egress {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  std::string method, target, host;
  Headers headers;  // without those of the connection and the body's framing
  std::string body;
};

class HttpServer {
 public:
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Limits {
    std::size_t max_header_bytes = 16384;
    std::size_t max_body_bytes = 67108864;
    std::size_t max_buffered_bytes = std::size_t{96} * 1024 * 1024;  // of bodies, over all connections
    std::int64_t header_timeout_ms = 3000;
    std::int64_t idle_timeout_ms = 15000;
    std::size_t max_connections = 3000;
  };
  struct Handler {
    // A whole request; exactly one answer is owed (Respond, or Begin ... Finish or Abort).
    std::function<void(const SessionPtr&, HttpRequest)> on_request;
    // The client left while its answer was owed; nothing is owed any more.
    std::function<void(const SessionPtr&)> on_disconnect;
  };

  // Throws boost::system::system_error if the address can't be listened on.
  HttpServer(asio::io_context& io, const settings::Address& at, Limits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  static void Respond(const SessionPtr& session, unsigned status, const Headers& headers,
                      std::string_view body);
  // `length` -1: in chunks.
  static void Begin(const SessionPtr& session, unsigned status, const Headers& headers, std::int64_t length);
  static void Write(const SessionPtr& session, std::string_view bytes);
  static void Finish(const SessionPtr& session);
  // Ends the connection so that the cut can be seen.
  static void Abort(const SessionPtr& session);
  static std::size_t Queued(const SessionPtr& session);
  static void OnDrained(const SessionPtr& session, std::function<void()> drained);
  // Whatever the owner wants to know a session by.
  static std::uint64_t& Tag(const SessionPtr& session);

  void SetLimits(const Limits& limits) { limits_ = limits; }
  // Answers say Connection: close from now on. Idle connections stay: closed now, one could meet its next
  // request.
  void SetDraining();
  // Takes what has connected, and no more.
  void StopAccepting();
  std::size_t sessions() const { return sessions_.size(); }
  std::size_t busy() const { return busy_; }  // that are owed an answer, or whose request has begun to come

 private:
  void Accept();
  void Add(Tcp::socket socket);
  void SweepLater();

  asio::io_context& io_;
  Limits limits_;
  Handler handler_;
  Tcp::acceptor acceptor_;
  asio::steady_timer pause_, sweep_;
  bool draining_ = false;
  std::size_t held_ = 0;
  std::size_t busy_ = 0;
  std::list<SessionPtr> sessions_;
};

}  // namespace fennelhollow::egress

#endif  // FENNELHOLLOW_MESH_EGRESS_HTTP_SERVER_HPP_
