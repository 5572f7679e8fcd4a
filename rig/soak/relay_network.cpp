#include "rig/soak/relay_network.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "mesh/transport/codec.hpp"

namespace fennelhollow::rig::soak {
namespace {

using Error = boost::system::error_code;
using merlinrun::rig::FaultProxy;

// Length prefix of a frame, big endian.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxHelloBytes = 4096;

auto Into(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

void Reset(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct RelayNetwork::Connection {
  explicit Connection(Tcp::socket accepted) : near(std::move(accepted)), far(near.get_executor()) {}
  void ResetBoth() {
    Reset(near);
    Reset(far);
  }
  Tcp::socket near, far;
};

RelayNetwork::RelayNetwork(asio::io_context& io, std::vector<Machine> machines)
    : io_(io), machines_(std::move(machines)) {
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    acceptors_.push_back(std::make_unique<Tcp::acceptor>(io_, machines_[i].announced.Endpoint()));
    asio::co_spawn(io_, Accept(i), asio::detached);
  }
}

RelayNetwork::~RelayNetwork() = default;

FaultProxy::Mode RelayNetwork::ModeOf(const Direction& direction) const {
  const bool requests_dropped = dropped_.contains(direction);
  const bool responses_dropped = dropped_.contains({direction.second, direction.first});
  if (requests_dropped && responses_dropped) return FaultProxy::Mode::kBlackhole;
  if (requests_dropped) return FaultProxy::Mode::kDropRequests;
  return responses_dropped ? FaultProxy::Mode::kDropResponses : FaultProxy::Mode::kPass;
}

FaultProxy& RelayNetwork::ProxyFor(const Direction& direction) {
  auto& proxy = proxies_[direction];
  if (proxy == nullptr) {
    const Tcp::endpoint target = machines_[direction.second].listens.Endpoint();
    proxy = std::make_unique<FaultProxy>(io_, [target] { return target; });
    proxy->Set(ModeOf(direction));
  }
  return *proxy;
}

void RelayNetwork::Update(std::size_t one, std::size_t other) {
  for (const Direction& direction : {Direction{one, other}, Direction{other, one}})
    if (const auto it = proxies_.find(direction); it != proxies_.end()) it->second->Set(ModeOf(direction));
}

void RelayNetwork::Drop(std::size_t from, std::size_t to) {
  if (dropped_.insert({from, to}).second) Update(from, to);
}

void RelayNetwork::Restore(std::size_t from, std::size_t to) {
  if (dropped_.erase({from, to}) > 0) Update(from, to);
}

asio::awaitable<void> RelayNetwork::Accept(std::size_t machine) {
  Error error;
  while (!error) {
    Tcp::socket socket(io_);
    co_await acceptors_[machine]->async_accept(socket, Into(error));
    if (error) break;
    asio::co_spawn(io_, Serve(machine, std::make_shared<Connection>(std::move(socket))), asio::detached);
  }
}

namespace {

// Copies one direction until it ends, then half-closes the other side, or calls `on_error`.
asio::awaitable<void> CopyBytes(Tcp::socket& from, Tcp::socket& to, std::shared_ptr<void> /*keeps*/,
                                std::function<void()> on_error) {
  std::array<char, 16384> bytes;
  Error error;
  while (true) {
    const std::size_t size = co_await from.async_read_some(asio::buffer(bytes), Into(error));
    if (error) break;
    co_await asio::async_write(to, asio::buffer(bytes.data(), size), Into(error));
    if (error) break;
  }
  Error ignored;
  if (error == asio::error::eof)
    to.shutdown(Tcp::socket::shutdown_send, ignored);
  else
    on_error();
}

}  // namespace

// Identifies the dialing node by the Hello, the first frame, and forwards the connection.
asio::awaitable<void> RelayNetwork::Serve(std::size_t machine, std::shared_ptr<Connection> connection) {
  Error error;
  std::string bytes(kLengthBytes, '\0');
  co_await asio::async_read(connection->near, asio::buffer(bytes), Into(error));
  std::size_t length = 0;
  for (const char byte : bytes) length = length << 8 | static_cast<unsigned char>(byte);
  if (error || length > kMaxHelloBytes) co_return connection->ResetBoth();
  bytes.resize(kLengthBytes + length);
  co_await asio::async_read(connection->near, asio::buffer(bytes.data() + kLengthBytes, length), Into(error));
  if (error) co_return connection->ResetBoth();
  const auto hello = transport::Unpack<transport::Hello>(std::string_view(bytes).substr(kLengthBytes));
  if (!hello.ok()) co_return connection->ResetBoth();
  const auto dialer = std::find_if(machines_.begin(), machines_.end(), [&](const Machine& known) {
    return known.announced.Text() == hello->address;
  });
  if (dialer == machines_.end()) co_return connection->ResetBoth();
  const Direction direction{static_cast<std::size_t>(dialer - machines_.begin()), machine};
  const Tcp::endpoint at = ProxyFor(direction).address();
  co_await connection->far.async_connect(at, Into(error));
  if (!error) co_await asio::async_write(connection->far, asio::buffer(bytes), Into(error));
  if (error) co_return connection->ResetBoth();
  connection->near.set_option(Tcp::no_delay(true), error);
  connection->far.set_option(Tcp::no_delay(true), error);
  const auto on_error = [connection] { connection->ResetBoth(); };
  asio::co_spawn(io_, CopyBytes(connection->near, connection->far, connection, on_error), asio::detached);
  asio::co_spawn(io_, CopyBytes(connection->far, connection->near, connection, on_error), asio::detached);
}

}  // namespace fennelhollow::rig::soak
