#include "mesh/push/publisher.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace fennelhollow::push {
namespace {

constexpr Micros kMostWait = 4'000'000;
constexpr Micros kCheckEvery = 100'000;

}  // namespace

Publisher::Publisher(Micros now, Settings settings, Sink& sink)
    : settings_(std::move(settings)),
      sink_(sink),
      started_(now),
      registry_(settings_.epoch, settings_.silent_after, settings_.forget_after),
      cutter_(settings_.quota, settings_.lease),
      flushed_at_(now - settings_.push_interval),
      checked_at_(now) {}

// What was acknowledged counts as all that it has, when the rest takes too long.
void Publisher::ResendIfDue(Micros now, Delivery& owed) const {
  if (owed.pushed <= owed.acknowledged || now - owed.progress_at < owed.resend_wait) return;
  owed.pushed = owed.acknowledged;
  owed.resend_wait = std::min(kMostWait, owed.resend_wait * 2);
}

void Publisher::MarkPushed(Micros now, Delivery& owed, std::uint64_t to) const {
  if (owed.pushed <= owed.acknowledged) owed.progress_at = now;
  owed.pushed = to;
}

void Publisher::Acknowledge(Micros now, Delivery& owed, std::uint64_t number, Micros wait) {
  if (number > owed.acknowledged) {
    owed.progress_at = now;
    owed.resend_wait = wait;
  } else if (number < owed.acknowledged) {  // it lacks something: all over again
    owed.pushed = number;
  }
  owed.acknowledged = number;
  owed.pushed = std::max(owed.pushed, number);
}

void Publisher::OnReport(Micros now, LinkId id, const SidecarReport& tell) {
  const auto key = std::pair(tell.sidecar.name, tell.sidecar.incarnation);
  auto at = links_.find(id);
  if (at == links_.end()) {
    if (links_.size() >= kMaxLinks || last_reports_.size() >= 2 * kMaxLinks) {
      sink_.Close(id);
      return;
    }
    if (const auto former = last_reports_.find(key);
        former != last_reports_.end() && links_.erase(former->second.link) != 0) {
      sink_.Close(former->second.link);
    }
    last_reports_[key].link = id;
    at = links_.emplace(id, Link{}).first;
    at->second.name = tell.sidecar.name;
    at->second.life = tell.sidecar.incarnation;
    at->second.snapshot_delivery.resend_wait = at->second.state_delivery.resend_wait = settings_.resend_after;
  } else if (at->second.name != tell.sidecar.name || at->second.life != tell.sidecar.incarnation) {
    links_.erase(at);  // a link is one sidecar's
    sink_.Close(id);
    return;
  }
  Link& link = at->second;
  auto& heard = last_reports_[key];
  heard.at = now;
  heard.entry = std::max(heard.entry, tell.applied_entry);

  if (tell.leaving) {
    registry_.OnLeaving(now, tell.sidecar.name, tell.sidecar.incarnation);
  } else if (tell.has_servers) {
    registry_.OnReport(now, tell.sidecar, tell.servers);
  } else {
    registry_.OnKeepalive(now, tell.sidecar.name, tell.sidecar.incarnation);
  }

  if (tell.subscribe && !link.subscribed) {
    link.snapshot_delivery = Delivery{0, 0, now, settings_.resend_after};
    link.state_delivery = Delivery{0, 0, now, settings_.resend_after};
    link.heartbeat_due = true;
  }
  link.subscribed = tell.subscribe;
  link.has_snapshot = tell.epoch != 0;
  // A number that was never given is of no listing of this core.
  const bool ours = tell.epoch == settings_.epoch && tell.revision <= registry_.snapshot().revision;
  Acknowledge(now, link.snapshot_delivery, ours ? tell.revision : 0, settings_.resend_after);
  Acknowledge(now, link.state_delivery, tell.applied_entry, settings_.resend_after);

  if (tell.request_id != 0 && is_leader_) AnswerDemand(now, id, tell);
  if (now - flushed_at_ >= settings_.push_interval) Flush(now);
}

void Publisher::AnswerDemand(Micros now, LinkId id, const SidecarReport& tell) {
  if (registry_.sidecar_count() != known_sidecars_) {
    known_sidecars_ = registry_.sidecar_count();
    cutter_.SetSidecarCount(now, known_sidecars_);
  }
  cutter_.OnHeldShares(now, tell.sidecar.name, tell.held_shares);
  CoreUpdate news = BaseUpdate(now);
  news.request_id = tell.request_id;
  news.shares = cutter_.OnDemand(now, tell.sidecar.name, tell.demand);
  news.lease_ms = settings_.lease / 1000;
  links_.at(id).sent_at = now;
  sink_.Send(id, news);
}

void Publisher::OnLinkDown(Micros, LinkId id) { links_.erase(id); }

