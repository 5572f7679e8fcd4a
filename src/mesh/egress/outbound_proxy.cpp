#include "mesh/egress/outbound_proxy.hpp"

#include <algorithm>
#include <utility>

#include "net/validate.hpp"

namespace fennelhollow::egress {
namespace {

namespace core = merlinrun::core;
using merlinrun::Result;

constexpr Micros kMs = 1000;
// An answer is held whole up to here before its first byte goes to the client, so that one cut short can
// still be asked for elsewhere, and none is ever begun that does not end.
constexpr std::size_t kHeldWhole = std::size_t{1024} * 1024;
// To a slow reader: what waits here at most before its server is held up.
constexpr std::size_t kMostQueued = std::size_t{256} * 1024;
// The module's attempts, those included that were turned away unseen; the route's `attempts` bounds those
// that reach a server.
constexpr int kMostSends = 4;
// Servers that may be full before a request is refused.
constexpr int kMostFull = 2;
// The first wait before an attempt is made again is up to this: an aim is a few hundred milliseconds.
constexpr Micros kRetryBase = 40 * kMs;
// The share of its aim that an attempt may wait for room at the last hop.
constexpr double kWaitShare = 0.1;
constexpr std::int64_t kLeastWaitMs = 40;
// For each step of priority an answer is taken to be due so much of its aim later.
constexpr double kLaterAPriority = 0.25;
// Lower ones are told as this one.
constexpr int kLowestPriority = 255;
constexpr double kWindowsPerServer = 60;
// Of pressure, and of what is out: the module's admission is off.
constexpr double kNever = 1000;
// core/ answers so long before the deadline, and a little more.
constexpr Micros kAnswerMargin = 60 * kMs;
constexpr Micros kNotReadyRetry = 200 * kMs;
// A route that tells no time-out, and a client that tells none.
constexpr std::int64_t kDefaultTimeoutMs = 30'000;

std::string_view ResultName(core::CompletedRequest::Disposition end) {
  switch (end) {
    case core::CompletedRequest::Disposition::kServed:
      return "served";
    case core::CompletedRequest::Disposition::kRefused:
      return "refused";
    case core::CompletedRequest::Disposition::kFailed:
      return "failed";
    case core::CompletedRequest::Disposition::kClientGone:
      return "client_left";
  }
  return "unknown";
}

// These statuses promise that a request has not run.
bool Promises(unsigned status) { return status == 429 || status == 503 || status == 408 || status == 421; }

}  // namespace

// A request on its way: what is needed to send it, again too.
struct OutboundProxy::Flight {
  HttpServer::SessionPtr session;
  Lane* lane = nullptr;
  std::uint64_t number = 0;  // this process's own; its text is the request's id in the module
  std::string method, target, body;
  Headers headers;
  metrics::RequestLabels labels;
  std::uint8_t priority = 0;
  bool safe = false;
  int most_arrivals = 1;
  int arrivals = 0;  // that a server may have, or has turned away
  bool may_have_run = false;
  int unsettled = 0;      // attempts that were sent and whose fate is not known, those given up included
  bool reserved = false;  // the budget holds a further send for it
  int full = 0;           // servers that had no room for it
  Micros aim = 0;
  Micros deadline = 0;
  Micros due = 0;          // from then on its answer is late; the later the lower its priority
  core::MessagePtr error;  // what the last server said, if that was an error
  std::optional<ingress::Why> turned_away;  // by the last hop that turned it away last
  bool refused_by_server = false;           // the last refusal was a server's own
};

struct OutboundProxy::Lane {
  std::string service;
  std::unique_ptr<core::Egress> egress;
  std::unique_ptr<core::RequestManager> exchanges;
  quota::RetryBudget budget;
};

namespace {

// A body that is passed on while it comes.
struct Stream {
  HttpServer::SessionPtr session;  // null until it is served
  std::string waiting;
  bool ended = false, broken = false;
  std::function<void()> pause, resume;
  bool paused = false;
};

struct AnswerMessage : core::Message {
  unsigned status = 0;
  Headers headers;
  std::string body;
  std::int64_t length = -1;
  std::shared_ptr<Stream> stream;  // null: the body is whole
};

}  // namespace

struct RequestMessage : core::Message {
  std::shared_ptr<OutboundProxy::Flight> flight;
};

class Caller : public core::ResponseSink {
 public:
  Caller(OutboundProxy& owner, std::shared_ptr<OutboundProxy::Flight> flight)
      : owner_(owner), flight_(std::move(flight)) {}

