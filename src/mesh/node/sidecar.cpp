#include "mesh/node/sidecar.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "base/random.hpp"
#include "mesh/configuration/configuration.hpp"
#include "mesh/control/command.hpp"
#include "mesh/egress/http_server.hpp"
#include "mesh/egress/inbound_proxy_client.hpp"
#include "mesh/egress/outbound_proxy.hpp"
#include "mesh/gossip/io/udp_socket.hpp"
#include "mesh/gossip/view.hpp"
#include "mesh/ingress/inbound_proxy.hpp"
#include "mesh/memory/buffer_account.hpp"
#include "mesh/metrics/buffer_metrics.hpp"
#include "mesh/metrics/process_metrics.hpp"
#include "mesh/metrics/request_metrics.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/node/pending_acknowledgements.hpp"
#include "mesh/node/process_limits.hpp"
#include "mesh/node/record_quorum.hpp"
#include "mesh/node/shutdown_schedule.hpp"
#include "mesh/push/client.hpp"
#include "mesh/quota/quota.hpp"
#include "mesh/registry/heartbeat_tracker.hpp"
#include "mesh/registry/registry.hpp"
#include "mesh/transport/codec.hpp"
#include "mesh/transport/link.hpp"
#include "net/address.hpp"
#include "net/asio_loop.hpp"

