// Scores a simulated day: the service that clients received, and violations of the four rules that sidecars
// must keep:
// 1. every request is answered by its deadline, and nothing is sent for it after the answer;
// 2. no parallel attempts; after a request may have run, no further attempt and no refusal (clients retry
//    after a refusal) that could execute it twice, unless it is safe or servers deduplicate it;
// 3. nothing is sent to a server that drains or is gone, from the grace period after the sidecar was told;
// 4. no cold server crashes from overload by sidecars that know of its start.
// Service is the worth of the requests answered within their latency target over the worth of all requests,
// across all tries of a request; by class, and by window of the time of the request.
#ifndef MERLINRUN_MODEL_SCORING_HPP_
#define MERLINRUN_MODEL_SCORING_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "model/scenario.hpp"

namespace merlinrun::model {

struct ServiceShare {
  double requested = 0;  // worth
  double served = 0;     // worth; late responses count with their late worth
  double ratio() const { return requested > 0 ? served / requested : 1; }
};

// The lowest ratio of all.
double LowestRatio(const std::vector<ServiceShare>& shares);

struct DayResult {
  std::uint64_t seed = 0;
  double service = 0;  // 0 if a rule was violated or the decision code failed
  ServiceShare total;
  std::vector<ServiceShare> windows;
  std::vector<ServiceShare> classes;
  std::array<std::uint64_t, 4> violations{};    // count for rules 1 to 4
  std::vector<std::string> violation_messages;  // the first few
  std::string fault;                            // of the decision code; empty if none
  // Counts.
  std::uint64_t requests = 0;
  std::uint64_t tries = 0;
  std::uint64_t served = 0;
  std::uint64_t late = 0;     // served after the latency target
  std::uint64_t refused = 0;  // tries
  std::uint64_t failed = 0;   // tries
  std::uint64_t attempts = 0;
  std::uint64_t connections = 0;  // opened
  std::uint64_t cross_zone_attempts = 0;
  std::uint64_t overload_crashes = 0;  // cold servers that crashed under load
  std::uint64_t events = 0;
};

class DayScorer {
 public:
  explicit DayScorer(const Scenario& scenario);

  void RecordRequest(std::size_t class_index, Micros at);
  // A server's response to the request of `requested` reached the client at `now`.
  void RecordResponse(std::size_t class_index, Micros requested, Micros now);
  void RecordViolation(int rule, std::string message);

  DayResult& result() { return result_; }
  // Computes the totals and the service score when the day is over.
  DayResult Finish();

 private:
  std::size_t WindowOf(Micros at) const;

  static constexpr std::size_t kMaxMessages = 5;
  const Scenario& scenario_;
  const Micros window_length_;
  DayResult result_;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SCORING_HPP_
