// HTTP/1.1 towards the clients: accepts connections, reads requests, writes responses.
#ifndef MERLINRUN_NET_DOWNSTREAM_HPP_
#define MERLINRUN_NET_DOWNSTREAM_HPP_

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "memory_budget.hpp"
#include "merlinrun/balancer.hpp"
#include "pipe.hpp"
#include "protocol.hpp"
#include "stats/counters.hpp"
#include "validate.hpp"

namespace merlinrun::net {

class Downstream {
 public:
  // One client connection, with at most one request in progress.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Limits {
    std::size_t max_sessions = 256;  // plus a few more while they are being rejected
    // Times in microseconds. Received bytes do not extend any of them, except for bodies, which have to keep
    // up with `min_body_rate`.
    Micros header_timeout = 2'500'000;     // from the connection, or on a reused one from the first byte
    Micros body_grace = 2'000'000;         // from the end of the header until `min_body_rate` is enforced
    Micros body_idle_timeout = 2'000'000;  // between two pieces of a body
    double min_body_rate = 48'000;         // bytes per second, averaged over the body
    Micros response_timeout = 5'000'000;   // for the client to read its response
    Micros stall_timeout = 8'000'000;      // for the client to read any part of a streamed response
    Micros idle_timeout = 6'000'000;       // of a connection between requests
    Micros min_idle_time = 2'000'000;      // connections idle for less are closed last when over the limit
    Micros linger_timeout = 1'000'000;     // for the client to read the last response of a connection
    Micros sweep_interval = 200'000;       // how often the timeouts are checked
  };
  struct Request {
    HttpRequest message;                          // complete, unless `body_pipe` is set
    std::shared_ptr<Pipe> body_pipe;              // streams the body; null: the body is in `message`
    std::optional<std::uint64_t> content_length;  // of a streamed body, if the client states it
    Micros upload_time = 0;                       // the longest that the rest of the body may take
  };
  struct Events {
    // Answered by one call of Respond, Stream or Reject, from inside the callback or later. The last
    // parameter is the result of `class_of`.
    std::function<void(const SessionPtr&, Request, int)> on_request;
    // The body of a streamed request is complete.
    std::function<void(const std::string& request)> on_request_complete;
    // The index of the request's class; -1 if it is unknown.
    std::function<int(const RequestHeader&)> class_of;
    std::function<void(const std::string& request)> on_client_gone;  // disconnected during its request
    std::function<bool()> ready;
  };

  struct ListenOptions {
    Tcp::endpoint address;
    bool reuse_port = false;  // SO_REUSEPORT: share the address with another process of the same user
    // A listening descriptor to take ownership of; -1 = none: the address is bound and accepting starts at
    // once. With an inherited descriptor accepting starts with ResumeAccepting.
    int inherited_fd = -1;
  };

  // Throws boost::system::system_error if the address cannot be listened on. `budget` and `counters` must
  // outlive this.
  Downstream(asio::io_context& io, const ListenOptions& options, Limits limits, MemoryBudget& budget,
             stats::Counters& counters, Events events);
  ~Downstream();
  Downstream(const Downstream&) = delete;
  Downstream& operator=(const Downstream&) = delete;

  // Answers the session's request; `reservation` is held until the response is written. Does nothing if the
  // client has disconnected.
  static void Respond(const SessionPtr& session, HttpResponse response, MemoryReservation reservation = {});
  // Answers with a streamed body. If the body is aborted, the client's connection is reset.
  static void Stream(const SessionPtr& session, HttpResponse head, std::shared_ptr<Pipe> body,
                     std::optional<std::uint64_t> length, MemoryReservation reservation);
  // Answers an invalid request and closes the connection, as its framing can't be trusted any more.
  static void Reject(const SessionPtr& session, const RequestError& error_response);

  // While draining, every response closes its connection.
  void SetDraining(bool draining) { draining_ = draining; }
  // Accepts the connections in the backlog, then closes the listener.
  void StopAccepting();
  // Leaves the backlog to another process that accepts on the same descriptor.
  void PauseAccepting();
  void ResumeAccepting();
  int listener() { return acceptor_.native_handle(); }
  // Closes idle sessions above the new limit.
  void SetMaxSessions(std::size_t sessions);
  // Closes the sessions that have been idle for at least `min_idle` microseconds.
  void CloseIdle(Micros min_idle);

  std::size_t sessions() const { return sessions_.size(); }
  Tcp::endpoint address() const { return address_; }

 private:
  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void Add(Tcp::socket socket);
  bool CloseOneConnection();
  void Remove(const Session& session);
  void ScheduleSweep();
  void CloseExpiredSessions();

  asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  stats::Counters& counters_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer accept_retry_timer_;
  asio::steady_timer sweep_timer_;
  bool sweeping_ = false;
  bool draining_ = false;
  bool accepting_paused_ = false;
  std::array<char, kReadSize> input_{};  // shared by all sessions; only used within one handler
  std::list<SessionPtr> sessions_;       // ordered by the time of the last response, oldest first
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_DOWNSTREAM_HPP_
