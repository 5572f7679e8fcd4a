// The Unix socket between an old and a new process of one sidecar. Decides nothing: terms.hpp says what is
// said, the sidecar what it means.
#ifndef MERLINRUN_HANDOVER_CHANNEL_HPP_
#define MERLINRUN_HANDOVER_CHANNEL_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "handover/messages.hpp"

namespace merlinrun::handover {

// A descriptor that is closed with its owner; -1 = none.
class Descriptor {
 public:
  explicit Descriptor(int fd = -1) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(other.Release()) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }
  int Release();

 private:
  int fd_;
};

// What the new process has been given.
struct Claim {
  HeldResources holding;
  Descriptor listener;
  Descriptor channel;
};

// Asks the process behind `path` for its listener; waits for some tenths of a second at most. Empty if nobody
// is there or the answer makes no sense; the latter is said in one line on standard error.
std::optional<Claim> Ask(const std::string& path);

// One end of the channel, on the loop. Closed with this, or by the other side.
class Channel {
 public:
  struct Events {
    std::function<void(std::string_view)> on_message;
    std::function<void()> on_closed;  // once; may destroy this
  };
  Channel(boost::asio::io_context& io, Descriptor channel, Events events);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Sends a message, with a descriptor if that is not -1. What does not go out at once is dropped: a process
  // that does not read must not hold this one up.
  void Send(std::string_view message, int descriptor = -1);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// The old process's side: is found at `path` and tells one newcomer at a time.
class Door {
 public:
  struct Events {
    std::function<HeldResources()> holding;  // of this moment
    std::function<void()> on_newcomer;       // it has been given the listener
    std::function<void()> on_serving;        // it serves; nobody is listened for from here on
    std::function<void()>
        on_lost;  // the newcomer has gone and nobody serves for it; the path is listened at again
  };
  // `listener` must stay open for as long as this lives. Says in one line on standard error if the path
  // cannot be had; nobody is told anything then.
  Door(boost::asio::io_context& io, std::string path, int listener, Events events);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

  // Tells the newcomer what is held now.
  void Tell();

 private:
  void Listen();
  void Accept();
  void OnPeer(Descriptor peer);

  boost::asio::io_context& io_;
  const std::string path_;
  const int listener_;
  const Events events_;
  std::unique_ptr<boost::asio::posix::stream_descriptor> door_;
  std::unique_ptr<Channel> newcomer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // for what is called back after the end
};

}  // namespace merlinrun::handover

#endif  // MERLINRUN_HANDOVER_CHANNEL_HPP_
