#include "mesh/registry/registry.hpp"

#include <algorithm>
#include <cstdlib>

namespace fennelhollow::registry {
namespace {

// A told cold time that differs by less from what was to be expected is the same.
constexpr std::int64_t kColdJumpMs = 1000;
constexpr std::size_t kMostFormer = 4;

const std::string& Key(const Server& s) { return s.id; }
const std::string& Key(const Sidecar& s) { return s.name; }

template <class T>
auto Place(std::vector<T>& sorted, const std::string& key) {
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
void Put(std::vector<T>& sorted, const T& value) {
  const auto at = Place(sorted, Key(value));
  if (at != sorted.end() && Key(*at) == Key(value)) {
    *at = value;
  } else {
    sorted.insert(at, value);
  }
}

template <class T>
void Drop(std::vector<T>& sorted, const std::string& key) {
  const auto at = Place(sorted, key);
  if (at != sorted.end() && Key(*at) == key) sorted.erase(at);
}

template <class T>
void Merge(std::vector<T>& sorted, const std::vector<T>& put, std::vector<std::string> gone) {
  std::vector<T> fresh;
  for (const T& value : put) {
    const auto at = Place(sorted, Key(value));
    if (at != sorted.end() && Key(*at) == Key(value)) {
      *at = value;
    } else {
      fresh.push_back(value);
    }
  }
  const auto less = [](const T& a, const T& b) { return Key(a) < Key(b); };
  if (!fresh.empty()) {
    std::sort(fresh.begin(), fresh.end(), less);
    const auto middle = static_cast<std::ptrdiff_t>(sorted.size());
    sorted.insert(sorted.end(), fresh.begin(), fresh.end());
    std::inplace_merge(sorted.begin(), sorted.begin() + middle, sorted.end(), less);
  }
  if (!gone.empty()) {
    std::sort(gone.begin(), gone.end());
    std::erase_if(sorted, [&](const T& v) { return std::binary_search(gone.begin(), gone.end(), Key(v)); });
  }
}

// But for what changes with every beat.
bool SameButCold(const Server& a, const Server& b) {
  return a.service == b.service && a.address == b.address && a.zone == b.zone && a.version == b.version &&
         a.slots == b.slots && a.state == b.state && a.sidecar_address == b.sidecar_address;
}

std::int64_t ColdAfter(std::int64_t cold_ms, Micros passed) {
  return std::max<std::int64_t>(0, cold_ms - std::max<Micros>(0, passed) / 1000);
}

template <class T>
void Split(const std::vector<T>& sorted, const std::set<std::string>& touched, std::vector<T>& put,
           std::vector<std::string>& gone) {
  for (const auto& key : touched) {
    if (const T* value = Find(sorted, key)) {
      put.push_back(*value);
    } else {
      gone.push_back(key);
    }
  }
}

}  // namespace

// What the listing should say of this server, from all who tell of it: usually one sidecar. The newest beat
// wins.
void Registry::UpdateServer(Micros now, const std::string& id, ChangedKeys& touched) {
  const Server* best = nullptr;
  Micros told = 0;
  if (const auto by = reporters_by_server_.find(id); by != reporters_by_server_.end()) {
    for (const auto& name : by->second) {
      const Reporter& teller = reporters_.at(name);
      if (!IsActive(teller)) continue;
      for (const Server& server : teller.servers) {
        if (server.id != id || (best != nullptr && server.sequence <= best->sequence)) continue;
        best = &server;
        told = teller.reported_at;
      }
    }
  }
  const Server* listed = Find(snapshot_.servers, id);
  if (best == nullptr || best->state == State::kGone) {
    if (listed == nullptr) return;
    Drop(snapshot_.servers, id);
    cold_measured_at_.erase(id);
  } else {
    const std::int64_t cold = ColdAfter(best->cold_remaining_ms, now - told);
    if (listed != nullptr && SameButCold(*listed, *best)) {
      const auto since = cold_measured_at_.find(id);
      const std::int64_t expected =
          since == cold_measured_at_.end() ? 0 : ColdAfter(listed->cold_remaining_ms, now - since->second);
      if (std::abs(cold - expected) <= kColdJumpMs) return;
    }
    Server server = *best;
    server.cold_remaining_ms = cold;
    Put(snapshot_.servers, server);
    if (cold > 0) {
      cold_measured_at_[id] = now;
    } else {
      cold_measured_at_.erase(id);
    }
  }
  touched.servers.push_back(id);
}

void Registry::UpdateServers(Micros now, const Reporter& teller, ChangedKeys& touched) {
  for (const Server& server : teller.servers) UpdateServer(now, server.id, touched);
}

void Registry::UpdateSidecar(const std::string& name, ChangedKeys& touched) {
  const auto at = reporters_.find(name);
  const Sidecar* listed = Find(snapshot_.sidecars, name);
  if (at == reporters_.end()) {
    if (listed == nullptr) return;
    Drop(snapshot_.sidecars, name);
  } else {
    if (listed != nullptr && *listed == at->second.sidecar) return;
    Put(snapshot_.sidecars, at->second.sidecar);
  }
  touched.sidecars.push_back(name);
}

void Registry::Commit(ChangedKeys touched) {
  if (touched.servers.empty() && touched.sidecars.empty()) return;
  ++snapshot_.revision;
  delta_log_.push_back(std::move(touched));
  if (delta_log_.size() > kMaxLoggedDeltas) delta_log_.pop_front();
}

void Registry::OnReport(Micros now, const Sidecar& from, const std::vector<Server>& servers) {
  auto at = reporters_.find(from.name);
  if (at == reporters_.end()) {
    if (reporters_.size() >= kMaxSidecars) return;
    at = reporters_.emplace(from.name, Reporter{}).first;
    at->second.sidecar = from;
  }
  Reporter& teller = at->second;
  const auto& former = teller.past_incarnations;
  if (std::find(former.begin(), former.end(), from.incarnation) != former.end()) return;
  if (teller.sidecar.incarnation != from.incarnation) {
    teller.past_incarnations.push_back(teller.sidecar.incarnation);
    if (teller.past_incarnations.size() > kMostFormer) teller.past_incarnations.pop_front();
  }
  std::set<std::string> ids;
  for (const Server& server : teller.servers) {
    ids.insert(server.id);
    const auto by = reporters_by_server_.find(server.id);
    by->second.erase(from.name);
    if (by->second.empty()) reporters_by_server_.erase(by);
  }
  teller.sidecar = from;
  teller.servers.assign(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(
                                                               std::min(servers.size(), kMaxInstances)));
  teller.last_heard = teller.reported_at = now;
  teller.silent = teller.left = false;
  for (const Server& server : teller.servers) {
    ids.insert(server.id);
    reporters_by_server_[server.id].insert(from.name);
  }
  ChangedKeys touched;
  for (const auto& id : ids) UpdateServer(now, id, touched);
  UpdateSidecar(from.name, touched);
  Commit(std::move(touched));
}

bool Registry::OnKeepalive(Micros now, const std::string& name, std::uint64_t life) {
  const auto at = reporters_.find(name);
  if (at == reporters_.end() || at->second.left || at->second.sidecar.incarnation != life) return false;
  at->second.last_heard = now;
  if (at->second.silent) {
    at->second.silent = false;
    ChangedKeys touched;
    UpdateServers(now, at->second, touched);
    Commit(std::move(touched));
  }
  return true;
}

void Registry::OnLeaving(Micros now, const std::string& name, std::uint64_t life) {
  const auto at = reporters_.find(name);
  if (at == reporters_.end() || at->second.left || at->second.sidecar.incarnation != life) return;
  at->second.left = true;
  at->second.last_heard = now;
  at->second.past_incarnations.push_back(life);
  if (at->second.past_incarnations.size() > kMostFormer) at->second.past_incarnations.pop_front();
  ChangedKeys touched;
  UpdateServers(now, at->second, touched);
  Commit(std::move(touched));
}

void Registry::OnTick(Micros now) {
  const Micros slept = last_tick_ >= 0 && now - last_tick_ > silent_after_ / 2 ? now - last_tick_ : 0;
  last_tick_ = now;
  std::size_t present = 0;
  std::size_t overdue = 0;
  for (auto& [name, teller] : reporters_) {
    teller.last_heard = std::min(now, teller.last_heard + slept);
    if (teller.left || now - teller.last_heard >= forget_after_) continue;
    ++present;
    if (now - teller.last_heard >= silent_after_) ++overdue;
  }
  // Most silent at once; and then as long again as they need to dial and tell, one after the other.
  if (overdue >= kSelfPreservationMinimum && overdue * 2 > present)
    self_preservation_until_ = now + 2 * silent_after_;
  const Micros bound =
      now < self_preservation_until_ ? std::max(silent_after_, forget_after_ / 3 * 2) : silent_after_;
  ChangedKeys touched;
  for (auto at = reporters_.begin(); at != reporters_.end();) {
    Reporter& teller = at->second;
    if (now - teller.last_heard >= forget_after_) {
      const Reporter gone = std::move(teller);
      const std::string name = at->first;
      at = reporters_.erase(at);
      for (const Server& server : gone.servers) {
        if (const auto by = reporters_by_server_.find(server.id); by != reporters_by_server_.end()) {
          by->second.erase(name);
          if (by->second.empty()) reporters_by_server_.erase(by);
        }
      }
      UpdateServers(now, gone, touched);
      UpdateSidecar(name, touched);
      continue;
    }
    if (const bool silent = now - teller.last_heard >= bound; silent != teller.silent) {
      teller.silent = silent;
      UpdateServers(now, teller, touched);
    }
    ++at;
  }
  // A cold time that has run out is told once, so that nobody who gets the listing late takes a warm server
  // for a cold one.
  for (auto at = cold_measured_at_.begin(); at != cold_measured_at_.end();) {
    const auto server = Place(snapshot_.servers, at->first);
    if (ColdAfter(server->cold_remaining_ms, now - at->second) > 0) {
      ++at;
      continue;
    }
    server->cold_remaining_ms = 0;
    touched.servers.push_back(at->first);
    at = cold_measured_at_.erase(at);
  }
  Commit(std::move(touched));
}

std::optional<Delta> Registry::DeltaSince(std::uint64_t epoch, std::uint64_t number) const {
  if (epoch != snapshot_.epoch || number > snapshot_.revision ||
      snapshot_.revision - number > delta_log_.size()) {
    return std::nullopt;
  }
  Delta change;
  change.epoch = epoch;
  change.from_revision = number;
  change.to_revision = snapshot_.revision;
  std::set<std::string> servers;
  std::set<std::string> sidecars;
  for (auto at = delta_log_.end() - static_cast<std::ptrdiff_t>(snapshot_.revision - number);
       at != delta_log_.end(); ++at) {
    servers.insert(at->servers.begin(), at->servers.end());
    sidecars.insert(at->sidecars.begin(), at->sidecars.end());
  }
  Split(snapshot_.servers, servers, change.servers, change.removed_servers);
  Split(snapshot_.sidecars, sidecars, change.sidecars, change.removed_sidecars);
  return change;
}

bool Registry::WarmedUp(Micros now, Micros started, Micros settle) const {
  return !reporters_.empty() && now - started >= settle;
}

bool ApplyDelta(Snapshot& listing, const Delta& change) {
  if (change.epoch != listing.epoch || change.from_revision > listing.revision) return false;
  if (change.to_revision <= listing.revision) return true;
  Merge(listing.servers, change.servers, change.removed_servers);
  Merge(listing.sidecars, change.sidecars, change.removed_sidecars);
  listing.revision = change.to_revision;
  return true;
}

}  // namespace fennelhollow::registry
