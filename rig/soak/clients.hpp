// Clients of a soak run: on each sidecar's machine some that ask, wait for the answer, rest, and ask again.
#ifndef FENNELHOLLOW_RIG_SOAK_CLIENTS_HPP_
#define FENNELHOLLOW_RIG_SOAK_CLIENTS_HPP_

#include <cstdint>
#include <random>
#include <string>

#include "rig/soak/cluster.hpp"
#include "rig/soak/ledger.hpp"
#include "rig/soak/operators.hpp"

namespace fennelhollow::rig::soak {

class Clients {
 public:
  // What was served since Measure().
  struct Measured {
    Tally first;  // requests on the routes of the first configuration
    Tally added;  // on routes that were added later
  };

  Clients(asio::io_context& io, Cluster& cluster, const Operators& operators, Ledger& ledger,
          std::uint64_t seed);
  void Start();
  void Stop() { stopped_ = true; }
  bool ended() const { return running_ == 0; }

  // From now on, all is calm: a route that was acknowledged is known everywhere.
  void Measure();
  // Until now.
  Measured EndMeasure();
  std::uint64_t sent() const { return sent_; }
  std::uint64_t served() const { return served_; }

 private:
  enum class Kind { kPlan, kOrder, kAdded };
  asio::awaitable<void> Ask(std::size_t sidecar);
  asio::awaitable<bool> AskOnce(Caller& caller, std::size_t sidecar);
  Kind Draw();

  asio::io_context& io_;
  Cluster& cluster_;
  const Operators& operators_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  Measured measured_;
  std::uint64_t measurement_ = 0;  // which one, 0 = none; counted are requests that began and ended in it
  std::uint64_t measurements_ = 0;
  std::uint64_t sent_ = 0, served_ = 0;
  int running_ = 0;
  bool stopped_ = false;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_CLIENTS_HPP_
