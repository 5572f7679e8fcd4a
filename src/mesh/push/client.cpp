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
  spread_after_ = kSpreadAfter + static_cast<Micros>(random_() % static_cast<std::uint64_t>(kSpreadAfter));
}

void Client::SetSeeds(const std::vector<std::string>& seeds) {
  for (auto& [address, core] : nodes_) core.seed = false;
  for (const auto& address : seeds) {
    Core& core = Add(address);
    core.seed = true;
    core.hint = false;
  }
  settings_.seeds = seeds;
}

void Client::Hint(const std::string& core) {
  if (nodes_.count(core) != 0) return;
  std::size_t hints = 0;
  const std::string* worst = nullptr;
  for (const auto& [address, known] : nodes_) {
    if (!known.hint) continue;
    ++hints;
    if (worst == nullptr || known.fails > nodes_.at(*worst).fails) worst = &address;
  }
  if (hints >= kMostHints) {
    if (nodes_.at(*worst).fails == 0) return;
    nodes_.erase(*worst);
  }
  Add(core).hint = true;
}

void Client::Nudge(Micros now) {
  if (nudged_ != kNever && now - nudged_ < kNudgeEvery) return;
  nudged_ = now;
  // A core sends the ledger to those that subscribe alone: this Tell subscribes, the next takes it back.
  Core* has_it = nullptr;
  for (auto& [address, core] : nodes_) {
    if (!Speaks(now, core) || core.entry <= entry_) continue;
    if (has_it == nullptr || Better(core, *has_it, NewestEntry(now))) has_it = &core;
  }
  for (auto& [address, core] : nodes_) {
    if (core.up) TellTo(now, address, core, false, false, &core == has_it);
  }
}

Client::Core& Client::Add(const std::string& address) {
  const auto [at, fresh] = nodes_.try_emplace(address);
  // Its place in this sidecar's own order of cores (rendezvous hashing); no name has such a byte in it.
  if (fresh) at->second.place = merlinrun::HashOf(settings_.me.name + '\xff' + address + '\xff');
  return at->second;
}

std::vector<std::string> Client::Wanted(Micros now) const {
  // Cores in the list come first, then links that hold, then the others; of each kind those that failed least
  // often, so that all have their turn: of many in the list most may be gone.
  std::vector<std::tuple<int, int, std::uint64_t, const std::string*>> order;
  std::vector<std::tuple<int, std::uint64_t, const std::string*>> hints;
  for (const auto& [address, core] : nodes_) {
    if (core.hint && !core.up) {
      hints.emplace_back(core.fails, core.place, &address);
      continue;
    }
    const int kind = core.listed ? (address == holder_ ? 0 : 1) : core.up ? 2 : 3;
    order.emplace_back(kind, core.up ? 0 : core.fails, core.place, &address);
  }
  std::sort(order.begin(), order.end());
  if (order.size() > kMostCores) order.resize(kMostCores);
  const bool failed = std::all_of(order.begin(), order.end(), [&](const auto& place) {
    const Core& core = nodes_.at(*std::get<3>(place));
    return !Speaks(now, core) && (core.up || core.fails > 0);
  });
  if (failed && !hints.empty()) {
    std::sort(hints.begin(), hints.end());
    if (hints.size() > kHintsAtOnce) hints.resize(kHintsAtOnce);
    if (order.size() > kMostCores - hints.size()) order.resize(kMostCores - hints.size());
    for (const auto& [fails, place, address] : hints) order.emplace_back(4, fails, place, address);
  }
  std::vector<std::string> wanted;
  for (const auto& [kind, fails, place, address] : order) {
    const Core& core = nodes_.at(*address);
    if (core.up || now >= core.dial_at) wanted.push_back(*address);
  }
  return wanted;
}

void Client::OnLinkUp(Micros now, const std::string& address) {
  const auto at = nodes_.find(address);
  if (at == nodes_.end()) return;
  Core& core = at->second;
  core.up = true;
  core.heard = kNever;
  core.entry = 0;
  core.settled = core.partial = false;
  core.holder.clear();
  TellTo(now, address, core, true, address == holder_);
}

