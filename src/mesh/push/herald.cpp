#include "mesh/push/herald.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace fennelhollow::push {
namespace {

constexpr Micros kMostWait = 4'000'000;
constexpr Micros kCheckEvery = 100'000;

}  // namespace

Herald::Herald(Micros now, Settings settings, Sink& sink)
    : settings_(std::move(settings)),
      sink_(sink),
      started_(now),
      registry_(settings_.epoch, settings_.silent_after, settings_.forget_after),
      cutter_(settings_.quota, settings_.lease),
      flushed_(now - settings_.push_every),
      checked_(now) {}

// What was acknowledged counts as all that it has, when the rest takes too long.
void Herald::Resend(Micros now, Owed& owed) const {
  if (owed.pushed <= owed.acknowledged || now - owed.progress < owed.wait) return;
  owed.pushed = owed.acknowledged;
  owed.wait = std::min(kMostWait, owed.wait * 2);
}

void Herald::Pushed(Micros now, Owed& owed, std::uint64_t to) const {
  if (owed.pushed <= owed.acknowledged) owed.progress = now;
  owed.pushed = to;
}

void Herald::Acknowledge(Micros now, Owed& owed, std::uint64_t number, Micros wait) {
  if (number > owed.acknowledged) {
    owed.progress = now;
    owed.wait = wait;
  } else if (number < owed.acknowledged) {  // it lacks something: all over again
    owed.pushed = number;
  }
  owed.acknowledged = number;
  owed.pushed = std::max(owed.pushed, number);
}

void Herald::OnTell(Micros now, LinkId id, const Tell& tell) {
  const auto key = std::pair(tell.me.name, tell.me.incarnation);
  auto at = links_.find(id);
  if (at == links_.end()) {
    if (links_.size() >= kMostLinks || heard_.size() >= 2 * kMostLinks) {
      sink_.Close(id);
      return;
    }
    if (const auto former = heard_.find(key);
        former != heard_.end() && links_.erase(former->second.link) != 0) {
      sink_.Close(former->second.link);
    }
    heard_[key].link = id;
    at = links_.emplace(id, Link{}).first;
    at->second.name = tell.me.name;
    at->second.life = tell.me.incarnation;
    at->second.list.wait = at->second.ledger.wait = settings_.resend_after;
  } else if (at->second.name != tell.me.name || at->second.life != tell.me.incarnation) {
    links_.erase(at);  // a link is one sidecar's
    sink_.Close(id);
    return;
  }
  Link& link = at->second;
  auto& heard = heard_[key];
  heard.at = now;
  heard.entry = std::max(heard.entry, tell.entry);

  if (tell.leaving) {
    registry_.OnLeaving(now, tell.me.name, tell.me.incarnation);
  } else if (tell.lives_too) {
    registry_.OnReport(now, tell.me, tell.lives);
  } else {
    registry_.OnKeepalive(now, tell.me.name, tell.me.incarnation);
  }

  if (tell.subscribe && !link.subscribed) {
    link.list = Owed{0, 0, now, settings_.resend_after};
    link.ledger = Owed{0, 0, now, settings_.resend_after};
    link.beat_due = true;
  }
  link.subscribed = tell.subscribe;
  link.has_list = tell.epoch != 0;
  // A number that was never given is of no listing of this core.
  const bool ours = tell.epoch == settings_.epoch && tell.revision <= registry_.snapshot().revision;
  Acknowledge(now, link.list, ours ? tell.revision : 0, settings_.resend_after);
  Acknowledge(now, link.ledger, tell.entry, settings_.resend_after);

  if (tell.asked != 0 && duty_) AnswerDemand(now, id, tell);
  if (now - flushed_ >= settings_.push_every) Flush(now);
}

void Herald::AnswerDemand(Micros now, LinkId id, const Tell& tell) {
  if (registry_.sidecar_count() != counted_) {
    counted_ = registry_.sidecar_count();
    cutter_.SetSidecarCount(now, counted_);
  }
  cutter_.OnHeldShares(now, tell.me.name, tell.held);
  News news = Plain(now);
  news.asked = tell.asked;
  news.shares = cutter_.OnDemand(now, tell.me.name, tell.demand);
  news.lease_ms = settings_.lease / 1000;
  links_.at(id).sent = now;
  sink_.Send(id, news);
}