  void Deliver(core::MessagePtr message) override {
    ++owner_.counters_.served;
    auto& answer = static_cast<AnswerMessage&>(*message);
    Write(answer);
  }

  void Refuse(Micros retry_after) override {
    // A plain error ends the request, and goes back as the server said it.
    if (flight_->error != nullptr) return Fail(core::FailureReason::kNoSafeRetry, std::move(flight_->error));
    ++owner_.counters_.refused;
    owner_.Refuse(flight_->session, 503, "refused: it has not run", std::max<Micros>(retry_after, 20 * kMs));
  }

  void Fail(core::FailureReason why, core::MessagePtr message) override {
    if (message != nullptr && why == core::FailureReason::kNoSafeRetry) {
      auto& answer = static_cast<AnswerMessage&>(*message);
      // What would promise that it has not run, and does not say that it did not.
      if (!flight_->safe && Promises(answer.status) && (flight_->may_have_run || flight_->unsettled > 0))
        answer.status = 502;
      ++owner_.counters_.served;
      return Write(answer);
    }
    if (flight_->safe || (flight_->arrivals == 0 && !flight_->may_have_run && flight_->unsettled == 0)) {
      // Trying again does no harm, or nothing of it has left.
      ++owner_.counters_.refused;
      return owner_.Refuse(flight_->session, 503, "refused", 20 * kMs);
    }
    const Micros due = owner_.end_ > 0 ? std::min(owner_.end_, flight_->deadline) : flight_->deadline;
    const bool late =
        why == core::FailureReason::kDeadlineExceeded || owner_.loop_.Now() + kAnswerMargin >= due;
    ++(late ? owner_.counters_.deadline_exceeded : owner_.counters_.failed);
    owner_.Refuse(flight_->session, late ? 504 : 502,
                  late ? "out of time: it may have run" : "failed: it may have run", 0);
  }

 private:
  void Write(AnswerMessage& answer) {
    if (answer.stream == nullptr)
      return HttpServer::Respond(flight_->session, answer.status, answer.headers, answer.body);
    const auto stream = answer.stream;
    const auto session = flight_->session;
    HttpServer::Begin(session, answer.status, answer.headers, answer.length);
    HttpServer::Write(session, stream->waiting);
    stream->waiting.clear();
    if (stream->broken) return HttpServer::Abort(session);
    if (stream->ended) return HttpServer::Finish(session);
    stream->session = session;
    HttpServer::OnDrained(session, [weak = std::weak_ptr<Stream>(stream)] {
      const auto mine = weak.lock();
      if (mine != nullptr && std::exchange(mine->paused, false)) mine->resume();
    });
  }

  OutboundProxy& owner_;
  const std::shared_ptr<OutboundProxy::Flight> flight_;
};

class OutboundProxy::Egress : public core::Egress {
 public:
  Egress(OutboundProxy& owner, Lane& lane) : owner_(owner), lane_(lane) {}

  AttemptId Send(const std::string& server, const core::Message& request, const SendOptions& order,
                 Done done) override {
    const auto flight = static_cast<const RequestMessage&>(request).flight;
    const AttemptId attempt = ++last_;
    const auto hop = owner_.hop_of_.find(server);
    if (hop == owner_.hop_of_.end()) return Unreachable(attempt, std::move(done));
    ++owner_.counters_.attempts_sent;
    ingress::Attempt out;
    out.server = server;
    out.method = flight->method;
    out.target = flight->target;
    out.headers = flight->headers;
    out.body = flight->body;
    out.left_ms = std::max<std::int64_t>(order.response_timeout / kMs, 1);
    out.wait_ms = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(kWaitShare * static_cast<double>(flight->aim)) / kMs, kLeastWaitMs,
        std::max<std::int64_t>(out.left_ms / 2, kLeastWaitMs));
    out.unsafe = !flight->safe;
    out.repeat = flight->may_have_run;
    out.route = flight->labels.route;
    out.priority = flight->priority;
    out.due_ms = std::max<std::int64_t>((flight->due - owner_.loop_.Now()) / kMs, 0);

