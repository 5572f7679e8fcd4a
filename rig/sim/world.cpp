#include "rig/sim/world.hpp"

#include <algorithm>
#include <utility>

#include "mesh/configuration/configuration.hpp"

namespace fennelhollow::sim {

namespace {

constexpr Micros kStartTakes = 300 * kMillisecond;
constexpr Micros kWatchEvery = 100 * kMillisecond;
constexpr Micros kCallTimeout = kSecond;
constexpr Micros kSlowDelay = 20 * kMillisecond;
constexpr int kRedirections = 2;
constexpr int kSlowDisk = 30;
constexpr double kLostAnswers = 0.7;

bool LosesCore(FaultKind kind) {
  switch (kind) {
    case FaultKind::kSidecarKill:
    case FaultKind::kSidecarFreeze:
    case FaultKind::kAnswersLost:
    case FaultKind::kSlowLinks:
    case FaultKind::kReset:
      return false;
    default:
      return true;
  }
}

// Of the Location of a redirection.
Address HostOf(const control::Response& answer) {
  constexpr std::string_view kScheme = "http://";
  const std::string location = answer.headers.at(0).second.substr(kScheme.size());
  return location.substr(0, location.find('/'));
}

std::string TextOf(const configuration::ReplicatedState& ledger) {
  return ledger.newest().version() > 0 ? ledger.newest().text() : std::string();
}

}  // namespace

World::World(const Schedule& schedule)
    : schedule_(schedule),
      tolerated_(schedule.cores >= 5 ? 2 : 1),
      random_(schedule.seed * 0x9e3779b97f4a7c15U + 1),
      network_(events_, schedule.seed * 31 + 5) {
  for (int i = 0; i < schedule_.cores; ++i) {
    const Address id = AddCore(true);
    if (founders_.size() < 3) founders_.push_back(id);
  }
  for (const Address& id : Cores()) StartCore(id, true);
  for (int i = 0; i < schedule_.sidecars; ++i) {
    const Address id = "side-" + std::to_string(i);
    events_.At(events_.now() + random_.Upto(kStartTakes), [this, id] { StartSidecar(id); });
  }
  operators_ =
      std::make_unique<Operators>(events_, judge_, schedule_.seed * 13 + 3, schedule_.operators,
                                  [this](std::uint64_t turn, control::CallKind kind, const std::string& body,
                                         const Operators::Done& done) { CallCore(turn, kind, body, done); });
  for (const Fault& fault : schedule_.faults) events_.At(kSecond + fault.at, [this, fault] { Begin(fault); });
  events_.At(events_.now() + kWatchEvery, [this] { Watch(); });
}

World::~World() = default;

// ---- machines

Address World::AddCore(bool first) {
  Address id = "10.0.0." + std::to_string(++machines_) + ":7000";
  cores_[id];
  if (!first) StartCore(id, false);
  return id;
}

void World::StartCore(const Address& id, bool first_start) {
  Core& core = cores_[id];
  if (core.removed || core.process) return;
  CoreProcess::Settings settings;
  settings.self = id;
  settings.incarnation = ++incarnations_;
  settings.seeds = first_start ? founders_ : Seeds();
  settings.first_start = first_start;
  core.entry = 0;
  core.started = events_.now();
  core.lost_until = first_start ? 0 : std::max(events_.now() + kCatchUp, core.troubled_until);
  core.process = std::make_unique<CoreProcess>(
      events_, network_, core.disk, settings,
      CoreProcess::Events{[this](const CoreProcess& process) { OnStep(process); },
                          [this, id, incarnation = settings.incarnation] {
                            Core& ended = cores_[id];
                            if (!ended.process || ended.process->incarnation() != incarnation) return;
                            StopCore(id, false, false);
                          }});
  Trouble();
}

void World::StopCore(const Address& id, bool power, bool wipe) {
  Core& core = cores_[id];
  if (core.process) {
    power ? network_.PowerOff(id) : network_.Kill(id);
    ended_.push_back(std::move(core.process));
  }
  core.disk.CutShort(random_.Unit() < 0.5);
  if (wipe) core.disk.Lose();
  core.lost_until = events_.now() + 1000 * kSecond;
  Trouble();
}

void World::StartAgain(const Address& id, Micros after) {
  events_.At(events_.now() + after, [this, id] { StartCore(id, false); });
}

void World::StartSidecar(const Address& id) {
  Sidecar& sidecar = sidecars_[id];
  if (sidecar.process) return;
  const std::uint64_t incarnation = ++incarnations_;
  sidecar.started = events_.now();
  sidecar.process = std::make_unique<SidecarProcess>(
      events_, network_, id, incarnation, Seeds(),
      [this, id, incarnation](std::uint64_t entry, const std::string& state) {
        OnInForce(id, incarnation, entry, state);
      });
}

std::vector<Address> World::Cores() const {
  std::vector<Address> out;
  for (const auto& [id, core] : cores_) {
    if (!core.removed) out.push_back(id);
  }
  return out;
}

// Three machines; some may be down.
std::vector<Address> World::Seeds() {
  std::vector<Address> seeds = Cores();
  while (seeds.size() > 3)
    seeds.erase(seeds.begin() + static_cast<std::ptrdiff_t>(random_.Below(seeds.size())));
  return seeds;
}

Address World::Leader() const {
  Address leader;
  std::uint64_t term = 0;
  for (const auto& [id, core] : cores_) {
    if (!core.process || !core.process->replica().IsLeader()) continue;
    const std::uint64_t its_term = core.process->replica().replica()->term();
    if (its_term < term) continue;
    term = its_term;
    leader = id;
  }
  return leader;
}

Address World::Target(int target) const {
  Address leader = Leader();
  if (target == kAtLeader && !leader.empty()) return leader;
  const std::vector<Address> cores = Cores();
  return cores[static_cast<std::size_t>(std::max(target, 0)) % cores.size()];
}

int World::Lost(const Address& but) const {
  int lost = 0;
  for (const auto& [id, core] : cores_) {
    if (id != but && events_.now() < core.lost_until) ++lost;
  }
  return lost;
}

// Its links, disk or process are in trouble for so long, whatever else happens to it.
void World::Lose(Core& core, Micros lasts) {
  core.troubled_until = std::max(core.troubled_until, events_.now() + lasts + kCatchUp);
  core.lost_until = std::max(core.lost_until, core.troubled_until);
}

// ---- faults

void World::CutBetween(const std::set<Address>& side, const std::set<Address>& others, bool in, bool out,
                       Micros lasts) {
  std::vector<std::pair<Address, Address>> cuts;
  for (const Address& a : side) {
    for (const Address& b : others) {
      if (side.count(b) > 0) continue;
      if (out) cuts.emplace_back(a, b);
      if (in) cuts.emplace_back(b, a);
    }
    Lose(cores_[a], lasts);
  }
  for (const auto& [from, to] : cuts) network_.Cut(from, to);
  events_.At(events_.now() + lasts, [this, cuts] {
    for (const auto& [from, to] : cuts) network_.Heal(from, to);
    Trouble();
  });
}

void World::RestoreDisk(const Address& id, Micros lasts, const std::function<void(Disk&)>& restore) {
  Core& core = cores_[id];
  Lose(core, lasts);
  events_.At(events_.now() + lasts, [this, id, restore] {
    restore(cores_[id].disk);
    Trouble();
  });
}

void World::Begin(const Fault& fault) {
  const Address id = Target(fault.target);
  Core& core = cores_[id];
  const std::vector<Address> all = Cores();
  const std::set<Address> cores(all.begin(), all.end());
  const int more = fault.kind == FaultKind::kCutPair ? 2 : 1;
  if (LosesCore(fault.kind) && events_.now() < disk_gone_until_ && Lost(id) + more > tolerated_) return;
  ++faults_;
  Trouble();
  Mark(static_cast<std::uint64_t>(fault.kind));
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kPower:
      StopCore(id, fault.kind == FaultKind::kPower, false);
      return StartAgain(id, fault.lasts);
    case FaultKind::kWipe:
      if (!MayLose(id)) return;
      StopCore(id, true, true);
      disk_gone_until_ = events_.now() + fault.lasts + kCatchUp;
      return StartAgain(id, fault.lasts);
    case FaultKind::kFreeze:
      network_.Freeze(id, events_.now() + fault.lasts);
      Lose(core, fault.lasts);
      return events_.At(events_.now() + fault.lasts, [this] { Trouble(); });
    case FaultKind::kCutCores:
      return CutBetween({id}, cores, true, true, fault.lasts);
    case FaultKind::kCutAll: {
      std::set<Address> everybody = cores;
      for (const auto& [sidecar, state] : sidecars_) everybody.insert(sidecar);
      return CutBetween({id}, everybody, true, true, fault.lasts);
    }
    case FaultKind::kCutIn:
      return CutBetween({id}, cores, true, false, fault.lasts);
    case FaultKind::kCutOut:
      return CutBetween({id}, cores, false, true, fault.lasts);
    case FaultKind::kCutPair:
      return CutBetween({id, Target(std::max(fault.target, 0) + 1)}, cores, true, true, fault.lasts);
    case FaultKind::kReset:
      return network_.ResetLinks(id, 0.5);
    case FaultKind::kDiskSlow: {
      core.disk.write_takes = Disk::kWriteTakes * kSlowDisk;
      return RestoreDisk(id, fault.lasts, [](Disk& disk) { disk.write_takes = Disk::kWriteTakes; });
    }
    case FaultKind::kDiskStall:
      core.disk.stalled_until = events_.now() + fault.lasts;
      return RestoreDisk(id, fault.lasts, [](Disk&) {});
    case FaultKind::kDiskFull:
      core.disk.full = true;
      return RestoreDisk(id, fault.lasts, [](Disk& disk) { disk.full = false; });
    case FaultKind::kTerminate:
      if (!core.process) return;
      core.lost_until = events_.now() + 1000 * kSecond;
      core.process->Terminate();
      return StartAgain(id, 3500 * kMillisecond + fault.lasts);
    case FaultKind::kReplacePlanned:
    case FaultKind::kReplaceGone:
      return Replace(fault);
    case FaultKind::kKillAll:
    case FaultKind::kPowerAll:
      return KillAll(fault.kind == FaultKind::kPowerAll);
    case FaultKind::kPowerOnAck:
    case FaultKind::kWipeOnAck:
      (fault.kind == FaultKind::kPowerOnAck ? power_on_ack_ : wipe_on_ack_) = true;
      on_ack_lasts_ = fault.lasts;
      return;
    case FaultKind::kSidecarKill: {
      const Address sidecar = "side-" + std::to_string(std::max(fault.target, 0) % schedule_.sidecars);
      if (sidecars_[sidecar].process) {
        network_.Kill(sidecar);
        ended_.push_back(std::move(sidecars_[sidecar].process));
      }
      return events_.At(events_.now() + fault.lasts / 4, [this, sidecar] { StartSidecar(sidecar); });
    }
    case FaultKind::kSidecarFreeze: {
      const Address sidecar = "side-" + std::to_string(std::max(fault.target, 0) % schedule_.sidecars);
      network_.Freeze(sidecar, events_.now() + fault.lasts);
      return events_.At(events_.now() + fault.lasts, [this] { Trouble(); });
    }
    case FaultKind::kAnswersLost:
      answers_lost_ = kLostAnswers;
      return events_.At(events_.now() + fault.lasts, [this] {
        answers_lost_ = 0;
        Trouble();
      });
    case FaultKind::kSlowLinks:
      network_.SetDelay(kSlowDelay, kSlowDelay);
      return events_.At(events_.now() + fault.lasts, [this] {
        network_.SetDelay(200, 800);
        Trouble();
      });
    case FaultKind::kCount:
      return;
  }
}

