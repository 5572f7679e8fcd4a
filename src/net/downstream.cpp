#include "downstream.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

#include "body_chunk.hpp"

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;
constexpr double kMicrosPerSecond = 1e6;

// Delay before accepting again after an error such as EMFILE; avoids a busy loop.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(50);
// Bytes still read from a connection that is being closed. Closing it with unread input would reset it, and
// the client could lose the response.
constexpr std::size_t kMaxLingerBytes = std::size_t{256} * 1024;
// The same for a client that has its response but is still uploading a large body.
constexpr std::size_t kMaxUploadLingerBytes = kMaxStreamedBody + kMaxLingerBytes;
// Connections above the limit that are kept open at once to send them a rejection.
constexpr std::size_t kMaxRejectedConnections = 8;

struct IncomingMessage {
  IncomingMessage() {
    parser.eager(false);  // stop after the header, which is validated before the body is read
    parser.header_limit(kMaxHeader);
    parser.body_limit(kMaxStreamedBody);
  }

  http::request_parser<IncrementalBody> parser;
  bool started = false;
  std::size_t body_bytes = 0;
  Clock::time_point header_complete_at;
  Clock::time_point last_data_at;
};

}  // namespace

class Downstream::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Downstream& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), state_start_(Clock::now()) {
    parser_.emplace();
  }

  void Start() { Read(); }

  // For a connection above the limit.
  void RejectOverLimit() {
    Reject({http::status::service_unavailable, "too many connections\n"});
    Read();
  }

  // Between requests, with no part of the next request received: closing loses nothing.
  bool IsIdle() const {
    ErrorCode error;
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->started &&
           socket_.available(error) == 0;
  }
  bool HasSentNothing() const { return no_response_yet_ && IsIdle(); }
  bool IsLingering() const { return state_ == State::kLingering; }
  bool ElapsedInState(Clock::time_point now, Micros time) const {
    return now - state_start_ >= std::chrono::microseconds(time);
  }

  void Respond(HttpResponse response, MemoryReservation reservation) {
    if (state_ != State::kBusy) return;
    SetState(State::kWriting);
    DetachUpload();
    response.keep_alive(keep_alive_ && !owner_.draining_ && !answered_early_);
    response.prepare_payload();
    response_ = std::move(response);
    response_reservation_ = std::move(reservation);
    http::async_write(socket_, response_,
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  void Stream(HttpResponse head, std::shared_ptr<Pipe> body, std::optional<std::uint64_t> length,
              MemoryReservation reservation) {
    if (state_ != State::kBusy) return body->StopReading();
    SetState(State::kWriting);
    DetachUpload();
    chunked_ = !length && version_ >= 11;
    // HTTP/1.0 has no chunked encoding: the body ends with the connection.
    head.keep_alive(keep_alive_ && !owner_.draining_ && !answered_early_ && (length || chunked_));
    if (length)
      head.content_length(*length);
    else if (chunked_)
      head.chunked(true);
    response_ = std::move(head);
    response_reservation_ = std::move(reservation);
    response_pipe_ = std::move(body);
    response_pipe_->SetReader([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->WriteChunk();
    });
    ErrorCode ignored;
    socket_.set_option(Tcp::socket::send_buffer_size(kStreamSendBuffer), ignored);
    serializer_.emplace(response_);
    write_in_progress_ = true;
    http::async_write_header(
        socket_, *serializer_,
        [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnChunkWritten(error, 0); });
  }

  void Reject(const RequestError& error_response) {
    if (state_ != State::kBusy && state_ != State::kReading) return;
    // Rejected while being read; still counted as an ended request of its class.
    if (state_ == State::kReading && request_class_ >= 0)
      active_request_ = {owner_.counters_, request_class_};
    state_ = State::kBusy;
    keep_alive_ = false;
    HttpResponse response = TextResponse(error_response.status, error_response.text);
    if (error_response.status == http::status::service_unavailable)
      response.set(http::field::retry_after, "0.2");
    Respond(std::move(response), {});
  }

  // Enforces the timeouts, so that silent or slow clients can't occupy all sessions.
  void CloseIfExpired(Clock::time_point now) {
    const Limits& limits = owner_.limits_;
    switch (state_) {
      case State::kReading:
        if (parser_->started) {
          if (IsTooSlow(now)) Reject({http::status::request_timeout, "the request took too long\n"});
        } else if (ElapsedInState(now, no_response_yet_ ? limits.header_timeout : limits.idle_timeout) &&
                   IsIdle()) {
          Close();
        }
        return;
      case State::kWriting:
        // The timeout of a streamed response applies to each chunk, and not while waiting for the server.
        if (ElapsedInState(now, response_pipe_ == nullptr ? limits.response_timeout : limits.stall_timeout) &&
            (response_pipe_ == nullptr || write_in_progress_))
          Close();
        return;
      case State::kLingering:
        if (ElapsedInState(now, answered_early_ ? limits.stall_timeout : limits.linger_timeout)) Close();
        return;
      case State::kBusy:  // nothing is expected from the client, unless its body is still being received
        if (upload_pipe_ != nullptr && !upload_pipe_->full() && IsTooSlow(now))
          AbortUpload({http::status::request_timeout, "the request took too long\n"});
        return;
      case State::kClosed:
        return;
    }
  }

  void Close() {
    if (state_ == State::kClosed) return;
    Abandon();
    owner_.Remove(*this);
  }

  // Closes without notifying the owner, which is being destroyed. Pending handlers find the session closed.
  void Abandon() {
    state_ = State::kClosed;
    request_reservation_ = {};
    response_reservation_ = {};
    active_request_.Drop();
    DetachUpload();
    if (response_pipe_ != nullptr) std::exchange(response_pipe_, nullptr)->StopReading();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator position;

 private:
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  void SetState(State state) {
    state_ = state;
    state_start_ = Clock::now();
  }

  static Clock::duration ToDuration(Micros time) { return std::chrono::microseconds(time); }

  // True if the header takes too long, or the body pauses too long or falls below the minimum rate. Such a
  // client would occupy a session with a request that it never finishes.
  bool IsTooSlow(Clock::time_point now) const {
    const Limits& limits = owner_.limits_;
    if (!parser_->parser.is_header_done()) return ElapsedInState(now, limits.header_timeout);
    const auto due = parser_->header_complete_at + ToDuration(limits.body_grace) +
                     ToDuration(TransferTime(parser_->body_bytes));
    return now >= due || now - parser_->last_data_at >= ToDuration(limits.body_idle_timeout);
  }

  // Stops forwarding the rest of a streamed body: the request has been answered or the session is closed.
  void DetachUpload() {
    if (upload_pipe_ == nullptr) return;
    answered_early_ = upload_pipe_->state() == Pipe::State::kOpen;
    upload_pipe_->Abort();
    upload_pipe_ = nullptr;
  }

  // Fails a request whose body was invalid or too slow; the attempts in flight are cancelled.
  void AbortUpload(const RequestError& error_response) {
    DetachUpload();
    if (!request_id_.empty()) owner_.events_.on_client_gone(request_id_);
    Reject(error_response);
  }

  // ---- Streamed response ----

  void WriteChunk() {
    if (write_in_progress_ || state_ != State::kWriting || response_pipe_ == nullptr) return;
    const std::string_view data = response_pipe_->data();
    state_start_ = Clock::now();
    if (data.empty()) {
      if (response_pipe_->state() == Pipe::State::kAborted) return AbortResponse();
      if (response_pipe_->state() == Pipe::State::kEnded) WriteLastChunk();
      return;
    }
    write_in_progress_ = true;
    chunk_.assign(data);  // the pipe's buffer may move during the write
    WriteBodyChunk(socket_, chunk_, chunked_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      self->OnChunkWritten(error, self->chunk_.size());
    });
  }

  void OnChunkWritten(ErrorCode error, std::size_t size) {
    write_in_progress_ = false;
    if (state_ == State::kClosed) return;
    if (error) return Close();
    const auto pipe = response_pipe_;
    pipe->Consume(size);
    WriteChunk();
  }

  void WriteLastChunk() {
    response_pipe_ = nullptr;
    chunk_ = {};
    serializer_.reset();
    if (!chunked_) return OnWritten({});
    asio::async_write(socket_, http::make_chunk_last(),
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // Resets the connection, so that the client can't take the truncated body for a complete one.
  void AbortResponse() {
    active_request_.Finish(stats::RequestResult::kError);
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  // Also waits for input while a request is in progress, to notice a disconnect, but not if there is buffered
  // input that can't be processed yet.
  void Read() {
    const bool expects_input =
        state_ == State::kReading || state_ == State::kLingering || upload_pipe_ != nullptr;
    if (wait_pending_ || (!expects_input && buffer_.size() > 0)) return;
    // Backpressure for uploads to slow servers; after an early response the rest is only read while
    // lingering.
    if (answered_early_ ? state_ != State::kLingering : upload_pipe_ != nullptr && upload_pipe_->full())
      return;
    wait_pending_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->wait_pending_ = false;
      self->OnReadable(error);
    });
  }

  void OnReadable(ErrorCode error) {
    if (state_ == State::kClosed) return;
    std::size_t n = 0;
    if (!error) n = socket_.read_some(asio::buffer(owner_.input_), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return Read();
    if (error) return OnDisconnected();
    ProcessInput(n);
    if (state_ != State::kClosed) Read();
  }

  void OnDisconnected() {
    const auto self = shared_from_this();
    const bool busy = state_ == State::kBusy;
    Close();
    if (busy && !request_id_.empty()) owner_.events_.on_client_gone(request_id_);
  }

  void ProcessInput(std::size_t n) {
    if (state_ == State::kLingering) {
      if ((lingered_bytes_ += n) > (answered_early_ ? kMaxUploadLingerBytes : kMaxLingerBytes)) Close();
      return;
    }
    if (buffer_.size() + n > buffer_.max_size())
      return Close();  // unreachable unless the parser consumed less than it should
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(owner_.input_, n)));
    if (state_ == State::kReading)
      ProcessRequest();
    else if (upload_pipe_ != nullptr)
      ProcessUpload();
  }

  // Forwards the next part of a streamed body.
  void ProcessUpload() {
    const auto upload = upload_pipe_;
    const auto error_response = ParseInput();
    if (error_response) return AbortUpload(*error_response);
    std::string body_data = std::exchange(parser_->parser.get().body(), {});
    const bool complete = parser_->parser.is_done();
    if (complete) upload_pipe_ = nullptr;
    upload->Write(body_data);
    if (!complete) return;
    upload->End();
    if (state_ == State::kBusy) owner_.events_.on_request_complete(request_id_);
  }

  // Parses the buffered input. Returns the error response if the input is invalid.
  std::optional<RequestError> ParseInput() {
    auto& parser = parser_->parser;
    const auto now = Clock::now();
    while (buffer_.size() > 0 && !parser.is_done()) {
      // On a reused connection the header timeout starts with the first byte.
      if (!std::exchange(parser_->started, true) && !no_response_yet_) state_start_ = now;
      const bool had_header = parser.is_header_done();
      const std::size_t had = parser.get().body().size();
      ErrorCode error;
      buffer_.consume(parser.put(buffer_.data(), error));
      if (error && error != http::error::need_more) return ErrorFor(error);
      if (!had_header && parser.is_header_done()) {
        parser_->header_complete_at = now;
        if (const auto error_response = ProcessHeader()) return error_response;
      }
      const std::size_t held = parser.get().body().size();
      parser_->body_bytes += held - had;
      // For other bodies the memory was reserved with the header.
      if (parser.chunked() && !request_reservation_.Grow(owner_.budget_, 2 * ReservationFor(held)))
        return OutOfMemory();
      if (error) break;
    }
    parser_->last_data_at = now;
    if (buffer_.size() == 0) buffer_ = beast::flat_buffer(kMaxUnparsed);  // frees the memory
    return std::nullopt;
  }

  void ProcessRequest() {
    if (const auto error_response = ParseInput()) return Reject(*error_response);
    auto& parser = parser_->parser;
    if (parser.is_done()) return Dispatch({TakeMessage(parser), nullptr, {}, 0});
    if (parser.is_header_done() && parser.get().body().size() >= kMaxBufferedBody) DispatchStreaming();
  }

  // Dispatches a request with a large body, which is streamed to the server.
  void DispatchStreaming() {
    auto& parser = parser_->parser;
    Request request;
    request.body_pipe = std::make_shared<Pipe>(kPipeCapacity);
    if (const auto length = parser.content_length()) request.content_length = *length;
    request.upload_time = owner_.limits_.body_grace + owner_.limits_.body_idle_timeout +
                          TransferTime(request.content_length.value_or(kMaxStreamedBody));
    request.body_pipe->Write(std::exchange(parser.get().body(), {}));
    request.message = HttpRequest(parser.get().base());  // a copy, as the parser continues to use its own
    upload_pipe_ = request.body_pipe;
    upload_pipe_->SetWriter(
        [weak = weak_from_this()] {
          if (const auto self = weak.lock(); self != nullptr && self->state_ != State::kClosed) {
            self->parser_->last_data_at = Clock::now();  // the delay was not the client's
            self->parser_->header_complete_at = std::max(
                self->parser_->header_complete_at,
                self->parser_->last_data_at - ToDuration(self->TransferTime(self->parser_->body_bytes)));
            self->Read();
          }
        },
        nullptr);
    Dispatch(std::move(request));
  }

  // Time for `bytes` of a body at the minimum rate.
  Micros TransferTime(std::uint64_t bytes) const {
    return static_cast<Micros>(static_cast<double>(bytes) / owner_.limits_.min_body_rate * kMicrosPerSecond);
  }

  static RequestError ErrorFor(ErrorCode error) {
    if (error == http::error::body_limit) return {http::status::payload_too_large, "too large\n"};
    if (error == http::error::header_limit)
      return {http::status::request_header_fields_too_large, "header too large\n"};
    return {http::status::bad_request, "malformed request\n"};
  }

  static RequestError OutOfMemory() {
    return {http::status::service_unavailable, "out of memory for requests\n"};
  }

  // Validates the header before any of the body is read, and reserves memory for the body.
  std::optional<RequestError> ProcessHeader() {
    auto& parser = parser_->parser;
    ConvertToOriginForm(parser.get());
    if (parser.get().target() != kReadyPath) request_class_ = owner_.events_.class_of(parser.get());
    if (const auto error_response = ValidateRequest(parser.get())) return error_response;
    // Twice the size, as the request is copied for the server.
    const std::size_t size = std::min<std::size_t>(
        kMaxBufferedBody, parser.chunked() ? kInitialReservation : parser.content_length().value_or(0));
    if (!request_reservation_.Reserve(owner_.budget_, 2 * size)) return OutOfMemory();
    parser.eager(true);
    if (parser.get().count(http::field::expect) > 0 && !parser.is_done()) SendContinue();
    return std::nullopt;
  }

  // RFC 9110, 10.1.1. Written synchronously, as no other write is pending. Best effort: without it clients
  // send their body after a timeout.
  void SendContinue() {
    ErrorCode ignored;
    socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
  }

  void Dispatch(Request received) {
    const HttpRequest& request = received.message;
    SetState(State::kBusy);
    keep_alive_ = request.keep_alive();
    version_ = request.version();
    if (request.target() == kReadyPath) {
      request_id_.clear();
      const bool ready = owner_.events_.ready();
      return Respond(TextResponse(ready ? http::status::ok : http::status::service_unavailable,
                                  ready ? "ready\n" : "not yet\n"),
                     {});
    }
    request_id_ = std::string(ToStringView(request[kIdHeader]));
    active_request_ = {owner_.counters_, request_class_};
    try {
      owner_.events_.on_request(shared_from_this(), std::move(received), request_class_);
    } catch (const std::exception&) {
      Reject({http::status::internal_server_error, "failed\n"});  // the client still needs a response
      throw;
    }
  }

  void OnWritten(ErrorCode error) {
    if (state_ == State::kClosed) return;
    if (error) return Close();
    active_request_.Finish(stats::ResultForStatus(response_.result_int()));
    request_class_ = -1;
    const bool close = !response_.keep_alive();
    response_ = {};
    response_reservation_ = {};
    request_reservation_ = {};
    no_response_yet_ = false;
    if (close) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, position);
    SetState(State::kReading);
    parser_.emplace();
    ProcessRequest();
    if (state_ != State::kClosed) Read();
  }

  void LingerAndClose() {
    SetState(State::kLingering);
    parser_.reset();
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_ = beast::flat_buffer(kMaxUnparsed);
    Read();
  }

  Downstream& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_{kMaxUnparsed};
  std::optional<IncomingMessage> parser_;
  HttpResponse response_;
  std::shared_ptr<Pipe> upload_pipe_;    // the streamed request body, until it is complete
  bool answered_early_ = false;          // the response came before the end of the request body
  std::shared_ptr<Pipe> response_pipe_;  // the streamed response body
  std::optional<http::response_serializer<http::string_body>>
      serializer_;     // for the header of a streamed response
  std::string chunk_;  // being written
  bool write_in_progress_ = false;
  bool chunked_ = false;
  unsigned version_ = 11;
  std::string request_id_;
  int request_class_ = -1;  // -1 = none
  stats::ActiveRequestGuard active_request_;
  MemoryReservation request_reservation_;
  MemoryReservation response_reservation_;
  State state_ = State::kReading;
  Clock::time_point state_start_;  // the state's timeout counts from here
  std::size_t lingered_bytes_ = 0;
  bool no_response_yet_ = true;  // on this connection
  bool wait_pending_ = false;
  bool keep_alive_ = true;
};

