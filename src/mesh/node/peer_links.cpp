#include "mesh/node/peer_links.hpp"

#include <algorithm>
#include <utility>

#include "net/address.hpp"

namespace fennelhollow::node {

using transport::Link;

namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kFirstBackoff = 100 * kMillisecond;
constexpr Micros kLastBackoff = 1000 * kMillisecond;
constexpr int kDialMs = 1000;
// A machine that is cut off or without power answers nothing; one without the process refuses at once.
constexpr Micros kRefusedWithin = 300 * kMillisecond;
constexpr Micros kHeldFor = 1000 * kMillisecond;
constexpr std::size_t kMostPeers = 32;
// What waits for a peer to read it; more messages of the consensus would be old by then.
constexpr std::size_t kMostToPeer = std::size_t{8} * 1024 * 1024;

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
  Peer& peer = Find(to);
  peer.used_at = now;
  if (!peer.link && now >= peer.retry_at) Dial(to, peer);
  if (!peer.link) return false;
  if (peer.link->queued_bytes() + frame.size() > kMostToPeer) return false;
  return peer.link->Send(frame);
}

PeerLinks::Peer& PeerLinks::Find(const PeerId& id) {
  if (const auto it = peers_.find(id); it != peers_.end()) return it->second;
  if (peers_.size() >= kMostPeers) DropLeastUsed();
  Peer& peer = peers_[id];
  peer.backoff = kFirstBackoff;
  return peer;
}

void PeerLinks::DropLeastUsed() {
  const auto oldest = std::min_element(peers_.begin(), peers_.end(), [](const auto& a, const auto& b) {
    return a.second.used_at < b.second.used_at;
  });
  if (oldest->second.link) oldest->second.link->Close();
  peers_.erase(oldest);
}

void PeerLinks::Dial(const PeerId& to, Peer& peer) {
  const auto address = merlinrun::net::ParseAddress(to);
  if (!address) return;
  ++dials_;
  peer.was_up = false;
  peer.dialled_at = loop_.Now();
  peer.link = Link::Dial(io_, *address, kDialMs, Link::Limits{});
  peer.link->Start({[](std::string_view) {}, [this, to] { OnClosed(to); }, [this, to] { OnUp(to); }});
  peer.link->Send(transport::Pack(hello_));
}

void PeerLinks::OnClosed(const PeerId& to) {
  const auto it = peers_.find(to);
  if (it == peers_.end()) return;
  Peer& peer = it->second;
  const Micros now = loop_.Now();
  const bool refused = !peer.was_up && now - peer.dialled_at < kRefusedWithin;
  // A link that held for a while has ended: dialled again at once, which tells whether anybody is there.
  const bool held = peer.was_up && now - peer.up_at >= kHeldFor;
  peer.link.reset();
  if (peer.was_up) peer.backoff = kFirstBackoff;
  peer.retry_at = now + peer.backoff;
  peer.backoff = std::min(2 * peer.backoff, kLastBackoff);
  if (held) Dial(to, peer);
  events_.on_down(to);
  if (refused) events_.on_refused(to);
}

// Its Hello is written.
void PeerLinks::OnUp(const PeerId& to) {
  const auto it = peers_.find(to);
  if (it == peers_.end() || it->second.was_up) return;
  it->second.was_up = true;
  it->second.up_at = loop_.Now();
}

std::size_t PeerLinks::queued() const {
  std::size_t queued = 0;
  for (const auto& [id, peer] : peers_) {
    if (peer.link && peer.link->connected()) queued += peer.link->queued_bytes();
  }
  return queued;
}

}  // namespace fennelhollow::node
