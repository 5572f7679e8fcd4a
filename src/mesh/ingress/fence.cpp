#include "mesh/ingress/fence.hpp"

#include <algorithm>

namespace fennelhollow::ingress {
namespace {

// Runs over which the time of one is averaged.
constexpr double kRunMemory = 50;
// Lives of servers on this machine whose times are kept.
constexpr std::size_t kMostLanes = 8;
// Lives of outbound sidecars whose forgotten records are remembered by their highest number.
constexpr std::size_t kMostOutboundLives = 4096;

}  // namespace

Fence::Record& Fence::Keep(Micros now, const Ticket& ticket) {
  const auto [it, fresh] = records_.try_emplace(ticket);
  if (fresh) ages_.emplace_back(now, ticket);
  return it->second;
}

// What is under way is never forgotten: its record is put back at the end.
void Fence::Forget(Micros now) {
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
bool Fence::Forgotten(const Ticket& ticket) const {
  const auto it = forgotten_.find(ticket.life);
  return it != forgotten_.end() && ticket.number <= it->second;
}

Fence::Decision Fence::OnAttempt(Micros now, const Ticket& ticket, const std::string& server, int slots,
                                 Micros due, Micros until) {
  Forget(now);
  if (records_.count(ticket) > 0 || Forgotten(ticket))
    return Decision::kTurnAway;  // withdrawn before it came, sent twice, or so late that it may be either
  Lane& lane = lanes_[server];
  lane.slots = std::max(1, slots);
  Record& record = Keep(now, ticket);
  record.server = server;
  if (lane.passed < Most(lane) && lane.heap.empty()) {
    ++lane.passed;
    record.state = State::kPassed;
    record.passed_at = now;
    return Decision::kPass;
  }
  const auto before = static_cast<std::size_t>(
      std::count_if(lane.heap.begin(), lane.heap.end(), [&](const Waiting& w) { return w.due <= due; }));
  const double wait = static_cast<double>(before + 1) * lane.run / Most(lane);
  const auto most = static_cast<std::size_t>(room_.waiting_per_slot * lane.slots);
  if (now + static_cast<Micros>(wait) >= until || before >= most) {
    record.state = State::kNever;
    DropIfEmpty(server);
    return Decision::kTurnAway;
  }
  // No room to wait in: who is due last gives way.
  if (lane.heap.size() >= most) {
    const auto last = std::max_element(lane.heap.begin(), lane.heap.end(),
                                       [](const Waiting& a, const Waiting& b) { return a.due < b.due; });
    evicted_.push_back(last->ticket);
  }
  record.state = State::kWaiting;
  record.handle = lane.heap.push({ticket, due, ++order_, until});
  ++waiting_;
  return Decision::kWait;
}

void Fence::OnDone(Micros now, const Ticket& ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.state != State::kPassed || it->second.over) return;
  it->second.over = true;
  const auto lane = lanes_.find(it->second.server);
  if (lane == lanes_.end()) return;
  --lane->second.passed;
  const double took = static_cast<double>(now - it->second.passed_at);
  lane->second.run += (took - lane->second.run) / (lane->second.run > 0 ? kRunMemory : 1);
  DropIfEmpty(it->second.server);
}

bool Fence::OnCancel(const Ticket& ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.state != State::kWaiting) return false;
  Lane& lane = lanes_[it->second.server];
  lane.heap.erase(*it->second.handle);
  --waiting_;
  it->second.handle.reset();
  it->second.state = State::kNever;
  DropIfEmpty(it->second.server);
  return true;
}

bool Fence::OnAsk(Micros now, const Ticket& ticket) {
  Forget(now);
  OnCancel(ticket);
  if (records_.count(ticket) == 0 && Forgotten(ticket)) return true;  // it may have been
  return Keep(now, ticket).state == State::kPassed;
}

std::optional<Ticket> Fence::Next(Micros now) {
  for (auto& [server, lane] : lanes_) {
    while (lane.passed < Most(lane) && !lane.heap.empty()) {
      if (lane.heap.top().until <= now) break;  // Overdue's
      const Ticket ticket = lane.heap.top().ticket;
      lane.heap.pop();
      --waiting_;
      ++lane.passed;
      Record& record = records_[ticket];
      record.state = State::kPassed;
      record.passed_at = now;
      record.handle.reset();
      return ticket;
    }
  }
  return std::nullopt;
}

bool Fence::Waits(const Ticket& ticket) const {
  const auto it = records_.find(ticket);
  return it != records_.end() && it->second.state == State::kWaiting;
}

std::vector<Ticket> Fence::Overdue(Micros now) {
  std::vector<Ticket> out;
  out.swap(evicted_);
  std::erase_if(out, [&](const Ticket& t) { return !Waits(t); });
  if (waiting_ == 0) return out;
  for (auto& [server, lane] : lanes_)
    for (const Waiting& waiting : lane.heap)
      if (waiting.until <= now) out.push_back(waiting.ticket);
  std::erase_if(out, [&](const Ticket& t) { return !OnCancel(t); });
  return out;
}

std::vector<Ticket> Fence::OnServerGone(const std::string& server) {
  std::vector<Ticket> out;
  const auto it = lanes_.find(server);
  if (it == lanes_.end()) return out;
  for (const Waiting& waiting : it->second.heap) out.push_back(waiting.ticket);
  for (const Ticket& ticket : out) OnCancel(ticket);
  return out;
}

std::size_t Fence::passed(const std::string& server) const {
  const auto it = lanes_.find(server);
  return it == lanes_.end() ? 0 : static_cast<std::size_t>(it->second.passed);
}

void Fence::DropIfEmpty(const std::string& server) {
  const auto it = lanes_.find(server);
  if (lanes_.size() > kMostLanes && it != lanes_.end() && it->second.passed == 0 && it->second.heap.empty())
    lanes_.erase(it);
}

}  // namespace fennelhollow::ingress
