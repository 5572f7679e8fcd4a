// Service registry: the servers and sidecars of the mesh, built only from the reports of sidecars. Performs
// no I/O; not thread-safe; times are microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_REGISTRY_REGISTRY_HPP_
#define FENNELHOLLOW_MESH_REGISTRY_REGISTRY_HPP_

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace fennelhollow::registry {

using merlinrun::Micros;

enum class State : std::uint8_t { kReady, kDraining, kGone };

// One instance of a server, as reported by the sidecar on its machine.
struct Server {
  std::string id;
  std::string service;
  std::string address;  // ip:port, reachable only on its own machine
  std::string zone;
  std::string version;
  std::int32_t slots = 0;
  State state = State::kReady;
  std::int64_t cold_remaining_ms = 0;  // at the time of the report
  std::uint64_t sequence = 0;          // of its heartbeats
  std::string sidecar_address;         // internal address (ip:port) of the sidecar in front of it
  bool operator==(const Server&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(id, service, address, zone, version, slots, state, cold_remaining_ms, sequence, sidecar_address);
  }
};

// A sidecar, as it describes itself.
struct Sidecar {
  std::string name;               // nodeName of its settings
  std::uint64_t incarnation = 0;  // drawn at random at each start
  std::string internal_address;   // ip:port
  std::string zone;
  std::string service;  // of its server
  bool operator==(const Sidecar&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(name, incarnation, internal_address, zone, service);
  }
};

// In a sidecar: tracks the instances of the server on its machine by their heartbeats.
class HeartbeatTracker {
 public:
  // Handles a heartbeat in the format of PROTOCOL.md; kInvalidArgument with a one-line reason if malformed.
  // An outdated sequence number is ignored and returns OK. `sidecar_address`: internal address of this
  // sidecar. At most kMaxInstances are kept; instances that are gone are evicted first.
  absl::Status OnHeartbeat(Micros now, std::string_view id, std::string_view json,
                           const std::string& sidecar_address, const std::string& zone);
  // Ends the instance for good: later heartbeats of this id are ignored, even if none has arrived yet.
  void OnDeparture(Micros now, std::string_view id);
  // Its address refuses connections: marked gone until the next heartbeat, as after three missed intervals.
  void OnUnreachable(Micros now, std::string_view id);
  void OnTick(Micros now, Micros heartbeat_interval);
  // Includes instances gone within the last ten seconds, as others may not know yet. Cold times are as of
  // `now`.
  std::vector<Server> Instances(Micros now) const;
  const Server* Find(std::string_view id) const;
  // Increases with each change that has to be propagated at once (new instance, state change).
  std::uint64_t changes() const { return changes_; }

 private:
  struct Instance {
    Server server;
    Micros heartbeat_at = 0;
    Micros gone_at = 0;
    bool draining = false;  // reported draining once: never ready again
    bool ended = false;     // departed, or its address was reused: no heartbeat revives it
  };
  void MarkGone(Micros now, Instance& instance);
  void EvictIfFull();
  std::map<std::string, Instance, std::less<>> instances_;
  Micros last_tick_ = -1;
  std::uint64_t changes_ = 0;
};
inline constexpr std::size_t kMaxInstances = 8;

// The registry of a core, pushed to its subscribers by revision.
struct Snapshot {
  std::uint64_t epoch = 0;  // drawn at random at each start of the core; revisions compare only within it
  std::uint64_t revision = 0;
  std::vector<Server> servers;    // sorted by id
  std::vector<Sidecar> sidecars;  // sorted by name; the position is the rank of a sidecar
  template <class Archive>
  void serialize(Archive& a) {
    a(epoch, revision, servers, sidecars);
  }
};
// The changes between two revisions.
struct Delta {
  std::uint64_t epoch = 0, from_revision = 0, to_revision = 0;
  std::vector<Server> servers;  // new or changed
  std::vector<std::string> removed_servers;
  std::vector<Sidecar> sidecars;
  std::vector<std::string> removed_sidecars;
  template <class Archive>
  void serialize(Archive& a) {
    a(epoch, from_revision, to_revision, servers, removed_servers, sidecars, removed_sidecars);
  }
};

// In a core: the registry built from sidecar reports.
class Registry {
 public:
  // The first snapshot has revision 1; subscribers without a snapshot report revision 0.
  Registry(std::uint64_t epoch, Micros silent_after, Micros forget_after)
      : silent_after_(silent_after), forget_after_(forget_after) {
    snapshot_.epoch = epoch;
    snapshot_.revision = 1;
  }
  // A full report of a sidecar and its servers; replaces its previous one. A new incarnation replaces the
  // former one of the same name, whose later reports are ignored.
  void OnReport(Micros now, const Sidecar& from, const std::vector<Server>& servers);
  // A report without servers: they are unchanged. False if the sidecar is unknown, has left or was replaced.
  bool OnKeepalive(Micros now, const std::string& name, std::uint64_t incarnation);
  // The sidecar shuts down: its servers are removed at once; it stays listed until it is forgotten.
  void OnLeaving(Micros now, const std::string& name, std::uint64_t incarnation);
  // To be called about every 100 ms. Removes the servers of sidecars silent for `silent_after`, and forgets
  // sidecars silent for `forget_after`. Self-preservation: if most sidecars, and at least
  // kSelfPreservationMinimum, are silent at once, this core itself was probably cut off; then servers are
  // kept for two thirds of `forget_after`, until twice `silent_after` after most are back. A gap between
  // calls means that this process was suspended and does not count as silence.
  void OnTick(Micros now);
  const Snapshot& snapshot() const { return snapshot_; }
  // The changes since a subscriber's revision; absent if that is too old or of another epoch, so that a full
  // snapshot is needed.
  std::optional<Delta> DeltaSince(std::uint64_t epoch, std::uint64_t revision) const;
  // True from `warm_up` after the start, if any sidecar has reported: by then all have connected and
  // reported. Before that a missing entry means nothing, and no full snapshot may replace one that a
  // subscriber has.
  bool WarmedUp(Micros now, Micros started, Micros warm_up) const;
  std::size_t sidecar_count() const { return reporters_.size(); }

 private:
  struct Reporter {
    Sidecar sidecar;
    std::vector<Server> servers;
    Micros last_heard = 0;
    Micros reported_at = 0;  // when `servers` was received
    bool silent = false;
    bool left = false;
    std::deque<std::uint64_t> past_incarnations;  // replaced or left: their reports are ignored
  };
  struct ChangedKeys {  // of one revision; their values are looked up when a delta is built
    std::vector<std::string> servers;
    std::vector<std::string> sidecars;
  };
  bool IsActive(const Reporter& reporter) const { return !reporter.silent && !reporter.left; }
  void UpdateServer(Micros now, const std::string& id, ChangedKeys& changed);
  void UpdateServers(Micros now, const Reporter& reporter, ChangedKeys& changed);
  void UpdateSidecar(const std::string& name, ChangedKeys& changed);
  void Commit(ChangedKeys changed);

  Micros silent_after_, forget_after_;
  Micros last_tick_ = -1;
  Micros self_preservation_until_ = 0;
  std::map<std::string, Reporter> reporters_;
  std::map<std::string, std::set<std::string>> reporters_by_server_;  // server id -> sidecar names
  // By server id: when the cold time in the snapshot was current.
  std::map<std::string, Micros> cold_measured_at_;
  Snapshot snapshot_;
  std::deque<ChangedKeys> delta_log_;  // the last one led to snapshot_.revision
};
inline constexpr std::size_t kSelfPreservationMinimum = 3;
inline constexpr std::size_t kMaxSidecars = 4096;
inline constexpr std::size_t kMaxLoggedDeltas = 512;

// Applies a delta; false if it starts after the revision of `snapshot` or is of another epoch. A delta
// carries whole values, so one that starts earlier can be applied too, and one that ends earlier changes
// nothing.
bool ApplyDelta(Snapshot& snapshot, const Delta& delta);

}  // namespace fennelhollow::registry

#endif  // FENNELHOLLOW_MESH_REGISTRY_REGISTRY_HPP_
