// A change of holder: first a question that binds nobody (pre-vote), then promises for a new epoch.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

namespace {
constexpr int kNameBits = 24;  // of an epoch: two candidates that count alike shall not meet
}

std::uint64_t Order::Impl::EpochAbove(std::uint64_t epoch) const {
  const std::uint64_t name = merlinrun::HashOf(settings_.self) & ((std::uint64_t{1} << kNameBits) - 1);
  return (((epoch >> kNameBits) + 1) << kNameBits) | name;
}

std::set<MemberId> Order::Impl::VotersOf(const Entry& entry) const {
  std::set<MemberId> all(entry.members.begin(), entry.members.end());
  all.insert(entry.before.begin(), entry.before.end());
  all.erase(settings_.self);
  return all;
}

bool Order::Impl::HearsHolder() const {
  if (role_ == Role::kHolder) return HearsMajority();
  return heard_any_ && now_ - heard_holder_ < settings_.patience;
}

void Order::Impl::StartAsking() {
  role_ = Role::kAsking;
  ++ask_round_;
  asked_.clear();
  asked_.insert({settings_.self, mind_.store});
  began_ = now_;
  SendAsk();
  if (HasQuorum(mind_.accepted, asked_, true)) StartCandidacy(false);
}

void Order::Impl::SendAsk() {
  asked_at_ = now_;
  Message ask = Begin(Kind::kAskVote);
  ask.round = ask_round_;
  for (const MemberId& member : VotersOf(mind_.accepted)) Send(member, ask);
}

void Order::Impl::OnAskVote(const MemberId& from, const Message& m) {
  // One that was removed while it was away asks by its old view.
  if (role_ == Role::kHolder) AddLearner(from);
  Message vote = Begin(Kind::kVote);
  vote.round = m.round;
  vote.yes = !HearsHolder() && DiskOk();
  Send(from, vote);
}

void Order::Impl::OnVote(const MemberId& from, const Message& m) {
  if (role_ != Role::kAsking || m.round != ask_round_) return;
  if (!m.yes) {
    if (!m.holder.empty() && m.holder != settings_.self) {
      Learn({m.holder});
      if (VotersOf(mind_.accepted).count(m.holder) == 0) Send(m.holder, Begin(Kind::kJoin));
    }
    return;
  }
  asked_.insert({from, m.store});
  if (HasQuorum(mind_.accepted, asked_, true)) StartCandidacy(false);
}

void Order::Impl::StartCandidacy(bool by_name) {
  role_ = Role::kCandidate;
  by_name_ = by_name;
  prepared_ = false;
  SetHolder("", holder_epoch_);
  epoch_ = EpochAbove(std::max(highest_seen_, mind_.promised));
  mind_.promised = epoch_;
  promised_to_ = settings_.self;
  promised_life_ = settings_.life;
  answer_due_ = false;
  best_ = mind_.accepted;
  asked_.clear();
  began_ = now_;
  asked_at_ = now_;
  Flush();  // Prepare goes out when the own promise is on disk
}

void Order::Impl::SendPrepare() {
  asked_at_ = now_;
  Message prepare = Begin(Kind::kPrepare);
  prepare.epoch = epoch_;
  prepare.accepted = StampOf(best_);
  prepare.yes = by_name_;
  for (const MemberId& member : VotersOf(best_)) {
    const bool has =
        std::any_of(asked_.begin(), asked_.end(), [&](const auto& vote) { return vote.first == member; });
    if (!has) Send(member, prepare);
  }
}

void Order::Impl::OnPrepare(const MemberId& from, const Message& m) {
  const bool again = m.epoch == mind_.promised && promised_to_ == from && promised_life_ == m.life;
  const bool may = m.epoch > mind_.promised && (m.yes || !HearsHolder());
  if (!again && !may) {
    Message refusal = Begin(Kind::kPromise);
    refusal.epoch = m.epoch;
    Send(from, refusal);
    return;
  }
  if (may) {
    if (role_ == Role::kHolder) StepDown("another is a candidate");
    role_ = Role::kFollower;
    heard_any_ = false;
    SetHolder("", holder_epoch_);
    mind_.promised = m.epoch;
    promised_to_ = from;
    promised_life_ = m.life;
    Rest();
  }
  promised_has_ = m.accepted;
  answer_due_ = true;
  Flush();
  AnswerPrepare();
}

// Once the promise is on disk.
void Order::Impl::AnswerPrepare() {
  if (!answer_due_ || disk_promised_ < mind_.promised || unwritten_) return;
  answer_due_ = false;
  Message promise = Begin(Kind::kPromise);
  promise.epoch = mind_.promised;
  promise.yes = true;
  promise.accepted = StampOf(mind_.accepted);
  if (promise.accepted > promised_has_) promise.entry.push_back(mind_.accepted);
  Send(promised_to_, promise);
}

void Order::Impl::OnPromise(const MemberId& from, const Message& m) {
  if (role_ != Role::kCandidate || m.epoch != epoch_ || !prepared_) return;
  if (!m.yes) {
    if (m.promised > epoch_) {  // overtaken: asks again, above it
      role_ = Role::kFollower;
      deadline_ = now_ + random_.Upto(settings_.patience / 2);
    }
    return;
  }
  if (!m.entry.empty() && StampOf(m.entry[0]) == m.accepted && m.accepted > StampOf(best_))
    best_ = m.entry[0];
  if (m.accepted > StampOf(best_)) return;  // it has something newer, that didn't come with it
  asked_.insert({from, m.store});
  TryWin();
}

void Order::Impl::TryWin() {
  if (!prepared_ || !HasQuorum(best_, asked_, true)) return;
  if (!IsVoter(best_, settings_.self, mind_.store)) {  // was removed, and is told so only now
    role_ = Role::kFollower;
    removed_in_ = StampOf(best_);
    Learn(best_.members);
    Rest();
    return;
  }
  StartHolding();
}

void Order::Impl::TickElection() {
  if (!successor_.empty()) SendTakeOver();
  if (role_ == Role::kCandidate) {
    if (now_ - began_ > kCandidacy) {
      role_ = Role::kFollower;
      deadline_ = now_ + random_.Upto(settings_.patience / 2);
    } else if (prepared_ && now_ - asked_at_ >= kResendAsk) {
      SendPrepare();
    }
    return;
  }
  if (role_ == Role::kAsking) {
    if (!DiskOk() || now_ < no_candidacy_until_) {
      role_ = Role::kFollower;
      Rest();
    } else if (now_ - asked_at_ >= kResendAsk) {
      SendAsk();
    }
    return;
  }
  if (now_ < deadline_) return;
  SetHolder("", holder_epoch_);
  if (removed_in_ > StampOf(mind_.accepted)) return;  // waits to be let in
  if (IsVoter(mind_.accepted, settings_.self, mind_.store) && DiskOk() && now_ >= no_candidacy_until_)
    StartAsking();
}

}  // namespace fennelhollow::consensus
