#include "policy/window.hpp"

#include <algorithm>
#include <iterator>

namespace merlinrun {
namespace {

// Replaces Tuning::servers_per_in_flight where connections have no cost.
constexpr double kServersPerInFlightFree = 1;
// Largest window with key affinity: bounds the work of a choice.
constexpr std::size_t kAffinityWidth = 64;
// Largest window due to Tuning::windows_per_server: two of sixteen find a good server as surely.
constexpr std::size_t kMaxSharedWidth = 16;
// Cost from which other zones serve only what the own zone cannot.
constexpr double kCrossZoneCostly = 0.05;

}  // namespace

// Grows with servers per sidecar, for a zone loss, and with the own traffic, but not with the fleet size.
std::size_t Width(const Pool& pool, const Settings& set) {
  // Key affinity needs the same servers at all sidecars.
  if (set.warm_keys && set.cost_connection <= 0) return std::min(kAffinityWidth, pool.ring.size());
  const double shared =
      set.tuning.windows_per_server * static_cast<double>(pool.ring.size()) / set.sidecar_count;
  const std::size_t min_width =
      std::max(set.tuning.window_width, static_cast<std::size_t>(std::min<double>(shared, kMaxSharedWidth)));
  const double per_in_flight =
      set.cost_connection > 0 ? set.tuning.servers_per_in_flight : kServersPerInFlightFree;
  return std::min(std::max(min_width, static_cast<std::size_t>(per_in_flight * pool.peak_in_flight)),
                  pool.ring.size());
}

zones::Zones::Window WindowOf(int zone, const PolicyContext& common) {
  zones::Zones::Window window;
  for (const Pool& pool : common.pools) {
    for (std::size_t i = 0; i < Width(pool, common.set); ++i) {
      const int at = pool.InWindow(i).info.zone;
      if (at == zone)
        ++window.here;
      else if (!common.zones.IsZoneEjected(at))
        ++window.elsewhere;
    }
  }
  return window;
}

void ServerList::Apply(const ListUpdate& update, ColdStart& cold_start) {
  if (update.sidecar_count > update.sidecar_index)
    c_.set.sidecar_index = update.sidecar_index, c_.set.sidecar_count = update.sidecar_count;
  if (update.kind != ListUpdate::Kind::kDelta)
    for (auto& [id, server] : servers_) server.listed = false;
  for (const ServerInfo& info : update.servers) {
    Server& server = servers_[info.id];
    if (server.hash == 0) server.hash = StableHash(info.id);
    const bool gone = info.state == ServerInfo::State::kGone;
    if (gone || info.started != server.info.started)
      c_.zones.OnListed(c_.now, info.zone, server.hash, !gone && info.started > 0);
    if (info.started != server.info.started) cold_start.OnServerStarted(server);
    server.info = info;
    server.pool = c_.set.cost_cross_zone >= kCrossZoneCostly && info.zone != c_.set.zone ? 1 : 0;
    server.listed = !gone;
  }
  for (Pool& pool : c_.pools) pool.ring.clear();
  for (auto it = servers_.begin(); it != servers_.end();) {
    Server& server = it->second;
    if (server.listed && server.info.state == ServerInfo::State::kHealthy)
      c_.pools[server.pool].ring.push_back(&server);
    it = server.listed || server.in_flight > 0 ? std::next(it) : servers_.erase(it);
  }
  c_.InvalidateCapacity();
  // Windows are spread evenly over the ring; adding or removing a server shifts each by at most one.
  for (Pool& pool : c_.pools)
    pool.window_start = static_cast<std::size_t>(static_cast<std::uint64_t>(c_.set.sidecar_index) *
                                                 pool.ring.size() / c_.set.sidecar_count);
}

}  // namespace merlinrun
