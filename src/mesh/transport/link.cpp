#include "mesh/transport/link.hpp"

#include <netinet/tcp.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <utility>

#include "mesh/transport/read_buffer.hpp"

namespace fennelhollow::transport {
namespace {

constexpr std::size_t kLength = 4;
// Reads in one turn: guards against one busy peer that keeps all others waiting.
constexpr int kReadsATurn = 4;
constexpr auto kAcceptPause = std::chrono::milliseconds(50);

std::uint32_t LengthOf(const char* bytes) {
  const auto at = [&](int i) { return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])); };
  return at(0) << 24 | at(1) << 16 | at(2) << 8 | at(3);
}

}  // namespace

class Link::Impl {
 public:
  Impl(Tcp::socket taken, Limits limits_in)
      : socket(std::move(taken)), timer(socket.get_executor()), limits(limits_in) {}

  void SetOptions() {
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    // Guards against a peer behind a cut, to which the kernel would resend for minutes.
    const int timeout = limits.user_timeout_ms;
    if (timeout > 0)
      ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  }

  Tcp::socket socket;
  asio::steady_timer timer;  // of the dialling
  Limits limits;
  Events events;
  std::string ip;
  std::string out;  // waits to be written, from `written` on
  std::size_t written = 0;
  std::string in;  // an incomplete frame
  bool up = false, closed = false, started = false, paused = false;
  bool reading = false, writing = false;
};

Link::Link(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Link::~Link() = default;

std::shared_ptr<Link> Link::FromSocket(Tcp::socket socket, Limits limits) {
  auto impl = std::make_unique<Impl>(std::move(socket), limits);
  impl->SetOptions();
  impl->up = true;
  ErrorCode error;
  const auto peer = impl->socket.remote_endpoint(error);
  if (!error) impl->ip = peer.address().to_string();
  return std::shared_ptr<Link>(new Link(std::move(impl)));
}

std::shared_ptr<Link> Link::Dial(asio::io_context& io, const Tcp::endpoint& to, int timeout_ms,
                                 Limits limits) {
  auto link = std::shared_ptr<Link>(new Link(std::make_unique<Impl>(Tcp::socket(io), limits)));
  Impl& impl = *link->impl_;
  impl.ip = to.address().to_string();
  ErrorCode error;
  impl.socket.open(Tcp::v4(), error);
  impl.timer.expires_after(std::chrono::milliseconds(timeout_ms));
  impl.timer.async_wait([weak = link->weak_from_this()](ErrorCode stopped) {
    const auto self = weak.lock();
    if (stopped || self == nullptr || self->impl_->up || self->impl_->closed) return;
    self->CloseLater();
  });
  impl.socket.async_connect(to, [weak = link->weak_from_this()](ErrorCode failed) {
    const auto self = weak.lock();
    if (self == nullptr || self->impl_->closed) return;
    Impl& mine = *self->impl_;
    mine.timer.cancel();
    if (failed) return self->CloseLater();
    mine.up = true;
    mine.SetOptions();
    self->Read();
    self->Flush();
  });
  return link;
}

void Link::Start(Events events) {
  impl_->events = std::move(events);
  impl_->started = true;
  if (impl_->closed) return NotifyClosed();
  if (impl_->up) Read();
}

void Link::SetEvents(Events events) { impl_->events = std::move(events); }

void Link::CloseLater() {
  if (std::exchange(impl_->closed, true)) return;
  impl_->timer.cancel();
  ErrorCode ignored;
  impl_->socket.close(ignored);
  if (impl_->started) NotifyClosed();
}

// In a later turn, unless the link is closed by its owner before that.
void Link::NotifyClosed() {
  asio::post(impl_->socket.get_executor(), [self = shared_from_this()] {
    const Events told = std::exchange(self->impl_->events, {});
    if (told.on_closed) told.on_closed();
  });
}

void Link::Read() {
  Impl& mine = *impl_;
  if (!mine.up || mine.closed || mine.paused || mine.reading || !mine.started) return;
  mine.reading = true;
  mine.socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
    self->impl_->reading = false;
    if (self->impl_->closed) return;
    if (error) return self->CloseLater();
    self->OnReadable();
  });
}

