// What the decisions of the module share: plain records, the deployment's figures, time and chance. No
// decision is taken here.
#ifndef MERLINRUN_POLICY_RECORDS_HPP_
#define MERLINRUN_POLICY_RECORDS_HPP_

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "base/memory.hpp"
#include "base/random.hpp"
#include "merlinrun/balancer.hpp"
#include "zones/capacity.hpp"
#include "zones/zones.hpp"

namespace merlinrun {

inline constexpr Micros kMillisecond = 1000;
inline constexpr Micros kSecond = 1000 * kMillisecond;
// With more attempts out than this each outcome counts less, so that as much is learnt in the time of one
// answer as by others: else hundreds of outcomes a second swing what is believed from end to end before
// servers can show it.
inline constexpr double kSteadyOut = 24;
// Never shut out everything: what is let in is the only way to see the end of an overload.
inline constexpr double kAdmitLeast = 0.05;

struct Server {
  ServerInfo info;
  std::size_t pool = 0;
  bool listed = false;
  std::uint64_t hash = 0;  // of its id
  int out = 0;             // own attempts in flight
  Micros heard_at = 0;     // its last answer, or when it got work after it had none
  // Health's.
  double slow = 1;              // its answer times as a multiple of what is usual for their class
  std::vector<double> refuses;  // by class: share of its requests that were turned away lately
  double failing = 0;           // share of its requests that ended in an error lately
  int strikes = 0;              // bad outcomes in a row
  Micros good_at = 0;           // when it last served a request within its aim
  Micros broke_at = 0;          // when a connection to it last broke or did not come up
  Micros away_until = 0;        // left alone until then; after that one trial attempt at a time
  // Admission's.
  std::uint64_t late_row = 0;  // the row in which its lateness was counted last
  // ColdStart's.
  double young_credit = 0;       // sends that a young server may still be given
  std::int64_t served_then = 0;  // what this sidecar had been served when the credit was last reckoned
};

// Servers that share a ring. Own zone and elsewhere where crossing is priced, else all in one.
struct Pool {
  std::vector<Server*> ring;  // healthy ones by id
  std::size_t offset = 0;     // where the window begins
  int out = 0;                // own attempts in flight
  double out_peak = 0;        // their fading peak
  double elapsed = 0;         // usual time of an answer, in microseconds
  zones::Capacity capacity;

  Server& InWindow(std::size_t i) const { return *ring[(offset + i) % ring.size()]; }
};
using Pools = std::array<Pool, 2>;

struct Attempt {
  Server* server = nullptr;  // to be followed only while the attempt is out: the list may drop the server
  int zone = -1;
  std::int64_t cell = -1;
  Micros sent = 0;
  bool out = true;
  bool felt = false;         // that it is late has been taken as pressure already
  bool may_have_run = true;  // until an outcome proves that it did not
};

struct Held {  // a request, from its arrival until its last attempt is resolved
  std::size_t request_class = 0;
  int protocol = 0;   // the protocol that it goes by
  bool late = false;  // its client has waited past the aim already, over earlier tries
  std::size_t pool = 0;
  Micros arrived = 0;
  Micros deadline = 0;
  bool uploading = false;  // its last byte has not come: nothing is late yet
  bool ended = false;
  bool cancelled = false;  // what was out at its end is called off
  int refusals = 0;
  Cause obstacle = Cause::kNoServer;  // the last thing that stood in its way
  std::uint64_t timer = 0;            // the one that is awaited; 0 = none
  std::uint64_t warm = 0;             // hash of the key that servers keep warm; 0 = none
  std::string key;                    // of the line in which it waits for its turn; empty = free
  Micros settled_at = 0;  // it keeps the turn until then, as a doubtful attempt may still be running
  std::vector<Attempt> attempts;

  bool AnyOut() const {
    return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
  }
  // The first attempt that may have run: it decides what may still be done.
  const Attempt* MayHaveRun() const {
    for (const Attempt& a : attempts)
      if (a.may_have_run) return &a;
    return nullptr;
  }
};

// One a module, referred to by every decision in it.
struct Common {
  Common(const Settings& settings, std::uint64_t seed, Micros start)
      : set(settings),
        random(seed),
        now(start),
        zones([this](Micros most) { return random.Upto(most); }, settings.warmup_time, settings.sidecar_index,
              settings.sidecar_count) {}
  Common(const Common&) = delete;
  Common& operator=(const Common&) = delete;

  const RequestClass& ClassOf(const Held& held) const { return set.classes[held.request_class]; }
  // What can be reached has changed: it is reckoned again before the next request.
  void ExpireCapacity() {
    for (Pool& pool : pools) pool.capacity.Expire();
  }

  Settings set;  // as told at the start, but for the rank and the siblings
  Random random;
  Micros now;
  Pools pools;
  zones::Zones zones;
};

}  // namespace merlinrun

#endif  // MERLINRUN_POLICY_RECORDS_HPP_
