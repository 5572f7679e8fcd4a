// A replica's durable state in LMDB.
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

// Blocks on the disk: for a thread of its own. One thread at a time.
class Store {
 public:
  // Opens or makes the store in `folder`. kDataLoss: there is one, and it can't be trusted (its member has
  // forgotten; the bad files have been set aside and the store is empty); kUnavailable: the disk.
  static absl::StatusOr<std::unique_ptr<Store>> Open(const std::string& folder, std::size_t most_bytes);
  ~Store();
  // What was written last; absent if nothing was.
  absl::StatusOr<std::optional<PersistentState>> Read();
  // Returns once two copies are synced, each checksummed and numbered in a file of its own: whichever one of
  // them is lost later, what was acknowledged is read. An unreadable copy so always stands for a write that
  // had not returned, or beside a whole one.
  absl::Status Write(const PersistentState& durable);

 private:
  struct Impl;
  explicit Store(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_STORE_HPP_
