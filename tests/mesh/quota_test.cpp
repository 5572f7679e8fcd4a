#include "mesh/quota/quota.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>

namespace fennelhollow::quota {
namespace {

constexpr Micros kMs = 1'000, kSecond = 1'000'000, kLease = 6 * kSecond, kTell = 300 * kMs;
const unsigned kSeeds = 12;
using Limits = std::map<std::string, TenantLimit>;

// Sidecars and a holder in virtual time, in steps of a millisecond; every request let in is kept, and counted
// plainly.
class Fleet {
 public:
  struct Count {
    std::vector<Micros> let_in;
    std::int64_t asked = 0, refused = 0;
  };
  Fleet(std::size_t sidecars, Limits limits, unsigned seed)
      : limits_(std::move(limits)), random_(seed), sidecars_(sidecars) {
    for (std::size_t i = 0; i < sidecars; ++i) Start(i, static_cast<Micros>(random_() % 300) * kMs);
    ChangeHolder();
  }
  void ChangeHolder() {
    ++epoch_;
    cutter_ = std::make_unique<ShareAllocator>(bounds, kLease);
    cutter_->UpdateLimits(now, limits_);
    cutter_->SetSidecarCount(now, sidecars_.size());
    cutter_->OnBecameLeader(now);
  }
  void Start(std::size_t i, Micros after = 0) {
    Sidecar& s = sidecars_[i];
    s = {std::make_unique<Limiter>(bounds), now + after, s.life + 1, 0, now};
    s.gauge->SetSidecarCount(now, sidecars_.size());
    s.gauge->UpdateLimits(now, limits_);
  }
  void Freeze(std::size_t i, Micros span) { sidecars_[i].frozen = now + span; }
  void Change(const Limits& limits) {  // reaches holder and sidecars at different times
    limits_ = limits;
    for (std::size_t i = 0; i < sidecars_.size(); ++i) {
      At(Delay(), [this, i, limits] {
        sidecars_[i].gauge->UpdateLimits(now, limits);
        sidecars_[i].tells = now;
      });
    }
    At(Delay(), [this, limits] { cutter_->UpdateLimits(now, limits); });
  }
  // Demand in requests a second, of a tenant at a sidecar.
  void Run(double seconds, const std::function<double(const std::string&, std::size_t)>& demand) {
    std::map<std::string, std::vector<double>> mean;
    for (const Micros end = now + static_cast<Micros>(seconds * 1e6); now < end; now += kMs) {
      for (auto due = at_.begin(); due != at_.end() && due->first <= now; due = at_.erase(due)) due->second();
      if (now % (20 * kMs) == 0) {
        for (const auto& [tenant, limit] : limits_) {
          mean[tenant].clear();
          for (std::size_t i = 0; i < sidecars_.size(); ++i) mean[tenant].push_back(demand(tenant, i));
        }
      }
      for (std::size_t i = 0; i < sidecars_.size(); ++i) {
        if (sidecars_[i].frozen > now) continue;
        if (now >= sidecars_[i].tells) Tell(i);
        for (const auto& [tenant, rates] : mean) Arrive(i, tenant, rates[i] * 1e-3);
      }
    }
  }
  double Refused(const std::string& tenant) const {
    const Count& count = counts.at(tenant);
    return count.asked == 0 ? 0 : static_cast<double>(count.refused) / static_cast<double>(count.asked);
  }
  void Forget() {  // counts of what was asked and refused, not what was let in
    for (auto& [tenant, count] : counts) count.asked = count.refused = 0;
  }
  std::int64_t LetIn(const std::string& tenant, Micros since) {
    const auto& all = counts[tenant].let_in;
    return all.end() - std::lower_bound(all.begin(), all.end(), since);
  }
  // The fullest window since, as a part of the bound. 1 is the bound.
  double Fullest(const std::string& tenant, Micros since = 0) const {
    const auto& all = counts.at(tenant).let_in;
    const TenantLimit limit = limits_.at(tenant);
    const double bound =
        (limit.rate_per_s * bounds.window_s + limit.burst) * (1 + bounds.overshoot) + bounds.slack;
    std::size_t most = 0;
    auto first = std::lower_bound(all.begin(), all.end(), since);
    for (auto last = first; last != all.end(); ++last) {
      while (*last - *first > static_cast<Micros>(bounds.window_s * 1e6)) ++first;
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return static_cast<double>(most) / bound;
  }

  const QuotaBounds bounds;
  Micros now = 100 * kSecond;
  std::map<std::string, Count> counts;
  double lost = 0;          // part of the messages
  std::vector<Micros> cut;  // by sidecar: out of touch until then
  bool holder_up = true;
  int tries = 1;                 // of a client
  Micros most_wait = 600 * kMs;  // between two of them

 private:
  struct Sidecar {
    std::unique_ptr<Limiter> gauge;
    Micros tells = 0;
    int life = 0;
    Micros frozen = 0, last = 0;
  };
  Micros Delay() { return (1 + static_cast<Micros>(random_() % 20)) * kMs; }
  void At(Micros after, std::function<void()> what) { at_.emplace(now + after, std::move(what)); }
  bool Lost(std::size_t i) {
    return (i < cut.size() && cut[i] > now) || std::uniform_real_distribution<>()(random_) < lost;
  }
  void Tell(std::size_t i) {
    Sidecar& s = sidecars_[i];
    s.tells = now + kTell;
    const auto held = s.gauge->HeldShares(now);
    const auto told = s.gauge->TakeDemand(now);
    if (Lost(i) || !holder_up) return;
    // Now and then an answer stays away for seconds: later ones overtake it.
    const Micros back = random_() % 50 == 0 ? 2 * kSecond : Delay();
    At(Delay(), [this, i, held, told, back, asked = now, life = s.life, epoch = epoch_] {
      if (epoch != epoch_) return;
      const std::string name = "sidecar-" + std::to_string(i);
      cutter_->OnHeldShares(now, name, held);
      const auto shares = cutter_->OnDemand(now, name, told);
      if (Lost(i)) return;
      At(back, [this, i, shares, asked, life] {
        Sidecar& to = sidecars_[i];
        if (to.life != life) return;
        if (to.frozen > now) {
          At(to.frozen - now,
             [this, i, shares, asked] { sidecars_[i].gauge->OnShares(now, shares, asked + kLease); });
        } else {
          to.gauge->OnShares(now, shares, asked + kLease);
        }
      });
    });
  }
  void Arrive(std::size_t i, const std::string& tenant, double mean) {
    if (mean <= 0) return;
    for (int n = std::poisson_distribution<int>(mean)(random_); n > 0; --n) {
      ++counts[tenant].asked;
      Try(i, tenant, tries);
    }
  }
  // A client that is refused comes back when it is told to, if it has tries left.
  void Try(std::size_t i, const std::string& tenant, int left) {
    Count& count = counts[tenant];
    const Limiter& gauge = *sidecars_[i].gauge;
    if (sidecars_[i].gauge->TryAcquire(now, tenant)) return count.let_in.push_back(now);
    if (left <= 1) return static_cast<void>(++count.refused);
    const Micros wait = std::min(gauge.RetryAfter(now, tenant), most_wait);
    At(wait, [this, i, tenant, left] { Try(i, tenant, left - 1); });
  }

  Limits limits_;
  std::mt19937 random_;
  std::unique_ptr<ShareAllocator> cutter_;
  int epoch_ = 0;
  std::multimap<Micros, std::function<void()>> at_;
  std::vector<Sidecar> sidecars_;
};

const Limits kSparse = {{"most", {30, 30}}, {"some", {8, 8}}, {"few", {3, 3}}, {"rare", {0.8, 0.8}}};

const Limits kLimits = {{"large", {324, 324}}, {"middle", {90, 90}}, {"small", {20, 20}}};
double Usual(const std::string& tenant) { return kLimits.at(tenant).rate_per_s / 1.6; }
double Skewed(const std::string& tenant, std::size_t i) {  // a few have most of it
  static const double weights[14] = {8, 5, 3, 2, 2, 1, 1, 1, 1, 1, 0.5, 0.5, 0.25, 0.1};
  return Usual(tenant) * weights[(i + tenant.size()) % 14] / 26.35;
}

TEST_CASE("Usual demand is let in: at the start, skewed, moving, without a holder") {
  std::map<std::string, std::map<std::string, std::pair<double, double>>> phases;  // refused, asked
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    Fleet fleet(14, kLimits, seed);
    const auto phase = [&](const std::string& name) {
      for (auto& [tenant, count] : fleet.counts) {
        phases[name][tenant].first += static_cast<double>(count.refused);
        phases[name][tenant].second += static_cast<double>(count.asked);
      }
      fleet.Forget();
    };
    fleet.Run(8, [](const std::string&, std::size_t) { return 0; });
    fleet.Run(3, Skewed);
    phase("start");
    fleet.Run(30, Skewed);
    phase("steady");
    for (std::size_t turn = 0; turn < 10; ++turn) {
      // Within a second the demand of the largest goes over to another.
      const std::size_t from = turn * 3 % 14, to = (turn * 3 + 3) % 14;
      const Micros since = fleet.now;
      fleet.Run(4, [&](const std::string& tenant, std::size_t i) {
        const double moved = std::min(1.0, static_cast<double>(fleet.now - since) / 1e6);
        const double even = Usual(tenant) * 0.6 / 14, most = Usual(tenant) * 0.4;
        return even + (i == from ? most * (1 - moved) : i == to ? most * moved : 0);
      });
    }
    phase("moving");
    fleet.Run(6, Skewed);
    fleet.Forget();
    fleet.holder_up = false;
    fleet.Run(3, Skewed);
    fleet.holder_up = true;
    fleet.ChangeHolder();
    fleet.Run(6, Skewed);
    phase("holder");
    for (const std::size_t hit : {1U, 7U, 2U}) {
      fleet.Start(hit, 200 * kMs);
      fleet.Run(3, Skewed);
    }
    phase("restart");
    for (const auto& [tenant, limit] : kLimits) CHECK(fleet.Fullest(tenant) <= 1);
  }
  const std::map<std::string, double> most = {
      {"start", 0.03}, {"steady", 0.005}, {"moving", 0.03}, {"holder", 0.03}, {"restart", 0.03}};
  for (const auto& [name, tenants] : phases) {
    for (const auto& [tenant, count] : tenants) {
      INFO(name << " " << tenant);
      CHECK(count.first / count.second <= most.at(name));
    }
  }
}

// Found on the grown site: shares of less than one request are of no use to anybody, and a tenant whose
// requests are spread over many sidecars was served not at all.
TEST_CASE("A tenant with fewer requests than there are sidecars is served") {
  for (unsigned seed = 0; seed < 3; ++seed) {
    Fleet fleet(65, kSparse, seed);
    fleet.tries = 3;
    const auto usual = [](const std::string& tenant, std::size_t) {
      return kSparse.at(tenant).rate_per_s / 1.6 / 65;
    };
    fleet.Run(8, [](const std::string&, std::size_t) { return 0; });
    fleet.Run(60, usual);
    for (const auto& [tenant, limit] : kSparse) {
      INFO(tenant << " seed " << seed << " refused " << fleet.Refused(tenant) << " of "
                  << fleet.counts.at(tenant).asked);
      CHECK(fleet.Refused(tenant) <= 0.1);
      CHECK(fleet.Fullest(tenant) <= 1);
    }
  }
}

TEST_CASE("A tenant at ten times its usual has its limit, others don't feel it") {
  for (const bool at_one : {false, true}) {
    Fleet fleet(14, kLimits, 2);
    fleet.Run(8, Skewed);
    fleet.Forget();
    const Micros since = fleet.now;
    fleet.Run(10, [&](const std::string& tenant, std::size_t i) {
      if (tenant != "large") return Skewed(tenant, i);
      return at_one ? (i == 5 ? 10 * Usual(tenant) : 0) : 10 * Skewed(tenant, i);
    });
    const double part = static_cast<double>(fleet.LetIn("large", since)) / (10 * 324.0);
    INFO("one " << at_one << " let in " << part << " fullest " << fleet.Fullest("large") << " others "
                << fleet.Refused("middle") << " " << fleet.Refused("small"));
    CHECK(part >= 0.9);
    CHECK(fleet.Fullest("large") <= 1);
    CHECK(fleet.Refused("middle") <= 0.005);
    CHECK(fleet.Refused("small") <= 0.005);
  }
}

// Restarts, pauses, cuts, lost messages and other holders, at up to `most_load` times the usual demand. The
// fullest window of any tenant, as a part of the bound.
double FullestOfChaos(const Limits& limits, std::size_t sidecars, double most_load, unsigned seed,
                      const std::function<double(const std::string&, std::size_t)>& usual) {
  Fleet fleet(sidecars, limits, seed);
  fleet.lost = seed % 3 * 0.1;
  fleet.cut.assign(sidecars, 0);
  std::mt19937 random(seed);
  fleet.Run(3, usual);
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
        fleet.cut[hit] = fleet.now + static_cast<Micros>(random() % 15) * kSecond;
        break;
      case 3:
        fleet.ChangeHolder();
        break;
      case 4:
        fleet.holder_up = !fleet.holder_up;
        break;
      case 5:
        for (std::size_t i = 0; i < sidecars; ++i)
          fleet.Start(i, static_cast<Micros>(500 + random() % 500) * kMs);
        if (random() % 2 == 0) fleet.ChangeHolder();
        break;
      default:
        break;
    }
    const double times = random() % 2 == 0 ? most_load : 1;
    const std::size_t only = random() % 3 == 0 ? random() % sidecars : sidecars;
    fleet.Run(static_cast<double>(random() % 30) / 10, [&](const std::string& tenant, std::size_t i) {
      if (only == sidecars) return times * usual(tenant, i);
      return i == only ? times * limits.at(tenant).rate_per_s / 1.6 : 0;
    });
  }
  double fullest = 0;
  for (const auto& [tenant, limit] : limits)
    if (fleet.counts.contains(tenant)) fullest = std::max(fullest, fleet.Fullest(tenant));
  return fullest;
}

