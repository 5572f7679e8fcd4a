// Diameter connections to servers: one per server in use, with concurrent requests matched by hop-by-hop id.
// Implements core::Egress.
#ifndef MERLINRUN_DIAMETER_IO_UPSTREAM_HPP_
#define MERLINRUN_DIAMETER_IO_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/request_manager.hpp"
#include "diameter/application.hpp"
#include "diameter/io/peer_session.hpp"
#include "stats/counters.hpp"

namespace merlinrun::diameter {

// A server from the endpoint list.
struct ServerAddress {
  ServerInfo info;
  std::optional<Tcp::endpoint> address;  // none if it has no Diameter port
};

class Upstream : public core::Egress {
 public:
  struct Limits {
    Micros connect_timeout = 2'000'000;  // for dialling and the capabilities exchange
    std::size_t max_connections = 256;
    Connection::Limits connection;
  };
  // Opens connections, with or without TLS; returns a function that cancels.
  using Connector = std::function<std::function<void()>(const Tcp::endpoint&, const std::string& host,
                                                        std::function<void(ConnectionPtr)>)>;
  // Called from the event loop when Usable changes for a server other than by Apply.
  using UsableChanged = std::function<void(const std::string& server)>;

  Upstream(core::Loop& loop, const Application& application, const Identity& self, Limits limits,
           std::uint64_t seed, Connector connector, UsableChanged usable_changed);
  ~Upstream() override;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Applies an endpoint list, complete or with changed entries only. New, moved and restarted servers get a
  // new session. Draining and removed ones get no new requests and are disconnected when their pending
  // requests are answered.
  void Apply(bool is_full_list, const std::vector<ServerAddress>& servers);

  AttemptId Send(const std::string& server, const core::Message& request, const SendOptions& options,
                 Done done) override;
  void CancelAttempt(AttemptId attempt) override;
  // Sets the counters for attempts that are sent.
  void SetCounters(stats::Counters& counters) { counters_ = &counters; }

  // Takes over an incoming connection from a server; none if no server has that name.
  std::optional<Peer::IncomingResult> Adopt(const ConnectionPtr& connection, const Message& cer,
                                            const PeerCapabilities& remote);

  // Whether requests may be sent: listed with an address, and not down, suspect or on probation.
  bool Usable(const std::string& server) const;
  std::size_t open_connections() const;  // including those being opened

 private:
  struct Server;
  struct Pending;

  void CreateSession(Server& server);
  void OnMessage(Server& server, Message message);
  void OnMalformed(Server& server, const MalformedMessage& bad);
  void OnSessionChanged(Server& server);
  void SendAttempt(Server& server, AttemptId attempt);
  void Resolve(AttemptId attempt, Result result, std::optional<Message> answer);
  void ResolveLater(AttemptId attempt, Result result);
  void DisconnectIfIdle(Server& server);
  void UpdateUsable(Server& server);
  std::optional<AttemptId> FindAttempt(Server& server, std::uint32_t hop_by_hop) const;

  core::Loop& loop_;
  const Application& application_;
  const Identity& self_;
  const Limits limits_;
  const Connector connector_;
  const UsableChanged usable_changed_;
  std::mt19937_64 random_;
  AttemptId last_attempt_ = 0;
  stats::Counters* counters_ = nullptr;  // null: not counted
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::unordered_map<AttemptId, Pending> pending_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_UPSTREAM_HPP_
