#include "mesh/push/publisher.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace fennelhollow::push {
namespace {

constexpr Micros kMaxResendWait = 4'000'000;
constexpr Micros kCheckInterval = 100'000;

}  // namespace

Publisher::Publisher(Micros now, Settings settings, Sink& sink)
    : settings_(std::move(settings)),
      sink_(sink),
      started_(now),
      registry_(settings_.epoch, settings_.silent_after, settings_.forget_after),
      share_allocator_(settings_.quota, settings_.lease),
      flushed_at_(now - settings_.push_interval),
      checked_at_(now) {}

// After a timeout everything since the last acknowledgement is sent again.
void Publisher::ResendIfDue(Micros now, Delivery& delivery) const {
  if (delivery.pushed <= delivery.acknowledged || now - delivery.progress_at < delivery.resend_wait) return;
  delivery.pushed = delivery.acknowledged;
  delivery.resend_wait = std::min(kMaxResendWait, delivery.resend_wait * 2);
}

void Publisher::MarkPushed(Micros now, Delivery& delivery, std::uint64_t to) const {
  if (delivery.pushed <= delivery.acknowledged) delivery.progress_at = now;
  delivery.pushed = to;
}

void Publisher::Acknowledge(Micros now, Delivery& delivery, std::uint64_t position, Micros wait) {
  if (position > delivery.acknowledged) {
    delivery.progress_at = now;
    delivery.resend_wait = wait;
  } else if (position < delivery.acknowledged) {  // the sidecar fell back: send everything after it
    delivery.pushed = position;
  }
  delivery.acknowledged = position;
  delivery.pushed = std::max(delivery.pushed, position);
}

void Publisher::OnReport(Micros now, LinkId id, const SidecarReport& report) {
  const auto key = std::pair(report.sidecar.name, report.sidecar.incarnation);
  auto at = links_.find(id);
  if (at == links_.end()) {
    if (links_.size() >= kMaxLinks || last_reports_.size() >= 2 * kMaxLinks) {
      sink_.Close(id);
      return;
    }
    if (const auto previous = last_reports_.find(key);
        previous != last_reports_.end() && links_.erase(previous->second.link) != 0) {
      sink_.Close(previous->second.link);
    }
    last_reports_[key].link = id;
    at = links_.emplace(id, Link{}).first;
    at->second.name = report.sidecar.name;
    at->second.incarnation = report.sidecar.incarnation;
    at->second.snapshot_delivery.resend_wait = at->second.state_delivery.resend_wait = settings_.resend_after;
  } else if (at->second.name != report.sidecar.name || at->second.incarnation != report.sidecar.incarnation) {
    links_.erase(at);  // a link belongs to one sidecar
    sink_.Close(id);
    return;
  }
  Link& link = at->second;
  auto& last_report = last_reports_[key];
  last_report.at = now;
  last_report.entry = std::max(last_report.entry, report.applied_entry);

  if (report.leaving) {
    registry_.OnLeaving(now, report.sidecar.name, report.sidecar.incarnation, report.servers);
  } else if (report.has_servers) {
    registry_.OnReport(now, report.sidecar, report.servers);
  } else {
    registry_.OnKeepalive(now, report.sidecar.name, report.sidecar.incarnation);
  }

  if (report.leaving || report.has_servers) OnServers(now, id, link, report.servers);

  if (report.subscribe && !link.subscribed) {
    link.snapshot_delivery = Delivery{0, 0, now, settings_.resend_after};
    link.state_delivery = Delivery{0, 0, now, settings_.resend_after};
    link.heartbeat_due = true;
  }
  link.subscribed = report.subscribe;
  link.has_snapshot = report.epoch != 0;
  // A revision beyond the current one was never published by this core.
  const bool own_revision =
      report.epoch == settings_.epoch && report.revision <= registry_.snapshot().revision;
  Acknowledge(now, link.snapshot_delivery, own_revision ? report.revision : 0, settings_.resend_after);
  Acknowledge(now, link.state_delivery, report.applied_entry, settings_.resend_after);

  if (report.request_id != 0 && is_leader_) AnswerDemand(now, id, report);
  if (now - flushed_at_ >= settings_.push_interval) Flush(now);
}

void Publisher::AnswerDemand(Micros now, LinkId id, const SidecarReport& report) {
  if (registry_.sidecar_count() != known_sidecars_) {
    known_sidecars_ = registry_.sidecar_count();
    share_allocator_.SetSidecarCount(now, known_sidecars_);
  }
  share_allocator_.OnHeldShares(now, report.sidecar.name, report.held_shares);
  CoreUpdate update = BaseUpdate(now);
  update.request_id = report.request_id;
  update.shares = share_allocator_.OnDemand(now, report.sidecar.name, report.demand);
  update.lease_ms = settings_.lease / 1000;
  links_.at(id).sent_at = now;
  sink_.Send(id, update);
}

void Publisher::OnServers(Micros now, LinkId id, Link& link, const std::vector<registry::Server>& servers) {
  link.servers.clear();
  const std::size_t count = std::min(servers.size(), registry::kMaxInstances);
  for (std::size_t i = 0; i < count; ++i) link.servers.push_back(servers[i].id);
  if (disk_lost_ && now - started_ >= kDiskLossPeriod) disk_lost_ = false;
  SendRecords(id, link);
}

ServerRecord Publisher::RecordOf(const std::string& id) const {
  const registry::Server* tombstone = registry_.tombstones().Find(id);
  if (tombstone == nullptr) return {id, registry::State::kReady, false};
  return {id, tombstone->state, registry_.tombstones().IsWritten(id)};
}

