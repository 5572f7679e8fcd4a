#include "rig/cluster/report_network.hpp"

#include <boost/asio/buffer.hpp>
#include <utility>

#include "net/address.hpp"
#include "rig/process.hpp"
#include "rig/test_environment.hpp"

namespace merlinrun::rig {
namespace {

using ErrorCode = boost::system::error_code;

Udp::endpoint AsUdp(const std::string& address) {
  const Tcp::endpoint at = rig::ParseEndpoint(address);
  return {at.address(), at.port()};
}

std::string Text(const Udp::endpoint& at) {
  return net::FormatAddress(Tcp::endpoint(at.address(), at.port()));
}

}  // namespace

ReportNetwork::ReportNetwork(boost::asio::io_context& io, core::Loop& loop, std::size_t size,
                             std::uint64_t seed)
    : loop_(loop), size_(size), random_(seed), sockets_(size * size) {
  for (std::size_t i = 0; i < size; ++i) listens_.push_back(AsUdp(FreeAddress()));
  for (std::size_t owner = 0; owner < size; ++owner)
    for (std::size_t peer = 0; peer < size; ++peer) {
      if (owner == peer) continue;
      sockets_[owner * size + peer] = std::make_unique<PeerSocket>(
          Udp::socket(io, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)));
      Receive(owner, peer);
    }
}

ReportNetwork::~ReportNetwork() { *alive_ = false; }

std::string ReportNetwork::ListenOf(std::size_t sidecar) const { return Text(listens_.at(sidecar)); }

std::vector<std::string> ReportNetwork::PeersOf(std::size_t sidecar) const {
  std::vector<std::string> out;
  for (std::size_t peer = 0; peer < size_; ++peer)
    out.push_back(peer == sidecar ? ListenOf(sidecar)
                                  : Text(SocketAt(sidecar, peer).socket.local_endpoint()));
  return out;
}

// Datagrams of a sidecar to a peer arrive at the socket that stands for this peer.
void ReportNetwork::Set(std::size_t from, std::size_t to, const Fault& fault) {
  SocketAt(from, to).fault = fault;
}

void ReportNetwork::SetBetween(std::size_t one, std::size_t other, const Fault& fault) {
  Set(one, other, fault);
  Set(other, one, fault);
}

void ReportNetwork::SetAll(const Fault& fault) {
  for (const auto& peer_socket : sockets_)
    if (peer_socket != nullptr) peer_socket->fault = fault;
}

void ReportNetwork::SendAs(std::size_t sidecar, const std::string& bytes) {
  for (std::size_t to = 0; to < size_; ++to)
    if (to != sidecar) Deliver(sidecar, to, bytes);
}

void ReportNetwork::Receive(std::size_t owner, std::size_t peer) {
  PeerSocket& peer_socket = SocketAt(owner, peer);
  peer_socket.socket.async_receive_from(
      boost::asio::buffer(peer_socket.buffer), peer_socket.from,
      [this, owner, peer, alive = alive_](ErrorCode error, std::size_t size) {
        if (!*alive || error == boost::asio::error::operation_aborted) return;
        PeerSocket& here = SocketAt(owner, peer);
        if (!error) Forward(owner, peer, std::string(here.buffer.data(), size), here.fault);
        Receive(owner, peer);
      });
}

void ReportNetwork::Forward(std::size_t from, std::size_t to, std::string bytes, const Fault& fault) {
  std::uniform_real_distribution<double> unit;
  if (unit(random_) < fault.loss) return;
  const int times = unit(random_) < fault.duplicate ? 2 : 1;
  for (int i = 0; i < times; ++i) {
    const auto wait = static_cast<Micros>(unit(random_) * static_cast<double>(fault.max_delay));
    if (wait == 0) {
      Deliver(from, to, bytes);
      continue;
    }
    loop_.After(wait, [this, from, to, bytes, alive = alive_] {
      if (*alive) Deliver(from, to, bytes);
    });
  }
}

void ReportNetwork::Deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  ErrorCode ignored;  // the sidecar may be down
  SocketAt(to, from).socket.send_to(boost::asio::buffer(bytes), listens_[to], 0, ignored);
}

}  // namespace merlinrun::rig
