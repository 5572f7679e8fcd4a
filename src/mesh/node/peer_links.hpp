// A core's outgoing links to the other cores, dialed on demand and redialed with exponential backoff. They
// are one-way: peers reply over links of their own.
#ifndef FENNELHOLLOW_MESH_NODE_PEER_LINKS_HPP_
#define FENNELHOLLOW_MESH_NODE_PEER_LINKS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::node {

using merlinrun::Micros;

// Not thread-safe: everything runs on the thread of `io`.
class PeerLinks {
 public:
  using PeerId = std::string;  // internal address, ip:port

  // Never called from within Send.
  struct Events {
    std::function<void(const PeerId&)> on_down;     // a link was closed or could not be established
    std::function<void(const PeerId&)> on_refused;  // the host is up, but nothing listens on the port
  };

  // `hello` is the first frame on each link.
  PeerLinks(transport::asio::io_context& io, merlinrun::net::AsioLoop& loop, transport::Hello hello,
            Events events);
  ~PeerLinks();  // closes all links; no callback runs afterwards
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // False if there is no link now (dialing starts unless backing off) or the peer's send queue is full.
  bool Send(const PeerId& to, std::string_view frame);
  // Bytes queued for connected peers that they have not read yet.
  std::size_t queued_bytes() const;
  std::size_t size() const { return peers_.size(); }
  std::uint64_t dials() const { return dials_; }

 private:
  struct Peer {
    std::shared_ptr<transport::Link> link;
    bool was_up = false;
    Micros dialed_at = 0;
    Micros up_at = 0;
    Micros backoff = 0;
    Micros retry_at = 0;
    Micros last_used_at = 0;
  };
  Peer& FindOrAdd(const PeerId& id);
  void EvictLeastRecentlyUsed();
  void Dial(const PeerId& to, Peer& peer);
  void OnUp(const PeerId& to);
  void OnClosed(const PeerId& to);

  transport::asio::io_context& io_;
  merlinrun::net::AsioLoop& loop_;
  const transport::Hello hello_;
  const Events events_;
  std::map<PeerId, Peer> peers_;
  std::uint64_t dials_ = 0;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_PEER_LINKS_HPP_
