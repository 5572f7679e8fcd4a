#include "diameter/io/upstream.hpp"

#include <algorithm>
#include <utility>

#include "diameter/io/messages.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

constexpr Micros kMillisecond = 1000;

// Maps a server's answer to the result of the attempt. 3002 and 3004 mean that it wasn't run (section 7.1.3).
// Other protocol errors and server failures leave that open. Any other answer is the server's result, good or
// bad, and is relayed to the client.
Result ResultOfAttempt(const Message& answer) {
  const ResultCode code = ResultCodeOf(answer);
  switch (code) {
    case ResultCode::kUnableToDeliver:
    case ResultCode::kTooBusy:
      return Result::kRefused;
    case ResultCode::kNone:
    case ResultCode::kOutOfSpace:
    case ResultCode::kResourcesExceeded:
    case ResultCode::kUnableToComply:
      return Result::kError;
    default:
      return IsProtocolError(code) ? Result::kError : Result::kSuccess;
  }
}

}  // namespace

struct Upstream::Pending {
  std::shared_ptr<Server> server;
  Done done;
  std::optional<Message> unsent;  // to be sent when the peer is open
  Header sent;
  ConnectionPtr connection;     // connection that it was written to
  std::uint64_t write_end = 0;  // end offset in that connection's stream
};

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::unique_ptr<PeerSession> session;
  std::unique_ptr<core::Timer> redial;
  std::vector<AttemptId> queued;
  std::unordered_map<std::uint32_t, AttemptId> in_flight;  // by hop-by-hop id
  std::uint64_t open_generation = 0;
  bool reported_usable = true;
  bool needed = false;  // has had requests, so it is redialled

  bool Healthy() const { return info.state == ServerInfo::State::kHealthy; }
};

Upstream::Upstream(core::Loop& loop, const Application& application, const Identity& self, Limits limits,
                   std::uint64_t seed, Connector connector, UsableChanged usable_changed)
    : loop_(loop),
      application_(application),
      self_(self),
      limits_(limits),
      connector_(std::move(connector)),
      usable_changed_(std::move(usable_changed)),
      random_(seed) {}

Upstream::~Upstream() = default;

void Upstream::CreateSession(Server& server) {
  Peer::Settings settings;
  settings.host = application_.ServerHost(server.info.id);
  settings.watchdog_interval = application_.watchdog_interval;
  settings.connect_timeout = limits_.connect_timeout;
  settings.seed = random_();
  PeerSession::Events events;
  events.on_message = [this, &server](Message message) { OnMessage(server, std::move(message)); };
  events.on_malformed = [this, &server](const MalformedMessage& bad) { OnMalformed(server, bad); };
  events.on_change = [this, &server] { OnSessionChanged(server); };
  const std::string name = settings.host;
  server.redial = loop_.NewTimer();
  server.session = std::make_unique<PeerSession>(
      loop_, self_, application_.dictionary, std::move(settings),
      [this, &server, name](auto done) { return connector_(server.address, name, std::move(done)); },
      std::move(events));
  server.open_generation = 0;
  server.needed = false;
  server.reported_usable = true;
}

void Upstream::Apply(bool is_full_list, const std::vector<ServerAddress>& servers) {
  std::unordered_map<std::string, std::shared_ptr<Server>> removed;
  if (is_full_list) removed = servers_;
  for (const ServerAddress& entry : servers) {
    removed.erase(entry.info.id);
    const auto it = servers_.find(entry.info.id);
    const bool reachable = entry.address && entry.info.state != ServerInfo::State::kGone;
    const bool same = it != servers_.end() && reachable && it->second->address == *entry.address &&
                      it->second->info.started == entry.info.started;
    if (same) {
      it->second->info = entry.info;
      DisconnectIfIdle(*it->second);
      continue;
    }
    if (it != servers_.end()) removed[entry.info.id] = it->second;  // the previous instance is gone
    if (!reachable) continue;
    auto server = std::make_shared<Server>();
    server->info = entry.info;
    server->address = *entry.address;
    CreateSession(*server);
    servers_[entry.info.id] = std::move(server);
  }
  for (auto& [id, server] : removed) {
    server->info.state = ServerInfo::State::kGone;
    if (const auto it = servers_.find(id); it != servers_.end() && it->second == server) servers_.erase(it);
    // Pending attempts keep the server alive until they are resolved.
    DisconnectIfIdle(*server);
    if (server->in_flight.empty() && server->queued.empty())
      loop_.Post([gone = server] { gone->session = nullptr; });
  }
}

