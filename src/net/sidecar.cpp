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

// File descriptors not used by client or server connections: standard streams, event loop, listener,
// discovery and connections that are being rejected.
constexpr std::size_t kReservedDescriptors = 32;
// Share of client connections in the remaining descriptors. Above one half: each request needs one connection
// on both sides, and some client connections are idle.
constexpr double kClientShare = 0.55;
// Share of the memory limit for request and response bodies. The rest is for everything else, including
// allocator overhead.
constexpr double kBodyMemoryShare = 0.4;
// Idle connections are closed after this share of the servers' idle timeout, so that no request is sent while
// the server closes the connection: it would be reset, and whether it has run would be unknown.
constexpr double kIdleShare = 0.7;
// During a takeover: how long to wait for discovery before serving with the last known server list.
constexpr Micros kDiscoveryWait = 2'000'000;
// After yielding: interval of the reports to the successor, and time until this process stops by itself.
constexpr Micros kHeldResourcesInterval = 50'000;
constexpr Micros kReplacedTimeout = 10'000'000;
// After yielding: connections allowed beyond the open ones, for retries.
constexpr std::size_t kSpareConnections = 8;
// Longer log lines of the balancer are truncated.
constexpr std::size_t kMaxLogLength = 400;

// Includes the descriptors of the operators' listener, which must work under any load.
std::size_t ReservedDescriptors(const Config& config) {
  return kReservedDescriptors + (config.ops ? ops::Listener::MaxDescriptors({}) : 0);
}

std::size_t ClientDescriptors(const Config& config) {
  return static_cast<std::size_t>(
      kClientShare * static_cast<double>(config.max_file_descriptors - ReservedDescriptors(config)));
}

// Connections to servers, over all protocols.
std::size_t ServerDescriptors(const Config& config) {
  return config.max_file_descriptors - ReservedDescriptors(config) - ClientDescriptors(config);
}

// The part for Diameter, which needs one connection per server. The rest is for HTTP.
std::size_t DiameterServerDescriptors(const Config& config) { return ServerDescriptors(config) / 3; }

std::size_t BodyMemory(const Config& config) {
  return static_cast<std::size_t>(kBodyMemoryShare * static_cast<double>(config.memory_limit));
}

Upstream::Limits UpstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.idle_timeout =
      static_cast<Micros>(kIdleShare * static_cast<double>(config.wire.settings.connection_idle_timeout));
  limits.connect_timeout = config.wire.settings.dial_timeout;
  limits.max_connections =
      ServerDescriptors(config) - (config.diameter_file.empty() ? 0 : DiameterServerDescriptors(config));
  return limits;
}

Discovery::Timing DiscoveryTiming(const Config& config) {
  Discovery::Timing timing;
  timing.auto_reconnect = !config.wire.settings.must_subscribe;
  return timing;
}

diameter::Application ReadApplication(const Config& config) {
  auto read = diameter::ParseApplication(ReadFile(config.diameter_file), config.diameter_file,
                                         config.wire.settings, config.name);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  auto application = std::get<diameter::Application>(std::move(read));
  if (2 * diameter::Node::MaxSockets(application) > ClientDescriptors(config))
    throw ConfigError(config.diameter_file + ": more clients than limits.sockets leaves descriptors for");
  return application;
}

void AddRecord(record::Recorder& recorder, Micros now, const core::CompletedRequest& completed) {
  record::Record to;
  to.arrival_time = completed.arrival_time;
  to.budget = completed.budget;
  to.duration = completed.duration;
  to.request_class = static_cast<std::uint32_t>(completed.request_class);
  to.attempts = static_cast<std::uint32_t>(completed.attempts);
  to.disposition = static_cast<record::Disposition>(completed.disposition);
  to.protocol = static_cast<std::uint8_t>(completed.protocol);
  to.is_retry = completed.is_retry;
  recorder.Add(now, to, completed.id, completed.key);
}

