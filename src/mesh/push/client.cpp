#include "mesh/push/client.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/random.hpp"

namespace fennelhollow::push {
namespace {

constexpr Micros kMinDialBackoff = 200'000;
constexpr Micros kMaxDialBackoff = 2'000'000;
constexpr Micros kUnlistedCoreExpiry = 10'000'000;  // of an unreachable core that is no longer listed
constexpr Micros kHintExpiry = 30'000'000;
constexpr std::size_t kMaxHintLinks = 2;         // of kMaxCoreLinks, while hints are used
constexpr Micros kResponsiveWindow = 1'500'000;  // cores not subscribed to send a heartbeat each second
constexpr Micros kStaleCoreTolerance = 300'000;  // covers replication lag between cores
constexpr Micros kPreferredCoreWait = 200'000;   // of the first subscription, for a better-ranked core
// Before moving to a better-ranked core; up to 100% jitter is added.
constexpr Micros kRebalanceDelay = 10'000'000;
// A longer gap between ticks means that this process was suspended.
constexpr Micros kSuspensionThreshold = 1'000'000;
constexpr Micros kReportSlack = 20'000;  // ticks are coarse: report slightly early rather than a tick late
constexpr std::size_t kMaxListedCores = 64;
constexpr std::size_t kMaxPendingRequests = 64;

// Whether they differ in more than what changes with each heartbeat.
bool DifferMaterially(const std::vector<registry::Server>& a, const std::vector<registry::Server>& b) {
  return !std::equal(a.begin(), a.end(), b.begin(), b.end(),
                     [](registry::Server x, const registry::Server& y) {
                       x.cold_remaining_ms = y.cold_remaining_ms;
                       x.sequence = y.sequence;
                       return x == y;
                     });
}

}  // namespace

Client::Client(Settings settings, Sink& sink)
    : settings_(std::move(settings)), sink_(sink), random_(settings_.seed) {
  SetSeeds(settings_.seeds);
  rebalance_after_ =
      kRebalanceDelay + static_cast<Micros>(random_() % static_cast<std::uint64_t>(kRebalanceDelay));
}

void Client::SetSeeds(const std::vector<std::string>& seeds) {
  for (auto& [address, core] : core_states_) core.seed = false;
  for (const auto& address : seeds) {
    Core& core = Add(address);
    core.seed = true;
    core.is_hint = false;
  }
  settings_.seeds = seeds;
}

void Client::AddCoreHint(const std::string& core) {
  if (core_states_.count(core) != 0) return;
  std::size_t hints = 0;
  const std::string* worst = nullptr;
  for (const auto& [address, known] : core_states_) {
    if (!known.is_hint) continue;
    ++hints;
    if (worst == nullptr || known.failures > core_states_.at(*worst).failures) worst = &address;
  }
  if (hints >= kMaxCoreHints) {
    if (core_states_.at(*worst).failures == 0) return;
    core_states_.erase(*worst);
  }
  Add(core).is_hint = true;
}

void Client::RequestNewerState(Micros now) {
  if (last_resync_ != kNever && now - last_resync_ < kResyncInterval) return;
  last_resync_ = now;
  // Cores push state to subscribers only: this report subscribes, the next one reverts it.
  Core* source = nullptr;
  for (auto& [address, core] : core_states_) {
    if (!IsResponsive(now, core) || core.entry <= entry_) continue;
    if (source == nullptr || IsBetter(core, *source, NewestEntry(now))) source = &core;
  }
  for (auto& [address, core] : core_states_) {
    if (core.connected) ReportTo(now, address, core, false, false, &core == source);
  }
}

Client::Core& Client::Add(const std::string& address) {
  const auto [at, inserted] = core_states_.try_emplace(address);
  // Rendezvous hashing spreads sidecars over cores. The separator cannot occur in a name.
  if (inserted) at->second.rank = merlinrun::StableHash(settings_.sidecar.name + '\xff' + address + '\xff');
  return at->second;
}

std::vector<std::string> Client::DesiredLinks(Micros now) const {
  // The leader and the cores that record first, then other listed ones, then existing links, then the rest;
  // within a class the least failed first, so that each core gets its turn even if most listed ones are gone.
  std::vector<std::tuple<int, int, std::uint64_t, const std::string*>> candidates;
  std::vector<std::tuple<int, std::uint64_t, const std::string*>> hints;
  for (const auto& [address, core] : core_states_) {
    if (core.is_hint && !core.connected) {
      hints.emplace_back(core.failures, core.rank, &address);
      continue;
    }
    const bool records =
        std::find(record_cores_.begin(), record_cores_.end(), address) != record_cores_.end();
    const int kind = core.listed ? (address == leader_ || records ? 0 : 1) : core.connected ? 2 : 3;
    candidates.emplace_back(kind, core.connected ? 0 : core.failures, core.rank, &address);
  }
  std::sort(candidates.begin(), candidates.end());
  if (candidates.size() > kMaxCoreLinks) candidates.resize(kMaxCoreLinks);
  const bool all_failed = std::all_of(candidates.begin(), candidates.end(), [&](const auto& candidate) {
    const Core& core = core_states_.at(*std::get<3>(candidate));
    return !IsResponsive(now, core) && (core.connected || core.failures > 0);
  });
  if (all_failed && !hints.empty()) {
    std::sort(hints.begin(), hints.end());
    if (hints.size() > kMaxHintLinks) hints.resize(kMaxHintLinks);
    if (candidates.size() > kMaxCoreLinks - hints.size()) candidates.resize(kMaxCoreLinks - hints.size());
    for (const auto& [failures, rank, address] : hints) candidates.emplace_back(4, failures, rank, address);
  }
  std::vector<std::string> desired;
  for (const auto& [kind, failures, rank, address] : candidates) {
    const Core& core = core_states_.at(*address);
    if (core.connected || now >= core.next_dial_at) desired.push_back(*address);
  }
  return desired;
}

void Client::OnLinkUp(Micros now, const std::string& address) {
  const auto at = core_states_.find(address);
  if (at == core_states_.end()) return;
  Core& core = at->second;
  core.connected = true;
  core.heard_at = kNever;
  core.entry = 0;
  core.has_leader = core.warming_up = false;
  core.leader.clear();
  ReportTo(now, address, core, true, address == leader_);
}

void Client::OnLinkDown(Micros now, const std::string& address) {
  const auto at = core_states_.find(address);
  if (at == core_states_.end()) return;
  Core& core = at->second;
  core.connected = false;
  core.heard_at = kNever;
  if (core.failing_since == kNever) core.failing_since = now;
  const Micros wait = std::min(kMaxDialBackoff, kMinDialBackoff << std::min(core.failures, 8));
  core.failures = std::min(core.failures + 1, 1000);
  // 25% jitter: sidecars that lost a core together don't reconnect together.
  core.next_dial_at =
      now + wait * 3 / 4 + static_cast<Micros>(random_() % static_cast<std::uint64_t>(wait / 2));
  if (address == subscribed_) {
    LOG(INFO) << "push: lost the link to core " << address << ", which it was subscribed to";
    subscribed_.clear();
    first_heard_ = kNever;
  }
  UpdateLeader(now);
  UpdateSubscription(now);
}

bool Client::IsResponsive(Micros now, const Core& core) const {
  return core.connected && core.heard_at > now - kResponsiveWindow;
}

std::vector<std::string> Client::ResponsiveCores(Micros now) const {
  std::vector<std::string> responsive;
  for (const auto& [address, core] : core_states_) {
    if (IsResponsive(now, core)) responsive.push_back(address);
  }
  return responsive;
}

std::uint64_t Client::NewestEntry(Micros now) const {
  std::uint64_t newest = 0;
  for (const auto& [address, core] : core_states_) {
    if (IsResponsive(now, core)) newest = std::max(newest, core.entry);
  }
  return newest;
}

// Whether `a` is the better core to subscribe to.
bool Client::IsBetter(const Core& a, const Core& b, std::uint64_t newest) const {
  const auto key = [&](const Core& c) {
    return std::tuple(!c.has_leader, c.entry < newest, c.entry == 0, c.warming_up, c.rank);
  };
  return key(a) < key(b);
}

void Client::UpdateSubscription(Micros now) {
  const std::uint64_t newest = NewestEntry(now);
  const std::string* best = nullptr;
  for (const auto& [address, core] : core_states_) {
    if (!IsResponsive(now, core)) continue;
    // A silent subscribed core is no candidate.
    if (address == subscribed_ && now - std::max(core.heard_at, subscribed_at_) >= kCoreSilenceTimeout)
      continue;
    if (best == nullptr || IsBetter(core, core_states_.at(*best), newest)) best = &address;
  }
  if (best == nullptr) return;  // no alternative: even a silent core is kept
  if (subscribed_.empty()) {
    if (first_heard_ == kNever) first_heard_ = now;
    const Core& chosen = core_states_.at(*best);
    for (const auto& [address, core] : core_states_) {
      const bool may_respond =
          !core.is_hint && core.failures == 0 && core.heard_at == kNever && core.rank < chosen.rank;
      if (may_respond && now - first_heard_ < kPreferredCoreWait && snapshot_.epoch == 0) return;
    }
    SwitchTo(now, *best);
    return;
  }
  const Core& current = core_states_.at(subscribed_);
  if (now - std::max(current.heard_at, subscribed_at_) >= kCoreSilenceTimeout) {
    LOG(INFO) << "push: the subscribed core " << subscribed_ << " is silent";
    SwitchTo(now, *best);
    return;
  }
  const Core& chosen = core_states_.at(*best);
  const bool heard = current.heard_at >= subscribed_at_;
  const bool worse =
      heard && *best != subscribed_ &&
      ((chosen.has_leader && !current.has_leader) || (current.entry < newest && chosen.entry == newest) ||
       (current.warming_up && !chosen.warming_up));
  if (!worse) {
    worse_since_ = kNever;
  } else if (worse_since_ == kNever) {
    worse_since_ = now;
  } else if (now - worse_since_ >= kStaleCoreTolerance) {
    SwitchTo(now, *best);
    return;
  }
  if (*best == subscribed_ || chosen.warming_up) {
    better_ranked_since_ = kNever;
  } else if (better_ranked_since_ == kNever) {
    better_ranked_since_ = now;
  } else if (now - better_ranked_since_ >= rebalance_after_) {
    SwitchTo(now, *best);
  }
}

void Client::SwitchTo(Micros now, std::string address) {
  const std::string previous = std::exchange(subscribed_, std::move(address));
  subscribed_at_ = now;
  worse_since_ = better_ranked_since_ = first_heard_ = kNever;
  if (previous == subscribed_) return;
  LOG(INFO) << "push: subscribing to core " << subscribed_;
  if (const auto at = core_states_.find(previous); at != core_states_.end() && at->second.connected) {
    ReportTo(now, previous, at->second, false, false);
  }
  ReportTo(now, subscribed_, core_states_.at(subscribed_), false, false);
}

// Takes the leader named by the largest number of responsive cores, on a tie the one named most recently, so
// that a single core with a stale view can't outvote the others.
void Client::UpdateLeader(Micros now) {
  std::map<std::string, std::pair<int, Micros>> votes;
  for (const auto& [address, core] : core_states_) {
    if (!IsResponsive(now, core) || !core.has_leader || core.leader.empty()) continue;
    auto& vote = votes[core.leader];
    ++vote.first;
    vote.second = std::max(vote.second, core.heard_at);
  }
  const auto best = std::max_element(votes.begin(), votes.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == votes.end() || best->first == leader_) return;
  leader_ = best->first;
  if (const auto at = core_states_.find(leader_); at != core_states_.end() && at->second.connected) {
    ReportTo(now, leader_, at->second, false, true);
  }
}

void Client::ApplyCores(Micros now, const std::string& address, const CoreUpdate& update) {
  // Only one core is trusted at a time: during a membership change two would contradict each other.
  const auto leader_core = core_states_.find(leader_);
  const bool leader_responsive = leader_core != core_states_.end() && IsResponsive(now, leader_core->second);
  const std::string& authority = leader_responsive ? leader_ : subscribed_;
  if (update.cores.empty() || (!cores_.empty() && (!update.has_leader || address != authority))) return;
  std::vector<std::string> cores = update.cores;
  std::sort(cores.begin(), cores.end());
  cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
  if (cores.size() > kMaxListedCores) cores.resize(kMaxListedCores);
  if (cores == cores_) return;
  cores_ = std::move(cores);
  for (auto& [known, core] : core_states_) core.listed = false;
  for (const auto& listed : cores_) {
    Core& core = Add(listed);
    core.listed = true;
    core.is_hint = false;
    if (!core.connected) {
      core.next_dial_at = now;
      core.failures = 0;
    }
  }
  for (auto& [known, core] : core_states_) {  // starts the expiry of cores that are no longer listed
    if (!core.listed && !core.connected && core.failing_since == kNever) core.failing_since = now;
  }
  UpdateRecordCores();
  sink_.OnCores(cores_);
}

// The best-ranked ones: the rank depends on the names of this sidecar and of the core alone.
void Client::UpdateRecordCores() {
  record_cores_ = cores_;
  std::sort(record_cores_.begin(), record_cores_.end(), [this](const std::string& a, const std::string& b) {
    return core_states_.at(a).rank < core_states_.at(b).rank;
  });
  if (record_cores_.size() > kMaxRecordCores) record_cores_.resize(kMaxRecordCores);
}

// Returns whether the update needs an acknowledgement.
bool Client::ApplySnapshot(const std::string& address, const CoreUpdate& update) {
  if (address != subscribed_ || (!update.has_snapshot && update.deltas.empty())) return false;
  const std::uint64_t epoch = snapshot_.epoch;
  const std::uint64_t revision = snapshot_.revision;
  bool replaced = false;
  if (update.has_snapshot) {
    // A core that is warming up may lack most servers: its snapshot is only better than none.
    const bool same_epoch = update.snapshot.epoch == snapshot_.epoch;
    const bool accepted = snapshot_.epoch == 0 || same_epoch || !update.warming_up;
    if (accepted && (!same_epoch || needs_snapshot_ || update.snapshot.revision > snapshot_.revision)) {
      snapshot_ = update.snapshot;
      replaced = true;
    }
    if (accepted) needs_snapshot_ = false;
  }
  for (const auto& delta : update.deltas) {
    if (!registry::ApplyDelta(snapshot_, delta)) {
      if (!needs_snapshot_) LOG(INFO) << "push: gap in registry deltas, requesting a full snapshot";
      needs_snapshot_ = true;
    }
  }
  if (replaced || snapshot_.epoch != epoch || snapshot_.revision != revision) {
    const auto& sidecars = snapshot_.sidecars;
    const auto at =
        std::lower_bound(sidecars.begin(), sidecars.end(), settings_.sidecar.name,
                         [](const registry::Sidecar& s, const std::string& n) { return s.name < n; });
    const bool listed = at != sidecars.end() && at->name == settings_.sidecar.name;
    sink_.OnSnapshot(snapshot_, static_cast<std::size_t>(at - sidecars.begin()),
                     sidecars.size() + (listed ? 0 : 1));
  }
  return true;
}

bool Client::AcceptsState(Micros now, const CoreUpdate& update) {
  if (entry_ > 0 || update.has_leader) return true;
  if (leaderless_state_since_ == kNever) leaderless_state_since_ = now;
  return now - leaderless_state_since_ >= kLeaderlessStateDelay;
}

void Client::OnUpdate(Micros now, const std::string& address, const CoreUpdate& update) {
  const auto at = core_states_.find(address);
  if (at == core_states_.end() || !at->second.connected) return;
  Core& core = at->second;
  core.heard_at = now;
  core.is_hint = false;
  core.failures = 0;
  core.failing_since = kNever;
  core.entry = update.committed_entry;
  core.has_leader = update.has_leader;
  core.warming_up = update.warming_up;
  core.leader = update.leader;
  const bool newer = update.has_state && update.committed_entry > entry_ && AcceptsState(now, update);
  if (newer) {
    entry_ = update.committed_entry;
    sink_.OnState(entry_, update.state);
  }
  if (update.has_leader && update.committed_entry == entry_)
    last_confirmed_at_ = now;  // a stale core can't confirm
  const bool acknowledge = ApplySnapshot(address, update);
  if (newer) {
    ReportToAll(now, false);  // an operator may wait for this acknowledgement at any core
  } else if (acknowledge || update.has_state) {
    ReportTo(now, address, core, false, false);
  }
  if (update.request_id != 0) {
    const auto request = std::find_if(
        pending_requests_.begin(), pending_requests_.end(),
        [&](const PendingRequest& a) { return a.id == update.request_id && a.address == address; });
    if (request != pending_requests_.end()) {
      const Micros until = request->at + update.lease_ms * 1000;
      pending_requests_.erase(pending_requests_.begin(), request + 1);
      if (until > now) sink_.OnShares(update.shares, until);
    }
  }
  UpdateLeader(now);
  UpdateSubscription(now);
  ApplyCores(now, address, update);
}

void Client::SetServers(Micros now, std::vector<registry::Server> servers) {
  const bool differ = DifferMaterially(servers_, servers);
  servers_ = std::move(servers);
  servers_at_ = now;
  if (differ) ReportToAll(now, true);
}

void Client::OnTick(Micros now) {
  // After a suspension the cores may have dropped this sidecar's servers.
  const bool suspended = last_tick_ != kNever && now - last_tick_ > kSuspensionThreshold;
  last_tick_ = now;
  for (auto at = core_states_.begin(); at != core_states_.end();) {
    Core& core = at->second;
    if (core.is_hint) {
      if (core.hint_seen_at == kNever) core.hint_seen_at = now;
      at = now - core.hint_seen_at >= kHintExpiry ? core_states_.erase(at) : std::next(at);
      continue;
    }
    const bool drop = !core.seed && !core.listed && !core.connected && core.failing_since != kNever &&
                      now - core.failing_since >= kUnlistedCoreExpiry;
    at = drop ? core_states_.erase(at) : std::next(at);
  }
  UpdateLeader(now);
  UpdateSubscription(now);
  for (auto& [address, core] : core_states_) {
    if (!core.connected) continue;
    const bool frequent = address == subscribed_ || address == leader_;
    const bool with_servers = suspended || now - core.servers_reported_at >= kServerReportInterval;
    if (with_servers ||
        now - core.reported_at >= (frequent ? kReportInterval : kOtherReportInterval) - kReportSlack) {
      ReportTo(now, address, core, with_servers, address == leader_);
    }
  }
}

void Client::Leave(Micros now) {
  leaving_ = true;
  ReportToAll(now, true);
}

void Client::ReportToAll(Micros now, bool with_servers) {
  for (auto& [address, core] : core_states_) {
    if (core.connected) ReportTo(now, address, core, with_servers, false);
  }
}

void Client::ReportTo(Micros now, const std::string& address, Core& core, bool with_servers, bool with_demand,
                      bool wants_state) {
  SidecarReport report;
  report.sidecar = settings_.sidecar;
  report.leaving = leaving_;
  report.has_servers = with_servers;
  if (with_servers) {
    report.servers = servers_;
    for (auto& server : report.servers) {
      server.cold_remaining_ms =
          std::max<std::int64_t>(0, server.cold_remaining_ms - std::max<Micros>(0, now - servers_at_) / 1000);
    }
    core.servers_reported_at = now;
  }
  report.subscribe = wants_state || address == subscribed_;
  report.applied_entry = entry_;
  report.epoch = snapshot_.epoch;
  report.revision = needs_snapshot_ ? 0 : snapshot_.revision;
  if (with_demand) {
    report.request_id = ++last_request_id_;
    if (settings_.demand) report.demand = settings_.demand(now);
    if (settings_.held_shares) report.held_shares = settings_.held_shares(now);
    pending_requests_.push_back({report.request_id, address, now});
    if (pending_requests_.size() > kMaxPendingRequests) pending_requests_.pop_front();
  }
  if (with_demand || address != leader_)
    core.reported_at = now;  // an acknowledgement must not delay the next demand
  sink_.Send(address, report);
}

}  // namespace fennelhollow::push
