#include "mesh/gossip/io/udp_socket.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "mesh/gossip/view.hpp"
#include "net/address.hpp"

namespace fennelhollow::gossip {
namespace {

namespace asio = merlinrun::net::asio;
using asio::ip::udp;
using merlinrun::net::ErrorCode;

constexpr int kReadsATurn = 8;  // guards against a flood that keeps all others waiting
constexpr auto kPause = std::chrono::milliseconds(50);

}  // namespace

class UdpSocket::Impl : public std::enable_shared_from_this<UdpSocket::Impl> {
 public:
  Impl(asio::io_context& io, OnDatagram on_datagram) : socket(io), pause(io), call(std::move(on_datagram)) {}

  void Read() {
    socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (!self->socket.is_open()) return;
      if (error || !self->Take()) return self->ReadLater();
      self->Read();
    });
  }

  // False if something is wrong with the socket itself.
  bool Take() {
    for (int i = 0; i < kReadsATurn && socket.is_open(); ++i) {
      udp::endpoint from;
      ErrorCode error;
      const std::size_t n = socket.receive_from(asio::buffer(input), from, 0, error);
      if (error == asio::error::would_block || error == asio::error::try_again) return true;
      // A former datagram found no one at its port.
      if (error == asio::error::connection_refused || error == asio::error::connection_reset) continue;
      if (error) return false;
      call(from.address().to_string() + ":" + std::to_string(from.port()), {input.data(), n});
    }
    return true;
  }

  // Guards against a loop that spins.
  void ReadLater() {
    pause.expires_after(kPause);
    pause.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped && self->socket.is_open()) self->Read();
    });
  }

  udp::socket socket;
  asio::steady_timer pause;
  OnDatagram call;
  std::array<char, kMaxDatagramBytes + 1> input{};
  std::uint64_t send_failures = 0;
};

absl::StatusOr<std::unique_ptr<UdpSocket>> UdpSocket::Open(asio::io_context& io, const std::string& ip,
                                                           std::uint16_t port, OnDatagram on_datagram) {
  auto impl = std::make_shared<Impl>(io, std::move(on_datagram));
  ErrorCode error;
  const auto at = asio::ip::make_address(ip, error);
  if (!error) impl->socket.open(udp::v4(), error);
  if (!error) impl->socket.bind(udp::endpoint(at, port), error);
  if (!error) impl->socket.non_blocking(true, error);
  if (error) return absl::UnavailableError("cannot take datagrams at " + ip + ": " + error.message());
  impl->Read();
  return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(impl)));
}

UdpSocket::UdpSocket(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

UdpSocket::~UdpSocket() {
  try {
    impl_->pause.cancel();
  } catch (const std::exception&) {  // a timer that can't be cancelled calls nothing back
  }
  ErrorCode ignored;
  impl_->socket.close(ignored);
}

void UdpSocket::Send(const std::string& address, std::string_view bytes) {
  ErrorCode error = asio::error::invalid_argument;
  if (IsAddress(address)) {
    if (const auto to = merlinrun::net::ParseAddress(address))
      impl_->socket.send_to(asio::buffer(bytes.data(), bytes.size()), {to->address(), to->port()}, 0, error);
  }
  if (error) ++impl_->send_failures;
}

std::uint64_t UdpSocket::send_failures() const { return impl_->send_failures; }

std::uint16_t UdpSocket::port() const {
  ErrorCode error;
  return impl_->socket.local_endpoint(error).port();
}

}  // namespace fennelhollow::gossip
