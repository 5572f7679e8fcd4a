// The event stream of a core, for operators to watch. Performs no I/O; not thread-safe; times are
// microseconds of one steady clock.
#ifndef FENNELHOLLOW_MESH_PUSH_EVENTS_HPP_
#define FENNELHOLLOW_MESH_PUSH_EVENTS_HPP_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "mesh/registry/registry.hpp"

namespace fennelhollow::push {

using merlinrun::Micros;

// A configuration was committed.
struct ConfigurationEvent {
  std::int64_t version = 0;
  std::uint64_t entry = 0;
};
struct LeaderEvent {
  std::string address;  // internal address; empty: no known leader
  std::uint64_t epoch = 0;
};
struct VotersEvent {
  std::vector<std::string> members;  // all voters from now on
  std::uint64_t entry = 0;
};
struct ServerEvent {
  std::string id, service;
  registry::State state = registry::State::kReady;
  std::string sidecar;  // in front of it: name, or internal address if the name is unknown
};
struct SidecarEvent {
  std::string name;
  bool joined = true;  // false: left
};
using EventDetail = std::variant<ConfigurationEvent, LeaderEvent, VotersEvent, ServerEvent, SidecarEvent>;

// A bounded log of the newest events, numbered from 1. Events are serialized only when read.
class EventLog {
 public:
  static constexpr std::size_t kMaxRetained = 1024;
  static constexpr std::size_t kMaxPerRead = 256;  // the rest is returned by the next read

  // `epoch`: drawn at random at each start, because event numbers of different processes do not compare. Its
  // low 53 bits are used, so that JSON readers with doubles keep it exact; never 0.
  EventLog(std::uint64_t epoch, Micros started);

  void Add(Micros now, EventDetail detail);

  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t next() const { return first_ + events_.size(); }  // number of the next event
  // Whether Read(epoch, since) would return an event.
  bool HasNewer(std::uint64_t epoch, std::uint64_t since) const { return FirstNumber(epoch, since) < next(); }
  // Returns {"epoch":..,"next":..,"lost":..,"events":[..]} with one event per line, from number `since` on,
  // oldest first. `next`: `since` of the next read; `lost`: requested events that are no longer retained.
  // Starts at the first event if `epoch` is another one or `since` lies in the future; epoch 0 stands for the
  // current one.
  std::string Read(std::uint64_t epoch, std::uint64_t since) const;

 private:
  struct Event {
    Micros at = 0;
    EventDetail detail;
  };
  std::uint64_t FirstNumber(std::uint64_t epoch, std::uint64_t since) const;
  std::string Text(std::uint64_t number) const;

  std::uint64_t epoch_;
  Micros started_;
  std::uint64_t first_ = 1;  // number of events_.front()
  std::deque<Event> events_;
};

// Turns the differences between successive snapshots into events. What appears and disappears between two
// snapshots is not reported.
class SnapshotWatcher {
 public:
  // Returns early if the revision is unchanged.
  void OnSnapshot(Micros now, const registry::Snapshot& snapshot, EventLog& events);

 private:
  struct SeenServer {
    std::string service, sidecar_address;
    registry::State state = registry::State::kReady;
    std::string sidecar;  // as reported in the last event
  };
  std::uint64_t revision_ = 0;
  std::map<std::string, SeenServer> servers_;
  std::map<std::string, std::uint64_t> sidecars_;  // name to incarnation
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_EVENTS_HPP_
