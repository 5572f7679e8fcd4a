#include "model/discovery_list.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::model {

void DiscoveryList::Initialize(std::vector<ServerInfo> servers) {
  Version first;
  for (ServerInfo& info : servers) {
    const std::size_t server = first.changes.size();
    history_.push_back({{0, info.state, info.started}});
    last_changed_at_.push_back(0);
    first.changes.push_back({server, std::move(info), 0});
  }
  versions_ = {std::move(first)};
}

Micros DiscoveryList::Schedule(Change change, Micros known_at) {
  const Micros publish_at = (known_at / period_ + 1) * period_;
  pending_[publish_at].push_back(std::move(change));
  return publish_at;
}

std::optional<std::size_t> DiscoveryList::Publish(Micros now, Micros outage_end) {
  if (now < outage_end) {
    for (auto it = pending_.begin(); it != pending_.end() && it->first <= now; it = pending_.erase(it)) {
      auto& postponed = pending_[outage_end];
      postponed.insert(postponed.end(), it->second.begin(), it->second.end());
    }
    return std::nullopt;
  }
  Version next;
  next.published_at = now;
  for (auto it = pending_.begin(); it != pending_.end() && it->first <= now; it = pending_.erase(it))
    for (Change& change : it->second) {
      if (history_.size() <= change.server) {
        history_.resize(change.server + 1);
        last_changed_at_.resize(change.server + 1, -1);
      }
      if (change.changed_at < last_changed_at_[change.server]) continue;
      last_changed_at_[change.server] = change.changed_at;
      history_[change.server].push_back({versions_.size(), change.info.state, change.info.started});
      next.changes.push_back(std::move(change));
    }
  if (next.changes.empty()) return std::nullopt;
  versions_.push_back(std::move(next));
  return version();
}

std::map<std::size_t, const ServerInfo*> DiscoveryList::LatestStates(std::size_t first,
                                                                     std::size_t last) const {
  std::map<std::size_t, const ServerInfo*> out;
  for (std::size_t v = first; v <= last; ++v)
    for (const Change& change : versions_[v].changes) out[change.server] = &change.info;
  return out;
}

std::vector<ServerInfo> DiscoveryList::DeltaBetween(std::size_t from, std::size_t to) const {
  const auto latest = LatestStates(from + 1, to);
  std::vector<ServerInfo> out;
  out.reserve(latest.size());
  for (const auto& [server, info] : latest) out.push_back(*info);
  return out;
}

std::vector<ServerInfo> DiscoveryList::FullList(std::size_t version) const {
  std::vector<ServerInfo> out;
  for (const auto& [server, info] : LatestStates(0, version))
    if (info->state != ServerInfo::State::kGone) out.push_back(*info);
  return out;
}

std::optional<std::size_t> DiscoveryList::OutOfServiceSince(std::size_t server,
                                                            std::size_t through_version) const {
  if (server >= history_.size()) return std::nullopt;
  std::optional<std::size_t> since;
  for (const HistoryEntry& entry : history_[server]) {
    if (entry.version > through_version) break;
    if (entry.state == ServerInfo::State::kHealthy)
      since.reset();
    else if (!since)
      since = entry.version;
  }
  return since;
}

bool DiscoveryList::KnowsIncarnation(std::size_t server, Micros started, std::size_t through_version) const {
  if (server >= history_.size()) return false;
  return std::any_of(history_[server].begin(), history_[server].end(), [&](const HistoryEntry& entry) {
    return entry.version <= through_version && entry.started == started;
  });
}

}  // namespace merlinrun::model
