// quota: rate limits of tenants over all sidecars (standard term: distributed rate limiting by leased
// shares) and the budget of further sends (retry budget). Free of I/O; one thread each.
#ifndef FENNELHOLLOW_MESH_QUOTA_QUOTA_HPP_
#define FENNELHOLLOW_MESH_QUOTA_QUOTA_HPP_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace fennelhollow::quota {

using merlinrun::Micros;

struct TenantLimit {
  double rate_per_s = 0;  // 0 = no limit
  double burst = 0;
  bool operator==(const TenantLimit&) const = default;
};

// Of a tenant, over all sidecars, in any window: at most (rate * window + burst) * (1 + overshoot) + slack
// requests.
struct QuotaBounds {
  double window_s = 5;
  double overshoot = 0.1;
  double slack = 20;
};

// What a sidecar tells the holder, every few hundred milliseconds, of the tenants that asked for something.
struct Demand {
  std::string tenant;
  double requested_per_s = 0;     // lately, refused ones included
  double admitted_in_window = 0;  // let in within the last window: what of its share is used
  bool unmet = false;             // some were refused since the last one was told
};

// What the holder gives: this sidecar's share of a tenant's rate and burst. Its use in any window is at most
// burst + rate * window; with rate 0 all of it may be used at once and comes back as the window slides. A
// burst below 0 tells of a rate that can't be kept up for a whole window.
struct Share {
  std::string tenant;
  double rate_per_s = 0;
  double burst = 0;
  TenantLimit source_limit;  // the limit that it was cut from: a share of another limit counts for nothing
};

// In a sidecar: whether a request is within its share.
class Limiter {
 public:
  explicit Limiter(const QuotaBounds& bounds);
  // The limits in force, by tenant; and how many sidecars there may be, at most: without a share it takes a
  // cautious part of the limit, such that all of them together, in touch or not, stay within the bound beside
  // all shares that are given.
  void UpdateLimits(Micros now, const std::map<std::string, TenantLimit>& limits);
  void SetSidecarCount(Micros now, std::size_t count);
  // Holds until `until` on this process's steady clock: counted from when it asked, not from when the answer
  // came.
  void OnShares(Micros now, const std::vector<Share>& shares, Micros until);
  // True: may go on, and is counted. False: 429.
  bool TryAcquire(Micros now, std::string_view tenant);
  // How long until a request is likely to be let in; for Retry-After.
  Micros RetryAfter(Micros now, std::string_view tenant) const;
  std::vector<Demand> TakeDemand(Micros now);
  std::vector<Share> HeldShares(Micros now) const;  // told to a new holder, which then knows what was given

 private:
  static constexpr std::int64_t kSlots = 50;  // of a window; it is counted in whole slots, never too short
  struct Bucket {
    TenantLimit limit;
    Share share;
    Micros until = 0;  // end of the lease of `share`
    std::array<std::uint32_t, kSlots + 1> let_in{};
    std::int64_t slot = 0;   // the newest of let_in
    std::uint32_t used = 0;  // sum of let_in
    double level = 0;        // of the token bucket that smooths a share with a rate
    Micros filled = 0;
    std::uint32_t asked = 0;  // since `told`
    bool refused = false;     // one of these
    double requested_per_s = 0;
    Micros told = 0;
  };
  struct Allowance {
    double window, rate_per_s, burst;
  };
  Allowance Now(Micros now, const Bucket& bucket) const;
  void Slide(Micros now, Bucket& bucket) const;
  QuotaBounds bounds_;
  std::size_t sidecars_ = 1;
  Micros born_ = -1;  // first time told; a predecessor in this place may have used the last window
  Micros slot_ = 1;
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
  };
  std::unordered_map<std::string, Bucket, Hash, std::equal_to<>> buckets_;  // of the tenants with a limit
};

