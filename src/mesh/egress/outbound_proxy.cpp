#include "mesh/egress/outbound_proxy.hpp"

#include <algorithm>
#include <utility>

#include "net/validate.hpp"

namespace fennelhollow::egress {
namespace {

namespace core = merlinrun::core;
using merlinrun::Result;

constexpr Micros kMs = 1000;
// Responses are buffered up to this size before the first byte goes to the client, so that a truncated
// response does not reach the client and can still be retried at another server.
constexpr std::size_t kMaxBufferedResponse = std::size_t{1024} * 1024;
// Reading from the server pauses while more than this is queued for a slow client.
constexpr std::size_t kMaxQueuedBytes = std::size_t{256} * 1024;
// Attempts that the balancer may make for a request, including those an inbound proxy rejected. The route's
// `attempts` limits how many reach a server.
constexpr int kMaxBalancerAttempts = 4;
// Capacity rejections after which a request is refused instead of trying another server.
constexpr int kMaxFullServers = 2;
// Upper bound of the first retry backoff.
constexpr Micros kRetryBase = 40 * kMs;
// Fraction of the latency target that an attempt may wait in the queue of the inbound proxy.
constexpr double kQueueTimeShare = 0.1;
constexpr std::int64_t kMinQueueTimeMs = 40;
// Each step of lower priority moves the due time back by this fraction of the latency target.
constexpr double kDueFactorPerPriority = 0.25;
// Lowest priority that the attempt protocol can carry.
constexpr int kLowestPriority = 255;
constexpr double kWindowsPerServer = 60;
// Threshold that is never reached; switches off the balancer's own admission control.
constexpr double kDisabled = 1000;
// Slightly more than the time by which the request manager responds before the deadline.
constexpr Micros kResponseMargin = 60 * kMs;
constexpr Micros kNotReadyRetry = 200 * kMs;
// Used if neither the route nor the client sets a timeout.
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

// Whether the status tells the client that the request was not executed.
bool PromisesNotExecuted(unsigned status) {
  return status == 429 || status == 503 || status == 408 || status == 421;
}

}  // namespace

// A request without a final response, with all that is needed to send and resend it.
struct OutboundProxy::PendingRequest {
  HttpServer::SessionPtr session;
  ServiceContext* service_context = nullptr;
  std::uint64_t sequence = 0;  // unique in this process; its text is the request's id in the balancer
  std::string method, target;
  std::shared_ptr<const std::string> body;  // shared with the attempts
  Headers headers;
  metrics::RequestLabels labels;
  std::uint8_t priority = 0;
  bool safe = false;
  int max_server_arrivals = 1;
  int server_arrivals = 0;  // attempts that a server may have received, including those it refused
  bool may_have_run = false;
  int unresolved_attempts = 0;   // attempts without a known outcome, including cancelled ones
  bool budget_reserved = false;  // a retry was taken from the retry budget
  int full_servers = 0;          // servers that rejected it for lack of capacity
  Micros latency_target = 0;
  Micros accepted_at = 0;
  Micros deadline = 0;
  Micros due = 0;          // when the response misses its latency target, adjusted for priority
  core::MessagePtr error;  // the last server's error response, if any
  std::optional<ingress::RejectReason> reject_reason;  // the latest one from an inbound proxy
  bool refused_by_server = false;                      // the latest refusal came from a server
};

struct OutboundProxy::ServiceContext {
  std::string service;
  std::unique_ptr<core::Egress> egress;
  std::unique_ptr<core::RequestManager> request_manager;
  quota::RetryBudget budget;
};

namespace {

// A response body that is forwarded while it is received.
struct ResponseStream {
  HttpServer::SessionPtr session;  // null until the response head is sent to the client
  std::string buffered;
  bool ended = false, was_reset = false;
  std::function<void()> pause, resume;
  bool paused = false;
};

struct ResponseMessage : core::Message {
  unsigned status = 0;
  Headers headers;
  std::string body;
  std::int64_t body_length = -1;
  std::shared_ptr<ResponseStream> stream;  // null if `body` is the whole body
};

}  // namespace

struct RequestMessage : core::Message {
  std::shared_ptr<OutboundProxy::PendingRequest> pending;
};

class ResponseWriter : public core::ResponseSink {
 public:
  ResponseWriter(OutboundProxy& owner, std::shared_ptr<OutboundProxy::PendingRequest> pending)
      : owner_(owner), pending_request_(std::move(pending)) {}

