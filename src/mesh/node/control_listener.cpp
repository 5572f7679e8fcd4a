#include "mesh/node/control_listener.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <exception>
#include <list>
#include <optional>
#include <sstream>
#include <utility>

#include "net/listen.hpp"

namespace fennelhollow::node {

namespace asio = merlinrun::net::asio;
namespace beast = merlinrun::net::beast;
namespace http = merlinrun::net::http;
using control::ErrorResponse;
using control::ParseCommand;
using control::UnavailableResponse;
using merlinrun::net::ErrorCode;
using merlinrun::net::HttpResponse;
using merlinrun::net::IncrementalBody;
using merlinrun::net::Tcp;

namespace {

constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";
// Delay before accepting again after an error, such as running out of file descriptors.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

unsigned StatusFor(ErrorCode error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

// True for malformed requests, false for network errors.
bool IsMalformedRequest(ErrorCode error) {
  return error.category() == make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

class ControlListener::Impl : public std::enable_shared_from_this<ControlListener::Impl>,
                              private memory::BufferAccount::Holder {
 public:
  using ConnectionPtr = std::shared_ptr<Connection>;
  using Pool = memory::BufferAccount::Pool;

  Impl(asio::io_context& io, const Tcp::endpoint& address, Limits limits, memory::BufferAccount& account,
       Handler handler, ExpectedBytes expected_bytes);
  void Accept();
  void AcceptLater(std::chrono::microseconds delay);
  // Adds the connection, or keeps it until there is a place, or closes it.
  void Admit(Tcp::socket socket);
  void Add(Tcp::socket socket, bool read_at_once);
  // Closes the connection that gives way to a new one. False if there is none.
  bool MakeRoom();
  ConnectionPtr FindHighestRanked(Pool pool, const memory::BufferCharge* except) const;
  // memory::BufferAccount::Holder
  std::optional<memory::Duration> HighestRank(Pool pool, const memory::BufferCharge* except) const override;
  void EndHighestRanked(Pool pool, const memory::BufferCharge* except) override;
  void Stop(std::function<void()> done);
  void Close();
  void Remove(const Connection& connection);
  // Keeps the list ordered by start of idleness: its first idle connection has been idle longest.
  void MoveToBack(const Connection& connection);
  void FinishStopIfEmpty();

  asio::io_context& io_;
  const Limits limits_;
  memory::BufferAccount& account_;
  Handler handler_;
  const ExpectedBytes expected_bytes_;
  Tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  std::optional<Tcp::socket> newcomer_;  // waits for a place
  std::list<ConnectionPtr> connections_;
  std::size_t total_body_bytes_ = 0;  // of requests being read
  Counters counters_;
  bool stopping_ = false;
  std::function<void()> on_stopped_;
};

class ControlListener::Connection : public std::enable_shared_from_this<ControlListener::Connection> {
 public:
  Connection(std::shared_ptr<Impl> owner, Tcp::socket socket)
      : owner_(std::move(owner)), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    buffer_.max_size(owner_->limits_.max_header_bytes + merlinrun::net::kReadSize);
  }
  ~Connection() { AccountBody(0); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  memory::BufferCharge charge;

  bool idle() const { return stage_ == Stage::kIdle; }
  memory::PeerActivity Activity(memory::Clock::time_point now) const {
    using Kind = memory::PeerActivity::Kind;
    switch (stage_) {
      case Stage::kIdle:
        return {Kind::kIdle, wait_.Waited(now), wait_.Overdue(now), was_served_};
      case Stage::kReading:
        return {Kind::kSendsRequest, wait_.Waited(now), wait_.Overdue(now)};
      case Stage::kWriting:
        return {Kind::kReadsResponse, wait_.Waited(now), wait_.Overdue(now)};
      case Stage::kServing:
        break;
    }
    return {};
  }
  bool HasUnreadInput() const {
    ErrorCode ignored;
    return socket_.available(ignored) > 0;
  }
  // In favor of another connection.
  void Evict() {
    ++owner_->counters_.evicted;
    ErrorCode ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    Close();
  }

  // `read_at_once`: a call that has arrived already is not preceded by a wait.
  void AwaitCall(bool read_at_once = false) {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(owner_->limits_.max_header_bytes));
    parser_->body_limit(owner_->limits_.max_body_bytes);
    parser_->eager(true);
    continue_sent_ = false;
    if (buffer_.size() > 0 || (read_at_once && HasUnreadInput())) {  // pipelined request
      BeginCall();
      ReadSome();
      return;
    }
    if (owner_->stopping_) return Close();
    EnterStage(Stage::kIdle, 0);
    buffer_.shrink_to_fit();
    UpdateCharge();
    owner_->MoveToBack(*this);
    StartTimer(owner_->limits_.idle_timeout_ms);
    // The call timeout starts with the first byte; until then no data is buffered for the connection.
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (error || !self->socket_.is_open()) return self->Close();
      self->BeginCall();
      self->ReadSome();
    });
  }

