#include "sidecar.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdio>
#include <span>
#include <stdexcept>
#include <utility>
#include <variant>

namespace merlinrun::net {
namespace {

// Descriptors for all but clients and servers: standard streams, epoll and its helpers, listener, watch, and
// the connections that are being turned away.
constexpr std::size_t kOtherSockets = 32;
// The clients' part of the rest. They use a third of all at most for requests, and some of theirs are idle; a
// request in work takes one of each side.
constexpr double kClientShare = 0.55;
// The part of the memory that bodies and answers may hold; the rest is for the program, what connections hold
// beside bodies, lists of servers and what the allocator leaves unused.
constexpr double kBudgetShare = 0.4;
// Idle connections are closed this far into the time after which servers may close them. Guards against a
// request that crosses the server's close: it would be reset and may have run.
constexpr double kIdleShare = 0.7;
// A process that takes over waits so long for discovery's word before it serves by the list that it knows.
constexpr Micros kPatience = 2'000'000;
// How often one that is taken over from tells what it still holds, and how long it waits to be told to stop.
constexpr Micros kTellEvery = 50'000;
constexpr Micros kOutlived = 10'000'000;
// Connections to servers beyond those that are open that it may still need, for attempts after the first.
constexpr std::size_t kLastAttempts = 8;
// What is kept of one line that the module has to say.
constexpr std::size_t kMostLogged = 400;

// The second address takes none of the requests': it answers whatever the load.
std::size_t OtherSockets(const Config& config) {
  return kOtherSockets + (config.ops ? ops::Listener::Sockets({}) : 0);
}

std::size_t ClientSockets(const Config& config) {
  return static_cast<std::size_t>(kClientShare * static_cast<double>(config.sockets - OtherSockets(config)));
}

// Connections to servers, over all protocols.
std::size_t ServerSockets(const Config& config) {
  return config.sockets - OtherSockets(config) - ClientSockets(config);
}

// What Diameter may have of them; HTTP has the rest. It holds one to a server.
std::size_t DiameterServerSockets(const Config& config) { return ServerSockets(config) / 3; }

std::size_t BodyMemory(const Config& config) {
  return static_cast<std::size_t>(kBudgetShare * static_cast<double>(config.memory));
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.keep_idle =
      static_cast<Micros>(kIdleShare * static_cast<double>(config.wire.settings.connection_idle_timeout));
  limits.dial_timeout = config.wire.settings.dial_timeout;
  limits.connections = ServerSockets(config) - (config.diameter.empty() ? 0 : DiameterServerSockets(config));
  return limits;
}

Discovery::Timing DiscoveryTiming(const Config& config) {
  Discovery::Timing timing;
  timing.reopens = !config.wire.settings.must_subscribe;
  return timing;
}

diameter::Application ReadApplication(const Config& config) {
  auto read = diameter::ParseApplication(ReadFile(config.diameter), config.diameter, config.wire.settings,
                                         config.name);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  auto application = std::get<diameter::Application>(std::move(read));
  if (2 * diameter::Node::Sockets(application) > ClientSockets(config))
    throw ConfigError(config.diameter + ": more clients than limits.sockets leaves descriptors for");
  return application;
}

void AddTo(record::Recorder& recorder, Micros now, const core::CompletedRequest& ended) {
  record::Record to;
  to.arrival_time = ended.arrival_time;
  to.budget = ended.budget;
  to.duration = ended.duration;
  to.request_class = static_cast<std::uint32_t>(ended.request_class);
  to.attempts = static_cast<std::uint32_t>(ended.attempts);
  to.disposition = static_cast<record::Disposition>(ended.disposition);
  to.protocol = static_cast<std::uint8_t>(ended.protocol);
  to.is_retry = ended.is_retry;
  recorder.Add(now, to, ended.id, ended.key);
}

void Log(std::string_view text) {
  std::fprintf(stderr, "module: %.*s\n", static_cast<int>(std::min(text.size(), kMostLogged)), text.data());
}

}  // namespace

Sidecar::Sidecar(asio::io_context& io, Config config)
    : io_(io),
      config_(std::move(config)),
      loop_(io),
      budget_(BodyMemory(config_)),
      upstream_(io, UpstreamLimits(config_), budget_, counters_),
      http_egress_(upstream_),
      discovery_(io, config_.discovery, config_.wire, DiscoveryTiming(config_), config_.seed,
                 {[this](const EndpointList& list) {
                    OnList(list.whole ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                  },
                  [this] { OnDiscoveryFailed(); }}) {
  try {
    request_manager_ = std::make_unique<core::RequestManager>(
        loop_, config_.wire.settings, config_.seed, [this] { discovery_.Watch(generation_); }, Log);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string("settings: ") + error.what());
  }
  counters_.classes.resize(config_.wire.settings.classes.size());
  phase_.emplace(loop_, *request_manager_);
  if (!config_.record.empty()) Record();
  if (!config_.trace.empty()) StartTrace();
  if (!config_.fleet.empty()) StartTalk();
  if (!config_.zones.empty()) request_manager_->OnZoneOverrides(Orders(config_));
  if (recorder_ != nullptr || trace_ != nullptr)
    request_manager_->OnRequestCompleted([this](const core::CompletedRequest& ended) {
      if (recorder_ != nullptr) AddTo(*recorder_, loop_.Now(), ended);
      if (trace_ != nullptr) trace_->Add(ended);
    });
  if (config_.diameter.empty()) return;
  diameter::Node::Limits limits;
  limits.dial_timeout = config_.wire.settings.dial_timeout;
  limits.server_connections = DiameterServerSockets(config_);
  try {
    diameter_ =
        std::make_unique<diameter::Node>(io, loop_, ReadApplication(config_), limits, config_.seed,
                                         [this](const std::string& server) { OnDiameterUsable(server); });
  } catch (const std::invalid_argument& error) {
    throw ConfigError(error.what());
  }
}

void Sidecar::Record() {
  const auto read = record::ParseRecordingSettings(ReadFile(config_.record), config_.record);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  const auto& settings = std::get<record::RecordingSettings>(read);
  record::Header header;
  header.sidecar_hash = record::Hasher(settings.salt)(config_.name);
  header.start_time_us = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                                        std::chrono::system_clock::now().time_since_epoch())
                                                        .count());
  for (const RequestClass& c : config_.wire.settings.classes) header.classes.push_back(c.name);
  try {
    recorder_ = std::make_unique<record::Recorder>(record::OpenFile(settings.file, settings.most_bytes),
                                                   header, settings.salt, loop_.Now());
  } catch (const std::runtime_error& error) {
    throw ConfigError(error.what());
  }
}

