// Waits for an address that another process holds.
#ifndef FENNELHOLLOW_NET_AWAIT_ADDRESS_HPP_
#define FENNELHOLLOW_NET_AWAIT_ADDRESS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <string>

namespace merlinrun::net {

// Runs `io` until `address` can be listened at, or until an error that will not pass. `log` gets each cause
// of waiting once. False if one of the `stop` signals came first.
bool AwaitAddress(boost::asio::io_context& io, boost::asio::signal_set& stop,
                  const boost::asio::ip::tcp::endpoint& address,
                  const std::function<void(const std::string&)>& log);

}  // namespace merlinrun::net

#endif  // FENNELHOLLOW_NET_AWAIT_ADDRESS_HPP_
