// Startup time until the first accepted connection, and memory at that time, compared with an earlier build.
// Both builds run in turn, so that other load on the machine affects both.
//   build/ci/start_bench build/deploy/fennelhollow EARLIER/build/deploy/fennelhollow
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <optional>
#include <thread>
#include <vector>

#include "rig/process.hpp"
#include "rig/test_environment.hpp"

namespace merlinrun::rig {
namespace {

constexpr int kRounds = 200;
constexpr auto kPollInterval = std::chrono::microseconds(50);  // between two connection attempts
constexpr auto kTimeout = std::chrono::seconds(5);

struct Start {
  double ready_ms = 0;
  double memory_kib = 0;
};

std::optional<Start> StartOnce(TestEnvironment& env, const std::string& program) {
  const std::string listen = FreeAddress();
  const auto started = std::chrono::steady_clock::now();
  const Process sidecar(program, env, {listen, "", "", ""});
  while (std::chrono::steady_clock::now() - started < kTimeout) {
    Tcp::socket socket(env.io);
    boost::system::error_code error;
    socket.connect(ParseEndpoint(listen), error);
    const auto elapsed = std::chrono::steady_clock::now() - started;
    if (!error)
      return Start{std::chrono::duration<double, std::milli>(elapsed).count(),
                   static_cast<double>(sidecar.memory())};
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

double Quantile(std::vector<Start> all, double Start::*field, double q) {
  std::sort(all.begin(), all.end(), [&](const Start& a, const Start& b) { return a.*field < b.*field; });
  return all[static_cast<std::size_t>(q * static_cast<double>(all.size() - 1))].*field;
}

int Compare(const char* const* programs) {
  TestEnvironment env({{"sim-lookup", RetrySafety::kSafe, 1, 3'000'000, 1}}, 4, {},
                      ExampleDiameterFile("127.0.0.1:0"));
  std::vector<Start> all[2];
  for (int round = 0; round < kRounds; ++round)
    for (int which = 0; which < 2; ++which) {
      const auto start = StartOnce(env, programs[which]);
      if (!start) return std::fprintf(stderr, "%s was not ready in time\n", programs[which]), 1;
      all[which].push_back(*start);
    }
  std::printf("%-10s %12s %12s %12s\n", "build", "ready, p50", "ready, p90", "memory, p50");
  for (int which = 0; which < 2; ++which)
    std::printf("%-10s %9.2f ms %9.2f ms %8.0f KiB\n", which == 0 ? "this" : "earlier",
                Quantile(all[which], &Start::ready_ms, 0.5), Quantile(all[which], &Start::ready_ms, 0.9),
                Quantile(all[which], &Start::memory_kib, 0.5));
  std::printf("ready, this over earlier: %.3f; memory: %+.0f KiB\n",
              Quantile(all[0], &Start::ready_ms, 0.5) / Quantile(all[1], &Start::ready_ms, 0.5),
              Quantile(all[0], &Start::memory_kib, 0.5) - Quantile(all[1], &Start::memory_kib, 0.5));
  return 0;
}

}  // namespace
}  // namespace merlinrun::rig

int main(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: start_bench PROGRAM EARLIER\n");
    return 2;
  }
  return merlinrun::rig::Compare(argv + 1);
}
