// Diameter listener for clients: accepts connections, exchanges capabilities, admits listed clients and
// submits their requests to the core. A retransmission gets the outcome of the first request (see
// DuplicateCache), so a request continues when its client disconnects.
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
    // Connections without a CER yet; one more closes the oldest.
    std::size_t max_unidentified = 32;
    Micros cer_timeout = 5'000'000;  // for the CER to arrive
    Connection::Limits connection;
  };
  // Creates a connection from an accepted socket; null on failure.
  using ConnectionFactory = std::function<void(Tcp::socket, std::function<void(ConnectionPtr)>)>;
  struct Listener {
    Tcp::endpoint address;
    ConnectionFactory connection_factory;
  };

  // Throws boost::system::system_error if an address can't be bound. The arguments must outlive this object.
  Downstream(boost::asio::io_context& io, core::Loop& loop, const std::vector<Listener>& listeners,
             Limits limits, const Application& application, const Identity& self, net::MemoryBudget& budget,
             stats::Counters& counters, core::RequestManager& request_manager, Upstream& upstream,
             std::uint64_t seed);
  ~Downstream() override;
  Downstream(const Downstream&) = delete;
  Downstream& operator=(const Downstream&) = delete;

  // While draining, clients without pending requests are disconnected with cause BUSY (RFC 6733, 5.4.3).
  void SetDraining(bool draining) override;
  void StopAccepting() override;
  // The listeners aren't handed over on an upgrade: accepting continues until StopAccepting.
  void PauseAccepting() override {}
  void ResumeAccepting() override {}
  void CloseIdle(Micros rested) override;
  std::size_t sessions() const override;

  Tcp::endpoint address(std::size_t listener = 0) const;
  std::size_t cached_requests() const { return duplicates_.entries(); }

 private:
  struct UnidentifiedConnection;
  struct Client;
  class ClientResponseSink;
  struct ListenSocket;

  void Accept(ListenSocket& listen_socket);
  void AwaitCer(const ConnectionPtr& connection);
  void OnFirstMessage(std::uint64_t unidentified, std::string_view frame);
  void RejectConnection(std::uint64_t unidentified, const Header& header, std::string_view avps,
                        const MessageError& fault);
  void OnRequest(Client& client, Message request);
  // Handles a duplicate of a known request; false if the request is new.
  bool HandleDuplicate(Client& client, const Message& request, const RequestKey& key, std::uint64_t digest,
                       const DuplicateCache::Waiter& waiter);
  // Answers with an error of this node.
  void SendError(Client& client, const Message& request, ResultCode code, const char* text);
  void Finish(const RequestKey& key, const Message& answer, const std::string& proxy_info, bool keep);
  void OnSessionChanged(Client& client);
  void DisconnectIfIdle(Client& client);

  core::Loop& loop_;
  const Limits limits_;
  const Application& application_;
  const Identity& self_;
  net::MemoryBudget& budget_;
  stats::Counters& counters_;
  core::RequestManager& request_manager_;
  Upstream& upstream_;
  DuplicateCache duplicates_;
  std::uint64_t seed_;
  std::uint64_t last_connection_ = 0;
  std::list<std::unique_ptr<ListenSocket>> listen_sockets_;
  std::map<std::uint64_t, std::unique_ptr<UnidentifiedConnection>> unidentified_;  // oldest first
  std::unordered_map<std::string, std::unique_ptr<Client>> clients_;  // by Origin-Host in lower case
  std::unordered_map<std::uint64_t, Client*> by_connection_;          // connected clients
  bool disconnect_idle_ = false;
  bool stopping_ = false;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_DOWNSTREAM_HPP_
