// Results of requests and attempts per interval, by class, cause and server. Does no I/O.
//
// Memory is bounded: only servers with attempts in the interval are counted, up to kMaxServers; all others
// are summed up under kOtherServers.
#ifndef MERLINRUN_STATS_INTERVAL_STATS_HPP_
#define MERLINRUN_STATS_INTERVAL_STATS_HPP_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/request_manager.hpp"

namespace merlinrun::stats {

inline constexpr std::size_t kResults = static_cast<std::size_t>(Result::kNeverSent) + 1;
inline constexpr std::size_t kMaxServers = 256;
inline constexpr std::string_view kOtherServers = "(others)";

struct ClassStats {
  std::int64_t served = 0;  // within the target latency
  std::int64_t late = 0;    // served later than that
  std::int64_t client_gone = 0;
  std::int64_t without_attempt = 0;  // refused or failed without an attempt
  std::int64_t attempt_count = 0;    // of all completed requests
  std::array<std::int64_t, kCauseCount> refused = {};
  std::array<std::int64_t, kCauseCount> failed = {};
  std::int64_t deadline_exceeded = 0;  // without a decision of the balancer
};

struct ServerStats {
  std::array<std::int64_t, kResults> results = {};
  Micros total_duration = 0;  // of the successful attempts
  Micros max_duration = 0;    // of all attempts
};

struct IntervalStats {
  std::vector<ClassStats> classes;  // indexed like Settings::classes
  std::map<std::string, ServerStats, std::less<>> servers;
};

class IntervalCollector {
 public:
  explicit IntervalCollector(const Settings& settings);
  void Add(const core::CompletedRequest& completed);
  void Add(const core::CompletedAttempt& attempt);
  // Returns the results since the last call.
  IntervalStats Take();

 private:
  std::vector<Micros> target_latencies_;  // indexed like Settings::classes
  IntervalStats stats_;
};

}  // namespace merlinrun::stats

#endif  // MERLINRUN_STATS_INTERVAL_STATS_HPP_
