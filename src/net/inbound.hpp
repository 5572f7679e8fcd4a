// The application's side: accepts its connections, reads requests, writes answers.
#ifndef MERLINRUN_NET_INBOUND_HPP_
#define MERLINRUN_NET_INBOUND_HPP_

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "protocol.hpp"

namespace merlinrun::net {

class Inbound {
 public:
  // One connection of the application, with at most one request at a time.
  class Session;
  using SessionPtr = std::shared_ptr<Session>;

  struct Events {
    // The request is answered by one call of Respond, from in here or later.
    std::function<void(const SessionPtr&, HttpRequest)> on_request;
    std::function<void(const SessionPtr&)> on_gone;  // the client left during its request
    std::function<bool()> ready;
  };

  // Throws boost::system::system_error if the address cannot be listened on.
  Inbound(asio::io_context& io, const Tcp::endpoint& address, std::size_t most_sessions, Events events);
  ~Inbound();
  Inbound(const Inbound&) = delete;
  Inbound& operator=(const Inbound&) = delete;

  // Answers the session's request. Does nothing if the client has gone.
  static void Respond(const SessionPtr& session, HttpResponse response);

  // From now on each answer closes its connection.
  void Drain();
  // Accepts what has connected already, then no more.
  void StopAccepting();
  // Closes the connections that are between requests.
  void CloseIdle();

  std::size_t sessions() const { return sessions_.size(); }
  Tcp::endpoint address() const { return address_; }

 private:
  void Accept();
  void OnAccepted(ErrorCode error, Tcp::socket socket);
  void Add(Tcp::socket socket);
  bool CloseOneIdle();
  void Remove(const Session& session);

  asio::io_context& io_;
  const std::size_t most_sessions_;
  const Events events_;
  Tcp::acceptor acceptor_;
  Tcp::endpoint address_;
  asio::steady_timer pause_;
  bool accepting_ = false;
  bool draining_ = false;
  std::list<SessionPtr> sessions_;  // the one whose last answer is oldest first
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_INBOUND_HPP_
