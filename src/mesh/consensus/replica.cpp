#include "mesh/consensus/replica.hpp"

#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

namespace {

bool Majority(const std::vector<ReplicaId>& members, const std::vector<std::uint64_t>& stores,
              const Votes& votes) {
  std::size_t have = 0;
  for (std::size_t i = 0; i < members.size(); ++i) have += votes.count({members[i], stores[i]});
  return have * 2 > members.size();
}

bool Wellformed(const Entry& e) {
  return e.voters.size() == e.voter_storage_ids.size() &&
         e.previous_voters.size() == e.previous_voter_storage_ids.size() && !e.voters.empty() &&
         e.state.size() <= kMaxStateBytes;
}

}  // namespace

bool HasQuorum(const Entry& entry, const Votes& votes, bool joint) {
  return Majority(entry.voters, entry.voter_storage_ids, votes) &&
         (!joint || entry.previous_voters.empty() ||
          Majority(entry.previous_voters, entry.previous_voter_storage_ids, votes));
}

bool IsVoter(const Entry& entry, const ReplicaId& member, std::uint64_t store) {
  for (std::size_t i = 0; i < entry.voters.size(); ++i) {
    if (entry.voters[i] == member) return entry.voter_storage_ids[i] == store;
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
    disk_promised_ = durable_.promised_term;
    disk_accepted_ = IdOf(durable_.accepted);
  } else if (settings_.bootstrap &&
             std::count(initial_voters.begin(), initial_voters.end(), settings_.self) > 0) {
    durable_.accepted.voters = initial_voters;
    std::sort(durable_.accepted.voters.begin(), durable_.accepted.voters.end());
    durable_.accepted.voter_storage_ids.assign(initial_voters.size(), 0);
    unwritten_ = true;
  } else {
    durable_.storage_id = std::max<std::uint64_t>(settings_.incarnation, 1);
  }
  SetSeedPeers(settings_.seed_peers);
  lost_since_ = now_;
  // Nobody has been heard, so there is less to wait for than after a leader's last heartbeat.
  deadline_ = now_ + settings_.election_timeout / 4 + random_.Upto(settings_.election_timeout);
}

void Replica::Impl::SetSeedPeers(std::vector<ReplicaId> seed_peers) {
  if (seed_peers.size() > kMostContacts) seed_peers.resize(kMostContacts);
  contacts_ = {seed_peers.begin(), seed_peers.end()};
}

void Replica::Impl::Learn(const std::vector<ReplicaId>& members) {
  for (const ReplicaId& member : members) {
    if (learned_.size() >= kMostContacts && learned_.count(member) == 0) learned_.clear();
    learned_.insert(member);
  }
}

std::vector<ReplicaId> Replica::Impl::known_replicas() const {
  std::set<ReplicaId> all(durable_.accepted.voters.begin(), durable_.accepted.voters.end());
  all.insert(durable_.accepted.previous_voters.begin(), durable_.accepted.previous_voters.end());
  all.insert(newest_.voters.begin(), newest_.voters.end());
  all.insert(learners_.begin(), learners_.end());
  if (role_ == Role::kLeader) {
    for (const auto& [member, peer] : peers_) all.insert(member);
  }
  return {all.begin(), all.end()};
}

std::set<ReplicaId> Replica::Impl::Others() const {
  std::set<ReplicaId> all = contacts_;
  all.insert(learned_.begin(), learned_.end());
  for (const ReplicaId& member : known_replicas()) all.insert(member);
  if (!leader_.empty()) all.insert(leader_);
  all.erase(settings_.self);
  return all;
}

Message Replica::Impl::Begin(MessageType type) const {
  Message m;
  m.type = type;
  m.incarnation = settings_.incarnation;
  m.storage_id = durable_.storage_id;
  m.promised_term = durable_.promised_term;
  m.accepted = disk_accepted_;
  m.held = IdOf(durable_.accepted);
  m.committed = committed_;
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
      (read->entry.size() == 1 && !Wellformed(read->entry[0]))) {
    ++malformed_messages_;
    return;
  }
  const Message& m = *read;
  highest_seen_ = std::max({highest_seen_, m.promised_term, m.term});
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
    case MessageType::kPreVoteAnswer:
      OnPreVoteAnswer(from, m);
      break;
    case MessageType::kPrepare:
      OnPrepare(from, m);
      break;
    case MessageType::kPromise:
      OnPromise(from, m);
      break;
    case MessageType::kTakeOver:
      OnTakeOver(from, m);
      break;
    case MessageType::kJoin:
      OnJoin(from, m);
      break;
    case MessageType::kLeave:
      OnLeave(from, m);
      break;
    case MessageType::kContacts:
      OnContacts(m);
      break;
    default:
      ++malformed_messages_;
      break;
  }
  Flush();
}

