#include "rig/soak/faults.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <utility>

namespace fennelhollow::rig::soak {
namespace {

constexpr int kMostAtOnce = 3;
constexpr int kLeastLengthMs = 300, kMostLengthMs = 5000;
constexpr int kMostPauseMs = 1800;  // between the beginnings of two
constexpr milliseconds kDark{800};
// After its return a core has so long to catch up before another disk may be lost.
constexpr milliseconds kCatchUp{4000};
constexpr const char* kNames[] = {
    "a core is killed",
    "all cores are killed",
    "a core is paused",
    "a core is cut off from the other cores",
    "a core is cut off from all machines",
    "what one core sends to another is lost",
    "the cores are cut into two halves",
    "a core loses its disk",
    "a core loses its disk while all others are down",
    "a sidecar is killed",
    "most sidecars are killed",
    "a sidecar is paused",
    "a sidecar is cut off from the cores",
    "a server dies and another takes its place",
    "all processes are killed",
};

}  // namespace

Faults::Faults(asio::io_context& io, Cluster& cluster, std::uint64_t seed, Clock::time_point begin,
               bool talkative)
    : io_(io), cluster_(cluster), random_(seed), begin_(begin), talkative_(talkative) {}

void Faults::Tell(const std::string& what) {
  char time[32];
  std::snprintf(time, sizeof time, "%7.2f s  ", std::chrono::duration<double>(Clock::now() - begin_).count());
  story_.push_back(time + what);
  if (talkative_) std::printf("%s\n", story_.back().c_str());
}

std::vector<std::size_t> Faults::Cores() const {
  std::vector<std::size_t> out(cluster_.cores());
  for (std::size_t i = 0; i < out.size(); ++i) out[i] = i;
  return out;
}

asio::awaitable<void> Faults::Storm(milliseconds length) {
  const auto until = Clock::now() + length;
  while (Clock::now() < until) {
    if (active_ < kMostAtOnce) {
      const auto kind = static_cast<Kind>(random_() % kKinds);
      const milliseconds fault(kLeastLengthMs + random_() % (kMostLengthMs - kLeastLengthMs));
      ++active_;
      ++count_;
      asio::co_spawn(io_, Play(kind, fault), asio::detached);
    }
    co_await Sleep(io_, milliseconds(random_() % kMostPauseMs));
    cluster_.CheckProcesses();
  }
  while (active_ > 0) co_await Sleep(io_, milliseconds(20));
  Tell("all faults are over");
}

asio::awaitable<void> Faults::AllDark() {
  ++active_;
  ++count_;
  co_await Play(Kind::kAllDark, kDark);
}

asio::awaitable<void> Faults::Play(Kind kind, milliseconds length) {
  const std::string name = kNames[static_cast<std::size_t>(kind)];
  Tell(name + ", for " + std::to_string(length.count()) + " ms");
  std::vector<std::size_t> machines;
  std::vector<std::pair<std::size_t, std::size_t>> ways;
  const std::size_t core = AnyCore(), sidecar = AnySidecar();
  const auto both_ways = [&](std::size_t one, std::size_t other) {
    ways.emplace_back(one, other);
    ways.emplace_back(other, one);
  };
  switch (kind) {
    case Kind::kKillCore:
      machines.push_back(core);
      co_await Down(machines, length, false);
      break;
    case Kind::kKillAllCores:
      co_await Down(Cores(), length, false);
      break;
    case Kind::kPauseCore:
      co_await Paused(core, length);
      break;
    case Kind::kIsolateCore:
    case Kind::kIsolateCoreAll: {
      const std::size_t others = kind == Kind::kIsolateCore ? cluster_.cores() : cluster_.size();
      for (std::size_t other = 0; other < others; ++other)
        if (other != core) both_ways(core, other);
      co_await Lost(ways, length);
      break;
    }
    case Kind::kLoseOneWay: {
      const std::size_t other = (core + 1 + random_() % (cluster_.cores() - 1)) % cluster_.cores();
      ways.emplace_back(core, other);
      co_await Lost(ways, length);
      break;
    }
    case Kind::kSplitHalves: {
      std::vector<std::size_t> order = Cores();
      std::shuffle(order.begin(), order.end(), random_);
      for (std::size_t i = 0; i < order.size() / 2; ++i)
        for (std::size_t j = order.size() / 2; j < order.size(); ++j) both_ways(order[i], order[j]);
      co_await Lost(ways, length);
      break;
    }
    case Kind::kWipeDisk:
    case Kind::kWipeDiskAllDark:
      co_await WipeDisk(length, kind == Kind::kWipeDiskAllDark);
      break;
    case Kind::kKillSidecar:
      machines.push_back(sidecar);
      co_await Down(machines, length, false);
      break;
    case Kind::kKillMostSidecars:
      for (std::size_t i = cluster_.cores(); i < cluster_.size(); ++i)
        if (random_() % 3 > 0) machines.push_back(i);
      co_await Down(machines, length, false);
      break;
    case Kind::kPauseSidecar:
      co_await Paused(sidecar, length);
      break;
    case Kind::kCutSidecar: {
      const auto direction = random_() % 3;  // both, or one of them
      for (std::size_t i = 0; i < cluster_.cores(); ++i) {
        if (direction != 1) ways.emplace_back(i, sidecar);
        if (direction != 2) ways.emplace_back(sidecar, i);
      }
      co_await Lost(ways, length);
      break;
    }
    case Kind::kReplaceServer:
      cluster_.ReplaceServer(sidecar - cluster_.cores());
      break;
    case Kind::kAllDark:
      for (std::size_t i = 0; i < cluster_.size(); ++i) machines.push_back(i);
      co_await Down(machines, kDark, false);
      break;
  }
  --active_;
}

asio::awaitable<void> Faults::Down(std::vector<std::size_t> machines, milliseconds length, bool wipe_first) {
  for (const std::size_t machine : machines) cluster_.Kill(machine);
  if (wipe_first) cluster_.node(machines.front()).LoseDisk();
  co_await Sleep(io_, length);
  for (const std::size_t machine : machines) cluster_.Restart(machine);
}

asio::awaitable<void> Faults::Paused(std::size_t machine, milliseconds length) {
  cluster_.node(machine).Signal(SIGSTOP);
  co_await Sleep(io_, length);
  cluster_.node(machine).Signal(SIGCONT);
}

asio::awaitable<void> Faults::Lost(std::vector<std::pair<std::size_t, std::size_t>> ways,
                                   milliseconds length) {
  for (const auto& [from, to] : ways) cluster_.network().Lose(from, to);
  co_await Sleep(io_, length);
  for (const auto& [from, to] : ways) cluster_.network().Restore(from, to);
}

// No more disks are lost at once than is tolerated: one. The next one not before the last is replaced.
asio::awaitable<void> Faults::WipeDisk(milliseconds length, bool all_dark) {
  if (wiping_) co_return;
  wiping_ = true;
  const bool whole = co_await DisksAreWhole();
  if (whole) {
    const std::size_t core = AnyCore();
    Tell(cluster_.node(core).name() + " loses its disk");
    wiped_ = core;
    std::vector<std::size_t> down(1, core);
    if (all_dark)
      for (const std::size_t other : Cores())
        if (other != core) down.push_back(other);
    co_await Down(down, length, true);
  }
  wiping_ = false;
}

asio::awaitable<bool> Faults::DisksAreWhole() {
  if (!wiped_) co_return true;
  const auto wiped = co_await cluster_.StatusOf(*wiped_);
  if (!wiped) co_return false;
  std::int64_t newest = 0;
  for (const std::size_t core : Cores()) {
    const auto status = co_await cluster_.StatusOf(core);
    if (!status) co_return false;
    newest = std::max(newest, status->value("entry", std::int64_t{0}));
  }
  const auto entry = wiped->value("entry", std::int64_t{0});
  if (entry == 0 || entry < newest) co_return false;
  co_await Sleep(io_, kCatchUp);
  if (!cluster_.node(*wiped_).runs()) co_return false;
  wiped_.reset();
  co_return true;
}

}  // namespace fennelhollow::rig::soak
