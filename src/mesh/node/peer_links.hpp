// The links that a core holds to other cores: dialled when there is something to send, again after a pause
// that doubles. What comes back comes over the other core's own link.
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

// Threading: all of it on the thread of `io`.
class PeerLinks {
 public:
  using PeerId = std::string;  // internal address, ip:port

  // Never called from inside Send.
  struct Events {
    std::function<void(const PeerId&)> on_down;     // a link has ended, or could not be made
    std::function<void(const PeerId&)> on_refused;  // the machine answers, and nobody listens there
  };

  // `hello` begins each link.
  PeerLinks(transport::asio::io_context& io, merlinrun::net::AsioLoop& loop, transport::Hello hello,
            Events events);
  ~PeerLinks();  // closes all; no event is called any more
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  // False: no link now, or too much waits for this peer to read it.
  bool Send(const PeerId& to, std::string_view frame);
  // Bytes that connected peers have not read yet.
  std::size_t queued() const;
  std::size_t size() const { return peers_.size(); }
  std::uint64_t dials() const { return dials_; }

 private:
  struct Peer {
    std::shared_ptr<transport::Link> link;
    bool was_up = false;
    Micros dialled_at = 0;
    Micros up_at = 0;
    Micros backoff = 0;
    Micros retry_at = 0;
    Micros used_at = 0;
  };
  Peer& Find(const PeerId& id);
  void DropLeastUsed();
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
