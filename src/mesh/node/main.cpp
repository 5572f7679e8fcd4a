// fennelhollow-node: runs a sidecar if the settings file (path in FENNELHOLLOW_CONFIG) serves `sidecar`, else
// a core. Exit status: 0 after SIGTERM or SIGINT, 1 if it cannot listen, 2 if the settings or arguments are
// invalid.
#include <glog/logging.h>
#include <malloc.h>
#include <sys/stat.h>

#include <argagg/argagg.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <random>
#include <string>

#include "mesh/node/core.hpp"
#include "mesh/node/process_options.hpp"
#include "mesh/node/sidecar.hpp"
#include "mesh/settings/settings.hpp"
#include "net/asio_loop.hpp"
#include "net/process_signals.hpp"

namespace {

using fennelhollow::node::Core;
using fennelhollow::node::ProcessOptions;
using fennelhollow::node::Sidecar;
namespace settings = fennelhollow::settings;

constexpr const char* kVersion = "0.3.0";
constexpr const char* kSettingsVariable = "FENNELHOLLOW_CONFIG";
// For changes of the settings file without a signal.
constexpr auto kSettingsPollInterval = std::chrono::seconds(2);

// Reloads the settings file at SIGHUP and when it has changed; invalid settings are ignored.
class Reloader {
 public:
  // `signals` must outlive it.
  Reloader(boost::asio::io_context& io, boost::asio::signal_set& signals, std::string path,
           std::function<void(const settings::Settings&)> on_change)
      : signals_(signals),
        timer_(io),
        path_(std::move(path)),
        on_change_(std::move(on_change)),
        last_stamp_(CurrentStamp()) {
    AwaitSignal();
    PollFile();
  }

 private:
  struct FileStamp {
    ino_t inode = 0;
    off_t size = 0;
    std::int64_t modified_ns = 0;
    bool operator==(const FileStamp&) const = default;
  };
  FileStamp CurrentStamp() const {
    struct stat file_info = {};
    if (::stat(path_.c_str(), &file_info) != 0) return {};
    return {file_info.st_ino, file_info.st_size,
            file_info.st_mtim.tv_sec * 1'000'000'000LL + file_info.st_mtim.tv_nsec};
  }
  void AwaitSignal() {
    signals_.async_wait([this](const boost::system::error_code& stopped, int) {
      if (stopped) return;
      Reload();
      AwaitSignal();
    });
  }
  void PollFile() {
    timer_.expires_after(kSettingsPollInterval);
    timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (stopped) return;
      if (CurrentStamp() != last_stamp_) Reload();
      PollFile();
    });
  }
  void Reload() {
    last_stamp_ = CurrentStamp();
    const auto settings = settings::Load(path_);
    if (!settings.ok()) {
      LOG(WARNING) << "keeping the previous settings: " << settings.status().message();
      return;
    }
    on_change_(*settings);
  }

  boost::asio::signal_set& signals_;
  boost::asio::steady_timer timer_;
  const std::string path_;
  const std::function<void(const settings::Settings&)> on_change_;
  FileStamp last_stamp_;
};

// Logs the status every `interval_s` seconds; 0: never.
class StatusReporter {
 public:
  StatusReporter(boost::asio::io_context& io, int interval_s, std::function<std::string()> status)
      : timer_(io), interval_s_(interval_s), status_(std::move(status)) {
    if (interval_s_ > 0) ScheduleReport();
  }

 private:
  void ScheduleReport() {
    timer_.expires_after(std::chrono::seconds(interval_s_));
    timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (stopped) return;
      LOG(INFO) << status_();
      ScheduleReport();
    });
  }
  boost::asio::steady_timer timer_;
  const int interval_s_;
  const std::function<std::string()> status_;
};

int Run(boost::asio::io_context& io, merlinrun::net::ProcessSignals& signals, const std::string& path,
        int report_interval_s, const ProcessOptions& options) {
  const auto settings = settings::Load(path);
  if (!settings.ok()) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", std::string(settings.status().message()).c_str());
    return 2;
  }
  std::random_device device;
  const std::uint64_t incarnation = (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
  std::unique_ptr<Sidecar> sidecar;
  std::unique_ptr<Core> core;
  if (settings->Serves("sidecar"))
    sidecar = std::make_unique<Sidecar>(io, *settings, incarnation, options);
  else
    core = std::make_unique<Core>(io, *settings, incarnation, options);
  Reloader reloader(io, signals.reload, path, [&](const settings::Settings& changed) {
    if (sidecar) sidecar->OnSettings(changed);
    if (core) core->OnSettings(changed);
  });
  signals.stop.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    if (sidecar) sidecar->Stop([&io] { io.stop(); });
    if (core) core->Stop([&io] { io.stop(); });
  });
  const absl::Status started = sidecar ? sidecar->Start() : core->Start();
  if (!started.ok()) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", std::string(started.message()).c_str());
    return 1;
  }
  StatusReporter reporter(io, report_interval_s,
                          [&] { return sidecar ? sidecar->StatusText() : core->StatusText(); });
  LOG(INFO) << settings->node_name << " runs as " << (sidecar ? "sidecar" : "core");
  merlinrun::net::RunUntilStopped(io, [](const char* what) { LOG(ERROR) << what; });
  return 0;
}

// Each arena of a thread would reserve 64 MB of address space, which the kernel may limit to `memoryMb`.
void UseOneMallocArena() { ::mallopt(M_ARENA_MAX, 1); }

int Main(int argc, char** argv) {
  boost::asio::io_context io(1);
  merlinrun::net::ProcessSignals signals(io);
  merlinrun::net::IgnoreWriteSignals();
  UseOneMallocArena();
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  argagg::parser parser{
      {{"help", {"-h", "--help"}, "prints this help", 0},
       {"version", {"--version"}, "prints the version", 0},
       {"check", {"--check"}, "checks a settings file; exit status 0 if valid, else 2", 1},
       {"report", {"--report"}, "logs the status every N seconds (1 to 86400)", 1},
       {"metrics", {"--metrics"}, "serves Prometheus metrics at PORT/PATH of the machine's address", 1},
       {"abort-on-violation", {"--abort-on-violation"}, "aborts when an invariant is violated", 0}}};
  int report_interval_s = 0;
  ProcessOptions options;
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << "fennelhollow-node: runs a sidecar or a core, as the settings file says; its path is in "
                << kSettingsVariable << "\n"
                << parser;
      return 0;
    }
    if (arguments["version"]) {
      std::cout << "fennelhollow-node " << kVersion << "\n";
      return 0;
    }
    if (!arguments.pos.empty())
      throw std::invalid_argument(std::string("unexpected argument: ") + arguments.pos.front());
    if (arguments["report"]) {
      report_interval_s = arguments["report"].as<int>();
      if (report_interval_s < 1 || report_interval_s > 86'400)
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
      if (settings.ok()) return 0;
      std::fprintf(stderr, "%s\n", std::string(settings.status().message()).c_str());
      return 2;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", error.what());
    return 2;
  }
  const char* path = std::getenv(kSettingsVariable);
  if (path == nullptr || *path == '\0') {
    std::fprintf(stderr, "fennelhollow-node: %s is not set\n", kSettingsVariable);
    return 2;
  }
  return Run(io, signals, path, report_interval_s, options);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", error.what());
    return 2;
  }
}
