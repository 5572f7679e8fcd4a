#include "mesh/ingress/fair_queue.hpp"

#include <algorithm>
#include <cmath>

namespace fennelhollow::ingress {
namespace {

// A run counts as so many usual ones at most.
constexpr double kMostCost = 4;
constexpr double kLeastCost = 0.1;
// What can be saved for the least share while nobody needs it: enough for the longest run.
constexpr double kMostReserve = kMostCost;
// A flow that was given more than its part while it was due first waits for the others for so many turns at
// most.
constexpr double kMostLead = 8;
// Flows whose service is remembered while nothing of them waits.
constexpr std::size_t kMostIdleFlows = 256;

}  // namespace

// When its next turn starts in virtual time. A flow that was away has no claim to what it did not ask for.
double FairQueue::StartOf(const Service& service) const {
  return std::clamp(service.finish, virtual_time_, virtual_time_ + kMostLead);
}

std::size_t FairQueue::Ahead(const Flow& flow, Micros due, double cost) const {
  cost = std::clamp(cost, kLeastCost, kMostCost);
  std::size_t due_first = 0, own = 0;  // that wait and are due no later, and those of its own flow
  for (const auto& [handle, entry] : entries_) {
    if (handle.first > due) break;
    ++due_first;
    own += entry.flow == flow;
  }
  const auto known = services_.find(flow);
  const Service mine = known == services_.end() ? Service{} : known->second;
  const double start = StartOf(mine) + static_cast<double>(own) * cost;
  std::size_t fair_turns = own;
  double needed = static_cast<double>(own + 1) * cost;
  for (const auto& [other, service] : services_) {
    if (other == flow || service.waiting == 0) continue;
    const double lead = start - StartOf(service);
    const bool before = lead > 0 || (lead == 0 && service.last_turn < mine.last_turn);
    if (!before) continue;
    const double turns = std::max(1.0, std::ceil(lead / service.cost));
    const std::size_t its_turns = std::min(service.waiting, static_cast<std::size_t>(turns));
    fair_turns += its_turns;
    needed += static_cast<double>(its_turns) * service.cost;
  }
  // What is reserved grows with the usual runs that are passed on, once what is saved is used.
  const double passes = std::ceil((needed - reserve_) / kLeastShare) - 1;
  const std::size_t by_share = std::max(fair_turns, static_cast<std::size_t>(std::max(passes, 0.0)));
  return std::min(due_first, by_share);
}

FairQueue::Handle FairQueue::Push(Entry entry) {
  const Handle handle{entry.due, ++order_};
  entry.cost = std::clamp(entry.cost, kLeastCost, kMostCost);
  Service& service = services_[entry.flow];
  ++service.waiting;
  service.cost = entry.cost;
  entries_.emplace(handle, std::move(entry));
  ForgetIdleFlows();
  return handle;
}

void FairQueue::Erase(const Handle& handle) {
  const auto at = entries_.find(handle);
  if (at == entries_.end()) return;
  --services_[at->second.flow].waiting;
  entries_.erase(at);
}

FairQueue::Entries::iterator FairQueue::FirstDue(Micros now) {
  return std::find_if(entries_.begin(), entries_.end(),
                      [&](const auto& entry) { return entry.second.until > now; });
}

FairQueue::Entries::iterator FairQueue::FirstOf(const Flow& flow, Micros now) {
  return std::find_if(entries_.begin(), entries_.end(), [&](const auto& entry) {
    return entry.second.flow == flow && entry.second.until > now;
  });
}

// Of the flows that wait, the one whose next turn starts first, and of those the one served longest ago. One
// waits.
const std::pair<const Flow, FairQueue::Service>& FairQueue::LeastServed() const {
  auto least = services_.end();
  const auto key = [&](const Service& service) { return std::pair(StartOf(service), service.last_turn); };
  for (auto it = services_.begin(); it != services_.end(); ++it) {
    if (it->second.waiting == 0) continue;
    if (least == services_.end() || key(it->second) < key(least->second)) least = it;
  }
  return *least;
}

std::optional<FairQueue::Entry> FairQueue::Pop(Micros now) {
  const auto due_first = FirstDue(now);
  if (due_first == entries_.end()) return std::nullopt;
  const auto& [least, service] = LeastServed();
  const double least_start = StartOf(service);
  const auto least_served = FirstOf(least, now);
  const bool has_turn = least_served != entries_.end() && !(least == due_first->second.flow) &&
                        reserve_ + kLeastShare >= least_served->second.cost;
  if (has_turn) reserve_ -= least_served->second.cost;
  Entry taken = Take(has_turn ? least_served : due_first);
  reserve_ = std::min(reserve_ + kLeastShare * taken.cost, kMostReserve);
  virtual_time_ = least_start;  // where the least served of those that waited stood
  return taken;
}

FairQueue::Entry FairQueue::Take(Entries::iterator at) {
  Entry entry = std::move(at->second);
  entries_.erase(at);
  Service& service = services_.at(entry.flow);
  service.finish = StartOf(service) + entry.cost;
  service.last_turn = ++turns_;
  --service.waiting;
  return entry;
}

std::optional<Ticket> FairQueue::Overflow(std::size_t most) const {
  if (entries_.size() <= most) return std::nullopt;
  const auto waiting_flows = static_cast<std::size_t>(std::count_if(
      services_.begin(), services_.end(), [](const auto& service) { return service.second.waiting > 0; }));
  const double places =
      kLeastShare * static_cast<double>(most) / static_cast<double>(std::max<std::size_t>(waiting_flows, 1));
  const auto kept = std::max<std::size_t>(static_cast<std::size_t>(places), 1);
  const auto gives_way = std::find_if(entries_.rbegin(), entries_.rend(), [&](const auto& entry) {
    return services_.at(entry.second.flow).waiting > kept;
  });
  // Where each flow has one place alone, whoever is due last.
  return gives_way == entries_.rend() ? entries_.rbegin()->second.ticket : gives_way->second.ticket;
}

std::vector<Ticket> FairQueue::Overdue(Micros now) const {
  std::vector<Ticket> out;
  for (const auto& [handle, entry] : entries_)
    if (entry.until <= now) out.push_back(entry.ticket);
  return out;
}

std::vector<Ticket> FairQueue::All() const {
  std::vector<Ticket> out;
  out.reserve(entries_.size());
  for (const auto& [handle, entry] : entries_) out.push_back(entry.ticket);
  return out;
}

// The one served longest ago goes first.
void FairQueue::ForgetIdleFlows() {
  while (services_.size() > kMostIdleFlows) {
    auto oldest = services_.end();
    for (auto it = services_.begin(); it != services_.end(); ++it)
      if (it->second.waiting == 0 &&
          (oldest == services_.end() || it->second.last_turn < oldest->second.last_turn))
        oldest = it;
    if (oldest == services_.end()) return;
    services_.erase(oldest);
  }
}

}  // namespace fennelhollow::ingress
