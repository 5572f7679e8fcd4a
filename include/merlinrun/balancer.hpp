// The interface of merlinrun: the decisions of a sidecar balancer for service-to-service calls.
//
// A Balancer holds no socket, no clock and no thread. The caller delivers events, each with the present time,
// and carries out the actions that the balancer hands to its ActionSink before the event call returns.
//
// Ownership: a Balancer owns its state and keeps a reference to the sink, which must outlive it. It copies
// what it keeps of an event. Threading: one Balancer, one thread at a time; Balancers share nothing. Time:
// any monotonic microsecond count; an event that is older than the one before it is taken as simultaneous
// with it.
//
// The caller's duties: deliver one Outcome for each Send, a Timer for each SetTimer, and give each request an
// id that this Balancer has not seen. Events that name an unknown request, attempt or server, and outcomes
// delivered a second time, are ignored; a second OnRequest with the id of a request that is still held is
// ignored too. A request of an unknown class fails. Times and settings are taken to be under 2^60
// microseconds.
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

// Whether a request may run again after an attempt that may have run.
enum class Repeat { kSafe, kDeduplicated, kNever };

// Which servers drop the repeats of a deduplicated request.
enum class DedupGroup { kAll, kZone, kCell };

struct RequestClass {
  std::string name;
  Micros aim = 0;          // an answer within this time is worth all
  double aim_stretch = 0;  // the aim grows by this multiple of the request's own work
  Micros deadline = 0;     // the longest that a client waits, over all its tries
  double worth = 1;        // of one request, or of one unit of its work
  double late_worth = 0;   // share of the worth of an answer after the aim
  Repeat repeat = Repeat::kNever;
  DedupGroup group = DedupGroup::kAll;
  Micros dedup_window = 0;  // repeats are dropped for so long after the first send
  bool streamed = false;
  bool sequential = false;  // requests of such classes with one key run one at a time, in order of arrival
};

struct Tenant {
  std::string name;
  double share = 0;        // of what the servers can do
  double quota_per_s = 0;  // requests a second over all sidecars; 0 = no limit
};

// Figures of the decisions themselves, the same for every deployment. They are here to be compared by the
// fleet model; what the design fixes (full jitter, the doubling wait) is left only to measure what it is
// worth.
struct Tuning {
  // Servers in the window. Few enough that each server holds connections from few sidecars, enough to leave a
  // choice.
  std::size_t window_width = 3;
  // The window is wider where sidecars are few next to servers: as wide as puts each server into this many
  // windows, to 16 servers. By the ratio of both and not by the size of the fleet, so it is the same
  // when they grow together. 15 windows of sidecars that keep two connections each are 30 of the 64 to 80
  // that servers were seen to take.
  double windows_per_server = 15;
  // A busy sidecar's window is wider: this many servers for each attempt it lately had out at once.
  double servers_per_out = 0.25;
  // The wait before attempt n+1 is random(0, min(cap, base * 2^n)).
  Micros retry_base = 100'000;
  Micros retry_cap = 30'000'000;
  double jitter = 1;  // the share of the wait that chance decides, 0 to 1
  // From out_from times the attempts that a busy sidecar is expected to have out, by what is served in time,
  // less is let in, down to the least at out_full. Twice the square root of 24 is chance and no
  // pressure: 1.4; with fewer out chance is more, and both move up with it.
  double out_from = 1.4;
  double out_full = 2.0;
  // Where a part of the servers is lost, less is let in from so many times what those left usually have out.
  double loss_from = 2.0;
  // The pressure, in aims, up to which the dearest work is let in: under one, as servers choke sooner.
  double admit_target = 0.27;
  // At most this part of the window is left alone at once: a slowdown that all share must not empty it. 0:
  // none is ever left alone.
  double most_away = 0.5;
};