// A heartbeat, or an entry to accept.
void Replica::Impl::OnLeaderMessage(const ReplicaId& from, const Message& m) {
  if (m.term < durable_.promised_term || (role_ == Role::kLeader && m.term == term_)) {
    Message nack = Begin(MessageType::kAck);
    nack.term = m.term;
    Send(from, nack);
    return;
  }
  if (role_ == Role::kLeader) StepDown("another holds a newer term");
  role_ = Role::kFollower;
  durable_.promised_term = m.term;
  heard_leader_ = now_;
  heard_any_ = true;
  SetLeader(from, m.term);
  ResetElectionTimer();
  others_have_all_ = m.flag;
  learners_.clear();
  for (const ReplicaId& member : m.others) {
    if (learners_.size() < kMostContacts) learners_.insert(member);
  }
  TryCommit(m.committed);
  if (!m.entry.empty() && m.entry[0].term == m.term && IdOf(m.entry[0]) > IdOf(durable_.accepted)) {
    durable_.accepted = m.entry[0];
    TryCommit(m.committed);
  }
  Flush();
  // An entry is answered when it is on disk.
  if (m.type == MessageType::kHeartbeat || OnDisk()) SendAck(m.round);
}

void Replica::Impl::SendAck(std::uint64_t round) {
  Message ack = Begin(MessageType::kAck);
  ack.term = leader_term_;
  ack.round = round;
  Send(leader_, ack);
}

bool Replica::Impl::OnDisk() const {
  return !unwritten_ && disk_promised_ == durable_.promised_term && disk_accepted_ == IdOf(durable_.accepted);
}

bool Replica::Impl::DiskOk() const {
  return !write_failed_ && (!writing_ || now_ - writing_since_ < kDiskSlow);
}

void Replica::Impl::Flush() {
  if (writing_ || OnDisk() || (write_failed_ && now_ < retry_at_)) return;
  writing_ = true;
  writing_since_ = now_;
  writing_promised_ = durable_.promised_term;
  writing_accepted_ = IdOf(durable_.accepted);
  sink_.Write(durable_, ++token_);
}

void Replica::Impl::OnWritten(Micros now, std::uint64_t token, bool ok) {
  now_ = std::max(now_, now);
  if (!writing_ || token != token_) return;
  writing_ = false;
  if (!ok) {
    if (!write_failed_) LOG(WARNING) << "consensus: a write failed";
    write_failed_ = true;
    retry_at_ = now_ + kDiskRetry;
    return;
  }
  if (write_failed_) LOG(INFO) << "consensus: writes succeed again";
  write_failed_ = false;
  unwritten_ = false;
  disk_promised_ = writing_promised_;
  const bool more = writing_accepted_ != disk_accepted_;
  disk_accepted_ = writing_accepted_;
  if (role_ == Role::kFollower && more && !leader_.empty() && durable_.promised_term == leader_term_)
    SendAck(0);
  AnswerPrepare();
  if (role_ == Role::kCandidate && !prepared_ && disk_promised_ >= term_) {
    prepared_ = true;
    granted_.insert({settings_.self, durable_.storage_id});
    SendPrepare();
    TryWin();
  }
  if (role_ == Role::kLeader) CountOwnVote();
  Flush();
}

// Told by a leader that `committed` is.
void Replica::Impl::TryCommit(EntryId committed) {
  if (committed == IdOf(durable_.accepted) && committed.term != 0 &&
      (!any_committed_ || committed > committed_))
    Commit();
}

void Replica::Impl::Commit() {
  committed_ = IdOf(durable_.accepted);
  const bool more = durable_.accepted.index > newest_.index;
  any_committed_ = true;
  newest_ = durable_.accepted;
  if (more) sink_.Apply(newest_);
}

void Replica::Impl::SetLeader(const ReplicaId& leader, std::uint64_t term) {
  if (leader == leader_ && (term == leader_term_ || leader.empty())) return;
  if (leader.empty()) lost_since_ = now_;
  leader_ = leader;
  leader_term_ = term;
  LOG(INFO) << "consensus: leader " << (leader.empty() ? "unknown" : leader) << ", term " << term;
  sink_.OnLeaderChange(leader_, term);
}

void Replica::Impl::ResetElectionTimer() {
  deadline_ = now_ + settings_.election_timeout + random_.Upto(settings_.election_timeout);
}

void Replica::Impl::OnTick(Micros now) {
  now_ = std::max(now_, now);
  Flush();
  if (role_ == Role::kLeader) {
    TickLeading();
  } else {
    TickElection();
  }
  TickMembership();
  Flush();
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
void Replica::Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state) {
  impl_->Propose(now, call, on_top_of, std::move(state));
}
void Replica::ConfirmLeadership(Micros now, std::uint64_t call) { impl_->ConfirmLeadership(now, call); }
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
