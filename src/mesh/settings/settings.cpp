#include "mesh/settings/settings.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>

#include "mesh/settings/schema.hpp"

namespace fennelhollow::settings {
namespace {

using nlohmann::json;

// Bounds for files that are no settings at all, and for YAML aliases that expand exponentially.
constexpr std::size_t kMaxFileBytes = 1 << 20, kMaxNodes = 100000;
constexpr int kMaxDepth = 32;

constexpr std::string_view kFileSchema = R"json({
  "description": "a table", "type": "object",
  "required": ["selfNode", "network"],
  "properties": {
    "selfNode": {
      "description": "a table", "type": "object",
      "required": ["nodeName", "ipAddress", "serves"],
      "properties": {
        "nodeName": {"description": "a name", "type": "string", "minLength": 1},
        "role": {"description": "a string", "type": "string"},
        "machineClass": {"description": "a string", "type": "string"},
        "zone": {"description": "a string", "type": "string"},
        "region": {"description": "a string", "type": "string"},
        "service": {"description": "a string", "type": "string"},
        "dataDirectory": {"description": "a path", "type": "string"},
        "ipAddress": {"description": "an IPv4 address", "type": "string"},
        "applicationAddress": {"description": "an address ip:port", "type": "string"},
        "serves": {
          "description": "a list of strings", "type": "array",
          "items": {"description": "a string", "type": "string"}
        },
        "lossCounted": {"description": "true or false", "type": "boolean"},
        "firstStart": {"description": "true or false", "type": "boolean"},
        "limits": {
          "description": "a table", "type": "object",
          "properties": {
            "cpuShare": {
              "description": "a number above 0", "type": "number", "exclusiveMinimum": 0, "maximum": 4096
            },
            "memoryMb": {
              "description": "a number of 1 or more", "type": "number", "minimum": 1, "maximum": 1e9
            },
            "fileDescriptors": {
              "description": "a number of 1 or more", "type": "number", "minimum": 1, "maximum": 1e9
            },
            "diskMb": {
              "description": "a number of 0 or more", "type": "number", "minimum": 0, "maximum": 1e12
            }
          }
        }
      }
    },
    "network": {
      "description": "a table", "type": "object",
      "required": ["listenAddresses", "internalPortRange", "seedNodes"],
      "properties": {
        "listenAddresses": {
          "description": "a table", "type": "object",
          "properties": {
            "inbound": {"description": "an address ip:port", "type": "string"},
            "outbound": {"description": "an address ip:port", "type": "string"},
            "readiness": {"description": "an address ip:port", "type": "string"},
            "controlPlane": {"description": "an address ip:port", "type": "string"},
            "internal": {"description": "an address ip:port", "type": "string"}
          }
        },
        "internalPortRange": {
          "description": "a list of the first and the last port", "type": "array", "minItems": 2, "maxItems": 2,
          "items": {
            "description": "a port from 1 to 65535", "type": "integer", "minimum": 1, "maximum": 65535
          }
        },
        "seedNodes": {
          "description": "a list of addresses", "type": "array", "maxItems": 1024,
          "items": {"description": "an address ip:port", "type": "string"}
        },
        "zones": {
          "description": "a table of each zone's region", "type": "object",
          "additionalProperties": {"description": "a string", "type": "string"}
        }
      }
    },
    "platformSettings": {
      "description": "a table", "type": "object",
      "properties": {
        "heartbeatIntervalMs": {
          "description": "a number of 1 or more", "type": "number", "minimum": 1, "maximum": 1e9
        }
      }
    },
    "contractTerms": {
      "description": "a table", "type": "object",
      "properties": {
        "faultTolerance": {
          "description": "a table", "type": "object",
          "properties": {
            "machineLosses": {
              "description": "a whole number of 0 or more", "type": "integer", "minimum": 0, "maximum": 1000000
            }
          }
        },
        "bounds": {
          "description": "a table", "type": "object",
          "properties": {"revocationClosed": {"description": "true or false", "type": "boolean"}}
        }
      }
    }
  }
})json";

struct BoundField {
  const char* name;
  double Bounds::*member;
};
constexpr BoundField kBoundFields[] = {
    {"seedLagS", &Bounds::seed_lag_s},
    {"addressReuseS", &Bounds::address_reuse_s},
    {"contactMs", &Bounds::contact_ms},
    {"acknowledgeMs", &Bounds::acknowledge_ms},
    {"catchUpS", &Bounds::catch_up_s},
    {"drainMs", &Bounds::drain_ms},
    {"gracePeriodS", &Bounds::grace_period_s},
    {"lossSlackMs", &Bounds::loss_slack_ms},
    {"configurationApplyMs", &Bounds::configuration_apply_ms},
    {"rollbackSlackMs", &Bounds::rollback_slack_ms},
    {"outerBoundMs", &Bounds::outer_bound_ms},
    {"revocationMs", &Bounds::revocation_ms},
    {"retryBudgetRatio", &Bounds::retry_budget_ratio},
    {"retryWindowS", &Bounds::retry_window_s},
    {"retryBudgetSlack", &Bounds::retry_budget_slack},
    {"quotaWindowS", &Bounds::quota_window_s},
    {"quotaOvershoot", &Bounds::quota_overshoot},
    {"quotaSlack", &Bounds::quota_slack},
    {"recoveryS", &Bounds::recovery_s},
};