// The machine that goes takes its disk along, so it is a lost disk as long as its successor has not had its
// time to catch up.
void World::Replace(const Fault& fault) {
  const Address old = Target(fault.target);
  if (!MayLose(old)) return;
  if (fault.kind == FaultKind::kReplaceGone) {
    StopCore(old, true, true);
    cores_[old].removed = true;
    disk_gone_until_ = events_.now() + fault.lasts + kCatchUp;
    events_.At(events_.now() + fault.lasts, [this, old] {
      const Address successor = AddCore(false);
      cores_[old].lost_until = cores_[successor].lost_until;  // one loss, not two
      cores_[successor].lost_until = 0;
    });
    return;
  }
  const Address successor = AddCore(false);
  disk_gone_until_ = events_.now() + fault.lasts + kCatchUp;
  cores_[old].lost_until = cores_[successor].lost_until + fault.lasts + 4 * kSecond;
  cores_[successor].lost_until = 0;
  events_.At(events_.now() + fault.lasts, [this, old] {
    Core& leaving = cores_[old];
    leaving.removed = true;  // whatever ends it
    if (leaving.process) leaving.process->Terminate();
    // Stopped counting once its successor has had its time; the end itself takes up to the grace time.
    events_.At(events_.now() + kCatchUp, [this, old] {
      if (cores_[old].process) StopCore(old, false, true);
      cores_[old].lost_until = 0;
    });
  });
}

