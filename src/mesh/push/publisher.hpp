// A core's side of the push: hears all sidecars, pushes the ledger and the list of servers to those that
// subscribe, gives shares while it holds the order (standard term: xDS server). Free of I/O; one thread;
// times are of one steady clock, in microseconds.
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
    std::string address;      // internal, of this core
    std::uint64_t epoch = 1;  // of its listing, drawn at its start; not 0
    quota::QuotaBounds quota;
    // Of shares: outlasts a change of holder, which would otherwise refuse most of what is asked meanwhile;
    // the share of a sidecar that has died is locked for so long.
    Micros lease = 10'000'000;
    Micros push_interval = 20'000;        // at most, what changes meanwhile goes in one
    Micros resend_after = 500'000;        // without an acknowledgement; doubles up to 4 s
    Micros heartbeat_interval = 300'000;  // to subscribers
    Micros other_heartbeat_interval = 1'000'000;
    Micros silent_after = 1'500'000;  // of a sidecar, over all its links
    Micros forget_after = 12'000'000;
    Micros warm_up = 3'000'000;  // after the start: longer than the longest pause between a sidecar's dials
  };

  // Called from inside the herald's functions; must not call back into the herald.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(LinkId link, const CoreUpdate& news) = 0;
    // The same to several; an owner that packs it once overrides this.
    virtual void SendAll(const std::vector<LinkId>& links, const CoreUpdate& news) {
      for (const LinkId link : links) Send(link, news);
    }
    // The herald has forgotten the link already; no Tell of it may follow.
    virtual void Close(LinkId link) = 0;
  };

  // `sink` must outlive the herald.
  Publisher(Micros now, Settings settings, Sink& sink);

  // The first Tell makes a link known. Past kMostLinks a new link is closed.
  void OnReport(Micros now, LinkId link, const SidecarReport& tell);
  void OnLinkDown(Micros now, LinkId link);
  void OnTick(Micros now);  // every 20 ms: pushes and beats go out from here, and from SetLedger
  // A newer entry of the order; an older one is ignored.
  void SetState(Micros now, std::uint64_t entry, std::string ledger);
  // Internal addresses of all cores; who holds the order (empty = unknown); whether this core is the holder
  // or hears it.
  void SetCores(std::vector<std::string> cores, std::string holder, bool settled);
  void SetLimits(Micros now, const std::map<std::string, quota::TenantLimit>& limits);
  void SetIsLeader(Micros now, bool i_am_holder);

  // Sidecars that were heard lately (silent_after), whatever core they subscribe to.
  std::size_t ActiveSidecars(Micros now) const;
  std::size_t ActiveSidecarsWith(
      Micros now,
      std::uint64_t entry) const;  // of these: that entry, or a newer one, is in force
  std::size_t Subscribers() const;
  std::uint64_t entry() const { return entry_; }
  const registry::Snapshot& snapshot() const { return registry_.snapshot(); }
  bool RegistryWarmedUp(Micros now) const { return registry_.WarmedUp(now, started_, settings_.warm_up); }

 private:
  // What is owed of one kind: pushed, acknowledged, and when to send it again.
  struct Delivery {
    std::uint64_t pushed = 0;
    std::uint64_t acknowledged = 0;
    Micros progress_at =
        0;  // since when something has been outstanding, or the last acknowledgement that moved
    Micros resend_wait = 0;
  };
  struct Link {
    std::string name;
    std::uint64_t life = 0;
    bool subscribed = false;
    bool has_snapshot = false;  // of some core
    Micros sent_at = 0;
    Delivery snapshot_delivery;  // by number; pushed 0: it needs the whole
    Delivery state_delivery;     // by entry
    bool heartbeat_due = true;
  };
  struct LastReport {
    LinkId link = 0;
    Micros at = 0;
    std::uint64_t entry = 0;
  };

  void ResendIfDue(Micros now, Delivery& owed) const;
  void MarkPushed(Micros now, Delivery& owed, std::uint64_t to) const;
  static void Acknowledge(Micros now, Delivery& owed, std::uint64_t number, Micros wait);
  void Flush(Micros now);
  CoreUpdate BaseUpdate(Micros now) const;
  void AnswerDemand(Micros now, LinkId link, const SidecarReport& tell);

  Settings settings_;
  Sink& sink_;
  Micros started_;
  registry::Registry registry_;
  quota::ShareAllocator cutter_;
  std::map<LinkId, Link> links_;
  std::map<std::pair<std::string, std::uint64_t>, LastReport> last_reports_;  // by name and life
  std::uint64_t entry_ = 0;
  std::string state_;
  std::vector<std::string> cores_;
  std::string leader_;
  bool has_leader_ = false;
  bool is_leader_ = false;
  std::size_t known_sidecars_ = 0;  // sidecars, as the cutter was told
  Micros flushed_at_ = 0;
  Micros checked_at_ = 0;
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_PUBLISHER_HPP_
