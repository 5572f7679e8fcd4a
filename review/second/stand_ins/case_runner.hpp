// Frame of a case: the record, the time limit, TROUBLE and the exit status (0: the rule held, 1: it was
// broken, 2: the case could not run).
#ifndef SECOND_REVIEW_STAND_INS_CASE_RUNNER_HPP_
#define SECOND_REVIEW_STAND_INS_CASE_RUNNER_HPP_

#include <fstream>
#include <functional>
#include <string>

#include "stand_ins/deployment.hpp"

namespace review {

namespace asio = boost::asio;

enum class Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

class Record {
 public:
  explicit Record(const std::string& path) : file_(path), started_(Clock::now()) {}
  // Writes a line with the time since the start.
  void Line(const std::string& text);
  // Also to the standard output.
  void Summary(const std::string& text);
  double Seconds() const { return std::chrono::duration<double>(Clock::now() - started_).count(); }

 private:
  std::ofstream file_;
  const Clock::time_point started_;
};

struct CaseContext {
  asio::io_context& io;
  Record& record;
  const bool trouble;  // false: play the same without the disruption
};

// Runs a case from main: the first argument is the path of the record.
int RunCase(int argc, char** argv, std::function<asio::awaitable<Verdict>(CaseContext)> play);

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_CASE_RUNNER_HPP_