namespace {

Tcp::acceptor Listen(asio::io_context& io, const Downstream::ListenOptions& options) {
  Tcp::acceptor acceptor(io);
  if (options.inherited_fd >= 0) {
    acceptor.assign(Tcp::v4(), options.inherited_fd);
    return acceptor;
  }
  acceptor.open(options.address.protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  if (options.reuse_port)
    acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor.bind(options.address);
  acceptor.listen();
  return acceptor;
}

}  // namespace

Downstream::Downstream(asio::io_context& io, const ListenOptions& options, Limits limits,
                       MemoryBudget& budget, stats::Counters& counters, Events events)
    : io_(io),
      limits_(limits),
      budget_(budget),
      counters_(counters),
      events_(std::move(events)),
      acceptor_(Listen(io, options)),
      address_(acceptor_.local_endpoint()),
      accept_retry_timer_(io),
      sweep_timer_(io),
      accepting_paused_(options.inherited_fd >= 0) {
  Accept();
}

Downstream::~Downstream() {
  for (const SessionPtr& session : sessions_) session->Abandon();
}

void Downstream::Respond(const SessionPtr& session, HttpResponse response, MemoryReservation reservation) {
  session->Respond(std::move(response), std::move(reservation));
}

void Downstream::Stream(const SessionPtr& session, HttpResponse head, std::shared_ptr<Pipe> body,
                        std::optional<std::uint64_t> length, MemoryReservation reservation) {
  session->Stream(std::move(head), std::move(body), length, std::move(reservation));
}

void Downstream::Reject(const SessionPtr& session, const RequestError& error_response) {
  session->Reject(error_response);
}

void Downstream::Accept() {
  if (!acceptor_.is_open() || accepting_paused_) return;
  acceptor_.async_accept(
      [this](ErrorCode error, Tcp::socket socket) { OnAccepted(error, std::move(socket)); });
}

void Downstream::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // Also after the listener was closed: the client may already have sent its request.
    Add(std::move(socket));
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  CloseOneConnection();
  accept_retry_timer_.expires_after(kAcceptRetryDelay);
  accept_retry_timer_.async_wait([this](ErrorCode stopped) {
    if (!stopped) Accept();
  });
}

