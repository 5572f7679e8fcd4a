// Who gives way when the memory or the places of a process are short: one rule for all its connections.
// Performs no I/O.
#ifndef FENNELHOLLOW_MESH_MEMORY_PEER_ACTIVITY_HPP_
#define FENNELHOLLOW_MESH_MEMORY_PEER_ACTIVITY_HPP_

#include <chrono>
#include <cstddef>
#include <optional>

namespace fennelhollow::memory {

using Clock = std::chrono::steady_clock;
using Duration = std::chrono::microseconds;

// Rates at which a peer has to send a request and to read a response.
inline constexpr double kMinRequestBytesPerS = 16 * 1024;
inline constexpr double kMinResponseBytesPerS = 4 * 1024;

// How long a connection has waited for its peer to send or to read something.
class PeerWait {
 public:
  // The peer has to send or read something from now on. Each byte takes off the time that it may take at
  // `min_bytes_per_s`; 0: bytes take off nothing, only the end of the wait counts.
  void Begin(Clock::time_point now, double min_bytes_per_s);
  void OnBytes(Clock::time_point now, std::size_t bytes);
  // Beyond what its bytes may take; negative for a peer that is faster.
  Duration Overdue(Clock::time_point now) const;
  // The time since its last byte or, if that is longer, what it is overdue: a peer that sends a byte now and
  // then gains nothing by it.
  Duration Waited(Clock::time_point now) const;

 private:
  Clock::time_point began_, last_bytes_at_;
  double min_bytes_per_s_ = 0;
  double bytes_ = 0;
};

struct PeerActivity {
  enum class Kind {
    kIdle,           // no request is under way
    kSendsRequest,   // a part of a request has arrived
    kReadsResponse,  // a response waits to be read
    kIsServed,       // the process itself has something to do for it
  };
  Kind kind = Kind::kIsServed;
  Duration waited{0};       // for the peer; of an idle one: since its last request
  Duration overdue{0};      // see PeerWait
  bool was_served = false;  // has had a response before
};

// A new connection may need so long until its request begins to arrive, and a request until it is whole.
inline constexpr Duration kArrivalTime = std::chrono::milliseconds(25);
inline constexpr Duration kRequestTime = std::chrono::milliseconds(5);

// The rank by which connections give way to new ones, the highest first; nullopt: it does not. Idle ones that
// were never served go first, then incomplete requests and those that have not read for a second, the longest
// wait first, then idle ones that were served.
std::optional<Duration> RankForPlace(const PeerActivity& activity);
// Whether a connection that has no rank may have one, or be served, soon.
bool MayGiveWaySoon(const PeerActivity& activity, bool has_unread_input);
// The same for connections that hold memory which others need.
std::optional<Duration> RankForMemory(const PeerActivity& activity);

// The pointer in `connections` that `rank` (std::optional<Duration> of a pointer) ranks highest; null if it
// ranks none.
template <class Connections, class Rank>
typename Connections::value_type FindHighestRanked(const Connections& connections, const Rank& rank) {
  typename Connections::value_type highest_ranked;
  Duration highest_rank{0};
  for (const auto& connection : connections) {
    const std::optional<Duration> own = rank(connection);
    if (!own || (highest_ranked != nullptr && *own <= highest_rank)) continue;
    highest_ranked = connection;
    highest_rank = *own;
  }
  return highest_ranked;
}

}  // namespace fennelhollow::memory

#endif  // FENNELHOLLOW_MESH_MEMORY_PEER_ACTIVITY_HPP_
