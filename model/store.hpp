// Days that were played, in a file that a later run goes on from: a line each, as soon as it is over, so that
// an end at any moment loses the days under way at most. A line that is cut off or of another comparison is
// passed over.
#ifndef MERLINRUN_MODEL_STORE_HPP_
#define MERLINRUN_MODEL_STORE_HPP_

#include <cstdio>
#include <memory>
#include <string>

#include "model/compare.hpp"

namespace merlinrun::model {

// What days depend on beside their seed: the scenario, the side, and the program that played them.
std::string SideKey(const Scenario& scenario, const std::string& side, const std::string& program);

class Store {
 public:
  // `keys`: of the sides. Throws std::runtime_error, with one plain line, if the file can't be had.
  Store(const std::string& file, std::vector<std::string> keys);

  const Known& known() const { return known_; }
  void Add(std::size_t side, const DayResult& day);

 private:
  struct Close {
    void operator()(std::FILE* file) const { std::fclose(file); }
  };
  const std::vector<std::string> keys_;
  Known known_;
  std::unique_ptr<std::FILE, Close> file_;
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_STORE_HPP_
