// Several sidecar processes and test servers in two or three zones. Each sidecar has its own discovery,
// clients and a fault proxy to every server. One invariant checker covers all of them.
#ifndef MERLINRUN_RIG_CLUSTER_CLUSTER_HPP_
#define MERLINRUN_RIG_CLUSTER_CLUSTER_HPP_

#include <chrono>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/cluster/fault_proxy.hpp"
#include "rig/cluster/report_network.hpp"
#include "rig/process.hpp"
#include "rig/test_environment.hpp"

namespace merlinrun::rig {

struct ClusterOptions {
  int sidecars = 8;
  int servers = 12;
  int clients = 3;         // per sidecar, each with one active request
  Micros pause = 30'000;   // of a client after each response
  std::uint64_t seed = 1;  // of traffic classes and report faults
  int zones = 2;
  bool peer_reports = false;  // sidecars exchange zone health by datagrams
  // Datagrams go directly between sidecars, without the ReportNetwork and its socket for each pair.
  bool direct_reports = false;
  ServerOptions server;
};

class Cluster {
 public:
  Cluster(const std::string& program, const ClusterOptions& options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  TestEnvironment& env() { return env_; }
  std::size_t size() const { return nodes_.size(); }
  // Sets the mode of the proxies from one sidecar, or from all, to the servers of a zone.
  void SetLinks(std::size_t sidecar, const DataCentre& zone, FaultProxy::Mode mode);
  void SetLinks(const DataCentre& zone, FaultProxy::Mode mode);
  ReportNetwork& report_network() {
    return *report_network_;
  }  // only with peer reports through the test network
  // Updates the server's lifecycle in every sidecar's discovery.
  void SetLifecycle(const Server& server, const std::string& lifecycle);
  void Signal(std::size_t sidecar, int signal) const;
  // Replaces the operator's zone overrides of all sidecars and reloads them.
  void SetZoneOverrides(const std::string& text) const;
  // Kills the sidecar with SIGKILL and crashes its clients, like a power loss of the machine; Start restarts
  // both.
  void Kill(std::size_t sidecar);
  void Start(std::size_t sidecar);
  bool Runs(std::size_t sidecar) const;

  // The last trace line as JSON; null before the first.
  nlohmann::json Trace(std::size_t sidecar) const;
  // The sidecar's stage of a zone, "" before its first request to it; and its number of stage changes.
  std::string Stage(std::size_t sidecar, const DataCentre& zone) const;
  std::uint64_t Epoch(std::size_t sidecar) const;
  // Number of sidecars that have the zone in this stage.
  std::size_t Count(const DataCentre& zone, const std::string& stage) const;
  // Number of sidecars that have ejected the zone (or only probe it), and that use it.
  std::size_t Ejected(const DataCentre& zone) const { return Count(zone, "left") + Count(zone, "on-trial"); }
  std::size_t InUse(const DataCentre& zone) const {
    return Count(zone, "returning") + Count(zone, "serving");
  }
  // Connections accepted by the proxies to a zone.
  std::uint64_t Accepted(const DataCentre& zone) const;

  // Stops the traffic; true once all clients have received their last response.
  bool StopTraffic();
  // Violations and overdue responses, one line each.
  std::string Violations();

 private:
  struct Node;
  nlohmann::json ConfigOf(std::size_t sidecar) const;

  const std::string program_;
  const ClusterOptions options_;
  TestEnvironment env_;
  TrafficGenerator traffic_;
  std::unique_ptr<ReportNetwork> report_network_;
  std::vector<std::string> peers_;  // report addresses for direct_reports
  std::vector<std::unique_ptr<Node>> nodes_;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_CLUSTER_CLUSTER_HPP_
