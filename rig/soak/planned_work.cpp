#include "rig/soak/planned_work.hpp"

#include <algorithm>
#include <csignal>
#include <numeric>
#include <vector>

namespace fennelhollow::rig::soak {
namespace {

constexpr int kOverlappingSeries = 3;
// Of the sidecars, one in this many is terminated at the same time, or one in each series if that is more.
constexpr std::size_t kMaxTerminatedPart = 2;
constexpr milliseconds kMaxWavePause{1500}, kMaxRestartPause{600}, kMaxReloadPause{700};
constexpr milliseconds kCorePause{4000};  // for a restarted core to catch up
constexpr milliseconds kPollInterval{5};
// One in so many restarts begins before the old process has ended.
constexpr std::uint64_t kSuccessorPeriod = 3;
// Longer than a start may wait for its settings and its addresses.
constexpr milliseconds kSignalHandlerTimeout{20'000};
// Time for the kernel to end a process and for this one to notice.
constexpr milliseconds kExitSlack{500};

}  // namespace

PlannedWork::PlannedWork(asio::io_context& io, Cluster& cluster, ConsistencyChecker& checker,
                         std::uint64_t seed, EventLog& log)
    : io_(io), cluster_(cluster), checker_(checker), random_(seed), log_(log), tasks_(io, checker) {}

asio::awaitable<void> PlannedWork::Run(milliseconds length) {
  until_ = Clock::now() + length;
  for (int i = 0; i < kOverlappingSeries; ++i) tasks_.Spawn("a series of restarts", TerminateSidecars());
  tasks_.Spawn("the restarts of cores", TerminateCores());
  tasks_.Spawn("the reloads", ReloadSettings());
  co_await tasks_.Wait();
  log_.Add("the planned work has ended");
}

asio::awaitable<bool> PlannedWork::HandlesSignalsInTime(std::size_t machine) {
  NodeProcess& node = cluster_.node(machine);
  const auto until = Clock::now() + kSignalHandlerTimeout;
  while (!node.Ended() && !node.HandlesSignals()) {
    if (Clock::now() > until) {
      checker_.ReportViolation(node.name() + " handles no signals " +
                               std::to_string(kSignalHandlerTimeout.count()) + " ms after its start");
      co_return false;
    }
    co_await Sleep(io_, kPollInterval);
  }
  co_return true;
}

asio::awaitable<void> PlannedWork::TerminateAndRestart(std::size_t machine, bool strict) {
  NodeProcess& node = cluster_.node(machine);
  const bool ready = co_await HandlesSignalsInTime(machine);
  if (!ready) co_return;
  if (!cluster_.should_run(machine)) co_return;  // it has been terminated or killed meanwhile
  if (node.Ended()) co_return;                   // by itself: Cluster::CheckProcesses reports it
  ++terminations_;
  log_.Add(node.name() + " gets SIGTERM");
  const int life = cluster_.Terminate(machine);
  const auto end = Clock::now() + cluster_.grace_period() + kExitSlack;
  if (strict && random_() % kSuccessorPeriod == 0) {
    co_await RestartBeforeEnd(machine, end);
    co_return;
  }
  while (cluster_.life(machine) == life && !node.Ended() && Clock::now() < end)
    co_await Sleep(io_, kPollInterval);
  if (cluster_.life(machine) != life) co_return;  // another fault has killed and restarted it
  if (strict && !node.Ended())
    checker_.ReportViolation(node.name() + " is still there at the end of the grace period");
  else if (strict && node.status() != 0)
    checker_.ReportViolation(node.name() + " ended with " + node.EndText() + " after SIGTERM");
  cluster_.Kill(machine);
  co_await Sleep(io_, RandomTime(kMaxRestartPause));
  cluster_.Restart(machine);
}

// Starts the successor while the process is ending, as a supervisor may: it must wait for its addresses.
asio::awaitable<void> PlannedWork::RestartBeforeEnd(std::size_t machine, Clock::time_point end) {
  NodeProcess& node = cluster_.node(machine);
  co_await Sleep(io_, RandomTime(kMaxRestartPause));
  ++successors_;
  log_.Add(node.name() + " gets a successor before its end");
  if (!cluster_.StartSuccessor(machine)) co_return;
  while (!node.PredecessorEnded() && Clock::now() < end) co_await Sleep(io_, kPollInterval);
  if (!node.PredecessorEnded())
    checker_.ReportViolation(node.name() + " is still there at the end of the grace period");
  else if (node.PredecessorEndText() != "status 0")
    checker_.ReportViolation(node.name() + " ended with " + node.PredecessorEndText() + " after SIGTERM");
  if (node.Ended())
    checker_.ReportViolation(node.name() + " ended with " + node.EndText() + " beside its predecessor");
  cluster_.AdoptSuccessor(machine);
}

void PlannedWork::ReloadSomeSettings() {
  ++reloads_;
  log_.Add("some nodes get SIGHUP");
  for (std::size_t i = 0; i < cluster_.size(); ++i)
    if (random_() % 3 == 0 && cluster_.node(i).HandlesSignals()) cluster_.node(i).Reload(random_());
}

asio::awaitable<void> PlannedWork::ReloadSettings() {
  while (Clock::now() < until_) {
    ReloadSomeSettings();
    co_await Sleep(io_, RandomTime(kMaxReloadPause));
  }
}

// Terminates this many sidecars at the same time. One that has just returned may be chosen again.
asio::awaitable<void> PlannedWork::Wave(std::size_t count) {
  std::vector<std::size_t> machines(cluster_.sidecars());
  std::iota(machines.begin(), machines.end(), cluster_.cores());
  std::shuffle(machines.begin(), machines.end(), random_);
  TaskGroup restarts(io_, checker_);
  for (std::size_t machine : machines) {
    if (count == 0) break;
    if (!cluster_.should_run(machine)) continue;
    --count;
    restarts.Spawn("a restart", TerminateAndRestart(machine, true));
  }
  co_await restarts.Wait();
}

asio::awaitable<void> PlannedWork::TerminateSidecars() {
  const std::size_t most =
      std::max<std::size_t>(1, cluster_.sidecars() / kMaxTerminatedPart / kOverlappingSeries);
  while (Clock::now() < until_) {
    co_await Sleep(io_, RandomTime(kMaxWavePause));
    co_await Wave(1 + random_() % most);
  }
}

asio::awaitable<void> PlannedWork::TerminateCores() {
  while (Clock::now() < until_) {
    co_await Sleep(io_, kCorePause);
    co_await TerminateAndRestart(random_() % cluster_.cores(), true);
  }
}

}  // namespace fennelhollow::rig::soak
