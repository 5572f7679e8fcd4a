// Any bytes as a word between sidecars: read or dropped, and what is read can be written and read again as
// the same. Several in a row, each with its length before it, go to one sidecar's members.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fleet/peer_table.hpp"
#include "fleet/report.hpp"

namespace {

using merlinrun::fleet::PeerReport;
using merlinrun::fleet::PeerTable;

constexpr std::uint32_t kSiblings = 50;

void Require(bool holds) {
  if (!holds) std::abort();
}

void TakeOne(PeerTable& members, merlinrun::Micros now, std::string_view bytes) {
  const auto read = merlinrun::fleet::Decode(bytes, kSiblings);
  const auto* words = std::get_if<PeerReport>(&read);
  if (words == nullptr) return;
  Require(words->sender < kSiblings && words->zones.size() <= merlinrun::fleet::kMaxZones);
  const std::string again = merlinrun::fleet::Encode(*words);
  Require(again.size() <= merlinrun::fleet::kMaxDatagramBytes);
  Require(std::get<PeerReport>(merlinrun::fleet::Decode(again, kSiblings)) == *words);
  members.Hear(now, *words);
  Require(members.known() < kSiblings);
  for (const auto& zone : words->zones) {
    const merlinrun::ZonePeerReport told = members.Of(now, zone.zone);
    Require(told.reporting_lost + told.reporting_healthy <= told.reporting &&
            told.reporting <= static_cast<int>(kSiblings));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  PeerTable members(0);
  merlinrun::Micros now = 1'796'000'000'000'000;
  while (!rest.empty()) {
    const std::size_t length = std::min<std::size_t>(static_cast<unsigned char>(rest[0]), rest.size() - 1);
    TakeOne(members, now, rest.substr(1, length));
    rest.remove_prefix(1 + length);
    now += 100'000;
  }
  return 0;
}
