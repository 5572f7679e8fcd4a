// A core process of the simulation: control::ControlReplica over a simulated network and disk.
#ifndef FENNELHOLLOW_RIG_SIM_CORE_PROCESS_HPP_
#define FENNELHOLLOW_RIG_SIM_CORE_PROCESS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.hpp"
#include "mesh/control/control_replica.hpp"
#include "rig/sim/disk.hpp"
#include "rig/sim/network.hpp"

namespace fennelhollow::sim {

class CoreProcess : public Network::Process, private control::ControlReplicaHost {
 public:
  struct Settings {
    Address self;
    std::uint64_t incarnation = 1;
    std::vector<Address> seeds;
    bool first_start = false;
    Micros shutdown_timeout = 3 * kSecond;
  };
  struct Events {
    std::function<void(const CoreProcess&)> on_step;  // an entry may have been committed
    std::function<void()> on_ended;                   // shutdown after Terminate is complete
  };

  // All references must outlive this object.
  CoreProcess(EventQueue& events, Network& network, Disk& disk, Settings settings, Events observer);

  void Terminate();  // Handles SIGTERM.
  void Submit(control::CallKind kind, std::string body, std::function<void(control::Response)> reply);

  const control::ControlReplica& replica() const { return replica_; }
  const Address& address() const { return settings_.self; }
  std::uint64_t incarnation() const { return settings_.incarnation; }

  // Network::Process
  void OnAccepted(Network::LinkId link, const Address& from) override;
  void OnUp(Network::LinkId link) override;
  void OnFrame(Network::LinkId link, const std::string& frame) override;
  void OnDown(Network::LinkId link, bool refused) override;

 private:
  struct Peer {
    Network::LinkId link = 0;  // 0: none
    bool up = false;
    Micros up_at = 0;
    Micros retry_at = 0;
  };

  // control::ControlReplicaHost
  Micros Now() const override { return events_.now(); }
  bool SendToPeer(const consensus::ReplicaId& to, std::string_view frame) override;
  void SendToSidecars(const std::vector<SidecarLink>& links, const push::CoreUpdate& update) override;
  void SendRecords(SidecarLink link, const push::ServerRecords& records) override;
  void CloseSidecar(SidecarLink link) override;
  void Write(const consensus::PersistentState& state, std::uint64_t token) override;
  bool RunInBackground(std::function<void()> work, std::function<void(const absl::Status&)> done) override;
  std::string ControlAddress(const consensus::ReplicaId& core) const override { return core; }
  void Post(std::function<void()> next) override;

  void RunAt(Micros when, std::function<void()> what);
  void Open();
  void Tick();
  void ExitIfDone();
  void DialPeer(const Address& to, Peer& peer);
  void OnPeerDown(const Address& to, Peer& peer, bool refused);
  void NotifyObserver() { observer_.on_step(*this); }

  EventQueue& events_;
  Network& network_;
  Disk& disk_;
  const Settings settings_;
  const Events observer_;
  merlinrun::Random random_;
  std::map<Address, Peer> peers_;
  std::map<Network::LinkId, Address> incoming_;
  control::ControlReplica replica_;
  Micros terminated_at_ = -1;
  bool ended_ = false;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_CORE_PROCESS_HPP_
