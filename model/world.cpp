#include "model/world.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <deque>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "model/events.hpp"
#include "model/keys.hpp"
#include "model/listing.hpp"
#include "model/random.hpp"
#include "model/server.hpp"

namespace merlinrun::model {
namespace {

// A day goes on so long after its last request, at most: guards against a side that never comes to an end.
constexpr Micros kMostAfter = 60'000'000;
// How far apart the speed of a server that is cold or choked is brought up to date.
constexpr Micros kRefresh = 100'000;
// Actions for each client request, and for each timer, beyond which a side is called broken: guards against
// one that spins.
constexpr std::uint64_t kMostActions = 400;
constexpr std::uint64_t kFreeActions = 4'000'000;

// Ids that fit a string without an allocation: a place in a table and a number that tells its lives apart.
class Id {
 public:
  Id(std::uint32_t place, std::uint32_t life) {
    Write(place, 0);
    Write(life, 7);
  }
  std::string_view text() const { return {text_, sizeof text_}; }

  // The place and life that an id names; life 0 if it is none.
  static std::pair<std::uint32_t, std::uint32_t> Parse(std::string_view text) {
    if (text.size() != 14) return {0, 0};
    return {Read(text, 0), Read(text, 7)};
  }

 private:
  // 28 bits are plenty for either, and leave 14 bytes.
  void Write(std::uint32_t value, int at) {
    for (int i = 6; i >= 0; --i, value >>= 4) text_[at + i] = "0123456789abcdef"[value & 15];
  }
  static std::uint32_t Read(std::string_view text, std::size_t at) {
    std::uint32_t value = 0;
    const auto result = std::from_chars(text.data() + at, text.data() + at + 7, value, 16);
    return result.ec == std::errc() && result.ptr == text.data() + at + 7 ? value : 0;
  }
  char text_[14];
};

// A table whose places are used again; a handle names a place and the life that it was given out for.
template <typename T>
class Table {
 public:
  std::uint32_t New() {
    std::uint32_t place = 0;
    if (free_.empty()) {
      place = static_cast<std::uint32_t>(all_.size());
      all_.emplace_back();
    } else {
      place = free_.back();
      free_.pop_back();
    }
    ++all_[place].life;
    all_[place].live = true;
    return place;
  }
  void Free(std::uint32_t place) {
    all_[place].live = false;
    free_.push_back(place);
  }
  T& operator[](std::uint32_t place) { return all_[place].value; }
  std::uint32_t life(std::uint32_t place) const { return all_[place].life; }
  T* Find(std::uint32_t place, std::uint64_t life) {
    return place < all_.size() && all_[place].live && all_[place].life == life ? &all_[place].value : nullptr;
  }
  std::uint32_t size() const { return static_cast<std::uint32_t>(all_.size()); }
  bool live(std::uint32_t place) const { return all_[place].live; }

 private:
  struct Slot {
    T value;
    std::uint32_t life = 0;
    bool live = false;
  };
  std::vector<Slot> all_;
  std::vector<std::uint32_t> free_;
};

enum Kind : std::uint32_t {
  kArrive,         // a: sidecar, whose clients ask anew
  kRetry,          // a, b: ask
  kDeadline,       // a, b: try whose client's time is up
  kOverdue,        // a, b: try that should have had its answer
  kAtServer,       // a, b: attempt that reaches its server
  kWaited,         // a, b: attempt whose wait on others is over
  kCores,          // a: server, b: its life: something on its cores may be done
  kRefreshServer,  // the same: it is cold
  kLeft,           // a, b: attempt whose server hears that nobody waits for it
  kOutcome,        // a, b: attempt whose outcome reaches the sidecar
  kExpire,         // a, b: attempt that the sidecar gives up
  kTimer,          // a: sidecar's timer in the table, b: its life
  kPublish,
  kTell,         // a: sidecar, b: version
  kTrouble,      // a: its number
  kBackUp,       // a: server
  kStopServer,   // a: server that has drained
  kDrainServer,  // a: server
  kSidecarBack,  // a: sidecar
  kPause,        // a: server, b: its life: it stands still
  kResume,       // a: server, b: its life: its standstill is over
};

struct Ask {  // a client's request, over all its tries
  std::uint32_t its_class = 0;
  std::uint32_t sidecar = 0;
  std::uint64_t chance = 0;  // key of all chance that concerns it
  std::uint32_t object = 0;  // what it is about, from 1; 0 = nothing
  Micros asked = 0;
  int tries = 0;
  int tries_left = 0;
  bool honours = false;
  double work = 0;  // microseconds
  double wait = 0;
};

struct Handle {
  std::uint32_t place = 0;
  std::uint32_t life = 0;
};

struct Try {  // a request as a sidecar has it
  std::uint32_t ask = 0;
  std::uint32_t sidecar = 0;
  std::uint32_t sidecar_life = 0;
  Micros deadline = 0;
  bool answered = false;  // its client needs nothing more
  int out = 0;
  std::vector<Handle> attempts;
  bool may_have_run = false;  // as far as the sidecar can know; the first that may have:
  std::size_t ran_at = 0;     // its server
  Micros ran_sent = 0;
  bool began = false;  // an attempt did run; the first that did:
  int began_zone = 0;
  Micros began_at = 0;
};

struct Attempt {
  std::uint32_t try_place = 0;
  std::uint32_t try_life = 0;
  int number = 0;
  std::uint32_t sidecar = 0;
  std::uint32_t server = 0;
  std::uint32_t server_life = 0;
  std::uint32_t its_class = 0;
  std::uint32_t object = 0;
  Micros sent = 0;
  Micros deadline = 0;
  Micros back = 0;  // the answer's way
  double work = 0;
  double wait = 0;
  bool fails = false;
  bool out = true;         // the sidecar has no outcome yet
  bool coming = false;     // ... but one is on its way
  bool connected = false;  // it holds a connection
  Result result = Result::kSuccess;
  enum class Place { kOnTheWay, kQueue, kWaiting, kCores, kGone } place = Place::kOnTheWay;
};

struct Machine {
  std::unique_ptr<Server> server;
  std::uint32_t life = 1;  // grows with every start and end
  bool up = true;
  bool fallen = false;
  std::string id;
  std::size_t kind = 0;
  int zone = 0;
  std::int64_t cell = 0;
  ServerFigures figures;
  double error_rate = 0;
  std::uint32_t connections = 0;
  WarmKeys warm{0, 0};
  std::uint64_t pauses = 0;  // that it has had
  Micros due = 0;            // of the kCores event that counts; 0 = none
  Micros stalled_until = 0;
  // While it is cold: work that has arrived in the window, and how much of it from sidecars that know.
  struct Borne {
    Micros at;
    double work;
    bool knows;
  };
  std::deque<Borne> borne;
  double borne_work = 0;
  double borne_known = 0;
};

struct OneSidecar {
  std::uint32_t life = 0;
  bool up = false;
  int zone = 0;
  double rate = 0;  // requests a microsecond, before the shape of the day
  std::uint64_t asked = 0;
  std::vector<Replay::Item> replayed;  // all that its clients ask for, where that was recorded
  std::size_t version = 0;             // of the list that it has
  std::vector<Micros> told;            // by version, up to that one: when it was told
  struct Idle {
    std::uint32_t life = 0;  // of the server that they lead to
    std::uint32_t count = 0;
  };
  std::vector<Idle> idle;  // connections, by server
};

struct TimerOf {
  std::uint32_t sidecar = 0;
  std::uint32_t sidecar_life = 0;
  std::uint64_t token = 0;
};

class World : private Actions {
 public:
  World(const Scenario& scenario, std::uint64_t seed, const Side& side, const Replay* replay)
      : seed_(seed),
        replay_(replay),
        day_(DrawDay(scenario, seed)),
        side_(side),
        settings_(SettingsOf(day_)),
        judge_(day_),
        length_(MicrosOf(day_.length_s, kSecond)),
        tick_(MicrosOf(day_.tick_ms, kMillisecond)),
        grace_(MicrosOf(day_.drain_grace_ms, kMillisecond)),
        fall_(MicrosOf(day_.fall_s, kSecond)),
        queue_(BucketShift(day_)),
        listing_(std::max<Micros>(MicrosOf(day_.period_ms, kMillisecond), 1)),
        keys_(static_cast<std::size_t>(day_.keys.low), day_.key_skew.low) {
    settings_.tuning = side.tuning;
    if (!side.cold_care) settings_.cold_start_capacity = 1;
    if (!side.warm_care) settings_.warm_keys = false;
  }

