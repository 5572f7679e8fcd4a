// Checks what operators and clients of a soak run observe against the guarantees of the control plane.
#ifndef FENNELHOLLOW_RIG_SOAK_CONSISTENCY_CHECKER_HPP_
#define FENNELHOLLOW_RIG_SOAK_CONSISTENCY_CHECKER_HPP_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"
#include "rig/mesh/server.hpp"

namespace fennelhollow::rig::soak {

// Maximum time from an acknowledgement until no node answers a read with an older configuration.
inline constexpr milliseconds kApplyTimeout{2500};

// Requests of one kind in a time interval.
struct Tally {
  std::uint64_t sent = 0, served = 0;
  double share() const { return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent); }
};

class ConsistencyChecker {
 public:
  using Routes = std::set<std::string>;  // names of the added routes of a configuration

  // An operator sends a change for the first time.
  void OnSent(std::int64_t version, std::int64_t base, const Routes& routes);
  // The change was acknowledged, even if its operator did not receive the response.
  void OnAcknowledged(std::int64_t version);
  // Response to a change that was sent again after it had been acknowledged.
  void OnResent(std::int64_t version, unsigned status);
  // A node answered a read that was sent at `sent`.
  void OnRead(const std::string& machine, Clock::time_point sent, std::int64_t version, const Routes& routes);

  void OnUnsafeSent(const std::string& id) { unsafe_.insert(id); }
  void OnUnsafeRefused(const std::string& id) { refused_.insert(id); }
  // Call after the last request: checks that no unsafe request ran twice or after a refusal.
  void CheckExecutions(const ExecutionCounts& runs);

  // Records any other violation, up to a maximum number.
  void ReportViolation(const std::string& what);
  const std::vector<std::string>& violations() const { return violations_; }

  std::int64_t newest_acknowledged() const { return newest_; }
  std::uint64_t acknowledged() const { return acknowledged_.size(); }
  std::uint64_t reads() const { return reads_; }

 private:
  struct Change {
    std::int64_t base = 0;
    Routes routes;
  };
  std::map<std::int64_t, Change> sent_;
  std::map<std::int64_t, Clock::time_point> acknowledged_;  // version, time of the first acknowledgement
  std::map<std::int64_t, std::int64_t> successor_of_;       // base version, version acknowledged on top of it
  std::int64_t newest_ = 0;
  std::uint64_t reads_ = 0;
  std::set<std::string> unsafe_, refused_;
  std::vector<std::string> violations_;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_CONSISTENCY_CHECKER_HPP_
