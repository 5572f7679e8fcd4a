#include "mesh/gossip/io/udp_socket.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <utility>

#include "mesh/gossip/view.hpp"
#include "net/address.hpp"

namespace fennelhollow::gossip {
namespace {

namespace asio = merlinrun::net::asio;
using asio::ip::udp;
using merlinrun::net::ErrorCode;

constexpr int kMaxReadsPerTurn = 8;  // a flood must not starve other work
constexpr auto kRetryDelay = std::chrono::milliseconds(50);

}  // namespace

class UdpSocket::Impl : public std::enable_shared_from_this<UdpSocket::Impl> {
 public:
  Impl(asio::io_context& io, OnDatagram on_datagram)
      : socket(io), retry_timer(io), callback(std::move(on_datagram)) {}

  void WaitReadable() {
    socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (!self->socket.is_open()) return;
      try {
        if (error || !self->ReadAvailable()) return self->RetryLater();
      } catch (const std::exception&) {  // of the callback
        self->WaitReadable();
        throw;
      }
      self->WaitReadable();
    });
  }

  // False on an error of the socket itself.
  bool ReadAvailable() {
    for (int i = 0; i < kMaxReadsPerTurn && socket.is_open(); ++i) {
      udp::endpoint from;
      ErrorCode error;
      const std::size_t n = socket.receive_from(asio::buffer(input), from, 0, error);
      if (error == asio::error::would_block || error == asio::error::try_again) return true;
      // ICMP error of an earlier datagram: no listener at its port.
      if (error == asio::error::connection_refused || error == asio::error::connection_reset) continue;
      if (error) return false;
      callback(from.address().to_string() + ":" + std::to_string(from.port()), {input.data(), n});
    }
    return true;
  }

  // Avoids a busy loop.
  void RetryLater() {
    retry_timer.expires_after(kRetryDelay);
    retry_timer.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped && self->socket.is_open()) self->WaitReadable();
    });
  }

  udp::socket socket;
  asio::steady_timer retry_timer;
  OnDatagram callback;
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
  if (error) return absl::UnavailableError("can't bind the gossip socket at " + ip + ": " + error.message());
  impl->WaitReadable();
  return std::unique_ptr<UdpSocket>(new UdpSocket(std::move(impl)));
}

UdpSocket::UdpSocket(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

UdpSocket::~UdpSocket() {
  try {
    impl_->retry_timer.cancel();
  } catch (const std::exception&) {  // an uncancellable timer has no pending callback
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
