// The leader's part: replication of entries, heartbeats, confirmed reads, transfer of leadership.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

void Replica::Impl::StartLeading() {
  LOG(INFO) << "consensus: leads term " << term_ << " from entry " << best_.index << " on";
  role_ = Role::kLeader;
  leaving_ = false;
  successor_.clear();
  peers_.clear();
  even_since_ = 0;
  std::set<ReplicaId> others = VotersOf(best_);
  others.insert(learners_.begin(), learners_.end());
  others.erase(settings_.self);
  for (const ReplicaId& member : others) peers_[member].heard = now_;
  round_ = 0;
  round_out_ = false;
  has_call_ = false;
  Entry entry = std::move(best_);
  best_ = Entry();
  entry.term = term_;
  Replicate(std::move(entry));
}

void Replica::Impl::StepDown(const char* why) {
  LOG(INFO) << "consensus: leads term " << term_ << " no longer: " << why;
  for (const ReplicaId& member : Learners()) learners_.insert(member);
  role_ = Role::kFollower;
  under_way_ = false;
  leaving_ = false;
  round_out_ = false;
  heard_any_ = false;
  peers_.clear();
  votes_.clear();
  ResetElectionTimer();
  SetLeader("", term_);
  if (has_call_) sink_.OnRequestDone(call_.call, Outcome::kUnknown);
  has_call_ = false;
  for (const auto* calls : {&confirms_, &confirms_next_}) {
    for (const Call& call : *calls) sink_.OnRequestDone(call.call, Outcome::kUnknown);
  }
  confirms_.clear();
  confirms_next_.clear();
}

void Replica::Impl::Replicate(Entry entry) {
  durable_.accepted = std::move(entry);
  under_way_ = true;
  replicated_at_ = now_;
  votes_.clear();
  heartbeat_at_ = now_;
  for (auto& [member, peer] : peers_) {
    // One that is silent gets it when it answers a heartbeat.
    if (now_ - peer.heard < settings_.election_timeout) {
      SendEntry(member, peer);
    } else {
      SendHeartbeat(member);
    }
  }
  Flush();
}

void Replica::Impl::CountOwnVote() {
  if (!under_way_ || disk_accepted_ != IdOf(durable_.accepted)) return;
  votes_.insert({settings_.self, durable_.storage_id});
  TryCommitOwn();
}

void Replica::Impl::OnAck(const ReplicaId& from, const Message& m) {
  if (role_ != Role::kLeader) return;
  if (m.promised_term > term_) {  // it can't take anything from this term
    StepDown("a member has promised a newer one");
    if (DiskOk()) StartCandidacy(true);
    return;
  }
  const auto it = peers_.find(from);
  if (m.term != term_ || it == peers_.end()) return;
  Peer& peer = it->second;
  if (peer.store != m.storage_id) {
    peer.store = m.storage_id;
    peer.acked = {};
    peer.round = 0;
  }
  if (peer.incarnation != m.incarnation) {
    peer.incarnation = m.incarnation;
    peer.leaves = false;
  }
  peer.heard = now_;
  peer.answered = true;
  peer.acked = std::max(peer.acked, m.accepted);
  peer.held = m.held;
  peer.round = std::max(peer.round, m.round);
  const EntryId wanted = IdOf(durable_.accepted);
  if (m.held != wanted && (peer.sent != wanted || now_ - peer.sent_at >= kResendEntry)) SendEntry(from, peer);
  TryConfirm();
  if (under_way_ && m.accepted == wanted) {
    votes_.insert({from, m.storage_id});
    TryCommitOwn();
  }
}

void Replica::Impl::TryCommitOwn() {
  if (!under_way_ || !HasQuorum(durable_.accepted, votes_, true)) return;
  under_way_ = false;
  Commit();
  SetLeader(settings_.self, term_);
  if (has_call_) sink_.OnRequestDone(call_.call, Outcome::kSuccess);
  has_call_ = false;
  SendHeartbeats();
  if (!leaving_ || !TryTransferLeadership()) ChangeVoters();
}

std::vector<ReplicaId> Replica::Impl::Learners() const {
  std::vector<ReplicaId> learners;
  for (const auto& [member, peer] : peers_) {
    if (!IsVoterId(member)) learners.push_back(member);
  }
  return learners;
}

Message Replica::Impl::LeaderMessage(MessageType type) const {
  Message m = Begin(type);
  m.term = term_;
  m.round = round_;
  m.leader = settings_.self;
  m.others = Learners();
  m.flag = AllVotersCaughtUp();
  return m;
}

void Replica::Impl::SendHeartbeat(const ReplicaId& to) { Send(to, LeaderMessage(MessageType::kHeartbeat)); }

void Replica::Impl::SendHeartbeats() {
  heartbeat_at_ = now_;
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

void Replica::Impl::Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state) {
  now_ = std::max(now_, now);
  if (!is_leader() || under_way_ || leaving_ || on_top_of != newest_.index || state.size() > kMaxStateBytes) {
    sink_.OnRequestDone(call, Outcome::kNotLeader);
    return;
  }
  has_call_ = true;
  call_ = {call, now_};
  Entry entry = newest_;
  entry.term = term_;
  ++entry.index;
  entry.previous_voters.clear();
  entry.previous_voter_storage_ids.clear();
  entry.state = std::move(state);
  Replicate(std::move(entry));
}

