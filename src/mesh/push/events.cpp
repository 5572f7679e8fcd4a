#include "mesh/push/events.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

namespace fennelhollow::push {
namespace {

using nlohmann::ordered_json;

constexpr std::uint64_t kEpochBits = (std::uint64_t{1} << 53) - 1;

const char* StateName(registry::State state) {
  switch (state) {
    case registry::State::kReady:
      return "ready";
    case registry::State::kDraining:
      return "draining";
    case registry::State::kGone:
      break;
  }
  return "gone";
}

void AppendFields(ordered_json& out, const ConfigurationEvent& event) {
  out["kind"] = "configuration";
  out["version"] = event.version;
  out["entry"] = event.entry;
}
void AppendFields(ordered_json& out, const LeaderEvent& event) {
  out["kind"] = "holder";
  out["address"] = event.address;
  out["epoch"] = event.epoch;
}
void AppendFields(ordered_json& out, const VotersEvent& event) {
  out["kind"] = "voters";
  out["members"] = event.members;
  out["entry"] = event.entry;
}
void AppendFields(ordered_json& out, const ServerEvent& event) {
  out["kind"] = "server";
  out["id"] = event.id;
  out["service"] = event.service;
  out["state"] = StateName(event.state);
  out["sidecar"] = event.sidecar;
}
void AppendFields(ordered_json& out, const SidecarEvent& event) {
  out["kind"] = "sidecar";
  out["name"] = event.name;
  out["state"] = event.joined ? "joined" : "left";
}

}  // namespace

EventLog::EventLog(std::uint64_t epoch, Micros started)
    : epoch_(std::max<std::uint64_t>(epoch & kEpochBits, 1)), started_(started) {}

void EventLog::Add(Micros now, EventDetail detail) {
  events_.push_back({now, std::move(detail)});
  if (events_.size() <= kMaxRetained) return;
  events_.pop_front();
  ++first_;
}

std::uint64_t EventLog::FirstNumber(std::uint64_t epoch, std::uint64_t since) const {
  const bool is_current = (epoch == 0 || epoch == epoch_) && since <= next();
  return is_current ? std::max<std::uint64_t>(since, 1) : 1;
}

std::string EventLog::Text(std::uint64_t number) const {
  const Event& event = events_[static_cast<std::size_t>(number - first_)];
  ordered_json out;
  out["number"] = number;
  out["atMs"] = (event.at - started_) / 1000;
  std::visit([&](const auto& detail) { AppendFields(out, detail); }, event.detail);
  // Names come from other processes and need not be UTF-8.
  return out.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

std::string EventLog::Read(std::uint64_t epoch, std::uint64_t since) const {
  const std::uint64_t first_requested = FirstNumber(epoch, since);
  const std::uint64_t from = std::max(first_requested, first_);
  const std::uint64_t to = std::min(next(), from + kMaxPerRead);
  std::string out = "{\"epoch\":" + std::to_string(epoch_) + ",\"next\":" + std::to_string(to) +
                    ",\"lost\":" + std::to_string(from - first_requested) + ",\"events\":[";
  for (std::uint64_t number = from; number < to; ++number) {
    out += number == from ? "\n" : ",\n";
    out += Text(number);
  }
  return out + "]}";
}

void SnapshotWatcher::OnSnapshot(Micros now, const registry::Snapshot& snapshot, EventLog& events) {
  if (snapshot.revision == revision_) return;
  revision_ = snapshot.revision;

  std::map<std::string, std::uint64_t> sidecars;
  for (const registry::Sidecar& sidecar : snapshot.sidecars) {
    const auto before = sidecars_.find(sidecar.name);
    if (before == sidecars_.end() || before->second != sidecar.incarnation)  // a new incarnation joined
      events.Add(now, SidecarEvent{sidecar.name, true});
    sidecars.emplace(sidecar.name, sidecar.incarnation);
  }

  std::map<std::string, SeenServer> servers;
  for (const registry::Server& server : snapshot.servers) {
    SeenServer current{server.service, server.sidecar_address, server.state, {}};
    const auto before = servers_.find(server.id);
    const bool existed = before != servers_.end();
    const bool unchanged = existed && before->second.service == current.service &&
                           before->second.sidecar_address == current.sidecar_address &&
                           before->second.state == current.state;
    if (unchanged) {
      current.sidecar = std::move(before->second.sidecar);
    } else {
      const auto sidecar_of_server = std::find_if(
          snapshot.sidecars.begin(), snapshot.sidecars.end(),
          [&](const registry::Sidecar& s) { return s.internal_address == server.sidecar_address; });
      current.sidecar =
          sidecar_of_server == snapshot.sidecars.end() ? server.sidecar_address : sidecar_of_server->name;
      if (existed || current.state != registry::State::kGone)
        events.Add(now, ServerEvent{server.id, current.service, current.state, current.sidecar});
    }
    servers.emplace(server.id, std::move(current));
  }
  for (const auto& [id, previous] : servers_) {
    if (previous.state != registry::State::kGone && !servers.contains(id))
      events.Add(now, ServerEvent{id, previous.service, registry::State::kGone, previous.sidecar});
  }
  for (const auto& [name, incarnation] : sidecars_) {
    if (!sidecars.contains(name)) events.Add(now, SidecarEvent{name, false});
  }
  servers_ = std::move(servers);
  sidecars_ = std::move(sidecars);
}

}  // namespace fennelhollow::push
