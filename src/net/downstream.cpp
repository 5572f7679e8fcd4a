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
constexpr double kMicrosASecond = 1e6;

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// What is still read of a client whose connection is being closed: closing it with input unread would reset
// it, and the answer might be lost with that. One that sends more has had its time.
constexpr std::size_t kMostLingering = std::size_t{256} * 1024;
// What a client sends of a large body whose answer it has already is read so far, so that it gets to see
// that.
constexpr std::size_t kMostUploadLingering = kMaxStreamedBody + kMostLingering;
// Connections over the limit that are held at once to be told so.
constexpr std::size_t kMostTurnedAway = 8;

struct Incoming {
  Incoming() {
    parser.eager(false);  // the header alone: it is checked before the body begins
    parser.header_limit(kMaxHeader);
    parser.body_limit(kMaxStreamedBody);
  }

  http::request_parser<IncrementalBody> parser;
  bool begun = false;
  std::size_t come = 0;        // bytes of its body
  Clock::time_point head_at;   // when its head was whole
  Clock::time_point piece_at;  // when something of it came last
};

}  // namespace

class Inbound::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Inbound& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), since_(Clock::now()) {
    parser_.emplace();
  }

  void Start() { Read(); }

  // One connection too many.
  void TurnAway() {
    Reject({http::status::service_unavailable, "too many connections\n"});
    Read();
  }

  // Between requests, with nothing of the next one waiting to be read: closing it loses nothing.
  bool Idle() const {
    ErrorCode error;
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->begun &&
           socket_.available(error) == 0;
  }
  bool Silent() const { return fresh_ && Idle(); }
  bool Lingering() const { return state_ == State::kLingering; }
  bool For(Clock::time_point now, Micros time) const {
    return now - since_ >= std::chrono::microseconds(time);
  }

  void Respond(HttpResponse response, MemoryReservation charge) {
    if (state_ != State::kBusy) return;
    Become(State::kWriting);
    EndUpload();
    response.keep_alive(keep_alive_ && !owner_.draining_ && !cut_);
    response.prepare_payload();
    response_ = std::move(response);
    answer_charge_ = std::move(charge);
    http::async_write(socket_, response_,
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  void Stream(HttpResponse head, std::shared_ptr<Pipe> body, std::optional<std::uint64_t> length,
              MemoryReservation charge) {
    if (state_ != State::kBusy) return body->Leave();
    Become(State::kWriting);
    EndUpload();
    chunked_ = !length && version_ >= 11;
    // HTTP/1.0 knows no chunks: the end of the connection is the end of the body.
    head.keep_alive(keep_alive_ && !owner_.draining_ && !cut_ && (length || chunked_));
    if (length)
      head.content_length(*length);
    else if (chunked_)
      head.chunked(true);
    response_ = std::move(head);
    answer_charge_ = std::move(charge);
    answer_ = std::move(body);
    answer_->SetReader([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->WritePiece();
    });
    ErrorCode ignored;
    socket_.set_option(Tcp::socket::send_buffer_size(kStreamSendBuffer), ignored);
    serializer_.emplace(response_);
    piece_out_ = true;
    http::async_write_header(
        socket_, *serializer_,
        [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnPieceWritten(error, 0); });
  }

  void Reject(const RequestError& fault) {
    if (state_ != State::kBusy && state_ != State::kReading) return;
    // Turned away before it was taken, and yet its client sees a request of this class end.
    if (state_ == State::kReading && request_class_ >= 0)
      active_request_ = {owner_.counters_, request_class_};
    state_ = State::kBusy;
    keep_alive_ = false;
    HttpResponse response = TextResponse(fault.status, fault.text);
    // What has no room now may have in a moment.
    if (fault.status == http::status::service_unavailable) response.set(http::field::retry_after, "0.2");
    Respond(std::move(response), {});
  }

  // Ends what has had its time. Guards against connections that say nothing, half a request or do not read:
  // they would hold their places until none is left for the others.
  void Expire(Clock::time_point now) {
    const Limits& limits = owner_.limits_;
    switch (state_) {
      case State::kReading:
        if (parser_->begun) {
          if (TooSlow(now)) Reject({http::status::request_timeout, "the request took too long\n"});
        } else if (For(now, fresh_ ? limits.head : limits.idle) && Idle()) {
          Close();
        }
        return;
      case State::kWriting:
        // Of a stream each piece has its time, and while none has come the wait is for the server.
        if (For(now, answer_ == nullptr ? limits.answer : limits.stall) && (answer_ == nullptr || piece_out_))
          Close();
        return;
      case State::kLingering:
        if (For(now, cut_ ? limits.stall : limits.linger)) Close();
        return;
      case State::kBusy:  // it is the sidecar's turn, unless the body comes still
        if (upload_ != nullptr && !upload_->full() && TooSlow(now))
          EndCutUpload({http::status::request_timeout, "the request took too long\n"});
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

  // Closes without a word to the owner, which is going: what is still to be called back finds it closed.
  void Abandon() {
    state_ = State::kClosed;
    charge_ = {};
    answer_charge_ = {};
    active_request_.Drop();
    EndUpload();
    if (answer_ != nullptr) std::exchange(answer_, nullptr)->Leave();
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator place;

 private:
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  void Become(State state) {
    state_ = state;
    since_ = Clock::now();
  }

  static Clock::duration Of(Micros time) { return std::chrono::microseconds(time); }

  // Guards against clients that hold a place with what they never finish. Those that are merely slow bring a
  // body at a stated rate; a bad one is told off within 3 s of connecting.
  bool TooSlow(Clock::time_point now) const {
    const Limits& limits = owner_.limits_;
    if (!parser_->parser.is_header_done()) return For(now, limits.head);
    const auto due = parser_->head_at + Of(limits.body_grace) + Of(TimeFor(parser_->come));
    return now >= due || now - parser_->piece_at >= Of(limits.body_pause);
  }

  // Whatever still comes of a large body is of no interest: it has its answer, or is whole.
  void EndUpload() {
    if (upload_ == nullptr) return;
    cut_ = upload_->state() == Pipe::State::kOpen;
    upload_->Break();
    upload_ = nullptr;
  }

  // What has come so far is no request, and its servers hear no more of it.
  void EndCutUpload(const RequestError& fault) {
    EndUpload();
    if (!request_.empty()) owner_.events_.on_gone(request_);
    Reject(fault);
  }

  // ---- A large answer ----

  void WritePiece() {
    if (piece_out_ || state_ != State::kWriting || answer_ == nullptr) return;
    const std::string_view data = answer_->data();
    since_ = Clock::now();
    if (data.empty()) {
      if (answer_->state() == Pipe::State::kBroken) return BreakOff();
      if (answer_->state() == Pipe::State::kEnded) WriteEnd();
      return;
    }
    piece_out_ = true;
    piece_.assign(data);  // the pipe may move its own while this is out
    WritePieceTo(socket_, piece_, chunked_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      self->OnPieceWritten(error, self->piece_.size());
    });
  }

  void OnPieceWritten(ErrorCode error, std::size_t size) {
    piece_out_ = false;
    if (state_ == State::kClosed) return;
    if (error) return Close();
    const auto answer = answer_;
    answer->Consume(size);
    WritePiece();
  }

  void WriteEnd() {
    answer_ = nullptr;
    piece_ = {};
    serializer_.reset();
    if (!chunked_) return OnWritten({});
    asio::async_write(socket_, http::make_chunk_last(),
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // The client can tell: no last chunk, a length not met, or a reset.
  void BreakOff() {
    active_request_.Finish(stats::RequestResult::kError);
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  // Waits for input while a request is held too, so that a client that leaves is noticed; not once what it
  // has sent behind that request waits here, as more would only be kept.
  void Read() {
    const bool takes = state_ == State::kReading || state_ == State::kLingering || upload_ != nullptr;
    if (waiting_ || (!takes && buffer_.size() > 0)) return;
    // Guards against keeping what a slow server does not take, and what comes of a body that has its answer.
    if (cut_ ? state_ != State::kLingering : upload_ != nullptr && upload_->full()) return;
    waiting_ = true;
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      self->waiting_ = false;
      self->OnReadable(error);
    });
  }

  void OnReadable(ErrorCode error) {
    if (state_ == State::kClosed) return;
    std::size_t n = 0;
    if (!error) n = socket_.read_some(asio::buffer(owner_.input_), error);
    if (error == asio::error::would_block || error == asio::error::try_again) return Read();
    if (error) return OnGone();
    Take(n);
    if (state_ != State::kClosed) Read();
  }

  void OnGone() {
    const auto self = shared_from_this();
    const bool busy = state_ == State::kBusy;
    Close();
    if (busy && !request_.empty()) owner_.events_.on_gone(request_);
  }

  void Take(std::size_t n) {
    if (state_ == State::kLingering) {
      if ((lingered_ += n) > (cut_ ? kMostUploadLingering : kMostLingering)) Close();
      return;
    }
    if (buffer_.size() + n > buffer_.max_size())
      return Close();  // cannot be: the parser took less than it may
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(owner_.input_, n)));
    if (state_ == State::kReading)
      Parse();
    else if (upload_ != nullptr)
      TakeUpload();
  }

  // More of a large body.
  void TakeUpload() {
    const auto upload = upload_;
    const auto fault = Consume();
    if (fault) return EndCutUpload(*fault);
    std::string piece = std::exchange(parser_->parser.get().body(), {});
    const bool whole = parser_->parser.is_done();
    if (whole) upload_ = nullptr;
    upload->Write(piece);
    if (!whole) return;
    upload->End();
    if (state_ == State::kBusy) owner_.events_.on_whole(request_);
  }

  // Parses what has come; what is wrong with it, if anything.
  std::optional<RequestError> Consume() {
    auto& parser = parser_->parser;
    const auto now = Clock::now();
    while (buffer_.size() > 0 && !parser.is_done()) {
      // On a kept connection the time runs from a request's first byte, on a new one it has begun already.
      if (!std::exchange(parser_->begun, true) && !fresh_) since_ = now;
      const bool had_header = parser.is_header_done();
      const std::size_t had = parser.get().body().size();
      ErrorCode error;
      buffer_.consume(parser.put(buffer_.data(), error));
      if (error && error != http::error::need_more) return FaultOf(error);
      if (!had_header && parser.is_header_done()) {
        parser_->head_at = now;
        if (const auto fault = TakeHeader()) return fault;
      }
      const std::size_t held = parser.get().body().size();
      parser_->come += held - had;
      // One of unknown length, as the others were counted at their heads.
      if (parser.chunked() && !charge_.Grow(owner_.budget_, 2 * ReservationFor(held))) return NoMemory();
      if (error) break;
    }
    parser_->piece_at = now;
    if (buffer_.size() == 0) buffer_ = beast::flat_buffer(kMaxUnparsed);  // an idle connection holds none
    return std::nullopt;
  }

  void Parse() {
    if (const auto fault = Consume()) return Reject(*fault);
    auto& parser = parser_->parser;
    if (parser.is_done()) return Dispatch({TakeMessage(parser), nullptr, {}, 0});
    if (parser.is_header_done() && parser.get().body().size() >= kMaxBufferedBody) DispatchLarge();
  }

  // A body that is more than is held whole goes on while it comes.
  void DispatchLarge() {
    auto& parser = parser_->parser;
    Request request;
    request.rest = std::make_shared<Pipe>(kPipeCapacity);
    if (const auto length = parser.content_length()) request.length = *length;
    request.upload = owner_.limits_.body_grace + owner_.limits_.body_pause +
                     TimeFor(request.length.value_or(kMaxStreamedBody));
    request.rest->Write(std::exchange(parser.get().body(), {}));
    request.head = HttpRequest(parser.get().base());  // a copy: the parser has use for its own
    upload_ = request.rest;
    upload_->SetWriter(
        [weak = weak_from_this()] {
          if (const auto self = weak.lock(); self != nullptr && self->state_ != State::kClosed) {
            self->parser_->piece_at = Clock::now();  // it was not the client that held it up
            self->parser_->head_at = std::max(
                self->parser_->head_at, self->parser_->piece_at - Of(self->TimeFor(self->parser_->come)));
            self->Read();
          }
        },
        nullptr);
    Dispatch(std::move(request));
  }

  // How long a body that keeps to the rate takes for so many bytes.
  Micros TimeFor(std::uint64_t bytes) const {
    return static_cast<Micros>(static_cast<double>(bytes) / owner_.limits_.body_rate * kMicrosASecond);
  }

  static RequestError FaultOf(ErrorCode error) {
    if (error == http::error::body_limit) return {http::status::payload_too_large, "too large\n"};
    if (error == http::error::header_limit)
      return {http::status::request_header_fields_too_large, "header too large\n"};
    return {http::status::bad_request, "malformed request\n"};
  }

  static RequestError NoMemory() {
    return {http::status::service_unavailable, "out of memory for requests\n"};
  }

  // What is wrong shows in the header: guards against reading, keeping or passing on what follows it.
  std::optional<RequestError> TakeHeader() {
    auto& parser = parser_->parser;
    ConvertToOriginForm(parser.get());
    if (parser.get().target() != kReadyPath) request_class_ = owner_.events_.class_of(parser.get());
    if (const auto fault = ValidateRequest(parser.get())) return fault;
    // Twice: the request is copied when it is sent on.
    const std::size_t size = std::min<std::size_t>(
        kMaxBufferedBody, parser.chunked() ? kInitialReservation : parser.content_length().value_or(0));
    if (!charge_.Reserve(owner_.budget_, 2 * size)) return NoMemory();
    parser.eager(true);
    if (parser.get().count(http::field::expect) > 0 && !parser.is_done()) Continue();
    return std::nullopt;
  }

  // RFC 9110, 10.1.1. Nothing else is being written, so a few bytes go out at once; if they do not, the
  // client sends its body after a while all the same.
  void Continue() {
    ErrorCode ignored;
    socket_.write_some(asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
  }

  void Dispatch(Request from) {
    const HttpRequest& request = from.head;
    Become(State::kBusy);
    keep_alive_ = request.keep_alive();
    version_ = request.version();
    if (request.target() == kReadyPath) {
      request_.clear();
      const bool ready = owner_.events_.ready();
      return Respond(TextResponse(ready ? http::status::ok : http::status::service_unavailable,
                                  ready ? "ready\n" : "not yet\n"),
                     {});
    }
    request_ = std::string(ToStringView(request[kIdHeader]));
    active_request_ = {owner_.counters_, request_class_};
    try {
      owner_.events_.on_request(shared_from_this(), std::move(from), request_class_);
    } catch (const std::exception&) {
      Reject({http::status::internal_server_error, "failed\n"});  // an answer is owed whatever went wrong
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
    answer_charge_ = {};
    charge_ = {};
    fresh_ = false;
    if (close) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
    Become(State::kReading);
    parser_.emplace();
    Parse();
    if (state_ != State::kClosed) Read();
  }

  void LingerAndClose() {
    Become(State::kLingering);
    parser_.reset();
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_ = beast::flat_buffer(kMaxUnparsed);
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_{kMaxUnparsed};
  std::optional<Incoming> parser_;
  HttpResponse response_;
  std::shared_ptr<Pipe> upload_;  // the body that comes still and goes on already
  bool cut_ = false;              // it was answered before its body had come
  std::shared_ptr<Pipe> answer_;  // the body that is passed on while it comes
  std::optional<http::response_serializer<http::string_body>> serializer_;  // of its head
  std::string piece_;                                                       // of it, that is being written
  bool piece_out_ = false;
  bool chunked_ = false;
  unsigned version_ = 11;
  std::string request_;                       // the id of the one that is held
  int request_class_ = -1;                    // of the one that is read or held; -1 = none
  stats::ActiveRequestGuard active_request_;  // the one that is held
  MemoryReservation charge_;                  // of the request
  MemoryReservation answer_charge_;
  State state_ = State::kReading;
  Clock::time_point since_;  // the beginning of what the state's time limit counts from
  std::size_t lingered_ = 0;
  bool fresh_ = true;  // nothing has been answered yet
  bool waiting_ = false;
  bool keep_alive_ = true;
};

namespace {

Tcp::acceptor Listen(asio::io_context& io, const Inbound::Listening& listening) {
  Tcp::acceptor acceptor(io);
  if (listening.inherited >= 0) {
    acceptor.assign(Tcp::v4(), listening.inherited);
    return acceptor;
  }
  acceptor.open(listening.address.protocol());
  acceptor.set_option(Tcp::acceptor::reuse_address(true));
  if (listening.shared)
    acceptor.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
  acceptor.bind(listening.address);
  acceptor.listen();
  return acceptor;
}

}  // namespace

Inbound::Inbound(asio::io_context& io, const Listening& listening, Limits limits, MemoryBudget& budget,
                 stats::Counters& counters, Events events)
    : io_(io),
      limits_(limits),
      budget_(budget),
      counters_(counters),
      events_(std::move(events)),
      acceptor_(Listen(io, listening)),
      address_(acceptor_.local_endpoint()),
      pause_(io),
      sweep_(io),
      paused_(listening.inherited >= 0) {
  Accept();
}

Inbound::~Inbound() {
  for (const SessionPtr& session : sessions_) session->Abandon();
}

void Inbound::Respond(const SessionPtr& session, HttpResponse response, MemoryReservation charge) {
  session->Respond(std::move(response), std::move(charge));
}

void Inbound::Stream(const SessionPtr& session, HttpResponse head, std::shared_ptr<Pipe> body,
                     std::optional<std::uint64_t> length, MemoryReservation charge) {
  session->Stream(std::move(head), std::move(body), length, std::move(charge));
}

void Inbound::Reject(const SessionPtr& session, const RequestError& fault) { session->Reject(fault); }

void Inbound::Accept() {
  if (!acceptor_.is_open() || paused_) return;
  acceptor_.async_accept(
      [this](ErrorCode error, Tcp::socket socket) { OnAccepted(error, std::move(socket)); });
}

void Inbound::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // Also if the listener has closed since: the client may have sent its request already.
    Add(std::move(socket));
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  MakeRoom();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](ErrorCode stopped) {
    if (!stopped) Accept();
  });
}

// Accepting never stops for want of room. Guards against usual clients that wait in the backlog behind others
// for an answer that nobody is there to give.
void Inbound::Add(Tcp::socket socket) {
  const bool room =
      sessions_.size() < limits_.sessions || (MakeRoom() && sessions_.size() < limits_.sessions);
  if (sessions_.size() >= limits_.sessions + kMostTurnedAway) return;  // closes it
  ErrorCode error;
  socket.set_option(Tcp::no_delay(true), error);
  socket.non_blocking(true, error);
  if (error) return;
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  room ? session->Start() : session->TurnAway();
  SweepLater();
}

// Closes the connection that is missed least: one that has been answered for good, one that has said nothing
// yet, one that has long been idle, one that is idle. False if all are at work.
bool Inbound::MakeRoom() {
  const auto now = Clock::now();
  const std::function<bool(const Session&)> choices[] = {
      [](const Session& s) { return s.Lingering(); }, [](const Session& s) { return s.Silent(); },
      [&](const Session& s) { return s.For(now, limits_.idle_least) && s.Idle(); },
      [](const Session& s) { return s.Idle(); }};
  for (const auto& choice : choices)
    for (const SessionPtr& session : sessions_)
      if (choice(*session)) {
        const SessionPtr kept = session;
        kept->Close();
        return true;
      }
  return false;
}

void Inbound::Remove(const Session& session) { sessions_.erase(session.place); }

// One timer for all: a timer for each connection would cost more than the looking.
void Inbound::SweepLater() {
  if (std::exchange(sweeping_, true)) return;
  sweep_.expires_after(std::chrono::microseconds(limits_.sweep));
  sweep_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    Sweep();
  });
}

void Inbound::Sweep() {
  const auto now = Clock::now();
  for (auto it = sessions_.begin(); it != sessions_.end();) {
    const SessionPtr session = *it++;  // it may take itself out of the list
    session->Expire(now);
  }
  if (!sessions_.empty()) SweepLater();
}

void Inbound::StopAccepting() {
  // What has connected may have sent its request: closing the listener on it would reset it unanswered.
  ErrorCode error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    Tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) Add(std::move(socket));
  }
  pause_.cancel();
  acceptor_.close(error);
}

void Inbound::PauseAccepting() {
  paused_ = true;
  ErrorCode ignored;
  acceptor_.cancel(ignored);
  pause_.cancel();
}

void Inbound::ResumeAccepting() {
  if (std::exchange(paused_, false)) Accept();
}

void Inbound::SetMost(std::size_t sessions) {
  limits_.sessions = sessions;
  while (sessions_.size() > sessions && MakeRoom()) {
  }
}

void Inbound::CloseIdle(Micros rested) {
  const auto now = Clock::now();
  for (const SessionPtr& session : std::vector<SessionPtr>(sessions_.begin(), sessions_.end()))
    if (session->For(now, rested) && session->Idle()) session->Close();
}

}  // namespace merlinrun::net
