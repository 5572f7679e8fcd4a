// The order in which things happen: a timing wheel, as the events of a fleet are dense and mostly near.
// Events of one time come out in the order in which they were put in.
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
  std::uint64_t tag = 0;  // its kind, below 256; above it the queue puts the order
  std::uint32_t a = 0;
  std::uint32_t b = 0;
  std::uint32_t kind() const { return static_cast<std::uint32_t>(tag & 255); }
};
static_assert(sizeof(Event) == 24);  // they are moved much

class EventQueue {
 public:
  // `shift`: a bucket spans 2^shift microseconds; some ten events in each are fastest.
  explicit EventQueue(int shift) : shift_(shift), wheel_(kBuckets) {}

  bool empty() const { return size_ == 0; }
  std::size_t size() const { return size_; }

  // No earlier than what was taken last.
  void Push(Event event) {
    event.tag |= ++last_order_ << 8;
    ++size_;
    const std::int64_t bucket = event.at >> shift_;
    if (bucket <= bucket_) {
      now_.insert(
          std::upper_bound(now_.begin() + static_cast<std::ptrdiff_t>(taken_), now_.end(), event, Before),
          event);
    } else if (bucket < bucket_ + kBuckets) {
      wheel_[static_cast<std::size_t>(bucket & kMask)].push_back(event);
      ++in_wheel_;
    } else {
      far_.push(event);
    }
  }

  // The earliest one; the queue is not empty.
  const Event& Top() {
    while (taken_ == now_.size()) Turn();
    return now_[taken_];
  }
  Event Pop() {
    const Event event = Top();
    ++taken_;
    --size_;
    return event;
  }

 private:
  static constexpr std::int64_t kBuckets = 4096;
  static constexpr std::int64_t kMask = kBuckets - 1;
  static bool Before(const Event& x, const Event& y) { return x.at != y.at ? x.at < y.at : x.tag < y.tag; }
  struct Later {
    bool operator()(const Event& x, const Event& y) const { return Before(y, x); }
  };

  void Turn() {
    now_.clear();
    taken_ = 0;
    bucket_ = in_wheel_ == 0 ? far_.top().at >> shift_ : bucket_ + 1;
    while (!far_.empty() && far_.top().at >> shift_ < bucket_ + kBuckets) {
      const Event event = far_.top();
      far_.pop();
      wheel_[static_cast<std::size_t>((event.at >> shift_) & kMask)].push_back(event);
      ++in_wheel_;
    }
    std::vector<Event>& bucket = wheel_[static_cast<std::size_t>(bucket_ & kMask)];
    in_wheel_ -= bucket.size();
    std::swap(now_, bucket);
    std::sort(now_.begin(), now_.end(), Before);
  }

  const int shift_;
  std::vector<std::vector<Event>> wheel_;  // of buckets after bucket_, none further than a turn away
  std::size_t in_wheel_ = 0;
  std::vector<Event> now_;  // of bucket_ and before, in order
  std::size_t taken_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> far_;
  std::int64_t bucket_ = -1;
  std::uint64_t last_order_ = 0;
  std::size_t size_ = 0;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_EVENTS_HPP_
