#include "stand_ins/relay.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace review {
namespace {

using fennelhollow::rig::Tcp;
using Error = boost::system::error_code;

constexpr std::size_t kBufferBytes = 16384;

auto Into(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

void Reset(Tcp::socket& socket) {
  Error ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct Relay::Pair {
  explicit Pair(Tcp::socket accepted) : caller(std::move(accepted)), target(caller.get_executor()) {}
  void End() {
    Reset(caller);
    Reset(target);
  }
  Tcp::socket caller, target;
  std::string first_bytes;  // of the caller
  bool lost_bytes = false;
};

Relay::Relay(asio::io_context& io, Address announced, Address target)
    : io_(io), target_(target), acceptor_(io, announced.Endpoint()) {
  asio::co_spawn(io_, Accept(), asio::detached);
}

Relay::~Relay() {
  for (const auto& known : pairs_)
    if (const PairPtr pair = known.lock()) pair->End();
}

bool Relay::IsCut(const Pair& pair) const {
  for (const std::string& machine : cut_)
    if (pair.first_bytes.find(machine) != std::string::npos) return true;
  return false;
}

void Relay::Heal(const std::string& machine) {
  for (const auto& known : pairs_) {
    const PairPtr pair = known.lock();
    if (pair != nullptr && IsCut(*pair) && pair->lost_bytes) pair->End();
  }
  cut_.erase(machine);
}

asio::awaitable<void> Relay::Accept() {
  for (;;) {
    Error error;
    Tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, Into(error));
    if (error) co_return;
    const auto pair = std::make_shared<Pair>(std::move(socket));
    std::erase_if(pairs_, [](const auto& known) { return known.expired(); });
    pairs_.push_back(pair);
    asio::co_spawn(io_, Connect(pair), asio::detached);
  }
}

asio::awaitable<void> Relay::Connect(PairPtr pair) {
  std::array<char, kBufferBytes> buffer;
  Error error;
  const std::size_t size = co_await pair->caller.async_read_some(asio::buffer(buffer), Into(error));
  if (error) co_return pair->End();
  pair->first_bytes.assign(buffer.data(), size);
  if (!IsCut(*pair)) {
    co_await pair->target.async_connect(target_.Endpoint(), Into(error));
    if (!error) pair->target.set_option(Tcp::no_delay(true), error);
    if (!error) pair->caller.set_option(Tcp::no_delay(true), error);
    if (!error) co_await asio::async_write(pair->target, asio::buffer(buffer, size), Into(error));
    if (error) co_return pair->End();
    asio::co_spawn(io_, Copy(pair, false), asio::detached);
  } else {
    pair->lost_bytes = true;
  }
  co_await Copy(pair, true);
}

asio::awaitable<void> Relay::Copy(PairPtr pair, bool to_target) {
  std::array<char, kBufferBytes> buffer;
  Tcp::socket& from = to_target ? pair->caller : pair->target;
  Tcp::socket& to = to_target ? pair->target : pair->caller;
  for (;;) {
    Error error;
    const std::size_t size = co_await from.async_read_some(asio::buffer(buffer), Into(error));
    if (IsCut(*pair)) {  // nothing passes, not even the end of the connection
      pair->lost_bytes = true;
      if (error) co_return;
      continue;
    }
    if (!error) co_await asio::async_write(to, asio::buffer(buffer, size), Into(error));
    if (error) co_return pair->End();
  }
}

}  // namespace review
