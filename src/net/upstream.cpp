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

// Sweeps in the time that an idle connection is kept: few, as each wakes the process.
constexpr int kSweeps = 4;

// So much of an answer that is large by its length has to come before it is passed on: a wrong length shows
// by then, while another attempt can still be made.
constexpr std::size_t kFirstOfStream = std::size_t{4} * 1024;

// 1xx answers ahead of the one that counts; more are noise.
constexpr int kMostInterim = 8;

bool Declined(const ResponseHeader& response) {
  const bool status = response.result() == http::status::service_unavailable ||
                      response.result() == http::status::gateway_timeout;
  return status && response[kDeclinedHeader] == "1";
}

// A server's 503 without the header proves nothing: it may have run.
Result ResultOf(const ResponseHeader& response) {
  if (response.result() == http::status::ok) return Result::kSuccess;
  return Declined(response) ? Result::kRefused : Result::kError;
}

}  // namespace

struct Upstream::Server {
  ServerInfo info;
  Tcp::endpoint address;
  std::uint64_t life = 0;           // changes with all that makes older connections useless
  std::vector<ConnectionPtr> idle;  // the most recently used last

  bool Up() const { return info.state == ServerInfo::State::kHealthy; }
};

class Upstream::Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Job {
    AttemptId id;
    Done done;
  };

  Connection(Upstream& pool, std::shared_ptr<Server> server)
      : pool_(pool), server_(std::move(server)), life_(server_->life), socket_(pool.io_), timer_(pool.io_) {}

  void Dial(Job job, UpstreamRequest request) {
    job_.emplace(std::move(job));
    request_ = std::move(request);
    ErrorCode error;
    socket_.open(server_->address.protocol(), error);
    if (error) return FailLater();
    socket_.set_option(Tcp::no_delay(true), error);
    if (pool_.limits_.dial_timeout > 0) {
      timer_.expires_after(std::chrono::microseconds(pool_.limits_.dial_timeout));
      timer_.async_wait([self = shared_from_this()](ErrorCode stopped) {
        // The time may run out in the very turn of the loop in which the attempt is given up.
        if (!stopped && self->dialing_ && !self->closed_)
          self->Finish(Result::kUnreachable, {}, /*reuse=*/false);
      });
    }
    dialing_ = true;
    socket_.async_connect(server_->address,
                          [self = shared_from_this()](ErrorCode failed) { self->OnDialed(failed); });
  }

  void Start(Job job, UpstreamRequest request) {
    job_.emplace(std::move(job));
    request_ = std::move(request);
    Write();
  }

  // Says nothing to the attempt's owner: for idle connections and attempts that are given up.
  void Close() {
    if (closed_) return;
    Abandon();
    timer_.cancel();
    pool_.Forget(*this);
  }

  // Closes without a word to the pool, which is going: what is still to be called back finds it closed.
  void Abandon() {
    closed_ = true;
    job_.reset();
    charge_ = {};
    if (request_.rest != nullptr) request_.rest->SetReader(nullptr);
    if (answer_ != nullptr) {
      pool_.streams_.erase(shared_from_this());
      std::exchange(answer_, nullptr)->Break();
    }
    ErrorCode ignored;
    socket_.close(ignored);
  }

  // Guards against writing to a connection whose end has come in but has not been handled: what is written
  // there is reset, and may have run for all that one can know.
  bool Usable() {
    if (closed_ || !Current()) return false;
    char byte = 0;
    const ssize_t got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  bool Current() const { return server_->Up() && server_->life == life_; }
  Server& server() { return *server_; }
  Clock::time_point idle_since;

 private:
  void FailLater() {
    asio::post(pool_.io_, [self = shared_from_this()] {
      if (!self->closed_) self->Finish(Result::kUnreachable, {}, /*reuse=*/false);
    });
  }

  void OnDialed(ErrorCode error) {
    if (closed_) return;
    dialing_ = false;
    timer_.cancel();
    // A look at the list after the wait: guards against sending to a server that has meanwhile been told to
    // drain, is gone, or has restarted and is cold. Nothing is written, so it never ran.
    if (error || !Current()) return Finish(Result::kUnreachable, {}, /*reuse=*/false);
    Read();
    Write();
  }

  void Write() {
    NextAnswer();
    writing_ = true;
    whole_ = false;
    spent_ = false;
    interim_ = 0;
    if (request_.rest != nullptr) return WriteHead();
    http::async_write(socket_, request_.head,
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // ---- A large request: its head, then its body as it comes ----

  void WriteHead() {
    if (request_.length)
      request_.head.content_length(*request_.length);
    else
      request_.head.chunked(true);
    ErrorCode ignored;
    socket_.set_option(Tcp::socket::send_buffer_size(kStreamSendBuffer), ignored);
    request_.rest->SetReader([weak = weak_from_this()] {
      if (const auto self = weak.lock(); self != nullptr && !self->closed_) self->WritePiece();
    });
    head_.emplace(request_.head);
    ExpectProgress();
    http::async_write_header(socket_, *head_, [self = shared_from_this()](ErrorCode error, std::size_t) {
      self->OnPieceWritten(error, 0);
    });
    piece_out_ = true;
  }

  void WritePiece() {
    if (piece_out_ || closed_) return;
    const std::string_view data = request_.rest->data();
    if (data.empty()) {
      timer_.cancel();  // the wait is for the client
      if (request_.rest->state() == Pipe::State::kEnded) WriteEnd();
      return;  // a broken one is told by whoever reads it from the client
    }
    piece_out_ = true;
    ExpectProgress();
    piece_.assign(data);  // the pipe may move its own while this is out
    WritePieceTo(socket_, piece_, !request_.length,
                 [self = shared_from_this()](ErrorCode error, std::size_t) {
                   self->OnPieceWritten(error, self->piece_.size());
                 });
  }

  void OnPieceWritten(ErrorCode error, std::size_t size) {
    piece_out_ = false;
    if (closed_) return Drop();
    if (error) return OnWritten(error);
    request_.rest->Consume(size);
    if (!closed_) WritePiece();
  }

  void WriteEnd() {
    if (request_.length) return OnWritten({});
    piece_out_ = true;
    ExpectProgress();
    asio::async_write(socket_, http::make_chunk_last(),
                      [self = shared_from_this()](ErrorCode error, std::size_t) { self->OnWritten(error); });
  }

  // Guards against a server that holds a large body up, and with it memory, descriptors and its client.
  void ExpectProgress() {
    timer_.expires_after(std::chrono::microseconds(pool_.limits_.stall));
    timer_.async_wait([weak = weak_from_this()](ErrorCode stopped) {
      const auto self = weak.lock();
      if (stopped || self == nullptr || self->closed_ || self->timer_.expiry() > Clock::now()) return;
      if (self->job_)
        self->Finish(Result::kUnreachable, {}, /*reuse=*/false);
      else
        self->Close();
    });
  }

  void Drop() {
    head_.reset();
    request_ = {};
    piece_ = {};
  }

  void OnWritten(ErrorCode error) {
    writing_ = false;
    piece_out_ = false;
    spent_ = request_.rest != nullptr && request_.rest->spent();
    if (request_.rest != nullptr) {
      request_.rest->SetReader(nullptr);
      timer_.cancel();
    }
    Drop();
    if (!error) ++pool_.counters_.attempts_sent;  // given up or not: the server has it whole
    if (closed_) return;
    whole_ = !error;
    // An unfinished request is one that no server begins.
    if (error) return Finish(Result::kUnreachable, {}, /*reuse=*/false);
    if (broken_) Finish(Result::kReset, {}, /*reuse=*/false);
  }

  // Stays posted while the connection lives, so that a peer's close is seen when it comes.
  void Read() {
    socket_.async_read_some(
        buffer_.prepare(kReadSize),
        [self = shared_from_this()](ErrorCode error, std::size_t n) { self->OnRead(error, n); });
  }

  void OnRead(ErrorCode error, std::size_t n) {
    if (closed_) return;
    if (error) return OnEnd(error == asio::error::eof);
    buffer_.commit(n);
    if (!job_ && answer_ == nullptr) return Close();  // nobody asked
    // Nothing that comes before the request has been written whole can be its answer. Closing ends the
    // request half-written, and no server begins such a one.
    if (writing_) return Finish(Result::kUnreachable, {}, /*reuse=*/false);
    if (answer_ != nullptr) return PassOn();
    // A spoilt answer is like none: the request may have run, and its answer is lost.
    if (!Parse()) return Finish(Result::kReset, {}, /*reuse=*/false);
    if (parser_->is_done()) return Complete();
    if (Large()) return BeginStream();
    Read();
  }

  // ---- A large answer: passed on as it comes ----

  bool Large() {
    if (!parser_->is_header_done()) return false;
    const std::size_t come = parser_->get().body().size();
    const auto length = parser_->content_length();
    return come > kMaxBufferedBody || (length && *length > kMaxBufferedBody && come >= kFirstOfStream);
  }

  void BeginStream() {
    // What is large and no success is no use to anybody; it has run.
    if (ResultOf(parser_->get()) != Result::kSuccess) return Finish(Result::kError, {}, /*reuse=*/false);
    const auto self = shared_from_this();
    UpstreamAnswer answer{
        Result::kSuccess, {}, std::move(charge_), std::make_shared<Pipe>(kPipeCapacity), {}};
    if (const auto length = parser_->content_length()) answer.length = *length;
    answer_ = answer.rest;
    answer_->Write(std::exchange(parser_->get().body(), {}));
    answer.response = TakeMessage(*parser_);
    answer_->SetWriter(
        [weak = weak_from_this()] {
          if (const auto held = weak.lock(); held != nullptr && !held->closed_) held->ReadOn();
        },
        [weak = weak_from_this()] {
          if (const auto held = weak.lock()) held->Close();
        });
    Job job = std::move(*job_);
    job_.reset();
    pool_.attempts_.erase(job.id);
    pool_.streams_.insert(self);
    ReadOn();
    job.done(std::move(answer));
  }

  void ReadOn() {
    if (answer_->full() || reading_) return;
    reading_ = true;
    ExpectProgress();
    Read();
  }

  void PassOn() {
    reading_ = false;
    timer_.cancel();
    if (!Parse()) return Close();
    const auto self = shared_from_this();
    const auto answer = answer_;
    answer->Write(std::exchange(parser_->get().body(), {}));
    if (closed_) return;  // its reader has left
    if (!parser_->is_done()) return ReadOn();
    PassOnEnd();
  }

  void PassOnEnd() {
    const auto self = shared_from_this();
    const auto answer = answer_;
    const bool reuse = whole_ && parser_->get().keep_alive() && buffer_.size() == 0;
    answer_ = nullptr;
    pool_.streams_.erase(self);
    parser_.reset();
    if (reuse) {
      Read();
      pool_.Release(self);
    } else {
      Close();
    }
    answer->End();
  }

  void NextAnswer() {
    parser_.emplace();
    parser_->eager(false);  // the header alone: it is checked before the body begins
    parser_->header_limit(kMaxHeader);
    parser_->body_limit(kMaxStreamedBody);
  }

  // False if it is no answer that the protocol knows.
  bool Parse() {
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const bool had_header = parser_->is_header_done();
      ErrorCode error;
      buffer_.consume(parser_->put(buffer_.data(), error));
      if (error && error != http::error::need_more) return false;
      if (!had_header && parser_->is_header_done() && !TakeHeader()) return false;
      if (parser_->is_header_done() && answer_ == nullptr &&
          !charge_.Grow(pool_.budget_, Needs(parser_->get().body().size())))
        return false;
      if (error) return true;
    }
    return true;
  }

  // What an answer is to be charged with, by its length if it says one, else by what has come of it.
  std::size_t Needs(std::size_t come) const {
    const auto length = parser_->content_length();
    if (come > kMaxBufferedBody || (length && *length > kMaxBufferedBody)) return kPipeReservation;
    return length ? static_cast<std::size_t>(*length) : ReservationFor(come);
  }

  // Guards against answers of no end: eager parsing forgets that a length was over the limit (Boost 1.74), so
  // that an answer said to have 3 GB was read until memory ran out.
  bool TakeHeader() {
    if (!IsValidResponse(parser_->get())) return false;
    if (parser_->get().result_int() < 200) {  // 1xx: more comes
      if (++interim_ > kMostInterim) return false;
      NextAnswer();
      return true;
    }
    parser_->eager(true);
    return charge_.Reserve(pool_.budget_, Needs(0));
  }

  // The peer closed or reset the connection.
  void OnEnd(bool clean) {
    if (parser_ && parser_->is_header_done() && !writing_ && IsDelimitedByClose(parser_->get()) && clean) {
      // That is how its body ends.
      ErrorCode wrong;
      parser_->put_eof(wrong);
      if (!wrong && parser_->is_done()) return answer_ != nullptr ? PassOnEnd() : Complete();
    }
    if (!job_) return Close();  // which breaks off what is passed on
    if (!writing_) return Finish(Result::kReset, {}, /*reuse=*/false);
    // Whether the last byte went out shows when the write ends; closing the socket ends it.
    broken_ = true;
    ErrorCode ignored;
    socket_.close(ignored);
  }

  void Complete() {
    HttpResponse response = TakeMessage(*parser_);
    const bool reuse = whole_ && response.keep_alive() && buffer_.size() == 0;
    const Result result = ResultOf(response);
    Finish(result, std::move(response), reuse);
  }

  void Finish(Result result, HttpResponse response, bool reuse) {
    const auto self = shared_from_this();
    Job job = std::move(*job_);
    MemoryReservation charge = std::move(charge_);
    const bool spent = spent_ || (request_.rest != nullptr && request_.rest->spent());
    job_.reset();
    parser_.reset();
    pool_.attempts_.erase(job.id);
    if (reuse) {
      Read();
      pool_.Release(self);
    } else {
      Close();
    }
    job.done({result, std::move(response), std::move(charge), nullptr, {}, spent});
  }

  Upstream& pool_;
  const std::shared_ptr<Server> server_;
  const std::uint64_t life_;
  Tcp::socket socket_;
  asio::steady_timer timer_;  // for the dial, then for progress of a large body
  beast::flat_buffer buffer_{kMaxUnparsed};
  std::optional<http::response_parser<IncrementalBody>> parser_;
  std::optional<Job> job_;
  // Kept until its write has been told of, whatever became of the attempt: a write that is done when the
  // attempt ends is told of all the same, and Beast then looks at the request once more.
  UpstreamRequest request_;
  std::optional<http::request_serializer<http::string_body>> head_;  // of a large one
  std::string piece_;                                                // of its body, that is being written
  std::shared_ptr<Pipe> answer_;  // the answer that is passed on while it comes
  MemoryReservation charge_;      // for the answer that is being read
  int interim_ = 0;               // 1xx answers to this request
  bool dialing_ = false;
  bool writing_ = false;
  bool whole_ = false;   // the request's last byte has been written
  bool broken_ = false;  // the peer ended while it was being written
  bool closed_ = false;
  bool piece_out_ = false;  // a write of a large request is under way
  bool reading_ = false;    // a read of a large answer is
  bool spent_ = false;      // bytes of the large request that it wrote are gone
};

Upstream::Upstream(asio::io_context& io, Limits limits, MemoryBudget& budget, stats::Counters& counters)
    : io_(io), limits_(limits), budget_(budget), counters_(counters), sweep_(io) {}

Upstream::~Upstream() {
  for (const auto& [id, connection] : attempts_)
    if (connection != nullptr) connection->Abandon();
  for (const ConnectionPtr& connection : std::exchange(streams_, {})) connection->Abandon();
  for (const auto& [id, server] : servers_) {
    for (const ConnectionPtr& connection : server->idle) connection->Abandon();
    server->idle.clear();  // the two hold each other
  }
}

void Upstream::Update(Server& server, const Endpoint& endpoint) {
  const bool same = server.address == endpoint.address && server.info.started == endpoint.info.started;
  server.info = endpoint.info;
  if (endpoint.info.state != ServerInfo::State::kGone) server.address = endpoint.address;
  if (same && server.Up()) return;
  if (!same) ++server.life;
  for (const ConnectionPtr& connection : std::exchange(server.idle, {})) connection->Close();
}

void Upstream::Apply(const EndpointList& list) {
  std::unordered_map<std::string, std::shared_ptr<Server>> before;
  if (list.whole) before.swap(servers_);
  for (const Endpoint& endpoint : list.endpoints) {
    std::shared_ptr<Server>& server = servers_[endpoint.info.id];
    const auto old = before.find(endpoint.info.id);
    if (old != before.end()) server = old->second;
    if (server == nullptr) server = std::make_shared<Server>();
    Update(*server, endpoint);
    before.erase(endpoint.info.id);
    if (endpoint.info.state == ServerInfo::State::kGone) servers_.erase(endpoint.info.id);
  }
  for (auto& [id, server] : before) {  // not in the whole list: gone
    Endpoint gone{server->info, server->address, {}};
    gone.info.state = ServerInfo::State::kGone;
    Update(*server, gone);
  }
}

Upstream::AttemptId Upstream::Send(const std::string& id, UpstreamRequest request, Done done) {
  const auto found = servers_.find(id);
  const bool spent = request.rest != nullptr && request.rest->spent();
  if (spent || found == servers_.end() || !found->second->Up()) return FailLater(std::move(done), spent);
  const std::shared_ptr<Server> server = found->second;
  ConnectionPtr connection = TakeIdle(*server);
  const AttemptId attempt = ++last_attempt_;
  if (connection != nullptr) {
    attempts_[attempt] = connection;
    connection->Start({attempt, std::move(done)}, std::move(request));
    return attempt;
  }
  if (open_ >= limits_.connections && !MakeRoom()) return FailLater(std::move(done), false);
  connection = std::make_shared<Connection>(*this, server);
  ++open_;
  attempts_[attempt] = connection;
  connection->Dial({attempt, std::move(done)}, std::move(request));
  return attempt;
}

// The module must not hear of an outcome while it is still saying what to send.
Upstream::AttemptId Upstream::FailLater(Done done, bool spent) {
  const AttemptId attempt = ++last_attempt_;
  attempts_[attempt] = nullptr;
  asio::post(io_, [this, attempt, spent, done = std::move(done)] {
    if (attempts_.erase(attempt) > 0) done({Result::kUnreachable, {}, {}, nullptr, {}, spent});
  });
  return attempt;
}

void Upstream::GiveUp(AttemptId attempt) {
  const auto it = attempts_.find(attempt);
  if (it == attempts_.end()) return;
  const ConnectionPtr connection = it->second;
  attempts_.erase(it);
  if (connection != nullptr) connection->Close();
}

// The one used last of those that have rested. Guards against a second copy or noise that a server sends
// right behind an answer: nothing in HTTP ties an answer to its request but the order on its connection, so
// what comes after the next request was written would pass for that one's answer.
Upstream::ConnectionPtr Upstream::TakeIdle(Server& server) {
  const auto rested = Clock::now() - std::chrono::microseconds(limits_.rest);
  auto it = server.idle.end();
  while (it != server.idle.begin()) {
    ConnectionPtr connection = *--it;
    if (connection->idle_since > rested) continue;
    it = server.idle.erase(it);
    if (connection->Usable()) return connection;
    connection->Close();
  }
  return nullptr;
}

// Closes the connection that has been idle longest. False if all are at work.
bool Upstream::MakeRoom() {
  Server* oldest = nullptr;
  for (auto& [id, server] : servers_)
    if (!server->idle.empty() &&
        (oldest == nullptr || server->idle.front()->idle_since < oldest->idle.front()->idle_since))
      oldest = server.get();
  if (oldest == nullptr) return false;
  const ConnectionPtr kept = oldest->idle.front();
  kept->Close();
  return true;
}

void Upstream::SetMost(std::size_t connections) {
  limits_.connections = connections;
  while (open_ > connections && MakeRoom()) {
  }
}

void Upstream::CloseIdle() {
  while (MakeRoom()) {
  }
}

void Upstream::Release(const ConnectionPtr& connection) {
  if (!connection->Current()) return connection->Close();
  connection->idle_since = Clock::now();
  connection->server().idle.push_back(connection);
  SweepLater();
}

void Upstream::Forget(const Connection& connection) {
  --open_;
  auto& idle = const_cast<Connection&>(connection).server().idle;
  const auto same = [&](const ConnectionPtr& other) { return other.get() == &connection; };
  idle.erase(std::remove_if(idle.begin(), idle.end(), same), idle.end());
}

void Upstream::SweepLater() {
  if (limits_.keep_idle <= 0 || std::exchange(sweeping_, true)) return;
  sweep_.expires_after(std::chrono::microseconds(limits_.keep_idle / kSweeps));
  sweep_.async_wait([this](ErrorCode error) {
    if (error) return;
    sweeping_ = false;
    Sweep();
  });
}

void Upstream::Sweep() {
  const auto now = Clock::now();
  bool any = false;
  for (auto& [id, server] : servers_) {
    const std::vector<ConnectionPtr> idle = server->idle;  // Close takes them out of the original
    for (const ConnectionPtr& connection : idle)
      if (now - connection->idle_since >= std::chrono::microseconds(limits_.keep_idle)) connection->Close();
    any = any || !server->idle.empty();
  }
  if (any) SweepLater();
}

}  // namespace merlinrun::net
