// A piece of a large body on its way out, the same towards clients and servers.
#ifndef MERLINRUN_NET_BODY_CHUNK_HPP_
#define MERLINRUN_NET_BODY_CHUNK_HPP_

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <string>
#include <utility>

#include "protocol.hpp"

namespace merlinrun::net {

// Writes `piece`, as a chunk where the body goes in chunks (RFC 9112, 7.1). It must stay as it is until
// `written` is called.
template <typename Handler>
void WritePieceTo(Tcp::socket& socket, const std::string& piece, bool chunked, Handler written) {
  if (chunked)
    asio::async_write(socket, http::make_chunk(asio::buffer(piece)), std::move(written));
  else
    asio::async_write(socket, asio::buffer(piece), std::move(written));
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BODY_CHUNK_HPP_
