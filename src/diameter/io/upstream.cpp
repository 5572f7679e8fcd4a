#include "diameter/io/upstream.hpp"

#include <algorithm>
#include <utility>

#include "diameter/io/messages.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

constexpr Micros kMillisecond = 1000;

// What a server's answer says of the attempt. 3002 and 3004 come from one that has not begun it (section
// 7.1.3); the other protocol errors and those by which it says that it could not do its work prove nothing.
// Any other answer is the server's word on the request, good or bad, and goes to the client as it is.
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
  std::optional<Message> waiting;  // to be sent once the peer is open
  Header sent;
  ConnectionPtr connection;  // that it was written to
  std::uint64_t end = 0;     // where it ends there
};

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::unique_ptr<PeerSession> host;
  std::unique_ptr<core::Timer> redial;
  std::vector<AttemptId> waiting;
  std::unordered_map<std::uint32_t, AttemptId> out;  // by hop-by-hop id
  std::uint64_t lives = 0;
  bool told_usable = true;
  bool needed = false;  // it has had work, so its connection is kept

  bool Up() const { return info.state == ServerInfo::State::kHealthy; }
};

Upstream::Upstream(core::Loop& loop, const Application& application, const Identity& self, Limits limits,
                   std::uint64_t seed, Connector connector, OnUsable on_usable)
    : loop_(loop),
      application_(application),
      self_(self),
      limits_(limits),
      connector_(std::move(connector)),
      on_usable_(std::move(on_usable)),
      random_(seed) {}

Upstream::~Upstream() = default;

void Upstream::Begin(Server& server) {
  Peer::Settings settings;
  settings.host = application_.ServerHost(server.info.id);
  settings.watchdog = application_.watchdog;
  settings.connect = limits_.connect;
  settings.seed = random_();
  PeerSession::Events events;
  events.on_message = [this, &server](Message message) { OnMessage(server, std::move(message)); };
  events.on_malformed = [this, &server](const MalformedMessage& bad) { OnBad(server, bad); };
  events.on_change = [this, &server] { OnChange(server); };
  const std::string name = settings.host;
  server.redial = loop_.NewTimer();
  server.host = std::make_unique<PeerSession>(
      loop_, self_, application_.dictionary, std::move(settings),
      [this, &server, name](auto done) { return connector_(server.address, name, std::move(done)); },
      std::move(events));
  server.lives = 0;
  server.needed = false;
  server.told_usable = true;
}

void Upstream::Apply(bool whole, const std::vector<ServerAddress>& servers) {
  std::unordered_map<std::string, std::shared_ptr<Server>> before;
  if (whole) before = servers_;
  for (const ServerAddress& entry : servers) {
    before.erase(entry.info.id);
    const auto it = servers_.find(entry.info.id);
    const bool speaks = entry.address && entry.info.state != ServerInfo::State::kGone;
    const bool same = it != servers_.end() && speaks && it->second->address == *entry.address &&
                      it->second->info.started == entry.info.started;
    if (same) {
      it->second->info = entry.info;
      PartIfIdle(*it->second);
      continue;
    }
    if (it != servers_.end()) before[entry.info.id] = it->second;  // what it was is gone
    if (!speaks) continue;
    auto server = std::make_shared<Server>();
    server->info = entry.info;
    server->address = *entry.address;
    Begin(*server);
    servers_[entry.info.id] = std::move(server);
  }
  for (auto& [id, server] : before) {
    server->info.state = ServerInfo::State::kGone;
    if (const auto it = servers_.find(id); it != servers_.end() && it->second == server) servers_.erase(it);
    // What is out there holds on to the server until it is resolved.
    PartIfIdle(*server);
    if (server->out.empty() && server->waiting.empty()) loop_.Post([gone = server] { gone->host = nullptr; });
  }
}

// ---- Attempts ----

