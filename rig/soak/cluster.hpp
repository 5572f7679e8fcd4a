// The nodes of a soak run: cores, sidecars with a test server beside each, and the network between them.
#ifndef FENNELHOLLOW_RIG_SOAK_CLUSTER_HPP_
#define FENNELHOLLOW_RIG_SOAK_CLUSTER_HPP_

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rig/mesh/node_process.hpp"
#include "rig/mesh/server.hpp"
#include "rig/mesh/shop.hpp"
#include "rig/soak/consistency_checker.hpp"
#include "rig/soak/relay_network.hpp"

namespace fennelhollow::rig::soak {

class Cluster {
 public:
  struct Options {
    std::string program;
    std::uint64_t seed = 1;
    std::size_t cores = 4;
    std::size_t sidecars = 6;
    int grace_period_s = 6;
  };

  Cluster(asio::io_context& io, Options options, ConsistencyChecker& checker);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // False if ports, the directory or a process are not available.
  bool Start();
  std::size_t cores() const { return options_.cores; }
  std::size_t sidecars() const { return options_.sidecars; }
  std::size_t size() const { return nodes_.size(); }  // cores first, then sidecars
  NodeProcess& node(std::size_t machine) { return *nodes_[machine]; }
  NodeProcess& sidecar(std::size_t i) { return node(cores() + i); }
  RelayNetwork& network() { return *network_; }

  milliseconds grace_period() const { return std::chrono::seconds(options_.grace_period_s); }
  // Counts the starts of a node.
  int life(std::size_t machine) const { return lives_[machine]; }
  // False while a node is terminating or down.
  bool should_run(std::size_t machine) const { return should_run_[machine]; }
  // When this life of a node got SIGTERM.
  std::optional<Clock::time_point> terminated_at(std::size_t machine, int life) const;

  // Sends SIGTERM and returns the life that ends; call Kill, then Restart after it has ended.
  int Terminate(std::size_t machine);
  // Kills a process with SIGKILL; Restart starts it again.
  void Kill(std::size_t machine);
  void Restart(std::size_t machine);
  // Starts a node again while its predecessor, which has got SIGTERM, is ending. False if that failed.
  bool StartSuccessor(std::size_t machine);
  // To be called once the predecessor has ended.
  void AdoptSuccessor(std::size_t machine);
  // Crashes the server beside a sidecar and starts another one in its place.
  void ReplaceServer(std::size_t sidecar);
  void SlowDownServers(int times);
  // Share of slow requests at each server from now on.
  void SetSlowShare(double share);
  // Requests per second that all servers together can serve.
  double CapacityPerSecond() const;
  // Reports processes that exited on their own or exceed their memory limit as violations.
  void CheckProcesses();

  // The most that any process took when it was looked at.
  std::uint64_t highest_resident_bytes() const { return highest_resident_bytes_; }
  asio::awaitable<std::optional<nlohmann::json>> StatusOf(std::size_t machine);
  const ExecutionCounts& runs() const { return runs_; }
  // The end of each node's log.
  std::string Logs() const;

 private:
  void StartServer(std::size_t sidecar);
  void CheckMemory(const NodeProcess& node);

  asio::io_context& io_;
  const Options options_;
  ConsistencyChecker& checker_;
  std::filesystem::path folder_;
  std::vector<std::unique_ptr<NodeProcess>> nodes_;
  std::vector<bool> should_run_;  // by node; false while it is down by injection
  std::vector<int> lives_;        // by node
  std::map<std::pair<std::size_t, int>, Clock::time_point> terminations_;  // by node and life
  std::unique_ptr<RelayNetwork> network_;
  std::vector<std::shared_ptr<Server>> servers_;  // by sidecar
  int server_count_ = 0;
  std::uint64_t highest_resident_bytes_ = 0;
  int slowdown_ = 1;
  double slow_share_ = 0;
  ExecutionCounts runs_;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_CLUSTER_HPP_
