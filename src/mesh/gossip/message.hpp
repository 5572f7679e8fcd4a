// What the views of sidecars say to one another, in one datagram each.
#ifndef FENNELHOLLOW_MESH_GOSSIP_MESSAGE_HPP_
#define FENNELHOLLOW_MESH_GOSSIP_MESSAGE_HPP_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fennelhollow::gossip {

// Ages are in milliseconds: how long ago somebody heard it (of it) first hand.
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
  std::uint64_t request_id = 0;  // of the ask; the answer says it again
  std::string name;              // of the sender; its address is where the datagram comes from
  std::uint64_t entry = 0;       // the newest that the sender knows of; 0 = none
  std::uint32_t entry_age_ms = 0;
  std::vector<PeerRecord> sidecars;
  std::vector<PeerRecord> cores;  // internal addresses
  template <class Archive>
  void serialize(Archive& a) {
    a(kind, request_id, name, entry, entry_age_ms, sidecars, cores);
  }
};

std::string Serialize(const Message& message);
// kDataLoss: not a whole datagram of this version, or more, longer or other values than there may be.
absl::StatusOr<Message> Parse(std::string_view bytes);
// Whether it is an IPv4 ip:port as datagrams carry it.
bool IsAddress(std::string_view text);

}  // namespace fennelhollow::gossip

#endif  // FENNELHOLLOW_MESH_GOSSIP_MESSAGE_HPP_