  DayResult Play() {
    Build();
    sidecars_ = side_.make(*this);
    for (std::uint32_t i = 0; i < all_.size(); ++i) StartSidecar(i);
    sidecars_->Flush(0);
    while (!queue_.empty() && fault_.empty()) {
      now_ = queue_.Top().at;
      if (now_ > length_ + kMostAfter) break;
      // At a tick sidecars hear of all that has happened at once; else of one thing after another.
      do {
        ++judge_.result().events;
        Happen(queue_.Pop());
      } while (tick_ > 0 && !queue_.empty() && queue_.Top().at == now_);
      sidecars_->Flush(now_);
      CheckFlood();
    }
    judge_.result().seed = seed_;
    judge_.result().fault = fault_;
    return judge_.Finish();
  }

 private:
  // ---- Setting up ----

  // Some ten events a bucket: about eight for each request, over its life.
  static int BucketShift(const Scenario& day) {
    const double a_second = std::max(day.requests_per_s.low * 8, 1.0);
    int shift = 0;
    while (shift < 14 && static_cast<double>(2 << shift) * a_second / kSecond < 10) ++shift;
    return shift;
  }

  void Build() {
    const auto zones = static_cast<int>(day_.data_centres.low);
    most_shape_ = MostShape();
    work_.reserve(day_.classes.size());
    double shares = 0;
    double work = 0;
    for (const TrafficClass& c : day_.classes) {
      work_.emplace_back(c.work_ms.low * kMillisecond, c.cv.low);
      wait_.emplace_back(c.wait_ms.low * kMillisecond, 0.5);  // others' answers vary less than work
      noise_.emplace_back(1, c.attempt_cv.low);
      shares += c.share.low;
      work += c.share.low * c.work_ms.low * kMillisecond;
    }
    mean_work_ = work / shares;
    double at = 0;
    for (const TrafficClass& c : day_.classes) upto_.push_back(at += c.share.low / shares);
    chokes_ = Draws(seed_, Purpose::kServer, 1'000'000'000).Chance(day_.choke_share.low);

    std::vector<ServerInfo> list;
    const auto servers = static_cast<std::size_t>(day_.servers.low);
    for (std::size_t i = 0; i < servers; ++i) {
      AddMachine(static_cast<int>(i % static_cast<std::size_t>(zones)), -1, 0);
      list.push_back(InfoOf(i, ServerInfo::State::kHealthy));
    }
    listing_.Begin(std::move(list));

    const auto sidecars = static_cast<std::size_t>(day_.sidecars.low);
    all_.resize(sidecars);
    const Lognormal part(1, day_.sidecar_cv.low);
    double sum = 0;
    for (std::size_t i = 0; i < sidecars; ++i) {
      OneSidecar& sidecar = all_[i];
      sidecar.zone = static_cast<int>(i % static_cast<std::size_t>(zones));
      Draws draws(seed_, Purpose::kSidecar, i);
      sidecar.rate = part(draws) * (sidecar.zone == 0 ? 1 + day_.zone_skew.low : 1);
      sum += sidecar.rate;
    }
    for (std::uint32_t i = 0; i < sidecars; ++i) {
      all_[i].rate *= day_.requests_per_s.low / sum / kSecond;
      all_[i].told = {0};
      arrivals_.emplace_back(seed_, Purpose::kArrivals, i);
      if (replay_ != nullptr) all_[i].replayed = StreamOf(*replay_, i, seed_, length_);
      NextArrival(i, 0);
    }
    Draws shape(seed_, Purpose::kShape);
    phase_ = shape.Unit();
    for (std::uint32_t i = 0; i < day_.troubles.size(); ++i)
      Push(MicrosOf(day_.troubles[i].at_s, kSecond), kTrouble, i);
  }

  void AddMachine(int zone, int kind, Micros started) {
    const std::size_t index = machines_.size();
    Draws draws(seed_, Purpose::kServer, index);
    Machine machine;
    char id[24];
    std::snprintf(id, sizeof id, "%08x%06zx", static_cast<unsigned>(draws.Next() >> 32),
                  std::min<std::size_t>(index, 0xffffff));
    machine.id = id;
    double sum = 0;
    for (const ServerKind& k : day_.kinds) sum += k.share.low;
    double at = draws.Unit() * sum;
    while (at >= day_.kinds[machine.kind].share.low && machine.kind + 1 < day_.kinds.size())
      at -= day_.kinds[machine.kind++].share.low;
    if (kind >= 0) machine.kind = static_cast<std::size_t>(kind);
    machine.zone = zone;
    machine.cell = static_cast<std::int64_t>(static_cast<double>(index) / std::max(day_.cell_size.low, 1.0));
    const ServerKind& k = day_.kinds[machine.kind];
    ServerFigures& f = machine.figures;
    f.cores = std::floor(k.cores.low);
    f.speed = k.speed.low * Lognormal(1, k.speed_cv.low)(draws);
    f.slots = static_cast<std::size_t>(f.cores * k.slots_per_core.low);
    f.queue = static_cast<std::size_t>(f.cores * k.queue_per_core.low);
    f.thrash = k.thrash.low;
    f.thrash_at = k.thrash_at.low;
    f.cold_share = k.cold_share.low;
    f.cold_for = MicrosOf(k.cold_s, kSecond);
    f.connections = static_cast<std::uint32_t>(f.cores * day_.connections_per_core.low);
    f.chokes = chokes_;
    f.choke_at = day_.choke_at.low;
    f.choke_over = MicrosOf(day_.choke_over_s, kSecond);
    f.choke_slower = day_.choke_slower.low;
    f.choke_rest = MicrosOf(day_.choke_rest_s, kSecond);
    f.choke_below = day_.choke_below.low;
    f.choke_most = MicrosOf(day_.choke_most_s, kSecond);
    machine.error_rate = k.error_rate.low;
    // One that was there before the day has long been warm.
    machine.server = std::make_unique<Server>(f, started > 0 ? started : -f.cold_for);
    machine.warm = NoKeysYet(machine);
    machines_.push_back(std::move(machine));
    NextPause(static_cast<std::uint32_t>(index));
  }

  ServerInfo InfoOf(std::size_t index, ServerInfo::State state) const {
    const Machine& machine = machines_[index];
    ServerInfo info;
    info.id = machine.id;
    info.zone = machine.zone;
    info.machine_type = static_cast<int>(machine.kind);
    info.cell = machine.cell;
    if (day_.sizes.low >= 1) info.weight = machine.figures.cores;
    info.started = std::max<Micros>(machine.server->started(), 0);
    info.state = state;
    return info;
  }

  // ---- Events ----

  void Push(Micros at, Kind kind, std::uint32_t a = 0, std::uint32_t b = 0) { queue_.Push({at, kind, a, b}); }
  // When a sidecar hears of what happens at `at`.
  Micros Heard(Micros at) const { return tick_ > 0 ? (at + tick_ - 1) / tick_ * tick_ : at; }

  // The server that the event concerns is up, in the life that it was meant for.
  bool StillUp(const Event& event) const {
    return machines_[event.a].life == event.b && machines_[event.a].up;
  }

  void Happen(const Event& event) {
    const std::uint32_t a = event.a;
    switch (static_cast<Kind>(event.kind())) {
      case kArrive:
        return Arrive(a);
      case kRetry:
        if (Ask* const ask = asks_.Find(a, event.b)) StartTry(a, *ask);
        return;
      case kDeadline:
        if (Try* const t = tries_.Find(a, event.b)) OnDeadline(a, *t);
        return;
      case kOverdue:
        if (Try* const t = tries_.Find(a, event.b)) OnOverdue(a, *t);
        return;
      case kAtServer:
        if (Attempt* const attempt = attempts_.Find(a, event.b)) AtServer(a, *attempt);
        return;
      case kWaited:
        if (Attempt* const attempt = attempts_.Find(a, event.b)) OnWaited(a, *attempt);
        return;
      case kCores:
        if (machines_[a].due == now_ && machines_[a].life == event.b) OnCores(a);
        return;
      case kRefreshServer:
        if (StillUp(event)) RefreshServer(a);
        return;
      case kLeft:
        if (Attempt* const attempt = attempts_.Find(a, event.b)) LeaveServer(a, *attempt);
        return;
      case kOutcome:
        if (Attempt* const attempt = attempts_.Find(a, event.b); attempt != nullptr && attempt->out)
          Conclude(a, *attempt);
        return;
      case kExpire:
        if (Attempt* const attempt = attempts_.Find(a, event.b); attempt != nullptr && attempt->out) {
          GiveUp(a, *attempt, Result::kTimeout);
          Conclude(a, *attempt);
        }
        return;
      case kTimer:
        if (timers_.Find(a, event.b) != nullptr) OnTimer(a);
        return;
      case kPublish:
        return Publish();
      case kTell:
        return Tell(a, event.b);
      case kTrouble:
        return Begin(day_.troubles[a], a);
      case kBackUp:
        return BackUp(a);
      case kDrainServer:
        return DrainServer(a);
      case kStopServer:
        return StopServer(a);
      case kSidecarBack:
        return StartSidecar(a);
      case kPause:
        if (StillUp(event)) PauseServer(a);
        return;
      case kResume:
        if (StillUp(event)) ResumeServer(a);
        return;
    }
  }

  void CheckFlood() {
    if (actions_ > kFreeActions + kMostActions * judge_.result().asked) Fault("it acts without end");
  }

  // ---- Clients ----

  double Shape(Micros at) const {
    const double turn = static_cast<double>(at) / (day_.swing_period_s.low * kSecond) + phase_;
    const double wave = 4 * std::fabs(turn - std::floor(turn) - 0.5) - 1;  // a triangle between -1 and 1
    double shape = 1 + day_.swing.low * wave;
    for (const Trouble& trouble : day_.troubles) {
      if (!GoesOn(trouble, Trouble::Kind::kLaunch, at)) continue;
      const Micros from = MicrosOf(trouble.at_s, kSecond);
      const double grown =
          trouble.ramp_s.low > 0
              ? std::min(1.0, static_cast<double>(at - from) / (trouble.ramp_s.low * kSecond))
              : 1;
      shape *= 1 + (trouble.size.low - 1) * grown;
    }
    return shape;
  }

  static bool GoesOn(const Trouble& trouble, Trouble::Kind kind, Micros at) {
    const Micros from = MicrosOf(trouble.at_s, kSecond);
    return trouble.kind == kind && at >= from && at < from + MicrosOf(trouble.len_s, kSecond);
  }

  // The most that the shape comes to: arrivals are drawn at that rate and thinned.
  double MostShape() const {
    double most = 1 + day_.swing.low;
    for (const Trouble& trouble : day_.troubles)
      if (trouble.kind == Trouble::Kind::kLaunch) most *= std::max(1.0, trouble.size.low);
    return most;
  }

  void NextArrival(std::uint32_t sidecar, Micros from) {
    if (replay_ != nullptr) {
      const OneSidecar& its = all_[sidecar];
      if (its.asked < its.replayed.size()) Push(its.replayed[its.asked].at, kArrive, sidecar);
      return;
    }
    Draws& draws = arrivals_[sidecar];
    const double most = most_shape_;
    if (!(all_[sidecar].rate > 0)) return;
    double at = static_cast<double>(from);
    do {
      at += draws.Exponential(1 / (all_[sidecar].rate * most));
      if (at >= static_cast<double>(length_)) return;
    } while (!draws.Chance(Shape(static_cast<Micros>(at)) / most));
    Push(static_cast<Micros>(at), kArrive, sidecar);
  }

  void Arrive(std::uint32_t sidecar) {
    const std::uint32_t place = asks_.New();
    Ask& ask = asks_[place];
    ask = {};
    ask.sidecar = sidecar;
    ask.chance = Hash(sidecar, ++all_[sidecar].asked);
    ask.asked = now_;
    Draws draws(seed_, Purpose::kRequest, ask.chance);
    if (keys_.any()) {
      Draws key(seed_, Purpose::kKey, ask.chance);
      ask.object = keys_(key);
    }
    const double which = draws.Unit();
    while (ask.its_class + 1 < upto_.size() && which >= upto_[ask.its_class]) ++ask.its_class;
    const double retries = day_.retries.low;
    ask.tries_left = static_cast<int>(retries) + (draws.Chance(retries - std::floor(retries)) ? 1 : 0);
    if (replay_ != nullptr) {  // what was tried again is in the recording
      ask.its_class = all_[sidecar].replayed[all_[sidecar].asked - 1].its_class;
      ask.tries_left = 0;
    }
    ask.honours = draws.Chance(day_.honour.low);
    ask.work = work_[ask.its_class](draws);
    ask.wait = wait_[ask.its_class](draws);
    const double dear = draws.Unit();
    for (const Trouble& trouble : day_.troubles) {
      const bool now = GoesOn(trouble, Trouble::Kind::kClassDear, now_);
      const bool this_class =
          trouble.of_class.empty() || trouble.of_class == day_.classes[ask.its_class].name;
      if (now && this_class && dear < trouble.part.low) ask.work *= trouble.size.low;
    }
    judge_.Asked(ask.its_class, now_);
    NextArrival(sidecar, now_);
    StartTry(place, ask);
  }

  void StartTry(std::uint32_t place, Ask& ask) {
    ++ask.tries;
    ++judge_.result().tries;
    OneSidecar& sidecar = all_[ask.sidecar];
    if (!sidecar.up) return ClientLoses(place, ask, /*may_retry=*/true, 0);
    const TrafficClass& c = day_.classes[ask.its_class];
    const Micros over = ask.asked + MicrosOf(c.deadline_ms, kMillisecond);
    const Micros patience = static_cast<Micros>(c.deadline_ms.low * kMillisecond * day_.try_share.low);
    const std::uint32_t t_place = tries_.New();
    Try& t = tries_[t_place];
    std::vector<Handle> attempts = std::move(t.attempts);  // its memory is used again
    attempts.clear();
    t = {};
    t.attempts = std::move(attempts);
    t.ask = place;
    t.sidecar = ask.sidecar;
    t.sidecar_life = sidecar.life;
    const Micros heard = Heard(now_);
    t.deadline = std::min(over, heard + patience);
    Push(Heard(t.deadline), kDeadline, t_place, tries_.life(t_place));
    Request request;
    const Id id(t_place, tries_.life(t_place));
    request.id = id.text();
    request.request_class = static_cast<int>(ask.its_class);
    request.budget = t.deadline - now_;
    request.write = c.repeat != RetrySafety::kSafe;
    const Id object(ask.object, 1);
    if (ask.object > 0) request.key = object.text();
    sidecars_->OnRequest(ask.sidecar, now_, request);
  }

  // A try has ended without an answer from a server.
  void ClientLoses(std::uint32_t place, Ask& ask, bool may_retry, Micros retry_after) {
    const TrafficClass& c = day_.classes[ask.its_class];
    Draws draws(seed_, Purpose::kRetry, ask.chance, static_cast<std::uint64_t>(ask.tries));
    const double backoff =
        day_.backoff_ms.low * kMillisecond * static_cast<double>(1 << std::min(ask.tries - 1, 10));
    Micros wait = static_cast<Micros>(backoff * draws.Between(0.5, 1.5));
    if (retry_after > 0 && ask.honours) wait = retry_after;
    const Micros over = ask.asked + MicrosOf(c.deadline_ms, kMillisecond);
    if (!may_retry || ask.tries_left == 0 || now_ + wait >= over) return asks_.Free(place);
    --ask.tries_left;
    Push(now_ + wait, kRetry, place, asks_.life(place));
  }

  // ---- The life of a try ----

  Try* Known(std::uint32_t sidecar, std::string_view request) {
    ++actions_;
    const auto [place, life] = Id::Parse(request);
    if (sidecar >= all_.size()) return nullptr;
    Try* const t = life == 0 ? nullptr : tries_.Find(place, life);
    return t != nullptr && t->sidecar == sidecar && t->sidecar_life == all_[sidecar].life ? t : nullptr;
  }
  std::uint32_t PlaceOf(std::string_view request) const { return Id::Parse(request).first; }

  void Answered(std::uint32_t place, Try& t) {
    t.answered = true;
    FreeIfOver(place, t);
  }
  void FreeIfOver(std::uint32_t place, Try& t) {
    if (t.answered && t.out == 0) tries_.Free(place);
  }

  void Refuse(std::uint32_t sidecar, std::string_view request, Micros retry_after) override {
    Try* const t = Known(sidecar, request);
    if (t == nullptr || t->answered) return;
    Ask& ask = asks_[t->ask];
    const TrafficClass& c = day_.classes[ask.its_class];
    const bool harmless = !t->may_have_run || c.repeat == RetrySafety::kSafe ||
                          (c.repeat == RetrySafety::kDeduplicated && c.group == DedupScope::kAll &&
                           now_ < t->ran_sent + MicrosOf(c.window_s, kSecond));
    if (!harmless) judge_.Break(2, c.name + " was refused after it may have run");
    ++judge_.result().refused;
    const std::uint32_t ask_place = t->ask;
    Answered(PlaceOf(request), *t);
    ClientLoses(ask_place, ask, true, std::min(retry_after, MicrosOf(day_.max_retry_after_ms, kMillisecond)));
  }

  void Fail(std::uint32_t sidecar, std::string_view request) override {
    if (Try* const t = Known(sidecar, request); t != nullptr && !t->answered) Failed(PlaceOf(request), *t);
  }

  void Failed(std::uint32_t place, Try& t) {
    ++judge_.result().failed;
    Ask& ask = asks_[t.ask];
    const TrafficClass& c = day_.classes[ask.its_class];
    const bool may_retry = c.repeat == RetrySafety::kSafe ||
                           (c.repeat == RetrySafety::kDeduplicated && c.group == DedupScope::kAll);
    const std::uint32_t ask_place = t.ask;
    Answered(place, t);
    ClientLoses(ask_place, ask, may_retry, 0);
  }

  // The client's time is up: what is out is timed out, and an answer is owed at once.
  void OnDeadline(std::uint32_t place, Try& t) {
    if (t.answered) return;
    const std::uint32_t life = tries_.life(place);
    for (std::size_t i = 0; tries_.Find(place, life) != nullptr && i < tries_[place].attempts.size(); ++i) {
      const Handle handle = tries_[place].attempts[i];
      Attempt* const attempt = attempts_.Find(handle.place, handle.life);
      if (attempt == nullptr || !attempt->out) continue;
      GiveUp(handle.place, *attempt, Result::kTimeout);
      Conclude(handle.place, *attempt);
    }
    if (tries_.Find(place, life) != nullptr && !tries_[place].answered)
      Push(Heard(now_ + MicrosOf(day_.answer_slack_ms, kMillisecond)), kOverdue, place, life);
  }

  void OnOverdue(std::uint32_t place, Try& t) {
    if (t.answered) return;
    judge_.Break(1, day_.classes[asks_[t.ask].its_class].name + " had no answer when its time was up");
    const std::uint32_t sidecar = t.sidecar;
    const Id id(place, tries_.life(place));
    Failed(place, t);
    sidecars_->OnClientGone(sidecar, now_, id.text());
  }

  // ---- Attempts ----

  std::optional<std::uint32_t> ServerOf(std::string_view id) const {
    std::uint32_t index = 0;
    if (id.size() != 14) return std::nullopt;
    const auto result = std::from_chars(id.data() + 8, id.data() + 14, index, 16);
    if (result.ec != std::errc() || index >= machines_.size() || machines_[index].id != id)
      return std::nullopt;
    return index;
  }

  void Send(std::uint32_t sidecar, std::string_view request, std::string_view server,
            Micros timeout) override {
    Try* const t = Known(sidecar, request);
    const auto index = ServerOf(server);
    if (t == nullptr) return Fault("it sends a request that it does not hold");
    if (!index) return Fault("it sends to a server that was never listed");
    CheckSend(*t, *index, sidecar);
    const std::uint32_t try_place = PlaceOf(request);
    const std::uint32_t place = attempts_.New();
    Attempt& attempt = attempts_[place];
    attempt = {};
    attempt.try_place = try_place;
    attempt.try_life = tries_.life(try_place);
    attempt.number = static_cast<int>(t->attempts.size());
    attempt.sidecar = sidecar;
    attempt.server = *index;
    attempt.server_life = machines_[*index].life;
    attempt.sent = now_;
    t->attempts.push_back({place, attempts_.life(place)});
    ++t->out;
    if (t->answered || attempt.number >= static_cast<int>(day_.max_attempts.low))
      return Resolve(place, attempt, Result::kNeverSent, now_);
    ++judge_.result().attempts;
    if (!std::exchange(t->may_have_run, true)) {  // until an outcome says that it did not
      t->ran_at = *index;
      t->ran_sent = now_;
    }
    Travel(place, attempt, asks_[t->ask], timeout, t->deadline);
  }

  // The second and third rule, as far as they are seen where an attempt is sent.
  void CheckSend(const Try& t, std::uint32_t index, std::uint32_t sidecar) {
    const TrafficClass& c = day_.classes[asks_[t.ask].its_class];
    if (t.answered) judge_.Break(1, c.name + " was sent after its answer");
    if (t.out > 0) judge_.Break(2, c.name + " had two attempts out at once");
    if (t.may_have_run && c.repeat == RetrySafety::kNever)
      judge_.Break(2, c.name + " was sent again after it may have run");
    if (t.may_have_run && c.repeat == RetrySafety::kDeduplicated) {
      const Machine& first = machines_[t.ran_at];
      const Machine& now = machines_[index];
      const bool same = c.group == DedupScope::kAll ||
                        (c.group == DedupScope::kZone && first.zone == now.zone) ||
                        (c.group == DedupScope::kCell && first.cell == now.cell);
      if (!same || now_ >= t.ran_sent + MicrosOf(c.window_s, kSecond))
        judge_.Break(2, c.name + " was sent outside its group or window after it may have run");
    }
    const auto parked = listing_.ParkedIn(index, all_[sidecar].version);
    if (parked && now_ > all_[sidecar].told[*parked] + grace_)
      judge_.Break(3, "a server was sent something later than the grace after it was told to drain");
  }

  void Travel(std::uint32_t place, Attempt& attempt, const Ask& ask, Micros timeout, Micros deadline) {
    OneSidecar& sidecar = all_[attempt.sidecar];
    Machine& machine = machines_[attempt.server];
    Draws draws(seed_, Purpose::kAttempt,
                Hash(ask.chance,
                     64 * static_cast<std::uint64_t>(ask.tries) + static_cast<std::uint64_t>(attempt.number)),
                attempt.server);
    const double way = (sidecar.zone == machine.zone ? day_.same_ms.low : day_.cross_ms.low) * kMillisecond;
    const auto delay = [&] {
      return static_cast<Micros>(way * (1 + draws.Exponential(day_.jitter.low))) + 1;
    };
    if (sidecar.zone != machine.zone) ++judge_.result().crossings;
    const Micros out = delay();
    attempt.back = delay();
    attempt.its_class = ask.its_class;
    attempt.object = ask.object;
    attempt.wait = ask.wait;
    attempt.work = ask.work * noise_[ask.its_class](draws);
    attempt.fails = draws.Chance(machine.error_rate);
    attempt.deadline = timeout > 0 ? std::min(deadline, now_ + timeout) : deadline;
    if (timeout < 0) attempt.deadline = now_;
    if (!machine.up) return Resolve(place, attempt, Result::kUnreachable, now_ + out + attempt.back);
    if (sidecar.idle.size() <= attempt.server) sidecar.idle.resize(machines_.size());
    OneSidecar::Idle& idle = sidecar.idle[attempt.server];
    if (idle.life != machine.life) idle = {machine.life, 0};
    Micros arrives = now_ + out;
    if (idle.count > 0) {
      --idle.count;
    } else if (machine.connections >= machine.figures.connections) {
      return Resolve(place, attempt, Result::kUnreachable, now_ + out + attempt.back);
    } else {
      ++machine.connections;
      ++judge_.result().connections;
      arrives += static_cast<Micros>(day_.handshake_rtts.low * static_cast<double>(out + attempt.back));
      attempt.work += day_.handshake_ms.low * kMillisecond;
    }
    attempt.connected = true;
    if (attempt.deadline < deadline) Push(Heard(attempt.deadline), kExpire, place, attempts_.life(place));
    Push(arrives, kAtServer, place, attempts_.life(place));
  }

  // The attempt's outcome is on its way to the sidecar, where it is heard at `at`.
  void Resolve(std::uint32_t place, Attempt& attempt, Result result, Micros at) {
    if (!attempt.out || attempt.coming) return;
    attempt.coming = true;
    attempt.result = result;
    Push(std::max(Heard(at), now_), kOutcome, place, attempts_.life(place));
  }

  // The sidecar stops waiting: its connection is closed, and the server hears of it.
  void GiveUp(std::uint32_t place, Attempt& attempt, Result result) {
    attempt.result = result;
    if (attempt.connected) CloseConnection(attempt);
    if (attempt.place != Attempt::Place::kGone)
      Push(std::max(now_ + attempt.back, attempt.sent + 1), kLeft, place, attempts_.life(place));
  }

  void CloseConnection(Attempt& attempt) {
    attempt.connected = false;
    Machine& machine = machines_[attempt.server];
    if (machine.life == attempt.server_life) --machine.connections;
  }

  void Conclude(std::uint32_t place, Attempt& attempt) {
    attempt.out = false;
    if (attempt.connected) {
      if (attempt.result == Result::kReset) {
        attempt.connected = false;  // it went with the server
      } else if (machines_[attempt.server].life == attempt.server_life) {
        ++all_[attempt.sidecar].idle[attempt.server].count;
        attempt.connected = false;
      }
    }
    const std::uint32_t try_place = attempt.try_place;
    Try* const t = tries_.Find(try_place, attempt.try_life);
    const Attempt was = attempt;
    if (attempt.place == Attempt::Place::kGone) attempts_.Free(place);
    if (t == nullptr) return;
    --t->out;
    NoteProof(*t, was);
    if (was.result == Result::kSuccess && !t->answered) {
      Ask& ask = asks_[t->ask];
      judge_.Served(ask.its_class, ask.asked, now_);
      asks_.Free(t->ask);
      t->answered = true;
    }
    const Id id(try_place, was.try_life);
    Outcome outcome;
    outcome.request = id.text();
    outcome.attempt = was.number;
    outcome.result = was.result;
    outcome.elapsed = now_ - was.sent;
    outcome.request_done = t->answered;
    const bool up = all_[was.sidecar].up && t->sidecar_life == all_[was.sidecar].life;
    FreeIfOver(try_place, *t);
    if (up) sidecars_->OnOutcome(was.sidecar, now_, outcome, machines_[was.server].id);
  }

  // What proves that the attempt never ran takes its doubt away, if it was the first in doubt.
  static void NoteProof(Try& t, const Attempt& attempt) {
    const bool never = attempt.result == Result::kRefused || attempt.result == Result::kUnreachable ||
                       attempt.result == Result::kNeverSent;
    if (never && t.ran_at == attempt.server && t.ran_sent == attempt.sent) t.may_have_run = false;
  }

  void Cancel(std::uint32_t sidecar, std::string_view request, int number) override {
    Try* const t = Known(sidecar, request);
    if (t == nullptr || number < 0 || static_cast<std::size_t>(number) >= t->attempts.size()) return;
    const Handle handle = t->attempts[static_cast<std::size_t>(number)];
    Attempt* const attempt = attempts_.Find(handle.place, handle.life);
    if (attempt == nullptr || !attempt->out || attempt->coming) return;
    GiveUp(handle.place, *attempt, Result::kCancelled);
    attempt->coming = true;
    Push(now_, kOutcome, handle.place, handle.life);
  }

  void SetTimer(std::uint32_t sidecar, Micros delay, std::uint64_t token) override {
    ++actions_;
    if (sidecar >= all_.size() || !all_[sidecar].up) return Fault("it acts for a sidecar that does not run");
    const std::uint32_t place = timers_.New();
    timers_[place] = {sidecar, all_[sidecar].life, token};
    Push(Heard(now_ + std::max<Micros>(delay, tick_ > 0 ? 1 : 0)), kTimer, place, timers_.life(place));
  }
  void OnTimer(std::uint32_t place) {
    const TimerOf timer = timers_[place];
    timers_.Free(place);
    if (all_[timer.sidecar].up && all_[timer.sidecar].life == timer.sidecar_life)
      sidecars_->OnTimer(timer.sidecar, now_, timer.token);
  }

  void Fault(std::string what) override {
    if (fault_.empty()) fault_ = std::move(what);
  }

  // ---- At the servers ----

  std::uint64_t Pack(std::uint32_t place) const {
    return static_cast<std::uint64_t>(attempts_.life(place)) << 32 | place;
  }
  auto Alive(Attempt::Place where) {
    return [this, where](std::uint64_t packed) {
      const Attempt* const attempt = attempts_.Find(static_cast<std::uint32_t>(packed), packed >> 32);
      return attempt != nullptr && attempt->place == where;
    };
  }

  void GoneFromServer(std::uint32_t place, Attempt& attempt) {
    attempt.place = Attempt::Place::kGone;
    if (!attempt.out) attempts_.Free(place);
  }

  void AtServer(std::uint32_t place, Attempt& attempt) {
    if (attempt.place == Attempt::Place::kGone) return;
    Machine& machine = machines_[attempt.server];
    if (machine.life != attempt.server_life || !machine.up) return;  // its end has been told already
    Bear(attempt);
    if (!machine.up) return;
    Try* const t = tries_.Find(attempt.try_place, attempt.try_life);
    if (!attempt.out || now_ < machine.stalled_until) {  // nobody waits, or nobody will ever hear
      if (!attempt.out) GoneFromServer(place, attempt);
      return;
    }
    if (t != nullptr && t->began && Dropped(*t, attempt)) {
      Resolve(place, attempt, Result::kSuccess, now_ + attempt.back);  // answered as the first was
      return GoneFromServer(place, attempt);
    }
    switch (machine.server->Take(now_, Pack(place))) {
      case Server::Place::kSlot:
        Start(place, attempt);
        break;
      case Server::Place::kQueue:
        attempt.place = Attempt::Place::kQueue;
        break;
      case Server::Place::kNone:
        Resolve(place, attempt, Result::kRefused, now_ + attempt.back);
        GoneFromServer(place, attempt);
        break;
    }
    Schedule(attempt.server);
  }

  bool Dropped(const Try& t, const Attempt& attempt) const {
    const TrafficClass& c = day_.classes[attempt.its_class];
    return c.repeat == RetrySafety::kDeduplicated && t.began_zone == machines_[attempt.server].zone &&
           now_ < t.began_at + MicrosOf(c.window_s, kSecond);
  }

  // A slot is its own: it begins, with the wait on others first.
  void Start(std::uint32_t place, Attempt& attempt) {
    attempt.place = Attempt::Place::kWaiting;
    if (Try* const t = tries_.Find(attempt.try_place, attempt.try_life); t != nullptr && !t->began) {
      t->began = true;
      t->began_zone = machines_[attempt.server].zone;
      t->began_at = now_;
    }
    if (attempt.object > 0 && machines_[attempt.server].warm.Meet(attempt.object, now_))
      attempt.work *= 1 - day_.warm_gain.low;
    Push(now_ + static_cast<Micros>(attempt.wait), kWaited, place, attempts_.life(place));
  }

  void OnWaited(std::uint32_t place, Attempt& attempt) {
    if (attempt.place != Attempt::Place::kWaiting) return;
    attempt.place = Attempt::Place::kCores;
    machines_[attempt.server].server->Work(now_, Pack(place), attempt.work);
    Schedule(attempt.server);
  }

  // Sees to it that the server is looked at when the next of its work is done. One that turns out to be done
  // later than was thought is looked at once too early, and not scheduled anew with each change.
  void Schedule(std::uint32_t index) {
    Machine& machine = machines_[index];
    const Micros due = machine.server->due(now_);
    if (due == 0 || (machine.due > now_ && machine.due <= due)) return;
    machine.due = due;
    Push(due, kCores, index, machine.life);
  }

  void OnCores(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.due = 0;
    done_.clear();
    machine.server->Finished(now_, Alive(Attempt::Place::kCores), done_);
    for (const std::uint64_t packed : done_) {
      const auto place = static_cast<std::uint32_t>(packed);
      Attempt& attempt = attempts_[place];
      attempt.place = Attempt::Place::kGone;
      if (now_ >= machine.stalled_until)
        Resolve(place, attempt, attempt.fails ? Result::kError : Result::kSuccess, now_ + attempt.back);
      GoneFromServer(place, attempt);
      Next(index, /*on_cores=*/true);
    }
    Schedule(index);
  }

  // A slot is free: who waits for it begins.
  void Next(std::uint32_t index, bool on_cores) {
    const auto next = machines_[index].server->Leave(now_, on_cores, Alive(Attempt::Place::kQueue));
    if (next) Start(static_cast<std::uint32_t>(*next), attempts_[static_cast<std::uint32_t>(*next)]);
  }

  // Nobody waits for the attempt any more, and its work stops.
  void LeaveServer(std::uint32_t place, Attempt& attempt) {
    const Attempt::Place where = attempt.place;
    const std::uint32_t index = attempt.server;
    const bool here = machines_[index].life == attempt.server_life && machines_[index].up;
    if (where == Attempt::Place::kGone) return;
    if (where == Attempt::Place::kOnTheWay) return GoneFromServer(place, attempt);
    GoneFromServer(place, attempt);
    if (!here) return;
    if (where == Attempt::Place::kQueue) machines_[index].server->LeaveQueue(now_);
    if (where != Attempt::Place::kQueue) Next(index, where == Attempt::Place::kCores);
    Schedule(index);
  }

  void RefreshServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.server->Refresh(now_);
    Schedule(index);
    if (machine.server->Warmth(now_) < 1) Push(now_ + kRefresh, kRefreshServer, index, machine.life);
  }

