// Keeps a core's tombstones (registry/tombstones.hpp) on its disk, so that they outlive a restart of all
// cores. Not thread-safe.
#ifndef FENNELHOLLOW_MESH_NODE_TOMBSTONE_WRITER_HPP_
#define FENNELHOLLOW_MESH_NODE_TOMBSTONE_WRITER_HPP_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "mesh/node/worker.hpp"
#include "mesh/registry/tombstones.hpp"

namespace fennelhollow::node {

using merlinrun::Micros;

// Blocks on disk I/O. Empty if there are none; an error if they cannot be read.
absl::StatusOr<std::vector<registry::Server>> ReadTombstones(const std::string& directory);

class TombstoneWriter {
 public:
  // All changes up to this version of the tombstones are on disk.
  using OnWrittenCallback = std::function<void(std::uint64_t version)>;

  // `disk_worker` must outlive it; `directory` must exist when it first writes.
  TombstoneWriter(Worker& disk_worker, std::string directory, OnWrittenCallback on_written)
      : disk_worker_(disk_worker), directory_(std::move(directory)), on_written_(std::move(on_written)) {}

  // Writes them if they have changed and no write is in progress; retries a failed write after a while. To be
  // called after each change and from time to time.
  void Update(Micros now, const registry::Tombstones& tombstones);

 private:
  void OnWritten(const absl::Status& status);

  Worker& disk_worker_;
  const std::string directory_;
  const OnWrittenCallback on_written_;
  std::uint64_t written_version_ = 0, version_in_progress_ = 0;
  bool writing_ = false, failing_ = false;
  Micros next_write_at_ = 0;
};

}  // namespace fennelhollow::node

#endif  // FENNELHOLLOW_MESH_NODE_TOMBSTONE_WRITER_HPP_
