// Membership changes by joint consensus: one at a time, each committed by a majority of the old and of the
// new voters.
#include <glog/logging.h>

#include <algorithm>
#include <iterator>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

bool IsVoterWithAnyStorage(const Entry& entry, const ReplicaId& member) {
  return std::find(entry.voters.begin(), entry.voters.end(), member) != entry.voters.end();
}

bool Replica::Impl::IsVoterInAccepted(const ReplicaId& member) const {
  return IsVoterWithAnyStorage(durable_.accepted, member);
}

void Replica::Impl::AddLearner(const ReplicaId& member) {
  if (peers_.count(member) > 0 || (!IsVoterInAccepted(member) && Learners().size() >= kMaxLearners)) return;
  peers_[member].last_heard = now_;
  SendHeartbeat(member);
}

void Replica::Impl::OnJoin(const ReplicaId& from, const Message&) {
  if (role_ == Role::kLeader) {
    AddLearner(from);
    return;
  }
  Message response = NewMessage(MessageType::kKnownReplicas);
  if (!HasLeaderContact()) response.leader.clear();
  response.others = known_replicas();
  Send(from, response);
}

void Replica::Impl::OnKnownReplicas(const Message& m) {
  if (role_ == Role::kLeader || HasLeaderContact()) return;
  AddDiscovered(m.others);
  if (m.leader.empty() || m.leader == settings_.self) return;
  AddDiscovered({m.leader});
  Send(m.leader, NewMessage(MessageType::kJoin));
}

void Replica::Impl::SendJoins() {
  next_join_at_ = now_ + kJoinInterval;
  for (const ReplicaId& member : DiscoveryTargets()) Send(member, NewMessage(MessageType::kJoin));
}

bool Replica::Impl::CaughtUp(const Peer& peer) const {
  return peer.acknowledged && now_ - peer.last_heard < settings_.election_timeout &&
         peer.acked == IdOf(committed_entry_);
}

void Replica::Impl::TickMembership() {
  if (role_ == Role::kLeader) {
    std::erase_if(peers_, [&](const auto& item) {
      const auto& previous = durable_.accepted.previous_voters;
      return now_ - item.second.last_heard > kLearnerTimeout && !IsVoterInAccepted(item.first) &&
             std::find(previous.begin(), previous.end(), item.first) == previous.end();
    });
    ChangeVoters();
    return;
  }
  if (shutting_down_ && now_ >= next_shutdown_notice_at_ && !leader_.empty() &&
      IsVoterInAccepted(settings_.self)) {
    next_shutdown_notice_at_ = now_ + kShutdownNoticeInterval;
    Send(leader_, NewMessage(MessageType::kShutdownNotice));
  }
  if (now_ < next_join_at_ || HasLeaderContact()) return;
  // A voter first tries an election among the voters it knows; they may all have been replaced meanwhile.
  if (IsVoter(durable_.accepted, settings_.self, durable_.storage_id) &&
      now_ < leaderless_since_ + kVoterJoinDelay)
    return;
  SendJoins();
}

// Most urgent first: by how much a second failure would hurt without the change.
void Replica::Impl::ChangeVoters() {
  if (!is_leader() || replicating_ || transferring_) return;
  if (FinishChange() || ReplaceVoterStorage() || ReplaceVoter() || AddVoter() || RemoveVoter()) return;
  DemoteVoter();
}

std::map<ReplicaId, std::uint64_t> Replica::Impl::Voters() const {
  std::map<ReplicaId, std::uint64_t> voters;
  for (std::size_t i = 0; i < committed_entry_.voters.size(); ++i)
    voters[committed_entry_.voters[i]] = committed_entry_.voter_storage_ids[i];
  return voters;
}

// Leaves the joint configuration once it is committed: only the new voters count from then on.
bool Replica::Impl::FinishChange() {
  if (committed_entry_.previous_voters.empty()) return false;
  ReplicateVoters(Voters());
  return true;
}

// A voter that returned with empty storage has lost its promises, so it counts as a new voter that replaces
// the old one.
bool Replica::Impl::ReplaceVoterStorage() {
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  for (auto& [voter, storage_id] : voters) {
    const auto it = peers_.find(voter);
    if (it == peers_.end() || !CaughtUp(it->second) || it->second.storage_id == storage_id) continue;
    LOG(INFO) << "consensus: " << voter << " votes with a new disk";
    storage_id = it->second.storage_id;
    ReplicateVoters(voters);
    return true;
  }
  return false;
}

std::vector<ReplicaId> Replica::Impl::PromotableLearners() const {
  const std::map<ReplicaId, std::uint64_t> voters = Voters();
  std::vector<ReplicaId> candidates;
  for (const auto& [member, peer] : peers_) {
    if (CaughtUp(peer) && !peer.shutting_down && voters.count(member) == 0) candidates.push_back(member);
  }
  return candidates;
}

ReplicaId Replica::Impl::VoterShuttingDown() const {
  for (const ReplicaId& voter : committed_entry_.voters) {
    const auto it = peers_.find(voter);
    if (it != peers_.end() && it->second.shutting_down) return voter;
  }
  return {};
}

ReplicaId Replica::Impl::SilentVoter(Micros for_at_least) const {
  ReplicaId silent;
  Micros heard = now_ - for_at_least + 1;
  for (const ReplicaId& voter : committed_entry_.voters) {
    const auto it = peers_.find(voter);
    if (it == peers_.end() || it->second.last_heard >= heard) continue;
    heard = it->second.last_heard;
    silent = voter;
  }
  return silent;
}

