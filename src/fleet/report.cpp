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
constexpr std::uint64_t kMostDead = 100;
// Past it a number is not one of ours: clocks in milliseconds and counts of words stay far below.
constexpr std::uint64_t kMostNumber = std::uint64_t{1} << 60;

// A whole number from 0 to `most`.
std::optional<std::uint64_t> Number(const Json& json, std::uint64_t most) {
  if (!json.is_number_unsigned()) return std::nullopt;
  const auto value = json.get<std::uint64_t>();
  return value <= most ? std::optional(value) : std::nullopt;
}

std::optional<ZoneReport> ReadZone(const Json& json) {
  if (!json.is_array() || json.size() != kZoneFields) return std::nullopt;
  const auto zone = Number(json[0], 1'000'000);
  const auto stage = Number(json[1], static_cast<std::uint64_t>(zones::Stage::kReturning));
  const auto epoch = Number(json[2], kMostNumber);
  const auto dead = Number(json[3], kMostDead);
  const auto last = Number(json[4], kMaxAgeMs);
  const auto in_stage = Number(json[5], kMaxAgeMs);
  if (!zone || !stage || !epoch || !dead || !last || !in_stage) return std::nullopt;
  return ZoneReport{
      static_cast<int>(*zone),      static_cast<zones::Stage>(*stage), *epoch,
      static_cast<unsigned>(*dead), static_cast<Micros>(*last),        static_cast<Micros>(*in_stage)};
}

std::variant<PeerReport, DecodeError> FromJson(const Json& json, std::uint32_t siblings) {
  if (!json.is_array() || json.empty()) return DecodeError::kShape;
  if (json[0] != kVersion) return DecodeError::kVersion;
  if (json.size() != kFields || !json[5].is_array()) return DecodeError::kShape;
  const auto sender = Number(json[1], std::uint64_t{siblings} - 1);
  const auto incarnation = Number(json[2], kMostNumber);
  const auto sequence = Number(json[3], kMostNumber);
  const auto generation = Number(json[4], kMostNumber);
  if (!sender || !incarnation || !sequence || !generation || json[5].size() > kMaxZones)
    return DecodeError::kRange;
  PeerReport words{static_cast<std::uint32_t>(*sender),
                   *incarnation,
                   *sequence,
                   static_cast<std::int64_t>(*generation),
                   {}};
  for (const Json& entry : json[5]) {
    const auto zone = ReadZone(entry);
    if (!zone || words.Of(zone->zone) != nullptr) return DecodeError::kRange;
    words.zones.push_back(*zone);
  }
  return words;
}

}  // namespace

const ZoneReport* PeerReport::Of(int zone) const {
  const auto it =
      std::find_if(zones.begin(), zones.end(), [&](const ZoneReport& word) { return word.zone == zone; });
  return it == zones.end() ? nullptr : &*it;
}

std::string Encode(const PeerReport& words) {
  Json zones = Json::array();
  for (const ZoneReport& zone : words.zones) {
    if (zones.size() == kMaxZones) break;
    zones.push_back({static_cast<std::uint64_t>(zone.zone), static_cast<std::uint64_t>(zone.stage),
                     zone.epoch, std::min<std::uint64_t>(zone.dead, kMostDead),
                     static_cast<std::uint64_t>(std::clamp<Micros>(zone.last_ms, 0, kMaxAgeMs)),
                     static_cast<std::uint64_t>(std::clamp<Micros>(zone.in_stage_ms, 0, kMaxAgeMs))});
  }
  const Json all = Json::array({kVersion, words.sender, words.incarnation, words.sequence,
                                static_cast<std::uint64_t>(std::max<std::int64_t>(words.generation, 0)),
                                std::move(zones)});
  std::string out;
  Json::to_cbor(all, out);
  return out;
}

std::variant<PeerReport, DecodeError> Decode(std::string_view bytes, std::uint32_t siblings) {
  if (bytes.size() > kMaxDatagramBytes) return DecodeError::kTooLong;
  try {
    const Json json = Json::from_cbor(bytes, /*strict=*/true, /*allow_exceptions=*/false);
    return json.is_discarded() ? DecodeError::kNoWords : FromJson(json, siblings);
  } catch (const Json::exception&) {  // sizes that are promised and can't be are thrown in any case
    return DecodeError::kNoWords;
  }
}

}  // namespace merlinrun::fleet
