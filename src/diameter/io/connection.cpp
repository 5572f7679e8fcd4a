#include "diameter/io/connection.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace merlinrun::diameter {
namespace {

constexpr std::size_t kReadBufferSize = std::size_t{16} * 1024;

// Waits for readability before it uses the shared buffer, so that idle connections have none.
class PlainConnection : public Connection {
 public:
  PlainConnection(Tcp::socket socket, Limits limits)
      : Connection(socket.get_executor(), limits), socket_(std::move(socket)) {
    ErrorCode ignored;
    socket_.set_option(Tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }
  bool MatchesHost(const std::string&) const override { return true; }
  bool tls() const override { return false; }

 private:
  std::shared_ptr<PlainConnection> Self() {
    return std::static_pointer_cast<PlainConnection>(shared_from_this());
  }
  void ReadSome() override {
    socket_.async_wait(Tcp::socket::wait_read, [self = Self()](ErrorCode error) {
      static std::array<char, kReadBufferSize> input;  // single-threaded, consumed in this callback
      std::size_t n = 0;
      if (!error) n = self->socket_.read_some(boost::asio::buffer(input), error);
      if (error == boost::asio::error::would_block) return self->ReadSome();
      self->OnRead(error, {input.data(), n});
    });
  }
  void WriteSome() override {
    boost::asio::async_write(socket_, boost::asio::buffer(writing()),
                             [self = Self()](ErrorCode error, std::size_t n) { self->OnWritten(error, n); });
  }
  void ShutdownSend() override {
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  void CloseSocket(bool reset) override {
    ErrorCode ignored;
    if (reset) socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

  Tcp::socket socket_;
};

}  // namespace

std::shared_ptr<Connection> Connection::Plain(Tcp::socket socket, Limits limits) {
  return std::make_shared<PlainConnection>(std::move(socket), limits);
}

Connection::Connection(const boost::asio::any_io_executor& executor, Limits limits)
    : limits_(limits), framer_(limits.max_message_bytes), timer_(executor) {}

void Connection::Start(Events events) {
  events_ = std::make_shared<const Events>(std::move(events));
  if (!delivering_) Deliver();
  MaybeRead();
}

void Connection::MaybeRead() {
  // Backpressure: no more requests from a peer that doesn't read its answers.
  if (closed_ || reading_ || (!closing_ && queued() > limits_.read_pause_bytes)) return;
  reading_ = true;
  ReadSome();
}

void Connection::OnRead(const ErrorCode& error, std::string_view bytes) {
  reading_ = false;
  if (closed_) return;
  if (error) return Fail();
  if (!closing_) {
    framer_.Feed(bytes);
    Deliver();
  }
  MaybeRead();  // also while closing, to detect the peer's close; the data is dropped
}

void Connection::Deliver() {
  delivering_ = true;
  const auto self = shared_from_this();
  while (!closing_ && !closed_) {
    const auto frame = framer_.Next();
    if (!frame) break;
    const auto events = events_;  // the callback may install a new owner
    events->on_frame(*frame);
  }
  delivering_ = false;
  if (framer_.framing_error() && !closing_ && !closed_) {
    const auto events = events_;
    events->on_framing_error(*framer_.framing_error());
  }
}

std::uint64_t Connection::Write(std::string_view bytes) {
  enqueued_ += bytes.size();
  if (closing_ || closed_) return enqueued_;
  pending_.append(bytes);
  if (queued() > limits_.max_queued_bytes) {
    // Deferred, as the caller may be changing its own state.
    boost::asio::post(timer_.get_executor(), [self = shared_from_this()] { self->Fail(); });
    return enqueued_;
  }
  Flush();
  return enqueued_;
}

void Connection::StartTimer(Micros timeout) {
  timer_.expires_after(std::chrono::microseconds(timeout));
  timer_.async_wait([weak = weak_from_this()](ErrorCode error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) self->Fail();
  });
}

void Connection::Flush() {
  if (!writing_.empty() || pending_.empty() || closed_) return;
  writing_.swap(pending_);
  write_started_ = sent_ + writing_.size();
  if (!closing_) StartTimer(limits_.write_timeout);
  WriteSome();
}

void Connection::OnWritten(const ErrorCode& error, std::size_t size) {
  sent_ += size;
  write_started_ = sent_;
  writing_.clear();
  if (closed_) return;
  if (error) return Fail();
  if (!pending_.empty()) return Flush();
  if (closing_) return ShutdownSend();
  timer_.cancel();
  MaybeRead();
}

void Connection::Fail() {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  timer_.cancel();
  CloseSocket(/*reset=*/false);
  const auto events = std::exchange(events_, nullptr);
  if (!closing_ && events != nullptr) events->on_closed();
}

void Connection::Reset() {
  events_ = nullptr;
  if (std::exchange(closed_, true)) return;
  timer_.cancel();
  CloseSocket(/*reset=*/true);
}

void Connection::Close() {
  if (closing_ || closed_) return;
  closing_ = true;
  events_ = nullptr;
  StartTimer(limits_.close_timeout);
  if (queued() == 0) ShutdownSend();
  MaybeRead();
}

}  // namespace merlinrun::diameter
