// Bounds for what the kernel receives for a socket before the process reads it. These bytes count as memory
// of the process, and without a bound the kernel lets them grow to many megabytes.
#ifndef FENNELHOLLOW_MESH_MEMORY_RECEIVE_BUFFER_HPP_
#define FENNELHOLLOW_MESH_MEMORY_RECEIVE_BUFFER_HPP_

#include <cstddef>

namespace fennelhollow::memory {

// Values of SO_RCVBUF, in bytes. The window that the peer may fill is of about this size, so that a value
// limits the throughput to value / round trip.

// Of connections from clients and of control calls to a sidecar: peers on the same machine.
inline constexpr int kLocalReceiveBytes = 8 * 1024;
// Of connections to a server on the same machine.
inline constexpr int kServerReceiveBytes = 64 * 1024;
// Of control calls to a core, whose operators may be in another region.
inline constexpr int kOperatorReceiveBytes = 64 * 1024;
// Of links that other processes open, of which there may be hundreds.
inline constexpr int kAcceptedLinkReceiveBytes = 64 * 1024;
// Of links that this process opens: they carry long responses and pushes, also between regions.
inline constexpr int kDialedLinkReceiveBytes = 256 * 1024;

// What may wait unread in a socket: the kernel doubles the value that it is given.
constexpr std::size_t MaxUnreadBytes(int receive_bytes) {
  return 2 * static_cast<std::size_t>(receive_bytes);
}

}  // namespace fennelhollow::memory

#endif  // FENNELHOLLOW_MESH_MEMORY_RECEIVE_BUFFER_HPP_
