// A scenario: all parameters of the simulated fleet, its traffic and its incidents. A parameter is a number
// or a range; each day draws one value from each range by its seed. Scenario files are TOML; the schema
// tables in scenario.cpp define how they are read, validated and printed.
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

// Microseconds per unit, and conversion of a drawn parameter to a time.
constexpr double kMillisecond = 1e3;
constexpr double kSecond = 1e6;
inline Micros MicrosOf(const Range& drawn, double unit) { return static_cast<Micros>(drawn.low * unit); }

// The unit is the suffix of the member's name. Members are named after the keys of the file.
struct ServerKind {
  std::string name = "std-4";
  Range share{1, 1};  // weight among the kinds of servers
  Range cores{4, 4};
  Range speed{1, 1};             // relative to a standard core
  Range speed_cv{0, 0};          // coefficient of variation between servers
  Range slots_per_core{17, 17};  // concurrent requests, including those waiting for dependencies
  Range queue_per_core{22, 22};  // further requests are rejected
  Range thrash{0, 0};            // relative increase of work per request above thrash_at
  Range thrash_at{1'000, 1'000};
  Range cold_share{0.4, 0.4};  // of full capacity at the start
  Range cold_s{6, 6};          // linear warm-up time
  Range error_rate{0, 0};
  Range pause_ms{0, 0};       // length of a pause
  Range pause_every_s{0, 0};  // mean interval between pauses; 0 = never
};

struct TrafficClass {
  std::string name;
  Range share{1, 1};
  Range work_ms{50, 50};    // mean on a standard core
  Range wait_ms{100, 100};  // mean wait for dependencies, off the cores
  Range cv{1, 1};           // coefficient of variation of the work between requests
  Range attempt_cv{0, 0};   // ... between attempts of one request
  Range aim_ms{1'000, 1'000};
  Range deadline_ms{3'000, 3'000};
  Range worth{1, 1};
  Range late_worth{0, 0};  // share of the worth of a response after aim_ms
  RetrySafety repeat = RetrySafety::kSafe;
  DedupScope group = DedupScope::kZone;
  Range window_s{12, 12};  // how long servers deduplicate
};

struct Incident {
  enum class Kind {
    kServersLost,     // some servers crash at once and come back cold after len_s
    kServersStall,    // some servers accept requests but don't respond for len_s
    kClassExpensive,  // some requests of one class need `size` times the work
    kListDown,        // service discovery is unavailable
    kListLate,        // service discovery is delayed by another `size` seconds
    kSidecarsLost,    // some sidecars crash and come back after len_s with their old list
    kRelease,         // rolling restart over len_s: servers drain and are replaced under new ids
    kLaunch,          // the load grows to `size` times within ramp_s and stays there for len_s
  } kind = Kind::kServersLost;
  Range at_s{20, 20};
  Range len_s{10, 10};
  Range part{0.2, 0.2};  // share of the servers, sidecars or requests affected
  Range size{1, 1};
  Range ramp_s{3, 3};
  std::string target_class;  // for kClassExpensive; empty: any class
};

struct Scenario {
  std::string name = "fleet";
  // [day]
  Range length_s{60, 60};
  Range window_s{10, 10};  // of the worst-window score
  Range tick_ms{0, 0};     // granularity of the sidecars' events; 0 = none
  // [fleet]
  Range servers{47, 53};
  Range sidecars{233, 266};
  Range data_centres{2, 2};
  Range cell_size{6, 10};
  // [load]
  Range requests_per_s{1'200, 1'400};
  Range swing{0.19, 0.34};  // relative amplitude of the load's oscillation
  Range swing_period_s{15, 40};
  Range sidecar_cv{1.6, 2};  // coefficient of variation of load between sidecars
  Range zone_skew{0, 0.15};  // relative surplus of load in the first data centre
  // [connection]
  Range connections_per_core{19, 19};
  Range handshake_ms{15.3, 24.5};  // work of the server
  Range handshake_rtts{2, 2};
  Range connect_timeout_ms{250, 250};
  // [choke]
  Range choke_share{0, 0};       // share of days on which servers can choke (slow down under sustained load)
  Range choke_at{4, 7};          // waiting requests per core that start it ...
  Range choke_over_s{1.5, 2.5};  // ... after this time
  Range choke_slower{2.1, 3.4};  // slowdown factor
  Range choke_rest_s{2.5, 4.4};
  Range choke_below{0.25, 0.4};  // it ends after choke_rest_s with at most this many requests per core
  Range choke_most_s{18, 34};    // longest duration
  // [network]
  Range same_ms{0.11, 0.34};  // one way
  Range cross_ms{2.8, 5.2};
  Range jitter{0.07, 0.32};  // mean of an exponential relative surcharge
  // [client]
  Range retries{1, 2.99};
  Range try_share{0.5, 0.8};  // timeout of one try as a share of the deadline
  Range backoff_ms{50, 400};
  Range honour{0.7, 1};  // share of the clients that honour Retry-After
  // [discovery]
  Range notice_s{0.62, 4.7};       // delay before a planned change is known
  Range silent_notice_s{4.9, 12};  // ... a crash
  Range add_s{0.94, 2.1};          // ... a new server
  Range period_ms{250, 1'300};     // publication interval
  Range spread_ms{14, 110};        // variation of delivery between sidecars
  Range sizes{0, 0};               // 1: list entries have the number of cores as weight
  // [rules]
  Range drain_grace_ms{500, 500};
  Range answer_slack_ms{20, 20};
  Range overload_factor{4, 4};  // load relative to capacity at which a cold server crashes
  Range fall_s{2, 2};           // overload window of cold servers
  Range fall_slack{12, 12};     // mean requests' work above the budget, for random variation
  Range cold_from{0.32, 0.32};  // cold start capacity in the sidecars' settings
  Range warm_after_s{8.9, 8.9};
  // [allowed]
  Range max_attempts{5, 5};
  Range max_retry_after_ms{2'000, 2'000};
  // [goal]
  Range whole{0.45, 0.45};
  Range worst_window{0.35, 0.35};
  Range worst_class{0.2, 0.2};
  // [price], as shares of the score
  Range crossing{0.01, 0.01};
  Range connection{0.05, 0.05};
  // [keys]
  Range keys{0, 0};       // number of distinct keys; 0 = requests have none
  Range key_skew{0, 0};   // Zipf exponent
  Range warm_gain{0, 0};  // share of the work saved by a warm key
  Range warm_s{5, 5};     // how long a key stays warm
  Range warm_per_core{10, 10};

  std::vector<ServerKind> kinds;
  std::vector<TrafficClass> classes;
  std::vector<Incident> incidents;
};

// The production fleet: two kinds of servers, four classes, no incidents.
Scenario DefaultScenario();

// Parses a scenario. Omitted parameters keep their defaults; a list of kinds, classes or incidents replaces
// the default list. Errors are one line: "FILE:LINE:COLUMN: message".
std::variant<Scenario, std::string> ParseScenario(std::string_view text, const std::string& file);

// The scenario as TOML that ParseScenario reads back, with a comment for each parameter.
std::string PrintScenario(const Scenario& scenario);

// Draws the parameters of one day; each range of the result has equal ends.
Scenario DrawDay(const Scenario& scenario, std::uint64_t seed);

// The settings of the sidecars on such a day.
Settings SettingsOf(const Scenario& day);

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_SCENARIO_HPP_
