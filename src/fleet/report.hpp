// The datagram that a sidecar sends to its peers: its own view of each zone, as one CBOR array (RFC 8949).
// Does no I/O.
//
// A report holds only what the sender's own attempts found and nothing it learned from peers, so each sender
// is an independent witness.
#ifndef MERLINRUN_FLEET_REPORT_HPP_
#define MERLINRUN_FLEET_REPORT_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "zones/zones.hpp"

namespace merlinrun::fleet {

// Largest datagram between sidecars.
inline constexpr std::size_t kMaxDatagramBytes = 256;
// Fits into a datagram with every number at its longest.
inline constexpr std::size_t kMaxZones = 7;
// Reported ages are capped at this, in milliseconds; it also stands for never.
inline constexpr Micros kMaxAgeMs = 600'000;

struct ZoneReport {
  int zone = 0;
  zones::Stage stage = zones::Stage::kServing;
  std::uint64_t epoch = 0;  // of the sender's zone ejections and returns
  unsigned dead = 0;        // distinct servers that failed to connect or answer since the zone's last answer
  Micros last_ms = 0;      // since the last evidence about the zone: an answer if `dead` is 0, else a failure
  Micros in_stage_ms = 0;  // time in the stage
  bool operator==(const ZoneReport&) const = default;
};

struct PeerReport {
  std::uint32_t sender = 0;       // peer number, from 0
  std::uint64_t incarnation = 0;  // start time of the sender, Unix time in milliseconds
  std::uint64_t sequence = 0;     // increases with each report of an incarnation
  std::int64_t generation = 0;    // of the sender's endpoint list
  std::vector<ZoneReport> zones;  // at most kMaxZones
  // Null if the report doesn't cover the zone.
  const ZoneReport* FindZone(int zone) const;
  bool operator==(const PeerReport&) const = default;
};

// Why a datagram was dropped.
enum class DecodeError { kTooLong, kNotCbor, kVersion, kWrongShape, kOutOfRange };

// At most kMaxDatagramBytes; zones past kMaxZones are left out.
std::string Encode(const PeerReport& report);
// Accepts any bytes. A sender's number must be below `sidecar_count`.
std::variant<PeerReport, DecodeError> Decode(std::string_view bytes, std::uint32_t sidecar_count);

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_REPORT_HPP_
