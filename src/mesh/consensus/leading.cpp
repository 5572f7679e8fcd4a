// The leader: entry replication, heartbeats, leadership confirmation for reads, leadership transfer.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

void Replica::Impl::StartLeading() {
  LOG(INFO) << "consensus: leads term " << term_ << " from entry " << newest_promised_.index << " on";
  role_ = Role::kLeader;
  transferring_ = false;
  successor_.clear();
  peers_.clear();
  even_voters_since_ = 0;
  std::set<ReplicaId> others = VotersOf(newest_promised_);
  others.insert(learners_.begin(), learners_.end());
  others.erase(settings_.self);
  for (const ReplicaId& member : others) peers_[member].last_heard = now_;
  heartbeat_round_ = 0;
  round_pending_ = false;
  has_proposal_ = false;
  Entry entry = std::move(newest_promised_);
  newest_promised_ = Entry();
  entry.term = term_;
  Replicate(std::move(entry));
}

void Replica::Impl::StepDown(const char* reason) {
  LOG(INFO) << "consensus: leads term " << term_ << " no longer: " << reason;
  for (const ReplicaId& member : Learners()) learners_.insert(member);
  role_ = Role::kFollower;
  replicating_ = false;
  transferring_ = false;
  round_pending_ = false;
  leader_heard_ = false;
  peers_.clear();
  accept_votes_.clear();
  ResetElectionTimer();
  SetLeader("", term_);
  if (has_proposal_) sink_.OnRequestDone(proposal_.id, Outcome::kIndeterminate);
  has_proposal_ = false;
  for (const auto* requests : {&round_confirms_, &queued_confirms_}) {
    for (const PendingRequest& request : *requests) sink_.OnRequestDone(request.id, Outcome::kIndeterminate);
  }
  round_confirms_.clear();
  queued_confirms_.clear();
}

void Replica::Impl::Replicate(Entry entry) {
  durable_.accepted = std::move(entry);
  replicating_ = true;
  replication_started_at_ = now_;
  accept_votes_.clear();
  last_heartbeat_at_ = now_;
  for (auto& [member, peer] : peers_) {
    // A silent peer is sent the entry once it acknowledges a heartbeat.
    if (now_ - peer.last_heard < settings_.election_timeout) {
      SendEntry(member, peer);
    } else {
      SendHeartbeat(member);
    }
  }
  PersistIfNeeded();
}

void Replica::Impl::CountOwnVote() {
  if (!replicating_ || persisted_accepted_ != IdOf(durable_.accepted)) return;
  accept_votes_.insert({settings_.self, durable_.storage_id});
  CommitIfQuorum();
}

void Replica::Impl::OnAck(const ReplicaId& from, const Message& m) {
  if (role_ != Role::kLeader) return;
  if (m.promised_term > term_) {  // the peer will reject everything from this term
    StepDown("a peer has promised a newer term");
    if (DiskHealthy()) StartElection(true);
    return;
  }
  const auto it = peers_.find(from);
  if (m.term != term_ || it == peers_.end()) return;
  Peer& peer = it->second;
  if (peer.storage_id != m.storage_id) {
    peer.storage_id = m.storage_id;
    peer.acked = {};
    peer.round = 0;
  }
  if (peer.incarnation != m.incarnation) {
    peer.incarnation = m.incarnation;
    peer.shutting_down = false;
  }
  peer.last_heard = now_;
  peer.acknowledged = true;
  peer.acked = std::max(peer.acked, m.accepted);
  peer.accepted_in_memory = m.accepted_in_memory;
  peer.round = std::max(peer.round, m.round);
  const EntryId wanted = IdOf(durable_.accepted);
  if (m.accepted_in_memory != wanted && (peer.sent != wanted || now_ - peer.sent_at >= kEntryResendInterval))
    SendEntry(from, peer);
  CompleteRoundIfQuorum();
  if (replicating_ && m.accepted == wanted) {
    accept_votes_.insert({from, m.storage_id});
    CommitIfQuorum();
  }
}

