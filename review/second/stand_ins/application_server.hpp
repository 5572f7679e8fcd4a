// Stand-in of an application server as PROTOCOL.md describes it: slots and a queue, heartbeats to the sidecar
// of its machine, Expected-Instance, Not-Executed, Server-Seal, health probes. It can lose answers that it
// has worked out, send a heartbeat late, and depart without draining; from then on it says Connection: close.
#ifndef SECOND_REVIEW_STAND_INS_APPLICATION_SERVER_HPP_
#define SECOND_REVIEW_STAND_INS_APPLICATION_SERVER_HPP_

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "rig/mesh/http.hpp"

namespace review {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using fennelhollow::rig::Address;
using fennelhollow::rig::milliseconds;
using fennelhollow::rig::Request;
using fennelhollow::rig::Response;

struct ServerOptions {
  std::string id, service;
  Address address;
  Address control;  // of the sidecar on its machine
  int slots = 18, queue = 72;
  milliseconds work_time{20}, heartbeat_interval{1500};
  std::size_t body_bytes = 200;
};

// What a server tells of its work on one request.
struct ServerObserver {
  std::function<void(const std::string& id, const Request& request)> on_begin = [](auto&, auto&) {};
  // `sent_whole`: the answer was written to its end.
  std::function<void(const std::string& id, bool sent_whole)> on_end = [](auto&, bool) {};
};

class ApplicationServer : public std::enable_shared_from_this<ApplicationServer> {
 public:
  ApplicationServer(asio::io_context& io, ServerOptions options, ServerObserver observer);
  void Start();
  void Stop();
  // From now on it loses the answers of this share of the requests that it runs: their connections stay
  // silent.
  void LoseAnswers(double share) { lost_share_ = share; }
  // Sends no further heartbeat, departs without a word of draining, and serves on until Stop. True if it was
  // acknowledged.
  asio::awaitable<bool> Depart();
  // Sends a heartbeat of now that comes late by `delay`.
  static asio::awaitable<void> SendLateHeartbeat(std::shared_ptr<ApplicationServer> self, milliseconds delay);
  bool stopped() const { return stopped_; }
  int at_work() const { return at_work_; }
  std::uint64_t answers_lost() const { return answers_lost_; }
  const ServerOptions& options() const { return options_; }

  static std::string Seal(const std::string& id) { return "seal." + id; }

 private:
  using Stream = std::shared_ptr<beast::tcp_stream>;
  static asio::awaitable<void> Accept(std::shared_ptr<ApplicationServer> self);
  static asio::awaitable<void> Serve(std::shared_ptr<ApplicationServer> self, Stream stream);
  static asio::awaitable<void> SendHeartbeats(std::shared_ptr<ApplicationServer> self);
  bool IsFull() const { return at_work_ >= options_.slots && waiting_ >= options_.queue; }
  // Waits in the queue for a slot; false if the server has stopped meanwhile.
  asio::awaitable<bool> TakeSlot();
  void FreeSlot();
  // Answers one request; false if the connection can't be used any more.
  asio::awaitable<bool> Answer(const Stream& stream, const Request& request);
  asio::awaitable<bool> LoseAnswer(const Stream& stream, const std::string& id);
  asio::awaitable<bool> Run(const Stream& stream, const Request& request, const std::string& id);
  std::string HeartbeatBody();
  bool Draw(double share) { return std::uniform_real_distribution<double>(0, 1)(random_) < share; }

  asio::io_context& io_;
  const ServerOptions options_;
  const ServerObserver observer_;
  fennelhollow::rig::Tcp::acceptor acceptor_;
  std::set<Stream> streams_;
  std::mt19937 random_{11};
  asio::steady_timer slot_available_;
  int at_work_ = 0, waiting_ = 0;
  std::uint64_t sequence_ = 0, answers_lost_ = 0;
  double lost_share_ = 0;
  bool departed_ = false, stopped_ = false;
};

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_APPLICATION_SERVER_HPP_
