#include "rig/sim/network.hpp"

#include <vector>

namespace fennelhollow::sim {

namespace {
constexpr Micros kUserTimeout = 2 * kSecond;  // TCP_USER_TIMEOUT of transport::Link
}  // namespace

// ---- processes

void Network::Start(const Address& machine, Process& process, std::uint64_t incarnation) {
  Machine& m = machines_[machine];
  m.process = &process;
  m.incarnation = incarnation;
  m.powered = true;
  m.frozen_until = 0;
  for (auto& [id, link] : links_) {  // frames held since a power loss: the new process resets their links
    for (const std::size_t sender : {0U, 1U}) {
      if (!link.directions[sender].queue.empty())
        events_.At(events_.now(), [this, id = id, sender] { DeliverDue(id, sender); });
    }
  }
}

void Network::Kill(const Address& machine) {
  machines_[machine].process = nullptr;
  std::vector<std::pair<LinkId, std::size_t>> resets;
  for (auto& [id, link] : links_) {
    for (const std::size_t end : {0U, 1U}) {
      if (link.ends[end].machine == machine && link.ends[end].open) resets.emplace_back(id, end);
    }
  }
  for (const auto& [id, end] : resets) Reset(id, end);
}

void Network::PowerOff(const Address& machine) {
  Machine& m = machines_[machine];
  m.process = nullptr;
  m.powered = false;
  for (auto& [id, link] : links_) {
    for (End& end : link.ends) {
      if (end.machine == machine) end.open = false;
    }
  }
}

void Network::Freeze(const Address& machine, Micros until) {
  machines_[machine].frozen_until = std::max(machines_[machine].frozen_until, until);
}

bool Network::IsRunning(const Address& machine) const {
  const auto it = machines_.find(machine);
  return it != machines_.end() && it->second.process != nullptr;
}

bool Network::IsFrozen(const Address& machine) const {
  const auto it = machines_.find(machine);
  return it != machines_.end() && events_.now() < it->second.frozen_until;
}

void Network::Deliver(Micros when, const Address& machine, std::uint64_t incarnation,
                      std::function<void()> what) {
  events_.At(when, [this, machine, incarnation, what = std::move(what)] {
    const Machine& m = machines_[machine];
    if (m.process == nullptr || m.incarnation != incarnation) return;
    if (events_.now() < m.frozen_until) return Deliver(m.frozen_until, machine, incarnation, what);
    what();
  });
}

// ---- links

Micros Network::Delay() { return delay_.first + random_.Upto(delay_.second); }

bool Network::Blocked(const Address& from, const Address& to) const {
  const auto it = machines_.find(to);
  return IsCut(from, to) || it == machines_.end() || !it->second.powered;
}

std::size_t Network::EndOf(const Link& link, const Address& machine) const {
  return link.ends[0].machine == machine ? 0 : 1;
}

bool Network::IsAlive(const End& end) const {
  const auto it = machines_.find(end.machine);
  return end.open && it != machines_.end() && it->second.process != nullptr &&
         it->second.incarnation == end.incarnation;
}

Network::LinkId Network::Dial(const Address& from, const Address& to, Micros timeout) {
  const LinkId id = ++last_link_;
  Link& link = links_[id];
  link.ends[0] = {from, machines_[from].incarnation, true};
  link.ends[1] = {to, 0, false};
  events_.At(events_.now() + Delay(),
             [this, id, dialled = events_.now(), timeout] { Accept(id, dialled, timeout); });
  return id;
}

void Network::Accept(LinkId id, Micros dialled, Micros timeout) {
  const auto it = links_.find(id);
  if (it == links_.end() || !IsAlive(it->second.ends[0])) return Drop(id);
  Link& link = it->second;
  const Address from = link.ends[0].machine, to = link.ends[1].machine;
  if (Blocked(from, to) || Blocked(to, from)) {
    events_.At(dialled + timeout, [this, id] { NotifyDown(id, 0, false); });
    return;
  }
  const Machine& acceptor = machines_[to];
  if (acceptor.process == nullptr) {
    events_.At(events_.now() + Delay(), [this, id] { NotifyDown(id, 0, true); });
    return;
  }
  link.ends[1].incarnation = acceptor.incarnation;
  link.ends[1].open = true;
  Deliver(events_.now(), to, acceptor.incarnation, [this, id, to, from] {
    if (links_.count(id) > 0) machines_[to].process->OnAccepted(id, from);
  });
  Deliver(events_.now() + Delay(), from, link.ends[0].incarnation, [this, id, from] {
    const auto up = links_.find(id);
    if (up != links_.end() && up->second.ends[0].open) machines_[from].process->OnUp(id);
  });
}

bool Network::Send(LinkId id, const Address& from, std::string frame) {
  const auto it = links_.find(id);
  if (it == links_.end()) return false;
  Link& link = it->second;
  const std::size_t sender = EndOf(link, from);
  if (!link.ends[sender].open) return false;
  Machine& to = machines_[link.ends[1 - sender].machine];
  Direction& direction = link.directions[sender];
  Micros due = events_.now() + Delay();
  if (to.bandwidth > 0) {
    const auto takes = static_cast<Micros>(static_cast<double>(frame.size()) / to.bandwidth * 1e6);
    to.busy_until = std::max(to.busy_until, events_.now()) + takes;
    due += to.busy_until - events_.now();
  }
  direction.last = std::max(direction.last, due);
  bytes_ += frame.size();
  largest_frame_ = std::max(largest_frame_, frame.size());
  direction.queue.emplace_back(direction.last, std::move(frame));
  events_.At(direction.last, [this, id, sender] { DeliverDue(id, sender); });
  return true;
}

void Network::DeliverDue(LinkId id, std::size_t sender) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = it->second;
  Direction& direction = link.directions[sender];
  const End& from = link.ends[sender];
  const End& to = link.ends[1 - sender];
  while (!direction.queue.empty() && direction.queue.front().first <= events_.now()) {
    if (Blocked(from.machine, to.machine)) {
      if (direction.blocked_since >= 0) return;
      direction.blocked_since = events_.now();
      events_.At(events_.now() + kUserTimeout,
                 [this, id, sender, since = direction.blocked_since] { TimeOut(id, sender, since); });
      return;
    }
    direction.blocked_since = -1;
    if (!IsAlive(to)) {  // the process is gone: the sender gets a reset
      direction.queue.clear();
      if (!Blocked(to.machine, from.machine)) NotifyDown(id, sender, false);
      return;
    }
    const std::string frame = std::move(direction.queue.front().second);
    direction.queue.pop_front();
    Deliver(events_.now(), to.machine, to.incarnation, [this, id, end = 1 - sender, frame] {
      const auto at = links_.find(id);
      if (at == links_.end() || !at->second.ends[end].open) return;
      machines_[at->second.ends[end].machine].process->OnFrame(id, frame);
    });
  }
}

