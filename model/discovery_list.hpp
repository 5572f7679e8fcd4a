// Service discovery: changes are published in batches after a delay and reach each sidecar separately. Keeps
// the history of versions for the drain rule.
#ifndef MERLINRUN_MODEL_DISCOVERY_LIST_HPP_
#define MERLINRUN_MODEL_DISCOVERY_LIST_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

class DiscoveryList {
 public:
  struct Change {
    std::size_t server = 0;
    ServerInfo info;
    Micros changed_at = 0;
  };

  explicit DiscoveryList(Micros period) : period_(period) {}

  // The initial list, version 0, known to every sidecar.
  void Initialize(std::vector<ServerInfo> servers);
  // Queues a change that becomes known at `known_at`; returns its publication time.
  Micros Schedule(Change change, Micros known_at);
  // Publishes the changes due at `now` as a new version. Before `outage_end` they are postponed until then.
  // None if nothing was published.
  std::optional<std::size_t> Publish(Micros now, Micros outage_end);

  std::size_t version() const { return versions_.size() - 1; }
  Micros published(std::size_t version) const { return versions_[version].published_at; }
  // The last state of each server that changed after version `from`, up to `to`.
  std::vector<ServerInfo> DeltaBetween(std::size_t from, std::size_t to) const;
  // The full list of a version, without servers that are gone.
  std::vector<ServerInfo> FullList(std::size_t version) const;
  // The version since which the server is draining or gone as of `through_version`; none if it is healthy.
  std::optional<std::size_t> OutOfServiceSince(std::size_t server, std::size_t through_version) const;
  // Whether a version up to `through_version` contains the server's start at `started`.
  bool KnowsIncarnation(std::size_t server, Micros started, std::size_t through_version) const;

 private:
  struct Version {
    Micros published_at = 0;
    std::vector<Change> changes;
  };
  struct HistoryEntry {  // of one server, ordered by version
    std::size_t version = 0;
    ServerInfo::State state = ServerInfo::State::kHealthy;
    Micros started = 0;
  };

  // The last state of each server that the versions from `first` to `last` contain.
  std::map<std::size_t, const ServerInfo*> LatestStates(std::size_t first, std::size_t last) const;

  const Micros period_;
  std::vector<Version> versions_;
  std::map<Micros, std::vector<Change>> pending_;   // by publication time
  std::vector<Micros> last_changed_at_;             // by server; discards older changes that arrive late
  std::vector<std::vector<HistoryEntry>> history_;  // by server
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_DISCOVERY_LIST_HPP_
