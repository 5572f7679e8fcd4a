#include <cmath>

#include "mesh/quota/quota.hpp"
#include "mesh/quota/window_limits.hpp"

namespace fennelhollow::quota {

namespace {

constexpr std::size_t kGrants = 6;        // kept apart of a sidecar; older ones are taken together
constexpr Micros kSumsAge = 100'000;      // what others give up by the clock is seen that late
constexpr std::size_t kSidecars = 4'096;  // remembered
constexpr Micros kForget = 60'000'000;    // a sidecar not heard for so long is as good as gone
constexpr std::size_t kSharesToAll =
    20'000;                         // tenants x sidecars up to which those that ask nothing get a share too
constexpr double kEqualPart = 0.5;  // of what nobody needs: spread equally; the rest by need

constexpr double kDeviations = 4;                // of chance, for which there is room where there is enough
constexpr double kChance = 1.5, kLatelyS = 1.2;  // deviations, and the span that requested_per_s tells of
constexpr double kTells = 4;             // requests of use from which it tells one process from the next
constexpr double kUnseen = 0.25;         // of a share: used by a process between its last word and its end
constexpr Micros kComeBack = 2'000'000;  // within it a client that was refused has tried again
constexpr double kFractionMatters = 4;   // requests: from here on a part of one is left as it is
constexpr double kFlow = 1.08;           // of the limit's rate is let flow by those that press beyond it

}  // namespace

ShareAllocator::ShareAllocator(const QuotaBounds& bounds, Micros lease)
    : bounds_(bounds), lease_(lease), window_(static_cast<Micros>(bounds.window_s * 1.02e6) + 1) {}

// Use spread over the window slides out of it evenly; one that pressed on the limit may have come all at the
// end.
double ShareAllocator::Ghost(Micros now, const Cut& cut) const {
  if (cut.ghost_until <= now) return 0;
  const double left = static_cast<double>(cut.ghost_until - now) / static_cast<double>(window_);
  return cut.ghost * (cut.ghost_stays ? 1 : left);
}
// Whether more than the base part is of use to it.
bool ShareAllocator::Presses(const Cut& cut, double base) {
  return cut.mean + kDeviations * cut.noise > base;
}
double ShareAllocator::Window(const Share& share) const {
  return share.burst + share.rate_per_s * bounds_.window_s;
}
double ShareAllocator::Bound(const TenantLimit& limit) const { return WindowBound(bounds_, limit); }
double ShareAllocator::Base(const TenantLimit& limit) const { return BasePart(bounds_, limit, sidecars_); }

void ShareAllocator::UpdateLimits(Micros, const std::map<std::string, TenantLimit>& limits) {
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    const auto limit = limits.find(it->first);
    const bool stays = limit != limits.end() && limit->second.rate_per_s > 0;
    it = stays ? std::next(it) : tenants_.erase(it);
  }
  for (const auto& [name, limit] : limits) {
    if (limit.rate_per_s <= 0) continue;
    Tenant& tenant = tenants_[name];
    tenant.limit = limit;
    tenant.summed = -1;
  }
}

void ShareAllocator::SetSidecarCount(Micros, std::size_t count) {
  sidecars_ = std::max<std::size_t>(count, 1);
  for (auto& [name, tenant] : tenants_) tenant.summed = -1;
}

void ShareAllocator::OnBecameLeader(Micros now) {
  duty_since_ = now;
  heard_.clear();
  for (auto& [name, tenant] : tenants_) {
    tenant.cuts.clear();
    tenant.first_held = 0;
    tenant.summed = -1;
  }
}

