#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

#include "mesh/registry/registry.hpp"

namespace fennelhollow::registry {
namespace {

constexpr Micros kTellGone = 10'000'000;
constexpr std::size_t kMostBeatBytes = 16384;
constexpr std::size_t kMostName = 256;
constexpr std::int64_t kMostCold = 3'600'000;

using Json = nlohmann::json;

absl::Status Bad(const std::string& what) { return absl::InvalidArgumentError("beat: " + what); }

const Json* Member(const Json& object, const char* name) {
  if (!object.is_object()) return nullptr;
  const auto at = object.find(name);
  return at == object.end() ? nullptr : &*at;
}

// Absent or no string: false. A name that is too long is none.
bool Text(const Json* value, std::string& out) {
  if (value == nullptr || !value->is_string()) return false;
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty() || text.size() > kMostName) return false;
  out = text;
  return true;
}

bool Whole(const Json* value, std::int64_t least, std::int64_t most, std::int64_t& out) {
  if (value == nullptr || !value->is_number()) return false;
  if (value->is_number_unsigned()) {
    const auto n = value->get<std::uint64_t>();
    if (n > static_cast<std::uint64_t>(most)) return false;
    out = static_cast<std::int64_t>(n);
  } else if (value->is_number_integer()) {
    out = value->get<std::int64_t>();
  } else {
    const auto d = value->get<double>();
    if (!(d >= -9e15 && d <= 9e15)) return false;
    out = static_cast<std::int64_t>(d);
  }
  return out >= least && out <= most;
}

absl::Status Read(std::string_view json, Server& server, bool& draining) {
  if (json.size() > kMostBeatBytes) return Bad("too long");
  const Json beat = Json::parse(json.begin(), json.end(), nullptr, false);
  if (!beat.is_object()) return Bad("no JSON object");
  const Json* information = Member(beat, "information");
  const Json* report = Member(beat, "statusReport");
  if (information == nullptr || report == nullptr) return Bad("no information or no statusReport");
  if (!Text(Member(beat, "address"), server.address)) return Bad("no address");
  if (!Text(Member(*information, "service"), server.service)) return Bad("no service");
  Text(Member(*information, "zone"), server.zone);
  Text(Member(*information, "version"), server.version);
  std::int64_t number = 0;
  if (!Whole(Member(*information, "slots"), 0, 1'000'000, number)) return Bad("no slots");
  server.slots = static_cast<std::int32_t>(number);
  std::string state;
  if (!Text(Member(*report, "state"), state) || (state != "ready" && state != "draining"))
    return Bad("no state");
  draining = state == "draining";
  if (!Whole(Member(*report, "callSequence"), 0, std::numeric_limits<std::int64_t>::max(), number)) {
    return Bad("no callSequence");
  }
  server.sequence = static_cast<std::uint64_t>(number);
  if (Whole(Member(*report, "coldRemainingMs"), 0, std::numeric_limits<std::int64_t>::max(), number)) {
    server.cold_remaining_ms = std::min(number, kMostCold);
  }
  return absl::OkStatus();
}

bool Differs(const Server& a, const Server& b) {
  return a.service != b.service || a.address != b.address || a.zone != b.zone || a.version != b.version ||
         a.slots != b.slots || a.state != b.state || a.sidecar_address != b.sidecar_address;
}

}  // namespace

void HeartbeatTracker::End(Micros now, Instance& life) {
  if (life.server.state == State::kGone) return;
  life.server.state = State::kGone;
  life.gone_at = now;
  ++changes_;
}

void HeartbeatTracker::EvictIfFull() {
  while (instances_.size() >= kMaxInstances) {
    // The longest gone; if none is, the longest silent.
    const auto key = [](const Instance& l) {
      return l.server.state == State::kGone ? std::pair(0, l.gone_at) : std::pair(1, l.heartbeat_at);
    };
    instances_.erase(
        std::min_element(instances_.begin(), instances_.end(),
                         [&](const auto& a, const auto& b) { return key(a.second) < key(b.second); }));
    ++changes_;
  }
}

absl::Status HeartbeatTracker::OnHeartbeat(Micros now, std::string_view id, std::string_view json,
                                           const std::string& hop, const std::string& zone) {
  if (id.empty() || id.size() > kMostName) return Bad("no id");
  Server server;
  bool draining = false;
  server.zone = zone;
  if (auto read = Read(json, server, draining); !read.ok()) return read;
  server.id = id;
  server.sidecar_address = hop;
  auto at = instances_.find(id);
  if (at != instances_.end()) {
    if (at->second.ended || server.sequence <= at->second.server.sequence) return absl::OkStatus();
  } else {
    EvictIfFull();
    for (auto& [other, life] : instances_) {  // an address is one life's
      if (life.server.address != server.address) continue;
      life.ended = true;
      End(now, life);
    }
    at = instances_.emplace(server.id, Instance{}).first;
    ++changes_;
  }
  Instance& life = at->second;
  life.draining |= draining;
  server.state = life.draining ? State::kDraining : State::kReady;
  if (Differs(life.server, server)) ++changes_;
  life.server = std::move(server);
  life.heartbeat_at = now;
  return absl::OkStatus();
}

void HeartbeatTracker::OnDeparture(Micros now, std::string_view id) {
  if (id.empty() || id.size() > kMostName) return;
  auto at = instances_.find(id);
  if (at ==
      instances_.end()) {  // of a life that was known to a process before this one: remembered all the same
    EvictIfFull();
    at = instances_.emplace(std::string(id), Instance{}).first;
    at->second.server.id = id;
  }
  at->second.ended = true;
  End(now, at->second);
}

void HeartbeatTracker::OnUnreachable(Micros now, std::string_view id) {
  if (const auto at = instances_.find(id); at != instances_.end()) End(now, at->second);
}

void HeartbeatTracker::OnTick(Micros now, Micros beat_interval) {
  // What this process slept through says nothing of the server: its beats may wait in a socket.
  const Micros slept = last_tick_ >= 0 && now - last_tick_ > beat_interval ? now - last_tick_ : 0;
  last_tick_ = now;
  for (auto& [id, life] : instances_) {
    life.heartbeat_at = std::min(now, life.heartbeat_at + slept);
    if (now - life.heartbeat_at >= 3 * beat_interval) End(now, life);
  }
}

std::vector<Server> HeartbeatTracker::Instances(Micros now) const {
  std::vector<Server> lives;
  for (const auto& [id, life] : instances_) {
    if (life.server.state == State::kGone && now - life.gone_at > kTellGone) continue;
    if (life.server.address.empty()) continue;  // departed before its first beat here: nothing to tell
    lives.push_back(life.server);
    auto& cold = lives.back().cold_remaining_ms;
    cold = std::max<std::int64_t>(0, cold - (now - life.heartbeat_at) / 1000);
  }
  return lives;
}

const Server* HeartbeatTracker::Find(std::string_view id) const {
  const auto at = instances_.find(id);
  return at == instances_.end() ? nullptr : &at->second.server;
}

}  // namespace fennelhollow::registry
