#include <cmath>
#include <utility>

#include "mesh/quota/quota.hpp"
#include "mesh/quota/window_limits.hpp"

namespace fennelhollow::quota {

namespace {

constexpr double kSecond = 1e6;
constexpr double kMinBurstS = 0.25;  // burst of a share with a rate: at least this many seconds of the rate
constexpr double kDemandTimeConstantS = 0.6;  // of the exponential average requested_per_s

double Seconds(Micros elapsed) { return static_cast<double>(std::max<Micros>(elapsed, 0)) / kSecond; }

}  // namespace

Limiter::Limiter(const QuotaBounds& bounds) : bounds_(bounds) {
  slot_length_ = std::max<Micros>(1, static_cast<Micros>(std::ceil(bounds.window_s * kSecond / kSlots)));
}

void Limiter::UpdateLimits(Micros now, const std::map<std::string, TenantLimit>& limits) {
  if (started_at_ < 0) started_at_ = now;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    const auto limit = limits.find(it->first);
    const bool keep = limit != limits.end() && limit->second.rate_per_s > 0;
    it = keep ? std::next(it) : buckets_.erase(it);
  }
  for (const auto& [tenant, limit] : limits) {
    if (limit.rate_per_s <= 0) continue;
    Bucket& bucket = buckets_[tenant];
    if (bucket.limit == limit) continue;
    bucket.limit = limit;
    bucket.share = {};  // void even if the old limit returns later: the leader relies on it
    if (bucket.expires_at == 0) {
      bucket.newest_slot = now / slot_length_;
      bucket.refilled_at = bucket.demand_taken_at = now;
    }
  }
}

void Limiter::SetSidecarCount(Micros now, std::size_t count) {
  if (started_at_ < 0) started_at_ = now;
  sidecars_ = std::max<std::size_t>(count, 1);
}

// The share while its lease lasts and its limit is in force, otherwise the allowance without a lease.
Limiter::Allowance Limiter::CurrentAllowance(Micros now, const Bucket& bucket) const {
  if (now < bucket.expires_at && bucket.share.source_limit == bucket.limit) {
    const double rate = bucket.share.rate_per_s;
    return {bucket.share.burst + rate * bounds_.window_s, rate,
            std::max({bucket.share.burst, rate * kMinBurstS, 1.0})};
  }
  const double base = BaseAllowance(bounds_, bucket.limit, sidecars_);
  return {base * StartupFraction(now - started_at_, slot_length_ * kSlots), 0, base};
}

void Limiter::AdvanceWindow(Micros now, Bucket& bucket) const {
  const std::int64_t current_slot = now / slot_length_;
  if (current_slot <= bucket.newest_slot) return;
  if (current_slot - bucket.newest_slot > kSlots) {
    bucket.admitted.fill(0);
    bucket.used = 0;
    bucket.newest_slot = current_slot;
  }
  while (bucket.newest_slot < current_slot) {
    std::uint32_t& oldest = bucket.admitted[static_cast<std::size_t>(++bucket.newest_slot % (kSlots + 1))];
    bucket.used -= oldest;
    oldest = 0;
  }
}

void Limiter::OnShares(Micros now, const std::vector<Share>& shares, Micros expires_at) {
  if (started_at_ < 0) started_at_ = now;
  if (expires_at <= now) return;
  for (const Share& share : shares) {
    const auto it = buckets_.find(share.tenant);
    // Shares that arrive out of order are dropped: the leader may have granted the difference to others.
    if (it == buckets_.end() || expires_at < it->second.expires_at ||
        !(share.source_limit == it->second.limit))
      continue;
    Bucket& bucket = it->second;
    AdvanceWindow(now, bucket);
    const Allowance before = CurrentAllowance(now, bucket);
    bucket.share = share;
    bucket.expires_at = expires_at;
    const Allowance after = CurrentAllowance(now, bucket);
    const double refilled_tokens = before.rate_per_s > 0
                                       ? bucket.tokens + before.rate_per_s * Seconds(now - bucket.refilled_at)
                                       : after.per_window - bucket.used;
    bucket.tokens = std::clamp(refilled_tokens, 0.0, after.burst);
    bucket.refilled_at = now;
  }
}

bool Limiter::TryAcquire(Micros now, std::string_view tenant) {
  const auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return true;
  Bucket& bucket = it->second;
  AdvanceWindow(now, bucket);
  ++bucket.arrivals;
  const Allowance allowance = CurrentAllowance(now, bucket);
  if (bucket.used + 1 > allowance.per_window) {
    bucket.rejected = true;
    return false;
  }
  if (allowance.rate_per_s > 0) {
    bucket.tokens =
        std::min(allowance.burst, bucket.tokens + allowance.rate_per_s * Seconds(now - bucket.refilled_at));
    bucket.refilled_at = now;
    if (bucket.tokens < 1) return false;
    bucket.tokens -= 1;
  }
  ++bucket.used;
  ++bucket.admitted[static_cast<std::size_t>(bucket.newest_slot % (kSlots + 1))];
  return true;
}

Micros Limiter::RetryAfter(Micros now, std::string_view tenant) const {
  const auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return 0;
  const Bucket& bucket = it->second;
  const Allowance allowance = CurrentAllowance(now, bucket);
  const double per_s =
      allowance.rate_per_s > 0 ? allowance.rate_per_s : allowance.per_window / bounds_.window_s;
  // Spreads the retries of rejected clients over time in proportion to the excess rate.
  const double backlog_factor = 1 + std::max(0.0, bucket.requested_per_s - per_s) * 0.25;
  return static_cast<Micros>(std::clamp(backlog_factor / std::max(per_s, 0.1), 0.05, bounds_.window_s) *
                             kSecond);
}

std::vector<Demand> Limiter::TakeDemand(Micros now) {
  std::vector<Demand> demands;
  for (auto& [tenant, bucket] : buckets_) {
    AdvanceWindow(now, bucket);
    const double elapsed = Seconds(now - bucket.demand_taken_at);
    if (elapsed > 0) {
      const double recent = bucket.arrivals / elapsed;
      bucket.requested_per_s +=
          (recent - bucket.requested_per_s) * (1 - std::exp(-elapsed / kDemandTimeConstantS));
      bucket.arrivals = 0;
      bucket.demand_taken_at = now;
    }
    if (bucket.requested_per_s < 0.01 && bucket.used == 0) continue;
    demands.push_back({tenant, bucket.requested_per_s, static_cast<double>(bucket.used),
                       std::exchange(bucket.rejected, false)});
  }
  return demands;
}

std::vector<Share> Limiter::HeldShares(Micros now) const {
  std::vector<Share> held;
  for (const auto& [tenant, bucket] : buckets_) {
    if (now < bucket.expires_at && bucket.share.source_limit == bucket.limit) held.push_back(bucket.share);
  }
  return held;
}

}  // namespace fennelhollow::quota
