// Log of what a soak run did to its nodes, with the time since its start.
#ifndef FENNELHOLLOW_RIG_SOAK_EVENT_LOG_HPP_
#define FENNELHOLLOW_RIG_SOAK_EVENT_LOG_HPP_

#include <cstdio>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig::soak {

class EventLog {
 public:
  // `verbose`: prints each event at once.
  explicit EventLog(bool verbose) : verbose_(verbose) {}

  void Add(const std::string& event) {
    char time[32];
    std::snprintf(time, sizeof time, "%7.2f s  ", seconds());
    events_.push_back(time + event);
    if (verbose_) std::printf("%s\n", events_.back().c_str());
  }
  double seconds() const { return std::chrono::duration<double>(Clock::now() - begin_).count(); }
  Clock::time_point begin() const { return begin_; }
  const std::vector<std::string>& events() const { return events_; }

 private:
  const bool verbose_;
  const Clock::time_point begin_ = Clock::now();
  std::vector<std::string> events_;
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_EVENT_LOG_HPP_
