// Shows that it works, in two parts. First: stand-in servers, a real sidecar process, some seconds of traffic
// over HTTP and Diameter, a server killed in the midst of it with a port begun, another drained, a back
// office restarted; then what became of each class, and what the ledger says. Then a sidecar over HTTP alone
// is drained, brought back and replaced by a second process under load. Exit status 0 if no rule was broken.
#include <algorithm>
#include <csignal>
#include <cstdio>

#include "rig/process.hpp"
#include "rig/world.hpp"

namespace merlinrun::rig {
namespace {

constexpr int kServers = 6;
constexpr std::uint64_t kRequests = 20'000;
constexpr int kHttpClients = 16;

void Print(const Ledger& ledger, Micros now) {
  std::printf("\n%-12s %7s %7s %8s %7s %7s %9s %9s\n", "class", "asked", "served", "refused", "failed", "ran",
              "p50 ms", "p99 ms");
  for (const auto& [name, row] : ledger.Rows())
    std::printf("%-12s %7lu %7lu %8lu %7lu %7lu %9.1f %9.1f\n", name.c_str(), row.asked, row.served,
                row.refused, row.failed, row.ran, static_cast<double>(row.Quantile(0.5)) / 1000,
                static_cast<double>(row.Quantile(0.99)) / 1000);
  const std::size_t owed = ledger.Owed(now).size();
  std::printf("\nledger: %lu broken rules, %zu answers owed\n", ledger.broken_count(), owed);
  for (const std::string& line : ledger.broken()) std::printf("  %s\n", line.c_str());
}

int Run(const std::string& program) {
  const std::string http = FreeAddress();
  const std::string diameter = FreeAddress();
  const std::string file = ExampleDiameterFile(diameter);
  World world(ShortClasses(), kServers, {}, file);
  const std::string ops = FreeAddress();
  const Process sidecar(program, world, {http, file, ops, ""});
  if (!WaitFor(world, At(http)) || !WaitFor(world, At(diameter)) || !sidecar.runs()) {
    std::fprintf(stderr, "demo: the sidecar does not come up\n");
    return 1;
  }
  std::printf("%d stand-in servers, a sidecar, %d till connections over HTTP, 2 back offices over Diameter\n",
              kServers, kHttpClients);
  Traffic traffic(world.classes, kRequests, 42);
  bool killed = false;
  world.servers[1]->set_script([&](const std::string& id, const std::string& name) {
    if (killed || name != "number-port" || traffic.asked() < kRequests / 3) return Server::Fault::kNone;
    killed = true;
    std::printf("killing s-1 with port %s begun\n", id.c_str());
    world.loop.Post([&] { world.discovery.Set(*world.servers[1], "removed"); });
    return Server::Fault::kDie;
  });
  std::vector<std::unique_ptr<HttpClient>> tills;
  for (int i = 0; i < kHttpClients; ++i) {
    tills.push_back(std::make_unique<HttpClient>(world.io, world.loop, world.ledger, traffic, At(http),
                                                 "till" + std::to_string(i)));
    tills.back()->Start();
  }
  std::vector<std::unique_ptr<DiameterClient>> offices;
  for (int i = 1; i <= 2; ++i) {
    offices.push_back(std::make_unique<DiameterClient>(
        world.io, world.loop, world.ledger, traffic, At(diameter),
        "backoffice-" + std::to_string(i) + ".franchise.example", world.application.id, 8));
    offices.back()->Start();
  }
  const auto reach = [&](std::uint64_t asked) {
    return world.RunUntil([&] { return traffic.asked() >= asked; });
  };
  bool whole = reach(kRequests / 2);
  std::printf("draining s-2\n");
  world.discovery.Set(*world.servers[2], "draining");
  whole = whole && reach(2 * kRequests / 3);
  std::printf("restarting back office 1, which sends again what it has no answer to\n");
  offices[0]->Restart();
  whole = whole && world.RunUntil([&] {
    bool idle = traffic.left() == 0;
    for (const auto& till : tills) idle = idle && till->idle();
    for (const auto& office : offices) idle = idle && office->idle();
    return idle;
  });
  Print(world.ledger, world.loop.Now());
  std::printf("\nfigures: %s", Call(ops, "GET", "/api/telemetry").body.c_str());
  return whole && killed && sidecar.runs() && world.ledger.broken_count() == 0 ? 0 : 1;
}

// Drain, return and upgrade, as the operators do it; the clients must not notice.
int Operate(const std::string& program) {
  const std::string listen = FreeAddress();
  const std::string ops[] = {FreeAddress(), FreeAddress()};
  const auto temporary = NewFolder();
  World world(ShortClasses(), kServers, {}, ExampleDiameterFile(FreeAddress()));
  Process first(program, world, {listen, "", ops[0], temporary.string()});
  if (!WaitForReady(world, ops[0])) return 1;
  Traffic traffic(world.classes, kRequests / 4, 7);
  std::vector<std::unique_ptr<HttpClient>> tills;
  for (int i = 0; i < kHttpClients; ++i) {
    tills.push_back(std::make_unique<HttpClient>(world.io, world.loop, world.ledger, traffic, At(listen),
                                                 "op" + std::to_string(i)));
    tills.back()->Start();
  }
  const auto reach = [&](std::uint64_t part) {
    return world.RunUntil([&] { return traffic.asked() >= part * kRequests / 16; });
  };
  bool whole = reach(1);
  Call(ops[0], "PUT", "/api/evacuate");
  std::printf("\nevacuated: /ready says %u, and what still comes is served\n",
              Call(listen, "GET", "/ready").status);
  world.RunFor(std::chrono::milliseconds(300));
  Call(ops[0], "PUT", "/api/rejoin");
  std::printf("rejoined: /ready says %u\n", Call(listen, "GET", "/ready").status);
  whole = whole && reach(2);
  const Process second(program, world, {listen, "", ops[1], temporary.string()});
  whole = whole && WaitForReady(world, ops[1]);
  first.Signal(SIGTERM);
  const int status = first.Wait(world);
  std::printf("a second process serves at the same address; the first has ended with status %d\n", status);
  whole = whole && status == 0 && world.RunUntil([&] {
    return std::all_of(tills.begin(), tills.end(), [](const auto& till) { return till->idle(); });
  });
  Print(world.ledger, world.loop.Now());
  std::filesystem::remove_all(temporary);
  return whole && world.ledger.broken_count() == 0 ? 0 : 1;
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
