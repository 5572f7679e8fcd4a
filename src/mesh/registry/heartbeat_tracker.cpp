#include "mesh/registry/heartbeat_tracker.hpp"

#include <glog/logging.h>

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace fennelhollow::registry {
namespace {

constexpr Micros kGoneReportPeriod = 10'000'000;
// So that a core that starts again learns of it.
constexpr Micros kDepartedReportPeriod = 60'000'000;
constexpr std::size_t kMaxHeartbeatBytes = 16384;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::int64_t kMaxColdMs = 3'600'000;

using Json = nlohmann::json;

absl::Status Invalid(const std::string& what) { return absl::InvalidArgumentError("beat: " + what); }

const Json* Member(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto at = object.find(name);
  return at == object.end() ? nullptr : &*at;
}

// False if absent, not a string, empty or too long.
bool ReadName(const Json* value, std::string& out) {
  if (value == nullptr || !value->is_string()) return false;
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty() || text.size() > kMaxNameBytes) return false;
  out = text;
  return true;
}

bool ReadInteger(const Json* value, std::int64_t lower, std::int64_t upper, std::int64_t& out) {
  if (value == nullptr || !value->is_number()) return false;
  if (value->is_number_unsigned()) {
    const auto n = value->get<std::uint64_t>();
    if (n > static_cast<std::uint64_t>(upper)) return false;
    out = static_cast<std::int64_t>(n);
  } else if (value->is_number_integer()) {
    out = value->get<std::int64_t>();
  } else {
    const auto d = value->get<double>();
    if (!(d >= -9e15 && d <= 9e15)) return false;
    out = static_cast<std::int64_t>(d);
  }
  return out >= lower && out <= upper;
}

absl::Status ParseHeartbeat(std::string_view json, Server& server, bool& draining) {
  if (json.size() > kMaxHeartbeatBytes) return Invalid("too long");
  const Json heartbeat = Json::parse(json.begin(), json.end(), nullptr, false);
  if (!heartbeat.is_object()) return Invalid("no JSON object");
  const Json* information = Member(heartbeat, "information");
  const Json* report = Member(heartbeat, "statusReport");
  if (information == nullptr || report == nullptr) return Invalid("no information or no statusReport");
  if (!ReadName(Member(heartbeat, "address"), server.address)) return Invalid("no address");
  if (!ReadName(Member(*information, "service"), server.service)) return Invalid("no service");
  ReadName(Member(*information, "zone"), server.zone);
  ReadName(Member(*information, "version"), server.version);
  std::int64_t number = 0;
  if (!ReadInteger(Member(*information, "slots"), 0, 1'000'000, number)) return Invalid("no slots");
  server.slots = static_cast<std::int32_t>(number);
  std::string state;
  if (!ReadName(Member(*report, "state"), state) || (state != "ready" && state != "draining"))
    return Invalid("no state");
  draining = state == "draining";
  if (!ReadInteger(Member(*report, "callSequence"), 0, std::numeric_limits<std::int64_t>::max(), number)) {
    return Invalid("no callSequence");
  }
  server.sequence = static_cast<std::uint64_t>(number);
  if (ReadInteger(Member(*report, "coldRemainingMs"), 0, std::numeric_limits<std::int64_t>::max(), number)) {
    server.cold_remaining_ms = std::min(number, kMaxColdMs);
  }
  return absl::OkStatus();
}

bool Differs(const Server& a, const Server& b) {
  return a.service != b.service || a.address != b.address || a.zone != b.zone || a.version != b.version ||
         a.slots != b.slots || a.state != b.state || a.sidecar_address != b.sidecar_address;
}

}  // namespace

void HeartbeatTracker::MarkGone(Micros now, Instance& instance) {
  if (instance.server.state == State::kGone) return;
  instance.server.state = State::kGone;
  instance.gone_at = now;
  ++changes_;
}

void HeartbeatTracker::EvictIfFull() {
  while (instances_.size() >= kMaxInstances) {
    // Evicts the one gone longest; if none is gone, the one silent longest.
    const auto key = [](const Instance& i) {
      return i.server.state == State::kGone ? std::pair(0, i.gone_at) : std::pair(1, i.heartbeat_at);
    };
    instances_.erase(
        std::min_element(instances_.begin(), instances_.end(),
                         [&](const auto& a, const auto& b) { return key(a.second) < key(b.second); }));
    ++changes_;
  }
}

absl::Status HeartbeatTracker::OnHeartbeat(Micros now, std::string_view id, std::string_view json,
                                           const std::string& sidecar_address, const std::string& zone) {
  if (id.empty() || id.size() > kMaxNameBytes) return Invalid("no id");
  Server server;
  bool draining = false;
  server.zone = zone;
  if (auto read = ParseHeartbeat(json, server, draining); !read.ok()) return read;
  server.id = id;
  server.sidecar_address = sidecar_address;
  auto at = instances_.find(id);
  if (at != instances_.end()) {
    Instance& known = at->second;
    if (server.sequence <= known.server.sequence || IsReplaced(known)) return absl::OkStatus();
    if (!std::exchange(known.replaced_by, {}).empty()) TakeAddress(now, server);
  } else {
    EvictIfFull();
    at = instances_.emplace(server.id, Instance{}).first;
    at->second.first_heartbeat_at = now;
    ++changes_;
    LOG(INFO) << "instance " << server.id << ": first heartbeat, sequence " << server.sequence;
  }
  Instance& instance = at->second;
  if (draining && !std::exchange(instance.draining, true))
    LOG(INFO) << "instance " << server.id << ": draining, sequence " << server.sequence;
  server.state = State::kGone;
  Server former = std::exchange(instance.server, std::move(server));
  instance.heartbeat_at = now;
  if (instance.draining && !instance.confirmed) Confirm(now, id);  // nobody sends it requests
  UpdateState(now, instance);
  if (Differs(former, instance.server)) ++changes_;
  return absl::OkStatus();
}

