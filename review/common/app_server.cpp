#include "common/app_server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace fennelhollow::review {
namespace {

using Error = boost::system::error_code;
using rig::milliseconds;

constexpr milliseconds kHeartbeatInterval{1500}, kHeartbeatTimeout{1000};
constexpr milliseconds kIdleTimeout{10'000};
constexpr milliseconds kQueuePoll{2};
constexpr std::uint64_t kMaxRequestBytes = std::uint64_t{64} * 1024 * 1024;

auto Into(Error& error) { return asio::redirect_error(asio::use_awaitable, error); }

Response NotExecuted(http::status status, const std::string& attempt_id) {
  Response response(status, 11);
  if (!attempt_id.empty()) response.set("Attempt-Id", attempt_id);
  response.set("Not-Executed", "1");
  return response;
}

}  // namespace

asio::awaitable<bool> WriteBytes(beast::tcp_stream& stream, const std::string& bytes) {
  Error error;
  co_await asio::async_write(stream, asio::buffer(bytes), Into(error));
  co_return !error;
}

std::string OkHead(const std::string& attempt_id, std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt_id + "\r\nServer-Seal: seal." + attempt_id +
         "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
}

AppServer::AppServer(asio::io_context& io, Options options, Handler handler)
    : io_(io), options_(std::move(options)), handler_(std::move(handler)), acceptor_(io) {
  const rig::Tcp::endpoint at = options_.address.Endpoint();
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
}

void AppServer::Start() {
  asio::co_spawn(io_, Accept(shared_from_this()), asio::detached);
  asio::co_spawn(io_, SendHeartbeats(shared_from_this()), asio::detached);
}

asio::awaitable<void> AppServer::Leave(milliseconds drain_time) {
  const auto self = shared_from_this();
  draining_ = true;
  co_await SendHeartbeat();
  co_await rig::Sleep(io_, drain_time);
  rig::HttpConnection connection(io_, options_.control);
  co_await connection.Call(rig::MakeRequest(http::verb::post, "/-/Instances.Departure/" + options_.id,
                                            options_.control.Text(), "{}"),
                           kHeartbeatTimeout);
  ended_ = true;
  Error ignored;
  acceptor_.close(ignored);
}

asio::awaitable<void> AppServer::Accept(std::shared_ptr<AppServer> self) {
  while (!self->ended_) {
    Error error;
    rig::Tcp::socket socket(self->io_);
    co_await self->acceptor_.async_accept(socket, Into(error));
    if (error) co_return;
    asio::co_spawn(self->io_, Serve(self, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> AppServer::Serve(std::shared_ptr<AppServer> self, rig::Tcp::socket socket) {
  Error error;
  socket.set_option(rig::Tcp::no_delay(true), error);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (!error && !self->ended_) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxRequestBytes);
    stream.expires_after(kIdleTimeout);
    co_await http::async_read(stream, buffer, parser, Into(error));
    if (error) break;
    stream.expires_never();
    co_await self->Answer(parser.get(), stream);
    if (!stream.socket().is_open()) break;
  }
}

asio::awaitable<void> AppServer::Answer(const Request& request, beast::tcp_stream& stream) {
  const std::string id(request["Attempt-Id"]);
  const auto expected = request["Expected-Instance"];
  http::status turned_away = http::status::ok;
  if (!expected.empty() && expected != options_.id)
    turned_away = http::status::misdirected_request;
  else if (id.empty())
    turned_away = http::status::bad_request;
  else if (busy_ >= options_.slots && waiting_ >= options_.queue)
    turned_away = http::status::service_unavailable;
  if (turned_away != http::status::ok) {
    Response response = NotExecuted(turned_away, id);
    response.prepare_payload();
    Error ignored;
    co_await http::async_write(stream, response, Into(ignored));
    co_return;
  }
  ++waiting_;
  while (busy_ >= options_.slots) co_await rig::Sleep(io_, kQueuePoll);
  --waiting_;
  ++busy_;
  co_await handler_(request, stream);
  --busy_;
}

asio::awaitable<bool> AppServer::SendHeartbeat() {
  const nlohmann::json report = {
      {"address", options_.address.Text()},
      {"information",
       {{"service", options_.service}, {"version", "v1"}, {"zone", "here"}, {"slots", options_.slots}}},
      {"statusReport",
       {{"state", draining_ ? "draining" : "ready"}, {"callSequence", ++sequence_}, {"coldRemainingMs", 0}}}};
  rig::HttpConnection connection(io_, options_.control);
  const auto answer =
      co_await connection.Call(rig::MakeRequest(http::verb::post, "/-/Instances.Heartbeat/" + options_.id,
                                                options_.control.Text(), report.dump()),
                               kHeartbeatTimeout);
  co_return answer && answer->result_int() / 100 == 2;
}

asio::awaitable<void> AppServer::SendHeartbeats(std::shared_ptr<AppServer> self) {
  while (!self->draining_ && !self->ended_) {
    const bool taken = co_await self->SendHeartbeat();
    co_await rig::Sleep(self->io_, taken ? kHeartbeatInterval : kHeartbeatInterval / 5);
  }
}

}  // namespace fennelhollow::review
