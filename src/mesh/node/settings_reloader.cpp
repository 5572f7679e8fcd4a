#include "mesh/node/settings_reloader.hpp"

#include <glog/logging.h>
#include <sys/stat.h>

#include <chrono>
#include <utility>

namespace fennelhollow::node {
namespace {

// For changes of the settings file without a signal.
constexpr auto kPollInterval = std::chrono::seconds(2);

}  // namespace

SettingsReloader::SettingsReloader(boost::asio::io_context& io, boost::asio::signal_set& signals,
                                   std::string path, std::function<void(const settings::Settings&)> on_change)
    : signals_(signals),
      timer_(io),
      path_(std::move(path)),
      on_change_(std::move(on_change)),
      last_stamp_(CurrentStamp()) {
  AwaitSignal();
  PollFile();
}

SettingsReloader::FileStamp SettingsReloader::CurrentStamp() const {
  struct stat file_info = {};
  if (::stat(path_.c_str(), &file_info) != 0) return {};
  return {file_info.st_ino, file_info.st_size,
          file_info.st_mtim.tv_sec * 1'000'000'000LL + file_info.st_mtim.tv_nsec};
}

void SettingsReloader::AwaitSignal() {
  signals_.async_wait([this](const boost::system::error_code& stopped, int) {
    if (stopped) return;
    AwaitSignal();
    Reload();
  });
}

void SettingsReloader::PollFile() {
  timer_.expires_after(kPollInterval);
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (stopped) return;
    PollFile();
    if (CurrentStamp() != last_stamp_) Reload();
  });
}

void SettingsReloader::Reload() {
  last_stamp_ = CurrentStamp();
  const auto settings = settings::Load(path_);
  if (!settings.ok()) {
    LOG(WARNING) << "keeping the previous settings: " << settings.status().message();
    return;
  }
  on_change_(*settings);
}

}  // namespace fennelhollow::node
