// A stand-in application server: slots and a short queue, beats to its own machine's sidecar, and three ends:
// by order, by death, by the end of the rig.
#ifndef FENNELHOLLOW_RIG_MESH_SERVER_HPP_
#define FENNELHOLLOW_RIG_MESH_SERVER_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig {

// Which requests servers have run, and how often: by Attempt-Id.
using Runs = std::map<std::string, int>;

class Server : public std::enable_shared_from_this<Server> {
 public:
  struct Options {
    std::string id, service;
    Address address;
    Address control;  // of its own machine: where its beats go
    int slots = 8, queue = 8;
    int connections = 100;
    milliseconds beat{500}, drain{1000};
    milliseconds least_work{5}, most_work{20};
  };
  struct Counters {
    std::uint64_t ran = 0, not_executed = 0, wrong_instance = 0, beats_failed = 0;
  };
  // Throws boost::system::system_error if the address can't be listened on. `runs` must outlive it.
  Server(asio::io_context& io, Options options, Runs& runs);
  void Start();
  // Says that it drains, serves on for a while, departs, ends.
  void Drain() { draining_ = true; }
  // At once: connections are reset, what it works on is never answered, nobody is told.
  void Die();
  // Runs take so many times as long from now on.
  void SlowDown(int times) { slow_down_ = times; }
  const Counters& counters() const { return counters_; }
  const Options& options() const { return options_; }

  // What a whole answer to this request holds.
  static std::string Body(const std::string& id) { return "ran " + id + std::string(200, '.'); }
  static std::string Seal(const std::string& id) { return "seal." + id; }

 private:
  using Stream = std::shared_ptr<beast::tcp_stream>;
  static asio::awaitable<void> Accept(std::shared_ptr<Server> self);
  static asio::awaitable<void> Serve(std::shared_ptr<Server> self, Stream stream);
  static asio::awaitable<void> Beat(std::shared_ptr<Server> self);
  asio::awaitable<Response> Answer(const Request& request);
  std::string Report();

  asio::io_context& io_;
  const Options options_;
  Runs& runs_;
  Tcp::acceptor acceptor_;
  std::set<Stream> streams_;
  std::mt19937 random_{7};
  std::uint64_t sequence_ = 0;
  int busy_ = 0, waiting_ = 0;
  int slow_down_ = 1;
  bool draining_ = false, ended_ = false;
  asio::steady_timer room_;  // one of those that wait is woken by each end
  Counters counters_;
};

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_SERVER_HPP_
