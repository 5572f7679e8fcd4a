// The holder's work: entries put in order, beats, reads, the end of its duty.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

void Order::Impl::StartHolding() {
  LOG(INFO) << "consensus: holds epoch " << epoch_ << " from entry " << best_.number << " on";
  role_ = Role::kHolder;
  leaving_ = false;
  successor_.clear();
  peers_.clear();
  std::set<MemberId> others = VotersOf(best_);
  others.insert(learners_.begin(), learners_.end());
  others.erase(settings_.self);
  for (const MemberId& member : others) peers_[member].heard = now_;
  round_ = 0;
  round_out_ = false;
  has_call_ = false;
  Entry entry = std::move(best_);
  best_ = Entry();
  entry.epoch = epoch_;
  Put(std::move(entry));
}

void Order::Impl::StepDown(const char* why) {
  LOG(INFO) << "consensus: holds epoch " << epoch_ << " no longer: " << why;
  for (const MemberId& member : Learners()) learners_.insert(member);
  role_ = Role::kFollower;
  under_way_ = false;
  leaving_ = false;
  round_out_ = false;
  heard_any_ = false;
  peers_.clear();
  votes_.clear();
  Rest();
  SetHolder("", epoch_);
  if (has_call_) sink_.Done(call_.call, Outcome::kUnclear);
  has_call_ = false;
  for (const auto* calls : {&confirms_, &confirms_next_}) {
    for (const Call& call : *calls) sink_.Done(call.call, Outcome::kUnclear);
  }
  confirms_.clear();
  confirms_next_.clear();
}

void Order::Impl::Put(Entry entry) {
  mind_.accepted = std::move(entry);
  under_way_ = true;
  put_at_ = now_;
  votes_.clear();
  beat_at_ = now_;
  for (auto& [member, peer] : peers_) {
    // One that is silent gets it when it answers a beat.
    if (now_ - peer.heard < settings_.patience) {
      SendEntry(member, peer);
    } else {
      SendBeat(member);
    }
  }
  Flush();
}

void Order::Impl::CountOwnVote() {
  if (!under_way_ || disk_accepted_ != StampOf(mind_.accepted)) return;
  votes_.insert({settings_.self, mind_.store});
  TrySettleOwn();
}

void Order::Impl::OnAck(const MemberId& from, const Message& m) {
  if (role_ != Role::kHolder) return;
  if (m.promised > epoch_) {  // it can't take anything from this epoch
    StepDown("a member has promised a newer one");
    if (DiskOk()) StartCandidacy(true);
    return;
  }
  const auto it = peers_.find(from);
  if (m.epoch != epoch_ || it == peers_.end()) return;
  Peer& peer = it->second;
  if (peer.store != m.store) {
    peer.store = m.store;
    peer.acked = {};
    peer.round = 0;
  }
  peer.heard = now_;
  peer.answered = true;
  peer.acked = std::max(peer.acked, m.accepted);
  peer.held = m.held;
  peer.round = std::max(peer.round, m.round);
  const Stamp wanted = StampOf(mind_.accepted);
  if (m.held != wanted && (peer.sent != wanted || now_ - peer.sent_at >= kResendEntry)) SendEntry(from, peer);
  TryConfirm();
  if (under_way_ && m.accepted == wanted) {
    votes_.insert({from, m.store});
    TrySettleOwn();
  }
}

void Order::Impl::TrySettleOwn() {
  if (!under_way_ || !HasQuorum(mind_.accepted, votes_, true)) return;
  under_way_ = false;
  Settle();
  SetHolder(settings_.self, epoch_);
  if (has_call_) sink_.Done(call_.call, Outcome::kDone);
  has_call_ = false;
  SendBeats();
  if (!leaving_ || !TryHandOver()) ChangeMembers();
}

std::vector<MemberId> Order::Impl::Learners() const {
  std::vector<MemberId> learners;
  for (const auto& [member, peer] : peers_) {
    if (!IsMember(member)) learners.push_back(member);
  }
  return learners;
}

Message Order::Impl::HolderMessage(Kind kind) const {
  Message m = Begin(kind);
  m.epoch = epoch_;
  m.round = round_;
  m.holder = settings_.self;
  m.others = Learners();
  return m;
}

void Order::Impl::SendBeat(const MemberId& to) { Send(to, HolderMessage(Kind::kBeat)); }

void Order::Impl::SendBeats() {
  beat_at_ = now_;
  const std::string beat = transport::Pack(HolderMessage(Kind::kBeat));
  for (const auto& [member, peer] : peers_) sink_.Send(member, beat);
}

void Order::Impl::SendEntry(const MemberId& to, Peer& peer) {
  peer.sent = StampOf(mind_.accepted);
  peer.sent_at = now_;
  Message m = HolderMessage(Kind::kAccept);
  m.entry.push_back(mind_.accepted);
  Send(to, m);
}

void Order::Impl::Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state) {
  now_ = std::max(now_, now);
  if (!holds() || under_way_ || leaving_ || on_top_of != newest_.number || state.size() > kMostState) {
    sink_.Done(call, Outcome::kNotHolder);
    return;
  }
  has_call_ = true;
  call_ = {call, now_};
  Entry entry = newest_;
  entry.epoch = epoch_;
  ++entry.number;
  entry.before.clear();
  entry.before_stores.clear();
  entry.state = std::move(state);
  Put(std::move(entry));
}

