#include "mesh/node/shutdown_schedule.hpp"

#include <algorithm>

namespace fennelhollow::node {
namespace {

using merlinrun::Micros;

constexpr Micros kMillisecond = 1000;
// The platform probes readiness every second and needs two failures.
constexpr Micros kReadinessPropagation = 2300 * kMillisecond;
// Time in which attempts may still arrive after the local server was removed from the registry.
constexpr Micros kRemovalPropagation = 500 * kMillisecond;
// Requests are answered this long, at most a seventh of the grace period, before it ends; until then their
// servers may finish them.
constexpr Micros kMaxFinishMargin = 700 * kMillisecond;
constexpr Micros kFinishMarginDivisor = 7;
// The process exits at the latest this long, or half of the finish margin if that is less, before the grace
// period ends.
constexpr Micros kMaxExitMargin = 300 * kMillisecond;

}  // namespace

ShutdownSchedule::ShutdownSchedule(Micros requested_at, Micros grace_period) {
  const Micros finish_margin = std::min(kMaxFinishMargin, grace_period / kFinishMarginDivisor);
  const Micros exit_margin = std::min(kMaxExitMargin, finish_margin / 2);
  clients_moved_at = requested_at + std::min(kReadinessPropagation, grace_period / 2);
  leave_at = std::max(requested_at, clients_moved_at - kRemovalPropagation);
  finish_at = requested_at + grace_period - finish_margin;
  latest_exit_at = requested_at + grace_period - exit_margin;
  earliest_exit_at = std::min(latest_exit_at, clients_moved_at + kRemovalPropagation);
}

}  // namespace fennelhollow::node
