// Demo of the mesh on loopback: three core and four sidecar processes with test servers, clients and an
// operator in this process. Under traffic the leader is killed, a server crashes, a second configuration is
// applied and a server drains. Exit status 0 if no unsafe request ran twice or after a refusal, every
// response matched its request, and 95 % were served.
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "rig/mesh/http.hpp"
#include "rig/mesh/node_process.hpp"
#include "rig/mesh/server.hpp"
#include "rig/mesh/shop.hpp"

namespace fennelhollow::rig {
namespace {

constexpr int kCores = 3, kSidecars = 4, kClientsPerSidecar = 4;
constexpr auto kTimeLimit = std::chrono::seconds(28);  // for the whole run
constexpr milliseconds kStartupTimeout{8000}, kTraffic{6000}, kPause{15};
constexpr milliseconds kKillCoreAt{1000}, kKillServerAt{2000}, kReconfigureAt{3000}, kDrainAt{4000};
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kProbeInterval{10};
constexpr double kMinServedShare = 0.95;

struct Totals {
  std::uint64_t sent = 0, served = 0, refused = 0, failed = 0;
};

std::string SecondConfiguration() {
  const nlohmann::json upsert = {{"resourceList", {ConfigurationRoute("stock", "safe", kOrderService)}}};
  return nlohmann::json{{"version", 5}, {"baseVersion", 3}, {"upsert", upsert}}.dump();
}

class Demo {
 public:
  explicit Demo(std::string program) : program_(std::move(program)) {}
  ~Demo() {
    for (const auto& server : servers_) server->Crash();
    nodes_.clear();
    if (!folder_.empty()) std::filesystem::remove_all(folder_);
  }
  Demo(const Demo&) = delete;
  Demo& operator=(const Demo&) = delete;

  int Run() {
    if (!Prepare()) return 1;
    asio::co_spawn(io_, RunScenario(), [this](std::exception_ptr error) {
      if (!error) return;
      ok_ = false;
      std::fprintf(stderr, "mesh demo: stopped by an exception\n");
      io_.stop();
    });
    io_.run_for(kTimeLimit);
    if (!finished_) Fail("time limit exceeded");
    const bool good = PrintSummary() && ok_ && finished_;
    if (!good) PrintLogs();
    return good ? 0 : 1;
  }

