// Test clients on loopback with a fixed number of concurrent requests: HTTP clients, and a Diameter client
// that can restart and retransmit its unanswered requests.
#ifndef MERLINRUN_RIG_CLIENTS_HPP_
#define MERLINRUN_RIG_CLIENTS_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/loop.hpp"
#include "diameter/io/connection.hpp"
#include "diameter/messages.hpp"
#include "rig/invariant_checker.hpp"

namespace merlinrun::rig {

using Tcp = boost::asio::ip::tcp;

// Picks the class of each request at random by weight, up to a total number of requests.
class TrafficGenerator {
 public:
  TrafficGenerator(const std::vector<TrafficClass>& classes, std::uint64_t count, std::uint64_t seed);
  const TrafficClass* Next();  // null once all requests have been issued
  // Issues no further requests.
  void Stop() { count_ = issued_; }
  std::uint64_t issued() const { return issued_; }
  std::uint64_t remaining() const { return count_ - issued_; }

 private:
  const std::vector<TrafficClass>& classes_;
  std::uint64_t count_;
  std::uint64_t issued_ = 0;
  int total_weight_ = 0;
  std::mt19937_64 random_;
};

class HttpClient {
 public:
  // `name` is the prefix of its request ids.
  HttpClient(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker,
             TrafficGenerator& traffic, Tcp::endpoint sidecar, std::string name, Micros pause = 0);
  ~HttpClient();
  void Start();
  // Simulates a crash: the pending request no longer needs a response.
  void Crash();
  bool idle() const { return idle_; }

 private:
  struct Session;
  void Next();
  void OnAnswerReceived(const std::shared_ptr<Session>& session, const std::string& id);

  boost::asio::io_context& io_;
  core::Loop& loop_;
  InvariantChecker& checker_;
  TrafficGenerator& traffic_;
  const Tcp::endpoint sidecar_;
  const std::string name_;
  const Micros pause_;  // between a response and the next request
  std::unique_ptr<core::Timer> timer_;
  std::uint64_t last_id_ = 0;
  std::shared_ptr<Session> session_;
  bool idle_ = true;
};

class DiameterClient {
 public:
  DiameterClient(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker,
                 TrafficGenerator& traffic, Tcp::endpoint sidecar, std::string host,
                 std::uint32_t application, std::size_t window, std::uint32_t state_id = 1);
  ~DiameterClient();
  void Start();
  // Resets the connection and reconnects at once with a new Origin-State-Id; unanswered requests are
  // retransmitted with the same end-to-end ids and the T flag.
  void Restart();
  bool idle() const { return in_flight_.empty(); }
  bool up() const { return up_; }
  // Sends one request of this class immediately, regardless of the window; returns its id.
  std::string SendRequest(const TrafficClass& traffic_class);
  std::uint64_t answers() const { return answers_; }
  const diameter::Message& last() const { return last_answer_; }

 private:
  struct PendingRequest {
    std::string id;
    diameter::Message message;
  };
  void Connect();
  void OnFrame(std::string_view frame);
  void OnAnswerReceived(const diameter::Message& answer);
  void FillWindow();
  void Send(const diameter::Message& message);

  boost::asio::io_context& io_;
  core::Loop& loop_;
  InvariantChecker& checker_;
  TrafficGenerator& traffic_;
  const Tcp::endpoint sidecar_;
  const std::uint32_t application_;
  const std::size_t window_;
  diameter::Identity identity_;
  diameter::ConnectionPtr connection_;
  std::map<std::uint32_t, PendingRequest> in_flight_;  // by hop-by-hop id
  std::uint32_t last_hop_ = 0;
  std::uint32_t last_end_ = 0;
  std::uint64_t answers_ = 0;
  diameter::Message last_answer_;
  bool up_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_CLIENTS_HPP_
