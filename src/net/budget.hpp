// One total for what requests and answers hold in memory, over all connections.
#ifndef MERLINRUN_NET_BUDGET_HPP_
#define MERLINRUN_NET_BUDGET_HPP_

#include <cstddef>
#include <utility>

namespace merlinrun::net {

// The total. It must outlive its charges.
class Budget {
 public:
  explicit Budget(std::size_t most) : most_(most) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;
  std::size_t held() const { return held_; }
  // From now on; what is held already stays.
  void SetMost(std::size_t most) { most_ = most; }

 private:
  friend class Charge;
  std::size_t most_;
  std::size_t held_ = 0;
};

// What one holder has taken of the total; given back with it.
class Charge {
 public:
  Charge() = default;
  Charge(Charge&& other) noexcept
      : budget_(std::exchange(other.budget_, nullptr)), size_(std::exchange(other.size_, 0)) {}
  Charge& operator=(Charge&& other) noexcept {
    Charge taken(std::move(other));
    std::swap(budget_, taken.budget_);
    std::swap(size_, taken.size_);
    return *this;
  }
  ~Charge() {
    if (budget_ != nullptr) budget_->held_ -= size_;
  }

  // False if the total does not have so much left; nothing is taken then.
  bool Take(Budget& budget, std::size_t size) {
    *this = Charge();
    return Grow(budget, size);
  }

  // Takes so much more that it is `size` altogether; less is left as it is. False as for Take.
  bool Grow(Budget& budget, std::size_t size) {
    if (size <= size_) return true;
    const std::size_t more = size - size_;
    if (budget.held_ > budget.most_ || more > budget.most_ - budget.held_) return false;
    budget_ = &budget;
    budget_->held_ += more;
    size_ = size;
    return true;
  }

 private:
  Budget* budget_ = nullptr;
  std::size_t size_ = 0;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_BUDGET_HPP_