// What a deployment states at the start. Every figure that depends on the deployment comes from here.
struct Settings {
  std::vector<RequestClass> classes;
  std::vector<Tenant> tenants;
  int zone = -1;               // this sidecar's; -1 = unknown
  std::uint32_t rank = 0;      // this sidecar's number, from 0
  std::uint32_t siblings = 1;  // number of sidecars
  Micros tick = 0;             // events arrive at this granularity
  // What is allowed.
  int max_attempts = 1;
  bool parallel_attempts = false;
  bool cancel = false;
  bool peers = false;
  bool probes = false;
  Micros max_retry_after = 0;  // clients follow no longer advice; 0 = they take none
  int streams_per_connection = 1;
  Micros connection_idle = 0;  // idle connections are closed after so long; 0 = not told
  Micros dial_timeout = 0;     // a connection that is not up by then is unreachable; 0 = not told
  std::int64_t most_open = 0;  // requests that a sidecar can have open; 0 = not told
  std::int64_t cpu_per_s = 0;  // CPU that a sidecar has, in microseconds a second; 0 = not told
  double cpu_per_request = 0;  // CPU for a request with its outcomes, in microseconds; 0 = no limit
  bool clients_mark_repeats = false;
  // What is told of the servers' load, and what the weights of the list are.
  enum class Reports { kNone, kInAnswers, kInProbes } reports = Reports::kNone;
  std::vector<std::string> report_fields;
  enum class Weights { kNone, kNominal, kRough, kLive } weights = Weights::kNone;
  bool warm_keys = false;  // a server that served a key lately needs less work to serve it again
  // How the list of servers is followed.
  bool must_subscribe = false;
  Micros ask_within = 0;
  // The rules.
  Micros drain_grace = 0;
  double cold_share = 1;              // capacity of a server at its start
  Micros warm_after = 0;              // it has its full capacity after so long
  double overload_factor = 1;         // more than so many times its capacity ...
  Micros fall_window = 0;             // ... for so long, and a cold server falls over
  bool refused_may_have_run = false;  // a server turns away also what it had begun: kRefused proves nothing
  Micros settle_after_doubt = 0;      // a key's next request waits so long after a time-out, reset or cancel
  // Prices, in shares of the result.
  double price_crossing = 0;
  double price_waste = 0;
  double price_connection = 0;
  double price_late = 0;
  double price_handshake = 0;
  double price_probe = 0;      // of a probe for each request
  double price_peer = 0;       // of 256 bytes delivered to peers for each request
  double price_discovery = 0;  // of 100 list lines for each request
  double price_moves = 0;
  double price_origin = 0;
  // What the result weighs, in shares.
  double goal_whole = 1;
  double goal_worst_window = 0;
  double goal_worst_class = 0;
  double goal_worst_tenant = 0;
  bool worth_by_work = false;
  double over_share_worth = 1;
  Tuning tuning;
};

struct ServerInfo {
  std::string id;
  int zone = -1;
  int machine = -1;  // kind of machine, as an index; -1 = unknown
  std::int64_t cell = -1;
  double weight = 1;    // comparable between servers
  Micros started = 0;   // 0 = long ago
  unsigned fronts = 1;  // by which protocols it can be reached: bit n for Request::front n
  enum class State { kHealthy, kDraining, kGone } state = State::kHealthy;
};

struct ListUpdate {
  enum class Kind {
    kDelta,   // changed entries alone
    kFull,    // the whole list
    kStale,   // the whole list as this sidecar last had it; may be old
    kFailed,  // a Subscribe or Fetch failed or the subscription broke; no entries
  } kind = Kind::kFull;
  std::int64_t version = 0;
  std::span<const ServerInfo> servers;
  // This sidecar's number and how many there are, where they are told with the list; 0 siblings: as before.
  std::uint32_t rank = 0;
  std::uint32_t siblings = 0;
};

