// The control plane of one core, without I/O: the replicated configuration, operators' calls, and publishing
// to sidecars. Driven by the process (node/core) or, in virtual time, by the simulation (rig/sim).
//
// Single-threaded. Times are microseconds of the host's steady clock.
#ifndef FENNELHOLLOW_MESH_CONTROL_CONTROL_REPLICA_HPP_
#define FENNELHOLLOW_MESH_CONTROL_CONTROL_REPLICA_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mesh/configuration/configuration.hpp"
#include "mesh/consensus/replica.hpp"
#include "mesh/control/call_forwarder.hpp"
#include "mesh/control/configuration_service.hpp"
#include "mesh/push/events.hpp"
#include "mesh/push/publisher.hpp"

namespace fennelhollow::control {

// Implemented by the process. No function may call back into ControlReplica before it returns.
class ControlReplicaHost {
 public:
  using SidecarLink = push::Publisher::LinkId;

  virtual ~ControlReplicaHost() = default;
  virtual Micros Now() const = 0;
  // Sends to OnPeerFrame of another core. False if not connected; a frame that was sent may still be lost.
  virtual bool SendToPeer(const ReplicaId& to, std::string_view frame) = 0;
  virtual void SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& update) = 0;
  virtual void SendRecords(SidecarLink link, const push::ServerRecords& records) = 0;
  virtual void CloseSidecar(SidecarLink link) = 0;
  // Writes to disk and syncs, then calls OnWritten(token, ok). At most one write is in progress.
  virtual void Write(const consensus::PersistentState& durable, std::uint64_t token) = 0;
  // Runs `work` on another thread, then `done` on the event loop, with an error if `work` threw. False if the
  // queue is full; neither is called.
  virtual bool RunInBackground(std::function<void()> work, std::function<void(const absl::Status&)> done) = 0;
  // The address of another core for operators' calls; empty if unknown.
  virtual std::string ControlAddress(const ReplicaId& core) const = 0;
  // Runs `next` in a later iteration of the event loop, unless the ControlReplica is destroyed before.
  virtual void Post(std::function<void()> next) = 0;
};

