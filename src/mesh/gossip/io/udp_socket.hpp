// The UDP socket of the gossip.
#ifndef FENNELHOLLOW_MESH_GOSSIP_IO_UDP_SOCKET_HPP_
#define FENNELHOLLOW_MESH_GOSSIP_IO_UDP_SOCKET_HPP_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/protocol.hpp"

namespace fennelhollow::gossip {

// Threading: all of it on the thread of `io`.
class UdpSocket {
 public:
  // `from`: source ip:port; `bytes`: valid during the call. An oversized datagram is truncated to a size that
  // is still above kMaxDatagramBytes.
  using OnDatagram = std::function<void(const std::string& from, std::string_view bytes)>;

  // kUnavailable if the address can't be bound. Port 0 binds a free port.
  static absl::StatusOr<std::unique_ptr<UdpSocket>> Open(merlinrun::net::asio::io_context& io,
                                                         const std::string& ip, std::uint16_t port,
                                                         OnDatagram on_datagram);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  // Never blocks; datagrams that can't be sent are dropped and counted. `address`: ip:port.
  void Send(const std::string& address, std::string_view bytes);
  std::uint64_t send_failures() const;
  std::uint16_t port() const;

 private:
  class Impl;
  explicit UdpSocket(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace fennelhollow::gossip

#endif  // FENNELHOLLOW_MESH_GOSSIP_IO_UDP_SOCKET_HPP_