void Order::Impl::Confirm(Micros now, std::uint64_t call) {
  now_ = std::max(now_, now);
  if (!holds() || confirms_next_.size() >= kMostConfirms) {
    sink_.Done(call, Outcome::kNotHolder);
    return;
  }
  confirms_next_.push_back({call, now_});
  if (!round_out_) StartRound();
}

void Order::Impl::StartRound() {
  confirms_ = std::move(confirms_next_);
  confirms_next_.clear();
  ++round_;
  round_out_ = true;
  SendBeats();
  TryConfirm();
}

// A majority had promised nothing newer after the round began, so no other holder had settled anything before
// it.
void Order::Impl::TryConfirm() {
  while (round_out_) {
    Votes votes{{settings_.self, mind_.store}};
    for (const auto& [member, peer] : peers_) {
      if (peer.answered && peer.round >= round_) votes.insert({member, peer.store});
    }
    if (!HasQuorum(mind_.accepted, votes, under_way_)) return;
    round_out_ = false;
    for (const Call& call : confirms_) sink_.Done(call.call, Outcome::kDone);
    confirms_.clear();
    if (confirms_next_.empty()) return;
    confirms_ = std::move(confirms_next_);
    confirms_next_.clear();
    ++round_;
    round_out_ = true;
    SendBeats();
  }
}

bool Order::Impl::HearsMajority() const {
  Votes votes{{settings_.self, mind_.store}};
  for (const auto& [member, peer] : peers_) {
    if (now_ - peer.heard >= 2 * settings_.patience) continue;
    if (peer.answered) {
      votes.insert({member, peer.store});
      continue;
    }
    // Has not had the time to answer.
    for (std::size_t i = 0; i < mind_.accepted.members.size(); ++i) {
      if (mind_.accepted.members[i] == member) votes.insert({member, mind_.accepted.stores[i]});
    }
    for (std::size_t i = 0; i < mind_.accepted.before.size(); ++i) {
      if (mind_.accepted.before[i] == member) votes.insert({member, mind_.accepted.before_stores[i]});
    }
  }
  return HasQuorum(mind_.accepted, votes, under_way_);
}

void Order::Impl::HandOver(Micros now) {
  now_ = std::max(now_, now);
  no_candidacy_until_ = now_ + kLeft;
  if (role_ != Role::kHolder) {
    if (role_ != Role::kFollower) role_ = Role::kFollower;
    return;
  }
  leaving_ = true;
  leaving_since_ = now_;
  TryHandOver();
}

// To a voter that has all; while something is under way it waits a little.
bool Order::Impl::TryHandOver() {
  if (under_way_ && now_ - put_at_ < kLeaveBusy) return false;
  MemberId best;
  Micros heard = now_ - settings_.patience;
  for (const auto& [member, peer] : peers_) {
    if (!peer.answered || peer.acked != StampOf(mind_.accepted) || peer.heard <= heard) continue;
    if (!IsVoter(mind_.accepted, member, peer.store)) continue;
    best = member;
    heard = peer.heard;
  }
  if (best.empty()) return false;
  no_candidacy_until_ = std::max(no_candidacy_until_, now_ + settings_.patience * 2);
  StepDown("hands over");
  successor_ = best;
  successor_until_ = now_ + kTakeOverFor;
  SendTakeOver();
  return true;
}

void Order::Impl::SendTakeOver() {
  if (now_ > successor_until_ || !holder_.empty() || mind_.promised > epoch_) {
    successor_.clear();
    return;
  }
  Message m = Begin(Kind::kTakeOver);
  m.epoch = epoch_;
  m.accepted = StampOf(mind_.accepted);
  Send(successor_, m);
}

void Order::Impl::OnTakeOver(const MemberId& from, const Message& m) {
  if (m.epoch < mind_.promised || m.accepted > StampOf(mind_.accepted)) return;
  if (role_ == Role::kCandidate || role_ == Role::kHolder || !DiskOk()) return;
  if (!IsVoter(mind_.accepted, settings_.self, mind_.store)) return;
  LOG(INFO) << "consensus: takes over from " << from;
  no_candidacy_until_ = 0;
  StartCandidacy(true);
}

void Order::Impl::TickHolding() {
  if (!HearsMajority()) {
    StepDown("hears no majority");
    return;
  }
  if (has_call_ && now_ - call_.began >= kProposal) {
    has_call_ = false;
    sink_.Done(call_.call, Outcome::kUnclear);
  }
  for (auto* calls : {&confirms_, &confirms_next_}) {
    std::erase_if(*calls, [&](const Call& call) {
      if (now_ - call.began < kConfirm) return false;
      sink_.Done(call.call, Outcome::kUnclear);
      return true;
    });
  }
  if (now_ - beat_at_ >= settings_.beat || (round_out_ && now_ - beat_at_ >= kResendRound)) SendBeats();
  const bool bad_disk = write_failed_ || (writing_ && now_ - writing_since_ > kDiskBad);
  if ((leaving_ || bad_disk) && TryHandOver()) return;
  if (leaving_ && now_ - leaving_since_ > kLeave) StepDown("ends, without a successor");
}

}  // namespace fennelhollow::consensus