class ControlReplica : private consensus::Sink,
                       private push::Publisher::Sink,
                       private ConfigurationServiceHost,
                       private CallForwarderHost {
 public:
  using SidecarLink = push::Publisher::LinkId;

  struct Settings {
    ReplicaId self;
    std::uint64_t incarnation = 1;  // random, new at each start
    quota::QuotaBounds quota;
  };

  // `host` must outlive it.
  ControlReplica(ControlReplicaHost& host, const Settings& settings);
  ~ControlReplica() override = default;

  // To be called once the persisted state has been read; no calls are served before. Sets `self` and
  // `incarnation` of `replica`.
  void Start(consensus::ReplicaSettings replica);
  bool started() const { return replica_ != nullptr; }

  void OnPeerFrame(const ReplicaId& from, std::string_view frame);
  void OnPeerDown(const ReplicaId& peer);
  void OnWritten(std::uint64_t token, bool ok);
  void OnSidecarReport(SidecarLink link, const push::SidecarReport& report);
  void OnSidecarDown(SidecarLink link);
  // What this core remembered of draining and departed servers before its start. Sidecars get no records
  // before.
  void RestoreTombstones(const std::vector<registry::Server>& servers) {
    publisher_.RestoreTombstones(host_.Now(), servers);
  }
  void OnTombstonesWritten(std::uint64_t version) { publisher_.OnTombstonesWritten(version); }
  // This core has lost its disk, and with it tombstones.
  void SetDiskLost() { publisher_.SetDiskLost(); }
  void OnTick();
  // Handles an operator's call. Calls `reply` exactly once, within a second.
  void Submit(CallKind kind, std::string body, std::function<void(Response)> reply);
  void SetSeedPeers(std::vector<ReplicaId> seed_peers);
  // The host of `peer` refused a connection, so its process is down.
  void OnPeerConnectionRefused(const ReplicaId& peer);
  // Transfers leadership and the vote to other cores, before the process shuts down. ReadyForShutdown returns
  // true once that is done or no other core can take them.
  void PrepareShutdown();
  bool ReadyForShutdown() const;

  bool IsLeader() const override { return replica_ && replica_->is_leader(); }
  bool HasPendingCalls() const { return !service_.empty() || !forwarder_.empty(); }
  // False while idle; OnTick may then be called less often.
  bool NeedsFrequentTicks() const;

  const consensus::Replica* replica() const { return replica_.get(); }  // null before Start
  // The last committed entry, without its state.
  const consensus::Entry& committed_entry() const { return committed_entry_; }
  const configuration::ReplicatedState& replicated_state() const { return *replicated_state_; }
  const push::Publisher& publisher() const { return publisher_; }
  push::EventLog& events() { return events_; }
  const ConfigurationService::Counters& service_counters() const { return service_.counters(); }
  const CallForwarder::Counters& forwarder_counters() const { return forwarder_.counters(); }
  std::uint64_t malformed_frames() const { return malformed_frames_; }

 private:
  // consensus::Sink. These must not call back into the replica, so such work is deferred (deferred_).
  void Send(const ReplicaId& to, std::string message) override;
  void Write(const consensus::PersistentState& durable, std::uint64_t token) override {
    host_.Write(durable, token);
  }
  void Apply(const consensus::Entry& entry) override;
  void OnRequestDone(std::uint64_t request_id, consensus::Outcome outcome) override;
  void OnLeaderChange(const ReplicaId& leader, std::uint64_t term) override;

  // push::Publisher::Sink
  void Send(SidecarLink link, const push::CoreUpdate& update) override {
    host_.SendToSidecars({link}, update);
  }
  void SendAll(const std::vector<SidecarLink>& links, const push::CoreUpdate& update) override {
    host_.SendToSidecars(links, update);
  }
  void SendRecords(SidecarLink link, const push::ServerRecords& records) override {
    host_.SendRecords(link, records);
  }
  void Close(SidecarLink link) override { host_.CloseSidecar(link); }

  // ConfigurationServiceHost
  std::uint64_t CommittedIndex() const override { return committed_entry_.index; }
  std::string ConfigurationText() const override;
  bool EvaluateChange(std::uint64_t request_id, bool modify,
                      std::shared_ptr<const std::string> body) override;
  void Propose(std::uint64_t request_id, std::uint64_t base_index, std::string state) override;
  void ConfirmLeadership(std::uint64_t request_id) override;
  bool IsAppliedBySidecars(std::uint64_t index) const override;

  // CallForwarderHost
  ReplicaId KnownLeader() const override;
  void Serve(Call call) override;
  bool IsPartitioned() const override;
  std::optional<Response> RedirectToPeer(CallKind kind) override;
  bool SendCall(const ReplicaId& to, const ForwardedCall& call) override;
  void SendResponse(const ReplicaId& to, const ForwardedResponse& response) override;

  // Calls into the replica, then runs the deferred work. Propose and ConfirmLeadership instead schedule the
  // deferred work, as ConfigurationService must not be called back before it returns.
  void RunOnReplica(const std::function<void()>& step);
  void RunDeferred();
  void ScheduleDeferred();
  void OnCommitted(const consensus::Entry& entry);
  void ApplyState(const consensus::Entry& entry);
  void UpdateLeadership();

  ControlReplicaHost& host_;
  const Settings settings_;
  std::unique_ptr<consensus::Replica> replica_;
  std::deque<std::function<void()>> deferred_;  // by the callbacks of consensus::Sink
  bool running_deferred_ = false;
  push::Publisher publisher_;
  ConfigurationService service_;
  CallForwarder forwarder_;
  push::EventLog events_;
  push::SnapshotWatcher snapshot_watcher_;
  consensus::Entry committed_entry_;
  std::string committed_state_;  // state of committed_entry_
  std::string sidecar_state_;    // the part of it that sidecars need
  std::shared_ptr<const configuration::ReplicatedState> replicated_state_ =
      std::make_shared<const configuration::ReplicatedState>();
  bool was_leader_ = false;
  Micros last_connected_at_ = 0;  // to a leader, or as the leader; initially the start
  std::size_t redirect_count_ = 0;
  std::uint64_t malformed_frames_ = 0;
};

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_CONTROL_REPLICA_HPP_
