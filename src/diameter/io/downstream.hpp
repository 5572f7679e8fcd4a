// Diameter towards the clients: listens, exchanges capabilities, lets in who is listed, and hands requests to
// the core. What is sent again gets the outcome of the first, see Recall; so a client that leaves does not
// end its request, which goes on until it has its outcome.
#ifndef MERLINRUN_DIAMETER_IO_DOWNSTREAM_HPP_
#define MERLINRUN_DIAMETER_IO_DOWNSTREAM_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/protocol_listener.hpp"
#include "core/request_manager.hpp"
#include "diameter/application.hpp"
#include "diameter/duplicate_cache.hpp"
#include "diameter/io/peer_session.hpp"
#include "diameter/io/upstream.hpp"
#include "net/memory_budget.hpp"
#include "stats/counters.hpp"

namespace merlinrun::diameter {

class Downstream : public core::ProtocolListener {
 public:
  struct Limits {
    // Connections that have not said who they are; one more makes the oldest of them go.
    std::size_t strangers = 32;
    Micros introduction = 5'000'000;  // for a CER to come
    Connection::Limits connection;
  };
  // Makes a connection of an accepted socket; null if it can't be had.
  using Wrap = std::function<void(Tcp::socket, std::function<void(ConnectionPtr)>)>;
  struct Listener {
    Tcp::endpoint address;
    Wrap wrap;
  };

  // Throws boost::system::system_error if an address cannot be listened on. All that it is given must outlive
  // it.
  Downstream(boost::asio::io_context& io, core::Loop& loop, const std::vector<Listener>& listeners,
             Limits limits, const Application& application, const Identity& self, net::MemoryBudget& budget,
             stats::Counters& counters, core::RequestManager& exchanges, Upstream& upstream,
             std::uint64_t seed);
  ~Downstream() override;
  Downstream(const Downstream&) = delete;
  Downstream& operator=(const Downstream&) = delete;

  // While it drains, clients that have nothing under way are told that it is busy (RFC 6733, 5.4.3).
  void SetDraining(bool draining) override;
  void StopAccepting() override;
  // Its listeners are not handed on: it goes on accepting until it stops.
  void PauseAccepting() override {}
  void ResumeAccepting() override {}
  void CloseIdle(Micros rested) override;
  std::size_t sessions() const override;

  Tcp::endpoint address(std::size_t listener = 0) const;
  std::size_t cached_requests() const { return duplicates_.entries(); }

 private:
  struct Stranger;
  struct Client;
  class Caller;
  struct Port;

  void Accept(Port& port);
  void Greet(const ConnectionPtr& connection);
  void OnIntroduction(std::uint64_t stranger, std::string_view frame);
  void TurnAway(std::uint64_t stranger, const Header& header, std::string_view avps,
                const MessageError& fault);
  void OnRequest(Client& client, Message request);
  // Looks whether the request has been here before; true if it has been dealt with by that.
  bool Recalled(Client& client, const Message& request, const RequestKey& key, std::uint64_t digest,
                const DuplicateCache::Waiter& waiter);
  // Answers by this node's own words.
  void Say(Client& client, const Message& request, ResultCode code, const char* text);
  void Finish(const RequestKey& key, const Message& answer, const std::string& proxy_info, bool keep);
  void OnChange(Client& client);
  void PartIfIdle(Client& client);

  core::Loop& loop_;
  const Limits limits_;
  const Application& application_;
  const Identity& self_;
  net::MemoryBudget& budget_;
  stats::Counters& counters_;
  core::RequestManager& exchanges_;
  Upstream& upstream_;
  DuplicateCache duplicates_;
  std::uint64_t seed_;
  std::uint64_t last_connection_ = 0;
  std::list<std::unique_ptr<Port>> ports_;
  std::map<std::uint64_t, std::unique_ptr<Stranger>> strangers_;      // the oldest first
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;  // by Origin-Host in lower case
  std::unordered_map<std::uint64_t, Client*> by_connection_;          // those that are open
  bool parting_ = false;
  bool stopping_ = false;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_DOWNSTREAM_HPP_