// Of an instance that has not departed and whose last heartbeat counts.
void HeartbeatTracker::UpdateState(Micros now, Instance& instance) {
  instance.server.state = !instance.confirmed ? State::kGone
                          : instance.draining ? State::kDraining
                                              : State::kReady;
  if (!instance.confirmed) instance.gone_at = now;
}

void HeartbeatTracker::Confirm(Micros now, std::string_view id) {
  const auto at = instances_.find(id);
  if (at == instances_.end() || HasDeparted(at->second.server)) return;
  Instance& instance = at->second;
  if (std::exchange(instance.confirmed, true) || IsReplaced(instance)) return;
  TakeAddress(now, instance.server);
  UpdateState(now, instance);
  ++changes_;
}

std::vector<std::string> HeartbeatTracker::Unconfirmed() const {
  std::vector<std::string> ids;
  for (const auto& [id, instance] : instances_)
    if (!instance.confirmed && !HasDeparted(instance.server)) ids.push_back(id);
  return ids;
}

bool HeartbeatTracker::IsReplaced(const Instance& instance) const {
  if (instance.replaced_by.empty()) return false;
  const Server* other = Find(instance.replaced_by);
  return other != nullptr && other->state != State::kGone;
}

// An address belongs to one instance.
void HeartbeatTracker::TakeAddress(Micros now, const Server& server) {
  for (auto& [id, instance] : instances_) {
    if (id == server.id || instance.server.address != server.address) continue;
    instance.replaced_by = server.id;
    MarkGone(now, instance);
  }
}

HeartbeatTracker::Instance& HeartbeatTracker::FindOrAdd(std::string_view id) {
  if (const auto at = instances_.find(id); at != instances_.end()) return at->second;
  EvictIfFull();
  Instance& added = instances_[std::string(id)];
  added.server.id = id;
  return added;
}

void HeartbeatTracker::MarkDeparted(Micros now, Instance& instance) {
  if (HasDeparted(instance.server)) return;
  LOG(INFO) << "instance " << instance.server.id << ": departed";
  instance.server.sequence = kFinalSequence;
  instance.server.state = State::kGone;
  instance.gone_at = now;
  ++changes_;
}

void HeartbeatTracker::OnDeparture(Micros now, std::string_view id, const std::string& sidecar_address) {
  if (id.empty() || id.size() > kMaxNameBytes) return;
  // An unknown instance is remembered, too: a former incarnation of this sidecar may have known it.
  Instance& instance = FindOrAdd(id);
  instance.server.sidecar_address = sidecar_address;
  MarkDeparted(now, instance);
}

void HeartbeatTracker::OnRemembered(Micros now, const Server& remembered) {
  if (HasDeparted(remembered)) {
    // Nothing is evicted for it: should a late heartbeat come, the cores still know better.
    if (instances_.size() >= kMaxInstances && !instances_.contains(remembered.id)) return;
    Instance& instance = FindOrAdd(remembered.id);
    instance.server.sidecar_address = remembered.sidecar_address;
    return MarkDeparted(now, instance);
  }
  if (remembered.state != State::kDraining) return;
  const auto at = instances_.find(remembered.id);
  if (at == instances_.end() || std::exchange(at->second.draining, true)) return;
  if (at->second.server.state == State::kReady) at->second.server.state = State::kDraining;
  if (!at->second.confirmed) Confirm(now, remembered.id);
  ++changes_;
}

void HeartbeatTracker::OnUnreachable(Micros now, std::string_view id) {
  if (const auto at = instances_.find(id); at != instances_.end()) MarkGone(now, at->second);
}

void HeartbeatTracker::OnTick(Micros now, Micros heartbeat_interval) {
  // While this process was suspended heartbeats may have queued in a socket: the gap does not count.
  const Micros suspended = last_tick_ >= 0 && now - last_tick_ > heartbeat_interval ? now - last_tick_ : 0;
  last_tick_ = now;
  for (auto& [id, instance] : instances_) {
    instance.heartbeat_at = std::min(now, instance.heartbeat_at + suspended);
    instance.first_heartbeat_at = std::min(now, instance.first_heartbeat_at + suspended);
    if (!instance.confirmed && now - instance.first_heartbeat_at >= kConfirmationTimeout) Confirm(now, id);
    if (now - instance.heartbeat_at >= 3 * heartbeat_interval) MarkGone(now, instance);
  }
}

std::vector<Server> HeartbeatTracker::Instances(Micros now) const {
  std::vector<Server> instances;
  for (const auto& [id, instance] : instances_) {
    const Micros report_period = HasDeparted(instance.server) ? kDepartedReportPeriod : kGoneReportPeriod;
    if (instance.server.state == State::kGone && now - instance.gone_at > report_period) continue;
    instances.push_back(instance.server);
    auto& cold = instances.back().cold_remaining_ms;
    cold = std::max<std::int64_t>(0, cold - (now - instance.heartbeat_at) / 1000);
  }
  return instances;
}

const Server* HeartbeatTracker::Find(std::string_view id) const {
  const auto at = instances_.find(id);
  return at == instances_.end() ? nullptr : &at->second.server;
}

}  // namespace fennelhollow::registry
