// The registry of what this process has done since it started: written where a thing happens, read in one
// turn of the loop, so that the figures agree with one another. Nobody waits for it. One thread.
#ifndef MERLINRUN_STATS_COUNTERS_HPP_
#define MERLINRUN_STATS_COUNTERS_HPP_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace merlinrun::stats {

// How a request ended for its client.
enum class Ending { kOk, kShed, kError };

// By the status of its answer: 200 is served, 429 and 503 are refusals, whoever worded them, any other
// failed.
constexpr Ending EndingOf(unsigned status) {
  if (status == 200) return Ending::kOk;
  return status == 429 || status == 503 ? Ending::kShed : Ending::kError;
}

struct ClassCounters {
  std::int64_t ok = 0;
  std::int64_t shed = 0;
  std::int64_t errors = 0;
};

struct Counters {
  std::vector<ClassCounters> classes;  // as the settings number them
  std::int64_t tries = 0;              // attempts that were written whole to a server
  std::int64_t active = 0;             // requests taken and not ended

  void Count(int request_class, Ending ending) {
    if (request_class < 0 || static_cast<std::size_t>(request_class) >= classes.size()) return;
    ClassCounters& to = classes[static_cast<std::size_t>(request_class)];
    ++(ending == Ending::kOk ? to.ok : ending == Ending::kShed ? to.shed : to.errors);
  }
};

// One request that has been taken: counts as active for as long as this lives. The counters must outlive it.
class Taken {
 public:
  Taken() = default;
  Taken(Counters& counters, int request_class) : counters_(&counters), request_class_(request_class) {
    ++counters.active;
  }
  Taken(Taken&& other) noexcept
      : counters_(std::exchange(other.counters_, nullptr)), request_class_(other.request_class_) {}
  Taken& operator=(Taken&& other) noexcept {
    if (this != &other) {
      Drop();
      counters_ = std::exchange(other.counters_, nullptr);
      request_class_ = other.request_class_;
    }
    return *this;
  }
  ~Taken() { Drop(); }

  // Its client has been sent the whole of its answer.
  void End(Ending ending) {
    if (counters_ != nullptr) counters_->Count(request_class_, ending);
    Drop();
  }
  // Its client has gone, or will not be answered.
  void Drop() {
    if (counters_ != nullptr) --std::exchange(counters_, nullptr)->active;
  }

 private:
  Counters* counters_ = nullptr;
  int request_class_ = -1;
};

}  // namespace merlinrun::stats

#endif  // MERLINRUN_STATS_COUNTERS_HPP_
