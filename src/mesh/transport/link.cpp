#include "mesh/transport/link.hpp"

#include <netinet/tcp.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <exception>
#include <utility>

#include "mesh/memory/receive_buffer.hpp"
#include "mesh/transport/read_buffer.hpp"
#include "net/listen.hpp"

namespace fennelhollow::transport {
namespace {

constexpr std::size_t kLengthBytes = 4;
// Reads per turn of the event loop: a busy peer must not starve the others.
constexpr int kMaxReadsPerTurn = 4;
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);

std::uint32_t DecodeLength(const char* bytes) {
  const auto at = [&](int i) { return static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])); };
  return at(0) << 24 | at(1) << 16 | at(2) << 8 | at(3);
}

}  // namespace

class Link::Impl {
 public:
  Impl(Tcp::socket connected_socket, Limits limits_in)
      : socket(std::move(connected_socket)), timer(socket.get_executor()), limits(limits_in) {}

  void SetOptions() {
    ErrorCode ignored;
    socket.set_option(Tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    SetUserTimeout();
  }

  // Otherwise the kernel would retransmit to a partitioned peer for minutes.
  void SetUserTimeout() {
    const int timeout = limits.user_timeout_ms;
    if (timeout > 0)
      ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
  }

  Tcp::socket socket;
  asio::steady_timer timer;  // connect timeout
  Limits limits;
  Events events;
  std::string ip;
  std::string output;  // send queue; the first `written` bytes are sent
  std::size_t written = 0;
  std::string input;  // an incomplete frame
  std::size_t reported_input = 0;
  memory::PeerWait input_wait;   // for the rest of that frame
  memory::PeerWait output_wait;  // for the peer to read, while `blocked`
  bool blocked = false;
  bool established = false, closed = false, started = false, paused = false;
  bool reading = false, writing = false;
};

Link::Link(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Link::~Link() = default;

std::shared_ptr<Link> Link::FromSocket(Tcp::socket socket, Limits limits) {
  auto impl = std::make_unique<Impl>(std::move(socket), limits);
  impl->SetOptions();
  impl->established = true;
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
  // Before the handshake, which sets the scale of the window.
  if (!error)
    impl.socket.set_option(asio::socket_base::receive_buffer_size(memory::kDialedLinkReceiveBytes), error);
  impl.timer.expires_after(std::chrono::milliseconds(timeout_ms));
  impl.timer.async_wait([weak = link->weak_from_this()](ErrorCode stopped) {
    const auto self = weak.lock();
    if (stopped || self == nullptr || self->impl_->established || self->impl_->closed) return;
    self->Fail();
  });
  impl.socket.async_connect(to, [weak = link->weak_from_this()](ErrorCode failed) {
    const auto self = weak.lock();
    if (self == nullptr || self->impl_->closed) return;
    Impl& state = *self->impl_;
    state.timer.cancel();
    if (failed) return self->Fail();
    state.established = true;
    state.SetOptions();
    self->Read();
    self->Flush();
  });
  return link;
}

void Link::Start(Events events) {
  impl_->events = std::move(events);
  impl_->started = true;
  if (impl_->closed) return NotifyClosed();
  if (impl_->established) Read();
}

void Link::SetEvents(Events events) { impl_->events = std::move(events); }

void Link::Fail() {
  if (std::exchange(impl_->closed, true)) return;
  impl_->timer.cancel();
  ErrorCode ignored;
  impl_->socket.close(ignored);
  if (impl_->started) NotifyClosed();
}

// In a later turn, unless the owner closes the link before.
void Link::NotifyClosed() {
  asio::post(impl_->socket.get_executor(), [self = shared_from_this()] {
    const Events closed_events = std::exchange(self->impl_->events, {});
    if (closed_events.on_closed) closed_events.on_closed();
  });
}

void Link::Read() {
  Impl& state = *impl_;
  if (!state.established || state.closed || state.paused || state.reading || !state.started) return;
  state.reading = true;
  state.socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
    self->impl_->reading = false;
    if (self->impl_->closed) return;
    if (error) return self->Fail();
    self->OnReadable();
  });
}

