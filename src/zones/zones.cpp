#include "zones/zones.hpp"

#include <algorithm>
#include <utility>

#include "base/random.hpp"

namespace merlinrun::zones {
namespace {

// So many distinct servers without a way to them, and no answer in between, are their zone's loss. Where
// three servers in ten are gone by themselves, three dead ones in a row come once in forty tries and are
// undone by the next trial; two come once in ten.
constexpr std::size_t kDeadLeft = 3;
// A window that holds fewer servers of the zone than this says nothing of it.
constexpr std::size_t kLeastSeen = 2;
// A zone is left only if this share of the window stands elsewhere. Under it suspicion would empty the fleet.
constexpr double kLeastLeft = 0.25;
// Silence is evidence only where none of the zone's servers has answered anything for so long: several usual
// times of an answer. Guards against taking dear requests, or a network that stood for a moment, for a loss.
constexpr Micros kSilentFor = 500'000;
// The wait before a trial is random(0, min(cap, base * 2^n)), n being losses and failed trials in a row. The
// cap bounds how late a return is found where no list tells it.
constexpr Micros kTrialBase = 500'000;
constexpr Micros kTrialCap = 4'000'000;

// Where a quorum is answered by a zone that this sidecar finds dead, it takes so many times the evidence to
// leave it: by chance dead servers come in a row.
constexpr std::size_t kDoubt = 2;
// Witnesses of its loss that stand for most of the evidence, or for all of it, and how many times those who
// were just answered there they have to be. In a zone with three dead servers in eight five sidecars in a row
// meet those alone once in a hundred and thirty times, eight once in two thousand.
constexpr int kMany = 5;
constexpr int kMost = 8;
constexpr int kAgainst = 8;
// A zone that answered this sidecar so lately is not left without a sign of its own.
constexpr Micros kAnsweredLately = 500'000;
// Where others are heard so many of the fleet try a zone that is left in each round, by a hash of their
// numbers and the round: what they meet is told to the others. Guards against a hundred sidecars that knock
// at a zone that is just starting. One that is never chosen, or hears nothing of it, tries after kTurnMost.
constexpr std::uint64_t kTriers = 3;
constexpr Micros kRound = 1'000'000;
constexpr Micros kTurnMost = 16'000'000;
// Once a quorum is back the others try within this time, each at its own moment.
constexpr Micros kFollow = 1'000'000;

}  // namespace

Sign SignOf(Result result) {
  switch (result) {
    case Result::kSuccess:
    case Result::kError:
    case Result::kRefused:
      return Sign::kAnswer;
    case Result::kUnreachable:
    case Result::kReset:
      return Sign::kNoWay;
    case Result::kTimeout:
      return Sign::kSilent;
    case Result::kCancelled:
    case Result::kNeverSent:
      return Sign::kNothing;
  }
  return Sign::kNothing;
}

Zones::Zones(Draw draw, Micros warm_after, std::uint32_t rank, std::uint32_t siblings)
    : draw_(std::move(draw)), warm_after_(warm_after), rank_(rank), siblings_(siblings) {}

void Zones::Enter(Micros now, Zone& zone, Stage stage) {
  zone.stage = stage;
  zone.began = now;
}

const Zones::Zone* Zones::Find(int zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? nullptr : &it->second;
}

void Zones::OnSent(Micros now, int id) {
  if (id < 0) return;
  Zone& zone = zones_[id];
  ++zone.out;
  if (zone.stage == Stage::kEjected && now >= zone.tried_from) Enter(now, zone, Stage::kProbing);
}

bool Zones::OnOutcome(Micros now, int id, std::uint64_t server, Sign sign, const Window& window) {
  if (id < 0) return false;
  Zone& zone = zones_[id];
  zone.out = std::max(zone.out - 1, 0);
  if (zone.stage == Stage::kReturning && now - zone.returned_at >= warm_after_) {
    Enter(now, zone, Stage::kServing);
    zone.left_for = 0;
  }
  if (sign == Sign::kAnswer) {
    if (zone.dead.size() >= kDeadLeft) ForgiveAll();
    zone.dead.clear();
    zone.answered_at = now;
    // What was out when it was ordered to be left may still answer, and changes nothing.
    const bool ordered = zone.order == ZoneOverride::Kind::kEvacuate;
    const bool back = !ordered && IsEjected(zone.stage);
    if (back) {
      Enter(now, zone, Stage::kReturning);
      // It joins at the stage of those that are back already: the servers are as warm for it as for them.
      zone.returned_at = now - Told(now, zone).returned_for;
      ++epoch_;
    } else if (zone.stage == Stage::kSuspected) {
      Enter(now, zone, Stage::kServing);
    }
    bool another = false;
    for (auto& [other, suspect] : zones_) another |= other != id && LeaveIfLost(now, suspect);
    return back || another;
  }
  if (zone.stage == Stage::kProbing) {  // whatever it was, it was no answer
    Leave(now, zone);
    return false;
  }
  return Suspect(now, zone, server, sign, window);
}

bool Zones::OnLate(Micros now, int id, std::uint64_t server, const Window& window) {
  return id >= 0 && Suspect(now, zones_[id], server, Sign::kSilent, window);
}

bool Zones::Suspect(Micros now, Zone& zone, std::uint64_t server, Sign sign, const Window& window) {
  if (sign == Sign::kNothing || IsEjected(zone.stage)) return false;
  if (sign == Sign::kSilent && now - zone.answered_at < kSilentFor) return false;
  if (zone.dead.empty()) zone.suspected_at = now;
  zone.dead_at = now;
  if (zone.dead.size() < std::max(kDeadLeft, Needed(now, zone)) &&
      std::find(zone.dead.begin(), zone.dead.end(), server) == zone.dead.end())
    zone.dead.push_back(server);
  if (zone.stage == Stage::kServing) Enter(now, zone, Stage::kSuspected);
  zone.window = window;
  return LeaveIfLost(now, zone);
}

void Zones::OnListed(Micros now, int id, std::uint64_t server, bool started) {
  const auto it = zones_.find(id);
  if (it == zones_.end()) return;
  std::erase(it->second.dead, server);
  if (started && it->second.stage == Stage::kEjected)
    it->second.tried_from = std::min(it->second.tried_from, now);
}

// A zone that was as good as lost answers: the trouble was this sidecar's own, and what was seen of the other
// zones meanwhile was the same.
void Zones::ForgiveAll() {
  for (auto& [id, zone] : zones_) zone.dead.clear();
}

bool Zones::OnTold(Micros now, const ZonePeerReport& told, const Window& window) {
  if (told.zone < 0) return false;
  Zone& zone = zones_[told.zone];
  zone.told = told;
  zone.told_at = now;
  zone.window = window;
  if (zone.stage == Stage::kEjected && told.reporting_healthy >= kQuorum && !std::exchange(zone.called, true))
    zone.tried_from = std::min(zone.tried_from, now + draw_(kFollow));
  return LeaveIfLost(now, zone);
}

void Zones::OnOrders(Micros now, std::span<const ZoneOverride> orders) {
  std::map<int, ZoneOverride::Kind> kinds;
  for (const ZoneOverride& order : orders) kinds[order.zone] = order.kind;
  for (const auto& [id, kind] : kinds) zones_.try_emplace(id);
  for (auto& [id, zone] : zones_) {
    const auto it = kinds.find(id);
    const ZoneOverride::Kind before =
        std::exchange(zone.order, it == kinds.end() ? ZoneOverride::Kind::kNone : it->second);
    if (before == zone.order) continue;
    const bool left = IsEjected(zone.stage);
    if (zone.order == ZoneOverride::Kind::kEvacuate && !left) {
      Leave(now, zone);
      ++epoch_;
    } else if (left) {
      zone.tried_from = now;
    }
  }
}

ZonePeerReport Zones::Told(Micros now, const Zone& zone) const {
  return now - zone.told_at < kToldFor ? zone.told : ZonePeerReport();
}

// Servers that have to be found dead before the zone is left: one where others have found most of it out,
// none where they have found out all and the zone has said nothing to this sidecar either.
std::size_t Zones::Needed(Micros now, const Zone& zone) const {
  const ZonePeerReport told = Told(now, zone);
  if (told.reporting_lost >= kMany && told.reporting_lost >= kAgainst * told.reporting_healthy)
    return told.reporting_lost >= kMost && now - zone.answered_at >= kAnsweredLately ? 0 : 1;
  return told.reporting_healthy >= kQuorum && told.reporting_lost < kQuorum ? kDoubt * kDeadLeft : kDeadLeft;
}

// A zone is lost if enough of its servers are, if another zone has answered since the first of them (else
// this sidecar's own link may be the trouble, and nobody is accused), and if enough stands elsewhere.
bool Zones::LeaveIfLost(Micros now, Zone& zone) {
  if (IsEjected(zone.stage)) return false;
  if (zone.order == ZoneOverride::Kind::kKeep) return false;
  const Window& w = zone.window;
  const std::size_t needed = Needed(now, zone);
  if (w.here == 0 || (needed > 0 && w.here < kLeastSeen) || zone.dead.size() < std::min(needed, w.here))
    return false;
  const auto all = static_cast<double>(w.here + w.elsewhere);
  if (static_cast<double>(w.elsewhere) < kLeastLeft * all) return false;
  Micros since = zone.dead.empty() ? now : zone.suspected_at;
  // Where many others say the same the trouble is not this sidecar's own, if it was answered at all just now.
  if (needed < kDeadLeft) since = std::min(since, now - kToldFor);
  if (!AnotherAnswered(zone, since)) return false;
  Leave(now, zone);
  ++epoch_;
  return true;
}

void Zones::Leave(Micros now, Zone& zone) {
  Enter(now, zone, Stage::kEjected);
  zone.called = false;
  zone.left_for = std::clamp(2 * zone.left_for, kTrialBase, kTrialCap);
  zone.tried_from = now + draw_(zone.left_for);
}

bool Zones::AnotherAnswered(const Zone& than, Micros since) const {
  return std::any_of(zones_.begin(), zones_.end(), [&](const auto& entry) {
    return &entry.second != &than && entry.second.answered_at >= since;
  });
}

bool Zones::MayTry(Micros now, int id) const {
  const Zone* zone = Find(id);
  if (zone == nullptr || !IsEjected(zone->stage)) return true;
  if (zone->order == ZoneOverride::Kind::kEvacuate) return false;
  return now >= zone->tried_from && zone->out == 0 && MyTurn(now, id, *zone);
}

bool Zones::MyTurn(Micros now, int id, const Zone& zone) const {
  const ZonePeerReport told = Told(now, zone);
  if (told.reporting < kQuorum || told.reporting_healthy >= kQuorum || now - zone.began >= kTurnMost)
    return true;
  if (zone.began / kRound == now / kRound) return false;  // it has left it, or tried it, in this round
  const auto round = static_cast<std::uint64_t>(now / kRound);
  return MixBits(MixBits(round << 20 ^ static_cast<std::uint64_t>(id)) ^ rank_) % siblings_ < kTriers;
}

bool Zones::Left(int id) const {
  const Zone* zone = Find(id);
  return zone != nullptr && IsEjected(zone->stage);
}

Micros Zones::ReturnedAt(Micros now, int id) const {
  const Zone* zone = Find(id);
  const bool young =
      zone != nullptr && zone->stage == Stage::kReturning && now - zone->returned_at < warm_after_;
  return young ? zone->returned_at : 0;
}

Stage Zones::StageOf(Micros now, int id) const {
  const Zone* zone = Find(id);
  if (zone == nullptr) return Stage::kServing;
  return zone->stage == Stage::kReturning && ReturnedAt(now, id) == 0 ? Stage::kServing : zone->stage;
}

std::vector<BalancerSnapshot::Zone> Zones::TakeSnapshot(Micros now) const {
  std::vector<BalancerSnapshot::Zone> out;
  for (const auto& [id, zone] : zones_) {
    // A stage of warming up that is over has become serving without a move: its time tells that.
    const Micros in_stage = now - zone.began;
    const Micros seen = std::max(zone.answered_at, zone.dead.empty() ? -1 : zone.dead_at);
    out.push_back(
        {id, StageOf(now, id), in_stage, zone.dead.size(), seen < 0 ? -1 : now - seen, Told(now, zone)});
  }
  return out;
}

}  // namespace merlinrun::zones
