#include <algorithm>

#include "mesh/quota/quota.hpp"

namespace fennelhollow::quota {

namespace {

// Fractions of the configured ratio and slack that are used. The rest covers requests that an observer counts
// in a different window, and retries that are not counted here.
constexpr double kRatioFraction = 0.8, kSlackFraction = 0.7;
constexpr int kSlots = 10;

}  // namespace

void RetryBudget::Expire(Micros now) {
  const Micros slot_length = std::max<Micros>(1, bounds_.window / kSlots);
  const Micros slot_start = now / slot_length * slot_length;
  while (!slots_.empty() && slots_.front().slot_start + slot_length + bounds_.window <= now) {
    requests_ -= slots_.front().requests;
    retries_ -= slots_.front().retries;
    slots_.pop_front();
  }
  if (slots_.empty()) requests_ = retries_ = 0;  // discards rounding errors
  if (slots_.empty() || slots_.back().slot_start < slot_start) slots_.push_back({slot_start, 0, 0});
}

void RetryBudget::OnRequest(Micros now) {
  Expire(now);
  slots_.back().requests += 1;
  requests_ += 1;
}

bool RetryBudget::TryAcquire(Micros now, double cost) {
  Expire(now);
  // The oldest slot may lie partly outside the window; its retries count, its requests don't.
  const Micros window_start = now - bounds_.window;
  const double requests =
      requests_ - (slots_.front().slot_start < window_start ? slots_.front().requests : 0);
  const double slack =
      bounds_.slack * kSlackFraction / static_cast<double>(std::max<std::size_t>(sidecars_, 1));
  if (retries_ + cost > requests * bounds_.ratio * kRatioFraction + slack) return false;
  Charge(now, cost);
  return true;
}

void RetryBudget::Charge(Micros now, double cost) {
  Expire(now);
  slots_.back().retries += cost;
  retries_ += cost;
}

}  // namespace fennelhollow::quota
