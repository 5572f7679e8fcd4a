#include "mesh/quota/quota.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>

namespace fennelhollow::quota {
namespace {

constexpr Micros kMs = 1'000, kSecond = 1'000'000, kLease = 6 * kSecond, kReportInterval = 300 * kMs;
const unsigned kSeeds = 12;
using Limits = std::map<std::string, TenantLimit>;

// Simulates sidecars and their leader in virtual time, in steps of a millisecond. Records every admitted
// request.
class Fleet {
 public:
  struct Count {
    std::vector<Micros> admitted;
    std::int64_t requested = 0, rejected = 0;
  };
  Fleet(std::size_t sidecars, Limits limits, unsigned seed)
      : limits_(std::move(limits)), random_(seed), sidecars_(sidecars) {
    for (std::size_t i = 0; i < sidecars; ++i) Start(i, static_cast<Micros>(random_() % 300) * kMs);
    ChangeLeader();
  }
  void ChangeLeader() {
    ++epoch_;
    allocator_ = std::make_unique<ShareAllocator>(bounds, kLease);
    allocator_->UpdateLimits(now, limits_);
    allocator_->SetSidecarCount(now, sidecars_.size());
    allocator_->OnBecameLeader(now);
  }
  void Start(std::size_t i, Micros after = 0) {
    Sidecar& sidecar = sidecars_[i];
    sidecar = {std::make_unique<Limiter>(bounds), now + after, sidecar.incarnation + 1, 0, now};
    sidecar.limiter->SetSidecarCount(now, sidecars_.size());
    sidecar.limiter->UpdateLimits(now, limits_);
  }
  void Freeze(std::size_t i, Micros span) { sidecars_[i].frozen_until = now + span; }
  void ChangeLimits(const Limits& limits) {  // arrives at the leader and the sidecars at different times
    limits_ = limits;
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      Schedule(Delay(), [this, i, limits] {
        sidecars_[i].limiter->UpdateLimits(now, limits);
        sidecars_[i].next_report = now;
      });
    }
    Schedule(Delay(), [this, limits] { allocator_->UpdateLimits(now, limits); });
  }
  // `demand` returns the requests per second of a tenant at a sidecar.
  void Run(double seconds, const std::function<double(const std::string&, std::size_t)>& demand) {
    std::map<std::string, std::vector<double>> mean;
    for (const Micros end = now + static_cast<Micros>(seconds * 1e6); now < end; now += kMs) {
      for (auto due = scheduled_.begin(); due != scheduled_.end() && due->first <= now;
           due = scheduled_.erase(due))
        due->second();
      if (now % (20 * kMs) == 0) {
        for (const auto& [tenant, limit] : limits_) {
          mean[tenant].clear();
          for (std::size_t i = 0; i < sidecars_.size(); ++i) mean[tenant].push_back(demand(tenant, i));
        }
      }
      for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        if (sidecars_[i].frozen_until > now) continue;
        if (now >= sidecars_[i].next_report) Report(i);
        for (const auto& [tenant, rates] : mean) Arrive(i, tenant, rates[i] * 1e-3);
      }
    }
  }
  double RejectedFraction(const std::string& tenant) const {
    const Count& count = counts.at(tenant);
    return count.requested == 0 ? 0
                                : static_cast<double>(count.rejected) / static_cast<double>(count.requested);
  }
  void ResetCounts() {  // keeps the admitted requests
    for (auto& [tenant, count] : counts) count.requested = count.rejected = 0;
  }
  std::int64_t Admitted(const std::string& tenant, Micros since) {
    const auto& all = counts[tenant].admitted;
    return all.end() - std::lower_bound(all.begin(), all.end(), since);
  }
  // Most requests admitted in any window, relative to the bound.
  double FullestWindow(const std::string& tenant, Micros since = 0) const {
    const auto& all = counts.at(tenant).admitted;
    const TenantLimit limit = limits_.at(tenant);
    const double bound =
        (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.overshoot) + bounds.slack;
    std::size_t max_admitted = 0;
    auto window_begin = std::lower_bound(all.begin(), all.end(), since);
    for (auto last = window_begin; last != all.end(); ++last) {
      while (*last - *window_begin > static_cast<Micros>(bounds.window_s * 1e6)) ++window_begin;
      max_admitted = std::max(max_admitted, static_cast<std::size_t>(last - window_begin) + 1);
    }
    return static_cast<double>(max_admitted) / bound;
  }

