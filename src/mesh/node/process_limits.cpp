#include "mesh/node/process_limits.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace fennelhollow::node {
namespace {

constexpr std::size_t kMebibyte = std::size_t{1} << 20;
// Descriptors that the platform keeps for files, where there are more than twice as many.
constexpr std::size_t kReservedDescriptors = 200;
// Share of the process's memory for the bodies of control calls, as a divisor.
constexpr std::size_t kControlMemoryDivisor = 8;
constexpr std::size_t kMaxUnidentifiedLinks = 256;
// Share of a sidecar's descriptors for links without a Hello, as a divisor.
constexpr std::size_t kUnidentifiedLinkDivisor = 16;

// Share of a core's memory for what waits unread in links, as a divisor.
constexpr std::size_t kLinkMemoryDivisor = 2;

// Share of the process's memory for what waits unread in the connections of clients.
std::size_t UnreadMemoryBytes(std::size_t memory_bytes) { return memory_bytes / 16 * 3; }

std::size_t MemoryBytes(const settings::Settings& settings) {
  return static_cast<std::size_t>(std::max<std::int64_t>(settings.memory_mb, 1)) * kMebibyte;
}

std::size_t Descriptors(const settings::Settings& settings) {
  return static_cast<std::size_t>(std::max<std::int64_t>(settings.file_descriptors, 0));
}

std::size_t SocketDescriptors(const settings::Settings& settings) {
  const std::size_t all = Descriptors(settings);
  return std::max(all - std::min(all, kReservedDescriptors), all / 2);
}

}  // namespace

memory::BufferAccount::Limits BufferLimits(const settings::Settings& settings) {
  return memory::BufferAccount::LimitsFor(MemoryBytes(settings));
}

egress::HttpServer::Limits ClientLimits(const settings::Settings& settings) {
  egress::HttpServer::Limits limits;
  limits.max_connections = std::min(
      {limits.max_connections, SocketDescriptors(settings) * 3 / 4,
       UnreadMemoryBytes(MemoryBytes(settings)) / memory::MaxUnreadBytes(memory::kLocalReceiveBytes)});
  return limits;
}

egress::HttpServer::Limits ReadinessLimits(const settings::Settings& settings) {
  egress::HttpServer::Limits limits;
  limits.max_connections = std::min(limits.max_connections, SocketDescriptors(settings) / 32);
  return limits;
}

ControlListener::Limits ControlLimits(const settings::Settings& settings) {
  ControlListener::Limits limits;
  limits.receive_bytes = memory::kLocalReceiveBytes;
  limits.max_connections = std::min(limits.max_connections, SocketDescriptors(settings) / 16);
  limits.max_total_body_bytes =
      std::min(limits.max_total_body_bytes, MemoryBytes(settings) / kControlMemoryDivisor);
  return limits;
}

ControlListener::Limits CoreControlLimits(const settings::Settings& settings) {
  ControlListener::Limits limits;
  limits.receive_bytes = memory::kOperatorReceiveBytes;
  limits.max_event_wait_ms = control::kMaxEventWaitMs;
  limits.max_connections =
      std::min({limits.max_connections, Descriptors(settings) / 3,
                UnreadMemoryBytes(MemoryBytes(settings)) / memory::MaxUnreadBytes(limits.receive_bytes)});
  limits.max_total_body_bytes =
      std::min(limits.max_total_body_bytes, MemoryBytes(settings) / kControlMemoryDivisor);
  return limits;
}

std::size_t MaxUnidentifiedLinks(const settings::Settings& settings) {
  return std::clamp(SocketDescriptors(settings) / kUnidentifiedLinkDivisor, std::size_t{1},
                    kMaxUnidentifiedLinks);
}

std::size_t MaxCoreLinks(const settings::Settings& settings) {
  return std::min(Descriptors(settings) / 2, MemoryBytes(settings) / kLinkMemoryDivisor /
                                                 memory::MaxUnreadBytes(memory::kAcceptedLinkReceiveBytes));
}

}  // namespace fennelhollow::node
