#include "mesh/node/sidecar.hpp"

#include <absl/strings/str_cat.h>
#include <glog/logging.h>

#include <algorithm>
#include <boost/system/system_error.hpp>
#include <map>
#include <nlohmann/json.hpp>
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
#include "mesh/metrics/request_metrics.hpp"
#include "mesh/node/control_listener.hpp"
#include "mesh/push/client.hpp"
#include "mesh/quota/quota.hpp"
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

constexpr Micros kMs = 1000;
constexpr Micros kTick = 50 * kMs;
constexpr int kDialMs = 500;
constexpr Micros kIntroduceEvery = 10'000 * kMs;
// The share of the retry budget that is used: calls of repeated runs count too, and not all of them are seen
// here.
constexpr double kBudgetShare = 0.5;
// The platform asks once a second and needs two misses before it sends clients elsewhere.
constexpr Micros kReadinessSeen = 2300 * kMs;
// After its server has been taken off the list, those on their way to it still come for so long.
constexpr Micros kLeaveBefore = 500 * kMs;
// What is still under way is answered this long before the grace period ends, and within its last sixth:
// until then a server may still finish.
constexpr Micros kAnswerBefore = 700 * kMs;
constexpr Micros kAnswerBeforePart = 7;
// For so long after clients have been sent elsewhere new requests are still taken.
constexpr Micros kLastTaken = 700 * kMs;
constexpr Micros kCutBefore = 300 * kMs;

std::string Ip(const std::string& address) { return address.substr(0, address.rfind(':')); }

}  // namespace

class Sidecar::Impl : private push::Client::Sink {
 public:
  Impl(asio::io_context& io, const settings::Settings& settings, std::uint64_t life,
       const ProcessOptions& options)
      : io_(io),
        loop_(io),
        settings_(settings),
        life_(life),
        self_(settings.InternalAddress().Text()),
        gauge_(
            {settings.bounds.quota_window_s, settings.bounds.quota_overshoot, settings.bounds.quota_slack}),
        client_(ClientSettings(), *this),
        view_({settings.node_name, GossipAddress(self_), life ^ 0x4e11}, advice_),
        request_metrics_(registry_),
        invariants_(registry_, options.on_violation),
        hops_(io, loop_, {settings.node_name, self_, life, 300, 400}),
        last_hop_(io, loop_, {life, {}},
                  {[this](const std::string& id) { return beats_.Find(id); },
                   [this](const std::string& id) { OnUnreachable(id); }, [this] { return !refuses_; },
                   [this](const ingress::FlowInterval& span) { CheckLeastShare(span); }}),
        outbound_(loop_, OutboundSettings(), hops_, gauge_, request_metrics_),
        metrics_address_(options.metrics),
        tick_(loop_.NewTimer()) {
    outbound_.SetRetryShare([this] { return last_hop_.retry_share(); });
  }

  ~Impl() override {
    for (auto& [address, link] : links_) link->Close();
    for (auto& link : young_) link->Close();
  }

