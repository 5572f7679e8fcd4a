#include "config.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "core/names.hpp"

namespace merlinrun::net {
namespace {

using Json = nlohmann::json;
using core::NormalizeName;

constexpr double kMaxExactInteger = 9007199254740992.0;  // 2^53: the largest exact integer

std::string FormatScalar(const Json& value) {
  if (value.is_string()) return NormalizeName(value.get<std::string>());
  if (value.is_number_float()) {  // 250000.0 is a whole number too
    const double number = value.get<double>();
    if (std::trunc(number) == number && std::abs(number) < kMaxExactInteger)
      return std::to_string(static_cast<std::int64_t>(number));
  }
  return value.dump();
}

void FlattenInto(const Json& value, const std::string& path, std::string& out);

void FlattenList(const Json& list, const std::string& path, std::string& out) {
  const bool objects =
      std::any_of(list.begin(), list.end(), [](const Json& item) { return item.is_structured(); });
  if (!objects) {
    std::string joined;
    for (const Json& item : list) joined += (joined.empty() ? "" : ",") + FormatScalar(item);
    out += path + "=" + joined + " ";
    return;
  }
  out += path + ".count=" + std::to_string(list.size()) + " ";
  for (std::size_t i = 0; i < list.size(); ++i) FlattenInto(list[i], path + "." + std::to_string(i), out);
}

void FlattenInto(const Json& value, const std::string& path, std::string& out) {
  if (value.is_object()) {
    for (const auto& [key, inner] : value.items())
      FlattenInto(inner, path.empty() ? NormalizeName(key) : path + "." + NormalizeName(key), out);
  } else if (value.is_array()) {
    FlattenList(value, path, out);
  } else if (!value.is_null()) {
    out += path + "=" + FormatScalar(value) + " ";
  }
}

Tcp::endpoint ReadAddress(const Json& json, const char* key, const std::string& from_environment) {
  const std::string text = from_environment.empty() ? json.at(key).get<std::string>() : from_environment;
  const auto address = ParseAddress(text);
  if (!address) throw ConfigError(std::string(key) + " '" + text + "': not an address with a port");
  return *address;
}

std::uint64_t ReadSeed(const Json& json) {
  const std::string text = json.value("seed", std::string("0"));
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed '" + text + "': not a number of 64 bits in hex");
  return seed;
}

EndpointList LastKnownEndpoints(const Json& json, const drill::WireSettings& names) {
  if (!json.contains("known") || json.at("known").is_null()) return {};
  std::string error;
  const auto list = ParseEndpointList(json.at("known"), names, error);
  if (!list) throw ConfigError("known: " + error);
  return *list;
}

void ReadLimits(const Json& json, Config& config) {
  if (!json.contains("limits")) return;
  const Json& limits = json.at("limits");
  config.max_file_descriptors =
      limits.value("sockets", static_cast<std::uint64_t>(config.max_file_descriptors));
  const double megabytes = limits.value("memory_mb", 64.0);
  if (config.max_file_descriptors < kMinFileDescriptors)
    throw ConfigError("limits.sockets: under 64, too few to work with");
  if (!(megabytes >= 16 && megabytes <= 1e9))
    throw ConfigError("limits.memory_mb: under 16, too few to work with");
  config.memory_limit = static_cast<std::size_t>(megabytes * (1 << 20));
}

// Not parsed here: an invalid address must not prevent a start where the messages are off.
void ReadPeers(const Json& json, Config& config) {
  const auto text = [](const Json& value) {
    return value.is_string() ? value.get<std::string>() : value.dump();
  };
  if (!json.contains("peer_listen") || json.at("peer_listen").is_null()) return;
  config.peer_listen = text(json.at("peer_listen"));
  if (!json.contains("peers")) return;
  for (const Json& peer : json.at("peers")) config.peers.push_back(text(peer));
}

Config FromJson(const Json& json, const std::string& listen, const std::string& discovery,
                const std::string& ops) {
  Config config;
  config.name = json.value("name", std::string());
  config.listen = ReadAddress(json, "listen", listen);
  config.discovery = ReadAddress(json, "discovery", discovery);
  if (!ops.empty() || (json.contains("ops") && !json.at("ops").is_null()))
    config.ops = ReadAddress(json, "ops", ops);
  config.seed = ReadSeed(json);
  ReadLimits(json, config);
  config.wire = drill::ParseSettings(FlattenSettings(json.at("settings")));
  config.last_known_endpoints = LastKnownEndpoints(json, config.wire);
  if (config.wire.settings.peers) ReadPeers(json, config);
  return config;
}

std::string EnvironmentValue(const Environment& environment, const char* name) {
  const char* const text = environment(name);
  return text == nullptr ? "" : text;
}

std::string ReadConfig(const Environment& environment) {
  const std::string path = EnvironmentValue(environment, "EDGE_CONFIG");
  if (path.empty()) throw ConfigError("EDGE_CONFIG: not set");
  return ReadFile(path);
}

std::string OneLine(std::string text) {
  std::replace(text.begin(), text.end(), '\n', ' ');
  return text;
}

}  // namespace

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::string text((std::istreambuf_iterator<char>(file)), {});  // an empty file is valid
  if (!file.is_open() || file.bad()) throw ConfigError(path + ": cannot be read");
  return text;
}

std::string FlattenSettings(const Json& settings) {
  std::string out;
  FlattenInto(settings, "", out);
  if (!out.empty()) out.pop_back();  // the trailing space
  return out;
}

Config ParseConfig(const std::string& text, const std::string& listen, const std::string& discovery,
                   const std::string& ops) {
  try {
    return FromJson(Json::parse(text), listen, discovery, ops);
  } catch (const Json::exception& error) {
    throw ConfigError(OneLine(error.what()));
  } catch (const drill::WireError& error) {
    throw ConfigError(OneLine(std::string("settings: ") + error.what()));
  }
}

Config LoadConfig(const Environment& environment) {
  Config config =
      ParseConfig(ReadConfig(environment), EnvironmentValue(environment, "EDGE_LISTEN"),
                  EnvironmentValue(environment, "EDGE_DISCOVERY"), EnvironmentValue(environment, "EDGE_OPS"));
  config.temp_directory = EnvironmentValue(environment, "TMPDIR");
  config.diameter_file = EnvironmentValue(environment, "EDGE_DIAMETER");
  config.recording_file = EnvironmentValue(environment, "EDGE_RECORD");
  config.trace_file = EnvironmentValue(environment, "EDGE_TRACE");
  config.fleet_file = EnvironmentValue(environment, "EDGE_FLEET");
  config.zone_overrides_file = EnvironmentValue(environment, "EDGE_ZONES");
  return config;
}

Config ReloadConfig(const Environment& environment) {
  Config config = ParseConfig(ReadConfig(environment), EnvironmentValue(environment, "EDGE_LISTEN"), "");
  config.zone_overrides_file = EnvironmentValue(environment, "EDGE_ZONES");
  return config;
}

}  // namespace merlinrun::net
