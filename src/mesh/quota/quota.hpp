// Rate limits of tenants across all sidecars, enforced through leased shares (distributed rate limiting), and
// the retry budget. No I/O; each object is single-threaded.
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

// In any window, all sidecars together admit at most (rate * window + burst) * (1 + overshoot) + slack
// requests of a tenant.
struct QuotaBounds {
  double window_s = 5;
  double overshoot = 0.1;
  double slack = 20;
};

// A sidecar's periodic report to the leader for one tenant that received requests.
struct Demand {
  std::string tenant;
  double requested_per_s = 0;     // recent rate, including rejected requests
  double admitted_in_window = 0;  // requests admitted within the last window
  bool unmet = false;             // some requests were rejected since the last report
};

// A sidecar's share of a tenant's rate and burst, granted by the leader. It admits at most
// burst + rate * window requests in any window. With rate 0 they may all be admitted at once, and become
// available again as the window slides. A negative burst belongs to a rate that can't be sustained for a
// whole window.
struct Share {
  std::string tenant;
  double rate_per_s = 0;
  double burst = 0;
  TenantLimit source_limit;  // the limit it was derived from; void once the limit changes
};

// Decides in a sidecar whether a request is within the sidecar's share.
class Limiter {
 public:
  explicit Limiter(const QuotaBounds& bounds);
  // Sets the limits by tenant.
  void UpdateLimits(Micros now, const std::map<std::string, TenantLimit>& limits);
  // Sets the largest possible number of sidecars. It determines the small allowance that applies without a
  // share: the allowances of all sidecars and all granted shares together stay within the bound.
  void SetSidecarCount(Micros now, std::size_t count);
  // The shares are leased until `expires_at` on this process's steady clock, measured from when the sidecar
  // sent its report.
  void OnShares(Micros now, const std::vector<Share>& shares, Micros expires_at);
  // Admits and counts a request. False: reject it with 429.
  bool TryAcquire(Micros now, std::string_view tenant);
  // Time until a request is likely to be admitted, for Retry-After.
  Micros RetryAfter(Micros now, std::string_view tenant) const;
  // Returns the demand to report to the leader, and resets what is counted between two reports.
  std::vector<Demand> TakeDemand(Micros now);
  // The shares that are in force, to be reported to a new leader.
  std::vector<Share> HeldShares(Micros now) const;

 private:
  // Slots of the sliding window. Requests are counted by slot, so the window is rounded up to whole slots.
  static constexpr std::int64_t kSlots = 50;
  struct Bucket {
    TenantLimit limit;
    Share share;
    Micros expires_at = 0;                             // end of the share's lease
    std::array<std::uint32_t, kSlots + 1> admitted{};  // by slot
    std::int64_t newest_slot = 0;
    std::uint32_t used = 0;  // sum of `admitted`
    double tokens = 0;       // of the token bucket that enforces a share with a rate
    Micros refilled_at = 0;
    std::uint32_t arrivals = 0;  // since the last TakeDemand
    bool rejected = false;       // at least one of them
    double requested_per_s = 0;
    Micros demand_taken_at = 0;
  };
  struct Allowance {
    double per_window, rate_per_s, burst;
  };
  Allowance CurrentAllowance(Micros now, const Bucket& bucket) const;
  void AdvanceWindow(Micros now, Bucket& bucket) const;
  QuotaBounds bounds_;
  std::size_t sidecars_ = 1;
  Micros started_at_ =
      -1;  // time of the first call; a previous process may have used up the window before it
  Micros slot_length_ = 1;
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
  };
  std::unordered_map<std::string, Bucket, Hash, std::equal_to<>> buckets_;  // of the tenants with a limit
};

// Divides each tenant's limit into shares by demand; runs on the leader. Capacity that a sidecar has been
// granted and may still use is not granted to another before the lease has ended.
class ShareAllocator {
 public:
  explicit ShareAllocator(const QuotaBounds& bounds, Micros lease);
  void UpdateLimits(Micros now, const std::map<std::string, TenantLimit>& limits);
  void SetSidecarCount(Micros now, std::size_t count);
  // A new leader does not know the grants of its predecessor. It assumes that everything is granted until the
  // lease has passed or all sidecars have reported the shares they hold.
  void OnBecameLeader(Micros now);
  void OnHeldShares(Micros now, const std::string& sidecar, const std::vector<Share>& held);
  // Returns the sidecar's shares, leased from now on.
  std::vector<Share> OnDemand(Micros now, const std::string& sidecar, const std::vector<Demand>& demand);
  void OnSidecarGone(Micros now, const std::string& sidecar);