void Log(std::string_view text) {
  std::fprintf(stderr, "balancer: %.*s\n", static_cast<int>(std::min(text.size(), kMaxLogLength)),
               text.data());
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
                    OnList(list.is_full ? ListUpdate::Kind::kFull : ListUpdate::Kind::kDelta, list);
                  },
                  [this] { OnDiscoveryFailed(); }}) {
  try {
    request_manager_ = std::make_unique<core::RequestManager>(
        loop_, config_.wire.settings, config_.seed, [this] { discovery_.Watch(generation_); }, Log);
  } catch (const std::invalid_argument& error) {
    throw ConfigError(std::string("settings: ") + error.what());
  }
  counters_.classes.resize(config_.wire.settings.classes.size());
  lifecycle_.emplace(loop_, *request_manager_);
  if (!config_.recording_file.empty()) StartRecording();
  if (!config_.trace_file.empty()) StartTrace();
  if (!config_.fleet_file.empty()) StartPeerExchange();
  if (!config_.zone_overrides_file.empty()) request_manager_->OnZoneOverrides(ReadZoneOverrides(config_));
  if (recorder_ != nullptr || trace_ != nullptr)
    request_manager_->SetCompletionObserver([this](const core::CompletedRequest& completed) {
      if (recorder_ != nullptr) AddRecord(*recorder_, loop_.Now(), completed);
      if (trace_ != nullptr) trace_->Add(completed);
    });
  if (config_.diameter_file.empty()) return;
  diameter::Node::Limits limits;
  limits.dial_timeout = config_.wire.settings.dial_timeout;
  limits.server_connections = DiameterServerDescriptors(config_);
  try {
    diameter_ =
        std::make_unique<diameter::Node>(io, loop_, ReadApplication(config_), limits, config_.seed,
                                         [this](const std::string& server) { OnDiameterUsable(server); });
  } catch (const std::invalid_argument& error) {
    throw ConfigError(error.what());
  }
}

void Sidecar::StartRecording() {
  const auto read = record::ParseRecordingSettings(ReadFile(config_.recording_file), config_.recording_file);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  const auto& settings = std::get<record::RecordingSettings>(read);
  record::Header header;
  header.sidecar_hash = record::Hasher(settings.salt)(config_.name);
  header.start_time_us = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                                        std::chrono::system_clock::now().time_since_epoch())
                                                        .count());
  for (const RequestClass& c : config_.wire.settings.classes) header.classes.push_back(c.name);
  try {
    recorder_ = std::make_unique<record::Recorder>(record::OpenFile(settings.file, settings.max_bytes),
                                                   header, settings.salt, loop_.Now());
  } catch (const std::runtime_error& error) {
    throw ConfigError(error.what());
  }
}

void Sidecar::StartTrace() {
  const auto read = stats::ParseTraceSettings(ReadFile(config_.trace_file), config_.trace_file);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  trace_ =
      std::make_unique<stats::Trace>(loop_, *request_manager_, std::get<stats::TraceSettings>(read), [this] {
        stats::RuntimeCounts counts{request_manager_->active_requests(),
                                    http_ == nullptr ? 0 : http_->sessions(), upstream_.open_connections()};
        if (report_exchange_ == nullptr) return counts;
        const fleet::DatagramCounters& t = report_exchange_->exchange().counters();
        counts.peer_messages = {report_exchange_->exchange().peer_table().RecentPeerCount(loop_.Now()),
                                t.accepted,
                                t.stale,
                                t.wrong_address,
                                t.future_incarnation,
                                t.malformed,
                                t.sent,
                                t.sent_bytes};
        return counts;
      });
}

// Without a peer address only the file is validated.
void Sidecar::StartPeerExchange() {
  const auto read = fleet::ParseReportSettings(ReadFile(config_.fleet_file), config_.fleet_file);
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
  report_exchange_ = std::make_unique<fleet::UdpReportExchange>(
      io_, loop_, *request_manager_, std::move(peers), std::get<fleet::ReportSettings>(read), config_.seed,
      [this] { return generation_; });
}

std::size_t Sidecar::MaxHttpSessions(const Config& config) const {
  return ClientDescriptors(config) - (diameter_ == nullptr ? 0 : diameter_->max_sockets());
}

