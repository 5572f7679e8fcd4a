#include "fleet/report.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <optional>

namespace merlinrun::fleet {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kVersion = 1;
constexpr std::size_t kFields = 6;
constexpr std::size_t kZoneFields = 6;
constexpr std::uint64_t kMaxDeadServers = 100;
// Larger numbers are rejected; valid timestamps and counters stay far below.
constexpr std::uint64_t kMaxNumber = std::uint64_t{1} << 60;

// An integer from 0 to `max_value`.
std::optional<std::uint64_t> Number(const Json& json, std::uint64_t max_value) {
  if (!json.is_number_unsigned()) return std::nullopt;
  const auto value = json.get<std::uint64_t>();
  return value <= max_value ? std::optional(value) : std::nullopt;
}

std::optional<ZoneReport> ReadZone(const Json& json) {
  if (!json.is_array() || json.size() != kZoneFields) return std::nullopt;
  const auto zone = Number(json[0], 1'000'000);
  const auto stage = Number(json[1], static_cast<std::uint64_t>(zones::Stage::kReturning));
  const auto epoch = Number(json[2], kMaxNumber);
  const auto dead = Number(json[3], kMaxDeadServers);
  const auto last = Number(json[4], kMaxAgeMs);
  const auto in_stage = Number(json[5], kMaxAgeMs);
  if (!zone || !stage || !epoch || !dead || !last || !in_stage) return std::nullopt;
  return ZoneReport{
      static_cast<int>(*zone),      static_cast<zones::Stage>(*stage), *epoch,
      static_cast<unsigned>(*dead), static_cast<Micros>(*last),        static_cast<Micros>(*in_stage)};
}

std::variant<PeerReport, DecodeError> FromJson(const Json& json, std::uint32_t sidecar_count) {
  if (!json.is_array() || json.empty()) return DecodeError::kWrongShape;
  if (json[0] != kVersion) return DecodeError::kVersion;
  if (json.size() != kFields || !json[5].is_array()) return DecodeError::kWrongShape;
  const auto sender = Number(json[1], std::uint64_t{sidecar_count} - 1);
  const auto incarnation = Number(json[2], kMaxNumber);
  const auto sequence = Number(json[3], kMaxNumber);
  const auto generation = Number(json[4], kMaxNumber);
  if (!sender || !incarnation || !sequence || !generation || json[5].size() > kMaxZones)
    return DecodeError::kOutOfRange;
  PeerReport report{static_cast<std::uint32_t>(*sender),
                    *incarnation,
                    *sequence,
                    static_cast<std::int64_t>(*generation),
                    {}};
  for (const Json& entry : json[5]) {
    const auto zone = ReadZone(entry);
    if (!zone || report.FindZone(zone->zone) != nullptr) return DecodeError::kOutOfRange;
    report.zones.push_back(*zone);
  }
  return report;
}

}  // namespace

const ZoneReport* PeerReport::FindZone(int zone) const {
  const auto it = std::find_if(zones.begin(), zones.end(),
                               [&](const ZoneReport& zone_report) { return zone_report.zone == zone; });
  return it == zones.end() ? nullptr : &*it;
}

std::string Encode(const PeerReport& report) {
  Json zones = Json::array();
  for (const ZoneReport& zone : report.zones) {
    if (zones.size() == kMaxZones) break;
    zones.push_back({static_cast<std::uint64_t>(zone.zone), static_cast<std::uint64_t>(zone.stage),
                     zone.epoch, std::min<std::uint64_t>(zone.dead, kMaxDeadServers),
                     static_cast<std::uint64_t>(std::clamp<Micros>(zone.last_ms, 0, kMaxAgeMs)),
                     static_cast<std::uint64_t>(std::clamp<Micros>(zone.in_stage_ms, 0, kMaxAgeMs))});
  }
  const Json message = Json::array({kVersion, report.sender, report.incarnation, report.sequence,
                                    static_cast<std::uint64_t>(std::max<std::int64_t>(report.generation, 0)),
                                    std::move(zones)});
  std::string out;
  Json::to_cbor(message, out);
  return out;
}

std::variant<PeerReport, DecodeError> Decode(std::string_view bytes, std::uint32_t sidecar_count) {
  if (bytes.size() > kMaxDatagramBytes) return DecodeError::kTooLong;
  try {
    const Json json = Json::from_cbor(bytes, /*strict=*/true, /*allow_exceptions=*/false);
    return json.is_discarded() ? DecodeError::kNotCbor : FromJson(json, sidecar_count);
  } catch (const Json::exception&) {  // thrown for absurd element counts even without exceptions
    return DecodeError::kNotCbor;
  }
}

}  // namespace merlinrun::fleet
