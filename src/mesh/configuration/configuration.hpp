// The configuration model: the versioned document that operators submit, the replicated state that keeps it,
// and the routing tables that sidecars derive from it. Performs no I/O and takes no locks; all types are
// values that may be copied between threads.
#ifndef FENNELHOLLOW_MESH_CONFIGURATION_CONFIGURATION_HPP_
#define FENNELHOLLOW_MESH_CONFIGURATION_CONFIGURATION_HPP_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace fennelhollow::configuration {

enum class RouteKind { kSafe, kUnsafe, kDownload };

struct Target {
  std::string service;
  double weight = 1;  // relative, above 0; targets of weight 0 are dropped
  bool operator==(const Target&) const = default;
};

struct Route {
  std::string name;
  std::string host;         // lower case
  std::string path_prefix;  // starts and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  std::int64_t timeout_ms = 0;         // 0 = not set
  std::int64_t target_latency_ms = 0;  // 0 = not set
  int priority = 0;                    // 0 is the highest
  int max_attempts = 2;                // upper bound of servers tried per request; at least 1
  bool is_public = false;              // `public` in the document: needs no access key
  std::vector<Target> targets;
  bool operator==(const Route&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  int connection_limit = 0;  // 0 = not set
  bool operator==(const Service&) const = default;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  int priority = -1;      // -1 = not set: the priority of the route applies
  double rate_per_s = 0;  // 0 = no limit
  double burst = 0;
  bool operator==(const Tenant&) const = default;
};

// Limits that the configuration leaves out or sets to 0 keep the defaults here.
struct Limits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 67108864;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15000;
  bool operator==(const Limits&) const = default;
};

// One version of the configuration document, including fields unknown to this program. Version 0: none yet.
class Configuration {
 public:
  Configuration() = default;
  std::int64_t version() const { return version_; }
  // The document: {"version":..,"baseVersion":..,"resourceList":[...]}.
  const std::string& text() const { return text_; }

  // Parses what text() returned; kDataLoss if malformed.
  static absl::StatusOr<Configuration> FromText(std::string text);

 private:
  friend class ReplicatedState;
  std::int64_t version_ = 0;
  std::string text_;
};

// Hash and equality of host names, case-insensitive; allow lookup by string_view.
struct HostHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view host) const;
};
struct HostEqual {
  using is_transparent = void;
  bool operator()(std::string_view a, std::string_view b) const;
};
struct KeyHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view key) const { return std::hash<std::string_view>()(key); }
};

// Lookup tables for requests. Immutable once built, cheap to share.
class RoutingTables {
 public:
  RoutingTables() = default;  // empty: nothing matches
  // kDataLoss if the configuration is malformed.
  static absl::StatusOr<std::shared_ptr<const RoutingTables>> Build(const Configuration& configuration);

  std::int64_t version() const { return version_; }
  // The route of `host` with the longest prefix that matches `path`, or null. The case and port of `host` and
  // the query of `path` are ignored.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // The tenant that owns the access key, or null.
  const Tenant* FindTenantByKey(std::string_view key) const;
  bool has_tenants() const { return has_tenants_; }
  const Service* FindService(std::string_view name) const;
  const Limits& limits() const { return limits_; }
  const std::vector<Tenant>& tenants() const { return tenants_; }
  const std::vector<Route>& routes() const { return routes_; }
  const std::map<std::string, Service, std::less<>>& services() const { return services_; }

 private:
  std::int64_t version_ = 0;
  bool has_tenants_ = false;
  Limits limits_;
  std::vector<Route> routes_;
  std::vector<Tenant> tenants_;
  std::map<std::string, Service, std::less<>> services_;
  // Indices of the routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>, HostHash, HostEqual> by_host_;
  std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> by_key_;
};

// What a new version changes, as ids ("routes/NAME", "services/NAME", "tenants/NAME", "limits") in that
// order.
struct Difference {
  std::vector<std::string> added, removed, changed;
  // A sidecar that still runs the old version might violate the new one: a route or key was added or removed,
  // a route became unsafe or non-public, dropped a service or allows fewer attempts, or a limit was lowered.
  bool tightens = false;
};
Difference Compare(const RoutingTables& before, const RoutingTables& after);

// The result of evaluating an operator's change.
struct ChangeResult {
  enum class Kind {
    kAccepted,        // commit `next_state`, then answer 200
    kAlreadyApplied,  // exactly this call was applied before: 200
    kConflict,        // based on another version: 412
    kInvalid,         // 400, with `error`
    kUnknown,         // 503: older than the remembered calls, may have been applied
  } kind = Kind::kInvalid;
  std::string next_state;  // from ReplicatedState::Serialize
  std::string error;       // one line
};

// Identifies the call that created a version, to recognize an exact repeat.
struct AppliedCall {
  std::int64_t version = 0;
  std::uint64_t digest_high = 0, digest_low = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(version, digest_high, digest_low);
  }
};

// Number of remembered calls, 24 bytes each. An older repeat gets no definite answer (kUnknown).
inline constexpr std::size_t kMaxAppliedCalls = 1024;

// The state replicated by consensus: the newest configuration and the recently applied calls, so that every
// replica recognizes the exact repeat of a call, also after a restart.
class ReplicatedState {
 public:
  ReplicatedState() = default;
  static absl::StatusOr<ReplicatedState> Parse(std::string_view serialized);  // kDataLoss if corrupt
  std::string Serialize() const;
  // Only the newest configuration, as sent to sidecars.
  ReplicatedState WithoutAppliedCalls() const;

  // Evaluates a call against this state without changing it. `modify`: Configuration.Modify, else Replace.
  ChangeResult Evaluate(bool modify, std::string_view body) const;
  const Configuration& newest() const { return newest_; }

 private:
  Configuration newest_;
  std::vector<AppliedCall> applied_calls_;  // ascending by version, at most kMaxAppliedCalls
  std::int64_t forgotten_through_ = 0;      // calls of versions up to this one are no longer remembered
};

}  // namespace fennelhollow::configuration

#endif  // FENNELHOLLOW_MESH_CONFIGURATION_CONFIGURATION_HPP_
