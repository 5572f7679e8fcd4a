#include "model/simulation.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "model/discovery_list.hpp"
#include "model/events.hpp"
#include "model/keys.hpp"
#include "model/random.hpp"
#include "model/server.hpp"

namespace merlinrun::model {
namespace {

// How long a day may continue after its end: bounds a side that never finishes.
constexpr Micros kMaxOverrun = 60'000'000;
// How often the speed of a cold server is recomputed.
constexpr Micros kSpeedRefreshInterval = 100'000;
// Bounds the actions of a side, per client request plus an allowance, to detect endless loops.
constexpr std::uint64_t kMaxActionsPerRequest = 400;
constexpr std::uint64_t kActionAllowance = 4'000'000;

// An id that fits a string without allocation: a table row and its generation, seven hex digits each.
class TableId {
 public:
  TableId(std::uint32_t row, std::uint32_t generation) {
    WriteHex(row, 0);
    WriteHex(generation, 7);
  }
  std::string_view text() const { return {text_, sizeof text_}; }

  // The row and generation; generation 0 if `text` is not a valid id.
  static std::pair<std::uint32_t, std::uint32_t> Parse(std::string_view text) {
    if (text.size() != 14) return {0, 0};
    return {ReadHex(text, 0), ReadHex(text, 7)};
  }

 private:
  // 28 bits each.
  void WriteHex(std::uint32_t value, int at) {
    for (int i = 6; i >= 0; --i, value >>= 4) text_[at + i] = "0123456789abcdef"[value & 15];
  }
  static std::uint32_t ReadHex(std::string_view text, std::size_t at) {
    std::uint32_t value = 0;
    const auto result = std::from_chars(text.data() + at, text.data() + at + 7, value, 16);
    return result.ec == std::errc() && result.ptr == text.data() + at + 7 ? value : 0;
  }
  char text_[14];
};

// A table that reuses rows. The generation of a row tells its successive uses apart.
template <typename T>
class RowTable {
 public:
  std::uint32_t Allocate() {
    std::uint32_t row = 0;
    if (free_.empty()) {
      row = static_cast<std::uint32_t>(entries_.size());
      entries_.emplace_back();
    } else {
      row = free_.back();
      free_.pop_back();
    }
    ++entries_[row].generation;
    entries_[row].live = true;
    return row;
  }
  void Free(std::uint32_t row) {
    entries_[row].live = false;
    free_.push_back(row);
  }
  T& operator[](std::uint32_t row) { return entries_[row].value; }
  std::uint32_t generation(std::uint32_t row) const { return entries_[row].generation; }
  T* Find(std::uint32_t row, std::uint64_t generation) {
    return row < entries_.size() && entries_[row].live && entries_[row].generation == generation
               ? &entries_[row].value
               : nullptr;
  }
  std::uint32_t size() const { return static_cast<std::uint32_t>(entries_.size()); }
  bool live(std::uint32_t row) const { return entries_[row].live; }

 private:
  struct Entry {
    T value;
    std::uint32_t generation = 0;
    bool live = false;
  };
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_;
};

enum Kind : std::uint32_t {
  kArrival,         // a: sidecar: one of its clients sends a request
  kRetry,           // a, b: client request
  kDeadline,        // a, b: try
  kAnswerOverdue,   // a, b: try without an answer
  kServerArrival,   // a, b: attempt
  kDependencyDone,  // a, b: attempt
  kWorkDone,        // a: server, b: generation; work may be complete, as the event can come too early
  kRefreshServer,   // a: server, b: generation; while it is cold
  kCancelAtServer,  // a, b: attempt that nobody waits for
  kOutcome,         // a, b: attempt
  kAttemptTimeout,  // a, b: attempt
  kTimer,           // a, b: timer
  kPublish,
  kDeliverList,     // a: sidecar, b: version
  kIncident,        // a: index of the incident
  kServerRestart,   // a: server
  kReplaceServer,   // a: drained server
  kDrainServer,     // a: server
  kSidecarRestart,  // a: sidecar
  kPause,           // a: server, b: generation
  kResume,          // a: server, b: generation
};

struct ClientRequest {  // a client's request, across its tries
  std::uint32_t class_index = 0;
  std::uint32_t sidecar = 0;
  std::uint64_t random_key = 0;  // key of its random streams
  std::uint32_t key_rank = 0;    // from 1; 0 = none
  Micros requested_at = 0;
  int tries = 0;
  int tries_left = 0;
  bool honours_retry_after = false;
  double work = 0;  // microseconds on a standard core
  double dependency_wait = 0;
};

struct Handle {
  std::uint32_t row = 0;
  std::uint32_t generation = 0;
};

struct ClientTry {  // one try of a client request, as a sidecar sees it
  std::uint32_t client_request = 0;
  std::uint32_t sidecar = 0;
  std::uint32_t sidecar_generation = 0;
  Micros deadline = 0;
  bool answered = false;  // the client waits no longer
  int attempts_in_flight = 0;
  std::vector<Handle> attempts;
  bool may_have_run = false;  // as far as the sidecar can know; the first attempt that may have executed:
  std::size_t first_run_server = 0;
  Micros first_run_sent = 0;
  bool executed = false;  // an attempt did execute; the first one:
  int executed_zone = 0;
  Micros executed_at = 0;
};

struct Attempt {
  std::uint32_t try_row = 0;
  std::uint32_t try_generation = 0;
  int number = 0;
  std::uint32_t sidecar = 0;
  std::uint32_t server = 0;
  std::uint32_t server_generation = 0;
  std::uint32_t class_index = 0;
  std::uint32_t key_rank = 0;
  Micros sent = 0;
  Micros deadline = 0;
  Micros return_delay = 0;  // network delay of the response
  double work = 0;
  double dependency_wait = 0;
  bool returns_error = false;
  bool awaiting_outcome = true;    // the sidecar has no outcome yet
  bool outcome_scheduled = false;  // an outcome is on its way
  bool connected = false;          // holds a connection
  Result result = Result::kSuccess;
  enum class Stage { kInTransit, kQueue, kDependencyWait, kOnCores, kGone } stage = Stage::kInTransit;
};

struct Machine {
  std::unique_ptr<Server> server;
  std::uint32_t generation = 1;  // incremented at each start and stop
  bool up = true;
  bool crashed_by_overload = false;
  std::string id;
  std::size_t kind = 0;
  int zone = 0;
  std::int64_t cell = 0;
  ServerParameters parameters;
  double error_rate = 0;
  std::uint32_t connections = 0;
  WarmKeyCache key_cache{0, 0};
  std::uint64_t pause_count = 0;  // number of pauses so far
  Micros next_work_check = 0;     // time of the valid kWorkDone event; 0 = none
  Micros stalled_until = 0;
  // Work that arrived within the overload window while cold; `informed`: from sidecars that know of the
  // start.
  struct ColdArrival {
    Micros at;
    double work;
    bool informed;
  };
  std::deque<ColdArrival> cold_arrivals;
  double cold_work = 0;
  double informed_cold_work = 0;
};

struct SidecarState {
  std::uint32_t generation = 0;
  bool up = false;
  int zone = 0;
  double rate = 0;  // requests per microsecond at a load factor of 1
  std::uint64_t requests_sent = 0;
  std::vector<Replay::Item> replay_requests;  // recorded traffic, if any
  std::size_t version = 0;                    // of its server list
  std::vector<Micros> received_at;            // by list version
  struct IdleConnections {
    std::uint32_t generation = 0;  // of the server connected to
    std::uint32_t count = 0;
  };
  std::vector<IdleConnections> idle_connections;  // by server
};

struct PendingTimer {
  std::uint32_t sidecar = 0;
  std::uint32_t sidecar_generation = 0;
  std::uint64_t token = 0;
};

class Simulation : private Actions {
 public:
  Simulation(const Scenario& scenario, std::uint64_t seed, const Side& side, const Replay* replay)
      : seed_(seed),
        replay_(replay),
        day_(DrawDay(scenario, seed)),
        side_(side),
        settings_(SettingsOf(day_)),
        scorer_(day_),
        length_(MicrosOf(day_.length_s, kSecond)),
        tick_(MicrosOf(day_.tick_ms, kMillisecond)),
        drain_grace_(MicrosOf(day_.drain_grace_ms, kMillisecond)),
        overload_window_(MicrosOf(day_.fall_s, kSecond)),
        events_(BucketShift(day_)),
        discovery_(std::max<Micros>(MicrosOf(day_.period_ms, kMillisecond), 1)),
        key_distribution_(static_cast<std::size_t>(day_.keys.low), day_.key_skew.low) {
    settings_.tuning = side.tuning;
    if (!side.cold_care) settings_.cold_start_capacity = 1;
    if (!side.warm_care) settings_.warm_keys = false;
  }

