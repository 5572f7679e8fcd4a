// A sidecar as a process of its own, with its files in a folder of its own. Ended with the object.
#ifndef MERLINRUN_RIG_PROCESS_HPP_
#define MERLINRUN_RIG_PROCESS_HPP_

#include <sys/types.h>

#include <filesystem>
#include <string>

#include "rig/world.hpp"

namespace merlinrun::rig {

// The loopback address that this text names.
Tcp::endpoint At(const std::string& address);

class Process {
 public:
  // `diameter_file`: its text; empty: Diameter is off.
  Process(const std::string& program, const World& world, const std::string& diameter_file,
          std::string listen);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  bool runs() const;
  // CPU that it has used so far, in microseconds.
  double cpu() const;
  // Memory that it holds, in KiB (VmRSS).
  long memory() const;

 private:
  const std::filesystem::path folder_;
  pid_t pid_ = -1;
};

// Waits until the address takes a connection; false if it does not.
bool WaitFor(World& world, const Tcp::endpoint& address);

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_PROCESS_HPP_
