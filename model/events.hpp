// Event queue of the simulation: a timing wheel, as most events are in the near future. Events of the same
// time leave in order of insertion.
#ifndef MERLINRUN_MODEL_EVENTS_HPP_
#define MERLINRUN_MODEL_EVENTS_HPP_

#include <algorithm>
#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

struct Event {
  Micros at = 0;
  std::uint64_t tag = 0;  // the kind in the low 8 bits; the queue sets the insertion order above
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t kind() const { return static_cast<std::uint32_t>(tag & 255); }
};
static_assert(sizeof(Event) == 24);  // copied often

class EventQueue {
 public:
  // `shift`: a bucket spans 2^shift microseconds; about ten events per bucket are fastest.
  explicit EventQueue(int shift) : shift_(shift), wheel_(kBuckets) {}

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

  // The event must not be earlier than the last one taken.
  void Push(Event event) {
    event.tag |= ++last_sequence_ << 8;
    ++size_;
    const std::int64_t bucket = event.at >> shift_;
    if (bucket <= current_bucket_) {
      current_.insert(std::upper_bound(current_.begin() + static_cast<std::ptrdiff_t>(next_), current_.end(),
                                       event, Precedes),
                      event);
    } else if (bucket < current_bucket_ + kBuckets) {
      wheel_[static_cast<std::size_t>(bucket & kMask)].push_back(event);
      ++wheel_size_;
    } else {
      overflow_.push(event);
    }
  }

  // The earliest event; the queue must not be empty.
  const Event& Top() {
    while (next_ == current_.size()) AdvanceWheel();
    return current_[next_];
  }
  Event Pop() {
    const Event event = Top();
    ++next_;
    --size_;
    return event;
  }

 private:
  static constexpr std::int64_t kBuckets = 4096;
  static constexpr std::int64_t kMask = kBuckets - 1;
  static bool Precedes(const Event& x, const Event& y) { return x.at != y.at ? x.at < y.at : x.tag < y.tag; }
  struct Later {
    bool operator()(const Event& x, const Event& y) const { return Precedes(y, x); }
  };

  void AdvanceWheel() {
    current_.clear();
    next_ = 0;
    current_bucket_ = wheel_size_ == 0 ? overflow_.top().at >> shift_ : current_bucket_ + 1;
    while (!overflow_.empty() && overflow_.top().at >> shift_ < current_bucket_ + kBuckets) {
      const Event event = overflow_.top();
      overflow_.pop();
      wheel_[static_cast<std::size_t>((event.at >> shift_) & kMask)].push_back(event);
      ++wheel_size_;
    }
    std::vector<Event>& bucket = wheel_[static_cast<std::size_t>(current_bucket_ & kMask)];
    wheel_size_ -= bucket.size();
    std::swap(current_, bucket);
    std::sort(current_.begin(), current_.end(), Precedes);
  }

  const int shift_;
  std::vector<std::vector<Event>> wheel_;  // buckets after current_bucket_, one revolution at most
  std::size_t wheel_size_ = 0;
  std::vector<Event> current_;  // events of current_bucket_ and before, sorted
  std::size_t next_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> overflow_;
  std::int64_t current_bucket_ = -1;
  std::uint64_t last_sequence_ = 0;
  std::size_t size_ = 0;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_EVENTS_HPP_
