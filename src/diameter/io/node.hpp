// The Diameter node of a sidecar: settings, identity, listeners and connections to servers.
#ifndef MERLINRUN_DIAMETER_IO_NODE_HPP_
#define MERLINRUN_DIAMETER_IO_NODE_HPP_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "diameter/io/downstream.hpp"
#include "diameter/io/upstream.hpp"

namespace merlinrun::diameter {

class Node {
 public:
  struct Limits {
    Micros dial_timeout = 0;  // 0 = default
    std::size_t server_connections = 256;
  };

  // Throws std::invalid_argument, with a one-line message, if an address or certificate is unusable; opens no
  // socket. `usable_changed` is called from the event loop when ProtocolBits changes for a server. The
  // arguments must outlive this object.
  Node(boost::asio::io_context& io, core::Loop& loop, Application application, Limits limits,
       std::uint64_t seed, std::function<void(const std::string& server)> usable_changed);
  ~Node();

  // Throws boost::system::system_error if an address can't be bound.
  void Listen(net::MemoryBudget& budget, stats::Counters& counters, core::RequestManager& request_manager);

  void Apply(bool is_full_list, const std::vector<ServerAddress>& servers);
  // The Diameter bit of ServerInfo::protocols if the server is reachable over Diameter, else 0.
  unsigned ProtocolBits(const std::string& server) const;

  // Maximum number of descriptors, without the connections to servers.
  static std::size_t MaxSockets(const Application& application);
  std::size_t max_sockets() const { return MaxSockets(application_); }

  Downstream& downstream() { return *downstream_; }
  Upstream& upstream() { return *upstream_; }

 private:
  boost::asio::io_context& io_;
  core::Loop& loop_;
  const Application application_;
  const Identity identity_;
  const std::uint64_t seed_;
  std::vector<Downstream::Listener> listeners_;
  std::unique_ptr<Upstream> upstream_;
  std::unique_ptr<Downstream> downstream_;
};

}  // namespace merlinrun::diameter

#endif  // MERLINRUN_DIAMETER_IO_NODE_HPP_
