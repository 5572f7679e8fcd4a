// All of a sidecar's Diameter: the application, this node's identity, the listeners and the connections to
// servers.
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
    Micros dial_timeout = 0;  // 0 = not told
    std::size_t server_connections = 256;
  };

  // Throws std::invalid_argument, with one plain line, if an address or a certificate can't be used; opens no
  // socket. `usable_changed` is called from the loop when the answer of Fronts has changed for a server. All
  // that it is given must outlive it.
  Node(boost::asio::io_context& io, core::Loop& loop, Application application, Limits limits,
       std::uint64_t seed, std::function<void(const std::string& server)> usable_changed);
  ~Node();

  // Throws boost::system::system_error if an address cannot be listened on.
  void Listen(net::MemoryBudget& budget, stats::Counters& counters, core::RequestManager& exchanges);

  void Apply(bool whole, const std::vector<ServerAddress>& servers);
  // The bit for ServerInfo::fronts if the server can be reached over Diameter, else 0.
  unsigned ProtocolBits(const std::string& server) const;

  // Descriptors that it may hold beside its connections to servers.
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