  absl::Status Start() {
    try {
      const auto& listen = settings_.listen;
      const settings::Address internal = settings_.InternalListenAddress();
      listener_ = std::make_unique<transport::Listener>(
          io_, internal.ip, internal.port, transport::Link::Limits{},
          [this](const std::shared_ptr<transport::Link>& link) { OnLink(link); });
      if (const auto at = listen.find("controlPlane"); at != listen.end())
        control_ = std::make_unique<ControlListener>(
            io_, merlinrun::net::Tcp::endpoint(asio::ip::make_address(at->second.ip), at->second.port),
            ControlListener::Limits{}, [this](const Command& command, const ControlListener::Reply& reply) {
              OnCommand(command, reply);
            });
      if (const auto at = listen.find("outbound"); at != listen.end())
        front_ = std::make_unique<HttpServer>(
            io_, at->second, HttpServer::Limits{},
            HttpServer::Handler{
                [this](const HttpServer::SessionPtr& session, egress::HttpRequest in) {
                  outbound_.OnRequest(session, std::move(in));
                },
                [this](const HttpServer::SessionPtr& session) { outbound_.OnClientDisconnect(session); }});
      if (const auto at = listen.find("readiness"); at != listen.end())
        readiness_ = std::make_unique<HttpServer>(
            io_, at->second, HttpServer::Limits{},
            HttpServer::Handler{[this](const HttpServer::SessionPtr& session, const egress::HttpRequest&) {
                                  const bool ready = Ready();
                                  HttpServer::Respond(session, ready ? 200 : 503,
                                                      {{"Content-Type", "application/json"}},
                                                      ready ? "{\"ready\":true}\n" : "{\"ready\":false}\n");
                                },
                                {}});
    } catch (const boost::system::system_error& error) {
      return absl::UnavailableError(std::string("cannot listen: ") + error.what());
    }
    metrics_endpoint_ = OpenMetricsEndpoint(io_, settings_.ip, metrics_address_, registry_);
    // A second way only: without it everything goes on.
    auto datagrams =
        gossip::UdpSocket::Open(io_, settings_.ip, static_cast<std::uint16_t>(settings_.first_port + 1),
                                [this](const std::string& from, std::string_view bytes) {
                                  const Micros now = loop_.Now();
                                  view_.SetLocalState(now, client_.entry(), client_.ResponsiveCores(now));
                                  view_.OnDatagram(now, from, bytes);
                                });
    if (datagrams.ok())
      datagrams_ = std::move(*datagrams);
    else
      LOG(WARNING) << datagrams.status().message();
    Tick();
    return absl::OkStatus();
  }

  void OnSettings(const settings::Settings& settings) {
    // Seeds are where it first asks; what is known by now is at least as new. A restart reads them anew.
    settings_.seeds = settings.seeds;
    client_.SetSeeds(settings_.SeedInternalAddresses());
  }

  void Stop(std::function<void()> done) {
    if (stopping_) return;
    stopping_ = true;
    done_ = std::move(done);
    stop_at_ = loop_.Now();
    if (front_) front_->SetDraining();
    outbound_.SetShutdownDeadline(stop_at_ + Grace() - AnswerBefore());
    LOG(INFO) << "ends: not ready from here on, " << outbound_.in_flight() << " requests and "
              << last_hop_.in_flight() << " attempts under way";
  }

  std::string StatusText() const {
    const auto& c = outbound_.counters();
    const auto& h = last_hop_.counters();
    nlohmann::json out = {{"role", "sidecar"},
                          {"name", settings_.node_name},
                          {"ready", Ready()},
                          {"version", outbound_.version()},
                          {"entry", client_.entry()},
                          {"core", client_.subscribed_core()},
                          {"holder", client_.leader()},
                          {"servers", client_.snapshot().servers.size()},
                          {"sidecars", client_.snapshot().sidecars.size()},
                          {"underWay", outbound_.in_flight()},
                          {"requests",
                           {{"taken", c.requests},
                            {"served", c.served},
                            {"refused", c.refused},
                            {"failed", c.failed},
                            {"outOfTime", c.deadline_exceeded},
                            {"noRoute", c.no_route},
                            {"noKey", c.no_key},
                            {"overQuota", c.over_quota},
                            {"malformed", c.malformed},
                            {"notReady", c.not_ready},
                            {"clientGone", c.client_disconnects}}},
                          {"attempts",
                           {{"sent", c.attempts_sent},
                            {"turnedAway", c.rejected},
                            {"broken", c.resets},
                            {"withdrawn", c.withdrawn},
                            {"overBudget", c.retry_budget_exhausted},
                            {"linksDialled", hops_.links_dialed()},
                            {"asked", hops_.status_queries()}}},
                          {"lastHop",
                           {{"attempts", h.attempts},
                            {"passed", h.forwarded},
                            {"waited", h.queued},
                            {"turnedAway", h.rejected},
                            {"broken", h.resets},
                            {"garbled", h.malformed_responses},
                            {"withdrawn", h.withdrawn},
                            {"cancelled", h.cancelled},
                            {"connectionsOpened", last_hop_.pool().connections_opened()},
                            {"strayAnswers", last_hop_.pool().stray_responses()}}},
                          {"gossip",
                           {{"neighbours", view_.neighbours().size()},
                            {"sent", view_.counters().sent},
                            {"read", view_.counters().received},
                            {"malformed", view_.counters().malformed},
                            {"overRate", view_.counters().over_rate},
                            {"lostNeighbours", view_.counters().lost_neighbours}}}};
    for (const auto& [service, causes] : c.refusals_by_cause) {
      nlohmann::json& to = out["refusedFor"][service] = nlohmann::json::object();
      for (std::size_t i = 0; i < causes.size(); ++i)
        if (causes[i] > 0) to[std::string(merlinrun::kCauseNames[i])] = causes[i];
    }
    return out.dump();
  }

