// Client of the inbound proxies on other machines: sends attempts over pooled links, one attempt per link at
// a time.
#ifndef FENNELHOLLOW_MESH_EGRESS_INBOUND_PROXY_CLIENT_HPP_
#define FENNELHOLLOW_MESH_EGRESS_INBOUND_PROXY_CLIENT_HPP_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/loop.hpp"
#include "mesh/ingress/attempt_protocol.hpp"
#include "mesh/transport/link.hpp"

namespace fennelhollow::egress {

namespace asio = merlinrun::net::asio;
using merlinrun::Micros;

// Single-threaded. Each attempt ends with exactly one of `on_rejected`, `on_reset` and a complete response,
// unless it is cancelled.
class InboundProxyClient {
 public:
  struct Events {
    std::function<void(ingress::ResponseHead)> on_head;  // the response is complete if its `end` is set
    std::function<void(ingress::BodyChunk)> on_body;
    std::function<void(ingress::RejectReason)> on_rejected;  // not forwarded to the server, and never will be
    // The response is missing or incomplete. `never_ran`: the inbound proxy confirmed that the attempt was
    // not forwarded. `malformed`: the server's response was invalid.
    std::function<void(bool never_ran, bool malformed)> on_reset;
  };
  struct Settings {
    std::string name, address;  // of this sidecar
    std::uint64_t incarnation = 0;
    int connect_timeout_ms = 300;
    int status_query_timeout_ms = 400;  // includes connecting
  };
  using Handle = std::uint64_t;

  InboundProxyClient(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings);
  ~InboundProxyClient();

  // `proxy_address` is ip:port. Sets the attempt's key, and its body from `body`, which is shared and not
  // copied as a whole. Events are called from the event loop, never from within this call.
  Handle Send(const std::string& proxy_address, ingress::Attempt attempt,
              std::shared_ptr<const std::string> body, Events events);
  // Cancels the attempt; no further events are called.
  void Cancel(Handle handle);
  void Pause(Handle handle);  // stops reading the response until Resume
  void Resume(Handle handle);
  // Closes links that have been idle for too long.
  void OnTick(Micros now);
  std::uint64_t links_dialed() const { return links_dialed_; }
  std::uint64_t status_queries() const { return status_queries_; }
  std::size_t in_flight() const { return pending_.size(); }
  std::size_t idle() const;

 private:
  struct Connection;  // a link and its state
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Pending;  // an attempt that has not ended
  void SendBody(const ConnectionPtr& connection);
  void SendAttempt(const ConnectionPtr& connection, Handle handle);
  ConnectionPtr Dial(const std::string& proxy_address);
  void OnFrame(const ConnectionPtr& connection, std::string_view frame);
  void OnClosed(const ConnectionPtr& connection);
  void Release(const ConnectionPtr& connection);
  void QueryStatus(Handle handle);
  void FinishWithReset(Handle handle, bool never_ran, bool malformed);

  asio::io_context& io_;
  merlinrun::core::Loop& loop_;
  const Settings settings_;
  std::uint64_t last_handle_ = 0, links_dialed_ = 0, status_queries_ = 0;
  std::map<Handle, std::unique_ptr<Pending>> pending_;
  std::map<std::string, std::list<ConnectionPtr>> idle_;  // by proxy address, most recently used last
};

}  // namespace fennelhollow::egress

#endif  // FENNELHOLLOW_MESH_EGRESS_INBOUND_PROXY_CLIENT_HPP_
