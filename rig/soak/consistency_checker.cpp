#include "rig/soak/consistency_checker.hpp"

#include <algorithm>

namespace fennelhollow::rig::soak {
namespace {

constexpr std::size_t kMaxViolations = 100;

}  // namespace

void ConsistencyChecker::ReportViolation(const std::string& what) {
  if (violations_.size() < kMaxViolations) violations_.push_back(what);
}

void ConsistencyChecker::OnSent(std::int64_t version, std::int64_t base, const Routes& routes) {
  sent_[version] = {base, routes};
}

void ConsistencyChecker::OnAcknowledged(std::int64_t version) {
  if (!acknowledged_.emplace(version, Clock::now()).second) return;
  newest_ = std::max(newest_, version);
  const auto [taken, first] = successor_of_.emplace(sent_.at(version).base, version);
  if (!first)
    ReportViolation("versions " + std::to_string(taken->second) + " and " + std::to_string(version) +
                    " were both acknowledged on top of " + std::to_string(taken->first));
}

void ConsistencyChecker::OnResent(std::int64_t version, unsigned status) {
  if (status / 100 != 4 || status == 408 || status == 429) return;
  ReportViolation("version " + std::to_string(version) + " was acknowledged and then refused with " +
                  std::to_string(status));
}

void ConsistencyChecker::OnRead(const std::string& machine, Clock::time_point sent, std::int64_t version,
                                const Routes& routes) {
  ++reads_;
  std::int64_t due = 0;
  for (const auto& [acknowledged, at] : acknowledged_)
    if (at + kApplyTimeout < sent) due = std::max(due, acknowledged);
  if (version < due)
    ReportViolation(machine + " returned version " + std::to_string(version) + ", " + std::to_string(due) +
                    " was acknowledged more than " + std::to_string(kApplyTimeout.count()) + " ms before");
  const auto known = sent_.find(version);
  if (known == sent_.end())
    ReportViolation(machine + " returned version " + std::to_string(version) + ", which was never sent");
  else if (known->second.routes != routes)
    ReportViolation(machine + " returned version " + std::to_string(version) +
                    " with other routes than sent");
}

void ConsistencyChecker::CheckExecutions(const ExecutionCounts& runs) {
  for (const std::string& id : unsafe_) {
    const auto ran = runs.find(id);
    if (ran == runs.end()) continue;
    if (ran->second > 1)
      ReportViolation("unsafe request " + id + " was executed " + std::to_string(ran->second) + " times");
    if (refused_.contains(id)) ReportViolation("unsafe request " + id + " was refused and executed");
  }
}

}  // namespace fennelhollow::rig::soak
