// What the sidecar costs over each protocol, beside going to the server directly, all in one run: requests a
// second, its CPU a request, the time that it adds; and its memory with 200 Diameter peers.
//   build/ci/fronts_bench build/ci/fennelhollow
#include <algorithm>
#include <cstdio>

#include "rig/process.hpp"
#include "rig/world.hpp"

namespace merlinrun::rig {
namespace {

constexpr std::uint64_t kRequests = 8'000;
constexpr int kUnderWay = 16;  // at once, whatever the protocol: 16 connections, or a window of 16 on one
constexpr int kRounds = 3;     // of all four ways in turn; the median of each is shown
constexpr int kPeers = 200;

struct Figures {
  double per_second = 0;
  double cpu = 0;  // microseconds a request; 0 where no sidecar was in between
  double p50 = 0;  // milliseconds
  double p99 = 0;
};

// Requests that cost the server next to nothing, so that what is seen is the way there and back.
std::vector<WorkClass> LightClasses() { return {{"sim-lookup", RetrySafety::kSafe, 1, 3'000'000, 1}}; }

template <typename StartClients>
Figures Measure(World& world, const Process* sidecar, const StartClients& start) {
  world.ledger = Ledger();
  Traffic traffic(world.classes, kRequests, 42);
  const double cpu = sidecar == nullptr ? 0 : sidecar->cpu();
  const Micros begun = world.loop.Now();
  const auto clients = start(traffic);
  if (!world.RunUntil([&] { return traffic.left() == 0; }, std::chrono::seconds(10)))
    std::printf("  %lu requests were not asked in time\n", traffic.left());
  world.RunFor(std::chrono::milliseconds(200));
  Figures out;
  const auto rows = world.ledger.Rows();
  const Ledger::Row& row = rows.begin()->second;
  out.per_second =
      static_cast<double>(kRequests) * 1e6 / static_cast<double>(world.loop.Now() - begun - 200'000);
  if (sidecar != nullptr) out.cpu = (sidecar->cpu() - cpu) / static_cast<double>(kRequests);
  out.p50 = static_cast<double>(row.Quantile(0.5)) / 1000;
  out.p99 = static_cast<double>(row.Quantile(0.99)) / 1000;
  if (row.served < kRequests * 99 / 100) std::printf("  only %lu of %lu served\n", row.served, row.asked);
  return out;
}

Figures Median(std::vector<Figures> all) {
  const auto middle = [&](double Figures::*field) {
    std::sort(all.begin(), all.end(),
              [&](const Figures& a, const Figures& b) { return a.*field < b.*field; });
    return all[all.size() / 2].*field;
  };
  return {middle(&Figures::per_second), middle(&Figures::cpu), middle(&Figures::p50), middle(&Figures::p99)};
}

void Print(const char* name, const Figures& f) {
  std::printf("%-24s %10.0f %12.1f %9.2f %9.2f\n", name, f.per_second, f.cpu, f.p50, f.p99);
}

void MeasureFronts(const std::string& program) {
  const std::string http = FreeAddress();
  const std::string diameter = FreeAddress();
  const std::string file = ExampleDiameterFile(diameter);
  ServerOptions options;
  options.cores = 64;
  options.connections =
      1'000;  // HTTP rests a connection after each answer, so that at this rate it holds many
  World world(LightClasses(), 1, options, file);
  const Process sidecar(program, world, {http, file, "", ""});
  if (!WaitFor(world, At(http)) || !WaitFor(world, At(diameter))) return;
  const auto over_http = [&](const Tcp::endpoint& to) {
    return [&world, to](Traffic& traffic) {
      std::vector<std::unique_ptr<HttpClient>> clients;
      for (int i = 0; i < kUnderWay; ++i) {
        clients.push_back(std::make_unique<HttpClient>(world.io, world.loop, world.ledger, traffic, to,
                                                       "h" + std::to_string(i)));
        clients.back()->Start();
      }
      return clients;
    };
  };
  int restarts = 0;
  const auto over_diameter = [&](const Tcp::endpoint& to) {
    return [&world, to, &restarts](Traffic& traffic) {
      auto client = std::make_unique<DiameterClient>(world.io, world.loop, world.ledger, traffic, to,
                                                     "backoffice-1.franchise.example", world.application.id,
                                                     kUnderWay, static_cast<std::uint32_t>(++restarts));
      client->Start();
      return client;
    };
  };
  const Server& server = *world.servers[0];
  std::vector<Figures> all[4];
  for (int round = 0; round < kRounds; ++round) {
    all[0].push_back(Measure(world, nullptr, over_http(server.http())));
    all[1].push_back(Measure(world, nullptr, over_diameter(server.diameter())));
    all[2].push_back(Measure(world, &sidecar, over_http(At(http))));
    all[3].push_back(Measure(world, &sidecar, over_diameter(At(diameter))));
  }
  std::printf("%-24s %10s %12s %9s %9s\n", "way", "a second", "CPU us each", "p50 ms", "p99 ms");
  const char* const names[] = {"HTTP, direct", "Diameter, direct", "HTTP, sidecar", "Diameter, sidecar"};
  for (int way = 0; way < 4; ++way) Print(names[way], Median(all[way]));
  std::printf("CPU a request, Diameter over HTTP: %.2f\n", Median(all[3]).cpu / Median(all[2]).cpu);
}

void MeasureMemory(const std::string& program) {
  const std::string http = FreeAddress();
  const std::string diameter = FreeAddress();
  std::string file = ExampleDiameterFile(diameter);
  for (int i = 3; i <= kPeers; ++i)
    file += "\n[[client]]\nhost = \"backoffice-" + std::to_string(i) + ".franchise.example\"\ntls = false\n";
  World world(LightClasses(), 1, {}, file);
  long off = 0;
  {
    const Process sidecar(program, world, {http, "", "", ""});
    WaitFor(world, At(http));
    off = sidecar.memory();
  }
  const Process sidecar(program, world, {http, file, "", ""});
  if (!WaitFor(world, At(diameter))) return;
  const long before = sidecar.memory();
  Traffic none(world.classes, 0, 1);
  std::vector<std::unique_ptr<DiameterClient>> peers;
  for (int i = 1; i <= kPeers; ++i) {
    peers.push_back(std::make_unique<DiameterClient>(world.io, world.loop, world.ledger, none, At(diameter),
                                                     "backoffice-" + std::to_string(i) + ".franchise.example",
                                                     world.application.id, 1));
    peers.back()->Start();
    world.RunUntil([&] { return peers.back()->up(); }, std::chrono::seconds(5));
  }
  const long after = sidecar.memory();
  std::printf("memory: off %ld KiB, on %ld KiB, with %d peers %ld KiB (%.1f KiB a peer)\n", off, before,
              kPeers, after, static_cast<double>(after - before) / kPeers);
}

}  // namespace
}  // namespace merlinrun::rig

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: fronts_bench PROGRAM\n");
    return 2;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  merlinrun::rig::MeasureFronts(argv[1]);
  merlinrun::rig::MeasureMemory(argv[1]);
  return 0;
}
