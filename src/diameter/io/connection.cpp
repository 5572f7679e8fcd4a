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

constexpr std::size_t kReadSize = std::size_t{16} * 1024;

// Waits until there is something to read and only then takes a buffer, one for all: an idle connection holds
// none.
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
      static std::array<char, kReadSize> input;  // read and fed in one turn; there is one thread
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
  void Shut() override {
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
  }
  void Abort(bool reset) override {
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
    : limits_(limits), framer_(limits.max_message_bytes), guard_(executor) {}

void Connection::Start(Events events) {
  events_ = std::make_shared<const Events>(std::move(events));
  if (!delivering_) Deliver();
  MaybeRead();
}

void Connection::MaybeRead() {
  // A peer that does not read its answers is not asked for more requests: what is kept for it has an end.
  if (closed_ || reading_ || (!closing_ && queued() > limits_.pause)) return;
  reading_ = true;
  ReadSome();
}

void Connection::OnRead(const ErrorCode& error, std::string_view bytes) {
  reading_ = false;
  if (closed_) return;
  if (error) return End();
  if (!closing_) {
    framer_.Feed(bytes);
    Deliver();
  }
  MaybeRead();  // while it is closing too, so that its end is seen; what comes then is dropped
}

void Connection::Deliver() {
  delivering_ = true;
  const auto self = shared_from_this();
  while (!closing_ && !closed_) {
    const auto frame = framer_.Next();
    if (!frame) break;
    const auto events = events_;  // a new owner may take its place while it is called
    events->on_frame(*frame);
  }
  delivering_ = false;
  if (framer_.broken() && !closing_ && !closed_) {
    const auto events = events_;
    events->on_framing_error(*framer_.broken());
  }
}

std::uint64_t Connection::Write(std::string_view bytes) {
  accepted_ += bytes.size();
  if (closing_ || closed_) return accepted_;
  pending_.append(bytes);
  if (queued() > limits_.most_queued) {
    // Not from in here: whoever writes is in the midst of its own state.
    boost::asio::post(guard_.get_executor(), [self = shared_from_this()] { self->End(); });
    return accepted_;
  }
  Flush();
  return accepted_;
}

void Connection::Guard(Micros time) {
  guard_.expires_after(std::chrono::microseconds(time));
  guard_.async_wait([weak = weak_from_this()](ErrorCode error) {
    const auto self = weak.lock();
    if (!error && self != nullptr) self->End();
  });
}

void Connection::Flush() {
  if (!writing_.empty() || pending_.empty() || closed_) return;
  writing_.swap(pending_);
  begun_ = flushed_ + writing_.size();
  if (!closing_) Guard(limits_.stuck);
  WriteSome();
}

void Connection::OnWritten(const ErrorCode& error, std::size_t size) {
  flushed_ += size;
  begun_ = flushed_;
  writing_.clear();
  if (closed_) return;
  if (error) return End();
  if (!pending_.empty()) return Flush();
  if (closing_) return Shut();
  guard_.cancel();
  MaybeRead();
}

void Connection::End() {
  if (std::exchange(closed_, true)) return;
  const auto self = shared_from_this();
  guard_.cancel();
  Abort(/*reset=*/false);
  const auto events = std::exchange(events_, nullptr);
  if (!closing_ && events != nullptr) events->on_closed();
}

void Connection::Reset() {
  events_ = nullptr;
  if (std::exchange(closed_, true)) return;
  guard_.cancel();
  Abort(/*reset=*/true);
}

void Connection::Close() {
  if (closing_ || closed_) return;
  closing_ = true;
  events_ = nullptr;
  Guard(limits_.linger);
  if (queued() == 0) Shut();
  MaybeRead();
}

}  // namespace merlinrun::diameter
