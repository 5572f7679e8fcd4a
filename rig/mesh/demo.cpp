// Shows the mesh at work, on loopback: three cores and four sidecars as processes of the real program,
// stand-in servers, clients and an operator in this one. In the midst of traffic the core that holds the
// order is killed, a server dies, a second configuration comes and a server drains. Exit status 0 if nothing
// unsafe ran twice, nothing that was told to be refused has run, no answer was another's, and 95 in 100 were
// served.
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

constexpr int kCores = 3, kSidecars = 4, kClientsEach = 4;
constexpr auto kWhole = std::chrono::seconds(28);  // then all is ended, whatever it is at
constexpr milliseconds kComeUp{8000}, kTraffic{6000}, kPause{15};
constexpr milliseconds kKillCoreAt{1000}, kKillServerAt{2000}, kSecondAt{3000}, kDrainAt{4000};
constexpr milliseconds kDeadline{2000};
constexpr milliseconds kProbe{10};
constexpr double kServedAtLeast = 0.95;

struct Row {
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
    for (const auto& server : servers_) server->Die();
    nodes_.clear();
    if (!folder_.empty()) std::filesystem::remove_all(folder_);
  }
  Demo(const Demo&) = delete;
  Demo& operator=(const Demo&) = delete;

  int Run() {
    if (!Prepare()) return 1;
    asio::co_spawn(io_, Play(), [this](std::exception_ptr error) {
      if (!error) return;
      whole_ = false;
      std::fprintf(stderr, "mesh demo: an exception ended it\n");
      io_.stop();
    });
    io_.run_for(kWhole);
    if (!over_) Fail("it did not end in time");
    const bool good = Print() && whole_ && over_;
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
    if (::mkdtemp(folder.data()) == nullptr) return Fail("no temporary folder");
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
      if (!nodes_.back()->Start()) return Fail("a process can't be started");
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
                kSidecars, servers_.size(), kSidecars * kClientsEach, static_cast<unsigned>(ports.base));
    return true;
  }

  NodeProcess& Sidecar(int i) { return *nodes_[static_cast<std::size_t>(kCores + i)]; }

  asio::awaitable<void> Play() {
    started_ = Clock::now();
    bool up = co_await Put("/-/Configuration.Replace", FirstConfiguration().dump());
    for (int i = 0; up && i < kSidecars; ++i) up = co_await Serves(i);
    if (up) {
      std::printf("%6.2f s  all sidecars are ready and serve\n", At());
      co_await Traffic();
    } else {
      Fail("the mesh does not come up");
    }
    co_await End();
    over_ = true;
    io_.stop();
  }

  asio::awaitable<void> Traffic() {
    const auto begin = Clock::now();
    for (int i = 0; i < kSidecars * kClientsEach; ++i)
      asio::co_spawn(io_, Client(i, begin + kTraffic), asio::detached);
    co_await Until(begin + kKillCoreAt);
    co_await KillHolder();
    co_await Until(begin + kKillServerAt);
    servers_.back()->Die();
    std::printf("%6.2f s  server %s of %s dies\n", At(), servers_.back()->options().id.c_str(),
                servers_.back()->options().service.c_str());
    co_await Until(begin + kSecondAt);
    if (co_await Put("/-/Configuration.Modify", SecondConfiguration()))
      co_await SeeEffect();
    else
      Fail("the second configuration is not taken");
    co_await Until(begin + kDrainAt);
    servers_.front()->Drain();
    std::printf("%6.2f s  server %s of %s drains, departs and ends\n", At(),
                servers_.front()->options().id.c_str(), servers_.front()->options().service.c_str());
    co_await Until(begin + kTraffic + kDeadline);
    while (clients_ > 0) co_await Sleep(io_, milliseconds(20));
  }

  asio::awaitable<void> Client(int number, Clock::time_point end) {
    ++clients_;
    Caller caller(io_, Sidecar(number % kSidecars).outbound());
    for (int i = 0; Clock::now() < end; ++i) {
      // Each client has its own thirds, so that both kinds are under way at any moment.
      co_await Ask(caller, (i + number) % 3 == 0);
      co_await Sleep(io_, kPause);
    }
    --clients_;
  }

  asio::awaitable<void> Ask(Caller& caller, bool unsafe) {
    const std::string id = NewId();
    if (unsafe) unsafe_.insert(id);
    Request request = ShopRequest(unsafe, unsafe ? "/orders/new" : "/plans/of?dealer=7", id, kDeadline);
    Row& row = rows_[unsafe ? 1 : 0];
    ++row.sent;
    const auto answer = co_await caller.Call(std::move(request), kDeadline);
    if (!answer) {
      ++row.failed;
    } else if (answer->result_int() / 100 == 2) {
      ++row.served;
      if (answer->body() != Server::Body(id) || (*answer)["Server-Seal"] != Server::Seal(id)) ++mixed_;
    } else if (answer->result_int() == 503 || answer->result_int() == 429) {
      ++row.refused;
      if (unsafe) refused_.insert(id);  // a promise
    } else {
      ++row.failed;
    }
  }

  // An operator's call: to the cores in turn, unchanged, until one says 200.
  asio::awaitable<bool> Put(const char* path, const std::string& body) {
    const auto until = Clock::now() + kComeUp;
    for (std::size_t i = 0; Clock::now() < until; ++i) {
      Caller caller(io_, nodes_[i % kCores]->control());
      const auto answer = co_await caller.Call(
          MakeRequest(http::verb::post, path, caller.address().Text(), body), milliseconds(1000));
      if (answer && answer->result_int() == 200) co_return true;
      if (answer && answer->result_int() / 100 == 4) {
        std::fprintf(stderr, "%s: %u %s\n", path, answer->result_int(), answer->body().c_str());
        co_return false;
      }
      co_await Sleep(io_, milliseconds(100));
    }
    co_return false;
  }

  // Ready, and both routes have a server.
  asio::awaitable<bool> Serves(int sidecar) {
    const auto until = Clock::now() + kComeUp;
    while (Clock::now() < until) {
      Caller readiness(io_, Sidecar(sidecar).readiness());
      const auto ready =
          co_await readiness.Call(MakeRequest(http::verb::get, "/-/readiness", kHost), milliseconds(1000));
      if (ready && ready->result_int() == 200 && co_await Probe(sidecar, "/plans/") == 200 &&
          co_await Probe(sidecar, "/orders/") == 200)
        co_return true;
      co_await Sleep(io_, milliseconds(50));
    }
    co_return false;
  }

  // The status of a request on this route; 0: none came.
  asio::awaitable<unsigned> Probe(int sidecar, std::string path) {
    Caller caller(io_, Sidecar(sidecar).outbound());
    Request request = ShopRequest(false, path, NewId(), milliseconds(1000));
    const auto answer = co_await caller.Call(std::move(request), milliseconds(1000));
    co_return answer ? answer->result_int() : 0;
  }

  asio::awaitable<void> KillHolder() {
    std::string holder;
    for (int i = 0; i < kCores && holder.empty(); ++i) {
      Caller caller(io_, nodes_[static_cast<std::size_t>(i)]->control());
      const auto answer = co_await caller.Call(
          MakeRequest(http::verb::get, "/-/Status", caller.address().Text()), milliseconds(500));
      if (!answer) continue;
      const auto status = nlohmann::json::parse(answer->body(), nullptr, false);
      if (status.is_object()) holder = status.value("holder", "");
    }
    for (int i = 0; i < kCores; ++i) {
      NodeProcess& core = *nodes_[static_cast<std::size_t>(i)];
      if (core.internal().Text() != holder) continue;
      core.Signal(SIGKILL);
      std::printf("%6.2f s  %s, which holds the order, is killed\n", At(), core.name().c_str());
      killed_ = i;
      co_return;
    }
    Fail("no core holds the order");
  }

  // From the operator's 200 until the sending of the first request that each sidecar lets on the added route.
  asio::awaitable<void> SeeEffect() {
    std::printf("%6.2f s  the second configuration is acknowledged\n", At());
    unseen_ = kSidecars;
    const auto taken = Clock::now();
    for (int i = 0; i < kSidecars; ++i) asio::co_spawn(io_, SeeAt(i, taken), asio::detached);
    while (unseen_ > 0 && Clock::now() < taken + kComeUp) co_await Sleep(io_, kProbe);
    if (unseen_ > 0) Fail("the second configuration has no effect");
  }

  asio::awaitable<void> SeeAt(int sidecar, Clock::time_point taken) {
    while (Clock::now() < taken + kComeUp) {
      const auto sent = Clock::now();
      const unsigned status = co_await Probe(sidecar, "/stock/of");
      if (status != 404 && status != 0) {
        effect_ms_ = std::max(effect_ms_, std::chrono::duration<double, std::milli>(sent - taken).count());
        --unseen_;
        co_return;
      }
      co_await Sleep(io_, kProbe);
    }
  }

  // SIGTERM to all; those that do not end within their grace period are killed.
  asio::awaitable<void> End() {
    for (const auto& server : servers_) server->Die();
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
        Fail((node.name() + " did not end with status 0 after SIGTERM").c_str());
    }
  }

  asio::awaitable<void> Until(Clock::time_point time) {
    const auto left = std::chrono::duration_cast<milliseconds>(time - Clock::now());
    if (left.count() > 0) co_await Sleep(io_, left);
  }

  bool Print() {
    std::uint64_t twice = 0, broken_promises = 0;
    for (const std::string& id : unsafe_) {
      const auto at = runs_.find(id);
      if (at != runs_.end() && at->second > 1) ++twice;
      if (at != runs_.end() && refused_.count(id) > 0) ++broken_promises;
    }
    const Row all{rows_[0].sent + rows_[1].sent, rows_[0].served + rows_[1].served,
                  rows_[0].refused + rows_[1].refused, rows_[0].failed + rows_[1].failed};
    std::printf("\n%-8s %8s %8s %8s %8s\n", "kind", "sent", "served", "refused", "failed");
    const std::pair<const char*, Row> lines[] = {{"safe", rows_[0]}, {"unsafe", rows_[1]}, {"all", all}};
    for (const auto& [name, row] : lines)
      std::printf("%-8s %8lu %8lu %8lu %8lu\n", name, row.sent, row.served, row.refused, row.failed);
    std::printf("\nunsafe requests run twice:            %lu\n", twice);
    std::printf("refused, and run all the same:        %lu\n", broken_promises);
    std::printf("answers that were not the request's:  %lu\n", mixed_);
    std::printf("second configuration in force:        %.1f ms after its 200, at the last sidecar\n",
                effect_ms_);
    const bool served =
        all.sent > 0 && static_cast<double>(all.served) >= kServedAtLeast * static_cast<double>(all.sent);
    if (!served) std::printf("fewer than 95 in 100 were served\n");
    return served && twice == 0 && broken_promises == 0 && mixed_ == 0;
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
    whole_ = false;
    return false;
  }
  double At() const { return std::chrono::duration<double>(Clock::now() - started_).count(); }
  std::string NewId() { return AttemptId(++last_id_); }

  const std::string program_;
  std::filesystem::path folder_;
  Runs runs_;
  asio::io_context io_{1};
  std::vector<std::unique_ptr<NodeProcess>> nodes_;  // cores, then sidecars
  std::vector<std::shared_ptr<Server>> servers_;
  Row rows_[2];  // safe, unsafe
  std::set<std::string> unsafe_, refused_;
  std::uint64_t last_id_ = 0, mixed_ = 0;
  int clients_ = 0, killed_ = -1, unseen_ = 0;
  double effect_ms_ = -1;
  bool whole_ = true, over_ = false;
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
