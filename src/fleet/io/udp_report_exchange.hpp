// The fleet's words on a datagram socket. All that is decided is in Conversation.
#ifndef MERLINRUN_FLEET_IO_UDP_REPORT_EXCHANGE_HPP_
#define MERLINRUN_FLEET_IO_UDP_REPORT_EXCHANGE_HPP_

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
#include "fleet/report_exchange.hpp"

namespace merlinrun::fleet {

using Udp = boost::asio::ip::udp;

struct PeerAddresses {
  Udp::endpoint listen;
  std::vector<Udp::endpoint> by_number;  // indexed by peer number; includes this sidecar's own
};

// Threading: all of it on the thread of `io`. What it is given must outlive it.
class UdpReportExchange {
 public:
  // Binds nothing yet. `generation` tells that of the list in force.
  UdpReportExchange(boost::asio::io_context& io, core::Loop& loop, core::RequestManager& exchanges,
                    PeerAddresses peers, ReportSettings settings, std::uint64_t seed,
                    std::function<std::int64_t()> generation);
  UdpReportExchange(const UdpReportExchange&) = delete;
  UdpReportExchange& operator=(const UdpReportExchange&) = delete;

  // Throws boost::system::system_error if the address cannot be had. `beside`: another process of this
  // sidecar may hold it too, for as long as an upgrade takes. On Linux what comes goes to the one that bound
  // it last, and what the older one still says has an older incarnation, which nobody counts any more.
  void Start(bool beside);
  const ReportExchange& exchange() const { return exchange_; }

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
  const PeerAddresses peers_;
  const std::function<std::int64_t()> generation_;
  std::map<Udp::endpoint, std::uint32_t> numbers_;
  Udp::socket socket_;
  ReportExchange exchange_;
  std::unique_ptr<core::Timer> timer_;
  // One more than a datagram may have: so one that is too long is seen to be.
  std::array<char, kMaxDatagramBytes + 1> buffer_;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_IO_UDP_REPORT_EXCHANGE_HPP_
