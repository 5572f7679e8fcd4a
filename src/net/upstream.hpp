// Connections to the servers: one request on each at a time, the most recently used first. Carries out an
// attempt exactly once and says what became of it; never sends one again by itself.
#ifndef MERLINRUN_NET_UPSTREAM_HPP_
#define MERLINRUN_NET_UPSTREAM_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "discovery.hpp"
#include "memory_budget.hpp"
#include "merlinrun/balancer.hpp"
#include "pipe.hpp"
#include "protocol.hpp"
#include "stats/counters.hpp"

namespace merlinrun::net {

struct UpstreamAnswer {
  Result result = Result::kUnreachable;
  HttpResponse response;                // whole, unless `rest` is there; of interest after a success
  MemoryReservation charge;             // for its body
  std::shared_ptr<Pipe> rest;           // the body, of which more comes; null: it is in `response`
  std::optional<std::uint64_t> length;  // of the body in `rest`, if its server says so
  bool spent = false;                   // the request's own bytes are gone
};

// A request on its way to a server.
struct UpstreamRequest {
  HttpRequest head;                          // whole, unless `rest` is there
  std::shared_ptr<Pipe> rest = nullptr;      // the body, of which more comes; null: it is in `head`
  std::optional<std::uint64_t> length = {};  // of the body in `rest`; none: it goes in chunks
};

class Upstream {
 public:
  using AttemptId = std::uint64_t;
  using Done = std::function<void(UpstreamAnswer)>;
  struct Limits {
    Micros keep_idle = 0;     // an idle connection is closed after so long; 0 = only when its peer does
    Micros dial_timeout = 0;  // 0 = as long as the attempt lasts
    // An idle connection is used again after so long: what its server sent beyond its last answer has come by
    // then and shows that it is of no further use.
    Micros rest = 25'000;
    std::size_t connections = 512;
    // A server that neither gives nor takes anything of a large body for so long is given up.
    Micros stall = 6'000'000;
  };

  // Attempts that are written whole are counted. The references must outlive it.
  Upstream(asio::io_context& io, Limits limits, MemoryBudget& budget, stats::Counters& counters);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Takes a list. A server that drains, is gone, has moved or has restarted loses its idle connections; what
  // is under way on the others finishes.
  void Apply(const EndpointList& list);

  // Starts an attempt. `done` is called once, from the loop and never from in here, unless it is given up.
  AttemptId Send(const std::string& server, UpstreamRequest request, Done done);
  // Ends an attempt by closing its connection; its `done` is not called any more.
  void GiveUp(AttemptId attempt);

  // Connections from now on; as many idle ones as there are too many are closed.
  void SetMost(std::size_t connections);
  // Closes those that are idle.
  void CloseIdle();

  bool any_server() const { return !servers_.empty(); }
  std::size_t open_connections() const { return open_; }

 private:
  class Connection;
  struct Server;
  using ConnectionPtr = std::shared_ptr<Connection>;

  static void Update(Server& server, const Endpoint& endpoint);
  ConnectionPtr TakeIdle(Server& server);
  bool MakeRoom();
  AttemptId FailLater(Done done, bool spent);
  void Release(const ConnectionPtr& connection);
  void Forget(const Connection& connection);
  void SweepLater();
  void Sweep();

  asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  stats::Counters& counters_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  std::size_t open_ = 0;
  AttemptId last_attempt_ = 0;
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::unordered_set<ConnectionPtr> streams_;              // whose answers are passed on while they come
  std::unordered_map<AttemptId, ConnectionPtr> attempts_;  // null: it has failed, which is about to be told
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_UPSTREAM_HPP_
