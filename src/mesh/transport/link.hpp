// frames: held connections between the system's own processes (standard term: message framing over TCP).
#ifndef FENNELHOLLOW_MESH_TRANSPORT_LINK_HPP_
#define FENNELHOLLOW_MESH_TRANSPORT_LINK_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/protocol.hpp"

namespace fennelhollow::transport {

namespace asio = merlinrun::net::asio;
using merlinrun::net::ErrorCode;
using merlinrun::net::Tcp;

// The largest frame that is taken; a larger one ends the connection.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{4} * 1024 * 1024;

// One TCP connection that carries frames: four bytes of length (big endian), then so many bytes. One thread.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Events {
    std::function<void(std::string_view frame)> on_frame;  // may call any function of the link
    std::function<void()> on_closed;   // once, never from inside a call to the link; not after Close()
    std::function<void()> on_drained;  // what had been queued is written; may be null
  };
  struct Limits {
    std::size_t max_queued_bytes =
        std::size_t{16} * 1024 * 1024;  // a reader that is slower loses the connection
    int user_timeout_ms = 2000;         // TCP_USER_TIMEOUT: a peer behind a cut says nothing
  };

  // Of a socket that is connected.
  static std::shared_ptr<Link> FromSocket(Tcp::socket socket, Limits limits);
  // Connects first; frames sent before it is up wait. on_closed if it is not up within `timeout_ms`.
  static std::shared_ptr<Link> Dial(asio::io_context& io, const Tcp::endpoint& to, int timeout_ms,
                                    Limits limits);
  ~Link();

  void Start(Events events);  // once; reading begins
  // Others from now on: for who has read the Hello and hands the link on, from inside on_frame too.
  void SetEvents(Events events);
  // False if it is closed. Frames go out in order, coalesced.
  bool Send(std::string_view frame);
  bool open() const;
  bool connected() const;
  std::size_t queued_bytes() const;  // bytes that wait to be written
  // While paused nothing is read: the peer is held up.
  void PauseReading();
  void ResumeReading();
  void Close();  // nothing is called any more
  std::string peer_ip() const;

 private:
  class Impl;
  explicit Link(std::unique_ptr<Impl> impl);
  void CloseLater();
  void NotifyClosed();
  void Read();
  void OnReadable();
  bool DispatchFrames();
  void ScheduleFlush();
  void Flush();
  std::unique_ptr<Impl> impl_;
};

// Accepts links at one address.
class Listener {
 public:
  // Throws boost::system::system_error if the address can't be listened on.
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
