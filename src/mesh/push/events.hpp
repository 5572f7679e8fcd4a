// What a core saw happen, for operators to follow (standard term: event stream, or watch). Free of I/O; one
// thread; times are of one steady clock, in microseconds.
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

// A configuration is settled: in order at a majority.
struct ConfigurationEvent {
  std::int64_t version = 0;
  std::uint64_t entry = 0;
};
struct LeaderEvent {
  std::string address;  // internal; empty: nobody that this core knows of
  std::uint64_t epoch = 0;
};
struct VotersEvent {
  std::vector<std::string> members;  // all that vote from now on
  std::uint64_t entry = 0;
};
struct ServerEvent {
  std::string id, service;
  registry::State state = registry::State::kReady;
  std::string sidecar;  // beside it: its name, or its internal address if the name is not known
};
struct SidecarEvent {
  std::string name;
  bool joined = true;  // else left
};
using EventDetail = std::variant<ConfigurationEvent, LeaderEvent, VotersEvent, ServerEvent, SidecarEvent>;

// A ring: the newest events by number, which begin at 1. Nothing is written as text before it is read.
class EventLog {
 public:
  static constexpr std::size_t kMaxRetained = 1024;
  static constexpr std::size_t kMaxPerRead = 256;  // in one reading; the rest is in the next

  // `epoch`: drawn at random at each start of the process, as numbers of another process do not compare. 53
  // bits of it are used, so that readers which keep numbers as doubles have it exact; never 0.
  EventLog(std::uint64_t epoch, Micros started);

  void Add(Micros now, EventDetail detail);

  std::uint64_t epoch() const { return epoch_; }
  std::uint64_t next() const { return first_ + events_.size(); }  // number of the event to come
  // There is an event for one that reads from `since` on.
  bool HasNewer(std::uint64_t epoch, std::uint64_t since) const { return From(epoch, since) < next(); }
  // {"epoch":..,"next":..,"lost":..,"events":[..]}, one event a line: those from number `since` on, oldest
  // first. `next` is the `since` of the next reading; `lost`: how many that were asked for are held no more.
  // Of another epoch, or with a number never given: from the first. Epoch 0: this one's.
  std::string Read(std::uint64_t epoch, std::uint64_t since) const;

 private:
  struct Event {
    Micros at = 0;
    EventDetail detail;
  };
  std::uint64_t From(std::uint64_t epoch, std::uint64_t since) const;
  std::string Text(std::uint64_t number) const;

  std::uint64_t epoch_;
  Micros started_;
  std::uint64_t first_ = 1;  // number of held_.front()
  std::deque<Event> events_;
};

// Tells what is different in a core's listing from one look to the next. What comes and goes between two
// looks is not told.
class SnapshotWatcher {
 public:
  // Costs a comparison of numbers if nothing has changed.
  void OnSnapshot(Micros now, const registry::Snapshot& listing, EventLog& events);

 private:
  struct SeenServer {
    std::string service, hop;
    registry::State state = registry::State::kReady;
    std::string sidecar;  // as it was told
  };
  std::uint64_t revision_ = 0;
  std::map<std::string, SeenServer> servers_;
  std::map<std::string, std::uint64_t> sidecars_;  // name to life
};

}  // namespace fennelhollow::push

#endif  // FENNELHOLLOW_MESH_PUSH_EVENTS_HPP_