  void Close() {
    timer_.cancel();
    ++generation_;
    if (!socket_.is_open()) return;
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    AccountBody(0);
    charge.Release();
    owner_->Remove(*this);
  }

 private:
  enum class Stage { kIdle, kReading, kServing, kWriting };

  void BeginCall() {
    EnterStage(Stage::kReading, memory::kMinRequestBytesPerS);
    StartTimer(owner_->limits_.call_timeout_ms);
  }

  void EnterStage(Stage stage, double min_bytes_per_s) {
    stage_ = stage;
    wait_.Begin(memory::Clock::now(), min_bytes_per_s);
  }

  std::size_t BufferedBytes() const {
    std::size_t bytes = buffer_.capacity() + call_bytes_ + response_head_.size() + response_body_.capacity();
    if (parser_ && parser_->is_header_done()) bytes += parser_->get().body().capacity();
    return bytes;
  }
  bool UpdateCharge() { return owner_->account_.ChargeOrReclaim(charge, BufferedBytes()); }

  void StartTimer(int milliseconds) {
    timer_.expires_after(std::chrono::milliseconds(milliseconds));
    timer_.async_wait([self = shared_from_this(), timer = ++timer_generation_](ErrorCode error) {
      if (error || timer != self->timer_generation_) return;
      if (!self->idle()) ++self->owner_->counters_.timed_out;
      self->Close();
    });
  }

  void AccountBody(std::size_t bytes) {
    owner_->total_body_bytes_ = owner_->total_body_bytes_ - accounted_bytes_ + bytes;
    accounted_bytes_ = bytes;
  }

