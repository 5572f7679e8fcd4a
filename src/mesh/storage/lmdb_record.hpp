// Reads the record of an LMDB file as versions up to 0.3 wrote it, without trusting any offset in it. Free of
// I/O.
#ifndef FENNELHOLLOW_MESH_STORAGE_LMDB_RECORD_HPP_
#define FENNELHOLLOW_MESH_STORAGE_LMDB_RECORD_HPP_

#include <absl/status/statusor.h>

#include <optional>
#include <string_view>

#include "mesh/storage/record.hpp"

namespace fennelhollow::storage {

// Absent: the file is intact and holds no record. kDataLoss: it is damaged.
absl::StatusOr<std::optional<Record>> ReadLmdbRecord(std::string_view file);

}  // namespace fennelhollow::storage

#endif  // FENNELHOLLOW_MESH_STORAGE_LMDB_RECORD_HPP_
