#include "mesh/consensus/replica.hpp"

#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

namespace {

bool HasMajority(const std::vector<ReplicaId>& members, const std::vector<std::uint64_t>& storage_ids,
                 const Votes& votes) {
  std::size_t matching = 0;
  for (std::size_t i = 0; i < members.size(); ++i) matching += votes.count({members[i], storage_ids[i]});
  return matching * 2 > members.size();
}

bool IsWellFormed(const Entry& e) {
  return e.voters.size() == e.voter_storage_ids.size() &&
         e.previous_voters.size() == e.previous_voter_storage_ids.size() && !e.voters.empty() &&
         e.state.size() <= kMaxStateBytes;
}

}  // namespace

bool HasQuorum(const Entry& entry, const Votes& votes, bool joint) {
  return HasMajority(entry.voters, entry.voter_storage_ids, votes) &&
         (!joint || entry.previous_voters.empty() ||
          HasMajority(entry.previous_voters, entry.previous_voter_storage_ids, votes));
}

bool IsVoter(const Entry& entry, const ReplicaId& member, std::uint64_t storage_id) {
  for (std::size_t i = 0; i < entry.voters.size(); ++i) {
    if (entry.voters[i] == member) return entry.voter_storage_ids[i] == storage_id;
  }
  return false;
}

Replica::Impl::Impl(const ReplicaSettings& settings, Micros now, Sink& sink)
    : settings_(settings),
      sink_(sink),
      random_(settings.seed ^ merlinrun::StableHash(settings.self)),
      now_(now) {
  const auto& initial_voters = settings_.initial_voters;
  if (settings_.persisted.has_value()) {
    durable_ = *settings_.persisted;
    persisted_promised_term_ = durable_.promised_term;
    persisted_accepted_ = IdOf(durable_.accepted);
  } else if (settings_.bootstrap &&
             std::count(initial_voters.begin(), initial_voters.end(), settings_.self) > 0) {
    durable_.accepted.voters = initial_voters;
    std::sort(durable_.accepted.voters.begin(), durable_.accepted.voters.end());
    durable_.accepted.voter_storage_ids.assign(initial_voters.size(), 0);
    initial_write_pending_ = true;
  } else {
    durable_.storage_id = std::max<std::uint64_t>(settings_.incarnation, 1);
  }
  SetSeedPeers(settings_.seed_peers);
  leaderless_since_ = now_;
  // No heartbeat has been received yet, so the first election may start sooner.
  election_deadline_ = now_ + settings_.election_timeout / 4 + random_.Upto(settings_.election_timeout);
}

void Replica::Impl::SetSeedPeers(std::vector<ReplicaId> seed_peers) {
  if (seed_peers.size() > kMaxKnownReplicas) seed_peers.resize(kMaxKnownReplicas);
  seed_peers_ = {seed_peers.begin(), seed_peers.end()};
}

void Replica::Impl::AddDiscovered(const std::vector<ReplicaId>& members) {
  for (const ReplicaId& member : members) {
    if (discovered_.size() >= kMaxKnownReplicas && discovered_.count(member) == 0) discovered_.clear();
    discovered_.insert(member);
  }
}

std::vector<ReplicaId> Replica::Impl::known_replicas() const {
  std::set<ReplicaId> all(durable_.accepted.voters.begin(), durable_.accepted.voters.end());
  all.insert(durable_.accepted.previous_voters.begin(), durable_.accepted.previous_voters.end());
  all.insert(committed_entry_.voters.begin(), committed_entry_.voters.end());
  all.insert(learners_.begin(), learners_.end());
  if (role_ == Role::kLeader) {
    for (const auto& [member, peer] : peers_) all.insert(member);
  }
  return {all.begin(), all.end()};
}

std::set<ReplicaId> Replica::Impl::DiscoveryTargets() const {
  std::set<ReplicaId> all = seed_peers_;
  all.insert(discovered_.begin(), discovered_.end());
  for (const ReplicaId& member : known_replicas()) all.insert(member);
  if (!leader_.empty()) all.insert(leader_);
  all.erase(settings_.self);
  return all;
}

Message Replica::Impl::NewMessage(MessageType type) const {
  Message m;
  m.type = type;
  m.incarnation = settings_.incarnation;
  m.storage_id = durable_.storage_id;
  m.promised_term = durable_.promised_term;
  m.accepted = persisted_accepted_;
  m.accepted_in_memory = IdOf(durable_.accepted);
  m.committed = committed_id_;
  m.leader = leader_;
  return m;
}

void Replica::Impl::Send(const ReplicaId& to, const Message& message) {
  if (to != settings_.self) sink_.Send(to, transport::Pack(message));
}

