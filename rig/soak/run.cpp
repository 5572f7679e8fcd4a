#include "rig/soak/run.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>
#include <random>

#include "rig/soak/clients.hpp"
#include "rig/soak/cluster.hpp"
#include "rig/soak/faults.hpp"
#include "rig/soak/ledger.hpp"
#include "rig/soak/operators.hpp"

namespace fennelhollow::rig::soak {
namespace {

// After the last fault everything holds again within this time.
constexpr milliseconds kRecovery{15'000};
constexpr milliseconds kAcknowledge{5'000};
constexpr milliseconds kContact{3'000};
constexpr milliseconds kMeasured{5'000};
constexpr milliseconds kLeastStorm{5'000};
constexpr int kStormSpreadMs = 8'000;
constexpr milliseconds kGrace{4'000};
constexpr milliseconds kStopWithin{10'000};
constexpr milliseconds kLook{100};
// Added routes are served no less often than this part of what the first ones are, given enough requests.
constexpr double kLeastOfFirst = 0.25;
constexpr std::uint64_t kEnough = 20;
// In a calm time, of all requests or of what the servers can run, whichever is less.
constexpr double kLeastServed = 0.6;
constexpr int kMostSlowDown = 4;

class Soak {
 public:
  explicit Soak(const RunOptions& options)
      : options_(options),
        random_(options.seed),
        cluster_(io_, {options.program, options.seed}, ledger_),
        operators_(io_, cluster_, ledger_, options.seed + 1),
        clients_(io_, cluster_, operators_, ledger_, options.seed + 2),
        faults_(io_, cluster_, options.seed + 3, begin_, options.talkative) {}

  bool Play() {
    if (!cluster_.Start()) {
      std::printf("seed %lu: no ports, folder or process is to be had\n", options_.seed);
      return false;
    }
    asio::co_spawn(io_, Whole(), [this](std::exception_ptr error) {
      if (error) ledger_.Fault("the run was ended by an exception");
      io_.stop();
    });
    io_.run();
    return Report();
  }

 private:
  asio::awaitable<void> Whole() {
    const bool begun = co_await operators_.Begin();
    if (!begun) {
      ledger_.Fault("the first configuration is not taken");
      co_return;
    }
    const bool up = co_await Recovered("the start");
    if (!up) co_return;
    operators_.Start();
    clients_.Start();
    while (Clock::now() < begin_ + options_.length && ledger_.faults().empty()) co_await Round();
    co_await Stop();
  }

  // A storm, the recovery, and a calm time, in which servers may be short and after which nothing is owed.
  asio::awaitable<void> Round() {
    co_await faults_.Storm(kLeastStorm + milliseconds(random_() % kStormSpreadMs));
    if (random_() % 3 == 0) co_await faults_.AllDark();
    const int slow_down = 1 + static_cast<int>(random_() % kMostSlowDown);
    cluster_.SlowDownServers(slow_down);
    const bool recovered = co_await Recovered("a storm");
    if (!recovered) co_return;
    co_await Sleep(io_, kContact);
    const auto acknowledged = operators_.last_acknowledged();
    clients_.Measure();
    co_await Sleep(io_, kMeasured);
    Judge(clients_.EndMeasure(), slow_down);
    if (operators_.last_acknowledged() == acknowledged)
      ledger_.Fault("no change was acknowledged for " + std::to_string(kAcknowledge.count()) +
                    " ms in a calm time");
    cluster_.CheckProcesses();
    cluster_.SlowDownServers(1);
    ++rounds_;
  }

  void Judge(const Clients::Measured& measured, int slow_down) {
    std::printf(
        "seed %lu: %5.1f s  calm, servers %d times as slow: first routes %lu of %lu served, added %lu of "
        "%lu\n",
        options_.seed, std::chrono::duration<double>(Clock::now() - begin_).count(), slow_down,
        measured.first.served, measured.first.sent, measured.added.served, measured.added.sent);
    if (measured.added.sent >= kEnough && measured.added.share() < kLeastOfFirst * measured.first.share())
      ledger_.Fault("added routes are served less than a quarter as often as the first ones");
    const double seconds = std::chrono::duration<double>(kMeasured).count();
    const double capacity = cluster_.RunsPerSecond() * seconds;
    const auto sent = static_cast<double>(measured.first.sent + measured.added.sent);
    const auto served = static_cast<double>(measured.first.served + measured.added.served);
    if (sent < kEnough || served < kLeastServed * std::min(sent, capacity))
      ledger_.Fault("fewer requests are served in a calm time than servers have room for");
  }

  // A change is acknowledged, all cores tell the newest configuration, all sidecars are ready.
  asio::awaitable<bool> Recovered(const char* after) {
    const auto from = Clock::now();
    std::string lacks = "nothing";
    while (Clock::now() < from + kRecovery) {
      lacks = co_await Lacks(from);
      if (lacks.empty()) co_return true;
      co_await Sleep(io_, kLook);
    }
    ledger_.Fault("not recovered " + std::to_string(kRecovery.count()) + " ms after " + std::string(after) +
                  ": " + lacks);
    co_return false;
  }

  asio::awaitable<std::string> Lacks(Clock::time_point from) {
    cluster_.CheckProcesses();
    const bool operate = rounds_ > 0 || faults_.count() > 0;
    if (operate && operators_.last_acknowledged() < from) co_return "no change is acknowledged";
    const std::int64_t newest = ledger_.newest_acknowledged();
    for (std::size_t i = 0; i < cluster_.cores(); ++i) {
      const auto known = co_await operators_.ReadFrom(i);
      if (!known || known->version < newest) co_return cluster_.node(i).name() + " can't be read";
    }
    for (std::size_t i = 0; i < cluster_.sidecars(); ++i) {
      Caller caller(io_, cluster_.sidecar(i).readiness());
      const auto ready =
          co_await caller.Call(MakeRequest(http::verb::get, "/-/readiness", kHost), kAcknowledge);
      if (!ready || ready->result_int() != 200) co_return cluster_.sidecar(i).name() + " is not ready";
    }
    co_return "";
  }

  // Lets all end in order.
  asio::awaitable<void> Stop() {
    clients_.Stop();
    operators_.Stop();
    const auto until = Clock::now() + kStopWithin;
    while ((!clients_.ended() || !operators_.ended()) && Clock::now() < until) co_await Sleep(io_, kLook);
    ledger_.CheckRuns(cluster_.runs());
    cluster_.CheckProcesses();
    for (std::size_t i = 0; i < cluster_.size(); ++i) cluster_.node(i).Signal(SIGTERM);
    co_await Sleep(io_, kGrace);
    for (std::size_t i = 0; i < cluster_.size(); ++i)
      if (!cluster_.node(i).Ended() || cluster_.node(i).status() != 0)
        ledger_.Fault(cluster_.node(i).name() + " does not end in order after SIGTERM");
  }

  bool Report() const {
    std::printf(
        "seed %lu: %lu rounds, %lu faults, %lu changes acknowledged, %lu reads, %lu of %lu requests served: "
        "%s\n",
        options_.seed, rounds_, faults_.count(), ledger_.acknowledged(), ledger_.reads(), clients_.served(),
        clients_.sent(), ledger_.faults().empty() ? "nothing broken" : "BROKEN");
    if (ledger_.faults().empty()) return true;
    for (const std::string& fault : ledger_.faults()) std::printf("  broken: %s\n", fault.c_str());
    for (const std::string& line : faults_.story()) std::printf("  %s\n", line.c_str());
    std::printf("%s", cluster_.Logs().c_str());
    return false;
  }

  asio::io_context io_{1};
  const RunOptions options_;
  const Clock::time_point begin_ = Clock::now();
  std::mt19937_64 random_;
  Ledger ledger_;
  Cluster cluster_;
  Operators operators_;
  Clients clients_;
  Faults faults_;
  std::uint64_t rounds_ = 0;
};

}  // namespace

bool Run(const RunOptions& options) { return std::make_unique<Soak>(options)->Play(); }

}  // namespace fennelhollow::rig::soak
