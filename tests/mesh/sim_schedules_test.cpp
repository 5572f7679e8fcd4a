// Runs the control plane in virtual time under random fault schedules and under schedules that once failed.
#include <glog/logging.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "rig/sim/simulation.hpp"

namespace {

using namespace fennelhollow::sim;

const bool quiet = (FLAGS_minloglevel = 3, true);

std::uint64_t EnvironmentValue(const char* name, std::uint64_t default_value) {
  const char* value = std::getenv(name);
  return value != nullptr ? std::strtoull(value, nullptr, 10) : default_value;
}

Schedule MakeSchedule(int cores, std::vector<Fault> faults, std::uint64_t seed = 1) {
  Schedule schedule;
  schedule.seed = seed;
  schedule.cores = cores;
  schedule.length = 22 * kSecond;
  schedule.faults = std::move(faults);
  return schedule;
}

void RequireNoViolation(const Schedule& schedule) {
  const RunResult result = RunSchedule(schedule);
  INFO(Write(schedule) << result.violation);
  REQUIRE(result.violation.empty());
  REQUIRE(result.acknowledged > 20);
}

TEST_CASE("a schedule determines its history and survives a round trip through text") {
  const Schedule schedule = Draw(5);
  const auto read = Read(Write(schedule));
  REQUIRE(read);
  REQUIRE(Write(*read) == Write(schedule));
  const RunResult first = RunSchedule(schedule);
  const RunResult second = RunSchedule(*read);
  REQUIRE(first.fingerprint == second.fingerprint);
  REQUIRE(first.bytes == second.bytes);
  REQUIRE_FALSE(Read("nothing"));
  REQUIRE_FALSE(Read(Write(schedule) + "1 no_such_fault 2 3\n"));
}

// SIM_SEED and SIM_COUNT select other or more schedules.
void RunRandomSchedules(std::uint64_t part) {
  const std::uint64_t count = EnvironmentValue("SIM_COUNT", 50);
  const std::uint64_t first = EnvironmentValue("SIM_SEED", 1) + part * count;
  for (std::uint64_t seed = first; seed < first + count; ++seed) RequireNoViolation(Draw(seed));
}

// Separate cases, so that they can run in parallel.
TEST_CASE("random schedules cause no violation, first quarter") { RunRandomSchedules(0); }
TEST_CASE("random schedules cause no violation, second quarter", "[long]") { RunRandomSchedules(1); }
TEST_CASE("random schedules cause no violation, third quarter", "[long]") { RunRandomSchedules(2); }
TEST_CASE("random schedules cause no violation, last quarter", "[long]") { RunRandomSchedules(3); }

TEST_CASE("schedules that once caused a violation") {
  int schedules_run = 0;
  for (const auto& file : std::filesystem::directory_iterator(SCHEDULES)) {
    std::ifstream in(file.path());
    std::stringstream text;
    text << in.rdbuf();
    const auto schedule = Read(text.str());
    INFO(file.path());
    REQUIRE(schedule);
    RequireNoViolation(*schedule);
    ++schedules_run;
  }
  REQUIRE(schedules_run >= 3);
}

// A partitioned core must not serve stale configurations or give false confirmations and refusals.
TEST_CASE("any core is partitioned for 20 s in any direction", "[long]") {
  const auto kind = GENERATE(FaultKind::kCutCores, FaultKind::kCutAll, FaultKind::kCutIn, FaultKind::kCutOut,
                             FaultKind::kFreeze);
  const int target = GENERATE(int{kAtLeader}, 0, 1, 2);
  const int cores = GENERATE(3, 4);
  RequireNoViolation(MakeSchedule(cores, {{5 * kSecond, kind, target, 20 * kSecond}}));
}

// Lost responses, races, and a leader that fails at each acknowledgement.
TEST_CASE(
    "lost responses and leader failures: one version has one configuration, a repeat is the same change") {
  std::vector<Fault> faults{{4 * kSecond, FaultKind::kResponsesLost, 0, 16 * kSecond}};
  for (Micros at = 5 * kSecond; at < 20 * kSecond; at += 2 * kSecond)
    faults.push_back({at, GENERATE(FaultKind::kPowerOnAck, FaultKind::kKill), kAtLeader, kSecond});
  RequireNoViolation(MakeSchedule(GENERATE(3, 5), faults));
}

// Each core in turn is killed or loses its disk under constant changes.
TEST_CASE("two thousand changes and restarts: all catch up, and messages do not grow", "[long]") {
  const auto run = [](Micros length) {
    Schedule schedule = MakeSchedule(3, {});
    schedule.length = length;
    schedule.operators = 6;
    int turn = 0;
    for (Micros at = 5 * kSecond; at < length; at += 3 * kSecond, ++turn) {
      const auto kind = turn % 5 == 4 ? FaultKind::kWipe : FaultKind::kKill;
      schedule.faults.push_back({at, kind, turn % 3, 300 * kMillisecond});
    }
    const RunResult result = RunSchedule(schedule);
    INFO(result.violation);
    REQUIRE(result.violation.empty());
    return result;
  };
  const RunResult some = run(100 * kSecond);
  const RunResult many = run(200 * kSecond);
  CAPTURE(some.acknowledged, many.acknowledged, some.largest_frame, many.largest_frame);
  REQUIRE(some.acknowledged > 1024);  // more than the deduplication history holds
  REQUIRE(many.acknowledged > 2000);
  REQUIRE(many.largest_frame < 40'000);
  REQUIRE(many.largest_frame < some.largest_frame + 4'000);
}

// The second loss comes right after the successor has had its time to catch up (4 s).
TEST_CASE("a loss right after a replacement, planned or not, leaves a majority", "[long]") {
  const auto kind = GENERATE(FaultKind::kReplacePlanned, FaultKind::kReplaceGone);
  const Micros duration = GENERATE(300, 1000, 1900) * kMillisecond;
  const int target = GENERATE(int{kAtLeader}, 0, 1);
  const Micros started = kind == FaultKind::kReplacePlanned ? 0 : duration;
  const Micros second = 5 * kSecond + started + Simulation::kCatchUpTime + GENERATE(1, 30) * kMillisecond;
  const auto loss = GENERATE(FaultKind::kPower, FaultKind::kWipe);
  RequireNoViolation(
      MakeSchedule(3, {{5 * kSecond, kind, target, duration}, {second, loss, kAtLeader, 10 * kSecond}}));
}

TEST_CASE("two replacements in a row, and all cores fail during the second", "[long]") {
  const Micros outage_delay = GENERATE(20, 60, 200, 1000) * kMillisecond;
  const auto all = GENERATE(FaultKind::kKillAll, FaultKind::kPowerAll);
  RequireNoViolation(
      MakeSchedule(GENERATE(3, 4), {{5 * kSecond, FaultKind::kReplacePlanned, 1, 500 * kMillisecond},
                                    {14 * kSecond, FaultKind::kReplacePlanned, 0, 500 * kMillisecond},
                                    {14500 * kMillisecond + outage_delay, all, 0, kSecond}}));
}

TEST_CASE("two of five lose their disks, one after the other and at once", "[long]") {
  const Micros pause = GENERATE(0, 2, 300) * kMillisecond;
  RequireNoViolation(
      MakeSchedule(5, {{5 * kSecond, FaultKind::kWipe, kAtLeader, 2 * kSecond},
                       {5 * kSecond + pause, FaultKind::kWipe, GENERATE(1, 2, 3), 2 * kSecond}}));
}

}  // namespace
