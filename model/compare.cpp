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

// Plays the jobs on so many threads; days that are known are not played again. The results are those of the
// jobs that were finished, which are all unless it was stopped.
class Players {
 public:
  Players(const Plan& plan, const Known& known, const Watching& watching)
      : plan_(plan), played_(known), watching_(watching) {}

  void Play(const std::vector<Job>& jobs) {
    std::vector<Job> todo;
    std::copy_if(jobs.begin(), jobs.end(), std::back_inserter(todo), [&](const Job& job) {
      return played_.count({job.side, job.seed}) == 0;
    });
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
      for (std::size_t i = next++; i < todo.size() && !Stopped(); i = next++) {
        DayResult day = PlayDay(plan_.scenario, todo[i].seed, plan_.sides[todo[i].side],
                                plan_.replay ? &*plan_.replay : nullptr);
        const std::lock_guard<std::mutex> lock(mutex_);
        if (watching_.on_day) watching_.on_day(todo[i].side, day);
        played_[{todo[i].side, todo[i].seed}] = std::move(day);
      }
    };
    std::vector<std::thread> others;
    for (unsigned i = 1; i < plan_.threads; ++i) others.emplace_back(work);
    work();
    for (std::thread& thread : others) thread.join();
  }
  bool Stopped() const { return watching_.stop != nullptr && *watching_.stop; }
  const DayResult* Find(std::size_t side, std::uint64_t seed) const {
    const auto it = played_.find({side, seed});
    return it == played_.end() ? nullptr : &it->second;
  }

 private:
  const Plan& plan_;
  Known played_;
  const Watching& watching_;
  std::mutex mutex_;
};

std::vector<double> Differences(const Players& players, const Plan& plan, std::size_t side,
                                std::size_t most) {
  std::vector<double> out;
  for (std::size_t i = 0; i < most; ++i) {
    const DayResult* const base = players.Find(0, plan.first_seed + i);
    const DayResult* const its = players.Find(side, plan.first_seed + i);
    if (base == nullptr || its == nullptr) break;
    out.push_back(its->service - base->service);
  }
  return out;
}

// No difference in service is beyond 1, whatever a few values make of their spread.
Interval Possible(const Interval& interval) {
  return {std::max(interval.low, -1.0), std::min(interval.high, 1.0)};
}

void Describe(const std::vector<double>& differences, double kept_level, const Plan& plan, Difference& out) {
  out.pairs = differences.size();
  out.mean = Mean(differences);
  if (differences.size() < 2) return;
  out.t = Possible(TInterval(differences, kUsualLevel));
  out.bootstrap = Possible(BootstrapInterval(differences, kUsualLevel, plan.first_seed));
  out.kept = Possible(TInterval(differences, kept_level));
  out.p = PValue(differences);
}

}  // namespace

Comparison Compare(const Plan& plan, const Known& known, const Watching& watching) {
  Players players(plan, known, watching);
  const std::size_t others = plan.sides.size() - 1;
  const Looks looks(plan.first_look, plan.most_pairs,
                    plan.level / static_cast<double>(std::max<std::size_t>(others, 1)));
  Comparison out;
  out.differences.resize(others);
  std::vector<bool> open(others, true);
  std::size_t reached = 0;
  for (std::size_t look = 0; look < looks.count(); ++look) {
    std::vector<Job> jobs;
    for (std::size_t i = 0; i < looks.pairs(look); ++i)
      for (std::size_t side = 0; side < plan.sides.size(); ++side)
        if (side == 0 || open[side - 1]) jobs.push_back({side, plan.first_seed + i});
    players.Play(jobs);
    reached = looks.pairs(look);
    out.stopped = players.Stopped();
    for (std::size_t side = 1; side < plan.sides.size(); ++side) {
      if (!open[side - 1]) continue;
      Difference& its = out.differences[side - 1];
      const auto differences = Differences(players, plan, side, looks.pairs(look));
      Describe(differences, looks.level(look), plan, its);
      if (differences.size() < looks.pairs(look)) continue;  // stopped on the way: no look is due
      its.verdict = Decide(differences, looks.level(look), plan.matters);
      open[side - 1] = its.verdict == Verdict::kUnclear;
    }
    if (out.stopped || std::none_of(open.begin(), open.end(), [](bool is) { return is; })) break;
  }
  std::vector<double> p_values;
  for (const Difference& difference : out.differences) p_values.push_back(difference.p);
  const std::vector<bool> holds = Holm(p_values, plan.level);
  for (std::size_t i = 0; i < others; ++i) out.differences[i].holds_after_holm = holds[i];
  out.days.resize(plan.sides.size());
  for (std::size_t side = 0; side < plan.sides.size(); ++side) {
    // Days that were known beyond what was looked at are none of this comparison.
    const std::size_t count = side == 0 ? reached : out.differences[side - 1].pairs;
    for (std::size_t i = 0; i < count; ++i)
      if (const DayResult* const day = players.Find(side, plan.first_seed + i))
        out.days[side].push_back(*day);
  }
  return out;
}

}  // namespace merlinrun::model
