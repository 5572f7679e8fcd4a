#include "policy/health.hpp"

#include <algorithm>
#include <utility>

#include "policy/retry.hpp"
#include "policy/window.hpp"

namespace merlinrun {
namespace {

// Responses over which the latency ratio is averaged; the second for busy sidecars.
constexpr double kLatencyWindow = 8;
constexpr double kBusyWindow = 32;
// Upper bound of a single latency ratio.
constexpr double kMaxLatencyRatio = 4;
// Ejection time: random(0, min(retry cap, base * 2^n)) after n consecutive failures.
constexpr Micros kEjectionBase = 500 * kMillisecond;
// Largest share of the window ejected for reasons other than failed connections.
constexpr double kMaxLateEjectedShare = 0.2;
// Responses below this multiple of the usual latency are fast.
constexpr double kFastFactor = 1.5;
// Refusal rate from which a class counts as refused.
constexpr double kRefusingFrom = 0.1;
// Averaging windows of the refusal rate: fast to rise, slow to fall, and never 1.
constexpr double kRefusalWindow = 3;
constexpr double kSuccessWindow = 10;
constexpr double kMaxRate = 0.95;
// Averaging window of the error rate: one error in a thousand is usual, so a single one must count little.
constexpr double kErrorWindow = 4;

double LatencyWindow(const Pool& pool) {
  return std::clamp(kBusyWindow * pool.peak_in_flight / kSteadyInFlight, kLatencyWindow, kBusyWindow);
}

}  // namespace

bool RefusesOneClass(const Server& server) {
  const auto some = [](double share) { return share > kRefusingFrom; };
  return server.refused.size() > 1 && std::count_if(server.refused.begin(), server.refused.end(), some) == 1;
}

bool Health::IsFast(const ActiveRequest& active, const Outcome& outcome) const {
  if (outcome.result != Result::kSuccess) return false;
  const auto elapsed = static_cast<double>(outcome.elapsed);
  const double usual = usual_latency_[active.request_class];
  return elapsed < kFastFactor * (usual > 0 ? usual : elapsed);
}

void Health::RecordOutcome(const ActiveRequest& active, Server& server, Micros sent, const Outcome& outcome) {
  const auto elapsed = static_cast<double>(outcome.elapsed);
  double latency_ratio = kMaxLatencyRatio;  // for timeouts, failed connections and resets
  if (outcome.result == Result::kSuccess) {
    double& class_latency = usual_latency_[active.request_class];
    if (class_latency <= 0) class_latency = elapsed;
    class_latency += (elapsed - class_latency) / kAverageRequests;
    latency_ratio = std::min(elapsed / std::max(class_latency, 1.0), kMaxLatencyRatio);
  } else if (outcome.result == Result::kCancelled || outcome.result == Result::kNeverSent) {
    return;
  }
  // Ignores a failure if the server succeeded since the one before: some connections break by themselves.
  const bool connection_failed = outcome.result == Result::kReset || outcome.result == Result::kUnreachable;
  if (connection_failed && server.last_success_at > std::exchange(server.connection_failed_at, c_.now))
    return;
  if (outcome.result == Result::kError) server.error_rate += (kMaxRate - server.error_rate) / kErrorWindow;
  if (outcome.result == Result::kSuccess) server.error_rate -= server.error_rate / kSuccessWindow;
  if (outcome.result == Result::kError) return;
  server.refused.resize(usual_latency_.size());
  double& refused = server.refused[active.request_class];
  if (outcome.result == Result::kRefused) refused += (kMaxRate - refused) / kRefusalWindow;
  if (outcome.result == Result::kSuccess) refused -= refused / kSuccessWindow;
  if (outcome.result != Result::kRefused)
    server.latency_ratio += (latency_ratio - server.latency_ratio) / LatencyWindow(c_.pools[server.pool]);
  if (outcome.result == Result::kSuccess) {
    if (outcome.elapsed >= c_.ClassOf(active).latency_target) return;
    server.consecutive_ejections = 0;
    server.last_success_at = c_.now;
  } else if (outcome.result != Result::kRefused) {
    RecordFailure(server, sent, outcome.result == Result::kUnreachable);
  }
}

// A server that has responded to others since the attempt was sent is busy, not down.
void Health::RecordFailure(Server& server, Micros sent, bool dead) {
  if (c_.now < server.ejected_until || server.responded_at > sent) return;
  const Pool& pool = c_.pools[server.pool];
  const std::size_t width = Width(pool, c_.set);
  std::size_t ejected = 0;
  for (std::size_t i = 0; i < width; ++i) ejected += IsEjected(pool.InWindow(i));
  double limit = c_.set.tuning.max_ejected_share * static_cast<double>(width);
  if (!dead) limit = std::min(limit, std::max(1.0, kMaxLateEjectedShare * static_cast<double>(width)));
  if (static_cast<double>(ejected + 1) > limit) return;
  server.ejected_until =
      c_.now + c_.random.Upto(ExponentialBackoff(kEjectionBase, server.consecutive_ejections++,
                                                 c_.set.tuning.retry_cap));
}

bool Health::IsEjected(const Server& server) const {
  return c_.now < server.ejected_until || (server.consecutive_ejections > 0 && server.in_flight > 0);
}

// Guards against limits on one class, full servers, and servers that look idle because they fail fast.
bool Health::ShouldSkip(const ActiveRequest& active, const Server& server) {
  const double refused = server.refused.empty() ? 0 : server.refused[active.request_class];
  if (refused > 0 && c_.random.Unit() < refused) return true;
  return server.error_rate > 0 && c_.random.Unit() < server.error_rate;
}

}  // namespace merlinrun
