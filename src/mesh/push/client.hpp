// The sidecar's side of the control-plane push (compare an xDS client): which cores it connects to, which one
// it subscribes to, and what it reports when. Performs no I/O; not thread-safe; times are microseconds of one
// steady clock.
#ifndef FENNELHOLLOW_MESH_PUSH_CLIENT_HPP_
#define FENNELHOLLOW_MESH_PUSH_CLIENT_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mesh/push/messages.hpp"
#include "mesh/quota/quota.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::push {

using merlinrun::Micros;

inline constexpr std::size_t kMaxCoreLinks = 8;             // connections held at once
inline constexpr Micros kReportInterval = 300'000;          // to the subscribed core and to the leader
inline constexpr Micros kOtherReportInterval = 1'000'000;   // to all other cores
inline constexpr Micros kServerReportInterval = 5'000'000;  // between full lists of servers
inline constexpr std::size_t kMaxRecordCores = 5;           // fewer than kMaxCoreLinks, with the leader
inline constexpr std::size_t kMaxCoreHints = 8;
inline constexpr Micros kResyncInterval = 300'000;      // minimum between resync requests
inline constexpr Micros kCoreSilenceTimeout = 700'000;  // of the subscribed core, before switching to another
// A core without contact to a leader may be stale: a sidecar without any configuration accepts one from such
// a core only after waiting this long for a better source.
inline constexpr Micros kLeaderlessStateDelay = 3'000'000;

class Client {
 public:
  struct Settings {
    registry::Sidecar sidecar;
    std::vector<std::string> seeds;  // internal addresses (ip:port) of cores; never dropped
    std::uint64_t seed = 1;          // of the random number generator
    // Called for each report to the leader; may be null.
    std::function<std::vector<quota::Demand>(Micros now)> demand;
    std::function<std::vector<quota::Share>(Micros now)> held_shares;
  };

