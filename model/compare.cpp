#include "model/compare.hpp"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <thread>

namespace merlinrun::model {
namespace {

struct Job {
  std::size_t side = 0;
  std::uint64_t seed = 0;
};

// Runs jobs on a pool of threads, skipping days already completed. After a stop some jobs have no result.
class DayRunner {
 public:
  DayRunner(const ComparisonPlan& plan, const CompletedDays& completed, const RunHooks& hooks)
      : plan_(plan), completed_(completed), hooks_(hooks) {}

  void Run(const std::vector<Job>& jobs) {
    std::vector<Job> pending;
    std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(pending), [&](const Job& job) {
      return completed_.count({job.side, job.seed}) == 0;
    });
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
      for (std::size_t i = next++; i < pending.size() && !Stopped(); i = next++) {
        DayResult day = SimulateDay(plan_.scenario, pending[i].seed, plan_.sides[pending[i].side],
                                    plan_.replay ? &*plan_.replay : nullptr);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (hooks_.on_day) hooks_.on_day(pending[i].side, day);
        completed_[{pending[i].side, pending[i].seed}] = std::move(day);
      }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 1; i < plan_.threads; ++i) workers.emplace_back(work);
    work();
    for (std::thread& thread : workers) thread.join();
  }
  bool Stopped() const { return hooks_.stop != nullptr && *hooks_.stop; }
  const DayResult* Find(std::size_t side, std::uint64_t seed) const {
    const auto it = completed_.find({side, seed});
    return it == completed_.end() ? nullptr : &it->second;
  }

 private:
  const ComparisonPlan& plan_;
  CompletedDays completed_;
  const RunHooks& hooks_;
  std::mutex mutex_;
};

std::vector<double> ServiceDifferences(const DayRunner& runner, const ComparisonPlan& plan, std::size_t side,
                                       std::size_t max_pairs) {
  std::vector<double> out;
  for (std::size_t i = 0; i < max_pairs; ++i) {
    const DayResult* const base = runner.Find(0, plan.first_seed + i);
    const DayResult* const other = runner.Find(side, plan.first_seed + i);
    if (base == nullptr || other == nullptr) break;
    out.push_back(other->service - base->service);
  }
  return out;
}

// Differences in service lie within [-1, 1]; intervals from few values can exceed that.
Interval ClampToPossible(const Interval& interval) {
  return {std::max(interval.low, -1.0), std::min(interval.high, 1.0)};
}

void FillDifference(const std::vector<double>& differences, double sequential_level,
                    const ComparisonPlan& plan, Difference& out) {
  out.pairs = differences.size();
  out.mean = Mean(differences);
  if (differences.size() < 2) return;
  out.t_interval = ClampToPossible(TInterval(differences, kReportLevel));
  out.bootstrap_interval = ClampToPossible(BootstrapInterval(differences, kReportLevel, plan.first_seed));
  out.sequential_interval = ClampToPossible(TInterval(differences, sequential_level));
  out.p_value = PValue(differences);
}

}  // namespace

Comparison Compare(const ComparisonPlan& plan, const CompletedDays& completed, const RunHooks& hooks) {
  DayRunner runner(plan, completed, hooks);
  const std::size_t candidates = plan.sides.size() - 1;
  const SequentialLooks looks(plan.first_look, plan.max_pairs,
                              plan.level / static_cast<double>(std::max<std::size_t>(candidates, 1)));
  Comparison out;
  out.differences.resize(candidates);
  std::vector<bool> undecided(candidates, true);
  std::size_t pairs_reached = 0;
  for (std::size_t look = 0; look < looks.count(); ++look) {
    std::vector<Job> jobs;
    for (std::size_t i = 0; i < looks.pairs(look); ++i)
      for (std::size_t side = 0; side < plan.sides.size(); ++side)
        if (side == 0 || undecided[side - 1]) jobs.push_back({side, plan.first_seed + i});
    runner.Run(jobs);
    pairs_reached = looks.pairs(look);
    out.stopped = runner.Stopped();
    for (std::size_t side = 1; side < plan.sides.size(); ++side) {
      if (!undecided[side - 1]) continue;
      Difference& difference = out.differences[side - 1];
      const auto differences = ServiceDifferences(runner, plan, side, looks.pairs(look));
      FillDifference(differences, looks.level(look), plan, difference);
      if (differences.size() < looks.pairs(look)) continue;  // stopped early: this look is incomplete
      difference.verdict = Decide(differences, looks.level(look), plan.min_effect);
      undecided[side - 1] = difference.verdict == Verdict::kUnclear;
    }
    if (out.stopped || std::none_of(undecided.begin(), undecided.end(), [](bool is) { return is; })) break;
  }
  std::vector<double> p_values;
  for (const Difference& difference : out.differences) p_values.push_back(difference.p_value);
  const std::vector<bool> significant = Holm(p_values, plan.level);
  for (std::size_t i = 0; i < candidates; ++i) out.differences[i].significant_after_holm = significant[i];
  out.days.resize(plan.sides.size());
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    // Resumed days beyond the pairs analysed don't belong to this comparison.
    const std::size_t count = side == 0 ? pairs_reached : out.differences[side - 1].pairs;
    for (std::size_t i = 0; i < count; ++i)
      if (const DayResult* const day = runner.Find(side, plan.first_seed + i)) out.days[side].push_back(*day);
  }
  return out;
}

}  // namespace merlinrun::model
