// push: what control and sidecars say to one another (standard term: control-plane push, as xDS does
// it). Values for cereal; the first byte of a frame is its Word.
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

// Sidecar to core, every `kTellEvery` and at once when something changed.
struct SidecarReport {
  registry::Sidecar sidecar;
  bool leaving = false;
  bool has_servers = true;                // false: the lives are as told last on this link
  std::vector<registry::Server> servers;  // of the server beside it
  bool subscribe = false;                 // this core is the one whose news it wants
  std::uint64_t applied_entry = 0;        // number of the ledger entry that is in force here
  std::uint64_t epoch = 0, revision = 0;  // of the listing it has; (0, 0): none; (n, 0): needs the whole
  std::uint64_t request_id = 0;           // its own count, in the answer's shares
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
  std::uint64_t committed_entry = 0;  // of the ledger, newest settled that this core knows
  bool has_state = false;
  std::string state;  // configuration::Ledger::Write, with ledger_too
  bool has_snapshot = false;
  registry::Snapshot snapshot;  // with whole
  std::vector<registry::Delta> deltas;
  std::vector<std::string> cores;  // internal addresses of all cores
  std::string leader;              // of the order; empty = unknown
  bool has_leader = false;         // this core is the holder, or hears one
  bool warming_up = false;         // it has only just started: its listing may lack what others will tell yet
  std::uint64_t request_id = 0;    // the Tell that the shares answer; 0 = none
  std::vector<quota::Share> shares;  // from the holder alone
  std::int64_t lease_ms = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(committed_entry, has_state, state, has_snapshot, snapshot, deltas, cores, leader, has_leader,
      warming_up, request_id, shares, lease_ms);
  }
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_MESSAGES_HPP_
