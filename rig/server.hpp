// Test application server on loopback. It speaks HTTP and Diameter, simulates cores, a queue and a cold
// start, deduplicates by idempotency key within its data centre, and injects scripted faults.
#ifndef MERLINRUN_RIG_SERVER_HPP_
#define MERLINRUN_RIG_SERVER_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/loop.hpp"
#include "diameter/application.hpp"
#include "diameter/io/connection.hpp"
#include "rig/invariant_checker.hpp"

namespace merlinrun::rig {

using Tcp = boost::asio::ip::tcp;

// Idempotency keys shared by the servers of a data centre.
struct DataCentre {
  std::string name;
  Micros window = 12'000'000;
  struct Seen {
    Micros at = 0;
    std::string token;
  };
  std::unordered_map<std::string, Seen> keys;
};

struct ServerOptions {
  std::string id;
  int cores = 4;
  double speed = 1;
  std::size_t queue = 64;        // queued requests; further ones are declined
  std::size_t connections = 76;  // further ones are closed at once
  Micros cold_start_time = 0;    // warm-up time after a start; 0: warm at once
  double cold_share = 0.32;
  double overload_factor =
      4;  // multiple of its capacity during `overload_window` that overloads a cold server
  Micros overload_window = 2'000'000;
};

class Server {
 public:
  // Fault injected instead of a normal response.
  enum class Fault {
    kNone,
    kCrash,        // the process dies with this and all other active requests
    kNoResponse,   // accepts the request and never responds
    kError,        // executes it and responds with an error
    kDecline,      // does not execute it
    kWrongAnswer,  // executes it and responds with ids that match no request
    kGarbage,      // executes it and responds with invalid bytes
    kTruncate,     // executes it and closes the connection after half a response
  };
  using Script = std::function<Fault(const std::string& id, const std::string& class_name)>;

  Server(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker, DataCentre& centre,
         const std::vector<TrafficClass>& classes, const diameter::Application& application,
         ServerOptions options);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Simulates a crash: resets connections, refuses new ones, drops active requests.
  void Crash();
  bool dead() const { return dead_; }
  // Restarts at once, cold, with the same id and addresses.
  void Restart();
  // Sends a Disconnect-Peer-Request to its Diameter peers.
  void Disconnect(diameter::DisconnectCause cause);
  // Opens a Diameter connection to a sidecar.
  void ConnectTo(const Tcp::endpoint& sidecar);

  void set_script(Script script) { script_ = std::move(script); }
  void set_unresponsive(bool unresponsive) {
    unresponsive_ = unresponsive;
  }  // Diameter: answers base messages such as watchdogs, but no application requests

  const ServerOptions& options() const { return options_; }
  const DataCentre& centre() const { return centre_; }
  Tcp::endpoint http() const { return http_address_; }
  Tcp::endpoint diameter() const { return diameter_address_; }
  std::int64_t started_ms() const { return started_ / 1000; }
  std::uint64_t arrived() const { return arrived_; }
  std::uint64_t watchdogs() const { return watchdogs_; }
  std::size_t connections() const { return http_.size() + diameter_.size(); }
  // Received Diameter base protocol messages.
  const std::vector<diameter::Message>& base_messages() const { return base_messages_; }

 private:
  struct Work;
  class HttpSession;
  class DiameterSession;

  void Listen();
  void AcceptHttp();
  void AcceptDiameter();
  void Handle(std::shared_ptr<Work> work);
  void Run(const std::shared_ptr<Work>& work);
  void Finish(const std::shared_ptr<Work>& work);
  void TrackColdLoad(const Work& work);
  double WarmupFactor() const;

  boost::asio::io_context& io_;
  core::Loop& loop_;
  InvariantChecker& checker_;
  DataCentre& centre_;
  const std::vector<TrafficClass>& classes_;
  const diameter::Application& application_;
  const ServerOptions options_;
  diameter::Identity identity_;
  Script script_;
  bool unresponsive_ = false;
  bool dead_ = false;
  std::uint64_t life_ = 0;
  Micros started_ = 0;
  Tcp::endpoint http_address_;
  Tcp::endpoint diameter_address_;
  std::unique_ptr<Tcp::acceptor> http_acceptor_;
  std::unique_ptr<Tcp::acceptor> diameter_acceptor_;
  std::map<std::uint64_t, std::shared_ptr<HttpSession>> http_;
  std::map<std::uint64_t, std::shared_ptr<DiameterSession>> diameter_;
  std::uint64_t last_session_ = 0;
  std::uint64_t last_token_ = 0;
  int busy_ = 0;
  std::deque<std::shared_ptr<Work>> queue_;
  std::vector<std::shared_ptr<Work>> running_;
  std::deque<std::pair<Micros, Micros>> cold_load_;  // arrival and service time of requests while cold
  Micros cold_load_sum_ = 0;
  std::uint64_t arrived_ = 0;
  std::uint64_t watchdogs_ = 0;
  std::vector<diameter::Message> base_messages_;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_SERVER_HPP_
