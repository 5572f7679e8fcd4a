// fennelhollow-node: runs a sidecar if the settings file (path in FENNELHOLLOW_CONFIG) serves `sidecar`, else
// a core. Exit status: 0 after SIGTERM or SIGINT, 1 if it can never listen, 2 if the settings or arguments
// are invalid.
#include <glog/logging.h>
#include <malloc.h>

#include <argagg/argagg.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <string>

#include "mesh/node/process.hpp"
#include "mesh/node/process_options.hpp"
#include "mesh/settings/settings.hpp"
#include "net/process_signals.hpp"

namespace {

using fennelhollow::node::kExitInvalidSettings;
using fennelhollow::node::kExitStopped;
using fennelhollow::node::Process;
using fennelhollow::node::ProcessOptions;
namespace settings = fennelhollow::settings;

constexpr const char* kVersion = "0.3.0";
constexpr const char* kSettingsVariable = "FENNELHOLLOW_CONFIG";

// Blocks of this size and more are mapped, so that their memory returns to the system when they are freed. By
// default the allocator raises this bound, and keeps the large buffers of clients that are gone.
constexpr int kMappedBlockBytes = 128 * 1024;

// Each arena of a thread would reserve 64 MB of address space, which the kernel may limit to `memoryMb`.
void ConfigureAllocator() {
  ::mallopt(M_ARENA_MAX, 1);
  ::mallopt(M_MMAP_THRESHOLD, kMappedBlockBytes);
}

int Main(int argc, char** argv) {
  boost::asio::io_context io(1);
  merlinrun::net::ProcessSignals signals(io);
  merlinrun::net::IgnoreWriteSignals();
  ConfigureAllocator();
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  argagg::parser parser{
      {{"help", {"-h", "--help"}, "prints this help", 0},
       {"version", {"--version"}, "prints the version", 0},
       {"check", {"--check"}, "checks a settings file; exit status 0 if valid, else 2", 1},
       {"report", {"--report"}, "logs the status every N seconds (1 to 86400)", 1},
       {"metrics", {"--metrics"}, "serves Prometheus metrics at PORT/PATH of the machine's address", 1},
       {"abort-on-violation", {"--abort-on-violation"}, "aborts when an invariant is violated", 0}}};
  ProcessOptions options;
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << "fennelhollow-node: runs a sidecar or a core, as the settings file says; its path is in "
                << kSettingsVariable << "\n"
                << parser;
      return kExitStopped;
    }
    if (arguments["version"]) {
      std::cout << "fennelhollow-node " << kVersion << "\n";
      return kExitStopped;
    }
    if (!arguments.pos.empty())
      throw std::invalid_argument(std::string("unexpected argument: ") + arguments.pos.front());
    if (arguments["report"]) {
      options.report_interval_s = arguments["report"].as<int>();
      if (options.report_interval_s < 1 || options.report_interval_s > 86'400)
        throw std::invalid_argument("--report takes 1 to 86400 seconds");
    }
    if (arguments["metrics"]) {
      const auto address = fennelhollow::node::ParseMetricsAddress(arguments["metrics"].as<std::string>());
      if (!address.ok()) throw std::invalid_argument(std::string(address.status().message()));
      options.metrics = *address;
    }
    if (arguments["abort-on-violation"])
      options.on_violation = fennelhollow::metrics::Invariants::OnViolation::kAbort;
    if (arguments["check"]) {
      const auto settings = settings::Load(arguments["check"].as<std::string>());
      if (settings.ok()) return kExitStopped;
      std::fprintf(stderr, "%s\n", std::string(settings.status().message()).c_str());
      return kExitInvalidSettings;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", error.what());
    return kExitInvalidSettings;
  }
  const char* path = std::getenv(kSettingsVariable);
  if (path == nullptr || *path == '\0') {
    std::fprintf(stderr, "fennelhollow-node: %s is not set\n", kSettingsVariable);
    return kExitInvalidSettings;
  }
  return Process(io, signals, path, options).Run();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", error.what());
    return kExitInvalidSettings;
  }
}
