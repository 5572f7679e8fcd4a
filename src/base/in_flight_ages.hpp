// Counts the attempts in flight by age, in slots of fixed width.
#ifndef MERLINRUN_BASE_IN_FLIGHT_AGES_HPP_
#define MERLINRUN_BASE_IN_FLIGHT_AGES_HPP_

#include <algorithm>
#include <array>
#include <cstddef>

#include "merlinrun/balancer.hpp"

namespace merlinrun {

class InFlightAges {
 public:
  void OnSent(Micros now) {
    ClearOldSlots(now);
    ++counts_[Slot(now)];
  }
  void OnEnded(Micros sent, Micros now) {
    ClearOldSlots(now);
    if (now / kSlotWidth - sent / kSlotWidth < kSlots) --counts_[Slot(sent)];
  }
  // Attempts in flight for less than `age`, to the resolution of a slot.
  int CountYounger(Micros age, Micros now) const {
    const Micros oldest = std::max((now - age) / kSlotWidth, now / kSlotWidth - kSlots + 1);
    int sum = 0;
    for (Micros slot = now / kSlotWidth; slot >= oldest && slot > last_slot_ - kSlots; --slot)
      if (slot <= last_slot_) sum += counts_[Slot(slot * kSlotWidth)];
    return sum;
  }

 private:
  static constexpr Micros kSlotWidth = 25'000;
  static constexpr Micros kSlots = 128;  // 3.2 s; older attempts are not counted
  static std::size_t Slot(Micros time) { return static_cast<std::size_t>(time / kSlotWidth % kSlots); }
  void ClearOldSlots(Micros now) {
    for (Micros slot = std::max(last_slot_ + 1, now / kSlotWidth - kSlots + 1); slot <= now / kSlotWidth;
         ++slot)
      counts_[Slot(slot * kSlotWidth)] = 0;
    last_slot_ = std::max(last_slot_, now / kSlotWidth);
  }
  std::array<int, kSlots> counts_ = {};
  Micros last_slot_ = 0;  // index of the newest slot in use
};

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_IN_FLIGHT_AGES_HPP_