  WarmKeys NoKeysYet(const Machine& machine) const {
    const double most = machine.figures.cores * day_.warm_per_core.low;
    return {static_cast<std::size_t>(most), MicrosOf(day_.warm_s, kSecond)};
  }

  // Standstills of one server (a collector of garbage, a disk): of its kind's length, as far apart as chance
  // has it.
  void NextPause(std::uint32_t index) {
    Machine& machine = machines_[index];
    const ServerKind& kind = day_.kinds[machine.kind];
    if (kind.pause_every_s.low <= 0 || kind.pause_ms.low <= 0) return;
    Draws draws(seed_, Purpose::kPause, index, ++machine.pauses);
    const Micros at = now_ + static_cast<Micros>(draws.Exponential(kind.pause_every_s.low * kSecond)) + 1;
    if (at < length_) Push(at, kPause, index, machine.life);
  }

  void PauseServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    const Micros until = now_ + MicrosOf(day_.kinds[machine.kind].pause_ms, kMillisecond);
    machine.server->Pause(now_, until);
    Push(until, kResume, index, machine.life);
  }

  void ResumeServer(std::uint32_t index) {
    machines_[index].server->Refresh(now_);
    Schedule(index);
    NextPause(index);
  }

  // The fourth rule: what a cold server is sent, and what it can bear.
  void Bear(const Attempt& attempt) {
    Machine& machine = machines_[attempt.server];
    if (machine.server->Warmth(now_) >= 1) return;
    const bool knows =
        listing_.KnowsStart(attempt.server, machine.server->started(), all_[attempt.sidecar].version);
    machine.borne.push_back({now_, attempt.work, knows});
    machine.borne_work += attempt.work;
    machine.borne_known += knows ? attempt.work : 0;
    while (machine.borne.front().at < now_ - fall_) {
      machine.borne_work -= machine.borne.front().work;
      machine.borne_known -= machine.borne.front().knows ? machine.borne.front().work : 0;
      machine.borne.pop_front();
    }
    const double budget =
        day_.overload_factor.low * machine.server->Capacity(now_) * static_cast<double>(fall_) +
        day_.fall_slack.low * mean_work_;
    if (machine.borne_work <= budget) return;
    ++judge_.result().fell;
    if (machine.borne_known >= machine.borne_work * 2 / 3) judge_.Break(4, "a cold server was pushed over");
    machine.fallen = true;
    EndServer(attempt.server);
    Changed(attempt.server, ServerInfo::State::kGone, day_.silent_notice_s.low);
  }

