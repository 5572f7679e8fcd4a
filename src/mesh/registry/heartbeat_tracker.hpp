// The instances of the server on one machine, tracked by its sidecar. Performs no I/O; not thread-safe; times
// are microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_REGISTRY_HEARTBEAT_TRACKER_HPP_
#define FENNELHOLLOW_MESH_REGISTRY_HEARTBEAT_TRACKER_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/registry/server.hpp"

namespace fennelhollow::registry {

// In a sidecar: tracks the instances of the server on its machine by their heartbeats.
class HeartbeatTracker {
 public:
  // Handles a heartbeat in the format of PROTOCOL.md; kInvalidArgument with a one-line reason if malformed.
  // An outdated sequence number is ignored and returns OK. `sidecar_address`: internal address of this
  // sidecar. At most kMaxInstances are kept; instances that are gone are evicted first. The first heartbeat
  // from an address replaces the instance that had it, whose heartbeats count again once the other one is
  // gone: that one may have been the former instance, with a late heartbeat. A new instance counts as gone
  // until it is confirmed: its first heartbeat may be a late one, from before its departure.
  absl::Status OnHeartbeat(Micros now, std::string_view id, std::string_view json,
                           const std::string& sidecar_address, const std::string& zone);
  // No core that matters remembers that the instance drains or has departed.
  void Confirm(Micros now, std::string_view id);
  // Instances that wait for Confirm, which comes by itself kConfirmationTimeout after their first heartbeat.
  std::vector<std::string> Unconfirmed() const;
  // Ends the instance for good: later heartbeats of this id are ignored, even if none has arrived yet.
  void OnDeparture(Micros now, std::string_view id, const std::string& sidecar_address);
  // What a core remembers of an instance of this machine, possibly from a former process of this sidecar:
  // applied if it is draining or has departed.
  void OnRemembered(Micros now, const Server& remembered);
  // Its address refuses connections: marked gone until the next heartbeat, as after three missed intervals.
  void OnUnreachable(Micros now, std::string_view id);
  void OnTick(Micros now, Micros heartbeat_interval);
  // Includes for some time instances that are gone, as others may not know yet. Cold times are as of `now`.
  std::vector<Server> Instances(Micros now) const;
  const Server* Find(std::string_view id) const;
  // Increases with each change that has to be propagated at once (new instance, state change).
  std::uint64_t changes() const { return changes_; }

 private:
  struct Instance {
    Server server;
    Micros heartbeat_at = 0;
    Micros gone_at = 0;
    Micros first_heartbeat_at = 0;
    bool confirmed = false;
    bool draining = false;    // reported draining once: never ready again
    std::string replaced_by;  // the instance that took its address; empty: none
  };
  void UpdateState(Micros now, Instance& instance);
  bool IsReplaced(const Instance& instance) const;
  void TakeAddress(Micros now, const Server& server);
  Instance& FindOrAdd(std::string_view id);
  void MarkDeparted(Micros now, Instance& instance);
  void MarkGone(Micros now, Instance& instance);
  void EvictIfFull();
  std::map<std::string, Instance, std::less<>> instances_;
  Micros last_tick_ = -1;
  std::uint64_t changes_ = 0;
};

// Serving goes on while most cores are away.
inline constexpr Micros kConfirmationTimeout = 5'000'000;

}  // namespace fennelhollow::registry

#endif  // FENNELHOLLOW_MESH_REGISTRY_HEARTBEAT_TRACKER_HPP_
