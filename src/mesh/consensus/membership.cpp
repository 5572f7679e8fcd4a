// Who votes: one change at a time, each an entry that needs a majority of the voters before and after it.
#include <glog/logging.h>

#include <algorithm>
#include <iterator>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

bool IsVoterOf(const Entry& entry, const ReplicaId& member) {
  return std::find(entry.voters.begin(), entry.voters.end(), member) != entry.voters.end();
}

bool Replica::Impl::IsVoterId(const ReplicaId& member) const { return IsVoterOf(durable_.accepted, member); }

void Replica::Impl::AddLearner(const ReplicaId& member) {
  if (peers_.count(member) > 0 || (!IsVoterId(member) && Learners().size() >= kMostLearners)) return;
  peers_[member].heard = now_;
  SendHeartbeat(member);
}

void Replica::Impl::OnJoin(const ReplicaId& from, const Message&) {
  if (role_ == Role::kLeader) {
    AddLearner(from);
    return;
  }
  Message view = Begin(MessageType::kContacts);
  if (!HearsLeader()) view.leader.clear();
  view.others = known_replicas();
  Send(from, view);
}

void Replica::Impl::OnContacts(const Message& m) {
  if (role_ == Role::kLeader || HearsLeader()) return;
  Learn(m.others);
  if (m.leader.empty() || m.leader == settings_.self) return;
  Learn({m.leader});
  Send(m.leader, Begin(MessageType::kJoin));
}

void Replica::Impl::SendJoins() {
  next_join_ = now_ + kJoinEvery;
  for (const ReplicaId& member : Others()) Send(member, Begin(MessageType::kJoin));
}

bool Replica::Impl::CaughtUp(const Peer& peer) const {
  return peer.answered && now_ - peer.heard < settings_.election_timeout && peer.acked == IdOf(newest_);
}

void Replica::Impl::TickMembership() {
  if (role_ == Role::kLeader) {
    std::erase_if(peers_, [&](const auto& item) {
      const auto& before = durable_.accepted.previous_voters;
      return now_ - item.second.heard > kLearnerGone && !IsVoterId(item.first) &&
             std::find(before.begin(), before.end(), item.first) == before.end();
    });
    ChangeVoters();
    return;
  }
  if (ends_ && now_ >= next_leave_ && !leader_.empty() && IsVoterId(settings_.self)) {
    next_leave_ = now_ + kLeaveEvery;
    Send(leader_, Begin(MessageType::kLeave));
  }
  if (now_ < next_join_ || HearsLeader()) return;
  // A voter asks those of its own view first; they may all have been replaced meanwhile.
  if (IsVoter(durable_.accepted, settings_.self, durable_.storage_id) && now_ < lost_since_ + kJoinAfter)
    return;
  SendJoins();
}

// One change at a time, in the order of what a second loss would cost.
void Replica::Impl::ChangeVoters() {
  if (!is_leader() || under_way_ || leaving_) return;
  if (FinishChange() || TakeNewDisk() || ReplaceVoter() || AddVoter() || RemoveVoter()) return;
  DemoteVoter();
}

std::map<ReplicaId, std::uint64_t> Replica::Impl::Voters() const {
  std::map<ReplicaId, std::uint64_t> voters;
  for (std::size_t i = 0; i < newest_.voters.size(); ++i)
    voters[newest_.voters[i]] = newest_.voter_storage_ids[i];
  return voters;
}

// The joint entry is committed: from here on the new voters alone count.
bool Replica::Impl::FinishChange() {
  if (newest_.previous_voters.empty()) return false;
  ReplicateVoters(Voters());
  return true;
}

// Of a voter that came back without its disk: another voter, which gets the place of the old one.
bool Replica::Impl::TakeNewDisk() {
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  for (auto& [voter, store] : voters) {
    const auto it = peers_.find(voter);
    if (it == peers_.end() || !CaughtUp(it->second) || it->second.store == store) continue;
    LOG(INFO) << "consensus: " << voter << " votes with a new disk";
    store = it->second.store;
    ReplicateVoters(voters);
    return true;
  }
  return false;
}

std::vector<ReplicaId> Replica::Impl::Candidates() const {
  const std::map<ReplicaId, std::uint64_t> voters = Voters();
  std::vector<ReplicaId> candidates;
  for (const auto& [member, peer] : peers_) {
    if (CaughtUp(peer) && !peer.leaves && voters.count(member) == 0) candidates.push_back(member);
  }
  return candidates;
}

ReplicaId Replica::Impl::LeavingVoter() const {
  for (const ReplicaId& voter : newest_.voters) {
    const auto it = peers_.find(voter);
    if (it != peers_.end() && it->second.leaves) return voter;
  }
  return {};
}

ReplicaId Replica::Impl::SilentVoter(Micros for_at_least) const {
  ReplicaId silent;
  Micros heard = now_ - for_at_least + 1;
  for (const ReplicaId& voter : newest_.voters) {
    const auto it = peers_.find(voter);
    if (it == peers_.end() || it->second.heard >= heard) continue;
    heard = it->second.heard;
    silent = voter;
  }
  return silent;
}

// Has not answered a single heartbeat of this leader, though there was time for several: it was gone before
// the leader began, and has been silent for longer than this leader can tell.
ReplicaId Replica::Impl::UnansweredVoter() const {
  for (const ReplicaId& voter : newest_.voters) {
    const auto it = peers_.find(voter);
    if (it == peers_.end() || it->second.answered) continue;
    if (now_ - it->second.heard >= settings_.election_timeout) return voter;
  }
  return {};
}

