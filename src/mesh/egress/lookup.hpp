// What a request is, by the tables: decisions of the outbound proxy that need no socket.
#ifndef FENNELHOLLOW_MESH_EGRESS_LOOKUP_HPP_
#define FENNELHOLLOW_MESH_EGRESS_LOOKUP_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "merlinrun/balancer.hpp"
#include "mesh/configuration/configuration.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::egress {

using merlinrun::Micros;
using Headers = std::vector<std::pair<std::string, std::string>>;

struct Found {
  enum class Kind {
    kGo,
    kMalformed,  // 400
    kNoRoute,    // 404
    kNoKey,      // 401
  } kind = Kind::kNoRoute;
  const configuration::Route* route = nullptr;    // with kGo; of the tables
  const configuration::Tenant* tenant = nullptr;  // null: none is asked for
  std::string id;                                 // Attempt-Id
  std::optional<std::int64_t> deadline_ms;        // Deadline-Remaining
  bool safe = false;                              // may be repeated
  int priority = 0;
};

// Looks a request up.
Found Find(const configuration::RoutingTables& tables, std::string_view host, std::string_view target,
           const Headers& headers);

// The headers as they go to a server: what the system sets is taken out and set anew.
Headers Forwarded(const Headers& headers, std::string_view host, const Found& found,
                  std::string_view calling_service);

// A target by weight; `unit` is drawn from [0, 1).
const std::string& PickService(const configuration::Route& route, double unit);

// This sidecar's number for the module's windows: those of each service are spread evenly over all numbers.
// By name alone the callers of one service stand side by side, and so do their windows: a few of its servers
// had twice their part. `sidecars` sorted by name; one that is not among them is taken for the last.
std::size_t InterleavedRank(const std::vector<registry::Sidecar>& sidecars, std::string_view name);

// The module knows classes of requests, told at its start; routes come and go. So the classes are a fixed
// grid: repeatable or not, by aim and by priority, and a route has the class whose aim is nearest.
std::vector<merlinrun::RequestClass> ClassGrid();
int ClassOf(const Found& found);
// Its name in ClassGrid, as "safe-2-300": whether it may be repeated, its priority and its aim in
// milliseconds.
const std::string& ClassName(int request_class);

}  // namespace fennelhollow::egress

#endif  // FENNELHOLLOW_MESH_EGRESS_LOOKUP_HPP_
