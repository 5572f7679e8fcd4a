// TCP proxy from one sidecar to one server that injects faults. Single-threaded.
#ifndef MERLINRUN_RIG_CLUSTER_FAULT_PROXY_HPP_
#define MERLINRUN_RIG_CLUSTER_FAULT_PROXY_HPP_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

namespace merlinrun::rig {

using Tcp = boost::asio::ip::tcp;

class FaultProxy {
 public:
  enum class Mode {
    kPass,
    kRefuse,          // like a dead process: resets open connections, refuses new ones
    kReset,           // accepts new connections and resets them at once
    kDropResponses,   // requests arrive, responses are lost
    kDropRequests,    // requests are lost, responses arrive
    kDelayResponses,  // delays responses by kResponseDelay
    kBlackhole,       // like a network partition: all connections stay open and silent
  };
  // About ten times the usual latency of the test servers.
  static constexpr std::chrono::milliseconds kResponseDelay{150};

  // Listens on a free loopback address; `target` is called for each connection.
  FaultProxy(boost::asio::io_context& io, std::function<Tcp::endpoint()> target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // Leaving kBlackhole, kDropResponses or kDropRequests resets open connections, which have lost bytes.
  void Set(Mode mode);
  Tcp::endpoint address() const { return address_; }
  // Connections accepted so far.
  std::uint64_t accepted() const { return accepted_; }

 private:
  struct Pair;
  void Listen();
  void Accept();
  void ResetAll();
  void Pump(const std::shared_ptr<Pair>& pair, bool up);
  void Write(const std::shared_ptr<Pair>& pair, bool up, std::size_t size);

  boost::asio::io_context& io_;
  const std::function<Tcp::endpoint()> target_;
  Mode mode_ = Mode::kPass;
  Tcp::endpoint address_;
  std::unique_ptr<Tcp::acceptor> acceptor_;
  std::list<std::weak_ptr<Pair>> pairs_;
  std::uint64_t accepted_ = 0;
};

}  // namespace merlinrun::rig

#endif  // MERLINRUN_RIG_CLUSTER_FAULT_PROXY_HPP_
