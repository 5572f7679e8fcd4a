#include "mesh/node/peer_links.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::node {

using transport::Link;

namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kInitialBackoff = 100 * kMillisecond;
constexpr Micros kMaxBackoff = 1000 * kMillisecond;
constexpr int kDialTimeoutMs = 1000;
// A dial that fails sooner was refused: the host is up, the process is not. A partitioned or powered-off host
// does not answer.
constexpr Micros kRefusedThreshold = 300 * kMillisecond;
// A link that was up for this long is redialed without backoff.
constexpr Micros kStableAfter = 1000 * kMillisecond;
constexpr std::size_t kMaxPeers = 32;
// Per peer; consensus messages queued beyond it would be stale when read.
constexpr std::size_t kMaxQueuedBytes = std::size_t{8} * 1024 * 1024;

}  // namespace

PeerLinks::PeerLinks(transport::asio::io_context& io, merlinrun::net::AsioLoop& loop, transport::Hello hello,
                     Events events)
    : io_(io), loop_(loop), hello_(std::move(hello)), events_(std::move(events)) {}

PeerLinks::~PeerLinks() {
  for (auto& [id, peer] : peers_) {
    if (peer.link) peer.link->Close();
  }
}

bool PeerLinks::Send(const PeerId& to, std::string_view frame) {
  if (to == hello_.address || frame.size() > transport::kMaxFrameBytes) return false;
  const Micros now = loop_.Now();
  Peer& peer = FindOrAdd(to);
  peer.last_used_at = now;
  if (!peer.link && now >= peer.retry_at) Dial(to, peer);
  if (!peer.link) return false;
  if (peer.link->queued_bytes() + frame.size() > kMaxQueuedBytes) return false;
  return peer.link->Send(frame);
}

PeerLinks::Peer& PeerLinks::FindOrAdd(const PeerId& id) {
  if (const auto it = peers_.find(id); it != peers_.end()) return it->second;
  if (peers_.size() >= kMaxPeers) EvictLeastRecentlyUsed();
  Peer& peer = peers_[id];
  peer.backoff = kInitialBackoff;
  return peer;
}

void PeerLinks::EvictLeastRecentlyUsed() {
  const auto least_recent = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.last_used_at < b.second.last_used_at;
  });
  if (least_recent->second.link) least_recent->second.link->Close();
  peers_.erase(least_recent);
}

void PeerLinks::Dial(const PeerId& to, Peer& peer) {
  const auto address = merlinrun::net::ParseAddress(to);
  if (!address) return;
  ++dials_;
  peer.was_up = false;
  peer.dialed_at = loop_.Now();
  peer.link = Link::Dial(io_, *address, kDialTimeoutMs, Link::Limits{});
  peer.link->Start({[](std::string_view) {}, [this, to] { OnClosed(to); }, [this, to] { OnUp(to); }});
  peer.link->Send(transport::Pack(hello_));
}

void PeerLinks::OnClosed(const PeerId& to) {
  const auto it = peers_.find(to);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  const Micros now = loop_.Now();
  const bool refused = !peer.was_up && now - peer.dialed_at < kRefusedThreshold;
  // Redialing a stable link at once tells a restarted or stopped peer from an unreachable one.
  const bool was_stable = peer.was_up && now - peer.up_at >= kStableAfter;
  peer.link.reset();
  if (peer.was_up) peer.backoff = kInitialBackoff;
  peer.retry_at = now + peer.backoff;
  peer.backoff = std::min(2 * peer.backoff, kMaxBackoff);
  if (was_stable) Dial(to, peer);
  events_.on_down(to);
  if (refused) events_.on_refused(to);
}

// Called when the send queue has drained: the Hello is written.
void PeerLinks::OnUp(const PeerId& to) {
  const auto it = peers_.find(to);
  if (it == peers_.end() || it->second.was_up) return;
  it->second.was_up = true;
  it->second.up_at = loop_.Now();
}

std::size_t PeerLinks::queued_bytes() const {
  std::size_t total = 0;
  for (const auto& [id, peer] : peers_) {
    if (peer.link && peer.link->connected()) total += peer.link->queued_bytes();
  }
  return total;
}

}  // namespace fennelhollow::node
