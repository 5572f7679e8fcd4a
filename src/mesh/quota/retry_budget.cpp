#include <algorithm>

#include "mesh/quota/quota.hpp"

namespace fennelhollow::quota {

namespace {

// Kept from the bound: requests counted here that the judge sees in another window, sends that others don't
// know of.
constexpr double kRatioUsed = 0.8, kSlackUsed = 0.7;
constexpr int kSlots = 10;

}  // namespace

void RetryBudget::Expire(Micros now) {
  const Micros slot = std::max<Micros>(1, bounds_.window / kSlots);
  const Micros at = now / slot * slot;
  while (!slots_.empty() && slots_.front().at + slot + bounds_.window <= now) {
    requests_ -= slots_.front().requests;
    further_ -= slots_.front().further;
    slots_.pop_front();
  }
  if (slots_.empty()) requests_ = further_ = 0;  // no remainder of fractions
  if (slots_.empty() || slots_.back().at < at) slots_.push_back({at, 0, 0});
}

void RetryBudget::OnRequest(Micros now) {
  Expire(now);
  slots_.back().requests += 1;
  requests_ += 1;
}

bool RetryBudget::TryAcquire(Micros now, double cost) {
  Expire(now);
  // The oldest slot is only in part within the window: its further sends count, its requests don't.
  const Micros from = now - bounds_.window;
  const double requests = requests_ - (slots_.front().at < from ? slots_.front().requests : 0);
  const double slack = bounds_.slack * kSlackUsed / static_cast<double>(std::max<std::size_t>(sidecars_, 1));
  if (further_ + cost > requests * bounds_.ratio * kRatioUsed + slack) return false;
  Charge(now, cost);
  return true;
}

void RetryBudget::Charge(Micros now, double cost) {
  Expire(now);
  slots_.back().further += cost;
  further_ += cost;
}

}  // namespace fennelhollow::quota
