// Public interface of merlinrun, the decision core of a client-side load balancer for service-to-service
// calls.
//
// A Balancer does no I/O, reads no clock and starts no thread. The caller delivers events, each with the
// current time, and executes the actions that the balancer passes to its ActionSink before the event call
// returns.
//
// Ownership: a Balancer owns its state and keeps a reference to the sink, which must outlive it. It copies
// what it needs from an event. Threading: a Balancer is used by one thread at a time; instances share
// nothing. Time: any monotonic clock in microseconds; an event older than the previous one is treated as
// simultaneous with it.
//
// The caller must deliver one Outcome for each Send and one OnTimer for each SetTimer, and must give each
// request an id that this Balancer has not seen. Events for unknown requests, attempts or servers, duplicate
// outcomes, and an OnRequest with the id of a request that is still held are ignored. A request of an unknown
// class fails. Times and settings must be below 2^60 microseconds.
#ifndef MERLINRUN_BALANCER_HPP_
#define MERLINRUN_BALANCER_HPP_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace merlinrun {

using Micros = std::int64_t;

// Whether a request may be sent again after an attempt that may have been executed.
enum class RetrySafety {
  kSafe,          // idempotent
  kDeduplicated,  // servers drop duplicates, within DedupScope and dedup_window
  kNever
};

// The servers that recognize a duplicate of a deduplicated request.
enum class DedupScope { kAll, kZone, kCell };

struct RequestClass {
  std::string name;
  Micros latency_target = 0;              // a response within this time has its full value
  double latency_target_work_factor = 0;  // the target grows by this multiple of the request's work
  Micros deadline = 0;                    // the longest that a client waits, over all its retries
  double value = 1;                       // of one request, or of one unit of work if Settings::value_by_work
  double late_value = 0;                  // share of the value that remains after the latency target
  RetrySafety retry_safety = RetrySafety::kNever;
  DedupScope dedup_scope = DedupScope::kAll;
  Micros dedup_window = 0;  // duplicates are dropped for this long after the first attempt
  bool streamed = false;
  // Requests of such classes with the same key run one at a time, in order of arrival.
  bool sequential = false;
};

struct Tenant {
  std::string name;
  double share = 0;        // of the servers' capacity
  double quota_per_s = 0;  // requests per second over all sidecars; 0 = unlimited
};

// Algorithm parameters. They are the same for every deployment and are exposed so that the fleet model can
// compare alternatives.
struct Tuning {
  // Minimum number of servers in the window, the subset of servers that this sidecar sends to. Few, so that
  // each server holds connections from few sidecars, but enough to leave a choice.
  std::size_t window_width = 3;
  // With few sidecars per server the window grows until each server is in about this many windows, up to 16
  // servers per window. It follows the ratio, so it stays the same when both numbers grow together. 15
  // windows of sidecars that keep two connections each are 30 of the 64 to 80 that a server takes.
  double windows_per_server = 15;
  // A busy sidecar's window grows by this many servers per attempt that was recently in flight.
  double servers_per_in_flight = 0.25;
  // The delay before attempt n+1 is random(0, min(cap, base * 2^n)).
  Micros retry_base = 100'000;
  Micros retry_cap = 30'000'000;
  double jitter = 1;  // randomized share of the delay, 0 to 1
  // Concurrency limit: load shedding starts when the attempts in flight exceed the expected number by the
  // first factor, and reaches its maximum at the second. With 24 expected, random variation (twice the square
  // root) alone reaches the first; both move up where the expected number is small.
  double in_flight_shed_start = 1.4;
  double in_flight_shed_full = 2.0;
  // The same start factor while part of the server capacity is lost, relative to the remaining capacity.
  double capacity_loss_shed_start = 2.0;
  // Latency, as a multiple of the latency target, at which admission of the most valuable work levels off.
  // Below 1, as servers overload before responses miss the target.
  double admission_target = 0.27;
  // Outlier ejection: largest share of the window that may be ejected at once, so that a slowdown of all
  // servers does not empty the window. 0 disables ejection.
  double max_ejected_share = 0.5;
};

