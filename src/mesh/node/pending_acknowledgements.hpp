// Acknowledgements of a sidecar to its server that it drains or has departed. A sidecar has no disk, so each
// waits until a core has recorded it: otherwise a restart of the sidecar would lose what it has acknowledged.
// No I/O; not thread-safe; times are microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_NODE_PENDING_ACKNOWLEDGEMENTS_HPP_
#define FENNELHOLLOW_MESH_NODE_PENDING_ACKNOWLEDGEMENTS_HPP_

#include <functional>
#include <list>
#include <string>

#include "mesh/control/command.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::node {

using merlinrun::Micros;

class PendingAcknowledgements {
 public:
  using Reply = std::function<void(control::Response)>;

  // `state`: what `id` has reported, kDraining or kGone. Replies with 200 once `snapshot`, at once or in a
  // later OnSnapshot, shows that the core that published it has recorded the state; with 503 after
  // kRecordTimeout, so that the server repeats the call.
  void Add(Micros now, const std::string& id, registry::State state, const registry::Snapshot& snapshot,
           Reply reply);
  void OnSnapshot(const registry::Snapshot& snapshot);
  void OnTick(Micros now);

 private:
  struct Pending {
    std::string id;
    registry::State state = registry::State::kDraining;
    bool was_listed = false;  // by the snapshot at the time of the call
    Micros deadline = 0;
    Reply reply;
  };
  static bool IsRecorded(const Pending& pending, const registry::Snapshot& snapshot);
  std::list<Pending> pending_;
};

// A server takes an acknowledgement that comes within a second.
inline constexpr Micros kRecordTimeout = 800'000;

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_PENDING_ACKNOWLEDGEMENTS_HPP_
