#include "mesh/registry/registry.hpp"

#include <algorithm>
#include <cstdlib>

namespace fennelhollow::registry {
namespace {

// A reported cold time within this tolerance of the expected value is no change.
constexpr std::int64_t kColdToleranceMs = 1000;
constexpr std::size_t kMaxPastIncarnations = 4;

const std::string& Key(const Server& s) { return s.id; }
const std::string& Key(const Sidecar& s) { return s.name; }

template <class T>
auto LowerBound(std::vector<T>& sorted, const std::string& key) {
  return std::lower_bound(sorted.begin(), sorted.end(), key,
                          [](const T& a, const std::string& k) { return Key(a) < k; });
}

template <class T>
const T* Find(const std::vector<T>& sorted, const std::string& key) {
  const auto at = std::lower_bound(sorted.begin(), sorted.end(), key,
                                   [](const T& a, const std::string& k) { return Key(a) < k; });
  return at != sorted.end() && Key(*at) == key ? &*at : nullptr;
}

template <class T>
void Upsert(std::vector<T>& sorted, const T& value) {
  const auto at = LowerBound(sorted, Key(value));
  if (at != sorted.end() && Key(*at) == Key(value)) {
    *at = value;
  } else {
    sorted.insert(at, value);
  }
}

template <class T>
void Erase(std::vector<T>& sorted, const std::string& key) {
  const auto at = LowerBound(sorted, key);
  if (at != sorted.end() && Key(*at) == key) sorted.erase(at);
}

template <class T>
void MergeChanges(std::vector<T>& sorted, const std::vector<T>& updated, std::vector<std::string> removed) {
  std::vector<T> inserted;
  for (const T& value : updated) {
    const auto at = LowerBound(sorted, Key(value));
    if (at != sorted.end() && Key(*at) == Key(value)) {
      *at = value;
    } else {
      inserted.push_back(value);
    }
  }
  const auto less = [](const T& a, const T& b) { return Key(a) < Key(b); };
  if (!inserted.empty()) {
    std::sort(inserted.begin(), inserted.end(), less);
    const auto middle = static_cast<std::ptrdiff_t>(sorted.size());
    sorted.insert(sorted.end(), inserted.begin(), inserted.end());
    std::inplace_merge(sorted.begin(), sorted.begin() + middle, sorted.end(), less);
  }
  if (!removed.empty()) {
    std::sort(removed.begin(), removed.end());
    std::erase_if(sorted,
                  [&](const T& v) { return std::binary_search(removed.begin(), removed.end(), Key(v)); });
  }
}

// Equal except for the fields that change with every heartbeat.
bool SameExceptColdTime(const Server& a, const Server& b) {
  return a.service == b.service && a.address == b.address && a.zone == b.zone && a.version == b.version &&
         a.slots == b.slots && a.state == b.state && a.sidecar_address == b.sidecar_address;
}

// How many servers of a report are accepted: the first ones.
std::size_t AcceptedCount(const std::vector<Server>& servers) {
  return std::min(servers.size(), kMaxInstances);
}

std::int64_t RemainingColdMs(std::int64_t cold_ms, Micros passed) {
  return std::max<std::int64_t>(0, cold_ms - std::max<Micros>(0, passed) / 1000);
}

template <class T>
void CollectChanges(const std::vector<T>& sorted, const std::set<std::string>& changed,
                    std::vector<T>& updated, std::vector<std::string>& removed) {
  for (const auto& key : changed) {
    if (const T* value = Find(sorted, key)) {
      updated.push_back(*value);
    } else {
      removed.push_back(key);
    }
  }
}

}  // namespace

// From all sidecars that report the server (usually one); the newest heartbeat wins.
Registry::Reported Registry::FindReported(const std::string& id) const {
  Reported newest;
  const auto reported_by = reporters_by_server_.find(id);
  if (reported_by == reporters_by_server_.end()) return newest;
  for (const auto& name : reported_by->second) {
    const Reporter& reporter = reporters_.at(name);
    if (!IsActive(reporter)) continue;
    for (const Server& server : reporter.servers) {
      if (server.id != id) continue;
      if (newest.server != nullptr && server.sequence <= newest.server->sequence) continue;
      newest = {&server, reporter.reported_at};
    }
  }
  return newest;
}

void Registry::RecordTombstones(Micros now, const std::vector<Server>& servers, std::size_t count,
                                ChangedKeys& changed) {
  for (std::size_t i = 0; i < count; ++i)
    if (tombstones_.Record(now, servers[i])) UpdateServer(now, servers[i].id, changed);
}

void Registry::PublishDeparted(const Server& departed, ChangedKeys& changed) {
  const Server* current = Find(snapshot_.servers, departed.id);
  if (current != nullptr && HasDeparted(*current)) return;
  Upsert(snapshot_.servers, departed);
  cold_measured_at_.erase(departed.id);
  changed.servers.push_back(departed.id);
}

void Registry::Withdraw(const std::string& id, ChangedKeys& changed) {
  if (Find(snapshot_.servers, id) == nullptr) return;
  Erase(snapshot_.servers, id);
  cold_measured_at_.erase(id);
  changed.servers.push_back(id);
}

void Registry::Publish(Micros now, Server server, Micros reported_at, ChangedKeys& changed) {
  const Server* current = Find(snapshot_.servers, server.id);
  server.cold_remaining_ms = RemainingColdMs(server.cold_remaining_ms, now - reported_at);
  if (current != nullptr && SameExceptColdTime(*current, server)) {
    const auto since = cold_measured_at_.find(server.id);
    const std::int64_t expected = since == cold_measured_at_.end()
                                      ? 0
                                      : RemainingColdMs(current->cold_remaining_ms, now - since->second);
    if (std::abs(server.cold_remaining_ms - expected) <= kColdToleranceMs) return;
  }
  Upsert(snapshot_.servers, server);
  if (server.cold_remaining_ms > 0) {
    cold_measured_at_[server.id] = now;
  } else {
    cold_measured_at_.erase(server.id);
  }
  changed.servers.push_back(server.id);
}

// Recomputes the snapshot entry of a server.
void Registry::UpdateServer(Micros now, const std::string& id, ChangedKeys& changed) {
  const Server* tombstone = tombstones_.Find(id);
  if (tombstone != nullptr && HasDeparted(*tombstone)) return PublishDeparted(*tombstone, changed);
  const Reported reported = FindReported(id);
  if (reported.server == nullptr || reported.server->state == State::kGone) return Withdraw(id, changed);
  Server server = *reported.server;
  if (tombstone != nullptr) server.state = State::kDraining;
  Publish(now, std::move(server), reported.at, changed);
}

void Registry::UpdateServers(Micros now, const Reporter& reporter, ChangedKeys& changed) {
  for (const Server& server : reporter.servers) UpdateServer(now, server.id, changed);
}

void Registry::UpdateSidecar(const std::string& name, ChangedKeys& changed) {
  const auto at = reporters_.find(name);
  const Sidecar* current = Find(snapshot_.sidecars, name);
  if (at == reporters_.end()) {
    if (current == nullptr) return;
    Erase(snapshot_.sidecars, name);
  } else {
    if (current != nullptr && *current == at->second.sidecar) return;
    Upsert(snapshot_.sidecars, at->second.sidecar);
  }
  changed.sidecars.push_back(name);
}

void Registry::Commit(ChangedKeys changed) {
  if (changed.servers.empty() && changed.sidecars.empty()) return;
  ++snapshot_.revision;
  delta_log_.push_back(std::move(changed));
  if (delta_log_.size() > kMaxLoggedDeltas) delta_log_.pop_front();
}

void Registry::Restore(Micros now, const std::vector<Server>& servers) {
  ChangedKeys changed;
  RecordTombstones(now, servers, servers.size(), changed);
  Commit(std::move(changed));
}

void Registry::OnReport(Micros now, const Sidecar& from, const std::vector<Server>& servers) {
  ChangedKeys changed;
  RecordTombstones(now, servers, AcceptedCount(servers), changed);
  ReplaceReport(now, from, servers, changed);
  Commit(std::move(changed));
}

void Registry::ReplaceReport(Micros now, const Sidecar& from, const std::vector<Server>& servers,
                             ChangedKeys& changed) {
  auto at = reporters_.find(from.name);
  if (at == reporters_.end()) {
    if (reporters_.size() >= kMaxSidecars) return;
    at = reporters_.emplace(from.name, Reporter{}).first;
    at->second.sidecar = from;
  }
  Reporter& reporter = at->second;
  const auto& past = reporter.past_incarnations;
  if (std::find(past.begin(), past.end(), from.incarnation) != past.end()) return;
  if (reporter.sidecar.incarnation != from.incarnation) {
    reporter.past_incarnations.push_back(reporter.sidecar.incarnation);
    if (reporter.past_incarnations.size() > kMaxPastIncarnations) reporter.past_incarnations.pop_front();
  }
  std::set<std::string> ids;
  for (const Server& server : reporter.servers) {
    ids.insert(server.id);
    const auto reported_by = reporters_by_server_.find(server.id);
    reported_by->second.erase(from.name);
    if (reported_by->second.empty()) reporters_by_server_.erase(reported_by);
  }
  reporter.sidecar = from;
  reporter.servers.assign(servers.begin(),
                          servers.begin() + static_cast<std::ptrdiff_t>(AcceptedCount(servers)));
  reporter.last_heard = reporter.reported_at = now;
  reporter.silent = reporter.left = false;
  for (const Server& server : reporter.servers) {
    ids.insert(server.id);
    reporters_by_server_[server.id].insert(from.name);
  }
  for (const auto& id : ids) UpdateServer(now, id, changed);
  UpdateSidecar(from.name, changed);
}

bool Registry::OnKeepalive(Micros now, const std::string& name, std::uint64_t incarnation) {
  const auto at = reporters_.find(name);
  if (at == reporters_.end() || at->second.left || at->second.sidecar.incarnation != incarnation)
    return false;
  at->second.last_heard = now;
  if (at->second.silent) {
    at->second.silent = false;
    ChangedKeys changed;
    UpdateServers(now, at->second, changed);
    Commit(std::move(changed));
  }
  return true;
}

void Registry::OnLeaving(Micros now, const std::string& name, std::uint64_t incarnation,
                         const std::vector<Server>& servers) {
  ChangedKeys changed;
  RecordTombstones(now, servers, AcceptedCount(servers), changed);
  MarkLeft(now, name, incarnation, changed);
  Commit(std::move(changed));
}

void Registry::MarkLeft(Micros now, const std::string& name, std::uint64_t incarnation,
                        ChangedKeys& changed) {
  const auto at = reporters_.find(name);
  if (at == reporters_.end() || at->second.left || at->second.sidecar.incarnation != incarnation) return;
  at->second.left = true;
  at->second.last_heard = now;
  at->second.past_incarnations.push_back(incarnation);
  if (at->second.past_incarnations.size() > kMaxPastIncarnations) at->second.past_incarnations.pop_front();
  UpdateServers(now, at->second, changed);
}

void Registry::OnTick(Micros now) {
  const Micros suspended = last_tick_ >= 0 && now - last_tick_ > silent_after_ / 2 ? now - last_tick_ : 0;
  last_tick_ = now;
  std::size_t present = 0;
  std::size_t overdue = 0;
  for (auto& [name, reporter] : reporters_) {
    reporter.last_heard = std::min(now, reporter.last_heard + suspended);
    if (reporter.left || now - reporter.last_heard >= forget_after_) continue;
    ++present;
    if (now - reporter.last_heard >= silent_after_) ++overdue;
  }
  // Extended while most are silent, so that all can reconnect and report after that.
  if (overdue >= kSelfPreservationMinimum && overdue * 2 > present)
    self_preservation_until_ = now + 2 * silent_after_;
  const Micros silence_limit =
      now < self_preservation_until_ ? std::max(silent_after_, forget_after_ / 3 * 2) : silent_after_;
  ChangedKeys changed;
  for (const std::string& id : tombstones_.Expire(now)) UpdateServer(now, id, changed);
  for (auto at = reporters_.begin(); at != reporters_.end();) {
    Reporter& reporter = at->second;
    if (now - reporter.last_heard >= forget_after_) {
      const Reporter removed = std::move(reporter);
      const std::string name = at->first;
      at = reporters_.erase(at);
      for (const Server& server : removed.servers) {
        if (const auto reported_by = reporters_by_server_.find(server.id);
            reported_by != reporters_by_server_.end()) {
          reported_by->second.erase(name);
          if (reported_by->second.empty()) reporters_by_server_.erase(reported_by);
        }
      }
      UpdateServers(now, removed, changed);
      UpdateSidecar(name, changed);
      continue;
    }
    if (const bool silent = now - reporter.last_heard >= silence_limit; silent != reporter.silent) {
      reporter.silent = silent;
      UpdateServers(now, reporter, changed);
    }
    ++at;
  }
  // An elapsed cold time is published once, so that a late subscriber does not take a warm server for a cold
  // one.
  for (auto at = cold_measured_at_.begin(); at != cold_measured_at_.end();) {
    const auto server = LowerBound(snapshot_.servers, at->first);
    if (RemainingColdMs(server->cold_remaining_ms, now - at->second) > 0) {
      ++at;
      continue;
    }
    server->cold_remaining_ms = 0;
    changed.servers.push_back(at->first);
    at = cold_measured_at_.erase(at);
  }
  Commit(std::move(changed));
}

std::optional<Delta> Registry::DeltaSince(std::uint64_t epoch, std::uint64_t revision) const {
  if (epoch != snapshot_.epoch || revision > snapshot_.revision ||
      snapshot_.revision - revision > delta_log_.size()) {
    return std::nullopt;
  }
  Delta delta;
  delta.epoch = epoch;
  delta.from_revision = revision;
  delta.to_revision = snapshot_.revision;
  std::set<std::string> servers;
  std::set<std::string> sidecars;
  for (auto at = delta_log_.end() - static_cast<std::ptrdiff_t>(snapshot_.revision - revision);
       at != delta_log_.end(); ++at) {
    servers.insert(at->servers.begin(), at->servers.end());
    sidecars.insert(at->sidecars.begin(), at->sidecars.end());
  }
  CollectChanges(snapshot_.servers, servers, delta.servers, delta.removed_servers);
  CollectChanges(snapshot_.sidecars, sidecars, delta.sidecars, delta.removed_sidecars);
  return delta;
}

bool Registry::WarmedUp(Micros now, Micros started, Micros warm_up) const {
  return !reporters_.empty() && now - started >= warm_up;
}

bool ApplyDelta(Snapshot& snapshot, const Delta& delta) {
  if (delta.epoch != snapshot.epoch || delta.from_revision > snapshot.revision) return false;
  if (delta.to_revision <= snapshot.revision) return true;
  MergeChanges(snapshot.servers, delta.servers, delta.removed_servers);
  MergeChanges(snapshot.sidecars, delta.sidecars, delta.removed_sidecars);
  snapshot.revision = delta.to_revision;
  return true;
}

}  // namespace fennelhollow::registry