void Sidecar::StartTrace() {
  const auto read = stats::ParseTraceSettings(ReadFile(config_.trace), config_.trace);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  trace_ =
      std::make_unique<stats::Trace>(loop_, *request_manager_, std::get<stats::TraceSettings>(read), [this] {
        stats::Held held{request_manager_->active_requests(), http_ == nullptr ? 0 : http_->sessions(),
                         upstream_.open_connections()};
        if (talk_ == nullptr) return held;
        const fleet::DatagramCounters& t = talk_->exchange().counters();
        held.words = {talk_->exchange().peer_table().RecentPeerCount(loop_.Now()),
                      t.accepted,
                      t.stale,
                      t.wrong_address,
                      t.future_incarnation,
                      t.malformed,
                      t.sent,
                      t.sent_bytes};
        return held;
      });
}

// Only where the platform has a way between sidecars: elsewhere the operator's file is read, and that is all.
void Sidecar::StartTalk() {
  const auto read = fleet::ParseReportSettings(ReadFile(config_.fleet), config_.fleet);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  if (config_.peer_listen.empty()) return;
  const auto udp = [](const char* key, const std::string& text) {
    const auto at = ParseAddress(text);
    if (!at) throw ConfigError(std::string(key) + " '" + text + "': not an address with a port");
    return fleet::Udp::endpoint(at->address(), at->port());
  };
  if (config_.peers.size() != config_.wire.settings.sidecar_count)
    throw ConfigError("peers: " + std::to_string(config_.peers.size()) + " addresses for " +
                      std::to_string(config_.wire.settings.sidecar_count) + " sidecars");
  fleet::PeerAddresses peers{udp("peer_listen", config_.peer_listen), {}};
  for (const std::string& peer : config_.peers) peers.by_number.push_back(udp("peers", peer));
  talk_ = std::make_unique<fleet::UdpReportExchange>(io_, loop_, *request_manager_, std::move(peers),
                                                     std::get<fleet::ReportSettings>(read), config_.seed,
                                                     [this] { return generation_; });
}

