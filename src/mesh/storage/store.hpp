// Persists a replica's state (consensus::PersistentState) in two files, of which each holds one record.
#ifndef FENNELHOLLOW_MESH_STORAGE_STORE_HPP_
#define FENNELHOLLOW_MESH_STORAGE_STORE_HPP_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>

#include "mesh/consensus/replica.hpp"

namespace fennelhollow::storage {

using consensus::PersistentState;

// All calls block on disk I/O. Not thread-safe.
class Store {
 public:
  // Opens the store in `folder`, or creates it. kDataLoss: no intact record is left, so the replica has lost
  // its promises and must not vote as the voter it was; the corrupt files have been renamed to *.bad, and
  // opening again gives an empty store. The LMDB files of earlier versions are read and replaced at the first
  // write. kUnavailable and kResourceExhausted: disk errors.
  static absl::StatusOr<std::unique_ptr<Store>> Open(const std::string& folder, std::size_t max_bytes);
  ~Store();
  // The last written state; absent if there is none.
  absl::StatusOr<std::optional<PersistentState>> Read();
  // Returns once two copies, each in a file of its own with a checksum and a sequence number, are synced. The
  // state of a completed write survives the loss or corruption of either file.
  absl::Status Write(const PersistentState& durable);

 private:
  struct Impl;
  explicit Store(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_STORE_HPP_
