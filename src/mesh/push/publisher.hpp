// The core's side of the control-plane push (compare an xDS server): takes the reports of all sidecars,
// pushes configuration state and registry snapshots to subscribers, and grants quota shares while it is the
// leader. Performs no I/O; not thread-safe; times are microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_PUSH_PUBLISHER_HPP_
#define FENNELHOLLOW_MESH_PUSH_PUBLISHER_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mesh/push/messages.hpp"
#include "mesh/quota/quota.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::push {

using merlinrun::Micros;

inline constexpr std::size_t kMaxLinks = 4096;

class Publisher {
 public:
  using LinkId = std::uint64_t;

  struct Settings {
    std::string address;      // internal address of this core
    std::uint64_t epoch = 1;  // of its registry, drawn at random at each start; not 0
    quota::QuotaBounds quota;
    // Of quota shares. Longer than a leader change, so that requests are not refused meanwhile; the share of
    // a dead sidecar is reserved for as long.
    Micros lease = 10'000'000;
    Micros push_interval = 20'000;                // minimum; changes in between are coalesced
    Micros resend_after = 500'000;                // without acknowledgement; doubles up to 4 s
    Micros heartbeat_interval = 300'000;          // to subscribers
    Micros other_heartbeat_interval = 1'000'000;  // to all other sidecars
    Micros silent_after = 1'500'000;              // a sidecar, counted over all its links
    Micros forget_after = 12'000'000;
    Micros warm_up = 3'000'000;  // after the start; longer than the maximum dial backoff of sidecars
  };

  // Called from inside the publisher's functions; must not call back into the publisher.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(LinkId link, const CoreUpdate& update) = 0;
    // Sends to several links; override it to serialize only once.
    virtual void SendAll(const std::vector<LinkId>& links, const CoreUpdate& update) {
      for (const LinkId link : links) Send(link, update);
    }
    virtual void SendRecords(LinkId link, const ServerRecords& records) = 0;
    // The publisher has removed the link already; no report of it may follow.
    virtual void Close(LinkId link) = 0;
  };

  // `sink` must outlive the publisher.
  Publisher(Micros now, Settings settings, Sink& sink);

  // The first report registers the link. Beyond kMaxLinks new links are closed.
  void OnReport(Micros now, LinkId link, const SidecarReport& report);
  void OnLinkDown(Micros now, LinkId link);
  void OnTick(Micros now);  // to be called every 20 ms; sends pushes and heartbeats
  // Sets the committed state at log index `entry`; an older one is ignored.
  void SetState(Micros now, std::uint64_t entry, std::string state);
  // Internal addresses of all cores, the consensus leader (empty = unknown), and whether this core is the
  // leader or is in contact with it.
  void SetCores(std::vector<std::string> cores, std::string leader, bool has_leader);
  void SetLimits(Micros now, const std::map<std::string, quota::TenantLimit>& limits);
  void SetIsLeader(Micros now, bool is_leader);

  // Sidecars that reported within `silent_after`, whichever core they subscribe to.
  std::size_t ActiveSidecars(Micros now) const;
  // Those of them that run the state of `entry` or a newer one.
  std::size_t ActiveSidecarsWith(Micros now, std::uint64_t entry) const;
  std::size_t Subscribers() const;
  std::uint64_t entry() const { return entry_; }
  const registry::Snapshot& snapshot() const { return registry_.snapshot(); }
  // Draining and departed servers: what has to outlive this process, and is restored after its start.
  const registry::Tombstones& tombstones() const { return registry_.tombstones(); }
  // Sidecars get no records before, as this core may know of more tombstones than it has read.
  void RestoreTombstones(Micros now, const std::vector<registry::Server>& servers);
  // All changes of tombstones() up to `version` are on disk: tells the sidecars that wait for it.
  void OnTombstonesWritten(std::uint64_t version);
  // This core has lost its disk: until kDiskLossPeriod after its start it cannot vouch for having no
  // tombstone.
  void SetDiskLost() { disk_lost_ = true; }
  bool RegistryWarmedUp(Micros now) const { return registry_.WarmedUp(now, started_, settings_.warm_up); }

 private:
  // Progress of one kind of data on a link: what was pushed and acknowledged, and when to send it again.
  struct Delivery {
    std::uint64_t pushed = 0;
    std::uint64_t acknowledged = 0;
    Micros progress_at = 0;  // when it became outstanding, or of the last acknowledgement that advanced
    Micros resend_wait = 0;
  };
  struct Link {
    std::string name;
    std::uint64_t incarnation = 0;
    bool subscribed = false;
    bool has_snapshot = false;  // of any core
    Micros sent_at = 0;
    Delivery snapshot_delivery;  // by revision; pushed == 0: needs a full snapshot
    Delivery state_delivery;     // by log index
    bool heartbeat_due = true;
    std::vector<std::string> servers;  // ids of its last list
    bool awaits_disk = false;          // a tombstone of one of them is not on disk yet
  };
  struct LastReport {
    LinkId link = 0;
    Micros at = 0;
    std::uint64_t entry = 0;
  };

  void ResendIfDue(Micros now, Delivery& delivery) const;
  void MarkPushed(Micros now, Delivery& delivery, std::uint64_t to) const;
  static void Acknowledge(Micros now, Delivery& delivery, std::uint64_t position, Micros wait);
  void Flush(Micros now);
  CoreUpdate BaseUpdate(Micros now) const;
  void AnswerDemand(Micros now, LinkId link, const SidecarReport& report);
  ServerRecord RecordOf(const std::string& id) const;
  // Answers a list of servers.
  void OnServers(Micros now, LinkId id, Link& link, const std::vector<registry::Server>& servers);
  void SendRecords(LinkId id, Link& link);

  Settings settings_;
  Sink& sink_;
  Micros started_;
  registry::Registry registry_;
  quota::ShareAllocator share_allocator_;
  std::map<LinkId, Link> links_;
  std::map<std::pair<std::string, std::uint64_t>, LastReport> last_reports_;  // by name and incarnation
  std::uint64_t entry_ = 0;
  std::string state_;
  std::vector<std::string> cores_;
  std::string leader_;
  bool has_leader_ = false;
  bool is_leader_ = false;
  bool disk_lost_ = false;
  bool tombstones_restored_ = false;
  std::size_t known_sidecars_ = 0;  // as last passed to the allocator
  Micros flushed_at_ = 0;
  Micros checked_at_ = 0;
};

// How long a core that has lost its disk does not vouch. Longer than a heartbeat may be late, which is
// seconds.
inline constexpr Micros kDiskLossPeriod = 15'000'000;

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_PUBLISHER_HPP_