void Herald::OnLinkDown(Micros, LinkId id) { links_.erase(id); }

void Herald::OnTick(Micros now) {
  if (now - checked_ >= kCheckEvery) {
    checked_ = now;
    registry_.OnTick(now);
    for (auto at = heard_.begin(); at != heard_.end();) {
      if (now - at->second.at < settings_.forget_after || links_.count(at->second.link) != 0) {
        ++at;
        continue;
      }
      const std::string name = at->first.first;
      at = heard_.erase(at);
      const auto same = heard_.lower_bound(std::pair(name, std::uint64_t{0}));
      if (same == heard_.end() || same->first.first != name) cutter_.OnSidecarGone(now, name);
    }
  }
  if (now - flushed_ >= settings_.push_every) Flush(now);
}

void Herald::SetLedger(Micros now, std::uint64_t entry, std::string ledger) {
  if (entry <= entry_) return;
  entry_ = entry;
  ledger_ = std::move(ledger);
  for (auto& [id, link] : links_)
    link.beat_due = true;  // also those who subscribe elsewhere: they see what they lack
  if (now - flushed_ >= settings_.push_every) Flush(now);
}

void Herald::SetCores(std::vector<std::string> cores, std::string holder, bool settled) {
  if (cores == cores_ && holder == holder_ && settled == settled_) return;
  cores_ = std::move(cores);
  holder_ = std::move(holder);
  settled_ = settled;
  for (auto& [id, link] : links_) link.beat_due = true;
}

void Herald::SetLimits(Micros now, const std::map<std::string, quota::TenantLimit>& limits) {
  cutter_.UpdateLimits(now, limits);
}

void Herald::SetDuty(Micros now, bool i_am_holder) {
  if (duty_ == i_am_holder) return;
  duty_ = i_am_holder;
  if (!duty_) return;
  LOG(INFO) << "push: gives shares from now on";
  counted_ = registry_.sidecar_count();
  cutter_.SetSidecarCount(now, counted_);
  cutter_.OnBecameLeader(now);
}

News Herald::Plain(Micros now) const {
  News news;
  news.entry = entry_;
  news.cores = cores_;
  news.holder = holder_;
  news.settled = settled_;
  news.partial = !ListSettled(now);
  return news;
}

// Everyone who needs the same gets the same: one difference for all who have the same number.
void Herald::Flush(Micros now) {
  flushed_ = now;
  const std::uint64_t number = registry_.snapshot().revision;
  const bool list_settled = ListSettled(now);
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
      Resend(now, link.list);
      Resend(now, link.ledger);
      needs.ledger = link.ledger.pushed < entry_;
      if (link.list.pushed == 0) {
        needs.whole = list_settled || !link.has_list;
      } else {
        needs.from = link.list.pushed;
      }
    }
    const bool pushes = needs.ledger || needs.whole || needs.from < number;
    const Micros every = link.subscribed ? settings_.beat_every : settings_.beat_others_every;
    if (!pushes && !link.beat_due && now - link.sent < every) continue;
    link.beat_due = false;
    link.sent = now;
    if (needs.ledger) Pushed(now, link.ledger, entry_);
    if (needs.whole || needs.from < number) Pushed(now, link.list, number);
    groups[needs].push_back(id);
  }
  const News plain = groups.empty() ? News{} : Plain(now);
  for (const auto& [needs, links] : groups) {
    News news = plain;
    if (needs.ledger) {
      news.ledger_too = true;
      news.ledger = ledger_;
    }
    std::optional<registry::Delta> change;
    if (!needs.whole && needs.from < number) change = registry_.DeltaSince(settings_.epoch, needs.from);
    if (change) {
      news.changes.push_back(std::move(*change));
    } else if (needs.whole || needs.from < number) {
      news.whole = true;
      news.snapshot = registry_.snapshot();
    }
    sink_.SendAll(links, news);
  }
}

std::size_t Herald::Heard(Micros now) const { return Acknowledged(now, 0); }

std::size_t Herald::Acknowledged(Micros now, std::uint64_t entry) const {
  return static_cast<std::size_t>(std::count_if(heard_.begin(), heard_.end(), [&](const auto& h) {
    return now - h.second.at < settings_.silent_after && h.second.entry >= entry;
  }));
}

std::size_t Herald::Subscribers() const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [](const auto& l) { return l.second.subscribed; }));
}

}  // namespace fennelhollow::push
