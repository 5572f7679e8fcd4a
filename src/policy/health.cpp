#include "policy/health.hpp"

#include <algorithm>
#include <utility>

#include "policy/retry.hpp"
#include "policy/window.hpp"

namespace merlinrun {
namespace {

// Answers over which a server's slowness is remembered; by sidecars with kSteadyOut out, over so many.
constexpr double kSlowMemory = 8;
constexpr double kSlowMemoryBusy = 32;
// The most that one answer may say of it.
constexpr double kSlowMost = 4;
// A bad server is left alone for random(0, min(retry cap, base * 2^n)), n being bad outcomes in a row.
constexpr Micros kServerBase = 500 * kMillisecond;
// The part of the window that may be left alone for anything but connections that do not come up.
constexpr double kMostLate = 0.2;
// An answer in less than this many usual times of its class is quick: nothing waited for another.
constexpr double kQuick = 1.5;
// From this share on a class counts as turned away by a server.
constexpr double kRefusesSome = 0.1;
// Answers over which a turning away is remembered: quick to believe, slow to forget, never quite believed.
constexpr double kRefusalMemory = 3;
constexpr double kServedMemory = 10;
constexpr double kRefusalMost = 0.95;
// The same for errors, which one answer in a thousand is anywhere: one alone must not count for much.
constexpr double kErrorMemory = 4;

double SlowMemory(const Pool& pool) {
  return std::clamp(kSlowMemoryBusy * pool.out_peak / kSteadyOut, kSlowMemory, kSlowMemoryBusy);
}

}  // namespace

bool RefusesOneClass(const Server& server) {
  const auto some = [](double share) { return share > kRefusesSome; };
  return server.refuses.size() > 1 && std::count_if(server.refuses.begin(), server.refuses.end(), some) == 1;
}

bool Health::Quick(const Held& held, const Outcome& outcome) const {
  if (outcome.result != Result::kSuccess) return false;
  const auto elapsed = static_cast<double>(outcome.elapsed);
  const double usual = answer_[held.request_class];
  return elapsed < kQuick * (usual > 0 ? usual : elapsed);
}

void Health::Judge(const Held& held, Server& server, Micros sent, const Outcome& outcome) {
  const auto elapsed = static_cast<double>(outcome.elapsed);
  double slow = kSlowMost;  // timed out, unreachable or reset
  if (outcome.result == Result::kSuccess) {
    double& answer = answer_[held.request_class];
    if (answer <= 0) answer = elapsed;
    answer += (elapsed - answer) / kMixMemory;
    slow = std::min(elapsed / std::max(answer, 1.0), kSlowMost);
  } else if (outcome.result == Result::kCancelled || outcome.result == Result::kNeverSent) {
    return;
  }
  // Its own trouble as long as the server has served well since the last that broke: some break by
  // themselves.
  const bool broke = outcome.result == Result::kReset || outcome.result == Result::kUnreachable;
  if (broke && server.good_at > std::exchange(server.broke_at, c_.now)) return;
  if (outcome.result == Result::kError) server.failing += (kRefusalMost - server.failing) / kErrorMemory;
  if (outcome.result == Result::kSuccess) server.failing -= server.failing / kServedMemory;
  if (outcome.result == Result::kError) return;
  server.refuses.resize(answer_.size());
  double& refuses = server.refuses[held.request_class];
  if (outcome.result == Result::kRefused) refuses += (kRefusalMost - refuses) / kRefusalMemory;
  if (outcome.result == Result::kSuccess) refuses -= refuses / kServedMemory;
  if (outcome.result != Result::kRefused)
    server.slow += (slow - server.slow) / SlowMemory(c_.pools[server.pool]);
  if (outcome.result == Result::kSuccess) {
    if (outcome.elapsed >= c_.ClassOf(held).latency_target) return;
    server.strikes = 0;
    server.good_at = c_.now;
  } else if (outcome.result != Result::kRefused) {
    Strike(server, sent, outcome.result == Result::kUnreachable);
  }
}

// Guards against dead, stuck and choking servers. One that has answered others since the attempt was sent
// stays in: it is busy, and not dead.
void Health::Strike(Server& server, Micros sent, bool dead) {
  if (c_.now < server.away_until || server.heard_at > sent) return;
  const Pool& pool = c_.pools[server.pool];
  const std::size_t width = Width(pool, c_.set);
  std::size_t away = 0;
  for (std::size_t i = 0; i < width; ++i) away += Away(pool.InWindow(i));
  double most = c_.set.tuning.max_ejected_share * static_cast<double>(width);
  if (!dead) most = std::min(most, std::max(1.0, kMostLate * static_cast<double>(width)));
  if (static_cast<double>(away + 1) > most) return;
  server.away_until =
      c_.now + c_.random.Upto(ExponentialBackoff(kServerBase, server.strikes++, c_.set.tuning.retry_cap));
}

bool Health::Away(const Server& server) const {
  return c_.now < server.away_until || (server.strikes > 0 && server.out > 0);
}

// As often as it did so lately. Guards against limits on one class, full servers, and one that fails fast and
// looks the least busy. It could harm where all refuse by chance; the search then takes any.
bool Health::PassesOver(const Held& held, const Server& server) {
  const double refuses = server.refuses.empty() ? 0 : server.refuses[held.request_class];
  if (refuses > 0 && c_.random.Unit() < refuses) return true;
  return server.failing > 0 && c_.random.Unit() < server.failing;
}

}  // namespace merlinrun