  const QuotaBounds bounds;
  Micros now = 100 * kSecond;
  std::map<std::string, Count> counts;
  double loss_rate = 0;                    // fraction of messages lost
  std::vector<Micros> disconnected_until;  // by sidecar: disconnected until then
  bool leader_up = true;
  int max_tries = 1;                   // per request of a client
  Micros max_retry_pause = 600 * kMs;  // longest pause between tries

 private:
  struct Sidecar {
    std::unique_ptr<Limiter> limiter;
    Micros next_report = 0;
    int incarnation = 0;
    Micros frozen_until = 0, last = 0;
  };
  Micros Delay() { return (1 + static_cast<Micros>(random_() % 20)) * kMs; }
  void Schedule(Micros after, std::function<void()> action) {
    scheduled_.emplace(now + after, std::move(action));
  }
  bool IsLost(std::size_t i) {
    return (i < disconnected_until.size() && disconnected_until[i] > now) ||
           std::uniform_real_distribution<>()(random_) < loss_rate;
  }
  void Report(std::size_t i) {
    Sidecar& sidecar = sidecars_[i];
    sidecar.next_report = now + kReportInterval;
    const auto held = sidecar.limiter->HeldShares(now);
    const auto demand_report = sidecar.limiter->TakeDemand(now);
    if (IsLost(i) || !leader_up) return;
    // Some replies are delayed by seconds, so that later ones overtake them.
    const Micros reply_delay = random_() % 50 == 0 ? 2 * kSecond : Delay();
    Schedule(Delay(), [this, i, held, demand_report, reply_delay, requested_at = now,
                       incarnation = sidecar.incarnation, epoch = epoch_] {
      if (epoch != epoch_) return;
      const std::string name = "sidecar-" + std::to_string(i);
      allocator_->OnHeldShares(now, name, held);
      const auto shares = allocator_->OnDemand(now, name, demand_report);
      if (IsLost(i)) return;
      Schedule(reply_delay, [this, i, shares, requested_at, incarnation] {
        Sidecar& to = sidecars_[i];
        if (to.incarnation != incarnation) return;
        if (to.frozen_until > now) {
          Schedule(to.frozen_until - now, [this, i, shares, requested_at] {
            sidecars_[i].limiter->OnShares(now, shares, requested_at + kLease);
          });
        } else {
          to.limiter->OnShares(now, shares, requested_at + kLease);
        }
      });
    });
  }
  void Arrive(std::size_t i, const std::string& tenant, double mean) {
    if (mean <= 0) return;
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
      ++counts[tenant].requested;
      Try(i, tenant, max_tries);
    }
  }
  // A rejected client retries after RetryAfter, if it has tries left.
  void Try(std::size_t i, const std::string& tenant, int left) {
    Count& count = counts[tenant];
    const Limiter& limiter = *sidecars_[i].limiter;
    if (sidecars_[i].limiter->TryAcquire(now, tenant)) return count.admitted.push_back(now);
    if (left <= 1) return static_cast<void>(++count.rejected);
    const Micros retry_after = std::min(limiter.RetryAfter(now, tenant), max_retry_pause);
    Schedule(retry_after, [this, i, tenant, left] { Try(i, tenant, left - 1); });
  }

  Limits limits_;
  std::mt19937 random_;
  std::unique_ptr<ShareAllocator> allocator_;
  int epoch_ = 0;
  std::multimap<Micros, std::function<void()>> scheduled_;
  std::vector<Sidecar> sidecars_;
};

