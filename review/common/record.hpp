// The record of a run: what was sent, answered and run, one line each with the seconds since the start.
#ifndef FENNELHOLLOW_REVIEW_COMMON_RECORD_HPP_
#define FENNELHOLLOW_REVIEW_COMMON_RECORD_HPP_

#include <chrono>
#include <fstream>
#include <string>

namespace fennelhollow::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Exit statuses of a scenario.
enum ExitStatus { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), start_(Clock::now()) {}
  void Line(const std::string& text);
  double Seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }

 private:
  std::ofstream file_;
  const Clock::time_point start_;
};

}  // namespace fennelhollow::review

#endif  // FENNELHOLLOW_REVIEW_COMMON_RECORD_HPP_
