// fennelhollow_control_sim: runs fault schedules against the control plane in virtual time.
#include <glog/logging.h>

#include <algorithm>
#include <argagg/argagg.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "rig/sim/simulation.hpp"

namespace {

using namespace fennelhollow::sim;

int RunSeeds(std::uint64_t first, std::uint64_t count, bool shrink) {
  std::size_t violations = 0, acknowledged = 0, refused = 0, reads = 0, faults = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Schedule schedule = Draw(seed);
    const RunResult result = RunSchedule(schedule);
    acknowledged += result.acknowledged;
    refused += result.refused;
    reads += result.reads;
    faults += result.faults;
    if (result.violation.empty()) continue;
    ++violations;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.violation.c_str());
    if (shrink) std::printf("%s", Write(Shrink(schedule)).c_str());
    std::fflush(stdout);
  }
  std::printf("%llu schedules: %zu faults, %zu acknowledged, %zu refused, %zu reads; %zu with a violation\n",
              static_cast<unsigned long long>(count), faults, acknowledged, refused, reads, violations);
  return violations == 0 ? 0 : 1;
}

// For builds with a planted defect: returns 0 at the first violation.
int ExpectViolation(std::uint64_t first, std::uint64_t count) {
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const RunResult result = RunSchedule(Draw(seed));
    if (result.violation.empty()) continue;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.violation.c_str());
    return 0;
  }
  std::printf("%llu schedules without a violation\n", static_cast<unsigned long long>(count));
  return 1;
}

int RunFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  const auto schedule = Read(text.str());
  if (!schedule) {
    std::fprintf(stderr, "%s is not a valid schedule\n", path.c_str());
    return 2;
  }
  const RunResult result = RunSchedule(*schedule);
  std::printf("%s: %s\n", path.c_str(), result.violation.empty() ? "ok" : result.violation.c_str());
  return result.violation.empty() ? 0 : 1;
}

// Measures the longest time without an acknowledged change after one fault of each kind.
int MeasureOutages(std::uint64_t count) {
  std::printf("%-16s %10s %10s %10s\n", "fault", "median s", "p95 s", "worst s");
  for (int kind = 0; kind < kFaultKinds; ++kind) {
    for (const bool at_leader : {true, false}) {
      std::vector<double> outages;
      for (std::uint64_t seed = 1; seed <= count; ++seed) {
        Schedule schedule;
        schedule.seed = seed;
        schedule.cores = 3 + static_cast<int>(seed % 3);
        schedule.length = 14 * kSecond;
        schedule.faults = {{5 * kSecond + static_cast<Micros>(seed % 50) * 20 * kMillisecond,
                            static_cast<FaultKind>(kind), at_leader ? kAtLeader : static_cast<int>(seed),
                            3 * kSecond}};
        const RunResult result = RunSchedule(schedule);
        if (!result.violation.empty())
          std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), result.violation.c_str());
        outages.push_back(static_cast<double>(result.longest_pause) / 1e6);
      }
      std::sort(outages.begin(), outages.end());
      std::printf("%-16s %10.2f %10.2f %10.2f  %s\n", NameOf(static_cast<FaultKind>(kind)),
                  outages[outages.size() / 2], outages[outages.size() * 95 / 100], outages.back(),
                  at_leader ? "at the leader" : "at any core");
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = 3;
  google::InitGoogleLogging(argv[0]);
  argagg::parser parser{
      {{"help", {"-h", "--help"}, "prints this help", 0},
       {"seed", {"--seed"}, "the first seed (1)", 1},
       {"count", {"--count"}, "number of seeds (100)", 1},
       {"shrink", {"--shrink"}, "prints the shortest schedule that still fails", 0},
       {"expect-broken", {"--expect-broken"}, "succeeds at the first violation", 0},
       {"file", {"--file"}, "runs a schedule from a file", 1},
       {"pauses", {"--pauses"}, "measures outages of the control plane, N runs per fault", 1},
       {"print", {"--print"}, "prints the schedule of the seed", 0},
       {"log", {"--log"}, "shows the logs of cores and sidecars", 0}}};
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << parser;
      return 0;
    }
    if (arguments["log"]) FLAGS_minloglevel = 0;
    if (arguments["file"]) return RunFile(arguments["file"].as<std::string>());
    if (arguments["pauses"]) return MeasureOutages(arguments["pauses"].as<std::uint64_t>());
    if (arguments["print"]) {
      std::cout << Write(Draw(arguments["seed"].as<std::uint64_t>(1)));
      return 0;
    }
    if (arguments["expect-broken"])
      return ExpectViolation(arguments["seed"].as<std::uint64_t>(1),
                             arguments["count"].as<std::uint64_t>(100));
    return RunSeeds(arguments["seed"].as<std::uint64_t>(1), arguments["count"].as<std::uint64_t>(100),
                    static_cast<bool>(arguments["shrink"]));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow_control_sim: %s\n", error.what());
    return 2;
  }
}
