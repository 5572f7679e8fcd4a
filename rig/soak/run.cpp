#include "rig/soak/run.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <random>
#include <string>

#include "rig/soak/clients.hpp"
#include "rig/soak/cluster.hpp"
#include "rig/soak/consistency_checker.hpp"
#include "rig/soak/event_log.hpp"
#include "rig/soak/fault_injector.hpp"
#include "rig/soak/operators.hpp"
#include "rig/soak/planned_work.hpp"
#include "rig/soak/response_checker.hpp"

namespace fennelhollow::rig::soak {
namespace {

// Maximum time to recover after the last fault.
constexpr milliseconds kRecoveryTimeout{15'000};
constexpr milliseconds kAcknowledgeTimeout{5'000};
constexpr milliseconds kReconnectTimeout{3'000};
constexpr milliseconds kMeasurementWindow{5'000};
constexpr milliseconds kMinFaultPhase{5'000};
constexpr int kFaultPhaseSpreadMs = 8'000;
constexpr milliseconds kExitSlack{1'000};
constexpr milliseconds kStopTimeout{10'000};
// A run that lasts so much longer than it was to is reported with the phase that it is in.
constexpr milliseconds kOverrunTimeout{110'000};
constexpr milliseconds kPollInterval{100};
// Minimum served share of added routes relative to the first ones, given kMinSamples requests.
constexpr double kMinAddedShare = 0.25;
constexpr std::uint64_t kMinSamples = 20;
// Minimum served share without faults, of all requests or of the servers' capacity, whichever is less.
constexpr double kMinServedShare = 0.6;
constexpr int kMaxSlowdown = 4;
constexpr milliseconds kPlannedPhase{20'000};
constexpr std::size_t kSidecars = 6;
// Every run whose seed is a multiple of this has many sidecars.
constexpr std::uint64_t kLargeClusterPeriod = 10;
constexpr std::size_t kLargeClusterSidecars = 40;
constexpr double kSlowShare = 0.05;

class Soak {
 public:
  explicit Soak(const RunOptions& options)
      : options_(options),
        random_(options.seed),
        log_(options.verbose),
        cluster_(io_, ClusterOptions(options), checker_),
        responses_(checker_, cluster_.runs(), cluster_.grace_period()),
        operators_(io_, cluster_, checker_, options.seed + 1),
        clients_(io_, cluster_, operators_, checker_, responses_, options.seed + 2),
        planned_work_(io_, cluster_, checker_, options.seed + 4, log_),
        faults_(io_, cluster_, checker_, planned_work_, options.seed + 3, log_) {}

  bool Execute() {
    if (!cluster_.Start()) {
      std::printf("seed %lu: no free ports, directory or process available\n", options_.seed);
      return false;
    }
    asio::co_spawn(io_, RunAll(), [this](std::exception_ptr error) {
      if (error) checker_.ReportViolation("the run was stopped by an exception");
      io_.stop();
    });
    asio::steady_timer overrun(io_, options_.length + kOverrunTimeout);
    overrun.async_wait([this](const boost::system::error_code& stopped) {
      if (stopped) return;
      checker_.ReportViolation("the run does not end; its phase: " + phase_);
      io_.stop();
    });
    io_.run();
    return Report();
  }

 private:
  static Cluster::Options ClusterOptions(const RunOptions& run) {
    Cluster::Options options;
    options.program = run.program;
    options.seed = run.seed;
    options.sidecars = run.sidecars > 0                      ? run.sidecars
                       : run.seed % kLargeClusterPeriod == 0 ? kLargeClusterSidecars
                                                             : kSidecars;
    return options;
  }

  void EnterPhase(const std::string& phase) {
    phase_ = phase;
    log_.Add("phase: " + phase);
  }

  asio::awaitable<void> RunAll() {
    EnterPhase("start");
    const bool begun = co_await operators_.ApplyFirstConfiguration();
    if (!begun) {
      checker_.ReportViolation("the first configuration was not acknowledged");
      co_return;
    }
    const bool up = co_await Recovered("the start");
    if (!up) co_return;
    operators_.Start();
    clients_.Start();
    while (Clock::now() < log_.begin() + options_.length && checker_.violations().empty()) {
      co_await PlannedRound();
      if (!options_.planned_only && checker_.violations().empty()) co_await FaultRound();
    }
    co_await Stop();
  }

  // Planned work without faults, during which the responses to clients are checked.
  asio::awaitable<void> PlannedRound() {
    EnterPhase("before planned work");
    co_await Sleep(io_, kReconnectTimeout);
    clients_.SetChecked(true);
    operators_.SetStorm(true);
    cluster_.SetSlowShare(kSlowShare);
    EnterPhase("planned work");
    co_await planned_work_.Run(kPlannedPhase);
    EnterPhase("after planned work");
    operators_.SetStorm(false);
    cluster_.SetSlowShare(0);
    clients_.SetChecked(false);
    responses_.CheckUnanswered();
    cluster_.CheckProcesses();
    ++planned_rounds_;
    co_await Recovered("the planned work");
  }

  // Injects faults, waits for recovery, then measures a fault-free interval with possibly overloaded servers.
  asio::awaitable<void> FaultRound() {
    EnterPhase("faults");
    co_await faults_.InjectFaults(kMinFaultPhase + milliseconds(random_() % kFaultPhaseSpreadMs));
    if (random_() % 3 == 0) co_await faults_.KillEverything();
    EnterPhase("recovery");
    const int slowdown = 1 + static_cast<int>(random_() % kMaxSlowdown);
    cluster_.SlowDownServers(slowdown);
    const bool recovered = co_await Recovered("the faults");
    if (!recovered) co_return;
    co_await Sleep(io_, kReconnectTimeout);
    EnterPhase("measurement");
    const auto acknowledged = operators_.last_acknowledged();
    clients_.Measure();
    co_await Sleep(io_, kMeasurementWindow);
    CheckThroughput(clients_.EndMeasure(), slowdown);
    if (operators_.last_acknowledged() == acknowledged)
      checker_.ReportViolation("no change was acknowledged for " +
                               std::to_string(kAcknowledgeTimeout.count()) + " ms without faults");
    cluster_.CheckProcesses();
    cluster_.SlowDownServers(1);
    ++rounds_;
  }

  void CheckThroughput(const Clients::Measured& measured, int slowdown) {
    std::printf(
        "seed %lu: %5.1f s  no faults, servers slowed down %d times: first routes %lu of %lu served, added "
        "%lu of "
        "%lu\n",
        options_.seed, log_.seconds(), slowdown, measured.first.served, measured.first.sent,
        measured.added.served, measured.added.sent);
    if (measured.added.sent >= kMinSamples &&
        measured.added.share() < kMinAddedShare * measured.first.share())
      checker_.ReportViolation(
          "the served share of added routes is less than a quarter of that of the first ones");
    const double seconds = std::chrono::duration<double>(kMeasurementWindow).count();
    const double capacity = cluster_.CapacityPerSecond() * seconds;
    const auto sent = static_cast<double>(measured.first.sent + measured.added.sent);
    const auto served = static_cast<double>(measured.first.served + measured.added.served);
    if (sent < kMinSamples || served < kMinServedShare * std::min(sent, capacity))
      checker_.ReportViolation("fewer requests are served without faults than the servers have capacity for");
  }

  // Recovered: a change is acknowledged, all cores report the newest configuration, all sidecars are ready.
  asio::awaitable<bool> Recovered(const char* after) {
    const auto from = Clock::now();
    std::string reason = "nothing";
    while (Clock::now() < from + kRecoveryTimeout) {
      reason = co_await NotRecoveredReason(from);
      if (reason.empty()) co_return true;
      co_await Sleep(io_, kPollInterval);
    }
    checker_.ReportViolation("not recovered " + std::to_string(kRecoveryTimeout.count()) + " ms after " +
                             std::string(after) + ": " + reason);
    co_return false;
  }

  asio::awaitable<std::string> NotRecoveredReason(Clock::time_point from) {
    cluster_.CheckProcesses();
    const bool operate = rounds_ > 0 || faults_.count() > 0 || planned_rounds_ > 0;
    if (operate && operators_.last_acknowledged() < from) co_return "no change is acknowledged";
    const std::int64_t newest = checker_.newest_acknowledged();
    for (std::size_t i = 0; i < cluster_.cores(); ++i) {
      const auto known = co_await operators_.ReadFrom(i);
      if (!known || known->version < newest)
        co_return cluster_.node(i).name() + " does not return the newest configuration";
    }
    for (std::size_t i = 0; i < cluster_.sidecars(); ++i) {
      HttpConnection connection(io_, cluster_.sidecar(i).readiness());
      const auto ready =
          co_await connection.Call(MakeRequest(http::verb::get, "/-/readiness", kHost), kAcknowledgeTimeout);
      if (!ready || ready->result_int() != 200) co_return cluster_.sidecar(i).name() + " is not ready";
    }
    co_return "";
  }

  // Stops clients and operators, then all processes in order.
  asio::awaitable<void> Stop() {
    EnterPhase("stop");
    clients_.Stop();
    operators_.Stop();
    const auto until = Clock::now() + kStopTimeout;
    while ((!clients_.ended() || !operators_.ended()) && Clock::now() < until)
      co_await Sleep(io_, kPollInterval);
    checker_.CheckExecutions(cluster_.runs());
    cluster_.CheckProcesses();
    for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.node(i).Signal(SIGTERM);
    co_await Sleep(io_, cluster_.grace_period() + kExitSlack);
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      if (!cluster_.node(i).Ended() || cluster_.node(i).status() != 0)
        checker_.ReportViolation(cluster_.node(i).name() + " did not exit with status 0 after SIGTERM");
  }

  bool Report() const {
    std::printf(
        "seed %lu: %zu processes, %lu and %lu rounds, %lu faults, %lu SIGTERMs, %lu reloads, %lu changes "
        "acknowledged, %lu reads, %lu of %lu requests served, %lu responses checked, %lu successors, %lu MB "
        "at "
        "most: %s\n",
        options_.seed, cluster_.size(), planned_rounds_, rounds_, faults_.count(),
        planned_work_.terminations(), planned_work_.reloads(), checker_.acknowledged(), checker_.reads(),
        clients_.served(), clients_.sent(), responses_.checked(), planned_work_.successors(),
        cluster_.highest_resident_bytes() >> 20, checker_.violations().empty() ? "ok" : "FAILED");
    if (checker_.violations().empty()) return true;
    for (const std::string& fault : checker_.violations()) std::printf("  violation: %s\n", fault.c_str());
    for (const std::string& line : log_.events()) std::printf("  %s\n", line.c_str());
    std::printf("%s", cluster_.Logs().c_str());
    return false;
  }

  asio::io_context io_{1};
  const RunOptions options_;
  std::mt19937_64 random_;
  EventLog log_;
  ConsistencyChecker checker_;
  Cluster cluster_;
  ResponseChecker responses_;
  Operators operators_;
  Clients clients_;
  PlannedWork planned_work_;
  FaultInjector faults_;
  std::uint64_t planned_rounds_ = 0, rounds_ = 0;
  std::string phase_;
};

}  // namespace

bool Run(const RunOptions& options) { return std::make_unique<Soak>(options)->Execute(); }

}  // namespace fennelhollow::rig::soak