// Static configuration of a deployment.
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  int zone = -1;                    // of this sidecar; -1 = unknown
  std::uint32_t sidecar_index = 0;  // of this sidecar, below sidecar_count
  std::uint32_t sidecar_count = 1;
  Micros tick = 0;  // granularity at which events arrive
  // What the platform allows.
  int max_attempts = 1;
  bool parallel_attempts = false;
  bool cancel = false;
  bool peers = false;
  bool probes = false;
  Micros max_retry_after = 0;  // clients ignore longer Retry-After advice; 0 = they ignore all
  int streams_per_connection = 1;
  Micros connection_idle_timeout = 0;  // 0 = unknown
  Micros dial_timeout = 0;             // 0 = unknown
  std::int64_t max_open_requests = 0;  // per sidecar; 0 = unknown
  std::int64_t cpu_per_s = 0;          // CPU time of a sidecar, in microseconds per second; 0 = unknown
  double cpu_per_request = 0;  // CPU time per request with its outcomes, in microseconds; 0 = unlimited
  bool clients_mark_retries = false;
  // How servers report their load, and what the weights of the server list mean.
  enum class LoadReporting { kNone, kInResponses, kInProbes } load_reporting = LoadReporting::kNone;
  std::vector<std::string> report_fields;
  enum class Weights { kNone, kNominal, kRough, kLive } weights = Weights::kNone;
  bool warm_keys = false;  // a server that recently served a key needs less work to serve it again
  // How the server list is followed.
  bool must_subscribe = false;
  Micros list_retry_cap = 0;  // longest delay before the server list is requested again
  // Server behavior.
  Micros drain_grace = 0;
  double cold_start_capacity = 1;  // share of its full capacity that a server has at its start
  Micros warmup_time = 0;          // until it has its full capacity
  double overload_factor = 1;      // a cold server crashes under more than this multiple of its capacity ...
  Micros overload_crash_time = 0;  // ... for this long
  bool refused_may_have_run = false;        // servers also refuse requests that they had begun to execute
  Micros hold_after_uncertain_outcome = 0;  // delay of a key's next request after a timeout, reset or cancel
  // Costs, as shares of the result.
  double cost_cross_zone = 0;
  double cost_wasted_work = 0;
  double cost_connection = 0;
  double cost_late_failure = 0;
  double cost_handshake = 0;
  double cost_probe = 0;         // of one probe per request
  double cost_peer_traffic = 0;  // of 256 bytes delivered to peers per request
  double cost_discovery = 0;     // of 100 server list lines per request
  double cost_moves = 0;
  double cost_origin = 0;
  // Weights of the parts of the result.
  double goal_total = 1;
  double goal_worst_window = 0;
  double goal_worst_class = 0;
  double goal_worst_tenant = 0;
  bool value_by_work = false;
  double over_share_value = 1;
  Tuning tuning;
};

struct ServerInfo {
  std::string id;
  int zone = -1;
  int machine_type = -1;  // index of the machine type; -1 = unknown
  std::int64_t cell = -1;
  double weight = 1;       // relative to other servers
  Micros started = 0;      // start time; 0 = long ago
  unsigned protocols = 1;  // bit n: the server is reachable by protocol n of Request::protocol
  enum class State { kHealthy, kDraining, kGone } state = State::kHealthy;
};

struct ListUpdate {
  enum class Kind {
    kDelta,   // changed entries only
    kFull,    // the whole list
    kStale,   // the whole list from this sidecar's cache; may be outdated
    kFailed,  // a subscription or fetch failed; no entries
  } kind = Kind::kFull;
  std::int64_t version = 0;
  std::span<const ServerInfo> servers;
  // This sidecar's index and the number of sidecars, if they come with the list; a count of 0 keeps both.
  std::uint32_t sidecar_index = 0;
  std::uint32_t sidecar_count = 0;
};

