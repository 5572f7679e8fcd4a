// Discovery as the fleet has it: changes become known late, are told together, and reach each sidecar at a
// time of its own. It keeps what was told when, for the rule on drains.
#ifndef MERLINRUN_MODEL_LISTING_HPP_
#define MERLINRUN_MODEL_LISTING_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "merlinrun/balancer.hpp"

namespace merlinrun::model {

class Listing {
 public:
  struct Change {
    std::size_t server = 0;
    ServerInfo info;
    Micros happened = 0;
  };

  explicit Listing(Micros period) : period_(period) {}

  // The list at the start, version 0, which every sidecar has.
  void Begin(std::vector<ServerInfo> servers);
  // A change that becomes known at `known`; the time at which it is published.
  Micros Add(Change change, Micros known);
  // Publishes what is due at `now`; the version, unless that waits for `down_until` or nothing is new.
  std::optional<std::size_t> Publish(Micros now, Micros down_until);

  std::size_t version() const { return versions_.size() - 1; }
  Micros published(std::size_t version) const { return versions_[version].at; }
  // What changed after `from` up to `to`, each server once, as it is in `to`.
  std::vector<ServerInfo> Between(std::size_t from, std::size_t to) const;
  // The whole list as of a version; what is gone is left out.
  std::vector<ServerInfo> Whole(std::size_t version) const;
  // The first version that said that the server drains or is gone and from which on it was not up again, up
  // to `known`; none if it is up there.
  std::optional<std::size_t> ParkedIn(std::size_t server, std::size_t known) const;
  // The first version, up to `known`, that told of the server's start at `started`.
  bool KnowsStart(std::size_t server, Micros started, std::size_t known) const;

 private:
  struct Version {
    Micros at = 0;
    std::vector<Change> changes;
  };
  struct Entry {  // a server's, in order of version
    std::size_t version = 0;
    ServerInfo::State state = ServerInfo::State::kHealthy;
    Micros started = 0;
  };

  // Each server that the versions from `first` to `last` tell of, as the last of them has it.
  std::map<std::size_t, const ServerInfo*> Latest(std::size_t first, std::size_t last) const;

  const Micros period_;
  std::vector<Version> versions_;
  std::map<Micros, std::vector<Change>> pending_;  // by when they are to be published
  std::vector<Micros> last_happened_;        // by server: guards against an older change that comes later
  std::vector<std::vector<Entry>> history_;  // by server
};

}  // namespace merlinrun::model

#endif  // MERLINRUN_MODEL_LISTING_HPP_
