#include "rig/sim/simulation.hpp"

#include <algorithm>
#include <utility>

#include "mesh/configuration/configuration.hpp"

namespace fennelhollow::sim {

namespace {

constexpr Micros kMaxStartDelay = 300 * kMillisecond;
constexpr Micros kLivenessInterval = 100 * kMillisecond;
constexpr Micros kCallTimeout = kSecond;
constexpr Micros kSlowDelay = 20 * kMillisecond;
constexpr int kMaxRedirects = 2;
constexpr int kSlowDisk = 30;
constexpr double kResponseLoss = 0.7;

bool AffectsCore(FaultKind kind) {
  switch (kind) {
    case FaultKind::kSidecarKill:
    case FaultKind::kSidecarFreeze:
    case FaultKind::kResponsesLost:
    case FaultKind::kSlowLinks:
    case FaultKind::kReset:
      return false;
    default:
      return true;
  }
}

// Host and port of the Location header of a redirect.
Address HostOf(const control::Response& response) {
  constexpr std::string_view kScheme = "http://";
  const std::string location = response.headers.at(0).second.substr(kScheme.size());
  return location.substr(0, location.find('/'));
}

std::string ConfigurationText(const configuration::ReplicatedState& parsed_state) {
  return parsed_state.newest().version() > 0 ? parsed_state.newest().text() : std::string();
}

}  // namespace

Simulation::Simulation(const Schedule& schedule)
    : schedule_(schedule),
      tolerated_losses_(schedule.cores >= 5 ? 2 : 1),
      random_(schedule.seed * 0x9e3779b97f4a7c15U + 1),
      network_(events_, schedule.seed * 31 + 5) {
  for (int i = 0; i < schedule_.cores; ++i) {
    const Address id = AddCore(true);
    if (initial_voters_.size() < 3) initial_voters_.push_back(id);
  }
  for (const Address& id : Cores()) StartCore(id, true);
  for (int i = 0; i < schedule_.sidecars; ++i) {
    const Address id = "side-" + std::to_string(i);
    events_.At(events_.now() + random_.Upto(kMaxStartDelay), [this, id] { StartSidecar(id); });
  }
  operators_ =
      std::make_unique<Operators>(events_, checker_, schedule_.seed * 13 + 3, schedule_.operators,
                                  [this](std::uint64_t turn, control::CallKind kind, const std::string& body,
                                         const Operators::Done& done) { CallCore(turn, kind, body, done); });
  for (const Fault& fault : schedule_.faults)
    events_.At(kSecond + fault.at, [this, fault] { InjectFault(fault); });
  events_.At(events_.now() + kLivenessInterval, [this] { CheckLiveness(); });
}

Simulation::~Simulation() = default;

// ---- machines

Address Simulation::AddCore(bool first) {
  Address id = "10.0.0." + std::to_string(++machines_) + ":7000";
  cores_[id];
  if (!first) StartCore(id, false);
  return id;
}

void Simulation::StartCore(const Address& id, bool first_start) {
  Core& core = cores_[id];
  if (core.removed || core.process) return;
  CoreProcess::Settings settings;
  settings.self = id;
  settings.incarnation = ++incarnations_;
  settings.seeds = first_start ? initial_voters_ : Seeds();
  settings.first_start = first_start;
  core.entry = 0;
  core.started = events_.now();
  core.lost_until = first_start ? 0 : std::max(events_.now() + kCatchUpTime, core.disturbed_until);
  core.process = std::make_unique<CoreProcess>(
      events_, network_, core.disk, settings,
      CoreProcess::Events{[this](const CoreProcess& process) { OnCoreStep(process); },
                          [this, id, incarnation = settings.incarnation] {
                            Core& ended = cores_[id];
                            if (!ended.process || ended.process->incarnation() != incarnation) return;
                            StopCore(id, false, false);
                          }});
  NoteDisturbance();
}

void Simulation::StopCore(const Address& id, bool power, bool wipe) {
  Core& core = cores_[id];
  if (core.process) {
    power ? network_.PowerOff(id) : network_.Kill(id);
    retired_.push_back(std::move(core.process));
  }
  core.disk.InterruptWrite(random_.Unit() < 0.5);
  if (wipe) core.disk.Wipe();
  core.lost_until = events_.now() + 1000 * kSecond;
  NoteDisturbance();
}

void Simulation::RestartAfter(const Address& id, Micros after) {
  events_.At(events_.now() + after, [this, id] { StartCore(id, false); });
}

void Simulation::StartSidecar(const Address& id) {
  Sidecar& sidecar = sidecars_[id];
  if (sidecar.process) return;
  const std::uint64_t incarnation = ++incarnations_;
  sidecar.started = events_.now();
  sidecar.process = std::make_unique<SidecarProcess>(
      events_, network_, id, incarnation, Seeds(),
      [this, id, incarnation](std::uint64_t entry, const std::string& state) {
        OnApplied(id, incarnation, entry, state);
      });
}

std::vector<Address> Simulation::Cores() const {
  std::vector<Address> out;
  for (const auto& [id, core] : cores_) {
    if (!core.removed) out.push_back(id);
  }
  return out;
}

// Three machines, some of which may be down.
std::vector<Address> Simulation::Seeds() {
  std::vector<Address> seeds = Cores();
  while (seeds.size() > 3)
    seeds.erase(seeds.begin() + static_cast<std::ptrdiff_t>(random_.Below(seeds.size())));
  return seeds;
}

Address Simulation::Leader() const {
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

Address Simulation::Target(int target) const {
  Address leader = Leader();
  if (target == kAtLeader && !leader.empty()) return leader;
  const std::vector<Address> cores = Cores();
  return cores[static_cast<std::size_t>(std::max(target, 0)) % cores.size()];
}

int Simulation::CountLost(const Address& but) const {
  int lost = 0;
  for (const auto& [id, core] : cores_) {
    if (id != but && events_.now() < core.lost_until) ++lost;
  }
  return lost;
}

// Marks a core as lost while its links, disk or process are disturbed and until it has caught up.
void Simulation::MarkDisturbed(Core& core, Micros duration) {
  core.disturbed_until = std::max(core.disturbed_until, events_.now() + duration + kCatchUpTime);
  core.lost_until = std::max(core.lost_until, core.disturbed_until);
}

// ---- faults

void Simulation::CutBetween(const std::set<Address>& side, const std::set<Address>& others, bool in, bool out,
                            Micros duration) {
  std::vector<std::pair<Address, Address>> cuts;
  for (const Address& a : side) {
    for (const Address& b : others) {
      if (side.count(b) > 0) continue;
      if (out) cuts.emplace_back(a, b);
      if (in) cuts.emplace_back(b, a);
    }
    MarkDisturbed(cores_[a], duration);
  }
  for (const auto& [from, to] : cuts) network_.Cut(from, to);
  events_.At(events_.now() + duration, [this, cuts] {
    for (const auto& [from, to] : cuts) network_.Heal(from, to);
    NoteDisturbance();
  });
}

void Simulation::RestoreDisk(const Address& id, Micros duration, const std::function<void(Disk&)>& restore) {
  Core& core = cores_[id];
  MarkDisturbed(core, duration);
  events_.At(events_.now() + duration, [this, id, restore] {
    restore(cores_[id].disk);
    NoteDisturbance();
  });
}

void Simulation::InjectFault(const Fault& fault) {
  const Address id = Target(fault.target);
  Core& core = cores_[id];
  const std::vector<Address> all = Cores();
  const std::set<Address> cores(all.begin(), all.end());
  const int more = fault.kind == FaultKind::kCutPair ? 2 : 1;
  if (AffectsCore(fault.kind) && events_.now() < disk_gone_until_ && CountLost(id) + more > tolerated_losses_)
    return;
  ++faults_;
  NoteDisturbance();
  UpdateFingerprint(static_cast<std::uint64_t>(fault.kind));
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kPower:
      StopCore(id, fault.kind == FaultKind::kPower, false);
      return RestartAfter(id, fault.duration);
    case FaultKind::kWipe:
      if (!MayWipe(id)) return;
      StopCore(id, true, true);
      disk_gone_until_ = events_.now() + fault.duration + kCatchUpTime;
      return RestartAfter(id, fault.duration);
    case FaultKind::kFreeze:
      network_.Freeze(id, events_.now() + fault.duration);
      MarkDisturbed(core, fault.duration);
      return events_.At(events_.now() + fault.duration, [this] { NoteDisturbance(); });
    case FaultKind::kCutCores:
      return CutBetween({id}, cores, true, true, fault.duration);
    case FaultKind::kCutAll: {
      std::set<Address> all_processes = cores;
      for (const auto& [sidecar, state] : sidecars_) all_processes.insert(sidecar);
      return CutBetween({id}, all_processes, true, true, fault.duration);
    }
    case FaultKind::kCutIn:
      return CutBetween({id}, cores, true, false, fault.duration);
    case FaultKind::kCutOut:
      return CutBetween({id}, cores, false, true, fault.duration);
    case FaultKind::kCutPair:
      return CutBetween({id, Target(std::max(fault.target, 0) + 1)}, cores, true, true, fault.duration);
    case FaultKind::kReset:
      return network_.ResetLinks(id, 0.5);
    case FaultKind::kDiskSlow: {
      core.disk.write_time = Disk::kWriteTime * kSlowDisk;
      return RestoreDisk(id, fault.duration, [](Disk& disk) { disk.write_time = Disk::kWriteTime; });
    }
    case FaultKind::kDiskStall:
      core.disk.stalled_until = events_.now() + fault.duration;
      return RestoreDisk(id, fault.duration, [](Disk&) {});
    case FaultKind::kDiskFull:
      core.disk.full = true;
      return RestoreDisk(id, fault.duration, [](Disk& disk) { disk.full = false; });
    case FaultKind::kTerminate:
      if (!core.process) return;
      core.lost_until = events_.now() + 1000 * kSecond;
      core.process->Terminate();
      return RestartAfter(id, 3500 * kMillisecond + fault.duration);
    case FaultKind::kReplacePlanned:
    case FaultKind::kReplaceGone:
      return Replace(fault);
    case FaultKind::kKillAll:
    case FaultKind::kPowerAll:
      return KillAllCores(fault.kind == FaultKind::kPowerAll);
    case FaultKind::kPowerOnAck:
    case FaultKind::kWipeOnAck:
      (fault.kind == FaultKind::kPowerOnAck ? power_on_ack_ : wipe_on_ack_) = true;
      on_ack_duration_ = fault.duration;
      return;
    case FaultKind::kSidecarKill: {
      const Address sidecar = "side-" + std::to_string(std::max(fault.target, 0) % schedule_.sidecars);
      if (sidecars_[sidecar].process) {
        network_.Kill(sidecar);
        retired_.push_back(std::move(sidecars_[sidecar].process));
      }
      return events_.At(events_.now() + fault.duration / 4, [this, sidecar] { StartSidecar(sidecar); });
    }
    case FaultKind::kSidecarFreeze: {
      const Address sidecar = "side-" + std::to_string(std::max(fault.target, 0) % schedule_.sidecars);
      network_.Freeze(sidecar, events_.now() + fault.duration);
      return events_.At(events_.now() + fault.duration, [this] { NoteDisturbance(); });
    }
    case FaultKind::kResponsesLost:
      response_loss_ = kResponseLoss;
      return events_.At(events_.now() + fault.duration, [this] {
        response_loss_ = 0;
        NoteDisturbance();
      });
    case FaultKind::kSlowLinks:
      network_.SetDelay(kSlowDelay, kSlowDelay);
      return events_.At(events_.now() + fault.duration, [this] {
        network_.SetDelay(200, 800);
        NoteDisturbance();
      });
    case FaultKind::kCount:
      return;
  }
}

// The replaced machine's disk counts as lost until the successor has had its time to catch up.
void Simulation::Replace(const Fault& fault) {
  const Address old = Target(fault.target);
  if (!MayWipe(old)) return;
  if (fault.kind == FaultKind::kReplaceGone) {
    StopCore(old, true, true);
    cores_[old].removed = true;
    disk_gone_until_ = events_.now() + fault.duration + kCatchUpTime;
    events_.At(events_.now() + fault.duration, [this, old] {
      const Address successor = AddCore(false);
      cores_[old].lost_until = cores_[successor].lost_until;  // count one loss, not two
      cores_[successor].lost_until = 0;
    });
    return;
  }
  const Address successor = AddCore(false);
  disk_gone_until_ = events_.now() + fault.duration + kCatchUpTime;
  cores_[old].lost_until = cores_[successor].lost_until + fault.duration + 4 * kSecond;
  cores_[successor].lost_until = 0;
  events_.At(events_.now() + fault.duration, [this, old] {
    Core& leaving = cores_[old];
    leaving.removed = true;  // even if another fault stops it first
    if (leaving.process) leaving.process->Terminate();
    // No longer counted once the successor has caught up; the shutdown may take up to the grace period.
    events_.At(events_.now() + kCatchUpTime, [this, old] {
      if (cores_[old].process) StopCore(old, false, true);
      cores_[old].lost_until = 0;
    });
  });
}

void Simulation::KillAllCores(bool power) {
  for (const Address& id : Cores()) {
    StopCore(id, power, false);
    RestartAfter(id, 200 * kMillisecond + random_.Upto(800 * kMillisecond));
  }
}

void Simulation::OnAcknowledged(const Address& core) {
  if (power_on_ack_ && cores_[core].process) {
    power_on_ack_ = false;
    const Micros within = random_.Upto(4 * kMillisecond);
    events_.At(events_.now() + within, [this, core] {
      StopCore(core, true, false);
      RestartAfter(core, on_ack_duration_);
    });
  }
  if (wipe_on_ack_) {
    wipe_on_ack_ = false;
    const std::vector<Address> all = Cores();
    const Address victim = random_.Unit() < 0.5 ? core : all[random_.Below(all.size())];
    if (!MayWipe(victim)) return;
    StopCore(victim, true, true);
    disk_gone_until_ = events_.now() + on_ack_duration_ + kCatchUpTime;
    RestartAfter(victim, on_ack_duration_);
    // Sometimes the other cores lose power at the same time.
    if (random_.Unit() < 0.5) return;
    for (const Address& id : all) {
      if (id == victim) continue;
      StopCore(id, true, false);
      RestartAfter(id, 200 * kMillisecond + random_.Upto(800 * kMillisecond));
    }
  }
}

void Simulation::EndAllFaults() {
  power_on_ack_ = wipe_on_ack_ = false;
  response_loss_ = 0;
  network_.SetDelay(200, 800);
  std::vector<Address> all_processes;
  for (auto& [id, core] : cores_) all_processes.push_back(id);
  for (auto& [id, sidecar] : sidecars_) all_processes.push_back(id);
  for (const Address& a : all_processes) {
    for (const Address& b : all_processes) network_.Heal(a, b);
  }
  for (auto& [id, core] : cores_) {
    core.disk.full = false;
    core.disk.stalled_until = 0;
    core.disk.write_time = Disk::kWriteTime;
    network_.Freeze(id, 0);
    if (!core.removed) StartCore(id, false);
  }
  for (auto& [id, sidecar] : sidecars_) {
    network_.Freeze(id, 0);
    StartSidecar(id);
  }
  NoteDisturbance();
}

// ---- checks

void Simulation::UpdateFingerprint(std::uint64_t what) {
  fingerprint_ = merlinrun::MixBits(fingerprint_ ^ what ^ static_cast<std::uint64_t>(events_.now()) * 31);
}

void Simulation::OnCoreStep(const CoreProcess& process) {
  const control::ControlReplica& replica = process.replica();
  Core& core = cores_[process.address()];
  const std::uint64_t entry = replica.committed_entry().index;
  if (entry == core.entry) return;
  if (entry < core.entry)
    throw Violation("CONFIG: the committed entry of a core decreased: " + process.address());
  core.entry = entry;
  UpdateFingerprint(entry);
  checker_.OnCommitted(events_.now(), process.address(), entry,
                       ConfigurationText(replica.replicated_state()));
}

void Simulation::OnApplied(const Address& sidecar, std::uint64_t incarnation, std::uint64_t entry,
                           const std::string& state) {
  const auto parsed_state = configuration::ReplicatedState::Parse(state);
  if (!parsed_state.ok()) throw Violation("CONFIG: a sidecar received an unreadable state");
  checker_.OnApplied(sidecar, incarnation, entry, ConfigurationText(*parsed_state));
  UpdateFingerprint(entry);
}

// Checks the time limits that apply once nothing was disturbed for kReconnectTimeout.
void Simulation::CheckLiveness() {
  events_.At(events_.now() + kLivenessInterval, [this] { CheckLiveness(); });
  const Micros now = events_.now();
  const Micros calm_since = last_disturbance_ + kReconnectTimeout;
  int running = 0;
  for (const auto& [id, core] : cores_) {
    if (core.process && now >= core.lost_until) ++running;
  }
  const int counted = static_cast<int>(Cores().size());
  if (now < calm_since || counted - running > tolerated_losses_ || response_loss_ > 0) return;
  for (const auto& [id, change] : checker_.changes()) {
    if (!change.open() || !change.valid || change.first_sent < 0) continue;
    if (now - std::max(change.first_sent, calm_since) > kAcknowledgeTimeout)
      throw Violation("ACKS: change " + std::to_string(id) +
                      " has no response although nothing was disturbed");
  }
  const std::int64_t due = checker_.AcknowledgedBy(std::max<Micros>(now - kApplyTimeout, 0));
  for (const auto& [id, sidecar] : sidecars_) {
    if (!sidecar.process || network_.IsFrozen(id) || now < sidecar.started + kReconnectTimeout) continue;
    if (checker_.AppliedVersion(id) < due)
      throw Violation("CONFIG: version " + std::to_string(checker_.AppliedVersion(id)) + " is applied at " +
                      id + ", " + std::to_string(due) + " was acknowledged " +
                      std::to_string(kApplyTimeout / 1000) + " ms ago; the sidecar is " +
                      sidecar.process->DebugString());
  }
}

// Picks from a list that may include stopped machines. Follows up to two redirects.
void Simulation::CallCore(std::uint64_t turn, control::CallKind kind, const std::string& body,
                          const Operators::Done& done) {
  const std::vector<Address> cores = Cores();
  CallCoreAt(cores[turn % cores.size()], 0, kind, body, done);
}

void Simulation::CallCoreAt(const Address& id, int redirects, control::CallKind kind, const std::string& body,
                            const Operators::Done& done) {
  Core& core = cores_[id];
  const Micros sent = events_.now();
  if (!core.process) return events_.At(sent + kMillisecond, [done] { done(std::nullopt); });
  struct Progress {
    bool responded = false, done = false;
  };
  auto call = std::make_shared<Progress>();
  const std::uint64_t incarnation = core.process->incarnation();
  events_.At(sent + kCallTimeout, [this, call, done, id, incarnation] {
    if (std::exchange(call->done, true)) return;
    const Core& callee = cores_[id];
    const bool was_running =
        callee.process && callee.process->incarnation() == incarnation && !network_.IsFrozen(id);
    if (was_running && !call->responded && events_.now() >= last_disturbance_ + kReconnectTimeout)
      throw Violation("ACKS: a core did not respond within a second");
    done(std::nullopt);
  });
  network_.Deliver(sent + kMillisecond, id, incarnation, [this, kind, body, done, call, id, redirects] {
    cores_[id].process->Submit(kind, body, [=, this](const control::Response& response) {
      call->responded = true;
      if (kind != control::CallKind::kRead && response.status == 200) OnAcknowledged(id);
      const bool lost = random_.Unit() < response_loss_;
      events_.At(events_.now() + kMillisecond, [=, this] {
        if (lost || std::exchange(call->done, true)) return;
        if (response.status != 307 || redirects >= kMaxRedirects) return done(response);
        CallCoreAt(HostOf(response), redirects + 1, kind, body, done);
      });
    });
  });
}

void Simulation::RequireProgress(const char* after) {
  const std::size_t before = checker_.acknowledged();
  const Micros end = events_.now() + kReconnectTimeout + kAcknowledgeTimeout;
  while (events_.now() < end && checker_.acknowledged() < before + 3)
    events_.RunUntil(events_.now() + 50 * kMillisecond);
  if (checker_.acknowledged() < before + 3)
    throw Violation(std::string("ACKS: no change was acknowledged after ") + after);
}

// Requires one entry at all replicas, an odd number of voters, and that all sidecars have applied the entry.
void Simulation::RequireAgreement(const char* after) {
  operators_->StopNewChanges();
  const Micros end = events_.now() + 30 * kSecond;  // an even number of voters lasts up to 12 s
  std::string why;
  while (events_.now() < end) {
    events_.RunUntil(events_.now() + 100 * kMillisecond);
    why.clear();
    const Address leader = Leader();
    if (leader.empty() || !operators_->AllResolved()) {
      why = "changes are open or there is no leader";
      continue;
    }
    const consensus::Entry& entry = cores_[leader].process->replica().committed_entry();
    if (entry.voters.size() % 2 == 0) why = "the number of voters is even";
    for (const Address& voter : entry.voters) {
      if (cores_[voter].removed) why = voter + " is a voter but was removed";
    }
    for (const Address& id : Cores()) {
      if (!cores_[id].process || cores_[id].process->replica().committed_entry().index != entry.index)
        why = id + " has not caught up";
    }
    for (const auto& [id, sidecar] : sidecars_) {
      if (checker_.AppliedVersion(id) != checker_.newest()) why = id + " does not have the newest version";
    }
    if (why.empty()) return;
  }
  throw Violation("CONFIG: " + why + ", after " + after);
}

// Right after an acknowledgement, wipes the disks of as many cores as are tolerated, or stops the cores (by
// SIGKILL or power loss); sometimes both. Without a wipe, all cores are stopped.
void Simulation::InjectFinalFaults() {
  const Micros calm_until = events_.now() + kReconnectTimeout + kCatchUpTime;
  events_.RunUntil(calm_until);
  const std::size_t before = checker_.acknowledged();
  while (checker_.acknowledged() == before) events_.RunUntil(events_.now() + kMillisecond);
  events_.RunUntil(events_.now() + random_.Upto(20 * kMillisecond));
  std::vector<Address> all = Cores();
  const int wiped = random_.Unit() < 0.6 ? tolerated_losses_ : 0;
  for (int i = 0; i < wiped; ++i) {
    const std::size_t at = random_.Below(all.size());
    StopCore(all[at], true, true);
    RestartAfter(all[at], 500 * kMillisecond + random_.Upto(kSecond));
    all.erase(all.begin() + static_cast<std::ptrdiff_t>(at));
  }
  if (wiped == 0 || random_.Unit() < 0.6) {
    for (const Address& id : all) {
      StopCore(id, random_.Unit() < 0.5, false);
      RestartAfter(id, 300 * kMillisecond + random_.Upto(kSecond));
    }
  }
  events_.RunUntil(events_.now() + 2 * kSecond);
}

Micros Simulation::EndOfFaults() const {
  Micros end = schedule_.length;
  for (const Fault& fault : schedule_.faults) end = std::max(end, fault.at + fault.duration + kSecond);
  return end;
}

RunResult Simulation::Run() {
  RunResult out;
  try {
    events_.RunUntil(kSecond + EndOfFaults());
    EndAllFaults();
    RequireProgress("the last fault");
    InjectFinalFaults();
    RequireProgress("the final faults");
    RequireAgreement("the final faults");
  } catch (const Violation& violation) {
    out.violation = violation.what();
    out.violation += " (at " + std::to_string((events_.now() - kSecond) / kMillisecond) + " ms)";
  }
  out.acknowledged = checker_.acknowledged();
  out.refused = checker_.refusals();
  out.reads = checker_.reads();
  out.faults = faults_;
  const Micros first = schedule_.faults.empty() ? 0 : kSecond + schedule_.faults.front().at;
  Micros last = 0;
  for (const Micros at : checker_.acknowledgements()) {
    if (at >= first && last > 0) out.longest_pause = std::max(out.longest_pause, at - std::max(last, first));
    last = at;
  }
  out.bytes = network_.bytes();
  out.largest_frame = network_.largest_frame();
  out.fingerprint = fingerprint_;
  return out;
}

RunResult RunSchedule(const Schedule& schedule) { return Simulation(schedule).Run(); }

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
