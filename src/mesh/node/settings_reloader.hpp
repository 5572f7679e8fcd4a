// Watches the settings file of a running process.
#ifndef FENNELHOLLOW_MESH_NODE_SETTINGS_RELOADER_HPP_
#define FENNELHOLLOW_MESH_NODE_SETTINGS_RELOADER_HPP_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "mesh/settings/settings.hpp"

namespace fennelhollow::node {

// Reloads the settings file at SIGHUP and when it has changed; invalid settings are logged and ignored.
class SettingsReloader {
 public:
  // `io` and `signals` must outlive it.
  SettingsReloader(boost::asio::io_context& io, boost::asio::signal_set& signals, std::string path,
                   std::function<void(const settings::Settings&)> on_change);

 private:
  struct FileStamp {
    ino_t inode = 0;
    off_t size = 0;
    std::int64_t modified_ns = 0;
    bool operator==(const FileStamp&) const = default;
  };
  FileStamp CurrentStamp() const;
  void AwaitSignal();
  void PollFile();
  void Reload();

  boost::asio::signal_set& signals_;
  boost::asio::steady_timer timer_;
  const std::string path_;
  const std::function<void(const settings::Settings&)> on_change_;
  FileStamp last_stamp_;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_SETTINGS_RELOADER_HPP_