// Accepts connections above the limit too and rejects them, so that clients do not wait in the backlog.
void Downstream::Add(Tcp::socket socket) {
  const bool room = sessions_.size() < limits_.max_sessions ||
                    (CloseOneConnection() && sessions_.size() < limits_.max_sessions);
  if (sessions_.size() >= limits_.max_sessions + kMaxRejectedConnections) return;  // closes it
  ErrorCode error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->position = sessions_.insert(sessions_.end(), session);
  room ? session->Start() : session->RejectOverLimit();
  ScheduleSweep();
}

// Closes one session to make room, in this order of preference: lingering, no request received yet, idle for
// long, idle. Returns false if all sessions are busy.
bool Downstream::CloseOneConnection() {
  const auto now = Clock::now();
  const std::function<bool(const Session&)> choices[] = {
      [](const Session& s) { return s.IsLingering(); }, [](const Session& s) { return s.HasSentNothing(); },
      [&](const Session& s) { return s.ElapsedInState(now, limits_.min_idle_time) && s.IsIdle(); },
      [](const Session& s) { return s.IsIdle(); }};
  for (const auto& choice : choices)
    for (const SessionPtr& session : sessions_)
      if (choice(*session)) {
        const SessionPtr session_to_close = session;
        session_to_close->Close();
        return true;
      }
  return false;
}

