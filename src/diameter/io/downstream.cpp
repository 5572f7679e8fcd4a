#include "diameter/io/downstream.hpp"

#include <chrono>
#include <cstdio>
#include <utility>
#include <variant>

#include "diameter/io/messages.hpp"
#include "diameter/relay.hpp"

namespace merlinrun::diameter {
namespace {

// Delay before accepting again after an error, so that EMFILE doesn't cause a busy loop.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr double kMicrosPerSecond = 1e6;

}  // namespace

struct Downstream::ListenSocket {
  ListenSocket(boost::asio::io_context& io, const Listener& listener)
      : acceptor(io, listener.address, /*reuse_addr=*/true),
        accept_retry_timer(io),
        connection_factory(listener.connection_factory) {}
  Tcp::acceptor acceptor;
  boost::asio::steady_timer accept_retry_timer;
  ConnectionFactory connection_factory;
};

struct Downstream::UnidentifiedConnection {
  ConnectionPtr connection;
  std::unique_ptr<core::Timer> timer;
};

struct Downstream::Client {
  std::string host;
  bool tls = false;
  std::unique_ptr<PeerSession> session;
  std::uint64_t open_generation = 0;
  std::uint64_t connection = 0;      // number of the open connection; 0 = none
  std::size_t pending_requests = 0;  // unanswered requests of the open connection
};

// Sends the final answer of a request to everyone that waits for it, which may not include the original
// sender.
class Downstream::ClientResponseSink : public core::ResponseSink {
 public:
  ClientResponseSink(Downstream& downstream, RequestKey key, const diameter::Message& request,
                     RetrySafety safety, int request_class)
      : downstream_(downstream),
        key_(std::move(key)),
        header_(request.header),
        proxy_info_(ProxyInfoOf(request)),
        keep_answer_(safety != RetrySafety::kSafe),
        active_request_(downstream.counters_, request_class) {
    if (const auto session_id = Find(request.avps, avp::kSessionId))
      session_id_ = AvpWriter().Copy(*session_id).Take();
  }

  void Deliver(core::MessagePtr answer) override {
    active_request_.Finish(stats::RequestResult::kOk);
    Complete(std::move(answer));
  }
  void Complete(core::MessagePtr answer) {
    downstream_.Finish(key_, static_cast<AnswerMessage&>(*answer).message, proxy_info_, keep_answer_);
  }
  // The request wasn't run, so a retransmission is treated as new.
  void Refuse(Micros retry_after) override {
    active_request_.Finish(stats::RequestResult::kShed);
    char text[48] = "refused";
    if (retry_after > 0)
      std::snprintf(text, sizeof text, "refused; retry after %.3f s",
                    static_cast<double>(retry_after) / kMicrosPerSecond);
    downstream_.Finish(key_, MakeErrorAnswer(ResultCode::kTooBusy, text), proxy_info_, /*keep=*/false);
  }
  void Fail(core::FailureReason reason, core::MessagePtr answer) override {
    active_request_.Finish(stats::RequestResult::kError);
    if (answer != nullptr) return Complete(std::move(answer));  // prefer the server's answer
    const char* const text =
        reason == core::FailureReason::kDeadlineExceeded ? "out of time" : "failed; it may have run";
    downstream_.Finish(key_, MakeErrorAnswer(ResultCode::kUnableToComply, text), proxy_info_, keep_answer_);
  }

