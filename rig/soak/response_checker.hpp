// Checks the responses to clients during planned work: signals, restarts and changes without any other fault.
#ifndef FENNELHOLLOW_RIG_SOAK_RESPONSE_CHECKER_HPP_
#define FENNELHOLLOW_RIG_SOAK_RESPONSE_CHECKER_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"
#include "rig/mesh/server.hpp"
#include "rig/soak/consistency_checker.hpp"

namespace fennelhollow::rig::soak {

// A request of a client, after its end.
struct Exchange {
  std::string id;
  std::string sidecar;  // name of the one that it was sent to
  Clock::time_point sent, ended;
  milliseconds deadline{0};                        // from `sent`
  unsigned status = 0;                             // 0: the connection ended without a complete response
  bool from_server = false;                        // the response bears a server's seal
  std::optional<Clock::time_point> terminated_at;  // when the process it was sent to got SIGTERM
};

class ResponseChecker {
 public:
  // The references must outlive the checker.
  ResponseChecker(ConsistencyChecker& checker, const ExecutionCounts& runs, milliseconds grace_period)
      : checker_(checker), runs_(runs), grace_period_(grace_period) {}

  // Checks a response. An exchange without one is kept until CheckUnanswered, as it may run later.
  void OnEnded(const Exchange& exchange);
  // Checks the exchanges without a response. Call when none of them can run any more.
  void CheckUnanswered();
  std::uint64_t checked() const { return checked_; }

 private:
  bool Ran(const std::string& id) const;
  // Whether the shutdown of its sidecar excuses that this request was given up while its server was at work.
  bool IsExcused(const Exchange& exchange) const;
  void Report(const Exchange& exchange, const std::string& what);

  ConsistencyChecker& checker_;
  const ExecutionCounts& runs_;
  const milliseconds grace_period_;
  std::vector<Exchange> unanswered_;
  std::uint64_t checked_ = 0;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_RESPONSE_CHECKER_HPP_
