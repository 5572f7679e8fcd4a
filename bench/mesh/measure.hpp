// Shared by the benchmarks: CPU clocks, memory, quantiles, child processes.
#ifndef FENNELHOLLOW_BENCH_MESH_MEASURE_HPP_
#define FENNELHOLLOW_BENCH_MESH_MEASURE_HPP_

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <functional>
#include <string>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace fennelhollow::bench {

using merlinrun::Micros;

inline double Seconds(clockid_t clock) {
  timespec t{};
  ::clock_gettime(clock, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
// Monotonic clock shared by all processes of the machine, microseconds.
inline Micros Now() { return static_cast<Micros>(Seconds(CLOCK_MONOTONIC) * 1e6); }
// CPU seconds (user and system) of all threads of a process.
inline double CpuSeconds(pid_t process) {
  clockid_t clock{};
  return ::clock_getcpuclockid(process, &clock) == 0 ? Seconds(clock) : 0;
}
// A field of /proc/PID/status in KB, such as VmRSS or VmHWM.
inline double MemoryKb(pid_t process, const std::string& line) {
  std::ifstream in("/proc/" + std::to_string(process) + "/status");
  for (std::string word; in >> word;) {
    if (word != line + ":") continue;
    double kb = 0;
    in >> kb;
    return kb;
  }
  return 0;
}
// `values` may be unsorted; 0 if empty.
inline double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1) + 0.5)];
}

// Runs `what` in a child process, which dies with this one.
inline pid_t Fork(const std::function<void()>& what) {
  std::fflush(stdout);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child < 0) {
    std::perror("fork");
    std::exit(1);
  }
  if (child > 0) return child;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  what();
  std::fflush(stdout);
  ::_exit(0);
}
inline bool WaitFor(pid_t child) {
  int status = 0;
  return ::waitpid(child, &status, 0) == child && WIFEXITED(status) && WEXITSTATUS(status) == 0;
}
inline void End(pid_t child) {
  ::kill(child, SIGKILL);
  ::waitpid(child, nullptr, 0);
}

}  // namespace fennelhollow::bench

#endif  // FENNELHOLLOW_BENCH_MESH_MEASURE_HPP_