const Limits kSparse = {{"most", {30, 30}}, {"some", {8, 8}}, {"few", {3, 3}}, {"rare", {0.8, 0.8}}};

const Limits kLimits = {{"large", {324, 324}}, {"middle", {90, 90}}, {"small", {20, 20}}};
double NormalDemand(const std::string& tenant) { return kLimits.at(tenant).rate_per_s / 1.6; }
double SkewedDemand(const std::string& tenant, std::size_t i) {  // a few sidecars have most of the demand
  static const double weights[14] = {8, 5, 3, 2, 2, 1, 1, 1, 1, 1, 0.5, 0.5, 0.25, 0.1};
  return NormalDemand(tenant) * weights[(i + tenant.size()) % 14] / 26.35;
}

TEST_CASE("Normal demand is admitted: at startup, skewed, moving, and without a leader") {
  std::map<std::string, std::map<std::string, std::pair<double, double>>> phases;  // rejected, requested
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Fleet fleet(14, kLimits, seed);
    const auto phase = [&](const std::string& name) {
      for (auto& [tenant, count] : fleet.counts) {
        phases[name][tenant].first += static_cast<double>(count.rejected);
        phases[name][tenant].second += static_cast<double>(count.requested);
      }
      fleet.ResetCounts();
    };
    fleet.Run(8, [](const std::string&, std::size_t) { return 0; });
    fleet.Run(3, SkewedDemand);
    phase("start");
    fleet.Run(30, SkewedDemand);
    phase("steady");
    for (std::size_t turn = 0; turn < 10; ++turn) {
      // Within a second the demand of one sidecar moves to another.
      const std::size_t from = turn * 3 % 14, to = (turn * 3 + 3) % 14;
      const Micros since = fleet.now;
      fleet.Run(4, [&](const std::string& tenant, std::size_t i) {
        const double moved = std::min(1.0, static_cast<double>(fleet.now - since) / 1e6);
        const double even = NormalDemand(tenant) * 0.6 / 14, moving_demand = NormalDemand(tenant) * 0.4;
        return even + (i == from ? moving_demand * (1 - moved) : i == to ? moving_demand * moved : 0);
      });
    }
    phase("moving");
    fleet.Run(6, SkewedDemand);
    fleet.ResetCounts();
    fleet.leader_up = false;
    fleet.Run(3, SkewedDemand);
    fleet.leader_up = true;
    fleet.ChangeLeader();
    fleet.Run(6, SkewedDemand);
    phase("holder");
    for (const std::size_t hit : {1U, 7U, 2U}) {
      fleet.Start(hit, 200 * kMs);
      fleet.Run(3, SkewedDemand);
    }
    phase("restart");
    for (const auto& [tenant, limit] : kLimits) CHECK(fleet.FullestWindow(tenant) <= 1);
  }
  const std::map<std::string, double> max_allowed = {
      {"start", 0.03}, {"steady", 0.005}, {"moving", 0.03}, {"holder", 0.03}, {"restart", 0.03}};
  for (const auto& [name, tenants] : phases) {
    for (const auto& [tenant, count] : tenants) {
      INFO(name << " " << tenant);
      CHECK(count.first / count.second <= max_allowed.at(name));
    }
  }
}

// Regression test: with shares below one request, a tenant whose requests were spread over many sidecars was
// rejected entirely.
TEST_CASE("A tenant with fewer requests than sidecars is served") {
  for (unsigned seed = 0; seed < 3; ++seed) {
    Fleet fleet(65, kSparse, seed);
    fleet.max_tries = 3;
    const auto normal_demand = [](const std::string& tenant, std::size_t) {
      return kSparse.at(tenant).rate_per_s / 1.6 / 65;
    };
    fleet.Run(8, [](const std::string&, std::size_t) { return 0; });
    fleet.Run(60, normal_demand);
    for (const auto& [tenant, limit] : kSparse) {
      INFO(tenant << " seed " << seed << " rejected " << fleet.RejectedFraction(tenant) << " of "
                  << fleet.counts.at(tenant).requested);
      CHECK(fleet.RejectedFraction(tenant) <= 0.1);
      CHECK(fleet.FullestWindow(tenant) <= 1);
    }
  }
}

