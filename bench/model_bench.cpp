// Cost and accuracy of the fleet model. Run by hand; takes minutes.
// build/ci/model_bench model/scenarios [cost] [ranking] [equal] [coverage]
// Runs all parts by default.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <thread>

#include "model/compare.hpp"
#include "model/side.hpp"

namespace merlinrun::model {
namespace {

constexpr int kComparisons = 20;
constexpr std::uint64_t kSeedStride =
    10'000;  // distance of the first seeds of two comparisons, so that they share no days

struct Bench {
  std::string folder;
  unsigned threads = 1;

  ComparisonPlan PlanOf(const std::string& scenario, const std::vector<std::string>& sides) const {
    ComparisonPlan plan;
    plan.threads = threads;
    if (!scenario.empty()) {
      const std::string path = folder + "/" + scenario + ".toml";
      std::ifstream in(path);
      const std::string text((std::istreambuf_iterator<char>(in)), {});
      auto read = ParseScenario(text, path);
      if (!in || std::holds_alternative<std::string>(read)) {
        std::fprintf(stderr, "%s: can't be read\n", path.c_str());
        std::exit(1);
      }
      plan.scenario = std::get<Scenario>(std::move(read));
    } else {
      plan.scenario = DefaultScenario();
    }
    for (const std::string& side : sides) plan.sides.push_back(std::get<Side>(ParseSide(side)));
    return plan;
  }
};

double Seconds(const std::chrono::steady_clock::time_point& since) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - since).count();
}

// How often a side known to be worse is found worse, and after how many pairs.
void Ranking(const Bench& bench, const char* scenario, const char* side, std::size_t max_pairs_allowed,
             double min_effect) {
  ComparisonPlan plan = bench.PlanOf(scenario, {"now", side});
  plan.max_pairs = max_pairs_allowed;
  plan.min_effect = min_effect;
  const auto started = std::chrono::steady_clock::now();
  int right = 0;
  int wrong = 0;
  std::size_t pairs = 0;
  double mean = 0;
  for (int i = 0; i < kComparisons; ++i) {
    plan.first_seed = 1 + kSeedStride * static_cast<std::uint64_t>(i);
    const Difference difference = Compare(plan, {}, {}).differences[0];
    right += difference.verdict == Verdict::kWorse ? 1 : 0;
    wrong += difference.verdict == Verdict::kBetter ? 1 : 0;
    pairs += difference.pairs;
    mean += difference.mean / kComparisons;
  }
  std::printf("%-14s %-40s worse %2d, better %2d of %d; mean %+.4f, %5.1f pairs each, %.0f s in all\n",
              scenario, side, right, wrong, kComparisons, mean, static_cast<double>(pairs) / kComparisons,
              Seconds(started));
}

// Compares sides that differ only in their random seeds.
void Equal(const Bench& bench, int comparisons) {
  ComparisonPlan plan = bench.PlanOf("lost", {"now", "salted:salt=99"});
  plan.min_effect = 0.0002;  // small enough to use all pairs
  plan.max_pairs = 32;
  int different = 0;
  for (int i = 0; i < comparisons; ++i) {
    plan.first_seed = 1 + kSeedStride * static_cast<std::uint64_t>(i);
    const Verdict verdict = Compare(plan, {}, {}).differences[0].verdict;
    different += verdict == Verdict::kBetter || verdict == Verdict::kWorse ? 1 : 0;
  }
  std::printf("equal sides called different: %d of %d\n", different, comparisons);
}

// How often the intervals of short comparisons contain the difference found by a long one.
void Coverage(const Bench& bench) {
  constexpr std::size_t kEach = 16;
  constexpr std::size_t kTrials = 100;
  ComparisonPlan plan = bench.PlanOf("lost", {"now", "width-2:window_width=2"});
  plan.first_look = plan.max_pairs = kEach * kTrials;
  const Comparison all = Compare(plan, {}, {});
  const double truth = all.differences[0].mean;
  std::size_t by_t = 0;
  std::size_t by_bootstrap = 0;
  for (std::size_t trial = 0; trial < kTrials; ++trial) {
    std::vector<double> differences;
    for (std::size_t i = trial * kEach; i < (trial + 1) * kEach; ++i)
      differences.push_back(all.days[1][i].service - all.days[0][i].service);
    by_t += TInterval(differences, 0.05).Contains(truth) ? 1 : 0;
    by_bootstrap += BootstrapInterval(differences, 0.05, trial).Contains(truth) ? 1 : 0;
  }
  std::printf("95%% intervals of %zu pairs that hold the mean of %zu (%+.4f): t %zu, bootstrap %zu of %zu\n",
              kEach, kEach * kTrials, truth, by_t, by_bootstrap, kTrials);
}

// Simulated requests per second, by fleet size and number of threads.
void Cost(const Bench& bench) {
  struct Size {
    double servers;
    double sidecars;
    double rate;
    double length;
  };
  for (const Size& size :
       {Size{50, 250, 1'300, 60}, Size{500, 2'500, 13'000, 20}, Size{1'000, 5'000, 26'000, 10}}) {
    ComparisonPlan plan = bench.PlanOf("", {"now"});
    plan.scenario.servers = {size.servers, size.servers};
    plan.scenario.sidecars = {size.sidecars, size.sidecars};
    plan.scenario.requests_per_s = {size.rate, size.rate};
    plan.scenario.length_s = {size.length, size.length};
    plan.scenario.window_s = {size.length, size.length};
    for (const unsigned threads : {1U, bench.threads}) {
      plan.threads = threads;
      plan.first_look = plan.max_pairs = std::max<std::size_t>(2, 4 * threads);
      const auto started = std::chrono::steady_clock::now();
      const Comparison played = Compare(plan, {}, {});
      const double took = Seconds(started);
      std::uint64_t asked = 0;
      for (const DayResult& day : played.days[0]) asked += day.requests;
      std::printf("%5.0f servers, %5.0f sidecars, %u threads: %.0f requests a second\n", size.servers,
                  size.sidecars, threads, static_cast<double>(asked) / took);
    }
  }
}

// Sides known to be worse, one for each protection in the design.
void Rankings(const Bench& bench) {
  Ranking(bench, "lost", "width-1:window_width=1,windows_per_server=0,servers_per_out=0", 64, 0.002);
  Ranking(bench, "stall", "no-ejection:most_away=0", 64, 0.002);
  Ranking(bench, "cold", "no-cold-care:cold_care=0", 64, 0.002);
  Ranking(bench, "heavy-loss", "slow-retry:retry_base_ms=20000", 64, 0.002);
  Ranking(bench, "heavy-loss", "no-jitter:jitter=0", 144, 0);
  Ranking(bench, "lost", "width-2:window_width=2", 64, 0.002);  // worse by about one percentage point
}

int Main(const Bench& bench, const std::vector<std::string>& parts) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  const auto wanted = [&](const char* part) {
    return parts.empty() || std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  if (wanted("cost")) Cost(bench);
  if (wanted("ranking")) Rankings(bench);
  if (wanted("equal")) Equal(bench, 100);
  if (wanted("coverage")) Coverage(bench);
  return 0;
}

}  // namespace
}  // namespace merlinrun::model

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: model_bench FOLDER-OF-SCENARIOS [PART...]\n");
    return 2;
  }
  merlinrun::model::Bench bench;
  bench.folder = argv[1];
  bench.threads = std::max(1U, std::thread::hardware_concurrency());
  return merlinrun::model::Main(bench, {argv + 2, argv + argc});
}
