#include "mesh/node/control_listener.hpp"

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
#include <utility>

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

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
// After an accept that failed for want of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{50};

unsigned StatusOf(ErrorCode error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

// The caller's fault, as against the network's.
bool IsBadInput(ErrorCode error) {
  return error.category() == make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

class ControlListener::Impl : public std::enable_shared_from_this<ControlListener::Impl> {
 public:
  using ConnectionPtr = std::shared_ptr<Connection>;

  Impl(asio::io_context& io, const Tcp::endpoint& address, Limits limits, Handler handler);
  void Accept();
  void Add(Tcp::socket socket);
  void Stop(std::function<void()> done);
  void Close();
  void Remove(const Connection& connection);
  // To the end of the list: the one that has been idle longest is the first idle one in it.
  void Touch(const Connection& connection);
  void EndIfEmpty();

  asio::io_context& io_;
  const Limits limits_;
  Handler handler_;
  Tcp::acceptor acceptor_;
  asio::steady_timer pause_;
  std::list<ConnectionPtr> connections_;
  std::size_t bodies_ = 0;  // bytes of bodies that are held
  Counters counters_;
  bool stopping_ = false;
  std::function<void()> done_;
};

class ControlListener::Connection : public std::enable_shared_from_this<ControlListener::Connection> {
 public:
  Connection(std::shared_ptr<Impl> owner, Tcp::socket socket)
      : owner_(std::move(owner)), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    buffer_.max_size(owner_->limits_.header_bytes + merlinrun::net::kReadSize);
  }
  ~Connection() { Charge(0); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool idle() const { return idle_; }

  void Next() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(owner_->limits_.header_bytes));
    parser_->body_limit(owner_->limits_.body_bytes);
    parser_->eager(true);
    continued_ = false;
    if (buffer_.size() > 0) {  // more than one call was sent at once
      Begin();
      ReadSome();
      return;
    }
    if (owner_->stopping_) return Close();
    idle_ = true;
    owner_->Touch(*this);
    StartTimer(owner_->limits_.idle_ms);
    // The first byte starts the call's time; until then nothing is held for it.
    socket_.async_wait(Tcp::socket::wait_read, [self = shared_from_this()](ErrorCode error) {
      if (error || !self->socket_.is_open()) return self->Close();
      self->Begin();
      self->ReadSome();
    });
  }

  void Close() {
    timer_.cancel();
    ++turn_;
    if (!socket_.is_open()) return;
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    Charge(0);
    owner_->Remove(*this);
  }

 private:
  void Begin() {
    idle_ = false;
    StartTimer(owner_->limits_.call_ms);
  }

  void StartTimer(int milliseconds) {
    timer_.expires_after(std::chrono::milliseconds(milliseconds));
    timer_.async_wait([self = shared_from_this(), timer = ++timer_count_](ErrorCode error) {
      if (error || timer != self->timer_count_) return;
      if (!self->idle_) ++self->owner_->counters_.timed_out;
      self->Close();
    });
  }

  void Charge(std::size_t bytes) {
    owner_->bodies_ = owner_->bodies_ - charged_ + bytes;
    charged_ = bytes;
  }

  void ReadSome() {
    http::async_read_some(socket_, buffer_, *parser_,
                          [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnRead(error); });
  }

  void OnRead(ErrorCode error) {
    if (!socket_.is_open()) return;
    if (error == http::error::need_more) error = {};
    if (error == http::error::buffer_overflow) error = http::error::header_limit;
    if (error) {
      if (!IsBadInput(error)) return Close();
      ++owner_->counters_.bad;
      return Write(ErrorResponse(StatusOf(error), error.message()), false);
    }
    if (parser_->is_header_done()) {
      Charge(parser_->get().body().size());
      const std::uint64_t whole = parser_->content_length().value_or(0);
      if (owner_->bodies_ - charged_ + std::max<std::uint64_t>(charged_, whole) >
          owner_->limits_.bodies_bytes) {
        ++owner_->counters_.turned_away;
        return Write(UnavailableResponse("too many calls at once"), false);
      }
    }
    if (parser_->is_done()) return HandOn();
    if (parser_->is_header_done() && !continued_ && parser_->get().version() >= 11 &&
        beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      continued_ = true;
      asio::async_write(socket_, asio::buffer(kContinue),
                        [self = shared_from_this()](ErrorCode failed, std::size_t) {
                          if (failed || !self->socket_.is_open()) return self->Close();
                          self->ReadSome();
                        });
      return;
    }
    ReadSome();
  }

  void HandOn() {
    auto& request = parser_->get();
    // The body of an answer to HEAD would be taken for the next answer.
    const bool keep = request.keep_alive() && request.method() != http::verb::head;
    const std::string method(request.method_string());
    const std::string target(request.target());
    Command command = ParseCommand(method, target, std::move(request.body()));
    parser_.reset();
    if (std::holds_alternative<control::ReadEvents>(command)) {
      if (owner_->limits_.event_wait_ms > 0)
        StartTimer(owner_->limits_.event_wait_ms + owner_->limits_.call_ms);
      else
        command = control::Unknown{};
    }
    ++owner_->counters_.calls;
    owner_->handler_(std::move(command), [self = weak_from_this(), turn = ++turn_, keep](Response answer) {
      const auto held = self.lock();
      if (!held || held->turn_ != turn || !held->socket_.is_open()) return;
      ++held->turn_;  // a second answer is nobody's
      // Not from inside the handler: it may go on after its reply.
      asio::post(held->owner_->io_, [held, keep, answer = std::move(answer)]() mutable {
        if (held->socket_.is_open()) held->Write(std::move(answer), keep);
      });
    });
  }

  void Write(Response answer, bool keep) {
    keep = keep && !owner_->stopping_;
    Charge(0);
    parser_.reset();
    response_ = HttpResponse(static_cast<http::status>(answer.status), 11);
    response_.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : answer.headers) response_.set(name, value);
    response_.keep_alive(keep);
    response_.body() = std::move(answer.body);
    response_.prepare_payload();
    http::async_write(socket_, response_, [self = shared_from_this(), keep](ErrorCode error, std::size_t) {
      if (!self->socket_.is_open()) return;
      self->response_ = {};
      if (error || !keep) return self->End(error);
      self->Next();
    });
  }

  // A caller whose bytes are not all read would get a reset instead of its answer: those that come within a
  // short while are read and dropped.
  void End(ErrorCode error) {
    if (error) return Close();
    ErrorCode ignored;
    socket_.shutdown(Tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    linger_left_ = owner_->limits_.body_bytes;
    StartTimer(1000);
    idle_ = true;  // its call is over: may go when room is wanted
    Drop();
  }

  void Drop() {
    dropped_.resize(merlinrun::net::kReadSize);
    socket_.async_read_some(asio::buffer(dropped_),
                            [self = shared_from_this()](ErrorCode error, std::size_t bytes) {
                              if (error || !self->socket_.is_open() || bytes > self->linger_left_)
                                return self->Close();
                              self->linger_left_ -= bytes;
                              self->Drop();
                            });
  }

  const std::shared_ptr<Impl> owner_;
  Tcp::socket socket_;
  asio::steady_timer timer_;
  std::uint64_t timer_count_ = 0;
  std::uint64_t turn_ = 0;  // one for each call and one for its answer
  beast::flat_buffer buffer_;
  std::optional<http::parser<true, IncrementalBody>> parser_;
  HttpResponse response_;
  std::size_t charged_ = 0;
  std::size_t linger_left_ = 0;
  std::string dropped_;
  bool continued_ = false;
  bool idle_ = true;
};