 private:
  push::Client::Settings ClientSettings() {
    push::Client::Settings out;
    out.sidecar = {settings_.node_name, life_, self_, settings_.zone, settings_.service};
    out.seeds = settings_.SeedInternalAddresses();
    out.seed = life_ ^ 0x5eed;
    out.demand = [this](Micros now) { return gauge_.TakeDemand(now); };
    out.held_shares = [this](Micros now) { return gauge_.HeldShares(now); };
    return out;
  }

  egress::OutboundProxy::Settings OutboundSettings() const {
    egress::OutboundProxy::Settings out;
    out.service = settings_.service;
    out.zone = settings_.zone;
    out.zones = settings_.zones;
    out.seed = life_;
    const auto& bounds = settings_.bounds;
    out.retry_budget.ratio = bounds.retry_budget_ratio * kBudgetShare;
    out.retry_budget.slack = bounds.retry_budget_slack;
    out.retry_budget.window = static_cast<Micros>(bounds.retry_window_s * 1e6);
    return out;
  }

  // Where the sidecar at this internal address takes datagrams.
  static std::string GossipAddress(const std::string& internal) {
    auto at = merlinrun::net::ParseAddress(internal);
    if (!at) return {};
    at->port(static_cast<std::uint16_t>(at->port() + 1));
    return merlinrun::net::FormatAddress(*at);
  }

  // What the gossip hears is advice to the push. Apart from Impl: both sinks have an OnCores.
  struct Advice : gossip::View::Sink {
    explicit Advice(Impl& impl) : mine(impl) {}
    void Send(const std::string& address, const std::string& bytes) override {
      if (mine.datagrams_) mine.datagrams_->Send(address, bytes);
    }
    void OnCores(const std::vector<std::string>& cores) override {
      for (const std::string& core : cores) mine.client_.AddCoreHint(core);
    }
    void OnNewerEntry(std::uint64_t) override { mine.client_.RequestNewerState(mine.loop_.Now()); }
    Impl& mine;
  };

  bool Ready() const { return !stopping_ && outbound_.version() > 0; }

  // ---- The server beside it, and operators that came to the wrong door ----

  void OnCommand(const Command& command, const ControlListener::Reply& reply) {
    const Micros now = loop_.Now();
    if (const auto* beat = std::get_if<InstanceHeartbeat>(&command)) {
      const absl::Status taken = beats_.OnHeartbeat(now, beat->id, beat->json, self_, settings_.zone);
      if (!taken.ok()) return reply(ErrorResponse(400, std::string(taken.message())));
      OnLives(now);
      return reply({});
    }
    if (const auto* departure = std::get_if<InstanceDeparture>(&command)) {
      beats_.OnDeparture(now, departure->id);
      OnLives(now);
      return reply({});
    }
    if (std::holds_alternative<Status>(command)) return reply({200, StatusText(), {}});
    if (const auto* unknown = std::get_if<Unknown>(&command))
      return reply(ErrorResponse(unknown->method_not_allowed ? 405 : 404, "no such call"));
    // What it can't settle it passes on: a core takes it.
    const auto core = client_.leader().empty() ? client_.subscribed_core() : client_.leader();
    const auto port = settings_.listen.find("controlPlane");
    if (core.empty() || port == settings_.listen.end()) return reply(UnavailableResponse("no core is known"));
    const std::string_view path = std::holds_alternative<Read>(command)     ? control::kReadPath
                                  : std::holds_alternative<Modify>(command) ? control::kModifyPath
                                                                            : control::kReplacePath;
    reply(control::RedirectResponse(Ip(core) + ":" + std::to_string(port->second.port), path));
  }

