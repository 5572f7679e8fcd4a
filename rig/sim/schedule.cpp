#include "rig/sim/schedule.hpp"

#include <algorithm>
#include <array>
#include <sstream>

#include "base/random.hpp"

namespace fennelhollow::sim {

namespace {

constexpr std::array<const char*, kFaultKinds> kNames{
    "kill",         "power",       "wipe",         "freeze",         "cut_cores",    "cut_all",
    "cut_in",       "cut_out",     "cut_pair",     "reset",          "disk_slow",    "disk_stall",
    "disk_full",    "terminate",   "replace",      "replace_gone",   "kill_all",     "power_all",
    "power_on_ack", "wipe_on_ack", "sidecar_kill", "sidecar_freeze", "answers_lost", "slow_links"};

// No faults before the initial voters have made their first write: one that loses power earlier restarts
// without state and without bootstrap, and is no initial voter any more.
constexpr Micros kFirstFault = 4 * kSecond;

Micros DrawLength(merlinrun::Random& random, FaultKind kind) {
  if (kind == FaultKind::kReplacePlanned) return 200 * kMillisecond + random.Upto(2 * kSecond);
  if (kind == FaultKind::kReplaceGone) return 100 * kMillisecond + random.Upto(2 * kSecond);
  // Up to 20 s, usually up to 4 s so that more faults fit into a run.
  const double most = random.Unit() < 0.15 ? 20.0 : 4.0;
  return 50 * kMillisecond + random.Upto(static_cast<Micros>(most * 1e6));
}

}  // namespace

const char* NameOf(FaultKind kind) { return kNames[static_cast<std::size_t>(kind)]; }

Schedule Draw(std::uint64_t seed) {
  merlinrun::Random random(seed * 7919 + 11);
  Schedule schedule;
  schedule.seed = seed;
  schedule.cores = 3 + static_cast<int>(random.Below(3));
  std::vector<FaultKind> kinds;
  const double share = 0.1 + 0.4 * random.Unit();
  for (int kind = 0; kind < kFaultKinds; ++kind) {
    if (random.Unit() < share) kinds.push_back(static_cast<FaultKind>(kind));
  }
  if (kinds.empty()) kinds.push_back(static_cast<FaultKind>(random.Below(kFaultKinds)));
  const Micros pause = 200 * kMillisecond + random.Upto(4 * kSecond);
  for (Micros at = kFirstFault; at < schedule.length; at += random.Upto(2 * pause)) {
    Fault fault;
    fault.at = at / kMillisecond * kMillisecond;
    fault.kind = kinds[random.Below(kinds.size())];
    fault.target = random.Unit() < 0.4 ? kAtLeader : static_cast<int>(random.Below(60));
    fault.duration = DrawLength(random, fault.kind) / kMillisecond * kMillisecond;
    schedule.faults.push_back(fault);
  }
  return schedule;
}

std::string Write(const Schedule& schedule) {
  std::ostringstream out;
  out << "seed " << schedule.seed << " cores " << schedule.cores << " sidecars " << schedule.sidecars
      << " operators " << schedule.operators << " length_ms " << schedule.length / kMillisecond << "\n";
  for (const Fault& fault : schedule.faults) {
    out << fault.at / kMillisecond << " " << NameOf(fault.kind) << " " << fault.target << " "
        << fault.duration / kMillisecond << "\n";
  }
  return out.str();
}

std::optional<Schedule> Read(std::string_view text) {
  std::istringstream in{std::string(text)};
  Schedule schedule;
  std::string seed, cores, sidecars, operators, length;
  Micros length_ms = 0;
  if (!(in >> seed >> schedule.seed >> cores >> schedule.cores >> sidecars >> schedule.sidecars >>
        operators >> schedule.operators >> length >> length_ms))
    return std::nullopt;
  schedule.length = length_ms * kMillisecond;
  Micros at = 0, duration = 0;
  std::string name;
  Fault fault;
  while (in >> at >> name >> fault.target >> duration) {
    const auto kind = std::find(kNames.begin(), kNames.end(), name);
    if (kind == kNames.end()) return std::nullopt;
    fault.kind = static_cast<FaultKind>(kind - kNames.begin());
    fault.at = at * kMillisecond;
    fault.duration = duration * kMillisecond;
    schedule.faults.push_back(fault);
  }
  if (!in.eof()) return std::nullopt;
  return schedule;
}

}  // namespace fennelhollow::sim
