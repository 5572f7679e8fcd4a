#include "model/server.hpp"

#include <algorithm>
#include <cmath>

namespace merlinrun::model {

double Server::Warmth(Micros now) const {
  const Micros age = now - started_;
  if (age >= figures_.cold_for) return 1;
  const double grown = static_cast<double>(age) / static_cast<double>(figures_.cold_for);
  return figures_.cold_share + (1 - figures_.cold_share) * grown;
}

void Server::Advance(Micros now) {
  done_ += rate_ * static_cast<double>(now - at_);
  at_ = now;
}

// How fast each of those on the cores goes from now on.
void Server::Reckon(Micros now) {
  if (figures_.chokes) Choke(now);
  if (on_cores_ == 0) {
    rate_ = 0;
    work_.clear();  // what is left there is not wanted any more
    return;
  }
  const double over = std::max(0.0, static_cast<double>(held_) - figures_.thrash_at);
  const double share = std::min(1.0, figures_.cores / static_cast<double>(on_cores_));
  rate_ = figures_.speed * Warmth(now) * share /
          ((1 + figures_.thrash * over) * (choked_ ? figures_.choke_slower : 1));
  if (now < paused_until_) rate_ = 0;
}

void Server::Choke(Micros now) {
  const double cores = figures_.cores;
  const double waiting = static_cast<double>(queued_) + std::max(0.0, static_cast<double>(on_cores_) - cores);
  const auto since = [now](bool holds, Micros& from) {
    if (!holds) from = -1;
    if (holds && from < 0) from = now;
    return holds ? now - from : -1;
  };
  const Micros crowded = since(waiting > figures_.choke_at * cores, crowded_since_);
  const Micros calm = since(static_cast<double>(held()) <= figures_.choke_below * cores, calm_since_);
  if (!choked_ && crowded >= figures_.choke_over) {
    choked_ = true;
    choked_at_ = now;
  } else if (choked_ && (calm >= figures_.choke_rest || now - choked_at_ >= figures_.choke_most)) {
    choked_ = false;
    crowded_since_ = -1;
  }
}

Server::Place Server::Take(Micros now, std::uint64_t attempt) {
  Advance(now);
  Place place = Place::kNone;
  if (held_ < figures_.slots) {
    ++held_;
    place = Place::kSlot;
  } else if (queued_ < figures_.queue) {
    ++queued_;
    queue_.push_back(attempt);
    place = Place::kQueue;
  }
  Reckon(now);
  return place;
}

void Server::Work(Micros now, std::uint64_t attempt, double work) {
  Advance(now);
  ++on_cores_;
  work_.push_back({done_ + work, attempt});
  std::push_heap(work_.begin(), work_.end(), [](const Item& x, const Item& y) { return x.end > y.end; });
  Reckon(now);
}

void Server::PopWork() {
  std::pop_heap(work_.begin(), work_.end(), [](const Item& x, const Item& y) { return x.end > y.end; });
  work_.pop_back();
}

void Server::LeaveQueue(Micros now) {
  Advance(now);
  --queued_;
  Reckon(now);
}

void Server::Pause(Micros now, Micros until) {
  Advance(now);
  paused_until_ = std::max(paused_until_, until);
  Reckon(now);
}

void Server::Refresh(Micros now) {
  Advance(now);
  Reckon(now);
}

Micros Server::due(Micros now) const {
  if (work_.empty() || rate_ <= 0) return 0;
  const double left = (work_.front().end - done_) / rate_;
  return std::max(at_ + static_cast<Micros>(std::ceil(std::max(left, 0.0))), now + 1);
}

}  // namespace merlinrun::model