    auto state = std::make_shared<State>();
    state->done = std::move(done);
    state->flight = flight;
    InboundProxyClient::Events events;
    events.head = [this, attempt, state](ingress::Head head) { OnHead(attempt, state, std::move(head)); };
    events.piece = [this, attempt, state](const ingress::Piece& piece) { OnPiece(attempt, state, piece); };
    events.turned = [this, attempt, state](ingress::Why why) {
      ++owner_.counters_.rejected;
      --state->flight->unsettled;
      const Result result = why == ingress::Why::kUnreachable ? Result::kUnreachable : Result::kRefused;
      if (ingress::IsFull(why)) ++state->flight->full;
      state->flight->turned_away = why;
      state->flight->refused_by_server = false;
      Finish(attempt, state, result, nullptr);
    };
    events.broken = [this, attempt, state](bool never_ran, bool) {
      if (state->stream != nullptr) return BreakStream(attempt, state);
      if (!state->headed) --state->flight->unsettled;
      if (never_ran) {
        ++owner_.counters_.withdrawn;
        return Finish(attempt, state, Result::kUnreachable, nullptr);
      }
      ++owner_.counters_.resets;
      Arrived(*state->flight, true);
      Finish(attempt, state, Result::kReset, nullptr);
    };
    ++flight->unsettled;
    out_[attempt] = owner_.hops_.Send(hop->second, std::move(out), std::move(events));
    return attempt;
  }

  void CancelAttempt(AttemptId attempt) override {
    const auto it = out_.find(attempt);
    if (it == out_.end()) return;
    const auto handle = it->second;
    out_.erase(it);
    if (handle != 0) owner_.hops_.GiveUp(handle);
  }

 private:
  struct State {
    Done done;
    std::shared_ptr<Flight> flight;
    std::unique_ptr<AnswerMessage> answer;
    std::shared_ptr<Stream> stream;
    bool headed = false;
  };
  using StatePtr = std::shared_ptr<State>;

  // The server has left the list since it was chosen.
  AttemptId Unreachable(AttemptId attempt, Done done) {
    out_[attempt] = 0;
    owner_.loop_.Post([this, attempt, done = std::move(done)] {
      if (out_.erase(attempt) == 0) return;  // given up
      done(core::AttemptResult());
    });
    return attempt;
  }

  static void Arrived(Flight& flight, bool may_have_run) {
    ++flight.arrivals;
    flight.may_have_run |= may_have_run;
  }

  void OnHead(AttemptId attempt, const StatePtr& state, ingress::Head head) {
    --state->flight->unsettled;
    state->headed = true;
    Arrived(*state->flight, head.executed);
    state->answer = std::make_unique<AnswerMessage>();
    AnswerMessage& answer = *state->answer;
    answer.status = head.status;
    answer.headers = std::move(head.headers);
    answer.body = std::move(head.body);
    answer.length = head.length;
    if (head.end) return Whole(attempt, state, head.executed);
    MaybeStream(attempt, state);
  }

  void OnPiece(AttemptId attempt, const StatePtr& state, const ingress::Piece& piece) {
    if (state->stream != nullptr) {
      Stream& stream = *state->stream;
      if (stream.session == nullptr) {
        stream.waiting += piece.bytes;
      } else {
        HttpServer::Write(stream.session, piece.bytes);
        if (!piece.end && HttpServer::Queued(stream.session) > kMostQueued &&
            !std::exchange(stream.paused, true))
          stream.pause();
      }
      if (!piece.end) return;
      out_.erase(attempt);
      stream.ended = true;
      if (stream.session != nullptr) HttpServer::Finish(stream.session);
      return;
    }
    state->answer->body += piece.bytes;
    if (piece.end) return Whole(attempt, state, true);
    MaybeStream(attempt, state);
  }

  // A body that is too long to be held goes on while it comes.
  void MaybeStream(AttemptId attempt, const StatePtr& state) {
    if (state->answer->body.size() < kHeldWhole || state->answer->status >= 500) return;
    auto stream = std::make_shared<Stream>();
    stream->waiting = std::move(state->answer->body);
    const auto handle = out_[attempt];
    stream->pause = [this, handle] { owner_.hops_.Pause(handle); };
    stream->resume = [this, handle] { owner_.hops_.Resume(handle); };
    state->stream = stream;
    state->answer->stream = stream;
    core::AttemptResult out;
    out.result = Result::kSuccess;
    out.message = std::move(state->answer);
    const Done done = std::move(state->done);
    done(std::move(out));
  }

  void BreakStream(AttemptId attempt, const StatePtr& state) {
    out_.erase(attempt);
    state->stream->broken = true;
    if (state->stream->session != nullptr) HttpServer::Abort(state->stream->session);
  }

