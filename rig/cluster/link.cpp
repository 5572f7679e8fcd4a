#include "rig/cluster/link.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "rig/process.hpp"
#include "rig/world.hpp"

namespace merlinrun::rig {
namespace {

using ErrorCode = boost::system::error_code;

// The peer sees a reset and no orderly end.
void Reset(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct Link::Pair {
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

Link::Link(boost::asio::io_context& io, std::function<Tcp::endpoint()> target)
    : io_(io), target_(std::move(target)), address_(At(FreeAddress())) {
  Listen();
}

Link::~Link() { ResetAll(); }

void Link::Set(Mode mode) {
  const Mode before = std::exchange(mode_, mode);
  const bool lost = before == Mode::kSwallow || before == Mode::kDeaf || before == Mode::kMute;
  const bool ends = mode == Mode::kRefuse || mode == Mode::kReset;
  if (ends || (lost && mode != before)) ResetAll();
  if (mode == Mode::kRefuse) {
    acceptor_.reset();
  } else if (acceptor_ == nullptr) {
    Listen();
  }
}

void Link::Listen() {
  acceptor_ = std::make_unique<Tcp::acceptor>(io_, address_);
  Accept();
}

void Link::Accept() {
  acceptor_->async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error) return;  // closed, and this object may be gone
    ++accepted_;
    const auto pair = std::make_shared<Pair>(io_, std::move(socket));
    if (mode_ == Mode::kReset) {
      pair->End();
    } else {
      std::erase_if(pairs_, [](const auto& known) { return known.expired(); });
      pairs_.push_back(pair);
      if (mode_ == Mode::kSwallow) {
        Pump(pair, /*up=*/true);  // what comes is read, and goes nowhere
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

// One direction: `up` is from the sidecar to the server.
void Link::Pump(const std::shared_ptr<Pair>& pair, bool up) {
  Tcp::socket& from = up ? pair->near : pair->far;
  auto& buffer = up ? pair->to_far : pair->to_near;
  from.async_read_some(boost::asio::buffer(buffer), [this, pair, up](ErrorCode error, std::size_t size) {
    // What is cut off is kept open and silent: the pair waits for its reset.
    if (mode_ == Mode::kSwallow && !error) return Pump(pair, up);
    if (mode_ == Mode::kDeaf && !up && !error) return Pump(pair, up);
    if (mode_ == Mode::kMute && up && !error) return Pump(pair, up);
    Tcp::socket& to = up ? pair->far : pair->near;
    ErrorCode ignored;
    if (error == boost::asio::error::eof) return void(to.shutdown(Tcp::socket::shutdown_send, ignored));
    if (error) return pair->End();
    if (mode_ != Mode::kSlow || up) return Write(pair, up, size);
    const auto timer = std::make_shared<boost::asio::steady_timer>(io_, kSlowBy);
    timer->async_wait([this, pair, up, size, timer](ErrorCode) { Write(pair, up, size); });
  });
}

void Link::Write(const std::shared_ptr<Pair>& pair, bool up, std::size_t size) {
  auto& bytes = up ? pair->to_far : pair->to_near;
  boost::asio::async_write(up ? pair->far : pair->near, boost::asio::buffer(bytes.data(), size),
                           [this, pair, up](ErrorCode failed, std::size_t) {
                             if (failed) return pair->End();
                             Pump(pair, up);
                           });
}

void Link::ResetAll() {
  for (const auto& known : pairs_)
    if (const auto pair = known.lock()) pair->End();
  pairs_.clear();
}

}  // namespace merlinrun::rig
