// The network between the processes of a soak run: each one's internal address is a relay, which learns from
// the Hello of a connection who dialled, and passes on through a rig/cluster link for that pair of machines.
#ifndef FENNELHOLLOW_RIG_SOAK_RELAY_NETWORK_HPP_
#define FENNELHOLLOW_RIG_SOAK_RELAY_NETWORK_HPP_

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "rig/cluster/link.hpp"
#include "rig/mesh/http.hpp"

namespace fennelhollow::rig::soak {

class RelayNetwork {
 public:
  struct Machine {
    Address announced;  // where others dial; the relay listens there
    Address listens;    // where the process listens
  };
  // Machines are known by their place in the list. Throws boost::system::system_error if an address can't be
  // listened on.
  RelayNetwork(asio::io_context& io, std::vector<Machine> machines);
  ~RelayNetwork();
  RelayNetwork(const RelayNetwork&) = delete;
  RelayNetwork& operator=(const RelayNetwork&) = delete;

  // What one machine sends to the other is lost from now on, silently; or arrives again.
  void Lose(std::size_t from, std::size_t to);
  void Restore(std::size_t from, std::size_t to);

 private:
  using Way = std::pair<std::size_t, std::size_t>;  // who dials, who is dialled
  struct Connection;

  asio::awaitable<void> Accept(std::size_t machine);
  asio::awaitable<void> Serve(std::size_t machine, std::shared_ptr<Connection> connection);
  merlinrun::rig::Link& LinkOf(const Way& way);
  merlinrun::rig::Link::Mode ModeOf(const Way& way) const;
  void Update(std::size_t one, std::size_t other);

  asio::io_context& io_;
  const std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Tcp::acceptor>> acceptors_;
  std::map<Way, std::unique_ptr<merlinrun::rig::Link>> links_;
  std::set<Way> lost_;  // from, to
};

}  // namespace fennelhollow::rig::soak

#endif  // FENNELHOLLOW_RIG_SOAK_RELAY_NETWORK_HPP_
