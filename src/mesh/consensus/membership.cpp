// Who votes: one change at a time, each an entry that needs a majority of the voters before and after it.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

bool Replica::Impl::IsVoterId(const ReplicaId& member) const {
  const auto& members = durable_.accepted.voters;
  return std::find(members.begin(), members.end(), member) != members.end();
}

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
  Message view = Begin(Kind::kContacts);
  if (!HearsLeader()) view.leader.clear();
  view.others = known();
  Send(from, view);
}

void Replica::Impl::OnContacts(const Message& m) {
  if (role_ == Role::kLeader || HearsLeader()) return;
  Learn(m.others);
  if (m.leader.empty() || m.leader == settings_.self) return;
  Learn({m.leader});
  Send(m.leader, Begin(Kind::kJoin));
}

void Replica::Impl::SendJoins() {
  next_join_ = now_ + kJoinEvery;
  for (const ReplicaId& member : Others()) Send(member, Begin(Kind::kJoin));
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
  if (now_ < next_join_ || HearsLeader()) return;
  // A voter asks those of its own view first; they may all have been replaced meanwhile.
  if (IsVoter(durable_.accepted, settings_.self, durable_.store) && now_ < lost_since_ + kJoinAfter) return;
  SendJoins();
}

void Replica::Impl::ChangeVoters() {
  if (!leads() || under_way_ || leaving_) return;
  std::map<ReplicaId, std::uint64_t> voters;
  for (std::size_t i = 0; i < newest_.voters.size(); ++i) voters[newest_.voters[i]] = newest_.voter_stores[i];
  if (!newest_.previous_voters.empty()) {  // the change is committed: from here on the new voters alone count
    ReplicateVoters(voters);
    return;
  }
  std::vector<ReplicaId> learners;
  for (const auto& [member, peer] : peers_) {
    if (CaughtUp(peer) && voters.count(member) == 0) learners.push_back(member);
  }
  ReplicaId silent;
  Micros silent_for = 0;
  for (auto& [member, store] : voters) {
    if (member == settings_.self) continue;
    const auto it = peers_.find(member);
    if (it == peers_.end()) continue;
    if (CaughtUp(it->second) && it->second.store != store) {  // came back without its disk
      LOG(INFO) << "consensus: " << member << " votes with a new disk";
      store = it->second.store;
      ReplicateVoters(voters);
      return;
    }
    if (now_ - it->second.heard > silent_for) {
      silent_for = now_ - it->second.heard;
      silent = member;
    }
  }
  const std::size_t count = voters.size();
  if (!learners.empty() && silent_for >= settings_.replace_after) {
    LOG(INFO) << "consensus: " << learners[0] << " votes in the place of " << silent;
    voters.erase(silent);
    voters[learners[0]] = peers_[learners[0]].store;
    ReplicateVoters(voters);
    return;
  }
  // Even numbers bear no more losses than the odd ones below them: passed through only on the way to the next
  // odd one.
  const std::size_t wanted = count % 2 == 0 ? 1 : 2;
  if (learners.size() >= wanted && count + wanted <= settings_.most_voters) {
    LOG(INFO) << "consensus: " << learners[0] << " becomes a voter";
    voters[learners[0]] = peers_[learners[0]].store;
    ReplicateVoters(voters);
    return;
  }
  if (count > 3 && silent_for >= kRemoveAfter * settings_.replace_after) {
    LOG(INFO) << "consensus: " << silent << " votes no longer";
    voters.erase(silent);
    ReplicateVoters(voters);
  }
}

void Replica::Impl::ReplicateVoters(const std::map<ReplicaId, std::uint64_t>& voters) {
  Entry entry = newest_;
  entry.term = term_;
  ++entry.number;
  entry.previous_voters.clear();
  entry.previous_stores.clear();
  entry.voters.clear();
  entry.voter_stores.clear();
  for (const auto& [member, store] : voters) {
    entry.voters.push_back(member);
    entry.voter_stores.push_back(store);
    if (member != settings_.self && peers_.count(member) == 0) peers_[member].heard = now_;
  }
  if (entry.voters != newest_.voters || entry.voter_stores != newest_.voter_stores) {
    entry.previous_voters = newest_.voters;
    entry.previous_stores = newest_.voter_stores;
  }
  Replicate(std::move(entry));
}

}  // namespace fennelhollow::consensus