// ---- Attempts ----

Upstream::AttemptId Upstream::Send(const std::string& id, const core::Message& request,
                                   const SendOptions& options, Done done) {
  const AttemptId attempt = ++last_attempt_;
  Pending& pending = pending_[attempt];
  pending.done = std::move(done);
  const auto found = servers_.find(id);
  if (found == servers_.end() || !found->second->Healthy()) {
    ResolveLater(attempt, Result::kUnreachable);
    return attempt;
  }
  Server& server = *found->second;
  pending.server = found->second;
  const auto& source = static_cast<const RequestMessage&>(request);
  ForwardOptions forward;
  forward.hop_by_hop = server.session->peer().NextHopByHop();
  forward.from = source.from;
  forward.retransmit = options.may_have_run;
  forward.deadline_code = source.deadline.code;
  forward.deadline_vendor = source.deadline.vendor;
  forward.deadline = static_cast<std::uint32_t>(std::max<Micros>(options.response_timeout / kMillisecond, 1));
  pending.unsent = Forward(source.message, forward);
  server.needed = true;
  if (server.session->peer().usable()) {
    SendAttempt(server, attempt);
  } else if (server.session->peer().state() == Peer::State::kClosed && server.reported_usable &&
             open_connections() < limits_.max_connections) {
    server.queued.push_back(attempt);
    // Deferred, as a dial may fail at once while the balancer is still issuing attempts.
    loop_.Post([server = found->second] {
      if (server->session != nullptr && !server->queued.empty()) server->session->Start();
    });
  } else if (!server.session->peer().Connected() && server.reported_usable) {
    server.queued.push_back(attempt);  // being dialled, or closed at max_connections and not dialled
  } else {
    ResolveLater(attempt, Result::kUnreachable);  // nothing written: suspect, disconnecting, on probation
  }
  return attempt;
}

void Upstream::SendAttempt(Server& server, AttemptId attempt) {
  Pending& pending = pending_.at(attempt);
  const Message message = std::move(*std::exchange(pending.unsent, std::nullopt));
  const auto write_end = server.session->Send(message);
  if (!write_end) return ResolveLater(attempt, Result::kUnreachable);
  if (counters_ != nullptr) ++counters_->attempts_sent;
  pending.sent = message.header;
  pending.connection = server.session->open_connection();
  pending.write_end = *write_end;
  server.in_flight.emplace(message.header.hop_by_hop, attempt);
}

void Upstream::CancelAttempt(AttemptId attempt) {
  const auto it = pending_.find(attempt);
  if (it == pending_.end()) return;
  const std::shared_ptr<Server> server = it->second.server;
  if (server != nullptr) {
    std::erase(server->queued, attempt);
    if (it->second.connection != nullptr) server->in_flight.erase(it->second.sent.hop_by_hop);
  }
  pending_.erase(it);
  if (server != nullptr) loop_.Post([this, server] { DisconnectIfIdle(*server); });
}

void Upstream::Resolve(AttemptId attempt, Result result, std::optional<Message> answer) {
  const auto it = pending_.find(attempt);
  if (it == pending_.end()) return;
  Pending pending = std::move(it->second);
  pending_.erase(it);
  if (pending.connection != nullptr) pending.server->in_flight.erase(pending.sent.hop_by_hop);
  core::AttemptResult out;
  out.result = result;
  if (answer) out.message = std::make_unique<AnswerMessage>(std::move(*answer));
  pending.done(std::move(out));
  if (pending.server != nullptr) DisconnectIfIdle(*pending.server);
}

// Deferred, as the balancer must not get a result while it is still issuing attempts.
void Upstream::ResolveLater(AttemptId attempt, Result result) {
  loop_.Post([this, attempt, result] { Resolve(attempt, result, std::nullopt); });
}

std::optional<Upstream::AttemptId> Upstream::FindAttempt(Server& server, std::uint32_t hop_by_hop) const {
  const auto it = server.in_flight.find(hop_by_hop);
  if (it == server.in_flight.end()) return std::nullopt;  // cancelled, or never sent
  return it->second;
}

