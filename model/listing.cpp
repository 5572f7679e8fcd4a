#include "model/listing.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::model {

void Listing::Begin(std::vector<ServerInfo> servers) {
  Version first;
  for (ServerInfo& info : servers) {
    const std::size_t server = first.changes.size();
    history_.push_back({{0, info.state, info.started}});
    last_happened_.push_back(0);
    first.changes.push_back({server, std::move(info), 0});
  }
  versions_ = {std::move(first)};
}

Micros Listing::Add(Change change, Micros known) {
  const Micros at = (known / period_ + 1) * period_;
  pending_[at].push_back(std::move(change));
  return at;
}

std::optional<std::size_t> Listing::Publish(Micros now, Micros down_until) {
  if (now < down_until) {
    for (auto it = pending_.begin(); it != pending_.end() && it->first <= now; it = pending_.erase(it)) {
      auto& later = pending_[down_until];
      later.insert(later.end(), it->second.begin(), it->second.end());
    }
    return std::nullopt;
  }
  Version next;
  next.at = now;
  for (auto it = pending_.begin(); it != pending_.end() && it->first <= now; it = pending_.erase(it))
    for (Change& change : it->second) {
      if (history_.size() <= change.server) {
        history_.resize(change.server + 1);
        last_happened_.resize(change.server + 1, -1);
      }
      if (change.happened < last_happened_[change.server]) continue;
      last_happened_[change.server] = change.happened;
      history_[change.server].push_back({versions_.size(), change.info.state, change.info.started});
      next.changes.push_back(std::move(change));
    }
  if (next.changes.empty()) return std::nullopt;
  versions_.push_back(std::move(next));
  return version();
}

std::map<std::size_t, const ServerInfo*> Listing::Latest(std::size_t first, std::size_t last) const {
  std::map<std::size_t, const ServerInfo*> out;
  for (std::size_t v = first; v <= last; ++v)
    for (const Change& change : versions_[v].changes) out[change.server] = &change.info;
  return out;
}

std::vector<ServerInfo> Listing::Between(std::size_t from, std::size_t to) const {
  const auto latest = Latest(from + 1, to);
  std::vector<ServerInfo> out;
  out.reserve(latest.size());
  for (const auto& [server, info] : latest) out.push_back(*info);
  return out;
}

std::vector<ServerInfo> Listing::Whole(std::size_t version) const {
  std::vector<ServerInfo> out;
  for (const auto& [server, info] : Latest(0, version))
    if (info->state != ServerInfo::State::kGone) out.push_back(*info);
  return out;
}

std::optional<std::size_t> Listing::ParkedIn(std::size_t server, std::size_t known) const {
  if (server >= history_.size()) return std::nullopt;
  std::optional<std::size_t> parked;
  for (const Entry& entry : history_[server]) {
    if (entry.version > known) break;
    if (entry.state == ServerInfo::State::kHealthy)
      parked.reset();
    else if (!parked)
      parked = entry.version;
  }
  return parked;
}

bool Listing::KnowsStart(std::size_t server, Micros started, std::size_t known) const {
  if (server >= history_.size()) return false;
  return std::any_of(history_[server].begin(), history_[server].end(),
                     [&](const Entry& entry) { return entry.version <= known && entry.started == started; });
}

}  // namespace merlinrun::model
