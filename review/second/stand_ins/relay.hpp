// TCP relay in front of a core. It can cut off machines: their connections stay open and silent, and what
// they carry is lost. Machines are told apart by their names in the first frame of a connection.
#ifndef SECOND_REVIEW_STAND_INS_RELAY_HPP_
#define SECOND_REVIEW_STAND_INS_RELAY_HPP_

#include <list>
#include <memory>
#include <set>
#include <string>

#include "rig/mesh/http.hpp"

namespace review {

namespace asio = boost::asio;
using fennelhollow::rig::Address;

class Relay {
 public:
  Relay(asio::io_context& io, Address announced, Address target);
  ~Relay();
  void Cut(const std::string& machine) { cut_.insert(machine); }
  // Ends the cut; connections that have lost bytes are reset.
  void Heal(const std::string& machine);

 private:
  struct Pair;
  using PairPtr = std::shared_ptr<Pair>;
  bool IsCut(const Pair& pair) const;
  asio::awaitable<void> Accept();
  asio::awaitable<void> Connect(PairPtr pair);
  asio::awaitable<void> Copy(PairPtr pair, bool to_target);

  asio::io_context& io_;
  const Address target_;
  fennelhollow::rig::Tcp::acceptor acceptor_;
  std::set<std::string> cut_;
  std::list<std::weak_ptr<Pair>> pairs_;
};

}  // namespace review

#endif  // SECOND_REVIEW_STAND_INS_RELAY_HPP_