struct Request {
  std::string_view id;
  int request_class = 0;
  int tenant = -1;
  std::optional<Micros> cost;  // expected work
  Micros budget = 0;           // the client gives up after this time
  Micros upload_time = 0;  // longest time until the last byte arrives, when the budget begins; 0 = complete
  bool is_retry = false;   // as marked by the client
  bool write = false;
  std::string_view key;  // of the object concerned; empty = none
  int protocol = 0;      // by which it arrived and is forwarded: 0 to 31
};

enum class Result {
  kSuccess,
  kError,        // may have been executed
  kRefused,      // rejected before execution
  kTimeout,      // may have been executed, or still be running
  kUnreachable,  // the connection could not be established
  kReset,        // the connection broke; may have been executed
  kCancelled,    // may have been executed
  kNeverSent,
};

// A server's own load figures: delayed and noisy. Values that were not reported are absent, never 0.
struct LoadReport {
  std::optional<double> busy;        // requests held
  std::optional<double> waiting;     // of those, requests in the queue
  std::optional<double> cpu;         // utilization, 0 to 1
  std::optional<double> service_ms;  // recent service time without queueing
  std::optional<double> served_per_s;
  std::optional<double> failed_per_s;
};

struct Outcome {
  std::string_view request;
  int attempt = 0;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  bool request_done = false;   // the client has its final response
  bool body_consumed = false;  // the request body is gone, so no further attempt is possible
  LoadReport load = {};
};

struct ProbeResult {
  std::string_view server;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  LoadReport load = {};
};

// Why a request ended without a response from a server: the last obstacle that it met.
enum class Cause {
  kOverload,          // load shedding: responses are late, or servers refuse requests
  kConcurrencyLimit,  // load shedding: more attempts are in flight than usual
  kNoServer,          // no listed server accepts the request or is allowed for its class
  kEjected,           // every eligible server is ejected as an outlier
  kColdStart,         // every eligible server is starting and takes no more load yet
  kRejected,          // a server refused the request
  kUnreachable,       // a connection could not be established
  kReset,             // a connection broke, or a response was malformed
  kTimedOut,          // no response in time
  kServerError,       // a server responded with an error
  kKeyQueueTimeout,   // earlier requests with the same key took until its deadline
  kUnknownClass,
};
inline constexpr std::size_t kCauseCount = static_cast<std::size_t>(Cause::kUnknownClass) + 1;
inline constexpr std::array<std::string_view, kCauseCount> kCauseNames = {
    "overload",    "crowded", "no-server", "left-alone", "young",   "turned-away",
    "unreachable", "reset",   "timed-out", "errored",    "no-turn", "unknown-class"};

// What other sidecars currently report about a zone, each from its own attempts. It is advisory: it may speed
// up or delay this sidecar's ejection of the zone, and does not affect the retry rules of a request.
struct ZonePeerSummary {
  int zone = -1;
  int reporting = 0;          // sidecars with a recent report
  int reporting_lost = 0;     // of those, sidecars whose last attempt there got no response
  int reporting_healthy = 0;  // of those, sidecars whose last attempt there got a response
  Micros returned_for = 0;    // time since a quorum of them returned to the zone; 0 = it has not
};

// An operator's override for a zone.
struct ZoneOverride {
  enum class Kind {
    kNone,
    kEvacuate,  // receives no new requests
    kKeep,      // is never ejected
  };
  int zone = -1;
  Kind kind = Kind::kNone;
};

// Outlier ejection of whole zones, as a circuit breaker per zone.
enum class ZoneStage {
  kServing,
  kSuspected,  // some servers are unreachable, and none has responded since
  kEjected,    // receives no requests until the backoff ends
  kProbing,    // half-open: one attempt at a time
  kReturning,  // has responded; its servers are treated as just started
};
inline constexpr std::array<std::string_view, 5> kZoneStageNames = {"serving", "suspected", "left",
                                                                    "on-trial", "returning"};

