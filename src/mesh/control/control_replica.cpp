#include "mesh/control/control_replica.hpp"

#include <absl/cleanup/cleanup.h>
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
enum class PeerFrame : char { kConsensus = 0, kCall = 1, kResponse = 2 };

// Without a leader for this long, this core is assumed to be partitioned, as an election takes less time.
constexpr Micros kPartitionTimeout = 1'500'000;

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

push::Publisher::Settings PublisherSettings(const ControlReplica::Settings& settings) {
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

std::vector<ReplicaId> Without(const std::vector<ReplicaId>& all, const std::vector<ReplicaId>& removed) {
  std::vector<ReplicaId> out;
  std::set_difference(all.begin(), all.end(), removed.begin(), removed.end(), std::back_inserter(out));
  return out;
}

}  // namespace

ControlReplica::ControlReplica(ControlReplicaHost& host, const Settings& settings)
    : host_(host),
      settings_(settings),
      publisher_(host.Now(), PublisherSettings(settings), *this),
      service_(*this, {}),
      forwarder_(*this, {}),
      events_(settings.incarnation, host.Now()),
      last_connected_at_(host.Now()) {}

void ControlReplica::Start(consensus::ReplicaSettings replica) {
  replica.self = settings_.self;
  replica.incarnation = settings_.incarnation;
  consensus::Sink& sink = *this;
  replica_ = std::make_unique<consensus::Replica>(replica, host_.Now(), sink);
  RunDeferred();
}

// ---- consensus

void ControlReplica::Send(const ReplicaId& to, std::string message) {
  message.insert(message.begin(), static_cast<char>(PeerFrame::kConsensus));
  host_.SendToPeer(to, message);
}

void ControlReplica::Apply(const Entry& entry) {
  deferred_.emplace_back([this, entry] { OnCommitted(entry); });
}

void ControlReplica::OnRequestDone(std::uint64_t request_id, Outcome outcome) {
  deferred_.emplace_back(
      [this, request_id, outcome] { service_.OnOutcome(host_.Now(), request_id, outcome); });
}

void ControlReplica::OnLeaderChange(const ReplicaId& leader, std::uint64_t term) {
  events_.Add(host_.Now(), push::LeaderEvent{leader, term});
  if (!leader.empty())
    deferred_.emplace_back([this, leader] { forwarder_.OnLeaderChange(host_.Now(), leader); });
}

void ControlReplica::RunOnReplica(const std::function<void()>& step) {
  if (!replica_) return;
  step();
  RunDeferred();
}

void ControlReplica::RunDeferred() {
  if (running_deferred_) return;
  running_deferred_ = true;
  absl::Cleanup finished = [this] { running_deferred_ = false; };
  while (!deferred_.empty()) {
    const std::function<void()> next = std::move(deferred_.front());
    deferred_.pop_front();
    next();
    if (deferred_.empty()) UpdateLeadership();
  }
  UpdateLeadership();
  std::move(finished).Invoke();
  ScheduleDeferred();
}

void ControlReplica::ScheduleDeferred() {
  if (!deferred_.empty() && !running_deferred_) host_.Post([this] { RunDeferred(); });
}

void ControlReplica::UpdateLeadership() {
  if (IsLeader() == was_leader_) return;
  was_leader_ = !was_leader_;
  publisher_.SetIsLeader(host_.Now(), was_leader_);
  service_.OnLeadership(host_.Now());
}

void ControlReplica::OnCommitted(const Entry& entry) {
  const std::vector<ReplicaId> joined = Without(entry.voters, committed_entry_.voters);
  const std::vector<ReplicaId> left = Without(committed_entry_.voters, entry.voters);
  for (const ReplicaId& voter : joined) LOG(INFO) << "member in: " << voter << ", entry " << entry.index;
  for (const ReplicaId& voter : left) LOG(INFO) << "member out: " << voter << ", entry " << entry.index;
  if (!joined.empty() || !left.empty())
    events_.Add(host_.Now(), push::VotersEvent{entry.voters, entry.index});
  if (entry.state != committed_state_) ApplyState(entry);
  committed_entry_.term = entry.term;
  committed_entry_.index = entry.index;
  committed_entry_.voters = entry.voters;
  if (!committed_state_.empty()) publisher_.SetState(host_.Now(), entry.index, sidecar_state_);
}

