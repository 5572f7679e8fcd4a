// Test discovery service on loopback: serves the full instance list and streams updates to watchers.
#ifndef MERLINRUN_RIG_DISCOVERY_HPP_
#define MERLINRUN_RIG_DISCOVERY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/loop.hpp"
#include "rig/invariant_checker.hpp"
#include "rig/server.hpp"

namespace merlinrun::rig {

class Discovery {
 public:
  Discovery(boost::asio::io_context& io, core::Loop& loop, InvariantChecker& checker);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Overrides the address reported for a server. Call before the first Set.
  void set_addresses(std::function<Tcp::endpoint(const Server&)> addresses) {
    addresses_ = std::move(addresses);
  }
  // `lifecycle`: up, draining or removed.
  void Set(const Server& server, const std::string& lifecycle);
  Tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  nlohmann::json List() const;  // full snapshot

 private:
  struct Session;
  void Accept();
  void OnRequest(const std::shared_ptr<Session>& session);
  static void WriteChunk(Session& session, const std::string& text);
  void SendKeepalive();

  core::Loop& loop_;
  InvariantChecker& checker_;
  Tcp::acceptor acceptor_;
  std::unique_ptr<core::Timer> keepalive_timer_;
  std::function<Tcp::endpoint(const Server&)> addresses_;
  std::int64_t generation_ = 1;
  std::map<std::string, nlohmann::json> entries_;
  std::list<std::shared_ptr<Session>> watches_;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_DISCOVERY_HPP_