// A balancer's current estimates, for diagnostics. Lists the known servers, sorted by id. The string views
// are valid until the next event.
struct BalancerSnapshot {
  struct Pool {
    std::size_t servers = 0;       // healthy ones
    std::size_t width = 0;         // servers in the window
    int in_flight = 0;             // this sidecar's attempts
    double usual_in_flight = 0;    // this sidecar's attempts per server without overload; 0 = not known yet
    double admitted_share = 1;     // share of the arriving work admitted by latency; above 1 is reserve
    double concurrency_share = 1;  // share of the arriving work admitted by the concurrency limit
    double latency_ratio = 0;      // average latency divided by the latency target
    double unloaded_latency_ratio = 0;  // the lowest latency_ratio seen
  };
  struct Server {
    std::string_view id;
    ServerInfo::State state = ServerInfo::State::kHealthy;
    bool in_window = false;
    int in_flight = 0;         // this sidecar's attempts
    double latency_ratio = 1;  // latency divided by the usual latency
    double error_rate = 0;     // share of recent responses that were errors
    int consecutive_ejections = 0;
    // Remaining ejection time. At 0 a server with consecutive failures still gets one attempt at a time.
    Micros ejected_for = 0;
    double capacity_share = 1;  // share of its full capacity, below 1 during warm-up
  };
  std::array<Pool, 2> pools;  // own zone and others if crossing zones has a cost, otherwise all in the first
  std::vector<Server> servers;
  struct Zone {  // of zones that an attempt was ever sent to
    int zone = -1;
    ZoneStage stage = ZoneStage::kServing;
    Micros time_in_stage = 0;
    std::size_t dead_servers = 0;  // distinct servers without a response since the zone's last response
    // Time since the last response, or since the last failure if dead_servers > 0; -1 = none yet.
    Micros since_last_evidence = -1;
    ZonePeerSummary peer_report;  // empty if there is no recent report
  };
  std::vector<Zone> zones;
  std::uint64_t zones_epoch = 0;  // incremented when a zone is ejected or restored
};

// Receives the balancer's actions. It is called during event calls and must not call back into the Balancer.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // A timeout of 0 means until the client gives up. Attempts of a request are numbered from 0 in this order.
  virtual void Send(std::string_view request, const std::string& server, Micros timeout) = 0;
  virtual void Cancel(std::string_view request, int attempt) = 0;
  virtual void Refuse(std::string_view request, Micros retry_after, Cause cause) = 0;
  virtual void Fail(std::string_view request, Cause cause) = 0;
  virtual void SetTimer(Micros delay, std::uint64_t token) = 0;
  virtual void Subscribe() = 0;
  virtual void Log(std::string_view text) = 0;
};

class Balancer {
 public:
  // Returns null and sets `error` if the settings are invalid.
  static std::unique_ptr<Balancer> Create(const Settings& settings, std::uint64_t seed, Micros now,
                                          ActionSink& sink, std::string& error);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void OnServers(Micros now, const ListUpdate& update);
  void OnRequest(Micros now, const Request& request);
  // The last byte of a request with an upload_time has arrived. `budget` and the latency target count from
  // `now`.
  void OnUploadComplete(Micros now, std::string_view request, Micros budget);
  void OnResponseStarted(Micros now, std::string_view request, int attempt);
  void OnOutcome(Micros now, const Outcome& outcome);
  void OnClientGone(Micros now, std::string_view request);
  void OnTimer(Micros now, std::uint64_t token);
  void OnProbeResult(Micros now, const ProbeResult& probe);
  void OnPeerMessage(Micros now, std::uint32_t sender, std::string_view bytes);
  // Replaces the previous report about the zone and expires after one second.
  void OnZonePeerSummary(Micros now, const ZonePeerSummary& report);
  // Replaces all overrides; zones that are not listed have none.
  void OnZoneOverrides(Micros now, std::span<const ZoneOverride> overrides);

  BalancerSnapshot TakeSnapshot(Micros now) const;
  // Only the `zones` of a snapshot.
  std::vector<BalancerSnapshot::Zone> TakeZoneSnapshots(Micros now) const;
  std::uint64_t zones_epoch() const;
  std::size_t requests_held() const;  // includes ended requests with an attempt in flight

 private:
  class State;
  explicit Balancer(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BALANCER_HPP_
