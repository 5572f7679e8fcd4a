#include "mesh/ingress/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace fennelhollow::ingress {
namespace {

// Runs over which the time of one is averaged.
constexpr double kRunMemory = 50;
// Instances of servers on this machine whose times are kept.
constexpr std::size_t kMostUpstreams = 8;
// Lives of outbound sidecars whose forgotten records are remembered by their highest number.
constexpr std::size_t kMostOutboundLives = 4096;

}  // namespace

AdmissionQueue::Record& AdmissionQueue::Keep(Micros now, const Ticket& ticket) {
  const auto [it, fresh] = records_.try_emplace(ticket);
  if (fresh) ages_.emplace_back(now, ticket);
  return it->second;
}

// What is under way is never forgotten: its record is put back at the end.
void AdmissionQueue::Forget(Micros now) {
  std::size_t looked = 0;
  while (!ages_.empty() && looked++ < 64 &&
         (now - ages_.front().first > kRecordFor || ages_.size() > kMostRecords)) {
    const Ticket ticket = ages_.front().second;
    ages_.pop_front();
    const auto it = records_.find(ticket);
    if (it == records_.end()) continue;
    if (it->second.state == State::kWaiting || (it->second.state == State::kPassed && !it->second.over))
      ages_.emplace_back(now, ticket);
    else {
      std::uint64_t& upto = forgotten_[ticket.life];
      upto = std::max(upto, ticket.number);
      records_.erase(it);
    }
  }
  // Lives that have long ended; one that lives comes back with its next forgotten record.
  while (forgotten_.size() > kMostOutboundLives) forgotten_.erase(forgotten_.begin());
}

// A ticket whose record may be gone: nothing can be promised of it any more.
bool AdmissionQueue::Forgotten(const Ticket& ticket) const {
  const auto it = forgotten_.find(ticket.life);
  return it != forgotten_.end() && ticket.number <= it->second;
}

double AdmissionQueue::CostOf(const Upstream& upstream, const Flow& flow) {
  const double run = upstream.account.RunOf(flow);
  return run > 0 && upstream.run > 0 ? run / upstream.run : 1;
}

std::size_t AdmissionQueue::MostWaiting(const Upstream& upstream) const {
  return static_cast<std::size_t>(room_.waiting_per_slot * upstream.slots);
}

bool AdmissionQueue::HasRoomInTime(Micros now, const Upstream& upstream,
                                   const FairQueue::Entry& entry) const {
  const std::size_t ahead = upstream.queue.Ahead(entry.flow, entry.due, entry.cost);
  const double wait = static_cast<double>(ahead + 1) * upstream.run / Most(upstream);
  return ahead < MostWaiting(upstream) && now + static_cast<Micros>(wait) < entry.until;
}

AdmissionQueue::Decision AdmissionQueue::OnAttempt(Micros now, const Attempt& attempt) {
  Forget(now);
  if (records_.count(attempt.ticket) > 0 || Forgotten(attempt.ticket))
    return Decision::kTurnAway;  // withdrawn before it came, sent twice, or so late that it may be either
  Upstream& upstream = upstreams_[attempt.server];
  upstream.slots = std::max(1, attempt.slots);
  upstream.account.OnAsked(now, attempt.flow);
  Record& record = Keep(now, attempt.ticket);
  record.server = attempt.server;
  if (upstream.passed < Most(upstream) && upstream.queue.empty()) {
    Pass(now, upstream, record, attempt.flow);
    return Decision::kPass;
  }
  const bool starves = upstream.account.Starves(attempt.flow);
  const Micros until = starves ? std::max(attempt.until, attempt.due) : attempt.until;
  FairQueue::Entry entry{attempt.ticket, attempt.flow, attempt.due, until, CostOf(upstream, attempt.flow)};
  if (!HasRoomInTime(now, upstream, entry)) {
    record.state = State::kNever;
    Judge(upstream, attempt.flow);
    DropIfEmpty(attempt.server);
    return Decision::kTurnAway;
  }
  record.state = State::kWaiting;
  record.handle = upstream.queue.Push(std::move(entry));
  ++waiting_;
  if (const auto gives_way = upstream.queue.Overflow(MostWaiting(upstream))) evicted_.push_back(*gives_way);
  return Decision::kWait;
}

