// The settings file of a process (YAML), validated against a schema.
#ifndef FENNELHOLLOW_MESH_SETTINGS_SETTINGS_HPP_
#define FENNELHOLLOW_MESH_SETTINGS_SETTINGS_HPP_

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fennelhollow::settings {

struct Address {
  std::string ip;
  std::uint16_t port = 0;
  bool operator==(const Address&) const = default;
  std::string Text() const { return ip + ":" + std::to_string(port); }
};

// Units are in the names (milliseconds, seconds). Fields missing in the file keep these defaults.
struct Bounds {
  double seed_lag_s = 3, address_reuse_s = 2;
  double contact_ms = 3000, acknowledge_ms = 5000, catch_up_s = 4, drain_ms = 2500, grace_period_s = 6;
  double loss_slack_ms = 200, configuration_apply_ms = 2500, rollback_slack_ms = 250, outer_bound_ms = 8000;
  bool revocation_closed = false;
  double revocation_ms = 5000;
  double retry_budget_ratio = 0.2, retry_window_s = 10, retry_budget_slack = 58;
  double quota_window_s = 5, quota_overshoot = 0.1, quota_slack = 20;
  double recovery_s = 15;
};

struct Settings {
  std::string node_name, role, machine_class, ip, zone, region, service, data_directory;  // empty = not set
  std::vector<std::string> serves;
  bool loss_counted = false;
  bool first_start = false;
  std::map<std::string, Address> listen;        // inbound, outbound, readiness, controlPlane, internal
  Address application;                          // port 0 = none
  std::uint16_t first_port = 0, last_port = 0;  // internalPortRange
  std::vector<Address> seeds;
  std::map<std::string, std::string> zones;  // zone -> region
  std::int64_t heartbeat_interval_ms = 1500;
  double cpu_share = 1;
  std::int64_t memory_mb = 256, file_descriptors = 1024, disk_mb = 0;
  int machine_losses = 1;
  Bounds bounds;
  bool Serves(std::string_view what) const;
  bool HasDisk() const { return !data_directory.empty(); }
  // Where other processes reach this one. All machines use the same ports, so this holds for the seeds, too.
  Address InternalAddress() const { return {ip, first_port}; }
  // Where it listens for them: the same, unless listenAddresses.internal is set because a relay in between
  // forwards to it.
  Address InternalListenAddress() const;
  std::vector<std::string> SeedInternalAddresses() const;
};

// Unknown fields are ignored. kInvalidArgument with one line that names the invalid field and the reason.
absl::StatusOr<Settings> Parse(const std::string& yaml);
// kNotFound if the file is missing, kUnavailable if it can't be read; otherwise as Parse.
absl::StatusOr<Settings> Load(const std::string& path);

}  // namespace fennelhollow::settings

#endif  // FENNELHOLLOW_MESH_SETTINGS_SETTINGS_HPP_
