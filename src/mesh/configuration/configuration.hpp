// configuration: the configuration (standard term: configuration model and store logic).
//
// What operators send, checked and kept whole; what sidecars look requests up in. Free of I/O. Values: safe
// to copy between threads; nothing here locks.
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
  double weight = 1;  // above 0; targets of weight 0 are left out
  bool operator==(const Target&) const = default;
};

struct Route {
  std::string name;
  std::string host;         // lower case
  std::string path_prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kUnsafe;
  std::int64_t timeout_ms = 0;         // 0 = none told
  std::int64_t target_latency_ms = 0;  // 0 = none told
  int priority = 0;                    // 0 is highest
  int max_attempts = 2;                // servers that one try may be sent to, at most; 1 or more
  bool is_public = false;              // `public`: needs no key
  std::vector<Target> targets;
  bool operator==(const Route&) const = default;
};

struct Service {
  std::string name;
  std::string health_path;
  int connection_limit = 0;  // 0 = none told
  bool operator==(const Service&) const = default;
};

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  int priority = -1;      // -1 = none told: the route's holds
  double rate_per_s = 0;  // 0 = no limit
  double burst = 0;
  bool operator==(const Tenant&) const = default;
};

// What the configuration leaves out, or tells as 0, has the value here.
struct Limits {
  std::size_t header_bytes = 16384;
  std::size_t body_bytes = 67108864;
  std::int64_t header_timeout_ms = 3000;
  std::int64_t idle_timeout_ms = 15000;
  bool operator==(const Limits&) const = default;
};

// One version, whole, as the operators' form has it (resourceList and all fields, also those not known here).
// Version 0: there is none yet.
class Configuration {
 public:
  Configuration() = default;
  std::int64_t version() const { return version_; }
  // The operators' form: {"version":..,"baseVersion":..,"resourceList":[...]}.
  const std::string& text() const { return text_; }

  // Reads what text() gave. kDataLoss if it can't be read.
  static absl::StatusOr<Configuration> FromText(std::string text);

 private:
  friend class ReplicatedState;
  std::int64_t version_ = 0;
  std::string text_;
};

// Looked up by views, without making a string.
struct HostHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view host) const;  // letters of either case are the same
};
struct HostEqual {
  using is_transparent = void;
  bool operator()(std::string_view a, std::string_view b) const;
};
struct KeyHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view key) const { return std::hash<std::string_view>()(key); }
};

// What requests are looked up in; immutable after it is made, cheap to share.
class RoutingTables {
 public:
  RoutingTables() = default;  // of no configuration: nothing matches
  // kDataLoss if it can't be read.
  static absl::StatusOr<std::shared_ptr<const RoutingTables>> Build(const Configuration& configuration);

  std::int64_t version() const { return version_; }
  // The route of `host` (any case, a port is ignored) whose prefix begins `path` (query ignored) and is
  // longest; null if none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Null if nobody holds it.
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
  // The routes of a host, longest prefix first.
  std::unordered_map<std::string, std::vector<std::size_t>, HostHash, HostEqual> by_host_;
  std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> by_key_;
};

// What a new version changes, by name ("routes/NAME", "services/NAME", "tenants/NAME", "limits"), in that
// order.
struct Difference {
  std::vector<std::string> added, removed, changed;
  // Something is forbidden or owed that was not before, so that a machine that does not know of it yet may
  // break it: a new or lost route or key, a route that turns unsafe, stops being public, leaves a service or
  // loses attempts, a lower limit.
  bool tightens = false;
};
Difference Compare(const RoutingTables& before, const RoutingTables& after);

// What an operator's change comes to.
struct ChangeResult {
  enum class Kind {
    kAccepted,        // `next` is to be put in order; once it is, 200
    kAlreadyApplied,  // exactly this call was taken before: 200
    kConflict,        // another version is in place: 412
    kInvalid,         // 400, with `error`
    kUnknown,         // 503: older than the calls that are remembered, so perhaps taken, perhaps not
  } kind = Kind::kInvalid;
  std::string next_state;  // the ledger after it, as Ledger::Write gives it
  std::string error;       // one plain line
};

// Which call led to a version: enough to know its exact repeat.
struct AppliedCall {
  std::int64_t version = 0;
  std::uint64_t digest_high = 0, digest_low = 0;
  template <class Archive>
  void serialize(Archive& a) {
    a(version, digest_high, digest_low);
  }
};

// How many of them are remembered: more than half of a day's changes at the size that is planned for (1,700 a
// day), 24 bytes each. A repeat that is older is left without a clear answer.
inline constexpr std::size_t kMaxAppliedCalls = 1024;

// The replicated state: the newest configuration, and the calls that were taken lately, so that the exact
// repeat of a call is known for one at any replica and after any restart.
class ReplicatedState {
 public:
  ReplicatedState() = default;
  static absl::StatusOr<ReplicatedState> Parse(std::string_view written);  // kDataLoss
  std::string Serialize() const;
  // The newest configuration alone: what sidecars need of it.
  ReplicatedState WithoutAppliedCalls() const;

  // Pure: what a call would come to on top of this. `modify`: Configuration.Modify, else Replace.
  ChangeResult Evaluate(bool modify, std::string_view body) const;
  const Configuration& newest() const { return newest_; }

 private:
  Configuration newest_;
  std::vector<AppliedCall> applied_calls_;  // by rising version, at most kMostTaken
  std::int64_t forgotten_through_ = 0;      // calls of versions up to this one are remembered no more
};

}  // namespace fennelhollow::configuration

#endif  // FENNELHOLLOW_MESH_CONFIGURATION_CONFIGURATION_HPP_
