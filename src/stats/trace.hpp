// A periodic trace for diagnosing failed requests: one line of JSON per interval with the results of requests
// and attempts, and the balancer's view of each server. Off unless EDGE_TRACE names a file (see
// deploy/trace.example.toml).
#ifndef MERLINRUN_STATS_TRACE_HPP_
#define MERLINRUN_STATS_TRACE_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/loop.hpp"
#include "core/request_manager.hpp"
#include "stats/interval_stats.hpp"

namespace merlinrun::stats {

struct TraceSettings {
  Micros interval = 0;
  bool servers = true;  // include the servers in the balancer's window or with attempts
};
// On failure returns a one-line message: "FILE:LINE:COLUMN: what is wrong".
std::variant<TraceSettings, std::string> ParseTraceSettings(std::string_view text, const std::string& file);

// Current values, and counters of the messages between sidecars.
struct RuntimeCounts {
  std::size_t requests = 0;
  std::size_t clients = 0;      // client connections
  std::size_t connections = 0;  // server connections
  // Messages between sidecars; omitted from the line if they are off.
  struct PeerMessages {
    std::size_t heard = 0;       // sidecars heard from recently
    std::uint64_t accepted = 0;  // since the start, like all below
    std::uint64_t outdated = 0;
    std::uint64_t foreign = 0;
    std::uint64_t future = 0;
    std::uint64_t malformed = 0;
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
  };
  std::optional<PeerMessages> peer_messages = {};
};

// One line without a line break. Times are in milliseconds, except for `at`, the loop's time in microseconds.
std::string TraceLine(Micros at, const Settings& settings, const IntervalStats& interval_stats,
                      const BalancerSnapshot& snapshot, const RuntimeCounts& runtime, bool servers);

// Writes the lines to standard error. Registers itself with RequestManager::OnAttemptCompleted, which
// replaces any handler that was set there before.
class Trace {
 public:
  // `loop` and `request_manager` must outlive this.
  Trace(core::Loop& loop, core::RequestManager& request_manager, TraceSettings settings,
        std::function<RuntimeCounts()> read_counts);
  void Add(const core::CompletedRequest& completed) { collector_.Add(completed); }

 private:
  void ScheduleNext();

  core::Loop& loop_;
  core::RequestManager& request_manager_;
  const TraceSettings settings_;
  const std::function<RuntimeCounts()> read_counts_;
  IntervalCollector collector_;
  std::unique_ptr<core::Timer> timer_;
};

}  // namespace merlinrun::stats

#endif  // MERLINRUN_STATS_TRACE_HPP_