void ShareAllocator::OnHeldShares(Micros now, const std::string& sidecar, const std::vector<Share>& held) {
  if (heard_.size() >= kSidecars && !heard_.contains(sidecar)) return;
  const bool first = heard_.insert_or_assign(sidecar, now).second;
  std::unordered_map<std::string_view, const Share*> by_tenant;
  for (const Share& share : held) by_tenant.emplace(share.tenant, &share);
  for (auto& [name, tenant] : tenants_) {
    const auto found = by_tenant.find(name);
    const Share* share = found == by_tenant.end() ? nullptr : found->second;
    if (share == nullptr && !first && !tenant.cuts.contains(sidecar)) continue;
    const auto [cut, is_new] = tenant.cuts.try_emplace(sidecar);
    cut->second.held_told = true;
    cut->second.held = share == nullptr ? Share{} : *share;
    if (is_new) tenant.summed = -1;
    if (!first) continue;
    const double window = share == nullptr ? 0 : Window(*share);
    tenant.first_held += std::max(window, Base(tenant.limit)) - Base(tenant.limit);
    // Held from an earlier holder, by a lease that it counts from an earlier time than this.
    if (share != nullptr && cut->second.grants.empty()) {
      cut->second.grants.push_back({window, share->source_limit, now + lease_, share->rate_per_s > 0});
      cut->second.acked = true;
    }
  }
}

// What this sidecar may have used, or may still use, in a window that reaches beyond now.
double ShareAllocator::Reserved(Micros now, const Tenant& tenant, const Cut& cut) const {
  double reserved = Base(tenant.limit);
  for (const Grant& grant : cut.grants) {
    if (grant.end + window_ <= now) continue;
    // Of a limit that is lowered: the lower one binds when all have heard of it, and then the share is void.
    const bool lowered =
        !(grant.source_limit == tenant.limit) && Bound(grant.source_limit) > Bound(tenant.limit);
    reserved =
        std::max(reserved, grant.window * (lowered ? Bound(tenant.limit) / Bound(grant.source_limit) : 1));
  }
  if (cut.used_at + window_ > now) reserved = std::max(reserved, cut.used);
  return reserved + Ghost(now, cut);
}

// What may be out in all. A new holder counts with the parts it has been told, and with those that it has not
// as given until their leases and the window after have passed; a process that began lately may have had a
// predecessor.
double ShareAllocator::Total(Micros now, const Tenant& tenant) const {
  const double bound = Bound(tenant.limit);
  const bool all_told = heard_.size() >= sidecars_;
  double part =
      all_told ? FreshPart(now - duty_since_, window_)
               : std::clamp(static_cast<double>(now - duty_since_ - lease_) / static_cast<double>(window_),
                            0.0, 1.0);
  // Shares of a few requests are used up at once, perhaps at the very end: that use leaves the window at once
  // too, and not by the clock.
  const bool few = bound < kFractionMatters * static_cast<double>(sidecars_);
  if (few && part < 1) part = 0;
  const double base = Base(tenant.limit) * static_cast<double>(sidecars_);
  return std::min(bound, std::max(tenant.first_held + base, bound * part));
}

void ShareAllocator::Sum(Micros now, Tenant& tenant) const {
  // Its cost grows with the sidecars, and so does the time that it is good for.
  const Micros sums_age = kSumsAge * static_cast<Micros>(1 + sidecars_ / 64);
  if (tenant.summed >= 0 && now - tenant.summed < sums_age) return;
  tenant.summed = now;
  tenant.reserved = tenant.mean = tenant.noise = tenant.requested_per_s = 0;
  for (auto it = tenant.cuts.begin(); it != tenant.cuts.end();) {
    Cut& cut = it->second;
    std::erase_if(cut.grants, [&](const Grant& g) {
      const bool over = g.end + window_ <= now;
      if (over && &g == cut.grants.data()) cut.acked = false;
      return over;
    });
    if (cut.used_at + window_ <= now) cut.used = cut.mean = cut.requested_per_s = 0;
    if (cut.grants.empty() && cut.used_at + window_ <= now && cut.ghost_until <= now && !cut.held_told) {
      it = tenant.cuts.erase(it);  // counted among those not heard
      continue;
    }
    Add(now, tenant, cut, 1);
    ++it;
  }
}

