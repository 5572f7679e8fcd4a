// Follows the list of servers through one watch, which is reopened with jittered backoff when it ends, is
// silent for too long or sends invalid data.
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

// A server in the list. `info.started` is Unix time, like the clock of the core's Loop.
struct Endpoint {
  ServerInfo info;
  Tcp::endpoint address;
  std::optional<Tcp::endpoint> diameter;  // none: it does not speak Diameter
};

struct EndpointList {
  bool is_full = false;  // false: only changed entries
  std::int64_t generation = 0;
  std::vector<Endpoint> endpoints;
};

// Returns nullopt and sets `error` if any part of the list is invalid.
std::optional<EndpointList> ParseEndpointList(const nlohmann::json& json, const drill::WireSettings& names,
                                              std::string& error);

class Discovery {
 public:
  static constexpr std::int64_t kUnknownGeneration = -1;  // requests the full list

  struct Timing {
    // Empty lines arrive every 2 s, and a list update has to arrive within 6 s.
    Micros silence_timeout = 4'500'000;
    Micros backoff_base = 200'000;  // the delay before the n-th reconnect is random(0, min(max, base * 2^n))
    Micros backoff_max = 1'000'000;
    bool auto_reconnect = true;  // false: only Watch reopens the watch
  };
  struct Events {
    std::function<void(const EndpointList&)> on_list;
    std::function<void()> on_failed;  // the watch ended or could not be opened
  };

  Discovery(asio::io_context& io, Tcp::endpoint address, const drill::WireSettings& names, Timing timing,
            std::uint64_t seed, Events events);
  ~Discovery();
  Discovery(const Discovery&) = delete;
  Discovery& operator=(const Discovery&) = delete;

  // Opens the watch for changes after `generation`. Does nothing if it is open already.
  void Watch(std::int64_t generation);

  // Switches to another discovery server and requests its full list, as generations differ between servers.
  // Does nothing if the address is unchanged.
  void SetAddress(const Tcp::endpoint& address);

 private:
  class Stream;

  void Connect();
  void OnLine(const std::string& line);
  void OnStreamEnded(const std::string& reason, bool bad_input);
  bool IsApplicable(const EndpointList& list) const;

  asio::io_context& io_;
  Tcp::endpoint address_;
  const drill::WireSettings& names_;
  const Timing timing_;
  const Events events_;
  std::mt19937_64 random_;
  asio::steady_timer backoff_;
  std::shared_ptr<Stream> stream_;
  std::int64_t generation_ = kUnknownGeneration;
  int failures_ = 0;
  bool bad_input_logged_ = false;
};

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_DISCOVERY_HPP_
