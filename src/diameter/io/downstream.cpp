#include "diameter/io/downstream.hpp"

#include <chrono>
#include <cstdio>
#include <utility>
#include <variant>

#include "diameter/io/messages.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
constexpr double kMicrosASecond = 1e6;

}  // namespace

struct Downstream::Port {
  Port(boost::asio::io_context& io, const Listener& listener)
      : acceptor(io, listener.address, /*reuse_addr=*/true), pause(io), wrap(listener.wrap) {}
  Tcp::acceptor acceptor;
  boost::asio::steady_timer pause;
  Wrap wrap;
};

struct Downstream::Stranger {
  ConnectionPtr connection;
  std::unique_ptr<core::Timer> timer;
};

struct Downstream::Client {
  std::string host;
  bool tls = false;
  std::unique_ptr<PeerSession> peer;
  std::uint64_t lives = 0;
  std::uint64_t connection = 0;  // the open one's number; 0 = none
  std::size_t under_way = 0;     // requests of the open connection that have no answer yet
};

// Brings a request's final answer to whoever waits for it, which need not be who asked first.
class Downstream::Caller : public core::ResponseSink {
 public:
  Caller(Downstream& front, RequestKey key, const diameter::Message& request, RetrySafety repeat,
         int request_class)
      : downstream_(front),
        key_(std::move(key)),
        header_(request.header),
        proxy_info_(ProxyInfoOf(request)),
        keep_(repeat != RetrySafety::kSafe),
        taken_(front.counters_, request_class) {
    if (const auto session = Find(request.avps, avp::kSessionId))
      session_ = AvpWriter().Copy(*session).Take();
  }

  void Deliver(core::MessagePtr answer) override {
    taken_.Finish(stats::RequestResult::kOk);
    Pass(std::move(answer));
  }
  void Pass(core::MessagePtr answer) {
    downstream_.Finish(key_, static_cast<AnswerMessage&>(*answer).message, proxy_info_, keep_);
  }
  // Nothing has run, so nothing needs to be remembered: it may be sent again and is new then.
  void Refuse(Micros retry_after) override {
    taken_.Finish(stats::RequestResult::kShed);
    char text[48] = "refused";
    if (retry_after > 0)
      std::snprintf(text, sizeof text, "refused; retry after %.3f s",
                    static_cast<double>(retry_after) / kMicrosASecond);
    downstream_.Finish(key_, Own(ResultCode::kTooBusy, text), proxy_info_, /*keep=*/false);
  }
  void Fail(core::FailureReason why, core::MessagePtr answer) override {
    taken_.Finish(stats::RequestResult::kError);
    if (answer != nullptr) return Pass(std::move(answer));  // the server's own words say more
    const char* const text =
        why == core::FailureReason::kDeadlineExceeded ? "out of time" : "failed; it may have run";
    downstream_.Finish(key_, Own(ResultCode::kUnableToComply, text), proxy_info_, keep_);
  }

 private:
  Message Own(ResultCode code, const char* text) const {
    return MakeError(downstream_.self_, header_, session_ + proxy_info_, {code, {}, text});
  }
  Downstream& downstream_;
  const RequestKey key_;
  const Header header_;
  const std::string proxy_info_;
  std::string session_;
  const bool keep_;
  stats::ActiveRequestGuard taken_;
};

Downstream::Downstream(boost::asio::io_context& io, core::Loop& loop, const std::vector<Listener>& listeners,
                       Limits limits, const Application& application, const Identity& self,
                       net::MemoryBudget& budget, stats::Counters& counters, core::RequestManager& exchanges,
                       Upstream& upstream, std::uint64_t seed)
    : loop_(loop),
      limits_(limits),
      application_(application),
      self_(self),
      budget_(budget),
      counters_(counters),
      exchanges_(exchanges),
      upstream_(upstream),
      duplicates_(application.recall),
      seed_(seed) {
  for (const AllowedClient& rule : application.clients) {
    auto client = std::make_unique<Client>();
    client->host = rule.host;
    client->tls = rule.tls;
    clients_[LowerName(rule.host)] = std::move(client);
  }
  for (const Listener& listener : listeners) {
    ports_.push_back(std::make_unique<Port>(io, listener));
    Accept(*ports_.back());
  }
}

