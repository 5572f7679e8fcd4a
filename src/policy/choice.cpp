#include "policy/choice.hpp"

#include <algorithm>
#include <cmath>

#include "policy/retry.hpp"
#include "policy/window.hpp"

namespace merlinrun {
namespace {

// The second server of a key has to be this many times less busy than the first to be given it.
constexpr double kWarmGain = 1.6;
// Draws from the window before it is searched from end to end: bounds the work of an ordinary choice.
constexpr int kDraws = 8;
// A gap of so many times what its attempts out explain comes once in fifty by chance.
constexpr double kSilence = 4;

}  // namespace

// By own attempts out, in the time that it takes for each, and the busier the longer it has said nothing.
// Guards against slow servers, and against ones that stall, hang or vanish.
double Choice::Busy(const Server& server) const {
  const double usual = c_.pools[server.pool].elapsed;  // time of an answer
  const double silence = usual > 0 ? static_cast<double>(c_.now - server.heard_at) * server.out / usual : 0;
  return (server.out / Size(server) + 1) * server.slow * std::max(1.0, silence / kSilence);
}

Server* Choice::Choose(const Held& held) {
  const Pool& pool = c_.pools[c_.pools[held.pool].ring.empty() ? 1 - held.pool : held.pool];
  const std::size_t width = Width(pool, c_.set);
  if (width == 0) return nullptr;
  Server* best = nullptr;
  if (held.warm != 0) {
    best = ChooseWarm(held, pool, width);
  } else {
    int found = 0;
    for (int draw = 0; draw < kDraws && found < 2; ++draw) {
      Server& server = pool.InWindow(c_.random.Below(width));
      if (!Usable(held, server) || !cold_start_.Accept(server)) continue;
      ++found;
      if (best == nullptr || Busy(server) < Busy(*best)) best = &server;
    }
  }
  if (best != nullptr) return best;
  bool none_warm = true;  // then nobody serves enough to earn credit, and chance by share has to do
  for (std::size_t i = 0; i < width; ++i) none_warm = none_warm && cold_start_.Warmth(pool.InWindow(i)) < 1;
  const std::size_t start = c_.random.Below(width);
  for (std::size_t i = 0; i < width; ++i) {
    Server& server = pool.InWindow((start + i) % width);
    if (!MayUse(held, server)) continue;
    if (cold_start_.Accept(server) || (none_warm && c_.random.Unit() < cold_start_.Warmth(server)))
      return &server;
  }
  return held.MayHaveRun() == nullptr ? nullptr : OutsideWindow(held);
}

Cause Choice::WhyNone(const Held& held) const {
  Cause why = Cause::kNoServer;
  for (const Pool& pool : c_.pools) {
    for (std::size_t i = 0; i < Width(pool, c_.set); ++i) {
      const Server& server = pool.InWindow(i);
      if (!MayUse(held, server)) continue;
      if (cold_start_.Warmth(server) < 1) return Cause::kColdStart;
      if (health_.Away(server)) why = Cause::kEjected;
    }
  }
  return why;
}

bool Choice::Usable(const Held& held, const Server& server) {
  return !health_.Away(server) && !health_.PassesOver(held, server) && MayUse(held, server);
}

// The same two choices, but the first two in the key's own order of servers, which all sidecars find alike
// (highest random weight, Thaler and Ravishankar 1998).
Server* Choice::ChooseWarm(const Held& held, const Pool& pool, std::size_t width) {
  order_.clear();
  for (std::size_t i = 0; i < width; ++i) {
    Server& server = pool.InWindow(i);
    order_.emplace_back(Preference(held.warm, server), &server);
  }
  std::ranges::sort(order_, {}, [](const auto& place) { return place.first; });
  Server* first = nullptr;
  for (const auto& [unused, server] : order_) {
    if (!Usable(held, *server)) continue;
    if (first != nullptr)
      return Busy(*server) * kWarmGain < Busy(*first) && cold_start_.Accept(*server) ? server : first;
    if (cold_start_.Accept(*server)) first = server;
  }
  return first;
}

// The least is first: exponential with a rate of its weight, so that it has its share of the keys.
double Choice::Preference(std::uint64_t key, const Server& server) const {
  const double unit = static_cast<double>((MixBits(key ^ server.hash) >> 11) + 1) * 0x1.0p-53;
  return -std::log(unit) / Size(server);
}

// What it can do next to others: the list's weight where that tells of size and not of load.
double Choice::Size(const Server& server) const {
  const bool told =
      c_.set.weights == Settings::Weights::kNominal || c_.set.weights == Settings::Weights::kRough;
  return told && server.info.weight > 0 ? server.info.weight : 1;
}

// The exception to the window: it may hold no other server that drops the repeat.
Server* Choice::OutsideWindow(const Held& held) {
  for (Pool& pool : c_.pools) {
    const std::size_t start = c_.random.Below(pool.ring.size());
    for (std::size_t i = 0; i < pool.ring.size(); ++i) {
      Server& server = *pool.ring[(start + i) % pool.ring.size()];
      if (!health_.Away(server) && MayUse(held, server) && cold_start_.Accept(server)) return &server;
    }
  }
  return nullptr;
}

// After a refusal another server is tried; after an attempt that may have run, only what drops the repeat.
bool Choice::MayUse(const Held& held, const Server& server) const {
  if ((server.info.protocols >> held.protocol & 1) == 0 || !c_.zones.MayTry(c_.now, server.info.zone))
    return false;
  if (!held.attempts.empty() && held.attempts.back().server == &server &&
      Width(c_.pools[server.pool], c_.set) > 1)
    return false;
  const RequestClass& c = c_.ClassOf(held);
  return MayRepeat(held, c, c_.now) && InGroup(held, c, server.info);
}

}  // namespace merlinrun
