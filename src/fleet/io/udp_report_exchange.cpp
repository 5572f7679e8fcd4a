#include "fleet/io/udp_report_exchange.hpp"

#include <boost/asio/buffer.hpp>
#include <optional>
#include <utility>

#include "base/random.hpp"

namespace merlinrun::fleet {
namespace {

using ErrorCode = boost::system::error_code;

ReportScheduler::Draw DrawFrom(std::uint64_t seed) {
  return [random = Random(seed)](std::uint64_t most) mutable { return random.Below(most); };
}

}  // namespace

UdpReportExchange::UdpReportExchange(boost::asio::io_context& io, core::Loop& loop,
                                     core::RequestManager& exchanges, PeerAddresses peers,
                                     ReportSettings settings, std::uint64_t seed,
                                     std::function<std::int64_t()> generation)
    : loop_(loop),
      exchanges_(exchanges),
      peers_(std::move(peers)),
      generation_(std::move(generation)),
      socket_(io),
      exchange_(settings, exchanges.settings().sidecar_index, exchanges.settings().sidecar_count,
                static_cast<std::uint64_t>(loop.Now() / 1000), loop.Now(), DrawFrom(seed)),
      timer_(loop.NewTimer()) {
  for (std::uint32_t i = 0; i < peers_.by_number.size(); ++i) numbers_.emplace(peers_.by_number[i], i);
}

void UdpReportExchange::Start(bool beside) {
  socket_.open(peers_.listen.protocol());
  socket_.set_option(Udp::socket::reuse_address(beside));
  socket_.bind(peers_.listen);
  socket_.non_blocking(true);
  Receive();
  Tick();
}

void UdpReportExchange::Receive() {
  socket_.async_wait(Udp::socket::wait_read, [this](ErrorCode error) {
    if (error) return;  // closed with this object
    Take();
    Receive();
  });
}

void UdpReportExchange::Take() {
  for (int i = 0; i < kMostAtOnce; ++i) {
    Udp::endpoint from;
    ErrorCode error;
    const std::size_t size = socket_.receive_from(boost::asio::buffer(buffer_), from, 0, error);
    if (error) return;  // none is left, or the peer's host says that nobody listens there
    const auto it = numbers_.find(from);
    exchange_.Hear(loop_.Now(), it == numbers_.end() ? std::nullopt : std::optional(it->second),
                   {buffer_.data(), size});
  }
}

void UdpReportExchange::Tick() {
  const std::vector<BalancerSnapshot::Zone> own = exchanges_.TakeZoneSnapshots();
  for (const BalancerSnapshot::Zone& zone : own)
    exchanges_.OnZonePeerReport(exchange_.Of(loop_.Now(), zone.zone));
  // Asked once more: what others say may have moved a zone.
  const auto saying =
      exchange_.Say(loop_.Now(), exchanges_.TakeZoneSnapshots(), exchanges_.zones_epoch(), generation_());
  for (const std::uint32_t to : saying.to) {
    ErrorCode ignored;  // a word may be lost anywhere
    socket_.send_to(boost::asio::buffer(saying.bytes), peers_.by_number[to], 0, ignored);
  }
  timer_->Start(kTick, [this] { Tick(); });
}

}  // namespace merlinrun::fleet