  void Whole(AttemptId attempt, const StatePtr& state, bool executed) {
    AnswerMessage& answer = *state->answer;
    if (!executed && Promises(answer.status)) {
      state->flight->turned_away.reset();
      state->flight->refused_by_server = true;
      return Finish(attempt, state, Result::kRefused, nullptr);
    }
    if (answer.status >= 500 || (Promises(answer.status) && !state->flight->safe)) {
      if (!state->flight->safe) return Finish(attempt, state, Result::kError, std::move(state->answer));
      state->flight->error = std::move(state->answer);
      return Finish(attempt, state, Result::kError, nullptr);
    }
    Finish(attempt, state, Result::kSuccess, std::move(state->answer));
  }

  void Finish(AttemptId attempt, const StatePtr& state, Result result, core::MessagePtr message) {
    if (out_.erase(attempt) == 0) return;
    Flight& flight = *state->flight;
    core::AttemptResult out;
    out.result = result;
    out.message = std::move(message);
    // Where one server after the other is full a third is no help: its client is told at once when to come
    // back.
    if (flight.full >= kMostFull) out.cannot_retry = true;
    // Whether it may be sent further is settled here, so that a request that is given up has its answer at
    // once.
    if (result != Result::kSuccess && result != Result::kError && flight.arrivals > 0) {
      if (flight.arrivals >= flight.most_arrivals)
        out.cannot_retry = true;
      else if (!flight.reserved && !(flight.reserved = lane_.budget.TryAcquire(owner_.loop_.Now())))
        ++owner_.counters_.retry_budget_exhausted, out.cannot_retry = true;
    }
    const Done done = std::move(state->done);
    done(std::move(out));
  }

  OutboundProxy& owner_;
  Lane& lane_;
  AttemptId last_ = 0;
  std::unordered_map<AttemptId, InboundProxyClient::Handle> out_;  // 0: its end is about to be told
};

OutboundProxy::OutboundProxy(core::Loop& loop, Settings settings, InboundProxyClient& hops,
                             quota::Limiter& gauge, metrics::RequestMetrics& request_metrics)
    : loop_(loop),
      settings_(std::move(settings)),
      hops_(hops),
      gauge_(gauge),
      request_metrics_(request_metrics),
      random_(settings_.seed) {
  int index = 0;
  for (const auto& [zone, region] : settings_.zones) zone_index_[zone] = index++;
}

OutboundProxy::~OutboundProxy() = default;

OutboundProxy::Lane& OutboundProxy::LaneOf(const std::string& service) {
  if (const auto it = lanes_.find(service); it != lanes_.end()) return *it->second;
  merlinrun::Settings set;
  set.classes = ClassGrid();
  const auto zone = zone_index_.find(settings_.zone);
  set.zone = zone == zone_index_.end() ? -1 : zone->second;
  set.rank = static_cast<std::uint32_t>(rank_);
  set.siblings = static_cast<std::uint32_t>(std::max<std::size_t>(count_, rank_ + 1));
  set.max_attempts = kMostSends;
  set.cancel = true;
  set.max_retry_after = 1000 * kMs;
  set.cold_share = settings_.cold_share;
  set.warm_after = settings_.warm_after;
  set.price_connection = 0.001;
  // Who may come in is decided at the last hop, which alone knows what its server holds. The module's own
  // admission guesses from times of answers and attempts out; with a share of the traffic as small as a
  // sidecar's here it refused half of what healthy servers had room for, and never recovered.
  set.tuning.admit_target = set.tuning.out_from = set.tuning.loss_from = kNever;
  set.tuning.retry_base = kRetryBase;
  // Connections to a server are its own sidecar's alone here: a wide window costs links, and balances.
  set.tuning.windows_per_server = kWindowsPerServer;
  set.tuning.out_full = 2 * kNever;
  auto lane =
      std::make_unique<Lane>(Lane{service, nullptr, nullptr, quota::RetryBudget(settings_.retry_budget)});
  lane->budget.SetSidecarCount(count_);
  lane->egress = std::make_unique<Egress>(*this, *lane);
  lane->exchanges = std::make_unique<core::RequestManager>(
      loop_, set, random_.Next(), [] {}, [](std::string_view) {});
  auto& why = counters_.refusals_by_cause[service];
  lane->exchanges->OnRequestCompleted([this, &why](const core::CompletedRequest& ended) {
    if (ended.end_cause) ++why[static_cast<std::size_t>(*ended.end_cause)];
    OnEnded(ended);
  });
  if (end_ > 0) lane->exchanges->SetShutdownDeadline(end_);
  Lane& out = *lane;
  lanes_[service] = std::move(lane);
  Feed(out);
  return out;
}