void Sidecar::Start() {
  Downstream::Limits limits;
  limits.max_sessions = MaxHttpSessions(config_);
  std::optional<handover::InheritedState> inherited;
  Downstream::ListenOptions options{config_.listen, config_.ops.has_value()};
  if (config_.ops) {
    handover_timer_ = loop_.NewTimer();
    handover_path_ = handover::SocketPath(config_.temp_directory, FormatAddress(config_.listen));
    inherited = handover::RequestHandover(handover_path_);
    if (inherited) options.inherited_fd = inherited->listener.Release();
  }
  http_ = std::make_unique<HttpListener>(io_, options, limits, budget_, counters_, *request_manager_,
                                         http_egress_, [this] { return lifecycle_->AcceptsClients(); });
  lifecycle_->Add(*http_);
  if (config_.ops) {
    api_.emplace(*lifecycle_, *request_manager_, counters_);
    ops_.emplace(io_, *config_.ops, ops::Listener::Limits(), *api_);
  }
  if (diameter_ != nullptr) {
    diameter_->Listen(budget_, counters_, *request_manager_);
    lifecycle_->Add(diameter_->downstream());
  }
  if (inherited) BeginTakeover(std::move(*inherited));
  OnList(ListUpdate::Kind::kStale, config_.last_known_endpoints);
  if (config_.last_known_endpoints.endpoints.empty()) generation_ = Discovery::kUnknownGeneration;
  if (!config_.wire.settings.must_subscribe) discovery_.Watch(generation_);
  if (report_exchange_ != nullptr) report_exchange_->Start(/*share_address=*/config_.ops.has_value());
  if (!taking_over_) StartHandoverServer();
}

// ---- Hot restart ----

void Sidecar::BeginTakeover(handover::InheritedState inherited) {
  taking_over_ = true;
  if (inherited.held_resources.evacuated) lifecycle_->Evacuate();
  ApplySharedLimits(inherited.held_resources);
  predecessor_ = std::make_unique<handover::Channel>(
      io_, std::move(inherited.channel),
      handover::Channel::Events{[this](std::string_view message) {
                                  std::string error;
                                  if (const auto resources = handover::ParseHeldResources(message, error))
                                    ApplySharedLimits(*resources);
                                },
                                [this] {
                                  ApplySharedLimits({});
                                  CompleteTakeover();
                                }});
  handover_timer_->Start(kDiscoveryWait, [this] { CompleteTakeover(); });
}

// Does nothing until servers are known: this process would refuse requests that the predecessor can serve.
void Sidecar::CompleteTakeover() {
  if (!taking_over_ || !upstream_.has_servers()) return;
  taking_over_ = false;
  predecessor_->Send(handover::kServing);
  http_->ResumeAccepting();
  lifecycle_->MarkReady();
  StartHandoverServer();
}

void Sidecar::ApplySharedLimits(const handover::HeldResources& other) {
  Config remaining = config_;
  remaining.max_file_descriptors =
      handover::RemainingShare(config_.max_file_descriptors, other.descriptors, kMinFileDescriptors);
  http_->SetMaxSessions(MaxHttpSessions(remaining));
  upstream_.SetMaxConnections(UpstreamLimits(remaining).max_connections);
  const std::size_t memory = BodyMemory(config_);
  budget_.SetLimit(other.descriptors > 0 ? memory / 2 : memory);
}

void Sidecar::StartHandoverServer() {
  if (!config_.ops) return;
  // Leaves room for the descriptors that a successor needs before it serves.
  const auto on_successor = [this] { ApplySharedLimits({false, handover::kSuccessorDescriptors, 0}); };
  handover_server_.emplace(
      io_, handover_path_, http_->listener(),
      handover::HandoverServer::Events{[this] { return HeldResources(); }, on_successor,
                                       [this] { YieldToSuccessor(); }, [this] { OnSuccessorLost(); }});
}

handover::HeldResources Sidecar::HeldResources() const {
  const std::size_t servers = yielded_at_ > 0 ? upstream_limit_ : upstream_.open_connections();
  return {lifecycle_->evacuated(), http_->sessions() + servers + ReservedDescriptors(config_),
          budget_.reserved()};
}

