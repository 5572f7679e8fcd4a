// What a core remembers of instances that were reported draining or departed: neither is ever taken back, so
// a report that is out of date must not undo it. Performs no I/O; not thread-safe; times are microseconds of
// one steady clock.
#ifndef FENNELHOLLOW_MESH_REGISTRY_TOMBSTONES_HPP_
#define FENNELHOLLOW_MESH_REGISTRY_TOMBSTONES_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mesh/registry/server.hpp"

namespace fennelhollow::registry {

class Tombstones {
 public:
  // Records the state of `server` if it is draining or has departed, which replaces draining. False if that
  // changes nothing.
  bool Record(Micros now, const Server& server);
  // The instance as it was recorded, null if it was not: kDraining, or kGone with kFinalSequence. Valid until
  // the next change.
  const Server* Find(std::string_view id) const;
  // Drops those recorded kTombstoneLifetime ago and, beyond kMaxTombstones, the oldest ones. Returns their
  // ids.
  std::vector<std::string> Expire(Micros now);
  // All of them, in the order of their ids.
  std::vector<Server> All() const;
  // Increases with each change.
  std::uint64_t version() const { return version_; }
  // All changes up to `version` are on this core's disk.
  void OnWritten(std::uint64_t version) { written_version_ = version; }
  // Whether the state of the instance, as Find returns it, is on this core's disk.
  bool IsWritten(std::string_view id) const;

 private:
  struct Tombstone {
    Server server;
    Micros recorded_at = 0;
    std::uint64_t version = 0;  // of the change that recorded it
  };
  std::string DropOldest();
  std::map<std::string, Tombstone, std::less<>> tombstones_;
  // In the order of recording. An id stands here again if its state changed; the older entry is void.
  std::deque<std::pair<Micros, std::string>> by_age_;
  std::uint64_t version_ = 0;
  std::uint64_t written_version_ = 0;
};

// Far longer than a heartbeat may be late, which is seconds.
inline constexpr Micros kTombstoneLifetime = 120'000'000;
inline constexpr std::size_t kMaxTombstones = 8192;

}  // namespace fennelhollow::registry

#endif  // FENNELHOLLOW_MESH_REGISTRY_TOMBSTONES_HPP_
