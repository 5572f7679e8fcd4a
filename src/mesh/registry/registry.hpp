// roster: which servers and sidecars there are (standard term: service registry), built from tellers alone.
// Free of I/O.
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

// One life of a server, as its sidecar tells it.
struct Server {
  std::string id;
  std::string service;
  std::string address;  // ip:port, reachable on its own machine only
  std::string zone;
  std::string version;
  std::int32_t slots = 0;
  State state = State::kReady;
  std::int64_t cold_remaining_ms = 0;  // at the time of telling
  std::uint64_t sequence = 0;          // of its beats
  std::string sidecar_address;         // internal address (ip:port) of the sidecar beside it
  bool operator==(const Server&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(id, service, address, zone, version, slots, state, cold_remaining_ms, sequence, sidecar_address);
  }
};

// A sidecar, as it tells of itself.
struct Sidecar {
  std::string name;               // nodeName
  std::uint64_t incarnation = 0;  // drawn at its start
  std::string internal_address;   // its internal address
  std::string zone;
  std::string service;  // of the server beside it
  bool operator==(const Sidecar&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(name, incarnation, internal_address, zone, service);
  }
};

// In a sidecar: the lives of the server on its own machine.
class HeartbeatTracker {
 public:
  // Takes a beat as PROTOCOL.md has it. kInvalidArgument with one line if it can't be read. An older sequence
  // than one that was taken changes nothing and is OK. `hop`: this sidecar's. At most kMostLives are kept
  // (oldest ended ones go first).
  absl::Status OnHeartbeat(Micros now, std::string_view id, std::string_view json, const std::string& hop,
                           const std::string& zone);
  // No beat of this id counts any more, also if none has come yet: one may be seconds late.
  void OnDeparture(Micros now, std::string_view id);
  // Nothing listens at its address any more, or its beats have been silent for three intervals: gone until
  // the next beat.
  void OnUnreachable(Micros now, std::string_view id);
  void OnTick(Micros now, Micros beat_interval);
  // Those gone in the last ten seconds included: others may not know yet. Cold times are as of `now`.
  std::vector<Server> Instances(Micros now) const;
  const Server* Find(std::string_view id) const;
  // Rises with each change that others have to be told at once (state, new life, end).
  std::uint64_t changes() const { return changes_; }

 private:
  struct Instance {
    Server server;
    Micros heartbeat_at = 0;
    Micros gone_at = 0;
    bool draining = false;  // has said so once: never ready again
    bool ended = false;     // departed, or another life took its address: no beat brings it back
  };
  void End(Micros now, Instance& life);
  void EvictIfFull();
  std::map<std::string, Instance, std::less<>> instances_;
  Micros last_tick_ = -1;
  std::uint64_t changes_ = 0;
};
inline constexpr std::size_t kMaxInstances = 8;

// What a core knows, and pushes to its subscribers by number.
struct Snapshot {
  std::uint64_t epoch = 0;  // drawn by this core at its start: numbers of another epoch do not compare
  std::uint64_t revision = 0;
  std::vector<Server> servers;    // sorted by id
  std::vector<Sidecar> sidecars;  // sorted by name: a sidecar's number is its place here
  template <class Archive>
  void serialize(Archive& a) {
    a(epoch, revision, servers, sidecars);
  }
};
struct Delta {  // from `from` to `to`
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

// In a core.
class Registry {
 public:
  // The first listing has number 1: a number 0 is told by those who have none.
  Registry(std::uint64_t epoch, Micros silent_after, Micros forget_after)
      : silent_after_(silent_after), forget_after_(forget_after) {
    snapshot_.epoch = epoch;
    snapshot_.revision = 1;
  }
  // A sidecar tells what it is and which lives its server has; replaces what it told before. An older life of
  // the same name is replaced by a newer one (the newest that connects).
  void OnReport(Micros now, const Sidecar& from, const std::vector<Server>& servers);
  // It says something without its lives: they are as it told them last. False if it isn't known, or left, or
  // was replaced.
  bool OnKeepalive(Micros now, const std::string& name, std::uint64_t life);
  // It says that it ends (SIGTERM): its servers are off the list at once; it keeps its number until it is
  // forgotten.
  void OnLeaving(Micros now, const std::string& name, std::uint64_t life);
  // Silent tellers: after `silent_after` their servers are off the list; after `forget_after` they are
  // forgotten. If most are silent at once (kFewTellers or more) it is rather this core that was cut off:
  // then, and until twice `silent_after` after most are back, servers stay for two thirds of `forget_after`
  // (self-preservation). A gap in these calls is this process's own, and counts against nobody. Call it each
  // 100 ms or so.
  void OnTick(Micros now);
  const Snapshot& snapshot() const { return snapshot_; }
  // The difference from a number that a subscriber has; absent if it is too old or of another epoch: send
  // all.
  std::optional<Delta> DeltaSince(std::uint64_t epoch, std::uint64_t number) const;
  // True `settle` after the start, when somebody has told something: all tellers have dialled and told by
  // then. Before that an absence means nothing, and nothing may be pushed as a whole to one who has a list.
  bool WarmedUp(Micros now, Micros started, Micros settle) const;
  std::size_t sidecar_count() const { return reporters_.size(); }

 private:
  struct Reporter {
    Sidecar sidecar;
    std::vector<Server> servers;
    Micros last_heard = 0;
    Micros reported_at = 0;  // when `servers` were
    bool silent = false;
    bool left = false;
    std::deque<std::uint64_t>
        past_incarnations;  // replaced lives, and ones that left: they count for nothing any more
  };
  struct ChangedKeys {  // what one change touched: its state is looked up when it is told
    std::vector<std::string> servers;
    std::vector<std::string> sidecars;
  };
  bool IsActive(const Reporter& teller) const { return !teller.silent && !teller.left; }
  void UpdateServer(Micros now, const std::string& id, ChangedKeys& touched);
  void UpdateServers(Micros now, const Reporter& teller, ChangedKeys& touched);
  void UpdateSidecar(const std::string& name, ChangedKeys& touched);
  void Commit(ChangedKeys touched);

  Micros silent_after_, forget_after_;
  Micros last_tick_ = -1;
  Micros self_preservation_until_ = 0;
  std::map<std::string, Reporter> reporters_;
  std::map<std::string, std::set<std::string>> reporters_by_server_;  // server id -> names
  std::map<std::string, Micros>
      cold_measured_at_;  // when a listed server's cold time was as the listing says
  Snapshot snapshot_;
  std::deque<ChangedKeys> delta_log_;  // the last one led to listing_.number
};
inline constexpr std::size_t kSelfPreservationMinimum = 3;
inline constexpr std::size_t kMaxSidecars = 4096;
inline constexpr std::size_t kMaxLoggedDeltas = 512;  // changes

// Applies a change; false if it does not follow on what `listing` is. A change tells what is, so one that
// begins before `listing` follows too, and one that ends before it changes nothing.
bool ApplyDelta(Snapshot& listing, const Delta& change);

}  // namespace fennelhollow::registry

#endif  // FENNELHOLLOW_MESH_REGISTRY_REGISTRY_HPP_