void Link::OnReadable() {
  Impl& state = *impl_;
  for (int i = 0; i < kMaxReadsPerTurn && !state.closed && !state.paused; ++i) {
    ErrorCode error;
    const std::size_t n = state.socket.read_some(asio::buffer(ReadBuffer()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) break;
    if (error) return Fail();
    // Copied out of the shared buffer, which callbacks may reuse for other links.
    const auto now = memory::Clock::now();
    if (state.input.empty()) state.input_wait.Begin(now, memory::kMinRequestBytesPerS);
    state.input_wait.OnBytes(now, n);
    state.input.append(ReadBuffer().data(), n);
    if (!DispatchFramesOrFail()) return;
    if (n < kReadBufferBytes) break;
  }
  Read();
}

// A link whose callback throws is closed: it would never be read again.
bool Link::DispatchFramesOrFail() {
  try {
    return DispatchFrames();
  } catch (const std::exception&) {
    Fail();
    throw;
  }
}

// False if the link has closed.
bool Link::DispatchFrames() {
  Impl& state = *impl_;
  std::size_t at = 0;
  while (!state.closed && !state.paused && state.input.size() - at >= kLengthBytes) {
    const std::size_t length = DecodeLength(state.input.data() + at);
    if (length > state.limits.max_frame_bytes) {
      Fail();
      return false;
    }
    if (state.input.size() - at - kLengthBytes < length) break;
    const std::string frame = state.input.substr(at + kLengthBytes, length);
    at += kLengthBytes + length;
    if (state.events.on_frame) {
      const auto call = state.events.on_frame;  // a copy, as it may close the link
      call(frame);
    }
  }
  if (state.closed) return false;
  state.input.erase(0, at);
  if (state.input.empty() && state.input.capacity() > kReadBufferBytes) std::string().swap(state.input);
  return ReportInputMemory();
}

// False if the link has closed.
bool Link::ReportInputMemory() {
  Impl& state = *impl_;
  const std::size_t bytes = state.input.capacity() > kReadBufferBytes ? state.input.capacity() : 0;
  if (bytes == state.reported_input || !state.events.on_input_memory) return true;
  state.reported_input = bytes;
  if (state.events.on_input_memory(bytes)) return true;
  Fail();
  return false;
}

bool Link::Send(std::string_view frame) {
  Impl& state = *impl_;
  if (state.closed) return false;
  if (queued_bytes() + frame.size() > state.limits.max_queued_bytes || frame.size() > kMaxFrameBytes) {
    Fail();
    return false;
  }
  if (state.written > 0 && state.written == state.output.size()) state.output.clear(), state.written = 0;
  const auto n = static_cast<std::uint32_t>(frame.size());
  const char length[kLengthBytes] = {static_cast<char>(n >> 24), static_cast<char>(n >> 16),
                                     static_cast<char>(n >> 8), static_cast<char>(n)};
  state.output.append(length, kLengthBytes);
  state.output.append(frame);
  ScheduleFlush();
  return true;
}

// In a later turn, so that frames sent in one turn are coalesced.
void Link::ScheduleFlush() {
  Impl& state = *impl_;
  if (!state.established || state.writing) return;
  state.writing = true;
  asio::post(state.socket.get_executor(), [self = shared_from_this()] {
    self->impl_->writing = false;
    self->Flush();
  });
}

void Link::Flush() {
  Impl& state = *impl_;
  if (state.closed || !state.established || state.writing) return;
  while (state.written < state.output.size()) {
    ErrorCode error;
    const std::size_t n = state.socket.write_some(
        asio::buffer(state.output.data() + state.written, state.output.size() - state.written), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      state.writing = true;
      if (!std::exchange(state.blocked, true))
        state.output_wait.Begin(memory::Clock::now(), memory::kMinResponseBytesPerS);
      state.socket.async_wait(Tcp::socket::wait_write, [self = shared_from_this()](ErrorCode failed) {
        self->impl_->writing = false;
        if (self->impl_->closed) return;
        if (failed) return self->Fail();
        self->Flush();
      });
      if (state.written > kReadBufferBytes) state.output.erase(0, std::exchange(state.written, 0));
      return;
    }
    if (error) return Fail();
    state.written += n;
    if (state.blocked) state.output_wait.OnBytes(memory::Clock::now(), n);
  }
  state.blocked = false;
  if (state.output.capacity() > kReadBufferBytes)
    std::string().swap(state.output);
  else
    state.output.clear();
  state.written = 0;
  if (state.events.on_drained) {
    const auto call = state.events.on_drained;
    call();
  }
}

bool Link::open() const { return !impl_->closed; }
bool Link::connected() const { return impl_->established && !impl_->closed; }
std::size_t Link::queued_bytes() const { return impl_->output.size() - impl_->written; }
memory::PeerActivity Link::Activity(memory::Clock::time_point now) const {
  using Kind = memory::PeerActivity::Kind;
  const Impl& state = *impl_;
  if (state.blocked)
    return {Kind::kReadsResponse, state.output_wait.Waited(now), state.output_wait.Overdue(now)};
  if (!state.input.empty())
    return {Kind::kSendsRequest, state.input_wait.Waited(now), state.input_wait.Overdue(now)};
  return {};
}
void Link::SetUserTimeout(int milliseconds) {
  impl_->limits.user_timeout_ms = milliseconds;
  if (connected()) impl_->SetUserTimeout();
}
void Link::SetMaxFrameBytes(std::size_t bytes) { impl_->limits.max_frame_bytes = bytes; }
void Link::PauseReading() { impl_->paused = true; }
void Link::ResumeReading() {
  if (!std::exchange(impl_->paused, false) || impl_->closed) return;
  asio::post(impl_->socket.get_executor(), [self = shared_from_this()] {
    if (self->impl_->closed || self->impl_->paused) return;
    if (self->DispatchFramesOrFail()) self->Read();
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
  Impl(asio::io_context& io, const Tcp::endpoint& endpoint, Link::Limits limits_in,
       std::function<void(std::shared_ptr<Link>)> accepted_in)
      : acceptor(merlinrun::net::Listen(io, endpoint, memory::kAcceptedLinkReceiveBytes)),
        retry_timer(io),
        limits(limits_in),
        accepted(std::move(accepted_in)) {}

  void Accept() {
    if (!acceptor.is_open()) return;
    acceptor.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
      if (!self->acceptor.is_open()) return;
      if (!error) {
        self->Accept();  // before the callback, which may throw
        if (const auto call = self->accepted) call(Link::FromSocket(std::move(socket), self->limits));
        return;
      }
      // Avoids a busy loop while file descriptors are exhausted.
      self->retry_timer.expires_after(kAcceptRetryDelay);
      self->retry_timer.async_wait([self](ErrorCode stopped) {
        if (!stopped) self->Accept();
      });
    });
  }

  Tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  Link::Limits limits;
  std::function<void(std::shared_ptr<Link>)> accepted;
};

Listener::Listener(asio::io_context& io, const std::string& ip, std::uint16_t port, Link::Limits limits,
                   std::function<void(std::shared_ptr<Link>)> accepted)
    : impl_(std::make_shared<Impl>(io, Tcp::endpoint(asio::ip::make_address(ip), port), limits,
                                   std::move(accepted))) {
  impl_->Accept();
}
Listener::~Listener() { Close(); }
void Listener::Close() {
  impl_->accepted = nullptr;
  try {
    impl_->retry_timer.cancel();
  } catch (const boost::system::system_error&) {  // no callback is pending then
  }
  ErrorCode ignored;
  impl_->acceptor.close(ignored);
}

}  // namespace fennelhollow::transport
