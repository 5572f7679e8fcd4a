// The server list, and the window of each sidecar on its ring (deterministic subsetting).
#ifndef MERLINRUN_POLICY_WINDOW_HPP_
#define MERLINRUN_POLICY_WINDOW_HPP_

#include <map>
#include <string>

#include "policy/cold_start.hpp"
#include "policy/records.hpp"

namespace merlinrun {

// Number of servers in the window of the pool.
std::size_t Width(const Pool& pool, const Settings& set);
// Counts the window servers inside and outside of the zone.
zones::Zones::Window WindowOf(int zone, const PolicyContext& common);

class ServerList {
 public:
  explicit ServerList(PolicyContext& common) : c_(common) {}
  // Applies the update and rebuilds the rings. Keeps unlisted servers while attempts are in flight.
  void Apply(const ListUpdate& update, ColdStart& cold_start);
  const std::map<std::string, Server>& all() const { return servers_; }

 private:
  PolicyContext& c_;
  std::map<std::string, Server> servers_;  // in ring order; pointers to its elements stay valid
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_WINDOW_HPP_