void Client::OnLinkDown(Micros now, const std::string& address) {
  const auto at = nodes_.find(address);
  if (at == nodes_.end()) return;
  Core& core = at->second;
  core.up = false;
  core.heard = kNever;
  if (core.failing_since == kNever) core.failing_since = now;
  const Micros wait = std::min(kLastDial, kFirstDial << std::min(core.fails, 8));
  core.fails = std::min(core.fails + 1, 1000);
  // A quarter less or more: sidecars that lost a core together don't come back together.
  core.dial_at = now + wait * 3 / 4 + static_cast<Micros>(random_() % static_cast<std::uint64_t>(wait / 2));
  if (address == subscribed_) {
    LOG(INFO) << "push: lost the core " << address << " that it subscribed to";
    subscribed_.clear();
    first_heard_ = kNever;
  }
  FindHolder(now);
  Subscribe(now);
}

bool Client::Speaks(Micros now, const Core& core) const { return core.up && core.heard > now - kSpeaks; }

std::vector<std::string> Client::Speaking(Micros now) const {
  std::vector<std::string> speaking;
  for (const auto& [address, core] : nodes_) {
    if (Speaks(now, core)) speaking.push_back(address);
  }
  return speaking;
}

std::uint64_t Client::NewestEntry(Micros now) const {
  std::uint64_t newest = 0;
  for (const auto& [address, core] : nodes_) {
    if (Speaks(now, core)) newest = std::max(newest, core.entry);
  }
  return newest;
}

// Whether news is rather taken from `a`.
bool Client::Better(const Core& a, const Core& b, std::uint64_t newest) const {
  const auto key = [&](const Core& c) {
    return std::tuple(!c.settled, c.entry < newest, c.entry == 0, c.partial, c.place);
  };
  return key(a) < key(b);
}

void Client::Subscribe(Micros now) {
  const std::uint64_t newest = NewestEntry(now);
  const std::string* best = nullptr;
  for (const auto& [address, core] : nodes_) {
    if (!Speaks(now, core)) continue;
    // One that said nothing for so long although it is subscribed to is no candidate.
    if (address == subscribed_ && now - std::max(core.heard, subscribed_at_) >= kSilentCore) continue;
    if (best == nullptr || Better(core, nodes_.at(*best), newest)) best = &address;
  }
  if (best == nullptr) return;  // nobody better: even a silent one is kept
  if (subscribed_.empty()) {
    if (first_heard_ == kNever) first_heard_ = now;
    const Core& chosen = nodes_.at(*best);
    for (const auto& [address, core] : nodes_) {
      const bool may_come =
          !core.hint && core.fails == 0 && core.heard == kNever && core.place < chosen.place;
      if (may_come && now - first_heard_ < kWaitForBetter && listing_.epoch == 0) return;
    }
    MoveTo(now, *best);
    return;
  }
  const Core& present = nodes_.at(subscribed_);
  if (now - std::max(present.heard, subscribed_at_) >= kSilentCore) {
    LOG(INFO) << "push: the core " << subscribed_ << " is silent";
    MoveTo(now, *best);
    return;
  }
  const Core& chosen = nodes_.at(*best);
  const bool heard = present.heard >= subscribed_at_;
  const bool worse =
      heard && *best != subscribed_ &&
      ((chosen.settled && !present.settled) || (present.entry < newest && chosen.entry == newest));
  if (!worse) {
    worse_since_ = kNever;
  } else if (worse_since_ == kNever) {
    worse_since_ = now;
  } else if (now - worse_since_ >= kWorseFor) {
    MoveTo(now, *best);
    return;
  }
  if (*best == subscribed_ || chosen.partial) {
    drifted_since_ = kNever;
  } else if (drifted_since_ == kNever) {
    drifted_since_ = now;
  } else if (now - drifted_since_ >= spread_after_) {
    MoveTo(now, *best);
  }
}

void Client::MoveTo(Micros now, std::string address) {
  const std::string former = std::exchange(subscribed_, std::move(address));
  subscribed_at_ = now;
  worse_since_ = drifted_since_ = first_heard_ = kNever;
  if (former == subscribed_) return;
  LOG(INFO) << "push: subscribes to the core " << subscribed_;
  if (const auto at = nodes_.find(former); at != nodes_.end() && at->second.up) {
    TellTo(now, former, at->second, false, false);
  }
  TellTo(now, subscribed_, nodes_.at(subscribed_), false, false);
}