  void Deliver(core::MessagePtr message) override {
    ++owner_.counters_.served;
    auto& response = static_cast<ResponseMessage&>(*message);
    Write(response);
  }

  void Refuse(Micros retry_after) override {
    // A server's error response is returned unchanged.
    if (pending_request_->error != nullptr)
      return Fail(core::FailureReason::kNoSafeRetry, std::move(pending_request_->error));
    ++owner_.counters_.refused;
    owner_.CountIfGivenUp(*pending_request_);
    owner_.Refuse(pending_request_->session, 503, "refused: it has not run",
                  std::max<Micros>(retry_after, 20 * kMs));
  }

  void Fail(core::FailureReason reason, core::MessagePtr message) override {
    if (message != nullptr && reason == core::FailureReason::kNoSafeRetry) {
      auto& response = static_cast<ResponseMessage&>(*message);
      // The status would tell the client that the request was not executed, which is not certain.
      if (!pending_request_->safe && PromisesNotExecuted(response.status) &&
          (pending_request_->may_have_run || pending_request_->unresolved_attempts > 0))
        response.status = 502;
      ++owner_.counters_.served;
      return Write(response);
    }
    owner_.CountIfGivenUp(*pending_request_);
    if (pending_request_->safe ||
        (pending_request_->server_arrivals == 0 && !pending_request_->may_have_run &&
         pending_request_->unresolved_attempts == 0)) {
      // The client may retry: the request is safe, or no server received it.
      ++owner_.counters_.refused;
      return owner_.Refuse(pending_request_->session, 503, "refused", 20 * kMs);
    }
    const Micros due = owner_.shutdown_ ? std::min(owner_.shutdown_->deadline, pending_request_->deadline)
                                        : pending_request_->deadline;
    const bool out_of_time =
        reason == core::FailureReason::kDeadlineExceeded || owner_.loop_.Now() + kResponseMargin >= due;
    ++(out_of_time ? owner_.counters_.deadline_exceeded : owner_.counters_.failed);
    owner_.Refuse(pending_request_->session, out_of_time ? 504 : 502,
                  out_of_time ? "out of time: it may have run" : "failed: it may have run", 0);
  }

 private:
  void Write(ResponseMessage& response) {
    if (response.stream == nullptr)
      return HttpServer::Respond(pending_request_->session, response.status, response.headers, response.body);
    const auto stream = response.stream;
    const auto session = pending_request_->session;
    HttpServer::Begin(session, response.status, response.headers, response.body_length);
    HttpServer::Write(session, stream->buffered);
    std::string().swap(stream->buffered);
    if (stream->was_reset) return HttpServer::Abort(session);
    if (stream->ended) return HttpServer::Finish(session);
    stream->session = session;
    HttpServer::OnDrained(session, [weak = std::weak_ptr<ResponseStream>(stream)] {
      const auto locked = weak.lock();
      if (locked != nullptr && std::exchange(locked->paused, false)) locked->resume();
    });
  }

  OutboundProxy& owner_;
  const std::shared_ptr<OutboundProxy::PendingRequest> pending_request_;
};

class OutboundProxy::Egress : public core::Egress {
 public:
  Egress(OutboundProxy& owner, ServiceContext& service_context)
      : owner_(owner), service_context_(service_context) {}

