#include "sidecar.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <optional>
#include <utility>

namespace merlinrun::net {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;

// Descriptors for all but clients and servers: standard streams, epoll and its helpers, listener, watch, and
// the connections that are being turned away.
constexpr std::size_t kOtherSockets = 32;
// The clients' part of the rest. They use a third of all at most for requests, and some of theirs are idle; a
// request in work takes one of each side.
constexpr double kClientShare = 0.55;
// The part of the memory that bodies and answers may hold; the rest is for the program, what connections hold
// beside bodies, lists of servers and what the allocator leaves unused.
constexpr std::size_t kBudgetShare = 5;
// Idle connections are closed this far into the time after which servers may close them. Guards against a
// request that crosses the server's close: it would be reset and may have run.
constexpr double kIdleShare = 0.7;
// A final answer leaves this long before the client gives up, as other sidecars share the core and a busy
// loop is late; a short budget gives up no more than this part of itself.
constexpr Micros kAnswerMargin = 40 * kMs;
constexpr double kMostMarginShare = 0.2;
// After SIGTERM: connections still come for up to 0.4 s, and the kill comes no sooner than 3.7 s.
constexpr Micros kAcceptAfterDrain = 550 * kMs;
constexpr Micros kIdleAfterDrain = 150 * kMs;  // and then so long for what was accepted last to speak
constexpr Micros kMostDrain = 3200 * kMs;
constexpr Micros kLastWords = 100 * kMs;  // for the answers given at that moment to be read
constexpr Micros kDrainPoll = 20 * kMs;

std::string Seconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / static_cast<double>(kSecond));
  return text;
}

// The query parameter that says what a request is about; empty if it has none.
std::string_view KeyOf(std::string_view target) {
  const std::string name = std::string(kKeyParameter) + "=";
  std::size_t at = target.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = target.substr(at + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    if (pair.substr(0, name.size()) == name) return pair.substr(name.size());
    at = target.find('&', at + 1);
  }
  return {};
}

std::size_t ClientSockets(const Config& config) {
  return static_cast<std::size_t>(kClientShare * static_cast<double>(config.sockets - kOtherSockets));
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.keep_idle =
      static_cast<Micros>(kIdleShare * static_cast<double>(config.wire.settings.connection_idle));
  limits.dial_timeout = config.wire.settings.dial_timeout;
  limits.connections = config.sockets - kOtherSockets - ClientSockets(config);
  return limits;
}

Discovery::Timing DiscoveryTiming(const Config& config) {
  Discovery::Timing timing;
  timing.reopens = !config.wire.settings.must_subscribe;
  return timing;
}

// Unix time and the steady clock compared once: the steady one alone moves afterwards. Were the difference
// taken anew for each list, one start would be mapped to ever new times, and the module takes a new time for
// a new start, with a cold server.
Micros ClockOffset() {
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(wall - steady).count();
}

}  // namespace

bool Sidecar::Call::AnyOut() const {
  return std::any_of(attempts.begin(), attempts.end(), [](const Attempt& a) { return a.out; });
}

