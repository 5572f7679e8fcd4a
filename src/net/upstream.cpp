#include "upstream.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "body_chunk.hpp"
#include "validate.hpp"

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;

// Sweeps per idle timeout; few, as each wakes up the process.
constexpr int kSweepsPerTimeout = 4;

// Bytes of a large response to receive before streaming it: a response shorter than its stated length is
// often noticed by then, while a retry is still possible.
constexpr std::size_t kMinBytesBeforeStreaming = std::size_t{4} * 1024;

// Allowed 1xx responses before the final one.
constexpr int kMaxInterimResponses = 8;

bool Declined(const ResponseHeader& response) {
  const bool status = response.result() == http::status::service_unavailable ||
                      response.result() == http::status::gateway_timeout;
  return status && response[kDeclinedHeader] == "1";
}

// A 503 without the header does not prove that the request has not run.
Result ResultOf(const ResponseHeader& response) {
  if (response.result() == http::status::ok) return Result::kSuccess;
  return Declined(response) ? Result::kRefused : Result::kError;
}

}  // namespace

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::uint64_t incarnation = 0;    // changes when existing connections must not be reused
  std::vector<ConnectionPtr> idle;  // most recently used last

  bool IsHealthy() const { return info.state == ServerInfo::State::kHealthy; }
};

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Attempt {
    AttemptId id;
    Done done;
  };

  Connection(Upstream& pool, std::shared_ptr<Server> server)
      : pool_(pool),
        server_(std::move(server)),
        incarnation_(server_->incarnation),
        socket_(pool.io_),
        timer_(pool.io_) {}

  void Connect(Attempt current_attempt, UpstreamRequest request) {
    attempt_.emplace(std::move(current_attempt));
    request_ = std::move(request);
    ErrorCode error;
    socket_.open(server_->address.protocol(), error);
    if (error) return FailAsync();
    socket_.set_option(Tcp::no_delay(true), error);
    if (pool_.limits_.connect_timeout > 0) {
      timer_.expires_after(std::chrono::microseconds(pool_.limits_.connect_timeout));
      timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
        // The timer may expire in the same turn of the loop in which the attempt is cancelled.
        if (!stopped && self->connecting_ && !self->closed_)
          self->Finish(Result::kUnreachable, {}, /*reuse=*/false);
      });
    }
    connecting_ = true;
    socket_.async_connect(server_->address,
                          [self = shared_from_this()](ErrorCode failed) { self->OnConnected(failed); });
  }

  void Start(Attempt current_attempt, UpstreamRequest request) {
    attempt_.emplace(std::move(current_attempt));
    request_ = std::move(request);
    Write();
  }

  // Closes without a result: for idle connections and cancelled attempts.
  void Close() {
    if (closed_) return;
    Abandon();
    timer_.cancel();
    pool_.RemoveConnection(*this);
  }

  // Closes without notifying the pool, which is being destroyed. Pending handlers find the connection closed.
  void Abandon() {
    closed_ = true;
    attempt_.reset();
    reservation_ = {};
    if (request_.body_pipe != nullptr) request_.body_pipe->SetReader(nullptr);
    if (response_pipe_ != nullptr) {
      pool_.streaming_connections_.erase(shared_from_this());
      std::exchange(response_pipe_, nullptr)->Abort();
    }
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // False if the peer has closed the connection or sent unexpected data. A request written then would be
  // reset, and whether it has run would be unknown.
  bool IsReusable() {
    if (closed_ || !IsCurrent()) return false;
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  bool IsCurrent() const { return server_->IsHealthy() && server_->incarnation == incarnation_; }
  Server& server() { return *server_; }
  Clock::time_point idle_since;

 private:
  void FailAsync() {
    asio::post(pool_.io_, [self = shared_from_this()] {
      if (!self->closed_) self->Finish(Result::kUnreachable, {}, /*reuse=*/false);
    });
  }

  void OnConnected(ErrorCode error) {
    if (closed_) return;
    connecting_ = false;
    timer_.cancel();
    // Checks again that the server has not been drained, removed or restarted while connecting. Nothing has
    // been written, so the request has not run.
    if (error || !IsCurrent()) return Finish(Result::kUnreachable, {}, /*reuse=*/false);
    Read();
    Write();
  }

  void Write() {
    StartResponse();
    writing_ = true;
    request_written_ = false;
    body_consumed_ = false;
    interim_responses_ = 0;
    if (request_.body_pipe != nullptr) return WriteHeader();
    http::async_write(socket_, request_.message,
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // ---- Streamed request ----

  void WriteHeader() {
    if (request_.content_length)
      request_.message.content_length(*request_.content_length);
    else
      request_.message.chunked(true);
    ErrorCode ignored;
    socket_.set_option(Tcp::socket::send_buffer_size(kStreamSendBuffer), ignored);
    request_.body_pipe->SetReader([weak = weak_from_this()] {
      if (const auto self = weak.lock(); self != nullptr && !self->closed_) self->WriteChunk();
    });
    header_serializer_.emplace(request_.message);
    ArmStallTimer();
    http::async_write_header(
        socket_, *header_serializer_,
        [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnChunkWritten(error, 0); });
    write_in_progress_ = true;
  }

  void WriteChunk() {
    if (write_in_progress_ || closed_) return;
    const std::string_view data = request_.body_pipe->data();
    if (data.empty()) {
      timer_.cancel();  // waiting for the client
      if (request_.body_pipe->state() == Pipe::State::kEnded) WriteLastChunk();
      return;  // an abort is handled by the downstream session
    }
    write_in_progress_ = true;
    ArmStallTimer();
    chunk_.assign(data);  // the pipe's buffer may move during the write
    WriteBodyChunk(socket_, chunk_, !request_.content_length,
                   [self = shared_from_this()](ErrorCode error, std::size_t) {
                     self->OnChunkWritten(error, self->chunk_.size());
                   });
  }

  void OnChunkWritten(ErrorCode error, std::size_t size) {
    write_in_progress_ = false;
    if (closed_) return ReleaseRequest();
    if (error) return OnWritten(error);
    request_.body_pipe->Consume(size);
    if (!closed_) WriteChunk();
  }

  void WriteLastChunk() {
    if (request_.content_length) return OnWritten({});
    write_in_progress_ = true;
    ArmStallTimer();
    asio::async_write(socket_, http::make_chunk_last(),
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // Closes the connection if the server makes no progress with a large body, which would otherwise hold
  // memory, descriptors and the client. An attempt without a response yet fails.
  void ArmStallTimer() {
    timer_.expires_after(std::chrono::microseconds(pool_.limits_.stall_timeout));
    timer_.async_wait([weak = weak_from_this()](ErrorCode stopped) {
      const auto self = weak.lock();
      if (stopped || self == nullptr || self->closed_ || self->timer_.expiry() > Clock::now()) return;
      if (self->attempt_)
        self->Finish(Result::kUnreachable, {}, /*reuse=*/false);
      else
        self->Close();
    });
  }

  void ReleaseRequest() {
    header_serializer_.reset();
    request_ = {};
    chunk_ = {};
  }

  void OnWritten(ErrorCode error) {
    writing_ = false;
    write_in_progress_ = false;
    body_consumed_ = request_.body_pipe != nullptr && request_.body_pipe->consumed();
    if (request_.body_pipe != nullptr) {
      request_.body_pipe->SetReader(nullptr);
      timer_.cancel();
    }
    ReleaseRequest();
    if (!error) ++pool_.counters_.attempts_sent;  // even if cancelled: the server has all of it
    if (closed_) return;
    request_written_ = !error;
    // Servers do not start an incomplete request.
    if (error) return Finish(Result::kUnreachable, {}, /*reuse=*/false);
    if (peer_closed_during_write_) Finish(Result::kReset, {}, /*reuse=*/false);
  }

  // Always pending on an open connection, to notice when the peer closes it.
  void Read() {
    socket_.async_read_some(
        buffer_.prepare(kReadSize),
        [self = shared_from_this()](ErrorCode error, std::size_t n) { self->OnRead(error, n); });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (closed_) return;
    if (error) return OnDisconnected(error == asio::error::eof);
    buffer_.commit(n);
    if (!attempt_ && response_pipe_ == nullptr) return Close();  // unexpected data on an idle connection
    // A response before the end of the request can't belong to it. Closing leaves the request incomplete, and
    // servers do not start an incomplete request.
    if (writing_) return Finish(Result::kUnreachable, {}, /*reuse=*/false);
    if (response_pipe_ != nullptr) return ForwardBody();
    // An invalid response: the request may have run.
    if (!Parse()) return Finish(Result::kReset, {}, /*reuse=*/false);
    if (parser_->is_done()) return Complete();
    if (IsLarge()) return StartStreaming();
    Read();
  }

  // ---- Streamed response ----

  bool IsLarge() {
    if (!parser_->is_header_done()) return false;
    const std::size_t body_bytes = parser_->get().body().size();
    const auto length = parser_->content_length();
    return body_bytes > kMaxBufferedBody ||
           (length && *length > kMaxBufferedBody && body_bytes >= kMinBytesBeforeStreaming);
  }

  void StartStreaming() {
    // Large error responses are not forwarded; the request has run.
    if (ResultOf(parser_->get()) != Result::kSuccess) return Finish(Result::kError, {}, /*reuse=*/false);
    const auto self = shared_from_this();
    UpstreamResult upstream_result{
        Result::kSuccess, {}, std::move(reservation_), std::make_shared<Pipe>(kPipeCapacity), {}};
    if (const auto length = parser_->content_length()) upstream_result.content_length = *length;
    response_pipe_ = upstream_result.body_pipe;
    response_pipe_->Write(std::exchange(parser_->get().body(), {}));
    upstream_result.response = TakeMessage(*parser_);
    response_pipe_->SetWriter(
        [weak = weak_from_this()] {
          if (const auto connection = weak.lock(); connection != nullptr && !connection->closed_)
            connection->ReadMore();
        },
        [weak = weak_from_this()] {
          if (const auto connection = weak.lock()) connection->Close();
        });
    Attempt current_attempt = std::move(*attempt_);
    attempt_.reset();
    pool_.attempt_connections_.erase(current_attempt.id);
    pool_.streaming_connections_.insert(self);
    ReadMore();
    current_attempt.done(std::move(upstream_result));
  }

  void ReadMore() {
    if (response_pipe_->full() || read_in_progress_) return;
    read_in_progress_ = true;
    ArmStallTimer();
    Read();
  }

  void ForwardBody() {
    read_in_progress_ = false;
    timer_.cancel();
    if (!Parse()) return Close();
    const auto self = shared_from_this();
    const auto pipe = response_pipe_;
    pipe->Write(std::exchange(parser_->get().body(), {}));
    if (closed_) return;  // the reader stopped reading
    if (!parser_->is_done()) return ReadMore();
    FinishForwarding();
  }

  void FinishForwarding() {
    const auto self = shared_from_this();
    const auto pipe = response_pipe_;
    const bool reuse = request_written_ && parser_->get().keep_alive() && buffer_.size() == 0;
    response_pipe_ = nullptr;
    pool_.streaming_connections_.erase(self);
    parser_.reset();
    if (reuse) {
      Read();
      pool_.ReturnToPool(self);
    } else {
      Close();
    }
    pipe->End();
  }

  void StartResponse() {
    parser_.emplace();
    parser_->eager(false);  // stop after the header, which is validated before the body is read
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxStreamedBody);
  }

  // Returns false if the response is invalid.
  bool Parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const bool had_header = parser_->is_header_done();
      ErrorCode error;
      buffer_.consume(parser_->put(buffer_.data(), error));
      if (error && error != http::error::need_more) return false;
      if (!had_header && parser_->is_header_done() && !ProcessHeader()) return false;
      if (parser_->is_header_done() && response_pipe_ == nullptr &&
          !reservation_.Grow(pool_.budget_, ReservationNeeded(parser_->get().body().size())))
        return false;
      if (error) return true;
    }
    return true;
  }

  // Memory to reserve for a response of which `body_bytes` have been received.
  std::size_t ReservationNeeded(std::size_t body_bytes) const {
    const auto length = parser_->content_length();
    if (body_bytes > kMaxBufferedBody || (length && *length > kMaxBufferedBody)) return kPipeReservation;
    return length ? static_cast<std::size_t>(*length) : ReservationFor(body_bytes);
  }

  // Validates the length here, as eager parsing does not enforce the body limit (Boost 1.74): a response
  // with a Content-Length of 3 GB would be read until memory ran out.
  bool ProcessHeader() {
    if (!IsValidResponse(parser_->get())) return false;
    if (parser_->get().result_int() < 200) {  // 1xx: the final response follows
      if (++interim_responses_ > kMaxInterimResponses) return false;
      StartResponse();
      return true;
    }
    parser_->eager(true);
    return reservation_.Reserve(pool_.budget_, ReservationNeeded(0));
  }

  // The peer closed or reset the connection.
  void OnDisconnected(bool clean) {
    if (parser_ && parser_->is_header_done() && !writing_ && IsDelimitedByClose(parser_->get()) && clean) {
      ErrorCode wrong;
      parser_->put_eof(wrong);
      if (!wrong && parser_->is_done()) return response_pipe_ != nullptr ? FinishForwarding() : Complete();
    }
    if (!attempt_) return Close();  // aborts a streamed response
    if (!writing_) return Finish(Result::kReset, {}, /*reuse=*/false);
    // The pending write's handler decides whether the request was completely written; closing completes it.
    peer_closed_during_write_ = true;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Complete() {
    HttpResponse response = TakeMessage(*parser_);
    const bool reuse = request_written_ && response.keep_alive() && buffer_.size() == 0;
    const Result result = ResultOf(response);
    Finish(result, std::move(response), reuse);
  }

  void Finish(Result result, HttpResponse response, bool reuse) {
    const auto self = shared_from_this();
    Attempt current_attempt = std::move(*attempt_);
    MemoryReservation reservation = std::move(reservation_);
    const bool body_consumed =
        body_consumed_ || (request_.body_pipe != nullptr && request_.body_pipe->consumed());
    attempt_.reset();
    parser_.reset();
    pool_.attempt_connections_.erase(current_attempt.id);
    if (reuse) {
      Read();
      pool_.ReturnToPool(self);
    } else {
      Close();
    }
    current_attempt.done({result, std::move(response), std::move(reservation), nullptr, {}, body_consumed});
  }

  Upstream& pool_;
  const std::shared_ptr<Server> server_;
  const std::uint64_t incarnation_;
  Tcp::socket socket_;
  asio::steady_timer timer_;  // connect timeout, then stall timeout
  beast::flat_buffer buffer_{kMaxUnparsed};
  std::optional<http::response_parser<IncrementalBody>> parser_;
  std::optional<Attempt> attempt_;
  // Kept until the write handler has run, even after the attempt has ended: Beast still accesses the request.
  UpstreamRequest request_;
  std::optional<http::request_serializer<http::string_body>> header_serializer_;  // for a streamed request
  std::string chunk_;                                                             // being written
  std::shared_ptr<Pipe> response_pipe_;  // the streamed response body
  MemoryReservation reservation_;        // for the response
  int interim_responses_ = 0;
  bool connecting_ = false;
  bool writing_ = false;
  bool request_written_ = false;  // completely
  bool peer_closed_during_write_ = false;
  bool closed_ = false;
  bool write_in_progress_ = false;  // of a streamed request
  bool read_in_progress_ = false;   // of a streamed response
  bool body_consumed_ = false;      // the streamed request body can't be sent again
};

Upstream::Upstream(asio::io_context& io, Limits limits, MemoryBudget& budget, stats::Counters& counters)
    : io_(io), limits_(limits), budget_(budget), counters_(counters), sweep_timer_(io) {}

Upstream::~Upstream() {
  for (const auto& [id, connection] : attempt_connections_)
    if (connection != nullptr) connection->Abandon();
  for (const ConnectionPtr& connection : std::exchange(streaming_connections_, {})) connection->Abandon();
  for (const auto& [id, server] : servers_) {
    for (const ConnectionPtr& connection : server->idle) connection->Abandon();
    server->idle.clear();  // breaks the reference cycle
  }
}

void Upstream::UpdateServer(Server& server, const Endpoint& endpoint) {
  const bool same = server.address == endpoint.address && server.info.started == endpoint.info.started;
  server.info = endpoint.info;
  if (endpoint.info.state != ServerInfo::State::kGone) server.address = endpoint.address;
  if (same && server.IsHealthy()) return;
  if (!same) ++server.incarnation;
  for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->Close();
}

void Upstream::UpdateEndpoints(const EndpointList& list) {
  std::unordered_map<std::string, std::shared_ptr<Server>> before;
  if (list.is_full) before.swap(servers_);
  for (const Endpoint& endpoint : list.endpoints) {
    std::shared_ptr<Server>& server = servers_[endpoint.info.id];
    const auto old = before.find(endpoint.info.id);
    if (old != before.end()) server = old->second;
    if (server == nullptr) server = std::make_shared<Server>();
    UpdateServer(*server, endpoint);
    before.erase(endpoint.info.id);
    if (endpoint.info.state == ServerInfo::State::kGone) servers_.erase(endpoint.info.id);
  }
  for (auto& [id, server] : before) {  // removed
    Endpoint gone{server->info, server->address, {}};
    gone.info.state = ServerInfo::State::kGone;
    UpdateServer(*server, gone);
  }
}

Upstream::AttemptId Upstream::Send(const std::string& id, UpstreamRequest request, Done done) {
  const auto found = servers_.find(id);
  const bool body_consumed = request.body_pipe != nullptr && request.body_pipe->consumed();
  if (body_consumed || found == servers_.end() || !found->second->IsHealthy())
    return FailAsync(std::move(done), body_consumed);
  const std::shared_ptr<Server> server = found->second;
  ConnectionPtr connection = TakeIdleConnection(*server);
  const AttemptId attempt = ++last_attempt_;
  if (connection != nullptr) {
    attempt_connections_[attempt] = connection;
    connection->Start({attempt, std::move(done)}, std::move(request));
    return attempt;
  }
  if (open_connections_ >= limits_.max_connections && !CloseOldestIdle())
    return FailAsync(std::move(done), false);
  connection = std::make_shared<Connection>(*this, server);
  ++open_connections_;
  attempt_connections_[attempt] = connection;
  connection->Connect({attempt, std::move(done)}, std::move(request));
  return attempt;
}

// Posted, as the balancer must not receive a result while it is issuing a Send.
Upstream::AttemptId Upstream::FailAsync(Done done, bool body_consumed) {
  const AttemptId attempt = ++last_attempt_;
  attempt_connections_[attempt] = nullptr;
  asio::post(io_, [this, attempt, body_consumed, done = std::move(done)] {
    if (attempt_connections_.erase(attempt) > 0)
      done({Result::kUnreachable, {}, {}, nullptr, {}, body_consumed});
  });
  return attempt;
}

void Upstream::CancelAttempt(AttemptId attempt) {
  const auto it = attempt_connections_.find(attempt);
  if (it == attempt_connections_.end()) return;
  const ConnectionPtr connection = it->second;
  attempt_connections_.erase(it);
  if (connection != nullptr) connection->Close();
}

// Returns the most recently used connection that has been idle for at least the reuse delay. A duplicate
// response or other data after the last response arrives within this delay; later it would be taken for the
// response to the next request.
Upstream::ConnectionPtr Upstream::TakeIdleConnection(Server& server) {
  const auto reusable_before = Clock::now() - std::chrono::microseconds(limits_.reuse_delay);
  auto it = server.idle.end();
  while (it != server.idle.begin()) {
    ConnectionPtr connection = *--it;
    if (connection->idle_since > reusable_before) continue;
    it = server.idle.erase(it);
    if (connection->IsReusable()) return connection;
    connection->Close();
  }
  return nullptr;
}

// Closes the connection that has been idle longest. Returns false if none is idle.
bool Upstream::CloseOldestIdle() {
  Server* oldest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = server.get();
  if (oldest == nullptr) return false;
  const ConnectionPtr connection = oldest->idle.front();
  connection->Close();
  return true;
}

void Upstream::SetMaxConnections(std::size_t connections) {
  limits_.max_connections = connections;
  while (open_connections_ > connections && CloseOldestIdle()) {
  }
}

void Upstream::CloseIdleConnections() {
  while (CloseOldestIdle()) {
  }
}

void Upstream::ReturnToPool(const ConnectionPtr& connection) {
  if (!connection->IsCurrent()) return connection->Close();
  connection->idle_since = Clock::now();
  connection->server().idle.push_back(connection);
  ScheduleSweep();
}

void Upstream::RemoveConnection(const Connection& connection) {
  --open_connections_;
  auto& idle = const_cast<Connection&>(connection).server().idle;
  const auto same = [&](const ConnectionPtr& other) { return other.get() == &connection; };
  idle.erase(std::remove_if(idle.begin(), idle.end(), same), idle.end());
}

void Upstream::ScheduleSweep() {
  if (limits_.idle_timeout <= 0 || std::exchange(sweeping_, true)) return;
  sweep_timer_.expires_after(std::chrono::microseconds(limits_.idle_timeout / kSweepsPerTimeout));
  sweep_timer_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    CloseExpiredConnections();
  });
}

void Upstream::CloseExpiredConnections() {
  const auto now = Clock::now();
  bool any = false;
  for (auto& [id, server] : servers_) {
    const std::vector<ConnectionPtr> idle = server->idle;  // a copy, as Close removes them from the original
    for (const ConnectionPtr& connection : idle)
      if (now - connection->idle_since >= std::chrono::microseconds(limits_.idle_timeout))
        connection->Close();
    any = any || !server->idle.empty();
  }
  if (any) ScheduleSweep();
}

}  // namespace merlinrun::net
