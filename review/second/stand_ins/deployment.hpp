// A small deployment on loopback: core and sidecar processes of the built program, started with the run lines
// of deploy/system.toml and settings as `fleetbench wire` shows them. Ends all its processes when it is
// destroyed.
#ifndef SECOND_REVIEW_STAND_INS_DEPLOYMENT_HPP_
#define SECOND_REVIEW_STAND_INS_DEPLOYMENT_HPP_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"

namespace review {

using fennelhollow::rig::Address;
using fennelhollow::rig::Clock;
using fennelhollow::rig::milliseconds;

// All machines of a deployment use the same ports.
struct Ports {
  std::uint16_t base = 0;
  std::uint16_t outbound() const { return base; }
  std::uint16_t readiness() const { return static_cast<std::uint16_t>(base + 1); }
  std::uint16_t inbound() const { return static_cast<std::uint16_t>(base + 2); }
  std::uint16_t control() const { return static_cast<std::uint16_t>(base + 3); }
  std::uint16_t application() const { return static_cast<std::uint16_t>(base + 4); }
  std::uint16_t first_internal() const { return static_cast<std::uint16_t>(base + 5); }
  std::uint16_t last_internal() const { return static_cast<std::uint16_t>(base + 9); }
  // Where a core listens whose announced address belongs to a relay.
  std::uint16_t behind_relay() const { return static_cast<std::uint16_t>(base + 10); }
};

struct MachineOptions {
  std::string name;
  bool core = false;
  std::string service;        // of the server beside a sidecar
  bool behind_relay = false;  // a core only: other processes reach it through a relay
};

// One machine with its process.
class Machine {
 public:
  Machine(MachineOptions options, std::string ip, Ports ports, std::filesystem::path folder,
          std::vector<std::string> seeds);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  bool Start();  // or starts again, with the same disk
  void Kill();   // SIGKILL, as a crash of the process
  const std::string& name() const { return options_.name; }
  const std::string& service() const { return options_.service; }
  Address outbound() const { return {ip_, ports_.outbound()}; }
  Address readiness() const { return {ip_, ports_.readiness()}; }
  Address control() const { return {ip_, ports_.control()}; }
  Address application() const { return {ip_, ports_.application()}; }
  Address internal() const { return {ip_, ports_.first_internal()}; }
  Address behind_relay() const { return {ip_, ports_.behind_relay()}; }

 private:
  std::string Settings() const;
  const MachineOptions options_;
  const std::string ip_;
  const Ports ports_;
  const std::filesystem::path folder_;
  const std::vector<std::string> seeds_;
  pid_t pid_ = -1;
  bool first_start_ = true;
};

class Deployment {
 public:
  explicit Deployment(const std::vector<MachineOptions>& machines);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  bool StartAll();
  const std::vector<std::unique_ptr<Machine>>& machines() const { return machines_; }
  Machine& Find(const std::string& name) const;
  std::vector<Machine*> Cores() const;
  std::vector<Machine*> Sidecars() const;

 private:
  std::filesystem::path folder_;
  std::vector<MachineOptions> options_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_DEPLOYMENT_HPP_
