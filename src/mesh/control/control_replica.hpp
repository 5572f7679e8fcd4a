// One core's control plane without its I/O: the replicated state, operators' calls on it, and its push to
// the sidecars. The owner brings messages, ends of disk writes and ticks; a simulation does it in virtual
// time (rig/sim), a process over sockets (node/core).
//
// Threading: one thread. Time: the host's steady clock, in microseconds.
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

// What the control replica needs of its process. None of these may call back into it before it returns.
class ControlReplicaHost {
 public:
  using SidecarLink = push::Publisher::LinkId;

  virtual ~ControlReplicaHost() = default;
  virtual Micros Now() const = 0;
  // To another core's OnPeerFrame; false: there is no way now. May be lost all the same.
  virtual bool SendToPeer(const ReplicaId& to, std::string_view frame) = 0;
  virtual void SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& news) = 0;
  virtual void CloseSidecar(SidecarLink link) = 0;
  // Writes and syncs, then OnWritten(token, ok). One is out at a time.
  virtual void Write(const consensus::PersistentState& durable, std::uint64_t token) = 0;
  // Calls `work` beside the loop, then `done` in a turn of it. False, and neither is called: no room.
  virtual bool RunInBackground(std::function<void()> work, std::function<void()> done) = 0;
  // The address at which operators reach another core; empty: not known.
  virtual std::string ControlAddress(const ReplicaId& core) const = 0;
  // Calls `next` in a later turn, unless the control replica is gone by then.
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
    std::uint64_t incarnation = 1;  // drawn at random at each start of the process
    quota::QuotaBounds quota;
  };

  // `host` must outlive it.
  ControlReplica(ControlReplicaHost& host, const Settings& settings);
  ~ControlReplica() override = default;

  // Once the disk has been read; before that there is no leader and nothing is served. `self` and
  // `incarnation` of `replica` are set here.
  void Start(consensus::ReplicaSettings replica);
  bool started() const { return replica_ != nullptr; }

  void OnPeerFrame(const ReplicaId& from, std::string_view frame);
  void OnPeerDown(const ReplicaId& peer);
  void OnWritten(std::uint64_t token, bool ok);
  void OnSidecarReport(SidecarLink link, const push::SidecarReport& tell);
  void OnSidecarDown(SidecarLink link);
  void OnTick();
  // An operator's call; `reply` is called once, within a second.
  void Submit(CallKind kind, std::string body, std::function<void(Response)> reply);
  // The settings file names others now.
  void SetSeedPeers(std::vector<ReplicaId> contacts);
  // The machine of `peer` refuses connections: no process of a core runs there.
  void OnPeerConnectionRefused(const ReplicaId& peer);
  // This process is about to end (SIGTERM): its leadership and its vote go to others; ReadyForShutdown once
  // they have, or nobody is there to take them.
  void PrepareShutdown();
  bool ReadyForShutdown() const;

  bool IsLeader() const override { return replica_ && replica_->is_leader(); }
  bool HasPendingCalls() const { return !service_.empty() || !forwarder_.empty(); }
  // Something is due sooner than at rest.
  bool NeedsFrequentTicks() const;

  const consensus::Replica* replica() const { return replica_.get(); }  // null before Start
  const consensus::Entry& committed_entry() const { return entry_; }    // committed last; without its state
  const configuration::ReplicatedState& replicated_state() const { return *ledger_; }
  const push::Publisher& publisher() const { return herald_; }
  push::EventLog& events() { return events_; }
  const ConfigurationService::Counters& service_counters() const { return service_.counters(); }
  const CallForwarder::Counters& forwarder_counters() const { return forwarder_.counters(); }
  std::uint64_t malformed_frames() const { return malformed_frames_; }

 private:
  // consensus::Sink: none of these may come back into the replica, so what would is done after its function
  // has returned.
  void Send(const ReplicaId& to, std::string message) override;
  void Write(const consensus::PersistentState& durable, std::uint64_t token) override {
    host_.Write(durable, token);
  }
  void Apply(const consensus::Entry& entry) override;
  void OnRequestDone(std::uint64_t call, consensus::Outcome outcome) override;
  void OnLeaderChange(const ReplicaId& leader, std::uint64_t term) override;

  // push::Herald::Sink
  void Send(SidecarLink link, const push::CoreUpdate& news) override { host_.SendToSidecars({link}, news); }
  void SendAll(const std::vector<SidecarLink>& links, const push::CoreUpdate& news) override {
    host_.SendToSidecars(links, news);
  }
  void Close(SidecarLink link) override { host_.CloseSidecar(link); }

  // ConfigurationServiceHost
  std::uint64_t CommittedIndex() const override { return entry_.index; }
  std::string ConfigurationText() const override;
  bool EvaluateChange(std::uint64_t call, bool modify, std::shared_ptr<const std::string> body) override;
  void Propose(std::uint64_t call, std::uint64_t on_top_of, std::string state) override;
  void ConfirmLeadership(std::uint64_t call) override;
  bool IsActiveOnSidecars(std::uint64_t number) const override;

  // CallForwarderHost
  ReplicaId KnownLeader() const override;
  void Serve(Call call) override;
  bool IsPartitioned() const override;
  std::optional<Response> RedirectToPeer(CallKind kind) override;
  bool SendCall(const ReplicaId& to, const ForwardedCall& call) override;
  void SendResponse(const ReplicaId& to, const ForwardedResponse& answer) override;

  // Every call into the replica goes through here, but for those that the configuration service makes: the
  // replica may be done with them before it returns, and the service isn't to hear of that before it has
  // returned itself.
  void Drive(const std::function<void()>& step);
  void Drain();
  void DrainLater();
  void OnDelivered(const consensus::Entry& entry);
  void TakeState(const consensus::Entry& entry);
  void TellLeadership();

  ControlReplicaHost& host_;
  const Settings settings_;
  std::unique_ptr<consensus::Replica> replica_;
  std::deque<std::function<void()>> deferred_;  // of the replica; drained after each call into it
  bool draining_ = false;
  push::Publisher herald_;
  ConfigurationService service_;
  CallForwarder forwarder_;
  push::EventLog events_;
  push::SnapshotWatcher watch_;
  consensus::Entry entry_;
  std::string state_;   // of the entry
  std::string pushed_;  // of it, what sidecars need
  std::shared_ptr<const configuration::ReplicatedState> ledger_ =
      std::make_shared<const configuration::ReplicatedState>();
  bool told_leads_ = false;
  Micros contact_at_ = 0;  // when it was last in contact with a leader, or led; or began
  std::size_t redirects_ = 0;
  std::uint64_t malformed_frames_ = 0;
};

}  // namespace fennelhollow::control

#endif  // FENNELHOLLOW_MESH_CONTROL_CONTROL_REPLICA_HPP_
