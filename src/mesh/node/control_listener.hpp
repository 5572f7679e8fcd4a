// HTTP/1.1 listener of the control plane API. Decodes each call into a Command and passes it to a handler;
// used by cores and sidecars.
#ifndef FENNELHOLLOW_MESH_NODE_CONTROL_LISTENER_HPP_
#define FENNELHOLLOW_MESH_NODE_CONTROL_LISTENER_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "mesh/control/command.hpp"
#include "mesh/memory/buffer_account.hpp"
#include "mesh/memory/receive_buffer.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::node {

using control::Command;
using control::Response;

// Not thread-safe: everything runs on the thread of `io`.
class ControlListener {
 public:
  struct Limits {
    std::size_t max_connections = 512;  // beyond it a connection gives way, see memory::RankForPlace
    int receive_bytes = memory::kOperatorReceiveBytes;  // SO_RCVBUF of each connection
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
    std::size_t max_total_body_bytes = std::size_t{32} * 1024 * 1024;  // over all connections; beyond it, 503
    int call_timeout_ms = 10'000;  // from a call's first byte until its response is written
    int idle_timeout_ms = 15'000;
    // Extends the timeout of a long-polling Events.Read call. 0: events are not served here (404).
    int max_event_wait_ms = 0;
  };
  struct Counters {
    std::uint64_t calls = 0;      // passed to the handler
    std::uint64_t malformed = 0;  // not HTTP, or over a size limit: answered with 4xx and closed
    std::uint64_t timed_out = 0;  // calls past call_timeout_ms
    std::uint64_t rejected = 0;   // connections closed, or calls rejected, because a limit was reached
    std::uint64_t evicted = 0;  // connections closed in favor of others, while they waited for their callers
  };
  // Call once on the loop's thread, from the handler or later; ignored if the client has disconnected.
  using Reply = std::function<void(Response)>;
  using Handler = std::function<void(Command, Reply)>;
  // About how many bytes the response to a call will have: they are charged before the call is handled.
  using ExpectedBytes = std::function<std::size_t(const Command&)>;

  // `account`, which must outlive it, is charged with what the connections buffer, in both directions, until
  // the response is written. `expected_bytes` may be empty. Throws boost::system::system_error if the address
  // cannot be bound.
  ControlListener(merlinrun::net::asio::io_context& io, const merlinrun::net::Tcp::endpoint& address,
                  Limits limits, memory::BufferAccount& account, Handler handler,
                  ExpectedBytes expected_bytes = {});
  ~ControlListener();  // closes all connections; neither the handler nor `done` is called afterwards
  ControlListener(const ControlListener&) = delete;
  ControlListener& operator=(const ControlListener&) = delete;

  // Stops accepting, closes idle connections, lets calls in flight finish, then posts `done` to the loop.
  // Call once.
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
