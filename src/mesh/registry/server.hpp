// What the service registry holds: instances of servers, and sidecars.
#ifndef FENNELHOLLOW_MESH_REGISTRY_SERVER_HPP_
#define FENNELHOLLOW_MESH_REGISTRY_SERVER_HPP_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

#include "merlinrun/balancer.hpp"

namespace fennelhollow::registry {

using merlinrun::Micros;

enum class State : std::uint8_t { kReady, kDraining, kGone };

// Sequence number of an instance that has departed: above that of any heartbeat, however late.
inline constexpr std::uint64_t kFinalSequence = std::numeric_limits<std::uint64_t>::max();

// One instance of a server, as reported by the sidecar on its machine.
struct Server {
  std::string id;
  std::string service;
  std::string address;  // ip:port, reachable only on its own machine
  std::string zone;
  std::string version;
  std::int32_t slots = 0;
  State state = State::kReady;
  std::int64_t cold_remaining_ms = 0;  // at the time of the report
  std::uint64_t sequence = 0;          // of its last heartbeat; kFinalSequence once it has departed
  std::string sidecar_address;         // internal address (ip:port) of the sidecar in front of it
  bool operator==(const Server&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(id, service, address, zone, version, slots, state, cold_remaining_ms, sequence, sidecar_address);
  }
};

// Whether its departure was acknowledged. Unlike an instance that is silent or unreachable it never returns.
inline bool HasDeparted(const Server& server) { return server.sequence == kFinalSequence; }

// Instances that one sidecar keeps and reports.
inline constexpr std::size_t kMaxInstances = 8;

// A sidecar, as it describes itself.
struct Sidecar {
  std::string name;               // nodeName of its settings
  std::uint64_t incarnation = 0;  // drawn at random at each start
  std::string internal_address;   // ip:port
  std::string zone;
  std::string service;  // of its server
  bool operator==(const Sidecar&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(name, incarnation, internal_address, zone, service);
  }
};

}  // namespace fennelhollow::registry

#endif  // FENNELHOLLOW_MESH_REGISTRY_SERVER_HPP_
