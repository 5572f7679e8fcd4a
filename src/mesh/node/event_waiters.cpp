#include "mesh/node/event_waiters.hpp"

#include <utility>

namespace fennelhollow::node {

namespace {
constexpr std::size_t kMaxWaiters = 32;
constexpr Micros kMillisecond = 1000;
}  // namespace

void EventWaiters::OnCall(Micros now, const control::ReadEvents& call, Reply reply) {
  if (call.malformed)
    return reply(control::ErrorResponse(400, "epoch, since and waitMs are whole numbers from 0 up"));
  const bool wait = call.wait_ms > 0 && !stopped_ && !events_.HasNewer(call.epoch, call.since) &&
                    waiters_.size() < kMaxWaiters;
  if (!wait) return reply({200, events_.Read(call.epoch, call.since), {}});
  waiters_.push_back({call.epoch, call.since, now + call.wait_ms * kMillisecond, std::move(reply)});
}

void EventWaiters::OnTick(Micros now) {
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    if (!stopped_ && now < it->deadline && !events_.HasNewer(it->epoch, it->since)) {
      ++it;
      continue;
    }
    it->reply({200, events_.Read(it->epoch, it->since), {}});
    it = waiters_.erase(it);
  }
}

void EventWaiters::Stop() {
  stopped_ = true;
  OnTick(0);
}

}  // namespace fennelhollow::node