  void OnLives(Micros now) {
    if (beats_.changes() != lives_seen_) {
      lives_seen_ = beats_.changes();
      for (const registry::Server& server : beats_.Instances(now))
        if (server.state != registry::State::kReady) last_hop_.OnServerNotReady(server.id);
    }
    client_.SetServers(now, beats_.Instances(now));
  }

  void CheckLeastShare(const ingress::FlowInterval& span) {
    invariants_.Check(metrics::Invariant::kAdmissionLeastShare, span.ReceivedMinimumShare(), [&] {
      return absl::StrCat("route ", span.flow.route, ", priority ", span.flow.priority, ": asked ",
                          span.arrivals, ", passed on ", span.forwarded, ", turned away ",
                          span.capacity_rejections, ", entitled to ", span.minimum_share, " of ",
                          span.forwarded_total);
    });
  }

  void OnUnreachable(const std::string& id) {
    const Micros now = loop_.Now();
    beats_.OnUnreachable(now, id);
    OnLives(now);
  }

  // ---- Links from other sidecars ----

  void OnLink(const std::shared_ptr<transport::Link>& link) {
    if (young_.size() >= 256) return link->Close();
    young_.insert(link);
    transport::Link::Events events;
    events.on_frame = [this, weak = std::weak_ptr<transport::Link>(link)](std::string_view frame) {
      const auto mine = weak.lock();
      if (mine == nullptr) return;
      young_.erase(mine);
      const auto hello = transport::Unpack<transport::Hello>(frame);
      if (!hello.ok() || !transport::IsCompatible(*hello) || hello->purpose != transport::Purpose::kProxy) {
        ++bad_links_;
        return mine->Close();
      }
      last_hop_.Serve(mine);
    };
    events.on_closed = [this, weak = std::weak_ptr<transport::Link>(link)] { young_.erase(weak.lock()); };
    link->Start(std::move(events));
  }

  // ---- Control ----

  void Tick() {
    const Micros now = loop_.Now();
    beats_.OnTick(now, settings_.heartbeat_interval_ms * kMs);
    OnLives(now);
    client_.OnTick(now);
    Relink(now);
    if (datagrams_) {
      if (client_.snapshot().revision != introduced_ && now - introduced_at_ >= kIntroduceEvery) {
        introduced_ = client_.snapshot().revision;
        introduced_at_ = now;
        std::vector<gossip::View::Candidate> sidecars;
        for (const auto& sidecar : client_.snapshot().sidecars)
          sidecars.push_back({sidecar.name, GossipAddress(sidecar.internal_address)});
        view_.SetCandidates(sidecars);
      }
      view_.SetLocalState(now, client_.entry(), client_.ResponsiveCores(now));
      view_.OnTick(now);
    }
    if (now - hops_ticked_ > 1000 * kMs) {
      hops_ticked_ = now;
      hops_.OnTick(now);
    }
    if (stopping_ && !Stopping(now)) return;
    tick_->Start(kTick, [this] { Tick(); });
  }

  Micros Grace() const { return static_cast<Micros>(settings_.bounds.grace_period_s * 1e6); }
  Micros CutBefore() const { return std::min(kCutBefore, AnswerBefore() / 2); }
  Micros AnswerBefore() const { return std::min(kAnswerBefore, Grace() / kAnswerBeforePart); }

