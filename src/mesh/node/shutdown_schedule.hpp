// Points in time of a sidecar's shutdown, derived from the grace period of the platform, which kills the
// process at its end.
#ifndef FENNELHOLLOW_MESH_NODE_SHUTDOWN_SCHEDULE_HPP_
#define FENNELHOLLOW_MESH_NODE_SHUTDOWN_SCHEDULE_HPP_

#include "core/loop.hpp"

namespace fennelhollow::node {

// All times are on the clock of the event loop, in microseconds.
struct ShutdownSchedule {
  // `requested_at`: when the process handled SIGTERM. `grace_period`: from SIGTERM until SIGKILL.
  ShutdownSchedule(merlinrun::Micros requested_at, merlinrun::Micros grace_period);

  merlinrun::Micros leave_at;          // the local server is removed from the registry
  merlinrun::Micros clients_moved_at;  // the platform has sent all clients to other sidecars
  merlinrun::Micros earliest_exit_at;  // no attempt for the local server arrives any more
  merlinrun::Micros finish_at;         // requests still in flight are answered without their servers
  merlinrun::Micros latest_exit_at;    // the process exits even if something is in flight
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_SHUTDOWN_SCHEDULE_HPP_
