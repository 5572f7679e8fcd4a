// Sends an operator's call to the cores, retrying with exponential backoff until one gives a final response.
#ifndef FENNELHOLLOW_TOOLS_MESH_RETRYING_CLIENT_HPP_
#define FENNELHOLLOW_TOOLS_MESH_RETRYING_CLIENT_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/mesh/http_client.hpp"

namespace fennelhollow::tools {

// Exit status of the command line tools.
enum class ExitStatus : int { kSuccess = 0, kInvalidInput = 2, kConflict = 3, kUnavailable = 4 };

struct RetryLimits {
  HttpLimits http;
  milliseconds initial_backoff{100};
  milliseconds max_backoff{2000};
  milliseconds total_timeout{30'000};  // no attempt starts after it
  int max_redirects = 2;               // per attempt
};

struct Outcome {
  ExitStatus exit = ExitStatus::kUnavailable;
  unsigned status = 0;     // HTTP status of the final response; 0: there was none
  std::string body;        // of the final response
  std::string responder;   // ip:port that sent it
  std::string last_error;  // of the last attempt, one line, if there was no final response
  int attempts = 0;
};

// Whether a response with this HTTP status, which must not be a redirect, ends the call; if not, it is
// retried.
bool IsFinal(unsigned status);
// The exit status for a final HTTP status.
ExitStatus ExitStatusFor(unsigned status);

// Tries the cores in turn, doubling the backoff after each attempt; a longer Retry-After is honored up to
// max_backoff. Connection failures, incomplete responses, timeouts, 5xx, 408, 429 and redirects that cannot
// be followed are retried at the next core.
// Every attempt sends the same bytes, so a core that has applied the call recognizes the repeat.
class RetryingClient : public std::enable_shared_from_this<RetryingClient> {
 public:
  // `cores` must not be empty. Calls `done` once, from the loop.
  static void Start(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                    const RetryLimits& limits, std::function<void(Outcome)> done);

 private:
  RetryingClient(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                 const RetryLimits& limits, std::function<void(Outcome)> done);
  void StartAttempt();
  void Send(const Tcp::endpoint& core, const std::string& target, int redirects_left);
  void RetryLater(std::string error, const std::string& retry_after);

  asio::io_context& io_;
  const std::vector<Tcp::endpoint> cores_;
  const HttpCall call_;
  const RetryLimits limits_;
  const std::function<void(Outcome)> done_;
  asio::steady_timer timer_;
  const std::chrono::steady_clock::time_point deadline_;
  milliseconds backoff_;
  std::size_t next_core_ = 0;
  Outcome outcome_;
};

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_RETRYING_CLIENT_HPP_
