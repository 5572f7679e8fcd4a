#include "rig/cluster/fault_proxy.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "rig/process.hpp"
#include "rig/test_environment.hpp"

namespace merlinrun::rig {
namespace {

using ErrorCode = boost::system::error_code;

// Closes with a TCP reset.
void Reset(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct FaultProxy::Pair {
  Pair(boost::asio::io_context& io, Tcp::socket accepted) : near(std::move(accepted)), far(io) {}
  void End() {
    Reset(near);
    Reset(far);
  }
  Tcp::socket near;
  Tcp::socket far;
  std::array<char, 16384> to_far;
  std::array<char, 16384> to_near;
};

FaultProxy::FaultProxy(boost::asio::io_context& io, std::function<Tcp::endpoint()> target)
    : io_(io), target_(std::move(target)), address_(ParseEndpoint(FreeAddress())) {
  Listen();
}

FaultProxy::~FaultProxy() { ResetAll(); }

void FaultProxy::Set(Mode mode) {
  const Mode before = std::exchange(mode_, mode);
  const bool lost =
      before == Mode::kBlackhole || before == Mode::kDropResponses || before == Mode::kDropRequests;
  const bool ends = mode == Mode::kRefuse || mode == Mode::kReset;
  if (ends || (lost && mode != before)) ResetAll();
  if (mode == Mode::kRefuse) {
    acceptor_.reset();
  } else if (acceptor_ == nullptr) {
    Listen();
  }
}

void FaultProxy::Listen() {
  acceptor_ = std::make_unique<Tcp::acceptor>(io_, address_);
  Accept();
}

void FaultProxy::Accept() {
  acceptor_->async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error) return;  // closed; this object may have been destroyed
    ++accepted_;
    const auto pair = std::make_shared<Pair>(io_, std::move(socket));
    if (mode_ == Mode::kReset) {
      pair->End();
    } else {
      std::erase_if(pairs_, [](const auto& known) { return known.expired(); });
      pairs_.push_back(pair);
      if (mode_ == Mode::kBlackhole) {
        Pump(pair, /*up=*/true);  // reads and discards
      } else {
        pair->far.async_connect(target_(), [this, pair](ErrorCode failed) {
          if (failed) return pair->End();
          ErrorCode ignored;
          pair->near.set_option(Tcp::no_delay(true), ignored);
          pair->far.set_option(Tcp::no_delay(true), ignored);
          Pump(pair, true);
          Pump(pair, false);
        });
      }
    }
    Accept();
  });
}

// Copies one direction; `up` is from the sidecar to the server.
void FaultProxy::Pump(const std::shared_ptr<Pair>& pair, bool up) {
  Tcp::socket& from = up ? pair->near : pair->far;
  auto& buffer = up ? pair->to_far : pair->to_near;
  from.async_read_some(boost::asio::buffer(buffer), [this, pair, up](ErrorCode error, std::size_t size) {
    // Dropped traffic keeps the connection open and silent until it is reset.
    if (mode_ == Mode::kBlackhole && !error) return Pump(pair, up);
    if (mode_ == Mode::kDropResponses && !up && !error) return Pump(pair, up);
    if (mode_ == Mode::kDropRequests && up && !error) return Pump(pair, up);
    Tcp::socket& to = up ? pair->far : pair->near;
    ErrorCode ignored;
    if (error == boost::asio::error::eof) return void(to.shutdown(Tcp::socket::shutdown_send, ignored));
    if (error) return pair->End();
    if (mode_ != Mode::kDelayResponses || up) return Write(pair, up, size);
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, kResponseDelay);
    timer->async_wait([this, pair, up, size, timer](ErrorCode) { Write(pair, up, size); });
  });
}

void FaultProxy::Write(const std::shared_ptr<Pair>& pair, bool up, std::size_t size) {
  auto& bytes = up ? pair->to_far : pair->to_near;
  boost::asio::async_write(up ? pair->far : pair->near, boost::asio::buffer(bytes.data(), size),
                           [this, pair, up](ErrorCode failed, std::size_t) {
                             if (failed) return pair->End();
                             Pump(pair, up);
                           });
}

void FaultProxy::ResetAll() {
  for (const auto& known : pairs_)
    if (const auto pair = known.lock()) pair->End();
  pairs_.clear();
}

}  // namespace merlinrun::rig
