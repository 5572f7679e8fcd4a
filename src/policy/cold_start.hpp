// Slow start: limits the load of servers that have just started.
#ifndef MERLINRUN_POLICY_COLD_START_HPP_
#define MERLINRUN_POLICY_COLD_START_HPP_

#include "policy/records.hpp"

namespace merlinrun {

class ColdStart {
 public:
  explicit ColdStart(PolicyContext& common) : c_(common) {}
  // Starts with random credit, so that the sidecars begin sending at different times.
  void OnServerStarted(Server& server) {
    server.cold_start_credit = c_.random.Unit();
    server.served_at_refill = served_;
  }
  // Estimated share of full capacity; grows linearly over the warm-up.
  double CapacityShare(const Server& server) const;
  // Takes one attempt off the credit if there is enough.
  bool Accept(Server& server);
  void OnServed() { ++served_; }
  // A fast response shows spare capacity.
  void OnFastResponse(Server& server) { server.cold_start_credit = 1; }

 private:
  PolicyContext& c_;
  std::int64_t served_ = 0;  // successful attempts
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_COLD_START_HPP_