  AttemptId Send(const std::string& server, const core::Message& request, const SendOptions& options,
                 Done done) override {
    const auto pending = static_cast<const RequestMessage&>(request).pending;
    const AttemptId attempt = ++last_attempt_;
    const auto proxy_address = owner_.proxy_of_.find(server);
    if (proxy_address == owner_.proxy_of_.end()) return Unreachable(attempt, std::move(done));
    ++owner_.counters_.attempts_sent;
    ingress::Attempt out;
    out.server = server;
    out.method = pending->method;
    out.target = pending->target;
    out.headers = pending->headers;
    out.remaining_ms = std::max<std::int64_t>(options.response_timeout / kMs, 1);
    out.max_queue_ms = std::clamp<std::int64_t>(
        static_cast<std::int64_t>(kQueueTimeShare * static_cast<double>(pending->latency_target)) / kMs,
        kMinQueueTimeMs, std::max<std::int64_t>(out.remaining_ms / 2, kMinQueueTimeMs));
    out.unsafe = !pending->safe;
    out.may_have_run_before = pending->may_have_run;
    out.route = pending->labels.route;
    out.priority = pending->priority;
    out.due_ms = std::max<std::int64_t>((pending->due - owner_.loop_.Now()) / kMs, 0);

    auto state = std::make_shared<AttemptState>();
    state->done = std::move(done);
    state->pending = pending;
    InboundProxyClient::Events events;
    events.on_head = [this, attempt, state](ingress::ResponseHead head) {
      OnHead(attempt, state, std::move(head));
    };
    events.on_body = [this, attempt, state](const ingress::BodyChunk& chunk) {
      OnBody(attempt, state, chunk);
    };
    events.on_rejected = [this, attempt, state](ingress::RejectReason reason) {
      ++owner_.counters_.rejected;
      --state->pending->unresolved_attempts;
      const Result result =
          reason == ingress::RejectReason::kUnreachable ? Result::kUnreachable : Result::kRefused;
      if (ingress::LacksCapacity(reason)) ++state->pending->full_servers;
      state->pending->reject_reason = reason;
      state->pending->refused_by_server = false;
      Finish(attempt, state, result, nullptr);
    };
    events.on_reset = [this, attempt, state](bool never_ran, bool) {
      if (state->stream != nullptr) return ResetStream(attempt, state);
      if (!state->head_received) --state->pending->unresolved_attempts;
      if (never_ran) {
        ++owner_.counters_.withdrawn;
        return Finish(attempt, state, Result::kUnreachable, nullptr);
      }
      ++owner_.counters_.resets;
      CountServerArrival(*state->pending, true);
      Finish(attempt, state, Result::kReset, nullptr);
    };
    ++pending->unresolved_attempts;
    handles_[attempt] =
        owner_.proxy_client_.Send(proxy_address->second, std::move(out), pending->body, std::move(events));
    return attempt;
  }

  void CancelAttempt(AttemptId attempt) override {
    const auto it = handles_.find(attempt);
    if (it == handles_.end()) return;
    const auto handle = it->second;
    handles_.erase(it);
    if (handle != 0) owner_.proxy_client_.Cancel(handle);
  }

 private:
  struct AttemptState {
    Done done;
    std::shared_ptr<PendingRequest> pending;
    std::unique_ptr<ResponseMessage> response;
    std::shared_ptr<ResponseStream> stream;
    bool head_received = false;
  };
  using AttemptStatePtr = std::shared_ptr<AttemptState>;

  // Used when the server was removed after the balancer chose it.
  AttemptId Unreachable(AttemptId attempt, Done done) {
    handles_[attempt] = 0;
    owner_.loop_.Post([this, attempt, done = std::move(done)] {
      if (handles_.erase(attempt) == 0) return;  // cancelled meanwhile
      done(core::AttemptResult());
    });
    return attempt;
  }

  static void CountServerArrival(PendingRequest& pending, bool may_have_run) {
    ++pending.server_arrivals;
    pending.may_have_run |= may_have_run;
  }

  void OnHead(AttemptId attempt, const AttemptStatePtr& state, ingress::ResponseHead head) {
    --state->pending->unresolved_attempts;
    state->head_received = true;
    CountServerArrival(*state->pending, head.executed);
    state->response = std::make_unique<ResponseMessage>();
    ResponseMessage& response = *state->response;
    response.status = head.status;
    response.headers = std::move(head.headers);
    response.body = std::move(head.body);
    response.body_length = head.content_length;
    if (!ChargeHeldResponse(attempt, *state)) return;
    if (head.end) return OnResponseComplete(attempt, state, head.executed);
    StreamIfLarge(attempt, state);
  }

  // False if there was no memory for the response: the client's connection was reset, which has cancelled the
  // attempt.
  bool ChargeHeldResponse(AttemptId attempt, const AttemptState& state) const {
    HttpServer::ChargeHeldResponse(state.pending->session, state.response->body.size());
    return handles_.contains(attempt);
  }

  void OnBody(AttemptId attempt, const AttemptStatePtr& state, const ingress::BodyChunk& chunk) {
    if (state->stream != nullptr) {
      ResponseStream& stream = *state->stream;
      if (stream.session == nullptr) {
        stream.buffered += chunk.bytes;
      } else {
        HttpServer::Write(stream.session, chunk.bytes);
        if (!chunk.end && HttpServer::QueuedBytes(stream.session) > kMaxQueuedBytes &&
            !std::exchange(stream.paused, true))
          stream.pause();
      }
      if (!chunk.end) return;
      EndStream(attempt, state);
      stream.ended = true;
      if (stream.session != nullptr) HttpServer::Finish(stream.session);
      return;
    }
    state->response->body += chunk.bytes;
    if (!ChargeHeldResponse(attempt, *state)) return;
    if (chunk.end) return OnResponseComplete(attempt, state, true);
    StreamIfLarge(attempt, state);
  }

