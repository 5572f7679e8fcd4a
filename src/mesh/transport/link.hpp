// Message framing over persistent TCP connections between the mesh's own processes.
#ifndef FENNELHOLLOW_MESH_TRANSPORT_LINK_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_LINK_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "mesh/memory/peer_activity.hpp"
#include "net/protocol.hpp"

namespace fennelhollow::transport {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

// A larger frame closes the connection.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;
// Before the peer has said who it is: holds a Hello.
inline constexpr std::size_t kMaxHelloBytes = std::size_t{16} * 1024;

// A TCP connection that carries frames: a length of four bytes (big endian), then the payload. Not
// thread-safe.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Events {
    std::function<void(std::string_view frame)> on_frame;  // may call any function of the link
    std::function<void()> on_closed;   // once, never from inside a call of the link; not after Close()
    std::function<void()> on_drained;  // the send queue became empty; may be null
    // The memory for an incomplete frame is now so large, beyond kReadBufferBytes, or 0. False: there is no
    // room for it, and the link closes. May be null; must not call the link.
    std::function<bool(std::size_t bytes)> on_input_memory = nullptr;
  };
  struct Limits {
    std::size_t max_frame_bytes = kMaxFrameBytes;                  // of received frames
    std::size_t max_queued_bytes = std::size_t{16} * 1024 * 1024;  // beyond it the connection is closed
    int user_timeout_ms = 2000;                                    // TCP_USER_TIMEOUT, for partitioned peers
  };

  // Wraps a connected socket.
  static std::shared_ptr<Link> FromSocket(Tcp::socket socket, Limits limits);
  // Connects in the background; frames sent meanwhile are queued. on_closed if not connected within
  // `timeout_ms`.
  static std::shared_ptr<Link> Dial(asio::io_context& io, const Tcp::endpoint& to, int timeout_ms,
                                    Limits limits);
  ~Link();

  void Start(Events events);  // once; starts reading
  // Replaces the callbacks, to hand the link over after the Hello; allowed from inside on_frame.
  void SetEvents(Events events);
  // False if closed. Frames are sent in order and coalesced.
  bool Send(std::string_view frame);
  bool open() const;
  bool connected() const;
  std::size_t queued_bytes() const;  // bytes waiting to be written
  // Whether it waits for the peer: to read what is queued, or to send the rest of a frame.
  memory::PeerActivity Activity(memory::Clock::time_point now) const;
  // Replaces Limits::user_timeout_ms. The kernel counts the time in which the peer does not read, too.
  void SetUserTimeout(int milliseconds);
  // Replaces Limits::max_frame_bytes, from the next frame on.
  void SetMaxFrameBytes(std::size_t bytes);
  // Backpressure: while paused nothing is read.
  void PauseReading();
  void ResumeReading();
  void Close();  // no callback afterwards
  std::string peer_ip() const;

 private:
  class Impl;
  explicit Link(std::unique_ptr<Impl> impl);
  void Fail();
  void NotifyClosed();
  void Read();
  void OnReadable();
  bool DispatchFrames();
  bool DispatchFramesOrFail();
  bool ReportInputMemory();
  void ScheduleFlush();
  void Flush();
  std::unique_ptr<Impl> impl_;
};

// Accepts links on one address.
class Listener {
 public:
  // Throws boost::system::system_error if it can't listen.
  Listener(asio::io_context& io, const std::string& ip, std::uint16_t port, Link::Limits limits,
           std::function<void(std::shared_ptr<Link>)> accepted);
  ~Listener();
  void Close();

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace fennelhollow::transport

#endif  // FENNELHOLLOW_MESH_TRANSPORT_LINK_HPP_