ControlListener::Impl::Impl(asio::io_context& io, const Tcp::endpoint& address, Limits limits,
                            Handler handler)
    : io_(io), limits_(limits), handler_(std::move(handler)), acceptor_(io, address), pause_(io) {}

void ControlListener::Impl::Accept() {
  acceptor_.async_accept([self = shared_from_this()](ErrorCode error, Tcp::socket socket) {
    if (!self->acceptor_.is_open()) return;
    if (!error) {
      self->Add(std::move(socket));
      return self->Accept();
    }
    self->pause_.expires_after(kAcceptPause);
    self->pause_.async_wait([self](ErrorCode stopped) {
      if (!stopped && self->acceptor_.is_open()) self->Accept();
    });
  });
}

void ControlListener::Impl::Add(Tcp::socket socket) {
  if (connections_.size() >= limits_.connections) {
    ++counters_.turned_away;
    ConnectionPtr idle;
    for (const ConnectionPtr& connection : connections_) {
      if (!connection->idle()) continue;
      idle = connection;
      break;
    }
    if (!idle) return;  // the socket closes as it goes
    idle->Close();
  }
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  connections_.push_back(std::make_shared<Connection>(shared_from_this(), std::move(socket)));
  const ConnectionPtr added = connections_.back();
  added->Next();
}

void ControlListener::Impl::Stop(std::function<void()> done) {
  stopping_ = true;
  done_ = std::move(done);
  ErrorCode ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  const std::list<ConnectionPtr> all = connections_;
  for (const ConnectionPtr& connection : all) {
    if (connection->idle()) connection->Close();
  }
  EndIfEmpty();
}

void ControlListener::Impl::Close() {
  done_ = nullptr;
  stopping_ = true;
  ErrorCode ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  const std::list<ConnectionPtr> all = std::move(connections_);
  connections_.clear();
  for (const ConnectionPtr& connection : all) connection->Close();
  handler_ = nullptr;
}

void ControlListener::Impl::Remove(const Connection& connection) {
  connections_.remove_if([&](const ConnectionPtr& c) { return c.get() == &connection; });
  EndIfEmpty();
}

void ControlListener::Impl::Touch(const Connection& connection) {
  for (auto it = connections_.begin(); it != connections_.end(); ++it) {
    if (it->get() != &connection) continue;
    connections_.splice(connections_.end(), connections_, it);
    return;
  }
}

void ControlListener::Impl::EndIfEmpty() {
  if (!stopping_ || !connections_.empty() || !done_) return;
  asio::post(io_, std::exchange(done_, nullptr));
}

ControlListener::ControlListener(asio::io_context& io, const Tcp::endpoint& address, Limits limits,
                                 Handler handler)
    : impl_(std::make_shared<Impl>(io, address, limits, std::move(handler))) {
  impl_->Accept();
}
ControlListener::~ControlListener() {
  try {
    impl_->Close();
  } catch (const std::exception&) {  // of a timer that can't be cancelled: nothing is called back then
  }
}
void ControlListener::Stop(std::function<void()> done) { impl_->Stop(std::move(done)); }
Tcp::endpoint ControlListener::address() const { return impl_->acceptor_.local_endpoint(); }
std::size_t ControlListener::connections() const { return impl_->connections_.size(); }
const ControlListener::Counters& ControlListener::counters() const { return impl_->counters_; }

}  // namespace fennelhollow::node
