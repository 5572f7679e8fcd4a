// When discovery is asked again for the list: spread over the sidecars, as all may have lost it together, and
// one call at a time. Free of I/O and clock; waits are drawn by the caller's chance.
#ifndef MERLINRUN_MEMBERSHIP_ASKING_HPP_
#define MERLINRUN_MEMBERSHIP_ASKING_HPP_

#include <functional>
#include <optional>
#include <utility>

#include "base/backoff.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun::membership {

class Asking {
 public:
  // Returns a time between 0 and the given one, in microseconds.
  using Draw = std::function<Micros(Micros)>;
  explicit Asking(Draw draw) : draw_(std::move(draw)) {}

  // What came of the last call, or of the list known at the start. Returns the wait before the next call, or
  // nothing if none is due or one is under way.
  std::optional<Micros> OnHeard(ListUpdate::Kind kind, const Settings& set) {
    if (kind == ListUpdate::Kind::kFailed)
      return In(ExponentialBackoff(kBase, failed_++, set.list_retry_cap), set);
    if (kind == ListUpdate::Kind::kStale) return In(set.list_retry_cap / 2, set);
    failed_ = 0;
    return std::nullopt;
  }
  // The wait is over.
  void OnAsked() { pending_ = false; }

 private:
  // After a failure: random(0, min(ask_within, base * 2^n)).
  static constexpr Micros kBase = 1'000'000;

  std::optional<Micros> In(Micros most, const Settings& set) {
    if (!set.must_subscribe || pending_) return std::nullopt;
    pending_ = true;
    return draw_(most);
  }

  const Draw draw_;
  int failed_ = 0;
  bool pending_ = false;
};

}  // namespace merlinrun::membership

#endif  // MERLINRUN_MEMBERSHIP_ASKING_HPP_
