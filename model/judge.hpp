// What a day was worth, and which of the four rules were broken in it. It is told by the world; it decides
// nothing. Service is counted as the operators count it: the worth answered within its aim over the worth
// asked for, over all tries of a client's request; by class, and by window of when it was asked.
#ifndef MERLINRUN_MODEL_JUDGE_HPP_
#define MERLINRUN_MODEL_JUDGE_HPP_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "model/scenario.hpp"

namespace merlinrun::model {

struct Share {
  double asked = 0;   // worth
  double served = 0;  // worth, what came late counted by its late worth
  double of() const { return asked > 0 ? served / asked : 1; }
};

// The share of the one that was served worst.
double Least(const std::vector<Share>& shares);

struct DayResult {
  std::uint64_t seed = 0;
  double service = 0;  // 0 if a rule was broken or the decision code failed
  Share whole;
  std::vector<Share> windows;
  std::vector<Share> classes;
  std::array<std::uint64_t, 4> broken{};  // times, by rule 1 to 4
  std::vector<std::string> lines;         // of what was broken, the first few
  std::string fault;                      // of the decision code; empty = none
  // Counts, of a client's requests and of what became of them.
  std::uint64_t asked = 0;
  std::uint64_t tries = 0;
  std::uint64_t served = 0;
  std::uint64_t late = 0;     // of the served
  std::uint64_t refused = 0;  // tries
  std::uint64_t failed = 0;   // tries
  std::uint64_t attempts = 0;
  std::uint64_t connections = 0;  // that were opened
  std::uint64_t crossings = 0;    // attempts to another data centre
  std::uint64_t fell = 0;         // servers that fell over
  std::uint64_t events = 0;
};

class Judge {
 public:
  explicit Judge(const Scenario& day);

  void Asked(std::size_t its_class, Micros at);
  // The request that was asked for at `asked` was answered by a server at `now`.
  void Served(std::size_t its_class, Micros asked, Micros now);
  void Break(int rule, std::string what);

  DayResult& result() { return result_; }
  // The figures of the whole day, once it is over.
  DayResult Finish();

 private:
  std::size_t WindowOf(Micros at) const;

  static constexpr std::size_t kMostLines = 5;
  const Scenario& day_;
  const Micros window_;
  DayResult result_;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_JUDGE_HPP_
