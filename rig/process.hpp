// A sidecar process with a temporary directory for its files. Killed when the object is destroyed.
#ifndef MERLINRUN_RIG_PROCESS_HPP_
#define MERLINRUN_RIG_PROCESS_HPP_

#include <sys/types.h>

#include <filesystem>
#include <string>

#include "rig/test_environment.hpp"

namespace merlinrun::rig {

// Parses "ip:port"; throws if it is malformed.
Tcp::endpoint ParseEndpoint(const std::string& address);

class Process {
 public:
  struct Options {
    std::string listen;
    std::string diameter_file;  // file content; empty: Diameter is off
    std::string ops;            // admin address; empty: none
    std::string tmpdir;         // TMPDIR, shared by the processes of one sidecar across upgrades; empty: none
    nlohmann::json config = {};  // full configuration; empty: the environment's
    std::string trace = {};      // trace file content; empty: no trace. The trace is written to the log
    std::string fleet = {};      // peer report settings file content; empty: peer reports are off
  };
  Process(const std::string& program, const TestEnvironment& env, const Options& options);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool runs() const;
  void Signal(int signal) const;
  // Waits up to 20 s for the process to exit; returns its exit status, or -1 on timeout or death by signal.
  int Wait(TestEnvironment& env);
  // Writes the zone override file, which the process reads at startup and on SIGHUP.
  void WriteZoneOverrides(const std::string& text) const;
  // Number of open file descriptors.
  std::size_t descriptors() const;
  // CPU time used so far, microseconds.
  double cpu() const;
  // The last `last` bytes of standard error if tracing is on; empty otherwise.
  std::string Log(std::size_t last) const;
  // Resident memory (VmRSS), KiB.
  long memory() const;

 private:
  const std::filesystem::path folder_;
  pid_t pid_ = -1;
};

// Creates a directory below the system's temporary directory; the caller removes it.
std::filesystem::path MakeTempDirectory();

// Response of the admin address; status 0: no response.
struct HttpReply {
  unsigned status = 0;
  std::string body;
};
HttpReply HttpCall(const std::string& address, const std::string& method, const std::string& path);

// Waits until the process behind this admin address reports readiness.
bool WaitForReady(TestEnvironment& env, const std::string& ops);

// Waits until the address accepts a connection; false on timeout.
bool WaitForListener(TestEnvironment& env, const Tcp::endpoint& address);

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_PROCESS_HPP_