void ControlReplica::ApplyState(const Entry& entry) {
  auto parsed_state = configuration::ReplicatedState::Parse(entry.state);
  if (!parsed_state.ok()) {  // keeps the previous state
    LOG(ERROR) << "entry " << entry.index << " can't be read: " << parsed_state.status();
    return;
  }
  replicated_state_ = std::make_shared<const configuration::ReplicatedState>(*std::move(parsed_state));
  committed_state_ = entry.state;
  sidecar_state_ = replicated_state_->WithoutAppliedCalls().Serialize();
  LOG(INFO) << "entry " << entry.index << " committed, version " << replicated_state_->newest().version();
  events_.Add(host_.Now(), push::ConfigurationEvent{replicated_state_->newest().version(), entry.index});
  const auto tables = configuration::RoutingTables::Build(replicated_state_->newest());
  if (tables.ok()) publisher_.SetLimits(host_.Now(), LimitsOf(**tables));
}

void ControlReplica::OnWritten(std::uint64_t token, bool ok) {
  RunOnReplica([&] { replica_->OnWritten(host_.Now(), token, ok); });
  if (!ok && IsLeader()) RunOnReplica([&] { replica_->TransferLeadership(host_.Now()); });
}

void ControlReplica::PrepareShutdown() {
  RunOnReplica([&] { replica_->PrepareShutdown(host_.Now()); });
}

bool ControlReplica::ReadyForShutdown() const { return !replica_ || replica_->ReadyForShutdown(host_.Now()); }

void ControlReplica::OnPeerConnectionRefused(const ReplicaId& peer) {
  RunOnReplica([&] { replica_->OnConnectionRefused(host_.Now(), peer); });
}

void ControlReplica::SetSeedPeers(std::vector<ReplicaId> seed_peers) {
  if (replica_) replica_->SetSeedPeers(std::move(seed_peers));
}

// ---- messages

void ControlReplica::OnPeerFrame(const ReplicaId& from, std::string_view frame) {
  if (frame.empty()) {
    ++malformed_frames_;
    return;
  }
  const std::string_view payload = frame.substr(1);
  switch (static_cast<PeerFrame>(frame.front())) {
    case PeerFrame::kConsensus:
      return RunOnReplica([&] { replica_->OnMessage(host_.Now(), from, std::string(payload)); });
    case PeerFrame::kCall:
      if (auto call = transport::Unpack<ForwardedCall>(payload); call.ok())
        return forwarder_.OnCall(host_.Now(), from, *std::move(call));
      break;
    case PeerFrame::kResponse:
      if (auto response = transport::Unpack<ForwardedResponse>(payload); response.ok())
        return forwarder_.OnResponse(host_.Now(), from, *std::move(response));
      break;
  }
  ++malformed_frames_;  // perhaps from another program version, so the link is kept
}

void ControlReplica::OnPeerDown(const ReplicaId& peer) { forwarder_.OnPeerDown(host_.Now(), peer); }

void ControlReplica::OnSidecarReport(SidecarLink link, const push::SidecarReport& report) {
  publisher_.OnReport(host_.Now(), link, report);
  service_.OnSidecarAck(host_.Now());
}

void ControlReplica::OnSidecarDown(SidecarLink link) { publisher_.OnLinkDown(host_.Now(), link); }

void ControlReplica::OnTick() {
  const Micros now = host_.Now();
  RunOnReplica([&] { replica_->OnTick(now); });
  if (replica_ && replica_->is_connected()) last_connected_at_ = now;
  service_.OnTick(now);
  publisher_.OnTick(now);
  snapshot_watcher_.OnSnapshot(now, publisher_.snapshot(), events_);
  if (replica_) publisher_.SetCores(replica_->known_replicas(), replica_->leader(), replica_->is_connected());
  forwarder_.OnTick(now);
}

