// What became of requests and attempts over a stretch of time: by class and cause, and by server. Free of
// I/O; what is counted is taken out whole, stretch by stretch.
//
// Bounded: classes and causes are fixed, and servers are those that were tried in the stretch, kServers at
// most; what goes to further ones is counted under one name.
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
// A window holds 64 servers at most where keys are kept warm; a busy sidecar's may be wider.
inline constexpr std::size_t kServers = 256;
inline constexpr std::string_view kOtherServers = "(others)";

struct ClassAccount {
  std::int64_t served = 0;   // within the aim
  std::int64_t late = 0;     // served after it
  std::int64_t left = 0;     // their client did
  std::int64_t untried = 0;  // refused or failed without an attempt
  std::int64_t tries = 0;    // attempts of all that ended
  std::array<std::int64_t, kCauseCount> refused = {};
  std::array<std::int64_t, kCauseCount> failed = {};
  std::int64_t out_of_time = 0;  // failed by the core, as the module gave no answer
};

struct ServerAccount {
  std::array<std::int64_t, kResults> results = {};
  Micros took = 0;     // by those that succeeded, together
  Micros longest = 0;  // by any
};

struct Stretch {
  std::vector<ClassAccount> classes;  // as the settings number them
  std::map<std::string, ServerAccount, std::less<>> servers;
};

class Account {
 public:
  explicit Account(const Settings& settings);
  void Add(const core::CompletedRequest& ended);
  void Add(const core::CompletedAttempt& attempt);
  // All since the last call.
  Stretch Take();

 private:
  std::vector<Micros> aims_;  // by class
  Stretch stretch_;
};

}  // namespace merlinrun::stats

#endif  // MERLINRUN_STATS_INTERVAL_STATS_HPP_