Downstream::~Downstream() {
  for (const auto& [id, stranger] : strangers_) stranger->connection->Close();
}

Tcp::endpoint Downstream::address(std::size_t listener) const {
  return (*std::next(ports_.begin(), static_cast<std::ptrdiff_t>(listener)))->acceptor.local_endpoint();
}

// ---- Who comes in ----

void Downstream::Accept(Port& port) {
  port.acceptor.async_accept([this, &port](ErrorCode error, Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error)
      port.wrap(std::move(socket), [this](const ConnectionPtr& connection) {
        if (connection != nullptr) Greet(connection);
      });
    if (!port.acceptor.is_open()) return;
    if (!error || error == boost::asio::error::connection_aborted) return Accept(port);
    port.pause.expires_after(kAcceptPause);
    port.pause.async_wait([this, &port](ErrorCode stopped) {
      if (!stopped && port.acceptor.is_open()) Accept(port);
    });
  });
}

// Waits for the CER of a new connection. Guards against connections that say nothing: they are few, and the
// one that has said nothing for longest makes room for the next.
void Downstream::Greet(const ConnectionPtr& connection) {
  if (strangers_.size() >= limits_.strangers) {
    strangers_.begin()->second->connection->Close();
    strangers_.erase(strangers_.begin());
  }
  const std::uint64_t id = ++last_connection_;
  auto stranger = std::make_unique<Stranger>();
  stranger->connection = connection;
  stranger->timer = loop_.NewTimer();
  const auto forget = [this, id] {
    const auto it = strangers_.find(id);
    if (it == strangers_.end()) return;
    it->second->connection->Close();
    strangers_.erase(it);
  };
  stranger->timer->Start(limits_.introduction, forget);
  strangers_[id] = std::move(stranger);
  Connection::Events events;
  events.on_frame = [this, id](std::string_view frame) { OnIntroduction(id, frame); };
  events.on_framing_error = [this, id](const MalformedMessage& bad) {
    TurnAway(id, bad.header, {}, bad.fault);
  };
  events.on_closed = forget;
  connection->Start(std::move(events));
}

// The one answer that a connection gets which is not let in.
void Downstream::TurnAway(std::uint64_t id, const Header& header, std::string_view avps,
                          const MessageError& fault) {
  const auto it = strangers_.find(id);
  if (it == strangers_.end()) return;
  const ConnectionPtr connection = it->second->connection;
  strangers_.erase(it);
  if ((header.flags & kRequestBit) != 0) {
    const Message answer = MakeError(self_, header, avps, fault);
    connection->Write(Encode(answer.header, answer.avps));
  }
  connection->Close();
}

