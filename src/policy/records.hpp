// State shared by the policies.
#ifndef MERLINRUN_POLICY_RECORDS_HPP_
#define MERLINRUN_POLICY_RECORDS_HPP_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/averaging.hpp"
#include "base/random.hpp"
#include "merlinrun/balancer.hpp"
#include "zones/capacity.hpp"
#include "zones/zones.hpp"

namespace merlinrun {

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;
// With more attempts in flight than this each outcome is weighted less, so that estimates do not oscillate
// within one response time.
inline constexpr double kSteadyInFlight = 24;
// Some work is always admitted: its outcomes are how the end of an overload is detected.
inline constexpr double kMinAdmitted = 0.05;

struct Server {
  ServerInfo info;
  std::size_t pool = 0;
  bool listed = false;
  std::uint64_t hash = 0;   // of the id
  int in_flight = 0;        // this sidecar's attempts
  Micros responded_at = 0;  // or when an attempt was sent to the idle server
  // Used by Health.
  double latency_ratio = 1;     // latency divided by the usual latency of the class
  std::vector<double> refused;  // by class: share of recent requests that it refused
  double error_rate = 0;        // share of recent requests that failed
  int consecutive_ejections = 0;
  Micros last_success_at = 0;       // when it last responded within the latency target
  Micros connection_failed_at = 0;  // when a connection last broke or could not be established
  Micros ejected_until = 0;         // then one attempt at a time while consecutive_ejections > 0
  // Used by Admission.
  std::uint64_t counted_streak = 0;  // the last streak in which it was counted
  // Used by ColdStart.
  double cold_start_credit = 0;       // attempts that it may still be sent during warm-up
  std::int64_t served_at_refill = 0;  // value of ColdStart::served_ at the last refill
};

// Servers that share a ring: own zone and other zones if crossing has a cost, otherwise all in the first.
struct Pool {
  std::vector<Server*> ring;  // healthy servers, sorted by id
  std::size_t window_start = 0;
  int in_flight = 0;          // this sidecar's attempts
  double peak_in_flight = 0;  // decaying peak
  double usual_latency = 0;   // average, in microseconds
  zones::Capacity capacity;

  Server& InWindow(std::size_t i) const { return *ring[(window_start + i) % ring.size()]; }
};
using Pools = std::array<Pool, 2>;

struct Attempt {
  Server* server = nullptr;  // valid only while in flight: the list may drop the server
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool in_flight = true;
  bool late_counted = false;  // lateness has already been reported to Admission
  bool may_have_run = true;   // until an outcome proves otherwise
};

struct ActiveRequest {  // from arrival until the last attempt has ended
  std::size_t request_class = 0;
  int protocol = 0;
  bool past_target = false;  // earlier tries of the client already took longer than the latency target
  std::size_t pool = 0;
  Micros arrived_at = 0;
  Micros deadline = 0;
  bool uploading = false;  // the body is incomplete; the latency target does not apply yet
  bool ended = false;
  bool cancelled = false;  // its attempts in flight have been cancelled
  int retries = 0;
  Cause last_cause = Cause::kNoServer;  // last obstacle met
  std::uint64_t timer = 0;              // token of the pending timer; 0 = none
  std::uint64_t affinity_hash = 0;      // hash of the key for affinity; 0 = none
  std::string key;                      // whose queue it is in; empty = none
  Micros key_held_until = 0;            // blocks its key until then, as an attempt may still be running
  std::vector<Attempt> attempts;

  bool AnyInFlight() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.in_flight; });
  }
  // The first attempt that may have been executed; it restricts retries.
  const Attempt* MayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

// Shared by all policies of a balancer.
struct PolicyContext {
  PolicyContext(const Settings& settings, std::uint64_t seed, Micros start)
      : set(settings),
        random(seed),
        now(start),
        zones([this](Micros bound) { return random.Upto(bound); }, settings.warmup_time,
              settings.sidecar_index, settings.sidecar_count) {}
  PolicyContext(const PolicyContext&) = delete;
  PolicyContext& operator=(const PolicyContext&) = delete;

  const RequestClass& ClassOf(const ActiveRequest& active) const { return set.classes[active.request_class]; }
  // The reachable capacity is recomputed before the next request.
  void InvalidateCapacity() {
    for (Pool& pool : pools) pool.capacity.Invalidate();
  }

  Settings set;  // sidecar_index and sidecar_count follow the server list
  Random random;
  Micros now;
  Pools pools;
  zones::Zones zones;
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_RECORDS_HPP_
