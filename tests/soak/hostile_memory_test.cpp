// Crowds whose memory the resident size of a sidecar does not show: bytes that wait in its sockets, and
// cores. See site.hpp.
#include <absl/strings/str_cat.h>

#include <boost/asio/socket_base.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "mesh/push/messages.hpp"
#include "mesh/transport/codec.hpp"
#include "site.hpp"

namespace fennelhollow::rig {
namespace {

constexpr std::size_t kLongResponseBytes = 8 * kMebibyte;
constexpr int kDownloads = 400;
constexpr int kLargeHeads = 700;
constexpr std::size_t kLargeHeadBytes = 15'000;
constexpr Site::Options kDownloadSite{
    .padding_bytes = kLongResponseBytes, .sidecar_descriptors = 4096, .slots = kDownloads};

// Guards against responses that the kernel goes on receiving for a sidecar that has stopped reading them.
TEST_CASE("what waits unread in a sidecar's sockets counts as its memory") {
  Site site(kDownloadSite);
  site.Connect(kDownloads, AskAndNeverRead(Head("GET", "/plans/x", "")));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against the same for clients that always read a little.
TEST_CASE("steady readers of long responses do not fill the memory with unread bytes") {
  Site site(kDownloadSite);
  site.Connect(kDownloads,
               AskAndReadSteadily(Head("GET", "/plans/x", ""), std::size_t{16} * 1024, milliseconds(500)));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against input that arrives while the request before it is in progress, when nothing is read.
TEST_CASE("input behind a request in progress does not fill the memory") {
  Site site({.padding_bytes = kLongResponseBytes,
             .sidecar_descriptors = 4096,
             .slots = kDownloads,
             .stall_after_bytes = 1});
  site.Connect(kDownloads, Flood(Head("GET", "/plans/stall", ""), std::string(std::size_t{64} * 1024, 'a'),
                                 4 * kMebibyte));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against header fields that each step of a request copies, none of them charged.
TEST_CASE("large heads of requests in progress do not fill the memory") {
  Site site({.padding_bytes = kLongResponseBytes,
             .sidecar_descriptors = 4096,
             .slots = kLargeHeads,
             .stall_after_bytes = 1});
  const std::string field = "Padding: " + std::string(kLargeHeadBytes, 'p') + "\r\n";
  site.Connect(kLargeHeads, AskAndNeverRead(Head("GET", "/plans/stall", field)));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

// Guards against heads that are kept while the body does not come.
TEST_CASE("large heads of incomplete requests do not fill the memory") {
  Site site({.sidecar_descriptors = 4096});
  const std::string field = "Content-Length: 10\r\nPadding: " + std::string(kLargeHeadBytes, 'p') + "\r\n";
  site.Connect(2 * kLargeHeads, AskAndNeverRead(Head("POST", "/plans/x", field)));
  site.Watch(std::chrono::seconds(4));
  site.Check();
}

constexpr int kCoreMemoryUnderTestMb = 96;
constexpr int kReaders = 200;
constexpr int kRoutes = 4'000;

Site::Options SmallCore() { return {.core_memory_mb = kCoreMemoryUnderTestMb}; }

// A configuration of some 1 MB.
std::string LargeConfiguration() {
  nlohmann::json configuration = FirstConfiguration();
  configuration["version"] = 4;
  configuration["baseVersion"] = 3;
  auto& list = configuration["resourceList"];
  for (int i = 0; i < kRoutes; ++i)
    list.push_back(ConfigurationRoute(absl::StrCat("route-", i), "safe", kPlanService));
  return configuration.dump();
}

unsigned ApplyLargeConfiguration(Site& site) {
  return site.Call(site.core().control(),
                   MakeRequest(http::verb::post, "/-/Configuration.Replace", kHost, LargeConfiguration()),
                   kRequestTimeout);
}

bool IsConfigurationRead(Site& site) {
  return site.Until(kAnswerTimeout, [&] {
    return site.Call(site.core().control(), MakeRequest(http::verb::get, "/-/Configuration.Read", kHost),
                     kRequestTimeout) == 200;
  });
}

// Guards against a copy of the whole configuration for each connection to a core.
TEST_CASE("reads of a large configuration that are not read do not fill a core's memory") {
  Site site(SmallCore());
  REQUIRE(site.Until(kStartTimeout, [&] { return ApplyLargeConfiguration(site) == 200; }));
  site.Connect(kReaders, AskAndNeverRead(Head("GET", "/-/Configuration.Read", "")), site.core().control());
  site.Watch(std::chrono::seconds(4));
  CHECK(IsConfigurationRead(site));
  site.Check();
}

// Guards against calls whose bodies a core keeps, whatever its memory is.
TEST_CASE("calls that stop midway do not fill a core's memory") {
  Site site(SmallCore());
  const std::size_t body_bytes = 4 * kMebibyte;
  site.Connect(kReaders,
               AskAndNeverRead(Head("POST", "/-/Configuration.Replace",
                                    absl::StrCat("Content-Length: ", body_bytes, "\r\n")) +
                               std::string(body_bytes - 1, 'b')),
               site.core().control());
  site.Watch(std::chrono::seconds(4));
  CHECK(IsConfigurationRead(site));
  site.Check();
}

constexpr int kLinks = 60;

// Guards against frames to a core that never end: each link had a bound, all together had none.
TEST_CASE("unfinished frames at a core's internal port do not fill its memory") {
  Site site(SmallCore());
  const std::string frame = Frame(std::string(4 * kMebibyte, 'f'));
  for (int i = 1; i <= kLinks; ++i)
    site.Connect(1, AskAndNeverRead(SidecarHello(i) + frame.substr(0, frame.size() - 1)),
                 site.core().internal());
  site.Watch(std::chrono::seconds(4));
  CHECK(IsConfigurationRead(site));
  site.Check();
}

// Guards against pushes that a core queues for sidecars that do not read them.
TEST_CASE("subscribers that read nothing do not fill a core's memory") {
  Site site(SmallCore());
  REQUIRE(site.Until(kStartTimeout, [&] { return ApplyLargeConfiguration(site) == 200; }));
  for (int i = 1; i <= kLinks; ++i) {
    push::SidecarReport report;
    report.sidecar.name = absl::StrCat("stranger-", i);
    report.sidecar.incarnation = static_cast<std::uint64_t>(i);
    report.subscribe = true;
    site.Connect(1, AskAndNeverRead(SidecarHello(i) + Frame(transport::Pack(report))),
                 site.core().internal());
  }
  site.Watch(std::chrono::seconds(8));
  CHECK(IsConfigurationRead(site));
  site.Check();
}

}  // namespace
}  // namespace fennelhollow::rig
