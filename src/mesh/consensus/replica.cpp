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
  return e.voters.size() == e.voter_stores.size() && e.previous_voters.size() == e.previous_stores.size() &&
         !e.voters.empty() && e.state.size() <= kMostState;
}

}  // namespace

bool HasQuorum(const Entry& entry, const Votes& votes, bool joint) {
  return Majority(entry.voters, entry.voter_stores, votes) &&
         (!joint || entry.previous_voters.empty() ||
          Majority(entry.previous_voters, entry.previous_stores, votes));
}

bool IsVoter(const Entry& entry, const ReplicaId& member, std::uint64_t store) {
  for (std::size_t i = 0; i < entry.voters.size(); ++i) {
    if (entry.voters[i] == member) return entry.voter_stores[i] == store;
  }
  return false;
}

Replica::Impl::Impl(const ReplicaSettings& settings, Micros now, Sink& sink)
    : settings_(settings), sink_(sink), random_(settings.seed ^ merlinrun::HashOf(settings.self)), now_(now) {
  const auto& founders = settings_.founders;
  if (settings_.stored.has_value()) {
    durable_ = *settings_.stored;
    disk_promised_ = durable_.promised;
    disk_accepted_ = IdOf(durable_.accepted);
  } else if (settings_.first_start && std::count(founders.begin(), founders.end(), settings_.self) > 0) {
    durable_.accepted.voters = founders;
    std::sort(durable_.accepted.voters.begin(), durable_.accepted.voters.end());
    durable_.accepted.voter_stores.assign(founders.size(), 0);
    unwritten_ = true;
  } else {
    durable_.store = std::max<std::uint64_t>(settings_.incarnation, 1);
  }
  SetContacts(settings_.contacts);
  lost_since_ = now_;
  // Nobody has been heard, so there is less to wait for than after a leader's last heartbeat.
  deadline_ = now_ + settings_.election_timeout / 4 + random_.Upto(settings_.election_timeout);
}

void Replica::Impl::SetContacts(std::vector<ReplicaId> contacts) {
  if (contacts.size() > kMostContacts) contacts.resize(kMostContacts);
  contacts_ = {contacts.begin(), contacts.end()};
}

void Replica::Impl::Learn(const std::vector<ReplicaId>& members) {
  for (const ReplicaId& member : members) {
    if (learned_.size() >= kMostContacts && learned_.count(member) == 0) learned_.clear();
    learned_.insert(member);
  }
}

std::vector<ReplicaId> Replica::Impl::known() const {
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
  for (const ReplicaId& member : known()) all.insert(member);
  if (!leader_.empty()) all.insert(leader_);
  all.erase(settings_.self);
  return all;
}

Message Replica::Impl::Begin(Kind kind) const {
  Message m;
  m.kind = kind;
  m.incarnation = settings_.incarnation;
  m.store = durable_.store;
  m.promised = durable_.promised;
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
    ++unreadable_;
    return;
  }
  const Message& m = *read;
  highest_seen_ = std::max({highest_seen_, m.promised, m.term});
  switch (m.kind) {
    case Kind::kHeartbeat:
    case Kind::kAccept:
      OnLeaderMessage(from, m);
      break;
    case Kind::kAck:
      OnAck(from, m);
      break;
    case Kind::kPreVote:
      OnPreVote(from, m);
      break;
    case Kind::kPreVoteAnswer:
      OnPreVoteAnswer(from, m);
      break;
    case Kind::kPrepare:
      OnPrepare(from, m);
      break;
    case Kind::kPromise:
      OnPromise(from, m);
      break;
    case Kind::kTakeOver:
      OnTakeOver(from, m);
      break;
    case Kind::kJoin:
      OnJoin(from, m);
      break;
    case Kind::kLeave:
      OnLeave(from, m);
      break;
    case Kind::kContacts:
      OnContacts(m);
      break;
    default:
      ++unreadable_;
      break;
  }
  Flush();
}

// A heartbeat, or an entry to accept.
void Replica::Impl::OnLeaderMessage(const ReplicaId& from, const Message& m) {
  if (m.term < durable_.promised || (role_ == Role::kLeader && m.term == term_)) {
    Message nack = Begin(Kind::kAck);
    nack.term = m.term;
    Send(from, nack);
    return;
  }
  if (role_ == Role::kLeader) StepDown("another holds a newer term");
  role_ = Role::kFollower;
  durable_.promised = m.term;
  heard_leader_ = now_;
  heard_any_ = true;
  SetLeader(from, m.term);
  ResetElectionTimer();
  others_have_all_ = m.yes;
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
  if (m.kind == Kind::kHeartbeat || OnDisk()) SendAck(m.round);
}

void Replica::Impl::SendAck(std::uint64_t round) {
  Message ack = Begin(Kind::kAck);
  ack.term = leader_term_;
  ack.round = round;
  Send(leader_, ack);
}

bool Replica::Impl::OnDisk() const {
  return !unwritten_ && disk_promised_ == durable_.promised && disk_accepted_ == IdOf(durable_.accepted);
}

bool Replica::Impl::DiskOk() const {
  return !write_failed_ && (!writing_ || now_ - writing_since_ < kDiskSlow);
}

void Replica::Impl::Flush() {
  if (writing_ || OnDisk() || (write_failed_ && now_ < retry_at_)) return;
  writing_ = true;
  writing_since_ = now_;
  writing_promised_ = durable_.promised;
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
  if (role_ == Role::kFollower && more && !leader_.empty() && durable_.promised == leader_term_) SendAck(0);
  AnswerPrepare();
  if (role_ == Role::kCandidate && !prepared_ && disk_promised_ >= term_) {
    prepared_ = true;
    granted_.insert({settings_.self, durable_.store});
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
  const bool more = durable_.accepted.number > newest_.number;
  any_committed_ = true;
  newest_ = durable_.accepted;
  if (more) sink_.Deliver(newest_);
}

void Replica::Impl::SetLeader(const ReplicaId& leader, std::uint64_t term) {
  if (leader == leader_ && (term == leader_term_ || leader.empty())) return;
  if (leader.empty()) lost_since_ = now_;
  leader_ = leader;
  leader_term_ = term;
  LOG(INFO) << "consensus: leader " << (leader.empty() ? "unknown" : leader) << ", term " << term;
  sink_.OnLeader(leader_, term);
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
void Replica::SetContacts(std::vector<ReplicaId> contacts) { impl_->SetContacts(std::move(contacts)); }
void Replica::Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state) {
  impl_->Propose(now, call, on_top_of, std::move(state));
}
void Replica::Confirm(Micros now, std::uint64_t call) { impl_->Confirm(now, call); }
void Replica::TransferLeadership(Micros now) { impl_->TransferLeadership(now); }
void Replica::Leave(Micros now) { impl_->Leave(now); }
bool Replica::MayEnd(Micros) const { return impl_->MayEnd(); }
void Replica::OnRefused(Micros now, const ReplicaId& peer) { impl_->OnRefused(now, peer); }
bool Replica::in_contact() const { return impl_->in_contact(); }
bool Replica::leads() const { return impl_->leads(); }
const ReplicaId& Replica::leader() const { return impl_->leader(); }
std::uint64_t Replica::term() const { return impl_->term(); }
const Entry& Replica::newest() const { return impl_->newest(); }
bool Replica::busy() const { return impl_->busy(); }
std::vector<ReplicaId> Replica::known() const { return impl_->known(); }
std::uint64_t Replica::unreadable() const { return impl_->unreadable(); }

}  // namespace fennelhollow::consensus
