// A sidecar's side of the push: to which cores it holds links, whose news it takes, what it tells and
// when (standard term: xDS client). Free of I/O; one thread; times are of one steady clock, in microseconds.
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

inline constexpr std::size_t kMaxCoreLinks = 8;  // links that are held
inline constexpr Micros kReportInterval =
    300'000;  // to the core subscribed to, and to the holder of the order
inline constexpr Micros kOtherReportInterval = 1'000'000;
inline constexpr Micros kServerReportInterval = 5'000'000;
inline constexpr std::size_t kMaxCoreHints = 8;
inline constexpr Micros kResyncInterval = 300'000;
inline constexpr Micros kCoreSilenceTimeout = 700'000;  // then its news is taken from another that speaks
// A core without contact to a leader may be behind: the first configuration of a sidecar's life is taken from
// such a one only after it has waited so long for another.
inline constexpr Micros kLeaderlessStateDelay = 3'000'000;

class Client {
 public:
  struct Settings {
    registry::Sidecar sidecar;
    std::vector<std::string> seeds;  // internal addresses, ip:port, of cores; never forgotten
    std::uint64_t seed = 1;          // of random numbers
    // Asked at each Tell to the holder; may be null.
    std::function<std::vector<quota::Demand>(Micros now)> demand;
    std::function<std::vector<quota::Share>(Micros now)> held_shares;
  };

  // Called from inside the client's functions; must not call back into the client.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(const std::string& address, const SidecarReport& tell) = 0;
    // `entry` rises with each call, over all cores: never back within the life of a client.
    virtual void OnState(std::uint64_t entry, const std::string& ledger) = 0;
    // What is applied has changed. `rank`: the place of this sidecar's name in listing.sidecars; `count`
    // includes this one even if the listing does not have it yet. The reference lives as long as the client.
    virtual void OnSnapshot(const registry::Snapshot& listing, std::size_t rank, std::size_t count) = 0;
    // `until`: from when the Tell that asked for them was sent, plus the lease.
    virtual void OnShares(const std::vector<quota::Share>& shares, Micros until) = 0;
    virtual void OnCores(const std::vector<std::string>& cores) = 0;  // sorted
  };

  // `sink` must outlive the client.
  Client(Settings settings, Sink& sink);

  // The addresses that should have a link now: the owner dials those without one, each until OnLinkUp or
  // OnLinkDown (which is due for a dial that failed, too), and closes links to others. One in its back-off is
  // left out. At most kMostCores.
  std::vector<std::string> DesiredLinks(Micros now) const;
  // The settings file names others now; those of before are kept as long as a core lists them.
  void SetSeeds(const std::vector<std::string>& seeds);
  // A core's internal address, heard of second hand: dialled only while none speaks of those that are known
  // better and all of these have failed. At most kMostHints; forgotten when it has not spoken within 30 s.
  void AddCoreHint(const std::string& core);
  // There is a newer entry, says someone who decides nothing: tells all cores at once, and asks one that is
  // known to have it, at most once each kNudgeEvery.
  void RequestNewerState(Micros now);
  void OnLinkUp(Micros now, const std::string& address);
  void OnLinkDown(Micros now, const std::string& address);
  void OnUpdate(Micros now, const std::string& address, const CoreUpdate& news);
  // The lives of the server beside it (registry::Beats::Lives). All cores are told at once if it differs in
  // more than cold time and sequence from what was told.
  void SetServers(Micros now, std::vector<registry::Server> lives);
  // Every 50 to 100 ms.
  void OnTick(Micros now);
  // This sidecar is about to end: all are told at once, and with each later Tell.
  void Leave(Micros now);

  // Cores that are heard first hand, sorted.
  std::vector<std::string> ResponsiveCores(Micros now) const;
  // When a core that has the holder behind it said last that the newest entry is the one in force here;
  // kNever if none did.
  Micros LastConfirmedAt() const { return last_confirmed_at_; }
  std::uint64_t entry() const { return entry_; }
  const registry::Snapshot& snapshot() const { return snapshot_; }
  const std::vector<std::string>& cores() const { return cores_; }
  const std::string& subscribed_core() const { return subscribed_; }  // address; empty = none
  const std::string& leader() const { return leader_; }               // as most cores that are heard say
  static constexpr Micros kNever = std::numeric_limits<Micros>::min() / 4;

 private:
  struct Core {
    bool seed = false;
    bool listed = false;
    bool is_hint = false;          // heard of second hand alone, and has not spoken yet
    Micros hint_seen_at = kNever;  // the first tick since
    bool up = false;
    int failures = 0;
    Micros failing_since = kNever;
    Micros next_dial_at = kNever;
    Micros heard_at = kNever;  // on this link
    Micros reported_at = kNever;
    Micros servers_reported_at = kNever;
    std::uint64_t entry = 0;
    bool has_leader = false;
    bool warming_up = false;
    std::string leader;
    std::uint64_t rank = 0;  // of this sidecar's own order of cores: the hash of both names
  };

  Core& Add(const std::string& address);
  bool IsResponsive(Micros now, const Core& core) const;
  bool IsBetter(const Core& a, const Core& b, std::uint64_t newest) const;
  std::uint64_t NewestEntry(Micros now) const;
  void Subscribe(Micros now);
  void MoveTo(Micros now, std::string address);
  void UpdateLeader(Micros now);
  void ApplyCores(Micros now, const std::string& address, const CoreUpdate& news);
  bool ApplySnapshot(const std::string& address, const CoreUpdate& news);
  bool AcceptsState(Micros now, const CoreUpdate& news);  // its configuration
  void ReportTo(Micros now, const std::string& address, Core& core, bool with_lives, bool with_demand,
                bool wants_ledger = false);
  void ReportToAll(Micros now, bool with_lives);

  Settings settings_;
  Sink& sink_;
  std::mt19937_64 random_;
  std::map<std::string, Core> core_states_;
  std::vector<std::string> cores_;
  std::string subscribed_;
  Micros subscribed_at_ = kNever;
  Micros worse_since_ = kNever;      // the one subscribed to is behind another, or without a holder
  Micros misplaced_since_ = kNever;  // another is this sidecar's place in a spread
  Micros rebalance_after_ = 0;
  Micros first_heard_ = kNever;  // while not subscribed
  std::string leader_;
  std::vector<registry::Server> servers_;
  Micros servers_at_ = 0;
  bool leaving_ = false;
  std::uint64_t entry_ = 0;
  registry::Snapshot snapshot_;
  bool needs_snapshot_ = false;
  Micros last_confirmed_at_ = kNever;
  Micros leaderless_state_since_ =
      kNever;  // the first configuration was offered, by a core that may be behind
  Micros last_resync_ = kNever;
  Micros last_tick_ = kNever;
  std::uint64_t last_request_id_ = 0;
  struct PendingRequest {
    std::uint64_t number;
    std::string address;
    Micros at;
  };
  std::deque<PendingRequest> pending_requests_;
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_CLIENT_HPP_
