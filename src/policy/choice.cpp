#include "policy/choice.hpp"

#include <algorithm>
#include <cmath>

#include "policy/retry.hpp"
#include "policy/window.hpp"

namespace merlinrun {
namespace {

// The second server of a key is chosen if its load score is lower by this factor.
constexpr double kAffinityFactor = 1.6;
// Random draws before the whole window is searched: bounds the work of an ordinary choice.
constexpr int kDraws = 8;
// Multiple of the expected response time after which silence raises the load score; by chance 1 in 50.
constexpr double kSilenceFactor = 4;

}  // namespace

// In-flight attempts weighted by latency, raised with silence: slow, stalled and vanished servers get less.
double ServerSelector::LoadScore(const Server& server) const {
  const double usual = c_.pools[server.pool].usual_latency;
  const double silence =
      usual > 0 ? static_cast<double>(c_.now - server.responded_at) * server.in_flight / usual : 0;
  return (server.in_flight / Weight(server) + 1) * server.latency_ratio *
         std::max(1.0, silence / kSilenceFactor);
}

Server* ServerSelector::Select(const ActiveRequest& active) {
  const Pool& pool = c_.pools[c_.pools[active.pool].ring.empty() ? 1 - active.pool : active.pool];
  const std::size_t width = Width(pool, c_.set);
  if (width == 0) return nullptr;
  Server* best = nullptr;
  if (active.affinity_hash != 0) {
    best = SelectByKey(active, pool, width);
  } else {
    int found = 0;
    for (int draw = 0; draw < kDraws && found < 2; ++draw) {
      Server& server = pool.InWindow(c_.random.Below(width));
      if (!Usable(active, server) || !cold_start_.Accept(server)) continue;
      ++found;
      if (best == nullptr || LoadScore(server) < LoadScore(*best)) best = &server;
    }
  }
  if (best != nullptr) return best;
  bool none_warm = true;  // then no server earns cold start credit, and servers are drawn by capacity share
  for (std::size_t i = 0; i < width; ++i)
    none_warm = none_warm && cold_start_.CapacityShare(pool.InWindow(i)) < 1;
  const std::size_t start = c_.random.Below(width);
  for (std::size_t i = 0; i < width; ++i) {
    Server& server = pool.InWindow((start + i) % width);
    if (!MayUse(active, server)) continue;
    if (cold_start_.Accept(server) || (none_warm && c_.random.Unit() < cold_start_.CapacityShare(server)))
      return &server;
  }
  return active.MayHaveRun() == nullptr ? nullptr : SelectOutsideWindow(active);
}

Cause ServerSelector::CauseOfNone(const ActiveRequest& active) const {
  Cause cause = Cause::kNoServer;
  for (const Pool& pool : c_.pools) {
    for (std::size_t i = 0; i < Width(pool, c_.set); ++i) {
      const Server& server = pool.InWindow(i);
      if (!MayUse(active, server)) continue;
      if (cold_start_.CapacityShare(server) < 1) return Cause::kColdStart;
      if (health_.IsEjected(server)) cause = Cause::kEjected;
    }
  }
  return cause;
}

bool ServerSelector::Usable(const ActiveRequest& active, const Server& server) {
  return !health_.IsEjected(server) && !health_.ShouldSkip(active, server) && MayUse(active, server);
}

// The same two choices among the first servers in rendezvous hash order, which is the same at all sidecars.
Server* ServerSelector::SelectByKey(const ActiveRequest& active, const Pool& pool, std::size_t width) {
  ranking_.clear();
  for (std::size_t i = 0; i < width; ++i) {
    Server& server = pool.InWindow(i);
    ranking_.emplace_back(HashScore(active.affinity_hash, server), &server);
  }
  std::ranges::sort(ranking_, {}, [](const auto& place) { return place.first; });
  Server* first = nullptr;
  for (const auto& [unused, server] : ranking_) {
    if (!Usable(active, *server)) continue;
    if (first != nullptr)
      return LoadScore(*server) * kAffinityFactor < LoadScore(*first) && cold_start_.Accept(*server) ? server
                                                                                                     : first;
    if (cold_start_.Accept(*server)) first = server;
  }
  return first;
}

// Exponential with the weight as rate; the lowest is preferred, so that a server gets its share of the keys.
double ServerSelector::HashScore(std::uint64_t key, const Server& server) const {
  const double unit = static_cast<double>((MixBits(key ^ server.hash) >> 11) + 1) * 0x1.0p-53;
  return -std::log(unit) / Weight(server);
}

// The list weight, where it reflects capacity and not current load.
double ServerSelector::Weight(const Server& server) const {
  const bool sized =
      c_.set.weights == Settings::Weights::kNominal || c_.set.weights == Settings::Weights::kRough;
  return sized && server.info.weight > 0 ? server.info.weight : 1;
}

// For a retry that only servers outside the window can deduplicate.
Server* ServerSelector::SelectOutsideWindow(const ActiveRequest& active) {
  for (Pool& pool : c_.pools) {
    const std::size_t start = c_.random.Below(pool.ring.size());
    for (std::size_t i = 0; i < pool.ring.size(); ++i) {
      Server& server = *pool.ring[(start + i) % pool.ring.size()];
      if (!health_.IsEjected(server) && MayUse(active, server) && cold_start_.Accept(server)) return &server;
    }
  }
  return nullptr;
}

// A retry avoids the previous server, and stays in the dedup scope if an attempt may have been executed.
bool ServerSelector::MayUse(const ActiveRequest& active, const Server& server) const {
  if ((server.info.protocols >> active.protocol & 1) == 0 || !c_.zones.MaySend(c_.now, server.info.zone))
    return false;
  if (!active.attempts.empty() && active.attempts.back().server == &server &&
      Width(c_.pools[server.pool], c_.set) > 1)
    return false;
  const RequestClass& c = c_.ClassOf(active);
  return MayRetry(active, c, c_.now) && InDedupScope(active, c, server.info);
}

}  // namespace merlinrun
