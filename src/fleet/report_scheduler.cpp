#include "fleet/report_scheduler.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace merlinrun::fleet {

ReportScheduler::ReportScheduler(ReportSettings settings, std::uint32_t self, std::uint32_t sidecar_count,
                                 Micros now, Draw draw)
    : settings_(settings),
      self_(self),
      sidecar_count_(sidecar_count),
      draw_(std::move(draw)),
      // Spreads the first round too, as many sidecars may start together.
      next_round_(now + static_cast<Micros>(draw_(static_cast<std::uint64_t>(settings.interval)))),
      refilled_at_(now),
      tokens_(settings.bytes_per_s * kBurstSeconds) {}

bool ReportScheduler::Due(Micros now, bool urgent) const {
  return now >= next_round_ || (urgent && last_round_ >= 0 && now - last_round_ >= kMinUrgentInterval);
}

std::vector<std::uint32_t> ReportScheduler::StartRound(Micros now, bool urgent, std::size_t bytes_each) {
  if (!Due(now, urgent)) return {};
  tokens_ = std::min(settings_.bytes_per_s * kBurstSeconds,
                     tokens_ + settings_.bytes_per_s * static_cast<double>(now - refilled_at_) / 1e6);
  refilled_at_ = now;
  // Jitter: 0.5 to 1.5 times the mean interval.
  next_round_ = now + settings_.interval / 2 +
                static_cast<Micros>(draw_(static_cast<std::uint64_t>(settings_.interval)));
  last_round_ = now;
  const std::size_t others = sidecar_count_ - 1;
  const auto affordable =
      static_cast<std::size_t>(tokens_ / static_cast<double>(std::max<std::size_t>(bytes_each, 1)));
  const std::size_t count =
      std::min({urgent ? settings_.urgent_fanout : settings_.fanout, others, affordable});
  tokens_ -= static_cast<double>(count * bytes_each);
  // Floyd's sampling: one draw per recipient, whatever the size of the fleet.
  std::unordered_set<std::size_t> chosen;
  std::vector<std::uint32_t> out;
  for (std::size_t upper = others - count; upper < others; ++upper) {
    const std::size_t candidate = draw_(upper + 1);
    const std::size_t index = chosen.insert(candidate).second ? candidate : upper;
    chosen.insert(index);
    out.push_back(static_cast<std::uint32_t>(index < self_ ? index : index + 1));
  }
  return out;
}

}  // namespace merlinrun::fleet