void OutboundProxy::CountRefused(const metrics::RequestLabels& labels, std::string_view cause) {
  request_metrics_.OnEnded(labels, ResultName(core::CompletedRequest::Disposition::kRefused));
  request_metrics_.OnRefused(labels, metrics::Hop::kOutbound, cause);
}

// The request's message, which holds its flight, lives until after this.
void OutboundProxy::OnEnded(const core::CompletedRequest& ended) {
  const auto it = flights_.find(std::stoull(std::string(ended.id)));
  if (it == flights_.end()) return;
  const auto flight = it->second.lock();
  flights_.erase(it);
  if (flight == nullptr) return;
  request_metrics_.OnEnded(flight->labels, ResultName(ended.disposition));
  if (ended.disposition != core::CompletedRequest::Disposition::kRefused || !ended.end_cause) return;
  const bool turned_away = *ended.end_cause == merlinrun::Cause::kTurnedAway;
  if (turned_away && flight->turned_away)
    return request_metrics_.OnRefused(flight->labels, metrics::Hop::kLastHop,
                                      ingress::NameOf(*flight->turned_away));
  const auto hop = turned_away && flight->refused_by_server ? metrics::Hop::kServer : metrics::Hop::kOutbound;
  const auto cause = merlinrun::kCauseNames[static_cast<std::size_t>(*ended.end_cause)];
  request_metrics_.OnRefused(flight->labels, hop, cause);
}

void OutboundProxy::SetShutdownDeadline(Micros end) {
  end_ = end;
  for (auto& [service, lane] : lanes_) lane->exchanges->SetShutdownDeadline(end);
}

void OutboundProxy::FinishInFlight() {
  for (auto& [service, lane] : lanes_) lane->exchanges->EnforceShutdownDeadline();
}

void OutboundProxy::OnConfiguration(std::shared_ptr<const configuration::RoutingTables> tables) {
  tables_ = std::move(tables);
  for (const auto& route : tables_->routes())
    for (const auto& target : route.targets) LaneOf(target.service);
}

void OutboundProxy::OnEndpoints(const registry::Snapshot& listing, std::size_t rank, std::size_t count) {
  listing_ = listing;
  rank_ = rank;
  count_ = std::max<std::size_t>(count, 1);
  hop_of_.clear();
  std::map<std::string, Micros> started;
  const Micros now = loop_.Now();
  for (const registry::Server& server : listing_.servers) {
    hop_of_[server.id] = server.sidecar_address;
    const auto known = started_.find(server.id);
    // Told as how long it stays slow from here on; the module counts from its start.
    const Micros since =
        settings_.warm_after - std::min(settings_.warm_after, server.cold_remaining_ms * kMs);
    started[server.id] = known != started_.end()        ? known->second
                         : server.cold_remaining_ms > 0 ? std::max<Micros>(now - since, 1)
                                                        : 0;
  }
  started_ = std::move(started);
  for (auto& [service, lane] : lanes_) Feed(*lane);
}

void OutboundProxy::Feed(Lane& lane) {
  std::vector<merlinrun::ServerInfo> servers;
  for (const registry::Server& server : listing_.servers) {
    if (server.service != lane.service || server.state == registry::State::kGone) continue;
    merlinrun::ServerInfo info;
    info.id = server.id;
    const auto zone = zone_index_.find(server.zone);
    info.zone = zone == zone_index_.end() ? -1 : zone->second;
    info.started = started_[server.id];
    info.state = server.state == registry::State::kReady ? merlinrun::ServerInfo::State::kHealthy
                                                         : merlinrun::ServerInfo::State::kDraining;
    servers.push_back(info);
  }
  merlinrun::ListUpdate update;
  update.kind = merlinrun::ListUpdate::Kind::kFull;
  update.version = static_cast<std::int64_t>(listing_.revision);
  update.servers = servers;
  update.rank = static_cast<std::uint32_t>(rank_);
  update.siblings = static_cast<std::uint32_t>(std::max(count_, rank_ + 1));
  lane.budget.SetSidecarCount(count_);
  lane.exchanges->OnServers(update);
}

