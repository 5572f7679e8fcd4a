#include "mesh/ingress/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace fennelhollow::ingress {
namespace {

// Requests over which the mean duration is taken (exponentially weighted).
constexpr double kMeanWindow = 50;
// Server instances whose statistics are kept.
constexpr std::size_t kMaxUpstreams = 8;
// Outbound proxy incarnations whose highest expired sequence is kept.
constexpr std::size_t kMaxOutboundIncarnations = 4096;

}  // namespace

AdmissionQueue::Record& AdmissionQueue::FindOrAddRecord(Micros now, const AttemptKey& attempt_key) {
  const auto [it, is_new] = records_.try_emplace(attempt_key);
  if (is_new) records_by_age_.emplace_back(now, attempt_key);
  return it->second;
}

// Records of attempts that are queued or in flight don't expire; they are moved to the end of the list.
void AdmissionQueue::ExpireRecords(Micros now) {
  std::size_t scanned = 0;
  while (!records_by_age_.empty() && scanned++ < 64 &&
         (now - records_by_age_.front().first > kRecordTtl || records_by_age_.size() > kMaxRecords)) {
    const AttemptKey attempt_key = records_by_age_.front().second;
    records_by_age_.pop_front();
    const auto it = records_.find(attempt_key);
    if (it == records_.end()) continue;
    if (it->second.state == State::kQueued || (it->second.state == State::kForwarded && !it->second.done))
      records_by_age_.emplace_back(now, attempt_key);
    else {
      std::uint64_t& expired_through = expired_through_[attempt_key.incarnation];
      expired_through = std::max(expired_through, attempt_key.sequence);
      records_.erase(it);
    }
  }
  // An incarnation that is still running is added again when its next record expires.
  while (expired_through_.size() > kMaxOutboundIncarnations) expired_through_.erase(expired_through_.begin());
}

// Whether the attempt's record may have expired, so that nothing is known about it.
bool AdmissionQueue::MayHaveExpired(const AttemptKey& attempt_key) const {
  const auto it = expired_through_.find(attempt_key.incarnation);
  return it != expired_through_.end() && attempt_key.sequence <= it->second;
}

double AdmissionQueue::RelativeCost(const Upstream& upstream, const Flow& flow) {
  const double mean_duration = upstream.stats.MeanDuration(flow);
  return mean_duration > 0 && upstream.mean_duration > 0 ? mean_duration / upstream.mean_duration : 1;
}

std::size_t AdmissionQueue::MaxQueued(const Upstream& upstream) const {
  return static_cast<std::size_t>(limits_.queued_per_slot * upstream.slots);
}

bool AdmissionQueue::LeavesQueueInTime(Micros now, const Upstream& upstream,
                                       const FairQueue::Entry& entry) const {
  const std::size_t queued_ahead = upstream.queue.CountAhead(entry.flow, entry.due, entry.cost);
  const double expected_wait =
      static_cast<double>(queued_ahead + 1) * upstream.mean_duration / MaxInFlight(upstream);
  return queued_ahead < MaxQueued(upstream) &&
         now + static_cast<Micros>(expected_wait) < entry.queue_deadline;
}

AdmissionQueue::Decision AdmissionQueue::OnAttempt(Micros now, const Attempt& attempt) {
  ExpireRecords(now);
  if (records_.count(attempt.attempt_key) > 0 || MayHaveExpired(attempt.attempt_key))
    return Decision::kReject;  // withdrawn by a status query, a duplicate, or too old to tell
  Upstream& upstream = upstreams_[attempt.server];
  upstream.slots = std::max(1, attempt.slots);
  upstream.stats.OnArrival(now, attempt.flow);
  Record& record = FindOrAddRecord(now, attempt.attempt_key);
  record.server = attempt.server;
  if (upstream.in_flight < MaxInFlight(upstream) && upstream.queue.empty()) {
    MarkForwarded(now, upstream, record, attempt.flow);
    return Decision::kForward;
  }
  const bool starving = upstream.stats.IsStarving(attempt.flow);
  const Micros queue_deadline =
      starving ? std::max(attempt.queue_deadline, attempt.due) : attempt.queue_deadline;
  FairQueue::Entry entry{attempt.attempt_key, attempt.flow, attempt.due, queue_deadline,
                         RelativeCost(upstream, attempt.flow)};
  if (!LeavesQueueInTime(now, upstream, entry)) {
    record.state = State::kNeverForwarded;
    CountCapacityRejection(upstream, attempt.flow);
    EraseIfIdle(attempt.server);
    return Decision::kReject;
  }
  record.state = State::kQueued;
  record.handle = upstream.queue.Push(std::move(entry));
  ++queued_;
  if (const auto evicted = upstream.queue.PickEviction(MaxQueued(upstream))) evicted_.push_back(*evicted);
  return Decision::kQueue;
}

void AdmissionQueue::MarkForwarded(Micros now, Upstream& upstream, Record& record, const Flow& flow) {
  ++upstream.in_flight;
  upstream.stats.OnForwarded(flow);
  record.state = State::kForwarded;
  record.flow = flow;
  record.forwarded_at = now;
}

void AdmissionQueue::CountCapacityRejection(Upstream& upstream, const Flow& flow) {
  const auto interval = upstream.stats.OnCapacityRejection(flow);
  if (interval && on_interval_) on_interval_(*interval);
}

