// Clients of a soak run: several per sidecar, each sends one request at a time.
#ifndef FENNELHOLLOW_RIG_SOAK_CLIENTS_HPP_
#define FENNELHOLLOW_RIG_SOAK_CLIENTS_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "rig/soak/cluster.hpp"
#include "rig/soak/consistency_checker.hpp"
#include "rig/soak/operators.hpp"
#include "rig/soak/response_checker.hpp"

namespace fennelhollow::rig::soak {

class Clients {
 public:
  // Requests sent and served between Measure() and EndMeasure().
  struct Measured {
    Tally first;  // requests on the routes of the first configuration
    Tally added;  // on routes that were added later
  };

  Clients(asio::io_context& io, Cluster& cluster, const Operators& operators, ConsistencyChecker& checker,
          ResponseChecker& responses, std::uint64_t seed);
  void Start();
  void Stop() { stopped_ = true; }
  bool ended() const { return running_ == 0; }

  // Starts a measurement. Call without active faults, when acknowledged routes are known everywhere.
  void Measure();
  // Ends it and returns the counts.
  Measured EndMeasure();
  // From now on responses are checked as those during planned work are, or not any more. An exchange counts
  // if it starts and ends between the two.
  void SetChecked(bool checked);
  std::uint64_t sent() const { return sent_; }
  std::uint64_t served() const { return served_; }

 private:
  enum class Kind { kPlan, kOrder, kAdded };
  asio::awaitable<void> RunClient(std::size_t sidecar);
  asio::awaitable<bool> SendRequest(HttpConnection& connection, std::size_t sidecar);
  // Sends the request of an exchange, records its end, and has it checked if checks are on throughout.
  asio::awaitable<std::optional<Response>> Call(HttpConnection& connection, std::size_t sidecar,
                                                Exchange exchange, Request request);
  Kind Draw();

  asio::io_context& io_;
  Cluster& cluster_;
  const Operators& operators_;
  ConsistencyChecker& checker_;
  std::mt19937_64 random_;
  ResponseChecker& responses_;
  Measured measured_;
  std::uint64_t checked_period_ = 0;  // 0: none
  std::uint64_t checked_periods_ = 0;
  std::uint64_t measurement_ = 0;  // id, 0: none; a request counts if it starts and ends in the same one
  std::uint64_t measurements_ = 0;
  std::uint64_t sent_ = 0, served_ = 0;
  int running_ = 0;
  bool stopped_ = false;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_CLIENTS_HPP_
