// One Diameter connection: bytes in and out, cut into frames. What is written waits in a queue of bounded
// size; a peer that does not read is not read from either, and after a while it is ended.
//
// Threading: the one thread of its io_context. Ownership: shared; it keeps itself until it is closed.
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
    // Bytes that wait to be written before the peer is not read from any more, and before it is ended.
    std::size_t pause = std::size_t{256} << 10;
    std::size_t most_queued = std::size_t{4} << 20;
    Micros stuck = 5'000'000;   // a write that goes on for longer ends the connection
    Micros linger = 1'000'000;  // for what is written to be read, before a connection is closed
  };
  struct Events {
    std::function<void(std::string_view frame)> on_frame;
    std::function<void(const MalformedMessage&)>
        on_framing_error;             // nothing more is read; it is to be closed
    std::function<void()> on_closed;  // once; not after Close
  };

  // A connection whose socket is connected.
  static std::shared_ptr<Connection> Plain(Tcp::socket socket, Limits limits);
  virtual ~Connection() = default;
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Begins to read. May be called again, to hand the connection to another owner.
  void Start(Events events);
  // Gives back where these bytes end in all that was ever written; see MayHaveLeft. Bytes for a connection
  // that is closed go nowhere.
  std::uint64_t Write(std::string_view bytes);
  // Whether the bytes up to this end may have left the machine: false only if some of them certainly have
  // not.
  bool MayHaveLeft(std::uint64_t end) const { return end <= begun_; }
  // No events any more. What is written goes out first, then the connection is closed.
  void Close();
  // The same at once, as if the process had died: what is not written is lost, and the peer sees a reset.
  void Reset();

  bool closed() const { return closed_; }
  std::size_t queued() const { return pending_.size() + writing_.size(); }
  // The name that the peer's certificate was checked against must be among these; without TLS any name is.
  virtual bool MatchesHost(const std::string& host) const = 0;
  virtual bool tls() const = 0;

 protected:
  explicit Connection(const boost::asio::any_io_executor& executor, Limits limits);
  virtual void ReadSome() = 0;         // ends in OnRead
  virtual void WriteSome() = 0;        // writes all of writing(); ends in OnWritten
  virtual void Shut() = 0;             // says that nothing more is sent
  virtual void Abort(bool reset) = 0;  // closes the socket
  void OnRead(const ErrorCode& error, std::string_view bytes);
  void OnWritten(const ErrorCode& error, std::size_t size);
  const std::string& writing() const { return writing_; }

 private:
  void MaybeRead();
  void Flush();
  void End();
  void Deliver();
  void Guard(Micros time);

  const Limits limits_;
  Framer framer_;
  std::shared_ptr<const Events> events_;  // null once it is closed; held while one of them is called
  boost::asio::steady_timer guard_;       // while something is being written, or the end is near
  std::string pending_;
  std::string writing_;
  std::uint64_t flushed_ = 0;   // bytes that are written for certain
  std::uint64_t begun_ = 0;     // and those whose write has begun
  std::uint64_t accepted_ = 0;  // and those that wait
  bool reading_ = false;
  bool delivering_ = false;
  bool closing_ = false;
  bool closed_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_CONNECTION_HPP_