void Publisher::SendRecords(LinkId id, Link& link) {
  if (link.servers.empty() || !tombstones_restored_) return;
  ServerRecords records;
  records.complete = !disk_lost_;
  for (const std::string& server : link.servers) records.servers.push_back(RecordOf(server));
  link.awaits_disk = std::any_of(
      records.servers.begin(), records.servers.end(),
      [](const ServerRecord& record) { return record.state != registry::State::kReady && !record.on_disk; });
  sink_.SendRecords(id, records);
}

void Publisher::RestoreTombstones(Micros now, const std::vector<registry::Server>& servers) {
  registry_.Restore(now, servers);
  tombstones_restored_ = true;
  for (auto& [id, link] : links_) SendRecords(id, link);
}

void Publisher::OnTombstonesWritten(std::uint64_t version) {
  registry_.OnTombstonesWritten(version);
  for (auto& [id, link] : links_)
    if (link.awaits_disk) SendRecords(id, link);
}

void Publisher::OnLinkDown(Micros, LinkId id) { links_.erase(id); }

void Publisher::OnTick(Micros now) {
  if (now - checked_at_ >= kCheckInterval) {
    checked_at_ = now;
    registry_.OnTick(now);
    for (auto at = last_reports_.begin(); at != last_reports_.end();) {
      if (now - at->second.at < settings_.forget_after || links_.count(at->second.link) != 0) {
        ++at;
        continue;
      }
      const std::string name = at->first.first;
      at = last_reports_.erase(at);
      const auto next_of_name = last_reports_.lower_bound(std::pair(name, std::uint64_t{0}));
      if (next_of_name == last_reports_.end() || next_of_name->first.first != name)
        share_allocator_.OnSidecarGone(now, name);
    }
  }
  if (now - flushed_at_ >= settings_.push_interval) Flush(now);
}

void Publisher::SetState(Micros now, std::uint64_t entry, std::string state) {
  if (entry <= entry_) return;
  entry_ = entry;
  state_ = std::move(state);
  for (auto& [id, link] : links_)
    link.heartbeat_due = true;  // also to non-subscribers: they learn of the newer entry
  if (now - flushed_at_ >= settings_.push_interval) Flush(now);
}

void Publisher::SetCores(std::vector<std::string> cores, std::string leader, bool has_leader) {
  if (cores == cores_ && leader == leader_ && has_leader == has_leader_) return;
  cores_ = std::move(cores);
  leader_ = std::move(leader);
  has_leader_ = has_leader;
  for (auto& [id, link] : links_) link.heartbeat_due = true;
}

void Publisher::SetLimits(Micros now, const std::map<std::string, quota::TenantLimit>& limits) {
  share_allocator_.UpdateLimits(now, limits);
}

void Publisher::SetIsLeader(Micros now, bool is_leader) {
  if (is_leader_ == is_leader) return;
  is_leader_ = is_leader;
  if (!is_leader_) return;
  LOG(INFO) << "push: this core is the leader and grants quota shares";
  known_sidecars_ = registry_.sidecar_count();
  share_allocator_.SetSidecarCount(now, known_sidecars_);
  share_allocator_.OnBecameLeader(now);
}

CoreUpdate Publisher::BaseUpdate(Micros now) const {
  CoreUpdate update;
  update.committed_entry = entry_;
  update.cores = cores_;
  update.leader = leader_;
  update.has_leader = has_leader_;
  update.warming_up = !RegistryWarmedUp(now);
  return update;
}

// Groups links by what they need, so that each distinct update is built and serialized once.
void Publisher::Flush(Micros now) {
  flushed_at_ = now;
  const std::uint64_t revision = registry_.snapshot().revision;
  const bool warmed_up = RegistryWarmedUp(now);
  struct Needs {
    bool state = false;
    bool full = false;
    std::uint64_t from = 0;
    auto operator<=>(const Needs&) const = default;
  };
  std::map<Needs, std::vector<LinkId>> groups;
  for (auto& [id, link] : links_) {
    Needs needs{false, false, revision};
    if (link.subscribed) {
      ResendIfDue(now, link.snapshot_delivery);
      ResendIfDue(now, link.state_delivery);
      needs.state = link.state_delivery.pushed < entry_;
      if (link.snapshot_delivery.pushed == 0) {
        needs.full = warmed_up || !link.has_snapshot;
      } else {
        needs.from = link.snapshot_delivery.pushed;
      }
    }
    const bool has_data = needs.state || needs.full || needs.from < revision;
    const Micros interval =
        link.subscribed ? settings_.heartbeat_interval : settings_.other_heartbeat_interval;
    if (!has_data && !link.heartbeat_due && now - link.sent_at < interval) continue;
    link.heartbeat_due = false;
    link.sent_at = now;
    if (needs.state) MarkPushed(now, link.state_delivery, entry_);
    if (needs.full || needs.from < revision) MarkPushed(now, link.snapshot_delivery, revision);
    groups[needs].push_back(id);
  }
  const CoreUpdate base = groups.empty() ? CoreUpdate{} : BaseUpdate(now);
  for (const auto& [needs, links] : groups) {
    CoreUpdate update = base;
    if (needs.state) {
      update.has_state = true;
      update.state = state_;
    }
    std::optional<registry::Delta> delta;
    if (!needs.full && needs.from < revision) delta = registry_.DeltaSince(settings_.epoch, needs.from);
    if (delta) {
      update.deltas.push_back(std::move(*delta));
    } else if (needs.full || needs.from < revision) {
      update.has_snapshot = true;
      update.snapshot = registry_.snapshot();
    }
    sink_.SendAll(links, update);
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