struct Request {
  std::string_view id;
  int request_class = 0;
  int tenant = -1;
  std::optional<Micros> cost;  // expected work
  Micros budget = 0;           // the client gives up after this time
  Micros upload = 0;           // its last byte may take so long; the budget counts from there. 0: it is whole
  bool repeated = false;       // the client says that it is a repeat
  bool write = false;
  std::string_view key;  // what it concerns; empty = none
  int front = 0;         // the protocol that it came by, and goes on by: 0 to 31
};

enum class Result {
  kSuccess,
  kError,        // may have run
  kRefused,      // turned away unseen
  kTimeout,      // may have run, may be running
  kUnreachable,  // no connection
  kReset,        // the connection broke; may have run
  kCancelled,    // may have run
  kNeverSent,
};

// What a server says of itself: late and noisy. A value that was not reported is absent, never 0.
struct LoadReport {
  std::optional<double> busy;        // requests that it holds
  std::optional<double> waiting;     // of them in its queue
  std::optional<double> cpu;         // how busy its cores are, 0 to 1
  std::optional<double> service_ms;  // recent time of service, without waiting
  std::optional<double> served_per_s;
  std::optional<double> failed_per_s;
};

struct Outcome {
  std::string_view request;
  int attempt = 0;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  bool settled = false;  // the request has its final answer
  bool spent = false;    // its bytes are gone: no other attempt can be made of it
  LoadReport load = {};
};

struct ProbeResult {
  std::string_view server;
  Result result = Result::kSuccess;
  Micros elapsed = 0;
  LoadReport load = {};
};

// Why a request ended without a server's answer: the last thing that stood in its way.
enum class Cause {
  kOverload,      // less is let in: answers come late, or servers turn work away
  kCrowded,       // less is let in: more attempts are out than usual (the concurrency limit)
  kNoServer,      // no server that could take it is listed, or its class allows none of them
  kLeftAlone,     // every server that could take it is left alone (outlier ejection)
  kYoung,         // every server that could take it has just started and takes no more yet
  kTurnedAway,    // a server was full
  kUnreachable,   // a connection did not come up
  kReset,         // a connection broke, or an answer could not be read
  kTimedOut,      // no answer within the time that it was waited for
  kErrored,       // a server answered with an error
  kNoTurn,        // requests with its key came before it until its time was up
  kUnknownClass,  // no such class
};
inline constexpr std::size_t kCauses = static_cast<std::size_t>(Cause::kUnknownClass) + 1;
inline constexpr std::array<std::string_view, kCauses> kCauseNames = {
    "overload",    "crowded", "no-server", "left-alone", "young",   "turned-away",
    "unreachable", "reset",   "timed-out", "errored",    "no-turn", "unknown-class"};

// What other sidecars say of a zone now, each of them one witness of its own attempts. Advice: it may hasten
// or delay what this sidecar does about the zone, and touches no request's rules.
struct ZoneTold {
  int zone = -1;
  int heard = 0;            // sidecars whose words are fresh
  int lost = 0;             // whose last attempt there, just now, found no server alive
  int well = 0;             // whose last one, just now, was answered
  Micros returned_for = 0;  // a quorum of them has used it again for so long; 0 = none
};

// What the operator orders of a zone.
struct ZoneOrder {
  enum class Kind {
    kNone,
    kLeave,  // nothing new goes there
    kKeep,   // it is never left
  };
  int zone = -1;
  Kind kind = Kind::kNone;
};

enum class ZoneStage {
  kServing,
  kSuspected,  // some servers can't be reached, and none has answered since
  kLeft,       // nothing is sent there until its wait is over
  kOnTrial,    // one attempt at a time
  kReturning,  // it has answered: its servers are taken for freshly started ones
};
inline constexpr std::array<std::string_view, 5> kZoneStageNames = {"serving", "suspected", "left",
                                                                    "on-trial", "returning"};

