#include "mesh/theodolite/fence.hpp"

#include <algorithm>

namespace fennelhollow::theodolite {

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
    else
      records_.erase(it);
  }
}

Fence::Decision Fence::OnAttempt(Micros now, const Ticket& ticket, const std::string& server, int slots,
                                 int priority, Micros until) {
  Forget(now);
  if (records_.count(ticket) > 0) return Decision::kTurnAway;  // withdrawn before it came, or sent twice
  Lane& lane = lanes_[server];
  lane.slots = std::max(1, slots);
  Record& record = Keep(now, ticket);
  record.server = server;
  if (lane.passed < Most(lane) && lane.heap.empty()) {
    ++lane.passed;
    record.state = State::kPassed;
    return Decision::kPass;
  }
  if (until <= now || static_cast<double>(lane.heap.size()) >= room_.waiting_per_slot * lane.slots) {
    record.state = State::kNever;
    DropIfEmpty(server);
    return Decision::kTurnAway;
  }
  record.state = State::kWaiting;
  record.handle = lane.heap.push({ticket, priority, ++order_, until});
  ++waiting_;
  return Decision::kWait;
}

void Fence::OnDone(const Ticket& ticket) {
  const auto it = records_.find(ticket);
  if (it == records_.end() || it->second.state != State::kPassed || it->second.over) return;
  it->second.over = true;
  const auto lane = lanes_.find(it->second.server);
  if (lane == lanes_.end()) return;
  --lane->second.passed;
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
      record.handle.reset();
      return ticket;
    }
  }
  return std::nullopt;
}

std::vector<Ticket> Fence::Overdue(Micros now) {
  std::vector<Ticket> out;
  if (waiting_ == 0) return out;
  for (auto& [server, lane] : lanes_)
    for (const Waiting& waiting : lane.heap)
      if (waiting.until <= now) out.push_back(waiting.ticket);
  for (const Ticket& ticket : out) OnCancel(ticket);
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
  if (it != lanes_.end() && it->second.passed == 0 && it->second.heap.empty()) lanes_.erase(it);
}

}  // namespace fennelhollow::theodolite