Sidecar::Sidecar(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      clock_offset_(ClockOffset()),
      budget_(config_.memory / kBudgetShare),
      upstream_(io, UpstreamLimits(config_), budget_),
      discovery_(io, config_.discovery, config_.wire, DiscoveryTiming(config_), config_.seed,
                 {[this](const EndpointList& list) {
                    OnList(list.whole ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                  },
                  [this] { OnDiscoveryFailed(); }}),
      drain_timer_(io) {
  std::string error;
  balancer_ = Balancer::Create(config_.wire.settings, config_.seed, Now(), *this, error);
  if (balancer_ == nullptr) throw ConfigError("settings: " + error);
}

Sidecar::~Sidecar() = default;

void Sidecar::Start() {
  Inbound::Events events;
  events.on_request = [this](const Inbound::SessionPtr& session, HttpRequest request) {
    OnRequest(session, std::move(request));
  };
  events.on_gone = [this](const std::string& id) { OnClientGone(id); };
  events.ready = [this] { return upstream_.any_server(); };
  Inbound::Limits limits;
  limits.sessions = ClientSockets(config_);
  inbound_ = std::make_unique<Inbound>(io_, config_.listen, limits, budget_, events);
  OnList(ListUpdate::Kind::kStale, config_.known);
  if (config_.known.endpoints.empty()) generation_ = Discovery::kUnknown;
  if (!config_.wire.settings.must_subscribe) discovery_.Watch(generation_);
}

void Sidecar::Reload(const Config& config) { discovery_.Switch(config.discovery); }

// ---- The clock and the list ----

Micros Sidecar::Now() const {
  const auto steady = std::chrono::steady_clock::now().time_since_epoch();
  return clock_offset_ + std::chrono::duration_cast<std::chrono::microseconds>(steady).count();
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list) {
  generation_ = list.generation;
  EndpointList applied = list;
  applied.whole = kind != ListUpdate::Kind::kDelta;
  upstream_.Apply(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) servers.push_back(endpoint.info);
  balancer_->OnServers(Now(), {kind, list.generation, servers});
}

void Sidecar::OnDiscoveryFailed() {
  if (config_.wire.settings.must_subscribe)
    balancer_->OnServers(Now(), {ListUpdate::Kind::kFailed, generation_, {}});
}

// ---- A request's life ----

std::optional<Fault> Sidecar::Check(const HttpRequest& request, int request_class) const {
  if (request_class < 0) return Fault{http::status::not_found, "unknown Req-Kind\n"};
  if (calls_.count(std::string(View(request[kIdHeader]))) > 0)
    return Fault{http::status::conflict, "Req-Id is in use\n"};
  return CheckAgainstClass(request,
                           config_.wire.settings.classes[static_cast<std::size_t>(request_class)].repeat);
}

// How long there is for the final answer: what the client says, its class's deadline at most.
Micros Sidecar::BudgetOf(const HttpRequest& request, int request_class) const {
  Micros budget = config_.wire.settings.classes[static_cast<std::size_t>(request_class)].deadline;
  if (const auto seconds = ParseDecimal(View(request[kDeadlineHeader]))) {
    const auto told = static_cast<Micros>(*seconds * static_cast<double>(kSecond));
    budget = budget > 0 ? std::min(budget, told) : told;
  }
  budget -= std::min(kAnswerMargin, static_cast<Micros>(kMostMarginShare * static_cast<double>(budget)));
  return drain_end_ > 0 ? std::clamp<Micros>(drain_end_ - Now(), 0, budget) : budget;
}

void Sidecar::OnRequest(const Inbound::SessionPtr& session, HttpRequest request) {
  const std::string id(View(request[kIdHeader]));
  const int request_class = ClassIndex(View(request[kClassHeader]));
  if (const auto fault = Check(request, request_class)) return Inbound::Reject(session, *fault);
  const Micros now = Now();
  const Micros budget = BudgetOf(request, request_class);

  Call& call = calls_[id];
  call.request = std::move(request);
  call.session = session;
  call.deadline = now + budget;
  call.timer = std::make_unique<asio::steady_timer>(io_);
  Watch(id, call);

  merlinrun::Request in;
  in.id = id;
  in.request_class = request_class;
  in.tenant = TenantIndex(View(call.request[kTenantHeader]));
  in.budget = budget;
  in.repeated = call.request[kRepeatHeader] == "1";
  in.write = call.request.method() != http::verb::get;
  if (const auto cost = ParseDecimal(View(call.request[kCostHeader])); cost && *cost < 1e12)
    in.cost = static_cast<Micros>(*cost);
  const std::string key(KeyOf(View(call.request.target())));
  in.key = key;
  balancer_->OnRequest(now, in);
  EraseIfOver(id);
}

void Sidecar::OnClientGone(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  it->second.session = nullptr;
  balancer_->OnClientGone(Now(), id);
  EraseIfOver(id);
}

void Sidecar::OnAnswer(const std::string& id, int attempt, UpstreamAnswer answer) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  if (answer.result == Result::kSuccess && it->second.session != nullptr) {
    HttpResponse response(http::status::ok, 11);
    if (const auto type = answer.response[http::field::content_type]; !type.empty())
      response.set(http::field::content_type, type);
    response.body() = std::move(answer.response.body());
    Answer(it->second, std::move(response), std::move(answer.charge));
  }
  Conclude(id, attempt, answer.result);
}

// Tells the module, once, what became of an attempt.
void Sidecar::Conclude(const std::string& id, int attempt, Result result) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Attempt& ended = it->second.attempts[static_cast<std::size_t>(attempt)];
  if (!std::exchange(ended.out, false)) return;
  const Micros now = Now();
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = result;
  outcome.elapsed = std::max<Micros>(now - ended.sent, 0);
  outcome.settled = it->second.session == nullptr;
  balancer_->OnOutcome(now, outcome);
  EraseIfOver(id);
}

