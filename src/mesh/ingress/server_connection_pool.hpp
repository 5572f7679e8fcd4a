// Pool of HTTP/1.1 keep-alive connections to the servers on this machine.
#ifndef FENNELHOLLOW_MESH_INGRESS_SERVER_CONNECTION_POOL_HPP_
#define FENNELHOLLOW_MESH_INGRESS_SERVER_CONNECTION_POOL_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "mesh/ingress/attempt_protocol.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::ingress {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

// Single-threaded. Each request ends with exactly one of `on_end` and `on_failure`, unless it is cancelled.
class ServerConnectionPool {
 public:
  enum class Failure {
    kNotSent,  // no connection, or it was lost before a byte was written: the server has not seen the request
    kReset,    // the server may have executed the request; the response is missing or incomplete
    kMalformed,  // like kReset, but the server sent something that is not a valid response
    kNoSocket,   // this process could not open a socket, which says nothing about the server: not sent
  };
  struct Events {
    // `content_length` is -1 for a chunked body.
    std::function<void(std::uint16_t status, Headers headers, std::int64_t content_length)> on_head;
    std::function<void(std::string bytes)> on_body;
    std::function<void()> on_end;
    std::function<void(Failure)> on_failure;
  };
  struct Request {
    std::string id;  // value of Attempt-Id; responses that carry another id are discarded
    std::string method, target;
    Headers headers;
    std::string body;
  };
  using Handle = std::uint64_t;

  explicit ServerConnectionPool(asio::io_context& io);
  ~ServerConnectionPool();
  ServerConnectionPool(const ServerConnectionPool&) = delete;
  ServerConnectionPool& operator=(const ServerConnectionPool&) = delete;

  // `address` is ip:port. Events are called from the event loop, never from within this call.
  Handle Send(const std::string& address, Request request, Events events);
  // Closes the request's connection; no further events are called.
  void Cancel(Handle handle);
  void Pause(Handle handle);  // stops reading the response until Resume
  void Resume(Handle handle);
  void CloseIdle(const std::string& address);
  std::uint64_t connections_opened() const { return connections_opened_; }
  std::uint64_t stray_responses() const { return stray_responses_; }  // that matched no request
  std::size_t open_connections() const { return *open_connections_; }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void ScheduleSweep();

  asio::io_context& io_;
  asio::steady_timer sweep_timer_;
  bool sweep_scheduled_ = false;
  Handle last_handle_ = 0;
  std::uint64_t connections_opened_ = 0, stray_responses_ = 0;
  // Shared, because a pending handler may keep a connection alive after the pool is gone.
  std::shared_ptr<std::size_t> open_connections_ = std::make_shared<std::size_t>(0);
  std::map<Handle, ConnectionPtr> busy_;
  std::map<std::string, std::list<ConnectionPtr>> idle_;  // by address, most recently used last
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_SERVER_CONNECTION_POOL_HPP_