void OutboundProxy::Refuse(const HttpServer::SessionPtr& session, unsigned status, const char* why,
                           Micros retry_after) {
  Headers headers{{"Content-Type", "application/json"}};
  if (retry_after > 0) headers.emplace_back("Retry-After", merlinrun::net::FormatSeconds(retry_after));
  HttpServer::Respond(session, status, headers, "{\"error\":\"" + std::string(why) + "\"}\n");
}

void OutboundProxy::OnRequest(const HttpServer::SessionPtr& session, HttpRequest in) {
  ++counters_.requests;
  if (refuses_) {
    ++counters_.refused;
    CountRefused({}, "ending");
    return Refuse(session, 503, "this sidecar ends: it has not run", kNotReadyRetry);
  }
  if (tables_ == nullptr) {
    ++counters_.not_ready;
    CountRefused({}, "not_ready");
    return Refuse(session, 503, "no configuration yet: it has not run", kNotReadyRetry);
  }
  const Found found = Find(*tables_, in.host, in.target, in.headers);
  switch (found.kind) {
    case Found::Kind::kMalformed:
      ++counters_.malformed;
      CountRefused({}, "malformed");
      return Refuse(session, 400, "Attempt-Id or Deadline-Remaining is missing or malformed", 0);
    case Found::Kind::kNoRoute:
      ++counters_.no_route;
      CountRefused({}, "no_route");
      return Refuse(session, 404, "no such route", 0);
    case Found::Kind::kNoKey:
      ++counters_.no_key;
      CountRefused({}, "no_key");
      return Refuse(session, 401, "unknown key", 0);
    case Found::Kind::kGo:
      break;
  }
  const Micros now = loop_.Now();
  const int request_class = ClassOf(found);
  const metrics::RequestLabels labels{found.route->name, ClassName(request_class)};
  if (found.tenant != nullptr && !gauge_.TryAcquire(now, found.tenant->name)) {
    ++counters_.over_quota;
    CountRefused(labels, "over_quota");
    return Refuse(session, 429, "over the tenant's limit: it has not run",
                  std::max<Micros>(gauge_.RetryAfter(now, found.tenant->name), 50 * kMs));
  }
  Lane& lane = LaneOf(PickService(*found.route, random_.Unit()));
  lane.budget.OnRequest(now);
  if (retry_share_) {
    if (const double share = retry_share_(); share > 0) lane.budget.Charge(now, share);
  }
  auto flight = std::make_shared<Flight>();
  flight->session = session;
  flight->lane = &lane;
  flight->number = ++last_;
  flight->headers = Forwarded(in.headers, in.host, found, settings_.service);
  flight->method = std::move(in.method);
  flight->target = std::move(in.target);
  flight->body = std::move(in.body);
  flight->labels = labels;
  flight->priority = static_cast<std::uint8_t>(std::clamp(found.priority, 0, kLowestPriority));
  flight->safe = found.safe;
  flight->most_arrivals = std::max(1, found.route->max_attempts);
  flight->aim = (found.route->target_latency_ms > 0 ? found.route->target_latency_ms : 1000) * kMs;
  flight->due =
      now + static_cast<Micros>(static_cast<double>(flight->aim) * (1 + kLaterAPriority * found.priority));
  HttpServer::Tag(session) = flight->number;

  core::IncomingRequest arrival;
  arrival.id = std::to_string(flight->number);
  arrival.request_class = request_class;
  std::int64_t left = found.route->timeout_ms > 0 ? found.route->timeout_ms : kDefaultTimeoutMs;
  if (found.deadline_ms) left = std::min(left, *found.deadline_ms);
  arrival.client_timeout = left * kMs;
  flight->deadline = now + left * kMs;
  auto message = std::make_unique<RequestMessage>();
  message->flight = flight;
  arrival.request = std::move(message);
  arrival.response_sink = std::make_unique<Caller>(*this, flight);
  arrival.egress = lane.egress.get();
  flights_[flight->number] = flight;
  lane.exchanges->Submit(std::move(arrival));
}

void OutboundProxy::OnClientDisconnect(const HttpServer::SessionPtr& session) {
  ++counters_.client_disconnects;
  const auto it = flights_.find(HttpServer::Tag(session));
  if (it == flights_.end()) return;
  if (const auto flight = it->second.lock())
    flight->lane->exchanges->OnClientGone(std::to_string(flight->number));
}

}  // namespace fennelhollow::egress