void Downstream::OnIntroduction(std::uint64_t id, std::string_view frame) {
  const auto it = strangers_.find(id);
  if (it == strangers_.end()) return;
  const auto decoded = Decode(frame);
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded))
    return TurnAway(id, bad->header, {}, bad->fault);
  const Message& cer = std::get<Message>(decoded);
  const auto away = [&](const MessageError& fault) { TurnAway(id, cer.header, cer.avps, fault); };
  if (!cer.header.request() || cer.header.command != kCapabilitiesExchange || cer.header.application != 0)
    return away({ResultCode::kUnknownPeer, {}, "the capabilities exchange comes first"});
  const auto read = ReadCapabilities(self_, application_.dictionary, cer);
  if (const auto* fault = std::get_if<MessageError>(&read)) return away(*fault);
  const PeerCapabilities& remote = std::get<PeerCapabilities>(read);
  const ConnectionPtr connection = it->second->connection;
  if (!connection->MatchesHost(remote.host))
    return away({ResultCode::kUnknownPeer, {}, "the certificate is another host's"});
  const auto client = clients_.find(LowerName(remote.host));
  if (client != clients_.end() && client->second->tls && !connection->tls())
    return away({ResultCode::kNoCommonSecurity, {}, "this peer has to use TLS"});
  std::optional<Peer::Verdict> verdict;
  if (client == clients_.end()) {
    verdict = upstream_.Adopt(connection, cer, remote);
    if (!verdict) return away({ResultCode::kUnknownPeer, {}, "this peer is not listed"});
  } else if (parting_) {
    return away({ResultCode::kTooBusy, {}, "parting"});
  } else {
    Client& its = *client->second;
    if (its.peer == nullptr) {
      Peer::Settings settings;
      settings.host = its.host;
      settings.watchdog = application_.watchdog;
      settings.probation = false;
      settings.seed = seed_ += 0x9e3779b97f4a7c15ULL;
      PeerSession::Events events;
      events.on_message = [this, &its](Message message) {
        if (message.header.request()) OnRequest(its, std::move(message));
      };
      events.on_malformed = [](const MalformedMessage&) {};
      events.on_change = [this, &its] { OnChange(its); };
      its.peer = std::make_unique<PeerSession>(loop_, self_, application_.dictionary, std::move(settings),
                                               nullptr, std::move(events));
    }
    verdict = its.peer->Adopt(connection, cer, remote);
  }
  if (*verdict == Peer::Verdict::kRejected)
    return away({ResultCode::kElectionLost, {}, "another connection of this peer stands"});
  strangers_.erase(id);  // the connection is the peer's now
}

// ---- Requests ----

void Downstream::Say(Client& client, const Message& request, ResultCode code, const char* text) {
  client.peer->Send(MakeError(self_, request, {code, {}, text}));
}

bool Downstream::Recalled(Client& client, const Message& request, const RequestKey& key, std::uint64_t digest,
                          const DuplicateCache::Waiter& waiter) {
  const auto alive = [this](std::uint64_t connection) { return by_connection_.count(connection) > 0; };
  switch (duplicates_.Look(loop_.Now(), key, digest, waiter, alive)) {
    case DuplicateCache::Found::kNew:
      return false;
    case DuplicateCache::Found::kPending:
      ++client.under_way;
      return true;
    case DuplicateCache::Found::kCrowded:
      Say(client, request, ResultCode::kTooBusy, "sent too often at once");
      return true;
    case DuplicateCache::Found::kAnswered:
      if (const auto answer = duplicates_.Answer(key))
        client.peer->Send(BackwardTo(*answer, waiter.hop_by_hop, waiter.proxy_info));
      else
        Say(client, request, ResultCode::kUnableToComply, "it is over, and its answer is no longer kept");
      return true;
    case DuplicateCache::Found::kOther:
      Say(client, request, ResultCode::kUnableToComply, "the end-to-end id is another request's");
      return true;
  }
  return false;
}

