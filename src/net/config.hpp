// What the sidecar is told at its start: the environment and the JSON configuration.
#ifndef MERLINRUN_NET_CONFIG_HPP_
#define MERLINRUN_NET_CONFIG_HPP_

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "discovery.hpp"
#include "protocol.hpp"
#include "wire.hpp"

namespace merlinrun::net {

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Fewer descriptors than this are too few to work with.
inline constexpr std::size_t kMinFileDescriptors = 64;

struct Config {
  std::string name;
  Tcp::endpoint listen;
  Tcp::endpoint discovery;
  std::optional<Tcp::endpoint> ops;  // the second address; none: it is off
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;                  // descriptors that the process may hold
  std::size_t memory = std::size_t{64} << 20;  // bytes that it may use
  drill::WireSettings wire;
  EndpointList known;     // the list as this sidecar last had it
  std::string temporary;  // the folder for what other processes of this sidecar find (TMPDIR); empty: none
  std::string diameter;   // the operator's Diameter file (EDGE_DIAMETER); empty: no Diameter
  std::string record;     // the operator's recording file (EDGE_RECORD); empty: no recording
  std::string trace;      // the operator's trace file (EDGE_TRACE); empty: no trace
  std::string zones;      // the operator's orders on zones (EDGE_ZONES); empty: there are none
  std::string fleet;      // the operator's file on words between sidecars (EDGE_FLEET); empty: none are said
  std::string peer_listen;         // where others' words come, as it was told; empty: they may not be said
  std::vector<std::string> peers;  // the whole tier's such addresses, by number
};

// The settings in the form that the adapter reads, path=value pairs: one mapping of names serves both.
std::string FlattenSettings(const nlohmann::json& settings);

// All of a file. Throws ConfigError, with one plain line, if it cannot be had.
std::string ReadFile(const std::string& path);

// What is not empty comes before the file's own.
Config ParseConfig(const std::string& text, const std::string& listen, const std::string& discovery,
                   const std::string& ops = "");

using Environment = std::function<const char*(const char*)>;

// Reads EDGE_CONFIG and what it names. Throws ConfigError, with one plain line, if anything is amiss.
Config LoadConfig(const Environment& environment);

// The same for a file that has been replaced since: its own discovery holds, not EDGE_DISCOVERY.
Config ReloadConfig(const Environment& environment);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_CONFIG_HPP_