  // Called from inside the client's functions; must not call back into the client.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(const std::string& address, const SidecarReport& report) = 0;
    // A newer configuration state. `entry` (log index) strictly increases over the lifetime of the client.
    virtual void OnState(std::uint64_t entry, const std::string& state) = 0;
    // The snapshot changed. `rank`: position of this sidecar in snapshot.sidecars; `count`: number of
    // sidecars, including this one even if it is not listed yet. The reference stays valid as long as the
    // client.
    virtual void OnSnapshot(const registry::Snapshot& snapshot, std::size_t rank, std::size_t count) = 0;
    // `until`: the time the report that requested them was sent, plus the lease.
    virtual void OnShares(const std::vector<quota::Share>& shares, Micros until) = 0;
    virtual void OnCores(const std::vector<std::string>& cores) = 0;  // sorted
  };

  // `sink` must outlive the client.
  Client(Settings settings, Sink& sink);

  // Cores to be connected to now, at most kMaxCoreLinks; those in backoff are left out. The owner dials the
  // ones without a link, reports the outcome with OnLinkUp or OnLinkDown, and closes links to all others.
  std::vector<std::string> DesiredLinks(Micros now) const;
  // Replaces the seeds; former seeds are kept as long as a core lists them.
  void SetSeeds(const std::vector<std::string>& seeds);
  // Adds the internal address of a core learned by gossip. It is dialled only while all other known cores are
  // unreachable, and dropped unless it responds within 30 s. At most kMaxCoreHints are kept.
  void AddCoreHint(const std::string& core);
  // Gossip knows of a newer entry: reports to all cores at once, and requests the state from one known to
  // have it. At most once per kResyncInterval.
  void RequestNewerState(Micros now);
  void OnLinkUp(Micros now, const std::string& address);
  void OnLinkDown(Micros now, const std::string& address);
  void OnUpdate(Micros now, const std::string& address, const CoreUpdate& update);
  // Instances of the server on this machine (registry::HeartbeatTracker::Instances). Reported to all cores at
  // once if anything but cold time and sequence number changed.
  void SetServers(Micros now, std::vector<registry::Server> servers);
  // To be called every 50 to 100 ms.
  void OnTick(Micros now);
  // This sidecar shuts down: reported to all cores at once, and in each later report.
  void Leave(Micros now);

  // Cores that sent an update recently, sorted.
  std::vector<std::string> ResponsiveCores(Micros now) const;
  // When a core with a leader last confirmed that the configuration in force is the newest; kNever if none
  // did.
  Micros LastConfirmedAt() const { return last_confirmed_at_; }
  std::uint64_t entry() const { return entry_; }  // log index of the state in force
  const registry::Snapshot& snapshot() const { return snapshot_; }
  const std::vector<std::string>& cores() const { return cores_; }
  // The listed cores that record what this sidecar acknowledges: at most kMaxRecordCores, the same ones for
  // each process of this sidecar, however many cores there are. It is always linked to them, unless they are
  // down.
  const std::vector<std::string>& record_cores() const { return record_cores_; }
  const std::string& subscribed_core() const { return subscribed_; }  // address; empty = none
  const std::string& leader() const { return leader_; }               // named by most responsive cores
  static constexpr Micros kNever = std::numeric_limits<Micros>::min() / 4;

 private:
  struct Core {
    bool seed = false;
    bool listed = false;
    bool is_hint = false;          // known by gossip only, has not responded yet
    Micros hint_seen_at = kNever;  // first tick after it was added
    bool connected = false;
    int failures = 0;
    Micros failing_since = kNever;
    Micros next_dial_at = kNever;
    Micros heard_at = kNever;  // last update on this link
    Micros reported_at = kNever;
    Micros servers_reported_at = kNever;
    std::uint64_t entry = 0;
    bool has_leader = false;
    bool warming_up = false;
    std::string leader;
    std::uint64_t rank = 0;  // preference of this sidecar (rendezvous hash); lower is better
  };

  Core& Add(const std::string& address);
  bool IsResponsive(Micros now, const Core& core) const;
  bool IsBetter(const Core& a, const Core& b, std::uint64_t newest) const;
  std::uint64_t NewestEntry(Micros now) const;
  void UpdateSubscription(Micros now);
  void SwitchTo(Micros now, std::string address);
  void UpdateLeader(Micros now);
  void UpdateRecordCores();
  void ApplyCores(Micros now, const std::string& address, const CoreUpdate& update);
  bool ApplySnapshot(const std::string& address, const CoreUpdate& update);
  bool AcceptsState(Micros now, const CoreUpdate& update);
  void ReportTo(Micros now, const std::string& address, Core& core, bool with_servers, bool with_demand,
                bool wants_state = false);
  void ReportToAll(Micros now, bool with_servers);

  Settings settings_;
  Sink& sink_;
  std::mt19937_64 random_;
  std::map<std::string, Core> core_states_;
  std::vector<std::string> cores_;
  std::vector<std::string> record_cores_;
  std::string subscribed_;
  Micros subscribed_at_ = kNever;
  Micros worse_since_ = kNever;          // the subscribed core is stale or has no leader
  Micros better_ranked_since_ = kNever;  // a better-ranked core is available
  Micros rebalance_after_ = 0;
  Micros first_heard_ = kNever;  // first update while not subscribed
  std::string leader_;
  std::vector<registry::Server> servers_;
  Micros servers_at_ = 0;
  bool leaving_ = false;
  std::uint64_t entry_ = 0;
  registry::Snapshot snapshot_;
  bool needs_snapshot_ = false;
  Micros last_confirmed_at_ = kNever;
  Micros leaderless_state_since_ = kNever;  // first state offered by a core without a leader
  Micros last_resync_ = kNever;
  Micros last_tick_ = kNever;
  std::uint64_t last_request_id_ = 0;
  struct PendingRequest {
    std::uint64_t id;
    std::string address;
    Micros at;
  };
  std::deque<PendingRequest> pending_requests_;
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_CLIENT_HPP_
