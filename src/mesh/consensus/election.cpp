// Leader election: a non-binding pre-vote, then a prepare/promise round for a new term.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

namespace {
// The low bits of a term are a hash of its candidate, so that concurrent candidates use different terms.
constexpr int kReplicaHashBits = 24;
}  // namespace

std::uint64_t Replica::Impl::NextTerm(std::uint64_t term) const {
  const std::uint64_t replica_hash =
      merlinrun::StableHash(settings_.self) & ((std::uint64_t{1} << kReplicaHashBits) - 1);
  return (((term >> kReplicaHashBits) + 1) << kReplicaHashBits) | replica_hash;
}

std::set<ReplicaId> Replica::Impl::VotersOf(const Entry& entry) const {
  std::set<ReplicaId> all(entry.voters.begin(), entry.voters.end());
  all.insert(entry.previous_voters.begin(), entry.previous_voters.end());
  all.erase(settings_.self);
  return all;
}

bool Replica::Impl::HasLeaderContact() const {
  if (role_ == Role::kLeader) return HasQuorumContact();
  return leader_heard_ && now_ - leader_heard_at_ < settings_.election_timeout;
}

void Replica::Impl::StartPreVote() {
  role_ = Role::kPreCandidate;
  ++pre_vote_round_;
  granted_votes_.clear();
  granted_votes_.insert({settings_.self, durable_.storage_id});
  election_started_at_ = now_;
  SendPreVote();
  if (HasQuorum(durable_.accepted, granted_votes_, true)) StartElection(false);
}

void Replica::Impl::SendPreVote() {
  votes_requested_at_ = now_;
  Message request = NewMessage(MessageType::kPreVote);
  request.round = pre_vote_round_;
  for (const ReplicaId& member : VotersOf(durable_.accepted)) Send(member, request);
}

void Replica::Impl::OnPreVote(const ReplicaId& from, const Message& m) {
  // A voter that was removed while it was unreachable does not know that yet.
  if (role_ == Role::kLeader) AddLearner(from);
  Message response = NewMessage(MessageType::kPreVoteResponse);
  response.round = m.round;
  response.flag = !HasLeaderContact() && DiskHealthy();
  Send(from, response);
}

void Replica::Impl::OnPreVoteResponse(const ReplicaId& from, const Message& m) {
  if (role_ != Role::kPreCandidate || m.round != pre_vote_round_) return;
  if (!m.flag) {
    if (!m.leader.empty() && m.leader != settings_.self) {
      AddDiscovered({m.leader});
      if (VotersOf(durable_.accepted).count(m.leader) == 0) Send(m.leader, NewMessage(MessageType::kJoin));
    }
    return;
  }
  granted_votes_.insert({from, m.storage_id});
  if (HasQuorum(durable_.accepted, granted_votes_, true)) StartElection(false);
}

void Replica::Impl::StartElection(bool leader_consents) {
  role_ = Role::kCandidate;
  leader_consents_ = leader_consents;
  own_promise_persisted_ = false;
  SetLeader("", leader_term_);
  term_ = NextTerm(std::max(highest_term_seen_, durable_.promised_term));
  durable_.promised_term = term_;
  promised_to_ = settings_.self;
  promised_incarnation_ = settings_.incarnation;
  promise_pending_ = false;
  newest_promised_ = durable_.accepted;
  granted_votes_.clear();
  election_started_at_ = now_;
  votes_requested_at_ = now_;
  PersistIfNeeded();  // OnWritten sends kPrepare
}

void Replica::Impl::SendPrepare() {
  votes_requested_at_ = now_;
  Message prepare = NewMessage(MessageType::kPrepare);
  prepare.term = term_;
  prepare.accepted = IdOf(newest_promised_);
  prepare.flag = leader_consents_;
  for (const ReplicaId& member : VotersOf(newest_promised_)) {
    const bool granted = std::any_of(granted_votes_.begin(), granted_votes_.end(),
                                     [&](const auto& vote) { return vote.first == member; });
    if (!granted) Send(member, prepare);
  }
}

