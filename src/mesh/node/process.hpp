// The life of a node process: settings, start, signals, end.
#ifndef FENNELHOLLOW_MESH_NODE_PROCESS_HPP_
#define FENNELHOLLOW_MESH_NODE_PROCESS_HPP_

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "mesh/node/node.hpp"
#include "mesh/node/process_options.hpp"
#include "mesh/node/settings_reloader.hpp"
#include "net/process_signals.hpp"

namespace fennelhollow::node {

inline constexpr int kExitStopped = 0, kExitCannotStart = 1, kExitInvalidSettings = 2;

// Runs a sidecar or a core, as the settings file says. Waits for what may become available: some seconds for
// settings that are missing or being written, without limit for an address that another process holds.
class Process {
 public:
  // `io` and `signals` must outlive it.
  Process(boost::asio::io_context& io, merlinrun::net::ProcessSignals& signals, std::string settings_path,
          const ProcessOptions& options);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Runs until SIGTERM, SIGINT or an error that is final. Returns the exit status; the error is on stderr.
  int Run();

 private:
  using Clock = std::chrono::steady_clock;

  void AwaitStopSignal();
  void LoadSettings();
  absl::Status TryStart(const settings::Settings& settings);
  void StartNode(const settings::Settings& settings);
  void OnStarted(const settings::Settings& settings);
  void RetryStart(const absl::Status& failure);
  void ScheduleReport();
  void After(std::chrono::milliseconds delay, void (Process::*step)());
  void Exit(int status, const absl::Status& failure);

  boost::asio::io_context& io_;
  merlinrun::net::ProcessSignals& signals_;
  const std::string settings_path_;
  const ProcessOptions options_;
  const std::uint64_t incarnation_;  // random, new at each start of the process
  boost::asio::steady_timer timer_;
  const Clock::time_point begin_ = Clock::now();
  // The settings of the last attempt to start; used again while the file is being replaced.
  std::optional<settings::Settings> settings_;
  std::string last_failure_;  // that has been logged
  std::unique_ptr<Node> node_;
  std::unique_ptr<SettingsReloader> reloader_;
  bool started_ = false;
  int exit_status_ = kExitStopped;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_PROCESS_HPP_