void World::KillAll(bool power) {
  for (const Address& id : Cores()) {
    StopCore(id, power, false);
    StartAgain(id, 200 * kMillisecond + random_.Upto(800 * kMillisecond));
  }
}

void World::OnAcknowledged(const Address& core) {
  if (power_on_ack_ && cores_[core].process) {
    power_on_ack_ = false;
    const Micros within = random_.Upto(4 * kMillisecond);
    events_.At(events_.now() + within, [this, core] {
      StopCore(core, true, false);
      StartAgain(core, on_ack_lasts_);
    });
  }
  if (wipe_on_ack_) {
    wipe_on_ack_ = false;
    const std::vector<Address> all = Cores();
    const Address victim = random_.Unit() < 0.5 ? core : all[random_.Below(all.size())];
    if (!MayLose(victim)) return;
    StopCore(victim, true, true);
    disk_gone_until_ = events_.now() + on_ack_lasts_ + kCatchUp;
    StartAgain(victim, on_ack_lasts_);
    // At times the others lose power at once.
    if (random_.Unit() < 0.5) return;
    for (const Address& id : all) {
      if (id == victim) continue;
      StopCore(id, true, false);
      StartAgain(id, 200 * kMillisecond + random_.Upto(800 * kMillisecond));
    }
  }
}

