// Reads the JSON configuration and the environment variables of the sidecar.
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

// The smallest allowed descriptor limit.
inline constexpr std::size_t kMinFileDescriptors = 64;

struct Config {
  std::string name;
  Tcp::endpoint listen;
  Tcp::endpoint discovery;
  std::optional<Tcp::endpoint> ops;  // the operators' address; none: off
  std::uint64_t seed = 0;
  std::size_t max_file_descriptors = 1024;           // of the process
  std::size_t memory_limit = std::size_t{64} << 20;  // bytes
  drill::WireSettings wire;
  EndpointList last_known_endpoints;  // used until discovery has sent its list
  std::string temp_directory;         // TMPDIR, for the handover socket; empty: no hot restart
  // Optional files of the operator; empty: the feature is off.
  std::string diameter_file;        // EDGE_DIAMETER
  std::string recording_file;       // EDGE_RECORD
  std::string trace_file;           // EDGE_TRACE
  std::string zone_overrides_file;  // EDGE_ZONES
  std::string fleet_file;           // EDGE_FLEET
  std::string peer_listen;          // UDP address for messages of other sidecars, unparsed; empty: off
  std::vector<std::string> peers;   // the same for all sidecars, indexed by rank
};

// Converts settings to the path=value pairs that drill::ParseSettings reads.
std::string FlattenSettings(const nlohmann::json& settings);

// Reads a whole file. Throws ConfigError with a one-line message on failure.
std::string ReadFile(const std::string& path);

// Non-empty `listen`, `discovery` and `ops` override the addresses in `text`.
Config ParseConfig(const std::string& text, const std::string& listen, const std::string& discovery,
                   const std::string& ops = "");

using Environment = std::function<const char*(const char*)>;

// Reads the file that EDGE_CONFIG names, and the environment. Throws ConfigError with a one-line message.
Config LoadConfig(const Environment& environment);

// The same for a reload: the discovery address of the file takes precedence over EDGE_DISCOVERY.
Config ReloadConfig(const Environment& environment);

}  // namespace merlinrun::net

#endif  // MERLINRUN_NET_CONFIG_HPP_