std::size_t Sidecar::HttpSessions(const Config& config) const {
  return ClientSockets(config) - (diameter_ == nullptr ? 0 : diameter_->sockets());
}

void Sidecar::Start() {
  Inbound::Limits limits;
  limits.sessions = HttpSessions(config_);
  std::optional<handover::Claim> claim;
  Inbound::Listening listening{config_.listen, config_.ops.has_value()};
  if (config_.ops) {
    handover_timer_ = loop_.NewTimer();
    handover_path_ = handover::PathFor(config_.temporary, FormatAddress(config_.listen));
    claim = handover::Ask(handover_path_);
    if (claim) listening.inherited = claim->listener.Release();
  }
  http_ = std::make_unique<HttpFront>(io_, listening, limits, budget_, counters_, *request_manager_,
                                      http_egress_, [this] { return phase_->TakesClients(); });
  phase_->Add(*http_);
  if (config_.ops) {
    api_.emplace(*phase_, *request_manager_, counters_);
    ops_.emplace(io_, *config_.ops, ops::Listener::Limits(), *api_);
  }
  if (diameter_ != nullptr) {
    diameter_->Listen(budget_, counters_, *request_manager_);
    phase_->Add(diameter_->front());
  }
  if (claim) Follow(std::move(*claim));
  OnList(ListUpdate::Kind::kStale, config_.known);
  if (config_.known.endpoints.empty()) generation_ = Discovery::kUnknown;
  if (!config_.wire.settings.must_subscribe) discovery_.Watch(generation_);
  if (talk_ != nullptr) talk_->Start(/*beside=*/config_.ops.has_value());
  if (!taking_over_) OpenDoor();
}

// ---- Hot restart: docs/design/hot-restart.md ----

void Sidecar::Follow(handover::Claim claim) {
  taking_over_ = true;
  if (claim.holding.evacuated) phase_->Evacuate();
  ShareWith(claim.holding);
  predecessor_ = std::make_unique<handover::Channel>(
      io_, std::move(claim.channel),
      handover::Channel::Events{[this](std::string_view message) {
                                  std::string error;
                                  if (const auto held = handover::ParseHeldResources(message, error))
                                    ShareWith(*held);
                                },
                                [this] {
                                  ShareWith({});
                                  TakeOver();
                                }});
  handover_timer_->Start(kPatience, [this] { TakeOver(); });
}

// Guards against a yes of a process that does not know any server: it would refuse what the old one can
// serve.
void Sidecar::TakeOver() {
  if (!taking_over_ || !upstream_.any_server()) return;
  taking_over_ = false;
  predecessor_->Send(handover::kServing);
  http_->ResumeAccepting();
  phase_->Started();
  OpenDoor();
}

void Sidecar::ShareWith(const handover::HeldResources& other) {
  Config left = config_;
  left.sockets = handover::Left(config_.sockets, other.sockets, kMinFileDescriptors);
  http_->SetMost(HttpSessions(left));
  upstream_.SetMost(UpstreamLimits(left).connections);
  const std::size_t memory = BodyMemory(config_);
  budget_.SetLimit(other.sockets > 0 ? memory / 2 : memory);
}

void Sidecar::OpenDoor() {
  if (!config_.ops) return;
  // A newcomer needs room for itself before it serves.
  const auto on_newcomer = [this] { ShareWith({false, handover::kNewcomer, 0}); };
  door_.emplace(io_, handover_path_, http_->listener(),
                handover::Door::Events{[this] { return HeldResources(); }, on_newcomer, [this] { GiveWay(); },
                                       [this] { GoOnAlone(); }});
}