// What most cores that are heard say, and of equals the one heard last: one core that holds on to an old view
// is not enough.
void Client::FindHolder(Micros now) {
  std::map<std::string, std::pair<int, Micros>> votes;
  for (const auto& [address, core] : nodes_) {
    if (!Speaks(now, core) || !core.settled || core.holder.empty()) continue;
    auto& vote = votes[core.holder];
    ++vote.first;
    vote.second = std::max(vote.second, core.heard);
  }
  const auto best = std::max_element(votes.begin(), votes.end(),
                                     [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == votes.end() || best->first == holder_) return;
  holder_ = best->first;
  if (const auto at = nodes_.find(holder_); at != nodes_.end() && at->second.up) {
    TellTo(now, holder_, at->second, false, true);
  }
}

void Client::TakeCores(Micros now, const std::string& address, const News& news) {
  // One core's word at a time: while a change goes round, two would contradict each other with each beat.
  const auto holder = nodes_.find(holder_);
  const bool holder_speaks = holder != nodes_.end() && Speaks(now, holder->second);
  const std::string& authority = holder_speaks ? holder_ : subscribed_;
  if (news.cores.empty() || (!cores_.empty() && (!news.settled || address != authority))) return;
  std::vector<std::string> cores = news.cores;
  std::sort(cores.begin(), cores.end());
  cores.erase(std::unique(cores.begin(), cores.end()), cores.end());
  if (cores.size() > kMostListed) cores.resize(kMostListed);
  if (cores == cores_) return;
  cores_ = std::move(cores);
  for (auto& [known, core] : nodes_) core.listed = false;
  for (const auto& listed : cores_) {
    Core& core = Add(listed);
    core.listed = true;
    core.hint = false;
    if (!core.up) {
      core.dial_at = now;
      core.fails = 0;
    }
  }
  for (auto& [known, core] : nodes_) {  // never dialled or not: what is in no list any more goes some time
    if (!core.listed && !core.up && core.failing_since == kNever) core.failing_since = now;
  }
  sink_.OnCores(cores_);
}

// True if there is something to acknowledge.
bool Client::TakeListing(const std::string& address, const News& news) {
  if (address != subscribed_ || (!news.whole && news.changes.empty())) return false;
  const std::uint64_t epoch = listing_.epoch;
  const std::uint64_t number = listing_.revision;
  bool taken = false;
  if (news.whole) {
    // A core that has only just started may not have heard most of the servers: what it knows is better than
    // nothing only.
    const bool same = news.snapshot.epoch == listing_.epoch;
    const bool believed = listing_.epoch == 0 || same || !news.partial;
    if (believed && (!same || need_whole_ || news.snapshot.revision > listing_.revision)) {
      listing_ = news.snapshot;
      taken = true;
    }
    if (believed) need_whole_ = false;
  }
  for (const auto& change : news.changes) {
    if (!registry::ApplyDelta(listing_, change)) {
      if (!need_whole_) LOG(INFO) << "push: a gap in the listing, asks for the whole";
      need_whole_ = true;
    }
  }
  if (taken || listing_.epoch != epoch || listing_.revision != number) {
    const auto& sidecars = listing_.sidecars;
    const auto at =
        std::lower_bound(sidecars.begin(), sidecars.end(), settings_.me.name,
                         [](const registry::Sidecar& s, const std::string& n) { return s.name < n; });
    const bool listed = at != sidecars.end() && at->name == settings_.me.name;
    sink_.OnListing(listing_, static_cast<std::size_t>(at - sidecars.begin()),
                    sidecars.size() + (listed ? 0 : 1));
  }
  return true;
}

bool Client::Believes(Micros now, const News& news) {
  if (entry_ > 0 || news.settled) return true;
  if (unsettled_since_ == kNever) unsettled_since_ = now;
  return now - unsettled_since_ >= kWaitForSettled;
}

void Client::OnNews(Micros now, const std::string& address, const News& news) {
  const auto at = nodes_.find(address);
  if (at == nodes_.end() || !at->second.up) return;
  Core& core = at->second;
  core.heard = now;
  core.hint = false;
  core.fails = 0;
  core.failing_since = kNever;
  core.entry = news.entry;
  core.settled = news.settled;
  core.partial = news.partial;
  core.holder = news.holder;
  const bool newer = news.ledger_too && news.entry > entry_ && Believes(now, news);
  if (newer) {
    entry_ = news.entry;
    sink_.OnLedger(entry_, news.ledger);
  }
  if (news.settled && news.entry == entry_) heard_at_ = now;  // one that is behind can't vouch for it
  const bool acknowledge = TakeListing(address, news);
  if (newer) {
    TellAll(now, false);  // an operator may wait for this at any core
  } else if (acknowledge || news.ledger_too) {
    TellTo(now, address, core, false, false);
  }
  if (news.asked != 0) {
    const auto ask = std::find_if(asks_.begin(), asks_.end(), [&](const Asked& a) {
      return a.number == news.asked && a.address == address;
    });
    if (ask != asks_.end()) {
      const Micros until = ask->at + news.lease_ms * 1000;
      asks_.erase(asks_.begin(), ask + 1);
      if (until > now) sink_.OnShares(news.shares, until);
    }
  }
  FindHolder(now);
  Subscribe(now);
  TakeCores(now, address, news);
}

void Client::SetLives(Micros now, std::vector<registry::Server> lives) {
  const bool differ = Differ(lives_, lives);
  lives_ = std::move(lives);
  lives_at_ = now;
  if (differ) TellAll(now, true);
}

void Client::OnTick(Micros now) {
  // What was told before a gap of one's own may have been forgotten.
  const bool slept = ticked_ != kNever && now - ticked_ > kOwnGap;
  ticked_ = now;
  for (auto at = nodes_.begin(); at != nodes_.end();) {
    Core& core = at->second;
    if (core.hint) {
      if (core.hinted == kNever) core.hinted = now;
      at = now - core.hinted >= kHintFor ? nodes_.erase(at) : std::next(at);
      continue;
    }
    const bool drop = !core.seed && !core.listed && !core.up && core.failing_since != kNever &&
                      now - core.failing_since >= kDropAfter;
    at = drop ? nodes_.erase(at) : std::next(at);
  }
  FindHolder(now);
  Subscribe(now);
  for (auto& [address, core] : nodes_) {
    if (!core.up) continue;
    const bool often = address == subscribed_ || address == holder_;
    const bool with_lives = slept || now - core.lives_told >= kTellLivesEvery;
    if (with_lives || now - core.reported_at >= (often ? kTellEvery : kTellOthersEvery) - kEarly) {
      TellTo(now, address, core, with_lives, address == holder_);
    }
  }
}

void Client::Leave(Micros now) {
  leaving_ = true;
  TellAll(now, true);
}

void Client::TellAll(Micros now, bool with_lives) {
  for (auto& [address, core] : nodes_) {
    if (core.up) TellTo(now, address, core, with_lives, false);
  }
}

void Client::TellTo(Micros now, const std::string& address, Core& core, bool with_lives, bool with_demand,
                    bool wants_ledger) {
  Tell tell;
  tell.me = settings_.me;
  tell.leaving = leaving_;
  tell.lives_too = with_lives;
  if (with_lives) {
    tell.lives = lives_;
    for (auto& life : tell.lives) {
      life.cold_remaining_ms =
          std::max<std::int64_t>(0, life.cold_remaining_ms - std::max<Micros>(0, now - lives_at_) / 1000);
    }
    core.lives_told = now;
  }
  tell.subscribe = wants_ledger || address == subscribed_;
  tell.entry = entry_;
  tell.epoch = listing_.epoch;
  tell.revision = need_whole_ ? 0 : listing_.revision;
  if (with_demand) {
    tell.asked = ++asked_;
    if (settings_.demand) tell.demand = settings_.demand(now);
    if (settings_.held) tell.held = settings_.held(now);
    asks_.push_back({tell.asked, address, now});
    if (asks_.size() > kMostAsks) asks_.pop_front();
  }
  if (with_demand || address != holder_)
    core.reported_at = now;  // an acknowledgement does not put off the next demand
  sink_.Send(address, tell);
}

}  // namespace fennelhollow::push