void Link::OnReadable() {
  Impl& mine = *impl_;
  for (int i = 0; i < kReadsATurn && !mine.closed && !mine.paused; ++i) {
    ErrorCode error;
    const std::size_t n = mine.socket.read_some(asio::buffer(ReadBuffer()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error) return CloseLater();
    // What is handed out stays valid while callbacks read other links: it is copied off the common buffer.
    mine.in.append(ReadBuffer().data(), n);
    if (!DispatchFrames()) return;
    if (n < kReadBufferBytes) break;
  }
  Read();
}

// False if the link has closed.
bool Link::DispatchFrames() {
  Impl& mine = *impl_;
  std::size_t at = 0;
  while (!mine.closed && !mine.paused && mine.in.size() - at >= kLength) {
    const std::size_t length = LengthOf(mine.in.data() + at);
    if (length > kMaxFrameBytes) {
      CloseLater();
      return false;
    }
    if (mine.in.size() - at - kLength < length) break;
    const std::string frame = mine.in.substr(at + kLength, length);
    at += kLength + length;
    if (mine.events.on_frame) {
      const auto call = mine.events.on_frame;  // a copy: it may close the link
      call(frame);
    }
  }
  if (mine.closed) return false;
  mine.in.erase(0, at);
  if (mine.in.empty() && mine.in.capacity() > kReadBufferBytes) std::string().swap(mine.in);
  return true;
}

bool Link::Send(std::string_view frame) {
  Impl& mine = *impl_;
  if (mine.closed) return false;
  if (queued_bytes() + frame.size() > mine.limits.max_queued_bytes || frame.size() > kMaxFrameBytes) {
    CloseLater();
    return false;
  }
  if (mine.written > 0 && mine.written == mine.out.size()) mine.out.clear(), mine.written = 0;
  const auto n = static_cast<std::uint32_t>(frame.size());
  const char length[kLength] = {static_cast<char>(n >> 24), static_cast<char>(n >> 16),
                                static_cast<char>(n >> 8), static_cast<char>(n)};
  mine.out.append(length, kLength);
  mine.out.append(frame);
  ScheduleFlush();
  return true;
}

// In a later turn, so that what is sent in one turn goes out in one piece.
void Link::ScheduleFlush() {
  Impl& mine = *impl_;
  if (!mine.up || mine.writing) return;
  mine.writing = true;
  asio::post(mine.socket.get_executor(), [self = shared_from_this()] {
    self->impl_->writing = false;
    self->Flush();
  });
}

void Link::Flush() {
  Impl& mine = *impl_;
  if (mine.closed || !mine.up || mine.writing) return;
  while (mine.written < mine.out.size()) {
    ErrorCode error;
    const std::size_t n = mine.socket.write_some(
        asio::buffer(mine.out.data() + mine.written, mine.out.size() - mine.written), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      mine.writing = true;
      mine.socket.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode failed) {
        self->impl_->writing = false;
        if (self->impl_->closed) return;
        if (failed) return self->CloseLater();
        self->Flush();
      });
      if (mine.written > kReadBufferBytes) mine.out.erase(0, std::exchange(mine.written, 0));
      return;
    }
    if (error) return CloseLater();
    mine.written += n;
  }
  if (mine.out.capacity() > kReadBufferBytes)
    std::string().swap(mine.out);
  else
    mine.out.clear();
  mine.written = 0;
  if (mine.events.on_drained) {
    const auto call = mine.events.on_drained;
    call();
  }
}

bool Link::open() const { return !impl_->closed; }
bool Link::connected() const { return impl_->up && !impl_->closed; }
std::size_t Link::queued_bytes() const { return impl_->out.size() - impl_->written; }
void Link::PauseReading() { impl_->paused = true; }
void Link::ResumeReading() {
  if (!std::exchange(impl_->paused, false) || impl_->closed) return;
  asio::post(impl_->socket.get_executor(), [self = shared_from_this()] {
    if (self->impl_->closed || self->impl_->paused) return;
    if (self->DispatchFrames()) self->Read();
  });
}
void Link::Close() {
  impl_->events = {};
  if (std::exchange(impl_->closed, true)) return;
  impl_->timer.cancel();
  ErrorCode ignored;
  impl_->socket.close(ignored);
}
std::string Link::peer_ip() const { return impl_->ip; }

// ---- Listener ----

class Listener::Impl : public std::enable_shared_from_this<Listener::Impl> {
 public:
  Impl(asio::io_context& io, Link::Limits limits_in, std::function<void(std::shared_ptr<Link>)> accepted_in)
      : acceptor(io), pause(io), limits(limits_in), accepted(std::move(accepted_in)) {}

  void Accept() {
    if (!acceptor.is_open()) return;
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
      if (!self->acceptor.is_open()) return;
      if (!error) {
        if (const auto call = self->accepted) call(Link::FromSocket(std::move(socket), self->limits));
        return self->Accept();
      }
      // Guards against a loop that spins while descriptors are short.
      self->pause.expires_after(kAcceptPause);
      self->pause.async_wait([self](ErrorCode stopped) {
        if (!stopped) self->Accept();
      });
    });
  }

  Tcp::acceptor acceptor;
  asio::steady_timer pause;
  Link::Limits limits;
  std::function<void(std::shared_ptr<Link>)> accepted;
};

Listener::Listener(asio::io_context& io, const std::string& ip, std::uint16_t port, Link::Limits limits,
                   std::function<void(std::shared_ptr<Link>)> accepted)
    : impl_(std::make_shared<Impl>(io, limits, std::move(accepted))) {
  const Tcp::endpoint at(asio::ip::make_address(ip), port);
  impl_->acceptor.open(at.protocol());
  impl_->acceptor.set_option(Tcp::acceptor::reuse_address(true));
  impl_->acceptor.bind(at);
  impl_->acceptor.listen();
  impl_->Accept();
}
Listener::~Listener() { Close(); }
void Listener::Close() {
  impl_->accepted = nullptr;
  try {
    impl_->pause.cancel();
  } catch (const boost::system::system_error&) {  // nothing to be called back then
  }
  ErrorCode ignored;
  impl_->acceptor.close(ignored);
}

}  // namespace fennelhollow::transport
