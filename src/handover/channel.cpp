#include "handover/channel.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/un.h>
#include <unistd.h>

#include <array>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace merlinrun::handover {
namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// Ample for a local process, even on a busy machine.
constexpr int kResponseTimeoutMs = 300;

sockaddr_un AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path.data(), path.size());  // SocketPath leaves room for the terminator
  return address;
}

Descriptor NewSocket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// Returns no descriptor if no process listens at the path.
Descriptor Connect(const std::string& path) {
  Descriptor socket = NewSocket();
  const sockaddr_un address = AddressOf(path);
  if (socket && ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    return socket;
  return Descriptor();
}

// Whether a process listens at the path. Guards against taking the path and the clients back from a third
// process to which the successor had already handed over before it ended.
bool IsReachable(const std::string& path) { return static_cast<bool>(Connect(path)); }

void LogError(const std::string& what) { std::fprintf(stderr, "handover: %.200s\n", what.c_str()); }

// Listeners are only exchanged with processes of the same user.
bool SameUser(int socket) {
  ucred peer{};
  socklen_t size = sizeof peer;
  return ::getsockopt(socket, SOL_SOCKET, SO_PEERCRED, &peer, &size) == 0 && peer.uid == ::geteuid();
}

struct Received {
  std::string text;
  Descriptor descriptor;
  bool closed = false;
};

// Returns nullopt if no message is available.
std::optional<Received> Receive(int socket) {
  std::array<char, kMaxMessageBytes> text{};
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  iovec part{text.data(), text.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control.data();
  message.msg_controllen = control.size();
  const ssize_t n = ::recvmsg(socket, &message, MSG_CMSG_CLOEXEC);
  if (n < 0 && (errno == EAGAIN || errno == EINTR)) return std::nullopt;
  Received out;
  out.closed = n <= 0;
  const cmsghdr* const head = CMSG_FIRSTHDR(&message);
  if (head != nullptr && head->cmsg_level == SOL_SOCKET && head->cmsg_type == SCM_RIGHTS) {
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(head), sizeof fd);
    out.descriptor = Descriptor(fd);
  }
  if (n > 0 && (message.msg_flags & MSG_TRUNC) == 0)
    out.text.assign(text.data(), static_cast<std::size_t>(n));
  return out;
}

bool IsListener(int fd) {
  int listens = 0;
  socklen_t size = sizeof listens;
  return ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0;
}

}  // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  Descriptor taken(std::move(other));
  std::swap(fd_, taken.fd_);
  return *this;
}
Descriptor::~Descriptor() {
  if (fd_ >= 0) ::close(fd_);
}
int Descriptor::Release() { return std::exchange(fd_, -1); }

std::optional<InheritedState> RequestHandover(const std::string& path) {
  if (path.empty()) return std::nullopt;
  Descriptor socket = Connect(path);
  // No process, or only the socket file of one that was killed.
  if (!socket) return std::nullopt;
  if (!SameUser(socket.get()))
    return LogError("the process at the socket belongs to another user"), std::nullopt;
  pollfd wait{socket.get(), POLLIN, 0};
  std::optional<Received> response;
  if (::poll(&wait, 1, kResponseTimeoutMs) == 1) response = Receive(socket.get());
  if (!response || response->closed) return LogError("no response from the running process"), std::nullopt;
  std::string error;
  const auto held_resources = ParseHeldResources(response->text, error);
  if (!held_resources) return LogError(error), std::nullopt;
  if (!response->descriptor || !IsListener(response->descriptor.get()))
    return LogError("the running process sent no listener"), std::nullopt;
  return InheritedState{*held_resources, std::move(response->descriptor), std::move(socket)};
}

struct Channel::State : std::enable_shared_from_this<Channel::State> {
  State(asio::io_context& io, Descriptor channel, Events handlers)
      : events(std::move(handlers)), socket(io, channel.Release()) {}

  void Wait() {
    socket.async_wait(asio::posix::stream_descriptor::wait_read,
                      [self = shared_from_this()](ErrorCode error) {
                        if (!error) self->Read();
                      });
  }
  void Read() {
    while (socket.is_open()) {
      const auto received = Receive(socket.native_handle());
      if (!received) return Wait();
      if (!received->closed) {
        events.on_message(received->text);
        continue;
      }
      socket.close();
      return events.on_closed();
    }
  }

