// Who votes: one change at a time, each an entry that needs a majority of the voters before and after it.
#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

bool Order::Impl::IsMember(const MemberId& member) const {
  const auto& members = mind_.accepted.members;
  return std::find(members.begin(), members.end(), member) != members.end();
}

void Order::Impl::AddLearner(const MemberId& member) {
  if (peers_.count(member) > 0 || (!IsMember(member) && Learners().size() >= kMostLearners)) return;
  peers_[member].heard = now_;
  SendBeat(member);
}

void Order::Impl::OnJoin(const MemberId& from, const Message&) {
  if (role_ == Role::kHolder) {
    AddLearner(from);
    return;
  }
  Message view = Begin(Kind::kView);
  if (!HearsHolder()) view.holder.clear();
  view.others = known();
  Send(from, view);
}

void Order::Impl::OnView(const Message& m) {
  if (role_ == Role::kHolder || HearsHolder()) return;
  Learn(m.others);
  if (m.holder.empty() || m.holder == settings_.self) return;
  Learn({m.holder});
  Send(m.holder, Begin(Kind::kJoin));
}

void Order::Impl::SendJoins() {
  next_join_ = now_ + kJoinEvery;
  for (const MemberId& member : Others()) Send(member, Begin(Kind::kJoin));
}

bool Order::Impl::CaughtUp(const Peer& peer) const {
  return peer.answered && now_ - peer.heard < settings_.patience && peer.acked == StampOf(newest_);
}

void Order::Impl::TickMembership() {
  if (role_ == Role::kHolder) {
    std::erase_if(peers_, [&](const auto& item) {
      const auto& before = mind_.accepted.before;
      return now_ - item.second.heard > kLearnerGone && !IsMember(item.first) &&
             std::find(before.begin(), before.end(), item.first) == before.end();
    });
    ChangeMembers();
    return;
  }
  if (now_ < next_join_ || HearsHolder()) return;
  // A voter asks those of its own view first; they may all have been replaced meanwhile.
  if (IsVoter(mind_.accepted, settings_.self, mind_.store) && now_ < lost_since_ + kJoinAfter) return;
  SendJoins();
}

void Order::Impl::ChangeMembers() {
  if (!holds() || under_way_ || leaving_) return;
  std::map<MemberId, std::uint64_t> voters;
  for (std::size_t i = 0; i < newest_.members.size(); ++i) voters[newest_.members[i]] = newest_.stores[i];
  if (!newest_.before.empty()) {  // the change is settled: from here on the new voters alone count
    PutMembers(voters);
    return;
  }
  std::vector<MemberId> learners;
  for (const auto& [member, peer] : peers_) {
    if (CaughtUp(peer) && voters.count(member) == 0) learners.push_back(member);
  }
  MemberId silent;
  Micros silent_for = 0;
  for (auto& [member, store] : voters) {
    if (member == settings_.self) continue;
    const auto it = peers_.find(member);
    if (it == peers_.end()) continue;
    if (CaughtUp(it->second) && it->second.store != store) {  // came back without its disk
      LOG(INFO) << "consensus: " << member << " votes with a new disk";
      store = it->second.store;
      PutMembers(voters);
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
    PutMembers(voters);
    return;
  }
  // Even numbers bear no more losses than the odd ones below them: passed through only on the way to the next
  // odd one.
  const std::size_t wanted = count % 2 == 0 ? 1 : 2;
  if (learners.size() >= wanted && count + wanted <= settings_.most_voters) {
    LOG(INFO) << "consensus: " << learners[0] << " becomes a voter";
    voters[learners[0]] = peers_[learners[0]].store;
    PutMembers(voters);
    return;
  }
  if (count > 3 && silent_for >= kRemoveAfter * settings_.replace_after) {
    LOG(INFO) << "consensus: " << silent << " votes no longer";
    voters.erase(silent);
    PutMembers(voters);
  }
}

void Order::Impl::PutMembers(const std::map<MemberId, std::uint64_t>& voters) {
  Entry entry = newest_;
  entry.epoch = epoch_;
  ++entry.number;
  entry.before.clear();
  entry.before_stores.clear();
  entry.members.clear();
  entry.stores.clear();
  for (const auto& [member, store] : voters) {
    entry.members.push_back(member);
    entry.stores.push_back(store);
    if (member != settings_.self && peers_.count(member) == 0) peers_[member].heard = now_;
  }
  if (entry.members != newest_.members || entry.stores != newest_.stores) {
    entry.before = newest_.members;
    entry.before_stores = newest_.stores;
  }
  Put(std::move(entry));
}

}  // namespace fennelhollow::consensus