  // ---- Servers that come and go, and who is told ----

  void EndServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.up = false;
    ++machine.life;
    machine.connections = 0;
    machine.due = 0;
    for (std::uint32_t place = 0; place < attempts_.size(); ++place) {
      if (!attempts_.live(place)) continue;
      Attempt& attempt = attempts_[place];
      if (attempt.server != index || attempt.place == Attempt::Place::kGone) continue;
      attempt.place = Attempt::Place::kGone;
      attempt.connected = false;
      if (attempt.out)
        Resolve(place, attempt, Result::kReset, now_ + attempt.back);
      else
        attempts_.Free(place);
    }
  }

  void BeginServer(std::uint32_t index) {
    Machine& machine = machines_[index];
    machine.server = std::make_unique<Server>(machine.figures, now_);
    machine.up = true;
    ++machine.life;
    machine.borne.clear();
    machine.borne_work = machine.borne_known = 0;
    machine.warm = NoKeysYet(machine);
    Push(now_ + kRefresh, kRefreshServer, index, machine.life);
    NextPause(index);
    Changed(index, ServerInfo::State::kHealthy, day_.add_s.low);
  }

  void Changed(std::uint32_t index, ServerInfo::State state, double notice_s) {
    Micros known = now_ + static_cast<Micros>(notice_s * kSecond);
    for (const Trouble& trouble : day_.troubles)
      if (GoesOn(trouble, Trouble::Kind::kListLate, now_)) known += MicrosOf(trouble.size, kSecond);
    Push(listing_.Add({index, InfoOf(index, state), now_}, known), kPublish);
  }