void Sidecar::Answer(Call& call, HttpResponse response, Charge charge) {
  Inbound::Respond(std::exchange(call.session, nullptr), std::move(response), std::move(charge));
}

// Sets the call's timer to what is due next: the end of an attempt, or the answer itself.
void Sidecar::Watch(const std::string& id, Call& call) {
  Micros due = call.deadline;
  for (const Attempt& attempt : call.attempts)
    if (attempt.out) due = std::min(due, attempt.expires);
  call.timer->expires_after(std::chrono::microseconds(std::max<Micros>(due - Now(), 0)));
  call.timer->async_wait([this, id](ErrorCode error) {
    if (!error) OnDue(id);
  });
}

void Sidecar::OnDue(const std::string& id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const Micros now = Now();
  for (std::size_t i = 0; i < it->second.attempts.size(); ++i) {
    const Attempt& attempt = it->second.attempts[i];
    if (!attempt.out || now < attempt.expires) continue;
    upstream_.GiveUp(attempt.upstream);
    Conclude(id, static_cast<int>(i), Result::kTimeout);
    it = calls_.find(id);
    if (it == calls_.end()) return;
  }
  if (now >= it->second.deadline && it->second.session != nullptr) {
    // The module ends requests before this. Guards against a client that gets no answer should it not.
    Answer(it->second, Plain(http::status::gateway_timeout, "out of time\n"));
    balancer_->OnClientGone(now, id);
    return EraseIfOver(id);
  }
  if (now < it->second.deadline) Watch(id, it->second);
}

void Sidecar::EraseIfOver(const std::string& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.session != nullptr || it->second.AnyOut()) return;
  calls_.erase(it);
  CheckFinished();
}

// What the protocol names and nothing else: whatever else came along may mean something to a server.
HttpRequest Sidecar::Forwarded(const Call& call, Micros left) const {
  HttpRequest out(call.request.method(), call.request.target(), 11);
  for (const char* name : kRequestHeaders)
    if (const auto it = call.request.find(name); it != call.request.end()) out.set(name, it->value());
  out.set(kDeadlineHeader, Seconds(left));
  out.body() = call.request.body();
  out.prepare_payload();
  return out;
}

int Sidecar::ClassIndex(std::string_view name) const {
  const auto& classes = config_.wire.settings.classes;
  const std::string wire_name = WireName(name);
  const auto it = std::find_if(classes.begin(), classes.end(),
                               [&](const RequestClass& c) { return c.name == wire_name; });
  return it == classes.end() ? -1 : static_cast<int>(it - classes.begin());
}

int Sidecar::TenantIndex(std::string_view name) const {
  const auto& tenants = config_.wire.settings.tenants;
  const std::string wire_name = WireName(name);
  const auto it =
      std::find_if(tenants.begin(), tenants.end(), [&](const Tenant& t) { return t.name == wire_name; });
  return it == tenants.end() ? -1 : static_cast<int>(it - tenants.begin());
}

// ---- The module's actions; none of them may call it back ----

