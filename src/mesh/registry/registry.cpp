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
         a.slots == b.slots && a.state == b.state && a.hop == b.hop;
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
void Registry::Refresh(Micros now, const std::string& id, Touched& touched) {
  const Server* best = nullptr;
  Micros told = 0;
  if (const auto by = told_by_.find(id); by != told_by_.end()) {
    for (const auto& name : by->second) {
      const Teller& teller = tellers_.at(name);
      if (!Counts(teller)) continue;
      for (const Server& server : teller.servers) {
        if (server.id != id || (best != nullptr && server.sequence <= best->sequence)) continue;
        best = &server;
        told = teller.told;
      }
    }
  }
  const Server* listed = Find(listing_.servers, id);
  if (best == nullptr || best->state == State::kGone) {
    if (listed == nullptr) return;
    Drop(listing_.servers, id);
    cold_at_.erase(id);
  } else {
    const std::int64_t cold = ColdAfter(best->cold_remaining_ms, now - told);
    if (listed != nullptr && SameButCold(*listed, *best)) {
      const auto since = cold_at_.find(id);
      const std::int64_t expected =
          since == cold_at_.end() ? 0 : ColdAfter(listed->cold_remaining_ms, now - since->second);
      if (std::abs(cold - expected) <= kColdJumpMs) return;
    }
    Server server = *best;
    server.cold_remaining_ms = cold;
    Put(listing_.servers, server);
    if (cold > 0) {
      cold_at_[id] = now;
    } else {
      cold_at_.erase(id);
    }
  }
  touched.servers.push_back(id);
}

void Registry::RefreshAll(Micros now, const Teller& teller, Touched& touched) {
  for (const Server& server : teller.servers) Refresh(now, server.id, touched);
}

void Registry::RefreshSidecar(const std::string& name, Touched& touched) {
  const auto at = tellers_.find(name);
  const Sidecar* listed = Find(listing_.sidecars, name);
  if (at == tellers_.end()) {
    if (listed == nullptr) return;
    Drop(listing_.sidecars, name);
  } else {
    if (listed != nullptr && *listed == at->second.sidecar) return;
    Put(listing_.sidecars, at->second.sidecar);
  }
  touched.sidecars.push_back(name);
}

void Registry::Commit(Touched touched) {
  if (touched.servers.empty() && touched.sidecars.empty()) return;
  ++listing_.number;
  log_.push_back(std::move(touched));
  if (log_.size() > kMostLogged) log_.pop_front();
}

void Registry::OnTold(Micros now, const Sidecar& from, const std::vector<Server>& servers) {
  auto at = tellers_.find(from.name);
  if (at == tellers_.end()) {
    if (tellers_.size() >= kMostTellers) return;
    at = tellers_.emplace(from.name, Teller{}).first;
    at->second.sidecar = from;
  }
  Teller& teller = at->second;
  const auto& former = teller.former;
  if (std::find(former.begin(), former.end(), from.life) != former.end()) return;
  if (teller.sidecar.life != from.life) {
    teller.former.push_back(teller.sidecar.life);
    if (teller.former.size() > kMostFormer) teller.former.pop_front();
  }
  std::set<std::string> ids;
  for (const Server& server : teller.servers) {
    ids.insert(server.id);
    const auto by = told_by_.find(server.id);
    by->second.erase(from.name);
    if (by->second.empty()) told_by_.erase(by);
  }
  teller.sidecar = from;
  teller.servers.assign(servers.begin(),
                        servers.begin() + static_cast<std::ptrdiff_t>(std::min(servers.size(), kMostLives)));
  teller.heard = teller.told = now;
  teller.silent = teller.left = false;
  for (const Server& server : teller.servers) {
    ids.insert(server.id);
    told_by_[server.id].insert(from.name);
  }
  Touched touched;
  for (const auto& id : ids) Refresh(now, id, touched);
  RefreshSidecar(from.name, touched);
  Commit(std::move(touched));
}

bool Registry::OnHeard(Micros now, const std::string& name, std::uint64_t life) {
  const auto at = tellers_.find(name);
  if (at == tellers_.end() || at->second.left || at->second.sidecar.life != life) return false;
  at->second.heard = now;
  if (at->second.silent) {
    at->second.silent = false;
    Touched touched;
    RefreshAll(now, at->second, touched);
    Commit(std::move(touched));
  }
  return true;
}

