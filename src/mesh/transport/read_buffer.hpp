// What sockets are read into before it is known whose it is.
#ifndef FENNELHOLLOW_MESH_TRANSPORT_READ_BUFFER_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_READ_BUFFER_HPP_

#include <array>
#include <cstddef>

namespace fennelhollow::transport {

inline constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;

// One for all connections of the thread, so that an idle one holds none. What was read is to be copied off it
// before anything else is called.
inline std::array<char, kReadBufferBytes>& ReadBuffer() {
  static thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

}  // namespace fennelhollow::transport

#endif  // FENNELHOLLOW_MESH_TRANSPORT_READ_BUFFER_HPP_