TEST_CASE("The bound holds in every window, whatever happens to sidecars, messages and holder") {
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    INFO("seed " << seed);
    CHECK(FullestOfChaos(kLimits, 11 + seed % 4, 10, seed, Skewed) <= 1);
  }
}

TEST_CASE("The bound holds for tenants with fewer requests than there are sidecars, whatever happens") {
  const auto even = [](const std::string& tenant, std::size_t) {
    return kSparse.at(tenant).rate_per_s / 1.6 / 65;
  };
  const char* seeds = std::getenv("QUOTA_CHAOS_SEEDS");
  const unsigned count = seeds == nullptr ? 4 : static_cast<unsigned>(std::atoi(seeds));
  for (unsigned seed = 0; seed < count; ++seed) {
    INFO("seed " << seed);
    CHECK(FullestOfChaos(kSparse, 65, 15, seed, even) <= 1);
  }
}

TEST_CASE("What was used or given stays counted until it has run out, and no longer") {
  Fleet fleet(14, kLimits, 5);
  fleet.cut.assign(14, 0);
  const auto at = [](std::size_t one, std::size_t other) {
    return [=](const std::string& tenant, std::size_t i) {
      return i == one || i == other ? 10 * Usual(tenant) : 0;
    };
  };
  for (const std::size_t one : {5U, 9U, 2U, 5U}) fleet.Run(one == 2 ? 2 : 6, at(one, one));
  fleet.cut[5] = fleet.now + 40 * kSecond;
  fleet.Run(20, at(9, 9));  // the lease of the one cut off is over, and its share with another
  const Micros since = fleet.now;
  fleet.Run(8, at(5, 9));
  for (const auto& [tenant, limit] : kLimits) {
    CHECK(fleet.Fullest(tenant) <= 1);
    CHECK(static_cast<double>(fleet.LetIn(tenant, since)) >= 0.9 * 8 * limit.rate_per_s);
  }
}