void Downstream::Remove(const Session& session) { sessions_.erase(session.position); }

// One timer for all sessions is cheaper than a timer for each.
void Downstream::ScheduleSweep() {
  if (std::exchange(sweeping_, true)) return;
  sweep_timer_.expires_after(std::chrono::microseconds(limits_.sweep_interval));
  sweep_timer_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    CloseExpiredSessions();
  });
}

void Downstream::CloseExpiredSessions() {
  const auto now = Clock::now();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const SessionPtr session = *it++;  // may remove itself from the list
    session->CloseIfExpired(now);
  }
  if (!sessions_.empty()) ScheduleSweep();
}

void Downstream::StopAccepting() {
  // Accept the backlog first: closing the listener would reset connections whose request may be on its way.
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  accept_retry_timer_.cancel();
  acceptor_.close(error);
}

void Downstream::PauseAccepting() {
  accepting_paused_ = true;
  ErrorCode ignored;
  acceptor_.cancel(ignored);
  accept_retry_timer_.cancel();
}

void Downstream::ResumeAccepting() {
  if (std::exchange(accepting_paused_, false)) Accept();
}

void Downstream::SetMaxSessions(std::size_t sessions) {
  limits_.max_sessions = sessions;
  while (sessions_.size() > sessions && CloseOneConnection()) {
  }
}

void Downstream::CloseIdle(Micros min_idle) {
  const auto now = Clock::now();
  for (const SessionPtr& session : std::vector<SessionPtr>(sessions_.begin(), sessions_.end()))
    if (session->ElapsedInState(now, min_idle) && session->IsIdle()) session->Close();
}

}  // namespace merlinrun::net