const Schema& FileSchema() {
  static const Schema* schema = [] {
    json text = json::parse(kFileSchema);
    json& bounds = text["properties"]["contractTerms"]["properties"]["bounds"]["properties"];
    for (const BoundField& field : kBoundFields) {
      bounds[field.name] = {
          {"description", "a number of 0 or more"}, {"type", "number"}, {"minimum", 0}, {"maximum", 1e9}};
    }
    return new Schema(text.dump());
  }();
  return *schema;
}

absl::Status InvalidField(const std::string& path, const std::string& found, const std::string& expected) {
  return absl::InvalidArgumentError(absl::StrCat(path, ": found ", found, ", wanted ", expected));
}

json Scalar(const YAML::Node& node) {
  const std::string& text = node.Scalar();
  if (node.Tag() != "?") return text;  // quoted, or explicitly tagged
  if (text.empty() || text == "~" || text == "null" || text == "Null" || text == "NULL") return nullptr;
  if (text == "true" || text == "True" || text == "TRUE") return true;
  if (text == "false" || text == "False" || text == "FALSE") return false;
  if (text.find_first_not_of("+-.0123456789eE") != std::string::npos) return text;
  const char* first = text.data() + (text.starts_with('+') && !text.starts_with("+-") ? 1 : 0);
  const char* last = text.data() + text.size();
  std::int64_t integer = 0;
  if (const auto read = std::from_chars(first, last, integer); read.ec == std::errc() && read.ptr == last) {
    return integer;
  }
  double number = 0;
  if (const auto read = std::from_chars(first, last, number);
      read.ec == std::errc() && read.ptr == last && std::isfinite(number)) {
    return number;
  }
  return text;
}

// `nodes`: remaining budget of nodes.
absl::StatusOr<json> FromYaml(const YAML::Node& node, const std::string& path, int depth,
                              std::size_t& nodes) {
  if (nodes == 0 || depth > kMaxDepth)
    return InvalidField(path.empty() ? "the whole" : path, "too much", "less");
  --nodes;
  if (node.IsScalar()) return Scalar(node);
  if (node.IsSequence()) {
    json list = json::array();
    for (const YAML::Node& item : node) {
      auto value = FromYaml(item, absl::StrCat(path, "[", list.size(), "]"), depth + 1, nodes);
      if (!value.ok()) return value;
      list.push_back(*std::move(value));
    }
    return list;
  }
  if (node.IsMap()) {
    json table = json::object();
    for (const auto& member : node) {
      if (!member.first.IsScalar()) continue;  // can't be a known field
      const std::string& name = member.first.Scalar();
      const std::string member_path = absl::StrCat(path, path.empty() ? "" : ".", PrintableLine(name));
      if (table.contains(name)) return InvalidField(member_path, "it twice", "it once");
      auto value = FromYaml(member.second, member_path, depth + 1, nodes);
      if (!value.ok()) return value;
      table[name] = *std::move(value);
    }
    return table;
  }
  return json(nullptr);
}

bool IsIpv4(const std::string& text) {
  in_addr address{};
  return inet_pton(AF_INET, text.c_str(), &address) == 1 && text.find('\0') == std::string::npos;
}

absl::Status ReadAddress(const json& value, const std::string& path, Address& to) {
  const auto& text = value.get_ref<const std::string&>();
  const std::size_t colon = text.rfind(':');
  const char* last = text.data() + text.size();
  if (colon != std::string::npos && IsIpv4(text.substr(0, colon))) {
    std::uint16_t port = 0;
    const auto read = std::from_chars(text.data() + colon + 1, last, port);
    if (read.ec == std::errc() && read.ptr == last && port > 0) {
      to = {text.substr(0, colon), port};
      return absl::OkStatus();
    }
  }
  return InvalidField(path, absl::StrCat("\"", PrintableLine(text), "\""),
                      "an address ip:port (IPv4, port from 1 to 65535)");
}

template <class T>
void ReadField(const json& table, const char* name, T& to) {
  const auto at = table.find(name);
  if (at == table.end()) return;
  if constexpr (std::is_same_v<T, std::int64_t>) {
    to = std::llround(at->get<double>());
  } else {
    to = at->get<T>();
  }
}

// The member table `name`, empty if missing.
const json& Subtable(const json& table, const char* name) {
  static const json* const empty = new json(json::object());
  const auto at = table.find(name);
  return at == table.end() ? *empty : *at;
}