void Replica::Impl::CommitIfQuorum() {
  if (!replicating_ || !HasQuorum(durable_.accepted, accept_votes_, true)) return;
  replicating_ = false;
  CommitAccepted();
  SetLeader(settings_.self, term_);
  if (has_proposal_) sink_.OnRequestDone(proposal_.id, Outcome::kSuccess);
  has_proposal_ = false;
  SendHeartbeats();
  if (!transferring_ || !TryTransferLeadership()) ChangeVoters();
}

std::vector<ReplicaId> Replica::Impl::Learners() const {
  std::vector<ReplicaId> learners;
  for (const auto& [member, peer] : peers_) {
    if (!IsVoterInAccepted(member)) learners.push_back(member);
  }
  return learners;
}

Message Replica::Impl::LeaderMessage(MessageType type) const {
  Message m = NewMessage(type);
  m.term = term_;
  m.round = heartbeat_round_;
  m.leader = settings_.self;
  m.others = Learners();
  m.flag = AllVotersCaughtUp();
  return m;
}

void Replica::Impl::SendHeartbeat(const ReplicaId& to) { Send(to, LeaderMessage(MessageType::kHeartbeat)); }

void Replica::Impl::SendHeartbeats() {
  last_heartbeat_at_ = now_;
  const std::string heartbeat = transport::Pack(LeaderMessage(MessageType::kHeartbeat));
  for (const auto& [member, peer] : peers_) sink_.Send(member, heartbeat);
}

void Replica::Impl::SendEntry(const ReplicaId& to, Peer& peer) {
  peer.sent = IdOf(durable_.accepted);
  peer.sent_at = now_;
  Message m = LeaderMessage(MessageType::kAccept);
  m.entry.push_back(durable_.accepted);
  Send(to, m);
}

void Replica::Impl::Propose(Micros now, std::uint64_t request_id, std::uint64_t base_index,
                            std::string state) {
  now_ = std::max(now_, now);
  if (!is_leader() || replicating_ || transferring_ || base_index != committed_entry_.index ||
      state.size() > kMaxStateBytes) {
    sink_.OnRequestDone(request_id, Outcome::kNotLeader);
    return;
  }
  has_proposal_ = true;
  proposal_ = {request_id, now_};
  Entry entry = committed_entry_;
  entry.term = term_;
  ++entry.index;
  entry.previous_voters.clear();
  entry.previous_voter_storage_ids.clear();
  entry.state = std::move(state);
  Replicate(std::move(entry));
}

void Replica::Impl::ConfirmLeadership(Micros now, std::uint64_t request_id) {
  now_ = std::max(now_, now);
  if (!is_leader() || queued_confirms_.size() >= kMaxPendingConfirms) {
    sink_.OnRequestDone(request_id, Outcome::kNotLeader);
    return;
  }
  queued_confirms_.push_back({request_id, now_});
  if (!round_pending_) StartConfirmRound();
}

void Replica::Impl::StartConfirmRound() {
  round_confirms_ = std::move(queued_confirms_);
  queued_confirms_.clear();
  ++heartbeat_round_;
  round_pending_ = true;
  SendHeartbeats();
  CompleteRoundIfQuorum();
}

// The acknowledgements show that no majority had promised a newer term when the round started, so no other
// leader can have committed an entry before that.
void Replica::Impl::CompleteRoundIfQuorum() {
  while (round_pending_) {
    Votes votes{{settings_.self, durable_.storage_id}};
    for (const auto& [member, peer] : peers_) {
      if (peer.acknowledged && peer.round >= heartbeat_round_) votes.insert({member, peer.storage_id});
    }
    if (!HasQuorum(durable_.accepted, votes, replicating_)) return;
    round_pending_ = false;
    for (const PendingRequest& request : round_confirms_) sink_.OnRequestDone(request.id, Outcome::kSuccess);
    round_confirms_.clear();
    if (queued_confirms_.empty()) return;
    round_confirms_ = std::move(queued_confirms_);
    queued_confirms_.clear();
    ++heartbeat_round_;
    round_pending_ = true;
    SendHeartbeats();
  }
}

