#include "net/await_address.hpp"

#include <boost/system/system_error.hpp>
#include <chrono>
#include <utility>

#include "net/listen.hpp"

namespace merlinrun::net {
namespace {

constexpr std::chrono::milliseconds kRetryInterval{200};

}  // namespace

bool AwaitAddress(boost::asio::io_context& io, boost::asio::signal_set& stop,
                  const boost::asio::ip::tcp::endpoint& address,
                  const std::function<void(const std::string&)>& log) {
  bool stopped = false;
  stop.async_wait([&](const boost::system::error_code& error, int) { stopped = !error; });
  for (std::string last_failure; !stopped; io.restart()) {
    try {
      Listen(io, address);
      break;
    } catch (const boost::system::system_error& error) {
      if (!IsTransient(error.code())) break;  // the caller's own attempt reports it
      if (std::exchange(last_failure, error.what()) != error.what()) log(last_failure);
    }
    io.run_for(kRetryInterval);
  }
  stop.cancel();
  io.restart();
  io.poll();
  io.restart();
  return !stopped;
}

}  // namespace merlinrun::net