void AdmissionQueue::Pass(Micros now, Upstream& upstream, Record& record, const Flow& flow) {
  ++upstream.passed;
  upstream.account.OnPassed(flow);
  record.state = State::kPassed;
  record.flow = flow;
  record.passed_at = now;
}

// Counts one of the flow that was turned away for want of room.
void AdmissionQueue::Judge(Upstream& upstream, const Flow& flow) {
  const auto span = upstream.account.OnTurnedAway(flow);
  if (span && on_span_) on_span_(*span);
}

void AdmissionQueue::OnDone(Micros now, const Ticket& ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.state != State::kPassed || it->second.over) return;
  it->second.over = true;
  const auto upstream = upstreams_.find(it->second.server);
  if (upstream == upstreams_.end()) return;
  --upstream->second.passed;
  const Micros took = now - it->second.passed_at;
  upstream->second.account.OnRan(it->second.flow, took);
  upstream->second.run +=
      (static_cast<double>(took) - upstream->second.run) / (upstream->second.run > 0 ? kRunMemory : 1);
  DropIfEmpty(it->second.server);
}

bool AdmissionQueue::OnCancel(const Ticket& ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.state != State::kWaiting) return false;
  upstreams_[it->second.server].queue.Erase(*it->second.handle);
  --waiting_;
  it->second.handle.reset();
  it->second.state = State::kNever;
  DropIfEmpty(it->second.server);
  return true;
}

bool AdmissionQueue::OnAsk(Micros now, const Ticket& ticket) {
  Forget(now);
  OnCancel(ticket);
  if (records_.count(ticket) == 0 && Forgotten(ticket)) return true;  // it may have been
  return Keep(now, ticket).state == State::kPassed;
}

std::optional<Ticket> AdmissionQueue::Next(Micros now) {
  for (auto& [server, upstream] : upstreams_) {
    if (upstream.passed >= Most(upstream)) continue;
    const auto entry = upstream.queue.Pop(now);
    if (!entry) continue;
    --waiting_;
    Record& record = records_[entry->ticket];
    record.handle.reset();
    Pass(now, upstream, record, entry->flow);
    return entry->ticket;
  }
  return std::nullopt;
}

bool AdmissionQueue::Waits(const Ticket& ticket) const {
  const auto it = records_.find(ticket);
  return it != records_.end() && it->second.state == State::kWaiting;
}

std::vector<AdmissionQueue::TurnedAway> AdmissionQueue::Overdue(Micros now) {
  std::vector<TurnedAway> out;
  for (const Ticket& ticket : std::exchange(evicted_, {})) out.push_back({ticket, Why::kEvicted});
  if (waiting_ > 0)
    for (const auto& [server, upstream] : upstreams_)
      for (const Ticket& ticket : upstream.queue.Overdue(now)) out.push_back({ticket, Why::kWaitedOut});
  std::erase_if(out, [&](const TurnedAway& turned) {
    if (!Waits(turned.ticket)) return true;  // it has gone since, or is told already
    const Record& record = records_.at(turned.ticket);
    Upstream& upstream = upstreams_.at(record.server);
    Judge(upstream, upstream.queue.FlowOf(*record.handle));
    return !OnCancel(turned.ticket);
  });
  return out;
}

std::vector<Ticket> AdmissionQueue::OnServerNotReady(const std::string& server) {
  const auto it = upstreams_.find(server);
  if (it == upstreams_.end()) return {};
  std::vector<Ticket> out = it->second.queue.All();
  for (const Ticket& ticket : out) OnCancel(ticket);
  return out;
}

std::size_t AdmissionQueue::passed(const std::string& server) const {
  const auto it = upstreams_.find(server);
  return it == upstreams_.end() ? 0 : static_cast<std::size_t>(it->second.passed);
}

void AdmissionQueue::DropIfEmpty(const std::string& server) {
  const auto it = upstreams_.find(server);
  if (upstreams_.size() > kMostUpstreams && it != upstreams_.end() && it->second.passed == 0 &&
      it->second.queue.empty())
    upstreams_.erase(it);
}

}  // namespace fennelhollow::ingress
