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
using merlinrun::rig::Link;

// Of a frame: four bytes, big endian.
constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMostHello = 4096;

auto Into(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

void Reset(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct RelayNetwork::Connection {
  explicit Connection(Tcp::socket accepted) : near(std::move(accepted)), far(near.get_executor()) {}
  void End() {
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

Link::Mode RelayNetwork::ModeOf(const Way& way) const {
  const bool requests_lost = lost_.contains(way);
  const bool answers_lost = lost_.contains({way.second, way.first});
  if (requests_lost && answers_lost) return Link::Mode::kSwallow;
  if (requests_lost) return Link::Mode::kMute;
  return answers_lost ? Link::Mode::kDeaf : Link::Mode::kPass;
}

Link& RelayNetwork::LinkOf(const Way& way) {
  auto& link = links_[way];
  if (link == nullptr) {
    const Tcp::endpoint target = machines_[way.second].listens.Endpoint();
    link = std::make_unique<Link>(io_, [target] { return target; });
    link->Set(ModeOf(way));
  }
  return *link;
}

void RelayNetwork::Update(std::size_t one, std::size_t other) {
  for (const Way& way : {Way{one, other}, Way{other, one}})
    if (const auto it = links_.find(way); it != links_.end()) it->second->Set(ModeOf(way));
}

void RelayNetwork::Lose(std::size_t from, std::size_t to) {
  if (lost_.insert({from, to}).second) Update(from, to);
}

void RelayNetwork::Restore(std::size_t from, std::size_t to) {
  if (lost_.erase({from, to}) > 0) Update(from, to);
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

// One direction, until its end; the other side is told of it.
asio::awaitable<void> Pump(Tcp::socket& from, Tcp::socket& to, std::shared_ptr<void> /*keeps*/,
                           std::function<void()> broke) {
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
    broke();
}

}  // namespace

// Reads the Hello, which is the first frame, for who dialled; then passes all of it on.
asio::awaitable<void> RelayNetwork::Serve(std::size_t machine, std::shared_ptr<Connection> connection) {
  Error error;
  std::string bytes(kLengthBytes, '\0');
  co_await asio::async_read(connection->near, asio::buffer(bytes), Into(error));
  std::size_t length = 0;
  for (const char byte : bytes) length = length << 8 | static_cast<unsigned char>(byte);
  if (error || length > kMostHello) co_return connection->End();
  bytes.resize(kLengthBytes + length);
  co_await asio::async_read(connection->near, asio::buffer(bytes.data() + kLengthBytes, length), Into(error));
  if (error) co_return connection->End();
  const auto hello = transport::Unpack<transport::Hello>(std::string_view(bytes).substr(kLengthBytes));
  if (!hello.ok()) co_return connection->End();
  const auto dialler = std::find_if(machines_.begin(), machines_.end(), [&](const Machine& known) {
    return known.announced.Text() == hello->address;
  });
  if (dialler == machines_.end()) co_return connection->End();
  const Way way{static_cast<std::size_t>(dialler - machines_.begin()), machine};
  const Tcp::endpoint at = LinkOf(way).address();
  co_await connection->far.async_connect(at, Into(error));
  if (!error) co_await asio::async_write(connection->far, asio::buffer(bytes), Into(error));
  if (error) co_return connection->End();
  connection->near.set_option(Tcp::no_delay(true), error);
  connection->far.set_option(Tcp::no_delay(true), error);
  const auto broke = [connection] { connection->End(); };
  asio::co_spawn(io_, Pump(connection->near, connection->far, connection, broke), asio::detached);
  asio::co_spawn(io_, Pump(connection->far, connection->near, connection, broke), asio::detached);
}

}  // namespace fennelhollow::rig::soak
