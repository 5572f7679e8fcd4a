#include "fleet/io/udp_report_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <optional>
#include <utility>

#include "base/random.hpp"

namespace merlinrun::fleet {
namespace {

using ErrorCode = boost::system::error_code;

ReportScheduler::Draw DrawFrom(std::uint64_t seed) {
  return [random = Random(seed)](std::uint64_t bound) mutable { return random.Below(bound); };
}

}  // namespace

UdpReportExchange::UdpReportExchange(boost::asio::io_context& io, core::Loop& loop,
                                     core::RequestManager& request_manager, PeerAddresses addresses,
                                     ReportSettings settings, std::uint64_t seed,
                                     std::function<std::int64_t()> generation)
    : loop_(loop),
      request_manager_(request_manager),
      addresses_(std::move(addresses)),
      generation_(std::move(generation)),
      socket_(io),
      exchange_(settings, request_manager.settings().sidecar_index, request_manager.settings().sidecar_count,
                static_cast<std::uint64_t>(loop.Now() / 1000), loop.Now(), DrawFrom(seed)),
      timer_(loop.NewTimer()) {
  for (std::uint32_t i = 0; i < addresses_.by_number.size(); ++i)
    peer_numbers_.emplace(addresses_.by_number[i], i);
}

void UdpReportExchange::Start(bool share_address) {
  socket_.open(addresses_.listen.protocol());
  socket_.set_option(Udp::socket::reuse_address(share_address));
  socket_.bind(addresses_.listen);
  socket_.non_blocking(true);
  WaitForDatagrams();
  Tick();
}

void UdpReportExchange::WaitForDatagrams() {
  socket_.async_wait(Udp::socket::wait_read, [this](ErrorCode error) {
    if (error) return;  // closed on destruction
    ReadDatagrams();
    WaitForDatagrams();
  });
}

void UdpReportExchange::ReadDatagrams() {
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    Udp::endpoint from;
    ErrorCode error;
    const std::size_t size = socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
    if (error) return;  // no more data, or an ICMP error
    const auto it = peer_numbers_.find(from);
    exchange_.OnDatagram(loop_.Now(), it == peer_numbers_.end() ? std::nullopt : std::optional(it->second),
                         {buffer_.data(), size});
  }
}

void UdpReportExchange::Tick() {
  const std::vector<BalancerSnapshot::Zone> zones = request_manager_.TakeZoneSnapshots();
  for (const BalancerSnapshot::Zone& zone : zones)
    request_manager_.OnZonePeerSummary(exchange_.Summarize(loop_.Now(), zone.zone));
  // A new snapshot, as the peers' reports may have changed a zone.
  const auto outgoing = exchange_.NextReport(loop_.Now(), request_manager_.TakeZoneSnapshots(),
                                             request_manager_.zones_epoch(), generation_());
  for (const std::uint32_t to : outgoing.recipients) {
    ErrorCode ignored;  // delivery is best effort
    socket_.send_to(boost::asio::buffer(outgoing.bytes), addresses_.by_number[to], 0, ignored);
  }
  timer_->Start(kTick, [this] { Tick(); });
}

}  // namespace merlinrun::fleet
