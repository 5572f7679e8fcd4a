#include "rig/soak/ledger.hpp"

#include <algorithm>

namespace fennelhollow::rig::soak {
namespace {

constexpr std::size_t kMostFaults = 100;

}  // namespace

void Ledger::Fault(const std::string& what) {
  if (faults_.size() < kMostFaults) faults_.push_back(what);
}

void Ledger::OnSent(std::int64_t version, std::int64_t base, const Routes& routes) {
  sent_[version] = {base, routes};
}

void Ledger::OnAcknowledged(std::int64_t version) {
  if (!acknowledged_.emplace(version, Clock::now()).second) return;
  newest_ = std::max(newest_, version);
  const auto [taken, first] = taken_on_.emplace(sent_.at(version).base, version);
  if (!first)
    Fault("versions " + std::to_string(taken->second) + " and " + std::to_string(version) +
          " were both acknowledged on top of " + std::to_string(taken->first));
}

void Ledger::OnRepeated(std::int64_t version, unsigned status) {
  if (status / 100 != 4 || status == 408 || status == 429) return;
  Fault("version " + std::to_string(version) + " was acknowledged and, sent again, refused with " +
        std::to_string(status));
}

void Ledger::OnRead(const std::string& machine, Clock::time_point sent, std::int64_t version,
                    const Routes& routes) {
  ++reads_;
  std::int64_t due = 0;
  for (const auto& [acknowledged, at] : acknowledged_)
    if (at + kApply < sent) due = std::max(due, acknowledged);
  if (version < due)
    Fault(machine + " was read at version " + std::to_string(version) + ", " + std::to_string(due) +
          " had been acknowledged for longer than " + std::to_string(kApply.count()) + " ms");
  const auto known = sent_.find(version);
  if (known == sent_.end())
    Fault(machine + " was read at version " + std::to_string(version) + ", which nobody sent");
  else if (known->second.routes != routes)
    Fault(machine + " was read at version " + std::to_string(version) + " with other routes than were sent");
}

void Ledger::CheckRuns(const Runs& runs) {
  for (const std::string& id : unsafe_) {
    const auto ran = runs.find(id);
    if (ran == runs.end()) continue;
    if (ran->second > 1) Fault("unsafe request " + id + " ran " + std::to_string(ran->second) + " times");
    if (refused_.contains(id)) Fault("unsafe request " + id + " was refused and ran");
  }
}

}  // namespace fennelhollow::rig::soak