void Network::TimeOut(LinkId id, std::size_t sender, Micros since) {
  const auto it = links_.find(id);
  if (it == links_.end() || it->second.directions[sender].blocked_since != since) return;
  it->second.directions[sender].queue.clear();
  it->second.directions[sender].blocked_since = -1;
  NotifyDown(id, sender, false);
}

void Network::NotifyDown(LinkId id, std::size_t end, bool refused) {
  const auto it = links_.find(id);
  if (it == links_.end() || !it->second.ends[end].open) return;
  const End gone = it->second.ends[end];
  it->second.ends[end].open = false;
  Deliver(events_.now(), gone.machine, gone.incarnation,
          [this, id, machine = gone.machine, refused] { machines_[machine].process->OnDown(id, refused); });
  if (!it->second.ends[1 - end].open) Drop(id);
}

// End `by` is gone; the other end learns of it now if the network lets it through, else when it next sends.
void Network::Reset(LinkId id, std::size_t by) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  Link& link = it->second;
  link.ends[by].open = false;
  if (Blocked(link.ends[by].machine, link.ends[1 - by].machine)) return;
  events_.At(events_.now() + Delay(), [this, id, other = 1 - by] { NotifyDown(id, other, false); });
}

void Network::Close(LinkId id, const Address& from) {
  const auto it = links_.find(id);
  if (it == links_.end()) return;
  // Frames sent before the close still arrive.
  const std::size_t end = EndOf(it->second, from);
  const Micros last = std::max(it->second.directions[end].last, events_.now());
  it->second.ends[end].open = false;
  events_.At(last, [this, id, end] { Reset(id, end); });
}

void Network::Drop(LinkId id) {
  events_.At(events_.now(), [this, id] { links_.erase(id); });
}

// ---- faults

void Network::Heal(const Address& from, const Address& to) {
  if (cuts_.erase({from, to}) == 0) return;
  for (auto& [id, link] : links_) {
    for (const std::size_t sender : {0U, 1U}) {
      if (link.directions[sender].queue.empty()) continue;
      link.directions[sender].blocked_since = -1;
      events_.At(events_.now(), [this, id = id, sender] { DeliverDue(id, sender); });
    }
  }
}

void Network::ResetLinks(const Address& machine, double share) {
  std::vector<std::pair<LinkId, std::size_t>> resets;
  for (auto& [id, link] : links_) {
    const bool mine = link.ends[0].machine == machine || link.ends[1].machine == machine;
    if (mine && link.ends[0].open && link.ends[1].open && random_.Unit() < share) {
      resets.emplace_back(id, 0);
      resets.emplace_back(id, 1);
    }
  }
  for (const auto& [id, end] : resets) NotifyDown(id, end, false);
}

}  // namespace fennelhollow::sim