  DayResult Run() {
    BuildFleet();
    sidecars_ = side_.make_sidecars(*this);
    for (std::uint32_t i = 0; i < sidecar_states_.size(); ++i) StartSidecar(i);
    sidecars_->Flush(0);
    while (!events_.empty() && fault_.empty()) {
      now_ = events_.Top().at;
      if (now_ > length_ + kMaxOverrun) break;
      // With ticks, sidecars receive all events of a tick as one batch; otherwise each event is a batch.
      do {
        ++scorer_.result().events;
        Dispatch(events_.Pop());
      } while (tick_ > 0 && !events_.empty() && events_.Top().at == now_);
      sidecars_->Flush(now_);
      CheckActionLimit();
    }
    scorer_.result().seed = seed_;
    scorer_.result().fault = fault_;
    return scorer_.Finish();
  }

 private:
  // ---- Setup ----

  // Aims for ten events per bucket, assuming about eight events per request.
  static int BucketShift(const Scenario& day) {
    const double a_second = std::max(day.requests_per_s.low * 8, 1.0);
    int shift = 0;
    while (shift < 14 && static_cast<double>(2 << shift) * a_second / kSecond < 10) ++shift;
    return shift;
  }

  void BuildFleet() {
    const auto zones = static_cast<int>(day_.data_centres.low);
    max_load_factor_ = MaxLoadFactor();
    work_distribution_.reserve(day_.classes.size());
    double shares = 0;
    double work = 0;
    for (const TrafficClass& c : day_.classes) {
      work_distribution_.emplace_back(c.work_ms.low * kMillisecond, c.cv.low);
      wait_distribution_.emplace_back(c.wait_ms.low * kMillisecond,
                                      0.5);  // dependencies vary less than work
      attempt_noise_.emplace_back(1, c.attempt_cv.low);
      shares += c.share.low;
      work += c.share.low * c.work_ms.low * kMillisecond;
    }
    mean_work_ = work / shares;
    double at = 0;
    for (const TrafficClass& c : day_.classes) cumulative_class_share_.push_back(at += c.share.low / shares);
    choke_enabled_ = RandomStream(seed_, Purpose::kServer, 1'000'000'000).Bernoulli(day_.choke_share.low);

    std::vector<ServerInfo> list;
    const auto servers = static_cast<std::size_t>(day_.servers.low);
    for (std::size_t i = 0; i < servers; ++i) {
      AddMachine(static_cast<int>(i % static_cast<std::size_t>(zones)), -1, 0);
      list.push_back(InfoOf(i, ServerInfo::State::kHealthy));
    }
    discovery_.Initialize(std::move(list));

    const auto sidecars = static_cast<std::size_t>(day_.sidecars.low);
    sidecar_states_.resize(sidecars);
    const Lognormal rate_distribution(1, day_.sidecar_cv.low);
    double sum = 0;
    for (std::size_t i = 0; i < sidecars; ++i) {
      SidecarState& sidecar = sidecar_states_[i];
      sidecar.zone = static_cast<int>(i % static_cast<std::size_t>(zones));
      RandomStream draws(seed_, Purpose::kSidecar, i);
      sidecar.rate = rate_distribution(draws) * (sidecar.zone == 0 ? 1 + day_.zone_skew.low : 1);
      sum += sidecar.rate;
    }
    for (std::uint32_t i = 0; i < sidecars; ++i) {
      sidecar_states_[i].rate *= day_.requests_per_s.low / sum / kSecond;
      sidecar_states_[i].received_at = {0};
      arrivals_.emplace_back(seed_, Purpose::kArrivals, i);
      if (replay_ != nullptr)
        sidecar_states_[i].replay_requests = SidecarTraffic(*replay_, i, seed_, length_);
      ScheduleArrival(i, 0);
    }
    RandomStream shape(seed_, Purpose::kLoadPhase);
    load_phase_ = shape.Uniform();
    for (std::uint32_t i = 0; i < day_.incidents.size(); ++i)
      Push(MicrosOf(day_.incidents[i].at_s, kSecond), kIncident, i);
  }

  void AddMachine(int zone, int kind, Micros started) {
    const std::size_t index = machines_.size();
    RandomStream draws(seed_, Purpose::kServer, index);
    Machine machine;
    char id[24];
    std::snprintf(id, sizeof id, "%08x%06zx", static_cast<unsigned>(draws.Next() >> 32),
                  std::min<std::size_t>(index, 0xffffff));
    machine.id = id;
    double sum = 0;
    for (const ServerKind& k : day_.kinds) sum += k.share.low;
    double at = draws.Uniform() * sum;
    while (at >= day_.kinds[machine.kind].share.low && machine.kind + 1 < day_.kinds.size())
      at -= day_.kinds[machine.kind++].share.low;
    if (kind >= 0) machine.kind = static_cast<std::size_t>(kind);
    machine.zone = zone;
    machine.cell = static_cast<std::int64_t>(static_cast<double>(index) / std::max(day_.cell_size.low, 1.0));
    const ServerKind& k = day_.kinds[machine.kind];
    ServerParameters& f = machine.parameters;
    f.cores = std::floor(k.cores.low);
    f.speed = k.speed.low * Lognormal(1, k.speed_cv.low)(draws);
    f.slots = static_cast<std::size_t>(f.cores * k.slots_per_core.low);
    f.queue = static_cast<std::size_t>(f.cores * k.queue_per_core.low);
    f.thrash = k.thrash.low;
    f.thrash_at = k.thrash_at.low;
    f.cold_share = k.cold_share.low;
    f.warmup_time = MicrosOf(k.cold_s, kSecond);
    f.connections = static_cast<std::uint32_t>(f.cores * day_.connections_per_core.low);
    f.chokes = choke_enabled_;
    f.choke_at = day_.choke_at.low;
    f.choke_after = MicrosOf(day_.choke_over_s, kSecond);
    f.choke_slowdown = day_.choke_slower.low;
    f.choke_recovery = MicrosOf(day_.choke_rest_s, kSecond);
    f.choke_below = day_.choke_below.low;
    f.choke_max = MicrosOf(day_.choke_most_s, kSecond);
    machine.error_rate = k.error_rate.low;
    // A server from before the day is already warm.
    machine.server = std::make_unique<Server>(f, started > 0 ? started : -f.warmup_time);
    machine.key_cache = EmptyKeyCache(machine);
    machines_.push_back(std::move(machine));
    SchedulePause(static_cast<std::uint32_t>(index));
  }

  ServerInfo InfoOf(std::size_t index, ServerInfo::State state) const {
    const Machine& machine = machines_[index];
    ServerInfo info;
    info.id = machine.id;
    info.zone = machine.zone;
    info.machine_type = static_cast<int>(machine.kind);
    info.cell = machine.cell;
    if (day_.sizes.low >= 1) info.weight = machine.parameters.cores;
    info.started = std::max<Micros>(machine.server->started(), 0);
    info.state = state;
    return info;
  }

  // ---- Events ----

  void Push(Micros at, Kind kind, std::uint32_t a = 0, std::uint32_t b = 0) {
    events_.Push({at, kind, a, b});
  }
  // When a sidecar sees an event of time `at`.
  Micros AlignToTick(Micros at) const { return tick_ > 0 ? (at + tick_ - 1) / tick_ * tick_ : at; }

  // The event's server is up and has not restarted since.
  bool TargetsLiveServer(const Event& event) const {
    return machines_[event.a].generation == event.b && machines_[event.a].up;
  }

  void Dispatch(const Event& event) {
    const std::uint32_t a = event.a;
    switch (static_cast<Kind>(event.kind())) {
      case kArrival:
        return OnArrival(a);
      case kRetry:
        if (ClientRequest* const client_request = client_requests_.Find(a, event.b))
          StartTry(a, *client_request);
        return;
      case kDeadline:
        if (ClientTry* const client_try = tries_.Find(a, event.b)) OnDeadline(a, *client_try);
        return;
      case kAnswerOverdue:
        if (ClientTry* const client_try = tries_.Find(a, event.b)) OnAnswerOverdue(a, *client_try);
        return;
      case kServerArrival:
        if (Attempt* const attempt = attempts_.Find(a, event.b)) OnServerArrival(a, *attempt);
        return;
      case kDependencyDone:
        if (Attempt* const attempt = attempts_.Find(a, event.b)) OnDependencyDone(a, *attempt);
        return;
      case kWorkDone:
        if (machines_[a].next_work_check == now_ && machines_[a].generation == event.b) OnWorkDone(a);
        return;
      case kRefreshServer:
        if (TargetsLiveServer(event)) RefreshServer(a);
        return;
      case kCancelAtServer:
        if (Attempt* const attempt = attempts_.Find(a, event.b)) CancelAtServer(a, *attempt);
        return;
      case kOutcome:
        if (Attempt* const attempt = attempts_.Find(a, event.b);
            attempt != nullptr && attempt->awaiting_outcome)
          DeliverOutcome(a, *attempt);
        return;
      case kAttemptTimeout:
        if (Attempt* const attempt = attempts_.Find(a, event.b);
            attempt != nullptr && attempt->awaiting_outcome) {
          AbandonAttempt(a, *attempt, Result::kTimeout);
          DeliverOutcome(a, *attempt);
        }
        return;
      case kTimer:
        if (timers_.Find(a, event.b) != nullptr) OnTimer(a);
        return;
      case kPublish:
        return Publish();
      case kDeliverList:
        return DeliverList(a, event.b);
      case kIncident:
        return StartIncident(day_.incidents[a], a);
      case kServerRestart:
        return RestartServer(a);
      case kDrainServer:
        return DrainServer(a);
      case kReplaceServer:
        return ReplaceServer(a);
      case kSidecarRestart:
        return StartSidecar(a);
      case kPause:
        if (TargetsLiveServer(event)) PauseServer(a);
        return;
      case kResume:
        if (TargetsLiveServer(event)) ResumeServer(a);
        return;
    }
  }

  void CheckActionLimit() {
    if (actions_ > kActionAllowance + kMaxActionsPerRequest * scorer_.result().requests)
      Fault("it acts without end");
  }

  // ---- Clients ----

  double LoadFactor(Micros at) const {
    const double phase = static_cast<double>(at) / (day_.swing_period_s.low * kSecond) + load_phase_;
    const double wave = 4 * std::fabs(phase - std::floor(phase) - 0.5) - 1;  // triangle wave from -1 to 1
    double shape = 1 + day_.swing.low * wave;
    for (const Incident& incident : day_.incidents) {
      if (!IsActive(incident, Incident::Kind::kLaunch, at)) continue;
      const Micros from = MicrosOf(incident.at_s, kSecond);
      const double ramp_progress =
          incident.ramp_s.low > 0
              ? std::min(1.0, static_cast<double>(at - from) / (incident.ramp_s.low * kSecond))
              : 1;
      shape *= 1 + (incident.size.low - 1) * ramp_progress;
    }
    return shape;
  }

  static bool IsActive(const Incident& incident, Incident::Kind kind, Micros at) {
    const Micros from = MicrosOf(incident.at_s, kSecond);
    return incident.kind == kind && at >= from && at < from + MicrosOf(incident.len_s, kSecond);
  }

  // Upper bound of LoadFactor. Arrivals are drawn at this rate and thinned.
  double MaxLoadFactor() const {
    double max_factor = 1 + day_.swing.low;
    for (const Incident& incident : day_.incidents)
      if (incident.kind == Incident::Kind::kLaunch) max_factor *= std::max(1.0, incident.size.low);
    return max_factor;
  }

  void ScheduleArrival(std::uint32_t sidecar, Micros from) {
    if (replay_ != nullptr) {
      const SidecarState& sidecar_state = sidecar_states_[sidecar];
      if (sidecar_state.requests_sent < sidecar_state.replay_requests.size())
        Push(sidecar_state.replay_requests[sidecar_state.requests_sent].at, kArrival, sidecar);
      return;
    }
    RandomStream& draws = arrivals_[sidecar];
    const double max_factor = max_load_factor_;
    if (!(sidecar_states_[sidecar].rate > 0)) return;
    double at = static_cast<double>(from);
    do {
      at += draws.Exponential(1 / (sidecar_states_[sidecar].rate * max_factor));
      if (at >= static_cast<double>(length_)) return;
    } while (!draws.Bernoulli(LoadFactor(static_cast<Micros>(at)) / max_factor));
    Push(static_cast<Micros>(at), kArrival, sidecar);
  }

  void OnArrival(std::uint32_t sidecar) {
    const std::uint32_t row = client_requests_.Allocate();
    ClientRequest& client_request = client_requests_[row];
    client_request = {};
    client_request.sidecar = sidecar;
    client_request.random_key = Hash(sidecar, ++sidecar_states_[sidecar].requests_sent);
    client_request.requested_at = now_;
    RandomStream draws(seed_, Purpose::kRequest, client_request.random_key);
    if (key_distribution_.enabled()) {
      RandomStream key_draws(seed_, Purpose::kKey, client_request.random_key);
      client_request.key_rank = key_distribution_(key_draws);
    }
    const double which = draws.Uniform();
    while (client_request.class_index + 1 < cumulative_class_share_.size() &&
           which >= cumulative_class_share_[client_request.class_index])
      ++client_request.class_index;
    const double retries = day_.retries.low;
    client_request.tries_left =
        static_cast<int>(retries) + (draws.Bernoulli(retries - std::floor(retries)) ? 1 : 0);
    if (replay_ != nullptr) {  // the recording includes retries
      client_request.class_index =
          sidecar_states_[sidecar].replay_requests[sidecar_states_[sidecar].requests_sent - 1].class_index;
      client_request.tries_left = 0;
    }
    client_request.honours_retry_after = draws.Bernoulli(day_.honour.low);
    client_request.work = work_distribution_[client_request.class_index](draws);
    client_request.dependency_wait = wait_distribution_[client_request.class_index](draws);
    const double expensive_draw = draws.Uniform();
    for (const Incident& incident : day_.incidents) {
      const bool active = IsActive(incident, Incident::Kind::kClassExpensive, now_);
      const bool this_class = incident.target_class.empty() ||
                              incident.target_class == day_.classes[client_request.class_index].name;
      if (active && this_class && expensive_draw < incident.part.low)
        client_request.work *= incident.size.low;
    }
    scorer_.RecordRequest(client_request.class_index, now_);
    ScheduleArrival(sidecar, now_);
    StartTry(row, client_request);
  }

  void StartTry(std::uint32_t row, ClientRequest& client_request) {
    ++client_request.tries;
    ++scorer_.result().tries;
    SidecarState& sidecar = sidecar_states_[client_request.sidecar];
    if (!sidecar.up) return OnTryFailed(row, client_request, /*may_retry=*/true, 0);
    const TrafficClass& c = day_.classes[client_request.class_index];
    const Micros request_deadline = client_request.requested_at + MicrosOf(c.deadline_ms, kMillisecond);
    const Micros try_timeout = static_cast<Micros>(c.deadline_ms.low * kMillisecond * day_.try_share.low);
    const std::uint32_t new_row = tries_.Allocate();
    ClientTry& client_try = tries_[new_row];
    std::vector<Handle> attempts = std::move(client_try.attempts);  // reuses its memory
    attempts.clear();
    client_try = {};
    client_try.attempts = std::move(attempts);
    client_try.client_request = row;
    client_try.sidecar = client_request.sidecar;
    client_try.sidecar_generation = sidecar.generation;
    const Micros starts_at = AlignToTick(now_);
    client_try.deadline = std::min(request_deadline, starts_at + try_timeout);
    Push(AlignToTick(client_try.deadline), kDeadline, new_row, tries_.generation(new_row));
    Request request;
    const TableId id(new_row, tries_.generation(new_row));
    request.id = id.text();
    request.request_class = static_cast<int>(client_request.class_index);
    request.budget = client_try.deadline - now_;
    request.write = c.repeat != RetrySafety::kSafe;
    const TableId key(client_request.key_rank, 1);
    if (client_request.key_rank > 0) request.key = key.text();
    sidecars_->OnRequest(client_request.sidecar, now_, request);
  }

  // A try ended without a response from a server: the client retries or gives up.
  void OnTryFailed(std::uint32_t row, ClientRequest& client_request, bool may_retry, Micros retry_after) {
    const TrafficClass& c = day_.classes[client_request.class_index];
    RandomStream draws(seed_, Purpose::kRetry, client_request.random_key,
                       static_cast<std::uint64_t>(client_request.tries));
    const double backoff =
        day_.backoff_ms.low * kMillisecond * static_cast<double>(1 << std::min(client_request.tries - 1, 10));
    Micros wait = static_cast<Micros>(backoff * draws.UniformBetween(0.5, 1.5));
    if (retry_after > 0 && client_request.honours_retry_after) wait = retry_after;
    const Micros request_deadline = client_request.requested_at + MicrosOf(c.deadline_ms, kMillisecond);
    if (!may_retry || client_request.tries_left == 0 || now_ + wait >= request_deadline)
      return client_requests_.Free(row);
    --client_request.tries_left;
    Push(now_ + wait, kRetry, row, client_requests_.generation(row));
  }

  // ---- Tries ----

  ClientTry* FindTry(std::uint32_t sidecar, std::string_view request) {
    ++actions_;
    const auto [row, generation] = TableId::Parse(request);
    if (sidecar >= sidecar_states_.size()) return nullptr;
    ClientTry* const client_try = generation == 0 ? nullptr : tries_.Find(row, generation);
    return client_try != nullptr && client_try->sidecar == sidecar &&
                   client_try->sidecar_generation == sidecar_states_[sidecar].generation
               ? client_try
               : nullptr;
  }
  std::uint32_t RowOf(std::string_view request) const { return TableId::Parse(request).first; }

  void MarkAnswered(std::uint32_t row, ClientTry& client_try) {
    client_try.answered = true;
    FreeIfComplete(row, client_try);
  }
  void FreeIfComplete(std::uint32_t row, ClientTry& client_try) {
    if (client_try.answered && client_try.attempts_in_flight == 0) tries_.Free(row);
  }

  void Refuse(std::uint32_t sidecar, std::string_view request, Micros retry_after) override {
    ClientTry* const client_try = FindTry(sidecar, request);
    if (client_try == nullptr || client_try->answered) return;
    ClientRequest& client_request = client_requests_[client_try->client_request];
    const TrafficClass& c = day_.classes[client_request.class_index];
    const bool safe_to_retry = !client_try->may_have_run || c.repeat == RetrySafety::kSafe ||
                               (c.repeat == RetrySafety::kDeduplicated && c.group == DedupScope::kAll &&
                                now_ < client_try->first_run_sent + MicrosOf(c.window_s, kSecond));
    if (!safe_to_retry) scorer_.RecordViolation(2, c.name + " was refused after it may have run");
    ++scorer_.result().refused;
    const std::uint32_t request_row = client_try->client_request;
    MarkAnswered(RowOf(request), *client_try);
    OnTryFailed(request_row, client_request, true,
                std::min(retry_after, MicrosOf(day_.max_retry_after_ms, kMillisecond)));
  }

  void Fail(std::uint32_t sidecar, std::string_view request) override {
    if (ClientTry* const client_try = FindTry(sidecar, request);
        client_try != nullptr && !client_try->answered)
      FailTry(RowOf(request), *client_try);
  }

  void FailTry(std::uint32_t row, ClientTry& client_try) {
    ++scorer_.result().failed;
    ClientRequest& client_request = client_requests_[client_try.client_request];
    const TrafficClass& c = day_.classes[client_request.class_index];
    const bool may_retry = c.repeat == RetrySafety::kSafe ||
                           (c.repeat == RetrySafety::kDeduplicated && c.group == DedupScope::kAll);
    const std::uint32_t request_row = client_try.client_request;
    MarkAnswered(row, client_try);
    OnTryFailed(request_row, client_request, may_retry, 0);
  }

  // The client's deadline: attempts in flight time out, and an answer is due at once.
  void OnDeadline(std::uint32_t row, ClientTry& client_try) {
    if (client_try.answered) return;
    const std::uint32_t generation = tries_.generation(row);
    for (std::size_t i = 0; tries_.Find(row, generation) != nullptr && i < tries_[row].attempts.size(); ++i) {
      const Handle handle = tries_[row].attempts[i];
      Attempt* const attempt = attempts_.Find(handle.row, handle.generation);
      if (attempt == nullptr || !attempt->awaiting_outcome) continue;
      AbandonAttempt(handle.row, *attempt, Result::kTimeout);
      DeliverOutcome(handle.row, *attempt);
    }
    if (tries_.Find(row, generation) != nullptr && !tries_[row].answered)
      Push(AlignToTick(now_ + MicrosOf(day_.answer_slack_ms, kMillisecond)), kAnswerOverdue, row, generation);
  }

  void OnAnswerOverdue(std::uint32_t row, ClientTry& client_try) {
    if (client_try.answered) return;
    scorer_.RecordViolation(1, day_.classes[client_requests_[client_try.client_request].class_index].name +
                                   " had no answer when its time was up");
    const std::uint32_t sidecar = client_try.sidecar;
    const TableId id(row, tries_.generation(row));
    FailTry(row, client_try);
    sidecars_->OnClientGone(sidecar, now_, id.text());
  }

  // ---- Attempts ----

  std::optional<std::uint32_t> FindServer(std::string_view id) const {
    std::uint32_t index = 0;
    if (id.size() != 14) return std::nullopt;
    const auto result = std::from_chars(id.data() + 8, id.data() + 14, index, 16);
    if (result.ec != std::errc() || index >= machines_.size() || machines_[index].id != id)
      return std::nullopt;
    return index;
  }

  void Send(std::uint32_t sidecar, std::string_view request, std::string_view server,
            Micros timeout) override {
    ClientTry* const client_try = FindTry(sidecar, request);
    const auto index = FindServer(server);
    if (client_try == nullptr) return Fault("it sends a request that it does not hold");
    if (!index) return Fault("it sends to a server that was never listed");
    CheckSend(*client_try, *index, sidecar);
    const std::uint32_t try_row = RowOf(request);
    const std::uint32_t row = attempts_.Allocate();
    Attempt& attempt = attempts_[row];
    attempt = {};
    attempt.try_row = try_row;
    attempt.try_generation = tries_.generation(try_row);
    attempt.number = static_cast<int>(client_try->attempts.size());
    attempt.sidecar = sidecar;
    attempt.server = *index;
    attempt.server_generation = machines_[*index].generation;
    attempt.sent = now_;
    client_try->attempts.push_back({row, attempts_.generation(row)});
    ++client_try->attempts_in_flight;
    if (client_try->answered || attempt.number >= static_cast<int>(day_.max_attempts.low))
      return ScheduleOutcome(row, attempt, Result::kNeverSent, now_);
    ++scorer_.result().attempts;
    if (!std::exchange(client_try->may_have_run, true)) {  // until an outcome proves the opposite
      client_try->first_run_server = *index;
      client_try->first_run_sent = now_;
    }
    StartAttempt(row, attempt, client_requests_[client_try->client_request], timeout, client_try->deadline);
  }

  // Checks rules 2 and 3 as far as they can be seen when an attempt is sent, and that none is sent after the
  // answer (rule 1).
  void CheckSend(const ClientTry& client_try, std::uint32_t index, std::uint32_t sidecar) {
    const TrafficClass& c = day_.classes[client_requests_[client_try.client_request].class_index];
    if (client_try.answered) scorer_.RecordViolation(1, c.name + " was sent after its answer");
    if (client_try.attempts_in_flight > 0)
      scorer_.RecordViolation(2, c.name + " had two attempts out at once");
    if (client_try.may_have_run && c.repeat == RetrySafety::kNever)
      scorer_.RecordViolation(2, c.name + " was sent again after it may have run");
    if (client_try.may_have_run && c.repeat == RetrySafety::kDeduplicated) {
      const Machine& first = machines_[client_try.first_run_server];
      const Machine& target = machines_[index];
      const bool in_scope = c.group == DedupScope::kAll ||
                            (c.group == DedupScope::kZone && first.zone == target.zone) ||
                            (c.group == DedupScope::kCell && first.cell == target.cell);
      if (!in_scope || now_ >= client_try.first_run_sent + MicrosOf(c.window_s, kSecond))
        scorer_.RecordViolation(2, c.name + " was sent outside its group or window after it may have run");
    }
    const auto out_of_service_since = discovery_.OutOfServiceSince(index, sidecar_states_[sidecar].version);
    if (out_of_service_since &&
        now_ > sidecar_states_[sidecar].received_at[*out_of_service_since] + drain_grace_)
      scorer_.RecordViolation(3,
                              "a server was sent something later than the grace after it was told to drain");
  }

  void StartAttempt(std::uint32_t row, Attempt& attempt, const ClientRequest& client_request, Micros timeout,
                    Micros deadline) {
    SidecarState& sidecar = sidecar_states_[attempt.sidecar];
    Machine& machine = machines_[attempt.server];
    RandomStream draws(seed_, Purpose::kAttempt,
                       Hash(client_request.random_key, 64 * static_cast<std::uint64_t>(client_request.tries) +
                                                           static_cast<std::uint64_t>(attempt.number)),
                       attempt.server);
    const double one_way =
        (sidecar.zone == machine.zone ? day_.same_ms.low : day_.cross_ms.low) * kMillisecond;
    const auto delay = [&] {
      return static_cast<Micros>(one_way * (1 + draws.Exponential(day_.jitter.low))) + 1;
    };
    if (sidecar.zone != machine.zone) ++scorer_.result().cross_zone_attempts;
    const Micros request_delay = delay();
    attempt.return_delay = delay();
    attempt.class_index = client_request.class_index;
    attempt.key_rank = client_request.key_rank;
    attempt.dependency_wait = client_request.dependency_wait;
    attempt.work = client_request.work * attempt_noise_[client_request.class_index](draws);
    attempt.returns_error = draws.Bernoulli(machine.error_rate);
    attempt.deadline = timeout > 0 ? std::min(deadline, now_ + timeout) : deadline;
    if (timeout < 0) attempt.deadline = now_;
    if (!machine.up)
      return ScheduleOutcome(row, attempt, Result::kUnreachable, now_ + request_delay + attempt.return_delay);
    if (sidecar.idle_connections.size() <= attempt.server) sidecar.idle_connections.resize(machines_.size());
    SidecarState::IdleConnections& idle_connections = sidecar.idle_connections[attempt.server];
    if (idle_connections.generation != machine.generation) idle_connections = {machine.generation, 0};
    Micros arrives = now_ + request_delay;
    if (idle_connections.count > 0) {
      --idle_connections.count;
    } else if (machine.connections >= machine.parameters.connections) {
      return ScheduleOutcome(row, attempt, Result::kUnreachable, now_ + request_delay + attempt.return_delay);
    } else {
      ++machine.connections;
      ++scorer_.result().connections;
      arrives += static_cast<Micros>(day_.handshake_rtts.low *
                                     static_cast<double>(request_delay + attempt.return_delay));
      attempt.work += day_.handshake_ms.low * kMillisecond;
    }
    attempt.connected = true;
    if (attempt.deadline < deadline)
      Push(AlignToTick(attempt.deadline), kAttemptTimeout, row, attempts_.generation(row));
    Push(arrives, kServerArrival, row, attempts_.generation(row));
  }

  // Schedules the outcome, which reaches the sidecar at `at`.
  void ScheduleOutcome(std::uint32_t row, Attempt& attempt, Result result, Micros at) {
    if (!attempt.awaiting_outcome || attempt.outcome_scheduled) return;
    attempt.outcome_scheduled = true;
    attempt.result = result;
    Push(std::max(AlignToTick(at), now_), kOutcome, row, attempts_.generation(row));
  }

  // The sidecar stops waiting: it closes the connection and the server is notified.
  void AbandonAttempt(std::uint32_t row, Attempt& attempt, Result result) {
    attempt.result = result;
    if (attempt.connected) CloseConnection(attempt);
    if (attempt.stage != Attempt::Stage::kGone)
      Push(std::max(now_ + attempt.return_delay, attempt.sent + 1), kCancelAtServer, row,
           attempts_.generation(row));
  }

  void CloseConnection(Attempt& attempt) {
    attempt.connected = false;
    Machine& machine = machines_[attempt.server];
    if (machine.generation == attempt.server_generation) --machine.connections;
  }

  void DeliverOutcome(std::uint32_t row, Attempt& attempt) {
    attempt.awaiting_outcome = false;
    if (attempt.connected) {
      if (attempt.result == Result::kReset) {
        attempt.connected = false;  // closed when the server stopped
      } else if (machines_[attempt.server].generation == attempt.server_generation) {
        ++sidecar_states_[attempt.sidecar].idle_connections[attempt.server].count;
        attempt.connected = false;
      }
    }
    const std::uint32_t try_row = attempt.try_row;
    ClientTry* const client_try = tries_.Find(try_row, attempt.try_generation);
    const Attempt concluded = attempt;
    if (attempt.stage == Attempt::Stage::kGone) attempts_.Free(row);
    if (client_try == nullptr) return;
    --client_try->attempts_in_flight;
    ClearIfNeverRan(*client_try, concluded);
    if (concluded.result == Result::kSuccess && !client_try->answered) {
      ClientRequest& client_request = client_requests_[client_try->client_request];
      scorer_.RecordResponse(client_request.class_index, client_request.requested_at, now_);
      client_requests_.Free(client_try->client_request);
      client_try->answered = true;
    }
    const TableId id(try_row, concluded.try_generation);
    Outcome outcome;
    outcome.request = id.text();
    outcome.attempt = concluded.number;
    outcome.result = concluded.result;
    outcome.elapsed = now_ - concluded.sent;
    outcome.request_done = client_try->answered;
    const bool up = sidecar_states_[concluded.sidecar].up &&
                    client_try->sidecar_generation == sidecar_states_[concluded.sidecar].generation;
    FreeIfComplete(try_row, *client_try);
    if (up) sidecars_->OnOutcome(concluded.sidecar, now_, outcome, machines_[concluded.server].id);
  }

  // An outcome that proves that the first attempt in doubt never ran clears the doubt.
  static void ClearIfNeverRan(ClientTry& client_try, const Attempt& attempt) {
    const bool never_ran = attempt.result == Result::kRefused || attempt.result == Result::kUnreachable ||
                           attempt.result == Result::kNeverSent;
    if (never_ran && client_try.first_run_server == attempt.server &&
        client_try.first_run_sent == attempt.sent)
      client_try.may_have_run = false;
  }

  void Cancel(std::uint32_t sidecar, std::string_view request, int number) override {
    ClientTry* const client_try = FindTry(sidecar, request);
    if (client_try == nullptr || number < 0 ||
        static_cast<std::size_t>(number) >= client_try->attempts.size())
      return;
    const Handle handle = client_try->attempts[static_cast<std::size_t>(number)];
    Attempt* const attempt = attempts_.Find(handle.row, handle.generation);
    if (attempt == nullptr || !attempt->awaiting_outcome || attempt->outcome_scheduled) return;
    AbandonAttempt(handle.row, *attempt, Result::kCancelled);
    attempt->outcome_scheduled = true;
    Push(now_, kOutcome, handle.row, handle.generation);
  }

  void SetTimer(std::uint32_t sidecar, Micros delay, std::uint64_t token) override {
    ++actions_;
    if (sidecar >= sidecar_states_.size() || !sidecar_states_[sidecar].up)
      return Fault("it acts for a sidecar that does not run");
    const std::uint32_t row = timers_.Allocate();
    timers_[row] = {sidecar, sidecar_states_[sidecar].generation, token};
    Push(AlignToTick(now_ + std::max<Micros>(delay, tick_ > 0 ? 1 : 0)), kTimer, row,
         timers_.generation(row));
  }
  void OnTimer(std::uint32_t row) {
    const PendingTimer timer = timers_[row];
    timers_.Free(row);
    if (sidecar_states_[timer.sidecar].up &&
        sidecar_states_[timer.sidecar].generation == timer.sidecar_generation)
      sidecars_->OnTimer(timer.sidecar, now_, timer.token);
  }

  void Fault(std::string message) override {
    if (fault_.empty()) fault_ = std::move(message);
  }

  // ---- Servers ----

  std::uint64_t PackHandle(std::uint32_t row) const {
    return static_cast<std::uint64_t>(attempts_.generation(row)) << 32 | row;
  }
  auto IsAtStage(Attempt::Stage expected_stage) {
    return [this, expected_stage](std::uint64_t packed_handle) {
      const Attempt* const attempt =
          attempts_.Find(static_cast<std::uint32_t>(packed_handle), packed_handle >> 32);
      return attempt != nullptr && attempt->stage == expected_stage;
    };
  }

  void RemoveFromServer(std::uint32_t row, Attempt& attempt) {
    attempt.stage = Attempt::Stage::kGone;
    if (!attempt.awaiting_outcome) attempts_.Free(row);
  }

  void OnServerArrival(std::uint32_t row, Attempt& attempt) {
    if (attempt.stage == Attempt::Stage::kGone) return;
    Machine& machine = machines_[attempt.server];
    if (machine.generation != attempt.server_generation || !machine.up)
      return;  // kReset is already scheduled
    CheckColdOverload(attempt);
    if (!machine.up) return;
    ClientTry* const client_try = tries_.Find(attempt.try_row, attempt.try_generation);
    if (!attempt.awaiting_outcome || now_ < machine.stalled_until) {  // cancelled, or the server is stalled
      if (!attempt.awaiting_outcome) RemoveFromServer(row, attempt);
      return;
    }
    if (client_try != nullptr && client_try->executed && IsDuplicate(*client_try, attempt)) {
      ScheduleOutcome(row, attempt, Result::kSuccess,
                      now_ + attempt.return_delay);  // deduplicated
      return RemoveFromServer(row, attempt);
    }
    switch (machine.server->Admit(now_, PackHandle(row))) {
      case Server::Admission::kSlot:
        StartOnSlot(row, attempt);
        break;
      case Server::Admission::kQueue:
        attempt.stage = Attempt::Stage::kQueue;
        break;
      case Server::Admission::kRejected:
        ScheduleOutcome(row, attempt, Result::kRefused, now_ + attempt.return_delay);
        RemoveFromServer(row, attempt);
        break;
    }
    ScheduleWorkCheck(attempt.server);
  }

  bool IsDuplicate(const ClientTry& client_try, const Attempt& attempt) const {
    const TrafficClass& c = day_.classes[attempt.class_index];
    return c.repeat == RetrySafety::kDeduplicated &&
           client_try.executed_zone == machines_[attempt.server].zone &&
           now_ < client_try.executed_at + MicrosOf(c.window_s, kSecond);
  }

  // The attempt has a slot: waits for dependencies, then needs a core.
  void StartOnSlot(std::uint32_t row, Attempt& attempt) {
    attempt.stage = Attempt::Stage::kDependencyWait;
    if (ClientTry* const client_try = tries_.Find(attempt.try_row, attempt.try_generation);
        client_try != nullptr && !client_try->executed) {
      client_try->executed = true;
      client_try->executed_zone = machines_[attempt.server].zone;
      client_try->executed_at = now_;
    }
    if (attempt.key_rank > 0 && machines_[attempt.server].key_cache.Access(attempt.key_rank, now_))
      attempt.work *= 1 - day_.warm_gain.low;
    Push(now_ + static_cast<Micros>(attempt.dependency_wait), kDependencyDone, row,
         attempts_.generation(row));
  }

  void OnDependencyDone(std::uint32_t row, Attempt& attempt) {
    if (attempt.stage != Attempt::Stage::kDependencyWait) return;
    attempt.stage = Attempt::Stage::kOnCores;
    machines_[attempt.server].server->StartWork(now_, PackHandle(row), attempt.work);
    ScheduleWorkCheck(attempt.server);
  }

  // Schedules an event at the next completion of work. If a later change delays the completion, the event
  // already scheduled is kept: it comes too early, may find nothing complete, and schedules the next one.
  void ScheduleWorkCheck(std::uint32_t index) {
    Machine& machine = machines_[index];
    const Micros due = machine.server->NextCompletion(now_);
    if (due == 0 || (machine.next_work_check > now_ && machine.next_work_check <= due)) return;
    machine.next_work_check = due;
    Push(due, kWorkDone, index, machine.generation);
  }

  void OnWorkDone(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.next_work_check = 0;
    finished_.clear();
    machine.server->CollectFinished(now_, IsAtStage(Attempt::Stage::kOnCores), finished_);
    for (const std::uint64_t packed_handle : finished_) {
      const auto row = static_cast<std::uint32_t>(packed_handle);
      Attempt& attempt = attempts_[row];
      attempt.stage = Attempt::Stage::kGone;
      if (now_ >= machine.stalled_until)
        ScheduleOutcome(row, attempt, attempt.returns_error ? Result::kError : Result::kSuccess,
                        now_ + attempt.return_delay);
      RemoveFromServer(row, attempt);
      StartNextQueued(index, /*on_core=*/true);
    }
    ScheduleWorkCheck(index);
  }

  // Frees a slot and starts the next queued attempt.
  void StartNextQueued(std::uint32_t index, bool on_core) {
    const auto next = machines_[index].server->ReleaseSlot(now_, on_core, IsAtStage(Attempt::Stage::kQueue));
    if (next) StartOnSlot(static_cast<std::uint32_t>(*next), attempts_[static_cast<std::uint32_t>(*next)]);
  }

  // The attempt was cancelled: the server stops its work.
  void CancelAtServer(std::uint32_t row, Attempt& attempt) {
    const Attempt::Stage stage = attempt.stage;
    const std::uint32_t index = attempt.server;
    const bool server_alive = machines_[index].generation == attempt.server_generation && machines_[index].up;
    if (stage == Attempt::Stage::kGone) return;
    if (stage == Attempt::Stage::kInTransit) return RemoveFromServer(row, attempt);
    RemoveFromServer(row, attempt);
    if (!server_alive) return;
    if (stage == Attempt::Stage::kQueue) machines_[index].server->AbandonQueue(now_);
    if (stage != Attempt::Stage::kQueue) StartNextQueued(index, stage == Attempt::Stage::kOnCores);
    ScheduleWorkCheck(index);
  }

  void RefreshServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.server->Refresh(now_);
    ScheduleWorkCheck(index);
    if (machine.server->WarmupFactor(now_) < 1)
      Push(now_ + kSpeedRefreshInterval, kRefreshServer, index, machine.generation);
  }

