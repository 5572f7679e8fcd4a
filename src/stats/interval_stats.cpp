#include "stats/interval_stats.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::stats {

IntervalCollector::IntervalCollector(const Settings& settings) {
  for (const RequestClass& c : settings.classes) target_latencies_.push_back(c.latency_target);
  stats_.classes.resize(target_latencies_.size());
}

void IntervalCollector::Add(const core::CompletedRequest& completed) {
  const auto number = static_cast<std::size_t>(completed.request_class);
  if (number >= target_latencies_.size()) return;
  ClassStats& to = stats_.classes[number];
  to.attempt_count += static_cast<std::int64_t>(completed.attempts);
  using Disposition = core::CompletedRequest::Disposition;
  switch (completed.disposition) {
    case Disposition::kServed:
      ++(completed.duration <= target_latencies_[number] ? to.served : to.late);
      return;
    case Disposition::kClientGone:
      ++to.client_gone;
      return;
    case Disposition::kRefused:
    case Disposition::kFailed:
      break;
  }
  if (completed.attempts == 0) ++to.without_attempt;
  if (!completed.end_cause) return void(++to.deadline_exceeded);
  ++(completed.disposition == Disposition::kRefused
         ? to.refused
         : to.failed)[static_cast<std::size_t>(*completed.end_cause)];
}

void IntervalCollector::Add(const core::CompletedAttempt& attempt) {
  auto it = stats_.servers.find(attempt.server);
  if (it == stats_.servers.end()) {
    const bool full = stats_.servers.size() >= kMaxServers;
    it = stats_.servers.try_emplace(std::string(full ? kOtherServers : attempt.server)).first;
  }
  ServerStats& to = it->second;
  ++to.results[static_cast<std::size_t>(attempt.result)];
  if (attempt.result == Result::kSuccess) to.total_duration += attempt.duration;
  to.max_duration = std::max(to.max_duration, attempt.duration);
}

IntervalStats IntervalCollector::Take() {
  IntervalStats empty;
  empty.classes.resize(target_latencies_.size());
  return std::exchange(stats_, std::move(empty));
}

}  // namespace merlinrun::stats
