// HTTP/1.1 connection pool for the servers: one request at a time on each connection, most recently used
// first. Sends each attempt once and reports its result; never retries by itself.
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

struct UpstreamResult {
  Result result = Result::kUnreachable;
  HttpResponse response;            // of interest after a success; complete, unless `body_pipe` is set
  MemoryReservation reservation;    // for the body
  std::shared_ptr<Pipe> body_pipe;  // streams the body; null: the body is in `response`
  std::optional<std::uint64_t> content_length;  // of a streamed body, if the server states it
  bool cannot_retry = false;                    // the streamed request body has been consumed
};

struct UpstreamRequest {
  HttpRequest message;                               // complete, unless `body_pipe` is set
  std::shared_ptr<Pipe> body_pipe = nullptr;         // streams the body; null: the body is in `message`
  std::optional<std::uint64_t> content_length = {};  // of a streamed body; none: chunked
};

class Upstream {
 public:
  using AttemptId = std::uint64_t;
  using Done = std::function<void(UpstreamResult)>;
  struct Limits {
    Micros idle_timeout = 0;     // 0 = idle connections are kept until the server closes them
    Micros connect_timeout = 0;  // 0 = as long as the attempt lasts
    // An idle connection is only reused after this delay, so that unexpected data after the last response is
    // noticed first.
    Micros reuse_delay = 25'000;
    std::size_t max_connections = 512;
    // Time without progress of a streamed body, in either direction, after which the attempt fails.
    Micros stall_timeout = 6'000'000;
  };

  // Counts completely written attempts in `counters`. The references must outlive this.
  Upstream(asio::io_context& io, Limits limits, MemoryBudget& budget, stats::Counters& counters);
  ~Upstream();
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  // Closes the idle connections of servers that are draining, removed, moved or restarted. Attempts in flight
  // finish.
  void UpdateEndpoints(const EndpointList& list);

  // Starts an attempt. `done` is called once from the loop, never from inside Send, unless the attempt is
  // cancelled.
  AttemptId Send(const std::string& server, UpstreamRequest request, Done done);
  // Cancels an attempt by closing its connection; its `done` is not called after this.
  void CancelAttempt(AttemptId attempt);

  // Closes idle connections above the new limit.
  void SetMaxConnections(std::size_t connections);
  void CloseIdleConnections();

  bool has_servers() const { return !servers_.empty(); }
  std::size_t open_connections() const { return open_connections_; }

 private:
  class Connection;
  struct Server;
  using ConnectionPtr = std::shared_ptr<Connection>;

  static void UpdateServer(Server& server, const Endpoint& endpoint);
  ConnectionPtr TakeIdleConnection(Server& server);
  bool CloseOldestIdle();
  AttemptId FailAsync(Done done, bool body_consumed);
  void ReturnToPool(const ConnectionPtr& connection);
  void RemoveConnection(const Connection& connection);
  void ScheduleSweep();
  void CloseExpiredConnections();

  asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  stats::Counters& counters_;
  asio::steady_timer sweep_timer_;
  bool sweeping_ = false;
  std::size_t open_connections_ = 0;
  AttemptId last_attempt_ = 0;
  std::unordered_map<std::string, std::shared_ptr<Server>> servers_;
  std::unordered_set<ConnectionPtr> streaming_connections_;           // with a streamed response
  std::unordered_map<AttemptId, ConnectionPtr> attempt_connections_;  // null: failed, result posted
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_UPSTREAM_HPP_