void Publisher::OnTick(Micros now) {
  if (now - checked_at_ >= kCheckEvery) {
    checked_at_ = now;
    registry_.OnTick(now);
    for (auto at = last_reports_.begin(); at != last_reports_.end();) {
      if (now - at->second.at < settings_.forget_after || links_.count(at->second.link) != 0) {
        ++at;
        continue;
      }
      const std::string name = at->first.first;
      at = last_reports_.erase(at);
      const auto same = last_reports_.lower_bound(std::pair(name, std::uint64_t{0}));
      if (same == last_reports_.end() || same->first.first != name) cutter_.OnSidecarGone(now, name);
    }
  }
  if (now - flushed_at_ >= settings_.push_interval) Flush(now);
}

void Publisher::SetState(Micros now, std::uint64_t entry, std::string ledger) {
  if (entry <= entry_) return;
  entry_ = entry;
  state_ = std::move(ledger);
  for (auto& [id, link] : links_)
    link.heartbeat_due = true;  // also those who subscribe elsewhere: they see what they lack
  if (now - flushed_at_ >= settings_.push_interval) Flush(now);
}

void Publisher::SetCores(std::vector<std::string> cores, std::string holder, bool settled) {
  if (cores == cores_ && holder == leader_ && settled == has_leader_) return;
  cores_ = std::move(cores);
  leader_ = std::move(holder);
  has_leader_ = settled;
  for (auto& [id, link] : links_) link.heartbeat_due = true;
}

void Publisher::SetLimits(Micros now, const std::map<std::string, quota::TenantLimit>& limits) {
  cutter_.UpdateLimits(now, limits);
}

void Publisher::SetIsLeader(Micros now, bool i_am_holder) {
  if (is_leader_ == i_am_holder) return;
  is_leader_ = i_am_holder;
  if (!is_leader_) return;
  LOG(INFO) << "push: gives shares from now on";
  known_sidecars_ = registry_.sidecar_count();
  cutter_.SetSidecarCount(now, known_sidecars_);
  cutter_.OnBecameLeader(now);
}

CoreUpdate Publisher::BaseUpdate(Micros now) const {
  CoreUpdate news;
  news.committed_entry = entry_;
  news.cores = cores_;
  news.leader = leader_;
  news.has_leader = has_leader_;
  news.warming_up = !RegistryWarmedUp(now);
  return news;
}

// Everyone who needs the same gets the same: one difference for all who have the same number.
void Publisher::Flush(Micros now) {
  flushed_at_ = now;
  const std::uint64_t number = registry_.snapshot().revision;
  const bool list_settled = RegistryWarmedUp(now);
  struct Needs {
    bool ledger = false;
    bool whole = false;
    std::uint64_t from = 0;
    auto operator<=>(const Needs&) const = default;
  };
  std::map<Needs, std::vector<LinkId>> groups;
  for (auto& [id, link] : links_) {
    Needs needs{false, false, number};
    if (link.subscribed) {
      ResendIfDue(now, link.snapshot_delivery);
      ResendIfDue(now, link.state_delivery);
      needs.ledger = link.state_delivery.pushed < entry_;
      if (link.snapshot_delivery.pushed == 0) {
        needs.whole = list_settled || !link.has_snapshot;
      } else {
        needs.from = link.snapshot_delivery.pushed;
      }
    }
    const bool pushes = needs.ledger || needs.whole || needs.from < number;
    const Micros every = link.subscribed ? settings_.heartbeat_interval : settings_.other_heartbeat_interval;
    if (!pushes && !link.heartbeat_due && now - link.sent_at < every) continue;
    link.heartbeat_due = false;
    link.sent_at = now;
    if (needs.ledger) MarkPushed(now, link.state_delivery, entry_);
    if (needs.whole || needs.from < number) MarkPushed(now, link.snapshot_delivery, number);
    groups[needs].push_back(id);
  }
  const CoreUpdate plain = groups.empty() ? CoreUpdate{} : BaseUpdate(now);
  for (const auto& [needs, links] : groups) {
    CoreUpdate news = plain;
    if (needs.ledger) {
      news.has_state = true;
      news.state = state_;
    }
    std::optional<registry::Delta> change;
    if (!needs.whole && needs.from < number) change = registry_.DeltaSince(settings_.epoch, needs.from);
    if (change) {
      news.deltas.push_back(std::move(*change));
    } else if (needs.whole || needs.from < number) {
      news.has_snapshot = true;
      news.snapshot = registry_.snapshot();
    }
    sink_.SendAll(links, news);
  }
}

std::size_t Publisher::ActiveSidecars(Micros now) const { return ActiveSidecarsWith(now, 0); }

std::size_t Publisher::ActiveSidecarsWith(Micros now, std::uint64_t entry) const {
  return static_cast<std::size_t>(std::count_if(
      last_reports_.begin(), last_reports_.end(),
      [&](const auto& h) { return now - h.second.at < settings_.silent_after && h.second.entry >= entry; }));
}

std::size_t Publisher::Subscribers() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& l) { return l.second.subscribed; }));
}

}  // namespace fennelhollow::push
