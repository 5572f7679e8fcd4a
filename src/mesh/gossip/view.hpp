// Gossip between sidecars: each keeps a partial view of its peers and shuffles it with them (peer sampling as
// in CYCLON). It spreads the addresses of cores and the newest configuration index as hints; nothing depends
// on their being correct or complete. Performs no I/O; not thread-safe; times are microseconds of one steady
// clock.
#ifndef FENNELHOLLOW_MESH_GOSSIP_VIEW_HPP_
#define FENNELHOLLOW_MESH_GOSSIP_VIEW_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.hpp"
#include "mesh/gossip/message.hpp"

namespace fennelhollow::gossip {

using merlinrun::Micros;

inline constexpr std::size_t kMaxNeighbours = 8;
inline constexpr std::size_t kExchangeSize = 4;  // sidecars per message; a requester counts as one itself
inline constexpr std::size_t kMaxCoresPerMessage = 8;
inline constexpr std::size_t kMaxCandidates = 8;
inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kMaxNameBytes = 64;           // longer names are truncated
inline constexpr std::size_t kMaxSentPerSecond = 20;       // datagrams in any second
inline constexpr std::size_t kMaxResponsesPerSecond = 15;  // of these, so that own requests are not starved
inline constexpr std::size_t kMaxReadPerSecond = 200;      // datagrams processed in any second
inline constexpr Micros kCoreExpiry = 60'000'000;          // after the last direct contact by any node
inline constexpr Micros kEntryExpiry = 30'000'000;

class View {
 public:
  struct Settings {
    std::string name;
    std::string address;                  // own UDP ip:port
    std::uint64_t seed = 1;               // of the random number generator
    Micros shuffle_interval = 2'000'000;  // between shuffles, with 25% jitter
  };

  // Called from inside the view's functions; must not call back into it.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual void Send(const std::string& address, const std::string& bytes) = 0;
    // Cores (internal ip:port) known to a peer but without recent direct contact here, most recently seen
    // first; at most kMaxCoresPerMessage. Called for each message that lists any.
    virtual void OnCores(const std::vector<std::string>& cores) = 0;
    // A peer knows of a newer entry than is in force here. Called for each message that says so.
    virtual void OnNewerEntry(std::uint64_t entry) = 0;
  };

  struct Candidate {
    std::string name;
    std::string address;  // UDP ip:port
  };

  struct Neighbour {
    std::string name;
    std::string address;
    Micros heard = 0;  // latest known direct contact by any node
  };

  struct Counters {
    std::uint64_t sent = 0, received = 0;
    std::uint64_t malformed = 0;   // dropped: not parseable
    std::uint64_t unexpected = 0;  // dropped: response without a request
    std::uint64_t over_rate = 0;   // not sent or not processed because of rate limits
    std::uint64_t lost_neighbours = 0;
  };

  // `sink` must outlive the view.
  View(Settings settings, Sink& sink);

  // Sidecars to contact when neighbours are few, and occasionally otherwise, which heals partitions. May be
  // the whole registry: a random sample replaces the previous candidates.
  void SetCandidates(const std::vector<Candidate>& sidecars);
  // Sets the entry in force here and the cores in direct contact. To be called at least every second.
  void SetLocalState(Micros now, std::uint64_t entry, const std::vector<std::string>& cores);
  // `from`: source ip:port.
  void OnDatagram(Micros now, const std::string& from, std::string_view bytes);
  // To be called every 50 to 100 ms.
  void OnTick(Micros now);

  const std::vector<Neighbour>& neighbours() const { return neighbours_; }
  const Counters& counters() const { return counters_; }

 private:
  static constexpr Micros kNever = INT64_MIN / 4;
  struct PendingRequest {
    std::string address;
    std::uint64_t request_id = 0;
    Micros first_sent_at = 0, sent_at = 0;
    int attempts = 1;
    std::vector<std::string>
        neighbours_sent;  // neighbours sent to it, which the records of the response may replace
  };

  Neighbour* Find(const std::string& address);
  std::vector<PeerRecord> SampleNeighbours(Micros now, const std::string& excluded, std::size_t limit);
  std::vector<PeerRecord> CoresToSend(Micros now) const;
  Message BaseMessage(Micros now, Kind kind, std::uint64_t request_id) const;
  void Shuffle(Micros now);
  void SendRequest(Micros now);
  void ExpireCores(Micros now);
  std::vector<std::string> SendResponse(Micros now, const std::string& to, std::uint64_t request_id,
                                        std::size_t size);
  void DropPendingRequest(Micros now);
  // Merges the records of `message`; `replaceable`: neighbours that may be replaced when the view is full.
  void Merge(Micros now, const std::string& from, const Message& message,
             std::vector<std::string> replaceable);
  void ProcessHints(Micros now, const Message& message);
  bool AllowSend(Micros now, std::size_t limit);

  const Settings settings_;
  Sink& sink_;
  merlinrun::Random random_;
  std::vector<Neighbour> neighbours_;
  std::vector<Candidate> candidates_;
  std::optional<PendingRequest> pending_;
  struct LostNeighbour {
    std::string address;
    Micros requested_at;
  };
  std::deque<LostNeighbour> lost_neighbours_;  // unresponsive peers: older records of them are ignored
  struct KnownCore {
    Micros heard = 0;  // direct contact by any node
    Micros direct_contact_at = kNever;
  };
  std::map<std::string, KnownCore> cores_;
  std::uint64_t entry_ = 0;        // in force here
  std::uint64_t newer_entry_ = 0;  // newer entry known from peers
  Micros newer_entry_heard_ = kNever;
  std::uint64_t last_request_id_ = 0, shuffles_ = 0;
  Micros next_shuffle_at_ = kNever, last_tick_ = kNever;
  std::deque<Micros> sent_times_;
  Micros read_window_start_ = kNever;
  std::size_t reads_in_window_ = 0;
  Counters counters_;
};

}  // namespace fennelhollow::gossip

#endif  // FENNELHOLLOW_MESH_GOSSIP_VIEW_HPP_
