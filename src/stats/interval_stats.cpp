#include "stats/interval_stats.hpp"

#include <algorithm>
#include <utility>

namespace merlinrun::stats {

Account::Account(const Settings& settings) {
  for (const RequestClass& c : settings.classes) aims_.push_back(c.latency_target);
  stretch_.classes.resize(aims_.size());
}

void Account::Add(const core::CompletedRequest& ended) {
  const auto number = static_cast<std::size_t>(ended.request_class);
  if (number >= aims_.size()) return;
  ClassAccount& to = stretch_.classes[number];
  to.tries += static_cast<std::int64_t>(ended.attempts);
  using Disposition = core::CompletedRequest::Disposition;
  switch (ended.disposition) {
    case Disposition::kServed:
      ++(ended.duration <= aims_[number] ? to.served : to.late);
      return;
    case Disposition::kClientGone:
      ++to.left;
      return;
    case Disposition::kRefused:
    case Disposition::kFailed:
      break;
  }
  if (ended.attempts == 0) ++to.untried;
  if (!ended.end_cause) return void(++to.out_of_time);
  ++(ended.disposition == Disposition::kRefused ? to.refused
                                                : to.failed)[static_cast<std::size_t>(*ended.end_cause)];
}

void Account::Add(const core::CompletedAttempt& attempt) {
  auto it = stretch_.servers.find(attempt.server);
  if (it == stretch_.servers.end()) {
    const bool full = stretch_.servers.size() >= kServers;
    it = stretch_.servers.try_emplace(std::string(full ? kOtherServers : attempt.server)).first;
  }
  ServerAccount& to = it->second;
  ++to.results[static_cast<std::size_t>(attempt.result)];
  if (attempt.result == Result::kSuccess) to.took += attempt.duration;
  to.longest = std::max(to.longest, attempt.duration);
}

Stretch Account::Take() {
  Stretch empty;
  empty.classes.resize(aims_.size());
  return std::exchange(stretch_, std::move(empty));
}

}  // namespace merlinrun::stats
