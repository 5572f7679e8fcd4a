// Outlier detection and ejection of single servers.
#ifndef MERLINRUN_POLICY_HEALTH_HPP_
#define MERLINRUN_POLICY_HEALTH_HPP_

#include <vector>

#include "policy/records.hpp"

namespace merlinrun {

// Refusals of one class alone are a limit on that class, not overload.
bool RefusesOneClass(const Server& server);

class Health {
 public:
  explicit Health(PolicyContext& common) : c_(common), usual_latency_(common.set.classes.size()) {}
  // Whether the response took about the usual time, without queueing.
  bool IsFast(const ActiveRequest& active, const Outcome& outcome) const;
  void RecordOutcome(const ActiveRequest& active, Server& server, Micros sent, const Outcome& outcome);
  // Ejects the server for a backoff if the attempt suggests that it is down or stuck. `dead`: a connection
  // failed.
  void RecordFailure(Server& server, Micros sent, bool dead);
  // Ejected, or already probed by one attempt.
  bool IsEjected(const Server& server) const;
  // Skips a server at random, as often as it recently refused or failed such requests.
  bool ShouldSkip(const ActiveRequest& active, const Server& server);

 private:
  PolicyContext& c_;
  std::vector<double> usual_latency_;  // by class; 0 = unknown
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_HEALTH_HPP_
