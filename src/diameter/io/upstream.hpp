// Diameter towards the servers: one connection to each that is needed, many requests on it at once, matched
// by hop-by-hop id. Carries out attempts as core::Egress has it.
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

// A server as the list has it.
struct ServerAddress {
  ServerInfo info;
  std::optional<Tcp::endpoint> address;  // none: it does not speak Diameter
};

class Upstream : public core::Egress {
 public:
  struct Limits {
    Micros connect = 2'000'000;  // from dialling to the end of the capabilities exchange
    std::size_t connections = 256;
    Connection::Limits connection;
  };
  // Opens connections, plain or over TLS.
  using Connector = std::function<std::function<void()>(const Tcp::endpoint&, const std::string& host,
                                                        std::function<void(ConnectionPtr)>)>;
  // Called from the loop when the answer of Usable has changed for a server, other than by Apply.
  using OnUsable = std::function<void(const std::string& server)>;

  Upstream(core::Loop& loop, const Application& application, const Identity& self, Limits limits,
           std::uint64_t seed, Connector connector, OnUsable on_usable);
  ~Upstream() override;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Takes a list, whole or changed entries alone. What is new, has moved or has restarted begins anew; what
  // drains or is gone is sent nothing new, and is parted from when it has answered what is out.
  void Apply(bool whole, const std::vector<ServerAddress>& servers);

  AttemptId Send(const std::string& server, const core::Message& request, const SendOptions& order,
                 Done done) override;
  void CancelAttempt(AttemptId attempt) override;
  // Attempts that are handed to a connection are counted there from now on.
  void CountIn(stats::Counters& counters) { counters_ = &counters; }

  // A server that has connected by itself; none if no server goes by that name.
  std::optional<Peer::Verdict> Adopt(const ConnectionPtr& connection, const Message& cer,
                                     const PeerCapabilities& remote);

  // Whether requests may be sent to it: it is listed with an address, and not down, suspect or on probation.
  bool Usable(const std::string& server) const;
  std::size_t open_connections() const;  // those included that are being opened

 private:
  struct Server;
  struct Pending;

  void Begin(Server& server);
  void OnMessage(Server& server, Message message);
  void OnBad(Server& server, const MalformedMessage& bad);
  void OnChange(Server& server);
  void Start(Server& server, AttemptId attempt);
  void Resolve(AttemptId attempt, Result result, std::optional<Message> answer);
  void ResolveLater(AttemptId attempt, Result result);
  void PartIfIdle(Server& server);
  void Tell(Server& server);
  std::optional<AttemptId> Match(Server& server, std::uint32_t hop_by_hop) const;

  core::Loop& loop_;
  const Application& application_;
  const Identity& self_;
  const Limits limits_;
  const Connector connector_;
  const OnUsable on_usable_;
  std::mt19937_64 random_;
  AttemptId last_attempt_ = 0;
  stats::Counters* counters_ = nullptr;  // null: nobody counts
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::unordered_map<AttemptId, Pending> pending_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_UPSTREAM_HPP_
