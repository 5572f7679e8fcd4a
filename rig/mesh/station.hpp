// A machine of the mesh on loopback: the real program as a child process, with its settings file.
#ifndef FENNELHOLLOW_RIG_MESH_STATION_HPP_
#define FENNELHOLLOW_RIG_MESH_STATION_HPP_

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

class Station {
 public:
  enum class Role { kCore, kSidecar };
  struct Options {
    std::string program;
    std::filesystem::path folder;  // of all stations; gets this one's settings, data and log
    std::string name;
    Role role = Role::kCore;
    std::string ip;
    std::string service;  // that runs beside a sidecar
    Ports ports;
    std::vector<std::string> seeds;  // IPs
  };
  explicit Station(Options options) : options_(std::move(options)) {}
  ~Station();  // kills and reaps it
  Station(const Station&) = delete;
  Station& operator=(const Station&) = delete;

  bool Start();  // false: no process could be started
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
  const Options options_;
  pid_t pid_ = -1;
  int status_ = -1;
};

}  // namespace fennelhollow::rig

#endif  // FENNELHOLLOW_RIG_MESH_STATION_HPP_
