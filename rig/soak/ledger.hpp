// The judge of a soak run: what operators and clients saw, compared with what has to hold.
#ifndef FENNELHOLLOW_RIG_SOAK_LEDGER_HPP_
#define FENNELHOLLOW_RIG_SOAK_LEDGER_HPP_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"
#include "rig/mesh/server.hpp"

namespace fennelhollow::rig::soak {

// From an acknowledgement on, no machine may answer a read with an older configuration after so long.
inline constexpr milliseconds kApply{2500};

// Requests of one kind in a span of time.
struct Tally {
  std::uint64_t sent = 0, served = 0;
  double share() const { return sent == 0 ? 1 : static_cast<double>(served) / static_cast<double>(sent); }
};

class Ledger {
 public:
  using Routes = std::set<std::string>;  // names of the added routes of a configuration

  // A change is sent, for the first time.
  void OnSent(std::int64_t version, std::int64_t base, const Routes& routes);
  // It was acknowledged, whether its operator heard of it or not.
  void OnAcknowledged(std::int64_t version);
  // A call that was acknowledged before was answered like this when it was sent again.
  void OnRepeated(std::int64_t version, unsigned status);
  // A machine answered a read that was sent at that time.
  void OnRead(const std::string& machine, Clock::time_point sent, std::int64_t version, const Routes& routes);

  void OnUnsafeSent(const std::string& id) { unsafe_.insert(id); }
  void OnUnsafeRefused(const std::string& id) { refused_.insert(id); }
  // After the last request: whether unsafe requests ran twice, or ran though they were refused.
  void CheckRuns(const Runs& runs);

  // What else was seen that must not be. Kept up to a bound.
  void Fault(const std::string& what);
  const std::vector<std::string>& faults() const { return faults_; }

  std::int64_t newest_acknowledged() const { return newest_; }
  std::uint64_t acknowledged() const { return acknowledged_.size(); }
  std::uint64_t reads() const { return reads_; }

 private:
  struct Change {
    std::int64_t base = 0;
    Routes routes;
  };
  std::map<std::int64_t, Change> sent_;
  std::map<std::int64_t, Clock::time_point> acknowledged_;  // version, and when first
  std::map<std::int64_t, std::int64_t> taken_on_;           // base, and the version acknowledged on it
  std::int64_t newest_ = 0;
  std::uint64_t reads_ = 0;
  std::set<std::string> unsafe_, refused_;
  std::vector<std::string> faults_;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_LEDGER_HPP_