TEST_CASE("A changed limit is in force a window later, and usual demand goes on") {
  Fleet fleet(14, kLimits, 4);
  fleet.Run(8, Skewed);
  fleet.Forget();
  Limits changed = kLimits;
  changed["large"] = {230, 230};
  changed["small"] = {40, 40};
  fleet.Change(changed);
  fleet.Run(8, Skewed);
  INFO("refused " << fleet.Refused("large") << " " << fleet.Refused("small"));
  CHECK(fleet.Refused("large") <= 0.06);
  CHECK(fleet.Refused("small") <= 0.06);
  const Micros since = fleet.now;
  fleet.Run(12, [](const std::string& tenant, std::size_t i) { return 10 * Skewed(tenant, i); });
  for (const auto& [tenant, limit] : changed) CHECK(fleet.Fullest(tenant, since) <= 1);
}

TEST_CASE("The budget of further sends holds in every window, and is given out") {
  const RetryBudget::Bounds bounds;
  for (unsigned seed = 0; seed < 8; ++seed) {
    std::mt19937 random(seed);
    RetryBudget budget(bounds);
    budget.SetSidecarCount(14);
    std::vector<std::pair<Micros, double>> requests, further;
    double let_in = 0;
    for (Micros now = 0; now < 60 * kSecond; now += 1 + static_cast<Micros>(random() % 20) * kMs) {
      const bool calm = now / (7 * kSecond) % 2 == 0;
      if (random() % (calm ? 2 : 10) == 0) {
        budget.OnRequest(now);
        requests.emplace_back(now, 1);
      }
      const double cost = random() % 4 == 0 ? 1.5 : 1;
      if (!budget.TryAcquire(now, cost)) continue;
      let_in += cost;
      further.emplace_back(now, cost);
      const auto sum = [&](const std::vector<std::pair<Micros, double>>& all) {
        double total = 0;
        for (auto it = all.rbegin(); it != all.rend() && it->first > now - bounds.window; ++it)
          total += it->second;
        return total;
      };
      REQUIRE(sum(further) <= bounds.ratio * sum(requests) + bounds.slack / 14);
    }
    CHECK(let_in >= 0.6 * bounds.ratio * static_cast<double>(requests.size()));
  }
}

}  // namespace
}  // namespace fennelhollow::quota
