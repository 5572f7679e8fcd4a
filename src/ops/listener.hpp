// The HTTP/1.1 listener of the operators' API, with one request per connection.
#ifndef MERLINRUN_OPS_LISTENER_HPP_
#define MERLINRUN_OPS_LISTENER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <list>
#include <memory>

#include "ops/api.hpp"

namespace merlinrun::ops {

// Threading: everything runs on the thread of `io`.
class Listener {
 public:
  struct Limits {
    // One more connection closes the oldest, so that silent connections can't block others.
    std::size_t max_connections = 16;
    // Microseconds to send the request, and again to read the response.
    Micros io_timeout = 2'000'000;
  };

  // Throws boost::system::system_error if the address cannot be listened on. The references must outlive
  // this.
  Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Limits limits,
           Api& api);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return connections_.size(); }
  // The largest number of open descriptors: connections, acceptor, and a new connection before the oldest is
  // closed.
  static constexpr std::size_t MaxDescriptors(const Limits& limits) { return limits.max_connections + 2; }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  const Limits limits_;
  Api& api_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::list<ConnectionPtr> connections_;  // oldest first
};

}  // namespace merlinrun::ops

#endif  // MERLINRUN_OPS_LISTENER_HPP_