  void ReadSome() {
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                            self->wait_.OnBytes(memory::Clock::now(), bytes);
                            self->OnRead(error);
                          });
  }

  void OnRead(ErrorCode error) {
    if (!socket_.is_open()) return;
    if (error == http::error::need_more) error = {};
    if (error == http::error::buffer_overflow) error = http::error::header_limit;
    if (error) {
      if (!IsMalformedRequest(error)) return Close();
      ++owner_->counters_.malformed;
      return Write(ErrorResponse(StatusFor(error), error.message()), false);
    }
    if (parser_->is_header_done()) {
      AccountBody(parser_->get().body().size());
      const std::uint64_t announced_bytes = parser_->content_length().value_or(0);
      if (owner_->total_body_bytes_ - accounted_bytes_ +
              std::max<std::uint64_t>(accounted_bytes_, announced_bytes) >
          owner_->limits_.max_total_body_bytes) {
        ++owner_->counters_.rejected;
        return Write(UnavailableResponse("too many calls at once"), false);
      }
    }
    if (!UpdateCharge()) return RejectForMemory();
    if (parser_->is_done()) return Dispatch();
    if (parser_->is_header_done() && !continue_sent_ && parser_->get().version() >= 11 &&
        beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      continue_sent_ = true;
      asio::async_write(socket_, asio::buffer(kContinueResponse),
                        [self = shared_from_this()](ErrorCode failed, std::size_t) {
                          if (failed || !self->socket_.is_open()) return self->Close();
                          self->ReadSome();
                        });
      return;
    }
    ReadSome();
  }

  void RejectForMemory() {
    ++owner_->counters_.rejected;
    Write(UnavailableResponse("no memory for the call"), false);
  }

  void Dispatch() {
    auto& request = parser_->get();
    // Responses carry a body even to HEAD, which a client would read as the start of the next response.
    const bool keep_alive = request.keep_alive() && request.method() != http::verb::head;
    const std::string method(request.method_string());
    const std::string target(request.target());
    call_bytes_ = request.body().capacity();
    Command command = ParseCommand(method, target, std::move(request.body()));
    parser_.reset();
    EnterStage(Stage::kServing, 0);
    if (owner_->expected_bytes_) call_bytes_ += owner_->expected_bytes_(command);
    if (!UpdateCharge()) return RejectForMemory();
    if (std::holds_alternative<control::ReadEvents>(command)) {
      if (owner_->limits_.max_event_wait_ms > 0)
        StartTimer(owner_->limits_.max_event_wait_ms + owner_->limits_.call_timeout_ms);
      else
        command = control::Unknown{};
    }
    ++owner_->counters_.calls;
    owner_->handler_(std::move(command), [self = weak_from_this(), generation = ++generation_,
                                          keep_alive](Response response) {
      const auto locked = self.lock();
      if (!locked || locked->generation_ != generation || !locked->socket_.is_open()) return;
      ++locked->generation_;  // ignores further replies
      // Posted, as the handler may still be running.
      asio::post(locked->owner_->io_, [locked, keep_alive, response = std::move(response)]() mutable {
        if (locked->socket_.is_open()) locked->Write(std::move(response), keep_alive);
      });
    });
  }

  void Write(Response response, bool keep_alive) {
    keep_alive = keep_alive && !owner_->stopping_;
    AccountBody(0);
    parser_.reset();
    call_bytes_ = 0;
    HttpResponse head(static_cast<http::status>(response.status), 11);
    head.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : response.headers) head.set(name, value);
    head.keep_alive(keep_alive);
    head.content_length(response.body.size());
    std::ostringstream text;
    text << head.base();
    response_head_ = std::move(text).str();
    response_body_ = std::move(response.body);
    response_written_ = 0;
    keep_alive_ = keep_alive;
    EnterStage(Stage::kWriting, memory::kMinResponseBytesPerS);
    if (!UpdateCharge()) return Evict();
    WriteSome();
  }

  void WriteSome() {
    const std::size_t head_bytes = std::min(response_written_, response_head_.size());
    const std::array<asio::const_buffer, 2> rest{
        asio::buffer(response_head_) + head_bytes,
        asio::buffer(response_body_) + (response_written_ - head_bytes)};
    socket_.async_write_some(rest, [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
      self->OnWritten(error, bytes);
    });
  }

  void OnWritten(ErrorCode error, std::size_t bytes) {
    if (!socket_.is_open()) return;
    response_written_ += bytes;
    wait_.OnBytes(memory::Clock::now(), bytes);
    const bool complete = response_written_ == response_head_.size() + response_body_.size();
    if (!error && !complete) return WriteSome();
    std::string().swap(response_head_);
    std::string().swap(response_body_);
    was_served_ = true;
    UpdateCharge();
    if (error || !keep_alive_) return LingeringClose(error);
    AwaitCall();
  }

  // Lingering close: closing with unread input would reset the connection and could destroy the response, so
  // input is discarded for up to a second first.
  void LingeringClose(ErrorCode error) {
    if (error) return Close();
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    discard_budget_bytes_ = owner_->limits_.max_body_bytes;
    StartTimer(1000);
    EnterStage(Stage::kIdle, 0);  // may be closed in favor of a new connection
    DiscardInput();
  }

  void DiscardInput() {
    discard_buffer_.resize(merlinrun::net::kReadSize);
    socket_.async_read_some(asio::buffer(discard_buffer_),
                            [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                              if (error || !self->socket_.is_open() || bytes > self->discard_budget_bytes_)
                                return self->Close();
                              self->discard_budget_bytes_ -= bytes;
                              self->DiscardInput();
                            });
  }

  const std::shared_ptr<Impl> owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  std::uint64_t generation_ = 0;  // advances at each call and each response; stale replies are ignored
  beast::flat_buffer buffer_;
  std::optional<http::parser<true, IncrementalBody>> parser_;
  std::string response_head_, response_body_;
  std::size_t response_written_ = 0;  // of both
  bool keep_alive_ = false;
  std::size_t accounted_bytes_ = 0;
  std::size_t call_bytes_ = 0;  // of the call that is handled, and of the response that is expected
  std::size_t discard_budget_bytes_ = 0;
  std::string discard_buffer_;
  bool continue_sent_ = false;
  Stage stage_ = Stage::kIdle;
  bool was_served_ = false;
  memory::PeerWait wait_;  // for the rest of the call, or for the caller to read the response
};

ControlListener::Impl::Impl(asio::io_context& io, const Tcp::endpoint& address, Limits limits,
                            memory::BufferAccount& account, Handler handler, ExpectedBytes expected_bytes)
    : io_(io),
      limits_(limits),
      account_(account),
      handler_(std::move(handler)),
      expected_bytes_(std::move(expected_bytes)),
      acceptor_(merlinrun::net::Listen(io, address, limits.receive_bytes)),
      accept_retry_timer_(io) {
  account_.AddHolder(*this);
}

void ControlListener::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
    if (!self->acceptor_.is_open()) return;
    if (error) return self->AcceptLater(kAcceptRetryDelay);
    self->Admit(std::move(socket));
  });
}

void ControlListener::Impl::AcceptLater(std::chrono::microseconds delay) {
  accept_retry_timer_.expires_after(delay);
  accept_retry_timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
    if (stopped || !self->acceptor_.is_open()) return;
    if (!self->newcomer_) return self->Accept();
    Tcp::socket socket = std::move(*self->newcomer_);
    self->newcomer_.reset();
    self->Admit(std::move(socket));
  });
}