void World::EndAllTrouble() {
  power_on_ack_ = wipe_on_ack_ = false;
  answers_lost_ = 0;
  network_.SetDelay(200, 800);
  std::vector<Address> everybody;
  for (auto& [id, core] : cores_) everybody.push_back(id);
  for (auto& [id, sidecar] : sidecars_) everybody.push_back(id);
  for (const Address& a : everybody) {
    for (const Address& b : everybody) network_.Heal(a, b);
  }
  for (auto& [id, core] : cores_) {
    core.disk.full = false;
    core.disk.stalled_until = 0;
    core.disk.write_takes = Disk::kWriteTakes;
    network_.Freeze(id, 0);
    if (!core.removed) StartCore(id, false);
  }
  for (auto& [id, sidecar] : sidecars_) {
    network_.Freeze(id, 0);
    StartSidecar(id);
  }
  Trouble();
}

// ---- judgement

void World::Mark(std::uint64_t what) {
  fingerprint_ = merlinrun::MixBits(fingerprint_ ^ what ^ static_cast<std::uint64_t>(events_.now()) * 31);
}

void World::OnStep(const CoreProcess& process) {
  const control::ControlReplica& replica = process.replica();
  Core& core = cores_[process.address()];
  const std::uint64_t entry = replica.committed_entry().index;
  if (entry == core.entry) return;
  if (entry < core.entry) throw Violation("CONFIG: a core goes back: " + process.address());
  core.entry = entry;
  Mark(entry);
  judge_.OnCommitted(events_.now(), process.address(), entry, TextOf(replica.replicated_state()));
}

void World::OnInForce(const Address& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                      const std::string& state) {
  const auto ledger = configuration::ReplicatedState::Parse(state);
  if (!ledger.ok()) throw Violation("CONFIG: a sidecar is told what can't be read");
  judge_.OnInForce(sidecar, incarnation, entry, TextOf(*ledger));
  Mark(entry);
}

