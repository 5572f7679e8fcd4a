// Demo of the sidecar in two parts. 1: HTTP and Diameter traffic from test clients through a sidecar process
// to test servers, while one server crashes, another drains and a Diameter client restarts; prints the totals
// of each class. 2: an HTTP sidecar is drained, resumed and upgraded under load. Exit status 0 if no
// invariant was violated.
#include <algorithm>
#include <csignal>
#include <cstdio>

#include "rig/process.hpp"
#include "rig/test_environment.hpp"

namespace merlinrun::rig {
namespace {

constexpr int kServers = 6;
constexpr std::uint64_t kRequests = 20'000;
constexpr int kHttpClients = 16;

void Print(const InvariantChecker& checker, Micros now) {
  std::printf("\n%-12s %7s %7s %8s %7s %7s %9s %9s\n", "class", "sent", "served", "refused", "failed", "runs",
              "p50 ms", "p99 ms");
  for (const auto& [name, row] : checker.Summary())
    std::printf("%-12s %7lu %7lu %8lu %7lu %7lu %9.1f %9.1f\n", name.c_str(), row.sent, row.served,
                row.refused, row.failed, row.executed, static_cast<double>(row.Quantile(0.5)) / 1000,
                static_cast<double>(row.Quantile(0.99)) / 1000);
  const std::size_t overdue = checker.Overdue(now).size();
  std::printf("\ninvariants: %lu violations, %zu responses overdue\n", checker.violation_count(), overdue);
  for (const std::string& line : checker.violations()) std::printf("  %s\n", line.c_str());
}

int Run(const std::string& program) {
  const std::string http = FreeAddress();
  const std::string diameter = FreeAddress();
  const std::string file = ExampleDiameterFile(diameter);
  TestEnvironment env(ShortClasses(), kServers, {}, file);
  const std::string ops = FreeAddress();
  const Process sidecar(program, env, {http, file, ops, ""});
  if (!WaitForListener(env, ParseEndpoint(http)) || !WaitForListener(env, ParseEndpoint(diameter)) ||
      !sidecar.runs()) {
    std::fprintf(stderr, "demo: the sidecar did not start\n");
    return 1;
  }
  std::printf("%d test servers, a sidecar, %d HTTP clients, 2 Diameter clients\n", kServers, kHttpClients);
  TrafficGenerator traffic(env.classes, kRequests, 42);
  bool killed = false;
  env.servers[1]->set_script([&](const std::string& id, const std::string& name) {
    if (killed || name != "number-port" || traffic.issued() < kRequests / 3) return Server::Fault::kNone;
    killed = true;
    std::printf("killing s-1 while it executes number-port %s\n", id.c_str());
    env.loop.Post([&] { env.discovery.Set(*env.servers[1], "removed"); });
    return Server::Fault::kCrash;
  });
  std::vector<std::unique_ptr<HttpClient>> http_clients;
  for (int i = 0; i < kHttpClients; ++i) {
    http_clients.push_back(std::make_unique<HttpClient>(env.io, env.loop, env.checker, traffic,
                                                        ParseEndpoint(http), "till" + std::to_string(i)));
    http_clients.back()->Start();
  }
  std::vector<std::unique_ptr<DiameterClient>> diameter_clients;
  for (int i = 1; i <= 2; ++i) {
    diameter_clients.push_back(std::make_unique<DiameterClient>(
        env.io, env.loop, env.checker, traffic, ParseEndpoint(diameter),
        "backoffice-" + std::to_string(i) + ".franchise.example", env.application.id, 8));
    diameter_clients.back()->Start();
  }
  const auto reach = [&](std::uint64_t issued_target) {
    return env.RunUntil([&] { return traffic.issued() >= issued_target; });
  };
  bool succeeded = reach(kRequests / 2);
  std::printf("draining s-2\n");
  env.discovery.Set(*env.servers[2], "draining");
  succeeded = succeeded && reach(2 * kRequests / 3);
  std::printf("restarting Diameter client 1, which retransmits its unanswered requests\n");
  diameter_clients[0]->Restart();
  succeeded = succeeded && env.RunUntil([&] {
    bool idle = traffic.remaining() == 0;
    for (const auto& client : http_clients) idle = idle && client->idle();
    for (const auto& client : diameter_clients) idle = idle && client->idle();
    return idle;
  });
  Print(env.checker, env.loop.Now());
  std::printf("\ntelemetry: %s", HttpCall(ops, "GET", "/api/telemetry").body.c_str());
  return succeeded && killed && sidecar.runs() && env.checker.violation_count() == 0 ? 0 : 1;
}

// Drains, resumes and upgrades a sidecar; clients must not notice.
int Operate(const std::string& program) {
  const std::string listen = FreeAddress();
  const std::string ops[] = {FreeAddress(), FreeAddress()};
  const auto tmpdir = MakeTempDirectory();
  TestEnvironment env(ShortClasses(), kServers, {}, ExampleDiameterFile(FreeAddress()));
  Process first(program, env, {listen, "", ops[0], tmpdir.string()});
  if (!WaitForReady(env, ops[0])) return 1;
  TrafficGenerator traffic(env.classes, kRequests / 4, 7);
  std::vector<std::unique_ptr<HttpClient>> http_clients;
  for (int i = 0; i < kHttpClients; ++i) {
    http_clients.push_back(std::make_unique<HttpClient>(env.io, env.loop, env.checker, traffic,
                                                        ParseEndpoint(listen), "op" + std::to_string(i)));
    http_clients.back()->Start();
  }
  const auto reach = [&](std::uint64_t part) {
    return env.RunUntil([&] { return traffic.issued() >= part * kRequests / 16; });
  };
  bool succeeded = reach(1);
  HttpCall(ops[0], "PUT", "/api/evacuate");
  std::printf("\nevacuated: /ready returns %u, remaining requests are still served\n",
              HttpCall(listen, "GET", "/ready").status);
  env.RunFor(std::chrono::milliseconds(300));
  HttpCall(ops[0], "PUT", "/api/rejoin");
  std::printf("rejoined: /ready returns %u\n", HttpCall(listen, "GET", "/ready").status);
  succeeded = succeeded && reach(2);
  const Process second(program, env, {listen, "", ops[1], tmpdir.string()});
  succeeded = succeeded && WaitForReady(env, ops[1]);
  first.Signal(SIGTERM);
  const int status = first.Wait(env);
  std::printf("a second process serves the same address; the first exited with status %d\n", status);
  succeeded = succeeded && status == 0 && env.RunUntil([&] {
    return std::all_of(http_clients.begin(), http_clients.end(),
                       [](const auto& client) { return client->idle(); });
  });
  Print(env.checker, env.loop.Now());
  std::filesystem::remove_all(tmpdir);
  return succeeded && env.checker.violation_count() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace merlinrun::rig

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: fennelhollow_demo PROGRAM\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const int served = merlinrun::rig::Run(argv[1]);
  return served != 0 ? served : merlinrun::rig::Operate(argv[1]);
}
