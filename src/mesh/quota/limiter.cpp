#include <cmath>
#include <utility>

#include "mesh/quota/quota.hpp"
#include "mesh/quota/window_limits.hpp"

namespace fennelhollow::quota {

namespace {

constexpr double kSecond = 1e6;
constexpr double kLeastBurstS = 0.25;   // of a share's rate may come at once
constexpr double kDemandMemoryS = 0.6;  // requested_per_s forgets by this time constant

double Seconds(Micros span) { return static_cast<double>(std::max<Micros>(span, 0)) / kSecond; }

}  // namespace

Limiter::Limiter(const QuotaBounds& bounds) : bounds_(bounds) {
  slot_ = std::max<Micros>(1, static_cast<Micros>(std::ceil(bounds.window_s * kSecond / kSlots)));
}

void Limiter::UpdateLimits(Micros now, const std::map<std::string, TenantLimit>& limits) {
  if (born_ < 0) born_ = now;
  for (auto it = buckets_.begin(); it != buckets_.end();) {
    const auto limit = limits.find(it->first);
    const bool stays = limit != limits.end() && limit->second.rate_per_s > 0;
    it = stays ? std::next(it) : buckets_.erase(it);
  }
  for (const auto& [tenant, limit] : limits) {
    if (limit.rate_per_s <= 0) continue;
    Bucket& bucket = buckets_[tenant];
    if (bucket.limit == limit) continue;
    bucket.limit = limit;
    bucket.share = {};  // void for good, also if its limit comes back: the holder counts on it
    if (bucket.until == 0) {
      bucket.slot = now / slot_;
      bucket.filled = bucket.told = now;
    }
  }
}

void Limiter::SetSidecarCount(Micros now, std::size_t count) {
  if (born_ < 0) born_ = now;
  sidecars_ = std::max<std::size_t>(count, 1);
}

// What counts now: the share while its lease lasts and its limit is in force, else the cautious part.
Limiter::Allowance Limiter::Now(Micros now, const Bucket& bucket) const {
  if (now < bucket.until && bucket.share.source_limit == bucket.limit) {
    const double rate = bucket.share.rate_per_s;
    return {bucket.share.burst + rate * bounds_.window_s, rate,
            std::max({bucket.share.burst, rate * kLeastBurstS, 1.0})};
  }
  const double base = BasePart(bounds_, bucket.limit, sidecars_);
  return {base * FreshPart(now - born_, slot_ * kSlots), 0, base};
}

void Limiter::Slide(Micros now, Bucket& bucket) const {
  const std::int64_t slot = now / slot_;
  if (slot <= bucket.slot) return;
  if (slot - bucket.slot > kSlots) {
    bucket.let_in.fill(0);
    bucket.used = 0;
    bucket.slot = slot;
  }
  while (bucket.slot < slot) {
    std::uint32_t& oldest = bucket.let_in[static_cast<std::size_t>(++bucket.slot % (kSlots + 1))];
    bucket.used -= oldest;
    oldest = 0;
  }
}

void Limiter::OnShares(Micros now, const std::vector<Share>& shares, Micros until) {
  if (born_ < 0) born_ = now;
  if (until <= now) return;
  for (const Share& share : shares) {
    const auto it = buckets_.find(share.tenant);
    // An answer overtaken by that to a later question is dropped: the holder may have given the difference
    // away.
    if (it == buckets_.end() || until < it->second.until || !(share.source_limit == it->second.limit))
      continue;
    Bucket& bucket = it->second;
    Slide(now, bucket);
    const Allowance before = Now(now, bucket);
    bucket.share = share;
    bucket.until = until;
    const Allowance after = Now(now, bucket);
    const double filled = before.rate_per_s > 0
                              ? bucket.level + before.rate_per_s * Seconds(now - bucket.filled)
                              : after.window - bucket.used;
    bucket.level = std::clamp(filled, 0.0, after.burst);
    bucket.filled = now;
  }
}

bool Limiter::TryAcquire(Micros now, std::string_view tenant) {
  const auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return true;
  Bucket& bucket = it->second;
  Slide(now, bucket);
  ++bucket.asked;
  const Allowance allowance = Now(now, bucket);
  if (bucket.used + 1 > allowance.window) {
    bucket.refused = true;
    return false;
  }
  if (allowance.rate_per_s > 0) {
    bucket.level =
        std::min(allowance.burst, bucket.level + allowance.rate_per_s * Seconds(now - bucket.filled));
    bucket.filled = now;
    if (bucket.level < 1) return false;
    bucket.level -= 1;
  }
  ++bucket.used;
  ++bucket.let_in[static_cast<std::size_t>(bucket.slot % (kSlots + 1))];
  return true;
}

Micros Limiter::RetryAfter(Micros now, std::string_view tenant) const {
  const auto it = buckets_.find(tenant);
  if (it == buckets_.end()) return 0;
  const Bucket& bucket = it->second;
  const Allowance allowance = Now(now, bucket);
  const double per_s = allowance.rate_per_s > 0 ? allowance.rate_per_s : allowance.window / bounds_.window_s;
  // The clients that are refused come back together: one place in time for each that was asked lately.
  const double behind = 1 + std::max(0.0, bucket.requested_per_s - per_s) * 0.25;
  return static_cast<Micros>(std::clamp(behind / std::max(per_s, 0.1), 0.05, bounds_.window_s) * kSecond);
}

std::vector<Demand> Limiter::TakeDemand(Micros now) {
  std::vector<Demand> told;
  for (auto& [tenant, bucket] : buckets_) {
    Slide(now, bucket);
    const double span = Seconds(now - bucket.told);
    if (span > 0) {
      const double lately = bucket.asked / span;
      bucket.requested_per_s += (lately - bucket.requested_per_s) * (1 - std::exp(-span / kDemandMemoryS));
      bucket.asked = 0;
      bucket.told = now;
    }
    if (bucket.requested_per_s < 0.01 && bucket.used == 0) continue;
    told.push_back({tenant, bucket.requested_per_s, static_cast<double>(bucket.used),
                    std::exchange(bucket.refused, false)});
  }
  return told;
}

std::vector<Share> Limiter::HeldShares(Micros now) const {
  std::vector<Share> held;
  for (const auto& [tenant, bucket] : buckets_) {
    if (now < bucket.until && bucket.share.source_limit == bucket.limit) held.push_back(bucket.share);
  }
  return held;
}

}  // namespace fennelhollow::quota
