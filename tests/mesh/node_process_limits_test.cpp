#include <algorithm>
#include <catch2/catch.hpp>

#include "mesh/node/process_limits.hpp"

namespace fennelhollow::node {
namespace {

settings::Settings SettingsWith(std::int64_t memory_mb, std::int64_t file_descriptors) {
  settings::Settings settings;
  settings.memory_mb = memory_mb;
  settings.file_descriptors = file_descriptors;
  return settings;
}

// Guards against listeners that together leave no descriptor for links and for connections to the server.
TEST_CASE("a sidecar's listeners leave descriptors for its other sockets") {
  for (const std::int64_t descriptors : {0, 64, 256, 399, 400, 1024, 4100, 100'000}) {
    const settings::Settings settings = SettingsWith(256, descriptors);
    const std::size_t taken = ClientLimits(settings).max_connections +
                              ReadinessLimits(settings).max_connections +
                              ControlLimits(settings).max_connections;
    INFO(descriptors);
    CHECK(taken <= static_cast<std::size_t>(descriptors) * 7 / 8);
  }
  CHECK(ClientLimits(SettingsWith(256, 4100)).max_connections == 2925);
  CHECK(ClientLimits(SettingsWith(256, 100'000)).max_connections == 3000);
}

// Guards against pools that together exceed the memory of the process.
TEST_CASE("a sidecar's buffers and control calls leave memory for the rest") {
  constexpr std::size_t kMebibyte = std::size_t{1} << 20;
  for (const std::int64_t memory_mb : {0, 16, 64, 256, 4096}) {
    const settings::Settings settings = SettingsWith(memory_mb, 1024);
    const auto buffers = BufferLimits(settings);
    const std::size_t taken = buffers.small + buffers.large + ControlLimits(settings).max_total_body_bytes;
    INFO(memory_mb);
    CHECK(taken <= static_cast<std::size_t>(std::max<std::int64_t>(memory_mb, 1)) * kMebibyte * 3 / 4);
  }
}

}  // namespace
}  // namespace fennelhollow::node