void Registry::OnLeaving(Micros now, const std::string& name, std::uint64_t life) {
  const auto at = tellers_.find(name);
  if (at == tellers_.end() || at->second.left || at->second.sidecar.life != life) return;
  at->second.left = true;
  at->second.heard = now;
  at->second.former.push_back(life);
  if (at->second.former.size() > kMostFormer) at->second.former.pop_front();
  Touched touched;
  RefreshAll(now, at->second, touched);
  Commit(std::move(touched));
}

void Registry::OnTick(Micros now) {
  const Micros slept = ticked_ >= 0 && now - ticked_ > silent_after_ / 2 ? now - ticked_ : 0;
  ticked_ = now;
  std::size_t present = 0;
  std::size_t overdue = 0;
  for (auto& [name, teller] : tellers_) {
    teller.heard = std::min(now, teller.heard + slept);
    if (teller.left || now - teller.heard >= forget_after_) continue;
    ++present;
    if (now - teller.heard >= silent_after_) ++overdue;
  }
  // Most silent at once; and then as long again as they need to dial and tell, one after the other.
  if (overdue >= kFewTellers && overdue * 2 > present) cut_off_until_ = now + 2 * silent_after_;
  const Micros bound = now < cut_off_until_ ? std::max(silent_after_, forget_after_ / 3 * 2) : silent_after_;
  Touched touched;
  for (auto at = tellers_.begin(); at != tellers_.end();) {
    Teller& teller = at->second;
    if (now - teller.heard >= forget_after_) {
      const Teller gone = std::move(teller);
      const std::string name = at->first;
      at = tellers_.erase(at);
      for (const Server& server : gone.servers) {
        if (const auto by = told_by_.find(server.id); by != told_by_.end()) {
          by->second.erase(name);
          if (by->second.empty()) told_by_.erase(by);
        }
      }
      RefreshAll(now, gone, touched);
      RefreshSidecar(name, touched);
      continue;
    }
    if (const bool silent = now - teller.heard >= bound; silent != teller.silent) {
      teller.silent = silent;
      RefreshAll(now, teller, touched);
    }
    ++at;
  }
  // A cold time that has run out is told once, so that nobody who gets the listing late takes a warm server
  // for a cold one.
  for (auto at = cold_at_.begin(); at != cold_at_.end();) {
    const auto server = Place(listing_.servers, at->first);
    if (ColdAfter(server->cold_remaining_ms, now - at->second) > 0) {
      ++at;
      continue;
    }
    server->cold_remaining_ms = 0;
    touched.servers.push_back(at->first);
    at = cold_at_.erase(at);
  }
  Commit(std::move(touched));
}

std::optional<Change> Registry::Since(std::uint64_t epoch, std::uint64_t number) const {
  if (epoch != listing_.epoch || number > listing_.number || listing_.number - number > log_.size()) {
    return std::nullopt;
  }
  Change change;
  change.epoch = epoch;
  change.from = number;
  change.to = listing_.number;
  std::set<std::string> servers;
  std::set<std::string> sidecars;
  for (auto at = log_.end() - static_cast<std::ptrdiff_t>(listing_.number - number); at != log_.end(); ++at) {
    servers.insert(at->servers.begin(), at->servers.end());
    sidecars.insert(at->sidecars.begin(), at->sidecars.end());
  }
  Split(listing_.servers, servers, change.servers, change.servers_gone);
  Split(listing_.sidecars, sidecars, change.sidecars, change.sidecars_gone);
  return change;
}

bool Registry::Settled(Micros now, Micros started, Micros settle) const {
  return !tellers_.empty() && now - started >= settle;
}

bool Apply(Listing& listing, const Change& change) {
  if (change.epoch != listing.epoch || change.from > listing.number) return false;
  if (change.to <= listing.number) return true;
  Merge(listing.servers, change.servers, change.servers_gone);
  Merge(listing.sidecars, change.sidecars, change.sidecars_gone);
  listing.number = change.to;
  return true;
}

}  // namespace fennelhollow::registry