bool Replica::Impl::HasQuorumContact() const {
  Votes votes{{settings_.self, durable_.storage_id}};
  for (const auto& [member, peer] : peers_) {
    if (now_ - peer.last_heard >= 2 * settings_.election_timeout) continue;
    if (peer.acknowledged) {
      votes.insert({member, peer.storage_id});
      continue;
    }
    // A peer that has not acknowledged yet still counts until its timeout.
    for (std::size_t i = 0; i < durable_.accepted.voters.size(); ++i) {
      if (durable_.accepted.voters[i] == member)
        votes.insert({member, durable_.accepted.voter_storage_ids[i]});
    }
    for (std::size_t i = 0; i < durable_.accepted.previous_voters.size(); ++i) {
      if (durable_.accepted.previous_voters[i] == member)
        votes.insert({member, durable_.accepted.previous_voter_storage_ids[i]});
    }
  }
  return HasQuorum(durable_.accepted, votes, replicating_);
}

void Replica::Impl::TransferLeadership(Micros now) {
  now_ = std::max(now_, now);
  no_candidacy_until_ = now_ + kNoCandidacyAfterTransfer;
  if (role_ != Role::kLeader) {
    if (role_ != Role::kFollower) role_ = Role::kFollower;
    return;
  }
  transferring_ = true;
  transfer_started_at_ = now_;
  TryTransferLeadership();
}

// Picks the most recently heard voter that has persisted the newest entry. Waits up to kTransferCommitWait
// for an entry that is being replicated.
bool Replica::Impl::TryTransferLeadership() {
  if (replicating_ && now_ - replication_started_at_ < kTransferCommitWait) return false;
  ReplicaId successor;
  Micros heard = now_ - settings_.election_timeout;
  for (const auto& [member, peer] : peers_) {
    if (!peer.acknowledged || peer.acked != IdOf(durable_.accepted) || peer.last_heard <= heard) continue;
    if (!IsVoter(durable_.accepted, member, peer.storage_id)) continue;
    successor = member;
    heard = peer.last_heard;
  }
  if (successor.empty()) return false;
  no_candidacy_until_ = std::max(no_candidacy_until_, now_ + settings_.election_timeout * 2);
  StepDown("transfers leadership");
  successor_ = successor;
  timeout_now_until_ = now_ + kTimeoutNowPeriod;
  SendTimeoutNow();
  return true;
}

void Replica::Impl::SendTimeoutNow() {
  if (now_ > timeout_now_until_ || !leader_.empty() || durable_.promised_term > term_) {
    successor_.clear();
    return;
  }
  Message m = NewMessage(MessageType::kTimeoutNow);
  m.term = term_;
  m.accepted = IdOf(durable_.accepted);
  Send(successor_, m);
}

void Replica::Impl::OnTimeoutNow(const ReplicaId& from, const Message& m) {
  if (m.term < durable_.promised_term || m.accepted > IdOf(durable_.accepted)) return;
  if (role_ == Role::kCandidate || role_ == Role::kLeader || !DiskHealthy()) return;
  if (!IsVoter(durable_.accepted, settings_.self, durable_.storage_id)) return;
  LOG(INFO) << "consensus: takes over from " << from;
  no_candidacy_until_ = 0;
  StartElection(true);
}

void Replica::Impl::TickLeading() {
  if (!HasQuorumContact()) {
    StepDown("hears no majority");
    return;
  }
  if (has_proposal_ && now_ - proposal_.started_at >= kProposalTimeout) {
    has_proposal_ = false;
    sink_.OnRequestDone(proposal_.id, Outcome::kIndeterminate);
  }
  for (auto* requests : {&round_confirms_, &queued_confirms_}) {
    std::erase_if(*requests, [&](const PendingRequest& request) {
      if (now_ - request.started_at < kConfirmTimeout) return false;
      sink_.OnRequestDone(request.id, Outcome::kIndeterminate);
      return true;
    });
  }
  if (now_ - last_heartbeat_at_ >= settings_.heartbeat_interval ||
      (round_pending_ && now_ - last_heartbeat_at_ >= kRoundResendInterval))
    SendHeartbeats();
  const bool disk_stalled = write_failed_ || (writing_ && now_ - writing_since_ > kStalledWrite);
  if ((transferring_ || disk_stalled) && TryTransferLeadership()) return;
  if (transferring_ && now_ - transfer_started_at_ > kTransferTimeout) StepDown("ends, without a successor");
}

}  // namespace fennelhollow::consensus
