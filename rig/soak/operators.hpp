// Operators of a soak run: two change the configuration concurrently and repeat calls whose response they
// ignore; readers poll the configuration of every core.
#ifndef FENNELHOLLOW_RIG_SOAK_OPERATORS_HPP_
#define FENNELHOLLOW_RIG_SOAK_OPERATORS_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/cluster.hpp"
#include "rig/soak/consistency_checker.hpp"

namespace fennelhollow::rig::soak {

class Operators {
 public:
  // A configuration as seen by an operator.
  struct ConfigurationView {
    std::int64_t version = 0;
    std::vector<std::string> added;  // names of the added routes, oldest first
  };

  Operators(asio::io_context& io, Cluster& cluster, ConsistencyChecker& checker, std::uint64_t seed);

  // Sends the first configuration; false if it is not acknowledged.
  asio::awaitable<bool> ApplyFirstConfiguration();
  // Runs until Stop.
  void Start();
  void Stop() { stopped_ = true; }
  bool ended() const { return running_ == 0; }

  // Sends changes in quick succession from now on, or at the usual pace.
  void SetStorm(bool storm) { storm_ = storm; }

  // Reads from this core.
  asio::awaitable<std::optional<ConfigurationView>> ReadFrom(std::size_t core);
  // The newest acknowledged configuration, and those of its added routes that no pending change removes.
  const ConfigurationView& newest() const { return newest_; }
  std::vector<std::string> StableRoutes() const;
  // Time of the last acknowledged change.
  Clock::time_point last_acknowledged() const { return last_acknowledged_; }

 private:
  struct Change {
    std::int64_t version = 0;
    std::int64_t base = 0;
    std::vector<std::string> added;
    std::string path, body;
  };
  enum class Outcome { kAcknowledged, kRefused, kUnknown };

  asio::awaitable<void> RunOperator(int number);
  asio::awaitable<void> ReadPeriodically(std::size_t core);
  asio::awaitable<std::optional<ConfigurationView>> ReadFromAnyCore();
  asio::awaitable<Outcome> Send(const Change& change);
  // Returns the status, 0 without a response. Follows redirects.
  asio::awaitable<unsigned> Call(const Change& change, std::size_t core);
  Change NextChange(const ConfigurationView& base, int number);
  static ConfigurationView ViewAfter(const Change& change);
  void OnChangeAcknowledged(const Change& change);
  double UniformRandom() { return std::uniform_real_distribution<double>()(random_); }

  asio::io_context& io_;
  Cluster& cluster_;
  ConsistencyChecker& checker_;
  std::mt19937_64 random_;
  ConfigurationView newest_;
  Clock::time_point last_acknowledged_;
  int running_ = 0;
  bool stopped_ = false, storm_ = false;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_OPERATORS_HPP_