  void Publish() {
    if (now_ < list_down_until_) Push(list_down_until_, kPublish);
    const auto version = listing_.Publish(now_, list_down_until_);
    if (!version) return;
    for (std::uint32_t i = 0; i < all_.size(); ++i) {
      if (all_[i].up) PushTell(i, *version);
    }
  }
  void PushTell(std::uint32_t sidecar, std::size_t version) {
    Draws draws(seed_, Purpose::kNotice, sidecar, version);
    Push(Heard(now_ + static_cast<Micros>(draws.Unit() * day_.spread_ms.low * kMillisecond)), kTell, sidecar,
         static_cast<std::uint32_t>(version));
  }

  void Tell(std::uint32_t index, std::size_t version) {
    OneSidecar& sidecar = all_[index];
    if (!sidecar.up || version <= sidecar.version) return;
    const std::vector<ServerInfo> servers = listing_.Between(sidecar.version, version);
    sidecar.version = version;
    sidecar.told.resize(version + 1, now_);
    sidecars_->OnServers(index, now_,
                         {ListUpdate::Kind::kDelta, static_cast<std::int64_t>(version), servers});
  }

  void StartSidecar(std::uint32_t index) {
    OneSidecar& sidecar = all_[index];
    sidecar.up = true;
    ++sidecar.life;
    Settings settings = settings_;
    settings.sidecar_index = index;
    settings.zone = sidecar.zone;
    sidecars_->Start(index, settings, Draws(seed_ ^ side_.salt, Purpose::kEngine, index, sidecar.life).Next(),
                     now_);
    // At the start of a day thousands begin with one list.
    if (whole_.empty() || whole_version_ != sidecar.version)
      whole_ = listing_.Whole(whole_version_ = sidecar.version);
    const std::vector<ServerInfo>& servers = whole_;
    sidecars_->OnServers(index, now_,
                         {ListUpdate::Kind::kStale, static_cast<std::int64_t>(sidecar.version), servers});
    if (listing_.version() > sidecar.version && now_ >= list_down_until_) PushTell(index, listing_.version());
  }