  WarmKeyCache EmptyKeyCache(const Machine& machine) const {
    const double capacity = machine.parameters.cores * day_.warm_per_core.low;
    return {static_cast<std::size_t>(capacity), MicrosOf(day_.warm_s, kSecond)};
  }

  // Pauses of a server, such as garbage collection or disk stalls, at random intervals.
  void SchedulePause(std::uint32_t index) {
    Machine& machine = machines_[index];
    const ServerKind& kind = day_.kinds[machine.kind];
    if (kind.pause_every_s.low <= 0 || kind.pause_ms.low <= 0) return;
    RandomStream draws(seed_, Purpose::kPause, index, ++machine.pause_count);
    const Micros at = now_ + static_cast<Micros>(draws.Exponential(kind.pause_every_s.low * kSecond)) + 1;
    if (at < length_) Push(at, kPause, index, machine.generation);
  }

  void PauseServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    const Micros until = now_ + MicrosOf(day_.kinds[machine.kind].pause_ms, kMillisecond);
    machine.server->Pause(now_, until);
    Push(until, kResume, index, machine.generation);
  }

  void ResumeServer(std::uint32_t index) {
    machines_[index].server->Refresh(now_);
    ScheduleWorkCheck(index);
    SchedulePause(index);
  }

  // Rule 4: a cold server crashes if more work arrives within the overload window than it can bear. The rule
  // is violated if most of the work came from sidecars that know of the start.
  void CheckColdOverload(const Attempt& attempt) {
    Machine& machine = machines_[attempt.server];
    if (machine.server->WarmupFactor(now_) >= 1) return;
    const bool informed = discovery_.KnowsIncarnation(attempt.server, machine.server->started(),
                                                      sidecar_states_[attempt.sidecar].version);
    machine.cold_arrivals.push_back({now_, attempt.work, informed});
    machine.cold_work += attempt.work;
    machine.informed_cold_work += informed ? attempt.work : 0;
    while (machine.cold_arrivals.front().at < now_ - overload_window_) {
      machine.cold_work -= machine.cold_arrivals.front().work;
      machine.informed_cold_work -=
          machine.cold_arrivals.front().informed ? machine.cold_arrivals.front().work : 0;
      machine.cold_arrivals.pop_front();
    }
    const double budget =
        day_.overload_factor.low * machine.server->Capacity(now_) * static_cast<double>(overload_window_) +
        day_.fall_slack.low * mean_work_;
    if (machine.cold_work <= budget) return;
    ++scorer_.result().overload_crashes;
    if (machine.informed_cold_work >= machine.cold_work * 2 / 3)
      scorer_.RecordViolation(4, "a cold server was pushed over");
    machine.crashed_by_overload = true;
    TerminateServer(attempt.server);
    AnnounceChange(attempt.server, ServerInfo::State::kGone, day_.silent_notice_s.low);
  }

