// The control plane's address: HTTP/1.1, calls decoded and handed on. In a core and beside a server.
#ifndef FENNELHOLLOW_MESH_NODE_CONTROL_LISTENER_HPP_
#define FENNELHOLLOW_MESH_NODE_CONTROL_LISTENER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "mesh/control/command.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::node {

using control::Command;
using control::Response;

// Threading: all of it on the thread of `io`.
class ControlListener {
 public:
  struct Limits {
    std::size_t connections = 512;  // one more, and the one that has been idle longest goes
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t bodies_bytes = std::size_t{32} * 1024 * 1024;  // of all connections together; past it, 503
    int call_ms = 10'000;  // from a call's first byte until its answer is written
    int idle_ms = 15'000;
    // Added to a call for events once it has come whole, as its answer may be waited for. 0: there are no
    // events here, and such a call is unknown.
    int event_wait_ms = 0;
  };
  struct Counters {
    std::uint64_t calls = 0;        // handed to the handler
    std::uint64_t bad = 0;          // not HTTP, or past a limit: answered 4xx and closed
    std::uint64_t timed_out = 0;    // calls that took too long
    std::uint64_t turned_away = 0;  // connections closed, or calls refused, for want of room
  };
  // Called once, from the loop's thread, inside the handler or later; nothing happens if the caller has gone.
  using Reply = std::function<void(Response)>;
  using Handler = std::function<void(Command, Reply)>;

  // Throws boost::system::system_error if the address can't be listened on.
  ControlListener(merlinrun::net::asio::io_context& io, const merlinrun::net::Tcp::endpoint& address,
                  Limits limits, Handler handler);
  ~ControlListener();  // closes all; neither the handler nor `done` is called any more
  ControlListener(const ControlListener&) = delete;
  ControlListener& operator=(const ControlListener&) = delete;

  // Accepts nothing more, closes idle connections and lets calls under way end; then `done`, from the loop.
  void Stop(std::function<void()> done);

  merlinrun::net::Tcp::endpoint address() const;
  std::size_t connections() const;
  const Counters& counters() const;

 private:
  class Impl;
  class Connection;
  std::shared_ptr<Impl> impl_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_CONTROL_LISTENER_HPP_
