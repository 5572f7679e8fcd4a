#include "mesh/node/process.hpp"

#include <glog/logging.h>
#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <random>
#include <utility>

#include "mesh/node/core.hpp"
#include "mesh/node/sidecar.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::node {
namespace {

using std::chrono::milliseconds;

// How long settings may be missing or incomplete at a start: they may be in the middle of being written.
constexpr milliseconds kSettingsTimeout{3000};
constexpr milliseconds kSettingsRetryInterval{100};
constexpr milliseconds kStartRetryInterval{200};

std::uint64_t DrawIncarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32 | device()) | 1;
}

// The soft limit of the system is often lower than what the settings grant.
void RaiseDescriptorLimit(std::int64_t wanted) {
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) != 0) return;
  const rlim_t raised = std::min(limit.rlim_max, static_cast<rlim_t>(std::max<std::int64_t>(wanted, 0)));
  if (raised <= limit.rlim_cur) return;
  limit.rlim_cur = raised;
  if (::setrlimit(RLIMIT_NOFILE, &limit) != 0) PLOG(WARNING) << "cannot raise the limit of file descriptors";
}

std::unique_ptr<Node> MakeNode(boost::asio::io_context& io, const settings::Settings& settings,
                               std::uint64_t incarnation, const ProcessOptions& options) {
  if (settings.Serves("sidecar")) return std::make_unique<Sidecar>(io, settings, incarnation, options);
  return std::make_unique<Core>(io, settings, incarnation, options);
}

}  // namespace

Process::Process(boost::asio::io_context& io, merlinrun::net::ProcessSignals& signals,
                 std::string settings_path, const ProcessOptions& options)
    : io_(io),
      signals_(signals),
      settings_path_(std::move(settings_path)),
      options_(options),
      incarnation_(DrawIncarnation()),
      timer_(io) {}

int Process::Run() {
  AwaitStopSignal();
  LoadSettings();
  merlinrun::net::RunUntilStopped(io_, [](const char* what) { LOG(ERROR) << what; });
  return exit_status_;
}

void Process::AwaitStopSignal() {
  signals_.stop.async_wait([this](const boost::system::error_code& error, int) {
    if (error) return;
    if (!started_) return io_.stop();
    node_->Stop([this] { io_.stop(); });
  });
}

void Process::LoadSettings() {
  const auto settings = settings::Load(settings_path_);
  if (settings.ok()) settings_ = *settings;
  if (settings_) return StartNode(*settings_);
  if (Clock::now() - begin_ >= kSettingsTimeout) return Exit(kExitInvalidSettings, settings.status());
  After(kSettingsRetryInterval, &Process::LoadSettings);
}

absl::Status Process::TryStart(const settings::Settings& settings) {
  try {
    node_ = MakeNode(io_, settings, incarnation_, options_);
    return node_->Start();
  } catch (const std::exception& error) {  // in a handler of the loop it would end the attempts
    return StartFailure(error);
  }
}

void Process::StartNode(const settings::Settings& settings) {
  RaiseDescriptorLimit(settings.file_descriptors);
  const absl::Status started = TryStart(settings);
  if (started.ok()) return OnStarted(settings);
  node_.reset();
  if (absl::IsUnavailable(started)) return RetryStart(started);
  Exit(kExitCannotStart, started);
}

// With the settings read again, as a wrong address may have been corrected.
void Process::RetryStart(const absl::Status& failure) {
  if (std::exchange(last_failure_, std::string(failure.message())) != failure.message())
    LOG(WARNING) << "waiting to start: " << failure.message();
  After(kStartRetryInterval, &Process::LoadSettings);
}

void Process::OnStarted(const settings::Settings& settings) {
  started_ = true;
  reloader_ = std::make_unique<SettingsReloader>(
      io_, signals_.reload, settings_path_,
      [this](const settings::Settings& changed) { node_->OnSettings(changed); });
  const auto waited = std::chrono::duration_cast<milliseconds>(Clock::now() - begin_);
  LOG(INFO) << settings.node_name << " runs as " << node_->role() << " after " << waited.count() << " ms";
  if (options_.report_interval_s > 0) ScheduleReport();
}

void Process::ScheduleReport() {
  timer_.expires_after(std::chrono::seconds(options_.report_interval_s));
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    ScheduleReport();
    LOG(INFO) << node_->StatusText();
  });
}

void Process::After(milliseconds delay, void (Process::*step)()) {
  timer_.expires_after(delay);
  timer_.async_wait([this, step](const boost::system::error_code& stopped) {
    if (!stopped) (this->*step)();
  });
}

void Process::Exit(int status, const absl::Status& failure) {
  std::fprintf(stderr, "fennelhollow-node: %s\n", std::string(failure.message()).c_str());
  exit_status_ = status;
  io_.stop();
}

}  // namespace fennelhollow::node
