// Writes streamed bodies, to clients and servers alike.
#ifndef MERLINRUN_NET_BODY_CHUNK_HPP_
#define MERLINRUN_NET_BODY_CHUNK_HPP_

#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <string>
#include <utility>

#include "protocol.hpp"

namespace merlinrun::net {

// Writes `data`, with chunked encoding (RFC 9112, 7.1) if `chunked`. `data` must stay unchanged until
// `written` is called.
template <typename Handler>
void WriteBodyChunk(Tcp::socket& socket, const std::string& data, bool chunked, Handler written) {
  if (chunked)
    asio::async_write(socket, http::make_chunk(asio::buffer(data)), std::move(written));
  else
    asio::async_write(socket, asio::buffer(data), std::move(written));
}

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BODY_CHUNK_HPP_
