#include "rig/mesh/server.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace fennelhollow::rig {
namespace {

constexpr const char* kHealthPath = "/health";
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kIdle{10'000};
// One response in this many is written in pieces.
constexpr std::uint32_t kOneInPieces = 4;
constexpr milliseconds kPieceInterval{2};
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{64} << 20;

// Closes with a TCP reset, as the kernel does for a crashed process.
void Reset(beast::tcp_stream& stream) {
  boost::system::error_code ignored;
  stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  stream.close();
}

// `in_pieces`: the head arrives apart from the body.
asio::awaitable<void> Write(asio::io_context& io, beast::tcp_stream& stream, Response& response,
                            bool in_pieces, boost::system::error_code& error) {
  http::response_serializer<Response::body_type> serializer(response);
  if (in_pieces) {
    co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    co_await Sleep(io, kPieceInterval);
  }
  co_await http::async_write(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
}

// Writes the head and a part of the body, then waits until the client has gone.
asio::awaitable<void> WriteAndStall(beast::tcp_stream& stream, Response& response, std::size_t body_bytes) {
  boost::system::error_code error;
  http::response_serializer<Response::body_type> serializer(response);
  co_await http::async_write_header(stream, serializer, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  co_await asio::async_write(stream, asio::buffer(response.body().data(), body_bytes),
                             asio::redirect_error(asio::use_awaitable, error));
  char byte = 0;
  if (!error)
    co_await stream.async_read_some(asio::buffer(&byte, 1), asio::redirect_error(asio::use_awaitable, error));
}

}  // namespace

Server::Server(asio::io_context& io, Options options, ExecutionCounts& runs)
    : io_(io), options_(std::move(options)), runs_(runs), acceptor_(io), slot_available_(io) {
  const Tcp::endpoint at = options_.address.Endpoint();
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen();
  slot_available_.expires_at(Clock::time_point::max());
}

void Server::Start() {
  asio::co_spawn(io_, Accept(shared_from_this()), asio::detached);
  asio::co_spawn(io_, SendHeartbeats(shared_from_this()), asio::detached);
}

void Server::Crash() {
  ended_ = true;
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const Stream& stream : std::set<Stream>(streams_)) Reset(*stream);
  slot_available_.cancel();
}

asio::awaitable<void> Server::Accept(std::shared_ptr<Server> self) {
  while (!self->ended_) {
    boost::system::error_code error;
    Tcp::socket socket(self->io_);
    co_await self->acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error || self->ended_) co_return;
    auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
    if (static_cast<int>(self->streams_.size()) >= self->options_.connections)
      Reset(*stream);
    else
      asio::co_spawn(self->io_, Serve(self, stream), asio::detached);
  }
}

asio::awaitable<void> Server::Serve(std::shared_ptr<Server> self, Stream stream) {
  self->streams_.insert(stream);
  beast::flat_buffer buffer;
  boost::system::error_code error;
  while (!error && !self->ended_) {
    http::request_parser<Request::body_type> parser;
    parser.body_limit(kMaxBodyBytes);
    stream->expires_after(kIdle);
    co_await http::async_read(*stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error || self->ended_) break;
    stream->expires_never();  // the client sets the deadline
    Response response = co_await self->HandleRequest(parser.get());
    if (self->ended_) break;
    response.set("Keep-Alive", "timeout=10");
    response.prepare_payload();
    const std::string_view target(parser.get().target().data(), parser.get().target().size());
    if (self->options_.stall_after_bytes > 0 && target.ends_with(kStallSuffix)) {
      co_await WriteAndStall(*stream, response, self->options_.stall_after_bytes);
      break;
    }
    const bool in_pieces = self->random_() % kOneInPieces == 0;
    co_await Write(self->io_, *stream, response, in_pieces, error);
  }
  self->streams_.erase(stream);
  stream->close();
}

asio::awaitable<Response> Server::HandleRequest(const Request& request) {
  const std::string id(request["Attempt-Id"]);
  Response response(http::status::ok, 11);
  if (!id.empty()) response.set("Attempt-Id", id);
  const auto not_executed = [&](http::status status) {
    ++counters_.not_executed;
    response.result(status);
    response.set("Not-Executed", "1");
  };
  if (request.target() == kHealthPath) {
    response.result(draining_ ? http::status::service_unavailable : http::status::ok);
    response.set("Answering-Instance", options_.id);
    co_return response;
  }
  const auto expected = request["Expected-Instance"];
  if (!expected.empty() && expected != options_.id) {
    ++counters_.wrong_instance;
    not_executed(http::status::misdirected_request);
    co_return response;
  }
  if (id.empty()) {
    not_executed(http::status::bad_request);
    co_return response;
  }
  if (busy_ >= options_.slots && waiting_ >= options_.queue) {
    not_executed(http::status::service_unavailable);
    co_return response;
  }
  ++waiting_;
  while (busy_ >= options_.slots && !ended_) {
    boost::system::error_code woken;
    co_await slot_available_.async_wait(asio::redirect_error(asio::use_awaitable, woken));
  }
  --waiting_;
  if (ended_) co_return response;
  ++busy_;
  ++counters_.executed;
  ++runs_[id];
  co_await Sleep(io_, DrawServiceTime());
  --busy_;
  slot_available_.cancel_one();
  response.set("Server-Seal", Seal(id));
  response.set("Ran-By", options_.service);
  response.body() = Body(id) + std::string(options_.padding_bytes, '.');
  co_return response;
}

milliseconds Server::DrawServiceTime() {
  const bool slow = slow_share_ > 0 && std::uniform_real_distribution<double>()(random_) < slow_share_;
  const milliseconds min = slow ? options_.min_slow_time : options_.min_service_time;
  const milliseconds max = slow ? options_.max_slow_time : options_.max_service_time;
  std::uniform_int_distribution<std::int64_t> service_time(min.count(), max.count());
  return milliseconds(service_time(random_) * slowdown_);
}

std::string Server::HeartbeatBody() {
  const nlohmann::json report = {
      {"address", options_.address.Text()},
      {"information",
       {{"service", options_.service}, {"version", "v1"}, {"zone", "here"}, {"slots", options_.slots}}},
      {"statusReport",
       {{"state", draining_ ? "draining" : "ready"}, {"callSequence", ++sequence_}, {"coldRemainingMs", 0}}}};
  return report.dump();
}

asio::awaitable<void> Server::SendHeartbeats(std::shared_ptr<Server> self) {
  const std::string path = "/-/Instances.";
  const std::string host = self->options_.control.Text();
  HttpConnection connection(self->io_, self->options_.control);
  bool drain_told = false;
  while (!self->ended_) {
    const bool drains = self->draining_;
    const auto answer = co_await connection.Call(
        MakeRequest(http::verb::post, path + "Heartbeat/" + self->options_.id, host, self->HeartbeatBody()),
        kHeartbeatTimeout);
    const bool taken = answer && answer->result_int() / 100 == 2;
    if (!taken) ++self->counters_.heartbeats_failed;
    if (drains && taken) drain_told = true;
    // Reports a change of state at once, otherwise once per heartbeat interval.
    const auto until =
        Clock::now() + (drain_told ? self->options_.drain_time : self->options_.heartbeat_interval);
    while (Clock::now() < until && !self->ended_ && self->draining_ == drains)
      co_await Sleep(self->io_, milliseconds(20));
    if (drain_told) break;
  }
  if (self->ended_) co_return;
  co_await Sleep(self->io_, milliseconds(200));  // time for requests in flight
  co_await connection.Call(MakeRequest(http::verb::post, path + "Departure/" + self->options_.id, host, "{}"),
                           kHeartbeatTimeout);
  self->Crash();
}

}  // namespace fennelhollow::rig
