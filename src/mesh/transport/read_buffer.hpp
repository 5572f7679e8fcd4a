// A read buffer shared by all connections of a thread.
#ifndef FENNELHOLLOW_MESH_TRANSPORT_READ_BUFFER_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_READ_BUFFER_HPP_

#include <array>
#include <cstddef>

namespace fennelhollow::transport {

inline constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;

// Shared so that idle connections need no buffer. Copy the data out before calling anything that may read
// again.
inline std::array<char, kReadBufferBytes>& ReadBuffer() {
  static thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

}  // namespace fennelhollow::transport

#endif  // FENNELHOLLOW_MESH_TRANSPORT_READ_BUFFER_HPP_
