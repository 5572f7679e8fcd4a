#include "mesh/consensus/order.hpp"

#include <glog/logging.h>

#include <algorithm>

#include "mesh/consensus/impl.hpp"

namespace fennelhollow::consensus {

namespace {

bool Majority(const std::vector<MemberId>& members, const std::vector<std::uint64_t>& stores,
              const Votes& votes) {
  std::size_t have = 0;
  for (std::size_t i = 0; i < members.size(); ++i) have += votes.count({members[i], stores[i]});
  return have * 2 > members.size();
}

bool Wellformed(const Entry& e) {
  return e.members.size() == e.stores.size() && e.before.size() == e.before_stores.size() &&
         !e.members.empty() && e.state.size() <= kMostState;
}

}  // namespace

bool HasQuorum(const Entry& entry, const Votes& votes, bool joint) {
  return Majority(entry.members, entry.stores, votes) &&
         (!joint || entry.before.empty() || Majority(entry.before, entry.before_stores, votes));
}

bool IsVoter(const Entry& entry, const MemberId& member, std::uint64_t store) {
  for (std::size_t i = 0; i < entry.members.size(); ++i) {
    if (entry.members[i] == member) return entry.stores[i] == store;
  }
  return false;
}

Order::Impl::Impl(const OrderSettings& settings, Micros now, Sink& sink)
    : settings_(settings), sink_(sink), random_(settings.seed ^ merlinrun::HashOf(settings.self)), now_(now) {
  const auto& founders = settings_.founders;
  if (settings_.stored.has_value()) {
    mind_ = *settings_.stored;
    disk_promised_ = mind_.promised;
    disk_accepted_ = StampOf(mind_.accepted);
  } else if (settings_.first_start && std::count(founders.begin(), founders.end(), settings_.self) > 0) {
    mind_.accepted.members = founders;
    std::sort(mind_.accepted.members.begin(), mind_.accepted.members.end());
    mind_.accepted.stores.assign(founders.size(), 0);
    unwritten_ = true;
  } else {
    mind_.store = std::max<std::uint64_t>(settings_.life, 1);
  }
  SetContacts(settings_.contacts);
  lost_since_ = now_;
  // Nobody has been heard, so there is less to wait for than after a holder's last beat.
  deadline_ = now_ + settings_.patience / 4 + random_.Upto(settings_.patience);
}

void Order::Impl::SetContacts(std::vector<MemberId> contacts) {
  if (contacts.size() > kMostContacts) contacts.resize(kMostContacts);
  contacts_ = {contacts.begin(), contacts.end()};
}

void Order::Impl::Learn(const std::vector<MemberId>& members) {
  for (const MemberId& member : members) {
    if (learned_.size() >= kMostContacts && learned_.count(member) == 0) learned_.clear();
    learned_.insert(member);
  }
}

std::vector<MemberId> Order::Impl::known() const {
  std::set<MemberId> all(mind_.accepted.members.begin(), mind_.accepted.members.end());
  all.insert(mind_.accepted.before.begin(), mind_.accepted.before.end());
  all.insert(newest_.members.begin(), newest_.members.end());
  all.insert(learners_.begin(), learners_.end());
  if (role_ == Role::kHolder) {
    for (const auto& [member, peer] : peers_) all.insert(member);
  }
  return {all.begin(), all.end()};
}

std::set<MemberId> Order::Impl::Others() const {
  std::set<MemberId> all = contacts_;
  all.insert(learned_.begin(), learned_.end());
  for (const MemberId& member : known()) all.insert(member);
  if (!holder_.empty()) all.insert(holder_);
  all.erase(settings_.self);
  return all;
}

Message Order::Impl::Begin(Kind kind) const {
  Message m;
  m.kind = kind;
  m.life = settings_.life;
  m.store = mind_.store;
  m.promised = mind_.promised;
  m.accepted = disk_accepted_;
  m.held = StampOf(mind_.accepted);
  m.settled = settled_;
  m.holder = holder_;
  return m;
}

void Order::Impl::Send(const MemberId& to, const Message& message) {
  if (to != settings_.self) sink_.Send(to, transport::Pack(message));
}

void Order::Impl::OnMessage(Micros now, const MemberId& from, const std::string& bytes) {
  now_ = std::max(now_, now);
  const auto read = transport::Unpack<Message>(bytes);
  if (!read.ok() || from == settings_.self || read->entry.size() > 1 ||
      (read->entry.size() == 1 && !Wellformed(read->entry[0]))) {
    ++unreadable_;
    return;
  }
  const Message& m = *read;
  highest_seen_ = std::max({highest_seen_, m.promised, m.epoch});
  switch (m.kind) {
    case Kind::kBeat:
    case Kind::kAccept:
      OnHolderMessage(from, m);
      break;
    case Kind::kAck:
      OnAck(from, m);
      break;
    case Kind::kAskVote:
      OnAskVote(from, m);
      break;
    case Kind::kVote:
      OnVote(from, m);
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
    case Kind::kView:
      OnView(m);
      break;
    default:
      ++unreadable_;
      break;
  }
  Flush();
}

// A beat, or an entry to accept.
void Order::Impl::OnHolderMessage(const MemberId& from, const Message& m) {
  if (m.epoch < mind_.promised || (role_ == Role::kHolder && m.epoch == epoch_)) {
    Message nack = Begin(Kind::kAck);
    nack.epoch = m.epoch;
    Send(from, nack);
    return;
  }
  if (role_ == Role::kHolder) StepDown("another holds a newer epoch");
  role_ = Role::kFollower;
  mind_.promised = m.epoch;
  heard_holder_ = now_;
  heard_any_ = true;
  SetHolder(from, m.epoch);
  Rest();
  learners_.clear();
  for (const MemberId& member : m.others) {
    if (learners_.size() < kMostContacts) learners_.insert(member);
  }
  TrySettle(m.settled);
  if (!m.entry.empty() && m.entry[0].epoch == m.epoch && StampOf(m.entry[0]) > StampOf(mind_.accepted)) {
    mind_.accepted = m.entry[0];
    TrySettle(m.settled);
  }
  Flush();
  // An entry is answered when it is on disk.
  if (m.kind == Kind::kBeat || OnDisk()) SendAck(m.round);
}

void Order::Impl::SendAck(std::uint64_t round) {
  Message ack = Begin(Kind::kAck);
  ack.epoch = holder_epoch_;
  ack.round = round;
  Send(holder_, ack);
}

bool Order::Impl::OnDisk() const {
  return !unwritten_ && disk_promised_ == mind_.promised && disk_accepted_ == StampOf(mind_.accepted);
}

bool Order::Impl::DiskOk() const {
  return !write_failed_ && (!writing_ || now_ - writing_since_ < kDiskSlow);
}

void Order::Impl::Flush() {
  if (writing_ || OnDisk() || (write_failed_ && now_ < retry_at_)) return;
  writing_ = true;
  writing_since_ = now_;
  writing_promised_ = mind_.promised;
  writing_accepted_ = StampOf(mind_.accepted);
  sink_.Write(mind_, ++token_);
}

void Order::Impl::OnWritten(Micros now, std::uint64_t token, bool ok) {
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
  if (role_ == Role::kFollower && more && !holder_.empty() && mind_.promised == holder_epoch_) SendAck(0);
  AnswerPrepare();
  if (role_ == Role::kCandidate && !prepared_ && disk_promised_ >= epoch_) {
    prepared_ = true;
    asked_.insert({settings_.self, mind_.store});
    SendPrepare();
    TryWin();
  }
  if (role_ == Role::kHolder) CountOwnVote();
  Flush();
}

// Told by a holder that `settled` is.
void Order::Impl::TrySettle(Stamp settled) {
  if (settled == StampOf(mind_.accepted) && settled.epoch != 0 && (!any_settled_ || settled > settled_))
    Settle();
}

void Order::Impl::Settle() {
  settled_ = StampOf(mind_.accepted);
  const bool more = mind_.accepted.number > newest_.number;
  any_settled_ = true;
  newest_ = mind_.accepted;
  if (more) sink_.Deliver(newest_);
}

void Order::Impl::SetHolder(const MemberId& holder, std::uint64_t epoch) {
  if (holder == holder_ && (epoch == holder_epoch_ || holder.empty())) return;
  if (holder.empty()) lost_since_ = now_;
  holder_ = holder;
  holder_epoch_ = epoch;
  LOG(INFO) << "consensus: holder " << (holder.empty() ? "unknown" : holder) << ", epoch " << epoch;
  sink_.OnHolder(holder_, epoch);
}

void Order::Impl::Rest() { deadline_ = now_ + settings_.patience + random_.Upto(settings_.patience); }

void Order::Impl::OnTick(Micros now) {
  now_ = std::max(now_, now);
  Flush();
  if (role_ == Role::kHolder) {
    TickHolding();
  } else {
    TickElection();
  }
  TickMembership();
  Flush();
}

Order::Order(const OrderSettings& settings, Micros now, Sink& sink)
    : impl_(std::make_unique<Impl>(settings, now, sink)) {}
Order::~Order() = default;
void Order::OnMessage(Micros now, const MemberId& from, const std::string& message) {
  impl_->OnMessage(now, from, message);
}
void Order::OnWritten(Micros now, std::uint64_t token, bool ok) { impl_->OnWritten(now, token, ok); }
void Order::OnTick(Micros now) { impl_->OnTick(now); }
void Order::SetContacts(std::vector<MemberId> contacts) { impl_->SetContacts(std::move(contacts)); }
void Order::Propose(Micros now, std::uint64_t call, std::uint64_t on_top_of, std::string state) {
  impl_->Propose(now, call, on_top_of, std::move(state));
}
void Order::Confirm(Micros now, std::uint64_t call) { impl_->Confirm(now, call); }
void Order::HandOver(Micros now) { impl_->HandOver(now); }
bool Order::holds() const { return impl_->holds(); }
const MemberId& Order::holder() const { return impl_->holder(); }
std::uint64_t Order::epoch() const { return impl_->epoch(); }
const Entry& Order::newest() const { return impl_->newest(); }
bool Order::busy() const { return impl_->busy(); }
std::vector<MemberId> Order::known() const { return impl_->known(); }
std::uint64_t Order::unreadable() const { return impl_->unreadable(); }

}  // namespace fennelhollow::consensus
