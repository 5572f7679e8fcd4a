// Network between the processes of a soak run. The announced address of each node is a relay, which
// identifies the dialing node by its Hello and forwards through the FaultProxy for this pair of nodes.
#ifndef FENNELHOLLOW_RIG_SOAK_RELAY_NETWORK_HPP_
#define FENNELHOLLOW_RIG_SOAK_RELAY_NETWORK_HPP_

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rig/cluster/fault_proxy.hpp"
#include "rig/mesh/http.hpp"

namespace fennelhollow::rig::soak {

class RelayNetwork {
 public:
  struct Machine {
    Address announced;  // address of the relay, dialed by other nodes
    Address listens;    // address of the process
  };
  // Nodes are identified by their index. Throws boost::system::system_error if it can't listen on an address.
  RelayNetwork(asio::io_context& io, std::vector<Machine> machines);
  ~RelayNetwork();
  RelayNetwork(const RelayNetwork&) = delete;
  RelayNetwork& operator=(const RelayNetwork&) = delete;

  // Starts or stops to drop silently what one node sends to another.
  void Drop(std::size_t from, std::size_t to);
  void Restore(std::size_t from, std::size_t to);

 private:
  using Direction = std::pair<std::size_t, std::size_t>;  // dialing node, dialed node
  struct Connection;

  asio::awaitable<void> Accept(std::size_t machine);
  asio::awaitable<void> Serve(std::size_t machine, std::shared_ptr<Connection> connection);
  merlinrun::rig::FaultProxy& ProxyFor(const Direction& direction);
  merlinrun::rig::FaultProxy::Mode ModeOf(const Direction& direction) const;
  void Update(std::size_t one, std::size_t other);

  asio::io_context& io_;
  const std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Tcp::acceptor>> acceptors_;
  std::map<Direction, std::unique_ptr<merlinrun::rig::FaultProxy>> proxies_;
  std::set<Direction> dropped_;  // from, to
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_RELAY_NETWORK_HPP_
