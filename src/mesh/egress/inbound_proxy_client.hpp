// Links to the last hops of other machines, one attempt at a time each (standard term: upstream connection
// pool).
#ifndef FENNELHOLLOW_MESH_EGRESS_INBOUND_PROXY_CLIENT_HPP_
#define FENNELHOLLOW_MESH_EGRESS_INBOUND_PROXY_CLIENT_HPP_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "core/loop.hpp"
#include "mesh/ingress/proxy_protocol.hpp"
#include "mesh/transport/link.hpp"

namespace fennelhollow::egress {

namespace asio = merlinrun::net::asio;
using merlinrun::Micros;

// One thread. Each Send ends with exactly one of `turned`, `broken`, or a head and its body's end, unless it
// is given up.
class InboundProxyClient {
 public:
  struct Events {
    std::function<void(ingress::Head)> head;  // `end` set: that was all
    std::function<void(ingress::Piece)> piece;
    std::function<void(ingress::Why)> turned;  // not passed on, and never will be
    // No answer, or no more of one. `never_ran`: the last hop has promised that it never passed it on.
    std::function<void(bool never_ran, bool garbled)> broken;
  };
  struct Settings {
    std::string name, address;  // of this sidecar
    std::uint64_t life = 0;
    int dial_ms = 300;
    int ask_ms = 400;  // for the whole of an asking after a lost attempt
  };
  using Handle = std::uint64_t;

  InboundProxyClient(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings);
  ~InboundProxyClient();

  // `hop`: ip:port. The attempt's ticket is set here. Events come from the loop, never from inside this call.
  Handle Send(const std::string& hop, ingress::Attempt attempt, Events events);
  // Nobody waits any more; no event comes.
  void GiveUp(Handle handle);
  void Pause(Handle handle);
  void Resume(Handle handle);
  // Idle links are closed that have not been used for so long.
  void OnTick(Micros now);
  std::uint64_t links_dialed() const { return links_dialed_; }
  std::uint64_t status_queries() const { return status_queries_; }
  std::size_t idle() const;

 private:
  struct Line;  // a link with its state
  using LinePtr = std::shared_ptr<Line>;
  struct Out;  // an attempt that is out
  void Begin(const LinePtr& line, Handle handle);
  LinePtr Dial(const std::string& hop);
  void OnFrame(const LinePtr& line, std::string_view frame);
  void OnClosed(const LinePtr& line);
  void Free(const LinePtr& line);
  void AskAfter(Handle handle);
  void Break(Handle handle, bool never_ran, bool garbled);

  asio::io_context& io_;
  merlinrun::core::Loop& loop_;
  const Settings settings_;
  std::uint64_t last_ = 0, links_dialed_ = 0, status_queries_ = 0;
  std::map<Handle, std::unique_ptr<Out>> out_;
  std::map<std::string, std::list<LinePtr>> idle_;  // the one used last at the back
};

}  // namespace fennelhollow::egress

#endif  // FENNELHOLLOW_MESH_EGRESS_INBOUND_PROXY_CLIENT_HPP_
