// Operators of a soak run: two that change the configuration at once, lose answers and repeat their calls,
// and readers that ask every core for it.
#ifndef FENNELHOLLOW_RIG_SOAK_OPERATORS_HPP_
#define FENNELHOLLOW_RIG_SOAK_OPERATORS_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/cluster.hpp"
#include "rig/soak/ledger.hpp"

namespace fennelhollow::rig::soak {

class Operators {
 public:
  // A configuration as an operator knows it.
  struct Known {
    std::int64_t version = 0;
    std::vector<std::string> added;  // names of the added routes, oldest first
  };

  Operators(asio::io_context& io, Cluster& cluster, Ledger& ledger, std::uint64_t seed);

  // The first configuration; false if it is not taken.
  asio::awaitable<bool> Begin();
  // Until Stop.
  void Start();
  void Stop() { stopped_ = true; }
  bool ended() const { return running_ == 0; }

  // Reads from one core alone.
  asio::awaitable<std::optional<Known>> ReadFrom(std::size_t core);
  // The newest that was acknowledged, and its added routes that no change under way removes.
  const Known& newest() const { return newest_; }
  std::vector<std::string> LastingRoutes() const;
  // Acknowledged changes, counted, and when the last one was.
  Clock::time_point last_acknowledged() const { return last_acknowledged_; }

 private:
  struct Change {
    std::int64_t version = 0;
    std::int64_t base = 0;
    std::vector<std::string> added;
    std::string path, body;
  };
  enum class Outcome { kTaken, kRefused, kUnclear };

  asio::awaitable<void> Operate(int number);
  asio::awaitable<void> ReadOn(std::size_t core);
  asio::awaitable<std::optional<Known>> ReadFromAny();
  asio::awaitable<Outcome> Send(const Change& change);
  // The status, 0 for no clear answer. Follows redirects.
  asio::awaitable<unsigned> Call(const Change& change, std::size_t core);
  Change NextChange(const Known& base, int number);
  static Known KnownAfter(const Change& change);
  void OnTaken(const Change& change);
  double Unit() { return std::uniform_real_distribution<double>()(random_); }

  asio::io_context& io_;
  Cluster& cluster_;
  Ledger& ledger_;
  std::mt19937_64 random_;
  Known newest_;
  Clock::time_point last_acknowledged_;
  int running_ = 0;
  bool stopped_ = false;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_OPERATORS_HPP_
