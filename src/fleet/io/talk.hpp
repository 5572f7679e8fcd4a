// The fleet's words on a datagram socket. All that is decided is in Conversation.
#ifndef MERLINRUN_FLEET_IO_TALK_HPP_
#define MERLINRUN_FLEET_IO_TALK_HPP_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "core/loop.hpp"
#include "core/request_manager.hpp"
#include "fleet/conversation.hpp"

namespace merlinrun::fleet {

using Udp = boost::asio::ip::udp;

struct Peers {
  Udp::endpoint listen;
  std::vector<Udp::endpoint> all;  // by number, this sidecar's own among them
};

// Threading: all of it on the thread of `io`. What it is given must outlive it.
class Talk {
 public:
  // Binds nothing yet. `generation` tells that of the list in force.
  Talk(boost::asio::io_context& io, core::Loop& loop, core::RequestManager& exchanges, Peers peers,
       Manners manners, std::uint64_t seed, std::function<std::int64_t()> generation);
  Talk(const Talk&) = delete;
  Talk& operator=(const Talk&) = delete;

  // Throws boost::system::system_error if the address cannot be had. `beside`: another process of this
  // sidecar may hold it too, for as long as an upgrade takes. On Linux what comes goes to the one that bound
  // it last, and what the older one still says has an older incarnation, which nobody counts any more.
  void Start(bool beside);
  const Conversation& conversation() const { return conversation_; }

 private:
  // Often enough that what others say is acted on within a part of an answer's usual time.
  static constexpr Micros kTick = 50'000;
  // Datagrams that are taken in one turn of the loop, so that a flood of them delays no request.
  static constexpr int kMostAtOnce = 64;

  void Receive();
  void Take();
  void Tick();

  core::Loop& loop_;
  core::RequestManager& exchanges_;
  const Peers peers_;
  const std::function<std::int64_t()> generation_;
  std::map<Udp::endpoint, std::uint32_t> numbers_;
  Udp::socket socket_;
  Conversation conversation_;
  std::unique_ptr<core::Timer> timer_;
  // One more than a datagram may have: so one that is too long is seen to be.
  std::array<char, kMostBytes + 1> buffer_;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_IO_TALK_HPP_