// Takes in what the sidecar told: which grant it has received, and what of it is used.
void ShareAllocator::Hear(Micros now, const TenantLimit& limit, Cut& cut, const Demand* demand) const {
  const double used = demand == nullptr ? 0 : demand->admitted_in_window;
  if (cut.held_told) {
    cut.held_told = false;
    const bool none = cut.held.tenant.empty();
    const double window = Window(cut.held);
    // The earliest grant that looks like the one held; those before it never come into force again.
    const auto in_force =
        none ? cut.grants.end() : std::find_if(cut.grants.begin(), cut.grants.end(), [&](const Grant& g) {
          return std::abs(g.window - window) < 1e-6 && g.source_limit == cut.held.source_limit;
        });
    if (in_force != cut.grants.end()) {
      cut.grants.erase(cut.grants.begin(), in_force);
      cut.acked = true;
    } else if (!none) {
      cut.grants.insert(cut.grants.begin(),
                        {window, cut.held.source_limit, now + lease_, cut.held.rate_per_s > 0});
      cut.acked = true;
    } else if (cut.acked && !cut.grants.empty()) {
      // It had a share and has none: run out, void, or another process. What the old one may have used stays
      // counted for a window; a process that tells much of that use is still the same one.
      const Grant& had = cut.grants.front();
      const double before = cut.used_at + window_ > now ? cut.used : 0;
      const bool run_out = had.end < now + lease_ / 2 || !(had.source_limit == limit);
      // Use of a few requests tells no process from the next.
      const bool few = had.window < kFractionMatters;
      const bool same = before >= kTells ? used >= before / 2 : run_out && !few;
      if (!same && had.end + window_ > now) {
        const double since = static_cast<double>(now - cut.used_at) / static_cast<double>(window_);
        const double after = 2 * cut.mean * since + kUnseen * had.window;
        // Of a few whole requests all may have been used, and at the very end.
        const bool all = had.flows || few;
        cut.ghost = Ghost(now, cut) + std::min(had.window, all ? had.window : before + after);
        cut.ghost_until = now + window_;
        cut.ghost_stays = all;
      }
      // A process that is no more does not take what was sent to it.
      cut.grants.erase(cut.grants.begin(), same || run_out ? cut.grants.begin() + 1 : cut.grants.end());
      cut.acked = false;
    }
  }
  cut.used = used;
  if (demand != nullptr && demand->unmet) cut.unmet_until = now + kComeBack;
  cut.used_at = now;
  cut.requested_per_s = demand == nullptr ? 0 : demand->requested_per_s;
  // The window's use is the steadier figure; what was asked lately counts where chance does not explain the
  // difference.
  const double slow = used / bounds_.window_s, fast = cut.requested_per_s;
  const double chance = kChance * std::sqrt(std::max(slow, fast) / kLatelyS);
  cut.mean = std::max(0.0, std::clamp(slow, fast - chance, fast + chance)) * bounds_.window_s;
  cut.noise = std::sqrt(cut.mean + 3);
}

// A part of a request is of no use to anybody. Where shares are that small they are whole requests instead,
// for those who ask; who does not ask gets what is whole of its share.
double ShareAllocator::WholeRequests(Micros now, double window, double free, double base, const Cut& cut) {
  const bool asks = cut.requested_per_s > 0;
  const double needed = std::max(cut.used + (now < cut.unmet_until ? 1.0 : 0.0), asks ? 1.0 : 0.0);
  const double wanted = std::max(std::floor(window), needed);
  return std::max(base, std::min(wanted, std::floor(free)));
}

