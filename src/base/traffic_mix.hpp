// Averages of the recently arrived work and its value, by request class.
#ifndef MERLINRUN_BASE_TRAFFIC_MIX_HPP_
#define MERLINRUN_BASE_TRAFFIC_MIX_HPP_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/averaging.hpp"
#include "merlinrun/balancer.hpp"

namespace merlinrun {

class TrafficMix {
 public:
  explicit TrafficMix(const Settings& set) : set_(set), classes_(set.classes.size()) {}

  void OnArrival(std::size_t class_index, std::optional<Micros> cost) {
    has_cost_hints_ = has_cost_hints_ || cost.has_value();
    if (cost)
      classes_[class_index].work +=
          (static_cast<double>(*cost) - classes_[class_index].work) / kAverageRequests;
    for (ClassLoad& load : classes_) load.arriving *= 1 - 1 / kAverageRequests;
    classes_[class_index].arriving += classes_[class_index].work;
    mean_value_ += (Value(class_index) - mean_value_) / (mean_value_ > 0 ? kAverageRequests : 1);
  }
  // Without cost hints the response time is the estimate of the work.
  void OnResponse(std::size_t class_index, double elapsed) {
    if (!has_cost_hints_)
      classes_[class_index].work += (elapsed - classes_[class_index].work) / kAverageRequests;
  }

  std::size_t size() const { return classes_.size(); }
  double arriving(std::size_t i) const { return classes_[i].arriving; }
  // Work of all classes whose value density is above `density`.
  double Arriving(double density) const {
    double sum = 0;
    for (std::size_t i = 0; i < classes_.size(); ++i)
      if (Density(i) > density) sum += classes_[i].arriving;
    return sum;
  }
  // Value of a request of the class, and per unit of its work.
  double Value(std::size_t i) const {
    return set_.classes[i].value * (set_.value_by_work ? classes_[i].work : 1);
  }
  double Density(std::size_t i) const { return Value(i) / classes_[i].work; }
  double mean_value() const { return mean_value_; }  // average value of an arriving request

 private:
  struct ClassLoad {
    double work = 1;      // average work of a request: its cost hint, or else its response time
    double arriving = 0;  // recently arrived work, decaying
  };
  const Settings& set_;
  std::vector<ClassLoad> classes_;
  double mean_value_ = 0;
  bool has_cost_hints_ = false;  // requests carry their expected cost
};

}  // namespace merlinrun

#endif  // MERLINRUN_BASE_TRAFFIC_MIX_HPP_
