#include "mesh/push/client.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/random.hpp"

namespace fennelhollow::push {
namespace {

constexpr Micros kFirstDial = 200'000;
constexpr Micros kLastDial = 2'000'000;
constexpr Micros kDropAfter = 10'000'000;  // a core that is in no list any more and can't be reached
constexpr Micros kHintFor = 30'000'000;
constexpr std::size_t kHintsAtOnce = 2;  // of kMostCores, while hints are needed
constexpr Micros kSpeaks = 1'500'000;    // cores not subscribed to beat each second
constexpr Micros kWorseFor = 300'000;    // behind another core: longer than news takes from core to core
constexpr Micros kWaitForBetter =
    200'000;  // with the first subscription, for a core of a better place to speak
constexpr Micros kSpreadAfter = 10'000'000;  // back to one's place, plus up to as much again
constexpr Micros kOwnGap = 1'000'000;
constexpr Micros kEarly = 20'000;  // ticks are coarse: told so much early rather than a tick late
constexpr std::size_t kMostListed = 64;
constexpr std::size_t kMostAsks = 64;

// In more than what changes with each beat.
bool Differ(const std::vector<registry::Server>& a, const std::vector<registry::Server>& b) {
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
  rebalance_after_ = kSpreadAfter + static_cast<Micros>(random_() % static_cast<std::uint64_t>(kSpreadAfter));
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
  // A core sends the ledger to those that subscribe alone: this Tell subscribes, the next takes it back.
  Core* has_it = nullptr;
  for (auto& [address, core] : core_states_) {
    if (!IsResponsive(now, core) || core.entry <= entry_) continue;
    if (has_it == nullptr || IsBetter(core, *has_it, NewestEntry(now))) has_it = &core;
  }
  for (auto& [address, core] : core_states_) {
    if (core.up) ReportTo(now, address, core, false, false, &core == has_it);
  }
}

Client::Core& Client::Add(const std::string& address) {
  const auto [at, fresh] = core_states_.try_emplace(address);
  // Its place in this sidecar's own order of cores (rendezvous hashing); no name has such a byte in it.
  if (fresh) at->second.rank = merlinrun::StableHash(settings_.sidecar.name + '\xff' + address + '\xff');
  return at->second;
}

std::vector<std::string> Client::DesiredLinks(Micros now) const {
  // Cores in the list come first, then links that hold, then the others; of each kind those that failed least
  // often, so that all have their turn: of many in the list most may be gone.
  std::vector<std::tuple<int, int, std::uint64_t, const std::string*>> order;
  std::vector<std::tuple<int, std::uint64_t, const std::string*>> hints;
  for (const auto& [address, core] : core_states_) {
    if (core.is_hint && !core.up) {
      hints.emplace_back(core.failures, core.rank, &address);
      continue;
    }
    const int kind = core.listed ? (address == leader_ ? 0 : 1) : core.up ? 2 : 3;
    order.emplace_back(kind, core.up ? 0 : core.failures, core.rank, &address);
  }
  std::sort(order.begin(), order.end());
  if (order.size() > kMaxCoreLinks) order.resize(kMaxCoreLinks);
  const bool failed = std::all_of(order.begin(), order.end(), [&](const auto& place) {
    const Core& core = core_states_.at(*std::get<3>(place));
    return !IsResponsive(now, core) && (core.up || core.failures > 0);
  });
  if (failed && !hints.empty()) {
    std::sort(hints.begin(), hints.end());
    if (hints.size() > kHintsAtOnce) hints.resize(kHintsAtOnce);
    if (order.size() > kMaxCoreLinks - hints.size()) order.resize(kMaxCoreLinks - hints.size());
    for (const auto& [failures, place, address] : hints) order.emplace_back(4, failures, place, address);
  }
  std::vector<std::string> wanted;
  for (const auto& [kind, failures, place, address] : order) {
    const Core& core = core_states_.at(*address);
    if (core.up || now >= core.next_dial_at) wanted.push_back(*address);
  }
  return wanted;
}

void Client::OnLinkUp(Micros now, const std::string& address) {
  const auto at = core_states_.find(address);
  if (at == core_states_.end()) return;
  Core& core = at->second;
  core.up = true;
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
  core.up = false;
  core.heard_at = kNever;
  if (core.failing_since == kNever) core.failing_since = now;
  const Micros wait = std::min(kLastDial, kFirstDial << std::min(core.failures, 8));
  core.failures = std::min(core.failures + 1, 1000);
  // A quarter less or more: sidecars that lost a core together don't come back together.
  core.next_dial_at =
      now + wait * 3 / 4 + static_cast<Micros>(random_() % static_cast<std::uint64_t>(wait / 2));
  if (address == subscribed_) {
    LOG(INFO) << "push: lost the core " << address << " that it subscribed to";
    subscribed_.clear();
    first_heard_ = kNever;
  }
  UpdateLeader(now);
  Subscribe(now);
}

bool Client::IsResponsive(Micros now, const Core& core) const {
  return core.up && core.heard_at > now - kSpeaks;
}

std::vector<std::string> Client::ResponsiveCores(Micros now) const {
  std::vector<std::string> speaking;
  for (const auto& [address, core] : core_states_) {
    if (IsResponsive(now, core)) speaking.push_back(address);
  }
  return speaking;
}

std::uint64_t Client::NewestEntry(Micros now) const {
  std::uint64_t newest = 0;
  for (const auto& [address, core] : core_states_) {
    if (IsResponsive(now, core)) newest = std::max(newest, core.entry);
  }
  return newest;
}

// Whether news is rather taken from `a`.
bool Client::IsBetter(const Core& a, const Core& b, std::uint64_t newest) const {
  const auto key = [&](const Core& c) {
    return std::tuple(!c.has_leader, c.entry < newest, c.entry == 0, c.warming_up, c.rank);
  };
  return key(a) < key(b);
}

void Client::Subscribe(Micros now) {
  const std::uint64_t newest = NewestEntry(now);
  const std::string* best = nullptr;
  for (const auto& [address, core] : core_states_) {
    if (!IsResponsive(now, core)) continue;
    // One that said nothing for so long although it is subscribed to is no candidate.
    if (address == subscribed_ && now - std::max(core.heard_at, subscribed_at_) >= kCoreSilenceTimeout)
      continue;
    if (best == nullptr || IsBetter(core, core_states_.at(*best), newest)) best = &address;
  }
  if (best == nullptr) return;  // nobody better: even a silent one is kept
  if (subscribed_.empty()) {
    if (first_heard_ == kNever) first_heard_ = now;
    const Core& chosen = core_states_.at(*best);
    for (const auto& [address, core] : core_states_) {
      const bool may_come =
          !core.is_hint && core.failures == 0 && core.heard_at == kNever && core.rank < chosen.rank;
      if (may_come && now - first_heard_ < kWaitForBetter && snapshot_.epoch == 0) return;
    }
    MoveTo(now, *best);
    return;
  }
  const Core& present = core_states_.at(subscribed_);
  if (now - std::max(present.heard_at, subscribed_at_) >= kCoreSilenceTimeout) {
    LOG(INFO) << "push: the core " << subscribed_ << " is silent";
    MoveTo(now, *best);
    return;
  }
  const Core& chosen = core_states_.at(*best);
  const bool heard = present.heard_at >= subscribed_at_;
  const bool worse =
      heard && *best != subscribed_ &&
      ((chosen.has_leader && !present.has_leader) || (present.entry < newest && chosen.entry == newest));
  if (!worse) {
    worse_since_ = kNever;
  } else if (worse_since_ == kNever) {
    worse_since_ = now;
  } else if (now - worse_since_ >= kWorseFor) {
    MoveTo(now, *best);
    return;
  }
  if (*best == subscribed_ || chosen.warming_up) {
    misplaced_since_ = kNever;
  } else if (misplaced_since_ == kNever) {
    misplaced_since_ = now;
  } else if (now - misplaced_since_ >= rebalance_after_) {
    MoveTo(now, *best);
  }
}

void Client::MoveTo(Micros now, std::string address) {
  const std::string former = std::exchange(subscribed_, std::move(address));
  subscribed_at_ = now;
  worse_since_ = misplaced_since_ = first_heard_ = kNever;
  if (former == subscribed_) return;
  LOG(INFO) << "push: subscribes to the core " << subscribed_;
  if (const auto at = core_states_.find(former); at != core_states_.end() && at->second.up) {
    ReportTo(now, former, at->second, false, false);
  }
  ReportTo(now, subscribed_, core_states_.at(subscribed_), false, false);
}

// What most cores that are heard say, and of equals the one heard last: one core that holds on to an old view
// is not enough.
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
  if (const auto at = core_states_.find(leader_); at != core_states_.end() && at->second.up) {
    ReportTo(now, leader_, at->second, false, true);
  }
}

void Client::ApplyCores(Micros now, const std::string& address, const CoreUpdate& news) {
  // One core's word at a time: while a change goes round, two would contradict each other with each beat.
  const auto holder = core_states_.find(leader_);
  const bool holder_speaks = holder != core_states_.end() && IsResponsive(now, holder->second);
  const std::string& authority = holder_speaks ? leader_ : subscribed_;
  if (news.cores.empty() || (!cores_.empty() && (!news.has_leader || address != authority))) return;
  std::vector<std::string> cores = news.cores;
  std::sort(cores.begin(), cores.end());
  cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
  if (cores.size() > kMostListed) cores.resize(kMostListed);
  if (cores == cores_) return;
  cores_ = std::move(cores);
  for (auto& [known, core] : core_states_) core.listed = false;
  for (const auto& listed : cores_) {
    Core& core = Add(listed);
    core.listed = true;
    core.is_hint = false;
    if (!core.up) {
      core.next_dial_at = now;
      core.failures = 0;
    }
  }
  for (auto& [known, core] :
       core_states_) {  // never dialled or not: what is in no list any more goes some time
    if (!core.listed && !core.up && core.failing_since == kNever) core.failing_since = now;
  }
  sink_.OnCores(cores_);
}

// True if there is something to acknowledge.
bool Client::ApplySnapshot(const std::string& address, const CoreUpdate& news) {
  if (address != subscribed_ || (!news.has_snapshot && news.deltas.empty())) return false;
  const std::uint64_t epoch = snapshot_.epoch;
  const std::uint64_t number = snapshot_.revision;
  bool taken = false;
  if (news.has_snapshot) {
    // A core that has only just started may not have heard most of the servers: what it knows is better than
    // nothing only.
    const bool same = news.snapshot.epoch == snapshot_.epoch;
    const bool believed = snapshot_.epoch == 0 || same || !news.warming_up;
    if (believed && (!same || needs_snapshot_ || news.snapshot.revision > snapshot_.revision)) {
      snapshot_ = news.snapshot;
      taken = true;
    }
    if (believed) needs_snapshot_ = false;
  }
  for (const auto& change : news.deltas) {
    if (!registry::ApplyDelta(snapshot_, change)) {
      if (!needs_snapshot_) LOG(INFO) << "push: a gap in the listing, asks for the whole";
      needs_snapshot_ = true;
    }
  }
  if (taken || snapshot_.epoch != epoch || snapshot_.revision != number) {
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

bool Client::AcceptsState(Micros now, const CoreUpdate& news) {
  if (entry_ > 0 || news.has_leader) return true;
  if (leaderless_state_since_ == kNever) leaderless_state_since_ = now;
  return now - leaderless_state_since_ >= kLeaderlessStateDelay;
}

void Client::OnUpdate(Micros now, const std::string& address, const CoreUpdate& news) {
  const auto at = core_states_.find(address);
  if (at == core_states_.end() || !at->second.up) return;
  Core& core = at->second;
  core.heard_at = now;
  core.is_hint = false;
  core.failures = 0;
  core.failing_since = kNever;
  core.entry = news.committed_entry;
  core.has_leader = news.has_leader;
  core.warming_up = news.warming_up;
  core.leader = news.leader;
  const bool newer = news.has_state && news.committed_entry > entry_ && AcceptsState(now, news);
  if (newer) {
    entry_ = news.committed_entry;
    sink_.OnState(entry_, news.state);
  }
  if (news.has_leader && news.committed_entry == entry_)
    last_confirmed_at_ = now;  // one that is behind can't vouch for it
  const bool acknowledge = ApplySnapshot(address, news);
  if (newer) {
    ReportToAll(now, false);  // an operator may wait for this at any core
  } else if (acknowledge || news.has_state) {
    ReportTo(now, address, core, false, false);
  }
  if (news.request_id != 0) {
    const auto ask = std::find_if(
        pending_requests_.begin(), pending_requests_.end(),
        [&](const PendingRequest& a) { return a.number == news.request_id && a.address == address; });
    if (ask != pending_requests_.end()) {
      const Micros until = ask->at + news.lease_ms * 1000;
      pending_requests_.erase(pending_requests_.begin(), ask + 1);
      if (until > now) sink_.OnShares(news.shares, until);
    }
  }
  UpdateLeader(now);
  Subscribe(now);
  ApplyCores(now, address, news);
}

void Client::SetServers(Micros now, std::vector<registry::Server> lives) {
  const bool differ = Differ(servers_, lives);
  servers_ = std::move(lives);
  servers_at_ = now;
  if (differ) ReportToAll(now, true);
}

void Client::OnTick(Micros now) {
  // What was told before a gap of one's own may have been forgotten.
  const bool slept = last_tick_ != kNever && now - last_tick_ > kOwnGap;
  last_tick_ = now;
  for (auto at = core_states_.begin(); at != core_states_.end();) {
    Core& core = at->second;
    if (core.is_hint) {
      if (core.hint_seen_at == kNever) core.hint_seen_at = now;
      at = now - core.hint_seen_at >= kHintFor ? core_states_.erase(at) : std::next(at);
      continue;
    }
    const bool drop = !core.seed && !core.listed && !core.up && core.failing_since != kNever &&
                      now - core.failing_since >= kDropAfter;
    at = drop ? core_states_.erase(at) : std::next(at);
  }
  UpdateLeader(now);
  Subscribe(now);
  for (auto& [address, core] : core_states_) {
    if (!core.up) continue;
    const bool often = address == subscribed_ || address == leader_;
    const bool with_lives = slept || now - core.servers_reported_at >= kServerReportInterval;
    if (with_lives || now - core.reported_at >= (often ? kReportInterval : kOtherReportInterval) - kEarly) {
      ReportTo(now, address, core, with_lives, address == leader_);
    }
  }
}

void Client::Leave(Micros now) {
  leaving_ = true;
  ReportToAll(now, true);
}

void Client::ReportToAll(Micros now, bool with_lives) {
  for (auto& [address, core] : core_states_) {
    if (core.up) ReportTo(now, address, core, with_lives, false);
  }
}

void Client::ReportTo(Micros now, const std::string& address, Core& core, bool with_lives, bool with_demand,
                      bool wants_ledger) {
  SidecarReport tell;
  tell.sidecar = settings_.sidecar;
  tell.leaving = leaving_;
  tell.has_servers = with_lives;
  if (with_lives) {
    tell.servers = servers_;
    for (auto& life : tell.servers) {
      life.cold_remaining_ms =
          std::max<std::int64_t>(0, life.cold_remaining_ms - std::max<Micros>(0, now - servers_at_) / 1000);
    }
    core.servers_reported_at = now;
  }
  tell.subscribe = wants_ledger || address == subscribed_;
  tell.applied_entry = entry_;
  tell.epoch = snapshot_.epoch;
  tell.revision = needs_snapshot_ ? 0 : snapshot_.revision;
  if (with_demand) {
    tell.request_id = ++last_request_id_;
    if (settings_.demand) tell.demand = settings_.demand(now);
    if (settings_.held_shares) tell.held_shares = settings_.held_shares(now);
    pending_requests_.push_back({tell.request_id, address, now});
    if (pending_requests_.size() > kMostAsks) pending_requests_.pop_front();
  }
  if (with_demand || address != leader_)
    core.reported_at = now;  // an acknowledgement does not put off the next demand
  sink_.Send(address, tell);
}

}  // namespace fennelhollow::push