Share ShareAllocator::Give(Micros now, const std::string& name, Tenant& tenant, Cut& cut) const {
  const double base = Base(tenant.limit);
  const double sidecars = static_cast<double>(std::max(sidecars_, tenant.cuts.size()));
  const double unknown = base * (sidecars - static_cast<double>(tenant.cuts.size()));
  const double total = Total(now, tenant);
  const double pool = std::max(0.0, total - base * sidecars), mean = std::max(0.0, cut.mean - base);
  double window = base;
  if (tenant.mean > pool) {
    window += pool * mean / tenant.mean;
  } else {
    // First what is expected, then room for chance, then the rest: some for all, for clients that move; some
    // by need.
    const double deviations =
        tenant.noise > 0 ? std::min(kDeviations, (pool - tenant.mean) / tenant.noise) : kDeviations;
    const double over = std::max(0.0, pool - tenant.mean - deviations * tenant.noise);
    const double by_need = tenant.mean > 0 ? mean / tenant.mean : 1 / sidecars;
    window = std::max(base, cut.mean + deviations * cut.noise);
    window += over * (kEqualPart / sidecars + (1 - kEqualPart) * by_need);
  }
  const double others = tenant.reserved - Reserved(now, tenant, cut) + unknown;
  double free = total - others - Ghost(now, cut);
  // What it holds already may be renewed while not all is known: the holder before has counted it.
  if (total < Bound(tenant.limit) && cut.acked && cut.grants.front().source_limit == tenant.limit) {
    free = std::max(free, cut.grants.front().window);
  }
  window = std::max(base, std::min(window, free));
  const bool small = window < kFractionMatters;
  if (small) window = WholeRequests(now, window, free, base, cut);

  while (cut.grants.size() >= kGrants) {
    Grant& second = cut.grants[cut.acked ? 1 : 0];
    Grant& third = cut.grants[cut.acked ? 2 : 1];
    third.window = std::max(third.window, second.window);
    third.end = std::max(third.end, second.end);
    cut.grants.erase(cut.grants.begin() + (cut.acked ? 1 : 0));
  }
  // Beyond the limit the share flows by its rate, else it would be used up at once and refuse for the rest of
  // the window.
  double rate = 0;
  if (!small && tenant.requested_per_s > tenant.limit.rate_per_s) {
    rate = tenant.limit.rate_per_s * kFlow *
           std::max(cut.requested_per_s / tenant.requested_per_s, 1 / sidecars);
  }
  Share share{name, rate, window - rate * bounds_.window_s, tenant.limit};
  cut.grants.push_back({window, tenant.limit, now + lease_, rate > 0});
  return share;
}

std::vector<Share> ShareAllocator::OnDemand(Micros now, const std::string& sidecar,
                                            const std::vector<Demand>& demand) {
  std::vector<Share> shares;
  if (heard_.size() >= kSidecars && !heard_.contains(sidecar)) return shares;
  heard_[sidecar] = now;
  Forget(now);
  std::unordered_map<std::string_view, const Demand*> by_tenant;
  for (const Demand& one : demand) by_tenant.emplace(one.tenant, &one);
  const bool to_all = tenants_.size() * sidecars_ <= kSharesToAll;
  for (auto& [name, tenant] : tenants_) {
    const auto asked = by_tenant.find(name);
    if (asked == by_tenant.end() && !to_all && !tenant.cuts.contains(sidecar)) continue;
    Sum(now, tenant);
    const auto [it, is_new] = tenant.cuts.try_emplace(sidecar);
    Cut& cut = it->second;
    if (!is_new) Add(now, tenant, cut, -1);
    Hear(now, tenant.limit, cut, asked == by_tenant.end() ? nullptr : asked->second);
    Add(now, tenant, cut, 1);
    if (asked == by_tenant.end() && !to_all) continue;  // its share runs out
    const double before = Reserved(now, tenant, cut);
    shares.push_back(Give(now, name, tenant, cut));
    tenant.reserved += Reserved(now, tenant, cut) - before;
  }
  return shares;
}

void ShareAllocator::Add(Micros now, Tenant& tenant, const Cut& cut, int sign) const {
  tenant.reserved += sign * Reserved(now, tenant, cut);
  if (Presses(cut, Base(tenant.limit))) {
    tenant.mean += sign * std::max(0.0, cut.mean - Base(tenant.limit));
    tenant.noise += sign * cut.noise;
  }
  tenant.requested_per_s += sign * cut.requested_per_s;
}

void ShareAllocator::Forget(Micros now) {
  if (now - forgot_ < kForget / 8) return;
  forgot_ = now;
  std::erase_if(heard_, [&](const auto& one) { return now - one.second >= kForget; });
}

// Its shares stay counted until they have run out: it may be no more than out of sight.
void ShareAllocator::OnSidecarGone(Micros, const std::string& sidecar) {
  for (auto& [name, tenant] : tenants_) {
    const auto it = tenant.cuts.find(sidecar);
    if (it == tenant.cuts.end()) continue;
    it->second.mean = it->second.requested_per_s = 0;
    it->second.held_told = false;
    tenant.summed = -1;
  }
}

}  // namespace fennelhollow::quota
