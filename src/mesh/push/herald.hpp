// A core's side of the push: hears all sidecars, pushes the ledger and the list of servers to those that
// subscribe, gives shares while it holds the order (standard term: xDS server). Free of I/O; one thread;
// times are of one steady clock, in microseconds.
#ifndef FENNELHOLLOW_MESH_PUSH_HERALD_HPP_
#define FENNELHOLLOW_MESH_PUSH_HERALD_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mesh/push/words.hpp"
#include "mesh/quota/quota.hpp"
#include "mesh/registry/registry.hpp"

namespace fennelhollow::push {

using merlinrun::Micros;

inline constexpr std::size_t kMostLinks = 4096;

class Herald {
 public:
  using LinkId = std::uint64_t;

  struct Settings {
    std::string address;      // internal, of this core
    std::uint64_t epoch = 1;  // of its listing, drawn at its start; not 0
    quota::QuotaBounds quota;
    // Of shares: outlasts a change of holder, which would otherwise refuse most of what is asked meanwhile;
    // the share of a sidecar that has died is locked for so long.
    Micros lease = 10'000'000;
    Micros push_every = 20'000;     // at most, what changes meanwhile goes in one
    Micros resend_after = 500'000;  // without an acknowledgement; doubles up to 4 s
    Micros beat_every = 300'000;    // to subscribers
    Micros beat_others_every = 1'000'000;
    Micros silent_after = 1'500'000;  // of a sidecar, over all its links
    Micros forget_after = 12'000'000;
    Micros settle = 3'000'000;  // after the start: longer than the longest pause between a sidecar's dials
  };

  // Called from inside the herald's functions; must not call back into the herald.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(LinkId link, const News& news) = 0;
    // The same to several; an owner that packs it once overrides this.
    virtual void SendAll(const std::vector<LinkId>& links, const News& news) {
      for (const LinkId link : links) Send(link, news);
    }
    // The herald has forgotten the link already; no Tell of it may follow.
    virtual void Close(LinkId link) = 0;
  };

  // `sink` must outlive the herald.
  Herald(Micros now, Settings settings, Sink& sink);

  // The first Tell makes a link known. Past kMostLinks a new link is closed.
  void OnTell(Micros now, LinkId link, const Tell& tell);
  void OnLinkDown(Micros now, LinkId link);
  void OnTick(Micros now);  // every 20 ms: pushes and beats go out from here, and from SetLedger
  // A newer entry of the order; an older one is ignored.
  void SetLedger(Micros now, std::uint64_t entry, std::string ledger);
  // Internal addresses of all cores; who holds the order (empty = unknown); whether this core is the holder
  // or hears it.
  void SetCores(std::vector<std::string> cores, std::string holder, bool settled);
  void SetLimits(Micros now, const std::map<std::string, quota::TenantLimit>& limits);
  void SetDuty(Micros now, bool i_am_holder);

  // Sidecars that were heard lately (silent_after), whatever core they subscribe to.
  std::size_t Heard(Micros now) const;
  std::size_t Acknowledged(Micros now,
                           std::uint64_t entry) const;  // of these: that entry, or a newer one, is in force
  std::size_t Subscribers() const;
  std::uint64_t entry() const { return entry_; }
  const registry::Snapshot& snapshot() const { return registry_.snapshot(); }
  bool ListSettled(Micros now) const { return registry_.WarmedUp(now, started_, settings_.settle); }

 private:
  // What is owed of one kind: pushed, acknowledged, and when to send it again.
  struct Owed {
    std::uint64_t pushed = 0;
    std::uint64_t acknowledged = 0;
    Micros progress = 0;  // since when something has been outstanding, or the last acknowledgement that moved
    Micros wait = 0;
  };
  struct Link {
    std::string name;
    std::uint64_t life = 0;
    bool subscribed = false;
    bool has_list = false;  // of some core
    Micros sent = 0;
    Owed list;    // by number; pushed 0: it needs the whole
    Owed ledger;  // by entry
    bool beat_due = true;
  };
  struct Hearing {
    LinkId link = 0;
    Micros at = 0;
    std::uint64_t entry = 0;
  };

  void Resend(Micros now, Owed& owed) const;
  void Pushed(Micros now, Owed& owed, std::uint64_t to) const;
  static void Acknowledge(Micros now, Owed& owed, std::uint64_t number, Micros wait);
  void Flush(Micros now);
  News Plain(Micros now) const;
  void AnswerDemand(Micros now, LinkId link, const Tell& tell);

  Settings settings_;
  Sink& sink_;
  Micros started_;
  registry::Registry registry_;
  quota::ShareAllocator cutter_;
  std::map<LinkId, Link> links_;
  std::map<std::pair<std::string, std::uint64_t>, Hearing> heard_;  // by name and life
  std::uint64_t entry_ = 0;
  std::string ledger_;
  std::vector<std::string> cores_;
  std::string holder_;
  bool settled_ = false;
  bool duty_ = false;
  std::size_t counted_ = 0;  // sidecars, as the cutter was told
  Micros flushed_ = 0;
  Micros checked_ = 0;
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_HERALD_HPP_