  const Events events;
  asio::posix::stream_descriptor socket;
};

Channel::Channel(asio::io_context& io, Descriptor channel, Events events)
    : state_(std::make_shared<State>(io, std::move(channel), std::move(events))) {
  state_->Wait();
}

Channel::~Channel() {
  ErrorCode ignored;
  if (state_->socket.is_open()) state_->socket.close(ignored);
}

void Channel::Send(std::string_view text, int descriptor) {
  if (!state_->socket.is_open()) return;
  iovec part{const_cast<char*>(text.data()), text.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  alignas(cmsghdr) std::array<char, CMSG_SPACE(sizeof(int))> control{};
  if (descriptor >= 0) {
    message.msg_control = control.data();
    message.msg_controllen = control.size();
    cmsghdr* const head = CMSG_FIRSTHDR(&message);
    head->cmsg_level = SOL_SOCKET;
    head->cmsg_type = SCM_RIGHTS;
    head->cmsg_len = CMSG_LEN(sizeof descriptor);
    std::memcpy(CMSG_DATA(head), &descriptor, sizeof descriptor);
  }
  ::sendmsg(state_->socket.native_handle(), &message, MSG_NOSIGNAL | MSG_DONTWAIT);
}

HandoverServer::HandoverServer(asio::io_context& io, std::string path, int listener, Events events)
    : io_(io), path_(std::move(path)), listener_(listener), events_(std::move(events)) {
  Listen();
}

HandoverServer::~HandoverServer() = default;

void HandoverServer::Listen() {
  if (path_.empty()) return;
  struct stat found {};
  if (::lstat(path_.c_str(), &found) == 0) {
    if (!S_ISSOCK(found.st_mode)) return LogError(path_ + " is not a socket; hot restart is off");
    ::unlink(path_.c_str());  // left by a process that was replaced or killed
  }
  Descriptor socket = NewSocket();
  const sockaddr_un address = AddressOf(path_);
  constexpr int kBacklog = 4;
  if (!socket || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::chmod(path_.c_str(), S_IRUSR | S_IWUSR) != 0 || ::listen(socket.get(), kBacklog) != 0)
    return LogError(path_ + ": " + std::strerror(errno) + "; hot restart is off");
  acceptor_ = std::make_unique<asio::posix::stream_descriptor>(io_, socket.Release());
  Accept();
}

void HandoverServer::Accept() {
  const auto wanted = [this, alive = std::weak_ptr<bool>(alive_)](ErrorCode error) {
    if (error || alive.expired() || acceptor_ == nullptr) return;
    Descriptor peer(::accept4(acceptor_->native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (peer) OnConnection(std::move(peer));
    if (acceptor_ != nullptr) Accept();
  };
  acceptor_->async_wait(asio::posix::stream_descriptor::wait_read, wanted);
}

void HandoverServer::OnConnection(Descriptor peer) {
  // One successor at a time; a second one is disconnected and starts without a handover.
  if (successor_ != nullptr || !SameUser(peer.get())) return;
  successor_ = std::make_unique<Channel>(
      io_, std::move(peer),
      Channel::Events{[this](std::string_view message) {
                        if (message != kServing || acceptor_ == nullptr) return;
                        acceptor_ = nullptr;  // the successor listens at the path now
                        events_.on_successor_serving();
                      },
                      [this] {
                        // Posted, as this destroys the channel.
                        asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_),
                                         gone = std::shared_ptr<Channel>(std::move(successor_))] {
                          if (alive.expired() || (acceptor_ == nullptr && IsReachable(path_))) return;
                          if (acceptor_ == nullptr) Listen();
                          events_.on_successor_lost();
                        });
                      }});
  successor_->Send(Serialize(events_.held_resources()), listener_);
  events_.on_successor();
}

void HandoverServer::SendHeldResources() {
  if (successor_ != nullptr) successor_->Send(Serialize(events_.held_resources()));
}

}  // namespace merlinrun::handover
