#include "inbound.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace merlinrun::net {
namespace {

// How long accepting rests when descriptors have run out: guards against a loop that spins on EMFILE.
constexpr auto kAcceptPause = std::chrono::milliseconds(50);
// How long a connection that is closed with an answer still reads: closing it with input unread would reset
// it, and the answer might be lost with that.
constexpr auto kLinger = std::chrono::seconds(1);

HttpResponse Plain(http::status status, std::string text) {
  HttpResponse response(status, 11);
  response.set(http::field::content_type, "text/plain");
  response.body() = std::move(text);
  return response;
}

struct Incoming {
  Incoming() {
    parser.eager(true);
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
      : owner_(owner), socket_(std::move(socket)), linger_(owner.io_) {}

  void Start() {
    NextRequest();
    Read();
  }

  // Between requests, with nothing of the next one waiting to be read: closing it loses nothing.
  bool Idle() const {
    ErrorCode error;
    return state_ == State::kReading && buffer_.size() == 0 && !parser_->begun &&
           socket_.available(error) == 0;
  }

  void Respond(HttpResponse response) {
    if (state_ != State::kBusy) return;
    state_ = State::kWriting;
    response.keep_alive(keep_alive_ && !owner_.draining_);
    response.prepare_payload();
    response_ = std::move(response);
    http::async_write(socket_, response_,
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  void Close() {
    if (state_ == State::kClosed) return;
    Abandon();
    linger_.cancel();
    owner_.Remove(*this);
  }

  // Closes without a word to the owner, which is going: what is still to be called back finds it closed.
  void Abandon() {
    state_ = State::kClosed;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  std::list<SessionPtr>::iterator place;

 private:
  enum class State { kReading, kBusy, kWriting, kLingering, kClosed };

  void NextRequest() {
    state_ = State::kReading;
    parser_.emplace();
  }

  // Stays posted while a request is held, so that a client that leaves is noticed. Stops only when a client
  // that does not wait for its answers has filled the buffer.
  void Read() {
    if (reading_ || buffer_.size() + kReadSize > buffer_.max_size()) return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(input_),
                            [self = shared_from_this()](ErrorCode error, std::size_t n) {
                              self->reading_ = false;
                              self->OnRead(error, n);
                            });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (state_ == State::kClosed) return;
    if (error) {
      const auto self = shared_from_this();
      const bool busy = state_ == State::kBusy;
      Close();
      if (busy) owner_.events_.on_gone(self);
      return;
    }
    if (state_ != State::kLingering)
      buffer_.commit(asio::buffer_copy(buffer_.prepare(n), asio::buffer(input_, n)));
    if (state_ == State::kReading) Parse();
    if (state_ != State::kClosed) Read();
  }

  void Parse() {
    while (buffer_.size() > 0 && !parser_->parser.is_done()) {
      ErrorCode error;
      parser_->begun = true;
      const std::size_t used = parser_->parser.put(buffer_.data(), error);
      buffer_.consume(used);
      if (error == http::error::need_more) return;
      if (error) return Reject(error);
    }
    if (parser_->parser.is_done()) Dispatch(parser_->parser.release());
  }

  void Reject(ErrorCode error) {
    state_ = State::kBusy;
    keep_alive_ = false;
    if (error == http::error::body_limit)
      return Respond(Plain(http::status::payload_too_large, "too large\n"));
    if (error == http::error::header_limit)
      return Respond(Plain(http::status::request_header_fields_too_large, "header too large\n"));
    Respond(Plain(http::status::bad_request, "malformed request\n"));
  }

  void Dispatch(HttpRequest request) {
    state_ = State::kBusy;
    keep_alive_ = request.keep_alive();
    if (request.target() == kReadyPath) {
      const bool ready = !owner_.draining_ && owner_.events_.ready();
      return Respond(Plain(ready ? http::status::ok : http::status::service_unavailable,
                           ready ? "ready\n" : "not yet\n"));
    }
    owner_.events_.on_request(shared_from_this(), std::move(request));
  }

  void OnWritten(ErrorCode error) {
    if (state_ == State::kClosed) return;
    if (error) return Close();
    if (!response_.keep_alive()) return LingerAndClose();
    owner_.sessions_.splice(owner_.sessions_.end(), owner_.sessions_, place);
    NextRequest();
    Parse();
    if (state_ != State::kClosed) Read();
  }

  void LingerAndClose() {
    state_ = State::kLingering;
    ErrorCode error;
    socket_.shutdown(Tcp::socket::shutdown_send, error);
    if (error) return Close();
    buffer_.consume(buffer_.size());
    linger_.expires_after(kLinger);
    linger_.async_wait([self = shared_from_this()](ErrorCode stopped) {
      if (!stopped) self->Close();
    });
    Read();
  }

  Inbound& owner_;
  Tcp::socket socket_;
  asio::steady_timer linger_;
  std::array<char, kReadSize> input_{};  // of its own: the buffer may move what it holds while a read is out
  beast::flat_buffer buffer_{2 * kMostUnparsed};
  std::optional<Incoming> parser_;
  HttpResponse response_;
  State state_ = State::kReading;
  bool reading_ = false;
  bool keep_alive_ = true;
};

Inbound::Inbound(asio::io_context& io, const Tcp::endpoint& address, std::size_t most_sessions, Events events)
    : io_(io),
      most_sessions_(most_sessions),
      events_(std::move(events)),
      acceptor_(io, address, /*reuse_addr=*/true),
      address_(acceptor_.local_endpoint()),
      pause_(io) {
  Accept();
}

Inbound::~Inbound() {
  for (const SessionPtr& session : sessions_) session->Abandon();
}

void Inbound::Respond(const SessionPtr& session, HttpResponse response) {
  session->Respond(std::move(response));
}

void Inbound::Accept() {
  if (accepting_ || !acceptor_.is_open()) return;
  if (sessions_.size() >= most_sessions_ && !CloseOneIdle()) return;  // the next that ends goes on
  accepting_ = true;
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    accepting_ = false;
    OnAccepted(error, std::move(socket));
  });
}

void Inbound::OnAccepted(ErrorCode error, Tcp::socket socket) {
  if (!error) {
    // Also if the listener has closed since: the client may have sent its request already.
    Add(std::move(socket));
    return Accept();
  }
  if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
  if (error == asio::error::connection_aborted) return Accept();
  CloseOneIdle();
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](ErrorCode stopped) {
    if (!stopped) Accept();
  });
}

void Inbound::Add(Tcp::socket socket) {
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->place = sessions_.insert(sessions_.end(), session);
  session->Start();
}

bool Inbound::CloseOneIdle() {
  for (const SessionPtr& session : sessions_)
    if (session->Idle()) {
      const SessionPtr kept = session;
      kept->Close();
      return true;
    }
  return false;
}

void Inbound::Remove(const Session& session) {
  const bool was_full = sessions_.size() >= most_sessions_;
  sessions_.erase(session.place);
  if (was_full) Accept();
}

void Inbound::Drain() { draining_ = true; }

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

void Inbound::CloseIdle() {
  for (const SessionPtr& session : std::vector<SessionPtr>(sessions_.begin(), sessions_.end()))
    if (session->Idle()) session->Close();
}

}  // namespace merlinrun::net