AdmissionQueue::Upstream* AdmissionQueue::FreeSlot(Record& record) {
  if (record.state != State::kForwarded || std::exchange(record.done, true)) return nullptr;
  const auto upstream = upstreams_.find(record.server);
  if (upstream == upstreams_.end()) return nullptr;
  --upstream->second.in_flight;
  return &upstream->second;
}

void AdmissionQueue::CountDuration(Upstream& upstream, const Flow& flow, Micros took) {
  upstream.stats.OnFinished(flow, took);
  upstream.mean_duration +=
      (static_cast<double>(took) - upstream.mean_duration) / (upstream.mean_duration > 0 ? kMeanWindow : 1);
}

void AdmissionQueue::OnDone(Micros now, const AttemptKey& attempt_key, Micros waited_for_caller) {
  const auto it = records_.find(attempt_key);
  if (it == records_.end()) return;
  Upstream* upstream = FreeSlot(it->second);
  if (upstream == nullptr) return;
  CountDuration(*upstream, it->second.flow,
                std::max<Micros>(0, now - it->second.forwarded_at - waited_for_caller));
  EraseIfIdle(it->second.server);
}

void AdmissionQueue::OnAbandoned(Micros now, const AttemptKey& attempt_key, Micros waited_for_caller) {
  const auto it = records_.find(attempt_key);
  if (it == records_.end()) return;
  Upstream* upstream = FreeSlot(it->second);
  if (upstream == nullptr) return;
  const Micros took = now - it->second.forwarded_at - waited_for_caller;
  if (static_cast<double>(took) > upstream->mean_duration) CountDuration(*upstream, it->second.flow, took);
  EraseIfIdle(it->second.server);
}

bool AdmissionQueue::OnCancel(const AttemptKey& attempt_key) {
  const auto it = records_.find(attempt_key);
  if (it == records_.end() || it->second.state != State::kQueued) return false;
  upstreams_[it->second.server].queue.Erase(*it->second.handle);
  --queued_;
  it->second.handle.reset();
  it->second.state = State::kNeverForwarded;
  EraseIfIdle(it->second.server);
  return true;
}

bool AdmissionQueue::OnStatusQuery(Micros now, const AttemptKey& attempt_key) {
  ExpireRecords(now);
  OnCancel(attempt_key);
  if (records_.count(attempt_key) == 0 && MayHaveExpired(attempt_key)) return true;
  return FindOrAddRecord(now, attempt_key).state == State::kForwarded;
}

std::optional<AttemptKey> AdmissionQueue::NextToForward(Micros now) {
  for (auto& [server, upstream] : upstreams_) {
    if (upstream.in_flight >= MaxInFlight(upstream)) continue;
    const auto entry = upstream.queue.Pop(now);
    if (!entry) continue;
    --queued_;
    Record& record = records_[entry->attempt_key];
    record.handle.reset();
    MarkForwarded(now, upstream, record, entry->flow);
    return entry->attempt_key;
  }
  return std::nullopt;
}

bool AdmissionQueue::IsQueued(const AttemptKey& attempt_key) const {
  const auto it = records_.find(attempt_key);
  return it != records_.end() && it->second.state == State::kQueued;
}

std::vector<AdmissionQueue::Rejection> AdmissionQueue::TakeRejected(Micros now) {
  std::vector<Rejection> out;
  for (const AttemptKey& attempt_key : std::exchange(evicted_, {}))
    out.push_back({attempt_key, RejectReason::kEvicted});
  if (queued_ > 0)
    for (const auto& [server, upstream] : upstreams_)
      for (const AttemptKey& attempt_key : upstream.queue.Expired(now))
        out.push_back({attempt_key, RejectReason::kQueueTimeout});
  std::erase_if(out, [&](const Rejection& rejection) {
    if (!IsQueued(rejection.attempt_key)) return true;  // cancelled since, or listed twice
    const Record& record = records_.at(rejection.attempt_key);
    Upstream& upstream = upstreams_.at(record.server);
    CountCapacityRejection(upstream, upstream.queue.FlowOf(*record.handle));
    return !OnCancel(rejection.attempt_key);
  });
  return out;
}

std::vector<AttemptKey> AdmissionQueue::OnServerNotReady(const std::string& server) {
  const auto it = upstreams_.find(server);
  if (it == upstreams_.end()) return {};
  std::vector<AttemptKey> out = it->second.queue.Keys();
  for (const AttemptKey& attempt_key : out) OnCancel(attempt_key);
  return out;
}

std::size_t AdmissionQueue::in_flight(const std::string& server) const {
  const auto it = upstreams_.find(server);
  return it == upstreams_.end() ? 0 : static_cast<std::size_t>(it->second.in_flight);
}

bool AdmissionQueue::HasFreeSlot(const std::string& server) const {
  const auto it = upstreams_.find(server);
  return it == upstreams_.end() || it->second.in_flight < MaxInFlight(it->second);
}

void AdmissionQueue::EraseIfIdle(const std::string& server) {
  const auto it = upstreams_.find(server);
  if (upstreams_.size() > kMaxUpstreams && it != upstreams_.end() && it->second.in_flight == 0 &&
      it->second.queue.empty())
    upstreams_.erase(it);
}

}  // namespace fennelhollow::ingress