namespace fennelhollow::node {
namespace {

namespace asio = merlinrun::net::asio;
using control::Command;
using control::ErrorResponse;
using control::InstanceDeparture;
using control::InstanceHeartbeat;
using control::Modify;
using control::Read;
using control::Status;
using control::UnavailableResponse;
using control::Unknown;
using egress::HttpServer;
using merlinrun::Micros;

constexpr Micros kMillisecond = 1000;
constexpr Micros kTickInterval = 50 * kMillisecond;
constexpr int kDialTimeoutMs = 500;
constexpr Micros kGossipRetryInterval = 1000 * kMillisecond;
// Least interval between updates of the gossip candidates.
constexpr Micros kCandidateRefreshInterval = 10'000 * kMillisecond;
// Share of the retry budget used here: calls made by retried requests count against it too, and this sidecar
// does not see all of them.
constexpr double kRetryBudgetShare = 0.5;
constexpr Micros kHelloTimeout = 2000 * kMillisecond;

std::string Ip(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

class Sidecar::Impl : private push::Client::Sink {
 public:
  Impl(asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
       const ProcessOptions& options)
      : io_(io),
        loop_(io),
        settings_(settings),
        incarnation_(incarnation),
        self_(settings.InternalAddress().Text()),
        limiter_(
            {settings.bounds.quota_window_s, settings.bounds.quota_overshoot, settings.bounds.quota_slack}),
        client_(ClientSettings(), *this),
        gossip_view_({settings.node_name, GossipAddress(self_), incarnation ^ 0x4e11}, gossip_sink_),
        request_metrics_(registry_),
        invariants_(registry_, options.on_violation),
        inbound_proxy_client_(io, loop_, {settings.node_name, self_, incarnation, 300, 400}),
        buffers_(BufferLimits(settings)),
        buffer_metrics_(registry_),
        inbound_proxy_(io, loop_, {incarnation, {}}, buffers_,
                       {[this](const std::string& id) { return heartbeats_.Find(id); },
                        [this](const std::string& id) { OnUnreachable(id); },
                        [this](const ingress::Attempt& attempt) { return AcceptsAttempt(attempt); },
                        [this](const ingress::FlowInterval& interval) { CheckMinimumShare(interval); }}),
        outbound_proxy_(loop_, OutboundSettings(), inbound_proxy_client_, limiter_, request_metrics_),
        metrics_address_(options.metrics),
        tick_timer_(loop_.NewTimer()) {
    outbound_proxy_.SetRetryShare([this] { return inbound_proxy_.retry_share(); });
  }

  ~Impl() override {
    for (auto& [address, link] : core_links_) link->Close();
    for (const auto& [link, accepted_at] : unidentified_links_) link->Close();
  }

  absl::Status Start() {
    try {
      const auto& listen = settings_.listen;
      const settings::Address internal = settings_.InternalListenAddress();
      link_listener_ = std::make_unique<transport::Listener>(
          io_, internal.ip, internal.port,
          transport::Link::Limits{.max_frame_bytes = transport::kMaxHelloBytes},
          [this](const std::shared_ptr<transport::Link>& link) { OnInboundLink(link); });
      if (const auto at = listen.find("controlPlane"); at != listen.end())
        control_listener_ = std::make_unique<ControlListener>(
            io_, merlinrun::net::Tcp::endpoint(asio::ip::make_address(at->second.ip), at->second.port),
            ControlLimits(settings_), buffers_,
            [this](const Command& command, const ControlListener::Reply& reply) {
              OnCommand(command, reply);
            });
      if (const auto at = listen.find("outbound"); at != listen.end())
        outbound_listener_ = std::make_unique<HttpServer>(
            io_, at->second, ClientLimits(settings_), buffers_,
            HttpServer::Handler{[this](const HttpServer::SessionPtr& session, egress::HttpRequest in) {
                                  outbound_proxy_.OnRequest(session, std::move(in));
                                },
                                [this](const HttpServer::SessionPtr& session) {
                                  outbound_proxy_.OnClientDisconnect(session);
                                }});
      if (const auto at = listen.find("readiness"); at != listen.end())
        readiness_listener_ = std::make_unique<HttpServer>(
            io_, at->second, ReadinessLimits(settings_), buffers_,
            HttpServer::Handler{[this](const HttpServer::SessionPtr& session, const egress::HttpRequest&) {
                                  const bool ready = IsReady();
                                  HttpServer::Respond(session, ready ? 200 : 503,
                                                      {{"Content-Type", "application/json"}},
                                                      ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n");
                                },
                                {}});
    } catch (const std::exception& error) {  // from the system or Asio
      return StartFailure(error);
    }
    metrics_endpoint_ = std::make_unique<MetricsEndpointOpener>(io_, settings_.ip, metrics_address_,
                                                                registry_, [this] { UpdateMetrics(); });
    Tick();
    return absl::OkStatus();
  }

  // Gossip is only a fallback: the sidecar runs without it until its socket can be opened.
  void OpenGossipSocket(Micros now) {
    if (gossip_socket_ || now < next_gossip_open_at_) return;
    next_gossip_open_at_ = now + kGossipRetryInterval;
    auto gossip_socket = gossip::UdpSocket::Open(
        io_, settings_.ip, static_cast<std::uint16_t>(settings_.first_port + 1),
        [this](const std::string& from, std::string_view bytes) {
          const Micros received_at = loop_.Now();
          gossip_view_.SetLocalState(received_at, client_.entry(), client_.ResponsiveCores(received_at));
          gossip_view_.OnDatagram(received_at, from, bytes);
        });
    if (gossip_socket.ok())
      gossip_socket_ = std::move(*gossip_socket);
    else if (!std::exchange(gossip_failure_logged_, true))
      LOG(WARNING) << "retrying: " << gossip_socket.status().message();
  }

  void OnSettings(const settings::Settings& settings) {
    // Seeds are the first cores to contact; those learned since are at least as recent. A restart rereads
    // them.
    settings_.seeds = settings.seeds;
    client_.SetSeeds(settings_.SeedInternalAddresses());
  }

  void Stop(std::function<void()> done) {
    if (shutdown_) return;
    on_stopped_ = std::move(done);
    shutdown_.emplace(loop_.Now(), static_cast<Micros>(settings_.bounds.grace_period_s * 1e6));
    if (outbound_listener_) outbound_listener_->SetDraining();
    outbound_proxy_.BeginShutdown(
        {.accept_all_until = shutdown_->clients_moved_at, .deadline = shutdown_->finish_at});
    LOG(INFO) << "draining, no longer ready: " << outbound_proxy_.in_flight() << " requests and "
              << inbound_proxy_.in_flight() << " attempts in flight";
  }

  std::string StatusText() const {
    const auto& outbound_counters = outbound_proxy_.counters();
    const auto& inbound_counters = inbound_proxy_.counters();
    nlohmann::json out = {{"role", "sidecar"},
                          {"name", settings_.node_name},
                          {"ready", IsReady()},
                          {"version", outbound_proxy_.version()},
                          {"entry", client_.entry()},
                          {"core", client_.subscribed_core()},
                          {"holder", client_.leader()},
                          {"servers", ListedServers()},
                          {"sidecars", client_.snapshot().sidecars.size()},
                          {"underWay", outbound_proxy_.in_flight()},
                          {"requests",
                           {{"taken", outbound_counters.requests},
                            {"served", outbound_counters.served},
                            {"refused", outbound_counters.refused},
                            {"failed", outbound_counters.failed},
                            {"outOfTime", outbound_counters.deadline_exceeded},
                            {"noRoute", outbound_counters.no_route},
                            {"noKey", outbound_counters.no_key},
                            {"overQuota", outbound_counters.over_quota},
                            {"malformed", outbound_counters.malformed},
                            {"notReady", outbound_counters.not_ready},
                            {"clientGone", outbound_counters.client_disconnects}}},
                          {"attempts",
                           {{"sent", outbound_counters.attempts_sent},
                            {"turnedAway", outbound_counters.rejected},
                            {"broken", outbound_counters.resets},
                            {"withdrawn", outbound_counters.withdrawn},
                            {"overBudget", outbound_counters.retry_budget_exhausted},
                            {"linksDialled", inbound_proxy_client_.links_dialed()},
                            {"asked", inbound_proxy_client_.status_queries()}}},
                          {"lastHop",
                           {{"attempts", inbound_counters.attempts},
                            {"passed", inbound_counters.forwarded},
                            {"waited", inbound_counters.queued},
                            {"turnedAway", inbound_counters.rejected},
                            {"broken", inbound_counters.resets},
                            {"garbled", inbound_counters.malformed_responses},
                            {"withdrawn", inbound_counters.withdrawn},
                            {"cancelled", inbound_counters.cancelled},
                            {"abandoned", inbound_counters.abandoned},
                            {"connectionsOpened", inbound_proxy_.pool().connections_opened()},
                            {"strayAnswers", inbound_proxy_.pool().stray_responses()}}},
                          {"gossip",
                           {{"neighbours", gossip_view_.neighbours().size()},
                            {"sent", gossip_view_.counters().sent},
                            {"read", gossip_view_.counters().received},
                            {"malformed", gossip_view_.counters().malformed},
                            {"overRate", gossip_view_.counters().over_rate},
                            {"lostNeighbours", gossip_view_.counters().lost_neighbours}}}};
    out["buffers"] = {{"smallBytes", buffers_.charged(memory::BufferAccount::Pool::kSmall)},
                      {"largeBytes", buffers_.charged(memory::BufferAccount::Pool::kLarge)}};
    if (outbound_listener_) {
      const auto& listener = outbound_listener_->counters();
      out["clients"] = {{"connections", outbound_listener_->sessions()},
                        {"evicted", listener.evicted},
                        {"refusedBodies", listener.refused_bodies},
                        {"tooSlow", listener.too_slow}};
    }
    if (shutdown_) out["shutdown"] = ShutdownStatus();
    for (const auto& [service, causes] : outbound_counters.requests_by_end_cause) {
      nlohmann::json& to = out["refusedFor"][service] = nlohmann::json::object();
      for (std::size_t i = 0; i < causes.size(); ++i)
        if (causes[i] > 0) to[std::string(merlinrun::kCauseNames[i])] = causes[i];
    }
    return out.dump();
  }

 private:
  push::Client::Settings ClientSettings() {
    push::Client::Settings out;
    out.sidecar = {settings_.node_name, incarnation_, self_, settings_.zone, settings_.service};
    out.seeds = settings_.SeedInternalAddresses();
    out.seed = incarnation_ ^ 0x5eed;
    out.demand = [this](Micros now) { return limiter_.TakeDemand(now); };
    out.held_shares = [this](Micros now) { return limiter_.HeldShares(now); };
    return out;
  }

  void UpdateMetrics() {
    process_metrics_.Update();
    buffer_metrics_.Update(buffers_, outbound_listener_ ? outbound_listener_->counters().evicted : 0);
  }

  egress::OutboundProxy::Settings OutboundSettings() const {
    egress::OutboundProxy::Settings out;
    out.service = settings_.service;
    out.zone = settings_.zone;
    out.zones = settings_.zones;
    out.seed = incarnation_;
    const auto& bounds = settings_.bounds;
    out.retry_budget.ratio = bounds.retry_budget_ratio * kRetryBudgetShare;
    out.retry_budget.slack = bounds.retry_budget_slack;
    out.retry_budget.window = static_cast<Micros>(bounds.retry_window_s * 1e6);
    return out;
  }

  // The gossip address of the sidecar with this internal address: the next port.
  static std::string GossipAddress(const std::string& internal) {
    auto at = merlinrun::net::ParseAddress(internal);
    if (!at) return {};
    at->port(static_cast<std::uint16_t>(at->port() + 1));
    return merlinrun::net::FormatAddress(*at);
  }

  // Passes gossip to the push client as hints. Not part of Impl, as both sinks declare OnCores.
  struct GossipSink : gossip::View::Sink {
    explicit GossipSink(Impl& impl) : owner(impl) {}
    void Send(const std::string& address, const std::string& bytes) override {
      if (owner.gossip_socket_) owner.gossip_socket_->Send(address, bytes);
    }
    void OnCores(const std::vector<std::string>& cores) override {
      for (const std::string& core : cores) owner.client_.AddCoreHint(core);
    }
    void OnNewerEntry(std::uint64_t) override { owner.client_.RequestNewerState(owner.loop_.Now()); }
    Impl& owner;
  };

  // For the log line at the end, from which an operator can tell what the shutdown did to requests.
  nlohmann::json ShutdownStatus() const {
    const auto& counters = outbound_proxy_.shutdown_counters();
    nlohmann::json out = {{"accepted", counters.accepted},
                          {"refused", counters.refused},
                          {"givenUp", counters.given_up},
                          {"busyConnections", outbound_listener_ ? outbound_listener_->busy() : 0},
                          {"attempts", inbound_proxy_.in_flight()},
                          {"unsentBytes", inbound_proxy_.unsent_bytes()},
                          {"loopDelayMs", longest_loop_delay_ / kMillisecond}};
    if (counters.given_up > 0)
      out["lastGivenUpAcceptedAfterMs"] = counters.last_given_up_accepted_after / kMillisecond;
    return out;
  }

  std::size_t ListedServers() const {
    const auto& servers = client_.snapshot().servers;
    return static_cast<std::size_t>(std::count_if(
        servers.begin(), servers.end(), [](const auto& s) { return s.state != registry::State::kGone; }));
  }

  bool IsReady() const { return !shutdown_ && outbound_proxy_.version() > 0; }

  // ---- Calls of the local server, and of operators, who are redirected to a core ----

  void OnCommand(const Command& command, const ControlListener::Reply& reply) {
    const Micros now = loop_.Now();
    if (const auto* heartbeat = std::get_if<InstanceHeartbeat>(&command)) {
      const absl::Status recorded =
          heartbeats_.OnHeartbeat(now, heartbeat->id, heartbeat->json, self_, settings_.zone);
      if (!recorded.ok()) return reply(ErrorResponse(400, std::string(recorded.message())));
      OnInstancesChanged(now);
      return AcknowledgeHeartbeat(now, heartbeat->id, reply);
    }
    if (const auto* departure = std::get_if<InstanceDeparture>(&command)) {
      heartbeats_.OnDeparture(now, departure->id, self_);
      OnInstancesChanged(now);
      return acknowledgements_.Add(now, departure->id, registry::State::kGone, reply);
    }
    if (std::holds_alternative<Status>(command)) return reply({200, StatusText(), {}});
    if (const auto* unknown = std::get_if<Unknown>(&command))
      return reply(ErrorResponse(unknown->method_not_allowed ? 405 : 404, "no such call"));
    // Configuration calls are served by cores.
    const auto core = client_.leader().empty() ? client_.subscribed_core() : client_.leader();
    const auto port = settings_.listen.find("controlPlane");
    if (core.empty() || port == settings_.listen.end()) return reply(UnavailableResponse("no core is known"));
    const std::string_view path = std::holds_alternative<Read>(command)     ? control::kReadPath
                                  : std::holds_alternative<Modify>(command) ? control::kModifyPath
                                                                            : control::kReplacePath;
    reply(control::RedirectResponse(Ip(core) + ":" + std::to_string(port->second.port), path));
  }

  void AcknowledgeHeartbeat(Micros now, const std::string& id, const ControlListener::Reply& reply) {
    const registry::Server* server = heartbeats_.Find(id);
    if (server == nullptr || server->state != registry::State::kDraining) return reply({});
    acknowledgements_.Add(now, id, registry::State::kDraining, reply);
  }

  void OnRecordsFrame(const std::string& core, std::string_view frame) {
    const auto records = transport::Unpack<push::ServerRecords>(frame);
    if (records.ok())
      OnRecords(core, *records);
    else
      ++malformed_updates_;
  }

  // A core has answered a report: applies what it remembers of the servers beside this sidecar.
  void OnRecords(const std::string& core, const push::ServerRecords& records) {
    const Micros now = loop_.Now();
    record_quorum_.OnRecords(core, records);
    for (const push::ServerRecord& record : records.servers) {
      registry::Server remembered;
      remembered.id = record.id;
      remembered.state = record.state;
      if (record.state == registry::State::kGone) remembered.sequence = registry::kFinalSequence;
      remembered.sidecar_address = self_;
      heartbeats_.OnRemembered(now, remembered);
    }
    ConfirmInstances(now);
    acknowledgements_.ReplyToRecorded();
  }

  void ConfirmInstances(Micros now) {
    for (const std::string& id : heartbeats_.Unconfirmed())
      if (record_quorum_.IsUnknown(id, client_.record_cores())) heartbeats_.Confirm(now, id);
    OnInstancesChanged(now);
  }

  void RetainRecords(Micros now) {
    std::vector<std::string> ids;
    for (const registry::Server& server : heartbeats_.Instances(now)) ids.push_back(server.id);
    record_quorum_.Retain(ids);
  }

  void OnInstancesChanged(Micros now) {
    if (heartbeats_.changes() != seen_heartbeat_changes_) {
      seen_heartbeat_changes_ = heartbeats_.changes();
      for (const registry::Server& server : heartbeats_.Instances(now))
        if (server.state != registry::State::kReady) inbound_proxy_.OnServerNotReady(server.id);
    }
    client_.SetServers(now, heartbeats_.Instances(now));
  }

  void CheckMinimumShare(const ingress::FlowInterval& interval) {
    invariants_.Check(metrics::Invariant::kAdmissionMinimumShare, interval.ReceivedMinimumShare(), [&] {
      return absl::StrCat("route ", interval.flow.route, ", priority ", interval.flow.priority, ": received ",
                          interval.arrivals, ", forwarded ", interval.forwarded, ", rejected ",
                          interval.capacity_rejections, ", entitled to ", interval.minimum_share, " of ",
                          interval.forwarded_total);
    });
  }

  void OnUnreachable(const std::string& id) {
    const Micros now = loop_.Now();
    heartbeats_.OnUnreachable(now, id);
    OnInstancesChanged(now);
  }

  // ---- Inbound links from other sidecars ----

  void OnInboundLink(const std::shared_ptr<transport::Link>& link) {
    if (unidentified_links_.size() >= MaxUnidentifiedLinks(settings_)) CloseOldestUnidentifiedLink();
    unidentified_links_[link] = loop_.Now();
    transport::Link::Events events;
    events.on_frame = [this, weak = std::weak_ptr<transport::Link>(link)](std::string_view frame) {
      const auto inbound = weak.lock();
      if (inbound == nullptr) return;
      unidentified_links_.erase(inbound);
      const auto hello = transport::Unpack<transport::Hello>(frame);
      if (!hello.ok() || !transport::IsCompatible(*hello) || hello->purpose != transport::Purpose::kProxy) {
        ++rejected_links_;
        return inbound->Close();
      }
      inbound_proxy_.Serve(inbound);
    };
    events.on_closed = [this, weak = std::weak_ptr<transport::Link>(link)] {
      unidentified_links_.erase(weak.lock());
    };
    link->Start(std::move(events));
  }

  // In favor of a new one.
  void CloseOldestUnidentifiedLink() {
    const auto oldest = std::min_element(unidentified_links_.begin(), unidentified_links_.end(),
                                         [](const auto& a, const auto& b) { return a.second < b.second; });
    if (oldest == unidentified_links_.end()) return;
    oldest->first->Close();
    unidentified_links_.erase(oldest);
  }

  // Otherwise peers that say nothing would keep others out.
  void CloseLinksWithoutHello(Micros now) {
    std::erase_if(unidentified_links_, [now](const auto& entry) {
      const auto& [link, accepted_at] = entry;
      if (now - accepted_at < kHelloTimeout) return false;
      link->Close();
      return true;
    });
  }

  // ---- Control plane ----

  void Tick() {
    // Before the work, so that an exception does not end the ticks.
    tick_timer_->Start(kTickInterval, [this] { Tick(); });
    const Micros now = loop_.Now();
    if (last_tick_at_ > 0)
      longest_loop_delay_ = std::max(longest_loop_delay_, now - last_tick_at_ - kTickInterval);
    last_tick_at_ = now;
    heartbeats_.OnTick(now, settings_.heartbeat_interval_ms * kMillisecond);
    ConfirmInstances(now);
    RetainRecords(now);
    acknowledgements_.ReplyToRecorded();
    acknowledgements_.OnTick(now);
    CloseLinksWithoutHello(now);
    client_.OnTick(now);
    UpdateCoreLinks(now);
    OpenGossipSocket(now);
    if (gossip_socket_) {
      if (client_.snapshot().revision != candidates_revision_ &&
          now - candidates_set_at_ >= kCandidateRefreshInterval) {
        candidates_revision_ = client_.snapshot().revision;
        candidates_set_at_ = now;
        std::vector<gossip::View::Candidate> candidates;
        for (const auto& sidecar : client_.snapshot().sidecars)
          candidates.push_back({sidecar.name, GossipAddress(sidecar.internal_address)});
        gossip_view_.SetCandidates(candidates);
      }
      gossip_view_.SetLocalState(now, client_.entry(), client_.ResponsiveCores(now));
      gossip_view_.OnTick(now);
    }
    inbound_proxy_.OnTick(now);
    if (now - inbound_proxy_client_ticked_at_ > 1000 * kMillisecond) {
      inbound_proxy_client_ticked_at_ = now;
      inbound_proxy_client_.OnTick(now);
    }
    invariants_.Check(metrics::Invariant::kBuffersWithinLimits, buffers_.IsWithinLimits(), [&] {
      return absl::StrCat(buffers_.charged(memory::BufferAccount::Pool::kSmall), " and ",
                          buffers_.charged(memory::BufferAccount::Pool::kLarge), " bytes are charged");
    });
    if (shutdown_) ContinueStop(now);
  }

  // During a shutdown only attempts that end before the process exits: the exit would cut off others.
  bool AcceptsAttempt(const ingress::Attempt& attempt) const {
    if (!shutdown_) return true;
    const Micros now = loop_.Now();
    return now < shutdown_->clients_moved_at &&
           now + attempt.remaining_ms * kMillisecond <= shutdown_->latest_exit_at;
  }

  // Whether no response is unfinished, neither to clients nor to outbound proxies.
  bool IsIdle() const {
    return (outbound_listener_ == nullptr || outbound_listener_->busy() == 0) &&
           outbound_proxy_.in_flight() == 0 && inbound_proxy_.in_flight() == 0 &&
           inbound_proxy_.unsent_bytes() == 0;
  }

  // Advances the shutdown, and ends it once it is complete.
  void ContinueStop(Micros now) {
    if (!on_stopped_) return;
    if (now >= shutdown_->leave_at && !std::exchange(leave_sent_, true)) client_.Leave(now);
    if (now >= shutdown_->finish_at && !std::exchange(finishing_, true)) {
      outbound_proxy_.RefuseNewRequests();
      outbound_proxy_.TerminateInFlight();
    }
    if (now < shutdown_->earliest_exit_at || (!IsIdle() && now < shutdown_->latest_exit_at)) return;
    // Requests that have arrived since are refused, not cut off by the exit.
    outbound_proxy_.RefuseNewRequests();
    if (outbound_listener_) outbound_listener_->HandleArrived();
    if (!IsIdle() && now < shutdown_->latest_exit_at) return;
    LOG(INFO) << "stopped: " << StatusText();
    // Called here and not posted: a handler in between could accept a request that nobody would answer.
    std::exchange(on_stopped_, nullptr)();
  }

  void UpdateCoreLinks(Micros now) {
    const std::vector<std::string> wanted = client_.DesiredLinks(now);
    for (auto it = core_links_.begin(); it != core_links_.end();) {
      if (std::find(wanted.begin(), wanted.end(), it->first) != wanted.end()) {
        ++it;
        continue;
      }
      it->second->Close();
      established_links_.erase(it->second.get());
      it = core_links_.erase(it);
    }
    for (const std::string& address : wanted)
      if (core_links_.count(address) == 0) Dial(address);
  }

  void Dial(const std::string& address) {
    const auto to = merlinrun::net::ParseAddress(address);
    if (!to) return;
    auto link = transport::Link::Dial(io_, *to, kDialTimeoutMs, {});
    core_links_[address] = link;
    transport::Link::Events events;
    events.on_frame = [this, address](std::string_view frame) {
      if (transport::PeekNumber(frame) == push::ServerRecords::kTag) return OnRecordsFrame(address, frame);
      const auto update = transport::Unpack<push::CoreUpdate>(frame);
      if (!update.ok()) {
        ++malformed_updates_;
        return;
      }
      client_.OnUpdate(loop_.Now(), address, *update);
    };
    events.on_closed = [this, address, weak = std::weak_ptr<transport::Link>(link)] {
      const auto it = core_links_.find(address);
      if (it == core_links_.end() || it->second != weak.lock()) return;
      established_links_.erase(it->second.get());
      core_links_.erase(it);
      client_.OnLinkDown(loop_.Now(), address);
    };
    events.on_drained = [this, address, weak = std::weak_ptr<transport::Link>(link)] {
      // The Hello is written: the link is up.
      const auto core_link = weak.lock();
      const auto it = core_links_.find(address);
      if (core_link == nullptr || it == core_links_.end() || it->second != core_link ||
          !established_links_.insert(core_link.get()).second)
        return;
      client_.OnLinkUp(loop_.Now(), address);
    };
    link->Start(std::move(events));
    established_links_.erase(link.get());
    link->Send(transport::Pack(transport::Hello{.purpose = transport::Purpose::kControl,
                                                .from = settings_.node_name,
                                                .address = self_,
                                                .incarnation = incarnation_}));
  }

  void Send(const std::string& address, const push::SidecarReport& report) override {
    const auto it = core_links_.find(address);
    if (it != core_links_.end()) it->second->Send(transport::Pack(report));
  }

  void OnState(std::uint64_t entry, const std::string& bytes) override {
    const auto replicated_state = configuration::ReplicatedState::Parse(bytes);
    if (!replicated_state.ok()) {
      LOG(ERROR) << "entry " << entry << " cannot be parsed: " << replicated_state.status().message();
      return;
    }
    if (replicated_state->newest().version() == outbound_proxy_.version()) return;
    const bool newer = replicated_state->newest().version() > outbound_proxy_.version();
    invariants_.Check(metrics::Invariant::kConfigurationMonotonic, newer, [&] {
      return absl::StrCat("version ", replicated_state->newest().version(), " after ",
                          outbound_proxy_.version(), ", entry ", entry);
    });
    if (!newer) return;
    const auto tables = configuration::RoutingTables::Build(replicated_state->newest());
    if (!tables.ok()) {
      LOG(ERROR) << "version " << replicated_state->newest().version()
                 << " cannot be applied: " << tables.status().message();
      return;
    }
    LOG(INFO) << "version " << (*tables)->version() << " applied, entry " << entry;
    std::map<std::string, quota::TenantLimit> tenant_limits;
    for (const auto& tenant : (*tables)->tenants())
      if (tenant.rate_per_s > 0) tenant_limits[tenant.name] = {tenant.rate_per_s, tenant.burst};
    limiter_.UpdateLimits(loop_.Now(), tenant_limits);
    const configuration::Limits& http_limits = (*tables)->limits();
    HttpServer::Limits server_limits = ClientLimits(settings_);
    server_limits.max_header_bytes = http_limits.header_bytes;
    server_limits.max_body_bytes = http_limits.body_bytes;
    server_limits.header_timeout_ms = http_limits.header_timeout_ms;
    server_limits.idle_timeout_ms = http_limits.idle_timeout_ms;
    if (outbound_listener_) outbound_listener_->SetLimits(server_limits);
    outbound_proxy_.OnConfiguration(*tables);
  }

  void OnSnapshot(const registry::Snapshot& snapshot, std::size_t, std::size_t count) override {
    const Micros now = loop_.Now();
    for (const registry::Server& server : snapshot.servers)
      if (server.sidecar_address == self_) heartbeats_.OnRemembered(now, server);
    limiter_.SetSidecarCount(now, count);
    // Ranked by name, the sidecars of a service would be adjacent and select overlapping subsets.
    outbound_proxy_.OnEndpoints(snapshot, egress::InterleavedRank(snapshot.sidecars, settings_.node_name),
                                count);
  }
  void OnShares(const std::vector<quota::Share>& shares, Micros until) override {
    limiter_.OnShares(loop_.Now(), shares, until);
  }
  void OnCores(const std::vector<std::string>& cores) override {
    LOG(INFO) << cores.size() << " known cores";
  }

  asio::io_context& io_;
  merlinrun::net::AsioLoop loop_;
  settings::Settings settings_;
  const std::uint64_t incarnation_;
  const std::string self_;
  registry::HeartbeatTracker heartbeats_;
  RecordQuorum record_quorum_;
  PendingAcknowledgements acknowledgements_{[this](const std::string& id, registry::State state) {
    return record_quorum_.IsRecorded(id, state, client_.record_cores());
  }};
  std::uint64_t seen_heartbeat_changes_ = 0;
  quota::Limiter limiter_;
  push::Client client_;
  GossipSink gossip_sink_{*this};
  gossip::View gossip_view_;
  std::unique_ptr<gossip::UdpSocket> gossip_socket_;
  Micros next_gossip_open_at_ = 0;
  bool gossip_failure_logged_ = false;
  std::uint64_t candidates_revision_ = 0;  // revision of the registry snapshot
  Micros candidates_set_at_ = -kCandidateRefreshInterval;
  std::map<std::string, std::shared_ptr<transport::Link>> core_links_;
  std::set<const transport::Link*> established_links_;
  // Accepted, Hello not received yet; and when they were accepted.
  std::map<std::shared_ptr<transport::Link>, Micros> unidentified_links_;
  prometheus::Registry registry_;
  metrics::RequestMetrics request_metrics_;
  metrics::ProcessMetrics process_metrics_{registry_};
  metrics::Invariants invariants_;
  egress::InboundProxyClient inbound_proxy_client_;
  memory::BufferAccount buffers_;  // outlives all that is charged to it
  metrics::BufferMetrics buffer_metrics_;
  ingress::InboundProxy inbound_proxy_;
  egress::OutboundProxy outbound_proxy_;
  const MetricsAddress metrics_address_;
  std::unique_ptr<MetricsEndpointOpener> metrics_endpoint_;
  std::unique_ptr<transport::Listener> link_listener_;
  std::unique_ptr<ControlListener> control_listener_;
  std::unique_ptr<HttpServer> outbound_listener_, readiness_listener_;
  std::unique_ptr<merlinrun::core::Timer> tick_timer_;
  Micros inbound_proxy_client_ticked_at_ = 0, last_tick_at_ = 0;
  Micros longest_loop_delay_ = 0;  // of a tick, since the start of the process
  bool leave_sent_ = false, finishing_ = false;
  std::optional<ShutdownSchedule> shutdown_;  // set once the process is stopping
  std::function<void()> on_stopped_;
  std::uint64_t rejected_links_ = 0, malformed_updates_ = 0;
};

Sidecar::Sidecar(asio::io_context& io, const settings::Settings& settings, std::uint64_t incarnation,
                 const ProcessOptions& options)
    : impl_(std::make_unique<Impl>(io, settings, incarnation, options)) {}
Sidecar::~Sidecar() = default;
absl::Status Sidecar::Start() { return impl_->Start(); }
void Sidecar::OnSettings(const settings::Settings& settings) { impl_->OnSettings(settings); }
void Sidecar::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
std::string Sidecar::StatusText() const { return impl_->StatusText(); }

}  // namespace fennelhollow::node