void Sidecar::Send(std::string_view request, const std::string& server, Micros timeout) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  Call& call = it->second;
  const Micros now = Now();
  const int number = static_cast<int>(call.attempts.size());
  Attempt attempt;
  attempt.sent = now;
  attempt.expires = timeout > 0 ? std::min(call.deadline, now + timeout) : call.deadline;
  if (call.session == nullptr || now >= attempt.expires) {
    call.attempts.push_back(attempt);
    asio::post(io_, [this, id, number] { Conclude(id, number, Result::kNeverSent); });
    return;
  }
  attempt.upstream =
      upstream_.Send(server, Forwarded(call, attempt.expires - now),
                     [this, id, number](UpstreamAnswer answer) { OnAnswer(id, number, std::move(answer)); });
  call.attempts.push_back(attempt);
  if (attempt.expires < call.deadline) Watch(id, call);
}

void Sidecar::Cancel(std::string_view request, int attempt) {
  const std::string id(request);
  const auto it = calls_.find(id);
  if (it == calls_.end() || attempt < 0 || static_cast<std::size_t>(attempt) >= it->second.attempts.size())
    return;
  upstream_.GiveUp(it->second.attempts[static_cast<std::size_t>(attempt)].upstream);
  asio::post(io_, [this, id, attempt] { Conclude(id, attempt, Result::kCancelled); });
}

void Sidecar::Refuse(std::string_view request, Micros retry_after) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  HttpResponse response = Plain(http::status::service_unavailable, "refused\n");
  if (retry_after > 0) response.set(http::field::retry_after, Seconds(retry_after));
  Answer(it->second, std::move(response));
}

void Sidecar::Fail(std::string_view request) {
  const auto it = calls_.find(std::string(request));
  if (it == calls_.end() || it->second.session == nullptr) return;
  Answer(it->second, Plain(http::status::bad_gateway, "failed\n"));
}

void Sidecar::SetTimer(Micros delay, std::uint64_t token) {
  const auto timer =
      std::make_shared<asio::steady_timer>(io_, std::chrono::microseconds(std::max<Micros>(delay, 0)));
  timer->async_wait([this, timer, token](ErrorCode error) {
    if (!error) balancer_->OnTimer(Now(), token);
  });
}

void Sidecar::Subscribe() {
  asio::post(io_, [this] { discovery_.Watch(generation_); });
}

void Sidecar::Log(std::string_view text) {
  std::fprintf(stderr, "module: %.*s\n", static_cast<int>(std::min<std::size_t>(text.size(), 400)),
               text.data());
}

// ---- The end ----

void Sidecar::Drain(std::function<void()> finished) {
  if (drain_end_ > 0) return;
  finished_ = std::move(finished);
  drain_end_ = Now() + kMostDrain;
  inbound_->Drain();
  drain_timer_.expires_after(std::chrono::microseconds(kAcceptAfterDrain));
  drain_timer_.async_wait([this](ErrorCode error) {
    if (error) return;
    inbound_->StopAccepting();
    drain_timer_.expires_after(std::chrono::microseconds(kIdleAfterDrain));
    drain_timer_.async_wait([this](ErrorCode stopped) {
      if (!stopped) FinishDrain();
    });
  });
}

void Sidecar::FinishDrain() {
  closing_ = true;
  inbound_->CloseIdle();
  drain_timer_.expires_after(std::chrono::microseconds(std::max<Micros>(drain_end_ - Now(), 0)));
  drain_timer_.async_wait([this](ErrorCode error) {
    if (!error) HurryCalls();
  });
  CheckFinished();
}

// Ends what would outlast the time before the kill: an answer now, if only a failure, is better than none.
void Sidecar::HurryCalls() {
  std::vector<std::string> ids;
  for (auto& [id, call] : calls_) {
    call.deadline = drain_end_;
    for (Attempt& attempt : call.attempts) attempt.expires = std::min(attempt.expires, drain_end_);
    ids.push_back(id);
  }
  for (const std::string& id : ids) OnDue(id);
}

// Guards against ending with answers still unsent: each session goes when its client has read its answer.
void Sidecar::CheckFinished() {
  if (!closing_ || !calls_.empty() || !finished_) return;
  if (inbound_->sessions() == 0 || Now() >= drain_end_ + kLastWords)
    return std::exchange(finished_, nullptr)();
  drain_timer_.expires_after(std::chrono::microseconds(kDrainPoll));
  drain_timer_.async_wait([this](ErrorCode error) {
    if (!error) CheckFinished();
  });
}

}  // namespace merlinrun::net