// Bounds that hold once nothing has happened for kContact: `trouble_at_` is the last fault's begin or end.
void World::Watch() {
  events_.At(events_.now() + kWatchEvery, [this] { Watch(); });
  const Micros now = events_.now();
  const Micros calm_since = trouble_at_ + kContact;
  int running = 0;
  for (const auto& [id, core] : cores_) {
    if (core.process && now >= core.lost_until) ++running;
  }
  const int counted = static_cast<int>(Cores().size());
  if (now < calm_since || counted - running > tolerated_ || answers_lost_ > 0) return;
  for (const auto& [id, order] : judge_.orders()) {
    if (!order.open() || !order.valid || order.first_sent < 0) continue;
    if (now - std::max(order.first_sent, calm_since) > kAcknowledge)
      throw Violation("ACKS: order " + std::to_string(id) + " has no answer in a calm time");
  }
  const std::int64_t due = judge_.AcknowledgedBy(std::max<Micros>(now - kApply, 0));
  for (const auto& [id, sidecar] : sidecars_) {
    if (!sidecar.process || network_.Frozen(id) || now < sidecar.started + kContact) continue;
    if (judge_.InForce(id) < due)
      throw Violation("CONFIG: version " + std::to_string(judge_.InForce(id)) + " is in force at " + id +
                      ", " + std::to_string(due) + " was acknowledged " + std::to_string(kApply / 1000) +
                      " ms ago; it is " + sidecar.process->Text());
  }
}

// From a list that lags: machines that have gone are on it for a while. Follows a redirection twice.
void World::CallCore(std::uint64_t turn, control::CallKind kind, const std::string& body,
                     const Operators::Done& done) {
  const std::vector<Address> cores = Cores();
  CallAt(cores[turn % cores.size()], 0, kind, body, done);
}

void World::CallAt(const Address& id, int redirections, control::CallKind kind, const std::string& body,
                   const Operators::Done& done) {
  Core& core = cores_[id];
  const Micros sent = events_.now();
  if (!core.process) return events_.At(sent + kMillisecond, [done] { done(std::nullopt); });
  struct Progress {
    bool said = false, done = false;
  };
  auto call = std::make_shared<Progress>();
  const std::uint64_t incarnation = core.process->incarnation();
  events_.At(sent + kCallTimeout, [this, call, done, id, incarnation] {
    if (std::exchange(call->done, true)) return;
    const Core& asked = cores_[id];
    const bool lived = asked.process && asked.process->incarnation() == incarnation && !network_.Frozen(id);
    if (lived && !call->said && events_.now() >= trouble_at_ + kContact)
      throw Violation("ACKS: a core says nothing for a second");
    done(std::nullopt);
  });
  network_.Deliver(sent + kMillisecond, id, incarnation, [this, kind, body, done, call, id, redirections] {
    cores_[id].process->Submit(kind, body, [=, this](const control::Response& answer) {
      call->said = true;
      if (kind != control::CallKind::kRead && answer.status == 200) OnAcknowledged(id);
      const bool lost = random_.Unit() < answers_lost_;
      events_.At(events_.now() + kMillisecond, [=, this] {
        if (lost || std::exchange(call->done, true)) return;
        if (answer.status != 307 || redirections >= kRedirections) return done(answer);
        CallAt(HostOf(answer), redirections + 1, kind, body, done);
      });
    });
  });
}

void World::RequireProgress(const char* after) {
  const std::size_t before = judge_.acknowledged();
  const Micros end = events_.now() + kContact + kAcknowledge;
  while (events_.now() < end && judge_.acknowledged() < before + 3)
    events_.RunUntil(events_.now() + 50 * kMillisecond);
  if (judge_.acknowledged() < before + 3)
    throw Violation(std::string("ACKS: no change is acknowledged after ") + after);
}