void Replica::Impl::OnPrepare(const ReplicaId& from, const Message& m) {
  const bool repeated =
      m.term == durable_.promised_term && promised_to_ == from && promised_incarnation_ == m.incarnation;
  const bool grant = m.term > durable_.promised_term && (m.flag || !HasLeaderContact());
  if (!repeated && !grant) {
    Message refusal = NewMessage(MessageType::kPromise);
    refusal.term = m.term;
    Send(from, refusal);
    return;
  }
  if (grant) {
    if (role_ == Role::kLeader) StepDown("another is a candidate");
    role_ = Role::kFollower;
    leader_heard_ = false;
    SetLeader("", leader_term_);
    durable_.promised_term = m.term;
    promised_to_ = from;
    promised_incarnation_ = m.incarnation;
    ResetElectionTimer();
  }
  candidate_accepted_ = m.accepted;
  promise_pending_ = true;
  PersistIfNeeded();
  SendPromiseIfPersisted();
}

// A promise that a crash could undo would let two leaders use this vote.
void Replica::Impl::SendPromiseIfPersisted() {
  if (!promise_pending_ || persisted_promised_term_ < durable_.promised_term || initial_write_pending_)
    return;
  promise_pending_ = false;
  Message promise = NewMessage(MessageType::kPromise);
  promise.term = durable_.promised_term;
  promise.flag = true;
  promise.accepted = IdOf(durable_.accepted);
  if (promise.accepted > candidate_accepted_) promise.entry.push_back(durable_.accepted);
  Send(promised_to_, promise);
}

void Replica::Impl::OnPromise(const ReplicaId& from, const Message& m) {
  if (role_ != Role::kCandidate || m.term != term_ || !own_promise_persisted_) return;
  if (!m.flag) {
    if (m.promised_term > term_) {  // a newer term exists: retry above it
      role_ = Role::kFollower;
      ShortenElectionTimer();
    }
    return;
  }
  if (!m.entry.empty() && IdOf(m.entry[0]) == m.accepted && m.accepted > IdOf(newest_promised_))
    newest_promised_ = m.entry[0];
  // The peer has accepted a newer entry that did not come with this promise, so the promise cannot count.
  if (m.accepted > IdOf(newest_promised_)) return;
  granted_votes_.insert({from, m.storage_id});
  LeadIfElected();
}

void Replica::Impl::LeadIfElected() {
  if (!own_promise_persisted_ || !HasQuorum(newest_promised_, granted_votes_, true)) return;
  // This replica has been removed from the voters in the meantime.
  if (!IsVoter(newest_promised_, settings_.self, durable_.storage_id)) {
    role_ = Role::kFollower;
    removed_by_ = IdOf(newest_promised_);
    AddDiscovered(newest_promised_.voters);
    ResetElectionTimer();
    return;
  }
  StartLeading();
}

void Replica::Impl::TickElection() {
  if (!successor_.empty()) SendTimeoutNow();
  if (role_ == Role::kCandidate) {
    if (now_ - election_started_at_ > kCandidacyTimeout + WriteAllowance()) {
      role_ = Role::kFollower;
      ShortenElectionTimer();
    } else if (own_promise_persisted_ && now_ - votes_requested_at_ >= kVoteResendInterval) {
      SendPrepare();
    }
    return;
  }
  if (role_ == Role::kPreCandidate) {
    if (!DiskHealthy() || now_ < no_candidacy_until_) {
      role_ = Role::kFollower;
      ResetElectionTimer();
    } else if (now_ - votes_requested_at_ >= kVoteResendInterval) {
      SendPreVote();
    }
    return;
  }
  if (now_ < election_deadline_) return;
  SetLeader("", leader_term_);
  if (removed_by_ > IdOf(durable_.accepted)) return;  // until it is added again
  if (IsVoter(durable_.accepted, settings_.self, durable_.storage_id) && DiskHealthy() &&
      now_ >= no_candidacy_until_)
    StartPreVote();
}

}  // namespace fennelhollow::consensus
