#include "net/listen.hpp"

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <iterator>
#include <string>
#include <system_error>

namespace merlinrun::net {

using boost::asio::ip::tcp;

tcp::acceptor Listen(boost::asio::io_context& io, const tcp::endpoint& endpoint, int receive_bytes) {
  tcp::acceptor acceptor(io);
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  // Accepted sockets take it over, and their windows follow it from the handshake on.
  if (!error && receive_bytes > 0)
    acceptor.set_option(tcp::acceptor::receive_buffer_size(receive_bytes), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(tcp::acceptor::max_listen_connections, error);
  if (error) {
    const std::string address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    throw boost::system::system_error(error, "cannot listen at " + address);
  }
  return acceptor;
}

bool IsTransient(const std::error_code& error) {
  constexpr std::errc kTransient[] = {std::errc::address_in_use,
                                      std::errc::address_not_available,
                                      std::errc::too_many_files_open,
                                      std::errc::too_many_files_open_in_system,
                                      std::errc::no_buffer_space,
                                      std::errc::not_enough_memory,
                                      std::errc::resource_unavailable_try_again};
  return std::any_of(std::begin(kTransient), std::end(kTransient),
                     [&](std::errc condition) { return error == condition; });
}

}  // namespace merlinrun::net
