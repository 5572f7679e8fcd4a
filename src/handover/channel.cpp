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

// For the answer of a process that is alive: it is on this machine, though its core may be busy.
constexpr int kAnswerMs = 300;

sockaddr_un AddressOf(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  std::memcpy(address.sun_path, path.data(), path.size());  // PathFor leaves room for the end
  return address;
}

Descriptor NewSocket() {
  return Descriptor(::socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

// None if nobody listens there.
Descriptor Connected(const std::string& path) {
  Descriptor socket = NewSocket();
  const sockaddr_un address = AddressOf(path);
  if (socket && ::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
    return socket;
  return Descriptor();
}

// Whether a process listens there. Guards against taking the path, and clients, back from a third process
// that the second has handed on to before it ended.
bool Reaches(const std::string& path) { return static_cast<bool>(Connected(path)); }

void Complain(const std::string& what) { std::fprintf(stderr, "handover: %.200s\n", what.c_str()); }

// Guards against taking a listener from, or giving it to, a process of somebody else.
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

// Empty if nothing is there yet.
std::optional<Received> Receive(int socket) {
  std::array<char, kMostMessage> text{};
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

std::optional<Claim> Ask(const std::string& path) {
  if (path.empty()) return std::nullopt;
  Descriptor socket = Connected(path);
  // Nobody there, or a leftover of a process that was killed: no old process, then.
  if (!socket) return std::nullopt;
  if (!SameUser(socket.get())) return Complain("the socket's process is somebody else's"), std::nullopt;
  pollfd wait{socket.get(), POLLIN, 0};
  std::optional<Received> answer;
  if (::poll(&wait, 1, kAnswerMs) == 1) answer = Receive(socket.get());
  if (!answer || answer->closed) return Complain("no answer from the running process"), std::nullopt;
  std::string error;
  const auto holding = ParseHeldResources(answer->text, error);
  if (!holding) return Complain(error), std::nullopt;
  if (!answer->descriptor || !IsListener(answer->descriptor.get()))
    return Complain("no listener from the running process"), std::nullopt;
  return Claim{*holding, std::move(answer->descriptor), std::move(socket)};
}

struct Channel::State : std::enable_shared_from_this<Channel::State> {
  State(asio::io_context& io, Descriptor channel, Events told)
      : events(std::move(told)), socket(io, channel.Release()) {}

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

Door::Door(asio::io_context& io, std::string path, int listener, Events events)
    : io_(io), path_(std::move(path)), listener_(listener), events_(std::move(events)) {
  Listen();
}

Door::~Door() = default;

void Door::Listen() {
  if (path_.empty()) return;
  struct stat found {};
  if (::lstat(path_.c_str(), &found) == 0) {
    if (!S_ISSOCK(found.st_mode)) return Complain(path_ + " is no socket; upgrades will not be seamless");
    ::unlink(path_.c_str());  // of a process that has handed on, or was killed
  }
  Descriptor socket = NewSocket();
  const sockaddr_un address = AddressOf(path_);
  constexpr int kBacklog = 4;
  if (!socket || ::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::chmod(path_.c_str(), S_IRUSR | S_IWUSR) != 0 || ::listen(socket.get(), kBacklog) != 0)
    return Complain(path_ + ": " + std::strerror(errno) + "; upgrades will not be seamless");
  door_ = std::make_unique<asio::posix::stream_descriptor>(io_, socket.Release());
  Accept();
}

void Door::Accept() {
  const auto wanted = [this, alive = std::weak_ptr<bool>(alive_)](ErrorCode error) {
    if (error || alive.expired() || door_ == nullptr) return;
    Descriptor peer(::accept4(door_->native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (peer) OnPeer(std::move(peer));
    if (door_ != nullptr) Accept();
  };
  door_->async_wait(asio::posix::stream_descriptor::wait_read, wanted);
}

void Door::OnPeer(Descriptor peer) {
  // One at a time; a second is let go without a word and falls back.
  if (newcomer_ != nullptr || !SameUser(peer.get())) return;
  newcomer_ = std::make_unique<Channel>(
      io_, std::move(peer),
      Channel::Events{[this](std::string_view message) {
                        if (message != kServing || door_ == nullptr) return;
                        door_ = nullptr;  // the path is the newcomer's from here on
                        events_.on_serving();
                      },
                      [this] {
                        // Not from within the channel that it ends.
                        asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_),
                                         gone = std::shared_ptr<Channel>(std::move(newcomer_))] {
                          if (alive.expired() || (door_ == nullptr && Reaches(path_))) return;
                          if (door_ == nullptr) Listen();
                          events_.on_lost();
                        });
                      }});
  newcomer_->Send(Write(events_.holding()), listener_);
  events_.on_newcomer();
}

void Door::Tell() {
  if (newcomer_ != nullptr) newcomer_->Send(Write(events_.holding()));
}

}  // namespace merlinrun::handover
