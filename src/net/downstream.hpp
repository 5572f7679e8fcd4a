// The application's side: accepts its connections, reads requests, writes answers.
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

class Inbound {
 public:
  // One connection of the application, with at most one request at a time.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Limits {
    std::size_t sessions = 256;  // and a few more for as long as it takes to turn them away
    // Times, in microseconds. Each counts from a beginning that the client cannot move, and what trickles in
    // extends none of them but a body's, which earns its time by the byte.
    Micros head = 2'500'000;  // from its connection, or on a kept one its first byte, to its head's last
    Micros body_grace = 2'000'000;  // from there until its body has to keep up with `body_rate`
    Micros body_pause = 2'000'000;  // between two pieces of a body
    double body_rate = 48'000;      // bytes a second that a body comes at, or faster, over all
    Micros answer = 5'000'000;      // for the client to read its answer
    Micros stall = 8'000'000;       // for it to take anything of a large answer
    Micros idle = 6'000'000;        // for a kept connection between requests
    Micros idle_least = 2'000'000;  // where room is short, one that has been idle for less is closed last
    Micros linger = 1'000'000;      // for the client to read the answer that closes its connection
    Micros sweep = 200'000;         // how often the times are looked at
  };
  // A request as it has been read.
  struct Request {
    HttpRequest head;                     // whole, unless `rest` is there
    std::shared_ptr<Pipe> rest;           // the body, of which more comes; null: it is in `head`
    std::optional<std::uint64_t> length;  // of the body in `rest`, if the client says so
    Micros upload = 0;                    // how long the rest may take to come
  };
  struct Events {
    // The request is answered by one call of Respond or Reject, from in here or later. The number is its
    // class's, as class_of gave it.
    std::function<void(const SessionPtr&, Request, int)> on_request;
    // The last byte has come of a request that was told of while more of it came.
    std::function<void(const std::string& request)> on_whole;
    // The class of a request by its header; -1 if there is no such class.
    std::function<int(const RequestHeader&)> class_of;
    std::function<void(const std::string& request)> on_gone;  // the client left during its request
    std::function<bool()> ready;
  };

  struct Listening {
    Tcp::endpoint address;
    bool shared = false;  // with another process of the same user that shares it too (SO_REUSEPORT)
    // A descriptor that listens already, which passes to the Inbound; it does not accept before
    // ResumeAccepting. -1 = none: the address is bound, and accepted on at once.
    int inherited = -1;
  };

  // Throws boost::system::system_error if the address cannot be listened on.
  // Requests and their ends are counted in `counters`. Both references must outlive it.
  Inbound(asio::io_context& io, const Listening& listening, Limits limits, MemoryBudget& budget,
          stats::Counters& counters, Events events);
  ~Inbound();
  Inbound(const Inbound&) = delete;
  Inbound& operator=(const Inbound&) = delete;

  // Answers the session's request; `charge` is held until the answer is written. Does nothing if the client
  // has gone.
  static void Respond(const SessionPtr& session, HttpResponse response, MemoryReservation charge = {});
  // The same with a body that comes still. When that breaks off, so does the client's connection.
  static void Stream(const SessionPtr& session, HttpResponse head, std::shared_ptr<Pipe> body,
                     std::optional<std::uint64_t> length, MemoryReservation charge);
  // The same for a request that is wrong: its connection is closed, as what is behind it cannot be trusted.
  static void Reject(const SessionPtr& session, const RequestError& fault);

  // While it drains each answer closes its connection.
  void SetDraining(bool draining) { draining_ = draining; }
  // Accepts what has connected already, then no more.
  void StopAccepting();
  // Leaves what has connected and what will to whoever else accepts on the descriptor, and back.
  void PauseAccepting();
  void ResumeAccepting();
  int listener() { return acceptor_.native_handle(); }
  // Connections from now on; as many idle ones as there are too many are closed.
  void SetMost(std::size_t sessions);
  // Closes the connections that have been between requests for so long.
  void CloseIdle(Micros rested);

  std::size_t sessions() const { return sessions_.size(); }
  Tcp::endpoint address() const { return address_; }

 private:
  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void Add(Tcp::socket socket);
  bool MakeRoom();
  void Remove(const Session& session);
  void SweepLater();
  void Sweep();

  asio::io_context& io_;
  Limits limits_;
  MemoryBudget& budget_;
  stats::Counters& counters_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer pause_;
  asio::steady_timer sweep_;
  bool sweeping_ = false;
  bool draining_ = false;
  bool paused_ = false;
  std::array<char, kReadSize> input_{};  // one for all: it holds nothing from one handler to the next
  std::list<SessionPtr> sessions_;       // the one whose last answer is oldest first
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_DOWNSTREAM_HPP_
