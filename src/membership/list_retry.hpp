// Schedules the next request for the server list after a failure, one at a time. Jitter spreads requests,
// as all sidecars may have lost the list together. Does no I/O and has no clock or random source of its own.
#ifndef MERLINRUN_MEMBERSHIP_LIST_RETRY_HPP_
#define MERLINRUN_MEMBERSHIP_LIST_RETRY_HPP_

#include <functional>
#include <optional>
#include <utility>

#include "base/backoff.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::membership {

class ListRetry {
 public:
  // Returns a time between 0 and the given one, in microseconds.
  using Draw = std::function<Micros(Micros)>;
  explicit ListRetry(Draw draw) : draw_(std::move(draw)) {}

  // Takes the result of the last request, or the initial list. Returns the delay before the next request, or
  // nothing if none is due or one is pending.
  std::optional<Micros> OnUpdate(ListUpdate::Kind kind, const Settings& set) {
    if (kind == ListUpdate::Kind::kFailed)
      return Schedule(ExponentialBackoff(kRetryBase, failures_++, set.list_retry_cap), set);
    if (kind == ListUpdate::Kind::kStale) return Schedule(set.list_retry_cap / 2, set);
    failures_ = 0;
    return std::nullopt;
  }
  // The delay has passed.
  void OnDelayPassed() { pending_ = false; }

 private:
  // After a failure: random(0, min(list_retry_cap, base * 2^n)).
  static constexpr Micros kRetryBase = 1'000'000;

  std::optional<Micros> Schedule(Micros max_delay, const Settings& set) {
    if (!set.must_subscribe || pending_) return std::nullopt;
    pending_ = true;
    return draw_(max_delay);
  }

  const Draw draw_;
  int failures_ = 0;
  bool pending_ = false;
};

}  // namespace merlinrun::membership

#endif  // MERLINRUN_MEMBERSHIP_LIST_RETRY_HPP_