TEST_CASE("A tenant at ten times its normal demand gets its limit, and others are not affected") {
  for (const bool at_one : {false, true}) {
    Fleet fleet(14, kLimits, 2);
    fleet.Run(8, SkewedDemand);
    fleet.ResetCounts();
    const Micros since = fleet.now;
    fleet.Run(10, [&](const std::string& tenant, std::size_t i) {
      if (tenant != "large") return SkewedDemand(tenant, i);
      return at_one ? (i == 5 ? 10 * NormalDemand(tenant) : 0) : 10 * SkewedDemand(tenant, i);
    });
    const double admitted_fraction = static_cast<double>(fleet.Admitted("large", since)) / (10 * 324.0);
    INFO("one " << at_one << " admitted " << admitted_fraction << " fullest " << fleet.FullestWindow("large")
                << " others " << fleet.RejectedFraction("middle") << " " << fleet.RejectedFraction("small"));
    CHECK(admitted_fraction >= 0.9);
    CHECK(fleet.FullestWindow("large") <= 1);
    CHECK(fleet.RejectedFraction("middle") <= 0.005);
    CHECK(fleet.RejectedFraction("small") <= 0.005);
  }
}

// Simulates restarts, pauses, disconnects, message loss and leader changes, at up to `max_load` times the
// normal demand. Returns the fullest window of any tenant, relative to the bound.
double FullestWindowUnderFailures(
    const Limits& limits, std::size_t sidecars, double max_load, unsigned seed,
    const std::function<double(const std::string&, std::size_t)>& normal_demand) {
  Fleet fleet(sidecars, limits, seed);
  fleet.loss_rate = seed % 3 * 0.1;
  fleet.disconnected_until.assign(sidecars, 0);
  std::mt19937 random(seed);
  fleet.Run(3, normal_demand);
  for (int turn = 0; turn < 15; ++turn) {
    const std::size_t hit = random() % sidecars;
    switch (random() % 8) {
      case 0:
        fleet.Start(hit, 200 * kMs);
        break;
      case 1:
        fleet.Freeze(hit, static_cast<Micros>(random() % 12) * kSecond);
        break;
      case 2:
        fleet.disconnected_until[hit] = fleet.now + static_cast<Micros>(random() % 15) * kSecond;
        break;
      case 3:
        fleet.ChangeLeader();
        break;
      case 4:
        fleet.leader_up = !fleet.leader_up;
        break;
      case 5:
        for (std::size_t i = 0; i < sidecars; ++i)
          fleet.Start(i, static_cast<Micros>(500 + random() % 500) * kMs);
        if (random() % 2 == 0) fleet.ChangeLeader();
        break;
      default:
        break;
    }
    const double times = random() % 2 == 0 ? max_load : 1;
    const std::size_t only = random() % 3 == 0 ? random() % sidecars : sidecars;
    fleet.Run(static_cast<double>(random() % 30) / 10, [&](const std::string& tenant, std::size_t i) {
      if (only == sidecars) return times * normal_demand(tenant, i);
      return i == only ? times * limits.at(tenant).rate_per_s / 1.6 : 0;
    });
  }
  double fullest = 0;
  for (const auto& [tenant, limit] : limits)
    if (fleet.counts.contains(tenant)) fullest = std::max(fullest, fleet.FullestWindow(tenant));
  return fullest;
}

TEST_CASE("The bound holds in every window despite failures of sidecars, messages and the leader") {
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(FullestWindowUnderFailures(kLimits, 11 + seed % 4, 10, seed, SkewedDemand) <= 1);
  }
}

