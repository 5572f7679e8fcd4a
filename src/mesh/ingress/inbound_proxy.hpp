// The inbound proxy beside a server, on sockets. What it decides is AdmissionQueue's.
#ifndef FENNELHOLLOW_MESH_INGRESS_INBOUND_PROXY_HPP_
#define FENNELHOLLOW_MESH_INGRESS_INBOUND_PROXY_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/loop.hpp"
#include "mesh/ingress/admission_queue.hpp"
#include "mesh/ingress/proxy_protocol.hpp"
#include "mesh/ingress/server_connection_pool.hpp"
#include "mesh/registry/registry.hpp"
#include "mesh/transport/link.hpp"

namespace fennelhollow::ingress {

class InboundProxy {
 public:
  struct Settings {
    std::uint64_t life = 0;  // of this process
    AdmissionQueue::Room room;
  };
  struct Callbacks {
    // The life of the server with this id that takes work now, or null.
    std::function<const registry::Server*(const std::string& id)> find;
    // A server could not be reached at all: nothing listens there.
    std::function<void(const std::string& id)> dead;
    // False: nothing new is passed on (this process is about to end).
    std::function<bool()> takes;
    // A flow can be judged for its least share of a server. May be empty.
    std::function<void(const FlowInterval&)> on_span;
  };
  struct Counters {
    std::uint64_t attempts = 0, forwarded = 0, queued = 0, rejected = 0, resets = 0, malformed_responses = 0,
                  withdrawn = 0, cancelled = 0;
  };

  InboundProxy(asio::io_context& io, merlinrun::core::Loop& loop, Settings settings, Callbacks outside);
  ~InboundProxy();

  // Takes a link whose Hello said kHop.
  void Serve(std::shared_ptr<transport::Link> link);
  // A life of the server takes no more work: what waits for it is turned away.
  void OnServerNotReady(const std::string& id);
  std::size_t in_flight() const { return held_.size(); }
  // Of the runs at the server now, the share that are repeats (0 to 1).
  double retry_share() const;
  const Counters& counters() const { return counters_; }
  const ServerPool& pool() const { return pool_; }

 private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;
  struct Held;

  void OnFrame(const SessionPtr& session, std::string_view frame);
  void OnAttempt(const SessionPtr& session, Attempt attempt);
  void Admit(const SessionPtr& session);
  void Pass(const Ticket& ticket);
  void TurnAway(const Ticket& ticket, Why why);
  void End(const Ticket& ticket);
  void Pump();
  void PumpLater();
  void OnClosed(const SessionPtr& session);

  merlinrun::core::Loop& loop_;
  const Settings settings_;
  const Callbacks outside_;
  AdmissionQueue admission_;
  ServerPool pool_;
  Counters counters_;
  std::set<SessionPtr> sessions_;
  std::map<Ticket, std::unique_ptr<Held>> held_;
  std::size_t repeats_ = 0, runs_ = 0;
  std::unique_ptr<merlinrun::core::Timer> timer_;
  bool timed_ = false;
};

}  // namespace fennelhollow::ingress

#endif  // FENNELHOLLOW_MESH_INGRESS_INBOUND_PROXY_HPP_
