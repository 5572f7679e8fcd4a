#include "stand_ins/application_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sstream>

namespace review {
namespace {

using fennelhollow::rig::Clock;
using fennelhollow::rig::HttpConnection;
using fennelhollow::rig::MakeRequest;
using fennelhollow::rig::Sleep;
using fennelhollow::rig::Tcp;

constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kHeartbeatRetry{200};
constexpr milliseconds kStatePoll{50};
constexpr milliseconds kAfterDrain{300};
constexpr milliseconds kIdleTimeout{10'000};
constexpr char kHealthPath[] = "/health";

auto Into(boost::system::error_code& error) { return asio::redirect_error(asio::use_awaitable, error); }

}  // namespace

ApplicationServer::ApplicationServer(asio::io_context& io, ServerOptions options, ServerObserver observer)
    : io_(io),
      options_(std::move(options)),
      observer_(std::move(observer)),
      acceptor_(io, options_.address.Endpoint()),
      slot_available_(io) {
  slot_available_.expires_at(Clock::time_point::max());
}

void ApplicationServer::Start() {
  asio::co_spawn(io_, Accept(shared_from_this()), asio::detached);
  asio::co_spawn(io_, SendHeartbeats(shared_from_this()), asio::detached);
}

void ApplicationServer::Stop() {
  stopped_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const Stream& stream : std::set<Stream>(streams_)) stream->close();
  slot_available_.cancel();
}

asio::awaitable<void> ApplicationServer::Accept(std::shared_ptr<ApplicationServer> self) {
  while (!self->stopped_) {
    boost::system::error_code error;
    Tcp::socket socket(self->io_);
    co_await self->acceptor_.async_accept(socket, Into(error));
    if (error || self->stopped_) co_return;
    const auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    asio::co_spawn(self->io_, Serve(self, stream), asio::detached);
  }
}

asio::awaitable<void> ApplicationServer::Serve(std::shared_ptr<ApplicationServer> self, Stream stream) {
  self->streams_.insert(stream);
  beast::flat_buffer buffer;
  bool usable = true;
  while (usable && !self->stopped_) {
    Request request;
    boost::system::error_code error;
    stream->expires_after(kIdleTimeout);
    co_await http::async_read(*stream, buffer, request, Into(error));
    if (error || self->stopped_) break;
    stream->expires_never();
    usable = co_await self->Answer(stream, request);
  }
  self->streams_.erase(stream);
  stream->close();
}

asio::awaitable<bool> ApplicationServer::Answer(const Stream& stream, const Request& request) {
  const std::string id(request["Attempt-Id"]);
  const auto expected = request["Expected-Instance"];
  Response response(http::status::ok, 11);
  if (!id.empty()) response.set("Attempt-Id", id);
  if (request.target() == kHealthPath) {
    response.set("Answering-Instance", options_.id);
  } else if (!expected.empty() && expected != options_.id) {
    response.result(http::status::misdirected_request);
    response.set("Not-Executed", "1");
  } else if (id.empty()) {
    response.result(http::status::bad_request);
    response.set("Not-Executed", "1");
  } else if (at_work_ >= options_.slots && waiting_ >= options_.queue) {
    response.result(http::status::service_unavailable);
    response.set("Not-Executed", "1");
  } else {
    co_return co_await Run(stream, request, id);
  }
  response.prepare_payload();
  boost::system::error_code error;
  co_await http::async_write(*stream, response, Into(error));
  co_return !error;
}

asio::awaitable<bool> ApplicationServer::Run(const Stream& stream, const Request& request,
                                             const std::string& id) {
  ++waiting_;
  while (at_work_ >= options_.slots && !stopped_) {
    boost::system::error_code woken;
    co_await slot_available_.async_wait(Into(woken));
  }
  --waiting_;
  if (stopped_) co_return false;
  ++at_work_;
  const auto began = Clock::now();
  observer_.on_begin(id, request);
  co_await Sleep(io_, options_.work_time);
  Response response(http::status::ok, 11);
  response.set("Attempt-Id", id);
  response.set("Server-Seal", Seal(id));
  response.set("Keep-Alive", "timeout=10");
  bool usable = true, sent = false;
  if (Draw(lost_share_)) co_return co_await LoseAnswer(stream, response, id);
  if (Draw(failed_share_)) {
    response.result(failure_);
    observer_.on_failed(id, static_cast<int>(failure_));
    response.body() = "the run failed";
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(*stream, response, Into(error));
    usable = sent = !error;
  } else {
    response.content_length(options_.body_bytes);
    // A server stops working at the deadline that it was handed.
    const std::string remaining_ms(request["Deadline-Remaining"]);
    if (!remaining_ms.empty()) stream->expires_at(began + milliseconds(std::atoll(remaining_ms.c_str())));
    usable = sent = co_await WriteInPieces(stream, response, options_.body_bytes);
    stream->expires_never();
  }
  --at_work_;
  slot_available_.cancel_one();
  observer_.on_end(id, sent);
  co_return usable;
}

// The answer, or the rest of it, never leaves; the connection stays silent until the caller closes it.
asio::awaitable<bool> ApplicationServer::LoseAnswer(const Stream& stream, Response& response,
                                                    const std::string& id) {
  ++answers_lost_;
  response.content_length(options_.body_bytes);
  if (options_.lost_after_bytes > 0) co_await WriteInPieces(stream, response, options_.lost_after_bytes);
  --at_work_;
  slot_available_.cancel_one();
  observer_.on_end(id, false);
  boost::system::error_code error;
  char byte = 0;
  stream->expires_never();
  co_await stream->async_read_some(asio::buffer(&byte, 1), Into(error));
  co_return false;
}

asio::awaitable<bool> ApplicationServer::WriteInPieces(const Stream& stream, const Response& head,
                                                       std::size_t body_bytes) {
  boost::system::error_code error;
  std::ostringstream text;
  text << head.base();
  std::string next = text.str();
  std::size_t left = body_bytes;
  if (options_.head_pause.count() > 0) {
    co_await asio::async_write(*stream, asio::buffer(next), Into(error));
    next.clear();
    co_await Sleep(io_, options_.head_pause);
  }
  while (!error && left > 0 && !stopped_) {
    const std::size_t piece = std::min(left, options_.piece_bytes);
    next.append(piece, '.');
    co_await asio::async_write(*stream, asio::buffer(next), Into(error));
    next.clear();
    left -= piece;
    if (!error && left > 0 && options_.piece_pause.count() > 0) co_await Sleep(io_, options_.piece_pause);
  }
  co_return !error && left == 0;
}

std::string ApplicationServer::HeartbeatBody() {
  return nlohmann::json{
      {"address", options_.address.Text()},
      {"information",
       {{"service", options_.service},
        {"version", options_.version},
        {"zone", "harbour-a"},
        {"slots", options_.slots}}},
      {"statusReport",
       {{"state", draining_ ? "draining" : "ready"}, {"callSequence", ++sequence_}, {"coldRemainingMs", 0}}}}
      .dump();
}

asio::awaitable<void> ApplicationServer::SendHeartbeats(std::shared_ptr<ApplicationServer> self) {
  HttpConnection connection(self->io_, self->options_.control);
  const std::string path = "/-/Instances.", host = self->options_.control.Text();
  bool drain_acknowledged = false;
  while (!self->stopped_ && !drain_acknowledged) {
    const bool drains = self->draining_;
    const auto answer = co_await connection.Call(
        MakeRequest(http::verb::post, path + "Heartbeat/" + self->options_.id, host, self->HeartbeatBody()),
        kHeartbeatTimeout);
    const bool taken = answer && answer->result_int() / 100 == 2;
    drain_acknowledged = drains && taken;
    const auto next = Clock::now() + (taken ? self->options_.heartbeat_interval : kHeartbeatRetry);
    while (!drain_acknowledged && !self->stopped_ && self->draining_ == drains && Clock::now() < next)
      co_await Sleep(self->io_, kStatePoll);  // a change of state is told at once
  }
  if (self->stopped_) co_return;
  co_await Sleep(self->io_, self->options_.drain_time + kAfterDrain);
  co_await connection.Call(MakeRequest(http::verb::post, path + "Departure/" + self->options_.id, host, "{}"),
                           kHeartbeatTimeout);
  self->Stop();
}

}  // namespace review
