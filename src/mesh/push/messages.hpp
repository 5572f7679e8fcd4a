// Messages between cores (the control plane) and sidecars, serialized with cereal. A sidecar sends reports; a
// core pushes configuration state and registry snapshots or deltas, much like xDS.
#ifndef FENNELHOLLOW_MESH_PUSH_MESSAGES_HPP_
#define FENNELHOLLOW_MESH_PUSH_MESSAGES_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "mesh/quota/quota.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::quota {
template <class Archive>
void serialize(Archive& a, TenantLimit& l) {
  a(l.rate_per_s, l.burst);
}
template <class Archive>
void serialize(Archive& a, Demand& d) {
  a(d.tenant, d.requested_per_s, d.admitted_in_window, d.unmet);
}
template <class Archive>
void serialize(Archive& a, Share& s) {
  a(s.tenant, s.rate_per_s, s.burst, s.source_limit);
}
}  // namespace fennelhollow::quota

namespace fennelhollow::push {

// Sidecar to core: sent periodically (see client.hpp), and at once after a change.
struct SidecarReport {
  registry::Sidecar sidecar;
  bool leaving = false;
  bool has_servers = true;                // false: unchanged since the last report on this link
  std::vector<registry::Server> servers;  // instances of the server on this machine
  bool subscribe = false;                 // asks this core for pushes
  std::uint64_t applied_entry = 0;        // log index of the configuration in force
  std::uint64_t epoch = 0, revision = 0;  // of its snapshot; (0, 0): has none; (n, 0): needs a full one
  std::uint64_t request_id = 0;           // echoed by the update that carries the shares; 0 = no request
  std::vector<quota::Demand> demand;
  std::vector<quota::Share> held_shares;
  template <class Archive>
  void serialize(Archive& a) {
    a(sidecar, leaving, has_servers, servers, subscribe, applied_entry, epoch, revision, request_id, demand,
      held_shares);
  }
};

// Core to sidecar.
struct CoreUpdate {
  std::uint64_t committed_entry = 0;  // log index of the newest committed entry known to this core
  bool has_state = false;
  std::string state;  // configuration::ReplicatedState::Serialize, if has_state
  bool has_snapshot = false;
  registry::Snapshot snapshot;  // if has_snapshot
  std::vector<registry::Delta> deltas;
  std::vector<std::string> cores;    // internal addresses of all cores
  std::string leader;                // consensus leader; empty = unknown
  bool has_leader = false;           // this core is the leader or is in contact with it
  bool warming_up = false;           // recently started: its registry may still be incomplete
  std::uint64_t request_id = 0;      // of the report that `shares` answers; 0 = none
  std::vector<quota::Share> shares;  // quota shares; granted by the leader only
  std::int64_t lease_ms = 0;         // of `shares`
  template <class Archive>
  void serialize(Archive& a) {
    a(committed_entry, has_state, state, has_snapshot, snapshot, deltas, cores, leader, has_leader,
      warming_up, request_id, shares, lease_ms);
  }
};

// What a core remembers of one server of a sidecar's report.
struct ServerRecord {
  std::string id;
  registry::State state = registry::State::kReady;  // kReady: it has no tombstone
  bool on_disk = false;                             // the tombstone outlives the core's process
  template <class Archive>
  void serialize(Archive& a) {
    a(id, state, on_disk);
  }
};

// Core to sidecar: the answer to each report that lists servers, sent again once a tombstone of one of them
// is on disk. A message of its own: sidecars of versions without it count it as malformed and go on.
struct ServerRecords {
  // Tells it from a CoreUpdate, which begins with a log index: none is that large.
  static constexpr std::uint64_t kTag = 0x53455256'52454331;
  std::uint64_t tag = kTag;
  bool complete = true;  // false: this core has lost its disk, and with it tombstones
  std::vector<ServerRecord> servers;
  template <class Archive>
  void serialize(Archive& a) {
    a(tag, complete, servers);
  }
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_MESSAGES_HPP_