// What a balancer believes, for whoever has to explain it. Servers that are listed, sorted by id; the texts
// live as long as the next event has not come.
struct Beliefs {
  struct Pool {
    std::size_t servers = 0;  // healthy ones
    std::size_t width = 0;    // of the window
    int out = 0;              // own attempts
    double out_usual = 0;     // own attempts at each server while nothing pressed; 0 = not learnt yet
    double admit = 1;         // share of the arriving work that answers leave room for; over 1 is saved up
    double room = 1;          // the same by what is out
    double usual = 0;         // time of an answer in aims, averaged
    double unloaded = 0;      // the least that was usual
  };
  struct Server {
    std::string_view id;
    ServerInfo::State state = ServerInfo::State::kHealthy;
    bool in_window = false;
    int out = 0;            // own attempts
    double slow = 1;        // its answer times as a multiple of what is usual
    double failing = 0;     // share of its answers that were errors lately
    int strikes = 0;        // bad outcomes in a row
    Micros left_alone = 0;  // for so long from now on; 0 = not, though one trial at a time if strikes > 0
    double warmth = 1;      // share of its full capacity that it certainly has
  };
  std::array<Pool, 2> pools;  // own zone and elsewhere where crossings are priced, else all in the first
  std::vector<Server> servers;
  struct Zone {  // that an attempt was ever made to
    int zone = -1;
    ZoneStage stage = ZoneStage::kServing;
    Micros in_stage = 0;   // for so long
    std::size_t dead = 0;  // distinct servers without a way or an answer, since its last answer
    Micros last = -1;      // since its last sign: an answer if dead is 0; -1 = none yet
    ZoneTold told;         // what others say of it, if they have lately
  };
  std::vector<Zone> zones;
  std::uint64_t zones_epoch = 0;  // one more with each zone left or returned to
};

// Receives what the balancer decides. Calls come from inside the event calls; do not call back into the
// Balancer.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // A timeout of 0 means until the client gives up. Attempts of a request are numbered from 0 in this order.
  virtual void Send(std::string_view request, const std::string& server, Micros timeout) = 0;
  virtual void Cancel(std::string_view request, int attempt) = 0;
  virtual void Refuse(std::string_view request, Micros retry_after, Cause why) = 0;
  virtual void Fail(std::string_view request, Cause why) = 0;
  virtual void SetTimer(Micros delay, std::uint64_t token) = 0;
  virtual void Subscribe() = 0;
  virtual void Log(std::string_view text) = 0;
};

class Balancer {
 public:
  // Returns null and sets `error` when the settings make no sense.
  static std::unique_ptr<Balancer> Create(const Settings& settings, std::uint64_t seed, Micros now,
                                          ActionSink& sink, std::string& error);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  void OnServers(Micros now, const ListUpdate& update);
  void OnRequest(Micros now, const Request& request);
  // The last byte has come of a request that had an upload before it: its times count from now.
  void OnRequestWhole(Micros now, std::string_view request, Micros budget);
  void OnResponseStarted(Micros now, std::string_view request, int attempt);
  void OnOutcome(Micros now, const Outcome& outcome);
  void OnClientGone(Micros now, std::string_view request);
  void OnTimer(Micros now, std::uint64_t token);
  void OnProbed(Micros now, const ProbeResult& probe);
  void OnPeerMessage(Micros now, std::uint32_t sender, std::string_view bytes);
  // Holds until it is told anew, or for a second at most.
  void OnZoneTold(Micros now, const ZoneTold& told);
  // All orders that hold from now on; zones that are not among them are free.
  void OnZoneOrders(Micros now, std::span<const ZoneOrder> orders);

  Beliefs Believed(Micros now) const;
  // These parts alone.
  std::vector<Beliefs::Zone> ZonesBelieved(Micros now) const;
  std::uint64_t zones_epoch() const;
  std::size_t requests_held() const;  // records kept, ended ones with an attempt still out included

 private:
  class State;
  explicit Balancer(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace merlinrun

#endif  // MERLINRUN_BALANCER_HPP_
