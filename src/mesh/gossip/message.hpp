// Gossip messages between sidecars, one per datagram.
#ifndef FENNELHOLLOW_MESH_GOSSIP_MESSAGE_HPP_
#define FENNELHOLLOW_MESH_GOSSIP_MESSAGE_HPP_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelhollow::gossip {

// A peer and the time since some node last heard from it directly.
struct PeerRecord {
  std::string name;     // of a sidecar; empty for a core
  std::string address;  // IPv4 ip:port
  std::uint32_t age_ms = 0;
  bool operator==(const PeerRecord&) const = default;
  template <class Archive>
  void serialize(Archive& a) {
    a(name, address, age_ms);
  }
};

enum class Kind : std::uint8_t { kRequest = 1, kResponse = 2 };

struct Message {
  Kind kind = Kind::kRequest;
  std::uint64_t request_id = 0;  // echoed by the response
  std::string name;              // of the sender; its address is the source of the datagram
  std::uint64_t entry = 0;       // newest configuration log index known to the sender; 0 = none
  std::uint32_t entry_age_ms = 0;
  std::vector<PeerRecord> sidecars;
  std::vector<PeerRecord> cores;  // internal addresses
  template <class Archive>
  void serialize(Archive& a) {
    a(kind, request_id, name, entry, entry_age_ms, sidecars, cores);
  }
};

std::string Serialize(const Message& message);
// kDataLoss: malformed, corrupt, of another version, or beyond the limits of view.hpp.
absl::StatusOr<Message> Parse(std::string_view bytes);
// Whether `text` is an IPv4 ip:port in canonical form.
bool IsAddress(std::string_view text);

}  // namespace fennelhollow::gossip

#endif  // FENNELHOLLOW_MESH_GOSSIP_MESSAGE_HPP_