void ControlListener::Impl::Admit(Tcp::socket socket) {
  const bool crowded = connections_.size() >= limits_.max_connections;
  if (!crowded || MakeRoom()) {
    Accept();  // before the connection is added, which may throw
    return Add(std::move(socket), crowded);
  }
  const auto now = memory::Clock::now();
  const bool some_may_soon =
      std::any_of(connections_.begin(), connections_.end(), [now](const ConnectionPtr& connection) {
        return memory::MayGiveWaySoon(connection->Activity(now), connection->HasUnreadInput());
      });
  if (some_may_soon) {
    newcomer_.emplace(std::move(socket));
    return AcceptLater(memory::kRequestTime);
  }
  ++counters_.rejected;
  Accept();  // the socket is closed by its destructor
}

bool ControlListener::Impl::MakeRoom() {
  const auto now = memory::Clock::now();
  const ConnectionPtr giving_way =
      memory::FindHighestRanked(connections_, [now](const ConnectionPtr& connection) {
        const std::optional<memory::Duration> rank = memory::RankForPlace(connection->Activity(now));
        return rank && !connection->HasUnreadInput() ? rank : std::nullopt;
      });
  if (giving_way == nullptr) return false;
  ++counters_.rejected;
  if (giving_way->idle())
    giving_way->Close();
  else
    giving_way->Evict();
  return true;
}

void ControlListener::Impl::Add(Tcp::socket socket, bool read_at_once) {
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  connections_.push_back(std::make_shared<Connection>(shared_from_this(), std::move(socket)));
  const ConnectionPtr added = connections_.back();
  added->AwaitCall(read_at_once);
}

ControlListener::Impl::ConnectionPtr ControlListener::Impl::FindHighestRanked(
    Pool pool, const memory::BufferCharge* except) const {
  const auto now = memory::Clock::now();
  return memory::FindHighestRanked(connections_,
                                   [&](const ConnectionPtr& connection) -> std::optional<memory::Duration> {
                                     const memory::BufferCharge& charge = connection->charge;
                                     if (&charge == except || charge.bytes() == 0 || charge.pool() != pool)
                                       return std::nullopt;
                                     return memory::RankForMemory(connection->Activity(now));
                                   });
}

std::optional<memory::Duration> ControlListener::Impl::HighestRank(Pool pool,
                                                                   const memory::BufferCharge* except) const {
  const ConnectionPtr connection = FindHighestRanked(pool, except);
  if (connection == nullptr) return std::nullopt;
  return memory::RankForMemory(connection->Activity(memory::Clock::now()));
}

void ControlListener::Impl::EndHighestRanked(Pool pool, const memory::BufferCharge* except) {
  if (const ConnectionPtr connection = FindHighestRanked(pool, except)) connection->Evict();
}

void ControlListener::Impl::Stop(std::function<void()> done) {
  stopping_ = true;
  on_stopped_ = std::move(done);
  ErrorCode ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  newcomer_.reset();
  const std::list<ConnectionPtr> open_connections = connections_;
  for (const ConnectionPtr& connection : open_connections) {
    if (connection->idle()) connection->Close();
  }
  FinishStopIfEmpty();
}

void ControlListener::Impl::Close() {
  on_stopped_ = nullptr;
  stopping_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  newcomer_.reset();
  const std::list<ConnectionPtr> open_connections = std::move(connections_);
  connections_.clear();
  for (const ConnectionPtr& connection : open_connections) connection->Close();
  handler_ = nullptr;
  account_.RemoveHolder(*this);  // which pending handlers may outlive
}

void ControlListener::Impl::Remove(const Connection& connection) {
  connections_.remove_if([&](const ConnectionPtr& c) { return c.get() == &connection; });
  FinishStopIfEmpty();
}

void ControlListener::Impl::MoveToBack(const Connection& connection) {
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->get() != &connection) continue;
    connections_.splice(connections_.end(), connections_, it);
    return;
  }
}

void ControlListener::Impl::FinishStopIfEmpty() {
  if (!stopping_ || !connections_.empty() || !on_stopped_) return;
  asio::post(io_, std::exchange(on_stopped_, nullptr));
}

ControlListener::ControlListener(asio::io_context& io, const Tcp::endpoint& address, Limits limits,
                                 memory::BufferAccount& account, Handler handler,
                                 ExpectedBytes expected_bytes)
    : impl_(std::make_shared<Impl>(io, address, limits, account, std::move(handler),
                                   std::move(expected_bytes))) {
  impl_->Accept();
}
ControlListener::~ControlListener() {
  try {
    impl_->Close();
  } catch (const std::exception&) {  // from cancelling a timer; no callback follows
  }
}
void ControlListener::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
Tcp::endpoint ControlListener::address() const { return impl_->acceptor_.local_endpoint(); }
std::size_t ControlListener::connections() const { return impl_->connections_.size(); }
const ControlListener::Counters& ControlListener::counters() const { return impl_->counters_; }

}  // namespace fennelhollow::node
