// A stand-in activation server on loopback. It speaks HTTP and Diameter, has cores, a queue and a cold start,
// drops repeats together with the others of its data centre, and does what a script says at the worst moment.
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
#include "rig/ledger.hpp"

namespace merlinrun::rig {

using Tcp = boost::asio::ip::tcp;

// What a data centre's servers remember of keys.
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
  std::size_t queue = 64;        // requests that wait; one more is declined
  std::size_t connections = 76;  // one more is closed at once
  Micros cold_for = 0;           // since it started; 0 = warm at once
  double cold_share = 0.32;
  double overload_factor = 4;  // more than so many times its capacity for `fall_window`, and it falls over
  Micros fall_window = 2'000'000;
};

class Server {
 public:
  // What it does with a request instead of serving it.
  enum class Fault {
    kNone,
    kDie,          // with the request begun, and all others that it holds
    kSilence,      // takes it and never answers
    kError,        // runs it and says that it failed
    kDecline,      // does not run it
    kWrongAnswer,  // runs it and answers with ids of no request of its connection
    kGarbage,      // runs it and answers with noise
    kCut,          // runs it and closes the connection with half an answer sent
  };
  using Script = std::function<Fault(const std::string& id, const std::string& class_name)>;

  Server(boost::asio::io_context& io, core::Loop& loop, Ledger& ledger, DataCentre& centre,
         const std::vector<WorkClass>& classes, const diameter::Application& application,
         ServerOptions options);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // The process dies: connections are reset, new ones refused, what it held is gone.
  void Die();
  bool dead() const { return dead_; }
  // It starts anew at once, cold, under the same name and at the same addresses.
  void Restart();
  // Asks its Diameter peers to part.
  void Part(diameter::DisconnectCause cause);
  // Its Diameter side opens a connection to a sidecar.
  void ConnectTo(const Tcp::endpoint& sidecar);

  void set_script(Script script) { script_ = std::move(script); }
  void set_mute(bool mute) { mute_ = mute; }  // Diameter: answers no request, watchdogs all the same

  const ServerOptions& options() const { return options_; }
  const DataCentre& centre() const { return centre_; }
  Tcp::endpoint http() const { return http_address_; }
  Tcp::endpoint diameter() const { return diameter_address_; }
  std::int64_t started_ms() const { return started_ / 1000; }
  std::uint64_t arrived() const { return arrived_; }
  std::uint64_t watchdogs() const { return watchdogs_; }
  std::size_t connections() const { return http_.size() + diameter_.size(); }
  // Messages of its Diameter side that were no request of the application, by command, for tests.
  const std::vector<diameter::Message>& heard() const { return heard_; }

 private:
  struct Work;
  class HttpSession;
  class DiameterSession;

  void Listen();
  void AcceptHttp();
  void AcceptDiameter();
  void Take(std::shared_ptr<Work> work);
  void Run(const std::shared_ptr<Work>& work);
  void Finish(const std::shared_ptr<Work>& work);
  void Bear(const Work& work);
  double Warmth() const;

  boost::asio::io_context& io_;
  core::Loop& loop_;
  Ledger& ledger_;
  DataCentre& centre_;
  const std::vector<WorkClass>& classes_;
  const diameter::Application& application_;
  const ServerOptions options_;
  diameter::Identity identity_;
  Script script_;
  bool mute_ = false;
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
  std::deque<std::pair<Micros, Micros>> borne_;  // arrival and work, while it is cold
  Micros borne_work_ = 0;
  std::uint64_t arrived_ = 0;
  std::uint64_t watchdogs_ = 0;
  std::vector<diameter::Message> heard_;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_SERVER_HPP_