bool ControlReplica::NeedsFrequentTicks() const {
  return !replica_ || replica_->leader().empty() || replica_->replicating() || HasPendingCalls() ||
         publisher_.Subscribers() > 0;
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
  return replica_ && !replica_->is_connected() && host_.Now() - last_connected_at_ >= kPartitionTimeout;
}

std::optional<Response> ControlReplica::RedirectToPeer(CallKind kind) {
  if (!replica_) return std::nullopt;
  std::vector<ReplicaId> others = replica_->known_replicas();
  std::erase(others, settings_.self);
  if (others.empty()) return std::nullopt;
  const std::string address = host_.ControlAddress(others[redirect_count_++ % others.size()]);
  if (address.empty()) return std::nullopt;
  return RedirectResponse(address, PathOf(kind));
}

bool ControlReplica::SendCall(const ReplicaId& to, const ForwardedCall& call) {
  return host_.SendToPeer(to, Frame(PeerFrame::kCall, call));
}

void ControlReplica::SendResponse(const ReplicaId& to, const ForwardedResponse& response) {
  host_.SendToPeer(to, Frame(PeerFrame::kResponse, response));
}

void ControlReplica::Serve(Call call) {
  const Micros now = host_.Now();
  const CallKind kind = call.kind;
  const Micros deadline = call.deadline;
  const auto body = call.body;
  // Leadership was lost: retries from the event loop, as this may be called by service_.
  auto done = [this, served = std::make_shared<Call>(std::move(call))](std::optional<Response> response) {
    if (response || served->forwarded) return served->done(std::move(response));
    host_.Post([this, served] { forwarder_.Retry(host_.Now(), std::move(*served)); });
  };
  if (kind == CallKind::kRead) return service_.Read(now, deadline, std::move(done));
  service_.Submit(now, deadline, kind == CallKind::kModify, body, std::move(done));
}

std::string ControlReplica::ConfigurationText() const {
  return replicated_state_->newest().version() > 0 ? replicated_state_->newest().text() : std::string();
}

bool ControlReplica::EvaluateChange(std::uint64_t request_id, bool modify,
                                    std::shared_ptr<const std::string> body) {
  const auto result = std::make_shared<configuration::ChangeResult>();
  return host_.RunInBackground(
      [parsed_state = replicated_state_, modify, body = std::move(body), result] {
        *result = parsed_state->Evaluate(modify, *body);
        const bool accepted = result->kind == configuration::ChangeResult::Kind::kAccepted;
        if (!accepted || result->next_state.size() <= CallForwarder::Limits{}.max_call_bytes) return;
        result->kind = configuration::ChangeResult::Kind::kInvalid;  // would exceed the frame size
        result->error = "the configuration would be too large";
      },
      [this, request_id, result](const absl::Status& ran) {
        // Not evaluated, for want of memory for example: answered 503, so that the operator repeats the call.
        if (!ran.ok()) *result = {configuration::ChangeResult::Kind::kUnknown, {}, {}};
        service_.OnChangeResult(host_.Now(), request_id, std::move(*result));
      });
}

void ControlReplica::Propose(std::uint64_t request_id, std::uint64_t base_index, std::string state) {
  replica_->Propose(host_.Now(), request_id, base_index, std::move(state));
  ScheduleDeferred();
}

void ControlReplica::ConfirmLeadership(std::uint64_t request_id) {
  replica_->ConfirmLeadership(host_.Now(), request_id);
  ScheduleDeferred();
}

bool ControlReplica::IsAppliedBySidecars(std::uint64_t index) const {
  const Micros now = host_.Now();
  return publisher_.ActiveSidecarsWith(now, index) >= publisher_.ActiveSidecars(now);
}

}  // namespace fennelhollow::control