  void StreamIfLarge(AttemptId attempt, const AttemptStatePtr& state) {
    if (state->response->body.size() < kMaxBufferedResponse || state->response->status >= 500) return;
    auto stream = std::make_shared<ResponseStream>();
    stream->buffered = std::move(state->response->body);
    const auto handle = handles_[attempt];
    stream->pause = [this, handle] { owner_.proxy_client_.Pause(handle); };
    stream->resume = [this, handle] { owner_.proxy_client_.Resume(handle); };
    state->stream = stream;
    state->response->stream = stream;
    owner_.streams_[state->pending->sequence] = [this, attempt] { CancelAttempt(attempt); };
    core::AttemptResult out;
    out.result = Result::kSuccess;
    out.message = std::move(state->response);
    const Done done = std::move(state->done);
    done(std::move(out));
  }

  void EndStream(AttemptId attempt, const AttemptStatePtr& state) {
    handles_.erase(attempt);
    owner_.streams_.erase(state->pending->sequence);
  }

  void ResetStream(AttemptId attempt, const AttemptStatePtr& state) {
    EndStream(attempt, state);
    state->stream->was_reset = true;
    if (state->stream->session != nullptr) HttpServer::Abort(state->stream->session);
  }

  void OnResponseComplete(AttemptId attempt, const AttemptStatePtr& state, bool executed) {
    ResponseMessage& response = *state->response;
    if (!executed && PromisesNotExecuted(response.status)) {
      state->pending->reject_reason.reset();
      state->pending->refused_by_server = true;
      return Finish(attempt, state, Result::kRefused, nullptr);
    }
    if (response.status >= 500 || (PromisesNotExecuted(response.status) && !state->pending->safe)) {
      if (!state->pending->safe) return Finish(attempt, state, Result::kError, std::move(state->response));
      state->pending->error = std::move(state->response);
      return Finish(attempt, state, Result::kError, nullptr);
    }
    Finish(attempt, state, Result::kSuccess, std::move(state->response));
  }

  void Finish(AttemptId attempt, const AttemptStatePtr& state, Result result, core::MessagePtr message) {
    if (handles_.erase(attempt) == 0) return;
    PendingRequest& pending = *state->pending;
    core::AttemptResult out;
    out.result = result;
    out.message = std::move(message);
    // Further servers are probably full as well; refuse at once with Retry-After.
    if (pending.full_servers >= kMaxFullServers) out.cannot_retry = true;
    // Limits on retries are checked here, before a retry is scheduled, so that the client is answered at
    // once.
    if (result != Result::kSuccess && result != Result::kError && pending.server_arrivals > 0) {
      if (pending.server_arrivals >= pending.max_server_arrivals)
        out.cannot_retry = true;
      else if (!pending.budget_reserved &&
               !(pending.budget_reserved = service_context_.budget.TryAcquire(owner_.loop_.Now())))
        ++owner_.counters_.retry_budget_exhausted, out.cannot_retry = true;
    }
    const Done done = std::move(state->done);
    done(std::move(out));
  }