 private:
  struct Grant {
    double per_window = 0;  // requests it admits in a window
    TenantLimit source_limit;
    Micros lease_end = 0;
    bool has_rate = false;  // limited by a rate, because the tenant's demand exceeded its limit
  };
  struct SidecarState {         // of one tenant at one sidecar
    std::vector<Grant> grants;  // oldest first, at most kMaxGrants; any of them may be in force
    bool first_acked = false;   // the sidecar has reported that it holds the first one
    double used = 0;            // requests admitted in the window before reported_at
    Micros reported_at = 0;
    double requested_per_s = 0;
    Micros unmet_until = 0;              // rejected clients are expected to retry until then
    double expected = 0, deviation = 0;  // requests in a window, and their standard deviation
    double orphaned = 0;  // requests that a previous process may have admitted, until orphaned_until
    Micros orphaned_until = 0;
    bool orphaned_constant = false;  // the orphaned requests don't leave the window gradually
    bool held_reported = false;      // OnHeldShares was called since the last OnDemand
    Share held;                      // no share if its tenant is empty
  };
  struct Tenant {
    TenantLimit limit;
    double first_held = 0;  // sum of what each sidecar reported first after OnBecameLeader
    // Sums over the sidecars, at most kSumsAge old:
    double reserved = 0, expected = 0, deviation = 0, requested_per_s = 0;
    Micros summed_at = -1;
    std::map<std::string, SidecarState> sidecar_states;  // by sidecar
  };
  double Orphaned(Micros now, const SidecarState& state) const;
  static bool ExceedsBase(const SidecarState& state, double base);
  static double RoundToWholeRequests(Micros now, double per_window, double free, double base,
                                     const SidecarState& state);
  // Requests that a share admits in a window.
  double PerWindow(const Share& share) const;
  double Bound(const TenantLimit& limit) const;
  double Base(const TenantLimit& limit) const;
  double Reserved(Micros now, const Tenant& tenant, const SidecarState& state) const;
  double Total(Micros now, const Tenant& tenant) const;
  void UpdateSums(Micros now, Tenant& tenant) const;
  void ApplyReport(Micros now, const TenantLimit& limit, SidecarState& state, const Demand* demand) const;
  void AddToSums(Micros now, Tenant& tenant, const SidecarState& state, int sign) const;
  void ExpireSidecars(Micros now);
  Share Allocate(Micros now, const std::string& name, Tenant& tenant, SidecarState& state) const;
  QuotaBounds bounds_;
  Micros lease_, window_;
  std::size_t sidecars_ = 1;
  Micros leader_since_ = 0;
  Micros last_expiry_ = 0;
  // Time of the last report by sidecar, since OnBecameLeader. At most kMaxSidecars, each for kSidecarTimeout.
  std::map<std::string, Micros> last_report_;
  std::map<std::string, Tenant> tenants_;
};

// Retry budget of one service at one sidecar: in any window, the retries are at most
// ratio * requests + this sidecar's part of the slack.
class RetryBudget {
 public:
  struct Bounds {
    double ratio = 0.2;
    double slack = 58;  // of all sidecars together
    Micros window = 10'000'000;
  };
  explicit RetryBudget(const Bounds& bounds) : bounds_(bounds) {}
  void SetSidecarCount(std::size_t count) { sidecars_ = count; }
  void OnRequest(Micros now);  // a request of a client or local server for the service; not a retry
  // Admits a retry; `cost` includes the calls that it is expected to cause.
  bool TryAcquire(Micros now, double cost = 1);
  // Counts retries that were not admitted here, such as the calls of a retried request.
  void Charge(Micros now, double cost);

 private:
  void Expire(Micros now);
  Bounds bounds_;
  std::size_t sidecars_ = 1;
  struct Slot {
    Micros slot_start;
    double requests;
    double retries;
  };
  std::deque<Slot> slots_;  // a tenth of the window each
  double requests_ = 0, retries_ = 0;
};

}  // namespace fennelhollow::quota

#endif  // FENNELHOLLOW_MESH_QUOTA_QUOTA_HPP_
