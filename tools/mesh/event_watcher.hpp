// Watches the events of one core by long polling; fails over to the next core when it stops answering.
#ifndef FENNELHOLLOW_TOOLS_MESH_EVENT_WATCHER_HPP_
#define FENNELHOLLOW_TOOLS_MESH_EVENT_WATCHER_HPP_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tools/mesh/http_client.hpp"

namespace fennelhollow::tools {

struct EventWatcherSettings {
  std::vector<Tcp::endpoint> cores;    // not empty
  std::uint64_t epoch = 0, since = 0;  // where to start at the first core that answers
  bool once = false;                   // ends after the events that the core holds now
  milliseconds poll_wait{10'000};      // how long a core may hold a poll until there is a newer event
  milliseconds initial_backoff{100};   // after a failed core; doubles while none answers
  milliseconds max_backoff{2000};
  HttpLimits http;  // `poll_wait` is added to its response timeout
};

// Each core numbers its events itself; `feedEpoch` identifies the numbering. After a failover, reading
// resumes where it had stopped at that core, or starts with the oldest event that the core holds. Besides
// events it reports {"kind":"following",...} at each failover and {"kind":"lost",...} for events that the
// core has dropped.
class EventWatcher : public std::enable_shared_from_this<EventWatcher> {
 public:
  struct Sink {
    std::function<void(std::string line)> on_line;   // one JSON object, no newline
    std::function<void(std::string line)> on_error;  // plain text
    std::function<void(bool answered)> on_done;      // only with `once`; false: no core answered
  };
  static std::shared_ptr<EventWatcher> Start(asio::io_context& io, EventWatcherSettings settings, Sink sink);

 private:
  struct Position {
    std::uint64_t epoch = 0, since = 0;
  };
  EventWatcher(asio::io_context& io, EventWatcherSettings settings, Sink sink);
  void Poll();
  // Emits the events of a response and sets `events` to their number. False if the body is invalid.
  bool HandleResponse(const std::string& body, std::size_t& events);
  void FailOver(const std::string& error);
  void PollLater();

  asio::io_context& io_;
  const EventWatcherSettings settings_;
  const Sink sink_;
  asio::steady_timer timer_;
  milliseconds backoff_;
  std::size_t current_core_ = 0;
  std::size_t consecutive_failures_ = 0;
  bool following_ = false;           // the current core has answered since the last failover
  bool any_answered_ = false;        // some core has answered
  std::vector<Position> positions_;  // by core
};

}  // namespace fennelhollow::tools

#endif  // FENNELHOLLOW_TOOLS_MESH_EVENT_WATCHER_HPP_
