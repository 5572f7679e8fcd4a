// Acknowledgements of a sidecar to its server that it drains or has departed. A sidecar has no disk, so each
// waits until the cores have recorded it: otherwise a restart of the sidecar would lose what it has
// acknowledged. No I/O; not thread-safe; times are microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_NODE_PENDING_ACKNOWLEDGEMENTS_HPP_
#define FENNELHOLLOW_MESH_NODE_PENDING_ACKNOWLEDGEMENTS_HPP_

#include <functional>
#include <list>
#include <string>
#include <utility>

#include "mesh/control/command.hpp"
#include "mesh/registry/server.hpp"

namespace fennelhollow::node {

using merlinrun::Micros;

class PendingAcknowledgements {
 public:
  using Reply = std::function<void(control::Response)>;
  // Whether enough cores have recorded that the server is in this state.
  using IsRecorded = std::function<bool(const std::string& id, registry::State state)>;

  explicit PendingAcknowledgements(IsRecorded is_recorded) : is_recorded_(std::move(is_recorded)) {}

  // `state`: what `id` has reported, kDraining or kGone. Replies with 200 once it is recorded, at once or in
  // a later ReplyToRecorded; with 503 after kRecordTimeout, so that the server repeats the call.
  void Add(Micros now, const std::string& id, registry::State state, Reply reply);
  // To be called when a core has answered.
  void ReplyToRecorded();
  void OnTick(Micros now);

 private:
  struct Pending {
    std::string id;
    registry::State state = registry::State::kDraining;
    Micros deadline = 0;
    Reply reply;
  };
  const IsRecorded is_recorded_;
  std::list<Pending> pending_;
};

// A server takes an acknowledgement that comes within a second.
inline constexpr Micros kRecordTimeout = 800'000;

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_PENDING_ACKNOWLEDGEMENTS_HPP_