// Expects a `file` that was validated against the schema.
absl::StatusOr<Settings> ReadSettings(const json& file) {
  Settings settings;
  const json& self = Subtable(file, "selfNode");
  settings.node_name = self["nodeName"].get<std::string>();
  settings.serves = self["serves"].get<std::vector<std::string>>();
  settings.ip = self["ipAddress"].get<std::string>();
  if (!IsIpv4(settings.ip)) {
    return InvalidField("selfNode.ipAddress", absl::StrCat("\"", PrintableLine(settings.ip), "\""),
                        "an IPv4 address");
  }
  ReadField(self, "role", settings.role);
  ReadField(self, "machineClass", settings.machine_class);
  ReadField(self, "zone", settings.zone);
  ReadField(self, "region", settings.region);
  ReadField(self, "service", settings.service);
  ReadField(self, "dataDirectory", settings.data_directory);
  ReadField(self, "lossCounted", settings.loss_counted);
  ReadField(self, "firstStart", settings.first_start);
  const json& limits = Subtable(self, "limits");
  ReadField(limits, "cpuShare", settings.cpu_share);
  ReadField(limits, "memoryMb", settings.memory_mb);
  ReadField(limits, "fileDescriptors", settings.file_descriptors);
  ReadField(limits, "diskMb", settings.disk_mb);
  if (self.contains("applicationAddress")) {
    const auto read =
        ReadAddress(self["applicationAddress"], "selfNode.applicationAddress", settings.application);
    if (!read.ok()) return read;
  }

  const json& network = Subtable(file, "network");
  const json& listen = network["listenAddresses"];
  for (const char* name : {"inbound", "outbound", "readiness", "controlPlane", "internal"}) {
    if (!listen.contains(name)) continue;
    const auto read =
        ReadAddress(listen[name], absl::StrCat("network.listenAddresses.", name), settings.listen[name]);
    if (!read.ok()) return read;
  }
  const json& range = network["internalPortRange"];
  settings.first_port = range[0].get<std::uint16_t>();
  settings.last_port = range[1].get<std::uint16_t>();
  if (settings.first_port > settings.last_port) {
    return InvalidField("network.internalPortRange",
                        absl::StrCat(settings.first_port, " to ", settings.last_port),
                        "the first port not above the last");
  }
  for (const json& seed : network["seedNodes"]) {
    const std::string at = absl::StrCat("network.seedNodes[", settings.seeds.size(), "]");
    const auto read = ReadAddress(seed, at, settings.seeds.emplace_back());
    if (!read.ok()) return read;
  }
  ReadField(network, "zones", settings.zones);

  ReadField(Subtable(file, "platformSettings"), "heartbeatIntervalMs", settings.heartbeat_interval_ms);
  const json& contract_terms = Subtable(file, "contractTerms");
  ReadField(Subtable(contract_terms, "faultTolerance"), "machineLosses", settings.machine_losses);
  const json& bounds = Subtable(contract_terms, "bounds");
  for (const BoundField& field : kBoundFields) ReadField(bounds, field.name, settings.bounds.*field.member);
  ReadField(bounds, "revocationClosed", settings.bounds.revocation_closed);
  return settings;
}

}  // namespace

std::vector<std::string> Settings::SeedInternalAddresses() const {
  std::vector<std::string> out;
  out.reserve(seeds.size());
  for (const Address& seed : seeds) out.push_back(Address{seed.ip, first_port}.Text());
  return out;
}

Address Settings::InternalListenAddress() const {
  const auto configured = listen.find("internal");
  return configured == listen.end() ? InternalAddress() : configured->second;
}

bool Settings::Serves(std::string_view what) const {
  return std::find(serves.begin(), serves.end(), what) != serves.end();
}

absl::StatusOr<Settings> Parse(const std::string& yaml) {
  if (yaml.size() > kMaxFileBytes) {
    return InvalidField("the whole", absl::StrCat(yaml.size(), " bytes"),
                        absl::StrCat("at most ", kMaxFileBytes));
  }
  try {
    std::size_t nodes = kMaxNodes;
    auto file = FromYaml(YAML::Load(yaml), "", 0, nodes);
    if (!file.ok()) return file.status();
    Normalize(*file);
    const auto checked = FileSchema().Check(*file);
    if (!checked.ok()) return checked;
    return ReadSettings(*file);
  } catch (const YAML::Exception& e) {
    return InvalidField(absl::StrCat("line ", e.mark.line + 1), PrintableLine(e.msg, 120), "YAML");
  } catch (const std::exception& e) {
    return InvalidField("the whole", PrintableLine(e.what(), 120), "settings");
  }
}

absl::StatusOr<Settings> Load(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    const std::string line = absl::StrCat(path, ": ", std::strerror(errno));
    return errno == ENOENT ? absl::NotFoundError(line) : absl::UnavailableError(line);
  }
  std::string yaml(kMaxFileBytes + 1, '\0');
  file.read(yaml.data(), static_cast<std::streamsize>(yaml.size()));
  if (file.bad()) return absl::UnavailableError(absl::StrCat(path, ": can't be read"));
  yaml.resize(static_cast<std::size_t>(file.gcount()));
  return Parse(yaml);
}

}  // namespace fennelhollow::settings
