// Selects the server for an attempt.
#ifndef MERLINRUN_POLICY_CHOICE_HPP_
#define MERLINRUN_POLICY_CHOICE_HPP_

#include <utility>
#include <vector>

#include "policy/cold_start.hpp"
#include "policy/health.hpp"
#include "policy/records.hpp"

namespace merlinrun {

class ServerSelector {
 public:
  ServerSelector(PolicyContext& common, Health& health, ColdStart& cold_start)
      : c_(common), health_(health), cold_start_(cold_start) {}
  // Power of two choices within the window. Returns null if no server is usable.
  Server* Select(const ActiveRequest& active);
  // The reason why Select returned null.
  Cause CauseOfNone(const ActiveRequest& active) const;

 private:
  double LoadScore(const Server& server) const;
  double Weight(const Server& server) const;
  double HashScore(std::uint64_t key, const Server& server) const;
  Server* SelectByKey(const ActiveRequest& active, const Pool& pool, std::size_t width);
  Server* SelectOutsideWindow(const ActiveRequest& active);
  bool Usable(const ActiveRequest& active, const Server& server);
  bool MayUse(const ActiveRequest& active, const Server& server) const;

  PolicyContext& c_;
  Health& health_;
  ColdStart& cold_start_;
  std::vector<std::pair<double, Server*>> ranking_;  // scratch buffer of SelectByKey
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_CHOICE_HPP_
