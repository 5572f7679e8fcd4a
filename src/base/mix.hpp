// The work that arrived lately, by class: how much, and what it is worth. Averages, no decisions.
#ifndef MERLINRUN_BASE_MIX_HPP_
#define MERLINRUN_BASE_MIX_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/memory.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun {

class Mix {
 public:
  explicit Mix(const Settings& set) : set_(set), classes_(set.classes.size()) {}

  void OnArrival(std::size_t own, std::optional<Micros> cost) {
    hinted_ = hinted_ || cost.has_value();
    if (cost) classes_[own].work += (static_cast<double>(*cost) - classes_[own].work) / kMixMemory;
    for (ClassLoad& load : classes_) load.arriving *= 1 - 1 / kMixMemory;
    classes_[own].arriving += classes_[own].work;
    mean_worth_ += (Worth(own) - mean_worth_) / (mean_worth_ > 0 ? kMixMemory : 1);
  }
  // Where requests have no hint of their work the time of an answer stands for it.
  void OnAnswer(std::size_t own, double elapsed) {
    if (!hinted_) classes_[own].work += (elapsed - classes_[own].work) / kMixMemory;
  }

  std::size_t size() const { return classes_.size(); }
  double arriving(std::size_t i) const { return classes_[i].arriving; }
  // Of all that is worth more than `density`.
  double Arriving(double density) const {
    double sum = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i)
      if (Density(i) > density) sum += classes_[i].arriving;
    return sum;
  }
  // Of a request of the class, and of a unit of its work.
  double Worth(std::size_t i) const {
    return set_.classes[i].value * (set_.value_by_work ? classes_[i].work : 1);
  }
  double Density(std::size_t i) const { return Worth(i) / classes_[i].work; }
  double mean_worth() const { return mean_worth_; }  // of an arriving request

 private:
  struct ClassLoad {
    double work = 1;      // usual work of one request: the hint where there is one, else its answers' time
    double arriving = 0;  // work that arrived lately, fading
  };
  const Settings& set_;
  std::vector<ClassLoad> classes_;
  double mean_worth_ = 0;
  bool hinted_ = false;  // requests carry their expected work
};

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_MIX_HPP_