  // False once it has ended.
  bool Stopping(Micros now) {
    const Micros since = now - stop_at_;
    const Micros grace = Grace();
    const Micros seen = std::min(kReadinessSeen, grace / 2);
    if (since >= seen - kLeaveBefore && !std::exchange(left_, true)) client_.Leave(now);
    if (since >= seen) refuses_ = true;
    // Guards against a request that is read whole and cut with the process: one that comes so late that it
    // may not be served in time is refused, and what has come is answered before the end, whatever its server
    // does.
    if (since >= seen + kLastTaken) outbound_.RefuseNewRequests();
    if (since >= grace - AnswerBefore() && !std::exchange(hurried_, true)) outbound_.FinishInFlight();
    const bool rests = (front_ == nullptr || front_->busy() == 0) && outbound_.in_flight() == 0 &&
                       last_hop_.in_flight() == 0;
    if ((since < seen + kLeaveBefore || !rests) && since < grace - CutBefore()) return true;
    LOG(INFO) << "has ended: " << StatusText();
    const auto done = std::exchange(done_, nullptr);
    if (done) loop_.Post(done);
    return false;
  }

  void Relink(Micros now) {
    const std::vector<std::string> wanted = client_.DesiredLinks(now);
    for (auto it = links_.begin(); it != links_.end();) {
      if (std::find(wanted.begin(), wanted.end(), it->first) != wanted.end()) {
        ++it;
        continue;
      }
      it->second->Close();
      up_.erase(it->second.get());
      it = links_.erase(it);
    }
    for (const std::string& address : wanted)
      if (links_.count(address) == 0) Dial(address);
  }

  void Dial(const std::string& address) {
    const auto to = merlinrun::net::ParseAddress(address);
    if (!to) return;
    auto link = transport::Link::Dial(io_, *to, kDialMs, {});
    links_[address] = link;
    transport::Link::Events events;
    events.on_frame = [this, address](std::string_view frame) {
      const auto news = transport::Unpack<push::CoreUpdate>(frame);
      if (!news.ok()) {
        ++bad_news_;
        return;
      }
      client_.OnUpdate(loop_.Now(), address, *news);
    };
    events.on_closed = [this, address, weak = std::weak_ptr<transport::Link>(link)] {
      const auto it = links_.find(address);
      if (it == links_.end() || it->second != weak.lock()) return;
      up_.erase(it->second.get());
      links_.erase(it);
      client_.OnLinkDown(loop_.Now(), address);
    };
    events.on_drained = [this, address, weak = std::weak_ptr<transport::Link>(link)] {
      // Its Hello is out: it is up.
      const auto mine = weak.lock();
      const auto it = links_.find(address);
      if (mine == nullptr || it == links_.end() || it->second != mine || !up_.insert(mine.get()).second)
        return;
      client_.OnLinkUp(loop_.Now(), address);
    };
    link->Start(std::move(events));
    up_.erase(link.get());
    link->Send(transport::Pack(transport::Hello{.purpose = transport::Purpose::kControl,
                                                .from = settings_.node_name,
                                                .address = self_,
                                                .incarnation = life_}));
  }

  void Send(const std::string& address, const push::SidecarReport& tell) override {
    const auto it = links_.find(address);
    if (it != links_.end()) it->second->Send(transport::Pack(tell));
  }

