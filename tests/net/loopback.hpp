// Shared by the tests of the sidecar: running a loop with a timeout, scripted servers and clients on loopback
// addresses with ephemeral ports, and a configuration.
#ifndef MERLINRUN_TESTS_NET_LOOPBACK_HPP_
#define MERLINRUN_TESTS_NET_LOOPBACK_HPP_

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "net/config.hpp"
#include "net/protocol.hpp"

namespace merlinrun::net::testing {

using namespace std::chrono_literals;

// Runs the loop until `done` returns true. Returns false on timeout, which is ample even on a busy machine.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& done,
                     std::chrono::milliseconds timeout = 20s) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  io.restart();
  while (!done()) {
    if (std::chrono::steady_clock::now() > end) return false;
    io.run_one_for(20ms);
    if (io.stopped()) io.restart();
  }
  return true;
}

inline void RunFor(asio::io_context& io, std::chrono::milliseconds time) {
  const auto end = std::chrono::steady_clock::now() + time;
  RunUntil(io, [&] { return std::chrono::steady_clock::now() >= end; });
}

inline Tcp::endpoint Loopback() { return {asio::ip::make_address("127.0.0.1"), 0}; }

// The other end of a connection: records what it reads and writes on request.
class Peer : public std::enable_shared_from_this<Peer> {
 public:
  explicit Peer(Tcp::socket connected) : socket(std::move(connected)) {}

  void Read() {
    socket.async_read_some(asio::buffer(input_), [self = shared_from_this()](ErrorCode error, std::size_t n) {
      if (error) {
        self->ended = true;
        return;
      }
      self->received.append(self->input_.data(), n);
      if (self->on_data) self->on_data(*self);
      self->Read();
    });
  }
  void Write(const std::string& text) {
    ErrorCode ignored;
    asio::write(socket, asio::buffer(text), ignored);
  }
  void Close() {
    ErrorCode ignored;
    socket.close(ignored);
  }
  void Reset() {
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  // Number of complete headers read so far.
  int requests() const {
    int count = 0;
    for (std::size_t at = received.find("\r\n\r\n"); at != std::string::npos;
         at = received.find("\r\n\r\n", at + 4))
      ++count;
    return count;
  }

  Tcp::socket socket;
  std::string received;
  bool ended = false;
  std::function<void(Peer&)> on_data;

 private:
  std::array<char, 65536> input_{};
};

// Listens and calls `on_data` for data on any connection.
class ScriptedServer {
 public:
  explicit ScriptedServer(asio::io_context& io, std::function<void(Peer&)> script = {})
      : on_data(std::move(script)), acceptor_(io, Loopback()) {
    address = acceptor_.local_endpoint();
    Accept();
  }
  ~ScriptedServer() {
    for (auto& peer : peers) peer->on_data = nullptr, peer->Close();
  }
  void StopListening() { acceptor_.close(); }
  int requests() const {
    int count = 0;
    for (const auto& peer : peers) count += peer->requests();
    return count;
  }

  std::function<void(Peer&)> on_data;
  Tcp::endpoint address;
  std::vector<std::shared_ptr<Peer>> peers;

 private:
  void Accept() {
    acceptor_.async_accept([this](ErrorCode error, Tcp::socket socket) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(socket)));
      peers.back()->on_data = [this](Peer& peer) {
        if (on_data) on_data(peer);
      };
      peers.back()->Read();
      Accept();
    });
  }

  Tcp::acceptor acceptor_;
};

inline std::string Reply(const std::string& status, const std::string& body,
                         const std::string& headers = "") {
  return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Responds to each request with 200 and `body`.
inline std::function<void(Peer&)> Serves(const std::string& body) {
  return [body, answered = std::make_shared<std::vector<std::pair<const Peer*, int>>>()](Peer& peer) {
    auto it =
        std::find_if(answered->begin(), answered->end(), [&](const auto& e) { return e.first == &peer; });
    if (it == answered->end()) it = answered->insert(answered->end(), {&peer, 0});
    for (; it->second < peer.requests(); ++it->second) peer.Write(Reply("200 OK", body));
  };
}

inline std::shared_ptr<Peer> Connect(asio::io_context& io, const Tcp::endpoint& address) {
  auto peer = std::make_shared<Peer>(Tcp::socket(io));
  peer->socket.connect(address);
  peer->Read();
  return peer;
}

inline nlohmann::json Entry(const std::string& id, const Tcp::endpoint& address,
                            const std::string& lifecycle = "up", std::int64_t started_ms = 0,
                            const std::string& zone = "east") {
  return {{"instanceId", id}, {"hostPort", FormatAddress(address)},
          {"zone", zone},     {"machineType", "std"},
          {"cell", 1},        {"lifecycle", lifecycle},
          {"weight", 1.0},    {"startedAtMs", started_ms}};
}

inline nlohmann::json List(std::int64_t generation, bool reset,
                           const std::vector<nlohmann::json>& instances) {
  return {{"generation", generation}, {"reset", reset}, {"instances", instances}};
}

inline nlohmann::json Class(const std::string& name, const std::string& repeat) {
  return {{"name", name},      {"aim_us", 1000000},    {"hard_limit_us", 5000000},
          {"importance", 1.0}, {"repeat", repeat},     {"group", "all"},
          {"late_value", 0.5}, {"window_us", 5000000}, {"stream", false}};
}

inline nlohmann::json ConfigJson(const Tcp::endpoint& discovery,
                                 const std::vector<nlohmann::json>& instances) {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:1"},
          {"discovery", FormatAddress(discovery)},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known", List(1, true, instances)},
          {"settings",
           {{"allowed",
             {{"cancel", true},
              {"conn_idle_us", 60000000},
              {"dial_timeout_us", 250000},
              {"max_attempts", 5},
              {"retry_after", true},
              {"max_retry_after_us", 2000000}}},
            {"azs", {"east", "west"}},
            {"host_types", {"std"}},
            {"my_zone", "east"},
            {"grades",
             {Class("look", "idempotent"), Class("pay", "deduplicated"), Class("port", "at_most_once")}},
            {"membership_mode", "automatic"},
            {"quantum_us", 5000},
            {"rank", 0},
            {"siblings", 1},
            {"rules",
             {{"drain_grace_us", 500000},
              {"cold_from", 0.3},
              {"warm_after_us", 8000000},
              {"overload_factor", 4.0},
              {"fall_us", 2000000}}},
            {"tenants", nlohmann::json::array()}}}};
}

}  // namespace merlinrun::net::testing

#endif  // MERLINRUN_TESTS_NET_LOOPBACK_HPP_