void Replica::Impl::OnMessage(Micros now, const ReplicaId& from, const std::string& bytes) {
  now_ = std::max(now_, now);
  const auto read = transport::Unpack<Message>(bytes);
  if (!read.ok() || from == settings_.self || read->entry.size() > 1 ||
      (read->entry.size() == 1 && !IsWellFormed(read->entry[0]))) {
    ++malformed_messages_;
    return;
  }
  const Message& m = *read;
  highest_term_seen_ = std::max({highest_term_seen_, m.promised_term, m.term});
  switch (m.type) {
    case MessageType::kHeartbeat:
    case MessageType::kAccept:
      OnLeaderMessage(from, m);
      break;
    case MessageType::kAck:
      OnAck(from, m);
      break;
    case MessageType::kPreVote:
      OnPreVote(from, m);
      break;
    case MessageType::kPreVoteResponse:
      OnPreVoteResponse(from, m);
      break;
    case MessageType::kPrepare:
      OnPrepare(from, m);
      break;
    case MessageType::kPromise:
      OnPromise(from, m);
      break;
    case MessageType::kTimeoutNow:
      OnTimeoutNow(from, m);
      break;
    case MessageType::kJoin:
      OnJoin(from, m);
      break;
    case MessageType::kShutdownNotice:
      OnShutdownNotice(from, m);
      break;
    case MessageType::kKnownReplicas:
      OnKnownReplicas(m);
      break;
    default:
      ++malformed_messages_;
      break;
  }
  PersistIfNeeded();
}

// Handles kHeartbeat and kAccept.
void Replica::Impl::OnLeaderMessage(const ReplicaId& from, const Message& m) {
  if (m.term < durable_.promised_term || (role_ == Role::kLeader && m.term == term_)) {
    Message nack = NewMessage(MessageType::kAck);
    nack.term = m.term;
    Send(from, nack);
    return;
  }
  if (role_ == Role::kLeader) StepDown("another leader has a newer term");
  role_ = Role::kFollower;
  durable_.promised_term = m.term;
  leader_heard_at_ = now_;
  leader_heard_ = true;
  SetLeader(from, m.term);
  ResetElectionTimer();
  voters_caught_up_ = m.flag;
  learners_.clear();
  for (const ReplicaId& member : m.others) {
    if (learners_.size() < kMaxKnownReplicas) learners_.insert(member);
  }
  CommitIfAccepted(m.committed);
  if (!m.entry.empty() && m.entry[0].term == m.term && IdOf(m.entry[0]) > IdOf(durable_.accepted)) {
    durable_.accepted = m.entry[0];
    CommitIfAccepted(m.committed);
  }
  PersistIfNeeded();
  // kAccept is acknowledged once the entry is on disk (OnWritten).
  if (m.type == MessageType::kHeartbeat || IsPersisted()) SendAck(m.round);
}

void Replica::Impl::SendAck(std::uint64_t round) {
  Message ack = NewMessage(MessageType::kAck);
  ack.term = leader_term_;
  ack.round = round;
  Send(leader_, ack);
}

bool Replica::Impl::IsPersisted() const {
  return !initial_write_pending_ && persisted_promised_term_ == durable_.promised_term &&
         persisted_accepted_ == IdOf(durable_.accepted);
}

bool Replica::Impl::DiskHealthy() const {
  return !write_failed_ && (!writing_ || now_ - writing_since_ < kSlowWrite);
}

Micros Replica::Impl::WriteAllowance() const {
  const Micros in_progress = writing_ ? std::min(now_ - writing_since_, kMaxWriteDuration) : 0;
  return kWritesPerElection * std::max(write_duration_, in_progress);
}

void Replica::Impl::PersistIfNeeded() {
  if (writing_ || IsPersisted() || (write_failed_ && now_ < write_retry_at_)) return;
  writing_ = true;
  writing_since_ = now_;
  writing_promised_ = durable_.promised_term;
  writing_accepted_ = IdOf(durable_.accepted);
  sink_.Write(durable_, ++write_token_);
}

