// Implements core::Loop with Boost.Asio.
#ifndef MERLINRUN_NET_ASIO_LOOP_HPP_
#define MERLINRUN_NET_ASIO_LOOP_HPP_

#include <functional>
#include <memory>

#include "core/loop.hpp"
#include "protocol.hpp"

namespace merlinrun::net {

class AsioLoop : public core::Loop {
 public:
  explicit AsioLoop(asio::io_context& io);
  Micros Now() const override;
  void Post(std::function<void()> next) override;
  void After(Micros delay, std::function<void()> due) override;
  std::unique_ptr<core::Timer> NewTimer() override;

 private:
  asio::io_context& io_;
  const Micros clock_offset_;
};

// Runs the loop until it is stopped. Exceptions of handlers are passed to `log` and do not end the loop.
void RunUntilStopped(asio::io_context& io, const std::function<void(const char* what)>& log);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_ASIO_LOOP_HPP_
