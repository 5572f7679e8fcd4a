#include "fleet/report_scheduler.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace merlinrun::fleet {

ReportScheduler::ReportScheduler(ReportSettings settings, std::uint32_t own, std::uint32_t siblings,
                                 Micros now, Draw draw)
    : manners_(settings),
      own_(own),
      siblings_(siblings),
      draw_(std::move(draw)),
      // The first round too is spread: all may have started in the same second.
      next_(now + static_cast<Micros>(draw_(static_cast<std::uint64_t>(settings.every)))),
      filled_at_(now),
      purse_(settings.bytes_per_s * kBurst) {}

bool ReportScheduler::Due(Micros now, bool news) const {
  return now >= next_ || (news && last_ >= 0 && now - last_ >= kBreath);
}

std::vector<std::uint32_t> ReportScheduler::Round(Micros now, bool news, std::size_t bytes_each) {
  if (!Due(now, news)) return {};
  purse_ = std::min(manners_.bytes_per_s * kBurst,
                    purse_ + manners_.bytes_per_s * static_cast<double>(now - filled_at_) / 1e6);
  filled_at_ = now;
  // From half to one and a half of the mean, so that no two seconds are alike.
  next_ = now + manners_.every / 2 + static_cast<Micros>(draw_(static_cast<std::uint64_t>(manners_.every)));
  last_ = now;
  const std::size_t others = siblings_ - 1;
  const auto affordable =
      static_cast<std::size_t>(purse_ / static_cast<double>(std::max<std::size_t>(bytes_each, 1)));
  const std::size_t count = std::min({news ? manners_.news : manners_.usual, others, affordable});
  purse_ -= static_cast<double>(count * bytes_each);
  // Floyd's sample: as many draws as are chosen, whatever the size of the fleet.
  std::unordered_set<std::size_t> chosen;
  std::vector<std::uint32_t> out;
  for (std::size_t top = others - count; top < others; ++top) {
    const std::size_t drawn = draw_(top + 1);
    const std::size_t take = chosen.insert(drawn).second ? drawn : top;
    chosen.insert(take);
    out.push_back(static_cast<std::uint32_t>(take < own_ ? take : take + 1));
  }
  return out;
}

}  // namespace merlinrun::fleet