void Replica::Impl::ConfirmLeadership(Micros now, std::uint64_t call) {
  now_ = std::max(now_, now);
  if (!is_leader() || confirms_next_.size() >= kMostConfirms) {
    sink_.OnRequestDone(call, Outcome::kNotLeader);
    return;
  }
  confirms_next_.push_back({call, now_});
  if (!round_out_) StartRound();
}

void Replica::Impl::StartRound() {
  confirms_ = std::move(confirms_next_);
  confirms_next_.clear();
  ++round_;
  round_out_ = true;
  SendHeartbeats();
  TryConfirm();
}

// A majority had promised nothing newer after the round began, so no other leader had committed anything
// before it.
void Replica::Impl::TryConfirm() {
  while (round_out_) {
    Votes votes{{settings_.self, durable_.storage_id}};
    for (const auto& [member, peer] : peers_) {
      if (peer.answered && peer.round >= round_) votes.insert({member, peer.store});
    }
    if (!HasQuorum(durable_.accepted, votes, under_way_)) return;
    round_out_ = false;
    for (const Call& call : confirms_) sink_.OnRequestDone(call.call, Outcome::kSuccess);
    confirms_.clear();
    if (confirms_next_.empty()) return;
    confirms_ = std::move(confirms_next_);
    confirms_next_.clear();
    ++round_;
    round_out_ = true;
    SendHeartbeats();
  }
}

bool Replica::Impl::HearsMajority() const {
  Votes votes{{settings_.self, durable_.storage_id}};
  for (const auto& [member, peer] : peers_) {
    if (now_ - peer.heard >= 2 * settings_.election_timeout) continue;
    if (peer.answered) {
      votes.insert({member, peer.store});
      continue;
    }
    // Has not had the time to answer.
    for (std::size_t i = 0; i < durable_.accepted.voters.size(); ++i) {
      if (durable_.accepted.voters[i] == member)
        votes.insert({member, durable_.accepted.voter_storage_ids[i]});
    }
    for (std::size_t i = 0; i < durable_.accepted.previous_voters.size(); ++i) {
      if (durable_.accepted.previous_voters[i] == member)
        votes.insert({member, durable_.accepted.previous_voter_storage_ids[i]});
    }
  }
  return HasQuorum(durable_.accepted, votes, under_way_);
}

void Replica::Impl::TransferLeadership(Micros now) {
  now_ = std::max(now_, now);
  no_candidacy_until_ = now_ + kLeft;
  if (role_ != Role::kLeader) {
    if (role_ != Role::kFollower) role_ = Role::kFollower;
    return;
  }
  leaving_ = true;
  leaving_since_ = now_;
  TryTransferLeadership();
}

// To a voter that has all; while something is under way it waits a little.
bool Replica::Impl::TryTransferLeadership() {
  if (under_way_ && now_ - replicated_at_ < kLeaveBusy) return false;
  ReplicaId best;
  Micros heard = now_ - settings_.election_timeout;
  for (const auto& [member, peer] : peers_) {
    if (!peer.answered || peer.acked != IdOf(durable_.accepted) || peer.heard <= heard) continue;
    if (!IsVoter(durable_.accepted, member, peer.store)) continue;
    best = member;
    heard = peer.heard;
  }
  if (best.empty()) return false;
  no_candidacy_until_ = std::max(no_candidacy_until_, now_ + settings_.election_timeout * 2);
  StepDown("transfers leadership");
  successor_ = best;
  successor_until_ = now_ + kTakeOverFor;
  SendTakeOver();
  return true;
}

void Replica::Impl::SendTakeOver() {
  if (now_ > successor_until_ || !leader_.empty() || durable_.promised_term > term_) {
    successor_.clear();
    return;
  }
  Message m = Begin(MessageType::kTakeOver);
  m.term = term_;
  m.accepted = IdOf(durable_.accepted);
  Send(successor_, m);
}

void Replica::Impl::OnTakeOver(const ReplicaId& from, const Message& m) {
  if (m.term < durable_.promised_term || m.accepted > IdOf(durable_.accepted)) return;
  if (role_ == Role::kCandidate || role_ == Role::kLeader || !DiskOk()) return;
  if (!IsVoter(durable_.accepted, settings_.self, durable_.storage_id)) return;
  LOG(INFO) << "consensus: takes over from " << from;
  no_candidacy_until_ = 0;
  StartCandidacy(true);
}

void Replica::Impl::TickLeading() {
  if (!HearsMajority()) {
    StepDown("hears no majority");
    return;
  }
  if (has_call_ && now_ - call_.began >= kProposal) {
    has_call_ = false;
    sink_.OnRequestDone(call_.call, Outcome::kUnknown);
  }
  for (auto* calls : {&confirms_, &confirms_next_}) {
    std::erase_if(*calls, [&](const Call& call) {
      if (now_ - call.began < kConfirm) return false;
      sink_.OnRequestDone(call.call, Outcome::kUnknown);
      return true;
    });
  }
  if (now_ - heartbeat_at_ >= settings_.heartbeat_interval ||
      (round_out_ && now_ - heartbeat_at_ >= kResendRound))
    SendHeartbeats();
  const bool bad_disk = write_failed_ || (writing_ && now_ - writing_since_ > kDiskBad);
  if ((leaving_ || bad_disk) && TryTransferLeadership()) return;
  if (leaving_ && now_ - leaving_since_ > kLeave) StepDown("ends, without a successor");
}

}  // namespace fennelhollow::consensus
