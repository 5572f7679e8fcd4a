// A machine of the mesh on loopback: the real program as a child process, with its settings file.
#ifndef FENNELHOLLOW_RIG_MESH_NODE_PROCESS_HPP_
#define FENNELHOLLOW_RIG_MESH_NODE_PROCESS_HPP_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"

namespace fennelhollow::rig {

// Every machine uses the same ports, counted from a base.
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
// Ports that are free at all of these addresses; base 0: none were found.
Ports FindPorts(const std::vector<std::string>& ips);

class NodeProcess {
 public:
  enum class Role { kCore, kSidecar };
  struct Options {
    std::string program;
    std::filesystem::path folder;  // of all processes; gets this one's settings, data and log
    std::string name;
    Role role = Role::kCore;
    std::string ip;
    std::string service;  // that runs beside a sidecar
    Ports ports;
    std::vector<std::string> seeds;  // IPs
    // Where it listens for other processes; port 0: where they are told to come.
    Address internal_listen;
    std::vector<std::string> arguments;
  };
  explicit NodeProcess(Options options) : options_(std::move(options)) {}
  ~NodeProcess();  // kills and reaps it
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;

  // False: no process could be started. Again after its end: with the disk that it left, unless that was
  // lost.
  bool Start();
  // At once, and waits for its end.
  void Kill();
  // Of one that does not run.
  void LoseDisk();
  bool runs() const { return pid_ > 0; }
  void Signal(int signal) const;
  // Looks whether it has ended, and reaps it.
  bool Ended();
  int status() const { return status_; }  // as it exited; -1: by a signal, or it hasn't

  Address outbound() const { return {options_.ip, options_.ports.outbound()}; }
  Address readiness() const { return {options_.ip, options_.ports.readiness()}; }
  Address control() const { return {options_.ip, options_.ports.control()}; }
  Address application() const { return {options_.ip, options_.ports.application()}; }
  Address internal() const { return {options_.ip, options_.ports.first_internal()}; }
  const std::string& name() const { return options_.name; }
  std::string Log() const;

 private:
  std::string Settings() const;
  std::filesystem::path DataDirectory() const;
  const Options options_;
  pid_t pid_ = -1;
  int status_ = -1;
  bool first_start_ = true;
};

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_NODE_PROCESS_HPP_
