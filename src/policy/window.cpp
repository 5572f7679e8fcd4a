#include "policy/window.hpp"

#include <algorithm>
#include <iterator>

namespace merlinrun {
namespace {

// Tuning::servers_per_out where open connections cost nothing.
constexpr double kServersPerOutFree = 1;
// Servers that a window holds at most where servers keep keys warm: bounds the work of a choice.
constexpr std::size_t kWarmWidth = 64;
// A window is made no wider than this for being in few others: two of sixteen find a good server as surely.
constexpr std::size_t kWideWidth = 16;
// From this price of a crossing on (share of the result) other zones serve only what the own one cannot.
constexpr double kCrossingPriced = 0.05;

}  // namespace

// By sidecars to a server; wider for the busiest, by their own traffic and never by the fleet's size. Guards
// against quiet ones that have no server left when a zone is lost, and busy ones that choke theirs.
std::size_t Width(const Pool& pool, const Settings& set) {
  // All sidecars are to find the same server for a key, unless connections cost something.
  if (set.warm_keys && set.cost_connection <= 0) return std::min(kWarmWidth, pool.ring.size());
  const double shared =
      set.tuning.windows_per_server * static_cast<double>(pool.ring.size()) / set.sidecar_count;
  const std::size_t least =
      std::max(set.tuning.window_width, static_cast<std::size_t>(std::min<double>(shared, kWideWidth)));
  const double per_out = set.cost_connection > 0 ? set.tuning.servers_per_in_flight : kServersPerOutFree;
  return std::min(std::max(least, static_cast<std::size_t>(per_out * pool.out_peak)), pool.ring.size());
}

zones::Zones::Window WindowOf(int zone, const Common& common) {
  zones::Zones::Window window;
  for (const Pool& pool : common.pools) {
    for (std::size_t i = 0; i < Width(pool, common.set); ++i) {
      const int at = pool.InWindow(i).info.zone;
      if (at == zone)
        ++window.here;
      else if (!common.zones.Left(at))
        ++window.elsewhere;
    }
  }
  return window;
}

void Servers::Apply(const ListUpdate& update, ColdStart& cold_start) {
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
    if (info.started != server.info.started) cold_start.Begin(server);
    server.info = info;
    server.pool = c_.set.cost_cross_zone >= kCrossingPriced && info.zone != c_.set.zone ? 1 : 0;
    server.listed = !gone;
  }
  for (Pool& pool : c_.pools) pool.ring.clear();
  for (auto it = servers_.begin(); it != servers_.end();) {
    Server& server = it->second;
    if (server.listed && server.info.state == ServerInfo::State::kHealthy)
      c_.pools[server.pool].ring.push_back(&server);
    it = server.listed || server.out > 0 ? std::next(it) : servers_.erase(it);
  }
  c_.ExpireCapacity();
  // Ranks are spread evenly over the ring; a server that comes or goes shifts each window by one at most.
  for (Pool& pool : c_.pools)
    pool.offset = static_cast<std::size_t>(static_cast<std::uint64_t>(c_.set.sidecar_index) *
                                           pool.ring.size() / c_.set.sidecar_count);
}

}  // namespace merlinrun