 private:
  Message MakeErrorAnswer(ResultCode code, const char* text) const {
    return MakeError(downstream_.self_, header_, session_id_ + proxy_info_, {code, {}, text});
  }
  Downstream& downstream_;
  const RequestKey key_;
  const Header header_;
  const std::string proxy_info_;
  std::string session_id_;
  const bool keep_answer_;
  stats::ActiveRequestGuard active_request_;
};

Downstream::Downstream(boost::asio::io_context& io, core::Loop& loop, const std::vector<Listener>& listeners,
                       Limits limits, const Application& application, const Identity& self,
                       net::MemoryBudget& budget, stats::Counters& counters,
                       core::RequestManager& request_manager, Upstream& upstream, std::uint64_t seed)
    : loop_(loop),
      limits_(limits),
      application_(application),
      self_(self),
      budget_(budget),
      counters_(counters),
      request_manager_(request_manager),
      upstream_(upstream),
      duplicates_(application.duplicate_limits),
      seed_(seed) {
  for (const AllowedClient& rule : application.clients) {
    auto client = std::make_unique<Client>();
    client->host = rule.host;
    client->tls = rule.tls;
    clients_[LowerName(rule.host)] = std::move(client);
  }
  for (const Listener& listener : listeners) {
    listen_sockets_.push_back(std::make_unique<ListenSocket>(io, listener));
    Accept(*listen_sockets_.back());
  }
}

Downstream::~Downstream() {
  for (const auto& [id, unidentified] : unidentified_) unidentified->connection->Close();
}

Tcp::endpoint Downstream::address(std::size_t listener) const {
  return (*std::next(listen_sockets_.begin(), static_cast<std::ptrdiff_t>(listener)))
      ->acceptor.local_endpoint();
}

// ---- New connections ----

void Downstream::Accept(ListenSocket& listen_socket) {
  listen_socket.acceptor.async_accept([this, &listen_socket](ErrorCode error, Tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (!error)
      listen_socket.connection_factory(std::move(socket), [this](const ConnectionPtr& connection) {
        if (connection != nullptr) AwaitCer(connection);
      });
    if (!listen_socket.acceptor.is_open()) return;
    if (!error || error == boost::asio::error::connection_aborted) return Accept(listen_socket);
    listen_socket.accept_retry_timer.expires_after(kAcceptRetryDelay);
    listen_socket.accept_retry_timer.async_wait([this, &listen_socket](ErrorCode stopped) {
      if (!stopped && listen_socket.acceptor.is_open()) Accept(listen_socket);
    });
  });
}

// Waits for the CER of a new connection. The number of waiting connections is bounded, and the oldest is
// closed to make room, so that clients that connect and send nothing don't lock out others.
void Downstream::AwaitCer(const ConnectionPtr& connection) {
  if (unidentified_.size() >= limits_.max_unidentified) {
    unidentified_.begin()->second->connection->Close();
    unidentified_.erase(unidentified_.begin());
  }
  const std::uint64_t id = ++last_connection_;
  auto unidentified = std::make_unique<UnidentifiedConnection>();
  unidentified->connection = connection;
  unidentified->timer = loop_.NewTimer();
  const auto forget = [this, id] {
    const auto it = unidentified_.find(id);
    if (it == unidentified_.end()) return;
    it->second->connection->Close();
    unidentified_.erase(it);
  };
  unidentified->timer->Start(limits_.cer_timeout, forget);
  unidentified_[id] = std::move(unidentified);
  Connection::Events events;
  events.on_frame = [this, id](std::string_view frame) { OnFirstMessage(id, frame); };
  events.on_framing_error = [this, id](const MalformedMessage& bad) {
    RejectConnection(id, bad.header, {}, bad.fault);
  };
  events.on_closed = forget;
  connection->Start(std::move(events));
}

// Answers the first message with an error and closes the connection.
void Downstream::RejectConnection(std::uint64_t id, const Header& header, std::string_view avps,
                                  const MessageError& fault) {
  const auto it = unidentified_.find(id);
  if (it == unidentified_.end()) return;
  const ConnectionPtr connection = it->second->connection;
  unidentified_.erase(it);
  if ((header.flags & kRequestBit) != 0) {
    const Message answer = MakeError(self_, header, avps, fault);
    connection->Write(Encode(answer.header, answer.avps));
  }
  connection->Close();
}

void Downstream::OnFirstMessage(std::uint64_t id, std::string_view frame) {
  const auto it = unidentified_.find(id);
  if (it == unidentified_.end()) return;
  const auto decoded = Decode(frame);
  if (const auto* bad = std::get_if<MalformedMessage>(&decoded))
    return RejectConnection(id, bad->header, {}, bad->fault);
  const Message& cer = std::get<Message>(decoded);
  const auto reject = [&](const MessageError& fault) { RejectConnection(id, cer.header, cer.avps, fault); };
  if (!cer.header.request() || cer.header.command != kCapabilitiesExchange || cer.header.application != 0)
    return reject({ResultCode::kUnknownPeer, {}, "the capabilities exchange comes first"});
  const auto read = ReadCapabilities(self_, application_.dictionary, cer);
  if (const auto* fault = std::get_if<MessageError>(&read)) return reject(*fault);
  const PeerCapabilities& remote = std::get<PeerCapabilities>(read);
  const ConnectionPtr connection = it->second->connection;
  if (!connection->MatchesHost(remote.host))
    return reject({ResultCode::kUnknownPeer, {}, "the certificate is another host's"});
  const auto client = clients_.find(LowerName(remote.host));
  if (client != clients_.end() && client->second->tls && !connection->tls())
    return reject({ResultCode::kNoCommonSecurity, {}, "this peer has to use TLS"});
  std::optional<Peer::IncomingResult> result;
  if (client == clients_.end()) {
    result = upstream_.Adopt(connection, cer, remote);
    if (!result) return reject({ResultCode::kUnknownPeer, {}, "this peer is not listed"});
  } else if (disconnect_idle_) {
    return reject({ResultCode::kTooBusy, {}, "parting"});
  } else {
    Client& entry = *client->second;
    if (entry.session == nullptr) {
      Peer::Settings settings;
      settings.host = entry.host;
      settings.watchdog_interval = application_.watchdog_interval;
      settings.probation = false;
      settings.seed = seed_ += 0x9e3779b97f4a7c15ULL;
      PeerSession::Events events;
      events.on_message = [this, &entry](Message message) {
        if (message.header.request()) OnRequest(entry, std::move(message));
      };
      events.on_malformed = [](const MalformedMessage&) {};
      events.on_change = [this, &entry] { OnSessionChanged(entry); };
      entry.session = std::make_unique<PeerSession>(loop_, self_, application_.dictionary,
                                                    std::move(settings), nullptr, std::move(events));
    }
    result = entry.session->Adopt(connection, cer, remote);
  }
  if (*result == Peer::IncomingResult::kRejected)
    return reject({ResultCode::kElectionLost, {}, "another connection of this peer stands"});
  unidentified_.erase(id);  // the peer session owns the connection now
}

// ---- Requests ----

void Downstream::SendError(Client& client, const Message& request, ResultCode code, const char* text) {
  client.session->Send(MakeError(self_, request, {code, {}, text}));
}

bool Downstream::HandleDuplicate(Client& client, const Message& request, const RequestKey& key,
                                 std::uint64_t digest, const DuplicateCache::Waiter& waiter) {
  const auto alive = [this](std::uint64_t connection) { return by_connection_.count(connection) > 0; };
  switch (duplicates_.Lookup(loop_.Now(), key, digest, waiter, alive)) {
    case DuplicateCache::LookupResult::kNew:
      return false;
    case DuplicateCache::LookupResult::kPending:
      ++client.pending_requests;
      return true;
    case DuplicateCache::LookupResult::kTooManyWaiters:
      SendError(client, request, ResultCode::kTooBusy, "sent too often at once");
      return true;
    case DuplicateCache::LookupResult::kAnswered:
      if (const auto answer = duplicates_.Answer(key))
        client.session->Send(RelayAnswerTo(*answer, waiter.hop_by_hop, waiter.proxy_info));
      else
        SendError(client, request, ResultCode::kUnableToComply,
                  "it is over, and its answer is no longer kept");
      return true;
    case DuplicateCache::LookupResult::kConflict:
      SendError(client, request, ResultCode::kUnableToComply, "the end-to-end id is another request's");
      return true;
  }
  return false;
}

void Downstream::OnRequest(Client& client, Message request) {
  const auto read = ReadRequest(application_, request_manager_.settings(), request);
  const auto* fault = std::get_if<MessageError>(&read);
  const auto route = fault == nullptr ? CheckRoute(self_, application_.realms, request) : std::nullopt;
  if (fault == nullptr && route) fault = &*route;
  if (fault != nullptr) return void(client.session->Send(MakeError(self_, request, *fault)));
  const auto send_error = [&](ResultCode code, const char* text) { SendError(client, request, code, text); };
  if (client.pending_requests >= application_.max_pending_requests)
    return send_error(ResultCode::kTooBusy, "too many requests at once");

  const RequestInfo& info = std::get<RequestInfo>(read);
  const RequestKey key{LowerName(Find(request.avps, avp::kOriginHost)->data), request.header.end_to_end};
  const std::uint64_t digest = ComputeDigest(request);
  const DuplicateCache::Waiter waiter{client.connection, request.header.hop_by_hop, ProxyInfoOf(request)};
  if (HandleDuplicate(client, request, key, digest, waiter)) return;
  const auto& class_settings =
      request_manager_.settings().classes[static_cast<std::size_t>(info.request_class)];
  const bool retransmit = (request.header.flags & kRetransmitBit) != 0;
  // A retransmission of a request that this node doesn't know, sent through another node or before a restart.
  // It may have run, so it isn't run again unless the class is safe to retry.
  if (retransmit && class_settings.retry_safety != RetrySafety::kSafe)
    return send_error(ResultCode::kUnableToComply, "sent before, with an outcome that is not known here");
  if (!info.id.empty() && request_manager_.Contains(info.id))
    return send_error(ResultCode::kUnableToComply, "a request of this id is under way");
  auto message = std::make_unique<RequestMessage>();
  // Reserves memory for two copies, as forwarding copies the request.
  if (!message->charge.Reserve(budget_, 2 * request.avps.size()))
    return send_error(ResultCode::kTooBusy, "out of memory for requests");
  if (!duplicates_.Begin(loop_.Now(), key, digest, waiter))
    return send_error(ResultCode::kTooBusy, "too many requests to remember");
  ++client.pending_requests;

  core::IncomingRequest incoming;
  incoming.id = info.id.empty() ? "d/" + key.host + "/" + std::to_string(key.end_to_end) : info.id;
  incoming.request_class = info.request_class;
  incoming.tenant = info.tenant;
  incoming.client_timeout = info.deadline;
  incoming.is_retry = retransmit;
  incoming.write = class_settings.retry_safety != RetrySafety::kSafe;
  incoming.key = info.object;
  incoming.protocol = kDiameterProtocol;
  incoming.response_sink = std::make_unique<ClientResponseSink>(
      *this, key, request, class_settings.retry_safety, info.request_class);
  incoming.egress = &upstream_;
  message->deadline = application_.FindCommand(request.header.command)->deadline;
  message->from = client.host;
  message->message = std::move(request);
  incoming.request = std::move(message);
  request_manager_.Submit(std::move(incoming));
}

void Downstream::Finish(const RequestKey& key, const Message& answer, const std::string& proxy_info,
                        bool keep) {
  for (const DuplicateCache::Waiter& waiter : duplicates_.Finish(loop_.Now(), key, answer, keep)) {
    const auto it = by_connection_.find(waiter.connection);
    if (it == by_connection_.end()) continue;  // the client has disconnected; the answer is cached if needed
    Client& client = *it->second;
    client.session->Send(waiter.proxy_info == proxy_info
                             ? RelayAnswer(answer, waiter.hop_by_hop)
                             : RelayAnswerTo(answer, waiter.hop_by_hop, waiter.proxy_info));
    --client.pending_requests;
    loop_.Post([this, &client] { DisconnectIfIdle(client); });
  }
}

// ---- Clients ----

void Downstream::OnSessionChanged(Client& client) {
  const Peer& peer = client.session->peer();
  if (peer.open_generation() != client.open_generation || (!peer.Connected() && client.connection != 0)) {
    by_connection_.erase(std::exchange(client.connection, 0));
    client.open_generation = peer.open_generation();
    client.pending_requests = 0;
    if (peer.Connected()) by_connection_[client.connection = ++last_connection_] = &client;
  }
  DisconnectIfIdle(client);
}

void Downstream::DisconnectIfIdle(Client& client) {
  if (client.pending_requests > 0 || client.session == nullptr) return;
  if (client.session->peer().state() == Peer::State::kDraining) return client.session->Drained();
  if (disconnect_idle_)
    client.session->Stop(stopping_ ? DisconnectCause::kRebooting : DisconnectCause::kBusy);
}

void Downstream::SetDraining(bool draining) {
  if (!draining) disconnect_idle_ = false;
}

void Downstream::StopAccepting() {
  stopping_ = true;
  ErrorCode ignored;
  for (const auto& listen_socket : listen_sockets_) listen_socket->acceptor.close(ignored);
}

void Downstream::CloseIdle(Micros) {
  disconnect_idle_ = true;
  if (stopping_)
    for (const auto& [id, unidentified] : std::exchange(unidentified_, {})) unidentified->connection->Close();
  for (const auto& [host, client] : clients_) DisconnectIfIdle(*client);
}

std::size_t Downstream::sessions() const { return by_connection_.size(); }

}  // namespace merlinrun::diameter
