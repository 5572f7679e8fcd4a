// Follows the list of servers: one watch, reopened with jittered backoff when it ends, falls silent or says
// something that cannot be understood.
#ifndef MERLINRUN_NET_DISCOVERY_HPP_
#define MERLINRUN_NET_DISCOVERY_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "address.hpp"
#include "merlinrun/balancer.hpp"
#include "protocol.hpp"
#include "wire.hpp"

namespace merlinrun::net {

// A server as discovery lists it. `info.started` is Unix time here; the module's clock runs along with it.
struct Endpoint {
  ServerInfo info;
  Tcp::endpoint address;
  std::optional<Tcp::endpoint> diameter;  // where it speaks Diameter, if it does
};

struct EndpointList {
  bool whole = false;  // else changed entries alone
  std::int64_t generation = 0;
  std::vector<Endpoint> endpoints;
};

// Reads a list; empty, with the reason in `error`, if any part of it makes no sense.
std::optional<EndpointList> ParseList(const nlohmann::json& json, const drill::WireSettings& names,
                                      std::string& error);

class Discovery {
 public:
  static constexpr std::int64_t kUnknown = -1;  // a generation: the whole list is asked for

  struct Timing {
    Micros silence = 4'500'000;       // an empty line comes every 2 s; what is told counts as told after 6 s
    Micros backoff_base = 200'000;    // the wait before the n-th reopening is random(0, base * 2^n) ...
    Micros backoff_most = 1'000'000;  // ... and no longer than this
    bool reopens = true;              // false: somebody else decides when to ask again
  };
  struct Events {
    std::function<void(const EndpointList&)> on_list;
    std::function<void()> on_failed;  // the watch ended or never opened
  };

  Discovery(asio::io_context& io, Tcp::endpoint address, const drill::WireSettings& names, Timing timing,
            std::uint64_t seed, Events events);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Opens the watch, to be told of what changed after `generation`. Does nothing if it is open already.
  void Watch(std::int64_t generation);

  // Follows another address from now on. Its versions are its own, so it is asked for the whole list first.
  // Does nothing if the address is the one that is followed.
  void Switch(const Tcp::endpoint& address);

 private:
  class Stream;

  void Open();
  void OnLine(const std::string& line);
  void OnEnd(const std::string& reason, bool bad_input);
  bool Follows(const EndpointList& list) const;

  asio::io_context& io_;
  Tcp::endpoint address_;
  const drill::WireSettings& names_;
  const Timing timing_;
  const Events events_;
  std::mt19937_64 random_;
  asio::steady_timer backoff_;
  std::shared_ptr<Stream> stream_;
  std::int64_t generation_ = kUnknown;
  int failures_ = 0;
  bool complained_ = false;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_DISCOVERY_HPP_
