#include "inbound.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>
#include <vector>

namespace merlinrun::net {
namespace {

using Clock = std::chrono::steady_clock;

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// What is still read of a client whose connection is being closed: closing it with input unread would reset
// it, and the answer might be lost with that. One that sends more has had its time.
constexpr std::size_t kMostLingering = std::size_t{256} * 1024;
// Connections over the limit that are held at once to be told so.
constexpr std::size_t kMostTurnedAway = 8;

struct Incoming {
  Incoming() {
    parser.eager(false);  // the header alone: it is checked before the body begins
    parser.header_limit(kMostHeader);
    parser.body_limit(kMostBody);
  }

  http::request_parser<http::string_body> parser;
  bool begun = false;
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

  void Respond(HttpResponse response, Charge charge) {
    if (state_ != State::kBusy) return;
    Become(State::kWriting);
    response.keep_alive(keep_alive_ && !owner_.draining_);
    response.prepare_payload();
    response_ = std::move(response);
    answer_charge_ = std::move(charge);
    http::async_write(socket_, response_,
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  void Reject(const Fault& fault) {
    if (state_ != State::kBusy && state_ != State::kReading) return;
    // Turned away before it was taken, and yet its client sees a request of this class end.
    if (state_ == State::kReading && request_class_ >= 0) taken_ = {owner_.counters_, request_class_};
    state_ = State::kBusy;
    keep_alive_ = false;
    HttpResponse response = Plain(fault.status, fault.text);
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
          if (For(now, limits.request))
            Reject({http::status::request_timeout, "the request took too long\n"});
        } else if (For(now, fresh_ ? limits.request : limits.idle) && Idle()) {
          Close();
        }
        return;
      case State::kWriting:
        if (For(now, limits.answer)) Close();
        return;
      case State::kLingering:
        if (For(now, limits.linger)) Close();
        return;
      case State::kBusy:  // it is the sidecar's turn
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
    taken_.Drop();
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

  // Waits for input while a request is held too, so that a client that leaves is noticed; not once what it
  // has sent behind that request waits here, as more would only be kept.
  void Read() {
    if (waiting_ || (state_ != State::kReading && state_ != State::kLingering && buffer_.size() > 0)) return;
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
      if ((lingered_ += n) > kMostLingering) Close();
      return;
    }
    if (buffer_.size() + n > buffer_.max_size())
      return Close();  // cannot be: the parser took less than it may
    buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(owner_.input_, n)));
    if (state_ == State::kReading) Parse();
  }

  void Parse() {
    auto& parser = parser_->parser;
    while (buffer_.size() > 0 && !parser.is_done()) {
      // On a kept connection the time runs from a request's first byte, on a new one it has begun already.
      if (!std::exchange(parser_->begun, true) && !fresh_) since_ = Clock::now();
      const bool had_header = parser.is_header_done();
      ErrorCode error;
      buffer_.consume(parser.put(buffer_.data(), error));
      if (error && error != http::error::need_more) return Reject(FaultOf(error));
      if (!had_header && parser.is_header_done() && !TakeHeader()) return;
      if (error) break;
    }
    if (buffer_.size() == 0) buffer_ = beast::flat_buffer(kMostUnparsed);  // an idle connection holds none
    if (parser.is_done()) Dispatch(parser.release());
  }

  static Fault FaultOf(ErrorCode error) {
    if (error == http::error::body_limit) return {http::status::payload_too_large, "too large\n"};
    if (error == http::error::header_limit)
      return {http::status::request_header_fields_too_large, "header too large\n"};
    return {http::status::bad_request, "malformed request\n"};
  }

  // What is wrong shows in the header: guards against reading, keeping or passing on what follows it.
  bool TakeHeader() {
    auto& parser = parser_->parser;
    if (parser.get().target() != kReadyPath) request_class_ = owner_.events_.class_of(parser.get());
    if (const auto fault = CheckRequest(parser.get())) return Reject(*fault), false;
    // Twice: the request is copied when it is sent on.
    const std::size_t size =
        parser.chunked() ? kMostBody : static_cast<std::size_t>(parser.content_length().value_or(0));
    if (!charge_.Take(owner_.budget_, 2 * size))
      return Reject({http::status::service_unavailable, "out of memory for requests\n"}), false;
    parser.eager(true);
    return true;
  }

  void Dispatch(HttpRequest request) {
    Become(State::kBusy);
    keep_alive_ = request.keep_alive();
    if (request.target() == kReadyPath) {
      request_.clear();
      const bool ready = owner_.events_.ready();
      return Respond(Plain(ready ? http::status::ok : http::status::service_unavailable,
                           ready ? "ready\n" : "not yet\n"),
                     {});
    }
    request_ = std::string(View(request[kIdHeader]));
    taken_ = {owner_.counters_, request_class_};
    try {
      owner_.events_.on_request(shared_from_this(), std::move(request), request_class_);
    } catch (const std::exception&) {
      Reject({http::status::internal_server_error, "failed\n"});  // an answer is owed whatever went wrong
      throw;
    }
  }

  void OnWritten(ErrorCode error) {
    if (state_ == State::kClosed) return;
    if (error) return Close();
    taken_.End(stats::EndingOf(response_.result_int()));
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
    buffer_ = beast::flat_buffer(kMostUnparsed);
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_{kMostUnparsed};
  std::optional<Incoming> parser_;
  HttpResponse response_;
  std::string request_;     // the id of the one that is held
  int request_class_ = -1;  // of the one that is read or held; -1 = none
  stats::Taken taken_;      // the one that is held
  Charge charge_;           // of the request
  Charge answer_charge_;
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

Inbound::Inbound(asio::io_context& io, const Listening& listening, Limits limits, Budget& budget,
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

void Inbound::Respond(const SessionPtr& session, HttpResponse response, Charge charge) {
  session->Respond(std::move(response), std::move(charge));
}

void Inbound::Reject(const SessionPtr& session, const Fault& fault) { session->Reject(fault); }

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
