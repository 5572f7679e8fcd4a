// Which zone is left, tried again and returned to, by what this sidecar's own attempts met there. Pools the
// evidence of all servers of a zone: a sidecar that has lost three of them need not find out the other
// twenty by requests that die. States and moves: docs/design/zones.md.
//
// Free of I/O, clock and randomness of its own: each call brings the time, and waits are drawn by `Draw`.
// Bounded: a record a zone that was ever named, and in it a few servers at most.
//
// It never empties the fleet: a zone is left only while another has answered since, and while at least
// kLeastLeft of the window stands elsewhere. It says nothing of what may be sent again: that stays with the
// module's rules.
#ifndef MERLINRUN_ZONES_ZONES_HPP_
#define MERLINRUN_ZONES_ZONES_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::zones {

// So many independent witnesses move a decision; fewer move none, so that one that errs or lies is nobody.
inline constexpr int kQuorum = 3;

using Stage = ZoneStage;
// Left or on trial: nothing goes there but its trials.
constexpr bool IsEjected(Stage stage) { return stage == Stage::kEjected || stage == Stage::kProbing; }

// What an attempt says of its server's zone.
enum class Sign {
  kAnswer,   // of whatever kind: the way there and the process work
  kNoWay,    // a connection did not come up, or broke
  kSilent,   // nothing came in time: dear work and lost zones look alike, until nothing at all comes
  kNothing,  // it was given up by ourselves
};

Sign SignOf(Result result);

class Zones {
 public:
  // Returns a time between 0 and the given one, in microseconds.
  using Draw = std::function<Micros(Micros)>;
  // Servers of the window: in the zone asked about, and elsewhere in zones that are not left.
  struct Window {
    std::size_t here = 0;
    std::size_t elsewhere = 0;
  };

  // `warm_after`: for so long a zone that is back counts as just started. `rank` of `siblings`: this
  // sidecar's number, by which its turn to try a zone comes where others are heard.
  Zones(Draw draw, Micros warm_after, std::uint32_t rank = 0, std::uint32_t siblings = 1);

  // An attempt begins at a server of the zone. Zones under 0 are unknown, and nothing is said of them.
  void OnSent(Micros now, int zone);
  // It is over. True if the zone's stage has changed what may be reached.
  bool OnOutcome(Micros now, int zone, std::uint64_t server, Sign sign, const Window& window);
  // It is over its time, and its server has said nothing since it was sent; its outcome still comes. True as
  // above.
  bool OnLate(Micros now, int zone, std::uint64_t server, const Window& window);
  // The list tells that a server of the zone is new, has started again or is gone: what was seen of it is
  // over. One that has started lets the zone be tried at once.
  void OnListed(Micros now, int zone, std::uint64_t server, bool started);

  // What other sidecars say of the zone; holds for a second. Never more than advice: this sidecar's own
  // answers go before it, and under a quorum it changes nothing. True as above.
  bool OnTold(Micros now, const ZonePeerReport& told, const Window& window);

  // The operator's orders go before all else; one that is free again is where it was left, to be tried at
  // once.
  void OnOrders(Micros now, std::span<const ZoneOverride> orders);

  // Whether a request may go there now.
  bool MayTry(Micros now, int zone) const;
  // Left or on trial: its servers are no part of what can be reached.
  bool Left(int zone) const;
  // When it was returned to, if it still counts as just started; 0 = it does not.
  Micros ReturnedAt(Micros now, int zone) const;
  Stage StageOf(Micros now, int zone) const;
  // All that were ever sent to.
  std::vector<BalancerSnapshot::Zone> TakeSnapshot(Micros now) const;
  // Grows by one with each move of any zone into or out of kLeft, and never falls.
  std::uint64_t epoch() const { return epoch_; }

 private:
  struct Zone {
    Stage stage = Stage::kServing;
    std::vector<std::uint64_t> dead;  // distinct, met since the last answer; as many as are needed to leave
    Micros suspected_at = 0;
    Micros answered_at = -1;
    Micros dead_at = -1;    // the last sign of no way or silence
    Micros tried_from = 0;  // the wait's end, while it is left
    Micros returned_at = 0;
    Micros left_for = 0;  // the longest wait that was drawn from, doubled with each loss
    Micros began = 0;     // of the stage
    int out = 0;
    Window window;  // as of the last sign of no way, or word of others
    ZoneOverride::Kind order = ZoneOverride::Kind::kNone;
    ZonePeerReport told;
    Micros told_at = -kToldFor;
    bool called = false;  // others are back there, and its trial has been hastened
  };

  // What was told is forgotten after this time: a sidecar that hears nobody any more decides alone.
  static constexpr Micros kToldFor = 1'000'000;

  static void Enter(Micros now, Zone& zone, Stage stage);
  ZonePeerReport Told(Micros now, const Zone& zone) const;
  std::size_t Needed(Micros now, const Zone& zone) const;
  bool MyTurn(Micros now, int id, const Zone& zone) const;
  void ForgiveAll();
  void Leave(Micros now, Zone& zone);
  bool Suspect(Micros now, Zone& zone, std::uint64_t server, Sign sign, const Window& window);
  bool LeaveIfLost(Micros now, Zone& zone);
  bool AnotherAnswered(const Zone& than, Micros since) const;
  const Zone* Find(int zone) const;

  const Draw draw_;
  const Micros warm_after_;
  const std::uint32_t rank_;
  const std::uint32_t siblings_;
  std::map<int, Zone> zones_;
  std::uint64_t epoch_ = 0;
};

}  // namespace merlinrun::zones

#endif  // MERLINRUN_ZONES_ZONES_HPP_
