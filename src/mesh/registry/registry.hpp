// Service registry: the servers and sidecars of the mesh, built only from the reports of sidecars. Performs
// no I/O; not thread-safe; times are microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_REGISTRY_REGISTRY_HPP_
#define FENNELHOLLOW_MESH_REGISTRY_REGISTRY_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "mesh/registry/server.hpp"
#include "mesh/registry/tombstones.hpp"

namespace fennelhollow::registry {

// The registry of a core, pushed to its subscribers by revision.
struct Snapshot {
  std::uint64_t epoch = 0;  // drawn at random at each start of the core; revisions compare only within it
  std::uint64_t revision = 0;
  // Sorted by id. Those that have departed stay for kTombstoneLifetime as kGone, so that a sidecar that was
  // started again learns of it.
  std::vector<Server> servers;
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
  // former one of the same name, whose later reports are ignored but for what holds for good: a server that
  // was reported draining or departed, by whomever, is not ready again, whatever later reports say.
  void OnReport(Micros now, const Sidecar& from, const std::vector<Server>& servers);
  // A report without servers: they are unchanged. False if the sidecar is unknown, has left or was replaced.
  bool OnKeepalive(Micros now, const std::string& name, std::uint64_t incarnation);
  // The sidecar shuts down: its servers are removed at once; it stays listed until it is forgotten.
  // `servers`: as in a report; only that they are draining or have departed counts.
  void OnLeaving(Micros now, const std::string& name, std::uint64_t incarnation,
                 const std::vector<Server>& servers);
  // What was remembered of draining and departed servers before this process started.
  void Restore(Micros now, const std::vector<Server>& servers);
  const Tombstones& tombstones() const { return tombstones_; }
  void OnTombstonesWritten(std::uint64_t version) { tombstones_.OnWritten(version); }
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
  // A server as its reporters describe it, and when they did; `server` is null if none of them lists it.
  struct Reported {
    const Server* server = nullptr;
    Micros at = 0;
  };
  Reported FindReported(const std::string& id) const;
  void ReplaceReport(Micros now, const Sidecar& from, const std::vector<Server>& servers,
                     ChangedKeys& changed);
  void MarkLeft(Micros now, const std::string& name, std::uint64_t incarnation, ChangedKeys& changed);
  void RecordTombstones(Micros now, const std::vector<Server>& servers, std::size_t count,
                        ChangedKeys& changed);
  void PublishDeparted(const Server& departed, ChangedKeys& changed);
  void Withdraw(const std::string& id, ChangedKeys& changed);
  void Publish(Micros now, Server server, Micros reported_at, ChangedKeys& changed);
  void UpdateServer(Micros now, const std::string& id, ChangedKeys& changed);
  void UpdateServers(Micros now, const Reporter& reporter, ChangedKeys& changed);
  void UpdateSidecar(const std::string& name, ChangedKeys& changed);
  void Commit(ChangedKeys changed);

  Micros silent_after_, forget_after_;
  Micros last_tick_ = -1;
  Micros self_preservation_until_ = 0;
  Tombstones tombstones_;
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
