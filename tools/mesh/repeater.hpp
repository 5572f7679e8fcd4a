// An operator's call, repeated unchanged until somebody gives a clear answer (standard term: client retry
// with exponential backoff).
#ifndef FENNELHOLLOW_TOOLS_MESH_REPEATER_HPP_
#define FENNELHOLLOW_TOOLS_MESH_REPEATER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/mesh/http_client.hpp"

namespace fennelhollow::tools {

// The programs' exit statuses.
enum class Exit : int { kTaken = 0, kBadInput = 2, kConflict = 3, kNobody = 4 };

struct RepeaterLimits {
  HttpLimits http;
  milliseconds first_pause{100};
  milliseconds most_pause{2000};
  milliseconds whole{30'000};  // no try begins after that
  int redirects = 2;           // followed in one try
};

struct Outcome {
  Exit exit = Exit::kNobody;
  unsigned status = 0;  // of the clear answer; 0: there was none
  std::string body;     // of it
  std::string from;     // ip:port that gave it
  std::string trouble;  // of the last try, if there was no clear answer; one line
  int tries = 0;
};

// What an answer with this status means: absent (false) if it is none, and the call is to be repeated.
// Redirects are not for this.
bool IsClear(unsigned status);
// Of a clear one.
Exit ExitOf(unsigned status);

// Asks one core after the other, with pauses that double after each try; a longer Retry-After is kept to (up
// to most_pause). Silence, 5xx, 408, 429, and redirects that lead nowhere, are repeated at the next core; the
// call's bytes are the same each time, so that a core which took it knows it again.
class Repeater : public std::enable_shared_from_this<Repeater> {
 public:
  // `cores`: one or more. `done` is called once, from the loop.
  static void Start(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
                    const RepeaterLimits& limits, std::function<void(Outcome)> done);

 private:
  Repeater(asio::io_context& io, std::vector<Tcp::endpoint> cores, HttpCall call,
           const RepeaterLimits& limits, std::function<void(Outcome)> done);
  void Try();
  void Ask(const Tcp::endpoint& core, const std::string& target, int redirects);
  void Again(std::string trouble, const std::string& retry_after);

  asio::io_context& io_;
  const std::vector<Tcp::endpoint> cores_;
  const HttpCall call_;
  const RepeaterLimits limits_;
  const std::function<void(Outcome)> done_;
  asio::steady_timer timer_;
  const std::chrono::steady_clock::time_point end_;
  milliseconds pause_;
  std::size_t at_ = 0;
  Outcome outcome_;
};

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_REPEATER_HPP_