// At the holder: cuts each tenant's limit into shares by demand. What one sidecar has been given and may
// still use is never given to another before it has run out.
class ShareAllocator {
 public:
  explicit ShareAllocator(const QuotaBounds& bounds, Micros lease);
  void UpdateLimits(Micros now, const std::map<std::string, TenantLimit>& limits);
  void SetSidecarCount(Micros now, std::size_t count);
  // A new holder: knows nothing of what was given before, so counts with everything until `lease` has passed
  // or all of the sidecars have told what they hold.
  void OnBecameLeader(Micros now);
  void OnHeldShares(Micros now, const std::string& sidecar, const std::vector<Share>& held);
  // The shares of this sidecar from now on for `lease`.
  std::vector<Share> OnDemand(Micros now, const std::string& sidecar, const std::vector<Demand>& demand);
  void OnSidecarGone(Micros now, const std::string& sidecar);

 private:
  struct Grant {
    double window = 0;  // may be used in a window
    TenantLimit source_limit;
    Micros end = 0;      // no request is let in by it later
    bool flows = false;  // by a rate: the tenant pressed on its limit
  };
  struct Cut {                  // of one tenant, one sidecar
    std::vector<Grant> grants;  // oldest first, at most kGrants; any of them may be the one in force there
    bool acked = false;         // the first has been told as held
    double used = 0;            // told, of the window before used_at
    Micros used_at = 0;
    double requested_per_s = 0;
    Micros unmet_until = 0;      // it was asked for more than its share: until those refused have come back
    double mean = 0, noise = 0;  // expected in a window, and its standard deviation
    double ghost = 0;            // may have been used by a process that is no more, until ghost_until
    Micros ghost_until = 0;
    bool ghost_stays = false;
    bool held_told = false;  // OnHeldShares came since the last OnDemand
    Share held;              // tenant empty: none
  };
  struct Tenant {
    TenantLimit limit;
    double first_held = 0;  // sum over sidecars of what each told first after OnBecameLeader
    double reserved = 0, mean = 0, noise = 0, requested_per_s = 0;  // sums over cuts, at most kSumsAge old
    Micros summed = -1;
    std::map<std::string, Cut> cuts;  // by sidecar
  };
  double Ghost(Micros now, const Cut& cut) const;
  static bool Presses(const Cut& cut, double base);
  static double WholeRequests(Micros now, double window, double free, double base, const Cut& cut);
  double Window(const Share& share) const;
  double Bound(const TenantLimit& limit) const;
  double Base(const TenantLimit& limit) const;
  double Reserved(Micros now, const Tenant& tenant, const Cut& cut) const;
  double Total(Micros now, const Tenant& tenant) const;
  void Sum(Micros now, Tenant& tenant) const;
  void Hear(Micros now, const TenantLimit& limit, Cut& cut, const Demand* demand) const;
  void Add(Micros now, Tenant& tenant, const Cut& cut, int sign) const;  // to the sums
  void Forget(Micros now);
  Share Give(Micros now, const std::string& name, Tenant& tenant, Cut& cut) const;
  QuotaBounds bounds_;
  Micros lease_, window_;
  std::size_t sidecars_ = 1;
  Micros duty_since_ = 0;
  Micros forgot_ = 0;
  std::map<std::string, Micros>
      heard_;  // sidecars that told since OnBecameLeader: at most kSidecars, each for kForget
  std::map<std::string, Tenant> tenants_;
};

// The retry budget of one service at one sidecar: further sends stay within ratio * own requests + a part of
// the slack, in every window.
class RetryBudget {
 public:
  struct Bounds {
    double ratio = 0.2;
    double slack = 58;
    Micros window = 10'000'000;
  };
  explicit RetryBudget(const Bounds& bounds) : bounds_(bounds) {}
  void SetSidecarCount(std::size_t count) { sidecars_ = count; }
  void OnRequest(Micros now);  // a client's or server's request for the service, taken by this sidecar
  bool TryAcquire(
      Micros now,
      double cost = 1);  // a further send; `cost` counts the calls that a repeated run is expected to make
  void Charge(Micros now,
              double cost);  // further arrivals that happened without asking (calls of a repeated run)

 private:
  void Expire(Micros now);
  Bounds bounds_;
  std::size_t sidecars_ = 1;
  struct Slot {
    Micros at;
    double requests;
    double further;
  };
  std::deque<Slot> slots_;  // of a tenth of the window each
  double requests_ = 0, further_ = 0;
};

}  // namespace fennelhollow::quota

#endif  // FENNELHOLLOW_MESH_QUOTA_QUOTA_HPP_
