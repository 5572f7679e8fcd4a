#include "mesh/registry/tombstones.hpp"

namespace fennelhollow::registry {

bool Tombstones::Record(Micros now, const Server& server) {
  const bool departed = HasDeparted(server);
  if (!departed && server.state != State::kDraining) return false;
  const auto [at, inserted] = tombstones_.try_emplace(server.id);
  Tombstone& tombstone = at->second;
  if (!inserted && (!departed || HasDeparted(tombstone.server))) return false;
  tombstone.server = server;
  if (departed) tombstone.server.state = State::kGone;
  tombstone.server.cold_remaining_ms = 0;
  tombstone.recorded_at = now;
  by_age_.emplace_back(now, server.id);
  tombstone.version = ++version_;
  return true;
}

const Server* Tombstones::Find(std::string_view id) const {
  const auto at = tombstones_.find(id);
  return at == tombstones_.end() ? nullptr : &at->second.server;
}

bool Tombstones::IsWritten(std::string_view id) const {
  const auto at = tombstones_.find(id);
  return at != tombstones_.end() && at->second.version <= written_version_;
}

// Returns the id that was dropped; empty if the entry was void.
std::string Tombstones::DropOldest() {
  const auto [recorded_at, id] = std::move(by_age_.front());
  by_age_.pop_front();
  const auto at = tombstones_.find(id);
  if (at == tombstones_.end() || at->second.recorded_at != recorded_at) return {};
  tombstones_.erase(at);
  ++version_;
  return id;
}

std::vector<std::string> Tombstones::Expire(Micros now) {
  std::vector<std::string> expired;
  const auto due = [&] {
    return now - by_age_.front().first >= kTombstoneLifetime || tombstones_.size() > kMaxTombstones;
  };
  while (!by_age_.empty() && due()) {
    std::string id = DropOldest();
    if (!id.empty()) expired.push_back(std::move(id));
  }
  return expired;
}

std::vector<Server> Tombstones::All() const {
  std::vector<Server> all;
  all.reserve(tombstones_.size());
  for (const auto& [id, tombstone] : tombstones_) all.push_back(tombstone.server);
  return all;
}

}  // namespace fennelhollow::registry