  // ---- Server lifecycle and discovery ----

  void TerminateServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.up = false;
    ++machine.generation;
    machine.connections = 0;
    machine.next_work_check = 0;
    for (std::uint32_t row = 0; row < attempts_.size(); ++row) {
      if (!attempts_.live(row)) continue;
      Attempt& attempt = attempts_[row];
      if (attempt.server != index || attempt.stage == Attempt::Stage::kGone) continue;
      attempt.stage = Attempt::Stage::kGone;
      attempt.connected = false;
      if (attempt.awaiting_outcome)
        ScheduleOutcome(row, attempt, Result::kReset, now_ + attempt.return_delay);
      else
        attempts_.Free(row);
    }
  }

  void BootServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.server = std::make_unique<Server>(machine.parameters, now_);
    machine.up = true;
    ++machine.generation;
    machine.cold_arrivals.clear();
    machine.cold_work = machine.informed_cold_work = 0;
    machine.key_cache = EmptyKeyCache(machine);
    Push(now_ + kSpeedRefreshInterval, kRefreshServer, index, machine.generation);
    SchedulePause(index);
    AnnounceChange(index, ServerInfo::State::kHealthy, day_.add_s.low);
  }

  void AnnounceChange(std::uint32_t index, ServerInfo::State state, double notice_s) {
    Micros known_at = now_ + static_cast<Micros>(notice_s * kSecond);
    for (const Incident& incident : day_.incidents)
      if (IsActive(incident, Incident::Kind::kListLate, now_)) known_at += MicrosOf(incident.size, kSecond);
    Push(discovery_.Schedule({index, InfoOf(index, state), now_}, known_at), kPublish);
  }

  void Publish() {
    if (now_ < list_down_until_) Push(list_down_until_, kPublish);
    const auto version = discovery_.Publish(now_, list_down_until_);
    if (!version) return;
    for (std::uint32_t i = 0; i < sidecar_states_.size(); ++i) {
      if (sidecar_states_[i].up) ScheduleListDelivery(i, *version);
    }
  }
  void ScheduleListDelivery(std::uint32_t sidecar, std::size_t version) {
    RandomStream draws(seed_, Purpose::kListDelivery, sidecar, version);
    Push(AlignToTick(now_ + static_cast<Micros>(draws.Uniform() * day_.spread_ms.low * kMillisecond)),
         kDeliverList, sidecar, static_cast<std::uint32_t>(version));
  }

  void DeliverList(std::uint32_t index, std::size_t version) {
    SidecarState& sidecar = sidecar_states_[index];
    if (!sidecar.up || version <= sidecar.version) return;
    const std::vector<ServerInfo> servers = discovery_.DeltaBetween(sidecar.version, version);
    sidecar.version = version;
    sidecar.received_at.resize(version + 1, now_);
    sidecars_->OnServers(index, now_,
                         {ListUpdate::Kind::kDelta, static_cast<std::int64_t>(version), servers});
  }

  void StartSidecar(std::uint32_t index) {
    SidecarState& sidecar = sidecar_states_[index];
    sidecar.up = true;
    ++sidecar.generation;
    Settings settings = settings_;
    settings.sidecar_index = index;
    settings.zone = sidecar.zone;
    sidecars_->Start(
        index, settings,
        RandomStream(seed_ ^ side_.salt, Purpose::kSidecarSeed, index, sidecar.generation).Next(), now_);
    // Cached: at the start of a day thousands of sidecars get the same list.
    if (full_list_.empty() || full_list_version_ != sidecar.version)
      full_list_ = discovery_.FullList(full_list_version_ = sidecar.version);
    const std::vector<ServerInfo>& servers = full_list_;
    sidecars_->OnServers(index, now_,
                         {ListUpdate::Kind::kStale, static_cast<std::int64_t>(sidecar.version), servers});
    if (discovery_.version() > sidecar.version && now_ >= list_down_until_)
      ScheduleListDelivery(index, discovery_.version());
  }

  void StopSidecar(std::uint32_t index) {
    SidecarState& sidecar = sidecar_states_[index];
    if (!sidecar.up) return;
    sidecar.up = false;
    ++sidecar.generation;
    sidecars_->Stop(index, now_);
    for (std::uint32_t s = 0; s < sidecar.idle_connections.size(); ++s)
      if (sidecar.idle_connections[s].generation == machines_[s].generation)
        machines_[s].connections -= sidecar.idle_connections[s].count;
    sidecar.idle_connections.clear();
    for (std::uint32_t row = 0; row < attempts_.size(); ++row) {
      if (!attempts_.live(row) || attempts_[row].sidecar != index || !attempts_[row].awaiting_outcome)
        continue;
      AbandonAttempt(row, attempts_[row], Result::kCancelled);
      DeliverOutcome(row, attempts_[row]);
    }
    for (std::uint32_t row = 0; row < tries_.size(); ++row)
      if (tries_.live(row) && tries_[row].sidecar == index && !tries_[row].answered)
        FailTry(row, tries_[row]);  // the client's connection breaks
  }

  // ---- Incidents ----

  // A random sample of the running servers.
  std::vector<std::uint32_t> SampleServers(const Incident& incident, std::uint32_t number) {
    std::vector<std::pair<double, std::uint32_t>> drawn;
    for (std::uint32_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].up)
        drawn.emplace_back(RandomStream(seed_, Purpose::kIncident, number, i).Uniform(), i);
    std::sort(drawn.begin(), drawn.end());
    drawn.resize(
        static_cast<std::size_t>(std::lround(incident.part.low * static_cast<double>(drawn.size()))));
    std::vector<std::uint32_t> out(drawn.size());
    std::transform(drawn.begin(), drawn.end(), out.begin(), [](const auto& pair) { return pair.second; });
    return out;
  }

  void StartIncident(const Incident& incident, std::uint32_t number) {
    const Micros length = MicrosOf(incident.len_s, kSecond);
    switch (incident.kind) {
      case Incident::Kind::kServersLost:
        for (const std::uint32_t index : SampleServers(incident, number)) {
          TerminateServer(index);
          AnnounceChange(index, ServerInfo::State::kGone, day_.silent_notice_s.low);
          Push(now_ + length, kServerRestart, index);
        }
        return;
      case Incident::Kind::kServersStall:
        for (const std::uint32_t index : SampleServers(incident, number))
          machines_[index].stalled_until = now_ + length;
        return;
      case Incident::Kind::kListDown:
        list_down_until_ = std::max(list_down_until_, now_ + length);
        Push(list_down_until_, kPublish);
        return;
      case Incident::Kind::kSidecarsLost:
        for (std::uint32_t i = 0; i < sidecar_states_.size(); ++i) {
          if (!RandomStream(seed_, Purpose::kIncident, number, i).Bernoulli(incident.part.low)) continue;
          StopSidecar(i);
          Push(now_ + length, kSidecarRestart, i);
        }
        return;
      case Incident::Kind::kRelease: {
        const auto servers = SampleServers(incident, number);
        for (std::size_t i = 0; i < servers.size(); ++i)
          Push(now_ + length * static_cast<Micros>(i) / static_cast<Micros>(servers.size()), kDrainServer,
               servers[i]);
        return;
      }
      case Incident::Kind::kClassExpensive:
      case Incident::Kind::kListLate:
      case Incident::Kind::kLaunch:
        return;  // evaluated where they apply
    }
  }

  void RestartServer(std::uint32_t index) {
    if (!machines_[index].up && !machines_[index].crashed_by_overload) BootServer(index);
  }

  // The server finishes its requests and stops after all sidecars were told.
  void DrainServer(std::uint32_t index) {
    if (!machines_[index].up) return;
    constexpr double kDrainSeconds = 6;  // longest deadline of the default scenario's classes
    AnnounceChange(index, ServerInfo::State::kDraining, day_.notice_s.low);
    Push(now_ + static_cast<Micros>((day_.notice_s.low + kDrainSeconds) * kSecond), kReplaceServer, index);
  }

  void ReplaceServer(std::uint32_t index) {
    if (!machines_[index].up) return;
    TerminateServer(index);
    AnnounceChange(index, ServerInfo::State::kGone, day_.notice_s.low);
    AddMachine(machines_[index].zone, static_cast<int>(machines_[index].kind), now_);
    BootServer(static_cast<std::uint32_t>(machines_.size() - 1));
  }

  const std::uint64_t seed_;
  const Replay* const replay_;
  const Scenario day_;
  const Side& side_;
  Settings settings_;
  DayScorer scorer_;
  const Micros length_;
  const Micros tick_;
  const Micros drain_grace_;
  const Micros overload_window_;
  EventQueue events_;
  DiscoveryList discovery_;
  const ZipfKeys key_distribution_;
  std::unique_ptr<Sidecars> sidecars_;
  Micros now_ = 0;
  std::vector<Machine> machines_;
  std::vector<SidecarState> sidecar_states_;
  std::vector<RandomStream> arrivals_;        // by sidecar
  std::vector<Lognormal> work_distribution_;  // by class
  std::vector<Lognormal> wait_distribution_;
  std::vector<Lognormal> attempt_noise_;
  std::vector<double> cumulative_class_share_;
  double mean_work_ = 0;
  double load_phase_ = 0;
  double max_load_factor_ = 1;
  bool choke_enabled_ = false;
  RowTable<ClientRequest> client_requests_;
  RowTable<ClientTry> tries_;
  RowTable<Attempt> attempts_;
  RowTable<PendingTimer> timers_;
  std::vector<std::uint64_t> finished_;
  Micros list_down_until_ = 0;
  std::vector<ServerInfo> full_list_;  // the list of full_list_version_
  std::size_t full_list_version_ = 0;
  std::uint64_t actions_ = 0;
  std::string fault_;
};

}  // namespace

DayResult SimulateDay(const Scenario& scenario, std::uint64_t seed, const Side& side, const Replay* replay) {
  return Simulation(scenario, seed, side, replay).Run();
}

}  // namespace merlinrun::model
