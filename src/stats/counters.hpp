// Counters of this process since its start. Incremented and read on the loop's thread only, so that the
// values of one read are consistent.
#ifndef MERLINRUN_STATS_COUNTERS_HPP_
#define MERLINRUN_STATS_COUNTERS_HPP_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace merlinrun::stats {

// How a request completed for the client.
enum class RequestResult { kOk, kShed, kError };

// The result for a response status: 200 is a success, 429 and 503 are refusals (by the sidecar or the
// server), anything else is an error.
constexpr RequestResult ResultForStatus(unsigned status) {
  if (status == 200) return RequestResult::kOk;
  return status == 429 || status == 503 ? RequestResult::kShed : RequestResult::kError;
}

struct ClassCounters {
  std::int64_t ok = 0;
  std::int64_t shed = 0;
  std::int64_t errors = 0;
};

struct Counters {
  std::vector<ClassCounters> classes;  // indexed like Settings::classes
  std::int64_t attempts_sent = 0;      // attempts that were completely written to a server
  std::int64_t active = 0;             // requests in progress

  void Count(int request_class, RequestResult result) {
    if (request_class < 0 || static_cast<std::size_t>(request_class) >= classes.size()) return;
    ClassCounters& to = classes[static_cast<std::size_t>(request_class)];
    ++(result == RequestResult::kOk ? to.ok : result == RequestResult::kShed ? to.shed : to.errors);
  }
};

// Counts one request as active while it lives. The counters must outlive it.
class ActiveRequestGuard {
 public:
  ActiveRequestGuard() = default;
  ActiveRequestGuard(Counters& counters, int request_class)
      : counters_(&counters), request_class_(request_class) {
    ++counters.active;
  }
  ActiveRequestGuard(ActiveRequestGuard&& other) noexcept
      : counters_(std::exchange(other.counters_, nullptr)), request_class_(other.request_class_) {}
  ActiveRequestGuard& operator=(ActiveRequestGuard&& other) noexcept {
    if (this != &other) {
      Drop();
      counters_ = std::exchange(other.counters_, nullptr);
      request_class_ = other.request_class_;
    }
    return *this;
  }
  ~ActiveRequestGuard() { Drop(); }

  // The response has been sent completely.
  void Finish(RequestResult result) {
    if (counters_ != nullptr) counters_->Count(request_class_, result);
    Drop();
  }
  // The client has disconnected or gets no response.
  void Drop() {
    if (counters_ != nullptr) --std::exchange(counters_, nullptr)->active;
  }

 private:
  Counters* counters_ = nullptr;
  int request_class_ = -1;
};

}  // namespace merlinrun::stats

#endif  // MERLINRUN_STATS_COUNTERS_HPP_