  void OnState(std::uint64_t entry, const std::string& bytes) override {
    const auto ledger = configuration::ReplicatedState::Parse(bytes);
    if (!ledger.ok()) {
      LOG(ERROR) << "entry " << entry << " can't be read: " << ledger.status().message();
      return;
    }
    if (ledger->newest().version() == outbound_.version()) return;
    const bool newer = ledger->newest().version() > outbound_.version();
    invariants_.Check(metrics::Invariant::kConfigurationMonotonic, newer, [&] {
      return absl::StrCat("version ", ledger->newest().version(), " after ", outbound_.version(), ", entry ",
                          entry);
    });
    if (!newer) return;
    const auto tables = configuration::RoutingTables::Build(ledger->newest());
    if (!tables.ok()) {
      LOG(ERROR) << "version " << ledger->newest().version()
                 << " can't be used: " << tables.status().message();
      return;
    }
    LOG(INFO) << "version " << (*tables)->version() << " is in force, entry " << entry;
    std::map<std::string, quota::TenantLimit> limits;
    for (const auto& tenant : (*tables)->tenants())
      if (tenant.rate_per_s > 0) limits[tenant.name] = {tenant.rate_per_s, tenant.burst};
    gauge_.UpdateLimits(loop_.Now(), limits);
    const configuration::Limits& told = (*tables)->limits();
    HttpServer::Limits front;
    front.max_header_bytes = told.header_bytes;
    front.max_body_bytes = told.body_bytes;
    front.header_timeout_ms = told.header_timeout_ms;
    front.idle_timeout_ms = told.idle_timeout_ms;
    if (front_) front_->SetLimits(front);
    outbound_.OnConfiguration(*tables);
  }

  void OnSnapshot(const registry::Snapshot& listing, std::size_t, std::size_t count) override {
    gauge_.SetSidecarCount(loop_.Now(), count);
    // Not the place by name: those of a service are not to stand side by side.
    outbound_.OnEndpoints(listing, egress::InterleavedRank(listing.sidecars, settings_.node_name), count);
  }
  void OnShares(const std::vector<quota::Share>& shares, Micros until) override {
    gauge_.OnShares(loop_.Now(), shares, until);
  }
  void OnCores(const std::vector<std::string>& cores) override {
    LOG(INFO) << cores.size() << " cores are known";
  }

  asio::io_context& io_;
  merlinrun::net::AsioLoop loop_;
  settings::Settings settings_;
  const std::uint64_t life_;
  const std::string self_;
  registry::HeartbeatTracker beats_;
  std::uint64_t lives_seen_ = 0;
  quota::Limiter gauge_;
  push::Client client_;
  Advice advice_{*this};
  gossip::View view_;
  std::unique_ptr<gossip::UdpSocket> datagrams_;
  std::uint64_t introduced_ = 0;  // listing number
  Micros introduced_at_ = -kIntroduceEvery;
  std::map<std::string, std::shared_ptr<transport::Link>> links_;
  std::set<const transport::Link*> up_;
  std::set<std::shared_ptr<transport::Link>> young_;  // whose Hello has not come
  prometheus::Registry registry_;
  metrics::RequestMetrics request_metrics_;
  metrics::Invariants invariants_;
  egress::InboundProxyClient hops_;
  ingress::InboundProxy last_hop_;
  egress::OutboundProxy outbound_;
  const MetricsAddress metrics_address_;
  std::unique_ptr<MetricsEndpoint> metrics_endpoint_;
  std::unique_ptr<transport::Listener> listener_;
  std::unique_ptr<ControlListener> control_;
  std::unique_ptr<HttpServer> front_, readiness_;
  std::unique_ptr<merlinrun::core::Timer> tick_;
  Micros hops_ticked_ = 0, stop_at_ = 0;
  bool stopping_ = false, left_ = false, refuses_ = false, hurried_ = false;
  std::function<void()> done_;
  std::uint64_t bad_links_ = 0, bad_news_ = 0;
};

Sidecar::Sidecar(asio::io_context& io, const settings::Settings& settings, std::uint64_t life,
                 const ProcessOptions& options)
    : impl_(std::make_unique<Impl>(io, settings, life, options)) {}
Sidecar::~Sidecar() = default;
absl::Status Sidecar::Start() { return impl_->Start(); }
void Sidecar::OnSettings(const settings::Settings& settings) { impl_->OnSettings(settings); }
void Sidecar::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
std::string Sidecar::StatusText() const { return impl_->StatusText(); }

}  // namespace fennelhollow::node
