// The control-plane client of a sidecar in the simulation: push::Client over the simulated network.
#ifndef FENNELHOLLOW_RIG_SIM_SIDECAR_PROCESS_HPP_
#define FENNELHOLLOW_RIG_SIM_SIDECAR_PROCESS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "mesh/push/client.hpp"
#include "rig/sim/network.hpp"

namespace fennelhollow::sim {

class SidecarProcess : public Network::Process, private push::Client::Sink {
 public:
  // `on_state`: a newer committed state (configuration::ReplicatedState) was applied.
  SidecarProcess(EventQueue& events, Network& network, Address self, std::uint64_t incarnation,
                 std::vector<Address> seeds,
                 std::function<void(std::uint64_t entry, const std::string& state)> on_state);

  std::uint64_t entry() const { return client_.entry(); }
  // For messages: its subscription and the cores that it hears and knows.
  std::string DebugString() const;

  // Network::Process
  void OnAccepted(Network::LinkId, const Address&) override {}
  void OnUp(Network::LinkId link) override;
  void OnFrame(Network::LinkId link, const std::string& frame) override;
  void OnDown(Network::LinkId link, bool refused) override;

 private:
  // push::Client::Sink
  void Send(const std::string& address, const push::SidecarReport& report) override;
  void OnState(std::uint64_t entry, const std::string& committed_state) override {
    on_state_(entry, committed_state);
  }
  void OnSnapshot(const registry::Snapshot&, std::size_t, std::size_t) override {}
  void OnShares(const std::vector<quota::Share>&, Micros) override {}
  void OnCores(const std::vector<std::string>&) override {}

  void Tick();
  void UpdateLinks();
  const Address* CoreFor(Network::LinkId link) const;

  EventQueue& events_;
  Network& network_;
  const Address self_;
  const std::uint64_t incarnation_;
  const std::function<void(std::uint64_t, const std::string&)> on_state_;
  push::Client client_;
  std::map<Address, Network::LinkId> links_;
};

}  // namespace fennelhollow::sim

#endif  // FENNELHOLLOW_RIG_SIM_SIDECAR_PROCESS_HPP_
