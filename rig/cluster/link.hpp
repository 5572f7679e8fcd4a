// The way from one sidecar to one server, through the rig: a relay that can refuse, reset, swallow,
// delay, or lose one direction.
// One loop, one thread.
#ifndef MERLINRUN_RIG_CLUSTER_LINK_HPP_
#define MERLINRUN_RIG_CLUSTER_LINK_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace merlinrun::rig {

using Tcp = boost::asio::ip::tcp;

class Link {
 public:
  enum class Mode {
    kPass,
    kRefuse,   // as a process that has died: open connections are reset, new ones refused
    kReset,    // new ones come up and are reset at once
    kDeaf,     // requests arrive, and answers are lost on the way back
    kMute,     // requests are lost on the way, and answers come back
    kSlow,     // answers come kSlowBy later
    kSwallow,  // as a machine that is cut off: open ones stay and are silent, new ones come up and are too
  };
  // Some ten usual answers of the stand-ins.
  static constexpr std::chrono::milliseconds kSlowBy{150};

  // Listens on loopback, at a free address; `target` is asked anew for each connection.
  Link(boost::asio::io_context& io, std::function<Tcp::endpoint()> target);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Back from kSwallow, kDeaf or kMute, what is open is reset: a half that was lost can't be made good.
  void Set(Mode mode);
  Tcp::endpoint address() const { return address_; }
  // Connections that came up here.
  std::uint64_t accepted() const { return accepted_; }

 private:
  struct Pair;
  void Listen();
  void Accept();
  void ResetAll();
  void Pump(const std::shared_ptr<Pair>& pair, bool up);
  void Write(const std::shared_ptr<Pair>& pair, bool up, std::size_t size);

  boost::asio::io_context& io_;
  const std::function<Tcp::endpoint()> target_;
  Mode mode_ = Mode::kPass;
  Tcp::endpoint address_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::uint64_t accepted_ = 0;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_CLUSTER_LINK_HPP_
