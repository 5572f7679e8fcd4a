// The Unix socket between the running process of a sidecar and its successor during a hot restart. Only
// transport: messages.hpp defines the messages, and the sidecar acts on them.
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

// An owned file descriptor; -1 = none.
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

// What the successor receives from the running process.
struct InheritedState {
  HeldResources held_resources;
  Descriptor listener;
  Descriptor channel;
};

// Requests the listener from the process at `path`; blocks for a few tenths of a second at most. Returns
// nullopt if there is no process or its response is invalid; the latter is logged to standard error.
std::optional<InheritedState> RequestHandover(const std::string& path);

// One end of an established channel. Closed by its destruction or by the peer.
class Channel {
 public:
  struct Events {
    std::function<void(std::string_view)> on_message;
    std::function<void()> on_closed;  // called once; may destroy the channel
  };
  Channel(boost::asio::io_context& io, Descriptor channel, Events events);
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Sends a message, with a descriptor unless that is -1. Never blocks: drops the message if the peer does
  // not read.
  void Send(std::string_view message, int descriptor = -1);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

// The side of the running process: listens at `path` and serves one successor at a time.
class HandoverServer {
 public:
  struct Events {
    std::function<HeldResources()> held_resources;  // the current values
    std::function<void()> on_successor;             // it has received the listener
    std::function<void()> on_successor_serving;     // it serves now; `path` is no longer listened at
    // The successor is gone and no other process serves; `path` is listened at again.
    std::function<void()> on_successor_lost;
  };
  // `listener` must stay open during the lifetime of this. If `path` can't be listened at, logs that to
  // standard error and does nothing else.
  HandoverServer(boost::asio::io_context& io, std::string path, int listener, Events events);
  ~HandoverServer();
  HandoverServer(const HandoverServer&) = delete;
  HandoverServer& operator=(const HandoverServer&) = delete;

  // Sends the current values to the successor, if there is one.
  void SendHeldResources();

 private:
  void Listen();
  void Accept();
  void OnConnection(Descriptor peer);

  boost::asio::io_context& io_;
  const std::string path_;
  const int listener_;
  const Events events_;
  std::unique_ptr<boost::asio::posix::stream_descriptor> acceptor_;
  std::unique_ptr<Channel> successor_;
  std::shared_ptr<bool> alive_ =
      std::make_shared<bool>(true);  // expired in handlers that run after the destruction
};

}  // namespace merlinrun::handover

#endif  // MERLINRUN_HANDOVER_CHANNEL_HPP_
