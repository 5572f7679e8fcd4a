// Test network for peer reports (datagrams) between sidecars: they can be lost, duplicated, delayed (and so
// reordered) or forged. Single-threaded.
#ifndef MERLINRUN_RIG_CLUSTER_REPORT_NETWORK_HPP_
#define MERLINRUN_RIG_CLUSTER_REPORT_NETWORK_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/loop.hpp"

namespace merlinrun::rig {

using Udp = boost::asio::ip::udp;

class ReportNetwork {
 public:
  struct Fault {
    double loss = 0;       // fraction of the datagrams
    double duplicate = 0;  // fraction of the datagrams
    Micros max_delay = 0;  // each is delayed by a random time up to this
  };

  ReportNetwork(boost::asio::io_context& io, core::Loop& loop, std::size_t size, std::uint64_t seed);
  ~ReportNetwork();
  ReportNetwork(const ReportNetwork&) = delete;
  ReportNetwork& operator=(const ReportNetwork&) = delete;

  // The sidecar's own listen address, and the peer list in its configuration, by index.
  std::string ListenOf(std::size_t sidecar) const;
  std::vector<std::string> PeersOf(std::size_t sidecar) const;

  // Set the fault of one direction, of both directions, of all.
  void Set(std::size_t from, std::size_t to, const Fault& fault);
  void SetBetween(std::size_t one, std::size_t other, const Fault& fault);
  void SetAll(const Fault& fault);
  // Sends a datagram to all other sidecars in the name of `sidecar`.
  void SendAs(std::size_t sidecar, const std::string& bytes);

 private:
  // Stands for one peer of a sidecar: the address that the sidecar sends to and receives from.
  struct PeerSocket {
    explicit PeerSocket(Udp::socket at) : socket(std::move(at)) {}
    Udp::socket socket;
    Udp::endpoint from;
    std::array<char, 2048> buffer;
    Fault fault;  // of datagrams received here
  };
  PeerSocket& SocketAt(std::size_t owner, std::size_t peer) { return *sockets_[owner * size_ + peer]; }
  const PeerSocket& SocketAt(std::size_t owner, std::size_t peer) const {
    return *sockets_[owner * size_ + peer];
  }
  void Receive(std::size_t owner, std::size_t peer);
  void Forward(std::size_t from, std::size_t to, std::string bytes, const Fault& fault);
  void Deliver(std::size_t from, std::size_t to, const std::string& bytes);

  core::Loop& loop_;
  const std::size_t size_;
  std::mt19937_64 random_;
  std::vector<Udp::endpoint> listens_;                // by sidecar
  std::vector<std::unique_ptr<PeerSocket>> sockets_;  // by owner and peer; null for a sidecar itself
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_CLUSTER_REPORT_NETWORK_HPP_
