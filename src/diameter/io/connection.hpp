// A Diameter connection: reads frames and writes bytes through a bounded queue. While the peer doesn't read,
// nothing is read from it, and after a timeout the connection is closed.
//
// Threading: the thread of its io_context. Ownership: shared; it keeps itself alive until it is closed.
#ifndef MERLINRUN_DIAMETER_IO_CONNECTION_HPP_
#define MERLINRUN_DIAMETER_IO_CONNECTION_HPP_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "diameter/codec.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::diameter {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Limits {
    std::size_t max_message_bytes = 65'536;
    // Queued bytes above which reading pauses, and above which the connection is closed.
    std::size_t read_pause_bytes = std::size_t{256} << 10;
    std::size_t max_queued_bytes = std::size_t{4} << 20;
    Micros write_timeout = 5'000'000;  // longer writes close the connection
    Micros close_timeout = 1'000'000;  // on Close: for flushing, and for the peer to read it and to close
  };
  struct Events {
    std::function<void(std::string_view frame)> on_frame;
    std::function<void(const MalformedMessage&)> on_framing_error;  // reading has stopped
    std::function<void()> on_closed;                                // at most once; not after Close
  };

  // Wraps a connected socket without TLS.
  static std::shared_ptr<Connection> Plain(Tcp::socket socket, Limits limits);
  virtual ~Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Starts reading. Calling it again transfers the connection to a new owner.
  void Start(Events events);
  // Queues bytes and returns their end offset in the written stream, for MayHaveBeenSent. Ignored if closed.
  std::uint64_t Write(std::string_view bytes);
  // Whether the bytes up to this offset may have left the machine; false only if some certainly haven't.
  bool MayHaveBeenSent(std::uint64_t end) const { return end <= write_started_; }
  // Stops events, flushes what is queued and closes.
  void Close();
  // Stops events and closes at once with a TCP reset; queued bytes are lost.
  void Reset();

  bool closed() const { return closed_; }
  std::size_t queued() const { return pending_.size() + writing_.size(); }
  // Whether the peer's certificate is valid for the host; always true without TLS.
  virtual bool MatchesHost(const std::string& host) const = 0;
  virtual bool tls() const = 0;

 protected:
  explicit Connection(const boost::asio::any_io_executor& executor, Limits limits);
  virtual void ReadSome() = 0;      // calls OnRead
  virtual void WriteSome() = 0;     // writes all of writing(), then calls OnWritten
  virtual void ShutdownSend() = 0;  // shuts down the sending side
  virtual void CloseSocket(bool reset) = 0;
  void OnRead(const ErrorCode& error, std::string_view bytes);
  void OnWritten(const ErrorCode& error, std::size_t size);
  const std::string& writing() const { return writing_; }

 private:
  void MaybeRead();
  void Flush();
  void Fail();
  void Deliver();
  void StartTimer(Micros timeout);

  const Limits limits_;
  Framer framer_;
  std::shared_ptr<const Events> events_;  // null once closed; copied while a callback runs
  boost::asio::steady_timer timer_;       // for write and close timeouts
  std::string pending_;
  std::string writing_;
  std::uint64_t sent_ = 0;           // bytes certainly written
  std::uint64_t write_started_ = 0;  // plus bytes being written
  std::uint64_t enqueued_ = 0;       // plus queued bytes
  bool reading_ = false;
  bool delivering_ = false;
  bool closing_ = false;
  bool closed_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_CONNECTION_HPP_
