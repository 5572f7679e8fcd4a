#include "model/server.hpp"

#include <algorithm>
#include <cmath>

namespace merlinrun::model {

double Server::WarmupFactor(Micros now) const {
  const Micros age = now - started_at_;
  if (age >= parameters_.warmup_time) return 1;
  const double progress = static_cast<double>(age) / static_cast<double>(parameters_.warmup_time);
  return parameters_.cold_share + (1 - parameters_.cold_share) * progress;
}

void Server::Advance(Micros now) {
  work_per_item_ += rate_ * static_cast<double>(now - updated_at_);
  updated_at_ = now;
}

// Recomputes the rate of work per running attempt.
void Server::UpdateRate(Micros now) {
  if (parameters_.chokes) UpdateChoke(now);
  if (running_ == 0) {
    rate_ = 0;
    work_.clear();  // the remaining items were cancelled
    return;
  }
  const double excess = std::max(0.0, static_cast<double>(slots_in_use_) - parameters_.thrash_at);
  const double share = std::min(1.0, parameters_.cores / static_cast<double>(running_));
  rate_ = parameters_.speed * WarmupFactor(now) * share /
          ((1 + parameters_.thrash * excess) * (choked_ ? parameters_.choke_slowdown : 1));
  if (now < paused_until_) rate_ = 0;
}

void Server::UpdateChoke(Micros now) {
  const double cores = parameters_.cores;
  const double waiting = static_cast<double>(waiting_) + std::max(0.0, static_cast<double>(running_) - cores);
  const auto since = [now](bool condition, Micros& start) {
    if (!condition) start = -1;
    if (condition && start < 0) start = now;
    return condition ? now - start : -1;
  };
  const Micros crowded = since(waiting > parameters_.choke_at * cores, crowded_since_);
  const Micros calm = since(static_cast<double>(occupancy()) <= parameters_.choke_below * cores, calm_since_);
  if (!choked_ && crowded >= parameters_.choke_after) {
    choked_ = true;
    choked_at_ = now;
  } else if (choked_ && (calm >= parameters_.choke_recovery || now - choked_at_ >= parameters_.choke_max)) {
    choked_ = false;
    crowded_since_ = -1;
  }
}

Server::Admission Server::Admit(Micros now, std::uint64_t attempt) {
  Advance(now);
  Admission admission = Admission::kRejected;
  if (slots_in_use_ < parameters_.slots) {
    ++slots_in_use_;
    admission = Admission::kSlot;
  } else if (waiting_ < parameters_.queue) {
    ++waiting_;
    queue_.push_back(attempt);
    admission = Admission::kQueue;
  }
  UpdateRate(now);
  return admission;
}

void Server::StartWork(Micros now, std::uint64_t attempt, double work) {
  Advance(now);
  ++running_;
  work_.push_back({work_per_item_ + work, attempt});
  std::push_heap(work_.begin(), work_.end(),
                 [](const WorkItem& x, const WorkItem& y) { return x.finish > y.finish; });
  UpdateRate(now);
}

void Server::PopWork() {
  std::pop_heap(work_.begin(), work_.end(),
                [](const WorkItem& x, const WorkItem& y) { return x.finish > y.finish; });
  work_.pop_back();
}

void Server::AbandonQueue(Micros now) {
  Advance(now);
  --waiting_;
  UpdateRate(now);
}

void Server::Pause(Micros now, Micros until) {
  Advance(now);
  paused_until_ = std::max(paused_until_, until);
  UpdateRate(now);
}

void Server::Refresh(Micros now) {
  Advance(now);
  UpdateRate(now);
}

Micros Server::NextCompletion(Micros now) const {
  if (work_.empty() || rate_ <= 0) return 0;
  const double remaining = (work_.front().finish - work_per_item_) / rate_;
  return std::max(updated_at_ + static_cast<Micros>(std::ceil(std::max(remaining, 0.0))), now + 1);
}

}  // namespace merlinrun::model
