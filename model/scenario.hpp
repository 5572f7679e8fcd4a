// A scenario: every figure of the modelled fleet, its traffic and its troubles. A figure is a number or a
// range; a day draws each range once, by its seed, so that days differ as they do in service. The file is
// TOML; its schema is the one table in scenario.cpp, from which it is read, checked and printed with its
// defaults.
#ifndef MERLINRUN_MODEL_SCENARIO_HPP_
#define MERLINRUN_MODEL_SCENARIO_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

struct Range {
  double low = 0;
  double high = 0;
};

// Units of the figures, in microseconds, and a drawn figure as a time.
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
inline Micros MicrosOf(const Range& drawn, double unit) { return static_cast<Micros>(drawn.low * unit); }

// Times are in the unit that the member's name ends in; the file's names are the same.
struct ServerKind {
  std::string name = "std-4";
  Range share{1, 1};  // of the servers, in proportion to the others'
  Range cores{4, 4};
  Range speed{1, 1};             // of a core, as a multiple of a standard one
  Range speed_cv{0, 0};          // from server to server
  Range slots_per_core{17, 17};  // requests in work at once, those included that wait on others
  Range queue_per_core{22, 22};  // that wait for a slot; one more is turned away
  Range thrash{0, 0};            // work grows by this share for each request held above thrash_at
  Range thrash_at{1'000, 1'000};
  Range cold_share{0.4, 0.4};  // of its capacity at its start
  Range cold_s{6, 6};          // until it is warm, in a straight line
  Range error_rate{0, 0};
  Range pause_ms{0, 0};       // it stands still for so long ...
  Range pause_every_s{0, 0};  // ... so often, on average; 0 = never
};

struct TrafficClass {
  std::string name;
  Range share{1, 1};
  Range work_ms{50, 50};    // on a standard core, mean
  Range wait_ms{100, 100};  // on others, holding no core, mean
  Range cv{1, 1};           // of the work, from request to request
  Range attempt_cv{0, 0};   // of the work, from attempt to attempt of one request
  Range aim_ms{1'000, 1'000};
  Range deadline_ms{3'000, 3'000};
  Range worth{1, 1};
  Range late_worth{0, 0};  // share of the worth of an answer after the aim
  RetrySafety repeat = RetrySafety::kSafe;
  DedupScope group = DedupScope::kZone;
  Range window_s{12, 12};  // in which servers drop a repeat, if it is keyed
};

struct Trouble {
  enum class Kind {
    kServersLost,   // a part of the servers dies at once; they come back cold after len_s
    kServersStall,  // a part of them takes requests and answers none for len_s
    kClassDear,     // a share of one class's requests costs `size` times the work
    kListDown,      // the list can't be had
    kListLate,      // the list is `size` seconds further behind
    kSidecarsLost,  // a part of the sidecars dies and comes back after len_s with its old list
    kRelease,       // servers drain one after another and restart under new ids, over len_s
    kLaunch,        // the load grows to `size` times within ramp_s and stays so for len_s
  } kind = Kind::kServersLost;
  Range at_s{20, 20};
  Range len_s{10, 10};
  Range part{0.2, 0.2};  // of the servers, sidecars or requests
  Range size{1, 1};
  Range ramp_s{3, 3};
  std::string of_class;  // kClassDear: which; empty: any
};

struct Scenario {
  std::string name = "fleet";
  // [day]
  Range length_s{60, 60};
  Range window_s{10, 10};  // of the worst-window figure
  Range tick_ms{0, 0};     // sidecars hear of things at this granularity; 0 = at once
  // [fleet]
  Range servers{47, 53};
  Range sidecars{233, 266};
  Range data_centres{2, 2};
  Range cell_size{6, 10};
  // [load]
  Range requests_per_s{1'200, 1'400};
  Range swing{0.19, 0.34};  // the load goes up and down by this share
  Range swing_period_s{15, 40};
  Range sidecar_cv{1.6, 2};  // of the sidecars' parts of the load
  Range zone_skew{0, 0.15};  // by how much more the first data centre's sidecars ask
  // [connection]
  Range connections_per_core{19, 19};
  Range handshake_ms{15.3, 24.5};  // of work
  Range handshake_rtts{2, 2};
  Range connect_timeout_ms{250, 250};
  // [choke]
  Range choke_share{0, 0};       // of the days on which servers choke at all
  Range choke_at{4, 7};          // requests that wait for each core ...
  Range choke_over_s{1.5, 2.5};  // ... for so long
  Range choke_slower{2.1, 3.4};
  Range choke_rest_s{2.5, 4.4};
  Range choke_below{0.25, 0.4};  // requests held for each core
  Range choke_most_s{18, 34};
  // [network]
  Range same_ms{0.11, 0.34};  // one way
  Range cross_ms{2.8, 5.2};
  Range jitter{0.07, 0.32};  // a share on top, exponential
  // [client]
  Range retries{1, 2.99};
  Range try_share{0.5, 0.8};  // of the deadline, after which a try is given up
  Range backoff_ms{50, 400};
  Range honour{0.7, 1};  // share of the clients that follow Retry-After
  // [discovery]
  Range notice_s{0.62, 4.7};       // until a planned change is told
  Range silent_notice_s{4.9, 12};  // until a death is
  Range add_s{0.94, 2.1};          // until a new server is
  Range period_ms{250, 1'300};     // changes are told together
  Range spread_ms{14, 110};        // from sidecar to sidecar
  Range sizes{0, 0};               // 1: the list's weights are the servers' cores
  // [rules]
  Range drain_grace_ms{500, 500};
  Range answer_slack_ms{20, 20};
  Range overload_factor{4, 4};
  Range fall_s{2, 2};
  Range fall_slack{12, 12};     // mean requests' work on top of the budget, for chance
  Range cold_from{0.32, 0.32};  // what sidecars are told at the least
  Range warm_after_s{8.9, 8.9};
  // [allowed]
  Range max_attempts{5, 5};
  Range max_retry_after_ms{2'000, 2'000};
  // [goal]
  Range whole{0.45, 0.45};
  Range worst_window{0.35, 0.35};
  Range worst_class{0.2, 0.2};
  // [price], in shares of the result
  Range crossing{0.01, 0.01};
  Range connection{0.05, 0.05};
  // [keys]
  Range keys{0, 0};       // that requests are about; 0 = they are about none
  Range key_skew{0, 0};   // Zipf's exponent
  Range warm_gain{0, 0};  // share of its work that a warm key saves
  Range warm_s{5, 5};     // a server keeps a key warm for so long
  Range warm_per_core{10, 10};

  std::vector<ServerKind> kinds;
  std::vector<TrafficClass> classes;
  std::vector<Trouble> troubles;
};

// The fleet as the operators have it: their two kinds of machines and their four classes, no troubles.
Scenario DefaultScenario();

// Reads a scenario; what the file leaves out keeps its default, and a list of kinds, classes or troubles that
// it gives replaces the default one. On failure one line: "FILE:LINE:COLUMN: what is wrong".
std::variant<Scenario, std::string> ParseScenario(std::string_view text, const std::string& file);

// The scenario as a file that ParseScenario reads back as the same, each figure with its unit and meaning.
std::string PrintScenario(const Scenario& scenario);

// One day of a scenario: each range drawn, by `seed`. The ranges of the result are single numbers.
Scenario DrawDay(const Scenario& scenario, std::uint64_t seed);

// What the sidecars of such a day are told.
Settings SettingsOf(const Scenario& day);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SCENARIO_HPP_