bool Replica::Impl::ReplaceVoter() {
  const std::vector<ReplicaId> candidates = Candidates();
  if (candidates.empty()) return false;
  ReplicaId replaced = LeavingVoter();
  if (replaced.empty()) replaced = UnansweredVoter();
  if (replaced.empty()) replaced = SilentVoter(settings_.replace_after);
  if (replaced.empty()) return false;
  LOG(INFO) << "consensus: " << candidates[0] << " votes in the place of " << replaced;
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  voters.erase(replaced);
  voters[candidates[0]] = peers_[candidates[0]].store;
  ReplicateVoters(voters);
  return true;
}

// Even numbers bear no more losses than the odd ones below them: passed through only on the way to the next
// odd one.
bool Replica::Impl::AddVoter() {
  const std::vector<ReplicaId> candidates = Candidates();
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  const std::size_t wanted = voters.size() % 2 == 0 ? 1 : 2;
  if (candidates.size() < wanted || voters.size() + wanted > settings_.max_voters) return false;
  LOG(INFO) << "consensus: " << candidates[0] << " becomes a voter";
  voters[candidates[0]] = peers_[candidates[0]].store;
  ReplicateVoters(voters);
  return true;
}

bool Replica::Impl::RemoveVoter() {
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  const ReplicaId silent = SilentVoter(settings_.remove_after);
  if (voters.size() <= kFewestVoters || silent.empty()) return false;
  LOG(INFO) << "consensus: " << silent << " votes no longer";
  voters.erase(silent);
  ReplicateVoters(voters);
  return true;
}

// Left with an even number, as after a replacement among four: cut two from two, none of them would have a
// majority. One becomes a learner again, though it is heard.
bool Replica::Impl::DemoteVoter() {
  std::map<ReplicaId, std::uint64_t> voters = Voters();
  if (voters.size() % 2 != 0 || voters.size() <= kFewestVoters) {
    even_since_ = 0;
    return false;
  }
  if (even_since_ == 0) even_since_ = now_;
  if (now_ - even_since_ < settings_.remove_after) return false;
  auto last = std::prev(voters.end());
  if (last->first == settings_.self) --last;
  LOG(INFO) << "consensus: " << last->first << " is a learner again, as an even number voted";
  voters.erase(last);
  ReplicateVoters(voters);
  return true;
}

bool Replica::Impl::AllVotersCaughtUp() const {
  for (const ReplicaId& voter : newest_.voters) {
    if (voter == settings_.self) continue;
    const auto it = peers_.find(voter);
    if (it == peers_.end() || !CaughtUp(it->second)) return false;
  }
  return !under_way_;
}

// ---- a voter that is about to end

void Replica::Impl::PrepareShutdown(Micros now) {
  now_ = std::max(now_, now);
  ends_ = true;
  ends_since_ = now_;
  others_have_all_ = false;
  TransferLeadership(now);
}

// Where it leads on for want of a successor, TransferLeadership's own bound ends that.
bool Replica::Impl::ReadyForShutdown() const {
  if (role_ == Role::kLeader) return false;
  const bool voted = IsVoterId(settings_.self) || IsVoterOf(newest_, settings_.self);
  if (!voted && durable_.accepted.previous_voters.empty()) return true;
  if (!HearsLeader() || now_ - ends_since_ < kLeaveAlone) return false;
  const bool somebody_waits = std::any_of(learners_.begin(), learners_.end(), [&](const ReplicaId& learner) {
    return learner != settings_.self;
  });
  return others_have_all_ && !somebody_waits;
}

void Replica::Impl::OnLeave(const ReplicaId& from, const Message& m) {
  const auto it = peers_.find(from);
  if (role_ != Role::kLeader || it == peers_.end() || it->second.leaves) return;
  LOG(INFO) << "consensus: " << from << " is about to end";
  it->second.incarnation = m.incarnation;
  it->second.leaves = true;
  ChangeVoters();
}

void Replica::Impl::OnConnectionRefused(Micros now, const ReplicaId& peer) {
  now_ = std::max(now_, now);
  if (role_ != Role::kFollower || leader_.empty() || peer != leader_) return;
  heard_any_ = false;
  // One that lives all the same is heard before.
  deadline_ = std::min(deadline_, now_ + settings_.heartbeat_interval + random_.Upto(kRefusedJitter));
}

void Replica::Impl::ReplicateVoters(const std::map<ReplicaId, std::uint64_t>& voters) {
  Entry entry = newest_;
  entry.term = term_;
  ++entry.index;
  entry.previous_voters.clear();
  entry.previous_voter_storage_ids.clear();
  entry.voters.clear();
  entry.voter_storage_ids.clear();
  for (const auto& [member, store] : voters) {
    entry.voters.push_back(member);
    entry.voter_storage_ids.push_back(store);
    if (member != settings_.self && peers_.count(member) == 0) peers_[member].heard = now_;
  }
  if (entry.voters != newest_.voters || entry.voter_storage_ids != newest_.voter_storage_ids) {
    entry.previous_voters = newest_.voters;
    entry.previous_voter_storage_ids = newest_.voter_storage_ids;
  }
  Replicate(std::move(entry));
}

}  // namespace fennelhollow::consensus