Upstream::AttemptId Upstream::Send(const std::string& id, const core::Message& request,
                                   const SendOptions& order, Done done) {
  const AttemptId attempt = ++last_attempt_;
  Pending& pending = pending_[attempt];
  pending.done = std::move(done);
  const auto found = servers_.find(id);
  if (found == servers_.end() || !found->second->Up()) {
    ResolveLater(attempt, Result::kUnreachable);
    return attempt;
  }
  Server& server = *found->second;
  pending.server = found->second;
  const auto& from = static_cast<const RequestMessage&>(request);
  Onward onward;
  onward.hop_by_hop = server.host->peer().NextHopByHop();
  onward.from = from.from;
  onward.resend = order.may_have_run;
  onward.deadline_code = from.deadline.code;
  onward.deadline_vendor = from.deadline.vendor;
  onward.deadline = static_cast<std::uint32_t>(std::max<Micros>(order.response_timeout / kMillisecond, 1));
  pending.waiting = Forward(from.message, onward);
  server.needed = true;
  if (server.host->peer().usable()) {
    Start(server, attempt);
  } else if (server.host->peer().state() == Peer::State::kClosed && server.told_usable &&
             open_connections() < limits_.connections) {
    server.waiting.push_back(attempt);
    // In the next turn, as a dial may fail at once and the module is still saying what to send.
    loop_.Post([server = found->second] {
      if (server->host != nullptr && !server->waiting.empty()) server->host->Start();
    });
  } else if (!server.host->peer().Connected() && server.told_usable) {
    server.waiting.push_back(attempt);  // it is being dialled
  } else {
    ResolveLater(attempt, Result::kUnreachable);  // suspect, parting or reopened: nothing has been written
  }
  return attempt;
}

void Upstream::Start(Server& server, AttemptId attempt) {
  Pending& pending = pending_.at(attempt);
  const Message message = std::move(*std::exchange(pending.waiting, std::nullopt));
  const auto end = server.host->Send(message);
  if (!end) return ResolveLater(attempt, Result::kUnreachable);
  if (counters_ != nullptr) ++counters_->attempts_sent;
  pending.sent = message.header;
  pending.connection = server.host->open();
  pending.end = *end;
  server.out.emplace(message.header.hop_by_hop, attempt);
}

void Upstream::CancelAttempt(AttemptId attempt) {
  const auto it = pending_.find(attempt);
  if (it == pending_.end()) return;
  const std::shared_ptr<Server> server = it->second.server;
  if (server != nullptr) {
    std::erase(server->waiting, attempt);
    if (it->second.connection != nullptr) server->out.erase(it->second.sent.hop_by_hop);
  }
  pending_.erase(it);
  if (server != nullptr) loop_.Post([this, server] { PartIfIdle(*server); });
}

void Upstream::Resolve(AttemptId attempt, Result result, std::optional<Message> answer) {
  const auto it = pending_.find(attempt);
  if (it == pending_.end()) return;
  Pending pending = std::move(it->second);
  pending_.erase(it);
  if (pending.connection != nullptr) pending.server->out.erase(pending.sent.hop_by_hop);
  core::AttemptResult out;
  out.result = result;
  if (answer) out.message = std::make_unique<AnswerMessage>(std::move(*answer));
  pending.done(std::move(out));
  if (pending.server != nullptr) PartIfIdle(*pending.server);
}

// The module must not hear of an outcome while it is still saying what to send.
void Upstream::ResolveLater(AttemptId attempt, Result result) {
  loop_.Post([this, attempt, result] { Resolve(attempt, result, std::nullopt); });
}

std::optional<Upstream::AttemptId> Upstream::Match(Server& server, std::uint32_t hop_by_hop) const {
  const auto it = server.out.find(hop_by_hop);
  if (it == server.out.end()) return std::nullopt;  // given up, or never asked
  return it->second;
}

