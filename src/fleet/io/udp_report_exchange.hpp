// Runs a ReportExchange over a UDP socket.
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
  std::vector<Udp::endpoint> by_number;  // indexed by peer number, including this sidecar
};

// Threading: everything runs on the thread of `io`. The arguments must outlive this object.
class UdpReportExchange {
 public:
  // Doesn't bind yet. `generation` returns the generation of the current endpoint list.
  UdpReportExchange(boost::asio::io_context& io, core::Loop& loop, core::RequestManager& request_manager,
                    PeerAddresses addresses, ReportSettings settings, std::uint64_t seed,
                    std::function<std::int64_t()> generation);
  UdpReportExchange(const UdpReportExchange&) = delete;
  UdpReportExchange& operator=(const UdpReportExchange&) = delete;

  // Throws boost::system::system_error if the address can't be bound. With `share_address` another process of
  // this sidecar may have it bound too, during an upgrade. Linux delivers to the socket that was bound last;
  // reports that the older process still sends have an older incarnation and are ignored.
  void Start(bool share_address);
  const ReportExchange& exchange() const { return exchange_; }

 private:
  // Interval at which peers' reports are applied and own reports considered.
  static constexpr Micros kTick = 50'000;
  // Datagrams read per turn of the event loop, so that a flood doesn't delay requests.
  static constexpr int kMaxDatagramsPerTurn = 64;

  void WaitForDatagrams();
  void ReadDatagrams();
  void Tick();

  core::Loop& loop_;
  core::RequestManager& request_manager_;
  const PeerAddresses addresses_;
  const std::function<std::int64_t()> generation_;
  std::map<Udp::endpoint, std::uint32_t> peer_numbers_;
  Udp::socket socket_;
  ReportExchange exchange_;
  std::unique_ptr<core::Timer> timer_;
  // One byte more than allowed, to detect datagrams that are too long.
  std::array<char, kMaxDatagramBytes + 1> buffer_;
};

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_IO_UDP_REPORT_EXCHANGE_HPP_