 private:
  bool Prepare() {
    std::vector<std::string> ips, seeds;
    for (int i = 0; i < kCores + kSidecars; ++i) ips.push_back("127.0.0." + std::to_string(11 + i));
    seeds.assign(ips.begin(), ips.begin() + kCores);
    const Ports ports = FindPorts(ips);
    if (ports.base == 0) return Fail("no free ports");
    std::string folder = (std::filesystem::temp_directory_path() / "fennelhollow-mesh-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) return Fail("can't create a temporary directory");
    folder_ = folder;
    for (int i = 0; i < kCores + kSidecars; ++i) {
      const bool core = i < kCores;
      NodeProcess::Options options;
      options.program = program_;
      options.folder = folder_;
      options.name = core ? "core-" + std::to_string(i + 1) : "sidecar-" + std::to_string(i - kCores + 1);
      options.role = core ? NodeProcess::Role::kCore : NodeProcess::Role::kSidecar;
      options.ip = ips[static_cast<std::size_t>(i)];
      options.service = i < kCores + kSidecars / 2 ? kPlanService : kOrderService;
      options.ports = ports;
      options.seeds = seeds;
      options.arguments = {"--abort-on-violation"};
      nodes_.push_back(std::make_unique<NodeProcess>(options));
      if (!nodes_.back()->Start()) return Fail("can't start a process");
      if (core) continue;
      Server::Options server;
      server.id = "i-" + std::to_string(i - kCores + 1);
      server.service = options.service;
      server.address = nodes_.back()->application();
      server.control = nodes_.back()->control();
      servers_.push_back(std::make_shared<Server>(io_, server, runs_));
      servers_.back()->Start();
    }
    std::printf("%d cores, %d sidecars, %zu servers of 2 services, %d clients, ports from %u\n", kCores,
                kSidecars, servers_.size(), kSidecars * kClientsPerSidecar,
                static_cast<unsigned>(ports.base));
    return true;
  }

  NodeProcess& Sidecar(int i) { return *nodes_[static_cast<std::size_t>(kCores + i)]; }

  asio::awaitable<void> RunScenario() {
    started_ = Clock::now();
    bool up = co_await PostConfiguration("/-/Configuration.Replace", FirstConfiguration().dump());
    for (int i = 0; up && i < kSidecars; ++i) up = co_await WaitUntilServing(i);
    if (up) {
      std::printf("%6.2f s  all sidecars are ready and serve requests\n", ElapsedSeconds());
      co_await Traffic();
    } else {
      Fail("the mesh did not start in time");
    }
    co_await StopAll();
    finished_ = true;
    io_.stop();
  }

  asio::awaitable<void> Traffic() {
    const auto begin = Clock::now();
    for (int i = 0; i < kSidecars * kClientsPerSidecar; ++i)
      asio::co_spawn(io_, Client(i, begin + kTraffic), asio::detached);
    co_await SleepUntil(begin + kKillCoreAt);
    co_await KillLeader();
    co_await SleepUntil(begin + kKillServerAt);
    servers_.back()->Crash();
    std::printf("%6.2f s  server %s of %s crashes\n", ElapsedSeconds(), servers_.back()->options().id.c_str(),
                servers_.back()->options().service.c_str());
    co_await SleepUntil(begin + kReconfigureAt);
    if (co_await PostConfiguration("/-/Configuration.Modify", SecondConfiguration()))
      co_await WaitUntilEffective();
    else
      Fail("the second configuration was rejected");
    co_await SleepUntil(begin + kDrainAt);
    servers_.front()->Drain();
    std::printf("%6.2f s  server %s of %s drains, deregisters and stops\n", ElapsedSeconds(),
                servers_.front()->options().id.c_str(), servers_.front()->options().service.c_str());
    co_await SleepUntil(begin + kTraffic + kDeadline);
    while (clients_ > 0) co_await Sleep(io_, milliseconds(20));
  }

  asio::awaitable<void> Client(int number, Clock::time_point end) {
    ++clients_;
    HttpConnection connection(io_, Sidecar(number % kSidecars).outbound());
    for (int i = 0; Clock::now() < end; ++i) {
      // Clients are staggered so that safe and unsafe requests overlap.
      co_await SendRequest(connection, (i + number) % 3 == 0);
      co_await Sleep(io_, kPause);
    }
    --clients_;
  }

  asio::awaitable<void> SendRequest(HttpConnection& connection, bool unsafe) {
    const std::string id = NewId();
    if (unsafe) unsafe_.insert(id);
    Request request = ShopRequest(unsafe, unsafe ? "/orders/new" : "/plans/of?dealer=7", id, kDeadline);
    Totals& row = rows_[unsafe ? 1 : 0];
    ++row.sent;
    const auto answer = co_await connection.Call(std::move(request), kDeadline);
    if (!answer) {
      ++row.failed;
    } else if (answer->result_int() / 100 == 2) {
      ++row.served;
      if (answer->body() != Server::Body(id) || (*answer)["Server-Seal"] != Server::Seal(id)) ++mismatched_;
    } else if (answer->result_int() == 503 || answer->result_int() == 429) {
      ++row.refused;
      if (unsafe) refused_.insert(id);  // must not be executed
    } else {
      ++row.failed;
    }
  }

  // Sends an operator's call to the cores in turn until one responds with 200.
  asio::awaitable<bool> PostConfiguration(const char* path, const std::string& body) {
    const auto until = Clock::now() + kStartupTimeout;
    for (std::size_t i = 0; Clock::now() < until; ++i) {
      HttpConnection connection(io_, nodes_[i % kCores]->control());
      const auto answer = co_await connection.Call(
          MakeRequest(http::verb::post, path, connection.address().Text(), body), milliseconds(1000));
      if (answer && answer->result_int() == 200) co_return true;
      if (answer && answer->result_int() / 100 == 4) {
        std::fprintf(stderr, "%s: %u %s\n", path, answer->result_int(), answer->body().c_str());
        co_return false;
      }
      co_await Sleep(io_, milliseconds(100));
    }
    co_return false;
  }

  // Waits until the sidecar is ready and both routes are served.
  asio::awaitable<bool> WaitUntilServing(int sidecar) {
    const auto until = Clock::now() + kStartupTimeout;
    while (Clock::now() < until) {
      HttpConnection readiness(io_, Sidecar(sidecar).readiness());
      const auto ready =
          co_await readiness.Call(MakeRequest(http::verb::get, "/-/readiness", kHost), milliseconds(1000));
      if (ready && ready->result_int() == 200 && co_await Probe(sidecar, "/plans/") == 200 &&
          co_await Probe(sidecar, "/orders/") == 200)
        co_return true;
      co_await Sleep(io_, milliseconds(50));
    }
    co_return false;
  }

  // Status of a request on this route; 0: no response.
  asio::awaitable<unsigned> Probe(int sidecar, std::string path) {
    HttpConnection connection(io_, Sidecar(sidecar).outbound());
    Request request = ShopRequest(false, path, NewId(), milliseconds(1000));
    const auto answer = co_await connection.Call(std::move(request), milliseconds(1000));
    co_return answer ? answer->result_int() : 0;
  }

  asio::awaitable<void> KillLeader() {
    std::string leader;
    for (int i = 0; i < kCores && leader.empty(); ++i) {
      HttpConnection connection(io_, nodes_[static_cast<std::size_t>(i)]->control());
      const auto answer = co_await connection.Call(
          MakeRequest(http::verb::get, "/-/Status", connection.address().Text()), milliseconds(500));
      if (!answer) continue;
      const auto status = nlohmann::json::parse(answer->body(), nullptr, false);
      if (status.is_object()) leader = status.value("holder", "");
    }
    for (int i = 0; i < kCores; ++i) {
      NodeProcess& core = *nodes_[static_cast<std::size_t>(i)];
      if (core.internal().Text() != leader) continue;
      core.Signal(SIGKILL);
      std::printf("%6.2f s  %s, the leader, is killed\n", ElapsedSeconds(), core.name().c_str());
      killed_ = i;
      co_return;
    }
    Fail("no leader found");
  }

  // Measures the time from the operator's 200 until every sidecar accepts requests on the added route.
  asio::awaitable<void> WaitUntilEffective() {
    std::printf("%6.2f s  the second configuration is acknowledged\n", ElapsedSeconds());
    pending_sidecars_ = kSidecars;
    const auto acknowledged_at = Clock::now();
    for (int i = 0; i < kSidecars; ++i)
      asio::co_spawn(io_, ProbeUntilEffective(i, acknowledged_at), asio::detached);
    while (pending_sidecars_ > 0 && Clock::now() < acknowledged_at + kStartupTimeout)
      co_await Sleep(io_, kProbeInterval);
    if (pending_sidecars_ > 0) Fail("the second configuration was not applied in time");
  }

  asio::awaitable<void> ProbeUntilEffective(int sidecar, Clock::time_point acknowledged_at) {
    while (Clock::now() < acknowledged_at + kStartupTimeout) {
      const auto sent = Clock::now();
      const unsigned status = co_await Probe(sidecar, "/stock/of");
      if (status != 404 && status != 0) {
        effect_ms_ =
            std::max(effect_ms_, std::chrono::duration<double, std::milli>(sent - acknowledged_at).count());
        --pending_sidecars_;
        co_return;
      }
      co_await Sleep(io_, kProbeInterval);
    }
  }

  // Sends SIGTERM to all processes; those that outlast the grace period are killed later.
  asio::awaitable<void> StopAll() {
    for (const auto& server : servers_) server->Crash();
    for (const auto& node : nodes_) node->Signal(SIGTERM);
    const auto until = Clock::now() + milliseconds(4000);
    std::size_t ended = 0;
    while (ended < nodes_.size() && Clock::now() < until) {
      co_await Sleep(io_, milliseconds(50));
      ended = 0;
      for (const auto& node : nodes_) ended += node->Ended() ? 1U : 0U;
    }
    for (int i = 0; i < kCores + kSidecars; ++i) {
      const NodeProcess& node = *nodes_[static_cast<std::size_t>(i)];
      if (i != killed_ && node.status() != 0)
        Fail((node.name() + " did not exit with status 0 after SIGTERM").c_str());
    }
  }

  asio::awaitable<void> SleepUntil(Clock::time_point time) {
    const auto left = std::chrono::duration_cast<milliseconds>(time - Clock::now());
    if (left.count() > 0) co_await Sleep(io_, left);
  }

  bool PrintSummary() {
    std::uint64_t executed_twice = 0, executed_after_refusal = 0;
    for (const std::string& id : unsafe_) {
      const auto at = runs_.find(id);
      if (at != runs_.end() && at->second > 1) ++executed_twice;
      if (at != runs_.end() && refused_.count(id) > 0) ++executed_after_refusal;
    }
    const Totals all{rows_[0].sent + rows_[1].sent, rows_[0].served + rows_[1].served,
                     rows_[0].refused + rows_[1].refused, rows_[0].failed + rows_[1].failed};
    std::printf("\n%-8s %8s %8s %8s %8s\n", "kind", "sent", "served", "refused", "failed");
    const std::pair<const char*, Totals> lines[] = {{"safe", rows_[0]}, {"unsafe", rows_[1]}, {"all", all}};
    for (const auto& [name, row] : lines)
      std::printf("%-8s %8lu %8lu %8lu %8lu\n", name, row.sent, row.served, row.refused, row.failed);
    std::printf("\nunsafe requests executed twice:       %lu\n", executed_twice);
    std::printf("unsafe requests executed and refused: %lu\n", executed_after_refusal);
    std::printf("mismatched responses:                 %lu\n", mismatched_);
    std::printf("second configuration applied:         %.1f ms after its 200, by the last sidecar\n",
                effect_ms_);
    const bool served =
        all.sent > 0 && static_cast<double>(all.served) >= kMinServedShare * static_cast<double>(all.sent);
    if (!served) std::printf("less than 95 %% were served\n");
    return served && executed_twice == 0 && executed_after_refusal == 0 && mismatched_ == 0;
  }

  void PrintLogs() const {
    constexpr std::size_t kLast = 2000;
    for (const auto& node : nodes_) {
      const std::string log = node->Log();
      std::fprintf(stderr, "---- %s\n%s", node->name().c_str(),
                   log.substr(log.size() > kLast ? log.size() - kLast : 0).c_str());
    }
  }

  bool Fail(const char* why) {
    std::fprintf(stderr, "mesh demo: %s\n", why);
    ok_ = false;
    return false;
  }
  double ElapsedSeconds() const { return std::chrono::duration<double>(Clock::now() - started_).count(); }
  std::string NewId() { return AttemptId(++last_id_); }

  const std::string program_;
  std::filesystem::path folder_;
  ExecutionCounts runs_;
  asio::io_context io_{1};
  std::vector<std::unique_ptr<NodeProcess>> nodes_;  // cores, then sidecars
  std::vector<std::shared_ptr<Server>> servers_;
  Totals rows_[2];  // safe, unsafe
  std::set<std::string> unsafe_, refused_;
  std::uint64_t last_id_ = 0, mismatched_ = 0;
  int clients_ = 0, killed_ = -1, pending_sidecars_ = 0;
  double effect_ms_ = -1;
  bool ok_ = true, finished_ = false;
  Clock::time_point started_;
};

}  // namespace
}  // namespace fennelhollow::rig

int main(int argc, char** argv) {
  if (argc != 2 || ::access(argv[1], X_OK) != 0) {
    std::fprintf(stderr, "usage: fennelhollow_mesh_demo PROGRAM\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::signal(SIGPIPE, SIG_IGN);
  return fennelhollow::rig::Demo(argv[1]).Run();
}
