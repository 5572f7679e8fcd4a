#include "asio_loop.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <exception>
#include <utility>

namespace merlinrun::net {
namespace {

// Difference of Unix time and the steady clock, determined only once: if it changed, the start time of a
// server would change too, and the balancer would treat the server as restarted.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall - steady).count();
}

// Asio may call a handler that was already due when its timer is cancelled. The generation identifies such
// calls.
class AsioTimer : public core::Timer {
 public:
  explicit AsioTimer(asio::io_context& io) : state_(std::make_shared<State>(io)) {}
  ~AsioTimer() override {
    ++state_->generation;
    state_->due = nullptr;
    try {
      state_->timer.cancel();
    } catch (const boost::system::system_error&) {  // no handler is called then
    }
  }
  AsioTimer(const AsioTimer&) = delete;
  AsioTimer& operator=(const AsioTimer&) = delete;

  void Start(Micros delay, std::function<void()> due) override {
    state_->due = std::move(due);
    state_->timer.expires_after(std::chrono::microseconds(delay));
    state_->timer.async_wait([state = state_, generation = ++state_->generation](ErrorCode error) {
      if (error || generation != state->generation) return;
      const auto call = std::exchange(state->due, nullptr);
      call();
    });
  }

 private:
  struct State {
    explicit State(asio::io_context& io) : timer(io) {}
    asio::steady_timer timer;
    std::function<void()> due;
    std::uint64_t generation = 0;
  };
  std::shared_ptr<State> state_;
};

}  // namespace

AsioLoop::AsioLoop(asio::io_context& io) : io_(io), clock_offset_(ClockOffset()) {}

Micros AsioLoop::Now() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return clock_offset_ + std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
}

void AsioLoop::Post(std::function<void()> next) { asio::post(io_, std::move(next)); }

void AsioLoop::After(Micros delay, std::function<void()> due) {
  const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(delay));
  timer->async_wait([timer, due = std::move(due)](ErrorCode error) {
    if (!error) due();
  });
}

std::unique_ptr<core::Timer> AsioLoop::NewTimer() { return std::make_unique<AsioTimer>(io_); }

void RunUntilStopped(asio::io_context& io, const std::function<void(const char* what)>& log) {
  for (;;) {
    try {
      io.run();
      return;
    } catch (const std::exception& error) {
      log(error.what());
    }
  }
}

}  // namespace merlinrun::net