void Upstream::OnMessage(Server& server, Message message) {
  if (message.header.request()) {
    // Servers ask nothing of a sidecar; no other server would answer it either.
    server.host->Send(
        MakeError(self_, message, {ResultCode::kUnableToDeliver, {}, "no client is served here"}));
    return;
  }
  const auto attempt = Match(server, message.header.hop_by_hop);
  if (!attempt) return;
  // An answer to something else under this request's id is no answer to it, and the request may have run.
  if (!Answers(message, pending_.at(*attempt).sent)) return Resolve(*attempt, Result::kReset, std::nullopt);
  const Result result = ResultOfAttempt(message);
  Resolve(*attempt, result, std::move(message));
}

void Upstream::OnBad(Server& server, const MalformedMessage& bad) {
  if (bad.header.request()) return;
  if (const auto attempt = Match(server, bad.header.hop_by_hop))
    Resolve(*attempt, Result::kReset, std::nullopt);
}

// ---- The peer ----

void Upstream::OnChange(Server& server) {
  const Peer& peer = server.host->peer();
  if (peer.usable())
    for (const AttemptId attempt : std::exchange(server.waiting, {})) Start(server, attempt);
  if (peer.state() == Peer::State::kClosed || (peer.Open() && !peer.usable()))
    for (const AttemptId attempt : std::exchange(server.waiting, {}))
      ResolveLater(attempt, Result::kUnreachable);
  if (peer.lives() != server.lives || !peer.Connected()) {
    // What was written to a connection that is gone may have run, unless some of it never left.
    const ConnectionPtr& now = server.host->open();
    for (const auto& [hop_by_hop, attempt] : server.out) {
      const Pending& pending = pending_.at(attempt);
      if (pending.connection == now && now != nullptr) continue;
      const bool may_have_run = pending.connection->MayHaveLeft(pending.end);
      ResolveLater(attempt, may_have_run ? Result::kReset : Result::kUnreachable);
    }
    server.lives = peer.lives();
  }
  Tell(server);
  if (peer.state() == Peer::State::kDraining) PartIfIdle(server);
}

// Tells whether the module may choose the server for Diameter. One that was never dialled may be: that is how
// it is found out. One that went down has to come back first, and is dialled again for that.
void Upstream::Tell(Server& server) {
  const Peer& peer = server.host->peer();
  const bool usable = peer.usable() || (!peer.Open() && peer.watchdog() == Watchdog::State::kInitial &&
                                        peer.state() != Peer::State::kDraining);
  if (peer.state() == Peer::State::kClosed && !usable && server.needed && server.Up()) {
    const auto wait = static_cast<Micros>(static_cast<double>(random_() >> 11) * 0x1.0p-53 *
                                          static_cast<double>(application_.reconnect));
    server.redial->Start(wait, [&server] {
      if (server.Up()) server.host->Start();
    });
  }
  if (std::exchange(server.told_usable, usable) == usable) return;
  loop_.Post([this, id = server.info.id] { on_usable_(id); });
}

void Upstream::PartIfIdle(Server& server) {
  if (server.host == nullptr || !server.out.empty()) return;
  if (server.host->peer().state() == Peer::State::kDraining) return server.host->Drained();
  if (!server.Up() && server.waiting.empty()) server.host->Stop(DisconnectCause::kDoNotWantToTalkToYou);
}

std::optional<Peer::Verdict> Upstream::Adopt(const ConnectionPtr& connection, const Message& cer,
                                             const PeerCapabilities& remote) {
  for (const auto& [id, server] : servers_)
    if (SameName(application_.ServerHost(id), remote.host))
      return server->host->Adopt(connection, cer, remote);
  return std::nullopt;
}

bool Upstream::Usable(const std::string& id) const {
  const auto it = servers_.find(id);
  return it != servers_.end() && it->second->told_usable;
}

std::size_t Upstream::open_connections() const {
  return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& entry) {
    return entry.second->host->peer().state() != Peer::State::kClosed;
  }));
}

}  // namespace merlinrun::diameter