  void StopSidecar(std::uint32_t index) {
    OneSidecar& sidecar = all_[index];
    if (!sidecar.up) return;
    sidecar.up = false;
    ++sidecar.life;
    sidecars_->Stop(index, now_);
    for (std::uint32_t s = 0; s < sidecar.idle.size(); ++s)
      if (sidecar.idle[s].life == machines_[s].life) machines_[s].connections -= sidecar.idle[s].count;
    sidecar.idle.clear();
    for (std::uint32_t place = 0; place < attempts_.size(); ++place) {
      if (!attempts_.live(place) || attempts_[place].sidecar != index || !attempts_[place].out) continue;
      GiveUp(place, attempts_[place], Result::kCancelled);
      Conclude(place, attempts_[place]);
    }
    for (std::uint32_t place = 0; place < tries_.size(); ++place)
      if (tries_.live(place) && tries_[place].sidecar == index && !tries_[place].answered)
        Failed(place, tries_[place]);  // its client sees the connection end
  }

  // ---- Troubles ----

  // The servers that a trouble is about: a part of those that run, drawn one by one.
  std::vector<std::uint32_t> PartOfServers(const Trouble& trouble, std::uint32_t number) {
    std::vector<std::pair<double, std::uint32_t>> drawn;
    for (std::uint32_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].up) drawn.emplace_back(Draws(seed_, Purpose::kTrouble, number, i).Unit(), i);
    std::sort(drawn.begin(), drawn.end());
    drawn.resize(static_cast<std::size_t>(std::lround(trouble.part.low * static_cast<double>(drawn.size()))));
    std::vector<std::uint32_t> out(drawn.size());
    std::transform(drawn.begin(), drawn.end(), out.begin(), [](const auto& pair) { return pair.second; });
    return out;
  }

  void Begin(const Trouble& trouble, std::uint32_t number) {
    const Micros length = MicrosOf(trouble.len_s, kSecond);
    switch (trouble.kind) {
      case Trouble::Kind::kServersLost:
        for (const std::uint32_t index : PartOfServers(trouble, number)) {
          EndServer(index);
          Changed(index, ServerInfo::State::kGone, day_.silent_notice_s.low);
          Push(now_ + length, kBackUp, index);
        }
        return;
      case Trouble::Kind::kServersStall:
        for (const std::uint32_t index : PartOfServers(trouble, number))
          machines_[index].stalled_until = now_ + length;
        return;
      case Trouble::Kind::kListDown:
        list_down_until_ = std::max(list_down_until_, now_ + length);
        Push(list_down_until_, kPublish);
        return;
      case Trouble::Kind::kSidecarsLost:
        for (std::uint32_t i = 0; i < all_.size(); ++i) {
          if (!Draws(seed_, Purpose::kTrouble, number, i).Chance(trouble.part.low)) continue;
          StopSidecar(i);
          Push(now_ + length, kSidecarBack, i);
        }
        return;
      case Trouble::Kind::kRelease: {
        const auto servers = PartOfServers(trouble, number);
        for (std::size_t i = 0; i < servers.size(); ++i)
          Push(now_ + length * static_cast<Micros>(i) / static_cast<Micros>(servers.size()), kDrainServer,
               servers[i]);
        return;
      }
      case Trouble::Kind::kClassDear:
      case Trouble::Kind::kListLate:
      case Trouble::Kind::kLaunch:
        return;  // looked up where they matter
    }
  }

  void BackUp(std::uint32_t index) {
    if (!machines_[index].up && !machines_[index].fallen) BeginServer(index);
  }

  // It finishes what it has, and ends some time after all have been told.
  void DrainServer(std::uint32_t index) {
    if (!machines_[index].up) return;
    constexpr double kFinishes = 6;  // seconds: the longest deadline of the classes as they are
    Changed(index, ServerInfo::State::kDraining, day_.notice_s.low);
    Push(now_ + static_cast<Micros>((day_.notice_s.low + kFinishes) * kSecond), kStopServer, index);
  }

  void StopServer(std::uint32_t index) {
    if (!machines_[index].up) return;
    EndServer(index);
    Changed(index, ServerInfo::State::kGone, day_.notice_s.low);
    AddMachine(machines_[index].zone, static_cast<int>(machines_[index].kind), now_);
    BeginServer(static_cast<std::uint32_t>(machines_.size() - 1));
  }

  const std::uint64_t seed_;
  const Replay* const replay_;
  const Scenario day_;
  const Side& side_;
  Settings settings_;
  Judge judge_;
  const Micros length_;
  const Micros tick_;
  const Micros grace_;
  const Micros fall_;
  EventQueue queue_;
  Listing listing_;
  const KeyLaw keys_;
  std::unique_ptr<Sidecars> sidecars_;
  Micros now_ = 0;
  std::vector<Machine> machines_;
  std::vector<OneSidecar> all_;
  std::vector<Draws> arrivals_;  // by sidecar
  std::vector<Lognormal> work_;  // by class
  std::vector<Lognormal> wait_;
  std::vector<Lognormal> noise_;
  std::vector<double> upto_;  // classes' shares, added up
  double mean_work_ = 0;
  double phase_ = 0;
  double most_shape_ = 1;
  bool chokes_ = false;
  Table<Ask> asks_;
  Table<Try> tries_;
  Table<Attempt> attempts_;
  Table<TimerOf> timers_;
  std::vector<std::uint64_t> done_;
  Micros list_down_until_ = 0;
  std::vector<ServerInfo> whole_;  // the list of whole_version_, as it was told last
  std::size_t whole_version_ = 0;
  std::uint64_t actions_ = 0;
  std::string fault_;
};

}  // namespace

DayResult PlayDay(const Scenario& scenario, std::uint64_t seed, const Side& side, const Replay* replay) {
  return World(scenario, seed, side, replay).Play();
}

}  // namespace merlinrun::model