void Replica::Impl::OnWritten(Micros now, std::uint64_t token, bool ok) {
  now_ = std::max(now_, now);
  if (!writing_ || token != write_token_) return;
  writing_ = false;
  if (!ok) {
    if (!write_failed_) LOG(WARNING) << "consensus: a write failed";
    write_failed_ = true;
    write_retry_at_ = now_ + kWriteRetryDelay;
    return;
  }
  if (write_failed_) LOG(INFO) << "consensus: writes succeed again";
  write_failed_ = false;
  write_duration_ = std::min(std::max(now_ - writing_since_, write_duration_ / 2), kMaxWriteDuration);
  initial_write_pending_ = false;
  persisted_promised_term_ = writing_promised_;
  const bool newer = writing_accepted_ != persisted_accepted_;
  persisted_accepted_ = writing_accepted_;
  if (role_ == Role::kFollower && newer && !leader_.empty() && durable_.promised_term == leader_term_)
    SendAck(0);
  SendPromiseIfPersisted();
  if (role_ == Role::kCandidate && !own_promise_persisted_ && persisted_promised_term_ >= term_) {
    own_promise_persisted_ = true;
    granted_votes_.insert({settings_.self, durable_.storage_id});
    SendPrepare();
    LeadIfElected();
  }
  if (role_ == Role::kLeader) CountOwnVote();
  PersistIfNeeded();
}

// Applies the accepted entry if it is the one that the leader has committed.
void Replica::Impl::CommitIfAccepted(EntryId committed) {
  if (committed == IdOf(durable_.accepted) && committed.term != 0 &&
      (!has_committed_ || committed > committed_id_))
    CommitAccepted();
}

void Replica::Impl::CommitAccepted() {
  committed_id_ = IdOf(durable_.accepted);
  const bool newer = durable_.accepted.index > committed_entry_.index;
  has_committed_ = true;
  committed_entry_ = durable_.accepted;
  if (newer) sink_.Apply(committed_entry_);
}

void Replica::Impl::SetLeader(const ReplicaId& leader, std::uint64_t term) {
  if (leader == leader_ && (term == leader_term_ || leader.empty())) return;
  if (leader.empty()) leaderless_since_ = now_;
  leader_ = leader;
  leader_term_ = term;
  LOG(INFO) << "consensus: leader " << (leader.empty() ? "unknown" : leader) << ", term " << term;
  sink_.OnLeaderChange(leader_, term);
}

Micros Replica::Impl::ElectionTimeout() const { return settings_.election_timeout + WriteAllowance(); }

void Replica::Impl::ResetElectionTimer() {
  election_deadline_ = now_ + ElectionTimeout() + random_.Upto(ElectionTimeout());
}

void Replica::Impl::ShortenElectionTimer() {
  election_deadline_ = now_ + random_.Upto(ElectionTimeout() / 2);
}

void Replica::Impl::OnTick(Micros now) {
  now_ = std::max(now_, now);
  PersistIfNeeded();
  if (role_ == Role::kLeader) {
    TickLeading();
  } else {
    TickElection();
  }
  TickMembership();
  PersistIfNeeded();
}

Replica::Replica(const ReplicaSettings& settings, Micros now, Sink& sink)
    : impl_(std::make_unique<Impl>(settings, now, sink)) {}
Replica::~Replica() = default;
void Replica::OnMessage(Micros now, const ReplicaId& from, const std::string& message) {
  impl_->OnMessage(now, from, message);
}
void Replica::OnWritten(Micros now, std::uint64_t token, bool ok) { impl_->OnWritten(now, token, ok); }
void Replica::OnTick(Micros now) { impl_->OnTick(now); }
void Replica::SetSeedPeers(std::vector<ReplicaId> seed_peers) { impl_->SetSeedPeers(std::move(seed_peers)); }
void Replica::Propose(Micros now, std::uint64_t request_id, std::uint64_t base_index, std::string state) {
  impl_->Propose(now, request_id, base_index, std::move(state));
}
void Replica::ConfirmLeadership(Micros now, std::uint64_t request_id) {
  impl_->ConfirmLeadership(now, request_id);
}
void Replica::TransferLeadership(Micros now) { impl_->TransferLeadership(now); }
void Replica::PrepareShutdown(Micros now) { impl_->PrepareShutdown(now); }
bool Replica::ReadyForShutdown(Micros) const { return impl_->ReadyForShutdown(); }
void Replica::OnConnectionRefused(Micros now, const ReplicaId& peer) {
  impl_->OnConnectionRefused(now, peer);
}
bool Replica::is_connected() const { return impl_->is_connected(); }
bool Replica::is_leader() const { return impl_->is_leader(); }
const ReplicaId& Replica::leader() const { return impl_->leader(); }
std::uint64_t Replica::term() const { return impl_->term(); }
const Entry& Replica::last_committed() const { return impl_->last_committed(); }
bool Replica::replicating() const { return impl_->replicating(); }
std::vector<ReplicaId> Replica::known_replicas() const { return impl_->known_replicas(); }
std::uint64_t Replica::malformed_messages() const { return impl_->malformed_messages(); }

}  // namespace fennelhollow::consensus
