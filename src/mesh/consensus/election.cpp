// A change of leader: first a question that binds nobody (pre-vote), then promises for a new term.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

namespace {
constexpr int kNameBits = 24;  // of an term: two candidates that count alike shall not meet
}

std::uint64_t Replica::Impl::TermAbove(std::uint64_t term) const {
  const std::uint64_t name = merlinrun::StableHash(settings_.self) & ((std::uint64_t{1} << kNameBits) - 1);
  return (((term >> kNameBits) + 1) << kNameBits) | name;
}

std::set<ReplicaId> Replica::Impl::VotersOf(const Entry& entry) const {
  std::set<ReplicaId> all(entry.voters.begin(), entry.voters.end());
  all.insert(entry.previous_voters.begin(), entry.previous_voters.end());
  all.erase(settings_.self);
  return all;
}

bool Replica::Impl::HearsLeader() const {
  if (role_ == Role::kLeader) return HearsMajority();
  return heard_any_ && now_ - heard_leader_ < settings_.election_timeout;
}

void Replica::Impl::StartPreVote() {
  role_ = Role::kPreCandidate;
  ++pre_vote_round_;
  granted_.clear();
  granted_.insert({settings_.self, durable_.storage_id});
  began_ = now_;
  SendPreVote();
  if (HasQuorum(durable_.accepted, granted_, true)) StartCandidacy(false);
}

void Replica::Impl::SendPreVote() {
  asked_at_ = now_;
  Message ask = Begin(MessageType::kPreVote);
  ask.round = pre_vote_round_;
  for (const ReplicaId& member : VotersOf(durable_.accepted)) Send(member, ask);
}

void Replica::Impl::OnPreVote(const ReplicaId& from, const Message& m) {
  // One that was removed while it was away asks by its old view.
  if (role_ == Role::kLeader) AddLearner(from);
  Message vote = Begin(MessageType::kPreVoteAnswer);
  vote.round = m.round;
  vote.flag = !HearsLeader() && DiskOk();
  Send(from, vote);
}

void Replica::Impl::OnPreVoteAnswer(const ReplicaId& from, const Message& m) {
  if (role_ != Role::kPreCandidate || m.round != pre_vote_round_) return;
  if (!m.flag) {
    if (!m.leader.empty() && m.leader != settings_.self) {
      Learn({m.leader});
      if (VotersOf(durable_.accepted).count(m.leader) == 0) Send(m.leader, Begin(MessageType::kJoin));
    }
    return;
  }
  granted_.insert({from, m.storage_id});
  if (HasQuorum(durable_.accepted, granted_, true)) StartCandidacy(false);
}

void Replica::Impl::StartCandidacy(bool by_name) {
  role_ = Role::kCandidate;
  by_name_ = by_name;
  prepared_ = false;
  SetLeader("", leader_term_);
  term_ = TermAbove(std::max(highest_seen_, durable_.promised_term));
  durable_.promised_term = term_;
  promised_to_ = settings_.self;
  promised_incarnation_ = settings_.incarnation;
  answer_due_ = false;
  best_ = durable_.accepted;
  granted_.clear();
  began_ = now_;
  asked_at_ = now_;
  Flush();  // Prepare goes out when the own promise is on disk
}

void Replica::Impl::SendPrepare() {
  asked_at_ = now_;
  Message prepare = Begin(MessageType::kPrepare);
  prepare.term = term_;
  prepare.accepted = IdOf(best_);
  prepare.flag = by_name_;
  for (const ReplicaId& member : VotersOf(best_)) {
    const bool has =
        std::any_of(granted_.begin(), granted_.end(), [&](const auto& vote) { return vote.first == member; });
    if (!has) Send(member, prepare);
  }
}

void Replica::Impl::OnPrepare(const ReplicaId& from, const Message& m) {
  const bool again =
      m.term == durable_.promised_term && promised_to_ == from && promised_incarnation_ == m.incarnation;
  const bool may = m.term > durable_.promised_term && (m.flag || !HearsLeader());
  if (!again && !may) {
    Message refusal = Begin(MessageType::kPromise);
    refusal.term = m.term;
    Send(from, refusal);
    return;
  }
  if (may) {
    if (role_ == Role::kLeader) StepDown("another is a candidate");
    role_ = Role::kFollower;
    heard_any_ = false;
    SetLeader("", leader_term_);
    durable_.promised_term = m.term;
    promised_to_ = from;
    promised_incarnation_ = m.incarnation;
    ResetElectionTimer();
  }
  promised_has_ = m.accepted;
  answer_due_ = true;
  Flush();
  AnswerPrepare();
}

// Once the promise is on disk.
void Replica::Impl::AnswerPrepare() {
  if (!answer_due_ || disk_promised_ < durable_.promised_term || unwritten_) return;
  answer_due_ = false;
  Message promise = Begin(MessageType::kPromise);
  promise.term = durable_.promised_term;
  promise.flag = true;
  promise.accepted = IdOf(durable_.accepted);
  if (promise.accepted > promised_has_) promise.entry.push_back(durable_.accepted);
  Send(promised_to_, promise);
}

void Replica::Impl::OnPromise(const ReplicaId& from, const Message& m) {
  if (role_ != Role::kCandidate || m.term != term_ || !prepared_) return;
  if (!m.flag) {
    if (m.promised_term > term_) {  // overtaken: asks again, above it
      role_ = Role::kFollower;
      deadline_ = now_ + random_.Upto(settings_.election_timeout / 2);
    }
    return;
  }
  if (!m.entry.empty() && IdOf(m.entry[0]) == m.accepted && m.accepted > IdOf(best_)) best_ = m.entry[0];
  if (m.accepted > IdOf(best_)) return;  // it has something newer, that didn't come with it
  granted_.insert({from, m.storage_id});
  TryWin();
}

void Replica::Impl::TryWin() {
  if (!prepared_ || !HasQuorum(best_, granted_, true)) return;
  if (!IsVoter(best_, settings_.self, durable_.storage_id)) {  // was removed, and is told so only now
    role_ = Role::kFollower;
    removed_in_ = IdOf(best_);
    Learn(best_.voters);
    ResetElectionTimer();
    return;
  }
  StartLeading();
}

void Replica::Impl::TickElection() {
  if (!successor_.empty()) SendTakeOver();
  if (role_ == Role::kCandidate) {
    if (now_ - began_ > kCandidacy) {
      role_ = Role::kFollower;
      deadline_ = now_ + random_.Upto(settings_.election_timeout / 2);
    } else if (prepared_ && now_ - asked_at_ >= kResendAsk) {
      SendPrepare();
    }
    return;
  }
  if (role_ == Role::kPreCandidate) {
    if (!DiskOk() || now_ < no_candidacy_until_) {
      role_ = Role::kFollower;
      ResetElectionTimer();
    } else if (now_ - asked_at_ >= kResendAsk) {
      SendPreVote();
    }
    return;
  }
  if (now_ < deadline_) return;
  SetLeader("", leader_term_);
  if (removed_in_ > IdOf(durable_.accepted)) return;  // waits to be let in
  if (IsVoter(durable_.accepted, settings_.self, durable_.storage_id) && DiskOk() &&
      now_ >= no_candidacy_until_)
    StartPreVote();
}

}  // namespace fennelhollow::consensus