void Downstream::OnRequest(Client& client, Message request) {
  const auto read = ReadRequest(application_, exchanges_.settings(), request);
  const auto* fault = std::get_if<MessageError>(&read);
  const auto route = fault == nullptr ? CheckRoute(self_, application_.realms, request) : std::nullopt;
  if (fault == nullptr && route) fault = &*route;
  if (fault != nullptr) return void(client.peer->Send(MakeError(self_, request, *fault)));
  const auto say = [&](ResultCode code, const char* text) { Say(client, request, code, text); };
  if (client.under_way >= application_.max_pending_requests)
    return say(ResultCode::kTooBusy, "too many requests at once");

  const RequestInfo& reading = std::get<RequestInfo>(read);
  const RequestKey key{LowerName(Find(request.avps, avp::kOriginHost)->data), request.header.end_to_end};
  const std::uint64_t digest = DigestOf(request);
  const DuplicateCache::Waiter waiter{client.connection, request.header.hop_by_hop, ProxyInfoOf(request)};
  if (Recalled(client, request, key, digest, waiter)) return;
  const auto& its_class = exchanges_.settings().classes[static_cast<std::size_t>(reading.request_class)];
  const bool resend = (request.header.flags & kRetransmitBit) != 0;
  // Sent before, by another way or before this sidecar began, and its outcome is not known here: it may have
  // run. Guards against the second run of a port whose first went through a sidecar that is gone.
  if (resend && its_class.retry_safety != RetrySafety::kSafe)
    return say(ResultCode::kUnableToComply, "sent before, with an outcome that is not known here");
  if (!reading.id.empty() && exchanges_.Contains(reading.id))
    return say(ResultCode::kUnableToComply, "a request of this id is under way");
  auto message = std::make_unique<RequestMessage>();
  // Twice: the request is copied when it is sent on.
  if (!message->charge.Reserve(budget_, 2 * request.avps.size()))
    return say(ResultCode::kTooBusy, "out of memory for requests");
  if (!duplicates_.Begin(loop_.Now(), key, digest, waiter))
    return say(ResultCode::kTooBusy, "too many requests to remember");
  ++client.under_way;

  core::IncomingRequest arrival;
  arrival.id = reading.id.empty() ? "d/" + key.host + "/" + std::to_string(key.end_to_end) : reading.id;
  arrival.request_class = reading.request_class;
  arrival.tenant = reading.tenant;
  arrival.client_timeout = reading.deadline;
  arrival.is_retry = resend;
  arrival.write = its_class.retry_safety != RetrySafety::kSafe;
  arrival.key = reading.object;
  arrival.protocol = kDiameterProtocol;
  arrival.response_sink =
      std::make_unique<Caller>(*this, key, request, its_class.retry_safety, reading.request_class);
  arrival.egress = &upstream_;
  message->deadline = application_.FindCommand(request.header.command)->deadline;
  message->from = client.host;
  message->message = std::move(request);
  arrival.request = std::move(message);
  exchanges_.Submit(std::move(arrival));
}

void Downstream::Finish(const RequestKey& key, const Message& answer, const std::string& proxy_info,
                        bool keep) {
  for (const DuplicateCache::Waiter& waiter : duplicates_.Finish(loop_.Now(), key, answer, keep)) {
    const auto it = by_connection_.find(waiter.connection);
    if (it == by_connection_.end()) continue;  // its client has left; the answer is kept if it matters
    Client& client = *it->second;
    client.peer->Send(waiter.proxy_info == proxy_info
                          ? Backward(answer, waiter.hop_by_hop)
                          : BackwardTo(answer, waiter.hop_by_hop, waiter.proxy_info));
    --client.under_way;
    loop_.Post([this, &client] { PartIfIdle(client); });
  }
}

// ---- Clients ----

void Downstream::OnChange(Client& client) {
  const Peer& peer = client.peer->peer();
  if (peer.lives() != client.lives || (!peer.Connected() && client.connection != 0)) {
    by_connection_.erase(std::exchange(client.connection, 0));
    client.lives = peer.lives();
    client.under_way = 0;
    if (peer.Connected()) by_connection_[client.connection = ++last_connection_] = &client;
  }
  PartIfIdle(client);
}

void Downstream::PartIfIdle(Client& client) {
  if (client.under_way > 0 || client.peer == nullptr) return;
  if (client.peer->peer().state() == Peer::State::kDraining) return client.peer->Drained();
  if (parting_) client.peer->Stop(stopping_ ? DisconnectCause::kRebooting : DisconnectCause::kBusy);
}

void Downstream::SetDraining(bool draining) {
  if (!draining) parting_ = false;
}

void Downstream::StopAccepting() {
  stopping_ = true;
  ErrorCode ignored;
  for (const auto& port : ports_) port->acceptor.close(ignored);
}

void Downstream::CloseIdle(Micros) {
  parting_ = true;
  if (stopping_)
    for (const auto& [id, stranger] : std::exchange(strangers_, {})) stranger->connection->Close();
  for (const auto& [host, client] : clients_) PartIfIdle(*client);
}

std::size_t Downstream::sessions() const { return by_connection_.size(); }

}  // namespace merlinrun::diameter