TEST_CASE("The bound holds for tenants with fewer requests than sidecars, despite failures") {
  const auto even = [](const std::string& tenant, std::size_t) {
    return kSparse.at(tenant).rate_per_s / 1.6 / 65;
  };
  const char* seeds = std::getenv("QUOTA_CHAOS_SEEDS");
  const unsigned count = seeds == nullptr ? 4 : static_cast<unsigned>(std::atoi(seeds));
  for (unsigned seed = 0; seed < count; ++seed) {
    INFO("seed " << seed);
    CHECK(FullestWindowUnderFailures(kSparse, 65, 15, seed, even) <= 1);
  }
}

TEST_CASE("Used and granted capacity stays counted until it expires, and no longer") {
  Fleet fleet(14, kLimits, 5);
  fleet.disconnected_until.assign(14, 0);
  const auto at = [](std::size_t one, std::size_t other) {
    return [=](const std::string& tenant, std::size_t i) {
      return i == one || i == other ? 10 * NormalDemand(tenant) : 0;
    };
  };
  for (const std::size_t one : {5U, 9U, 2U, 5U}) fleet.Run(one == 2 ? 2 : 6, at(one, one));
  fleet.disconnected_until[5] = fleet.now + 40 * kSecond;
  fleet.Run(20, at(9, 9));  // the lease of the disconnected sidecar ends, and another one gets its share
  const Micros since = fleet.now;
  fleet.Run(8, at(5, 9));
  for (const auto& [tenant, limit] : kLimits) {
    CHECK(fleet.FullestWindow(tenant) <= 1);
    CHECK(static_cast<double>(fleet.Admitted(tenant, since)) >= 0.9 * 8 * limit.rate_per_s);
  }
}

TEST_CASE("A changed limit is in force a window later, and normal demand is still admitted") {
  Fleet fleet(14, kLimits, 4);
  fleet.Run(8, SkewedDemand);
  fleet.ResetCounts();
  Limits changed = kLimits;
  changed["large"] = {230, 230};
  changed["small"] = {40, 40};
  fleet.ChangeLimits(changed);
  fleet.Run(8, SkewedDemand);
  INFO("rejected " << fleet.RejectedFraction("large") << " " << fleet.RejectedFraction("small"));
  CHECK(fleet.RejectedFraction("large") <= 0.06);
  CHECK(fleet.RejectedFraction("small") <= 0.06);
  const Micros since = fleet.now;
  fleet.Run(12, [](const std::string& tenant, std::size_t i) { return 10 * SkewedDemand(tenant, i); });
  for (const auto& [tenant, limit] : changed) CHECK(fleet.FullestWindow(tenant, since) <= 1);
}

TEST_CASE("The retry budget holds in every window, and is used") {
  const RetryBudget::Bounds bounds;
  for (unsigned seed = 0; seed < 8; ++seed) {
    std::mt19937 random(seed);
    RetryBudget budget(bounds);
    budget.SetSidecarCount(14);
    std::vector<std::pair<Micros, double>> requests, retries;
    double admitted = 0;
    for (Micros now = 0; now < 60 * kSecond; now += 1 + static_cast<Micros>(random() % 20) * kMs) {
      const bool many_requests = now / (7 * kSecond) % 2 == 0;
      if (random() % (many_requests ? 2 : 10) == 0) {
        budget.OnRequest(now);
        requests.emplace_back(now, 1);
      }
      const double cost = random() % 4 == 0 ? 1.5 : 1;
      if (!budget.TryAcquire(now, cost)) continue;
      admitted += cost;
      retries.emplace_back(now, cost);
      const auto sum = [&](const std::vector<std::pair<Micros, double>>& all) {
        double total = 0;
        for (auto it = all.rbegin(); it != all.rend() && it->first > now - bounds.window; ++it)
          total += it->second;
        return total;
      };
      REQUIRE(sum(retries) <= bounds.ratio * sum(requests) + bounds.slack / 14);
    }
    CHECK(admitted >= 0.6 * bounds.ratio * static_cast<double>(requests.size()));
  }
}

}  // namespace
}  // namespace fennelhollow::quota
