// What one sidecar tells others of zones, as a datagram: CBOR (RFC 8949) of one array. Free of I/O.
//
// A word tells what its sender's own attempts met, and nothing that it was told: so each sender that is heard
// is a witness of its own.
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

// The protocol's bound on a datagram between sidecars.
inline constexpr std::size_t kMaxDatagramBytes = 256;
// What fits into it with every number at its longest.
inline constexpr std::size_t kMaxZones = 7;
// Times in words are told up to here, milliseconds: older is as good as never.
inline constexpr Micros kMaxAgeMs = 600'000;

struct ZoneReport {
  int zone = 0;
  zones::Stage stage = zones::Stage::kServing;
  std::uint64_t epoch = 0;  // of its sender's moves
  unsigned dead = 0;        // distinct servers without a way or an answer, since the zone's last answer
  Micros last_ms = 0;       // since the last sign of the zone, an answer if dead is 0
  Micros in_stage_ms = 0;   // since the stage began
  bool operator==(const ZoneReport&) const = default;
};

struct PeerReport {
  std::uint32_t sender = 0;       // its number, from 0
  std::uint64_t incarnation = 0;  // grows with each start of the sender: Unix time of it, milliseconds
  std::uint64_t sequence = 0;     // grows with each word of one incarnation
  std::int64_t generation = 0;    // of its list of servers
  std::vector<ZoneReport> zones;  // at most kMostZones
  // Null if it says nothing of the zone.
  const ZoneReport* Of(int zone) const;
  bool operator==(const PeerReport&) const = default;
};

// Why a datagram is dropped.
enum class DecodeError { kTooLong, kNoWords, kVersion, kShape, kRange };

// At most kMostBytes; zones past kMostZones are left out.
std::string Encode(const PeerReport& words);
// Takes any bytes. Senders are numbered under `siblings`.
std::variant<PeerReport, DecodeError> Decode(std::string_view bytes, std::uint32_t siblings);

}  // namespace merlinrun::fleet

#endif  // MERLINRUN_FLEET_REPORT_HPP_
