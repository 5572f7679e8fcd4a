// The second address on sockets: HTTP/1.1, one call to a connection.
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

// Threading: all of it on the thread of `io`.
class Listener {
 public:
  struct Limits {
    // Callers at once; one more makes the one go that has been here longest. Guards against callers that say
    // nothing and so keep the others out.
    std::size_t callers = 16;
    // From its connection a caller has so long to ask, and then once more to read its answer, microseconds.
    Micros call = 2'000'000;
  };

  // Throws boost::system::system_error if the address cannot be listened on. What it is given must outlive
  // it.
  Listener(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, Limits limits,
           Api& api);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  boost::asio::ip::tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t callers() const { return callers_.size(); }
  // Descriptors that it may hold: the callers', its own, and one that is accepted before another goes.
  static constexpr std::size_t Sockets(const Limits& limits) { return limits.callers + 2; }

 private:
  class Caller;
  using CallerPtr = std::shared_ptr<Caller>;

  void Accept();
  void Add(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& io_;
  const Limits limits_;
  Api& api_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::list<CallerPtr> callers_;  // the one that has been here longest first
};

}  // namespace merlinrun::ops

#endif  // MERLINRUN_OPS_LISTENER_HPP_
