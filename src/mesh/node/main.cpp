// fennelhollow-node: the mesh's program for all machines. What it does follows from its settings file,
// whose path stands in FENNELHOLLOW_CONFIG: a machine that serves `sidecar` runs a sidecar, one that serves
// `control_plane` a core. Exit status: 0 after SIGTERM or SIGINT, 1 if it can't listen, 2 if the settings or
// arguments make no sense.
#include <glog/logging.h>
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

namespace {

using fennelhollow::node::Core;
using fennelhollow::node::ProcessOptions;
using fennelhollow::node::Sidecar;
namespace settings = fennelhollow::settings;

constexpr const char* kVersion = "0.3.0";
constexpr const char* kSettingsVariable = "FENNELHOLLOW_CONFIG";
// A settings file may change without a signal.
constexpr auto kLookAgain = std::chrono::seconds(2);

// Reads the settings file again at each SIGHUP, and when it has changed.
class Reloader {
 public:
  Reloader(boost::asio::io_context& io, std::string path,
           std::function<void(const settings::Settings&)> changed)
      : signals_(io, SIGHUP),
        timer_(io),
        path_(std::move(path)),
        changed_(std::move(changed)),
        seen_(Stamp()) {
    OnSignal();
    Look();
  }

 private:
  struct Seen {
    ino_t inode = 0;
    off_t size = 0;
    std::int64_t changed = 0;
    bool operator==(const Seen&) const = default;
  };
  Seen Stamp() const {
    struct stat about = {};
    if (::stat(path_.c_str(), &about) != 0) return {};
    return {about.st_ino, about.st_size, about.st_mtim.tv_sec * 1'000'000'000LL + about.st_mtim.tv_nsec};
  }
  void OnSignal() {
    signals_.async_wait([this](const boost::system::error_code& stopped, int) {
      if (stopped) return;
      Read();
      OnSignal();
    });
  }
  void Look() {
    timer_.expires_after(kLookAgain);
    timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (stopped) return;
      if (Stamp() != seen_) Read();
      Look();
    });
  }
  void Read() {
    seen_ = Stamp();
    const auto settings = settings::Load(path_);
    if (!settings.ok()) {
      LOG(WARNING) << "the settings are kept as they were: " << settings.status().message();
      return;
    }
    changed_(*settings);
  }

  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  const std::string path_;
  const std::function<void(const settings::Settings&)> changed_;
  Seen seen_;
};

// Writes the counters to the log every so many seconds.
class Reporter {
 public:
  Reporter(boost::asio::io_context& io, int seconds, std::function<std::string()> status)
      : timer_(io), seconds_(seconds), status_(std::move(status)) {
    if (seconds_ > 0) Next();
  }

 private:
  void Next() {
    timer_.expires_after(std::chrono::seconds(seconds_));
    timer_.async_wait([this](const boost::system::error_code& stopped) {
      if (stopped) return;
      LOG(INFO) << status_();
      Next();
    });
  }
  boost::asio::steady_timer timer_;
  const int seconds_;
  const std::function<std::string()> status_;
};

int Run(const std::string& path, int report_s, const ProcessOptions& options) {
  const auto settings = settings::Load(path);
  if (!settings.ok()) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", std::string(settings.status().message()).c_str());
    return 2;
  }
  boost::asio::io_context io(1);
  std::random_device device;
  const std::uint64_t life = (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
  std::unique_ptr<Sidecar> sidecar;
  std::unique_ptr<Core> core;
  if (settings->Serves("sidecar"))
    sidecar = std::make_unique<Sidecar>(io, *settings, life, options);
  else
    core = std::make_unique<Core>(io, *settings, life, options);
  Reloader reloader(io, path, [&](const settings::Settings& changed) {
    if (sidecar) sidecar->OnSettings(changed);
    if (core) core->OnSettings(changed);
  });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (error) return;
    if (sidecar) sidecar->Stop([&io] { io.stop(); });
    if (core) core->Stop([&io] { io.stop(); });
  });
  const absl::Status started = sidecar ? sidecar->Start() : core->Start();
  if (!started.ok()) {
    std::fprintf(stderr, "fennelhollow-node: %s\n", std::string(started.message()).c_str());
    return 1;
  }
  Reporter reporter(io, report_s, [&] { return sidecar ? sidecar->StatusText() : core->StatusText(); });
  LOG(INFO) << settings->node_name << " runs as " << (sidecar ? "sidecar" : "core");
  merlinrun::net::RunUntilStopped(io, [](const char* what) { LOG(ERROR) << what; });
  return 0;
}

int Main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);  // a peer that has left is an error of the write, not the end
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  argagg::parser parser{
      {{"help", {"-h", "--help"}, "says this", 0},
       {"version", {"--version"}, "says the version", 0},
       {"check", {"--check"}, "checks a settings file and ends with status 0 or 2", 1},
       {"report", {"--report"}, "writes the counters to the log every so many seconds", 1},
       {"metrics", {"--metrics"}, "tells Prometheus metrics at PORT/PATH of the machine's address", 1},
       {"abort-on-violation", {"--abort-on-violation"}, "ends by abort where an invariant is violated", 0}}};
  int report_s = 0;
  ProcessOptions options;
  try {
    const argagg::parser_results arguments = parser.parse(argc, argv);
    if (arguments["help"]) {
      std::cout << "fennelhollow-node: runs as its settings say; their path stands in " << kSettingsVariable
                << "\n"
                << parser;
      return 0;
    }
    if (arguments["version"]) {
      std::cout << "fennelhollow-node " << kVersion << "\n";
      return 0;
    }
    if (!arguments.pos.empty())
      throw std::invalid_argument(std::string("no such argument: ") + arguments.pos.front());
    if (arguments["report"]) {
      report_s = arguments["report"].as<int>();
      if (report_s < 1 || report_s > 86'400) throw std::invalid_argument("--report takes 1 to 86400 seconds");
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
  return Run(path, report_s, options);
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
