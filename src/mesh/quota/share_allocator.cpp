#include <cmath>

#include "mesh/quota/quota.hpp"
#include "mesh/quota/window_limits.hpp"

namespace fennelhollow::quota {

namespace {

// Grants tracked per sidecar and tenant; older ones are merged.
constexpr std::size_t kMaxGrants = 6;
// Lifetime of a tenant's sums; bounds how late an ended lease is noticed.
constexpr Micros kSumsAge = 100'000;
constexpr std::size_t kMaxSidecars = 4'096;
// A sidecar without a report for this long is considered gone.
constexpr Micros kSidecarTimeout = 60'000'000;
// Up to this number of tenants times sidecars, sidecars without demand get shares too.
constexpr std::size_t kMaxSharesForAll = 20'000;
// Fraction of the surplus that is divided equally; the rest is divided in proportion to demand.
constexpr double kEqualFraction = 0.5;

// Standard deviations of random variation that a share covers if there is enough capacity.
constexpr double kDeviations = 4;
// Standard deviations by which the recent rate may differ from that of the window before it is preferred, and
// the time span that the recent rate covers.
constexpr double kRateDeviations = 1.5, kRateWindowS = 1.2;
// Reported requests above which a restarted process can be told from the previous one.
constexpr double kMinUseToCompare = 4;
// Fraction of a share that a process may have used between its last report and its end.
constexpr double kUnreportedUse = 0.25;
// Time within which rejected clients are expected to retry.
constexpr Micros kClientRetryTime = 2'000'000;
// Shares below this number of requests are rounded to whole requests.
constexpr double kSmallShare = 4;
// Factor on the limit's rate when the demand exceeds it.
constexpr double kRateMargin = 1.08;

}  // namespace

ShareAllocator::ShareAllocator(const QuotaBounds& bounds, Micros lease)
    : bounds_(bounds), lease_(lease), window_(static_cast<Micros>(bounds.window_s * 1.02e6) + 1) {}

// Evenly spread requests leave the window gradually; those of a sidecar at its limit may all have come at the
// end of the window.
double ShareAllocator::Orphaned(Micros now, const SidecarState& state) const {
  if (state.orphaned_until <= now) return 0;
  const double remaining = static_cast<double>(state.orphaned_until - now) / static_cast<double>(window_);
  return state.orphaned * (state.orphaned_constant ? 1 : remaining);
}
// Whether the sidecar may need more than the base allowance.
bool ShareAllocator::ExceedsBase(const SidecarState& state, double base) {
  return state.expected + kDeviations * state.deviation > base;
}
double ShareAllocator::PerWindow(const Share& share) const {
  return share.burst + share.rate_per_s * bounds_.window_s;
}
double ShareAllocator::Bound(const TenantLimit& limit) const { return WindowBound(bounds_, limit); }
double ShareAllocator::Base(const TenantLimit& limit) const {
  return BaseAllowance(bounds_, limit, sidecars_);
}

void ShareAllocator::UpdateLimits(Micros, const std::map<std::string, TenantLimit>& limits) {
  for (auto it = tenants_.begin(); it != tenants_.end();) {
    const auto limit = limits.find(it->first);
    const bool keep = limit != limits.end() && limit->second.rate_per_s > 0;
    it = keep ? std::next(it) : tenants_.erase(it);
  }
  for (const auto& [name, limit] : limits) {
    if (limit.rate_per_s <= 0) continue;
    Tenant& tenant = tenants_[name];
    tenant.limit = limit;
    tenant.summed_at = -1;
  }
}

void ShareAllocator::SetSidecarCount(Micros, std::size_t count) {
  sidecars_ = std::max<std::size_t>(count, 1);
  for (auto& [name, tenant] : tenants_) tenant.summed_at = -1;
}

void ShareAllocator::OnBecameLeader(Micros now) {
  leader_since_ = now;
  last_report_.clear();
  for (auto& [name, tenant] : tenants_) {
    tenant.sidecar_states.clear();
    tenant.first_held = 0;
    tenant.summed_at = -1;
  }
}

void ShareAllocator::OnHeldShares(Micros now, const std::string& sidecar, const std::vector<Share>& held) {
  if (last_report_.size() >= kMaxSidecars && !last_report_.contains(sidecar)) return;
  const bool is_first = last_report_.insert_or_assign(sidecar, now).second;
  std::unordered_map<std::string_view, const Share*> by_tenant;
  for (const Share& share : held) by_tenant.emplace(share.tenant, &share);
  for (auto& [name, tenant] : tenants_) {
    const auto found = by_tenant.find(name);
    const Share* share = found == by_tenant.end() ? nullptr : found->second;
    if (share == nullptr && !is_first && !tenant.sidecar_states.contains(sidecar)) continue;
    const auto [state, is_new] = tenant.sidecar_states.try_emplace(sidecar);
    state->second.held_reported = true;
    state->second.held = share == nullptr ? Share{} : *share;
    if (is_new) tenant.summed_at = -1;
    if (!is_first) continue;
    const double per_window = share == nullptr ? 0 : PerWindow(*share);
    tenant.first_held += std::max(per_window, Base(tenant.limit)) - Base(tenant.limit);
    // Granted by a previous leader; its lease ends no later than one granted now.
    if (share != nullptr && state->second.grants.empty()) {
      state->second.grants.push_back({per_window, share->source_limit, now + lease_, share->rate_per_s > 0});
      state->second.first_acked = true;
    }
  }
}

// Upper bound of the requests that this sidecar admits in any window that is not over yet.
double ShareAllocator::Reserved(Micros now, const Tenant& tenant, const SidecarState& state) const {
  double reserved = Base(tenant.limit);
  for (const Grant& grant : state.grants) {
    if (grant.lease_end + window_ <= now) continue;
    // If the limit was lowered, shares of the old limit become void as the change reaches the sidecars.
    const bool limit_lowered =
        !(grant.source_limit == tenant.limit) && Bound(grant.source_limit) > Bound(tenant.limit);
    reserved = std::max(
        reserved, grant.per_window * (limit_lowered ? Bound(tenant.limit) / Bound(grant.source_limit) : 1));
  }
  if (state.reported_at + window_ > now) reserved = std::max(reserved, state.used);
  return reserved + Orphaned(now, state);
}

// Requests that may be granted in total. A new leader is limited to the reported shares at first; the rest
// becomes available as unreported leases and the window after them run out. Sidecars that started recently
// may have had a predecessor.
double ShareAllocator::Total(Micros now, const Tenant& tenant) const {
  const double bound = Bound(tenant.limit);
  const bool all_reported = last_report_.size() >= sidecars_;
  double fraction =
      all_reported
          ? StartupFraction(now - leader_since_, window_)
          : std::clamp(static_cast<double>(now - leader_since_ - lease_) / static_cast<double>(window_), 0.0,
                       1.0);
  // Shares of a few requests may be used up in an instant, so their use does not leave the window gradually.
  const bool few_requests = bound < kSmallShare * static_cast<double>(sidecars_);
  if (few_requests && fraction < 1) fraction = 0;
  const double base = Base(tenant.limit) * static_cast<double>(sidecars_);
  return std::min(bound, std::max(tenant.first_held + base, bound * fraction));
}

void ShareAllocator::UpdateSums(Micros now, Tenant& tenant) const {
  // The cost grows with the number of sidecars, so the sums are kept longer.
  const Micros sums_age = kSumsAge * static_cast<Micros>(1 + sidecars_ / 64);
  if (tenant.summed_at >= 0 && now - tenant.summed_at < sums_age) return;
  tenant.summed_at = now;
  tenant.reserved = tenant.expected = tenant.deviation = tenant.requested_per_s = 0;
  for (auto it = tenant.sidecar_states.begin(); it != tenant.sidecar_states.end();) {
    SidecarState& state = it->second;
    std::erase_if(state.grants, [&](const Grant& entry) {
      const bool expired = entry.lease_end + window_ <= now;
      if (expired && &entry == state.grants.data()) state.first_acked = false;
      return expired;
    });
    if (state.reported_at + window_ <= now) state.used = state.expected = state.requested_per_s = 0;
    if (state.grants.empty() && state.reported_at + window_ <= now && state.orphaned_until <= now &&
        !state.held_reported) {
      it = tenant.sidecar_states.erase(it);  // from now on counted as a sidecar without a report
      continue;
    }
    AddToSums(now, tenant, state, 1);
    ++it;
  }
}

// Applies a sidecar's report: which grant it holds, and how many requests it has admitted.
void ShareAllocator::ApplyReport(Micros now, const TenantLimit& limit, SidecarState& state,
                                 const Demand* demand) const {
  const double used = demand == nullptr ? 0 : demand->admitted_in_window;
  if (state.held_reported) {
    state.held_reported = false;
    const bool no_share = state.held.tenant.empty();
    const double per_window = PerWindow(state.held);
    // The earliest grant that matches the held share; earlier grants can't come into force again.
    const auto in_force =
        no_share ? state.grants.end()
                 : std::find_if(state.grants.begin(), state.grants.end(), [&](const Grant& entry) {
                     return std::abs(entry.per_window - per_window) < 1e-6 &&
                            entry.source_limit == state.held.source_limit;
                   });
    if (in_force != state.grants.end()) {
      state.grants.erase(state.grants.begin(), in_force);
      state.first_acked = true;
    } else if (!no_share) {
      state.grants.insert(state.grants.begin(),
                          {per_window, state.held.source_limit, now + lease_, state.held.rate_per_s > 0});
      state.first_acked = true;
    } else if (state.first_acked && !state.grants.empty()) {
      // The sidecar no longer holds its share: the share ended or became void, or the process restarted.
      // After a restart, what the previous process may have admitted stays counted for a window. A process
      // that reports most of the previous use has not restarted.
      const Grant& previous = state.grants.front();
      const double used_before = state.reported_at + window_ > now ? state.used : 0;
      const bool share_ended = previous.lease_end < now + lease_ / 2 || !(previous.source_limit == limit);
      // A few requests are not enough to detect a restart.
      const bool few_requests = previous.per_window < kSmallShare;
      const bool same_process =
          used_before >= kMinUseToCompare ? used >= used_before / 2 : share_ended && !few_requests;
      if (!same_process && previous.lease_end + window_ > now) {
        const double elapsed = static_cast<double>(now - state.reported_at) / static_cast<double>(window_);
        const double unreported = 2 * state.expected * elapsed + kUnreportedUse * previous.per_window;
        // The previous process may have used a small share up just before it ended: all of it counts as used.
        const bool use_all = previous.has_rate || few_requests;
        state.orphaned =
            Orphaned(now, state) +
            std::min(previous.per_window, use_all ? previous.per_window : used_before + unreported);
        state.orphaned_until = now + window_;
        state.orphaned_constant = use_all;
      }
      // Grants sent to a process that has ended never come into force.
      state.grants.erase(state.grants.begin(),
                         same_process || share_ended ? state.grants.begin() + 1 : state.grants.end());
      state.first_acked = false;
    }
  }
  state.used = used;
  if (demand != nullptr && demand->unmet) state.unmet_until = now + kClientRetryTime;
  state.reported_at = now;
  state.requested_per_s = demand == nullptr ? 0 : demand->requested_per_s;
  // The window's rate is steadier. The recent rate is preferred where random variation does not explain the
  // difference.
  const double window_rate = used / bounds_.window_s, recent_rate = state.requested_per_s;
  const double allowed_difference =
      kRateDeviations * std::sqrt(std::max(window_rate, recent_rate) / kRateWindowS);
  state.expected = std::max(0.0, std::clamp(window_rate, recent_rate - allowed_difference,
                                            recent_rate + allowed_difference)) *
                   bounds_.window_s;
  state.deviation = std::sqrt(state.expected + 3);
}

// Small shares are rounded to whole requests, because a fraction of a request can't be used. A sidecar with
// demand gets at least one request; one without demand has its share rounded down.
double ShareAllocator::RoundToWholeRequests(Micros now, double per_window, double free, double base,
                                            const SidecarState& state) {
  const bool active = state.requested_per_s > 0;
  const double required = std::max(state.used + (now < state.unmet_until ? 1.0 : 0.0), active ? 1.0 : 0.0);
  const double desired = std::max(std::floor(per_window), required);
  return std::max(base, std::min(desired, std::floor(free)));
}

Share ShareAllocator::Allocate(Micros now, const std::string& name, Tenant& tenant,
                               SidecarState& state) const {
  const double base = Base(tenant.limit);
  const double sidecars = static_cast<double>(std::max(sidecars_, tenant.sidecar_states.size()));
  const double unreported_sidecars = base * (sidecars - static_cast<double>(tenant.sidecar_states.size()));
  const double total = Total(now, tenant);
  const double pool = std::max(0.0, total - base * sidecars), expected = std::max(0.0, state.expected - base);
  double per_window = base;
  if (tenant.expected > pool) {
    per_window += pool * expected / tenant.expected;
  } else {
    // First the expected demand, then a margin for random variation, then the surplus: partly in equal
    // shares, for demand that moves between sidecars, and partly in proportion to demand.
    const double deviations = tenant.deviation > 0
                                  ? std::min(kDeviations, (pool - tenant.expected) / tenant.deviation)
                                  : kDeviations;
    const double surplus = std::max(0.0, pool - tenant.expected - deviations * tenant.deviation);
    const double need_fraction = tenant.expected > 0 ? expected / tenant.expected : 1 / sidecars;
    per_window = std::max(base, state.expected + deviations * state.deviation);
    per_window += surplus * (kEqualFraction / sidecars + (1 - kEqualFraction) * need_fraction);
  }
  const double reserved_by_others = tenant.reserved - Reserved(now, tenant, state) + unreported_sidecars;
  double free = total - reserved_by_others - Orphaned(now, state);
  // A share that the sidecar holds already may be renewed before all reports are in: the previous leader
  // granted it within the bound.
  if (total < Bound(tenant.limit) && state.first_acked && state.grants.front().source_limit == tenant.limit) {
    free = std::max(free, state.grants.front().per_window);
  }
  per_window = std::max(base, std::min(per_window, free));
  const bool is_small = per_window < kSmallShare;
  if (is_small) per_window = RoundToWholeRequests(now, per_window, free, base, state);

  while (state.grants.size() >= kMaxGrants) {
    Grant& second = state.grants[state.first_acked ? 1 : 0];
    Grant& third = state.grants[state.first_acked ? 2 : 1];
    third.per_window = std::max(third.per_window, second.per_window);
    third.lease_end = std::max(third.lease_end, second.lease_end);
    state.grants.erase(state.grants.begin() + (state.first_acked ? 1 : 0));
  }
  // If demand exceeds the limit, the share gets a rate. Otherwise it would be used up at once and all
  // requests in the rest of the window would be rejected.
  double rate = 0;
  if (!is_small && tenant.requested_per_s > tenant.limit.rate_per_s) {
    rate = tenant.limit.rate_per_s * kRateMargin *
           std::max(state.requested_per_s / tenant.requested_per_s, 1 / sidecars);
  }
  Share share{name, rate, per_window - rate * bounds_.window_s, tenant.limit};
  state.grants.push_back({per_window, tenant.limit, now + lease_, rate > 0});
  return share;
}

std::vector<Share> ShareAllocator::OnDemand(Micros now, const std::string& sidecar,
                                            const std::vector<Demand>& demand) {
  std::vector<Share> shares;
  if (last_report_.size() >= kMaxSidecars && !last_report_.contains(sidecar)) return shares;
  last_report_[sidecar] = now;
  ExpireSidecars(now);
  std::unordered_map<std::string_view, const Demand*> by_tenant;
  for (const Demand& one : demand) by_tenant.emplace(one.tenant, &one);
  const bool for_all = tenants_.size() * sidecars_ <= kMaxSharesForAll;
  for (auto& [name, tenant] : tenants_) {
    const auto report = by_tenant.find(name);
    if (report == by_tenant.end() && !for_all && !tenant.sidecar_states.contains(sidecar)) continue;
    UpdateSums(now, tenant);
    const auto [it, is_new] = tenant.sidecar_states.try_emplace(sidecar);
    SidecarState& state = it->second;
    if (!is_new) AddToSums(now, tenant, state, -1);
    ApplyReport(now, tenant.limit, state, report == by_tenant.end() ? nullptr : report->second);
    AddToSums(now, tenant, state, 1);
    if (report == by_tenant.end() && !for_all) continue;  // its lease expires
    const double reserved_before = Reserved(now, tenant, state);
    shares.push_back(Allocate(now, name, tenant, state));
    tenant.reserved += Reserved(now, tenant, state) - reserved_before;
  }
  return shares;
}

void ShareAllocator::AddToSums(Micros now, Tenant& tenant, const SidecarState& state, int sign) const {
  tenant.reserved += sign * Reserved(now, tenant, state);
  if (ExceedsBase(state, Base(tenant.limit))) {
    tenant.expected += sign * std::max(0.0, state.expected - Base(tenant.limit));
    tenant.deviation += sign * state.deviation;
  }
  tenant.requested_per_s += sign * state.requested_per_s;
}

void ShareAllocator::ExpireSidecars(Micros now) {
  if (now - last_expiry_ < kSidecarTimeout / 8) return;
  last_expiry_ = now;
  std::erase_if(last_report_, [&](const auto& one) { return now - one.second >= kSidecarTimeout; });
}

// The sidecar's grants stay reserved until their leases end, because it may only be disconnected.
void ShareAllocator::OnSidecarGone(Micros, const std::string& sidecar) {
  for (auto& [name, tenant] : tenants_) {
    const auto it = tenant.sidecar_states.find(sidecar);
    if (it == tenant.sidecar_states.end()) continue;
    it->second.expected = it->second.requested_per_s = 0;
    it->second.held_reported = false;
    tenant.summed_at = -1;
  }
}

}  // namespace fennelhollow::quota
