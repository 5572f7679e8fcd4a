#include "stand_ins/application_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using fennelhollow::rig::Clock;
using fennelhollow::rig::HttpConnection;
using fennelhollow::rig::MakeRequest;
using fennelhollow::rig::Sleep;
using fennelhollow::rig::Tcp;

constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kHeartbeatRetry{200};
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
  const bool probe = request.target() == kHealthPath;
  Response response(http::status::ok, 11);
  response.keep_alive(!departed_);
  if (!id.empty()) response.set("Attempt-Id", id);
  if (probe && departed_) {
    response.result(http::status::service_unavailable);
    response.set("Answering-Instance", options_.id);
  } else if (probe && !IsFull()) {
    const bool has_slot = co_await TakeSlot();
    if (!has_slot) co_return false;
    FreeSlot();
    response.set("Answering-Instance", options_.id);
  } else if (!expected.empty() && expected != options_.id) {
    response.result(http::status::misdirected_request);
    response.set("Not-Executed", "1");
  } else if (id.empty() && !probe) {
    response.result(http::status::bad_request);
    response.set("Not-Executed", "1");
  } else if (IsFull()) {
    response.result(http::status::service_unavailable);
    response.set("Not-Executed", "1");
  } else {
    co_return co_await Run(stream, request, id);
  }
  response.prepare_payload();
  boost::system::error_code error;
  co_await http::async_write(*stream, response, Into(error));
  co_return !error && response.keep_alive();
}

asio::awaitable<bool> ApplicationServer::TakeSlot() {
  ++waiting_;
  while (at_work_ >= options_.slots && !stopped_) {
    boost::system::error_code woken;
    co_await slot_available_.async_wait(Into(woken));
  }
  --waiting_;
  if (stopped_) co_return false;
  ++at_work_;
  co_return true;
}

void ApplicationServer::FreeSlot() {
  --at_work_;
  slot_available_.cancel_one();
}

asio::awaitable<bool> ApplicationServer::Run(const Stream& stream, const Request& request,
                                             const std::string& id) {
  const bool has_slot = co_await TakeSlot();
  if (!has_slot) co_return false;
  observer_.on_begin(id, request);
  co_await Sleep(io_, options_.work_time);
  Response response(http::status::ok, 11);
  response.keep_alive(!departed_);
  response.set("Attempt-Id", id);
  response.set("Server-Seal", Seal(id));
  response.set("Keep-Alive", "timeout=10");
  if (Draw(lost_share_)) co_return co_await LoseAnswer(stream, id);
  response.body().assign(options_.body_bytes, '.');
  response.prepare_payload();
  boost::system::error_code error;
  co_await http::async_write(*stream, response, Into(error));
  const bool sent = !error;
  FreeSlot();
  observer_.on_end(id, sent);
  co_return sent&& response.keep_alive();
}

// The answer never leaves; the connection stays silent until the caller closes it.
asio::awaitable<bool> ApplicationServer::LoseAnswer(const Stream& stream, const std::string& id) {
  ++answers_lost_;
  FreeSlot();
  observer_.on_end(id, false);
  boost::system::error_code error;
  char byte = 0;
  stream->expires_never();
  co_await stream->async_read_some(asio::buffer(&byte, 1), Into(error));
  co_return false;
}

std::string ApplicationServer::HeartbeatBody() {
  return nlohmann::json{
      {"address", options_.address.Text()},
      {"information",
       {{"service", options_.service}, {"version", "v1"}, {"zone", "harbour-a"}, {"slots", options_.slots}}},
      {"statusReport", {{"state", "ready"}, {"callSequence", ++sequence_}, {"coldRemainingMs", 0}}}}
      .dump();
}

asio::awaitable<void> ApplicationServer::SendHeartbeats(std::shared_ptr<ApplicationServer> self) {
  HttpConnection connection(self->io_, self->options_.control);
  const std::string path = "/-/Instances.Heartbeat/" + self->options_.id;
  while (!self->stopped_ && !self->departed_) {
    const auto answer = co_await connection.Call(
        MakeRequest(http::verb::post, path, self->options_.control.Text(), self->HeartbeatBody()),
        kHeartbeatTimeout);
    const bool taken = answer && answer->result_int() / 100 == 2;
    co_await Sleep(self->io_, taken ? self->options_.heartbeat_interval : kHeartbeatRetry);
  }
}

asio::awaitable<bool> ApplicationServer::Depart() {
  departed_ = true;
  HttpConnection connection(io_, options_.control);
  const auto answer = co_await connection.Call(
      MakeRequest(http::verb::post, "/-/Instances.Departure/" + options_.id, options_.control.Text()),
      kHeartbeatTimeout);
  co_return answer && answer->result_int() / 100 == 2;
}

asio::awaitable<void> ApplicationServer::SendLateHeartbeat(std::shared_ptr<ApplicationServer> self,
                                                           milliseconds delay) {
  const std::string body = self->HeartbeatBody();
  co_await Sleep(self->io_, delay);
  HttpConnection connection(self->io_, self->options_.control);
  co_await connection.Call(MakeRequest(http::verb::post, "/-/Instances.Heartbeat/" + self->options_.id,
                                       self->options_.control.Text(), body),
                           kHeartbeatTimeout);
}

}  // namespace review
