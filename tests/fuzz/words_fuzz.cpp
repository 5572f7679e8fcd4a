// Fuzz target of the reports between sidecars. The input is a sequence of datagrams, each after its length.
// Whatever is decoded encodes and decodes to the same report, and the peer table takes it within its bounds.
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "fleet/peer_table.hpp"
#include "fleet/report.hpp"

namespace {

using merlinrun::fleet::PeerReport;
using merlinrun::fleet::PeerTable;

constexpr std::uint32_t kSidecarCount = 50;

void Check(bool holds) {
  if (!holds) std::abort();
}

void DecodeAndRecord(PeerTable& peer_table, merlinrun::Micros now, std::string_view bytes) {
  const auto decoded = merlinrun::fleet::Decode(bytes, kSidecarCount);
  const auto* report = std::get_if<PeerReport>(&decoded);
  if (report == nullptr) return;
  Check(report->sender < kSidecarCount && report->zones.size() <= merlinrun::fleet::kMaxZones);
  const std::string encoded = merlinrun::fleet::Encode(*report);
  Check(encoded.size() <= merlinrun::fleet::kMaxDatagramBytes);
  Check(std::get<PeerReport>(merlinrun::fleet::Decode(encoded, kSidecarCount)) == *report);
  peer_table.OnReport(now, *report);
  Check(peer_table.known_peers() < kSidecarCount);
  for (const auto& zone : report->zones) {
    const merlinrun::ZonePeerSummary summary = peer_table.Summarize(now, zone.zone);
    Check(summary.reporting_lost + summary.reporting_healthy <= summary.reporting &&
          summary.reporting <= static_cast<int>(kSidecarCount));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  PeerTable peer_table(0);
  merlinrun::Micros now = 1'796'000'000'000'000;
  while (!rest.empty()) {
    const std::size_t length = std::min<std::size_t>(static_cast<unsigned char>(rest[0]), rest.size() - 1);
    DecodeAndRecord(peer_table, now, rest.substr(1, length));
    rest.remove_prefix(1 + length);
    now += 100'000;
  }
  return 0;
}
