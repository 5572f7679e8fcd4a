// Records every request, execution and response of a run and checks four invariants: 1. each request gets one
// response in time; 2. a request that is not safe to repeat runs at most once, and not if refused, and any
// request runs at one server at a time, not counting attempts of a safe request whose connection was
// reset; 3. a draining server gets no new requests; 4. a cold server is not overloaded. One instance per run;
// times are microseconds of one clock.
#ifndef MERLINRUN_RIG_INVARIANT_CHECKER_HPP_
#define MERLINRUN_RIG_INVARIANT_CHECKER_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::rig {

// A class of requests in the generated traffic.
struct TrafficClass {
  std::string name;
  RetrySafety retry_safety = RetrySafety::kSafe;
  Micros service_time = 10'000;  // on one core of a server
  Micros deadline = 2'000'000;
  int weight = 1;  // relative share of the requests
};

class InvariantChecker {
 public:
  enum class Outcome { kServed, kRefused, kFailed };
  using ConnectionReset = std::function<bool()>;
  struct ClassSummary {  // totals of one traffic class
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t abandoned = 0;    // the client crashed before the response
    std::uint64_t executed = 0;     // executions started
    std::vector<Micros> latencies;  // of served requests
    Micros Quantile(double q) const;
  };

  // A client sends a new request. One response is due by `now + deadline`.
  void OnRequest(const std::string& id, const TrafficClass& traffic_class, Micros now);
  // The client retransmits the request: still one outcome, but one response for each transmission.
  void OnRetransmit(const std::string& id);
  // The client crashed: no response is due on its closed connection.
  void OnClientCrash(const std::string& id);
  // A client received a response. `token` is the response body.
  void OnResponse(const std::string& id, Outcome outcome, const std::string& token, Micros now);

  // A server starts to execute a request; its response will hold `token`. Deduplicated repeats don't count.
  // `connection_reset`, called until the execution ends, returns whether the attempt's connection was reset.
  void OnExecutionStart(const std::string& id, const std::string& server, const std::string& token,
                        ConnectionReset connection_reset);
  // The execution ended, or its server crashed.
  void OnExecutionEnd(const std::string& id, const std::string& token);
  // A request arrived at a server, whether it is executed, queued or declined.
  void OnArrival(const std::string& server, Micros now);
  // Discovery reported the server as draining or removed, until OnListed reports it as up again.
  void OnDrainNotified(const std::string& server, Micros now);
  void OnListed(const std::string& server) { drain_notified_.erase(server); }
  // A cold server received more load than it can handle.
  void OnOverload(const std::string& server);

  // Ids of requests whose response is overdue at `now`. Must be empty at the end of a run.
  std::vector<std::string> Overdue(Micros now) const;
  // One line for each violation, at most kMaxViolationLines of them.
  const std::vector<std::string>& violations() const { return violations_; }
  std::uint64_t violation_count() const { return violation_count_; }
  std::map<std::string, ClassSummary> Summary() const;

 private:
  struct Entry {
    TrafficClass traffic_class;
    Micros sent_at = 0;
    int responses_due = 1;
    bool abandoned = false;
    std::map<std::string, ConnectionReset> running;  // by token
    std::vector<std::string> tokens;                 // one for each execution
    std::vector<Outcome> outcomes;
    std::string served_token;
    Micros latency = 0;
  };
  void ReportViolation(int rule, const std::string& what);
  static bool ExecutedTwiceAtOnce(const Entry& entry);

  // Tolerance after the deadline; larger than the platform's 50 ms because test machines are busy.
  static constexpr Micros kDeadlineGrace = 250'000;
  static constexpr Micros kDrainGrace = 550'000;  // the platform's 500 ms and 50 ms of tolerance
  static constexpr std::size_t kMaxViolationLines = 20;
  std::unordered_map<std::string, Entry> entries_;
  std::unordered_map<std::string, Micros> drain_notified_;
  std::vector<std::string> violations_;
  std::uint64_t violation_count_ = 0;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_INVARIANT_CHECKER_HPP_
