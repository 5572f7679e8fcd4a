// Opening of listening sockets, with errors that name the address.
#ifndef FENNELHOLLOW_NET_LISTEN_HPP_
#define FENNELHOLLOW_NET_LISTEN_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <system_error>

namespace merlinrun::net {

// A socket that listens at `endpoint`, also while connections of an earlier process are in TIME_WAIT.
// `receive_bytes`: the receive buffer (SO_RCVBUF) of each accepted socket; 0: as the kernel has it. Throws
// boost::system::system_error, whose text names the address.
boost::asio::ip::tcp::acceptor Listen(boost::asio::io_context& io,
                                      const boost::asio::ip::tcp::endpoint& endpoint, int receive_bytes = 0);

// Whether an attempt to acquire a resource may succeed later: an address that another process holds or that
// the machine does not have yet, descriptors, memory, threads.
bool IsTransient(const std::error_code& error);

}  // namespace merlinrun::net

#endif  // FENNELHOLLOW_NET_LISTEN_HPP_
