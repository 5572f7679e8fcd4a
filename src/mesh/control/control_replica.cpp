#include "mesh/control/control_replica.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "mesh/transport/codec.hpp"

namespace fennelhollow::control {

using consensus::Entry;
using consensus::Outcome;

namespace {

// The first byte of a frame between cores.
enum class PeerFrame : char { kConsensus = 0, kCall = 1, kAnswer = 2 };

// Without contact to a leader for so long, a caller is sent elsewhere: an election takes less, so this core
// is rather cut off.
constexpr Micros kRedirectAfter = 1'500'000;

std::string_view PathOf(CallKind kind) {
  switch (kind) {
    case CallKind::kReplace:
      return kReplacePath;
    case CallKind::kModify:
      return kModifyPath;
    case CallKind::kRead:
      break;
  }
  return kReadPath;
}

template <class T>
std::string Frame(PeerFrame kind, const T& value) {
  return static_cast<char>(kind) + transport::Pack(value);
}

push::Publisher::Settings HeraldSettings(const ControlReplica::Settings& settings) {
  push::Publisher::Settings out;
  out.address = settings.self;
  out.epoch = std::max<std::uint64_t>(settings.incarnation, 1);
  out.quota = settings.quota;
  return out;
}

std::map<std::string, quota::TenantLimit> LimitsOf(const configuration::RoutingTables& tables) {
  std::map<std::string, quota::TenantLimit> out;
  for (const configuration::Tenant& tenant : tables.tenants())
    out[tenant.name] = {tenant.rate_per_s, tenant.burst};
  return out;
}

std::vector<ReplicaId> Without(const std::vector<ReplicaId>& all, const std::vector<ReplicaId>& less) {
  std::vector<ReplicaId> out;
  std::set_difference(all.begin(), all.end(), less.begin(), less.end(), std::back_inserter(out));
  return out;
}

}  // namespace

ControlReplica::ControlReplica(ControlReplicaHost& host, const Settings& settings)
    : host_(host),
      settings_(settings),
      herald_(host.Now(), HeraldSettings(settings), *this),
      service_(*this, {}),
      forwarder_(*this, {}),
      events_(settings.incarnation, host.Now()),
      contact_at_(host.Now()) {}

void ControlReplica::Start(consensus::ReplicaSettings replica) {
  replica.self = settings_.self;
  replica.incarnation = settings_.incarnation;
  consensus::Sink& sink = *this;
  replica_ = std::make_unique<consensus::Replica>(replica, host_.Now(), sink);
  Drain();
}

// ---- the replica

void ControlReplica::Send(const ReplicaId& to, std::string message) {
  message.insert(message.begin(), static_cast<char>(PeerFrame::kConsensus));
  host_.SendToPeer(to, message);
}

void ControlReplica::Apply(const Entry& entry) {
  deferred_.emplace_back([this, entry] { OnDelivered(entry); });
}

void ControlReplica::OnRequestDone(std::uint64_t call, Outcome outcome) {
  deferred_.emplace_back([this, call, outcome] { service_.OnOutcome(host_.Now(), call, outcome); });
}

void ControlReplica::OnLeaderChange(const ReplicaId& leader, std::uint64_t term) {
  events_.Add(host_.Now(), push::LeaderEvent{leader, term});
  if (!leader.empty())
    deferred_.emplace_back([this, leader] { forwarder_.OnLeaderChange(host_.Now(), leader); });
}

void ControlReplica::Drive(const std::function<void()>& step) {
  if (!replica_) return;
  step();
  Drain();
}

void ControlReplica::Drain() {
  if (draining_) return;
  draining_ = true;
  while (!deferred_.empty()) {
    const std::function<void()> next = std::move(deferred_.front());
    deferred_.pop_front();
    next();
    if (deferred_.empty()) TellLeadership();
  }
  TellLeadership();
  draining_ = false;
  DrainLater();
}

void ControlReplica::DrainLater() {
  if (!deferred_.empty() && !draining_) host_.Post([this] { Drain(); });
}

void ControlReplica::TellLeadership() {
  if (IsLeader() == told_leads_) return;
  told_leads_ = !told_leads_;
  herald_.SetIsLeader(host_.Now(), told_leads_);
  service_.OnLeadership(host_.Now());
}

void ControlReplica::OnDelivered(const Entry& entry) {
  const std::vector<ReplicaId> joined = Without(entry.voters, entry_.voters);
  const std::vector<ReplicaId> left = Without(entry_.voters, entry.voters);
  for (const ReplicaId& voter : joined) LOG(INFO) << "member in: " << voter << ", entry " << entry.index;
  for (const ReplicaId& voter : left) LOG(INFO) << "member out: " << voter << ", entry " << entry.index;
  if (!joined.empty() || !left.empty())
    events_.Add(host_.Now(), push::VotersEvent{entry.voters, entry.index});
  if (entry.state != state_) TakeState(entry);
  entry_.term = entry.term;
  entry_.index = entry.index;
  entry_.voters = entry.voters;
  if (!state_.empty()) herald_.SetState(host_.Now(), entry.index, pushed_);
}

void ControlReplica::TakeState(const Entry& entry) {
  auto ledger = configuration::ReplicatedState::Parse(entry.state);
  if (!ledger.ok()) {  // what this core keeps is as good as it gets
    LOG(ERROR) << "entry " << entry.index << " can't be read: " << ledger.status();
    return;
  }
  ledger_ = std::make_shared<const configuration::ReplicatedState>(*std::move(ledger));
  state_ = entry.state;
  pushed_ = ledger_->WithoutAppliedCalls().Serialize();
  LOG(INFO) << "entry " << entry.index << " committed, version " << ledger_->newest().version();
  events_.Add(host_.Now(), push::ConfigurationEvent{ledger_->newest().version(), entry.index});
  const auto tables = configuration::RoutingTables::Build(ledger_->newest());
  if (tables.ok()) herald_.SetLimits(host_.Now(), LimitsOf(**tables));
}

void ControlReplica::OnWritten(std::uint64_t token, bool ok) {
  Drive([&] { replica_->OnWritten(host_.Now(), token, ok); });
  if (!ok && IsLeader()) Drive([&] { replica_->TransferLeadership(host_.Now()); });
}

void ControlReplica::PrepareShutdown() {
  Drive([&] { replica_->PrepareShutdown(host_.Now()); });
}

bool ControlReplica::ReadyForShutdown() const { return !replica_ || replica_->ReadyForShutdown(host_.Now()); }

void ControlReplica::OnPeerConnectionRefused(const ReplicaId& peer) {
  Drive([&] { replica_->OnConnectionRefused(host_.Now(), peer); });
}

void ControlReplica::SetSeedPeers(std::vector<ReplicaId> contacts) {
  if (replica_) replica_->SetSeedPeers(std::move(contacts));
}

// ---- messages

void ControlReplica::OnPeerFrame(const ReplicaId& from, std::string_view frame) {
  if (frame.empty()) {
    ++malformed_frames_;
    return;
  }
  const std::string_view rest = frame.substr(1);
  switch (static_cast<PeerFrame>(frame.front())) {
    case PeerFrame::kConsensus:
      return Drive([&] { replica_->OnMessage(host_.Now(), from, std::string(rest)); });
    case PeerFrame::kCall:
      if (auto call = transport::Unpack<ForwardedCall>(rest); call.ok())
        return forwarder_.OnCall(host_.Now(), from, *std::move(call));
      break;
    case PeerFrame::kAnswer:
      if (auto answer = transport::Unpack<ForwardedResponse>(rest); answer.ok())
        return forwarder_.OnResponse(host_.Now(), from, *std::move(answer));
      break;
  }
  ++malformed_frames_;  // of another version of this program, say: the rest of the link may be of use
}

void ControlReplica::OnPeerDown(const ReplicaId& peer) { forwarder_.OnPeerDown(host_.Now(), peer); }

void ControlReplica::OnSidecarReport(SidecarLink link, const push::SidecarReport& tell) {
  herald_.OnReport(host_.Now(), link, tell);
  service_.OnAcks(host_.Now());
}

void ControlReplica::OnSidecarDown(SidecarLink link) { herald_.OnLinkDown(host_.Now(), link); }

void ControlReplica::OnTick() {
  const Micros now = host_.Now();
  Drive([&] { replica_->OnTick(now); });
  if (replica_ && replica_->is_connected()) contact_at_ = now;
  service_.OnTick(now);
  herald_.OnTick(now);
  watch_.OnSnapshot(now, herald_.snapshot(), events_);
  if (replica_) herald_.SetCores(replica_->known_replicas(), replica_->leader(), replica_->is_connected());
  forwarder_.OnTick(now);
}

bool ControlReplica::NeedsFrequentTicks() const {
  return !replica_ || replica_->leader().empty() || replica_->replicating() || HasPendingCalls() ||
         herald_.Subscribers() > 0;
}

// ---- calls

void ControlReplica::Submit(CallKind kind, std::string body, std::function<void(Response)> reply) {
  forwarder_.Submit(host_.Now(), kind, std::move(body), std::move(reply));
}

ReplicaId ControlReplica::KnownLeader() const {
  const ReplicaId leader = replica_ ? replica_->leader() : ReplicaId();
  return leader == settings_.self ? ReplicaId() : leader;
}

bool ControlReplica::IsPartitioned() const {
  return replica_ && !replica_->is_connected() && host_.Now() - contact_at_ >= kRedirectAfter;
}

std::optional<Response> ControlReplica::RedirectToPeer(CallKind kind) {
  if (!replica_) return std::nullopt;
  std::vector<ReplicaId> others = replica_->known_replicas();
  std::erase(others, settings_.self);
  if (others.empty()) return std::nullopt;
  const std::string address = host_.ControlAddress(others[redirects_++ % others.size()]);
  if (address.empty()) return std::nullopt;
  return RedirectResponse(address, PathOf(kind));
}

bool ControlReplica::SendCall(const ReplicaId& to, const ForwardedCall& call) {
  return host_.SendToPeer(to, Frame(PeerFrame::kCall, call));
}

void ControlReplica::SendResponse(const ReplicaId& to, const ForwardedResponse& answer) {
  host_.SendToPeer(to, Frame(PeerFrame::kAnswer, answer));
}

void ControlReplica::Serve(Call call) {
  const Micros now = host_.Now();
  const CallKind kind = call.kind;
  const Micros deadline = call.deadline;
  const auto body = call.body;
  // Not leader any more: tried again in a later turn, as this may be called from inside the service.
  auto done = [this, served = std::make_shared<Call>(std::move(call))](std::optional<Response> answer) {
    if (answer || served->forwarded) return served->done(std::move(answer));
    host_.Post([this, served] { forwarder_.Retry(host_.Now(), std::move(*served)); });
  };
  if (kind == CallKind::kRead) return service_.Read(now, deadline, std::move(done));
  service_.Submit(now, deadline, kind == CallKind::kModify, body, std::move(done));
}

std::string ControlReplica::ConfigurationText() const {
  return ledger_->newest().version() > 0 ? ledger_->newest().text() : std::string();
}

bool ControlReplica::EvaluateChange(std::uint64_t call, bool modify,
                                    std::shared_ptr<const std::string> body) {
  const auto verdict = std::make_shared<configuration::ChangeResult>();
  return host_.RunInBackground(
      [ledger = ledger_, modify, body = std::move(body), verdict] {
        *verdict = ledger->Evaluate(modify, *body);
        const bool takes = verdict->kind == configuration::ChangeResult::Kind::kAccepted;
        if (!takes || verdict->next_state.size() <= CallForwarder::Limits{}.call_bytes) return;
        verdict->kind = configuration::ChangeResult::Kind::kInvalid;  // would not fit into a frame
        verdict->error = "the configuration would be too large";
      },
      [this, call, verdict] { service_.OnChangeResult(host_.Now(), call, std::move(*verdict)); });
}

void ControlReplica::Propose(std::uint64_t call, std::uint64_t on_top_of, std::string state) {
  replica_->Propose(host_.Now(), call, on_top_of, std::move(state));
  DrainLater();
}

void ControlReplica::ConfirmLeadership(std::uint64_t call) {
  replica_->ConfirmLeadership(host_.Now(), call);
  DrainLater();
}

bool ControlReplica::IsActiveOnSidecars(std::uint64_t number) const {
  const Micros now = host_.Now();
  return herald_.ActiveSidecarsWith(now, number) >= herald_.ActiveSidecars(now);
}

}  // namespace fennelhollow::control