handover::HeldResources Sidecar::HeldResources() const {
  const std::size_t servers = yielded_ > 0 ? upstream_most_ : upstream_.open_connections();
  return {phase_->evacuated(), http_->sessions() + servers + OtherSockets(config_), budget_.reserved()};
}

void Sidecar::GiveWay() {
  yielded_ = loop_.Now();
  phase_->Yield();
  upstream_.CloseIdle();
  upstream_most_ = upstream_.open_connections() + kLastAttempts;
  budget_.SetLimit(BodyMemory(config_) / 2);
  SendHeldResources();
}

void Sidecar::SendHeldResources() {
  upstream_most_ = std::min(upstream_most_, upstream_.open_connections() + kLastAttempts);
  upstream_.SetMost(upstream_most_);
  door_->Tell();
  if (loop_.Now() - yielded_ >= kOutlived && outlived_) return std::exchange(outlived_, nullptr)();
  handover_timer_->Start(kTellEvery, [this] { SendHeldResources(); });
}

void Sidecar::GoOnAlone() {
  yielded_ = 0;
  handover_timer_ = loop_.NewTimer();
  ShareWith({});
  phase_->Resume();
}

std::vector<ZoneOverride> Sidecar::Orders(const Config& config) const {
  if (config.zones.empty()) return {};
  const auto read = zones::ParseZoneOverrides(ReadFile(config.zones), config.zones, config_.wire.zones);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  return std::get<std::vector<ZoneOverride>>(read);
}

// A wrong file throws before anything has changed.
void Sidecar::Reload(const Config& config) {
  const std::vector<ZoneOverride> orders = Orders(config);
  discovery_.Switch(config.discovery);
  request_manager_->OnZoneOverrides(orders);
}

void Sidecar::Stop(std::function<void()> finished) { phase_->Stop(std::move(finished)); }

std::optional<Tcp::endpoint> Sidecar::ops_address() const {
  return ops_ ? std::optional(ops_->address()) : std::nullopt;
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list) {
  generation_ = list.generation;
  EndpointList applied = list;
  applied.whole = kind != ListUpdate::Kind::kDelta;
  upstream_.Apply(applied);
  if (diameter_ != nullptr) TellDiameter(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) {
    servers.push_back(endpoint.info);
    if (diameter_ != nullptr) servers.back().protocols |= diameter_->Fronts(endpoint.info.id);
  }
  request_manager_->OnServers({kind, list.generation, servers});
  if (!upstream_.any_server()) return;
  if (!taking_over_) return phase_->Started();
  // Discovery's own word, or nobody else is there to serve until it comes.
  if (kind != ListUpdate::Kind::kStale) TakeOver();
}

void Sidecar::TellDiameter(const EndpointList& list) {
  if (list.whole) listed_.clear();
  std::vector<diameter::ServerAddress> servers;
  for (const Endpoint& endpoint : list.endpoints) {
    servers.push_back({endpoint.info, endpoint.diameter});
    listed_[endpoint.info.id] = endpoint.info;
    if (endpoint.info.state == ServerInfo::State::kGone) listed_.erase(endpoint.info.id);
  }
  diameter_->Apply(list.whole, servers);
}

// A server that can be reached over Diameter, or can't any more, is the same server: the module hears of it
// as of any change.
void Sidecar::OnDiameterUsable(const std::string& server) {
  const auto it = listed_.find(server);
  if (it == listed_.end()) return;
  ServerInfo info = it->second;
  info.protocols |= diameter_->Fronts(server);
  request_manager_->OnServers({ListUpdate::Kind::kDelta, generation_, {&info, 1}});
}

void Sidecar::OnDiscoveryFailed() {
  if (config_.wire.settings.must_subscribe)
    request_manager_->OnServers({ListUpdate::Kind::kFailed, generation_, {}});
}

}  // namespace merlinrun::net
