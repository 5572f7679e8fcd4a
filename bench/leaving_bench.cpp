// Time until a whole fleet ejects a lost zone and returns to it, with and without peer reports. Both variants
// run in turn, so that other load on the machine affects both.
//   build/ci/leaving_bench PROGRAM [SIDECARS [ROUNDS]]
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "rig/cluster/cluster.hpp"

namespace merlinrun::rig {
namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto kTimeout = std::chrono::seconds(25);  // for ejection and for return
constexpr milliseconds kPollInterval{100};           // interval of trace lines

struct Sample {
  double half = 0;     // seconds from the loss until half of the sidecars have ejected the zone
  double p99 = 0;      // and until 99 % have
  double back = 0;     // seconds from the recovery until 99 % use the zone again
  double refused = 0;  // share of the requests sent until 99 % have ejected it
  double failed = 0;
};

struct Totals {
  double sent = 0;
  double refused = 0;
  double failed = 0;
};

Totals SumTotals(const InvariantChecker& checker) {
  Totals out;
  for (const auto& [name, row] : checker.Summary()) {
    out.sent += static_cast<double>(row.sent);
    out.refused += static_cast<double>(row.refused);
    out.failed += static_cast<double>(row.failed);
  }
  return out;
}

// Seconds until `done` returns true, at most kTimeout.
template <typename Done>
double Until(Cluster& cluster, const Done& done) {
  const auto started = Clock::now();
  while (Clock::now() - started < kTimeout && !done()) cluster.env().RunFor(kPollInterval);
  return std::chrono::duration<double>(Clock::now() - started).count();
}

Sample RunZoneLoss(const std::string& program, int sidecars, bool reports, std::uint64_t seed) {
  ClusterOptions options;
  options.sidecars = sidecars;
  options.servers = 24;
  options.clients = 1;
  options.pause = 250'000;
  options.seed = seed;
  options.peer_reports = reports;
  options.direct_reports = true;
  Cluster cluster(program, options);
  DataCentre& west = cluster.env().west;
  const auto size = static_cast<std::size_t>(sidecars);
  Until(cluster, [&] { return cluster.Count(west, "serving") == size; });
  cluster.env().RunFor(std::chrono::seconds(3));
  const Totals before = SumTotals(cluster.env().checker);
  const auto lost = Clock::now();
  cluster.SetLinks(west, FaultProxy::Mode::kRefuse);
  Sample out;
  Until(cluster, [&] { return cluster.Ejected(west) >= size / 2; });
  out.half = std::chrono::duration<double>(Clock::now() - lost).count();
  Until(cluster, [&] { return cluster.Ejected(west) >= size * 99 / 100; });
  out.p99 = std::chrono::duration<double>(Clock::now() - lost).count();
  const Totals after = SumTotals(cluster.env().checker);
  const double requests_sent = std::max(after.sent - before.sent, 1.0);
  out.refused = (after.refused - before.refused) / requests_sent;
  out.failed = (after.failed - before.failed) / requests_sent;
  cluster.env().RunFor(std::chrono::seconds(3));
  cluster.SetLinks(west, FaultProxy::Mode::kPass);
  out.back = Until(cluster, [&] { return size - cluster.Ejected(west) >= size * 99 / 100; });
  cluster.StopTraffic();
  for (const std::string& line : cluster.env().checker.violations())
    std::printf("violation: %s\n", line.c_str());
  return out;
}

double Median(std::vector<Sample> all, double Sample::*field) {
  std::sort(all.begin(), all.end(), [&](const auto& a, const auto& b) { return a.*field < b.*field; });
  return all[all.size() / 2].*field;
}

int Compare(const std::string& program, int sidecars, int rounds) {
  std::vector<Sample> all[2];
  for (int round = 0; round < rounds; ++round)
    for (int reports = 0; reports < 2; ++reports)
      all[reports].push_back(
          RunZoneLoss(program, sidecars, reports == 1, static_cast<std::uint64_t>(round) + 1));
  constexpr struct {
    const char* name;
    double Sample::*field;
  } kRows[] = {{"half ejected, s", &Sample::half},
               {"99 % ejected, s", &Sample::p99},
               {"99 % returned, s", &Sample::back},
               {"refused share", &Sample::refused},
               {"failed share", &Sample::failed}};
  std::printf("%d sidecars, %d rounds, medians\n%-24s %10s %10s %8s\n", sidecars, rounds, "", "without",
              "reports", "ratio");
  for (const auto& row : kRows) {
    const double without = Median(all[0], row.field);
    const double with = Median(all[1], row.field);
    std::printf("%-24s %10.3f %10.3f %8.2f\n", row.name, without, with, without > 0 ? with / without : 0);
  }
  return 0;
}

}  // namespace
}  // namespace merlinrun::rig

int main(int argc, char** argv) {
  const int sidecars = argc > 2 ? std::atoi(argv[2]) : 100;
  const int rounds = argc > 3 ? std::atoi(argv[3]) : 3;
  if (argc < 2 || sidecars < 2 || sidecars > 250 || rounds < 1) {
    std::fprintf(stderr, "usage: leaving_bench PROGRAM [SIDECARS, 2 to 250 [ROUNDS]]\n");
    return 2;
  }
  return merlinrun::rig::Compare(argv[1], sidecars, rounds);
}
