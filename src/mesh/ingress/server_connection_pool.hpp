// Kept HTTP/1.1 connections to the server on this machine (standard term: upstream connection pool).
#ifndef FENNELHOLLOW_MESH_INGRESS_SERVER_CONNECTION_POOL_HPP_
#define FENNELHOLLOW_MESH_INGRESS_SERVER_CONNECTION_POOL_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "mesh/ingress/proxy_protocol.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::ingress {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

// One thread. Each call of Send ends with exactly one of `end`, `failed`, unless it is cancelled.
class ServerPool {
 public:
  enum class Failure {
    kNotSent,  // no connection, or it was gone before a byte was written: the server has nothing of it
    kBroken,   // may have run; no answer will come, or no more of it
    kGarbled,  // the same, and what came was no answer to it
  };
  struct Events {
    // The answer's head with the first of its body. `length`: of the whole body; -1 = in chunks.
    std::function<void(std::uint16_t status, Headers headers, std::int64_t length)> head;
    std::function<void(std::string bytes)> piece;
    std::function<void()> end;
    std::function<void(Failure)> failed;
  };
  struct Request {
    std::string id;  // Attempt-Id: answers with another are not this one's
    std::string method, target;
    Headers headers;
    std::string body;
  };
  using Handle = std::uint64_t;

  explicit ServerPool(asio::io_context& io);
  ~ServerPool();
  ServerPool(const ServerPool&) = delete;
  ServerPool& operator=(const ServerPool&) = delete;

  // `address`: ip:port. Events come from the loop, never from inside this call.
  Handle Send(const std::string& address, Request request, Events events);
  // Ends it by closing its connection; no event comes any more.
  void Cancel(Handle handle);
  void Pause(Handle handle);  // reads no more of its answer until Resume
  void Resume(Handle handle);
  // Idle connections to an address are closed.
  void Drop(const std::string& address);
  std::uint64_t connections_opened() const { return connections_opened_; }
  std::uint64_t stray_responses() const { return stray_responses_; }  // answers that were nobody's
  std::size_t open() const { return *open_; }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  void SweepLater();

  asio::io_context& io_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  Handle last_ = 0;
  std::uint64_t connections_opened_ = 0, stray_responses_ = 0;
  // Shared: a connection may outlive the pool by a handler that is about to be called.
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
  std::map<Handle, ConnectionPtr> busy_;
  std::map<std::string, std::list<ConnectionPtr>> idle_;  // newest at the back
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_SERVER_CONNECTION_POOL_HPP_