// All replicas have the same entry, an odd number of them votes, and all sidecars have it in force.
void World::RequireAgreement(const char* after) {
  operators_->Rest();
  const Micros end = events_.now() + 30 * kSecond;  // an even number of voters is given up after 12 s
  std::string why;
  while (events_.now() < end) {
    events_.RunUntil(events_.now() + 100 * kMillisecond);
    why.clear();
    const Address leader = Leader();
    if (leader.empty() || !operators_->AllClear()) {
      why = "orders are open, or nobody leads";
      continue;
    }
    const consensus::Entry& entry = cores_[leader].process->replica().committed_entry();
    if (entry.voters.size() % 2 == 0) why = "an even number votes";
    for (const Address& voter : entry.voters) {
      if (cores_[voter].removed) why = voter + " votes, and is gone for good";
    }
    for (const Address& id : Cores()) {
      if (!cores_[id].process || cores_[id].process->replica().committed_entry().index != entry.index)
        why = id + " has not caught up";
    }
    for (const auto& [id, sidecar] : sidecars_) {
      if (judge_.InForce(id) != judge_.newest()) why = id + " does not have the newest version";
    }
    if (why.empty()) return;
  }
  throw Violation("CONFIG: " + why + ", after " + after);
}

// Right after an acknowledgement all lose power, or are killed, or as many as is tolerated lose their disks.
void World::Closing() {
  const Micros calm_until = events_.now() + kContact + kCatchUp;
  events_.RunUntil(calm_until);
  const std::size_t before = judge_.acknowledged();
  while (judge_.acknowledged() == before) events_.RunUntil(events_.now() + kMillisecond);
  events_.RunUntil(events_.now() + random_.Upto(20 * kMillisecond));
  std::vector<Address> all = Cores();
  const int wiped = random_.Unit() < 0.6 ? tolerated_ : 0;
  for (int i = 0; i < wiped; ++i) {
    const std::size_t at = random_.Below(all.size());
    StopCore(all[at], true, true);
    StartAgain(all[at], 500 * kMillisecond + random_.Upto(kSecond));
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(at));
  }
  if (wiped == 0 || random_.Unit() < 0.6) {
    for (const Address& id : all) {
      StopCore(id, random_.Unit() < 0.5, false);
      StartAgain(id, 300 * kMillisecond + random_.Upto(kSecond));
    }
  }
  events_.RunUntil(events_.now() + 2 * kSecond);
}

Micros World::EndOfFaults() const {
  Micros end = schedule_.length;
  for (const Fault& fault : schedule_.faults) end = std::max(end, fault.at + fault.lasts + kSecond);
  return end;
}

Outcome World::Run() {
  Outcome out;
  try {
    events_.RunUntil(kSecond + EndOfFaults());
    EndAllTrouble();
    RequireProgress("the last fault");
    Closing();
    RequireProgress("the closing fault");
    RequireAgreement("the closing fault");
  } catch (const Violation& violation) {
    out.violation = violation.what();
    out.violation += " (at " + std::to_string((events_.now() - kSecond) / kMillisecond) + " ms)";
  }
  out.acknowledged = judge_.acknowledged();
  out.refused = judge_.refusals();
  out.reads = judge_.reads();
  out.faults = faults_;
  const Micros first = schedule_.faults.empty() ? 0 : kSecond + schedule_.faults.front().at;
  Micros last = 0;
  for (const Micros at : judge_.acknowledgements()) {
    if (at >= first && last > 0) out.longest_pause = std::max(out.longest_pause, at - std::max(last, first));
    last = at;
  }
  out.bytes = network_.bytes();
  out.largest_frame = network_.largest_frame();
  out.fingerprint = fingerprint_;
  return out;
}

Outcome RunSchedule(const Schedule& schedule) { return World(schedule).Run(); }

Schedule Shrink(Schedule schedule) {
  for (bool shorter = true; shorter;) {
    shorter = false;
    for (std::size_t i = 0; i < schedule.faults.size(); ++i) {
      Schedule fewer = schedule;
      fewer.faults.erase(fewer.faults.begin() + static_cast<std::ptrdiff_t>(i));
      if (RunSchedule(fewer).violation.empty()) continue;
      schedule = std::move(fewer);
      shorter = true;
      break;
    }
  }
  return schedule;
}

}  // namespace fennelhollow::sim
