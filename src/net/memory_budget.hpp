// Limits the memory that requests and responses hold, over all connections.
#ifndef MERLINRUN_NET_MEMORY_BUDGET_HPP_
#define MERLINRUN_NET_MEMORY_BUDGET_HPP_

#include <cstddef>
#include <utility>

namespace merlinrun::net {

// Must outlive its reservations. Sizes are in bytes.
class MemoryBudget {
 public:
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;
  std::size_t reserved() const { return reserved_; }
  // Existing reservations stay, even if they exceed the new limit.
  void SetLimit(std::size_t limit) { limit_ = limit; }

 private:
  friend class MemoryReservation;
  std::size_t limit_;
  std::size_t reserved_ = 0;
};

// A part of the budget; returned on destruction.
class MemoryReservation {
 public:
  MemoryReservation() = default;
  MemoryReservation(MemoryReservation&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), size_(std::exchange(other.size_, 0)) {}
  MemoryReservation& operator=(MemoryReservation&& other) noexcept {
    MemoryReservation taken(std::move(other));
    std::swap(budget_, taken.budget_);
    std::swap(size_, taken.size_);
    return *this;
  }
  ~MemoryReservation() {
    if (budget_ != nullptr) budget_->reserved_ -= size_;
  }

  // Replaces this reservation by one of `size` bytes. Returns false and reserves nothing if the budget is
  // exhausted.
  bool Reserve(MemoryBudget& budget, std::size_t size) {
    *this = MemoryReservation();
    return Grow(budget, size);
  }

  // Grows this reservation to `size` bytes; never shrinks it. Returns false and changes nothing if the budget
  // is exhausted.
  bool Grow(MemoryBudget& budget, std::size_t size) {
    if (size <= size_) return true;
    const std::size_t more = size - size_;
    if (budget.reserved_ > budget.limit_ || more > budget.limit_ - budget.reserved_) return false;
    budget_ = &budget;
    budget_->reserved_ += more;
    size_ = size;
    return true;
  }

 private:
  MemoryBudget* budget_ = nullptr;
  std::size_t size_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_MEMORY_BUDGET_HPP_
