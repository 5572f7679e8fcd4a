#include "rig/discovery.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cstdio>
#include <utility>

namespace merlinrun::rig {
namespace {

using diameter::ErrorCode;

constexpr Micros kKeepaliveInterval = 2'000'000;  // sends an empty line

std::string Text(const Tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

struct Discovery::Session {
  explicit Session(Tcp::socket connected) : socket(std::move(connected)) {}
  Tcp::socket socket;
  boost::asio::streambuf input;
};

Discovery::Discovery(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker)
    : loop_(loop),
      checker_(checker),
      acceptor_(io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
      keepalive_timer_(loop.NewTimer()) {
  Accept();
  SendKeepalive();
}

Discovery::~Discovery() {
  ErrorCode ignored;
  for (const auto& session : watches_) session->socket.close(ignored);
}

void Discovery::Accept() {
  acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
    if (error) return;
    const auto session = std::make_shared<Session>(std::move(socket));
    boost::asio::async_read_until(session->socket, session->input, "\r\n\r\n",
                                  [this, session](ErrorCode failed, std::size_t) {
                                    if (!failed) OnRequest(session);
                                  });
    Accept();
  });
}

void Discovery::OnRequest(const std::shared_ptr<Session>& session) {
  const std::string request(static_cast<const char*>(session->input.data().data()), session->input.size());
  ErrorCode ignored;
  if (request.find("stream=1") == std::string::npos) {
    const std::string body = List().dump();
    const std::string text =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    boost::asio::write(session->socket, boost::asio::buffer(text), ignored);
    session->input.consume(session->input.size());
    boost::asio::async_read_until(session->socket, session->input, "\r\n\r\n",
                                  [this, session](ErrorCode failed, std::size_t) {
                                    if (!failed) OnRequest(session);
                                  });
    return;
  }
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  boost::asio::write(session->socket, boost::asio::buffer(head), ignored);
  watches_.push_back(session);
  WriteChunk(*session, List().dump() + "\n");
}

void Discovery::WriteChunk(Session& session, const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  ErrorCode ignored;
  boost::asio::write(session.socket, boost::asio::buffer(size + text + "\r\n"), ignored);
}

void Discovery::SendKeepalive() {
  keepalive_timer_->Start(kKeepaliveInterval, [this] {
    for (const auto& session : watches_) WriteChunk(*session, "\n");
    SendKeepalive();
  });
}

void Discovery::Set(const Server& server, const std::string& lifecycle) {
  const std::string& id = server.options().id;
  const nlohmann::json entry = {{"instanceId", id},
                                {"hostPort", Text(addresses_ ? addresses_(server) : server.http())},
                                {"diameterHostPort", Text(server.diameter())},
                                {"zone", server.centre().name},
                                {"machineType", "std"},
                                {"cell", 1},
                                {"lifecycle", lifecycle},
                                {"weight", 1.0},
                                {"startedAtMs", server.started_ms()}};
  entries_[id] = entry;
  ++generation_;
  if (lifecycle == "removed") entries_.erase(id);
  lifecycle == "up" ? checker_.OnListed(id) : checker_.OnDrainNotified(id, loop_.Now());
  const nlohmann::json change = {
      {"generation", generation_}, {"reset", false}, {"instances", nlohmann::json::array({entry})}};
  for (const auto& session : watches_) WriteChunk(*session, change.dump() + "\n");
}

nlohmann::json Discovery::List() const {
  nlohmann::json instances = nlohmann::json::array();
  for (const auto& [id, entry] : entries_) instances.push_back(entry);
  return {{"generation", generation_}, {"reset", true}, {"instances", instances}};
}

}  // namespace merlinrun::rig
