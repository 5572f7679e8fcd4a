// fennelhollow_control_sim: plays schedules of faults against the control plane in virtual time.
#include <glog/logging.h>

#include <algorithm>
#include <argagg/argagg.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

#include "rig/sim/world.hpp"

namespace {

using namespace fennelhollow::sim;

int PlaySeeds(std::uint64_t first, std::uint64_t count, bool shrink) {
  std::size_t broken = 0, acknowledged = 0, refused = 0, reads = 0, faults = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Schedule schedule = Draw(seed);
    const Outcome outcome = RunSchedule(schedule);
    acknowledged += outcome.acknowledged;
    refused += outcome.refused;
    reads += outcome.reads;
    faults += outcome.faults;
    if (outcome.violation.empty()) continue;
    ++broken;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), outcome.violation.c_str());
    if (shrink) std::printf("%s", Write(Shrink(schedule)).c_str());
    std::fflush(stdout);
  }
  std::printf(
      "%llu schedules: %zu faults, %zu acknowledged, %zu refused, %zu reads; %zu with a rule broken\n",
      static_cast<unsigned long long>(count), faults, acknowledged, refused, reads, broken);
  return broken == 0 ? 0 : 1;
}

// For planted defects: 0 as soon as a rule is broken.
int ExpectBroken(std::uint64_t first, std::uint64_t count) {
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const Outcome outcome = RunSchedule(Draw(seed));
    if (outcome.violation.empty()) continue;
    std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), outcome.violation.c_str());
    return 0;
  }
  std::printf("%llu schedules, and nothing was found\n", static_cast<unsigned long long>(count));
  return 1;
}

int PlayFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  const auto schedule = Read(text.str());
  if (!schedule) {
    std::fprintf(stderr, "%s is no schedule\n", path.c_str());
    return 2;
  }
  const Outcome outcome = RunSchedule(*schedule);
  std::printf("%s: %s\n", path.c_str(), outcome.violation.empty() ? "well" : outcome.violation.c_str());
  return outcome.violation.empty() ? 0 : 1;
}

// Time without control after one fault of each kind.
int MeasurePauses(std::uint64_t count) {
  std::printf("%-16s %10s %10s %10s\n", "fault", "median s", "p95 s", "worst s");
  for (int kind = 0; kind < kFaultKinds; ++kind) {
    for (const bool at_leader : {true, false}) {
      std::vector<double> pauses;
      for (std::uint64_t seed = 1; seed <= count; ++seed) {
        Schedule schedule;
        schedule.seed = seed;
        schedule.cores = 3 + static_cast<int>(seed % 3);
        schedule.length = 14 * kSecond;
        schedule.faults = {{5 * kSecond + static_cast<Micros>(seed % 50) * 20 * kMillisecond,
                            static_cast<FaultKind>(kind), at_leader ? kAtLeader : static_cast<int>(seed),
                            3 * kSecond}};
        const Outcome outcome = RunSchedule(schedule);
        if (!outcome.violation.empty())
          std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), outcome.violation.c_str());
        pauses.push_back(static_cast<double>(outcome.longest_pause) / 1e6);
      }
      std::sort(pauses.begin(), pauses.end());
      std::printf("%-16s %10.2f %10.2f %10.2f  %s\n", NameOf(static_cast<FaultKind>(kind)),
                  pauses[pauses.size() / 2], pauses[pauses.size() * 95 / 100], pauses.back(),
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
  argagg::parser parser{{{"help", {"-h", "--help"}, "says this", 0},
                         {"seed", {"--seed"}, "the first seed (1)", 1},
                         {"count", {"--count"}, "how many (100)", 1},
                         {"shrink", {"--shrink"}, "prints the shortest schedule that still fails", 0},
                         {"expect-broken", {"--expect-broken"}, "ends well at the first broken rule", 0},
                         {"file", {"--file"}, "plays one schedule from a file", 1},
                         {"pauses", {"--pauses"}, "measures the time without control, N runs a fault", 1},
                         {"print", {"--print"}, "prints the schedule of the seed", 0},
                         {"log", {"--log"}, "shows the cores' and sidecars' logs", 0}}};
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << parser;
      return 0;
    }
    if (arguments["log"]) FLAGS_minloglevel = 0;
    if (arguments["file"]) return PlayFile(arguments["file"].as<std::string>());
    if (arguments["pauses"]) return MeasurePauses(arguments["pauses"].as<std::uint64_t>());
    if (arguments["print"]) {
      std::cout << Write(Draw(arguments["seed"].as<std::uint64_t>(1)));
      return 0;
    }
    if (arguments["expect-broken"])
      return ExpectBroken(arguments["seed"].as<std::uint64_t>(1), arguments["count"].as<std::uint64_t>(100));
    return PlaySeeds(arguments["seed"].as<std::uint64_t>(1), arguments["count"].as<std::uint64_t>(100),
                     static_cast<bool>(arguments["shrink"]));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow_control_sim: %s\n", error.what());
    return 2;
  }
}
