// A small deployment on loopback: cores and sidecars as child processes, started with the `run` lines of
// deploy/system.toml. All processes end with this object.
#ifndef FENNELHOLLOW_REVIEW_COMMON_MESH_HPP_
#define FENNELHOLLOW_REVIEW_COMMON_MESH_HPP_

#include <sys/types.h>

#include <cstdint>
#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include "rig/mesh/http.hpp"

namespace fennelhollow::review {

using rig::Address;

// What the settings file of a deployment says, as far as the cases differ in it.
struct SiteTerms {
  int sidecar_memory_mb = 260;
  std::string contracts;  // YAML list
  std::string bounds;     // YAML table
};

struct Node {
  std::string name;
  bool core = false;
  std::string ip;
  std::string service;  // of the application server beside a sidecar
  pid_t pid = -1;       // -1: not running
  bool first_start = true;
};

class Mesh {
 public:
  struct Options {
    std::vector<std::string> sidecar_services;  // one sidecar each
    SiteTerms terms;
  };
  // Throws std::runtime_error if there are no free ports or the deploy file can't be read.
  explicit Mesh(Options options);
  ~Mesh();
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  void StartAll();
  void Start(Node& node);
  // Kills the process and waits for its end.
  void Kill(Node& node);
  static void Signal(const Node& node, int signal);
  // True if the process has ended by itself; reaps it.
  static bool Ended(Node& node);
  static long ResidentMemoryMb(const Node& node);

  std::vector<Node>& nodes() { return nodes_; }
  Node& core(std::size_t i) { return nodes_.at(i); }
  Node& sidecar(std::size_t i) { return nodes_.at(kCores + i); }
  std::size_t sidecars() const { return nodes_.size() - kCores; }

  Address outbound(const Node& node) const { return {node.ip, Port(0)}; }
  Address readiness(const Node& node) const { return {node.ip, Port(1)}; }
  Address inbound(const Node& node) const { return {node.ip, Port(2)}; }
  Address control(const Node& node) const { return {node.ip, Port(3)}; }
  Address application(const Node& node) const { return {node.ip, Port(4)}; }

  static constexpr std::size_t kCores = 3;

 private:
  std::uint16_t Port(int offset) const { return static_cast<std::uint16_t>(base_port_ + offset); }
  std::string SettingsOf(const Node& node) const;

  const Options options_;
  std::filesystem::path folder_;
  std::map<std::string, std::string> run_lines_;  // by role
  std::vector<Node> nodes_;                       // cores, then sidecars
  int base_port_ = 0;
};

}  // namespace fennelhollow::review

#endif  // FENNELHOLLOW_REVIEW_COMMON_MESH_HPP_
