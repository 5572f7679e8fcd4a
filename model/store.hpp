// File of finished days from which a later run resumes. Each day is one JSON line, flushed at once, so that
// a run that is killed loses only the days in progress. Truncated lines and lines of other comparisons are
// skipped.
#ifndef MERLINRUN_MODEL_STORE_HPP_
#define MERLINRUN_MODEL_STORE_HPP_

#include <cstdio>
#include <memory>
#include <string>

#include "model/compare.hpp"

namespace merlinrun::model {

// Hash of everything besides the seed that determines a day: scenario, side and program.
std::string SideKey(const Scenario& scenario, const std::string& side, const std::string& program);

class DayStore {
 public:
  // `keys`: of the sides. Throws std::runtime_error if the file can't be opened.
  DayStore(const std::string& file, std::vector<std::string> keys);

  const CompletedDays& completed() const { return completed_; }
  void Add(std::size_t side, const DayResult& day);

 private:
  struct Close {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  const std::vector<std::string> keys_;
  CompletedDays completed_;
  std::unique_ptr<std::FILE, Close> file_;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_STORE_HPP_
