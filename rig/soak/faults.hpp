// Drawn faults of a soak run, up to three at a time.
#ifndef FENNELHOLLOW_RIG_SOAK_FAULTS_HPP_
#define FENNELHOLLOW_RIG_SOAK_FAULTS_HPP_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "rig/soak/cluster.hpp"

namespace fennelhollow::rig::soak {

class Faults {
 public:
  Faults(asio::io_context& io, Cluster& cluster, std::uint64_t seed, Clock::time_point begin, bool talkative);

  // Faults come for so long; returns when the last is over and everything runs and is connected again.
  asio::awaitable<void> Storm(milliseconds length);
  // All processes of the system are killed at once, and start again.
  asio::awaitable<void> AllDark();
  std::uint64_t count() const { return count_; }
  const std::vector<std::string>& story() const { return story_; }

 private:
  enum class Kind {
    kKillCore,
    kKillAllCores,
    kPauseCore,
    kIsolateCore,      // from all other cores
    kIsolateCoreAll,   // from all machines
    kLoseOneWay,       // what one core sends to another
    kSplitHalves,      // the cores into two halves; sidecars reach both
    kWipeDisk,         // one core comes back with an empty disk
    kWipeDiskAllDark,  // the same, and all other cores are killed at that moment
    kKillSidecar,
    kKillMostSidecars,
    kPauseSidecar,
    kCutSidecar,  // from all cores, both ways or one
    kReplaceServer,
    kAllDark,
  };
  static constexpr int kKinds = static_cast<int>(Kind::kAllDark) + 1;

  asio::awaitable<void> Play(Kind kind, milliseconds length);
  asio::awaitable<void> Down(std::vector<std::size_t> machines, milliseconds length, bool wipe_first);
  asio::awaitable<void> Paused(std::size_t machine, milliseconds length);
  // Each pair is from, to.
  asio::awaitable<void> Lost(std::vector<std::pair<std::size_t, std::size_t>> ways, milliseconds length);
  asio::awaitable<void> WipeDisk(milliseconds length, bool all_dark);
  asio::awaitable<bool> DisksAreWhole();

  std::size_t AnyCore() { return random_() % cluster_.cores(); }
  std::size_t AnySidecar() { return cluster_.cores() + random_() % cluster_.sidecars(); }
  std::vector<std::size_t> Cores() const;
  void Tell(const std::string& what);

  asio::io_context& io_;
  Cluster& cluster_;
  std::mt19937_64 random_;
  const Clock::time_point begin_;
  const bool talkative_;
  std::vector<std::string> story_;
  std::uint64_t count_ = 0;
  int active_ = 0;
  bool wiping_ = false;
  std::optional<std::size_t> wiped_;  // whose disk was lost last, until it is known to have caught up
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_FAULTS_HPP_
