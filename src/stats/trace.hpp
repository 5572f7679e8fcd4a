// A trace for whoever has to explain a loss: every so often one line of JSON that lays what became of
// requests, by class and cause, beside what the module believes of each server and what was tried there. Off
// unless the operator names a file (EDGE_TRACE; deploy/trace.example.toml).
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
  Micros every = 0;
  bool servers = true;  // a part for each server that was tried or is left alone
};
// On failure one line: "FILE:LINE:COLUMN: what is wrong".
std::variant<TraceSettings, std::string> ParseTraceSettings(std::string_view text, const std::string& file);

// Counts of the moment that others hold.
struct Held {
  std::size_t requests = 0;
  std::size_t clients = 0;      // connections
  std::size_t connections = 0;  // to servers
  // Words between sidecars; no part of the line where they are off.
  struct Words {
    std::size_t heard = 0;    // sidecars, lately
    std::uint64_t taken = 0;  // since the start, here and below
    std::uint64_t old = 0;
    std::uint64_t foreign = 0;
    std::uint64_t future = 0;
    std::uint64_t broken = 0;
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
  };
  std::optional<Words> words = {};
};

// One line, without its end. Times are in milliseconds but for `at`, which is the loop's time in
// microseconds.
std::string TraceLine(Micros at, const Settings& settings, const Stretch& stretch,
                      const BalancerSnapshot& beliefs, const Held& held, bool servers);

// Writes such lines to standard error. Takes the place of other listeners of `request_manager`' attempts.
class Trace {
 public:
  // `request_manager` and `loop` outlive it.
  Trace(core::Loop& loop, core::RequestManager& request_manager, TraceSettings settings,
        std::function<Held()> held);
  void Add(const core::CompletedRequest& ended) { account_.Add(ended); }

 private:
  void Next();

  core::Loop& loop_;
  core::RequestManager& request_manager_;
  const TraceSettings settings_;
  const std::function<Held()> held_;
  Account account_;
  std::unique_ptr<core::Timer> timer_;
};

}  // namespace merlinrun::stats

#endif  // MERLINRUN_STATS_TRACE_HPP_
