// Test application server with slots and a short queue that sends heartbeats to the sidecar of its node. It
// can drain or crash.
#ifndef FENNELHOLLOW_RIG_MESH_SERVER_HPP_
#define FENNELHOLLOW_RIG_MESH_SERVER_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig {

inline constexpr std::string_view kStallSuffix = "/stall";

// Number of executions by Attempt-Id, over all servers.
using ExecutionCounts = std::map<std::string, int>;

class Server : public std::enable_shared_from_this<Server> {
 public:
  struct Options {
    std::string id, service;
    Address address;
    Address control;  // of its own node, for heartbeats
    int slots = 8, queue = 8;
    int connections = 100;
    milliseconds heartbeat_interval{500}, drain_time{1000};
    milliseconds min_service_time{5}, max_service_time{20};
    milliseconds min_slow_time{1000}, max_slow_time{4000};  // of slow requests; see SetSlowShare
    std::size_t padding_bytes = 0;                          // of each response's body, in addition
    // Of the body of a response to a target that ends with kStallSuffix: the rest never comes. 0: no such.
    std::size_t stall_after_bytes = 0;
  };
  struct Counters {
    std::uint64_t executed = 0, not_executed = 0, wrong_instance = 0, heartbeats_failed = 0;
  };
  // Throws boost::system::system_error if it can't listen on the address. `runs` must outlive it.
  Server(asio::io_context& io, Options options, ExecutionCounts& runs);
  void Start();
  // Reports draining, keeps serving for a while, deregisters and stops.
  void Drain() { draining_ = true; }
  // Simulates a crash: resets connections, never answers active requests, does not deregister.
  void Crash();
  // Multiplies the service time from now on.
  void SlowDown(int times) { slowdown_ = times; }
  // Share of the requests that are slow from now on.
  void SetSlowShare(double share) { slow_share_ = share; }
  const Counters& counters() const { return counters_; }
  const Options& options() const { return options_; }

  // Body and Server-Seal of the response to this request.
  static std::string Body(const std::string& id) { return "ran " + id + std::string(200, '.'); }
  static std::string Seal(const std::string& id) { return "seal." + id; }

 private:
  using Stream = std::shared_ptr<beast::tcp_stream>;
  static asio::awaitable<void> Accept(std::shared_ptr<Server> self);
  static asio::awaitable<void> Serve(std::shared_ptr<Server> self, Stream stream);
  static asio::awaitable<void> SendHeartbeats(std::shared_ptr<Server> self);
  asio::awaitable<Response> HandleRequest(const Request& request);
  milliseconds DrawServiceTime();
  std::string HeartbeatBody();

  asio::io_context& io_;
  const Options options_;
  ExecutionCounts& runs_;
  Tcp::acceptor acceptor_;
  std::set<Stream> streams_;
  std::mt19937 random_{7};
  std::uint64_t sequence_ = 0;
  int busy_ = 0, waiting_ = 0;
  int slowdown_ = 1;
  double slow_share_ = 0;
  bool draining_ = false, ended_ = false;
  asio::steady_timer slot_available_;  // wakes one waiting request for each finished one
  Counters counters_;
};

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_SERVER_HPP_
