// A node of the mesh on loopback: fennelhollow-node as a child process with its settings file.
#ifndef FENNELHOLLOW_RIG_MESH_NODE_PROCESS_HPP_
#define FENNELHOLLOW_RIG_MESH_NODE_PROCESS_HPP_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig {

// Every node uses the same ports, relative to a base.
struct Ports {
  std::uint16_t base = 0;
  std::uint16_t outbound() const { return base; }
  std::uint16_t readiness() const { return static_cast<std::uint16_t>(base + 1); }
  std::uint16_t inbound() const { return static_cast<std::uint16_t>(base + 2); }
  std::uint16_t control() const { return static_cast<std::uint16_t>(base + 3); }
  std::uint16_t application() const { return static_cast<std::uint16_t>(base + 4); }
  std::uint16_t first_internal() const { return static_cast<std::uint16_t>(base + 5); }
  std::uint16_t last_internal() const { return static_cast<std::uint16_t>(base + 8); }
};
// Finds ports that are free at all of these addresses; base 0: none found.
Ports FindPorts(const std::vector<std::string>& ips);

// Limits that the kernel sets to a process; 0: as this process has it.
struct ProcessLimits {
  std::uint64_t address_space_bytes = 0;
  std::uint64_t file_size_bytes = 0;
  std::uint64_t file_descriptors = 0;
};

class NodeProcess {
 public:
  enum class Role { kCore, kSidecar };
  struct Options {
    std::string program;
    std::filesystem::path folder;  // shared by all processes; holds their settings, data and logs
    std::string name;
    Role role = Role::kCore;
    std::string ip;
    std::string service;  // of the application beside a sidecar
    Ports ports;
    std::vector<std::string> seeds;  // IPs
    int grace_period_s = 3;          // from SIGTERM to the end
    // Listen address for other nodes; port 0: the announced address.
    Address internal_listen;
    std::vector<std::string> arguments;
    // What the settings file says of the machine.
    int memory_mb = 260;
    int file_descriptors = 1024;
    int core_disk_mb = 64;
    // What the kernel enforces.
    ProcessLimits limits;
  };
  explicit NodeProcess(Options options) : options_(std::move(options)) {}
  ~NodeProcess();  // kills and reaps the process
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // Starts, or restarts with the existing data directory. False if the process can't be started.
  bool Start();
  // The same, with this text as its settings file.
  bool StartWithSettings(const std::string& settings);
  // Starts another process of this node while the running one, which becomes the predecessor, is ending.
  bool StartSuccessor();
  // True if there is no predecessor any more; reaps it.
  bool PredecessorEnded();
  // How the last predecessor ended; see EndText.
  std::string PredecessorEndText() const { return predecessor_.EndText(); }
  // Its settings: a YAML text.
  std::string Settings() const;
  // Replaces the settings file at once, so that the process never reads a part of it.
  void WriteSettings(const std::string& settings) const;
  // Sends SIGKILL, also to a predecessor, and waits for the exit.
  void Kill();
  // Deletes the data. Call only while the process is stopped.
  void LoseDisk();
  bool runs() const { return current_.pid > 0; }
  // Makes writes to its files fail, as on a full disk, until it is lifted.
  void SetDiskFull(bool full) const;
  // 0 if it does not run.
  std::uint64_t ResidentBytes() const;
  std::size_t OpenDescriptors() const;
  // Bytes that have arrived at its TCP sockets and that it has not read; 0 if it does not run.
  std::uint64_t UnreadBytes() const;
  void Signal(int signal) const;
  // Writes a settings file with the seeds in another order, drawn with `seed`, and sends SIGHUP.
  void Reload(std::uint64_t seed);
  // True if the process has exited; reaps it.
  bool Ended();
  int status() const { return current_.status; }  // exit status; -1: running or killed by a signal
  // How the process ended: its exit status or the signal that killed it.
  std::string EndText() const { return current_.EndText(); }
  // Whether the process has installed its handlers of SIGTERM and SIGHUP. Before that, while it is loaded, a
  // signal has its default action.
  bool HandlesSignals() const;

  Address outbound() const { return {options_.ip, options_.ports.outbound()}; }
  Address readiness() const { return {options_.ip, options_.ports.readiness()}; }
  Address control() const { return {options_.ip, options_.ports.control()}; }
  Address application() const { return {options_.ip, options_.ports.application()}; }
  Address internal() const { return {options_.ip, options_.ports.first_internal()}; }
  const std::string& name() const { return options_.name; }
  std::string Log() const;

 private:
  struct Child {
    pid_t pid = -1;
    int status = -1;
    int signal = 0;  // that killed the process; 0: none
    bool Ended();    // reaps it
    void Kill();
    std::string EndText() const;
  };
  bool Spawn();
  std::filesystem::path SettingsFile() const;
  std::filesystem::path DataDirectory() const;
  Options options_;
  Child current_, predecessor_;
  bool first_start_ = true;
};

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_NODE_PROCESS_HPP_