  OutboundProxy& owner_;
  ServiceContext& service_context_;
  AttemptId last_attempt_ = 0;
  std::unordered_map<AttemptId, InboundProxyClient::Handle> handles_;  // 0 if the attempt could not be sent
};

OutboundProxy::OutboundProxy(core::Loop& loop, Settings settings, InboundProxyClient& proxy_client,
                             quota::Limiter& limiter, metrics::RequestMetrics& request_metrics)
    : loop_(loop),
      settings_(std::move(settings)),
      proxy_client_(proxy_client),
      limiter_(limiter),
      request_metrics_(request_metrics),
      random_(settings_.seed) {
  int index = 0;
  for (const auto& [zone, region] : settings_.zones) zone_index_[zone] = index++;
}

OutboundProxy::~OutboundProxy() = default;

OutboundProxy::ServiceContext& OutboundProxy::ContextFor(const std::string& service) {
  if (const auto it = service_contexts_.find(service); it != service_contexts_.end()) return *it->second;
  merlinrun::Settings balancer_settings;
  balancer_settings.classes = RequestClasses();
  const auto zone = zone_index_.find(settings_.zone);
  balancer_settings.zone = zone == zone_index_.end() ? -1 : zone->second;
  balancer_settings.sidecar_index = static_cast<std::uint32_t>(rank_);
  balancer_settings.sidecar_count =
      static_cast<std::uint32_t>(std::max<std::size_t>(sidecar_count_, rank_ + 1));
  balancer_settings.max_attempts = kMaxBalancerAttempts;
  balancer_settings.cancel = true;
  balancer_settings.max_retry_after = 1000 * kMs;
  balancer_settings.cold_start_capacity = settings_.cold_share;
  balancer_settings.warmup_time = settings_.warm_after;
  balancer_settings.cost_connection = 0.001;
  // Admission is decided by the inbound proxy, which knows the load of its server. The balancer's own
  // admission control is off: it estimates the load from the small share of traffic that one sidecar sees,
  // so it would refuse many requests for which healthy servers have capacity, and not recover from that.
  balancer_settings.tuning.admission_target = balancer_settings.tuning.in_flight_shed_start =
      balancer_settings.tuning.capacity_loss_shed_start = kDisabled;
  balancer_settings.tuning.retry_base = kRetryBase;
  // Only the server's own sidecar connects to it, so a large subset costs a few links and improves balance.
  balancer_settings.tuning.windows_per_server = kWindowsPerServer;
  balancer_settings.tuning.in_flight_shed_full = 2 * kDisabled;
  auto service_context = std::make_unique<ServiceContext>(
      ServiceContext{service, nullptr, nullptr, quota::RetryBudget(settings_.retry_budget)});
  service_context->budget.SetSidecarCount(sidecar_count_);
  service_context->egress = std::make_unique<Egress>(*this, *service_context);
  service_context->request_manager = std::make_unique<core::RequestManager>(
      loop_, balancer_settings, random_.Next(), [] {}, [](std::string_view) {});
  auto& causes = counters_.requests_by_end_cause[service];
  service_context->request_manager->SetCompletionObserver(
      [this, &causes](const core::CompletedRequest& completed) {
        if (completed.end_cause) ++causes[static_cast<std::size_t>(*completed.end_cause)];
        OnCompleted(completed);
      });
  if (shutdown_) service_context->request_manager->SetShutdownDeadline(shutdown_->deadline);
  ServiceContext& out = *service_context;
  service_contexts_[service] = std::move(service_context);
  UpdateServers(out);
  return out;
}

void OutboundProxy::CountRefused(const metrics::RequestLabels& labels, std::string_view cause) {
  request_metrics_.OnEnded(labels, ResultName(core::CompletedRequest::Disposition::kRefused));
  request_metrics_.OnRefused(labels, metrics::Hop::kOutbound, cause);
}

void OutboundProxy::CountIfGivenUp(const PendingRequest& pending) {
  if (!terminating_in_flight_) return;
  const Micros accepted_after = pending.accepted_at - shutdown_started_at_;
  Micros& last = shutdown_counters_.last_given_up_accepted_after;
  last = shutdown_counters_.given_up++ == 0 ? accepted_after : std::max(last, accepted_after);
}

// The RequestMessage, which owns the PendingRequest, outlives this call.
void OutboundProxy::OnCompleted(const core::CompletedRequest& completed) {
  const auto it = pending_requests_.find(std::stoull(std::string(completed.id)));
  if (it == pending_requests_.end()) return;
  const auto pending = it->second.lock();
  pending_requests_.erase(it);
  if (pending == nullptr) return;
  request_metrics_.OnEnded(pending->labels, ResultName(completed.disposition));
  if (completed.disposition != core::CompletedRequest::Disposition::kRefused || !completed.end_cause) return;
  const bool rejected_by_peer = *completed.end_cause == merlinrun::Cause::kRejected;
  if (rejected_by_peer && pending->reject_reason)
    return request_metrics_.OnRefused(pending->labels, metrics::Hop::kLastHop,
                                      ingress::NameOf(*pending->reject_reason));
  const auto refused_at =
      rejected_by_peer && pending->refused_by_server ? metrics::Hop::kServer : metrics::Hop::kOutbound;
  const auto cause = merlinrun::kCauseNames[static_cast<std::size_t>(*completed.end_cause)];
  request_metrics_.OnRefused(pending->labels, refused_at, cause);
}

void OutboundProxy::BeginShutdown(const ShutdownLimits& limits) {
  shutdown_started_at_ = loop_.Now();
  shutdown_ = limits;
  for (auto& [service, service_context] : service_contexts_)
    service_context->request_manager->SetShutdownDeadline(limits.deadline);
}

bool OutboundProxy::ComesTooLate(Micros now, Micros time_limit) const {
  return shutdown_ && now >= shutdown_->accept_all_until && now + time_limit > shutdown_->deadline;
}

void OutboundProxy::RefuseForShutdown(const HttpServer::SessionPtr& session,
                                      const metrics::RequestLabels& labels) {
  ++counters_.refused;
  ++shutdown_counters_.refused;
  CountRefused(labels, "ending");
  Refuse(session, 503, "this sidecar ends: it has not run", kNotReadyRetry);
}

void OutboundProxy::TerminateInFlight() {
  terminating_in_flight_ = true;
  for (auto& [service, service_context] : service_contexts_)
    service_context->request_manager->EnforceShutdownDeadline();
  terminating_in_flight_ = false;
}

void OutboundProxy::OnConfiguration(std::shared_ptr<const configuration::RoutingTables> tables) {
  tables_ = std::move(tables);
  for (const auto& route : tables_->routes())
    for (const auto& target : route.targets) ContextFor(target.service);
}

void OutboundProxy::OnEndpoints(const registry::Snapshot& snapshot, std::size_t rank, std::size_t count) {
  snapshot_ = snapshot;
  rank_ = rank;
  sidecar_count_ = std::max<std::size_t>(count, 1);
  proxy_of_.clear();
  std::map<std::string, Micros> start_times;
  const Micros now = loop_.Now();
  for (const registry::Server& server : snapshot_.servers) {
    if (server.state == registry::State::kGone) continue;
    proxy_of_[server.id] = server.sidecar_address;
    const auto previous = start_times_.find(server.id);
    // The registry reports the remaining cold period; the balancer expects the start time.
    const Micros since =
        settings_.warm_after - std::min(settings_.warm_after, server.cold_remaining_ms * kMs);
    start_times[server.id] = previous != start_times_.end() ? previous->second
                             : server.cold_remaining_ms > 0 ? std::max<Micros>(now - since, 1)
                                                            : 0;
  }
  start_times_ = std::move(start_times);
  for (auto& [service, service_context] : service_contexts_) UpdateServers(*service_context);
}

void OutboundProxy::UpdateServers(ServiceContext& service_context) {
  std::vector<merlinrun::ServerInfo> servers;
  for (const registry::Server& server : snapshot_.servers) {
    if (server.service != service_context.service || server.state == registry::State::kGone) continue;
    merlinrun::ServerInfo info;
    info.id = server.id;
    const auto zone = zone_index_.find(server.zone);
    info.zone = zone == zone_index_.end() ? -1 : zone->second;
    info.started = start_times_[server.id];
    info.state = server.state == registry::State::kReady ? merlinrun::ServerInfo::State::kHealthy
                                                         : merlinrun::ServerInfo::State::kDraining;
    servers.push_back(info);
  }
  merlinrun::ListUpdate update;
  update.kind = merlinrun::ListUpdate::Kind::kFull;
  update.version = static_cast<std::int64_t>(snapshot_.revision);
  update.servers = servers;
  update.sidecar_index = static_cast<std::uint32_t>(rank_);
  update.sidecar_count = static_cast<std::uint32_t>(std::max(sidecar_count_, rank_ + 1));
  service_context.budget.SetSidecarCount(sidecar_count_);
  service_context.request_manager->OnServers(update);
}

void OutboundProxy::Refuse(const HttpServer::SessionPtr& session, unsigned status, const char* detail,
                           Micros retry_after) {
  Headers headers{{"Content-Type", "application/json"}};
  if (retry_after > 0) headers.emplace_back("Retry-After", merlinrun::net::FormatSeconds(retry_after));
  HttpServer::Respond(session, status, headers, "{\"error\":\"" + std::string(detail) + "\"}\n");
}

void OutboundProxy::OnRequest(const HttpServer::SessionPtr& session, HttpRequest http_request) {
  ++counters_.requests;
  if (refuse_new_) return RefuseForShutdown(session, {});
  if (tables_ == nullptr) {
    ++counters_.not_ready;
    CountRefused({}, "not_ready");
    return Refuse(session, 503, "no configuration yet: it has not run", kNotReadyRetry);
  }
  const RouteMatch match = MatchRoute(*tables_, http_request.host, http_request.target, http_request.headers);
  switch (match.kind) {
    case RouteMatch::Kind::kMalformed:
      ++counters_.malformed;
      CountRefused({}, "malformed");
      return Refuse(session, 400, "Attempt-Id or Deadline-Remaining is missing or malformed", 0);
    case RouteMatch::Kind::kNoRoute:
      ++counters_.no_route;
      CountRefused({}, "no_route");
      return Refuse(session, 404, "no such route", 0);
    case RouteMatch::Kind::kNoKey:
      ++counters_.no_key;
      CountRefused({}, "no_key");
      return Refuse(session, 401, "unknown key", 0);
    case RouteMatch::Kind::kMatched:
      break;
  }
  const Micros now = loop_.Now();
  const int request_class = RequestClassOf(match);
  const metrics::RequestLabels labels{match.route->name, RequestClassName(request_class)};
  std::int64_t time_limit_ms = match.route->timeout_ms > 0 ? match.route->timeout_ms : kDefaultTimeoutMs;
  if (match.deadline_ms) time_limit_ms = std::min(time_limit_ms, *match.deadline_ms);
  if (ComesTooLate(now, time_limit_ms * kMs)) return RefuseForShutdown(session, labels);
  if (match.tenant != nullptr && !limiter_.TryAcquire(now, match.tenant->name)) {
    ++counters_.over_quota;
    CountRefused(labels, "over_quota");
    return Refuse(session, 429, "over the tenant's limit: it has not run",
                  std::max<Micros>(limiter_.RetryAfter(now, match.tenant->name), 50 * kMs));
  }
  ServiceContext& service_context = ContextFor(PickService(*match.route, random_.Unit()));
  service_context.budget.OnRequest(now);
  if (retry_share_) {
    if (const double share = retry_share_(); share > 0) service_context.budget.Charge(now, share);
  }
  auto pending = std::make_shared<PendingRequest>();
  pending->session = session;
  pending->service_context = &service_context;
  pending->sequence = ++last_sequence_;
  pending->headers = ForwardedHeaders(http_request.headers, http_request.host, match, settings_.service);
  pending->method = std::move(http_request.method);
  pending->target = std::move(http_request.target);
  pending->body = std::make_shared<const std::string>(std::move(http_request.body));
  pending->labels = labels;
  pending->priority = static_cast<std::uint8_t>(std::clamp(match.priority, 0, kLowestPriority));
  pending->safe = match.safe;
  pending->max_server_arrivals = std::max(1, match.route->max_attempts);
  pending->accepted_at = now;
  if (shutdown_) ++shutdown_counters_.accepted;
  pending->latency_target =
      (match.route->target_latency_ms > 0 ? match.route->target_latency_ms : 1000) * kMs;
  pending->due = now + static_cast<Micros>(static_cast<double>(pending->latency_target) *
                                           (1 + kDueFactorPerPriority * match.priority));
  HttpServer::Tag(session) = pending->sequence;

  core::IncomingRequest incoming;
  incoming.id = std::to_string(pending->sequence);
  incoming.request_class = request_class;
  incoming.client_timeout = time_limit_ms * kMs;
  pending->deadline = now + time_limit_ms * kMs;
  auto message = std::make_unique<RequestMessage>();
  message->pending = pending;
  incoming.request = std::move(message);
  incoming.response_sink = std::make_unique<ResponseWriter>(*this, pending);
  incoming.egress = service_context.egress.get();
  pending_requests_[pending->sequence] = pending;
  service_context.request_manager->Submit(std::move(incoming));
}

void OutboundProxy::OnClientDisconnect(const HttpServer::SessionPtr& session) {
  ++counters_.client_disconnects;
  // A streamed response is complete for the request manager, but its attempt still runs.
  if (const auto stream = streams_.extract(HttpServer::Tag(session)); !stream.empty()) stream.mapped()();
  const auto it = pending_requests_.find(HttpServer::Tag(session));
  if (it == pending_requests_.end()) return;
  if (const auto pending = it->second.lock())
    pending->service_context->request_manager->OnClientGone(std::to_string(pending->sequence));
}

}  // namespace fennelhollow::egress