void Sidecar::YieldToSuccessor() {
  yielded_at_ = loop_.Now();
  lifecycle_->Yield();
  upstream_.CloseIdleConnections();
  upstream_limit_ = upstream_.open_connections() + kSpareConnections;
  budget_.SetLimit(BodyMemory(config_) / 2);
  SendHeldResources();
}

void Sidecar::SendHeldResources() {
  upstream_limit_ = std::min(upstream_limit_, upstream_.open_connections() + kSpareConnections);
  upstream_.SetMaxConnections(upstream_limit_);
  handover_server_->SendHeldResources();
  if (loop_.Now() - yielded_at_ >= kReplacedTimeout && on_replaced_)
    return std::exchange(on_replaced_, nullptr)();
  handover_timer_->Start(kHeldResourcesInterval, [this] { SendHeldResources(); });
}

void Sidecar::OnSuccessorLost() {
  yielded_at_ = 0;
  handover_timer_ = loop_.NewTimer();
  ApplySharedLimits({});
  lifecycle_->Resume();
}

std::vector<ZoneOverride> Sidecar::ReadZoneOverrides(const Config& config) const {
  if (config.zone_overrides_file.empty()) return {};
  const auto read = zones::ParseZoneOverrides(ReadFile(config.zone_overrides_file),
                                              config.zone_overrides_file, config_.wire.zones);
  if (const auto* error = std::get_if<std::string>(&read)) throw ConfigError(*error);
  return std::get<std::vector<ZoneOverride>>(read);
}

// An invalid file throws before anything has changed.
void Sidecar::Reload(const Config& config) {
  const std::vector<ZoneOverride> overrides = ReadZoneOverrides(config);
  discovery_.SetAddress(config.discovery);
  request_manager_->OnZoneOverrides(overrides);
}

void Sidecar::Stop(std::function<void()> finished) { lifecycle_->Stop(std::move(finished)); }

std::optional<Tcp::endpoint> Sidecar::ops_address() const {
  return ops_ ? std::optional(ops_->address()) : std::nullopt;
}

void Sidecar::OnList(ListUpdate::Kind kind, const EndpointList& list) {
  generation_ = list.generation;
  EndpointList applied = list;
  applied.is_full = kind != ListUpdate::Kind::kDelta;
  upstream_.UpdateEndpoints(applied);
  if (diameter_ != nullptr) UpdateDiameterServers(applied);
  std::vector<ServerInfo> servers;
  servers.reserve(list.endpoints.size());
  for (const Endpoint& endpoint : list.endpoints) {
    servers.push_back(endpoint.info);
    if (diameter_ != nullptr) servers.back().protocols |= diameter_->ProtocolBits(endpoint.info.id);
  }
  request_manager_->OnServers({kind, list.generation, servers});
  if (!upstream_.has_servers()) return;
  if (!taking_over_) return lifecycle_->MarkReady();
  // Not with the last known list, unless the wait for discovery times out or the predecessor has exited.
  if (kind != ListUpdate::Kind::kStale) CompleteTakeover();
}

void Sidecar::UpdateDiameterServers(const EndpointList& list) {
  if (list.is_full) diameter_servers_.clear();
  std::vector<diameter::ServerAddress> servers;
  for (const Endpoint& endpoint : list.endpoints) {
    servers.push_back({endpoint.info, endpoint.diameter});
    diameter_servers_[endpoint.info.id] = endpoint.info;
    if (endpoint.info.state == ServerInfo::State::kGone) diameter_servers_.erase(endpoint.info.id);
  }
  diameter_->Apply(list.is_full, servers);
}

// A change of the reachability over Diameter is reported to the balancer as a change of the server.
void Sidecar::OnDiameterUsable(const std::string& server) {
  const auto it = diameter_servers_.find(server);
  if (it == diameter_servers_.end()) return;
  ServerInfo info = it->second;
  info.protocols |= diameter_->ProtocolBits(server);
  request_manager_->OnServers({ListUpdate::Kind::kDelta, generation_, {&info, 1}});
}

void Sidecar::OnDiscoveryFailed() {
  if (config_.wire.settings.must_subscribe)
    request_manager_->OnServers({ListUpdate::Kind::kFailed, generation_, {}});
}

}  // namespace merlinrun::net
