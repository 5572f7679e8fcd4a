#include "mesh/memory/peer_activity.hpp"

#include <algorithm>

namespace fennelhollow::memory {
namespace {

using Kind = PeerActivity::Kind;

// Waits shorter than these are those of a peer that is reading, or sending.
constexpr Duration kMinWaitForMemory = std::chrono::milliseconds(250);
constexpr Duration kMinWaitOfReader = std::chrono::milliseconds(1'000);
// Longer than any wait.
constexpr Duration kIdleRank = std::chrono::hours(24);

}  // namespace

void PeerWait::Begin(Clock::time_point now, double min_bytes_per_s) {
  began_ = now;
  last_bytes_at_ = now;
  min_bytes_per_s_ = min_bytes_per_s;
  bytes_ = 0;
}

void PeerWait::OnBytes(Clock::time_point now, std::size_t bytes) {
  last_bytes_at_ = now;
  bytes_ += static_cast<double>(bytes);
}

Duration PeerWait::Overdue(Clock::time_point now) const {
  const auto waited = std::chrono::duration_cast<Duration>(now - began_);
  if (min_bytes_per_s_ <= 0) return waited;
  const std::chrono::duration<double> allowed(bytes_ / min_bytes_per_s_);
  return waited - std::chrono::duration_cast<Duration>(allowed);
}

Duration PeerWait::Waited(Clock::time_point now) const {
  return std::max(std::chrono::duration_cast<Duration>(now - last_bytes_at_), Overdue(now));
}

std::optional<Duration> RankForPlace(const PeerActivity& activity) {
  switch (activity.kind) {
    case Kind::kIdle:
      if (activity.waited < kArrivalTime) return std::nullopt;
      return activity.was_served ? activity.waited - kIdleRank : activity.waited + kIdleRank;
    case Kind::kSendsRequest:
      if (activity.waited < kRequestTime) return std::nullopt;
      // One that sends fast enough stays, unless it has stopped.
      if (activity.overdue <= Duration(0) && activity.waited < kMinWaitOfReader) return std::nullopt;
      return activity.waited;
    case Kind::kReadsResponse:
      if (activity.waited < kMinWaitOfReader) return std::nullopt;
      return activity.waited;
    case Kind::kIsServed:
      break;
  }
  return std::nullopt;
}

bool MayGiveWaySoon(const PeerActivity& activity, bool has_unread_input) {
  if (activity.kind == Kind::kIdle) return activity.waited < kArrivalTime || has_unread_input;
  if (activity.kind == Kind::kSendsRequest) return activity.waited < kRequestTime || has_unread_input;
  return false;
}

std::optional<Duration> RankForMemory(const PeerActivity& activity) {
  const bool waits_for_peer = activity.kind == Kind::kSendsRequest || activity.kind == Kind::kReadsResponse;
  if (!waits_for_peer || activity.waited < kMinWaitForMemory) return std::nullopt;
  return activity.waited;
}

}  // namespace fennelhollow::memory