void Upstream::OnMessage(Server& server, Message message) {
  if (message.header.request()) {
    // Servers send no requests to a sidecar.
    server.session->Send(
        MakeError(self_, message, {ResultCode::kUnableToDeliver, {}, "no client is served here"}));
    return;
  }
  const auto attempt = FindAttempt(server, message.header.hop_by_hop);
  if (!attempt) return;
  // The answer doesn't match the request with this id, which may have run.
  if (!IsAnswerTo(message, pending_.at(*attempt).sent))
    return Resolve(*attempt, Result::kReset, std::nullopt);
  const Result result = ResultOfAttempt(message);
  Resolve(*attempt, result, std::move(message));
}

void Upstream::OnMalformed(Server& server, const MalformedMessage& bad) {
  if (bad.header.request()) return;
  if (const auto attempt = FindAttempt(server, bad.header.hop_by_hop))
    Resolve(*attempt, Result::kReset, std::nullopt);
}

// ---- The peer ----

void Upstream::OnSessionChanged(Server& server) {
  const Peer& peer = server.session->peer();
  if (peer.usable())
    for (const AttemptId attempt : std::exchange(server.queued, {})) SendAttempt(server, attempt);
  if (peer.state() == Peer::State::kClosed || (peer.Open() && !peer.usable()))
    for (const AttemptId attempt : std::exchange(server.queued, {}))
      ResolveLater(attempt, Result::kUnreachable);
  if (peer.open_generation() != server.open_generation || !peer.Connected()) {
    // Attempts on a closed connection may have run, unless they weren't sent completely.
    const ConnectionPtr& now = server.session->open_connection();
    for (const auto& [hop_by_hop, attempt] : server.in_flight) {
      const Pending& pending = pending_.at(attempt);
      if (pending.connection == now && now != nullptr) continue;
      const bool may_have_run = pending.connection->MayHaveBeenSent(pending.write_end);
      ResolveLater(attempt, may_have_run ? Result::kReset : Result::kUnreachable);
    }
    server.open_generation = peer.open_generation();
  }
  UpdateUsable(server);
  if (peer.state() == Peer::State::kDraining) DisconnectIfIdle(server);
}

// Reports whether the balancer may choose the server for Diameter. A server that was never dialled counts as
// usable, so that it is dialled on demand; one that went down is redialled and has to come back first.
void Upstream::UpdateUsable(Server& server) {
  const Peer& peer = server.session->peer();
  const bool usable = peer.usable() || (!peer.Open() && peer.watchdog() == Watchdog::State::kInitial &&
                                        peer.state() != Peer::State::kDraining);
  if (peer.state() == Peer::State::kClosed && !usable && server.needed && server.Healthy()) {
    const auto wait = static_cast<Micros>(static_cast<double>(random_() >> 11) * 0x1.0p-53 *
                                          static_cast<double>(application_.max_reconnect_delay));
    server.redial->Start(wait, [&server] {
      if (server.Healthy()) server.session->Start();
    });
  }
  if (std::exchange(server.reported_usable, usable) == usable) return;
  loop_.Post([this, id = server.info.id] { usable_changed_(id); });
}

void Upstream::DisconnectIfIdle(Server& server) {
  if (server.session == nullptr || !server.in_flight.empty()) return;
  if (server.session->peer().state() == Peer::State::kDraining) return server.session->Drained();
  if (!server.Healthy() && server.queued.empty())
    server.session->Stop(DisconnectCause::kDoNotWantToTalkToYou);
}

std::optional<Peer::IncomingResult> Upstream::Adopt(const ConnectionPtr& connection, const Message& cer,
                                                    const PeerCapabilities& remote) {
  for (const auto& [id, server] : servers_)
    if (SameName(application_.ServerHost(id), remote.host))
      return server->session->Adopt(connection, cer, remote);
  return std::nullopt;
}

bool Upstream::Usable(const std::string& id) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && it->second->reported_usable;
}

std::size_t Upstream::open_connections() const {
  return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
    return entry.second->session->peer().state() != Peer::State::kClosed;
  }));
}

}  // namespace merlinrun::diameter
