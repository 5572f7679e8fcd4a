// Cost of the sidecar over HTTP and Diameter compared with direct connections to the server: throughput, CPU
// per request, added latency; and memory with 200 Diameter peers.
//   build/ci/fronts_bench build/ci/fennelhollow
#include <algorithm>
#include <cstdio>

#include "rig/process.hpp"
#include "rig/test_environment.hpp"

namespace merlinrun::rig {
namespace {

constexpr std::uint64_t kRequests = 8'000;
constexpr int kConcurrency = 16;  // 16 HTTP connections, or one Diameter connection with a window of 16
constexpr int kRounds = 3;        // of all four paths in turn; prints the medians
constexpr int kPeers = 200;

struct Sample {
  double per_second = 0;
  double cpu = 0;  // microseconds per request; 0 without a sidecar
  double p50 = 0;  // milliseconds
  double p99 = 0;
};

// Requests with almost no service time, so that the path dominates.
std::vector<TrafficClass> LightClasses() { return {{"sim-lookup", RetrySafety::kSafe, 1, 3'000'000, 1}}; }

template <typename StartClients>
Sample Measure(TestEnvironment& env, const Process* sidecar, const StartClients& start) {
  env.checker = InvariantChecker();
  TrafficGenerator traffic(env.classes, kRequests, 42);
  const double cpu = sidecar == nullptr ? 0 : sidecar->cpu();
  const Micros started = env.loop.Now();
  const auto clients = start(traffic);
  if (!env.RunUntil([&] { return traffic.remaining() == 0; }, std::chrono::seconds(10)))
    std::printf("  %lu requests were not sent in time\n", traffic.remaining());
  env.RunFor(std::chrono::milliseconds(200));
  Sample out;
  const auto rows = env.checker.Summary();
  const InvariantChecker::ClassSummary& row = rows.begin()->second;
  out.per_second =
      static_cast<double>(kRequests) * 1e6 / static_cast<double>(env.loop.Now() - started - 200'000);
  if (sidecar != nullptr) out.cpu = (sidecar->cpu() - cpu) / static_cast<double>(kRequests);
  out.p50 = static_cast<double>(row.Quantile(0.5)) / 1000;
  out.p99 = static_cast<double>(row.Quantile(0.99)) / 1000;
  if (row.served < kRequests * 99 / 100) std::printf("  only %lu of %lu served\n", row.served, row.sent);
  return out;
}

Sample Median(std::vector<Sample> all) {
  const auto middle = [&](double Sample::*field) {
    std::sort(all.begin(), all.end(), [&](const Sample& a, const Sample& b) { return a.*field < b.*field; });
    return all[all.size() / 2].*field;
  };
  return {middle(&Sample::per_second), middle(&Sample::cpu), middle(&Sample::p50), middle(&Sample::p99)};
}

void Print(const char* name, const Sample& f) {
  std::printf("%-24s %10.0f %12.1f %9.2f %9.2f\n", name, f.per_second, f.cpu, f.p50, f.p99);
}

void MeasureProtocols(const std::string& program) {
  const std::string http = FreeAddress();
  const std::string diameter = FreeAddress();
  const std::string file = ExampleDiameterFile(diameter);
  ServerOptions options;
  options.cores = 64;
  options.connections =
      1'000;  // HTTP does not reuse a connection right away, so that many are open at this rate
  TestEnvironment env(LightClasses(), 1, options, file);
  const Process sidecar(program, env, {http, file, "", ""});
  if (!WaitForListener(env, ParseEndpoint(http)) || !WaitForListener(env, ParseEndpoint(diameter))) return;
  const auto http_clients = [&](const Tcp::endpoint& to) {
    return [&env, to](TrafficGenerator& traffic) {
      std::vector<std::unique_ptr<HttpClient>> clients;
      for (int i = 0; i < kConcurrency; ++i) {
        clients.push_back(std::make_unique<HttpClient>(env.io, env.loop, env.checker, traffic, to,
                                                       "h" + std::to_string(i)));
        clients.back()->Start();
      }
      return clients;
    };
  };
  int restarts = 0;
  const auto diameter_clients = [&](const Tcp::endpoint& to) {
    return [&env, to, &restarts](TrafficGenerator& traffic) {
      auto client = std::make_unique<DiameterClient>(env.io, env.loop, env.checker, traffic, to,
                                                     "backoffice-1.franchise.example", env.application.id,
                                                     kConcurrency, static_cast<std::uint32_t>(++restarts));
      client->Start();
      return client;
    };
  };
  const Server& server = *env.servers[0];
  std::vector<Sample> all[4];
  for (int round = 0; round < kRounds; ++round) {
    all[0].push_back(Measure(env, nullptr, http_clients(server.http())));
    all[1].push_back(Measure(env, nullptr, diameter_clients(server.diameter())));
    all[2].push_back(Measure(env, &sidecar, http_clients(ParseEndpoint(http))));
    all[3].push_back(Measure(env, &sidecar, diameter_clients(ParseEndpoint(diameter))));
  }
  std::printf("%-24s %10s %12s %9s %9s\n", "path", "requests/s", "CPU us each", "p50 ms", "p99 ms");
  const char* const names[] = {"HTTP, direct", "Diameter, direct", "HTTP, sidecar", "Diameter, sidecar"};
  for (int path = 0; path < 4; ++path) Print(names[path], Median(all[path]));
  std::printf("CPU per request, Diameter over HTTP: %.2f\n", Median(all[3]).cpu / Median(all[2]).cpu);
}

void MeasureMemory(const std::string& program) {
  const std::string http = FreeAddress();
  const std::string diameter = FreeAddress();
  std::string file = ExampleDiameterFile(diameter);
  for (int i = 3; i <= kPeers; ++i)
    file += "\n[[client]]\nhost = \"backoffice-" + std::to_string(i) + ".franchise.example\"\ntls = false\n";
  TestEnvironment env(LightClasses(), 1, {}, file);
  long off = 0;
  {
    const Process sidecar(program, env, {http, "", "", ""});
    WaitForListener(env, ParseEndpoint(http));
    off = sidecar.memory();
  }
  const Process sidecar(program, env, {http, file, "", ""});
  if (!WaitForListener(env, ParseEndpoint(diameter))) return;
  const long before = sidecar.memory();
  TrafficGenerator none(env.classes, 0, 1);
  std::vector<std::unique_ptr<DiameterClient>> peers;
  for (int i = 1; i <= kPeers; ++i) {
    peers.push_back(std::make_unique<DiameterClient>(
        env.io, env.loop, env.checker, none, ParseEndpoint(diameter),
        "backoffice-" + std::to_string(i) + ".franchise.example", env.application.id, 1));
    peers.back()->Start();
    env.RunUntil([&] { return peers.back()->up(); }, std::chrono::seconds(5));
  }
  const long after = sidecar.memory();
  std::printf("memory: off %ld KiB, on %ld KiB, with %d peers %ld KiB (%.1f KiB per peer)\n", off, before,
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
  merlinrun::rig::MeasureProtocols(argv[1]);
  merlinrun::rig::MeasureMemory(argv[1]);
  return 0;
}