// A voter that has not acknowledged any heartbeat of this leader within the election timeout: it was down
// before this term, so replace_after would count from too late a time.
ReplicaId Replica::Impl::UnresponsiveVoter() const {
  for (const ReplicaId& voter : committed_entry_.voters) {
    const auto it = peers_.find(voter);
    if (it == peers_.end() || it->second.acknowledged) continue;
    if (now_ - it->second.last_heard >= settings_.election_timeout) return voter;
  }
  return {};
}

bool Replica::Impl::ReplaceVoter() {
  const std::vector<ReplicaId> candidates = PromotableLearners();
  if (candidates.empty()) return false;
  ReplicaId replaced = VoterShuttingDown();
  if (replaced.empty()) replaced = UnresponsiveVoter();
  if (replaced.empty()) replaced = SilentVoter(settings_.replace_after);
  if (replaced.empty()) return false;
  LOG(INFO) << "consensus: " << candidates[0] << " votes in the place of " << replaced;
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  voters.erase(replaced);
  voters[candidates[0]] = peers_[candidates[0]].storage_id;
  ReplicateVoters(voters);
  return true;
}

// An even number of voters tolerates no more failures than one voter less, so voters are added only where the
// next odd number can be reached.
bool Replica::Impl::AddVoter() {
  const std::vector<ReplicaId> candidates = PromotableLearners();
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  const std::size_t wanted = voters.size() % 2 == 0 ? 1 : 2;
  if (candidates.size() < wanted || voters.size() + wanted > settings_.max_voters) return false;
  LOG(INFO) << "consensus: " << candidates[0] << " becomes a voter";
  voters[candidates[0]] = peers_[candidates[0]].storage_id;
  ReplicateVoters(voters);
  return true;
}

bool Replica::Impl::RemoveVoter() {
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  const ReplicaId silent = SilentVoter(settings_.remove_after);
  if (voters.size() <= kMinVoters || silent.empty()) return false;
  LOG(INFO) << "consensus: " << silent << " votes no longer";
  voters.erase(silent);
  ReplicateVoters(voters);
  return true;
}

// With an even number of voters, a partition into halves leaves no majority on either side: one voter becomes
// a learner again, even if it is reachable.
bool Replica::Impl::DemoteVoter() {
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  if (voters.size() % 2 != 0 || voters.size() <= kMinVoters) {
    even_voters_since_ = 0;
    return false;
  }
  if (even_voters_since_ == 0) even_voters_since_ = now_;
  if (now_ - even_voters_since_ < settings_.remove_after) return false;
  auto last = std::prev(voters.end());
  if (last->first == settings_.self) --last;
  LOG(INFO) << "consensus: " << last->first << " is a learner again, as an even number voted";
  voters.erase(last);
  ReplicateVoters(voters);
  return true;
}

bool Replica::Impl::AllVotersCaughtUp() const {
  for (const ReplicaId& voter : committed_entry_.voters) {
    if (voter == settings_.self) continue;
    const auto it = peers_.find(voter);
    if (it == peers_.end() || !CaughtUp(it->second)) return false;
  }
  return !replicating_;
}

// ---- shutdown of a voter

void Replica::Impl::PrepareShutdown(Micros now) {
  now_ = std::max(now_, now);
  shutting_down_ = true;
  shutdown_started_at_ = now_;
  voters_caught_up_ = false;
  TransferLeadership(now);
}

// A leader without a successor steps down after kTransferTimeout.
bool Replica::Impl::ReadyForShutdown() const {
  if (role_ == Role::kLeader) return false;
  const bool is_voter =
      IsVoterInAccepted(settings_.self) || IsVoterWithAnyStorage(committed_entry_, settings_.self);
  if (!is_voter && durable_.accepted.previous_voters.empty()) return true;
  if (!HasLeaderContact() || now_ - shutdown_started_at_ < kSuccessorWait) return false;
  const bool learner_waiting = std::any_of(learners_.begin(), learners_.end(), [&](const ReplicaId& learner) {
    return learner != settings_.self;
  });
  return voters_caught_up_ && !learner_waiting;
}

void Replica::Impl::OnShutdownNotice(const ReplicaId& from, const Message& m) {
  const auto it = peers_.find(from);
  if (role_ != Role::kLeader || it == peers_.end() || it->second.shutting_down) return;
  LOG(INFO) << "consensus: " << from << " is shutting down";
  it->second.incarnation = m.incarnation;
  it->second.shutting_down = true;
  ChangeVoters();
}

void Replica::Impl::OnConnectionRefused(Micros now, const ReplicaId& peer) {
  now_ = std::max(now_, now);
  if (role_ != Role::kFollower || leader_.empty() || peer != leader_) return;
  leader_heard_ = false;
  // The election waits for one heartbeat interval, so that a leader that is still running is heard first.
  election_deadline_ = std::min(election_deadline_,
                                now_ + settings_.heartbeat_interval + random_.Upto(kRefusedElectionJitter));
}

void Replica::Impl::ReplicateVoters(const std::map<ReplicaId, std::uint64_t>& voters) {
  Entry entry = committed_entry_;
  entry.term = term_;
  ++entry.index;
  entry.previous_voters.clear();
  entry.previous_voter_storage_ids.clear();
  entry.voters.clear();
  entry.voter_storage_ids.clear();
  for (const auto& [member, storage_id] : voters) {
    entry.voters.push_back(member);
    entry.voter_storage_ids.push_back(storage_id);
    if (member != settings_.self && peers_.count(member) == 0) peers_[member].last_heard = now_;
  }
  if (entry.voters != committed_entry_.voters ||
      entry.voter_storage_ids != committed_entry_.voter_storage_ids) {
    entry.previous_voters = committed_entry_.voters;
    entry.previous_voter_storage_ids = committed_entry_.voter_storage_ids;
  }
  Replicate(std::move(entry));
}

}  // namespace fennelhollow::consensus
